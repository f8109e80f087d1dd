//! The leader's state of team quotas: quotas in force, grants to partition holders, and delegated tasks.

use crate::settings::Settings;
use crate::state::delegations::Delegations;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Limits, LimitsInForce, QuotaGrants};
use std::collections::{BTreeMap, BTreeSet};

/// The leader's state of team quotas.
#[derive(Clone, Debug, Default)]
pub struct LeaderQuota {
    /// The quotas in force.
    pub(crate) limits: LimitsInForce,
    /// What of the teams' limits is granted to holders.
    pub(crate) grants: QuotaGrants,
    /// Tasks that holders are to place.
    pub(crate) delegations: Delegations,
    /// Partitions whose holder places tasks.
    pub(crate) placing: BTreeSet<PartitionId>,
    /// Until when the leader places tasks on a partition's machines itself, since its holder is slow.
    pub(crate) holder_slow_until: BTreeMap<PartitionId, Micros>,
    /// A member answered that does not support quota grants: no tasks are delegated meanwhile.
    pub(crate) paused: bool,
    /// The store has refused a record of a quota grant.
    pub(crate) refused: bool,
    /// Teams that lacked room under their limit lately while some of it was granted but not needed.
    pub(crate) teams_short_of_room: BTreeSet<String>,
    /// Why this leader cannot know what holders have placed, so that it has to step down for one that reads it.
    pub(crate) lost: Option<&'static str>,
    /// When limits were last enforced on running tasks.
    pub(crate) enforced_at: Micros,
}

impl Settings {
    /// The teams' quotas in these settings.
    pub fn limits(&self) -> Limits {
        let teams = self.teams.iter();
        Limits::new(teams.map(|(name, team)| (name.clone(), team.quota())))
    }
}
