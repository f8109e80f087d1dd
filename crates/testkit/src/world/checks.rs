//! Checks of the protocol's rules that look at the whole world.

use super::jobs::job_of;
use super::team_limits::SLACK;
use super::World;
use crate::error::{Rule, ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{from_seconds, Micros};
use std::collections::{BTreeMap, BTreeSet};

mod acceptance;
mod responses;
mod service;
mod waiting;

/// What is counted and remembered for the checks.
#[derive(Default)]
pub(super) struct Checks {
    /// Starts of tasks whose job was confirmed as cancelled before.
    pub(super) late_starts: u64,
    /// For how long a job may wait beside a machine with room for it; `None`: this is not checked.
    max_wait: Option<Micros>,
    /// Since when a job has waited for a task while this machine had room for it, by job and machine.
    waiting: BTreeMap<(String, String), Micros>,
    /// Jobs that were submitted by a raw request of the script.
    raw_submissions: BTreeSet<String>,
    /// Requests beside the script so far: they must not change what comes in which order.
    pub(super) out_of_band: u64,
    /// The job that is over and was last polled.
    pub(super) last_polled: String,
}

/// What a team uses on machines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
}

impl World {
    /// Carries out a setup line that turns a check on.
    pub(super) fn set_up_check(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        match directive.word(1)? {
            "waits" => {
                self.checks.max_wait = Some(directive.duration("for", 90.0)?);
                Ok(())
            }
            other => Err(ScriptError::NotFound {
                kind: "check",
                name: other.to_string(),
            }),
        }
    }

    /// Carries out a check of the script, if the directive is one of these.
    pub(super) fn run_check_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "late_starts" => {
                let (got, most) = (self.checks.late_starts, directive.count("most", 0)?);
                if got > most {
                    let detail = format!("{got} tasks of cancelled jobs started");
                    return Err(ScenarioError::unmet(detail));
                }
            }
            "no_wait" => {
                if self.checks.max_wait.is_none() {
                    let detail = "nothing is known of it without `check waits`";
                    return Err(ScenarioError::unmet(detail));
                }
                self.check_no_wait(from_seconds(directive.number_at(1)?))?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Checks what must hold at each moment, over all machines that are not terminated: those that hang,
    /// are deaf or are cut off, too.
    pub(super) fn check_invariants(&mut self) -> StepResult {
        self.check_all_run_once()?;
        self.check_quota()?;
        self.check_recorded_limits()?;
        self.measure_idle_grants();
        self.check_cancelled_are_gone()?;
        if let (Some(most), true) = (self.checks.max_wait, self.now >= self.faults.end) {
            self.note_waits();
            self.check_no_wait(most)?;
        }
        Ok(())
    }

    /// No task may be on two machines, or twice on one.
    fn check_all_run_once(&self) -> StepResult {
        let mut machine_of: BTreeMap<&str, &str> = BTreeMap::new();
        for machine in self.present_machines() {
            for task in machine.live_tasks() {
                let other = machine_of.insert(&task.task_name, &machine.name);
                if let Some(other) = other {
                    let detail = format!("{} on {other} and {}", task.task_name, machine.name);
                    return Err(ScenarioError::rule(Rule::RanTwice, detail));
                }
            }
        }
        Ok(())
    }

    /// Tasks of cancelled jobs must be gone in time.
    fn check_cancelled_are_gone(&self) -> StepResult {
        let timeout = self.configuration.settings.cancel_timeout;
        for machine in self.present_machines() {
            for task in machine.live_tasks() {
                let job = self.jobs.get(job_of(&task.task_name));
                let cancelled_at = job.and_then(|job| job.cancelled_at);
                if cancelled_at.is_some_and(|at| self.now > at + timeout) {
                    let detail = format!("{} is on {}", task.task_name, machine.name);
                    return Err(ScenarioError::rule(Rule::RanCancelled, detail));
                }
            }
        }
        Ok(())
    }

    /// What each team's tasks use, on whatever machine.
    pub(super) fn used(&self) -> BTreeMap<&str, Usage> {
        let mut used: BTreeMap<&str, Usage> = BTreeMap::new();
        for task in self
            .present_machines()
            .flat_map(|machine| machine.live_tasks())
        {
            if let Some(job) = self.jobs.get(job_of(&task.task_name)) {
                let team = used.entry(job.spec.team.as_str()).or_default();
                team.cpus += task.cpus;
                team.gpus += job.spec.gpus;
            }
        }
        used
    }

    /// No team may use more than its limit.
    pub(super) fn check_quota(&self) -> StepResult {
        let used = self.used();
        for (team, limit) in &self.configuration.settings.teams {
            let Usage { cpus, gpus } = used.get(team.as_str()).copied().unwrap_or_default();
            if cpus > limit.cpus_max + SLACK {
                let detail = format!("{team} uses {cpus}");
                return Err(ScenarioError::rule(Rule::Quota, detail));
            }
            if gpus > limit.gpus_max + SLACK {
                let detail = format!("{team} uses {gpus} accelerators");
                return Err(ScenarioError::rule(Rule::Quota, detail));
            }
        }
        Ok(())
    }
}
