//! Who is to hold which partition: the first assignment, the one after a holder is lost, and the
//! rebalancer, which moves one partition at a time from the member with the most load to the one with
//! the least.

use crate::hash_slots::ranges;
use crate::map::{PartitionId, PartitionMap, Phase};
use grebewood_wire::records::PartitionRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Whole microseconds.
type Micros = u64;

/// A member that can hold partitions now.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
}

/// The load of a partition, in check-ins a second. These cost its holder the most, and each machine
/// brings some, so they stand for machines, connections and processor time alike.
pub type Load = f64;

/// What the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Partitions of each zone.
    pub partitions_per_zone: u16,
    /// Least time between two moves for the sake of balance.
    pub move_interval: Micros,
    /// Part of the mean load by which a member must lie above it before it gives a partition away.
    pub hysteresis: f64,
    /// No partition is moved for the sake of balance.
    pub paused: bool,
}

/// A partition to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Its number.
    pub id: PartitionId,
    /// Its record.
    pub record: PartitionRecord,
}

/// What the planner sees.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    /// The present map.
    pub map: &'a PartitionMap,
    /// The zones in which there may be machines.
    pub zones: &'a BTreeSet<String>,
    /// Members that can hold partitions now.
    pub members: &'a BTreeSet<Member>,
    /// Loads of the partitions, as far as known.
    pub loads: &'a BTreeMap<PartitionId, Load>,
    /// Partitions that have to go to others, since their holders place tasks and cannot be reached.
    pub out_of_touch: &'a BTreeSet<PartitionId>,
    /// The number of the next new partition.
    pub next_id: PartitionId,
    /// Whether all members that could lead understand partitions: only then new ones are made.
    pub may_create: bool,
    /// Whether the cluster is at rest: no change of leader lately, the state service in time.
    pub at_rest: bool,
    /// Steady time.
    pub now: Micros,
    /// Time of day.
    pub wall: Micros,
}

/// How long a partition may be without a claim before it is assigned to another member: a new one, and
/// one whose holder gave it back or whose claim has ended.
const UNCLAIMED_FOR: Micros = 3_000_000;
const GIVEN_BACK_FOR: Micros = 600_000;
/// A move for the sake of balance leaves this part of the gap between two members at most.
const MOST_GAP_LEFT: f64 = 0.5;
/// The least load worth a move.
const LEAST_LOAD: Load = 1.0;

/// The planner's memory between rounds. A new leader begins without one, which delays moves only.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Since when a partition has had no claim.
    unclaimed: BTreeMap<PartitionId, Micros>,
    /// Partitions that had a claim since they were last assigned.
    claimed: BTreeSet<PartitionId>,
    /// When a partition was last moved for the sake of balance.
    moved_at: Option<Micros>,
}

impl Planner {
    /// What is to be written now.
    pub fn round(&mut self, settings: &PlannerSettings, plan: &Plan) -> Vec<Assignment> {
        if plan.members.is_empty() {
            return Vec::new();
        }
        self.note_unclaimed(plan);
        let mut assignments = missing_partitions(settings, plan);
        assignments.extend(self.lost_partitions(plan));
        if assignments.is_empty() {
            assignments.extend(self.rebalance(settings, plan));
        }
        assignments
    }

