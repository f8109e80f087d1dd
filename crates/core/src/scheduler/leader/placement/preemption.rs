//! Preemption by priority: stops tasks of lower priority for jobs that wait.

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

/// How long a task must have run before it may be stopped, in microseconds.
const LEAST_RUN: Micros = 5 * SECOND;

/// The same where a start counts only if the task is left alone for 30 s, in microseconds.
const LEAST_COUNTED_RUN: Micros = 31 * SECOND;

/// A task that will end sooner than this is not stopped, in microseconds.
const LEAST_REMAINING: Micros = 10 * SECOND;

/// How long lower priorities are kept off a machine after its stopped tasks should have ended, in microseconds.
const KEPT_AFTER_STOP: Micros = 4 * SECOND;

/// A task that may be stopped for another of higher priority.
#[derive(Clone)]
struct PreemptionCandidate {
    /// How long it has run, in microseconds.
    ran: Micros,
    priority: Priority,
    attempt: u64,
    /// Whether its job is within its team's guaranteed share, where that is enforced.
    guaranteed: bool,
    team: String,
    /// Time for its checkpoint, in microseconds.
    grace: Micros,
    resources: MachineResources,
}

/// A task that is to be stopped.
struct Preemption {
    machine: String,
    attempt: u64,
    /// Time for its checkpoint, in microseconds.
    grace: Micros,
}

type Pool<'a> = [PoolMachine<'a, PreemptionCandidate>];

/// What is left of a team's limit.
#[derive(Clone, Copy)]
struct QuotaLeft {
    cpus: f64,
    gpus: f64,
}

impl QuotaLeft {
    /// What is left once the tasks that are being stopped have ended.
    fn new(limit: Resources, used: Resources, freed: Resources) -> Self {
        QuotaLeft {
            cpus: limit.cpus() - used.cpus() + freed.cpus(),
            gpus: limit.gpus() - used.gpus() + freed.gpus(),
        }
    }

