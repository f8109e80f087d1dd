//! The leader's side of partitions: which there are and who is to hold them, orders to the holders, and
//! what their reports mean for its own books.

use crate::agents::ExitedAttempt;
use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::controller::Controller;
use crate::election::MemberView;
use crate::quota::placed_task;
use crate::scheduler::Scheduler;
use crate::write_buffer::RecordId;
use crate::{Micros, Target, MILLI, SECOND};
use grebewood_partition::map::partition_of;
use grebewood_partition::{
    Assignment as PartitionAssignment, Load, PartitionId, PartitionMap, Plan, Planner,
    PlannerSettings,
};
use grebewood_wire as wire;
use grebewood_wire::peer::{PartitionOrders, PeerRequest, PlacedTask, TaskAttempt, TaskStop};
use grebewood_wire::records::{
    pages_of_partition, partition_of_page, quota_grant_key, PartitionRecord,
};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Most launches, stops and acknowledgements in one message.
const MOST_ORDERS: usize = 500;
/// How long a message to a holder may take.
const ORDERS_TIMEOUT: Micros = 900 * MILLI;
/// Between two rounds of the planner.
const PLAN_INTERVAL: Micros = 300 * MILLI;
/// After a change of leader nothing is moved for so long.
const SETTLING: Micros = 20 * SECOND;
/// A holder that was given tasks and has not answered for so long loses its partition.
const OUT_OF_TOUCH: Micros = 5 * SECOND;
/// A stop is repeated after this time.
const STOP_AGAIN: Micros = SECOND;

/// A partition, as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct RemotePartition {
    pub(super) record: PartitionRecord,
    /// The claim that orders go to: who made it, and its token.
    pub(super) claim: Option<(String, u64)>,
    /// Its holder knows all tasks that may be on its machines.
    pub(super) synced: bool,
    /// The version of the last state of a machine that was taken in.
    pub(super) seen: u64,
    pub(super) next_poll: Micros,
    pub(super) busy: bool,
    /// Attempts whose outcome was taken in and may be acknowledged once it is on record.
    pub(super) settling: BTreeSet<TaskAttempt>,
    /// Machines that were released since the last message.
    pub(super) terminated: Vec<String>,
    /// Check-ins that the holder had answered at a time, and their rate.
    pub(super) heartbeats: (u64, Micros),
    pub(super) load: Load,
    /// When its holder last answered.
    pub(super) answered_at: Micros,
    /// The number of the last task placed by the holder that is known.
    pub(super) placed_seen: u64,
    /// Machines on which the holder was last told to place nothing new, and those of which it has
    /// answered that it does not.
    pub(super) reserving: BTreeSet<String>,
    pub(super) reserved: BTreeSet<String>,
}

impl RemotePartition {
    fn new(record: PartitionRecord) -> RemotePartition {
        RemotePartition {
            record,
            claim: None,
            synced: false,
            seen: 0,
            next_poll: 0,
            busy: false,
            settling: BTreeSet::new(),
            terminated: Vec::new(),
            heartbeats: (0, 0),
            load: 0.0,
            answered_at: 0,
            placed_seen: 0,
            reserving: BTreeSet::new(),
            reserved: BTreeSet::new(),
        }
    }

    fn claim_changed(&mut self, claim: Option<(String, u64)>) {
        self.claim = claim;
        self.synced = false;
        self.seen = 0;
        self.busy = false;
        self.next_poll = 0;
        self.settling.clear();
        self.heartbeats = (0, 0);
        self.placed_seen = 0;
        self.reserving.clear();
        self.reserved.clear();
    }
}

/// All partitions, as the leader sees them.
#[derive(Clone, Debug, Default)]
pub struct RemotePartitions {
    pub(super) by_id: BTreeMap<PartitionId, RemotePartition>,
    planner: Planner,
    plan_at: Micros,
    sequence: u64,
    /// The partitions are being given up, and why: their keys are being deleted.
    folding: Option<&'static str>,
    /// Keys that are to be deleted.
    deleted: BTreeSet<String>,
}

