//! The leader's side of partitions: which there are and who is to hold them, orders to the holders, and
//! what their reports mean for its own books.

use crate::jobs::parse_task;
use crate::leadership::{Lead, MemberView};
use crate::ledger::RecordId;
use crate::node::{Context, LeadCall, Node};
use crate::workers::{Assignment, ExitedAttempt, Machine};
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_partition::map::partition_of;
use grebewood_partition::{
    Assignment as PartitionAssignment, Load, PartitionId, PartitionMap, Plan, Planner,
    PlannerSettings,
};
use grebewood_wire as wire;
use grebewood_wire::http::{Report, TaskReport, TaskStatus};
use grebewood_wire::peer::{
    MachineState, PartitionOrders, PartitionReport, PeerAnswer, PeerRequest, PlacedTask,
    TaskAttempt, TaskEnd, TaskOutcome, TaskStop,
};
use grebewood_wire::records::PartitionRecord;
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
/// A stop is repeated after this time.
const STOP_AGAIN: Micros = SECOND;

/// A partition, as its leader sees it.
#[derive(Clone, Debug)]
struct Remote {
    record: PartitionRecord,
    /// The claim that orders go to: who made it, and its token.
    claim: Option<(String, u64)>,
    /// Its holder knows all tasks that may be on its machines.
    synced: bool,
    /// The version of the last state of a machine that was taken in.
    seen: u64,
    next_poll: Micros,
    busy: bool,
    /// Attempts whose outcome was taken in and may be acknowledged once it is on record.
    settling: BTreeSet<TaskAttempt>,
    /// Machines that were released since the last message.
    released: Vec<String>,
    /// Check-ins that the holder had answered at a time, and their rate.
    checkins: (u64, Micros),
    load: Load,
}

impl Remote {
    fn new(record: PartitionRecord) -> Remote {
        Remote {
            record,
            claim: None,
            synced: false,
            seen: 0,
            next_poll: 0,
            busy: false,
            settling: BTreeSet::new(),
            released: Vec::new(),
            checkins: (0, 0),
            load: 0.0,
        }
    }

    fn claim_changed(&mut self, claim: Option<(String, u64)>) {
        self.claim = claim;
        self.synced = false;
        self.seen = 0;
        self.busy = false;
        self.next_poll = 0;
        self.settling.clear();
        self.checkins = (0, 0);
    }
}

/// All partitions, as the leader sees them.
#[derive(Clone, Debug, Default)]
pub struct RemotePartitions {
    by_id: BTreeMap<PartitionId, Remote>,
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
        let records = self.by_id.iter().map(|(id, remote)| (*id, &remote.record));
        partition_of(records, zone, machine)
    }

    /// Whether the partition's holder is in touch and knows its tasks.
    pub(crate) fn is_synced(&self, id: PartitionId) -> bool {
        self.by_id.get(&id).is_some_and(|remote| remote.synced)
    }

    /// The record of a partition, as it is to be written.
    pub(crate) fn record(&self, id: PartitionId) -> Option<&PartitionRecord> {
        self.by_id.get(&id).map(|remote| &remote.record)
    }

    /// A machine of the partition was released.
    pub(crate) fn note_released(&mut self, id: PartitionId, machine: &str) {
        if let Some(remote) = self.by_id.get_mut(&id) {
            remote.released.push(machine.to_string());
        }
    }
}

impl Node {
    /// The leader's part: keeps up with claims, plans, and sends orders to the holders that are due.
    pub(crate) fn run_leader_partitions(&mut self) {
        let now = self.context.now.steady;
        let due = self.lead.as_ref().is_some_and(|l| now >= l.remote.plan_at);
        // Members are looked at only for the planner: this runs with every input.
        let members = due.then(|| self.partition_members());
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        if !lead.loaded() || lead.doubtful() {
            return;
        }
        lead.follow_claims(&self.partitions.map);
        if let Some(why) = lead.folded() {
            return self.step_down(why, true);
        }
        if let Some(members) = members {
            lead.plan_partitions(&mut self.context, &self.partitions.map, &members);
        }
        for orders in lead.due_orders(&self.context) {
            self.send_orders(orders);
        }
    }

