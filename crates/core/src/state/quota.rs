//! The leader's books of quotas: limits in force, grants to holders, and delegated tasks.

use crate::settings::Settings;
use crate::state::delegations::Delegations;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Limits, LimitsInForce, QuotaGrants};
use std::collections::{BTreeMap, BTreeSet};

/// The leader's part.
#[derive(Clone, Debug, Default)]
pub struct LeaderQuota {
    /// The limits in force.
    pub(crate) limits: LimitsInForce,
    /// What of them is allotted to holders.
    pub(crate) allotments: QuotaGrants,
    /// Tasks that holders are to place.
    pub(crate) delegations: Delegations,
    /// Partitions whose holder places tasks.
    pub(crate) placing: BTreeSet<PartitionId>,
    /// Until when the leader places on a partition's machines itself, since its holder is slow.
    pub(crate) slow_until: BTreeMap<PartitionId, Micros>,
    /// A member was heard that places nothing: no more is given to holders meanwhile.
    pub(crate) paused: bool,
    /// The state service does not take records of allotments.
    pub(crate) refused: bool,
    /// Teams that lacked room under their ceiling lately while some of it was allotted for nothing.
    pub(crate) pressed: BTreeSet<String>,
    /// Why this leader cannot know what holders have placed, and has to make room for one that reads it.
    pub(crate) lost: Option<&'static str>,
    /// When limits were last enforced on what runs.
    pub(crate) enforced_at: Micros,
}

impl Settings {
    /// The limits of these settings.
    pub fn limits(&self) -> Limits {
        let teams = self.teams.iter();
        Limits::new(teams.map(|(name, team)| (name.clone(), team.limit())))
    }
}
