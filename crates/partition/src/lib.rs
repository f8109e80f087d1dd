//! Partitions: several controllers manage the machines of one cluster between them.
//!
//! A partition is a set of machines of one zone ([`hash_slots`]). The leader writes which partitions there
//! are and which member is to hold each ([`plan`]). That member claims it under a lease, and the
//! mod_revision of the claim is the fencing token of the partition's machines. Both records together are
//! the partition map ([`map`]), from which every controller derives which controller an agent sends its
//! heartbeats to, and how far a partition handoff is. A handoff has no other state, so any leader can
//! continue it.
//!
//! Everything here is pure: no I/O, no clock.

#![warn(missing_docs)]

pub mod hash_slots;
pub mod map;
pub mod overview;
pub mod plan;

pub use map::{Claim, Partition, PartitionId, PartitionMap, Phase, RecordError};
pub use plan::{Assignment, Load, Member, Planner, PlannerInput, PlannerSettings};

/// Microseconds, of a monotonic clock or of the time of day.
pub type Micros = u64;
