//! Partitions that other controllers hold, as the leader knows them.

use crate::{Micros, SECOND};
use grebewood_partition::map::partition_of;
use grebewood_partition::{Claim, Load, PartitionId, Planner};
use grebewood_wire::peer::TaskAttempt;
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The weight of the latest rate of heartbeats in the load of a partition.
const LOAD_SMOOTHING: Load = 0.2;

/// The claim that a partition's orders go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RemoteClaim {
    /// The partition holder.
    pub(crate) member: String,
    /// The fencing token of the claim.
    pub(crate) token: u64,
}

impl From<&Claim> for RemoteClaim {
    fn from(claim: &Claim) -> RemoteClaim {
        RemoteClaim {
            member: claim.member.clone(),
            token: claim.token,
        }
    }
}

/// How many heartbeats a holder had answered since its claim, at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeartbeatCount {
    count: u64,
    /// 0: none is known under this claim.
    at: Micros,
}

/// A partition, as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct RemotePartition {
    /// The record as it is to be written.
    pub(crate) record: PartitionRecord,
    /// The claim that orders go to.
    pub(crate) claim: Option<RemoteClaim>,
    /// The holder knows all tasks that may be on the machines.
    pub(crate) reconciled: bool,
    /// The version of the last state of a machine that was applied.
    pub(crate) state_version: u64,
    /// When the next orders are due.
    pub(crate) next_orders_at: Micros,
    /// Orders were sent and not answered yet.
    pub(crate) awaiting_answer: bool,
    /// Attempts whose outcome was applied and may be acknowledged once it is on record.
    pub(crate) applied_outcomes: BTreeSet<TaskAttempt>,
    /// Machines that were terminated since the last orders.
    pub(crate) terminated: Vec<String>,
    /// The heartbeats from which the load was last derived.
    heartbeats: HeartbeatCount,
    /// Heartbeats per second, smoothed.
    pub(crate) load: Load,
    /// When the holder last answered.
    pub(crate) last_answer_at: Micros,
    /// The number of the last task placed by the holder that is known.
    pub(crate) last_known_placement: u64,
    /// Machines on which the holder was last told to place nothing new.
    pub(crate) reserved_sent: BTreeSet<String>,
    /// Machines on which the holder has answered that it places nothing new.
    pub(crate) reserved: BTreeSet<String>,
}

impl RemotePartition {
    /// A partition of which only the record is known.
    pub(crate) fn new(record: PartitionRecord) -> RemotePartition {
        RemotePartition {
            record,
            claim: None,
            reconciled: false,
            state_version: 0,
            next_orders_at: 0,
            awaiting_answer: false,
            applied_outcomes: BTreeSet::new(),
            terminated: Vec::new(),
            heartbeats: HeartbeatCount::default(),
            load: 0.0,
            last_answer_at: 0,
            last_known_placement: 0,
            reserved_sent: BTreeSet::new(),
            reserved: BTreeSet::new(),
        }
    }

    /// The fencing token of the claim.
    pub(crate) fn claim_token(&self) -> Option<u64> {
        self.claim.as_ref().map(|claim| claim.token)
    }

    /// Another member holds the partition, or none: nothing is known of the new holder.
    pub(crate) fn on_claim_changed(&mut self, claim: Option<RemoteClaim>) {
        self.claim = claim;
        self.reconciled = false;
        self.state_version = 0;
        self.awaiting_answer = false;
        self.next_orders_at = 0;
        self.applied_outcomes.clear();
        self.heartbeats = HeartbeatCount::default();
        self.last_known_placement = 0;
        self.reserved_sent.clear();
        self.reserved.clear();
    }

    /// Derives the load from how many heartbeats the holder has answered since its claim.
    pub(crate) fn note_heartbeats(&mut self, count: u64, now: Micros) {
        let last = self.heartbeats;
        let span = now.saturating_sub(last.at);
        if span < SECOND && last.at > 0 {
            return;
        }
        if last.at > 0 {
            let rate = count.saturating_sub(last.count) as Load * SECOND as Load / span as Load;
            // Smoothed: agents send heartbeats seconds apart, so a single second says little.
            self.load = self.load * (1.0 - LOAD_SMOOTHING) + rate * LOAD_SMOOTHING;
        }
        self.heartbeats = HeartbeatCount { count, at: now };
    }
}

/// All partitions, as the leader sees them.
#[derive(Clone, Debug, Default)]
pub struct RemotePartitions {
    /// The partitions by number.
    pub(crate) by_id: BTreeMap<PartitionId, RemotePartition>,
    /// Decides which member is to hold which partition.
    pub(crate) planner: Planner,
    /// When the planner runs next.
    pub(crate) next_planning_at: Micros,
    /// The sequence number of the last orders.
    pub(crate) sequence: u64,
    /// Why all partitions are being removed, if they are: their keys are being deleted.
    pub(crate) removal_reason: Option<&'static str>,
    /// Keys that are to be deleted.
    pub(crate) keys_to_delete: BTreeSet<String>,
}

impl RemotePartitions {
    /// When the leader has to act next.
    pub(crate) fn next_wake(&self) -> Micros {
        let partitions = self.by_id.values();
        let ready = partitions.filter(|p| p.claim.is_some() && !p.awaiting_answer);
        ready
            .map(|partition| partition.next_orders_at)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// The partition of a machine.
    pub(crate) fn partition_of(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let partitions = self.by_id.iter();
        let records = partitions.map(|(id, partition)| (*id, &partition.record));
        partition_of(records, zone, machine)
    }

    /// Whether the partition's holder knows all tasks that may be on its machines.
    pub(crate) fn is_holder_reconciled(&self, id: PartitionId) -> bool {
        let partition = self.by_id.get(&id);
        partition.is_some_and(|partition| partition.reconciled)
    }

    /// The number of the last task placed by the partition's holder that is known.
    pub(crate) fn last_known_placement(&self, id: PartitionId) -> u64 {
        let partition = self.by_id.get(&id);
        partition.map_or(0, |partition| partition.last_known_placement)
    }

    /// Whether the partition's holder has answered that it places nothing new on the machine.
    pub(crate) fn is_reserved(&self, id: PartitionId, machine: &str) -> bool {
        let partition = self.by_id.get(&id);
        partition.is_some_and(|partition| partition.reserved.contains(machine))
    }

    /// The fencing token of the partition's claim.
    pub(crate) fn claim_token(&self, id: PartitionId) -> Option<u64> {
        self.by_id.get(&id)?.claim_token()
    }

    /// The record of a partition, as it is to be written.
    pub(crate) fn record(&self, id: PartitionId) -> Option<&PartitionRecord> {
        self.by_id.get(&id).map(|partition| &partition.record)
    }

    /// A machine of the partition was terminated.
    pub(crate) fn note_terminated(&mut self, id: PartitionId, machine: &str) {
        if let Some(partition) = self.by_id.get_mut(&id) {
            partition.terminated.push(machine.to_string());
        }
    }
}