    fn note_unclaimed(&mut self, plan: &Plan) {
        let unclaimed = |id: &PartitionId| {
            let partition = plan.map.get(*id);
            partition.is_some_and(|p| p.phase() == Phase::Unclaimed)
        };
        self.unclaimed.retain(|id, _| unclaimed(id));
        for (id, partition) in plan.map.iter() {
            match partition.phase() {
                Phase::Unclaimed => {
                    self.unclaimed.entry(id).or_insert(plan.now);
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

    /// Partitions whose holder is gone, or does not claim them, go to others.
    fn lost_partitions(&mut self, plan: &Plan) -> Vec<Assignment> {
        let mut counts = counts_of(plan);
        let mut assignments = Vec::new();
        for (id, partition) in plan.map.iter() {
            let holder = &partition.record.holder;
            let healthy = plan.members.iter().any(|m| m.name == *holder);
            let since = self.unclaimed.get(&id).copied();
            let patience = match self.claimed.contains(&id) {
                true => GIVEN_BACK_FOR,
                false => UNCLAIMED_FOR,
            };
            let overdue = since.is_some_and(|at| plan.now.saturating_sub(at) >= patience);
            // One whose holder cannot be reached but has a claim keeps it: the claim ends by itself. Unless
            // tasks were given to that holder, of which nobody can tell whether it has placed them.
            let out_of_touch = plan.out_of_touch.contains(&id) && !healthy;
            if !overdue && !out_of_touch {
                continue;
            }
            let others = plan.members.iter().filter(|m| m.name != *holder);
            let Some(to) = least_loaded(others, &counts, &partition.record.zone) else {
                continue;
            };
            *counts.entry(to.to_string()).or_insert(0.0) += 1.0;
            self.unclaimed.insert(id, plan.now);
            self.claimed.remove(&id);
            let reason = match healthy {
                true => "its holder did not claim it",
                false => "its holder is gone",
            };
            assignments.push(reassigned(id, &partition.record, to, reason, plan.wall));
        }
        assignments
    }

    /// One partition from the member with the most load to the one with the least, if that lies far
    /// enough above the mean and the move brings the two closer together.
    fn rebalance(&mut self, settings: &PlannerSettings, plan: &Plan) -> Option<Assignment> {
        let rested = self.moved_at.is_none_or(|at| {
            let since = plan.now.saturating_sub(at);
            since >= settings.move_interval
        });
        let settled = plan.map.iter().all(|(_, p)| p.phase() == Phase::Held);
        if settings.paused || !plan.at_rest || !rested || !settled {
            return None;
        }
        let load_of = |id: PartitionId| plan.loads.get(&id).copied().unwrap_or(0.0);
        let mut loads: BTreeMap<&str, Load> = BTreeMap::new();
        for member in plan.members {
            loads.insert(&member.name, 0.0);
        }
        for (id, partition) in plan.map.iter() {
            // A holder that cannot be reached takes no part: its partitions stay.
            if let Some(load) = loads.get_mut(partition.record.holder.as_str()) {
                *load += load_of(id);
            }
        }
        let mean = loads.values().sum::<Load>() / loads.len() as Load;
        let (most, most_load) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let (least, least_load) = loads.iter().min_by(|a, b| a.1.total_cmp(b.1))?;
        let gap = most_load - least_load;
        if *most_load <= mean * (1.0 + settings.hysteresis) || gap < LEAST_LOAD {
            return None;
        }
        // The one that narrows the gap best. One that is about as large as the gap would only turn it
        // round, and come back with the next move.
        let gap_after = |id: PartitionId| (gap - 2.0 * load_of(id)).abs();
        let theirs = plan.map.iter().filter(|(_, p)| p.record.holder == **most);
        let (id, partition) = theirs
            .filter(|(id, _)| gap_after(*id) <= gap * MOST_GAP_LEFT)
            .min_by(|a, b| gap_after(a.0).total_cmp(&gap_after(b.0)))?;
        self.moved_at = Some(plan.now);
        let reason = format!("balance: {most_load:.0} against {least_load:.0} check-ins a second");
        Some(reassigned(id, &partition.record, least, &reason, plan.wall))
    }
}

fn reassigned(
    id: PartitionId,
    record: &PartitionRecord,
    holder: &str,
    reason: &str,
    wall: Micros,
) -> Assignment {
    let record = PartitionRecord {
        holder: holder.to_string(),
        reason: reason.to_string(),
        assigned_us: wall,
        ..record.clone()
    };
    Assignment { id, record }
}

/// Partitions that each member is to hold.
fn counts_of(plan: &Plan) -> BTreeMap<String, f64> {
    let mut counts = BTreeMap::new();
    for (_, partition) in plan.map.iter() {
        *counts.entry(partition.record.holder.clone()).or_insert(0.0) += 1.0;
    }
    counts
}

/// The member with the fewest partitions, of several one of the zone.
fn least_loaded<'a>(
    members: impl Iterator<Item = &'a Member>,
    counts: &BTreeMap<String, f64>,
    zone: &str,
) -> Option<&'a str> {
    let load = |member: &Member| counts.get(&member.name).copied().unwrap_or(0.0);
    members
        .min_by(|a, b| {
            let by_load = load(a).total_cmp(&load(b));
            by_load.then((a.zone != zone).cmp(&(b.zone != zone)))
        })
        .map(|member| member.name.as_str())
}

/// Partitions of zones that have none.
fn missing_partitions(settings: &PlannerSettings, plan: &Plan) -> Vec<Assignment> {
    if !plan.may_create || settings.partitions_per_zone == 0 {
        return Vec::new();
    }
    let mut counts = counts_of(plan);
    let mut next = plan.next_id;
    let mut assignments = Vec::new();
    for zone in plan.zones {
        if plan.map.iter().any(|(_, p)| p.record.zone == *zone) {
            continue;
        }
        for (first_slot, end_slot) in ranges(settings.partitions_per_zone) {
            let Some(holder) = least_loaded(plan.members.iter(), &counts, zone) else {
                continue;
            };
            let record = PartitionRecord {
                zone: zone.clone(),
                first_slot,
                end_slot,
                holder: holder.to_string(),
                assigned_us: plan.wall,
                reason: "first assignment".into(),
            };
            *counts.entry(holder.to_string()).or_insert(0.0) += 1.0;
            assignments.push(Assignment { id: next, record });
            next += 1;
        }
    }
    assignments
}
