//! The leader's state of team quotas: the quotas in force, the quota grants to partition holders, and the delegated
//! tasks.

use crate::settings::Settings;
use crate::state::delegations::Delegations;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Limits, LimitsInForce, QuotaGrants};
use std::collections::{BTreeMap, BTreeSet};

/// State that the leader keeps about team quotas.
#[derive(Clone, Debug, Default)]
pub struct LeaderQuota {
    /// Quotas in force.
    pub(crate) limits: LimitsInForce,
    /// Parts of the teams' limits that this leader grants to partition holders, the controllers that hold a claim on a
    /// partition and place delegated tasks there.
    pub(crate) grants: QuotaGrants,
    /// Tasks that are delegated to partition holders and not placed yet.
    pub(crate) delegations: Delegations,
    /// Partitions whose holder places tasks.
    pub(crate) placing_partitions: BTreeSet<PartitionId>,
    /// Time until which tasks are not delegated to the holder of a partition because it was slow.
    pub(crate) holder_slow_until: BTreeMap<PartitionId, Micros>,
    /// Whether delegations and quota grants are paused because a member that answered recently does not support
    /// them.
    pub(crate) quota_grants_paused: bool,
    /// Whether the key-value store has refused to write a quota grant or the limits.
    pub(crate) grant_write_refused: bool,
    /// Teams whose remaining limit was too small for a task since the last round of placement began. Partition
    /// holders are asked to return what they do not need of their quota grants for these teams.
    pub(crate) teams_short_of_room: BTreeSet<String>,
    /// Reason why this leader cannot know what holders have placed. The leader then steps down, and its successor
    /// reads the placements from the key-value store.
    pub(crate) placements_unknown_reason: Option<&'static str>,
    /// Time at which limits were last enforced on running tasks.
    pub(crate) enforced_at: Micros,
}

impl Settings {
    /// Returns the teams' quotas in these settings.
    pub fn limits(&self) -> Limits {
        let teams = self.teams.iter();
        Limits::new(teams.map(|(name, team)| (name.clone(), team.quota())))
    }
}
