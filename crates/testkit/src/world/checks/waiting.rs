//! The check that no job waits for long while a machine has room for it.

use super::super::agents::permits;
use super::super::jobs::{job_of, ObservedJob};
use super::super::team_limits::SLACK;
use super::super::World;
use super::Usage;
use crate::error::{Rule, ScenarioError, StepResult};
use crate::machines::Machine;
use crate::time::{Micros, SECOND};
use grebewood_wire::http::Submission;
use std::collections::BTreeMap;

/// A machine that can take tasks, and what is free on it.
struct Room<'a> {
    machine: &'a Machine,
    cpus: f64,
    memory_gb: f64,
}

impl Room<'_> {
    /// How many tasks of this size have room.
    fn tasks(&self, spec: &Submission) -> u64 {
        times(self.cpus, spec.cpus).min(times(self.memory_gb, spec.memory_gb))
    }
}

/// How often an amount is in what is free.
fn times(free: f64, amount: f64) -> u64 {
    match amount > 0.0 {
        true => ((free + SLACK) / amount).max(0.0) as u64,
        false => u64::MAX,
    }
}

/// A job that waits for tasks which its team's limit permits.
struct WaitingJob<'a> {
    id: &'a str,
    job: &'a ObservedJob,
    /// How many of its tasks are on machines, in all and by zone.
    live: u64,
    zones: BTreeMap<&'a str, u64>,
    /// How many tasks must start together.
    together: u64,
}

impl WaitingJob<'_> {
    /// Whether a machine may take the tasks that must start together, and has room for them. For tasks
    /// that start together, room on one machine for all is certain to do.
    fn fits(&self, room: &Room) -> bool {
        let spec = &self.job.spec;
        let zone = room.machine.zone.as_str();
        let in_zone = self.zones.get(zone).copied().unwrap_or(0);
        let permitted = permits(spec, room.machine)
            && (!spec.one_zone || self.live == in_zone)
            && (!spec.spread || in_zone + self.together <= spec.tasks.div_ceil(2));
        permitted && room.tasks(spec) >= self.together
    }
}

impl World {
    /// Notes which jobs wait for a task while a machine has room for it, and since when.
    pub(super) fn note_waits(&mut self) {
        let rooms = self.rooms();
        let mut waits = BTreeMap::new();
        for waiting in self.waiting_jobs() {
            for room in rooms.iter().filter(|room| waiting.fits(room)) {
                let key = (waiting.id.to_string(), room.machine.name.clone());
                // A task of it that starts elsewhere ends one wait and begins the next.
                let since = self.checks.waiting.get(&key).copied().unwrap_or(self.now);
                waits.insert(key, since.max(waiting.job.last_start));
            }
        }
        self.checks.waiting = waits;
    }

    /// Machines that can take tasks, and what is free on them.
    fn rooms(&self) -> Vec<Room<'_>> {
        let takes_tasks = |machine: &&Machine| {
            let well = !machine.is_faulty && machine.reclaim_at.is_none();
            machine.is_up && well && machine.is_reachable(self.now)
        };
        let machines = self.present_machines().filter(takes_tasks);
        machines.map(|machine| self.room_on(machine)).collect()
    }

    fn room_on<'a>(&self, machine: &'a Machine) -> Room<'a> {
        let kind = self.cloud.machine_type(&machine.machine_type);
        let memory_gb = kind.map_or(0.0, |kind| kind.memory_gb);
        let tasks = machine.live_tasks();
        let jobs = tasks.filter_map(|task| self.jobs.get(job_of(&task.task_name)));
        let used_gb: f64 = jobs.map(|job| job.spec.memory_gb).sum();
        let used_cpus: f64 = machine.live_tasks().map(|task| task.cpus).sum();
        Room {
            machine,
            cpus: machine.cpus - used_cpus,
            memory_gb: memory_gb - used_gb,
        }
    }

    /// Jobs that wait for tasks which their team's limit permits.
    fn waiting_jobs(&self) -> Vec<WaitingJob<'_>> {
        let used = self.used();
        let mut zones_of = self.live_tasks_by_zone();
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(id, job)| self.is_owed(id, job)) {
            let spec = &job.spec;
            let zones = zones_of.remove(id.as_str()).unwrap_or_default();
            let live: u64 = zones.values().sum();
            let missing = spec.tasks.saturating_sub(job.completed.len() as u64 + live);
            // The tasks of a gang start together.
            let together = match spec.shape.as_str() {
                "gang" => missing,
                _ => missing.min(1),
            };
            let used = used.get(spec.team.as_str()).copied().unwrap_or_default();
            if missing > 0 && self.limit_permits(spec, used, together) {
                waiting.push(WaitingJob {
                    id,
                    job,
                    live,
                    zones,
                    together,
                });
            }
        }
        waiting
    }

    /// Whether a job is accepted, not over nor about to be, and does not fail wherever it runs.
    fn is_owed(&self, id: &str, job: &ObservedJob) -> bool {
        let wanted = job.accepted && !job.done && job.cancel_requested_at.is_none();
        wanted
            && !self
                .job_facts
                .get(id)
                .is_some_and(|facts| facts.always_fails)
    }

    /// Whether a team that uses this much may run so many more tasks of a job.
    fn limit_permits(&self, spec: &Submission, used: Usage, tasks: u64) -> bool {
        let limit = self.configuration.settings.teams.get(&spec.team);
        let cpus_left = limit.map_or(0.0, |limit| limit.cpus_max) - used.cpus;
        let gpus_left = limit.map_or(0.0, |limit| limit.gpus_max) - used.gpus;
        let over = cpus_left + SLACK < spec.cpus * tasks as f64
            || gpus_left + SLACK < spec.gpus * tasks as f64;
        !over
    }

    /// The number of tasks on machines by job and zone.
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

    /// No job may wait so long for a task while a machine that fits has room for it.
    pub(super) fn check_no_wait(&self, most: Micros) -> StepResult {
        let mut waiting = self.checks.waiting.iter();
        let too_long = waiting.find(|(_, since)| self.now.saturating_sub(**since) >= most);
        let Some(((job, machine), since)) = too_long else {
            return Ok(());
        };
        let seconds = (self.now - since) / SECOND;
        let detail = format!("{job} has waited for {seconds} s while {machine} has room");
        Err(ScenarioError::rule(Rule::Waits, detail))
    }
}
