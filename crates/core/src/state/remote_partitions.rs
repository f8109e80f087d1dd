//! The leader's state of the partitions and their holders.

use crate::{Micros, SECOND};
use grebewood_partition::map::partition_of;
use grebewood_partition::{Claim, Load, PartitionId, Planner};
use grebewood_wire::peer::TaskAttempt;
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of the latest heartbeat rate in the smoothed load of a partition.
const LOAD_SMOOTHING: Load = 0.2;

/// A claim on a partition, whose holder receives the orders for the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RemoteClaim {
    /// Name of the member that holds the partition.
    pub(crate) member: String,
    /// Fencing token of the claim on the partition.
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

/// Number of heartbeats that a holder had answered since its claim at a point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeartbeatCount {
    count: u64,
    /// Time at which the leader learned of the count, in microseconds; 0 if no count is known for the current claim.
    at: Micros,
}

/// The leader's state of a partition and its holder.
#[derive(Clone, Debug)]
pub(crate) struct RemotePartition {
    /// Partition record as it is to be written.
    pub(crate) record: PartitionRecord,
    /// Claim on the partition, to whose holder orders are sent; `None` if there is no claim.
    pub(crate) claim: Option<RemoteClaim>,
    /// Whether the holder knows all tasks that may be on the machines.
    pub(crate) reconciled: bool,
    /// Highest version of the machine states that were applied.
    pub(crate) state_version: u64,
    /// Time at which the next orders are due.
    pub(crate) next_orders_at: Micros,
    /// Whether orders were sent and have not been answered yet.
    pub(crate) awaiting_report: bool,
    /// Attempts whose outcomes were applied and may be acknowledged once they are recorded.
    pub(crate) applied_outcomes: BTreeSet<TaskAttempt>,
    /// Machines that were terminated since the last orders.
    pub(crate) terminated: Vec<String>,
    /// Heartbeat count from which the load was last derived.
    heartbeats: HeartbeatCount,
    /// Smoothed heartbeats per second.
    pub(crate) load: Load,
    /// Time at which the holder last answered.
    pub(crate) last_report_at: Micros,
    /// Sequence number of the last placement of the holder that the leader knows of.
    pub(crate) last_known_placement: u64,
    /// Machines on which the last orders forbid the holder to place anything new.
    pub(crate) reserved_sent: BTreeSet<String>,
    /// Machines on which the holder has confirmed that it places nothing new.
    pub(crate) reserved_confirmed: BTreeSet<String>,
}

impl RemotePartition {
    /// Creates the state of a partition of which only the record is known.
    pub(crate) fn new(record: PartitionRecord) -> RemotePartition {
        RemotePartition {
            record,
            claim: None,
            reconciled: false,
            state_version: 0,
            next_orders_at: 0,
            awaiting_report: false,
            applied_outcomes: BTreeSet::new(),
            terminated: Vec::new(),
            heartbeats: HeartbeatCount::default(),
            load: 0.0,
            last_report_at: 0,
            last_known_placement: 0,
            reserved_sent: BTreeSet::new(),
            reserved_confirmed: BTreeSet::new(),
        }
    }

    /// Returns the fencing token of the claim on the partition.
    pub(crate) fn claim_token(&self) -> Option<u64> {
        self.claim.as_ref().map(|claim| claim.token)
    }

    /// Handles a change of the claim on the partition. All state that was learned from the previous holder is dropped,
    /// since nothing is known about the new one.
    pub(crate) fn on_claim_changed(&mut self, claim: Option<RemoteClaim>) {
        self.claim = claim;
        self.reconciled = false;
        self.state_version = 0;
        self.awaiting_report = false;
        self.next_orders_at = 0;
        self.applied_outcomes.clear();
        self.heartbeats = HeartbeatCount::default();
        self.last_known_placement = 0;
        self.reserved_sent.clear();
        self.reserved_confirmed.clear();
    }

    /// Derives the load from the number of heartbeats that the holder has answered since its claim.
    pub(crate) fn record_heartbeats(&mut self, count: u64, now: Micros) {
        let last = self.heartbeats;
        let span = now.saturating_sub(last.at);
        if span < SECOND && last.at > 0 {
            return;
        }
        if last.at > 0 {
            let rate = count.saturating_sub(last.count) as Load * SECOND as Load / span as Load;
            // Agents send heartbeats seconds apart, so the rate of a single second is not representative and has to
            // be smoothed.
            self.load = self.load * (1.0 - LOAD_SMOOTHING) + rate * LOAD_SMOOTHING;
        }
        self.heartbeats = HeartbeatCount { count, at: now };
    }
}

/// The leader's state of all partitions.
#[derive(Clone, Debug, Default)]
pub struct RemotePartitions {
    /// Partitions by number.
    pub(crate) by_id: BTreeMap<PartitionId, RemotePartition>,
    /// Planner that decides which member is to hold which partition.
    pub(crate) planner: Planner,
    /// Time at which the planner runs next.
    pub(crate) next_planning_at: Micros,
    /// Sequence number of the last orders.
    pub(crate) sequence: u64,
    /// Reason why all partitions are being removed and their keys deleted; `None` if they are not.
    pub(crate) removal_reason: Option<&'static str>,
    /// Keys that are to be deleted from the key-value store.
    pub(crate) keys_to_delete: BTreeSet<String>,
}

impl RemotePartitions {
    /// Returns the time at which the next orders are due.
    pub(crate) fn next_wake(&self) -> Micros {
        let partitions = self.by_id.values();
        let ready = partitions.filter(|p| p.claim.is_some() && !p.awaiting_report);
        ready
            .map(|partition| partition.next_orders_at)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Returns the partition of a machine.
    pub(crate) fn partition_of(&self, zone: &str, machine: &str) -> Option<PartitionId> {
        let partitions = self.by_id.iter();
        let records = partitions.map(|(id, partition)| (*id, &partition.record));
        partition_of(records, zone, machine)
    }

    /// Returns whether the partition's holder knows all tasks that may be on its machines.
    pub(crate) fn is_holder_reconciled(&self, id: PartitionId) -> bool {
        let partition = self.by_id.get(&id);
        partition.is_some_and(|partition| partition.reconciled)
    }

    /// Returns the sequence number of the last placement of the partition's holder that the leader knows of.
    pub(crate) fn last_known_placement(&self, id: PartitionId) -> u64 {
        let partition = self.by_id.get(&id);
        partition.map_or(0, |partition| partition.last_known_placement)
    }

    /// Returns whether the partition's holder has confirmed that it places nothing new on the machine.
    pub(crate) fn is_reserved(&self, id: PartitionId, machine: &str) -> bool {
        let partition = self.by_id.get(&id);
        partition.is_some_and(|partition| partition.reserved_confirmed.contains(machine))
    }

    /// Returns the fencing token of the partition's claim.
    pub(crate) fn claim_token(&self, id: PartitionId) -> Option<u64> {
        self.by_id.get(&id)?.claim_token()
    }

    /// Returns the record of a partition as it is to be written.
    pub(crate) fn record(&self, id: PartitionId) -> Option<&PartitionRecord> {
        self.by_id.get(&id).map(|partition| &partition.record)
    }

    /// Records that a machine of the partition was terminated.
    pub(crate) fn record_terminated(&mut self, id: PartitionId, machine: &str) {
        if let Some(partition) = self.by_id.get_mut(&id) {
            partition.terminated.push(machine.to_string());
        }
    }
}
