//! Which guaranteed shares and limits are in force while the members' settings change.
//!
//! Each member reads the teams' quotas from its own settings when it starts, so for a while some members
//! have the new amounts and some the old ones. The amount in force is on record. It is lowered as soon as
//! one member announces a lower one, and raised only when all members, asked by the present leader, have
//! announced a higher one. So a member with old settings that becomes the leader acts on no higher amount
//! than the one on record, and neither does a member that cannot be reached.

use crate::Resources;
use grebewood_wire::records::{LimitsRecord, TeamQuotaRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A team's guaranteed share and limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamQuota {
    /// What the team gets without waiting for tasks of other teams to end.
    pub guarantee: Resources,
    /// What the team's tasks may use at most.
    pub limit: Resources,
}

impl TeamQuota {
    /// The lower amount of each; the guaranteed share never exceeds the limit.
    fn lower_of(self, other: TeamQuota) -> TeamQuota {
        let limit = self.limit.min(other.limit);
        TeamQuota {
            guarantee: self.guarantee.min(other.guarantee).min(limit),
            limit,
        }
    }
}

/// The quotas of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits(BTreeMap<String, TeamQuota>);

impl Limits {
    /// The quotas of these teams.
    pub fn new(teams: impl IntoIterator<Item = (String, TeamQuota)>) -> Limits {
        Limits(teams.into_iter().collect())
    }

    /// A team's quota; `None` if there is no such team.
    pub fn get(&self, team: &str) -> Option<TeamQuota> {
        self.0.get(team).copied()
    }

    /// All teams with their quotas.
    pub fn iter(&self) -> impl Iterator<Item = (&str, TeamQuota)> {
        self.0.iter().map(|(team, quota)| (team.as_str(), *quota))
    }

    /// The quotas from a record or message.
    pub fn from_teams(teams: &[TeamQuotaRecord]) -> Limits {
        let quota = |record: &TeamQuotaRecord| TeamQuota {
            guarantee: Resources::of(record.cpus, record.gpus),
            limit: Resources::of(record.cpus_max, record.gpus_max),
        };
        let teams = teams.iter();
        Limits::new(teams.map(|record| (record.team.clone(), quota(record))))
    }

    /// The quotas for a message.
    pub fn to_teams(&self) -> Vec<TeamQuotaRecord> {
        let record = |(team, quota): (&str, TeamQuota)| TeamQuotaRecord {
            team: team.to_string(),
            cpus: quota.guarantee.cpus(),
            cpus_max: quota.limit.cpus(),
            gpus: quota.guarantee.gpus(),
            gpus_max: quota.limit.gpus(),
        };
        self.iter().map(record).collect()
    }

    /// The quotas as the record in the store.
    pub fn to_record(&self) -> LimitsRecord {
        LimitsRecord {
            teams: self.to_teams(),
        }
    }

    /// Teams whose limit is lower here than in `before`.
    pub fn lowered_since(&self, before: &Limits) -> Vec<String> {
        let lower = |(team, quota): &(&str, TeamQuota)| {
            let now = self.get(team).unwrap_or_default();
            !quota.limit.fits(now.limit)
        };
        let lowered = before.iter().filter(lower);
        lowered.map(|(team, _)| team.to_string()).collect()
    }
}

/// The quotas in force, as the leader determines them.
#[derive(Clone, Debug, Default)]
pub struct LimitsInForce {
    in_force: Limits,
    /// All members of the cluster.
    members: BTreeSet<String>,
    /// What the members' settings say, of those that have announced them to this leader.
    announced: BTreeMap<String, Limits>,
}

impl LimitsInForce {
    /// The quotas in force under a new leader: those on record (its own settings if there is no record), but
    /// no more than its own settings say.
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

    /// The quotas that are in force.
    pub fn in_force(&self) -> &Limits {
        &self.in_force
    }

    /// Whether all members have announced their settings.
    pub fn all_announced(&self) -> bool {
        self.announced.len() == self.members.len()
    }

    /// Applies what a member's settings say, and returns whether that changes what is in force.
    pub fn announce(&mut self, member: &str, limits: Limits) -> bool {
        if !self.members.contains(member) {
            return false;
        }
        self.announced.insert(member.to_string(), limits);
        let updated = self.determine();
        let changed = updated != self.in_force;
        self.in_force = updated;
        changed
    }

    fn determine(&self) -> Limits {
        let announced = self.announced.values().flat_map(|limits| limits.0.keys());
        let teams: BTreeSet<&String> = self.in_force.0.keys().chain(announced).collect();
        let quotas = teams.into_iter().filter_map(|team| {
            let quota = self.determine_team(team)?;
            Some((team.clone(), quota))
        });
        Limits::new(quotas)
    }

    /// A team's quota; `None` if no member knows the team any more.
    fn determine_team(&self, team: &str) -> Option<TeamQuota> {
        let mut quotas = self.announced.values().map(|limits| limits.get(team));
        if self.all_announced() && quotas.clone().all(|quota| quota.is_none()) {
            return None;
        }
        // A member that does not know the team allows it nothing.
        let first = quotas.next()?.unwrap_or_default();
        let lowest = quotas.fold(first, |lowest, quota| {
            lowest.lower_of(quota.unwrap_or_default())
        });
        if self.all_announced() {
            return Some(lowest);
        }
        let in_force = self.in_force.get(team).unwrap_or_default();
        Some(lowest.lower_of(in_force))
    }
}
