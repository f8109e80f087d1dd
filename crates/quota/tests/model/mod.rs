//! A cluster of one leader and some holders around a state service, with messages and writes that are lost,
//! late, repeated and reordered. It drives the books of the package, and counts on its own.

use grebewood_quota::{
    GrantReduction, HolderGrant, Limits, LimitsInForce, QuotaGrants, Resources, TeamQuota,
};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};

pub const PARTITIONS: usize = 3;
const MEMBERS: [&str; 2] = ["m-0", "m-1"];
const TEAM: &str = "t";
/// What every task takes.
const TASK: Resources = Resources {
    cpus: 1_000_000,
    gpus: 0,
};

/// What happens next; numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The leader gives a task to a holder.
    Queue(usize),
    /// The leader starts a task itself.
    Own,
    OwnEnds,
    /// The leader writes a partition's allotment.
    WriteAllotment(usize),
    /// A write under way is carried out, and its writer learns of it or not.
    CarryOut {
        which: usize,
        answered: bool,
    },
    /// The leader gives a write up, and reads what became of it.
    ReadBack,
    Send(usize),
    /// A message arrives; it may arrive again.
    Deliver {
        which: usize,
        again: bool,
    },
    Answer(usize),
    /// The leader waits no longer for an answer.
    GiveUp(usize),
    Place(usize),
    TaskEnds(usize),
    HolderEnds(usize),
    LeaderEnds,
    /// A member is started again with another ceiling in its settings, and the leader hears of it.
    Settings {
        member: usize,
        limit: u64,
    },
    /// Time passes.
    Wait,
    /// A partition's allotment is written and told, and its holder answers, without any trouble.
    Exchange(usize),
    /// A holder places a task, without any trouble.
    Start(usize),
}

#[derive(Clone, Debug)]
struct Orders {
    partition: usize,
    claim: u64,
    term: u64,
    sequence: u64,
    limits: u64,
    amounts: Vec<TeamAmount>,
}

#[derive(Clone, Debug)]
struct Report {
    partition: usize,
    claim: u64,
    /// Which message it answers: a call has one answer, and no other call gets it.
    term: u64,
    sequence: u64,
    held: Vec<TeamAmount>,
    /// Tasks placed and ended since the claim.
    placed: u64,
    ended: u64,
}

#[derive(Clone, Debug)]
enum Write {
    Allotment {
        partition: usize,
        record: QuotaGrantRecord,
        leader: u64,
        mod_revision: u64,
        /// The limits when it was rendered, which the check needs.
        limits: u64,
    },
    Page {
        partition: usize,
        claim: u64,
        leader: u64,
        limits: u64,
    },
}

/// What the state service holds.
#[derive(Default)]
struct Store {
    revision: u64,
    leader: u64,
    claims: [u64; PARTITIONS],
    limits: (u64, u64),
    allotments: [(QuotaGrantRecord, u64); PARTITIONS],
    /// Tasks on the pages of each holder, and on the leader's.
    pages: [u64; PARTITIONS],
    own: u64,
}

struct Holder {
    claim: u64,
    term: u64,
    last: (u64, u64),
    limits: u64,
    books: HolderGrant,
    placed: u64,
    ended: u64,
}

/// What the leader knows of a partition.
#[derive(Clone, Copy, Default)]
struct Known {
    claim: u64,
    queued: u64,
    placed: u64,
    ended: u64,
    sequence: u64,
    waits_for: Option<u64>,
    /// Tasks of the claim before, until the next holder has told what is on its pages.
    of_claim_before: u64,
    /// The holder has answered under this claim.
    heard: bool,
}

struct Leader {
    token: u64,
    limits: LimitsInForce,
    books: QuotaGrants,
    known: [Known; PARTITIONS],
    /// The allotment that is being written.
    writing: Option<usize>,
    /// A task lacked room under the ceiling lately.
    pressed: bool,
    sequence: u64,
}

pub struct Cluster {
    store: Store,
    leader: Leader,
    holders: Vec<Holder>,
    settings: [u64; 2],
    writes: Vec<Write>,
    messages: Vec<Orders>,
    reports: Vec<Report>,
    now: u64,
    /// Tasks that holders started, to show that the model does something.
    pub started: u64,
}

fn limits_of(limit: u64) -> Limits {
    let limit = TeamQuota {
        guarantee: Resources::ZERO,
        limit: TASK.times(limit),
    };
    Limits::new([(TEAM.to_string(), limit)])
}

