//! Preemption for guaranteed shares: stops tasks of teams that use more than their guaranteed share to free
//! resources for teams that use less than theirs.

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

/// A task that may be preempted if its team uses more than its guaranteed share.
struct PreemptionCandidate {
    /// Whether the task's job has risen in priority after it starved, or has been preempted often enough. Its
    /// tasks are preempted last.
    has_aged: bool,
    /// How long the task has run, in microseconds.
    ran_for: Micros,
    attempt: TaskAttempt,
    team: String,
    /// What the task uses of its team's limit.
    amount: Resources,
    resources: MachineResources,
    /// Time that the task gets to write a checkpoint, in microseconds.
    grace: Micros,
}

/// A decision to preempt a task.
struct Preemption {
    attempt: TaskAttempt,
    /// Time that the task gets to write a checkpoint, in microseconds.
    grace: Micros,
}

/// What each team uses above its guaranteed share.
type UsageAboveGuarantee = TeamAmounts;

impl Scheduler {
    /// Preempts tasks of teams that use more than their guaranteed share, regardless of priority, for teams that
    /// use less than theirs and have tasks waiting for free resources. No team is brought below its own guaranteed
    /// share.
    pub(crate) fn preempt_for_guarantees(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        for Preemption { attempt, grace } in self.preemptions_for_guarantees(context, queue) {
            info!(
                task = attempt.task, attempt = attempt.attempt;
                "preempting a task for a team below its guaranteed share"
            );
            self.count_preemption(attempt);
            self.stop_attempt(context, attempt, grace);
        }
    }

    fn preemptions_for_guarantees(
        &self,
        context: &Context,
        queue: &[QueuedJob],
    ) -> Vec<Preemption> {
        let within_guarantee = self.jobs_within_guarantee(context);
        let waiting = self.waiting_jobs_within_guarantee(context, queue, &within_guarantee);
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut above = self.usage_above_guarantees(context);
        let mut pool = self.guarantee_pool(context, &within_guarantee);
        let mut shortfalls = self.guarantee_shortfalls(context);
        let mut preemptions = Vec::new();
        for index in waiting {
            let Some(job) = self.jobs.get(index) else {
                continue;
            };
            let Some(shortfall) = shortfalls.get_mut(&job.spec.team) else {
                continue;
            };
            let spec = &job.spec;
            let mut preempting = PreemptingJob {
                spec,
                task_amount: Resources::of(spec.cpus, spec.gpus),
                missing_tasks: job.placeable_count(context.now.steady) + job.waiting_at_holders,
                shortfall,
            };
            preempting.allocate_free(context, &mut pool);
            preemptions.extend(preempting.choose_preemptions(context, &mut pool, &mut above));
        }
        preemptions
    }

