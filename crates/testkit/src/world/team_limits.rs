//! Team limits that differ between the settings of controllers, and the check that no team starts tasks above a
//! limit that was lowered.

use super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, SECOND};
use grebewood_core::Team;
use grebewood_wire::http::from_value;
use grebewood_wire::records::{LimitsRecord, QuotaGrantRecord, QUOTA_LIMITS_KEY, QUOTA_PREFIX};
use std::collections::BTreeMap;

/// Time within which a launch that was recorded before a limit was lowered may still reach its agent.
const LAUNCH_TRANSIT_US: Micros = 2 * SECOND;
/// Amounts of a resource that differ by less count as equal.
pub(super) const RESOURCE_TOLERANCE: f64 = 1e-6;
/// Units of a recorded quota grant that make one CPU.
const GRANT_UNITS_PER_CPU: f64 = 1e6;
/// Upper bound of a check whose directive gives none.
const UNBOUNDED: f64 = 1e9;

/// Recorded limit of a team, and the team's usage.
#[derive(Clone, Copy)]
struct RecordedLimit {
    cpus: f64,
    /// Time at which a check last found that it was lowered; 0 if none did.
    lowered_at: Micros,
    /// CPUs that the team used at the last check.
    used: f64,
}

/// Changes of team limits in the settings of controllers, and the recorded limits.
#[derive(Default)]
pub(super) struct LimitChanges {
    /// Teams in a controller's settings from its next start on, by controller and team; `None` if the settings
    /// do not have the team.
    by_controller: BTreeMap<(usize, String), Option<Team>>,
    /// Recorded limits at the last check, by team.
    recorded: BTreeMap<String, RecordedLimit>,
}

impl LimitChanges {
    /// Applies the changes to the teams in the settings of a controller that starts.
    pub(super) fn apply(&self, controller: usize, teams: &mut BTreeMap<String, Team>) {
        let changes = self.by_controller.iter();
        for ((_, name), team) in changes.filter(|((of, _), _)| *of == controller) {
            match team {
                Some(team) => teams.insert(name.clone(), *team),
                None => teams.remove(name),
            };
        }
    }
}

/// Checks that a value is within the bounds `least` and `most` of a directive.
fn check_bounds(directive: &Directive, slack: f64, value: f64, unit: &str) -> StepResult {
    let least = directive.number("least", 0.0)?;
    let most = directive.number("most", UNBOUNDED)?;
    match (least - slack..=most + slack).contains(&value) {
        true => Ok(()),
        false => Err(ScenarioError::unmet(format!("{value} {unit}"))),
    }
}

