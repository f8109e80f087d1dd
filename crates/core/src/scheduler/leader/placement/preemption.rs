//! Preemption by priority: stops tasks of lower priority to free resources for waiting jobs.

use crate::context::Context;
use crate::scheduler::leader::placement::pool::PoolMachine;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{tasks_that_fit, MachineResources};
use crate::state::jobs::{Job, JobIndex, BEGIN_EARLY_AFTER_US, RESOURCE_TOLERANCE};
use crate::state::machine::{Assignment, ObservedStatus};
use crate::{Micros, SECOND};
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::{Priority, Shape, Submission};
use std::collections::{BTreeMap, BTreeSet};

/// Time that a task must have run before it may be preempted.
const MIN_RUN_US: Micros = 5 * SECOND;

/// Time that a task must have run before it may be preempted if its start counts for an objective only after 30 s
/// without interruption.
const MIN_COUNTED_RUN_US: Micros = 31 * SECOND;

/// A task that is expected to end sooner than this is not preempted.
const MIN_REMAINING_US: Micros = 10 * SECOND;

/// Time for which tasks of idle priority are not placed on a machine after its preempted tasks should have ended.
const IDLE_EXCLUSION_AFTER_STOP_US: Micros = 4 * SECOND;

/// A task that may be preempted for a job of higher priority.
#[derive(Clone)]
struct PreemptionCandidate {
    /// How long the task has run, in microseconds.
    ran_for: Micros,
    /// The priority that decides for which jobs the task may be preempted.
    priority: Priority,
    attempt: u64,
    /// Whether the task's job is within its team's guaranteed share; false while guaranteed shares are not
    /// enforced.
    is_within_guarantee: bool,
    team: String,
    /// Time that the task gets to write a checkpoint, in microseconds.
    grace: Micros,
    resources: MachineResources,
}

/// A decision to preempt a task.
struct Preemption {
    machine: String,
    attempt: u64,
    /// Time that the task gets to write a checkpoint, in microseconds.
    grace: Micros,
}

type Pool<'a> = [PoolMachine<'a, PreemptionCandidate>];

/// The unused part of a team's limit.
#[derive(Clone, Copy)]
struct QuotaLeft {
    cpus: f64,
    gpus: f64,
}

impl QuotaLeft {
    /// Computes what is left of `limit` once the tasks that are being stopped have ended, with `used` the present
    /// use and `freed` the part of it that those tasks free.
    fn new(limit: Resources, used: Resources, freed: Resources) -> Self {
        QuotaLeft {
            cpus: limit.cpus() - used.cpus() + freed.cpus(),
            gpus: limit.gpus() - used.gpus() + freed.gpus(),
        }
    }

    fn covers_task(self, spec: &Submission) -> bool {
        self.cpus + RESOURCE_TOLERANCE >= spec.cpus && self.gpus + RESOURCE_TOLERANCE >= spec.gpus
    }

    fn with_freed(self, freed: MachineResources) -> Self {
        QuotaLeft {
            cpus: self.cpus + freed.cpus,
            gpus: self.gpus + freed.gpus,
        }
    }

    fn without_task(self, spec: &Submission) -> Self {
        QuotaLeft {
            cpus: self.cpus - spec.cpus,
            gpus: self.gpus - spec.gpus,
        }
    }
}

/// Returns the zone in which to free resources for a `one_zone` job: the zone that its tasks bind it to, or else
/// the one in which the most of its tasks would fit. Returns `None` for other jobs.
fn preemption_zone(context: &Context, job: &Job, pool: &Pool) -> Option<String> {
    let spec = &job.spec;
    if !spec.one_zone {
        return None;
    }
    if let Some(zone) = job.bound_zone() {
        return Some(zone.to_string());
    }
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for machine in pool.iter().filter(|m| m.permits(context, spec)) {
        let candidates = machine.candidates.iter();
        let lower = candidates.filter(|c| c.priority < spec.priority);
        let free = lower.fold(machine.free, |sum, c| sum + c.resources);
        *zones.entry(&machine.machine.zone).or_insert(0) += tasks_that_fit(free, spec);
    }
    let best = zones.into_iter().max_by_key(|(_, slots)| *slots);
    best.map(|(zone, _)| zone.to_string())
}

