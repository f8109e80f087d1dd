//! Builds the part of the messages to partition holders that is about quota grants and delegated tasks, and
//! applies the holders' reports to the leader's state.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::delegations::{Delegation, TaskKey};
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, TaskOnMachine};
use crate::{Micros, MILLI};
use grebewood_partition::PartitionId;
use grebewood_quota::GrantReduction;
use grebewood_wire::peer::{
    DelegatedTask, DelegatedWork, PlacedTask, QuotaOrders, QuotaReport, TaskRanges,
};
use grebewood_wire::records::{TeamAmount, QUOTA_LIMITS_KEY};
use grebewood_wire::validate::MAX_TASKS;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tasks that one message delegates to a holder.
const MAX_DELEGATED_TASKS: usize = 500;

/// Time by which the write of a smaller quota grant is delayed while no team is short of quota.
const GRANT_REDUCTION_DELAY_US: Micros = 500 * MILLI;

impl Scheduler {
    /// Returns the quota grant and the delegated tasks for the partition's holder; `None` while quota grants are not
    /// supported or the key-value store has no limits. Tasks are delegated only to a holder that is `reconciled`.
    pub(crate) fn quota_orders(
        &mut self,
        context: &Context,
        id: PartitionId,
        reconciled: bool,
    ) -> Option<QuotaOrders> {
        if !context.supports_quota_grants() {
            return None;
        }
        let limits_revision = self
            .write_buffer
            .mod_revisions
            .get(QUOTA_LIMITS_KEY)
            .copied()?;
        let grant = self.usable_grant(context, id);
        let work = if reconciled {
            self.work_to_send(id)
        } else {
            Vec::new()
        };
        Some(QuotaOrders {
            grant_version: self.leader_quota.grants.record_version(id),
            limits_revision,
            grant,
            work,
            revoked: self.leader_quota.delegations.revocations_to_send(id),
            reserved: self.reserved_machines(id),
            last_known_version: self.remote_partitions.last_known_placement(id),
        })
    }

    /// Returns what the partition's holder may use of its grant: the grant without the part that is revoked.
    fn usable_grant(&mut self, context: &Context, id: PartitionId) -> Vec<TeamAmount> {
        let teams = self.leader_quota.limits.in_force().iter();
        let over_limit = teams.filter(|(team, _)| self.is_over_limit(context, team));
        let over_limit: BTreeSet<String> = over_limit.map(|(team, _)| team.to_string()).collect();
        let short_of_room = &self.leader_quota.teams_short_of_room;
        let reduction = |team: &str| {
            if over_limit.contains(team) {
                GrantReduction::All
            } else if short_of_room.contains(team) {
                GrantReduction::Slack
            } else {
                GrantReduction::IdleSlack
            }
        };
        let grants = &mut self.leader_quota.grants;
        grants.usable(id, context.now.steady, reduction)
    }

    /// Returns delegated tasks that the holder has not confirmed, and marks them as sent.
    fn work_to_send(&mut self, id: PartitionId) -> Vec<DelegatedWork> {
        let delegations = &self.leader_quota.delegations;
        let tasks = delegations.of_partition(id);
        let unconfirmed = tasks.filter(|(task, delegation)| {
            !delegation.confirmed && !delegations.is_revoked(id, task.job)
        });
        let mut work: BTreeMap<JobIndex, DelegatedWork> = BTreeMap::new();
        let mut sent: Vec<TaskKey> = Vec::new();
        for (task, delegation) in unconfirmed.take(MAX_DELEGATED_TASKS) {
            let of_job = work.entry(task.job).or_insert_with(|| DelegatedWork {
                job: delegation.job_id.clone(),
                level: delegation.level,
                expected_us: delegation.expected_stay,
                tasks: Vec::new(),
            });
            of_job.tasks.push(DelegatedTask {
                task: task.task,
                machine: delegation.machine.clone(),
                awaits_resources: delegation.awaits_resources,
            });
            sent.push(task);
        }
        self.leader_quota.delegations.mark_sent(&sent);
        work.into_values().collect()
    }

