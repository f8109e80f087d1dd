//! Partitions: the division of a cluster's machines among several controllers.
//!
//! A partition is a set of machines of one zone ([`hash_slots`]). The leader writes to the key-value store which
//! partitions exist and which member is assigned to hold each of them ([`plan`]). The assigned member claims the
//! partition under a lease. The mod_revision of the claim is the fencing token of the partition's machines. The
//! assignments and the claims together are the partition map ([`map`]). From it, every controller derives which
//! controller an agent sends its heartbeats to and how far the handoff of a partition has progressed. A handoff
//! has no other state, so any leader can continue it.
//!
//! A member is a controller of the cluster, by the name in its settings. The holder of a partition is the member
//! that has claimed it and places tasks on its machines.
//!
//! This package does no I/O and reads no clock.

#![warn(missing_docs)]

pub mod hash_slots;
pub mod map;
pub mod overview;
pub mod plan;

pub use map::{Claim, Partition, PartitionId, PartitionMap, Phase, RecordError};
pub use plan::{Load, Member, PartitionAssignment, Planner, PlannerInput, PlannerSettings};

/// Time or duration in microseconds, of a monotonic clock or of the time of day.
pub type Micros = u64;
