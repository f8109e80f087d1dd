//! Partitions as the leader manages them: which exist, who is to hold them, and orders to the holders.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::election::MemberView;
use crate::state::jobs::Jobs;
use crate::state::machine::{placed_task, Assignment, ExitedAttempt};
use crate::state::remote_partitions::{RemoteClaim, RemotePartition};
use crate::state::write_buffer::{RecordId, WriteBuffer};
use crate::{Micros, MILLI, SECOND};
use grebewood_partition::{
    Load, PartitionAssignment, PartitionId, PartitionMap, PlannerInput, PlannerSettings,
};
use grebewood_wire::peer::{PartitionOrders, PlacedTask, TaskAttempt, TaskStop};
use grebewood_wire::records::{
    pages_of_partition, partition_of_page, quota_grant_key, PartitionRecord,
};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Most launches, stops and acknowledgements in one message.
const MAX_ORDERS: usize = 500;

/// Time between two rounds of the planner.
const PLAN_INTERVAL: Micros = 300 * MILLI;

/// How long after a change of leader no partition is moved for the sake of balance.
const STABILIZATION_TIME: Micros = 20 * SECOND;

/// A holder that was given tasks and has not answered for this long loses its partition.
const HOLDER_TIMEOUT: Micros = 5 * SECOND;

/// Time after which a stop is repeated.
const STOP_RETRY_INTERVAL: Micros = SECOND;

impl Scheduler {
    /// Loads the partitions on record, as a new leader.
    pub(crate) fn load_partitions(&mut self, context: &Context, map: &PartitionMap) {
        for (id, record) in map.iter() {
            let mut partition = RemotePartition::new(record.record.clone());
            partition.claim = record.claim.as_ref().map(RemoteClaim::from);
            self.remote_partitions.by_id.insert(id, partition);
        }
        if map.unreadable_keys().next().is_some() {
            self.remove_partitions(context, "a partition's record cannot be read", map.keys());
        }
    }

    /// Removes all partitions. Their machines may have seen fencing tokens that are higher than this
    /// leader's, so that only the next leader can manage them.
    fn remove_partitions(&mut self, context: &Context, reason: &'static str, keys: Vec<String>) {
        if self.remote_partitions.removal_reason.is_none() {
            warn!(reason = reason; "removing all partitions");
            self.remote_partitions.removal_reason = Some(reason);
        }
        let partitions = self.remote_partitions.by_id.keys();
        let grants = partitions.map(|id| quota_grant_key(*id));
        let on_record = &self.write_buffer.mod_revisions;
        let grants: Vec<String> = grants.filter(|key| on_record.contains_key(key)).collect();
        for key in keys.into_iter().chain(grants) {
            let id = RecordId::Deleted(key.clone());
            self.write_buffer.mark_dirty(id, context.now.steady);
            self.remote_partitions.keys_to_delete.insert(key);
        }
    }

