//! What operators see of the partitions, as text or JSON. It is built from the state service alone, so
//! it needs no leader.

use crate::map::{PartitionId, PartitionMap, Phase};
use serde::Serialize;
use std::fmt::Write;

/// A row of the overview.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The partition's number.
    pub partition: PartitionId,
    /// The zone of its machines.
    pub zone: String,
    /// The slots of its machines: from the first one to below the second.
    pub slots: (u16, u16),
    /// Who is to hold it.
    pub assigned_to: String,
    /// Who holds it.
    pub held_by: Option<String>,
    /// The fencing token of its machines.
    pub token: Option<u64>,
    /// `held`, `moving` or `unclaimed`.
    pub phase: &'static str,
    /// Seconds since it was assigned.
    pub assigned_s: u64,
    /// Seconds since it was claimed.
    pub claimed_s: Option<u64>,
    /// Why it was assigned to this member.
    pub reason: String,
}

/// The overview.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Overview {
    /// Who leads, if anybody does.
    pub leader: Option<String>,
    /// The partitions. None: the leader looks after all machines.
    pub partitions: Vec<Row>,
    /// Keys whose value cannot be read.
    pub unreadable: Vec<String>,
}

const SECOND: u64 = 1_000_000;

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Held => "held",
        Phase::Moving => "moving",
        Phase::Unclaimed => "unclaimed",
    }
}

impl Overview {
    /// The overview of a map at this time of day.
    pub fn of(map: &PartitionMap, leader: Option<String>, wall: u64) -> Overview {
        let seconds = |at: u64| wall.saturating_sub(at) / SECOND;
        let partitions = map.iter().map(|(id, partition)| {
            let (record, claim) = (&partition.record, partition.claim.as_ref());
            Row {
                partition: id,
                zone: record.zone.clone(),
                slots: (record.first_slot, record.end_slot),
                assigned_to: record.holder.clone(),
                held_by: claim.map(|c| c.member.clone()),
                token: claim.map(|c| c.token),
                phase: phase_name(partition.phase()),
                assigned_s: seconds(record.assigned_us),
                claimed_s: claim.map(|c| seconds(c.claimed_us)),
                reason: record.reason.clone(),
            }
        });
        Overview {
            leader,
            partitions: partitions.collect(),
            unreadable: map.unreadable().map(str::to_string).collect(),
        }
    }

    /// The overview as a table.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let leader = self.leader.as_deref().unwrap_or("nobody");
        // Writing to a string does not fail.
        let _ = writeln!(text, "leader: {leader}");
        if self.partitions.is_empty() {
            let _ = writeln!(text, "no partitions: the leader looks after all machines");
        }
        for row in &self.partitions {
            let holder = row.held_by.as_deref().unwrap_or("nobody");
            let _ = writeln!(
                text,
                "{:>4}  {}  slots {}-{}  {}  held by {holder}, assigned to {} {} s ago: {}",
                row.partition,
                row.zone,
                row.slots.0,
                row.slots.1 - 1,
                row.phase,
                row.assigned_to,
                row.assigned_s,
                row.reason
            );
        }
        for key in &self.unreadable {
            let _ = writeln!(text, "unreadable: {key}");
        }
        text
    }
}