/// Tasks that are chosen to be preempted on a machine, and the resources and quota that are free after that.
struct ChosenTasks {
    /// The indices of the chosen tasks among the machine's candidates, ascending.
    candidates: Vec<usize>,
    free: MachineResources,
    quota: QuotaLeft,
}

/// A job for which tasks of lower priority are preempted.
struct PreemptingJob<'a> {
    job: &'a Job,
    /// Whether the job is within its team's guaranteed share; false while guaranteed shares are not enforced.
    is_within_guarantee: bool,
    /// The only zone in which the job's tasks may be placed, if there is one.
    zone: Option<String>,
    /// How many of the job's tasks still lack resources.
    missing_tasks: u64,
    /// The unused part of the limit of the job's team.
    quota: QuotaLeft,
}

impl PreemptingJob<'_> {
    /// Returns whether a task of the job may be placed on the machine, also given the zones of its other tasks.
    /// Without the check of the zones, tasks are preempted in a zone that the job cannot use, start there again
    /// and are preempted again.
    fn may_use(&self, context: &Context, machine: &PoolMachine<PreemptionCandidate>) -> bool {
        let zone = &machine.machine.zone;
        machine.permits(context, &self.job.spec)
            && self.job.zone_permits(zone)
            && self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Allocates resources on the machine and quota of the team to one more task of the job.
    fn allocate_on(&mut self, machine: &mut PoolMachine<PreemptionCandidate>) {
        machine.allocate_task(&self.job.spec);
        self.quota = self.quota.without_task(&self.job.spec);
        self.missing_tasks -= 1;
    }

    /// Allocates what is free or will be to tasks of the job, then chooses the tasks to preempt for the rest of
    /// its tasks.
    fn choose_preemptions(&mut self, context: &Context, pool: &mut Pool) -> Vec<Preemption> {
        self.allocate_free(context, pool);
        let mut preemptions = Vec::new();
        for machine in pool {
            if self.missing_tasks == 0 {
                break;
            }
            if !machine.candidates.is_empty() && self.may_use(context, machine) {
                self.choose_preemptions_on(machine, &mut preemptions);
            }
        }
        preemptions
    }

    fn allocate_free(&mut self, context: &Context, pool: &mut Pool) {
        let spec = &self.job.spec;
        for machine in pool {
            while self.missing_tasks > 0
                && self.quota.covers_task(spec)
                && tasks_that_fit(machine.free, spec) > 0
                && self.may_use(context, machine)
            {
                self.allocate_on(machine);
            }
        }
    }

    fn choose_preemptions_on(
        &mut self,
        machine: &mut PoolMachine<PreemptionCandidate>,
        preemptions: &mut Vec<Preemption>,
    ) {
        let team = &self.job.spec.team;
        // Tasks of the job's own team come first, since stopping them also frees quota; then those that have run
        // for the shortest time.
        machine
            .candidates
            .sort_by_key(|c| (c.team != *team, c.ran_for, c.attempt));
        while self.missing_tasks > 0 {
            let Some(chosen_tasks) = self.choose_tasks(machine) else {
                break;
            };
            for at in chosen_tasks.candidates.into_iter().rev() {
                let candidate = machine.candidates.remove(at);
                preemptions.push(Preemption {
                    machine: machine.machine.name.clone(),
                    attempt: candidate.attempt,
                    grace: candidate.grace,
                });
            }
            machine.free = chosen_tasks.free;
            self.quota = chosen_tasks.quota;
            self.allocate_on(machine);
        }
    }

    /// Chooses tasks to preempt on the machine so that one more task of the job fits. Returns `None` if stopping
    /// all of the candidates that it may preempt does not free enough.
    fn choose_tasks(&self, machine: &PoolMachine<PreemptionCandidate>) -> Option<ChosenTasks> {
        let spec = &self.job.spec;
        let mut chosen_tasks = ChosenTasks {
            candidates: Vec::new(),
            free: machine.free,
            quota: self.quota,
        };
        let suffices = |chosen_tasks: &ChosenTasks| {
            tasks_that_fit(chosen_tasks.free, spec) > 0 && chosen_tasks.quota.covers_task(spec)
        };
        for (at, candidate) in machine.candidates.iter().enumerate() {
            if suffices(&chosen_tasks) {
                break;
            }
            let is_protected = candidate.is_within_guarantee && !self.is_within_guarantee;
            if candidate.priority >= spec.priority || is_protected {
                continue;
            }
            chosen_tasks.candidates.push(at);
            chosen_tasks.free = chosen_tasks.free + candidate.resources;
            if candidate.team == spec.team {
                chosen_tasks.quota = chosen_tasks.quota.with_freed(candidate.resources);
            }
        }
        suffices(&chosen_tasks).then_some(chosen_tasks)
    }
}

