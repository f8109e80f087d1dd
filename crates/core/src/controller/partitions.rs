//! A controller's part in partitions: the map, the partitions it holds, and its claims under way.
//!
//! The leader decides for the whole fleet: what runs where, within the teams' quotas. The holder of a partition
//! answers the heartbeats of its machines under a fencing token of its own, launches and stops what the leader
//! orders, and proves what has ended. Everything it may launch is on the leader's record before it is told of it, so
//! a holder keeps nothing in the store but its claim. Moving a partition is a new claim: the next holder learns from the
//! leader what may be on the machines, and from the agents what is.

use crate::scheduler::Scheduler;
use crate::state::partition_map_reader::MapReader;
use crate::Micros;
use grebewood_partition::{PartitionId, PartitionMap};
use std::collections::BTreeMap;

/// A controller's part in the partitions of the fleet.
#[derive(Default)]
pub struct Partitions {
    /// The map, as this controller last read it.
    pub map: PartitionMap,
    /// How far the map has been read.
    pub(crate) reader: MapReader,
    /// The schedulers of the partitions that this controller holds.
    pub holders: BTreeMap<PartitionId, Box<Scheduler>>,
    /// Claims under way, and when the lease of each was asked for.
    pub(crate) claiming: BTreeMap<PartitionId, Micros>,
    /// No claim before this time.
    pub(crate) claim_at: Micros,
}

impl Partitions {
    /// When the map is to be read next, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        if self.reader.request_in_flight {
            Micros::MAX
        } else {
            self.reader.next_read
        }
    }
}
