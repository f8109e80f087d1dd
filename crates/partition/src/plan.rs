//! Assignment of partitions to members: the first assignment, reassignment after a holder is lost, and
//! rebalancing, which moves one partition at a time from the member with the highest load to the one with the
//! lowest.

use crate::hash_slots::slot_ranges;
use crate::map::{Partition, PartitionId, PartitionMap, Phase};
use crate::Micros;
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Member of the cluster that can hold partitions now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Zone of the member.
    pub zone: String,
}

/// Load of a partition, in heartbeats per second. Heartbeats are most of a holder's work and every machine sends
/// them, so their rate represents the number of machines, of connections and the processor time alike.
pub type Load = f64;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Number of partitions of each zone; 0: no partitions are created.
    pub partitions_per_zone: u16,
    /// Minimum time between two moves that balance the load, in microseconds.
    pub move_interval: Micros,
    /// Fraction of the mean load by which a member's load must exceed the mean before one of its partitions is
    /// moved away.
    pub hysteresis: f64,
    /// Whether moves that balance the load are paused.
    pub moves_paused: bool,
}

/// Assignment of a partition to a member, to be written to the key-value store.
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionAssignment {
    /// Number of the partition.
    pub id: PartitionId,
    /// Record of the partition.
    pub record: PartitionRecord,
}

/// Input of one planning round.
#[derive(Clone, Debug)]
pub struct PlannerInput<'a> {
    /// Current partition map.
    pub map: &'a PartitionMap,
    /// Zones in which there may be machines.
    pub zones: &'a BTreeSet<String>,
    /// Members that can hold partitions now.
    pub members: &'a BTreeSet<Member>,
    /// Loads of the partitions, as far as they are known.
    pub loads: &'a BTreeMap<PartitionId, Load>,
    /// Partitions to whose holders the leader has delegated tasks and whose holders have not answered the leader for
    /// a while. No other member knows whether such a holder has placed these tasks, so the planner assigns the
    /// partition to another member, unless the holder is among `members`.
    pub partitions_of_unreachable_holders: &'a BTreeSet<PartitionId>,
    /// Number of the next new partition.
    pub next_id: PartitionId,
    /// Whether partitions may be created, which requires that all members that could lead support them.
    pub may_create: bool,
    /// Whether the cluster is stable: the leader has not changed recently and the key-value store answers in time.
    pub is_cluster_stable: bool,
    /// Current time, in microseconds of a monotonic clock.
    pub now: Micros,
    /// Current time of day, in microseconds since the Unix epoch.
    pub wall_time: Micros,
}

/// Time without a claim after which a newly assigned partition is assigned to another member, in microseconds.
const CLAIM_TIMEOUT_US: Micros = 3_000_000;
/// Time without a claim after which a partition that had one since its assignment is assigned to another member,
/// in microseconds. Its holder has released the claim, or the claim's lease has expired.
const RECLAIM_TIMEOUT_US: Micros = 600_000;
/// Largest part of the gap between two members that a balancing move may leave, as a fraction of the gap.
const MAX_REMAINING_GAP_FRACTION: f64 = 0.5;
/// Smallest gap between two members that justifies a move.
const MIN_LOAD_GAP: Load = 1.0;

/// State of the planner between rounds. A new leader starts without it, which only delays moves.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Time since which each unclaimed partition has had no claim.
    unclaimed_since: BTreeMap<PartitionId, Micros>,
    /// Partitions that have had a claim since the planner last assigned them to a member.
    claimed: BTreeSet<PartitionId>,
    /// Time of the last move that balanced the load.
    last_move_at: Option<Micros>,
}

impl Planner {
    /// Returns the assignments of partitions to members that the leader is to write to the key-value store now.
    pub fn plan_assignments(
        &mut self,
        settings: &PlannerSettings,
        input: &PlannerInput,
    ) -> Vec<PartitionAssignment> {
        if input.members.is_empty() {
            return Vec::new();
        }
        self.observe_claims(input);
        let mut assignments = missing_partitions(settings, input);
        assignments.extend(self.reassign_lost_partitions(input));
        if assignments.is_empty() {
            assignments.extend(self.rebalance(settings, input));
        }
        assignments
    }

