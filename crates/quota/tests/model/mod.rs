//! Model of a cluster with one leader and a holder for each partition around a key-value store. Messages and
//! writes can be lost, delayed, repeated and reordered. The model exercises the quota package and checks the
//! outcome by the records in the store alone.

mod holder;
mod leader;
mod messages;
mod store;

use grebewood_quota::{Limits, Resources, TeamQuota};
use holder::Holder;
use leader::Leader;
use messages::{Answer, GrantWrite, Orders, PageWrite, Write};
use store::{GrantOutcome, RecordedLimit, Store};

/// Number of partitions.
pub const PARTITIONS: usize = 3;
/// Names of the members.
const MEMBERS: [&str; 2] = ["m-0", "m-1"];
/// Name of the only team.
const TEAM: &str = "t";
/// Resources that every task needs.
const TASK: Resources = Resources {
    cpus: 1_000_000,
    gpus: 0,
};

/// Step of an interleaving. `which` is reduced modulo the number of messages or writes in flight.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The leader queues a task at a holder.
    Queue(usize),
    /// The leader starts a task itself.
    StartOnLeader,
    /// A task that the leader has started itself ends.
    EndOnLeader,
    /// The leader writes a partition's grant.
    WriteGrant(usize),
    /// The store applies a write in flight. `answered` says whether the writer receives the response.
    ApplyWrite { which: usize, answered: bool },
    /// The leader stops waiting for the write of a grant and reads the outcome from the store.
    ReadBack,
    /// The leader sends orders to a holder.
    SendOrders(usize),
    /// Orders arrive at a holder. If `again` is set, the same orders may arrive again later.
    DeliverOrders { which: usize, again: bool },
    /// A holder's answer to orders arrives at the leader.
    DeliverAnswer(usize),
    /// The leader stops waiting for a holder's answer to the last orders.
    TimeOut(usize),
    /// A holder places a task.
    Place(usize),
    /// A task of a holder ends.
    EndTask(usize),
    /// Another holder claims a partition.
    ReplaceHolder(usize),
    /// Another leader is elected.
    ReplaceLeader,
    /// A member restarts with another limit in its settings and announces it to the leader.
    ChangeSettings { member: usize, limit: u64 },
    /// The clock advances.
    AdvanceClock,
    /// A partition's grant is written, orders are sent, and the holder answers, without any fault.
    Exchange(usize),
    /// A holder places a task and writes the task's assignment to a page, without any fault.
    PlaceAndWrite(usize),
}

/// Cluster with its messages and writes in flight.
pub struct Cluster {
    store: Store,
    leader: Leader,
    holders: Vec<Holder>,
    /// Limit in each member's settings, in tasks.
    settings: [u64; 2],
    writes: Vec<Write>,
    orders: Vec<Orders>,
    answers: Vec<Answer>,
    /// Current time, in microseconds.
    now: u64,
    /// Number of tasks that holders have started. It shows that the interleavings exercise the model.
    pub started: u64,
}

/// Returns the quotas with this limit for the team, in tasks.
fn limits_of(tasks: u64) -> Limits {
    let quota = TeamQuota {
        guarantee: Resources::ZERO,
        limit: TASK.times(tasks),
    };
    Limits::new([(TEAM.to_string(), quota)])
}

impl Cluster {
    /// Creates a cluster in which all members have this limit, in tasks.
    pub fn new(limit: u64) -> Cluster {
        let mut store = Store {
            revision: 10,
            leader: 1,
            limit: RecordedLimit {
                mod_revision: 2,
                tasks: limit,
            },
            ..Store::default()
        };
        let mut holders = Vec::new();
        for (partition, claim) in store.claims.iter_mut().enumerate() {
            *claim = 3 + partition as u64;
            holders.push(Holder::new(*claim, 0));
        }
        let settings = [limit; 2];
        Cluster {
            leader: Leader::load(&store, settings),
            store,
            holders,
            settings,
            writes: Vec::new(),
            orders: Vec::new(),
            answers: Vec::new(),
            now: 0,
            started: 0,
        }
    }

