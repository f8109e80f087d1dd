//! Checks of the protocol's rules over the whole simulated world.

use super::jobs::job_of;
use super::team_limits::RESOURCE_TOLERANCE;
use super::World;
use crate::error::{Rule, ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{from_seconds, Micros};
use std::collections::{BTreeMap, BTreeSet};

mod acceptance;
mod fencing;
mod responses;
mod service;
mod waiting;

use waiting::Wait;

use fencing::FencingObservations;

/// Counters and observations that the checks need.
#[derive(Default)]
pub(super) struct Checks {
    /// Number of task starts after the cancellation of their job was confirmed.
    pub(super) late_starts: u64,
    /// Longest time that a job may wait while a machine has room for it; `None` if this is not checked.
    max_wait: Option<Micros>,
    /// Wait of each job for a task while some machine has room for it.
    waits: BTreeMap<String, Wait>,
    /// Ids of jobs that were submitted by raw requests of the script and accepted.
    raw_submissions: BTreeSet<String>,
    /// Number of out-of-band requests so far. They have numbers of their own, so that they do not change the
    /// order of other events.
    pub(super) out_of_band_requests: u64,
    /// Which fencing tokens were on record when.
    fencing: FencingObservations,
    /// Id of the ended job that was polled last.
    pub(super) last_polled_job: String,
}

/// Resources that a team's tasks use on machines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
}

impl World {
    /// Applies a setup line that enables a check.
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

    /// Runs the check that a directive names. Returns whether the directive is a check.
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
                    let detail = "`no_wait` needs the setup line `check waits`";
                    return Err(ScenarioError::unmet(detail));
                }
                self.check_no_wait(from_seconds(directive.number_at(1)?))?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Checks the invariants over all machines that are not gone, including those that hang, receive no
    /// responses or are cut off.
    pub(super) fn check_invariants(&mut self) -> StepResult {
        self.observe_fencing_records();
        self.check_all_run_once()?;
        self.check_quota()?;
        self.check_recorded_limits()?;
        self.measure_unused_grants();
        self.check_cancelled_are_gone()?;
        if let (Some(most), true) = (self.checks.max_wait, self.now >= self.faults.end) {
            self.update_waits();
            self.check_no_wait(most)?;
        }
        Ok(())
    }

    /// Checks that no task is on two machines, or twice on one.
    fn check_all_run_once(&self) -> StepResult {
        let mut machine_of: BTreeMap<&str, &str> = BTreeMap::new();
        for machine in self.present_machines() {
            for task in machine.live_tasks() {
                let other = machine_of.insert(&task.task_name, &machine.name);
                if let Some(other) = other {
                    let detail = format!(
                        "task {} is on machines {other} and {}",
                        task.task_name, machine.name
                    );
                    return Err(ScenarioError::rule(Rule::RanTwice, detail));
                }
            }
        }
        Ok(())
    }

    /// Checks that the tasks of a cancelled job are gone within the cancellation timeout after its user was told
    /// that it is cancelled.
    fn check_cancelled_are_gone(&self) -> StepResult {
        let timeout = self.configuration.settings.cancel_timeout;
        for machine in self.present_machines() {
            for task in machine.live_tasks() {
                let job = self.jobs.get(job_of(&task.task_name));
                let cancelled_at = job.and_then(|job| job.cancelled_at);
                if cancelled_at.is_some_and(|at| self.now > at + timeout) {
                    let detail = format!(
                        "task {} of a cancelled job is on machine {}",
                        task.task_name, machine.name
                    );
                    return Err(ScenarioError::rule(Rule::RanCancelled, detail));
                }
            }
        }
        Ok(())
    }

    /// Returns the resources that each team's tasks use on all machines.
    pub(super) fn usage_by_team(&self) -> BTreeMap<&str, Usage> {
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

    /// Checks that no team uses more than its limit.
    pub(super) fn check_quota(&self) -> StepResult {
        let used = self.usage_by_team();
        for (team, limit) in &self.configuration.settings.teams {
            let Usage { cpus, gpus } = used.get(team.as_str()).copied().unwrap_or_default();
            if cpus > limit.cpus_max + RESOURCE_TOLERANCE {
                let detail = format!("{team} uses {cpus} CPUs, more than its limit");
                return Err(ScenarioError::rule(Rule::Quota, detail));
            }
            if gpus > limit.gpus_max + RESOURCE_TOLERANCE {
                let detail = format!("{team} uses {gpus} accelerators, more than its limit");
                return Err(ScenarioError::rule(Rule::Quota, detail));
            }
        }
        Ok(())
    }
}
