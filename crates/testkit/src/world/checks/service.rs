//! Check that at least half of each group of jobs is served.

use super::super::jobs::ObservedJob;
use super::super::World;
use crate::error::{ScenarioError, StepResult};
use crate::time::{Micros, SECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time within which the largest jobs of a class must start; only jobs that are older are checked.
const START_DEADLINE_US: Micros = 240 * SECOND;
/// One of this many jobs of a class, rounded up, counts as one of its largest.
const LARGEST_SHARE: usize = 10;

/// Jobs by the name of their group: a class, a team, or the largest jobs of a class.
type Groups<'a> = BTreeMap<String, Vec<&'a ObservedJob>>;

impl World {
    /// Checks that at least half of each class, of each team and of each class's largest jobs is served, and
    /// that at least half of each class's largest jobs started in time. Recent and cancelled jobs do not count.
    pub(in crate::world) fn check_half_served(&self) -> StepResult {
        let groups = self.groups();
        let largest = largest_jobs(&groups);
        for (name, jobs) in &largest {
            let late = jobs.iter().filter(|job| started_late(job)).count();
            if late * 2 > jobs.len() {
                let detail = format!("most of {name} did not start in time");
                return Err(ScenarioError::unmet(detail));
            }
        }
        for (name, jobs) in groups.iter().chain(&largest) {
            let served = jobs.iter().filter(|job| is_served(job)).count();
            if served * 2 < jobs.len() {
                let number = jobs.len();
                let detail = format!("only {served} of {number} of {name} are served");
                return Err(ScenarioError::unmet(detail));
            }
        }
        match groups.is_empty() {
            true => Err(ScenarioError::unmet("no job is old enough to be checked")),
            false => Ok(()),
        }
    }

    /// Returns the jobs that are checked, by class and by team.
    fn groups(&self) -> Groups<'_> {
        let is_checked = |job: &&ObservedJob| {
            let old = self.now > job.submitted_at + START_DEADLINE_US;
            job.accepted && old && job.cancelled_at.is_none()
        };
        let mut groups = Groups::new();
        for job in self.jobs.values().filter(is_checked) {
            let (class, team) = (&job.spec.class, &job.spec.team);
            groups
                .entry(format!("class {class}"))
                .or_default()
                .push(job);
            groups.entry(format!("team {team}")).or_default().push(job);
        }
        groups
    }
}

/// Returns the largest jobs of each class.
fn largest_jobs<'a>(groups: &Groups<'a>) -> Groups<'a> {
    let classes = groups.iter().filter(|(name, _)| name.starts_with("class"));
    let largest = classes.map(|(name, jobs)| {
        let mut jobs = jobs.clone();
        jobs.sort_by_key(|job| Reverse(job.spec.tasks));
        jobs.truncate(jobs.len().div_ceil(LARGEST_SHARE));
        (format!("the largest of {name}"), jobs)
    });
    largest.collect()
}

fn started_late(job: &ObservedJob) -> bool {
    let deadline = job.submitted_at + START_DEADLINE_US;
    job.first_start.is_none_or(|at| at > deadline)
}

fn is_served(job: &ObservedJob) -> bool {
    match job.spec.shape.as_str() {
        "daemon" => job.first_start.is_some(),
        _ => job.done || job.is_complete(),
    }
}