impl Scheduler {
    /// Preempts tasks of lower priority that write checkpoints, for jobs that wait for free resources or for their
    /// team's quota. A task is preempted only if whole tasks of the waiting job fit the machine after that, and
    /// tasks of idle priority are then kept off the machine for a short time. Without this, the preempted tasks
    /// start again on the freed resources before the waiting job is placed, and are preempted again.
    pub(crate) fn preempt_by_priority(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        let now = context.now.steady;
        for preemption in self.choose_preemptions(context, queue) {
            let Preemption {
                machine: name,
                attempt,
                grace,
            } = preemption;
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.idle_excluded_until = now + grace + IDLE_EXCLUSION_AFTER_STOP_US;
            }
            self.stop_assignments(context, &name, grace, |a| a.attempt == attempt);
        }
    }

    fn choose_preemptions(&self, context: &Context, queue: &[QueuedJob]) -> Vec<Preemption> {
        let mut waiting = queue.iter().map(|queued| queued.index).collect::<Vec<_>>();
        waiting.retain(|index| self.may_preempt(context, *index));
        if waiting.is_empty() {
            return Vec::new();
        }
        // While guaranteed shares are enforced, tasks within them are placed before others and are not preempted
        // for others.
        let guaranteed = match self.enforces_guarantees(context) {
            true => self.jobs_within_guarantee(context),
            false => BTreeSet::new(),
        };
        let stopping = self.usage_of_stopping_tasks(context);
        let mut pool = self.preemption_pool(context, &guaranteed);
        let mut preemptions = Vec::new();
        for index in waiting {
            let Some(job) = self.jobs.get(index) else {
                continue;
            };
            let team = &job.spec.team;
            let Some(quota) = self.team_quota(context, team) else {
                continue;
            };
            let freed = stopping.get(team).copied().unwrap_or_default();
            let mut preempting = PreemptingJob {
                job,
                is_within_guarantee: guaranteed.contains(&index),
                zone: preemption_zone(context, job, &pool),
                missing_tasks: job.placeable_count(context.now.steady),
                quota: QuotaLeft::new(quota.limit, self.resources_needed_by(team), freed),
            };
            // A gang starts only with all of its tasks, so it preempts nothing unless all of them will fit.
            let pool_before = (job.shape == Shape::Gang).then(|| pool.clone());
            let chosen = preempting.choose_preemptions(context, &mut pool);
            match pool_before {
                Some(pool_before) if preempting.missing_tasks > 0 => pool = pool_before,
                _ => preemptions.extend(chosen),
            }
        }
        preemptions
    }

    /// Returns whether tasks of lower priority may be preempted for the job: it is above idle priority, has waited
    /// long enough, has tasks to place, does not keep failing, and can still meet an objective.
    fn may_preempt(&self, context: &Context, index: JobIndex) -> bool {
        let now = context.now.steady;
        self.jobs.get(index).is_some_and(|job| {
            let waited = job.waiting_since.map_or(0, |at| now.saturating_sub(at));
            job.spec.priority > Priority::Idle
                && !job.keeps_failing()
                && job.placeable_count(now) > 0
                && waited >= context.tuning.preempt_after_us
                && job
                    .target_finish_at(context, self.time_needed(context, job))
                    .is_some()
        })
    }

    /// Returns what the tasks that are being stopped on usable machines use of each team's limit.
    fn usage_of_stopping_tasks(&self, context: &Context) -> TeamAmounts {
        let mut stopping = TeamAmounts::new();
        let machines = self.usable_machines(context);
        let assignments = machines.flat_map(|m| &m.assignments);
        for assignment in assignments.filter(|a| a.stop.is_some()) {
            let sum = stopping.entry(assignment.team.clone()).or_default();
            *sum = sum.saturating_add(assignment.amount());
        }
        stopping
    }

    /// Returns the usable machines that have free CPUs or tasks that may be preempted.
    fn preemption_pool(
        &self,
        context: &Context,
        guaranteed: &BTreeSet<JobIndex>,
    ) -> Vec<PoolMachine<'_, PreemptionCandidate>> {
        self.usable_machines(context)
            .map(|machine| {
                let candidates = machine.assignments.iter();
                let candidates =
                    candidates.filter_map(|a| self.preemption_candidate(context, a, guaranteed));
                PoolMachine::new(machine, candidates.collect())
            })
            .filter(|machine| {
                machine.free.cpus > RESOURCE_TOLERANCE || !machine.candidates.is_empty()
            })
            .collect()
    }

    /// Returns the task as a candidate if it may be preempted for jobs of higher priority.
    fn preemption_candidate(
        &self,
        context: &Context,
        assignment: &Assignment,
        guaranteed: &BTreeSet<JobIndex>,
    ) -> Option<PreemptionCandidate> {
        let now = context.now.steady;
        let job = self.jobs.get(assignment.job)?;
        let ran_for = assignment.started_at.map_or(0, |at| now.saturating_sub(at));
        let may_be_stopped = assignment.stop.is_none()
            && !job.is_daemon()
            && job.writes_checkpoints()
            && assignment.observed_status == ObservedStatus::Running
            && ran_for >= min_run_before_preemption(context, job)
            && assignment.remaining_time(now, 0) >= MIN_REMAINING_US;
        may_be_stopped.then(|| PreemptionCandidate {
            ran_for,
            priority: job.preemption_priority(),
            attempt: assignment.attempt,
            is_within_guarantee: guaranteed.contains(&assignment.job),
            team: assignment.team.clone(),
            grace: job.checkpoint_grace(),
            resources: assignment.resources(),
        })
    }
}

/// Returns how long a task of the job must have run before it may be preempted, in microseconds. The time is
/// longer if an objective measures how soon tasks of the job's class start, because such a start counts only if
/// the task runs for 30 s without interruption. It is also longer for a job older than [`BEGIN_EARLY_AFTER_US`] that has no
/// more tasks on machines than it starts with, so that a job that started late keeps its first tasks.
fn min_run_before_preemption(context: &Context, job: &Job) -> Micros {
    let tasks_on_machines: u32 = job.assignments_by_zone.values().sum();
    let is_beginning = job.age(context.now.steady) > BEGIN_EARLY_AFTER_US
        && u64::from(tasks_on_machines) <= job.initial_task_count();
    match is_beginning || context.settings.has_start_objective(&job.spec.class) {
        true => MIN_COUNTED_RUN_US,
        false => MIN_RUN_US,
    }
}
