//! Which tasks the leader delegates to the holders of partitions, and which it revokes.

use crate::context::Context;
use crate::scheduler::leader::placement::tasks::PlacingJob;
use crate::scheduler::leader::placement::{DelegationKind, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources, OpenMachine};
use crate::state::delegations::{Delegation, TaskKey};
use crate::state::jobs::{JobIndex, RESOURCE_TOLERANCE};
use crate::state::machine::{Assignment, Machine, PlannedTask};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::Submission;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// A holder is given tasks for resources that are freed within this time, so that it can go on without the
/// leader.
const LOOKAHEAD: Micros = 4 * SECOND;

/// Tasks for which there was room are revoked if they are not placed within this time.
const PLACEMENT_TIMEOUT: Micros = 3 * SECOND / 2;

/// How long a holder that had to return such tasks is given none.
const SLOW_HOLDER_BACKOFF: Micros = 5 * SECOND;

/// Tasks that wait for resources are revoked if they are not placed within this time.
const RESOURCES_TIMEOUT: Micros = 2 * LOOKAHEAD;

/// A machine of a partition whose holder places tasks, and the resources that will be free on it soon.
struct FreeingMachine {
    name: String,
    partition: PartitionId,
    machine_type: String,
    zone: String,
    spot: bool,
    free: MachineResources,
}

impl FreeingMachine {
    fn take(&mut self, spec: &Submission) {
        self.free = self.free - MachineResources::of_task(spec);
    }

    fn is_full(&self) -> bool {
        self.free.cpus <= RESOURCE_TOLERANCE
    }
}

