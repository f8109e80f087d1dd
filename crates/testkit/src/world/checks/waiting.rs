//! Check that no job waits for long while a machine has room for it.

use super::super::agents::permits;
use super::super::jobs::{job_of, ObservedJob};
use super::super::team_limits::RESOURCE_TOLERANCE;
use super::super::World;
use super::Usage;
use crate::error::{Rule, ScenarioError, StepResult};
use crate::machines::Machine;
use crate::time::{Micros, SECOND};
use grebewood_wire::http::Submission;
use std::collections::BTreeMap;

/// The wait of a job for a task while some machine has room for it.
#[derive(Clone, Debug)]
pub(super) struct Wait {
    since: Micros,
    /// A machine that has room now.
    machine: String,
}

/// Free resources on a machine that can take tasks.
struct FreeCapacity<'a> {
    machine: &'a Machine,
    cpus: f64,
    memory_gb: f64,
}

impl FreeCapacity<'_> {
    /// Returns how many tasks of this submission fit.
    fn tasks(&self, spec: &Submission) -> u64 {
        fit_count(self.cpus, spec.cpus).min(fit_count(self.memory_gb, spec.memory_gb))
    }
}

/// Returns how many times an amount fits into the free amount.
fn fit_count(free: f64, amount: f64) -> u64 {
    match amount > 0.0 {
        true => ((free + RESOURCE_TOLERANCE) / amount).max(0.0) as u64,
        false => u64::MAX,
    }
}

/// A job that waits for tasks that its team's limit permits.
struct WaitingJob<'a> {
    id: &'a str,
    job: &'a ObservedJob,
    /// Number of its tasks on machines.
    live_tasks: u64,
    /// Number of its tasks on machines, by zone.
    live_by_zone: BTreeMap<&'a str, u64>,
    /// Number of tasks that must start together.
    start_together: u64,
}

impl WaitingJob<'_> {
    /// Returns whether a machine may take the tasks that must start together, and has room for all of them.
    /// Room on one machine is sufficient for tasks that start together, though not necessary.
    fn fits(&self, capacity: &FreeCapacity) -> bool {
        let spec = &self.job.spec;
        let zone = capacity.machine.zone.as_str();
        let in_zone = self.live_by_zone.get(zone).copied().unwrap_or(0);
        let permitted = permits(spec, capacity.machine)
            && (!spec.one_zone || self.live_tasks == in_zone)
            && (!spec.spread || in_zone + self.start_together <= spec.tasks.div_ceil(2));
        permitted && capacity.tasks(spec) >= self.start_together
    }
}

impl World {
    /// Updates since when each job waits for a task while at every moment some machine has room for it.
    pub(super) fn update_waits(&mut self) {
        let free_capacities = self.free_capacities();
        let mut waits = BTreeMap::new();
        for waiting in self.waiting_jobs() {
            let mut fitting = free_capacities.iter();
            let Some(capacity) = fitting.find(|capacity| waiting.fits(capacity)) else {
                continue;
            };
            let known = self.checks.waits.get(waiting.id);
            let since = known.map_or(self.now, |wait| wait.since);
            let wait = Wait {
                // A start of one of the job's tasks on any machine ends its wait, and the next wait begins.
                since: since.max(waiting.job.last_start),
                machine: capacity.machine.name.clone(),
            };
            waits.insert(waiting.id.to_string(), wait);
        }
        self.checks.waits = waits;
    }

