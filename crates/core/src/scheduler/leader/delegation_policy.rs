//! Decides which tasks the leader delegates to partition holders. `revocations` takes them back.
//!
//! The holder of a partition places a delegated task on one of the partition's machines. The task is charged to the
//! holder's quota grant if there are free resources for it. A task may also be delegated to wait for resources and
//! quota that other tasks will free; these resources are promised to it.

use crate::context::Context;
use crate::scheduler::leader::placement::tasks::PlacingJob;
use crate::scheduler::leader::placement::{DelegationKind, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::delegations::{Delegation, TaskKey};
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::machine::{Assignment, Machine, PlannedTask};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::Submission;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// Tasks are delegated for resources that are expected to be freed within this time, so that a holder can continue
/// to place tasks without hearing from the leader.
pub(crate) const LOOKAHEAD_US: Micros = 4 * SECOND;

/// A machine of a partition whose holder places tasks, with the resources that will be free on it soon.
struct FreeingMachine {
    name: String,
    partition: PartitionId,
    machine_type: String,
    zone: String,
    spot: bool,
    free: MachineResources,
}

impl FreeingMachine {
    /// Subtracts the resources of one task of the job from those that will be free.
    fn allocate_task(&mut self, spec: &Submission) {
        self.free = self.free - MachineResources::of_task(spec);
    }

    /// Returns whether no CPUs will be free.
    fn is_full(&self) -> bool {
        self.free.cpus <= RESOURCE_TOLERANCE
    }
}

impl Scheduler {
    /// Charges a task to a partition's quota grant if the team's limit allows it, and returns whether it did. The
    /// grant grows if it is too small for the task. A refusal marks the team as short of quota.
    pub(crate) fn try_charge_quota_grant(
        &mut self,
        context: &Context,
        partition: PartitionId,
        team: &str,
        amount: Resources,
    ) -> bool {
        let limit = self.team_quota(context, team).unwrap_or_default().limit;
        let needed = self.resources_needed_by(team).saturating_add(amount);
        // After a limit was lowered, granted but unused quota may exceed it, so it must not be used for new tasks.
        if !needed.fits(limit) || self.is_over_limit(context, team) {
            self.leader_quota
                .teams_short_of_room
                .insert(team.to_string());
            return false;
        }
        let room = self.room_under_limit(context, team);
        let delegations = &self.leader_quota.delegations;
        let promised = delegations.awaiting_resources(partition, team);
        let grants = &mut self.leader_quota.grants;
        let queued = grants.add_queued(partition, team, amount, promised, room);
        if queued.is_ok() {
            self.schedule_quota_grant_write(context, partition, 0);
        } else {
            self.leader_quota
                .teams_short_of_room
                .insert(team.to_string());
        }
        queued.is_ok()
    }

    /// Schedules a write of the partition's quota grant after this delay if it differs from the record.
    pub(crate) fn schedule_quota_grant_write(
        &mut self,
        context: &Context,
        partition: PartitionId,
        delay: Micros,
    ) {
        if self.leader_quota.grants.differs_from_record(partition) {
            let due = context.now.steady + delay;
            self.write_buffer
                .mark_dirty_by(RecordId::QuotaGrant(partition), due);
        }
    }

    /// Delegates a task to the holder of a partition and proposes `machine` to it: the holder places the task there if
    /// it can, and otherwise on another machine of the partition.
    pub(crate) fn delegate_task(
        &mut self,
        context: &Context,
        placing: &PlacingJob,
        partition: PartitionId,
        (task, kind): (u64, DelegationKind),
        machine: &str,
    ) {
        let (now, spec) = (context.now.steady, &placing.spec);
        let awaits_resources = kind == DelegationKind::Waiting;
        if !awaits_resources {
            self.plan_on_machine(context, placing, task, machine);
        }
        if let Some(job) = self.jobs.get_mut(placing.index) {
            job.delegated_count += 1;
            job.waiting_at_holders += u64::from(awaits_resources);
        }
        let delegation = Delegation {
            partition,
            job_id: spec.id.clone(),
            machine: machine.to_string(),
            team: spec.team.clone(),
            amount: placing.task_amount,
            awaits_resources,
            level: placing.level,
            expected_stay: placing.expected_stay,
            delegated_at: now,
            sent: false,
            confirmed: false,
        };
        debug!(
            job = spec.id, task = task, partition = partition, given:? = kind;
            "delegated a task to a partition holder"
        );
        let delegations = &mut self.leader_quota.delegations;
        delegations.insert(TaskKey::new(placing.index, task), delegation);
    }

    /// Counts the resources of a task as used on the machine on which a holder is to place it.
    fn plan_on_machine(
        &mut self,
        context: &Context,
        placing: &PlacingJob,
        task: u64,
        machine: &str,
    ) {
        let spec = &placing.spec;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.add_planned_task(PlannedTask {
                job: placing.index,
                task,
                resources: MachineResources::of_task(spec),
            });
            machine.use_image(&spec.image, spec.image_gb);
            machine.idle_since = context.now.steady;
        }
    }

    /// Ends the delegation of a task that is placed or that the holder will not place, and returns the delegation.
    pub(crate) fn end_delegation(&mut self, task: TaskKey) -> Option<Delegation> {
        let delegation = self.leader_quota.delegations.remove(task)?;
        if let Some(machine) = self.machines.get_mut(&delegation.machine) {
            machine.remove_planned_task(task.job, task.task);
        }
        if let Some(job) = self.jobs.get_mut(task.job) {
            let waiting = u64::from(delegation.awaits_resources);
            job.delegated_count = job.delegated_count.saturating_sub(1);
            job.waiting_at_holders = job.waiting_at_holders.saturating_sub(waiting);
        }
        Some(delegation)
    }

    /// Returns the resources on each machine that are promised to delegated tasks that wait for resources.
    pub(crate) fn promised_resources(&self) -> BTreeMap<&str, MachineResources> {
        let mut promised = BTreeMap::new();
        for (task, delegation) in self.delegations_awaiting_resources() {
            let Some(job) = self.jobs.get(task.job) else {
                continue;
            };
            let resources = promised.entry(delegation.machine.as_str());
            let resources: &mut MachineResources = resources.or_default();
            *resources = *resources + MachineResources::of_task(&job.spec);
        }
        promised
    }

    pub(crate) fn delegations_awaiting_resources(
        &self,
    ) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let delegations = self.leader_quota.delegations.iter();
        delegations.filter(|(_, delegation)| delegation.awaits_resources)
    }

    /// Returns the part of each partition's quota grant that will be unused soon, without what is promised to
    /// delegated tasks that wait for resources. A team is listed only if a task of it that the holder placed will
    /// end soon.
    fn grants_unused_soon(&self, context: &Context) -> BTreeMap<(PartitionId, String), Resources> {
        let now = context.now.steady;
        let mut unused = BTreeMap::new();
        for machine in self.machines.values() {
            let Some(partition) = machine.partition.filter(|id| self.holder_places_tasks(*id))
            else {
                continue;
            };
            let assignments = machine.assignments.iter();
            for a in assignments.filter(|a| a.placed_by_holder && ends_soon(a, now)) {
                let unused = unused.entry((partition, a.team.clone()));
                let unused: &mut Resources = unused.or_default();
                *unused = unused.saturating_add(a.amount());
            }
        }
        for ((partition, team), unused) in &mut unused {
            let slack = self.leader_quota.grants.slack(*partition, team);
            let delegations = &self.leader_quota.delegations;
            let promised = delegations.awaiting_resources(*partition, team);
            *unused = unused.saturating_add(slack).saturating_sub(promised);
        }
        unused
    }

    /// Returns the machines on which tasks will free resources soon, without the resources that are promised to
    /// delegated tasks.
    fn freeing_machines(&self, context: &Context) -> Vec<FreeingMachine> {
        let mut freeing: BTreeMap<&str, FreeingMachine> = self
            .machines
            .values()
            .filter_map(|machine| self.freeing_machine(context, machine))
            .collect();
        for (task, delegation) in self.delegations_awaiting_resources() {
            let machine = freeing.get_mut(delegation.machine.as_str());
            if let (Some(machine), Some(job)) = (machine, self.jobs.get(task.job)) {
                machine.allocate_task(&job.spec);
            }
        }
        let freeing = freeing.into_values();
        freeing.filter(|machine| !machine.is_full()).collect()
    }

    /// Returns the resources that will be free on a machine soon; `None` if no task frees CPUs on it soon, if it
    /// is not usable, or if no tasks may be delegated to its holder.
    fn freeing_machine<'a>(
        &self,
        context: &Context,
        machine: &'a Machine,
    ) -> Option<(&'a str, FreeingMachine)> {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        if !machine.is_usable(now, heartbeat_timeout) {
            return None;
        }
        let partition = machine.partition?;
        if !self.may_delegate_to(context, partition) {
            return None;
        }
        let free_now = machine.free();
        let ending = machine.assignments.iter().filter(|a| ends_soon(a, now));
        let free_soon = ending.fold(free_now, |free, a| free + a.resources());
        if free_soon.cpus <= free_now.cpus {
            return None;
        }
        let freeing = FreeingMachine {
            name: machine.name.clone(),
            partition,
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: free_soon,
        };
        Some((&machine.name, freeing))
    }

    /// Delegates tasks for resources that will be freed soon, in the order of the job queue. Quota grants do not
    /// grow for these tasks, which use the quota of the tasks that end.
    ///
    /// No tasks of `teams_with_reserved_quota` are delegated: the quota that their tasks free is reserved for a
    /// job that needs more of it at once.
    pub(crate) fn delegate_to_freeing_machines(
        &mut self,
        context: &Context,
        queue: &[QueuedJob],
        teams_with_reserved_quota: &BTreeSet<String>,
    ) {
        let leader_only_level = self.most_urgent_leader_only_level(context, queue);
        self.revoke_awaiting_resources(context, |d| {
            leader_only_level.is_some_and(|level| d.level >= level)
                || teams_with_reserved_quota.contains(&d.team)
        });
        let mut freeing = self.freeing_machines(context);
        let mut unused = self.grants_unused_soon(context);
        for queued in queue {
            if freeing.is_empty() || leader_only_level.is_some_and(|level| queued.level >= level) {
                break;
            }
            // The delegated tasks use quota of the team's tasks that are being stopped or are expected to end soon,
            // so it does not matter how much of the team's limit is unused.
            let placing = self.prepare_placing(context, *queued);
            let Some(mut placing) = placing.filter(PlacingJob::is_for_holders) else {
                continue;
            };
            let team = &placing.spec.team;
            if teams_with_reserved_quota.contains(team) || self.is_over_limit(context, team) {
                continue;
            }
            for machine in &mut freeing {
                let grant = (machine.partition, placing.spec.team.clone());
                if let Some(unused) = unused.get_mut(&grant) {
                    self.delegate_to_freeing_machine(context, &mut placing, machine, unused);
                }
            }
            freeing.retain(|machine| !machine.is_full());
            // The remaining resources are for more tasks of this job. If tasks of less urgent jobs were delegated
            // for them, resources that were freed by preemption for a team below its guaranteed share would go to
            // other teams again.
            if placing.has_more() && self.has_quota(context, queued.index) {
                self.revoke_awaiting_resources(context, |d| d.level > queued.level);
                break;
            }
        }
    }

    /// Returns the most urgent level in the job queue, which is the lowest number, of the jobs that fit their
    /// team's limit and that only the leader can place. Examples are gangs, jobs that have waited too long for
    /// their first task, and jobs that catch up because their tasks have waited too long without any placement.
    /// Holders must not use the resources that these jobs wait for.
    fn most_urgent_leader_only_level(&self, context: &Context, queue: &[QueuedJob]) -> Option<u8> {
        let now = context.now.steady;
        let needs_leader = |queued: &&QueuedJob| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|job| {
                job.placeable_count(now) > 0 && !job.may_be_placed_by_holders(now)
            }) && self.has_quota(context, queued.index)
        };
        let queue = queue.iter().filter(needs_leader);
        queue.map(|queued| queued.level).min()
    }

    /// Delegates tasks of a job for the resources that will be free on a machine, as far as they fit `unused`, the
    /// part of the quota grant that will be unused.
    fn delegate_to_freeing_machine(
        &mut self,
        context: &Context,
        placing: &mut PlacingJob,
        machine: &mut FreeingMachine,
        unused: &mut Resources,
    ) {
        let spec = placing.spec.clone();
        let (machine_type, zone) = (&machine.machine_type, &machine.zone);
        if !permits(context, &spec, machine_type, zone, machine.spot) {
            return;
        }
        let amount = placing.task_amount;
        while tasks_that_fit(machine.free, &spec) > 0 && amount.fits(*unused) && placing.has_more()
        {
            let job = self.jobs.get_mut(placing.index);
            let Some(task) = job.and_then(|job| job.assign_next_task(context.now.steady)) else {
                return;
            };
            machine.allocate_task(&spec);
            *unused = unused.saturating_sub(amount);
            placing.count_placed_task();
            let delegated = (task, DelegationKind::Waiting);
            self.delegate_task(
                context,
                placing,
                machine.partition,
                delegated,
                &machine.name,
            );
        }
    }
}

/// Returns whether the task is being stopped or is expected to end soon.
fn ends_soon(a: &Assignment, now: Micros) -> bool {
    a.stop.is_some() || a.remaining_time(now, 0) < LOOKAHEAD_US
}
