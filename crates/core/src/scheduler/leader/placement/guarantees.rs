//! Preemption for guaranteed shares: frees resources for teams below theirs by stopping tasks of teams above theirs.

use crate::context::Context;
use crate::scheduler::leader::placement::pool::PoolMachine;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{tasks_that_fit, MachineResources};
use crate::state::jobs::{Job, JobIndex};
use crate::state::machine::{Assignment, ObservedStatus};
use crate::Micros;
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::{Shape, Submission};
use grebewood_wire::peer::TaskAttempt;
use log::{debug, info};
use std::collections::BTreeSet;

/// A task that may be stopped if its team uses more than its guaranteed share.
struct PreemptionCandidate {
    /// Its job has waited or was preempted long enough: it is stopped last.
    aged: bool,
    /// How long it has run, in microseconds.
    ran: Micros,
    attempt: TaskAttempt,
    team: String,
    /// What it uses of its team's limit.
    amount: Resources,
    resources: MachineResources,
    /// Time for its checkpoint, in microseconds.
    grace: Micros,
}

/// A task that is to be stopped.
struct Preemption {
    attempt: TaskAttempt,
    /// Time for its checkpoint, in microseconds.
    grace: Micros,
}

/// What each team uses above its guaranteed share.
type UsageAboveGuarantee = TeamAmounts;

impl Scheduler {
    /// Stops tasks of teams that use more than their guaranteed share, of whatever priority, where teams below
    /// theirs have tasks that wait for free resources. No team is brought below its own guaranteed share.
    pub(crate) fn preempt_for_guarantees(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        for Preemption { attempt, grace } in self.preemptions_for_guarantees(context, queue) {
            info!(
                task = attempt.task, attempt = attempt.attempt;
                "preempting a task for a team below its guaranteed share"
            );
            self.note_preempted(attempt);
            self.stop_attempt(context, attempt, grace);
        }
    }

    fn preemptions_for_guarantees(
        &self,
        context: &Context,
        queue: &[QueuedJob],
    ) -> Vec<Preemption> {
        let within = self.within_guarantee(context);
        let waiting = self.waiting_within_guarantee(context, queue, &within);
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut above = self.usage_above_guarantees(context);
        let mut pool = self.guarantee_pool(context, &within);
        let mut missing = self.missing_to_guarantees(context);
        let mut preemptions = Vec::new();
        for index in waiting {
            let Some(job) = self.jobs.get(index) else {
                continue;
            };
            let Some(missing) = missing.get_mut(&job.spec.team) else {
                continue;
            };
            let spec = &job.spec;
            let mut preempting = PreemptingJob {
                spec,
                task: Resources::of(spec.cpus, spec.gpus),
                tasks: job.placeable_count(context.now.steady) + job.waiting_at_holders,
                missing,
            };
            preempting.take_free(context, &mut pool);
            preemptions.extend(preempting.preempt(context, &mut pool, &mut above));
        }
        preemptions
    }

    fn note_preempted(&mut self, attempt: TaskAttempt) {
        let index = self
            .assignments()
            .find(|a| a.id() == attempt)
            .map(|a| a.job);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.note_preempted();
        }
    }

    /// Jobs within their team's guaranteed share that have waited for free resources.
    fn waiting_within_guarantee(
        &self,
        context: &Context,
        queue: &[QueuedJob],
        within: &BTreeSet<JobIndex>,
    ) -> Vec<JobIndex> {
        let now = context.now.steady;
        let waits = |index: &JobIndex| {
            self.jobs.get(*index).is_some_and(|job| {
                let since = job.waiting_since.unwrap_or(now);
                let waited = now.saturating_sub(since) >= context.tuning.preempt_after_us;
                let waits = job.placeable_count(now) > 0 && waited;
                waits || job.waiting_at_holders > 0
            })
        };
        let mut waiting: Vec<JobIndex> = queue.iter().map(|queued| queued.index).collect();
        // Jobs all of whose tasks were given to holders are in no queue.
        let at_holders = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waiting_at_holders > 0);
        waiting.extend(at_holders.map(|(index, _)| index));
        let mut seen = BTreeSet::new();
        waiting.retain(|index| seen.insert(*index) && within.contains(index) && waits(index));
        waiting
    }

    /// What each team lacks to its guaranteed share.
    fn missing_to_guarantees(&self, context: &Context) -> TeamAmounts {
        let teams = self.team_quotas(context);
        let missing = teams.into_iter().map(|(team, limit)| {
            let missing = limit
                .guarantee
                .saturating_sub(self.resources_needed_by(&team));
            (team, missing)
        });
        missing.filter(|(_, missing)| !missing.is_zero()).collect()
    }

    /// What each team's tasks that stay use above its guaranteed share.
    fn usage_above_guarantees(&self, context: &Context) -> UsageAboveGuarantee {
        let mut usage = UsageAboveGuarantee::new();
        for assignment in self.assignments().filter(|a| a.stop.is_none()) {
            let sum = usage.entry(assignment.team.clone()).or_default();
            *sum = sum.saturating_add(assignment.amount());
        }
        for (team, used) in &mut usage {
            let limit = self.team_quota(context, team).unwrap_or_default();
            *used = used.saturating_sub(limit.guarantee);
        }
        usage
    }

    /// The machines, with the tasks that may be stopped there in the order in which they are. Tasks that a team
    /// runs within its guaranteed share are not among them.
    fn guarantee_pool(
        &self,
        context: &Context,
        within: &BTreeSet<JobIndex>,
    ) -> Vec<PoolMachine<'_, PreemptionCandidate>> {
        self.usable_machines(context)
            .map(|machine| {
                let staying = machine.assignments.iter().filter(|a| a.stop.is_none());
                let mut candidates: Vec<PreemptionCandidate> = staying
                    .filter(|a| !within.contains(&a.job))
                    .filter_map(|a| self.guarantee_candidate(context, a))
                    .collect();
                // The youngest first, of whatever priority. With the lowest priority first a whole class was
                // stopped again and again and hardly any of its jobs ended.
                candidates.sort_by_key(|c| (c.aged, c.ran, c.attempt));
                PoolMachine::new(machine, candidates)
            })
            .collect()
    }

    /// The task, if it may be stopped for a guaranteed share: services and gangs are left alone.
    fn guarantee_candidate(
        &self,
        context: &Context,
        assignment: &Assignment,
    ) -> Option<PreemptionCandidate> {
        let job = self.jobs.get(assignment.job)?;
        if job.shape != Shape::Batch || assignment.observed_status == ObservedStatus::Checkpointing
        {
            return None;
        }
        let now = context.now.steady;
        Some(PreemptionCandidate {
            aged: has_aged(job),
            ran: assignment.started_at.map_or(0, |at| now.saturating_sub(at)),
            attempt: assignment.id(),
            team: assignment.team.clone(),
            amount: assignment.amount(),
            resources: assignment.resources(),
            grace: job.checkpoint_grace(),
        })
    }
}

