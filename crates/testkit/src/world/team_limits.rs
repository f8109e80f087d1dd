//! Teams' limits that differ between controllers, and the check that no team starts anything above a
//! limit that was lowered.

use super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, SECOND};
use grebewood_core::Team;
use grebewood_wire::http::from_value;
use grebewood_wire::records::{LimitsRecord, QuotaGrantRecord, LIMITS, QUOTA};
use std::collections::BTreeMap;

/// A launch that was on record before a limit was lowered may still reach its agent for so long.
const LAUNCH_TRANSIT: Micros = 2 * SECOND;
/// Sums of CPUs that differ by less are the same.
pub(super) const SLACK: f64 = 1e-6;
/// Quota grants are on record in millionths of a CPU.
const GRANT_UNITS_PER_CPU: f64 = 1e6;
/// The bound of a check that sets none.
const UNBOUNDED: f64 = 1e9;

/// What is known of a team's limit on record.
#[derive(Clone, Copy)]
struct RecordedLimit {
    cpus: f64,
    /// When it was last lowered.
    lowered: Micros,
    /// What the team used at the last check, in CPUs.
    used: f64,
}

/// Limits that differ, and what is on record.
#[derive(Default)]
pub(super) struct LimitChanges {
    /// What a controller's settings say from its next start on; `None`: the team is not in them.
    of_controller: BTreeMap<(usize, String), Option<Team>>,
    on_record: BTreeMap<String, RecordedLimit>,
}

impl LimitChanges {
    /// Changes the teams in the settings of a controller that starts.
    pub(super) fn apply(&self, controller: usize, teams: &mut BTreeMap<String, Team>) {
        let changes = self.of_controller.iter();
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
    /// Carries out a directive about limits, if it is one.
    pub(super) fn run_limits_directive(&mut self, directive: &Directive) -> StepResult<bool> {
        match directive.word(0)? {
            "settings" => self.change_settings(directive)?,
            "in_force" => {
                let wanted = directive.number_at(2)?;
                let limits = self.limits_on_record();
                let got = limits.get(directive.word(1)?).copied();
                if got != Some(wanted) {
                    let detail = format!("the limit on record is {got:?}");
                    return Err(ScenarioError::unmet(detail));
                }
            }
            "uses" => {
                let used = self.used();
                let used = used.get(directive.word(1)?).map_or(0.0, |used| used.cpus);
                check_bounds(directive, SLACK, used, "CPUs are used")?;
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

    /// Changes what the settings of controllers say of a team from their next start on.
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
            cpus_max: directive.number("max", known.cpus_max)?,
            ..known
        };
        let team = (!directive.flag("gone", false)).then_some(team);
        let changes = controllers.into_iter();
        let changes = changes.map(|controller| ((controller, name.clone()), team));
        self.limit_changes.of_controller.extend(changes);
        Ok(())
    }

    /// The limits on record by team, in CPUs.
    fn limits_on_record(&self) -> BTreeMap<String, f64> {
        let mut records = self.store.entries_with_prefix(LIMITS);
        let record = records.find_map(|(_, value, _)| from_value::<LimitsRecord>(value).ok());
        let teams = record.unwrap_or_default().teams.into_iter();
        teams.map(|team| (team.team, team.cpus_max)).collect()
    }

    /// The quota grants on record by team, in CPUs.
    fn grants_on_record(&self) -> BTreeMap<String, f64> {
        let mut granted: BTreeMap<String, f64> = BTreeMap::new();
        for (_, value, _) in self.store.entries_with_prefix(QUOTA) {
            let record = from_value::<QuotaGrantRecord>(value).unwrap_or_default();
            for team in record.teams {
                let cpus = team.cpus as f64 / GRANT_UNITS_PER_CPU;
                *granted.entry(team.team).or_insert(0.0) += cpus;
            }
        }
        granted
    }

    /// Whether a job of the team waits for tasks.
    fn waits_for_tasks(&self, team: &str) -> bool {
        self.jobs.values().any(|job| {
            let running = job.starts.min(job.spec.tasks);
            let waits = job.accepted && !job.done && running < job.spec.tasks;
            waits && job.spec.team == team
        })
    }

    /// Measures what part of each limit is granted and not used while jobs of the team wait for tasks.
    pub(super) fn measure_idle_grants(&mut self) {
        if self.measures.is_none() {
            return;
        }
        let granted = self.grants_on_record();
        let used = self.used();
        let mut idle = Vec::new();
        for (team, limit) in &self.configuration.settings.teams {
            if self.waits_for_tasks(team) {
                let used = used.get(team.as_str()).map_or(0.0, |used| used.cpus);
                let granted = granted.get(team).copied().unwrap_or(0.0);
                let share = (granted - used).max(0.0) / limit.cpus_max;
                idle.push((share * 1_000.0) as u64);
            }
        }
        if let Some(measures) = &mut self.measures {
            let each = idle.into_iter();
            each.for_each(|thousandths| measures.record_unused_grant(thousandths));
        }
    }

    /// No task of a team may come onto a machine above its limit on record, once what was under way when
    /// it was lowered has arrived.
    pub(super) fn check_recorded_limits(&mut self) -> StepResult {
        let now = self.now;
        let limits = self.limits_on_record();
        let used = self.used();
        let mut next = BTreeMap::new();
        for (team, cpus) in limits {
            let known = self.limit_changes.on_record.get(&team).copied();
            let lowered = match known {
                Some(known) if cpus < known.cpus => now,
                Some(known) => known.lowered,
                None => 0,
            };
            let used = used.get(team.as_str()).map_or(0.0, |used| used.cpus);
            let more = known.is_some_and(|known| used > known.used + SLACK);
            let settled = lowered > 0 && now > lowered + LAUNCH_TRANSIT;
            if more && settled && used > cpus + SLACK {
                return Err(ScenarioError::Protocol(format!(
                    "{team} uses {used}, more than the {cpus} in force"
                )));
            }
            let limit = RecordedLimit {
                cpus,
                lowered,
                used,
            };
            next.insert(team, limit);
        }
        self.limit_changes.on_record = next;
        Ok(())
    }
}