impl RemotePartitions {
    /// When the leader has to act next.
    pub(crate) fn next_wake(&self) -> Micros {
        let claimed = self.by_id.values().filter(|r| r.claim.is_some() && !r.busy);
        claimed.map(|r| r.next_poll).min().unwrap_or(Micros::MAX)
    }

    /// The partition of a machine.
    pub(crate) fn partition_of(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let records = self
            .by_id
            .iter()
            .map(|(id, remote_partitions)| (*id, &remote_partitions.record));
        partition_of(records, zone, machine)
    }

    /// Whether the partition's holder is in touch and knows its tasks.
    pub(crate) fn is_synced(&self, id: PartitionId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|remote_partitions| remote_partitions.synced)
    }

    /// The number of the last task placed by the partition's holder that is known.
    pub(crate) fn placed_seen(&self, id: PartitionId) -> u64 {
        self.by_id
            .get(&id)
            .map_or(0, |remote_partitions| remote_partitions.placed_seen)
    }

    /// Whether the partition's holder has answered that it places nothing new on the machine.
    pub(crate) fn is_reserved(&self, id: PartitionId, machine: &str) -> bool {
        let remote_partitions = self.by_id.get(&id);
        remote_partitions
            .is_some_and(|remote_partitions| remote_partitions.reserved.contains(machine))
    }

    /// The fencing token of the partition's claim.
    pub(crate) fn claim_token(&self, id: PartitionId) -> Option<u64> {
        let claim = self.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.1)
    }

    /// The record of a partition, as it is to be written.
    pub(crate) fn record(&self, id: PartitionId) -> Option<&PartitionRecord> {
        self.by_id
            .get(&id)
            .map(|remote_partitions| &remote_partitions.record)
    }

    /// A machine of the partition was released.
    pub(crate) fn note_terminated(&mut self, id: PartitionId, machine: &str) {
        if let Some(remote_partitions) = self.by_id.get_mut(&id) {
            remote_partitions.terminated.push(machine.to_string());
        }
    }
}

impl Controller {
    /// The leader's part: keeps up with claims, plans, and sends orders to the holders that are due.
    pub(crate) fn run_leader_partitions(&mut self) {
        let now = self.context.now.steady;
        let due = self
            .leader
            .as_ref()
            .is_some_and(|l| now >= l.remote_partitions.plan_at);
        // Members are looked at only for the planner: this runs with every input.
        let members = due.then(|| self.partition_members());
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.loaded() || leader.doubtful() {
            return;
        }
        leader.follow_claims(&self.partitions.map);
        if let Some(why) = leader.folded() {
            return self.step_down(why, true);
        }
        if let Some(why) = leader.quota.lost {
            return self.step_down(why, false);
        }
        if let Some(members) = members {
            leader.pause_quota_grants(&self.context, members.any_without_quota_grants);
            leader.plan_partitions(&mut self.context, &self.partitions.map, &members);
        }
        for orders in leader.due_orders(&self.context) {
            self.send_orders(orders);
        }
    }

    /// Sends orders to the member that holds the partition, which may be this one.
    fn send_orders(&mut self, orders: PartitionOrders) {
        let (partition, claim) = (orders.partition, orders.claim);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let holder = leader.holder_of(partition);
        if holder.as_deref() == Some(self.context.settings.member.as_str()) {
            let report = self.on_orders(orders);
            if let Some(leader) = self.leader.as_mut() {
                leader.on_report_of_holder(&mut self.context, partition, claim, report);
            }
            return;
        }
        let siblings = self.context.settings.siblings.iter();
        let place = siblings
            .enumerate()
            .find(|(_, s)| holder.as_deref() == Some(s.member.as_str()));
        let Some((place, _)) = place else {
            return leader.on_report_of_holder(&mut self.context, partition, claim, None);
        };
        let pending = leader.pending(SchedulerCall::Orders { partition, claim });
        let message = wire::to_peer(&PeerRequest::Partition(orders));
        self.context.call(
            Target::Peer(place),
            "POST",
            "/peer".into(),
            message,
            ORDERS_TIMEOUT,
            pending,
        );
    }
}

