//! Partitions: the controllers share the machines between them.
//!
//! A partition is a set of machines of one zone ([`slots`]). The leader writes which partitions there
//! are and which member is to hold each ([`plan`]); that member claims it under a lease, and the stamp
//! of the claim is the fencing token of the partition's machines. Both records together are the map
//! ([`map`]), from which every node tells whom a worker reports to, and the phase of a move: a move has
//! no state of its own, so any leader can go on with it.
//!
//! Everything here is pure: no I/O, no clock.

#![warn(missing_docs)]

pub mod hash_slots;
pub mod map;
pub mod overview;
pub mod plan;

pub use map::{Claim, Partition, PartitionId, PartitionMap, Phase};
pub use plan::{Assignment, Load, Member, Plan, Planner, PlannerSettings};
