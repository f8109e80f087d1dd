//! Manages partitions for the leader: creates and assigns them, and builds the orders to their holders.

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

/// Maximum number each of launches, stops and acknowledgements in one message.
const MAX_ORDERS_PER_MESSAGE: usize = 500;

/// Time between two planner rounds.
const PLAN_INTERVAL_US: Micros = 300 * MILLI;

/// Time after a change of leader during which no partition is moved to balance the load.
const STABILIZATION_TIME_US: Micros = 20 * SECOND;

/// A holder to which tasks are delegated and that has not answered for this long loses its partition.
const HOLDER_TIMEOUT_US: Micros = 5 * SECOND;

/// Time after which a stop is repeated.
const STOP_RETRY_INTERVAL_US: Micros = SECOND;

impl Scheduler {
    /// Loads the partitions that were read from the key-value store into the state of a new leader. Removes all of
    /// them if a record cannot be decoded.
    pub(crate) fn load_partitions(&mut self, context: &Context, map: &PartitionMap) {
        for (id, record) in map.iter() {
            let mut partition = RemotePartition::new(record.record.clone());
            partition.claim = record.claim.as_ref().map(RemoteClaim::from);
            self.remote_partitions.by_id.insert(id, partition);
        }
        if map.unreadable_keys().next().is_some() {
            self.remove_partitions(context, "a partition record cannot be decoded", map.keys());
        }
    }

    /// Starts to remove all partitions and their quota grants from the store. The machines may have seen fencing
    /// tokens higher than this leader's, so only the next leader can manage them.
    fn remove_partitions(&mut self, context: &Context, reason: &'static str, keys: Vec<String>) {
        if self.remote_partitions.removal_reason.is_none() {
            warn!(reason = reason; "removing all partitions");
            self.remote_partitions.removal_reason = Some(reason);
        }
        let partitions = self.remote_partitions.by_id.keys();
        let grants = partitions.map(|id| quota_grant_key(*id));
        let in_store = &self.write_buffer.mod_revisions;
        let grants: Vec<String> = grants.filter(|key| in_store.contains_key(key)).collect();
        for key in keys.into_iter().chain(grants) {
            let id = RecordId::Deleted(key.clone());
            self.write_buffer.mark_dirty(id, context.now.steady);
            self.remote_partitions.keys_to_delete.insert(key);
        }
    }