impl Scheduler {
    /// Charges a task to a partition's quota grant, which grows if it has to and the team's limit allows it.
    /// Whether it did.
    pub(crate) fn charge(
        &mut self,
        context: &Context,
        partition: PartitionId,
        team: &str,
        amount: Resources,
    ) -> bool {
        let limit = self.limit_of(context, team).unwrap_or_default().limit;
        let needed = self.needed_by(team).saturating_add(amount);
        // What is granted but not needed is no room under a limit that was lowered.
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
            self.write_quota_grant(context, partition, 0);
        } else {
            self.leader_quota
                .teams_short_of_room
                .insert(team.to_string());
        }
        queued.is_ok()
    }

    /// Writes the partition's quota grant after this delay, if it is not what is on record.
    pub(crate) fn write_quota_grant(
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

    /// Delegates a task to the holder of a partition, which is to place it on this machine if it can.
    pub(crate) fn delegate(
        &mut self,
        context: &Context,
        placing: &PlacingJob,
        partition: PartitionId,
        (task, given): (u64, DelegationKind),
        machine: &str,
    ) {
        let (now, spec) = (context.now.steady, &placing.spec);
        let awaits_resources = given == DelegationKind::Waiting;
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
            amount: placing.task,
            awaits_resources,
            level: placing.level,
            expected_stay: placing.expected,
            delegated_at: now,
            sent: false,
            confirmed: false,
        };
        debug!(
            job = spec.id, task = task, partition = partition, given:? = given;
            "delegated a task to a partition holder"
        );
        let delegations = &mut self.leader_quota.delegations;
        delegations.insert(TaskKey::new(placing.index, task), delegation);
    }

    /// Accounts for a task on the machine on which a holder is to place it.
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

    /// A task is no longer delegated to a holder: it is placed, or was returned.
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

    /// A task that a holder was to place is the leader's to place again.
    pub(crate) fn return_task(&mut self, context: &Context, task: TaskKey) {
        let Some(delegation) = self.end_delegation(task) else {
            return;
        };
        let now = context.now.steady;
        debug!(
            job = delegation.job_id, task = task.task, partition = delegation.partition;
            "a partition holder returned a task"
        );
        if !delegation.awaits_resources {
            self.on_not_placed_in_time(&delegation, now);
        }
        if let Some(job) = self.jobs.get_mut(task.job) {
            job.unassign_task(task.task);
            if job.waiting_count() > 0 && job.waiting_since.is_none() {
                job.waiting_since = Some(now);
            }
        }
        self.placement.request_round(now);
        self.end_if_over(context, task.job);
    }

    /// A task for which there was room was returned: it is no longer charged, and a slow holder is given no
    /// tasks for a while.
    fn on_not_placed_in_time(&mut self, delegation: &Delegation, now: Micros) {
        let partition = delegation.partition;
        if now.saturating_sub(delegation.delegated_at) > PLACEMENT_TIMEOUT {
            let until = now + SLOW_HOLDER_BACKOFF;
            self.leader_quota.holder_slow_until.insert(partition, until);
        }
        let grants = &mut self.leader_quota.grants;
        grants.remove_queued(partition, &delegation.team, delegation.amount, now);
    }

    /// Revokes a job's tasks from all holders, as far as they are not placed.
    pub(crate) fn revoke_job(&mut self, context: &Context, index: JobIndex) {
        let tasks = self.leader_quota.delegations.of_job(index);
        let tasks: Vec<(TaskKey, PartitionId, bool)> = tasks
            .map(|(task, delegation)| (task, delegation.partition, delegation.sent))
            .collect();
        for (task, partition, sent) in tasks {
            if sent {
                self.leader_quota.delegations.revoke(partition, index);
            } else {
                self.return_task(context, task);
            }
        }
    }

    /// The resources on each machine that are promised to tasks that wait for them.
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

    fn delegations_awaiting_resources(&self) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let delegations = self.leader_quota.delegations.iter();
        delegations.filter(|(_, delegation)| delegation.awaits_resources)
    }

    /// What of each partition's quota grants will not be used soon, less what is promised to tasks.
    fn grants_unused_soon(&self, context: &Context) -> BTreeMap<(PartitionId, String), Resources> {
        let now = context.now.steady;
        let mut unused = BTreeMap::new();
        for machine in self.machines.values() {
            let Some(partition) = machine.partition.filter(|id| self.holder_places(*id)) else {
                continue;
            };
            let assignments = machine.assignments.iter();
            for a in assignments.filter(|a| a.by_holder && ends_soon(a, now)) {
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

    /// Machines on which tasks will free resources soon, less what is promised to tasks.
    fn freeing_machines(&self, context: &Context) -> Vec<FreeingMachine> {
        let mut freeing: BTreeMap<&str, FreeingMachine> = self
            .machines
            .values()
            .filter_map(|machine| self.freeing_machine(context, machine))
            .collect();
        for (task, delegation) in self.delegations_awaiting_resources() {
            let machine = freeing.get_mut(delegation.machine.as_str());
            if let (Some(machine), Some(job)) = (machine, self.jobs.get(task.job)) {
                machine.take(&job.spec);
            }
        }
        let freeing = freeing.into_values();
        freeing.filter(|machine| !machine.is_full()).collect()
    }

    /// What will be free on a machine soon; `None` if no task frees anything on it or its holder is given no
    /// tasks.
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

    /// Delegates tasks for the resources that are freed soon, in the order in which jobs are served. Quota
    /// grants do not grow for them: they use what the tasks before them leave.
    ///
    /// Teams in `kept_teams` get nothing: what their tasks leave of their limit is kept for a job that needs
    /// more of it at once.
    pub(crate) fn delegate_ahead(
        &mut self,
        context: &Context,
        queue: &[QueuedJob],
        kept_teams: &BTreeSet<String>,
    ) {
        let leader_level = self.level_for_leader(context, queue);
        self.revoke_awaiting_resources(|d| leader_level.is_some_and(|level| d.level >= level));
        self.revoke_awaiting_resources(|d| kept_teams.contains(&d.team));
        let mut freeing = self.freeing_machines(context);
        let mut unused = self.grants_unused_soon(context);
        for queued in queue {
            if freeing.is_empty() || leader_level.is_some_and(|level| queued.level >= level) {
                break;
            }
            // They use what other tasks leave, so a limit that is used up does not matter.
            let placing = self.prepare_placing(context, *queued);
            let Some(mut placing) = placing.filter(PlacingJob::is_for_holders) else {
                continue;
            };
            let team = &placing.spec.team;
            if kept_teams.contains(team) || self.is_over_limit(context, team) {
                continue;
            }
            for machine in &mut freeing {
                let grant = (machine.partition, placing.spec.team.clone());
                if let Some(unused) = unused.get_mut(&grant) {
                    self.delegate_for_later(context, &mut placing, machine, unused);
                }
            }
            freeing.retain(|machine| !machine.is_full());
            // What is left is for more tasks of this job. Less urgent jobs would take it first: resources that
            // were preempted for a team below its guaranteed share would then go to others again.
            if placing.has_more() && self.has_quota(context, queued.index) {
                self.revoke_awaiting_resources(|d| d.level > queued.level);
                break;
            }
        }
    }

    /// The most urgent level of jobs that only the leader can place: gangs, and jobs that have waited too long
    /// to begin or to catch up. Holders must not take the resources for them first.
    fn level_for_leader(&self, context: &Context, queue: &[QueuedJob]) -> Option<u8> {
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

    /// Revokes tasks that wait for resources at holders, of those that are chosen.
    fn revoke_awaiting_resources(&mut self, is_chosen: impl Fn(&Delegation) -> bool) {
        let delegations = self.delegations_awaiting_resources();
        let chosen = delegations.filter(|(_, delegation)| is_chosen(delegation));
        let chosen: BTreeSet<(PartitionId, JobIndex)> = chosen
            .map(|(task, delegation)| (delegation.partition, task.job))
            .collect();
        for (partition, index) in chosen {
            self.leader_quota.delegations.revoke(partition, index);
        }
    }

    /// Delegates tasks of a job for what will be free on a machine, as far as the quota grant will have room.
    fn delegate_for_later(
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
        let amount = placing.task;
        while tasks_that_fit(machine.free, &spec) > 0 && amount.fits(*unused) && placing.has_more()
        {
            let job = self.jobs.get_mut(placing.index);
            let Some(task) = job.and_then(|job| job.assign_next_task(context.now.steady)) else {
                return;
            };
            machine.take(&spec);
            *unused = unused.saturating_sub(amount);
            placing.take_one();
            let given = (task, DelegationKind::Waiting);
            self.delegate(context, placing, machine.partition, given, &machine.name);
        }
    }

    /// Revokes tasks that holders have not placed in time, and tasks that wait for resources while another
    /// machine has room.
    pub(crate) fn revoke_overdue(&mut self, context: &Context, open: &[OpenMachine]) {
        let now = context.now.steady;
        let mut overdue: Vec<(PartitionId, JobIndex)> = Vec::new();
        for (task, delegation) in self.leader_quota.delegations.iter() {
            let (partition, index) = (delegation.partition, task.job);
            let chosen = overdue.last() == Some(&(partition, index));
            if chosen || self.leader_quota.delegations.is_revoked(partition, index) {
                continue;
            }
            let waited = now.saturating_sub(delegation.delegated_at);
            let is_overdue = if delegation.awaits_resources {
                waited > RESOURCES_TIMEOUT
                    || (waited > PLACEMENT_TIMEOUT
                        && self.has_room_elsewhere(context, partition, index, open))
            } else {
                waited > PLACEMENT_TIMEOUT
            };
            if is_overdue {
                overdue.push((partition, index));
            }
        }
        for (partition, index) in overdue {
            self.leader_quota.delegations.revoke(partition, index);
        }
    }

    /// Whether a machine outside the partition has room for a task of the job.
    fn has_room_elsewhere(
        &self,
        context: &Context,
        partition: PartitionId,
        index: JobIndex,
        open: &[OpenMachine],
    ) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return true;
        };
        let spec = &job.spec;
        let mut elsewhere = open.iter().filter(|o| o.placed_by != Some(partition));
        elsewhere.any(|machine| {
            let (machine_type, zone) = (&machine.machine_type, &machine.zone);
            tasks_that_fit(machine.free, spec) > 0
                && permits(context, spec, machine_type, zone, machine.spot)
        })
    }
}

/// Whether the task is likely to free its resources soon.
fn ends_soon(a: &Assignment, now: Micros) -> bool {
    a.stop.is_some() || a.remaining_time(now, 0) < LOOKAHEAD
}
