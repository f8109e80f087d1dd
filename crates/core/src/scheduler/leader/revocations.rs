//! Revokes delegated tasks from partition holders, and lets tasks that a holder has not placed wait at the leader again.

use crate::context::Context;
use crate::scheduler::leader::delegation_policy::LOOKAHEAD_US;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, OpenMachine};
use crate::state::delegations::{Delegation, TaskKey};
use crate::state::jobs::JobIndex;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use log::debug;
use std::collections::BTreeSet;

/// Delegated tasks for which there were free resources are revoked if they are not placed within this time.
const PLACEMENT_TIMEOUT_US: Micros = 3 * SECOND / 2;

/// Time for which no tasks are delegated to a holder that has not placed a task within [`PLACEMENT_TIMEOUT_US`].
const SLOW_HOLDER_BACKOFF_US: Micros = 5 * SECOND;

/// Delegated tasks that wait for resources are revoked if they are not placed within this time.
const RESOURCES_TIMEOUT_US: Micros = 2 * LOOKAHEAD_US;

impl Scheduler {
    /// Ends the delegation of a task that the holder has not placed and adds the task to the waiting tasks of its
    /// job again.
    pub(crate) fn requeue_delegated_task(&mut self, context: &Context, task: TaskKey) {
        let Some(delegation) = self.end_delegation(task) else {
            return;
        };
        let now = context.now.steady;
        debug!(
            job = delegation.job_id, task = task.task, partition = delegation.partition;
            "requeued a delegated task that the partition holder did not place"
        );
        if !delegation.awaits_resources {
            self.release_unplaced_charge(&delegation, now);
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

    /// Removes the charge for a task that was not placed from the quota grant. A holder that has kept the task for
    /// longer than [`PLACEMENT_TIMEOUT_US`] counts as slow and gets no tasks for a while.
    fn release_unplaced_charge(&mut self, delegation: &Delegation, now: Micros) {
        let partition = delegation.partition;
        let age = now.saturating_sub(delegation.delegated_at);
        if delegation.sent && age > PLACEMENT_TIMEOUT_US {
            let until = now + SLOW_HOLDER_BACKOFF_US;
            self.leader_quota.holder_slow_until.insert(partition, until);
        }
        let grants = &mut self.leader_quota.grants;
        grants.remove_queued(partition, &delegation.team, delegation.amount, now);
    }

    /// Revokes the job's delegated tasks from all holders.
    pub(crate) fn revoke_delegated_tasks(&mut self, context: &Context, index: JobIndex) {
        let tasks = self.leader_quota.delegations.of_job(index);
        let partitions: BTreeSet<PartitionId> =
            tasks.map(|(_, delegation)| delegation.partition).collect();
        for partition in partitions {
            self.revoke_from_holder(context, partition, index);
        }
    }

    /// Revokes the job's delegated tasks from the partition's holder. Tasks that were not sent yet wait at the leader
    /// again at once: a revoked task is not sent, and the holder cannot return what it does not have.
    fn revoke_from_holder(&mut self, context: &Context, partition: PartitionId, index: JobIndex) {
        let tasks = self.leader_quota.delegations.of_job(index);
        let (sent, unsent): (Vec<_>, Vec<_>) = tasks
            .filter(|(_, delegation)| delegation.partition == partition)
            .map(|(task, delegation)| (task, delegation.sent))
            .partition(|(_, sent)| *sent);
        if !sent.is_empty() {
            self.leader_quota.delegations.revoke(partition, index);
        }
        for (task, _) in unsent {
            self.requeue_delegated_task(context, task);
        }
    }

    /// Revokes all delegated tasks of each job with a chosen task, from the holder at which the chosen task waits for
    /// resources.
    pub(crate) fn revoke_awaiting_resources(
        &mut self,
        context: &Context,
        is_chosen: impl Fn(&Delegation) -> bool,
    ) {
        let delegations = self.delegations_awaiting_resources();
        let chosen = delegations.filter(|(_, delegation)| is_chosen(delegation));
        let chosen: BTreeSet<(PartitionId, JobIndex)> = chosen
            .map(|(task, delegation)| (delegation.partition, task.job))
            .collect();
        for (partition, index) in chosen {
            self.revoke_from_holder(context, partition, index);
        }
    }

    /// Revokes tasks that holders have not placed in time. Tasks that wait for resources are revoked earlier if a
    /// machine outside the partition has free resources for them.
    pub(crate) fn revoke_overdue_delegations(&mut self, context: &Context, open: &[OpenMachine]) {
        let now = context.now.steady;
        let mut overdue: Vec<(PartitionId, JobIndex)> = Vec::new();
        for (task, delegation) in self.leader_quota.delegations.iter() {
            let (partition, index) = (delegation.partition, task.job);
            let is_chosen = overdue.last() == Some(&(partition, index));
            if is_chosen || self.leader_quota.delegations.is_revoked(partition, index) {
                continue;
            }
            let waited = now.saturating_sub(delegation.delegated_at);
            let is_overdue = if delegation.awaits_resources {
                waited > RESOURCES_TIMEOUT_US
                    || (waited > PLACEMENT_TIMEOUT_US
                        && self.has_room_elsewhere(context, partition, index, open))
            } else {
                waited > PLACEMENT_TIMEOUT_US
            };
            if is_overdue {
                overdue.push((partition, index));
            }
        }
        for (partition, index) in overdue {
            self.revoke_from_holder(context, partition, index);
        }
    }

    /// Returns whether a task of the job fits the free resources of a machine whose tasks the partition's holder
    /// does not place; true if the job is not known any more.
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
        let mut elsewhere = open
            .iter()
            .filter(|open| open.placed_by != Some(partition) && !open.reserved);
        elsewhere.any(|machine| {
            let (machine_type, zone) = (&machine.machine_type, &machine.zone);
            tasks_that_fit(machine.free, spec) > 0
                && permits(context, spec, machine_type, zone, machine.spot)
        })
    }
}
