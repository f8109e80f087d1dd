//! A controller's state for partitions: its copy of the partition map, the partitions that it holds, and its claims.
//!
//! The leader decides for the whole fleet which task runs on which machine, within the teams' quotas. The holder of
//! a partition answers the heartbeats of its machines under its own fencing token, launches and stops tasks as the
//! leader orders, and proves which tasks have ended. The leader records every task in the store before it orders the
//! holder to launch it, so for these tasks the holder keeps nothing in the store but its claim: a record under a
//! lease, whose mod_revision is the fencing token. A partition moves by a new claim: the next holder learns from the
//! leader which tasks may be on the machines, and from the agents which tasks are.

use crate::scheduler::Scheduler;
use crate::state::partition_map_reader::MapReader;
use crate::Micros;
use grebewood_partition::{PartitionId, PartitionMap};
use std::collections::BTreeMap;

/// A controller's state for the partitions of the fleet.
#[derive(Default)]
pub struct Partitions {
    /// The partition map, as this controller last read it.
    pub map: PartitionMap,
    /// How far the partition map has been read.
    pub(crate) reader: MapReader,
    /// The schedulers of the partitions that this controller holds.
    pub holders: BTreeMap<PartitionId, Box<Scheduler>>,
    /// Partitions that are being claimed, with the time at which the lease for each partition's claim record was
    /// requested.
    pub(crate) claiming: BTreeMap<PartitionId, Micros>,
    /// Time before which this controller starts no claim.
    pub(crate) claim_at: Micros,
}

impl Partitions {
    /// Returns when the partition map is read next, in microseconds of the steady clock; `Micros::MAX` while a read
    /// is under way.
    pub fn next_wake(&self) -> Micros {
        if self.reader.request_in_flight {
            Micros::MAX
        } else {
            self.reader.next_read
        }
    }
}