    /// Sends orders to the member that holds the partition, which may be this one.
    fn send_orders(&mut self, orders: PartitionOrders) {
        let (partition, claim) = (orders.partition, orders.claim);
        let Some(lead) = self.lead.as_mut() else {
            return;
        };
        let holder = lead.holder_of(partition);
        if holder.as_deref() == Some(self.context.settings.member.as_str()) {
            let report = self.on_orders(orders);
            if let Some(lead) = self.lead.as_mut() {
                lead.on_report_of_holder(&mut self.context, partition, claim, report);
            }
            return;
        }
        let siblings = self.context.settings.siblings.iter();
        let place = siblings
            .enumerate()
            .find(|(_, s)| holder.as_deref() == Some(s.member.as_str()));
        let Some((place, _)) = place else {
            return lead.on_report_of_holder(&mut self.context, partition, claim, None);
        };
        let pending = lead.pending(LeadCall::Orders { partition, claim });
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

impl Lead {
    /// Takes over the partitions on record, as a new leader.
    pub(crate) fn load_partitions(&mut self, context: &Context, map: &PartitionMap) {
        for (id, partition) in map.iter() {
            let mut remote = Remote::new(partition.record.clone());
            let claim = partition.claim.as_ref();
            remote.claim = claim.map(|c| (c.member.clone(), c.token));
            self.remote.by_id.insert(id, remote);
        }
        if map.unreadable().next().is_some() {
            self.fold(context, "a partition's record cannot be read", map.keys());
        }
    }

    /// Gives all partitions up. Their machines may have seen tokens that are higher than this leader's,
    /// so the next one looks after them.
    fn fold(&mut self, context: &Context, why: &'static str, keys: Vec<String>) {
        if self.remote.folding.is_none() {
            warn!("partitions are given up: {why}");
            self.remote.folding = Some(why);
        }
        for key in keys {
            let id = RecordId::Deleted(key.clone());
            self.ledger.touch(id, context.now.steady);
            self.remote.deleted.insert(key);
        }
    }

    /// Why this leader has to make room for the next one, once the partitions are off the record.
    fn folded(&self) -> Option<&'static str> {
        let why = self.remote.folding?;
        let mut left = self.remote.deleted.iter();
        let dirty = |key: &String| self.ledger.is_dirty(&RecordId::Deleted(key.clone()));
        (!left.any(dirty)).then_some(why)
    }

    /// Takes in who has claimed what.
    fn follow_claims(&mut self, map: &PartitionMap) {
        for (id, remote) in &mut self.remote.by_id {
            let Some(partition) = map.get(*id) else {
                continue;
            };
            let claim = partition.claim.as_ref();
            // The map may be older than what this leader read itself.
            let known = remote.claim.as_ref().map(|(_, token)| *token);
            let news = match claim {
                Some(claim) => known.is_none_or(|known| claim.token > known),
                None => known.is_some(),
            };
            if !news {
                continue;
            }
            remote.claim_changed(claim.map(|c| (c.member.clone(), c.token)));
            let machines = self.machines.values_mut();
            for machine in machines.filter(|m| m.partition == Some(*id)) {
                // Until its holder says so nothing can be launched there.
                machine.hears = false;
            }
        }
    }

    /// Who holds the partition.
    fn holder_of(&self, id: PartitionId) -> Option<String> {
        let claim = self.remote.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.0.clone())
    }

