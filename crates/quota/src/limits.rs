//! The guaranteed shares and limits that are in force while the members' settings change.
//!
//! A member is a controller of the cluster, by the name in its settings. Each member reads the teams' quotas from
//! its own settings when it starts, so for some time members can have different amounts. The amount in force is
//! recorded in the key-value store. It is lowered as soon as one member announces a lower amount. It is raised only
//! after all members, asked by the present leader, have announced a higher one. So a member with old settings that
//! becomes the leader does not act on an amount above the recorded one, and neither does a member that cannot be
//! reached.

use crate::Resources;
use grebewood_wire::records::{LimitsRecord, TeamQuotaRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Guaranteed share and limit of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamQuota {
    /// Amount that the team gets without waiting for tasks of other teams to end.
    pub guarantee: Resources,
    /// Largest amount that the team's tasks may use.
    pub limit: Resources,
}

impl TeamQuota {
    /// Returns the lower amount of each. The guaranteed share of the result does not exceed its limit.
    fn lower_of(self, other: TeamQuota) -> TeamQuota {
        let limit = self.limit.min(other.limit);
        TeamQuota {
            guarantee: self.guarantee.min(other.guarantee).min(limit),
            limit,
        }
    }
}

/// Quotas of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits(BTreeMap<String, TeamQuota>);

impl Limits {
    /// Creates the quotas of these teams.
    pub fn new(teams: impl IntoIterator<Item = (String, TeamQuota)>) -> Limits {
        Limits(teams.into_iter().collect())
    }

    /// Returns a team's quota; `None`: there is no such team.
    pub fn get(&self, team: &str) -> Option<TeamQuota> {
        self.0.get(team).copied()
    }

    /// Returns all teams with their quotas.
    pub fn iter(&self) -> impl Iterator<Item = (&str, TeamQuota)> {
        self.0.iter().map(|(team, quota)| (team.as_str(), *quota))
    }

    /// Converts the quotas in a record or message.
    pub fn from_teams(teams: &[TeamQuotaRecord]) -> Limits {
        let quota = |record: &TeamQuotaRecord| TeamQuota {
            guarantee: Resources::of(record.cpus, record.gpus),
            limit: Resources::of(record.cpus_max, record.gpus_max),
        };
        let teams = teams.iter();
        Limits::new(teams.map(|record| (record.team.clone(), quota(record))))
    }

    /// Converts the quotas to the form in records and messages.
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

    /// Returns the record of the quotas for the key-value store.
    pub fn to_record(&self) -> LimitsRecord {
        LimitsRecord {
            teams: self.to_teams(),
        }
    }

    /// Returns the teams whose limit is lower here than in `before`.
    pub fn lowered_since(&self, before: &Limits) -> Vec<String> {
        let is_lowered = |(team, quota): &(&str, TeamQuota)| {
            let now = self.get(team).unwrap_or_default();
            !quota.limit.fits(now.limit)
        };
        let lowered = before.iter().filter(is_lowered);
        lowered.map(|(team, _)| team.to_string()).collect()
    }
}

/// Quotas in force, as the leader determines them.
#[derive(Clone, Debug, Default)]
pub struct LimitsInForce {
    in_force: Limits,
    /// Names of all members of the cluster.
    members: BTreeSet<String>,
    /// Quotas in the settings of each member that has announced them to this leader.
    announced: BTreeMap<String, Limits>,
}

impl LimitsInForce {
    /// Creates the quotas in force under a new leader: the recorded ones (its own settings if there is no record),
    /// but at most the amounts in its own settings.
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
        limits.apply_announcement(member, own);
        limits
    }

    /// Returns the quotas in force.
    pub fn in_force(&self) -> &Limits {
        &self.in_force
    }

    /// Returns whether all members have announced their settings.
    pub fn all_announced(&self) -> bool {
        self.announced.len() == self.members.len()
    }

    /// Applies the quotas in a member's settings and returns whether the quotas in force have changed.
    /// Announcements of unknown members are ignored.
    pub fn apply_announcement(&mut self, member: &str, limits: Limits) -> bool {
        if !self.members.contains(member) {
            return false;
        }
        self.announced.insert(member.to_string(), limits);
        let updated = self.compute_limits();
        let changed = updated != self.in_force;
        self.in_force = updated;
        changed
    }

    /// Returns the quotas in force according to the announcements so far.
    fn compute_limits(&self) -> Limits {
        let announced = self.announced.values().flat_map(|limits| limits.0.keys());
        let teams: BTreeSet<&String> = self.in_force.0.keys().chain(announced).collect();
        let quotas = teams.into_iter().filter_map(|team| {
            let quota = self.compute_quota(team)?;
            Some((team.clone(), quota))
        });
        Limits::new(quotas)
    }

    /// Returns a team's quota in force; `None`: all members have announced their settings and none knows the team.
    fn compute_quota(&self, team: &str) -> Option<TeamQuota> {
        let mut quotas = self.announced.values().map(|limits| limits.get(team));
        if self.all_announced() && quotas.clone().all(|quota| quota.is_none()) {
            return None;
        }
        // A member whose settings lack the team counts as announcing a quota of zero.
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
