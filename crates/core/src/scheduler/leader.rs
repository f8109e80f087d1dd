//! Functions that only the leader runs: placement, partition management, team quotas and the fleet.

pub(crate) mod delegation_policy;
pub(crate) mod fleet;
pub(crate) mod headroom;
pub(crate) mod partition_reports;
pub(crate) mod partitions;
pub(crate) mod placement;
pub(crate) mod quota_limits;
pub(crate) mod quota_messages;
pub(crate) mod revocations;