    fn covers(self, spec: &Submission) -> bool {
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

/// The zone in which resources can be freed for a `one_zone` job: that of its tasks, else the one where
/// the most of them would fit.
fn zone_for(context: &Context, job: &Job, pool: &Pool) -> Option<String> {
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

/// Tasks that are chosen to be stopped on a machine, and what is free then.
struct Choice {
    /// Their places among the machine's candidates, ascending.
    candidates: Vec<usize>,
    free: MachineResources,
    quota: QuotaLeft,
}

/// A job that tasks of lower priority are stopped for.
struct PreemptingJob<'a> {
    job: &'a Job,
    /// Whether it is within its team's guaranteed share, where that is enforced.
    guaranteed: bool,
    /// The only zone for its tasks, if there is one.
    zone: Option<String>,
    /// How many of its tasks still lack resources.
    missing: u64,
    /// What is left of its team's limit.
    quota: QuotaLeft,
}

impl PreemptingJob<'_> {
    /// Whether the machine may take its tasks. Free resources in a zone that may take none of its tasks, given
    /// where the others are, are of no use: tasks there were once stopped for it, came back, and were stopped
    /// again.
    fn may_use(&self, context: &Context, machine: &PoolMachine<PreemptionCandidate>) -> bool {
        let zone = &machine.machine.zone;
        machine.permits(context, &self.job.spec)
            && self.job.zone_permits(zone)
            && self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Counts one more of its tasks on the machine.
    fn take(&mut self, machine: &mut PoolMachine<PreemptionCandidate>) {
        machine.take(&self.job.spec);
        self.quota = self.quota.without_task(&self.job.spec);
        self.missing -= 1;
    }

    /// Takes what is free or will be, then chooses tasks to stop.
    fn preempt(&mut self, context: &Context, pool: &mut Pool) -> Vec<Preemption> {
        self.take_free(context, pool);
        let mut preemptions = Vec::new();
        for machine in pool {
            if self.missing == 0 {
                break;
            }
            if !machine.candidates.is_empty() && self.may_use(context, machine) {
                self.preempt_on(machine, &mut preemptions);
            }
        }
        preemptions
    }

    fn take_free(&mut self, context: &Context, pool: &mut Pool) {
        let spec = &self.job.spec;
        for machine in pool {
            while self.missing > 0
                && self.quota.covers(spec)
                && tasks_that_fit(machine.free, spec) > 0
                && self.may_use(context, machine)
            {
                self.take(machine);
            }
        }
    }

    fn preempt_on(
        &mut self,
        machine: &mut PoolMachine<PreemptionCandidate>,
        preemptions: &mut Vec<Preemption>,
    ) {
        let team = &self.job.spec.team;
        // Its own team's tasks first, since they free quota too; then the youngest.
        machine
            .candidates
            .sort_by_key(|c| (c.team != *team, c.ran, c.attempt));
        while self.missing > 0 {
            let Some(choice) = self.choose(machine) else {
                break;
            };
            for at in choice.candidates.into_iter().rev() {
                let candidate = machine.candidates.remove(at);
                preemptions.push(Preemption {
                    machine: machine.machine.name.clone(),
                    attempt: candidate.attempt,
                    grace: candidate.grace,
                });
            }
            machine.free = choice.free;
            self.quota = choice.quota;
            self.take(machine);
        }
    }

    /// Chooses the tasks to stop so that one more task of the job fits; `None`: there are not enough.
    fn choose(&self, machine: &PoolMachine<PreemptionCandidate>) -> Option<Choice> {
        let spec = &self.job.spec;
        let mut choice = Choice {
            candidates: Vec::new(),
            free: machine.free,
            quota: self.quota,
        };
        let suffices =
            |choice: &Choice| tasks_that_fit(choice.free, spec) > 0 && choice.quota.covers(spec);
        for (at, candidate) in machine.candidates.iter().enumerate() {
            if suffices(&choice) {
                break;
            }
            let served_first = candidate.guaranteed && !self.guaranteed;
            if candidate.priority >= spec.priority || served_first {
                continue;
            }
            choice.candidates.push(at);
            choice.free = choice.free + candidate.resources;
            if candidate.team == spec.team {
                choice.quota = choice.quota.with_freed(candidate.resources);
            }
        }
        suffices(&choice).then_some(choice)
    }
}

impl Scheduler {
    /// Stops tasks of lower priority that write checkpoints, for jobs that wait for free resources or for their
    /// team's quota. Only as much is stopped on a machine as lets a whole task fit there, and what it leaves is
    /// kept from lower priorities until it is taken: narrow tasks that were stopped for a wide one used to come
    /// back into the gap, to be stopped again.
    pub(crate) fn preempt(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        let now = context.now.steady;
        for preemption in self.choose_preemptions(context, queue) {
            let Preemption {
                machine: name,
                attempt,
                grace,
            } = preemption;
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.idle_excluded_until = now + grace + KEPT_AFTER_STOP;
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
        // Where guaranteed shares are enforced, tasks within them are placed before all others, and are not
        // stopped for those.
        let guaranteed = match self.enforces_guarantees(context) {
            true => self.within_guarantee(context),
            false => BTreeSet::new(),
        };
        let stopping = self.usage_being_stopped(context);
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
                guaranteed: guaranteed.contains(&index),
                zone: zone_for(context, job, &pool),
                missing: job.placeable_count(context.now.steady),
                quota: QuotaLeft::new(quota.limit, self.resources_needed_by(team), freed),
            };
            // A gang needs all of its slots: what is stopped for a part of them is stopped for nothing.
            let before = (job.shape == Shape::Gang).then(|| pool.clone());
            let chosen = preempting.preempt(context, &mut pool);
            match before {
                Some(before) if preempting.missing > 0 => pool = before,
                _ => preemptions.extend(chosen),
            }
        }
        preemptions
    }

    /// Whether the job has waited long enough for tasks of lower priority to be stopped.
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

    /// What each team's tasks that are being stopped use of its limit.
    fn usage_being_stopped(&self, context: &Context) -> TeamAmounts {
        let mut stopping = TeamAmounts::new();
        let machines = self.usable_machines(context);
        let assignments = machines.flat_map(|m| &m.assignments);
        for assignment in assignments.filter(|a| a.stop.is_some()) {
            let sum = stopping.entry(assignment.team.clone()).or_default();
            *sum = sum.saturating_add(assignment.amount());
        }
        stopping
    }

    /// Machines with free resources, or with tasks that may be stopped.
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

    /// The task, if it may be stopped for others of higher priority.
    fn preemption_candidate(
        &self,
        context: &Context,
        assignment: &Assignment,
        guaranteed: &BTreeSet<JobIndex>,
    ) -> Option<PreemptionCandidate> {
        let now = context.now.steady;
        let job = self.jobs.get(assignment.job)?;
        let ran = assignment.started_at.map_or(0, |at| now.saturating_sub(at));
        let may_be_stopped = assignment.stop.is_none()
            && !job.is_daemon()
            && job.writes_checkpoints()
            && assignment.observed_status == ObservedStatus::Running
            && ran >= least_run(context, job)
            && assignment.remaining_time(now, 0) >= LEAST_REMAINING;
        may_be_stopped.then(|| PreemptionCandidate {
            ran,
            priority: job.preemption_priority(),
            attempt: assignment.attempt,
            guaranteed: guaranteed.contains(&assignment.job),
            team: assignment.team.clone(),
            grace: job.checkpoint_grace(),
            resources: assignment.resources(),
        })
    }
}

/// How long a task of the job must have run before it may be stopped, in microseconds. A start counts for an
/// objective only if the task is left alone for 30 s; and what a job begins with after a long wait stays.
fn least_run(context: &Context, job: &Job) -> Micros {
    let live: u32 = job.assignments_by_zone.values().sum();
    let is_beginning = job.age(context.now.steady) > BEGIN_EARLY_AFTER_US
        && u64::from(live) <= job.initial_task_count();
    match is_beginning || context.settings.has_start_objective(&job.spec.class) {
        true => LEAST_COUNTED_RUN,
        false => LEAST_RUN,
    }
}
