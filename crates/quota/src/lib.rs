//! Team quotas that hold for the whole cluster while several controllers place tasks.
//!
//! A team may use no more than its limit across the whole cluster. The leader grants the holder of each
//! partition a part of a team's limit (a quota grant) and writes it to the store before it is used; the
//! holder starts tasks out of its grant without asking. What is granted counts as used until the holder,
//! or whoever holds the partition next, has answered that it will not use it.
//!
//! Like the scheduler's core this package is pure: inputs in, decisions out. It does no I/O and reads no
//! clock.
//!
//! - [`limits`]: which guaranteed shares and limits are in force while settings change;
//! - [`grants`]: what the leader has granted to each partition;
//! - [`holder_grant`]: what a holder may use, and what its tasks use;
//! - [`overview`]: what an operator is shown, from the records alone.
//!
//! For each team these hold at any moment, also by the records alone, so that the next leader can rely on
//! them:
//!
//! ```text
//! used by tasks of the leader + sum over partitions of max(granted, may be on record) <= limit in force
//! used by tasks of a partition's holder <= granted to the partition, on record
//! ```
//!
//! The exception is a limit that was lowered below what is used: then nothing new starts until the first
//! line holds again.

#![warn(missing_docs)]

pub mod grants;
pub mod holder_grant;
pub mod limits;
pub mod overview;
mod partition_grant;
mod resources;

pub use grants::{OverLimit, QuotaGrants};
pub use holder_grant::HolderGrant;
pub use limits::{Limits, LimitsInForce, TeamQuota};
pub use partition_grant::GrantReduction;
pub use resources::{Resources, TeamAmounts};

/// Microseconds of a monotonic clock.
pub type Micros = u64;

/// Number of a partition.
pub type PartitionId = u64;
