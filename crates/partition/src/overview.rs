//! Output of `grebewood partitions`, as text or JSON. It is built from the records in the key-value store alone,
//! so it needs no leader.

use crate::map::{Partition, PartitionId, PartitionMap, Phase};
use crate::Micros;
use serde::Serialize;

/// Row of the overview: one partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PartitionRow {
    /// Number of the partition.
    pub partition: PartitionId,
    /// Zone of the partition's machines.
    pub zone: String,
    /// Hash slots of the partition's machines: the first slot, and the slot after the last one.
    pub slots: (u16, u16),
    /// Name of the member to which the partition is assigned.
    pub assigned_to: String,
    /// Name of the member that holds the partition, if any.
    pub held_by: Option<String>,
    /// Fencing token of the partition's machines.
    pub token: Option<u64>,
    /// Phase of the partition's handoff: `held`, `moving` or `unclaimed`.
    pub phase: &'static str,
    /// Time since the partition was assigned to that member, in seconds.
    pub assigned_s: u64,
    /// Time since the partition was claimed, in seconds.
    pub claimed_s: Option<u64>,
    /// Reason for which the partition was assigned to that member.
    pub reason: String,
}

/// Overview of all partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Name of the leader, if any.
    pub leader: Option<String>,
    /// Partitions, ordered by number. If there are none, the leader manages all machines.
    pub partitions: Vec<PartitionRow>,
    /// Keys in the key-value store whose value cannot be decoded.
    pub unreadable: Vec<String>,
}

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Returns the name of a phase in the output.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Held => "held",
        Phase::Moving => "moving",
        Phase::Unclaimed => "unclaimed",
    }
}

impl PartitionRow {
    /// Returns the row of a partition at this time of day, in microseconds since the Unix epoch.
    fn new(id: PartitionId, partition: &Partition, now: Micros) -> PartitionRow {
        let (record, claim) = (&partition.record, partition.claim.as_ref());
        let seconds_since = |at: Micros| now.saturating_sub(at) / MICROS_PER_SECOND;
        PartitionRow {
            partition: id,
            zone: record.zone.clone(),
            slots: (record.first_slot, record.end_slot),
            assigned_to: record.holder.clone(),
            held_by: claim.map(|claim| claim.member.clone()),
            token: claim.map(|claim| claim.token),
            phase: phase_name(partition.phase()),
            assigned_s: seconds_since(record.assigned_us),
            claimed_s: claim.map(|claim| seconds_since(claim.claimed_us)),
            reason: record.reason.clone(),
        }
    }

    /// Returns the row as a line of text.
    fn to_text(&self) -> String {
        format!(
            "{:>4}  {}  slots {}-{}  {}  held by {}, assigned to {} {} s ago: {}\n",
            self.partition,
            self.zone,
            self.slots.0,
            self.slots.1 - 1,
            self.phase,
            self.held_by.as_deref().unwrap_or("nobody"),
            self.assigned_to,
            self.assigned_s,
            self.reason
        )
    }
}

impl Overview {
    /// Returns the overview of a map at this time of day, in microseconds since the Unix epoch.
    pub fn of(map: &PartitionMap, leader: Option<String>, now: Micros) -> Overview {
        let partitions = map.iter();
        Overview {
            leader,
            partitions: partitions
                .map(|(id, partition)| PartitionRow::new(id, partition, now))
                .collect(),
            unreadable: map.unreadable_keys().map(str::to_string).collect(),
        }
    }

    /// Returns the overview as text.
    pub fn to_text(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("nobody");
        let mut text = format!("leader: {leader}\n");
        if self.partitions.is_empty() {
            text.push_str("no partitions: the leader looks after all machines\n");
        }
        for row in &self.partitions {
            text.push_str(&row.to_text());
        }
        for key in &self.unreadable {
            text.push_str(&format!("unreadable: {key}\n"));
        }
        text
    }
}
