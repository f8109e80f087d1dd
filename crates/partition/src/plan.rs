//! Which member is to hold which partition: the first assignment, the one after a holder is lost, and
//! rebalancing, which moves one partition at a time from the member with the highest load to the one with
//! the lowest.

use crate::hash_slots::slot_ranges;
use crate::map::{Partition, PartitionId, PartitionMap, Phase};
use crate::Micros;
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A member that can hold partitions now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// The load of a partition, in heartbeats per second. These are most of its holder's work, and every
/// machine sends some, so they stand for machines, connections and processor time alike.
pub type Load = f64;

/// The settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Partitions of each zone; 0: none are created.
    pub partitions_per_zone: u16,
    /// Least time between two moves for the sake of balance, in microseconds.
    pub move_interval: Micros,
    /// By which fraction of the mean load a member must lie above it before it gives a partition away.
    pub hysteresis: f64,
    /// No partition is moved for the sake of balance.
    pub moves_paused: bool,
}

/// A partition's record that is to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The partition's number.
    pub id: PartitionId,
    /// Its record.
    pub record: PartitionRecord,
}

/// What the planner decides on.
#[derive(Clone, Debug)]
pub struct PlannerInput<'a> {
    /// The present partition map.
    pub map: &'a PartitionMap,
    /// The zones in which there may be machines.
    pub zones: &'a BTreeSet<String>,
    /// Members that can hold partitions now.
    pub members: &'a BTreeSet<Member>,
    /// Loads of the partitions, as far as known.
    pub loads: &'a BTreeMap<PartitionId, Load>,
    /// Partitions whose holders were given tasks to place and cannot be reached: they go to other members.
    pub holder_unreachable: &'a BTreeSet<PartitionId>,
    /// The number of the next new partition.
    pub next_id: PartitionId,
    /// Whether partitions may be created: all members that could lead understand them.
    pub may_create: bool,
    /// Whether the cluster is stable: no recent change of leader, and the store answers in time.
    pub stable: bool,
    /// Now, in microseconds of a monotonic clock.
    pub now: Micros,
    /// The time of day, in microseconds.
    pub wall_time: Micros,
}

/// How long a new partition may be without a claim before it is assigned to another member, in microseconds.
const CLAIM_TIMEOUT: Micros = 3_000_000;
/// The same for a partition whose holder gave its claim up or whose claim has ended.
const RECLAIM_TIMEOUT: Micros = 600_000;
/// A move for the sake of balance leaves at most this fraction of the gap between two members.
const MAX_REMAINING_GAP: f64 = 0.5;
/// The smallest gap between two members that is worth a move.
const MIN_LOAD_GAP: Load = 1.0;

/// The planner's memory between rounds. A new leader begins without it, which only delays moves.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Since when a partition has had no claim.
    unclaimed_since: BTreeMap<PartitionId, Micros>,
    /// Partitions that had a claim since they were last assigned.
    claimed: BTreeSet<PartitionId>,
    /// When a partition was last moved for the sake of balance.
    last_move_at: Option<Micros>,
}

