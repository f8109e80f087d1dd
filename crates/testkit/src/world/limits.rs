//! Teams' limits that differ between controllers, and the check that no team starts anything above a
//! limit that was lowered.

use super::*;
use grebewood_wire::http::from_value;
use grebewood_wire::records::{LimitsRecord, QuotaGrantRecord, LIMITS, QUOTA};

/// A launch that was on record before a limit was lowered may still reach its agent for so long.
const LAUNCH_TRANSIT: Micros = 2 * SECOND;
const SLACK: f64 = 1e-6;

/// What is known of a team's limit on record.
#[derive(Clone, Copy)]
struct RecordedLimit {
    cpus: f64,
    /// When it was last lowered.
    lowered: Micros,
    /// What the team used at the last look.
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
    /// The teams in the settings of a controller that starts.
    pub(super) fn apply(&self, controller: usize, teams: &mut BTreeMap<String, Team>) {
        for ((of, name), team) in &self.of_controller {
            match team {
                _ if *of != controller => {}
                Some(team) => {
                    teams.insert(name.clone(), *team);
                }
                None => {
                    teams.remove(name);
                }
            }
        }
    }
}

impl World {
    /// Plays a line about limits, if it is one.
    pub(super) fn limits_directive(&mut self, line: &Directive) -> Result<bool, String> {
        match line.word(0)? {
            "settings" => {
                let controllers = match line.word(1)? {
                    "all" => (0..self.controllers.len()).collect(),
                    word => vec![self.controller_named(word)?],
                };
                let name = line.word(2)?.to_string();
                let known = self.settings.teams.get(&name).copied();
                let known = known.ok_or("no such team")?;
                let team = Team {
                    cpus: line.number("cpus", known.cpus)?,
                    cpus_max: line.number("max", known.cpus_max)?,
                    ..known
                };
                let team = (!line.yes("gone", false)).then_some(team);
                for controller in controllers {
                    self.limit_changes
                        .of_controller
                        .insert((controller, name.clone()), team);
                }
            }
            "in_force" => {
                let wanted: f64 = line.word(2)?.parse().map_err(|_| "no number".to_string())?;
                let got = self.limits_on_record().get(line.word(1)?).copied();
                if got != Some(wanted) {
                    return Err(format!("the ceiling on record is {got:?}"));
                }
            }
            "uses" => {
                let got = self.used().get(line.word(1)?).map_or(0.0, |used| used.0);
                let (least, most) = (line.number("least", 0.0)?, line.number("most", 1e9)?);
                if !(least - SLACK..=most + SLACK).contains(&got) {
                    return Err(format!("{got} CPUs are used"));
                }
            }
            "started" => {
                let got = self.jobs.get(line.word(1)?).map_or(0, |j| j.starts);
                let (least, most) = (line.number("least", 0.0)?, line.number("most", 1e9)?);
                if !(least..=most).contains(&(got as f64)) {
                    return Err(format!("{got} starts"));
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn limits_on_record(&self) -> BTreeMap<String, f64> {
        let mut records = self.state.under(LIMITS);
        let record = records.find_map(|(_, value, _)| from_value::<LimitsRecord>(value).ok());
        let teams = record.unwrap_or_default().teams.into_iter();
        teams.map(|team| (team.team, team.cpus_max)).collect()
    }

    /// Measures what of each limit is allotted and not used while jobs of the team wait for tasks.
    pub(super) fn measure_idle_grants(&mut self) {
        if self.measures.is_none() {
            return;
        }
        let mut on_leader_grant: BTreeMap<String, f64> = BTreeMap::new();
        for (_, value, _) in self.state.under(QUOTA) {
            let record = from_value::<QuotaGrantRecord>(value).unwrap_or_default();
            for team in record.teams {
                *on_leader_grant.entry(team.team).or_insert(0.0) += team.cpus as f64 / 1e6;
            }
        }
        let used = self.used();
        let waits = |team: &str| {
            self.jobs.values().any(|job| {
                let running = job.starts.min(job.spec.tasks);
                job.spec.team == team && job.accepted && !job.done && running < job.spec.tasks
            })
        };
        let mut idle = Vec::new();
        for (team, limit) in &self.settings.teams {
            let used = used.get(team.as_str()).map_or(0.0, |used| used.0);
            let on_leader_grant = on_leader_grant.get(team).copied().unwrap_or(0.0);
            if waits(team) {
                let part = (on_leader_grant - used).max(0.0) / limit.cpus_max;
                idle.push((part * 1_000.0) as u64);
            }
        }
        if let Some(measures) = &mut self.measures {
            idle.into_iter()
                .for_each(|part| measures.idle_granted(part));
        }
    }

    /// No task of a team may come onto a machine above its limit on record, once what was under way when
    /// it was lowered has arrived.
    pub(super) fn check_recorded_limits(&mut self) -> Result<(), String> {
        let now = self.now;
        let limits = self.limits_on_record();
        let used = self.used();
        let used = |team: &str| used.get(team).map_or(0.0, |used| used.0);
        let mut next = BTreeMap::new();
        for (team, cpus) in limits {
            let known = self.limit_changes.on_record.get(&team).copied();
            let lowered = match known {
                Some(known) if cpus < known.cpus => now,
                Some(known) => known.lowered,
                None => 0,
            };
            let uses = used(&team);
            let more = known.is_some_and(|known| uses > known.used + SLACK);
            let settled = lowered > 0 && now > lowered + LAUNCH_TRANSIT;
            if more && settled && uses > cpus + SLACK {
                return Err(format!("{team} uses {uses}, more than the {cpus} in force"));
            }
            let limit = RecordedLimit {
                cpus,
                lowered,
                used: uses,
            };
            next.insert(team, limit);
        }
        self.limit_changes.on_record = next;
        Ok(())
    }
}
