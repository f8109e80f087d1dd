//! Partitions that other controllers hold, as the leader knows them.

use crate::{Micros, SECOND};
use grebewood_partition::map::partition_of;
use grebewood_partition::{Load, PartitionId, Planner};
use grebewood_wire::peer::TaskAttempt;
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A partition, as its leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct RemotePartition {
    pub(crate) record: PartitionRecord,
    /// The claim that orders go to: who made it, and its token.
    pub(crate) claim: Option<(String, u64)>,
    /// Its holder knows all tasks that may be on its machines.
    pub(crate) synced: bool,
    /// The version of the last state of a machine that was taken in.
    pub(crate) seen: u64,
    pub(crate) next_poll: Micros,
    pub(crate) busy: bool,
    /// Attempts whose outcome was taken in and may be acknowledged once it is on record.
    pub(crate) settling: BTreeSet<TaskAttempt>,
    /// Machines that were released since the last message.
    pub(crate) terminated: Vec<String>,
    /// Check-ins that the holder had answered at a time, and their rate.
    pub(crate) heartbeats: (u64, Micros),
    pub(crate) load: Load,
    /// When its holder last answered.
    pub(crate) answered_at: Micros,
    /// The number of the last task placed by the holder that is known.
    pub(crate) placed_seen: u64,
    /// Machines on which the holder was last told to place nothing new, and those of which it has
    /// answered that it does not.
    pub(crate) reserving: BTreeSet<String>,
    pub(crate) reserved: BTreeSet<String>,
}

impl RemotePartition {
    pub(crate) fn new(record: PartitionRecord) -> RemotePartition {
        RemotePartition {
            record,
            claim: None,
            synced: false,
            seen: 0,
            next_poll: 0,
            busy: false,
            settling: BTreeSet::new(),
            terminated: Vec::new(),
            heartbeats: (0, 0),
            load: 0.0,
            answered_at: 0,
            placed_seen: 0,
            reserving: BTreeSet::new(),
            reserved: BTreeSet::new(),
        }
    }

    pub(crate) fn claim_changed(&mut self, claim: Option<(String, u64)>) {
        self.claim = claim;
        self.synced = false;
        self.seen = 0;
        self.busy = false;
        self.next_poll = 0;
        self.settling.clear();
        self.heartbeats = (0, 0);
        self.placed_seen = 0;
        self.reserving.clear();
        self.reserved.clear();
    }
}

/// All partitions, as the leader sees them.
#[derive(Clone, Debug, Default)]
pub struct RemotePartitions {
    pub(crate) by_id: BTreeMap<PartitionId, RemotePartition>,
    pub(crate) planner: Planner,
    pub(crate) plan_at: Micros,
    pub(crate) sequence: u64,
    /// The partitions are being given up, and why: their keys are being deleted.
    pub(crate) dissolving: Option<&'static str>,
    /// Keys that are to be deleted.
    pub(crate) deleted: BTreeSet<String>,
}

impl RemotePartitions {
    /// When the leader has to act next.
    pub(crate) fn next_wake(&self) -> Micros {
        let claimed = self.by_id.values().filter(|r| r.claim.is_some() && !r.busy);
        claimed.map(|r| r.next_poll).min().unwrap_or(Micros::MAX)
    }

    /// The partition of a machine.
    pub(crate) fn partition_of(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let records = self
            .by_id
            .iter()
            .map(|(id, remote_partitions)| (*id, &remote_partitions.record));
        partition_of(records, zone, machine)
    }

    /// Whether the partition's holder is in touch and knows its tasks.
    pub(crate) fn is_synced(&self, id: PartitionId) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|remote_partitions| remote_partitions.synced)
    }

    /// The number of the last task placed by the partition's holder that is known.
    pub(crate) fn placed_seen(&self, id: PartitionId) -> u64 {
        self.by_id
            .get(&id)
            .map_or(0, |remote_partitions| remote_partitions.placed_seen)
    }

    /// Whether the partition's holder has answered that it places nothing new on the machine.
    pub(crate) fn is_reserved(&self, id: PartitionId, machine: &str) -> bool {
        let remote_partitions = self.by_id.get(&id);
        remote_partitions
            .is_some_and(|remote_partitions| remote_partitions.reserved.contains(machine))
    }

    /// The fencing token of the partition's claim.
    pub(crate) fn claim_token(&self, id: PartitionId) -> Option<u64> {
        let claim = self.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.1)
    }

    /// The record of a partition, as it is to be written.
    pub(crate) fn record(&self, id: PartitionId) -> Option<&PartitionRecord> {
        self.by_id
            .get(&id)
            .map(|remote_partitions| &remote_partitions.record)
    }

    /// A machine of the partition was released.
    pub(crate) fn note_terminated(&mut self, id: PartitionId, machine: &str) {
        if let Some(remote_partitions) = self.by_id.get_mut(&id) {
            remote_partitions.terminated.push(machine.to_string());
        }
    }
}

impl RemotePartition {
    /// Notes how many check-ins the holder has answered since its claim.
    pub(crate) fn note_heartbeats(&mut self, heartbeats: u64, now: Micros) {
        let (before, at) = self.heartbeats;
        let span = now.saturating_sub(at);
        if span < SECOND && at > 0 {
            return;
        }
        if at > 0 {
            let rate = heartbeats.saturating_sub(before) as Load * SECOND as Load / span as Load;
            // A mean over some seconds: one alone says little with reports that are seconds apart.
            self.load = self.load * 0.8 + rate * 0.2;
        }
        self.heartbeats = (heartbeats, now);
    }
}