    /// Performs a step. The error names the invariant that is violated.
    pub fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Queue(partition) => self.leader.queue(&self.store, partition),
            Step::StartOnLeader => self.start_on_leader()?,
            Step::EndOnLeader => {
                self.store.leader_tasks = self.store.leader_tasks.saturating_sub(1);
            }
            Step::WriteGrant(partition) => self.write_grant(partition),
            Step::ApplyWrite { which, answered } => self.apply_write(which, answered)?,
            Step::ReadBack => self.leader.read_back(&self.store),
            Step::SendOrders(partition) => self.send_orders(partition),
            Step::DeliverOrders { which, again } => self.deliver_orders(which, again),
            Step::DeliverAnswer(which) => self.deliver_answer(which),
            Step::TimeOut(partition) => self.leader.partitions[partition].awaits = None,
            Step::Place(partition) => self.place(partition),
            Step::EndTask(partition) => self.end_task(partition),
            Step::ReplaceHolder(partition) => self.replace_holder(partition),
            Step::ReplaceLeader => self.replace_leader(),
            Step::ChangeSettings { member, limit } => self.change_settings(member, limit),
            Step::AdvanceClock => self.now += 1_000_000,
            Step::Exchange(partition) => self.exchange(partition)?,
            Step::PlaceAndWrite(partition) => {
                self.place(partition);
                self.apply_last_write()?;
            }
        }
        Ok(())
    }

    fn exchange(&mut self, partition: usize) -> Result<(), String> {
        self.write_grant(partition);
        self.apply_last_write()?;
        self.leader.partitions[partition].awaits = None;
        self.send_orders(partition);
        self.deliver_orders(self.orders.len().saturating_sub(1), false);
        self.deliver_answer(self.answers.len().saturating_sub(1));
        Ok(())
    }

    fn start_on_leader(&mut self) -> Result<(), String> {
        if !TASK.fits(self.leader.room(&self.store)) {
            return Ok(());
        }
        self.store.leader_tasks += 1;
        self.store.check_start()
    }

    fn write_grant(&mut self, partition: usize) {
        let write = self.leader.write_grant(&self.store, partition);
        self.writes.extend(write.map(Write::Grant));
    }

    fn send_orders(&mut self, partition: usize) {
        let orders = self.leader.orders(&self.store, partition, self.now);
        self.orders.extend(orders);
    }

    fn deliver_orders(&mut self, which: usize, again: bool) {
        if self.orders.is_empty() {
            return;
        }
        let at = which % self.orders.len();
        let orders = match again {
            true => self.orders[at].clone(),
            false => self.orders.remove(at),
        };
        let holder = &mut self.holders[orders.partition];
        let answer = holder.on_orders(&orders, self.store.leader);
        self.answers.extend(answer);
    }

    fn deliver_answer(&mut self, which: usize) {
        if self.answers.is_empty() {
            return;
        }
        let answer = self.answers.remove(which % self.answers.len());
        self.leader.on_answer(&answer, self.now);
    }

    fn place(&mut self, partition: usize) {
        let write = self.holders[partition].place(partition);
        self.writes.extend(write.map(Write::Page));
    }

    fn end_task(&mut self, partition: usize) {
        if self.holders[partition].end_task() {
            self.store.pages[partition] -= 1;
        }
    }

    fn replace_holder(&mut self, partition: usize) {
        let claim = self.store.next_revision();
        self.store.claims[partition] = claim;
        // The next holder reads the tasks on the pages. Writes of the last holder still in flight fail on the claim.
        self.holders[partition] = Holder::new(claim, self.store.pages[partition]);
    }

    fn replace_leader(&mut self) {
        self.store.leader = self.store.next_revision();
        self.leader = Leader::load(&self.store, self.settings);
        self.leader.write_limit(&mut self.store);
    }

    fn change_settings(&mut self, member: usize, limit: u64) {
        self.settings[member] = limit;
        let limits = limits_of(limit);
        if self
            .leader
            .limits
            .apply_announcement(MEMBERS[member], limits)
        {
            self.leader.write_limit(&mut self.store);
        }
    }

    fn apply_last_write(&mut self) -> Result<(), String> {
        self.apply_write(self.writes.len().saturating_sub(1), true)
    }

    fn apply_write(&mut self, which: usize, answered: bool) -> Result<(), String> {
        if self.writes.is_empty() {
            return Ok(());
        }
        match self.writes.remove(which % self.writes.len()) {
            Write::Grant(write) => self.apply_grant(write, answered),
            Write::Page(write) => self.apply_page(&write),
        }
    }

    fn apply_grant(&mut self, write: GrantWrite, answered: bool) -> Result<(), String> {
        let (partition, limits_revision) = (write.partition, write.limits_revision);
        let outcome = self.store.apply_grant(write);
        let written = outcome != GrantOutcome::Refused;
        if written && answered && self.leader.is_writing(partition) {
            self.leader.read_back(&self.store);
        }
        // If the limit was changed meanwhile, no task is started under this grant.
        let limits_unchanged = limits_revision == self.store.limit.mod_revision;
        match outcome == GrantOutcome::Grown && limits_unchanged {
            true => self.store.check_grants(),
            false => Ok(()),
        }
    }

    fn apply_page(&mut self, write: &PageWrite) -> Result<(), String> {
        let holder = &mut self.holders[write.partition];
        if !self.store.apply_page(write) {
            // The store refused the write of the task's assignment to a page, so the task does not start. The holder
            // that placed the task releases the resources that it had reserved for the task, unless the partition
            // has another holder now.
            if holder.claim == write.claim {
                holder.grant.release(TEAM, TASK);
            }
            return Ok(());
        }
        holder.placed += 1;
        self.started += 1;
        self.store.check_start()
    }
}