impl Scheduler {
    /// Takes over the partitions on record, as a new leader.
    pub(crate) fn load_partitions(&mut self, context: &Context, map: &PartitionMap) {
        for (id, partition) in map.iter() {
            let mut remote_partitions = RemotePartition::new(partition.record.clone());
            let claim = partition.claim.as_ref();
            remote_partitions.claim = claim.map(|c| (c.member.clone(), c.token));
            self.remote_partitions.by_id.insert(id, remote_partitions);
        }
        if map.unreadable().next().is_some() {
            self.fold(context, "a partition's record cannot be read", map.keys());
        }
    }

    /// Gives all partitions up. Their machines may have seen tokens that are higher than this leader's,
    /// so the next one looks after them.
    fn fold(&mut self, context: &Context, why: &'static str, keys: Vec<String>) {
        if self.remote_partitions.folding.is_none() {
            warn!("partitions are given up: {why}");
            self.remote_partitions.folding = Some(why);
        }
        let allotments = self
            .remote_partitions
            .by_id
            .keys()
            .map(|id| quota_grant_key(*id));
        let allotments = allotments.filter(|key| self.write_buffer.mod_revisions.contains_key(key));
        let allotments: Vec<String> = allotments.collect();
        for key in keys.into_iter().chain(allotments) {
            let id = RecordId::Deleted(key.clone());
            self.write_buffer.mark_dirty(id, context.now.steady);
            self.remote_partitions.deleted.insert(key);
        }
    }

