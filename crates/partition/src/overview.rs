//! What `grebewood partitions` shows, as text or JSON. It is built from the key-value store alone, so it
//! needs no leader.

use crate::map::{Partition, PartitionId, PartitionMap, Phase};
use crate::Micros;
use serde::Serialize;

/// A partition in the overview.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PartitionRow {
    /// The partition's number.
    pub partition: PartitionId,
    /// The zone of its machines.
    pub zone: String,
    /// The hash slots of its machines: from the first to below the second.
    pub slots: (u16, u16),
    /// The member that is to hold it.
    pub assigned_to: String,
    /// The member that holds it.
    pub held_by: Option<String>,
    /// The fencing token of its machines.
    pub token: Option<u64>,
    /// `held`, `moving` or `unclaimed`.
    pub phase: &'static str,
    /// How long ago it was assigned, in seconds.
    pub assigned_s: u64,
    /// How long ago it was claimed, in seconds.
    pub claimed_s: Option<u64>,
    /// Why it was assigned to this member.
    pub reason: String,
}

/// The overview of all partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// The member that leads, if any.
    pub leader: Option<String>,
    /// The partitions, ordered by number. If there are none, the leader manages all machines.
    pub partitions: Vec<PartitionRow>,
    /// Keys of the store whose value cannot be read.
    pub unreadable: Vec<String>,
}

const MICROS_PER_SECOND: Micros = 1_000_000;

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Held => "held",
        Phase::Moving => "moving",
        Phase::Unclaimed => "unclaimed",
    }
}

impl PartitionRow {
    /// The row of a partition at this time of day.
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
    /// The overview of a map at this time of day, in microseconds.
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

    /// The overview as text.
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