    /// Lets the planner make, reassign and move partitions.
    fn plan_partitions(&mut self, context: &mut Context, map: &PartitionMap, view: &MemberView) {
        let now = context.now.steady;
        if self.remote.folding.is_some() {
            return;
        }
        self.remote.plan_at = now + PLAN_INTERVAL;
        if view.any_without && !self.remote.by_id.is_empty() {
            return self.fold(context, "a member does not understand them", map.keys());
        }
        let zones: BTreeSet<String> = context
            .catalogue
            .iter()
            .flatten()
            .flat_map(|t| t.zones.iter().cloned())
            .collect();
        let loads = self.remote.by_id.iter().map(|(id, r)| (*id, r.load));
        let loads: BTreeMap<PartitionId, Load> = loads.collect();
        let synced = self.remote.by_id.values().all(|r| r.synced);
        let settled = now.saturating_sub(self.loaded_at) > SETTLING;
        let known = map.iter().count() == self.remote.by_id.len();
        let plan = Plan {
            map,
            zones: &zones,
            members: &view.members,
            loads: &loads,
            may_create: known && view.all_answer && !view.any_without,
            at_rest: settled && synced && !self.state_is_slow(),
            now,
            wall: context.now.wall,
        };
        let settings = PlannerSettings {
            partitions_per_zone: context.tuning.partitions_per_zone as u16,
            move_interval: context.tuning.partition_move_interval_us,
            hysteresis: context.tuning.partition_hysteresis,
            paused: context.tuning.partition_moves_paused != 0,
        };
        let assignments = self.remote.planner.round(&settings, &plan);
        for PartitionAssignment { id, record } in assignments {
            self.assign_partition(context, id, record);
        }
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
        match self.remote.by_id.get_mut(&id) {
            Some(remote) => remote.record = record,
            None => {
                self.remote.by_id.insert(id, Remote::new(record));
                self.hand_machines_over(context, id);
            }
        }
        self.ledger
            .touch(RecordId::Partition(id), context.now.steady);
    }