    /// Why this leader has to make room for the next one, once the partitions are off the record.
    fn folded(&self) -> Option<&'static str> {
        let why = self.remote_partitions.folding?;
        let mut left = self.remote_partitions.deleted.iter();
        let dirty = |key: &String| self.write_buffer.is_dirty(&RecordId::Deleted(key.clone()));
        (!left.any(dirty)).then_some(why)
    }

    /// Takes in who has claimed what.
    fn follow_claims(&mut self, map: &PartitionMap) {
        for (id, remote_partitions) in &mut self.remote_partitions.by_id {
            let Some(partition) = map.get(*id) else {
                continue;
            };
            let claim = partition.claim.as_ref();
            // The map may be older than what this leader read itself.
            let known = remote_partitions.claim.as_ref().map(|(_, token)| *token);
            let news = match claim {
                Some(claim) => known.is_none_or(|known| claim.token > known),
                None => known.is_some(),
            };
            if !news {
                continue;
            }
            remote_partitions.claim_changed(claim.map(|c| (c.member.clone(), c.token)));
            let machines = self.machines.values_mut();
            for machine in machines.filter(|m| m.partition == Some(*id)) {
                // Until its holder says so nothing can be launched there.
                machine.receives_responses = false;
            }
        }
    }

    /// Who holds the partition.
    fn holder_of(&self, id: PartitionId) -> Option<String> {
        let claim = self.remote_partitions.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.0.clone())
    }

    /// Lets the planner make, reassign and move partitions.
    fn plan_partitions(
        &mut self,
        context: &mut Context,
        map: &PartitionMap,
        job_view: &MemberView,
    ) {
        let now = context.now.steady;
        if self.remote_partitions.folding.is_some() {
            return;
        }
        self.remote_partitions.plan_at = now + PLAN_INTERVAL;
        if job_view.any_without && !self.remote_partitions.by_id.is_empty() {
            return self.fold(context, "a member does not understand them", map.keys());
        }
        let zones: BTreeSet<String> = context
            .catalogue
            .iter()
            .flatten()
            .flat_map(|t| t.zones.iter().cloned())
            .collect();
        let loads = self
            .remote_partitions
            .by_id
            .iter()
            .map(|(id, r)| (*id, r.load));
        let loads: BTreeMap<PartitionId, Load> = loads.collect();
        let synced = self.remote_partitions.by_id.values().all(|r| r.synced);
        let settled = now.saturating_sub(self.loaded_at) > SETTLING;
        let known = map.iter().count() == self.remote_partitions.by_id.len();
        let plan = Plan {
            map,
            zones: &zones,
            members: &job_view.members,
            loads: &loads,
            out_of_touch: &self.out_of_touch(context),
            next_id: self.next_partition_id(),
            may_create: known && job_view.all_answer && !job_view.any_without,
            at_rest: settled && synced && !self.store_is_slow(),
            now,
            wall: context.now.wall,
        };
        let settings = PlannerSettings {
            partitions_per_zone: context.tuning.partitions_per_zone as u16,
            move_interval: context.tuning.partition_move_interval_us,
            hysteresis: context.tuning.partition_hysteresis,
            paused: context.tuning.partition_moves_paused != 0,
        };
        let assignments = self.remote_partitions.planner.round(&settings, &plan);
        for PartitionAssignment { id, record } in assignments {
            self.assign_partition(context, id, record);
        }
    }

    /// Partitions whose holder was given tasks and has not answered for a while.
    fn out_of_touch(&self, context: &Context) -> BTreeSet<PartitionId> {
        let now = context.now.steady;
        let waiting = |id: &PartitionId| self.quota.delegations.has(*id);
        let partitions = self
            .remote_partitions
            .by_id
            .iter()
            .filter(|(id, _)| waiting(id));
        let silent = partitions.filter(|(_, remote_partitions)| {
            let since = remote_partitions.answered_at.max(self.loaded_at);
            now.saturating_sub(since) > OUT_OF_TOUCH
        });
        silent.map(|(id, _)| *id).collect()
    }

    /// The number of the next new partition: pages that holders of earlier ones left must not be those
    /// of a new one's holder.
    fn next_partition_id(&self) -> PartitionId {
        let left = |id: &PartitionId| {
            let Some(pages) = pages_of_partition(*id) else {
                return false;
            };
            self.pages.any_in(pages.clone()) || self.write_buffer.is_any_page_dirty(pages)
        };
        let with_pages = self.pages.numbers().filter_map(partition_of_page);
        let left = with_pages.filter(left).max();
        let known = self.remote_partitions.by_id.keys().max().copied();
        left.max(known).unwrap_or(0) + 1
    }

    /// Writes that a partition is to be held by a member. Its machines are its holder's from now on:
    /// the record may be applied from the moment at which it is sent, and then the holder renews their
    /// leases.
    fn assign_partition(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        record: PartitionRecord,
    ) {
        info!("partition {id}: to {}, {}", record.holder, record.reason);
        match self.remote_partitions.by_id.get_mut(&id) {
            Some(remote_partitions) => remote_partitions.record = record,
            None => {
                self.remote_partitions
                    .by_id
                    .insert(id, RemotePartition::new(record));
                self.hand_machines_over(context, id);
            }
        }
        self.write_buffer
            .mark_dirty(RecordId::Partition(id), context.now.steady);
    }

    /// The leader's own machines of a new partition become its holder's.
    fn hand_machines_over(&mut self, context: &mut Context, id: PartitionId) {
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let partition = self
                .remote_partitions
                .partition_of(&machine.zone, &machine.name);
            if machine.partition.is_none() && partition == Some(id) {
                machine.partition = Some(id);
                machine.receives_responses = false;
                machine.exited_attempts.clear();
                names.push(machine.name.clone());
            }
        }
        for name in names {
            self.refuse_held_heartbeats(context, &name, "the machine is in a partition now");
        }
    }

    /// The messages that are due.
    fn due_orders(&mut self, context: &Context) -> Vec<PartitionOrders> {
        let now = context.now.steady;
        let due = self
            .remote_partitions
            .by_id
            .iter()
            .filter(|(_, remote_partitions)| {
                remote_partitions.claim.is_some()
                    && !remote_partitions.busy
                    && now >= remote_partitions.next_poll
            });
        let due: Vec<PartitionId> = due.map(|(id, _)| *id).collect();
        due.into_iter()
            .filter_map(|id| self.orders(context, id))
            .collect()
    }

    fn orders(&mut self, context: &Context, id: PartitionId) -> Option<PartitionOrders> {
        let now = context.now.steady;
        let sequence = self.remote_partitions.sequence + 1;
        let remote_partitions = self.remote_partitions.by_id.get_mut(&id)?;
        let (_, claim) = remote_partitions.claim.clone()?;
        remote_partitions.busy = true;
        remote_partitions.next_poll = now + context.tuning.partition_poll_us;
        let (synced, seen) = (remote_partitions.synced, remote_partitions.seen);
        let terminated = std::mem::take(&mut remote_partitions.terminated);
        self.remote_partitions.sequence = sequence;
        let mut orders = PartitionOrders {
            from: context.settings.member.clone(),
            term: self.token,
            sequence,
            partition: id,
            claim,
            acknowledged: self.settled_attempts(id),
            terminated,
            seen,
            ..PartitionOrders::default()
        };
        match synced {
            true => self.add_launches_and_stops(context, &mut orders),
            false => {
                orders.sync = Some(self.handed_over(id));
                // Its pages may list what was on machines that are gone.
                orders.terminated = self.fleet.gone_within(now, Micros::MAX);
            }
        }
        orders.quota = self.quota_orders(context, id, synced).map(Box::new);
        if let Some(remote_partitions) = self.remote_partitions.by_id.get_mut(&id) {
            let reserved = orders.quota.iter().flat_map(|quota| &quota.reserved);
            remote_partitions.reserving = reserved.cloned().collect();
        }
        Some(orders)
    }

    /// All tasks that may be on the partition's machines.
    fn handed_over(&self, id: PartitionId) -> Vec<PlacedTask> {
        let machines = self.machines.values().filter(|m| m.partition == Some(id));
        let tasks = machines.flat_map(|m| {
            let may_exist = m.assignments.iter().filter(|a| a.may_exist());
            may_exist.map(|a| placed_task(&m.name, a))
        });
        tasks.collect()
    }

    fn add_launches_and_stops(&mut self, context: &Context, orders: &mut PartitionOrders) {
        let now = context.now.steady;
        let (write_buffer, jobs) = (&self.write_buffer, &self.jobs);
        let machines = self.machines.values_mut();
        for m in machines.filter(|m| m.partition == Some(orders.partition)) {
            let (name, revoked, incarnation) = (&m.name, m.reclaim_at.is_some(), m.incarnation);
            for a in &mut m.assignments {
                let full = orders.launches.len() >= MOST_ORDERS;
                let alive = jobs
                    .get(a.job)
                    .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
                let written = write_buffer.is_durable(&RecordId::Page(a.page), a.written);
                let new = a.launched.is_none()
                    && a.stop.is_none()
                    && alive
                    && written
                    && !revoked
                    && a.incarnation == incarnation;
                // From now on it may be there, whatever becomes of the message.
                if new && !full {
                    a.launched = Some((incarnation, 0));
                }
                if a.may_exist() && !a.delivered && !a.recovered() && !full {
                    orders.launches.push(placed_task(name, a));
                }
                let id = a.id();
                let Some(stop) = a.stop.as_mut().filter(|_| a.launched.is_some()) else {
                    continue;
                };
                let due = stop.sent.is_none_or(|at| now >= at + STOP_AGAIN);
                if due && orders.stops.len() < MOST_ORDERS {
                    stop.sent = Some(now);
                    orders.stops.push(TaskStop {
                        machine: name.clone(),
                        id,
                        grace_us: stop.grace,
                    });
                }
            }
        }
    }

    /// Attempts whose outcome is on record.
    fn settled_attempts(&mut self, id: PartitionId) -> Vec<TaskAttempt> {
        let Some(remote_partitions) = self.remote_partitions.by_id.get(&id) else {
            return Vec::new();
        };
        let unsettled: BTreeSet<TaskAttempt> = self
            .machines
            .values()
            .filter(|m| m.partition == Some(id))
            .flat_map(|m| &m.exited_attempts)
            .filter(|e| !self.is_durable(&e.after, e.job))
            .filter_map(ExitedAttempt::id)
            .collect();
        let settling = remote_partitions.settling.iter().copied();
        settling
            .filter(|attempt| !unsettled.contains(attempt))
            .take(MOST_ORDERS)
            .collect()
    }
}