    /// Returns the free resources on each machine that can take tasks.
    fn free_capacities(&self) -> Vec<FreeCapacity<'_>> {
        let accepts_tasks = |machine: &&Machine| {
            let is_healthy = !machine.is_faulty && machine.reclaim_at.is_none();
            machine.is_up && is_healthy && machine.is_reachable(self.now)
        };
        let machines = self.present_machines().filter(accepts_tasks);
        machines
            .map(|machine| self.free_capacity_of(machine))
            .collect()
    }

    fn free_capacity_of<'a>(&self, machine: &'a Machine) -> FreeCapacity<'a> {
        let machine_type = self.cloud.machine_type(&machine.machine_type);
        let memory_gb = machine_type.map_or(0.0, |machine_type| machine_type.memory_gb);
        let tasks = machine.live_tasks();
        let jobs = tasks.filter_map(|task| self.jobs.get(job_of(&task.task_name)));
        let used_gb: f64 = jobs.map(|job| job.spec.memory_gb).sum();
        let used_cpus: f64 = machine.live_tasks().map(|task| task.cpus).sum();
        FreeCapacity {
            machine,
            cpus: machine.cpus - used_cpus,
            memory_gb: memory_gb - used_gb,
        }
    }

    /// Returns the jobs that wait for tasks that their team's limit permits.
    fn waiting_jobs(&self) -> Vec<WaitingJob<'_>> {
        let used = self.usage_by_team();
        let mut zones_of = self.live_tasks_by_zone();
        let mut waiting = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(id, job)| self.should_run(id, job))
        {
            let spec = &job.spec;
            let live_by_zone = zones_of.remove(id.as_str()).unwrap_or_default();
            let live_tasks: u64 = live_by_zone.values().sum();
            let missing = spec
                .tasks
                .saturating_sub(job.completed.len() as u64 + live_tasks);
            // The tasks of a gang start together.
            let start_together = match spec.shape.as_str() {
                "gang" => missing,
                _ => missing.min(1),
            };
            let used = used.get(spec.team.as_str()).copied().unwrap_or_default();
            if missing > 0 && self.limit_permits(spec, used, start_together) {
                waiting.push(WaitingJob {
                    id,
                    job,
                    live_tasks,
                    live_by_zone,
                    start_together,
                });
            }
        }
        waiting
    }

    /// Returns whether a job has to run: it is accepted and not done, its user has not asked to cancel it, and
    /// its tasks do not fail on every machine.
    fn should_run(&self, id: &str, job: &ObservedJob) -> bool {
        let wanted = job.accepted && !job.done && job.cancel_requested_at.is_none();
        wanted
            && !self
                .job_facts
                .get(id)
                .is_some_and(|facts| facts.always_fails)
    }

    /// Returns whether a team that uses this much may run this many more tasks of a job.
    fn limit_permits(&self, spec: &Submission, used: Usage, tasks: u64) -> bool {
        let limit = self.configuration.settings.teams.get(&spec.team);
        let cpus_left = limit.map_or(0.0, |limit| limit.cpus_max) - used.cpus;
        let gpus_left = limit.map_or(0.0, |limit| limit.gpus_max) - used.gpus;
        let exceeds_limit = cpus_left + RESOURCE_TOLERANCE < spec.cpus * tasks as f64
            || gpus_left + RESOURCE_TOLERANCE < spec.gpus * tasks as f64;
        !exceeds_limit
    }

    /// Returns the number of tasks on machines, by job and zone.
    fn live_tasks_by_zone(&self) -> BTreeMap<&str, BTreeMap<&str, u64>> {
        let mut live: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for machine in self.present_machines() {
            for task in machine.live_tasks() {
                let zones = live.entry(job_of(&task.task_name)).or_default();
                *zones.entry(&machine.zone).or_insert(0) += 1;
            }
        }
        live
    }

    /// Checks that no job has waited this long for a task while a suitable machine had room for it.
    pub(super) fn check_no_wait(&self, most: Micros) -> StepResult {
        let mut waits = self.checks.waits.iter();
        let too_long = waits.find(|(_, wait)| self.now.saturating_sub(wait.since) >= most);
        let Some((job, wait)) = too_long else {
            return Ok(());
        };
        let seconds = (self.now - wait.since) / SECOND;
        let machine = &wait.machine;
        let detail = format!("{job} has waited for {seconds} s while {machine} has room");
        Err(ScenarioError::rule(Rule::Waits, detail))
    }
}
