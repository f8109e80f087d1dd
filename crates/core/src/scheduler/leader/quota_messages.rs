//! Quota grants in messages: what a partition holder is told, and what its answer means for the leader's
//! state.

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

/// Most tasks that one message delegates to a holder.
const MAX_DELEGATED: usize = 500;

/// How long the write of a smaller quota grant may be delayed, if no team lacks what is revoked.
const SHRINK_DELAY: Micros = 500 * MILLI;

impl Scheduler {
    /// What the partition's holder is told of its quota grant and of tasks to place; `None` while no limits
    /// are on record. Tasks are delegated only to a holder that is `reconciled`.
    pub(crate) fn quota_orders(
        &mut self,
        context: &Context,
        id: PartitionId,
        reconciled: bool,
    ) -> Option<QuotaOrders> {
        if !context.supports_quota_grants() {
            return None;
        }
        let limits = self
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
            limits_revision: limits,
            grant,
            work,
            revoked: self.leader_quota.delegations.revocations_to_send(id),
            reserved: self.reserved_machines(id),
            last_known_version: self.remote_partitions.last_known_placement(id),
        })
    }

    /// What the partition's holder may use, less what is revoked.
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

    /// Tasks that the holder has not confirmed to have.
    fn work_to_send(&mut self, id: PartitionId) -> Vec<DelegatedWork> {
        let delegations = &self.leader_quota.delegations;
        let tasks = delegations.of_partition(id);
        let unconfirmed = tasks.filter(|(task, delegation)| {
            !delegation.confirmed && !delegations.is_revoked(id, task.job)
        });
        let mut work: BTreeMap<JobIndex, DelegatedWork> = BTreeMap::new();
        let mut sent: Vec<TaskKey> = Vec::new();
        for (task, delegation) in unconfirmed.take(MAX_DELEGATED) {
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

    /// Machines of the partition on which nothing new is to be placed.
    fn reserved_machines(&self, id: PartitionId) -> Vec<String> {
        let machines = self.machines.values();
        machines
            .filter(|machine| machine.partition == Some(id))
            .filter(|machine| machine.cordoned || self.fleet.is_terminating(&machine.name))
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// Applies what a reconciled holder reports of its grant and of the tasks that it has placed; `None`: it
    /// places nothing. This comes before the outcomes in the same report, which may be those of tasks that it
    /// has placed, and [`Self::on_held`] after them.
    pub(crate) fn apply_placements(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        quota: Option<&QuotaReport>,
    ) {
        let Some(quota) = quota else {
            return self.on_places_nothing(id);
        };
        if self.leader_quota.placing_partitions.insert(id) {
            info!(partition = id; "the holder places tasks");
        }
        for task in &quota.placed {
            self.apply_placement(context, id, task);
        }
        let queued = self.tasks_in(&quota.waiting);
        let delegations = &mut self.leader_quota.delegations;
        for task in delegations.on_queue_reported(id, &queued) {
            self.return_task(context, task);
        }
    }

    /// A holder has answered that it places nothing.
    fn on_places_nothing(&mut self, id: PartitionId) {
        self.leader_quota.placing_partitions.remove(&id);
        if self.leader_quota.delegations.has_tasks_in(id) {
            // The holder before it may have placed some of them, and only pages tell.
            self.leader_quota.placements_unknown_reason =
                Some("a holder does not tell what was placed before it");
        }
    }

    /// Applies what a holder will use at most.
    pub(crate) fn on_held(&mut self, context: &Context, id: PartitionId, quota: &QuotaReport) {
        let now = context.now.steady;
        self.leader_quota
            .grants
            .on_usage_bound(id, &quota.usage_bound, now);
        let delay = if self.leader_quota.teams_short_of_room.is_empty() {
            SHRINK_DELAY
        } else {
            0
        };
        self.write_quota_grant(context, id, delay);
    }

    fn tasks_in(&self, ranges: &[TaskRanges]) -> BTreeSet<TaskKey> {
        let mut tasks = BTreeSet::new();
        for TaskRanges { job, ranges } in ranges {
            let Some(index) = self.jobs.find(job) else {
                continue;
            };
            for (first, end) in ranges {
                // A message must not make this member count beyond the most tasks that a job may have.
                let end = (*end).min(MAX_TASKS);
                tasks.extend((*first..end).map(|task| TaskKey::new(index, task)));
            }
        }
        tasks
    }

    /// A holder has placed a task.
    fn apply_placement(&mut self, context: &Context, id: PartitionId, placed: &PlacedTask) {
        let is_known = |a: &Assignment| a.id() == placed.id();
        let known = self.position(&placed.machine, is_known).is_some();
        // A holder may still list tasks of a machine that was terminated.
        if known || self.fleet.is_terminated(&placed.machine) {
            return;
        }
        let index = self.jobs.find(&placed.job);
        let delegation = self.end_delegation_of(id, placed);
        if delegation.is_none() {
            // It is on the holder's pages still, though an earlier holder has reported its end: it counts until
            // that is proven again.
            debug!(
                partition = id, job = placed.job, task = placed.task;
                "a holder has a task that was not delegated to it"
            );
        }
        let zone = self.zone_of_partition(id);
        self.recovered_machine(context, &placed.machine, &zone, placed.incarnation);
        let job = index.and_then(|index| self.jobs.get_mut(index));
        let spec = job.map(|job| {
            if delegation.is_none() {
                job.assign_task(placed.task);
            }
            job.note_placed(context.now.steady);
            *job.assignments_by_zone.entry(zone.clone()).or_insert(0) += 1;
            job.spec.clone()
        });
        let assignment = Assignment {
            launched: Some((placed.incarnation, 0)),
            by_holder: true,
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

    /// Ends the delegation of a task that the partition's holder has placed, if it was delegated to it.
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

    /// The members that answered lately all support quota grants, or not all of them do: then no tasks are
    /// delegated to holders.
    pub(crate) fn pause_quota_grants(&mut self, context: &Context, paused: bool) {
        if !context.supports_quota_grants() || self.leader_quota.quota_grants_paused == paused {
            return;
        }
        info!(paused = paused; "changed whether quota is granted to holders");
        self.leader_quota.quota_grants_paused = paused;
        if paused {
            let jobs = self.jobs.iter().filter(|(_, job)| job.delegated_count > 0);
            let delegated: Vec<JobIndex> = jobs.map(|(index, _)| index).collect();
            for index in delegated {
                self.revoke_job(context, index);
            }
        }
    }

    /// Whether a machine may be terminated: its holder places nothing new on it.
    pub(crate) fn may_be_terminated(&self, partition: Option<PartitionId>, machine: &str) -> bool {
        let holder = partition.filter(|id| self.holder_places(*id));
        holder.is_none_or(|id| self.remote_partitions.is_reserved(id, machine))
    }
}