    /// Returns the reason for the removal of all partitions once they are removed from the store. This leader then
    /// has to step down.
    pub(crate) fn finished_removal_reason(&self) -> Option<&'static str> {
        let reason = self.remote_partitions.removal_reason?;
        let mut keys = self.remote_partitions.keys_to_delete.iter();
        let is_left = |key: &String| self.write_buffer.is_dirty(&RecordId::Deleted(key.clone()));
        (!keys.any(is_left)).then_some(reason)
    }

    /// Applies the claims that have changed in the partition map. After a change, nothing is launched on the
    /// partition's machines until the new holder reports.
    pub(crate) fn apply_claim_changes(&mut self, map: &PartitionMap) {
        for (id, partition) in &mut self.remote_partitions.by_id {
            let Some(observed) = map.get(*id) else {
                continue;
            };
            // This controller's copy of the partition map may be older than a claim on the partition that this
            // leader has read itself.
            let known_token = partition.claim_token();
            let has_changed = match &observed.claim {
                Some(claim) => known_token.is_none_or(|known| claim.token > known),
                None => known_token.is_some(),
            };
            if !has_changed {
                continue;
            }
            partition.on_claim_changed(observed.claim.as_ref().map(RemoteClaim::from));
            let machines = self.machines.values_mut();
            for machine in machines.filter(|machine| machine.partition == Some(*id)) {
                // Nothing can be launched there until the holder reports that its responses reach the machine.
                machine.receives_responses = false;
            }
        }
    }

    /// Returns the member that holds the partition.
    pub(crate) fn holder_of(&self, id: PartitionId) -> Option<String> {
        let claim = self.remote_partitions.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.member.clone())
    }

    /// Runs the planner, which creates, reassigns and moves partitions. If a member does not support partitions,
    /// removes all of them instead.
    pub(crate) fn plan_partitions(
        &mut self,
        context: &mut Context,
        map: &PartitionMap,
        members: &MemberView,
    ) {
        if self.remote_partitions.removal_reason.is_some() {
            return;
        }
        self.remote_partitions.next_planning_at = context.now.steady + PLAN_INTERVAL_US;
        if members.any_without_partitions && !self.remote_partitions.by_id.is_empty() {
            let reason = "a member does not support partitions";
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

    /// Returns whether the leader has not changed recently, all holders are reconciled and the store answers in
    /// time.
    fn is_stable(&self, context: &Context) -> bool {
        let leading_for = context.now.steady.saturating_sub(self.loaded_at);
        let mut partitions = self.remote_partitions.by_id.values();
        let reconciled = partitions.all(|partition| partition.reconciled);
        leading_for > STABILIZATION_TIME_US && reconciled && !self.store_is_slow()
    }

    /// Returns the partitions to whose holder tasks are delegated and whose holder has not answered for a while.
    fn partitions_of_unreachable_holders(&self, context: &Context) -> BTreeSet<PartitionId> {
        let now = context.now.steady;
        let partitions = self.remote_partitions.by_id.iter();
        let delegations = &self.leader_quota.delegations;
        let with_tasks = partitions.filter(|(id, _)| delegations.has_tasks_in(**id));
        let unreachable = with_tasks.filter(|(_, partition)| {
            let since = partition.last_report_at.max(self.loaded_at);
            now.saturating_sub(since) > HOLDER_TIMEOUT_US
        });
        unreachable.map(|(id, _)| *id).collect()
    }

    /// Returns the number of the next new partition. It must be higher than that of any partition whose holder has
    /// left pages, since a partition's number determines its pages.
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

    /// Assigns a partition to a member and schedules the write of its record. The machines of a new partition
    /// belong to its holder from now on: the store may apply the record from the moment at which it is sent, and
    /// then the holder renews their leases.
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

    /// Hands the machines of a new partition that the leader has managed itself over to the partition's holder.
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

    /// Returns the orders that are due now and counts them as sent.
    pub(crate) fn take_due_orders(&mut self, context: &Context) -> Vec<PartitionOrders> {
        let now = context.now.steady;
        let partitions = self.remote_partitions.by_id.iter();
        let due = partitions.filter(|(_, partition)| {
            let is_ready = partition.claim.is_some() && !partition.awaiting_report;
            is_ready && now >= partition.next_orders_at
        });
        let due: Vec<PartitionId> = due.map(|(id, _)| *id).collect();
        due.into_iter()
            .filter_map(|id| self.build_orders(context, id))
            .collect()
    }

    fn build_orders(&mut self, context: &Context, id: PartitionId) -> Option<PartitionOrders> {
        let now = context.now.steady;
        let partition = self.remote_partitions.by_id.get_mut(&id)?;
        let claim = partition.claim_token()?;
        partition.awaiting_report = true;
        partition.next_orders_at = now + context.tuning.partition_poll_us;
        let reconciled = partition.reconciled;
        let last_known_version = partition.state_version;
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
            last_known_version,
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

    /// Returns all tasks that may be on the partition's machines.
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
                if orders.launches.len() < MAX_ORDERS_PER_MESSAGE {
                    let may_launch = may_take_tasks
                        && a.incarnation == machine.incarnation
                        && is_launchable(a, jobs, write_buffer);
                    // From now on the task may be on the machine, whether or not the message arrives.
                    if may_launch {
                        a.launched = Some((machine.incarnation, 0));
                    }
                    if a.may_be_on_machine() && !a.delivered && !a.is_recovered() {
                        orders.launches.push(placed_task(&machine.name, a));
                    }
                }
                if orders.stops.len() < MAX_ORDERS_PER_MESSAGE {
                    orders.stops.extend(take_due_stop(&machine.name, a, now));
                }
            }
        }
    }

    /// Returns the attempts in the partition whose outcomes this leader has applied and, as far as they have to be
    /// recorded, written to the key-value store. The holder may drop them.
    fn attempts_to_acknowledge(&self, id: PartitionId) -> Vec<TaskAttempt> {
        let Some(partition) = self.remote_partitions.by_id.get(&id) else {
            return Vec::new();
        };
        let not_durable: BTreeSet<TaskAttempt> = self
            .machines
            .values()
            .filter(|machine| machine.partition == Some(id))
            .flat_map(|machine| &machine.exited_attempts)
            .filter(|exited| !self.is_durable(&exited.prerequisites, exited.job))
            .filter_map(ExitedAttempt::id)
            .collect();
        let applied = partition.applied_outcomes.iter().copied();
        applied
            .filter(|attempt| !not_durable.contains(attempt))
            .take(MAX_ORDERS_PER_MESSAGE)
            .collect()
    }
}

/// Returns whether the assignment is durable and its task is still to be launched.
fn is_launchable(a: &Assignment, jobs: &Jobs, write_buffer: &WriteBuffer) -> bool {
    let job = jobs.get(a.job);
    let is_wanted =
        job.is_some_and(|job| job.cancelled_at.is_none() && !job.is_task_completed(a.task));
    let is_durable = write_buffer.is_durable(&RecordId::AssignmentPage(a.page), a.page_version);
    a.launched.is_none() && a.stop.is_none() && is_wanted && is_durable
}

/// Returns the order to stop a task if one is due, and counts it as sent.
fn take_due_stop(machine: &str, a: &mut Assignment, now: Micros) -> Option<TaskStop> {
    let id = a.id();
    let stop = a.stop.as_mut().filter(|_| a.launched.is_some())?;
    if stop
        .sent_at
        .is_some_and(|at| now < at + STOP_RETRY_INTERVAL_US)
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

/// Returns the zones in which machines can be provisioned.
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