    /// Updates `unclaimed_since` and `claimed` from the partition map.
    fn observe_claims(&mut self, input: &PlannerInput) {
        let is_unclaimed = |id: &PartitionId| {
            let partition = input.map.get(*id);
            partition.is_some_and(|partition| partition.phase() == Phase::Unclaimed)
        };
        self.unclaimed_since.retain(|id, _| is_unclaimed(id));
        for (id, partition) in input.map.iter() {
            match partition.phase() {
                Phase::Unclaimed => {
                    self.unclaimed_since.entry(id).or_insert(input.now);
                }
                Phase::Held => {
                    self.claimed.insert(id);
                }
                // The newly assigned holder has not claimed the partition yet.
                Phase::Moving => {
                    self.claimed.remove(&id);
                }
            }
        }
    }

    /// Reassigns partitions whose holder is lost or does not claim them to other members.
    fn reassign_lost_partitions(&mut self, input: &PlannerInput) -> Vec<PartitionAssignment> {
        let mut counts = partition_counts(input);
        let mut assignments = Vec::new();
        for (id, partition) in input.map.iter() {
            let record = &partition.record;
            let holder_is_healthy = input.members.iter().any(|m| m.name == record.holder);
            // An unreachable holder keeps its partition while it has a claim, because the claim's lease expires on
            // its own. The exception is a holder that was delegated tasks: no other member knows whether it has
            // placed them.
            let holder_is_unreachable =
                input.partitions_of_unreachable_holders.contains(&id) && !holder_is_healthy;
            if !self.is_claim_overdue(id, input.now) && !holder_is_unreachable {
                continue;
            }
            let others = input.members.iter().filter(|m| m.name != record.holder);
            let Some(next_holder) = member_with_fewest(others, &counts, &record.zone) else {
                continue;
            };
            *counts.entry(next_holder).or_insert(0) += 1;
            self.unclaimed_since.insert(id, input.now);
            self.claimed.remove(&id);
            let reason = if holder_is_healthy {
                "its holder did not claim it"
            } else {
                "its holder is gone"
            };
            let assignment = reassignment(id, record, next_holder, reason, input.wall_time);
            assignments.push(assignment);
        }
        assignments
    }

    /// Returns whether the assigned holder has had enough time to claim the partition.
    fn is_claim_overdue(&self, id: PartitionId, now: Micros) -> bool {
        let timeout = if self.claimed.contains(&id) {
            RECLAIM_TIMEOUT_US
        } else {
            CLAIM_TIMEOUT_US
        };
        let since = self.unclaimed_since.get(&id);
        since.is_some_and(|since| now.saturating_sub(*since) >= timeout)
    }

    /// Moves one partition from the member with the highest load to the one with the lowest, if the highest load
    /// exceeds the mean by more than the hysteresis and the move narrows the gap between the two members.
    fn rebalance(
        &mut self,
        settings: &PlannerSettings,
        input: &PlannerInput,
    ) -> Option<PartitionAssignment> {
        if !self.may_rebalance(settings, input) {
            return None;
        }
        let loads = member_loads(input);
        let mean = loads.values().sum::<Load>() / loads.len() as Load;
        let (most_loaded, highest) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let (least_loaded, lowest) = loads.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        let gap = highest - lowest;
        if *highest <= mean * (1.0 + settings.hysteresis) || gap < MIN_LOAD_GAP {
            return None;
        }
        let (id, partition) = partition_to_move(input, most_loaded, gap)?;
        self.last_move_at = Some(input.now);
        let reason = format!("balance: {highest:.0} against {lowest:.0} check-ins a second");
        let record = &partition.record;
        Some(reassignment(
            id,
            record,
            least_loaded,
            &reason,
            input.wall_time,
        ))
    }

    /// Returns whether a partition may be moved now to balance the load.
    fn may_rebalance(&self, settings: &PlannerSettings, input: &PlannerInput) -> bool {
        let interval_passed = self.last_move_at.is_none_or(|at| {
            let elapsed = input.now.saturating_sub(at);
            elapsed >= settings.move_interval
        });
        let mut partitions = input.map.iter();
        let all_held = partitions.all(|(_, partition)| partition.phase() == Phase::Held);
        !settings.moves_paused && input.is_cluster_stable && interval_passed && all_held
    }
}

