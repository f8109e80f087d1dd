//! Team quotas that hold for the whole cluster while several controllers place tasks.
//!
//! A team's tasks may use at most its limit across the whole cluster. The leader grants the holder of each
//! partition a part of a team's limit (a quota grant) and records it in the key-value store before it is used.
//! The holder of a partition is the controller that has claimed it and places tasks on its machines. It starts
//! tasks within its grant without asking. A granted amount counts as used until the holder, or the next holder of
//! the partition, has answered that it will not use it.
//!
//! Like the scheduler's core, this package maps inputs to decisions. It does no I/O and reads no clock.
//!
//! - [`limits`]: the guaranteed shares and limits that are in force while settings change;
//! - [`grants`]: the amounts that the leader has granted to each partition;
//! - [`holder_grant`]: the amounts that a holder may use and those that its tasks use;
//! - [`overview`]: the overview for operators, from the records alone.
//!
//! For each team these invariants hold at any moment. They also hold for the records alone, so that the next
//! leader can rely on them:
//!
//! ```text
//! used by tasks of the leader + sum over partitions of max(granted, possibly recorded) <= limit in force
//! used by tasks of a partition's holder <= granted to the partition, as recorded
//! ```
//!
//! The exception is a limit that was lowered below the amount in use: then nothing new starts until the first
//! invariant holds again.

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

/// Time or duration in microseconds, of a monotonic clock.
pub type Micros = u64;

/// Number of a partition.
pub type PartitionId = u64;