impl World {
    /// Runs a directive about team limits. Returns whether the directive is one.
    pub(super) fn run_limits_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "settings" => self.change_settings(directive)?,
            "team_limit" => {
                let wanted = directive.number_at(2)?;
                let limits = self.recorded_limits();
                let got = limits.get(directive.word(1)?).copied();
                if got != Some(wanted) {
                    let detail = format!("the limit on record is {got:?}");
                    return Err(ScenarioError::unmet(detail));
                }
            }
            "uses" => {
                let used = self.usage_by_team();
                let used = used.get(directive.word(1)?).map_or(0.0, |used| used.cpus);
                check_bounds(directive, RESOURCE_TOLERANCE, used, "CPUs are used")?;
            }
            "started" => {
                let starts = self
                    .jobs
                    .get(directive.word(1)?)
                    .map_or(0, |job| job.starts);
                check_bounds(directive, 0.0, starts as f64, "starts")?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Changes a team in the settings of controllers from their next start on.
    fn change_settings(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let controllers = self.controllers_named(directive.word(1)?)?;
        let name = directive.word(2)?.to_string();
        let known = self.configuration.settings.teams.get(&name).copied();
        let known = known.ok_or_else(|| ScriptError::NotFound {
            kind: "team",
            name: name.clone(),
        })?;
        let team = Team {
            cpus: directive.number("cpus", known.cpus)?,
            cpus_max: directive.number("cpus_max", known.cpus_max)?,
            ..known
        };
        let team = (!directive.flag("removed", false)).then_some(team);
        let changes = controllers.into_iter();
        let changes = changes.map(|controller| ((controller, name.clone()), team));
        self.limit_changes.by_controller.extend(changes);
        Ok(())
    }

    /// Returns the recorded limits by team, in CPUs.
    fn recorded_limits(&self) -> BTreeMap<String, f64> {
        let mut records = self.store.entries_with_prefix(QUOTA_LIMITS_KEY);
        let record = records.find_map(|(_, value, _)| from_value::<LimitsRecord>(value).ok());
        let teams = record.unwrap_or_default().teams.into_iter();
        teams.map(|team| (team.team, team.cpus_max)).collect()
    }

    /// Returns the sums of the recorded quota grants by team, in CPUs.
    fn recorded_grants(&self) -> BTreeMap<String, f64> {
        let mut granted: BTreeMap<String, f64> = BTreeMap::new();
        for (_, value, _) in self.store.entries_with_prefix(QUOTA_PREFIX) {
            let record = from_value::<QuotaGrantRecord>(value).unwrap_or_default();
            for team in record.teams {
                let cpus = team.cpus as f64 / GRANT_UNITS_PER_CPU;
                *granted.entry(team.team).or_insert(0.0) += cpus;
            }
        }
        granted
    }

    /// Returns whether a job of the team has fewer starts than tasks, and is accepted and not done.
    fn has_waiting_job(&self, team: &str) -> bool {
        self.jobs.values().any(|job| {
            let running = job.starts.min(job.spec.tasks);
            let waits = job.accepted && !job.done && running < job.spec.tasks;
            waits && job.spec.team == team
        })
    }

    /// Measures the share of each team's limit that is granted and unused while jobs of the team wait for tasks.
    pub(super) fn measure_unused_grants(&mut self) {
        if self.measurements.is_none() {
            return;
        }
        let granted = self.recorded_grants();
        let used = self.usage_by_team();
        let mut unused_thousandths = Vec::new();
        for (team, limit) in &self.configuration.settings.teams {
            if self.has_waiting_job(team) {
                let used = used.get(team.as_str()).map_or(0.0, |used| used.cpus);
                let granted = granted.get(team).copied().unwrap_or(0.0);
                let share = (granted - used).max(0.0) / limit.cpus_max;
                unused_thousandths.push((share * 1_000.0) as u64);
            }
        }
        if let Some(measurements) = &mut self.measurements {
            let each = unused_thousandths.into_iter();
            each.for_each(|thousandths| measurements.record_unused_grant(thousandths));
        }
    }

    /// Checks that no team starts tasks above its recorded limit, once the launches that were in transit when
    /// the limit was lowered have arrived.
    pub(super) fn check_recorded_limits(&mut self) -> StepResult {
        let now = self.now;
        let limits = self.recorded_limits();
        let used = self.usage_by_team();
        let mut next = BTreeMap::new();
        for (team, cpus) in limits {
            let known = self.limit_changes.recorded.get(&team).copied();
            let lowered_at = match known {
                Some(known) if cpus < known.cpus => now,
                Some(known) => known.lowered_at,
                None => 0,
            };
            let used = used.get(team.as_str()).map_or(0.0, |used| used.cpus);
            let has_grown = known.is_some_and(|known| used > known.used + RESOURCE_TOLERANCE);
            let settled = lowered_at > 0 && now > lowered_at + LAUNCH_TRANSIT_US;
            if has_grown && settled && used > cpus + RESOURCE_TOLERANCE {
                return Err(ScenarioError::Protocol(format!(
                    "{team} uses {used} CPUs, more than its recorded limit of {cpus}"
                )));
            }
            let limit = RecordedLimit {
                cpus,
                lowered_at,
                used,
            };
            next.insert(team, limit);
        }
        self.limit_changes.recorded = next;
        Ok(())
    }
}