/// Returns the load of a partition, or 0 if it is not known.
fn partition_load(input: &PlannerInput, id: PartitionId) -> Load {
    input.loads.get(&id).copied().unwrap_or(0.0)
}

/// Returns the load of each member that can hold partitions.
fn member_loads<'a>(input: &PlannerInput<'a>) -> BTreeMap<&'a str, Load> {
    let members = input.members.iter();
    let mut loads: BTreeMap<&str, Load> =
        members.map(|member| (member.name.as_str(), 0.0)).collect();
    for (id, partition) in input.map.iter() {
        // The partitions of an unreachable holder are left out, because they are not moved for balance.
        if let Some(load) = loads.get_mut(partition.record.holder.as_str()) {
            *load += partition_load(input, id);
        }
    }
    loads
}

/// Returns the partition of this holder whose move narrows the gap most. A partition whose load is about as large
/// as the gap is excluded: its move would only reverse the gap, and the next move would bring it back.
fn partition_to_move<'a>(
    input: &PlannerInput<'a>,
    holder: &str,
    gap: Load,
) -> Option<(PartitionId, &'a Partition)> {
    let remaining_gap = |id: PartitionId| (gap - 2.0 * partition_load(input, id)).abs();
    let partitions = input.map.iter();
    partitions
        .filter(|(_, partition)| partition.record.holder == holder)
        .filter(|(id, _)| remaining_gap(*id) <= gap * MAX_REMAINING_GAP_FRACTION)
        .min_by(|a, b| remaining_gap(a.0).total_cmp(&remaining_gap(b.0)))
}

/// Returns the assignment of a partition to the member `holder`, with the other fields of its record unchanged.
fn reassignment(
    id: PartitionId,
    record: &PartitionRecord,
    holder: &str,
    reason: &str,
    wall_time: Micros,
) -> PartitionAssignment {
    let record = PartitionRecord {
        holder: holder.to_string(),
        reason: reason.to_string(),
        assigned_us: wall_time,
        ..record.clone()
    };
    PartitionAssignment { id, record }
}

/// Number of partitions assigned to each member.
type PartitionCounts<'a> = BTreeMap<&'a str, usize>;

/// Returns the number of partitions assigned to each member.
fn partition_counts<'a>(input: &PlannerInput<'a>) -> PartitionCounts<'a> {
    let mut counts = PartitionCounts::new();
    for (_, partition) in input.map.iter() {
        *counts.entry(&partition.record.holder).or_insert(0) += 1;
    }
    counts
}

/// Returns the member with the fewest partitions. Among members with equally many, one in this zone is preferred.
fn member_with_fewest<'a>(
    members: impl Iterator<Item = &'a Member>,
    counts: &PartitionCounts,
    zone: &str,
) -> Option<&'a str> {
    let count = |member: &Member| counts.get(member.name.as_str()).copied().unwrap_or(0);
    members
        .min_by_key(|member| (count(member), member.zone != zone))
        .map(|member| member.name.as_str())
}

/// Returns the first assignments, to members, of new partitions for the zones that have no partitions.
fn missing_partitions(
    settings: &PlannerSettings,
    input: &PlannerInput,
) -> Vec<PartitionAssignment> {
    if !input.may_create || settings.partitions_per_zone == 0 {
        return Vec::new();
    }
    let mut counts = partition_counts(input);
    let mut next_id = input.next_id;
    let mut assignments = Vec::new();
    for zone in input.zones {
        let mut partitions = input.map.iter();
        if partitions.any(|(_, partition)| partition.record.zone == *zone) {
            continue;
        }
        for (first_slot, end_slot) in slot_ranges(settings.partitions_per_zone) {
            let Some(holder) = member_with_fewest(input.members.iter(), &counts, zone) else {
                continue;
            };
            let record = PartitionRecord {
                zone: zone.clone(),
                first_slot,
                end_slot,
                holder: holder.to_string(),
                assigned_us: input.wall_time,
                reason: "first assignment".into(),
            };
            *counts.entry(holder).or_insert(0) += 1;
            assignments.push(PartitionAssignment {
                id: next_id,
                record,
            });
            next_id += 1;
        }
    }
    assignments
}
