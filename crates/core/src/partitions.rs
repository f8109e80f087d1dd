//! Partitions: machines that other members than the leader look after.
//!
//! The leader decides for the whole fleet: what runs where, within the teams' limits. The holder of a
//! partition answers the check-ins of its machines under a fencing token of its own, launches and stops
//! what the leader orders, and proves what has ended. All that it may launch is on the leader's record
//! before it is told of it, so a holder keeps nothing in the state service but its claim, and a move of
//! a partition is a new claim: the next holder learns from the leader what may be on the machines, and
//! from the workers what is.
//!
//! - [`claims`]: the node's copy of the map, its claims, and giving them back;
//! - [`orders`]: the leader's side;
//! - [`reports`]: what holders tell the leader;
//! - [`holder`]: the holder's side.

use crate::scheduler::Scheduler;
use crate::Micros;
use grebewood_partition::{PartitionId, PartitionMap};
use std::collections::BTreeMap;

mod claims;
mod holder;
mod orders;
mod reports;

pub use holder::HolderState;
pub use orders::RemotePartitions;

/// A node's part in the partitions of the fleet.
#[derive(Default)]
pub struct Partitions {
    /// The map, as this node last read it.
    pub map: PartitionMap,
    reader: claims::MapReader,
    /// What this node holds.
    pub holders: BTreeMap<PartitionId, Box<Scheduler>>,
    /// Claims under way, and when the lease of each was asked for.
    claiming: BTreeMap<PartitionId, Micros>,
    /// No claim before this time.
    claim_at: Micros,
}
