//! Which guarantees and ceilings are in force while the members' settings change.
//!
//! Each member reads the teams' limits from its own settings when it starts, so for a while some have the
//! new figures and some the old ones. The figure in force is on record. It is lowered as soon as one
//! member is heard to have a lower one, and raised only when all members, asked by the present leader,
//! have a higher one. So a member with old settings that becomes the leader acts on no higher figure than
//! the one on record, and neither does one that is not heard.

use crate::Resources;
use grebewood_wire::records::{LimitsRecord, TeamQuotaRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A team's guarantee and ceiling.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamQuota {
    /// What it need not wait for other teams for.
    pub guarantee: Resources,
    /// What its tasks may use at most.
    pub limit: Resources,
}

impl TeamQuota {
    /// The lower figure of each.
    fn lowest(self, other: TeamQuota) -> TeamQuota {
        let limit = self.limit.min(other.limit);
        TeamQuota {
            guarantee: self.guarantee.min(other.guarantee).min(limit),
            limit,
        }
    }
}

/// The limits of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits(BTreeMap<String, TeamQuota>);

impl Limits {
    /// The limits of these teams.
    pub fn new(teams: impl IntoIterator<Item = (String, TeamQuota)>) -> Limits {
        Limits(teams.into_iter().collect())
    }

    /// A team's limits; `None` if there is no such team.
    pub fn get(&self, team: &str) -> Option<TeamQuota> {
        self.0.get(team).copied()
    }

    /// All teams.
    pub fn iter(&self) -> impl Iterator<Item = (&str, TeamQuota)> {
        self.0.iter().map(|(team, limit)| (team.as_str(), *limit))
    }

    /// What a record or message says.
    pub fn from_teams(teams: &[TeamQuotaRecord]) -> Limits {
        let limit = |team: &TeamQuotaRecord| TeamQuota {
            guarantee: Resources::of(team.cpus, team.gpus),
            limit: Resources::of(team.cpus_max, team.gpus_max),
        };
        Limits::new(teams.iter().map(|team| (team.team.clone(), limit(team))))
    }

    /// The same for a message.
    pub fn to_teams(&self) -> Vec<TeamQuotaRecord> {
        let record = |(team, limit): (&str, TeamQuota)| TeamQuotaRecord {
            team: team.to_string(),
            cpus: limit.guarantee.cpus(),
            cpus_max: limit.limit.cpus(),
            gpus: limit.guarantee.gpus(),
            gpus_max: limit.limit.gpus(),
        };
        self.iter().map(record).collect()
    }

    /// The record.
    pub fn to_record(&self) -> LimitsRecord {
        LimitsRecord {
            teams: self.to_teams(),
        }
    }

    /// Teams whose ceiling lies lower here than in `before`.
    pub fn lowered_since(&self, before: &Limits) -> Vec<String> {
        let lower = |(team, limit): &(&str, TeamQuota)| {
            let now = self.get(team).unwrap_or_default();
            !limit.limit.fits(now.limit)
        };
        let lowered = before.iter().filter(lower);
        lowered.map(|(team, _)| team.to_string()).collect()
    }
}

/// The limits in force, as the leader settles them.
#[derive(Clone, Debug, Default)]
pub struct LimitsInForce {
    in_force: Limits,
    /// All members of the cluster.
    members: BTreeSet<String>,
    /// What each member's settings say, as far as it was heard under this leader.
    announced: BTreeMap<String, Limits>,
}

impl LimitsInForce {
    /// Those of a new leader: what is on record, or its own settings where there is no record, but no
    /// more than its own settings.
    pub fn new(
        recorded: Option<Limits>,
        member: &str,
        own: Limits,
        others: impl IntoIterator<Item = String>,
    ) -> LimitsInForce {
        let mut members: BTreeSet<String> = others.into_iter().collect();
        members.insert(member.to_string());
        let mut limits = LimitsInForce {
            in_force: recorded.unwrap_or_else(|| own.clone()),
            members,
            announced: BTreeMap::new(),
        };
        limits.announce(member, own);
        limits
    }

    /// The limits that are in force.
    pub fn in_force(&self) -> &Limits {
        &self.in_force
    }

    /// Whether all members were heard.
    pub fn all_heard(&self) -> bool {
        self.announced.len() == self.members.len()
    }

    /// Takes in what a member's settings say. Whether that changes what is in force.
    pub fn announce(&mut self, member: &str, limits: Limits) -> bool {
        if !self.members.contains(member) {
            return false;
        }
        self.announced.insert(member.to_string(), limits);
        let settled = self.settle();
        let changed = settled != self.in_force;
        self.in_force = settled;
        changed
    }

    fn settle(&self) -> Limits {
        let announced = self.announced.values().flat_map(|limits| limits.0.keys());
        let teams: BTreeSet<&String> = self.in_force.0.keys().chain(announced).collect();
        let settled = teams.into_iter().filter_map(|team| {
            let limit = self.settle_team(team)?;
            Some((team.clone(), limit))
        });
        Limits::new(settled)
    }

    /// A team's limits; `None` if no member knows it any more.
    fn settle_team(&self, team: &str) -> Option<TeamQuota> {
        let mut figures = self.announced.values().map(|limits| limits.get(team));
        if self.all_heard() && figures.clone().all(|figure| figure.is_none()) {
            return None;
        }
        // For a member that does not know it, a team may use nothing.
        let first = figures.next()?.unwrap_or_default();
        let lowest = figures.fold(first, |lowest, figure| {
            lowest.lowest(figure.unwrap_or_default())
        });
        match self.all_heard() {
            true => Some(lowest),
            false => Some(lowest.lowest(self.in_force.get(team).unwrap_or_default())),
        }
    }
}