    /// Returns the machines of the partition on which nothing new is to be placed.
    fn reserved_machines(&self, id: PartitionId) -> Vec<String> {
        let machines = self.machines.values();
        machines
            .filter(|machine| machine.partition == Some(id))
            .filter(|machine| machine.cordon.is_some() || self.fleet.is_terminating(&machine.name))
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// Applies the tasks that a reconciled holder reports as placed and as still waiting; `quota` is `None` if the
    /// holder places no tasks. The caller applies the outcomes of the same report after this, since they may
    /// belong to tasks that the holder has just placed, and then calls [`Self::apply_held_quota`].
    pub(crate) fn apply_placements(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        quota: Option<&QuotaReport>,
    ) {
        let Some(quota) = quota else {
            return self.on_holder_places_nothing(id);
        };
        if self.leader_quota.placing_partitions.insert(id) {
            info!(partition = id; "partition holder reported that it places tasks");
        }
        for task in &quota.placed {
            self.apply_placement(context, id, task);
        }
        let queued = self.expand_task_ranges(&quota.waiting);
        let delegations = &mut self.leader_quota.delegations;
        for task in delegations.on_queue_reported(id, &queued) {
            self.requeue_delegated_task(context, task);
        }
    }

    /// Handles a report of a holder that places no tasks.
    fn on_holder_places_nothing(&mut self, id: PartitionId) {
        self.leader_quota.placing_partitions.remove(&id);
        if self.leader_quota.delegations.has_tasks_in(id) {
            // The previous holder may have placed some of the delegated tasks. Only the pages show which, so a new
            // leader has to read them.
            self.leader_quota.placements_unknown_reason =
                Some("a partition holder does not report which tasks the previous holder placed");
        }
    }

    /// Applies the amounts that a holder reports as the most that it will use.
    pub(crate) fn apply_held_quota(
        &mut self,
        context: &Context,
        id: PartitionId,
        quota: &QuotaReport,
    ) {
        let now = context.now.steady;
        self.leader_quota
            .grants
            .on_usage_bound(id, &quota.usage_bound, now);
        let delay = if self.leader_quota.teams_short_of_room.is_empty() {
            GRANT_REDUCTION_DELAY_US
        } else {
            0
        };
        self.schedule_quota_grant_write(context, id, delay);
    }

    /// Returns the tasks in these ranges of the jobs that are known.
    fn expand_task_ranges(&self, ranges: &[TaskRanges]) -> BTreeSet<TaskKey> {
        let mut tasks = BTreeSet::new();
        for TaskRanges { job, ranges } in ranges {
            let Some(index) = self.jobs.find(job) else {
                continue;
            };
            for (first, end) in ranges {
                // The bound keeps a faulty message from making this member enumerate more tasks than a job may
                // have.
                let end = (*end).min(MAX_TASKS);
                tasks.extend((*first..end).map(|task| TaskKey::new(index, task)));
            }
        }
        tasks
    }

    /// Applies the placement of a task that a holder reports.
    fn apply_placement(&mut self, context: &Context, id: PartitionId, placed: &PlacedTask) {
        let is_known = |a: &Assignment| a.id() == placed.id();
        let is_already_known = self.assignment_index(&placed.machine, is_known).is_some();
        // A holder may still report tasks of a machine that was terminated.
        if is_already_known || self.fleet.is_terminated(&placed.machine) {
            return;
        }
        let index = self.jobs.find(&placed.job);
        let delegation = self.end_delegation_of(id, placed);
        if delegation.is_none() {
            // The task is still on the holder's pages although an earlier holder reported its end. It counts as
            // placed until its end is proven again.
            debug!(
                partition = id, job = placed.job, task = placed.task;
                "partition holder reported a placed task that was not delegated to it"
            );
        }
        let zone = self.zone_of_partition(id);
        self.recover_machine(context, &placed.machine, &zone, placed.incarnation);
        let job = index.and_then(|index| self.jobs.get_mut(index));
        let spec = job.map(|job| {
            if delegation.is_none() {
                job.assign_task(placed.task);
            }
            job.record_placed(context.now.steady);
            *job.assignments_by_zone.entry(zone.clone()).or_insert(0) += 1;
            job.spec.clone()
        });
        let assignment = Assignment {
            launched: Some((placed.incarnation, 0)),
            placed_by_holder: true,
            ..Assignment::new(TaskOnMachine {
                task: placed,
                job: index,
                spec: spec.as_ref(),
                zone,
                now: context.now.steady,
            })
        };
        let (team, amount) = (&assignment.team, assignment.amount());
        let grants = &mut self.leader_quota.grants;
        if delegation.is_some_and(|delegation| !delegation.awaits_resources) {
            grants.remove_queued(id, team, amount, context.now.steady);
        }
        grants.add_placed(id, team, amount);
        self.add_assignment(&placed.machine, assignment);
    }

    /// Ends the delegation of a task that the partition's holder has placed, if the task was delegated to that
    /// holder.
    fn end_delegation_of(&mut self, id: PartitionId, placed: &PlacedTask) -> Option<Delegation> {
        let task = TaskKey::new(self.jobs.find(&placed.job)?, placed.task);
        let delegation = self.leader_quota.delegations.get(task)?;
        if delegation.partition != id {
            return None;
        }
        self.end_delegation(task)
    }

    fn zone_of_partition(&self, id: PartitionId) -> String {
        let record = self.remote_partitions.record(id);
        record.map_or_else(String::new, |record| record.zone.clone())
    }

    /// Pauses or resumes quota grants. The caller pauses quota grants if a member that answered recently does not
    /// support them. While quota grants are paused, no tasks are delegated to holders.
    pub(crate) fn set_quota_grants_paused(&mut self, context: &Context, paused: bool) {
        if !context.supports_quota_grants() || self.leader_quota.quota_grants_paused == paused {
            return;
        }
        info!(paused = paused; "paused or resumed quota grants to partition holders");
        self.leader_quota.quota_grants_paused = paused;
        if paused {
            let jobs = self.jobs.iter().filter(|(_, job)| job.delegated_count > 0);
            let delegated: Vec<JobIndex> = jobs.map(|(index, _)| index).collect();
            for index in delegated {
                self.revoke_delegated_tasks(context, index);
            }
        }
    }

    /// Returns whether a machine may be terminated. If the holder of its partition places tasks, the holder must
    /// have confirmed that it places nothing new on the machine.
    pub(crate) fn may_be_terminated(&self, partition: Option<PartitionId>, machine: &str) -> bool {
        let placing_partition = partition.filter(|id| self.holder_places_tasks(*id));
        placing_partition.is_none_or(|id| self.remote_partitions.is_reserved(id, machine))
    }
}