    fn count_preemption(&mut self, attempt: TaskAttempt) {
        let index = self
            .assignments()
            .find(|a| a.id() == attempt)
            .map(|a| a.job);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.record_preempted();
        }
    }

    /// Returns the jobs within their team's guaranteed share that wait for free resources: those that have waited
    /// long enough, and those with tasks that wait at partition holders.
    fn waiting_jobs_within_guarantee(
        &self,
        context: &Context,
        queue: &[QueuedJob],
        within_guarantee: &BTreeSet<JobIndex>,
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
        // The queue does not contain jobs whose tasks are all delegated to holders.
        let at_holders = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waiting_at_holders > 0);
        waiting.extend(at_holders.map(|(index, _)| index));
        let mut seen = BTreeSet::new();
        waiting.retain(|index| {
            seen.insert(*index) && within_guarantee.contains(index) && waits(index)
        });
        waiting
    }

    /// Returns how much each team below its guaranteed share may still use of it.
    fn guarantee_shortfalls(&self, context: &Context) -> TeamAmounts {
        let teams = self.team_quotas(context);
        let shortfalls = teams.into_iter().map(|(team, limit)| {
            let shortfall = limit
                .guarantee
                .saturating_sub(self.resources_needed_by(&team));
            (team, shortfall)
        });
        shortfalls
            .filter(|(_, shortfall)| !shortfall.is_zero())
            .collect()
    }

    /// Returns what each team uses above its guaranteed share, without tasks that are being stopped.
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

    /// Returns the usable machines, each with the tasks that may be preempted, in the order in which they are.
    /// Tasks of jobs within their team's guaranteed share are not among them.
    fn guarantee_pool(
        &self,
        context: &Context,
        within_guarantee: &BTreeSet<JobIndex>,
    ) -> Vec<PoolMachine<'_, PreemptionCandidate>> {
        self.usable_machines(context)
            .map(|machine| {
                let staying = machine.assignments.iter().filter(|a| a.stop.is_none());
                let mut candidates: Vec<PreemptionCandidate> = staying
                    .filter(|a| !within_guarantee.contains(&a.job))
                    .filter_map(|a| self.guarantee_candidate(context, a))
                    .collect();
                // Tasks that have run for the shortest time come first, regardless of priority. With the lowest
                // priority first, all jobs of one class are preempted again and again, and hardly any of them
                // finish.
                candidates.sort_by_key(|c| (c.has_aged, c.ran_for, c.attempt));
                PoolMachine::new(machine, candidates)
            })
            .collect()
    }

    /// Returns the task as a candidate if it may be preempted for a guaranteed share. Tasks of services and gangs
    /// are not preempted, nor are tasks that are writing a checkpoint in order to stop.
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
            has_aged: has_aged(job),
            ran_for: assignment.started_at.map_or(0, |at| now.saturating_sub(at)),
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

/// A job of a team below its guaranteed share, for which tasks of other teams are preempted.
struct PreemptingJob<'a> {
    spec: &'a Submission,
    /// What one task of the job uses of the team's limit.
    task_amount: Resources,
    /// How many of the job's tasks still lack resources.
    missing_tasks: u64,
    /// How much the team may still use of its guaranteed share.
    shortfall: &'a mut Resources,
}

impl PreemptingJob<'_> {
    /// Returns whether the job has more tasks that lack resources and fit the guaranteed share.
    fn has_more(&self) -> bool {
        self.missing_tasks > 0 && self.task_amount.fits(*self.shortfall)
    }

    /// Allocates resources on the machine and a part of the guaranteed share to one more task of the job.
    fn allocate_on(&mut self, machine: &mut PoolMachine<PreemptionCandidate>) {
        machine.allocate_task(self.spec);
        *self.shortfall = self.shortfall.saturating_sub(self.task_amount);
        self.missing_tasks -= 1;
    }

    /// Allocates resources that are free or will be to tasks of the job.
    fn allocate_free(&mut self, context: &Context, pool: &mut [PoolMachine<PreemptionCandidate>]) {
        let spec = self.spec;
        for machine in pool.iter_mut().filter(|m| m.permits(context, spec)) {
            while self.has_more() && tasks_that_fit(machine.free, spec) > 0 {
                self.allocate_on(machine);
            }
        }
    }

    /// Chooses tasks of teams above their guaranteed share to preempt for the rest of the job's tasks.
    fn choose_preemptions(
        &mut self,
        context: &Context,
        pool: &mut [PoolMachine<PreemptionCandidate>],
        above: &mut UsageAboveGuarantee,
    ) -> Vec<Preemption> {
        let mut preemptions = Vec::new();
        let spec = self.spec;
        for machine in pool.iter_mut().filter(|m| m.permits(context, spec)) {
            while self.has_more() {
                let Some(chosen) = machine.choose_preemptions(spec, above) else {
                    break;
                };
                preemptions.extend(chosen);
                self.allocate_on(machine);
            }
        }
        preemptions
    }
}

impl PoolMachine<'_, PreemptionCandidate> {
    /// Chooses tasks to preempt on the machine so that one task of the job fits. Returns `None` if the candidates
    /// do not free enough.
    fn choose_preemptions(
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
        debug!(
            machine = self.machine.name, tasks = chosen.len();
            "chose tasks to preempt for a guaranteed share"
        );
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