fn has_aged(job: &Job) -> bool {
    job.has_been_preempted_enough() || job.preemption_priority() > job.spec.priority
}

/// A job of a team below its guaranteed share.
struct PreemptingJob<'a> {
    spec: &'a Submission,
    /// What a task uses of the team's limit.
    task: Resources,
    /// How many of its tasks still lack resources.
    tasks: u64,
    /// What the team still lacks to its guaranteed share.
    missing: &'a mut Resources,
}

impl PreemptingJob<'_> {
    /// Whether more of its tasks are to get resources.
    fn has_more(&self) -> bool {
        self.tasks > 0 && self.task.fits(*self.missing)
    }

    /// Counts one more of its tasks on the machine.
    fn take(&mut self, machine: &mut PoolMachine<PreemptionCandidate>) {
        machine.take(self.spec);
        *self.missing = self.missing.saturating_sub(self.task);
        self.tasks -= 1;
    }

    /// Takes what is free or will be.
    fn take_free(&mut self, context: &Context, pool: &mut [PoolMachine<PreemptionCandidate>]) {
        let spec = self.spec;
        for machine in pool.iter_mut().filter(|m| m.permits(context, spec)) {
            while self.has_more() && tasks_that_fit(machine.free, spec) > 0 {
                self.take(machine);
            }
        }
    }

    /// Chooses tasks of teams above their guaranteed share to be stopped.
    fn preempt(
        &mut self,
        context: &Context,
        pool: &mut [PoolMachine<PreemptionCandidate>],
        above: &mut UsageAboveGuarantee,
    ) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let spec = self.spec;
        for machine in pool.iter_mut().filter(|m| m.permits(context, spec)) {
            while self.has_more() {
                let Some(chosen) = machine.preempt(spec, above) else {
                    break;
                };
                preemptions.extend(chosen);
                self.take(machine);
            }
        }
        preemptions
    }
}

impl PoolMachine<'_, PreemptionCandidate> {
    /// Chooses tasks to stop so that one task of the job fits; `None`: there are not enough.
    fn preempt(
        &mut self,
        spec: &Submission,
        above: &mut UsageAboveGuarantee,
    ) -> Option<Vec<Preemption>> {
        let mut above_left = above.clone();
        let mut free = self.free;
        let mut chosen = Vec::new();
        for (at, candidate) in self.candidates.iter().enumerate() {
            if tasks_that_fit(free, spec) > 0 {
                break;
            }
            let team = &candidate.team;
            let of_team = above_left.get(team).copied().unwrap_or_default();
            if *team == spec.team || !candidate.amount.fits(of_team) {
                continue;
            }
            above_left.insert(team.clone(), of_team.saturating_sub(candidate.amount));
            free = free + candidate.resources;
            chosen.push(at);
        }
        if tasks_that_fit(free, spec) == 0 || chosen.is_empty() {
            return None;
        }
        debug!(machine = self.machine.name, tasks = chosen.len(); "tasks to be preempted");
        *above = above_left;
        self.free = free;
        let stopped = chosen.into_iter().rev();
        let stopped = stopped.map(|at| self.candidates.remove(at));
        let preemptions = stopped.map(|candidate| Preemption {
            attempt: candidate.attempt,
            grace: candidate.grace,
        });
        Some(preemptions.collect())
    }
}