    /// Why this leader has to step down, once all partitions are removed from the store.
    pub(crate) fn partitions_removed(&self) -> Option<&'static str> {
        let reason = self.remote_partitions.removal_reason?;
        let mut keys = self.remote_partitions.keys_to_delete.iter();
        let is_left = |key: &String| self.write_buffer.is_dirty(&RecordId::Deleted(key.clone()));
        (!keys.any(is_left)).then_some(reason)
    }

    /// Applies changes of claims.
    pub(crate) fn follow_claims(&mut self, map: &PartitionMap) {
        for (id, partition) in &mut self.remote_partitions.by_id {
            let Some(observed) = map.get(*id) else {
                continue;
            };
            // The map may be older than what this leader read itself.
            let known_token = partition.claim_token();
            let changed = match &observed.claim {
                Some(claim) => known_token.is_none_or(|known| claim.token > known),
                None => known_token.is_some(),
            };
            if !changed {
                continue;
            }
            partition.on_claim_changed(observed.claim.as_ref().map(RemoteClaim::from));
            let machines = self.machines.values_mut();
            for machine in machines.filter(|machine| machine.partition == Some(*id)) {
                // Until its holder reports otherwise nothing can be launched there.
                machine.receives_responses = false;
            }
        }
    }

    /// The member that holds the partition.
    pub(crate) fn holder_of(&self, id: PartitionId) -> Option<String> {
        let claim = self.remote_partitions.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.member.clone())
    }

    /// Lets the planner create, reassign and move partitions.
    pub(crate) fn plan_partitions(
        &mut self,
        context: &mut Context,
        map: &PartitionMap,
        members: &MemberView,
    ) {
        if self.remote_partitions.removal_reason.is_some() {
            return;
        }
        self.remote_partitions.next_planning_at = context.now.steady + PLAN_INTERVAL;
        if members.any_without_partitions && !self.remote_partitions.by_id.is_empty() {
            let reason = "a member does not understand them";
            return self.remove_partitions(context, reason, map.keys());
        }
        for PartitionAssignment { id, record } in self.planned_assignments(context, map, members) {
            self.assign_partition(context, id, record);
        }
    }

    fn planned_assignments(
        &mut self,
        context: &Context,
        map: &PartitionMap,
        members: &MemberView,
    ) -> Vec<PartitionAssignment> {
        let all_known = map.iter().count() == self.remote_partitions.by_id.len();
        let input = PlannerInput {
            map,
            zones: &zones_with_machines(context),
            members: &members.members,
            loads: &self.partition_loads(),
            partitions_of_unreachable_holders: &self.partitions_of_unreachable_holders(context),
            next_id: self.next_partition_id(),
            may_create: all_known && members.all_answered && !members.any_without_partitions,
            is_cluster_stable: self.is_stable(context),
            now: context.now.steady,
            wall_time: context.now.wall,
        };
        let settings = planner_settings(context);
        self.remote_partitions
            .planner
            .plan_assignments(&settings, &input)
    }

    fn partition_loads(&self) -> BTreeMap<PartitionId, Load> {
        let partitions = self.remote_partitions.by_id.iter();
        partitions
            .map(|(id, partition)| (*id, partition.load))
            .collect()
    }

    /// Whether there was no recent change of leader, all holders are reconciled and the store answers in time.
    fn is_stable(&self, context: &Context) -> bool {
        let leading_for = context.now.steady.saturating_sub(self.loaded_at);
        let mut partitions = self.remote_partitions.by_id.values();
        let reconciled = partitions.all(|partition| partition.reconciled);
        leading_for > STABILIZATION_TIME && reconciled && !self.store_is_slow()
    }

    /// Partitions whose holder was given tasks to place and has not answered for a while.
    fn partitions_of_unreachable_holders(&self, context: &Context) -> BTreeSet<PartitionId> {
        let now = context.now.steady;
        let partitions = self.remote_partitions.by_id.iter();
        let delegations = &self.leader_quota.delegations;
        let with_tasks = partitions.filter(|(id, _)| delegations.has_tasks_in(**id));
        let unreachable = with_tasks.filter(|(_, partition)| {
            let since = partition.last_answer_at.max(self.loaded_at);
            now.saturating_sub(since) > HOLDER_TIMEOUT
        });
        unreachable.map(|(id, _)| *id).collect()
    }

    /// The number of the next new partition. It must be higher than that of any partition whose holder has left
    /// pages, since a partition's number determines its pages.
    fn next_partition_id(&self) -> PartitionId {
        let has_pages = |id: &PartitionId| {
            let Some(pages) = pages_of_partition(*id) else {
                return false;
            };
            self.pages.has_assignments_in(pages.clone())
                || self.write_buffer.is_any_page_dirty(pages)
        };
        let partitions = self.pages.numbers().filter_map(partition_of_page);
        let with_pages = partitions.filter(has_pages).max();
        let known = self.remote_partitions.by_id.keys().max().copied();
        with_pages.max(known).unwrap_or(0) + 1
    }

    /// Writes that a partition is to be held by a member. From now on its machines are its holder's: the
    /// record may be applied from the moment at which it is sent, and then the holder renews their leases.
    fn assign_partition(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        record: PartitionRecord,
    ) {
        info!(
            partition = id, member = record.holder, reason = record.reason;
            "assigned a partition"
        );
        if let Some(partition) = self.remote_partitions.by_id.get_mut(&id) {
            partition.record = record;
        } else {
            let partition = RemotePartition::new(record);
            self.remote_partitions.by_id.insert(id, partition);
            self.hand_machines_over(context, id);
        }
        self.write_buffer
            .mark_dirty(RecordId::Partition(id), context.now.steady);
    }

    /// The leader's own machines of a new partition become its holder's.
    fn hand_machines_over(&mut self, context: &mut Context, id: PartitionId) {
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let partitions = &self.remote_partitions;
            let partition = partitions.partition_of(&machine.zone, &machine.name);
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

    /// The orders that are due.
    pub(crate) fn due_orders(&mut self, context: &Context) -> Vec<PartitionOrders> {
        let now = context.now.steady;
        let partitions = self.remote_partitions.by_id.iter();
        let due = partitions.filter(|(_, partition)| {
            let ready = partition.claim.is_some() && !partition.awaiting_answer;
            ready && now >= partition.next_orders_at
        });
        let due: Vec<PartitionId> = due.map(|(id, _)| *id).collect();
        due.into_iter()
            .filter_map(|id| self.next_orders(context, id))
            .collect()
    }

    fn next_orders(&mut self, context: &Context, id: PartitionId) -> Option<PartitionOrders> {
        let now = context.now.steady;
        let partition = self.remote_partitions.by_id.get_mut(&id)?;
        let claim = partition.claim_token()?;
        partition.awaiting_answer = true;
        partition.next_orders_at = now + context.tuning.partition_poll_us;
        let reconciled = partition.reconciled;
        let seen = partition.state_version;
        let terminated = std::mem::take(&mut partition.terminated);
        self.remote_partitions.sequence += 1;
        let mut orders = PartitionOrders {
            from: context.settings.member.clone(),
            term: self.token,
            sequence: self.remote_partitions.sequence,
            partition: id,
            claim,
            acknowledged: self.attempts_to_acknowledge(id),
            terminated,
            last_known_version: seen,
            ..PartitionOrders::default()
        };
        if reconciled {
            self.add_launches_and_stops(context, &mut orders);
        } else {
            orders.sync = Some(self.tasks_in_partition(id));
            // The holder's pages may list tasks of machines that are gone.
            orders.terminated = self.fleet.terminated_within(now, Micros::MAX);
        }
        orders.quota = self.quota_orders(context, id, reconciled).map(Box::new);
        if let Some(partition) = self.remote_partitions.by_id.get_mut(&id) {
            let reserved = orders.quota.iter().flat_map(|quota| &quota.reserved);
            partition.reserved_sent = reserved.cloned().collect();
        }
        Some(orders)
    }

    /// All tasks that may be on the partition's machines.
    fn tasks_in_partition(&self, id: PartitionId) -> Vec<PlacedTask> {
        let machines = self.machines.values();
        let machines = machines.filter(|machine| machine.partition == Some(id));
        let tasks = machines.flat_map(|machine| {
            let may_be_on_machine = machine.assignments.iter().filter(|a| a.may_be_on_machine());
            may_be_on_machine.map(|a| placed_task(&machine.name, a))
        });
        tasks.collect()
    }

    fn add_launches_and_stops(&mut self, context: &Context, orders: &mut PartitionOrders) {
        let now = context.now.steady;
        let (write_buffer, jobs) = (&self.write_buffer, &self.jobs);
        let machines = self.machines.values_mut();
        for machine in machines.filter(|m| m.partition == Some(orders.partition)) {
            let may_take_tasks = machine.reclaim_at.is_none();
            for a in &mut machine.assignments {
                if orders.launches.len() < MAX_ORDERS {
                    let launchable = may_take_tasks
                        && a.incarnation == machine.incarnation
                        && is_launchable(a, jobs, write_buffer);
                    // From now on it may be there, whether the message arrives or not.
                    if launchable {
                        a.launched = Some((machine.incarnation, 0));
                    }
                    if a.may_be_on_machine() && !a.delivered && !a.is_recovered() {
                        orders.launches.push(placed_task(&machine.name, a));
                    }
                }
                if orders.stops.len() < MAX_ORDERS {
                    orders.stops.extend(due_stop(&machine.name, a, now));
                }
            }
        }
    }

    /// Attempts whose outcome is on record.
    fn attempts_to_acknowledge(&self, id: PartitionId) -> Vec<TaskAttempt> {
        let Some(partition) = self.remote_partitions.by_id.get(&id) else {
            return Vec::new();
        };
        let not_on_record: BTreeSet<TaskAttempt> = self
            .machines
            .values()
            .filter(|machine| machine.partition == Some(id))
            .flat_map(|machine| &machine.exited_attempts)
            .filter(|exited| !self.is_durable(&exited.prerequisites, exited.job))
            .filter_map(ExitedAttempt::id)
            .collect();
        let applied = partition.applied_outcomes.iter().copied();
        applied
            .filter(|attempt| !not_on_record.contains(attempt))
            .take(MAX_ORDERS)
            .collect()
    }
}