fn amount(list: &[TeamAmount]) -> u64 {
    list.iter().map(|a| a.cpus).sum::<u64>() / TASK.cpus
}

impl Cluster {
    pub fn new(limit: u64) -> Cluster {
        let mut store = Store {
            revision: 10,
            leader: 1,
            limits: (2, limit),
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
            messages: Vec::new(),
            reports: Vec::new(),
            now: 0,
            started: 0,
        }
    }

    /// Takes a step. The error says which invariant does not hold.
    pub fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Queue(p) => self.queue(p % PARTITIONS),
            Step::Own => self.start_own()?,
            Step::OwnEnds => self.store.own = self.store.own.saturating_sub(1),
            Step::WriteAllotment(p) => self.write_quota_grant(p % PARTITIONS),
            Step::CarryOut { which, answered } => self.carry_out(which, answered)?,
            Step::ReadBack => self.read_back(),
            Step::Send(p) => self.send(p % PARTITIONS),
            Step::Deliver { which, again } => self.deliver(which, again),
            Step::Answer(which) => self.answer(which),
            Step::GiveUp(p) => self.leader.known[p % PARTITIONS].waits_for = None,
            Step::Place(p) => self.place(p % PARTITIONS),
            Step::TaskEnds(p) => self.task_ends(p % PARTITIONS),
            Step::HolderEnds(p) => self.holder_ends(p % PARTITIONS),
            Step::LeaderEnds => self.leader_ends(),
            Step::Settings { member, limit } => self.change_settings(member % 2, limit),
            Step::Wait => self.now += 1_000_000,
            Step::Exchange(p) => self.exchange(p % PARTITIONS)?,
            Step::Start(p) => {
                self.place(p % PARTITIONS);
                self.carry_out(self.writes.len().saturating_sub(1), true)?;
            }
        }
        Ok(())
    }

    fn exchange(&mut self, p: usize) -> Result<(), String> {
        self.write_quota_grant(p);
        self.carry_out(self.writes.len().saturating_sub(1), true)?;
        self.leader.known[p].waits_for = None;
        self.send(p);
        self.deliver(self.messages.len().saturating_sub(1), false);
        self.answer(self.reports.len().saturating_sub(1));
        Ok(())
    }

    // ---- the check, which knows nothing of the books ----

    fn live(&self) -> u64 {
        self.store.own + self.store.pages.iter().sum::<u64>()
    }

    /// Something was started: no more may be on record than the ceiling on record.
    fn check_start(&self) -> Result<(), String> {
        let (live, limit) = (self.live(), self.store.limits.1);
        match live <= limit {
            true => Ok(()),
            false => Err(format!("{live} tasks started under a ceiling of {limit}")),
        }
    }

    /// An allotment has grown: what the next leader reads must fit the ceiling.
    fn check_records(&self) -> Result<(), String> {
        let granted = self.store.allotments.iter();
        let granted: u64 = granted.map(|(record, _)| amount(&record.teams)).sum();
        let (own, limit) = (self.store.own, self.store.limits.1);
        match granted + own <= limit {
            true => Ok(()),
            false => Err(format!(
                "{granted} allotted and {own} of the leader, of {limit}"
            )),
        }
    }

    // ---- the leader ----

    fn room(&self) -> Resources {
        let in_force = self.leader.limits.in_force().get(TEAM);
        let limit = in_force.unwrap_or_default().limit;
        let own = TASK.times(self.store.own);
        let total = self.leader.books.total(TEAM);
        limit.minus(own.plus(total))
    }

    fn is_over(&self) -> bool {
        let in_force = self.leader.limits.in_force().get(TEAM);
        let own = TASK.times(self.store.own);
        !own.plus(self.leader.books.total(TEAM))
            .fits(in_force.unwrap_or_default().limit)
    }

    fn queue(&mut self, p: usize) {
        if self.is_over() {
            return;
        }
        let room = self.room();
        let none = Resources::ZERO;
        let queued = self.leader.books.queue(p as u64, TEAM, TASK, none, room);
        self.leader.pressed = queued.is_err();
        if queued.is_ok() {
            self.leader.known[p].queued += 1;
        }
    }

    fn start_own(&mut self) -> Result<(), String> {
        if !TASK.fits(self.room()) {
            return Ok(());
        }
        self.store.own += 1;
        self.check_start()?;
        Ok(())
    }

    fn write_quota_grant(&mut self, p: usize) {
        let leader = &mut self.leader;
        if leader.writing.is_some() || !leader.books.differs_from_record(p as u64) {
            return;
        }
        leader.writing = Some(p);
        self.writes.push(Write::Allotment {
            partition: p,
            record: leader.books.render(p as u64, self.store.claims[p]),
            leader: leader.token,
            mod_revision: self.store.allotments[p].1,
            limits: self.store.limits.0,
        });
    }

    fn read_back(&mut self) {
        let Some(p) = self.leader.writing.take() else {
            return;
        };
        let number = self.leader.books.number(p as u64);
        if self.store.allotments[p].0.number == number {
            self.leader.books.written(p as u64);
        }
    }

    fn send(&mut self, p: usize) {
        let now = self.now;
        let ask_back = match (self.is_over(), self.leader.pressed) {
            (true, _) => GrantReduction::Everything,
            (false, true) => GrantReduction::Slack,
            (false, false) => GrantReduction::OldSlack,
        };
        let leader = &mut self.leader;
        let known = &mut leader.known[p];
        if known.waits_for.is_some() {
            return;
        }
        if known.claim != self.store.claims[p] {
            *known = Known {
                claim: self.store.claims[p],
                queued: known.queued,
                of_claim_before: known.of_claim_before + known.placed - known.ended,
                ..Known::default()
            };
        }
        leader.sequence += 1;
        known.sequence = leader.sequence;
        known.waits_for = Some(leader.sequence);
        self.messages.push(Orders {
            partition: p,
            claim: known.claim,
            term: leader.token,
            sequence: leader.sequence,
            limits: self.store.limits.0,
            amounts: leader.books.to_tell(p as u64, now, |_| ask_back),
        });
    }

    fn answer(&mut self, which: usize) {
        if self.reports.is_empty() {
            return;
        }
        let report = self.reports.remove(which % self.reports.len());
        let p = report.partition;
        let (id, now) = (p as u64, self.now);
        let leader = &mut self.leader;
        let known = &mut leader.known[p];
        let answers = report.term == leader.token && known.waits_for == Some(report.sequence);
        if !answers || known.claim != report.claim {
            return;
        }
        known.waits_for = None;
        if !known.heard {
            known.heard = true;
            // What the holder before was given and did not place is nobody's now.
            for _ in 0..std::mem::take(&mut known.of_claim_before) {
                leader.books.remove_placed(id, TEAM, TASK, now);
            }
            for _ in 0..std::mem::take(&mut known.queued) {
                leader.books.unqueue(id, TEAM, TASK, now);
            }
        }
        for _ in known.placed..report.placed {
            if known.queued > 0 {
                known.queued -= 1;
                leader.books.unqueue(id, TEAM, TASK, now);
            }
            leader.books.place(id, TEAM, TASK);
        }
        for _ in known.ended..report.ended {
            leader.books.remove_placed(id, TEAM, TASK, now);
        }
        (known.placed, known.ended) = (report.placed, report.ended);
        leader.books.on_held(id, &report.held, now);
    }

    fn leader_ends(&mut self) {
        self.store.revision += 1;
        self.store.leader = self.store.revision;
        self.leader = Leader::load(&self.store, self.settings);
        self.write_limits();
    }

    fn change_settings(&mut self, member: usize, limit: u64) {
        self.settings[member] = limit;
        let limits = limits_of(limit);
        if self.leader.limits.announce(MEMBERS[member], limits) {
            self.write_limits();
        }
    }

    /// The leader writes the limits itself, so it starts nothing beyond them meanwhile.
    fn write_limits(&mut self) {
        let in_force = self.leader.limits.in_force().get(TEAM);
        let limit = in_force.unwrap_or_default().limit.cpus / TASK.cpus;
        if limit < self.store.limits.1 {
            self.leader.books.drop_growth(TEAM);
        }
        if limit != self.store.limits.1 {
            self.store.revision += 1;
            self.store.limits = (self.store.revision, limit);
        }
    }

    // ---- holders ----

    fn deliver(&mut self, which: usize, again: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = which % self.messages.len();
        let orders = match again {
            true => self.messages[at].clone(),
            false => self.messages.remove(at),
        };
        let holder = &mut self.holders[orders.partition];
        let number = (orders.term, orders.sequence);
        // A holder hears only from the leader on record.
        let stale = orders.claim != holder.claim || number <= holder.last;
        if stale || orders.term != self.store.leader {
            return;
        }
        holder.last = number;
        holder.books.adopt(&orders.amounts);
        (holder.term, holder.limits) = (orders.term, orders.limits);
        self.reports.push(Report {
            partition: orders.partition,
            claim: holder.claim,
            term: orders.term,
            sequence: orders.sequence,
            held: holder.books.held(),
            placed: holder.placed,
            ended: holder.ended,
        });
    }

    fn place(&mut self, p: usize) {
        let holder = &mut self.holders[p];
        if holder.term == 0 || !holder.books.may_use(TEAM, TASK) {
            return;
        }
        holder.books.take(TEAM, TASK);
        self.writes.push(Write::Page {
            partition: p,
            claim: holder.claim,
            leader: holder.term,
            limits: holder.limits,
        });
    }

    fn task_ends(&mut self, p: usize) {
        let holder = &mut self.holders[p];
        if holder.placed > holder.ended {
            holder.ended += 1;
            holder.books.give_back(TEAM, TASK);
            self.store.pages[p] -= 1;
        }
    }

    fn holder_ends(&mut self, p: usize) {
        self.store.revision += 1;
        let claim = self.store.revision;
        self.store.claims[p] = claim;
        // What it wrote before is read by the next one; what is still under way fails on the claim.
        self.holders[p] = Holder::new(claim, self.store.pages[p]);
    }

    // ---- the state service ----

    fn carry_out(&mut self, which: usize, answered: bool) -> Result<(), String> {
        if self.writes.is_empty() {
            return Ok(());
        }
        let write = self.writes.remove(which % self.writes.len());
        match write {
            Write::Allotment {
                partition,
                record,
                leader,
                mod_revision,
                limits,
            } => {
                let grew =
                    self.apply_allotment(partition, record, (leader, mod_revision), answered);
                // Where the ceiling was lowered meanwhile, nothing is started out of it.
                match grew && limits == self.store.limits.0 {
                    true => self.check_records(),
                    false => Ok(()),
                }
            }
            Write::Page {
                partition,
                claim,
                leader,
                limits,
            } => self.apply_page(partition, claim, leader, limits),
        }
    }

    /// Whether it was carried out, and more is allotted than before.
    fn apply_allotment(
        &mut self,
        p: usize,
        record: QuotaGrantRecord,
        conditions: (u64, u64),
        answered: bool,
    ) -> bool {
        if conditions != (self.store.leader, self.store.allotments[p].1) {
            return false;
        }
        self.store.revision += 1;
        let grew = amount(&record.teams) > amount(&self.store.allotments[p].0.teams);
        self.store.allotments[p] = (record, self.store.revision);
        if answered && self.leader.writing == Some(p) {
            self.read_back();
        }
        grew
    }

    fn apply_page(&mut self, p: usize, claim: u64, leader: u64, limits: u64) -> Result<(), String> {
        let holder = &mut self.holders[p];
        let holds = claim == self.store.claims[p];
        if !holds || leader != self.store.leader || limits != self.store.limits.0 {
            // It is not on record, and is dropped.
            if holder.claim == claim {
                holder.books.give_back(TEAM, TASK);
            }
            return Ok(());
        }
        holder.placed += 1;
        self.started += 1;
        self.store.pages[p] += 1;
        self.check_start()
    }
}

impl Holder {
    fn new(claim: u64, on_page: u64) -> Holder {
        let mut books = HolderGrant::default();
        for _ in 0..on_page {
            books.take(TEAM, TASK);
        }
        Holder {
            claim,
            term: 0,
            last: (0, 0),
            limits: 0,
            books,
            placed: on_page,
            ended: 0,
        }
    }
}

impl Leader {
    fn load(store: &Store, settings: [u64; 2]) -> Leader {
        let recorded = Some(limits_of(store.limits.1));
        let others = MEMBERS.iter().skip(1).map(|m| m.to_string());
        let mut books = QuotaGrants::default();
        let mut known = [Known::default(); PARTITIONS];
        for (p, known) in known.iter_mut().enumerate() {
            books.load(p as u64, &store.allotments[p].0);
            for _ in 0..store.pages[p] {
                books.place(p as u64, TEAM, TASK);
            }
            known.claim = store.claims[p];
            known.placed = store.pages[p];
            known.heard = true;
        }
        Leader {
            token: store.leader,
            limits: LimitsInForce::new(recorded, MEMBERS[0], limits_of(settings[0]), others),
            books,
            known,
            writing: None,
            pressed: false,
            sequence: 0,
        }
    }
}