impl Planner {
    /// The records that are to be written now.
    pub fn plan_assignments(
        &mut self,
        settings: &PlannerSettings,
        input: &PlannerInput,
    ) -> Vec<Assignment> {
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
                // Its next holder has yet to claim it.
                Phase::Moving => {
                    self.claimed.remove(&id);
                }
            }
        }
    }

    /// Assigns partitions whose holder is gone, or does not claim them, to other members.
    fn reassign_lost_partitions(&mut self, input: &PlannerInput) -> Vec<Assignment> {
        let mut counts = partition_counts(input);
        let mut assignments = Vec::new();
        for (id, partition) in input.map.iter() {
            let record = &partition.record;
            let holder_is_healthy = input.members.iter().any(|m| m.name == record.holder);
            // A holder that cannot be reached but has a claim keeps its partition: the claim ends by itself.
            // The exception is a holder that was given tasks, of which nobody can tell whether it has placed them.
            let unreachable = input.holder_unreachable.contains(&id) && !holder_is_healthy;
            if !self.is_claim_overdue(id, input.now) && !unreachable {
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

    /// Whether the partition's assigned holder had enough time to claim it.
    fn is_claim_overdue(&self, id: PartitionId, now: Micros) -> bool {
        let timeout = if self.claimed.contains(&id) {
            RECLAIM_TIMEOUT
        } else {
            CLAIM_TIMEOUT
        };
        let since = self.unclaimed_since.get(&id);
        since.is_some_and(|since| now.saturating_sub(*since) >= timeout)
    }

    /// Moves one partition from the member with the highest load to the one with the lowest, if the highest
    /// lies far enough above the mean and the move narrows the gap between the two.
    fn rebalance(
        &mut self,
        settings: &PlannerSettings,
        input: &PlannerInput,
    ) -> Option<Assignment> {
        if !self.may_rebalance(settings, input) {
            return None;
        }
        let loads = member_loads(input);
        let mean = loads.values().sum::<Load>() / loads.len() as Load;
        let (busiest, highest) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let (idlest, lowest) = loads.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        let gap = highest - lowest;
        if *highest <= mean * (1.0 + settings.hysteresis) || gap < MIN_LOAD_GAP {
            return None;
        }
        let (id, partition) = partition_to_move(input, busiest, gap)?;
        self.last_move_at = Some(input.now);
        let reason = format!("balance: {highest:.0} against {lowest:.0} check-ins a second");
        let record = &partition.record;
        Some(reassignment(id, record, idlest, &reason, input.wall_time))
    }

    fn may_rebalance(&self, settings: &PlannerSettings, input: &PlannerInput) -> bool {
        let interval_passed = self.last_move_at.is_none_or(|at| {
            let elapsed = input.now.saturating_sub(at);
            elapsed >= settings.move_interval
        });
        let mut partitions = input.map.iter();
        let all_held = partitions.all(|(_, partition)| partition.phase() == Phase::Held);
        !settings.moves_paused && input.stable && interval_passed && all_held
    }
}

/// The load of a partition; one that is not known counts as none.
fn partition_load(input: &PlannerInput, id: PartitionId) -> Load {
    input.loads.get(&id).copied().unwrap_or(0.0)
}

/// The load of each member that can hold partitions.
fn member_loads<'a>(input: &PlannerInput<'a>) -> BTreeMap<&'a str, Load> {
    let members = input.members.iter();
    let mut loads: BTreeMap<&str, Load> =
        members.map(|member| (member.name.as_str(), 0.0)).collect();
    for (id, partition) in input.map.iter() {
        // A holder that cannot be reached takes no part: its partitions stay.
        if let Some(load) = loads.get_mut(partition.record.holder.as_str()) {
            *load += partition_load(input, id);
        }
    }
    loads
}

/// The partition of this holder whose move narrows the gap best. One whose load is about as large as the gap
/// would only reverse it, and return with the next move.
fn partition_to_move<'a>(
    input: &PlannerInput<'a>,
    holder: &str,
    gap: Load,
) -> Option<(PartitionId, &'a Partition)> {
    let remaining_gap = |id: PartitionId| (gap - 2.0 * partition_load(input, id)).abs();
    let partitions = input.map.iter();
    partitions
        .filter(|(_, partition)| partition.record.holder == holder)
        .filter(|(id, _)| remaining_gap(*id) <= gap * MAX_REMAINING_GAP)
        .min_by(|a, b| remaining_gap(a.0).total_cmp(&remaining_gap(b.0)))
}

fn reassignment(
    id: PartitionId,
    record: &PartitionRecord,
    holder: &str,
    reason: &str,
    wall_time: Micros,
) -> Assignment {
    let record = PartitionRecord {
        holder: holder.to_string(),
        reason: reason.to_string(),
        assigned_us: wall_time,
        ..record.clone()
    };
    Assignment { id, record }
}

/// How many partitions each member is to hold.
type PartitionCounts<'a> = BTreeMap<&'a str, usize>;

fn partition_counts<'a>(input: &PlannerInput<'a>) -> PartitionCounts<'a> {
    let mut counts = PartitionCounts::new();
    for (_, partition) in input.map.iter() {
        *counts.entry(&partition.record.holder).or_insert(0) += 1;
    }
    counts
}

/// The member with the fewest partitions; of several, one of this zone.
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

/// The first assignments of the partitions of zones that have none.
fn missing_partitions(settings: &PlannerSettings, input: &PlannerInput) -> Vec<Assignment> {
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
            assignments.push(Assignment {
                id: next_id,
                record,
            });
            next_id += 1;
        }
    }
    assignments
}