/// Whether the assignment is on record, and its task is still to be launched.
fn is_launchable(a: &Assignment, jobs: &Jobs, write_buffer: &WriteBuffer) -> bool {
    let job = jobs.get(a.job);
    let is_wanted =
        job.is_some_and(|job| job.cancelled_at.is_none() && !job.is_task_completed(a.task));
    let is_on_record = write_buffer.is_durable(&RecordId::AssignmentPage(a.page), a.page_version);
    a.launched.is_none() && a.stop.is_none() && is_wanted && is_on_record
}

/// The order to stop a task, if one is due; it counts as sent from now on.
fn due_stop(machine: &str, a: &mut Assignment, now: Micros) -> Option<TaskStop> {
    let id = a.id();
    let stop = a.stop.as_mut().filter(|_| a.launched.is_some())?;
    if stop
        .sent_at
        .is_some_and(|at| now < at + STOP_RETRY_INTERVAL)
    {
        return None;
    }
    stop.sent_at = Some(now);
    Some(TaskStop {
        machine: machine.to_string(),
        id,
        grace_us: stop.grace,
    })
}

/// The zones in which machines can be provisioned.
fn zones_with_machines(context: &Context) -> BTreeSet<String> {
    let machine_types = context.catalogue.iter().flatten();
    machine_types
        .flat_map(|machine_type| machine_type.zones.iter().cloned())
        .collect()
}

fn planner_settings(context: &Context) -> PlannerSettings {
    PlannerSettings {
        partitions_per_zone: context.tuning.partitions_per_zone as u16,
        move_interval: context.tuning.partition_move_interval_us,
        hysteresis: context.tuning.partition_hysteresis,
        moves_paused: context.tuning.partition_moves_paused != 0,
    }
}