    /// The leader's own machines of a new partition become its holder's.
    fn hand_machines_over(&mut self, context: &mut Context, id: PartitionId) {
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let partition = self.remote.partition_of(&machine.zone, &machine.name);
            if machine.partition.is_none() && partition == Some(id) {
                machine.partition = Some(id);
                machine.hears = false;
                machine.exited_attempts.clear();
                names.push(machine.name.clone());
            }
        }
        for name in names {
            self.refuse_pending(context, &name, "the machine is in a partition now");
        }
    }

    /// The messages that are due.
    fn due_orders(&mut self, context: &Context) -> Vec<PartitionOrders> {
        let now = context.now.steady;
        let due = self.remote.by_id.iter().filter(|(_, remote)| {
            remote.claim.is_some() && !remote.busy && now >= remote.next_poll
        });
        let due: Vec<PartitionId> = due.map(|(id, _)| *id).collect();
        due.into_iter()
            .filter_map(|id| self.orders(context, id))
            .collect()
    }

    fn orders(&mut self, context: &Context, id: PartitionId) -> Option<PartitionOrders> {
        let now = context.now.steady;
        let sequence = self.remote.sequence + 1;
        let remote = self.remote.by_id.get_mut(&id)?;
        let (_, claim) = remote.claim.clone()?;
        remote.busy = true;
        remote.next_poll = now + context.tuning.partition_poll_us;
        let (synced, seen) = (remote.synced, remote.seen);
        let released = std::mem::take(&mut remote.released);
        self.remote.sequence = sequence;
        let mut orders = PartitionOrders {
            from: context.settings.member.clone(),
            term: self.token,
            sequence,
            partition: id,
            claim,
            acknowledged: self.settled_attempts(id),
            released,
            seen,
            ..PartitionOrders::default()
        };
        match synced {
            true => self.add_launches_and_stops(context, &mut orders),
            false => orders.sync = Some(self.handed_over(id)),
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
        let (ledger, jobs) = (&self.ledger, &self.jobs);
        let machines = self.machines.values_mut();
        for m in machines.filter(|m| m.partition == Some(orders.partition)) {
            let (name, recalled, session) = (&m.name, m.recall_at.is_some(), m.session);
            for a in &mut m.assignments {
                let full = orders.launches.len() >= MOST_ORDERS;
                let alive = jobs
                    .get(a.job)
                    .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
                let written = ledger.is_durable(&RecordId::Page(a.page), a.written);
                let new = a.launched.is_none()
                    && a.stop.is_none()
                    && alive
                    && written
                    && !recalled
                    && a.session == session;
                // From now on it may be there, whatever becomes of the message.
                if new && !full {
                    a.launched = Some((session, 0));
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
        let Some(remote) = self.remote.by_id.get(&id) else {
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
        let settling = remote.settling.iter().copied();
        settling
            .filter(|attempt| !unsettled.contains(attempt))
            .take(MOST_ORDERS)
            .collect()
    }

    pub(crate) fn on_orders_answered(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        outcome: Outcome,
    ) {
        let report = match outcome {
            Outcome::Answer { status: 200, body } => match wire::from_peer::<PeerAnswer>(&body) {
                Ok(answer) => answer.report,
                Err(e) => {
                    warn!("partition {id}: {e}");
                    None
                }
            },
            _ => None,
        };
        self.on_report_of_holder(context, id, claim, report);
    }

    /// Takes in a holder's report.
    fn on_report_of_holder(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        report: Option<PartitionReport>,
    ) {
        let now = context.now.steady;
        let Some(remote) = self.remote.by_id.get_mut(&id) else {
            return;
        };
        if remote.claim.as_ref().map(|c| c.1) != Some(claim) {
            return;
        }
        remote.busy = false;
        let Some(report) = report.filter(|report| report.claim == claim) else {
            return;
        };
        let newly_synced = report.synced && !remote.synced;
        remote.synced |= report.synced;
        remote.seen = report.version;
        remote.note_checkins(report.checkins, now);
        if newly_synced {
            self.note_delivered(id, Assignment::may_exist);
        }
        if !report.accepted.is_empty() {
            let accepted: BTreeSet<TaskAttempt> = report.accepted.iter().copied().collect();
            self.note_delivered(id, |a| accepted.contains(&a.id()));
        }
        for machine in &report.gone {
            if self.machines.contains_key(machine) {
                self.released(context, machine);
            }
        }
        for state in &report.machines {
            self.take_machine_state(context, id, state);
        }
        self.take_outcomes(context, id, report.outcomes);
        self.refresh_machines(context, id);
        self.placement.want(now);
    }

    /// The holder has taken these assignments over.
    fn note_delivered(&mut self, id: PartitionId, taken_over: impl Fn(&Assignment) -> bool) {
        let machines = self.machines.values_mut();
        let theirs = machines.filter(|m| m.partition == Some(id));
        for a in theirs.flat_map(|m| &mut m.assignments) {
            a.delivered |= taken_over(a);
        }
    }

    /// Machines that the holder hears count as heard by the leader.
    fn refresh_machines(&mut self, context: &Context, id: PartitionId) {
        let now = context.now.steady;
        let mut heard = false;
        for machine in self.machines.values_mut() {
            if machine.partition == Some(id) && machine.counted_by_holder {
                machine.last_checkin = now;
                machine.last_report = now;
                machine.last_answer = now;
                heard = true;
            }
        }
        if heard {
            self.heard_at = now;
        }
    }

    /// Takes in what the holder says of a machine.
    fn take_machine_state(&mut self, context: &mut Context, id: PartitionId, state: &MachineState) {
        let now = context.now.steady;
        if self.fleet.is_gone(&state.machine) {
            return;
        }
        let report = report_of(state);
        self.machine_is_up(context, &report);
        let machine_type = context.machine_type(&state.machine_type);
        let machine = self
            .machines
            .entry(state.machine.clone())
            .or_insert_with(|| Machine::new(&report, machine_type, now));
        if machine.address.is_empty() || machine.cpus <= 0.0 {
            machine.describe(&report, machine_type, now);
        }
        machine.partition = Some(id);
        machine.address.clone_from(&state.address);
        // The holder may have expected a session that the next one finds has not begun.
        machine.session = state.session;
        machine.hears = state.hears;
        // Whether it may be deaf is its holder's to tell.
        machine.deaf_since = None;
        machine.counted_by_holder = state.counts;
        machine.closing |= state.closing;
        machine.recall_at = state.recall_us.map(|left| now + left);
        if !machine.assignments.is_empty() {
            machine.idle_since = now;
        }
        for task in &state.tasks {
            self.take_task_state(context, &state.machine, task.id, &task.status);
        }
    }

    fn take_task_state(
        &mut self,
        context: &Context,
        name: &str,
        id: TaskAttempt,
        status: &TaskStatus,
    ) {
        let now = context.now.steady;
        let machine = self.machines.get_mut(name);
        let assignment = machine.and_then(|m| m.assignments.iter_mut().find(|a| a.id() == id));
        let Some(a) = assignment else {
            return;
        };
        let before = a.seen;
        a.see(status, now);
        let (index, seen) = (a.job, a.seen);
        self.count_running(now, index, before, seen);
    }

    /// Takes in attempts that have ended. A holder repeats them until they are acknowledged.
    fn take_outcomes(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        outcomes: Vec<TaskOutcome>,
    ) {
        let told: BTreeSet<TaskAttempt> = outcomes.iter().map(TaskOutcome::id).collect();
        let news: Vec<TaskOutcome> = match self.remote.by_id.get_mut(&id) {
            Some(remote) => {
                // What is told no more was acknowledged.
                remote.settling.retain(|attempt| told.contains(attempt));
                let settling = &mut remote.settling;
                let new = outcomes.into_iter().filter(|o| settling.insert(o.id()));
                new.collect()
            }
            None => return,
        };
        for machine in self.machines.values_mut() {
            if machine.partition == Some(id) {
                machine
                    .exited_attempts
                    .retain(|exited| exited.id().is_some_and(|id| told.contains(&id)));
            }
        }
        for outcome in news {
            self.take_outcome(context, &outcome);
        }
    }

    fn take_outcome(&mut self, context: &mut Context, outcome: &TaskOutcome) {
        let name = &outcome.machine;
        let task_name = format!("{}/{}", outcome.job, outcome.task);
        let at = self.machines.get(name).and_then(|m| {
            let mut assignments = m.assignments.iter();
            assignments.position(|a| a.id() == outcome.id())
        });
        match (at, &outcome.end) {
            (Some(at), TaskEnd::Gone) => self.free(context, name, at),
            (Some(at), TaskEnd::Exited(cause)) => self.exited(context, name, at, cause, &task_name),
            (None, TaskEnd::Gone) => {}
            (None, TaskEnd::Exited(cause)) => {
                let task = TaskReport {
                    task_name: task_name.clone(),
                    attempt: outcome.attempt,
                    status: TaskStatus::Exited,
                    cause: Some(cause.clone()),
                    saved: None,
                };
                if let Some((job, number)) = parse_task(&task_name) {
                    self.exited_unknown(context, name, job, number, &task);
                }
            }
        }
    }
}

impl Remote {
    /// Notes how many check-ins the holder has answered since its claim.
    fn note_checkins(&mut self, checkins: u64, now: Micros) {
        let (before, at) = self.checkins;
        let span = now.saturating_sub(at);
        if span < SECOND && at > 0 {
            return;
        }
        if at > 0 {
            let rate = checkins.saturating_sub(before) as Load * SECOND as Load / span as Load;
            // A mean over some seconds: one alone says little with reports that are seconds apart.
            self.load = self.load * 0.8 + rate * 0.2;
        }
        self.checkins = (checkins, now);
    }
}

fn placed_task(machine: &str, a: &Assignment) -> PlacedTask {
    PlacedTask {
        machine: machine.to_string(),
        session: a.session,
        job: a.job_id.clone(),
        task: a.task,
        attempt: a.attempt,
        expected_us: a.expected,
    }
}

/// A machine's state in the form of a report without tasks.
fn report_of(state: &MachineState) -> Report {
    Report {
        machine: state.machine.clone(),
        address: state.address.clone(),
        machine_type: state.machine_type.clone(),
        zone: state.zone.clone(),
        spot: state.spot,
        session: state.session,
        sequence: 0,
        token: 0,
        recall_s: None,
        tasks: Vec::new(),
    }
}
