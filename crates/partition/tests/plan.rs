//! Tests of the planner: first assignments, reassignment after the loss of a member, and rebalancing.

use grebewood_partition::hash_slots::slot_ranges;
use grebewood_partition::{
    Load, Member, PartitionAssignment, PartitionId, PartitionMap, Planner, PlannerInput,
    PlannerSettings,
};
use grebewood_wire::http::to_value;
use grebewood_wire::records::{claim_key, partition_key, PartitionClaim};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;

/// Cluster that writes and claims the assignments of the planner.
struct Cluster {
    map: PartitionMap,
    members: BTreeSet<Member>,
    loads: BTreeMap<PartitionId, Load>,
    planner: Planner,
    settings: PlannerSettings,
    stable: bool,
    may_create: bool,
    now: u64,
    mod_revision: u64,
}

impl Cluster {
    fn new(members: &[&str]) -> Cluster {
        let member = |name: &&str| Member {
            name: name.to_string(),
            zone: "a".into(),
        };
        Cluster {
            map: PartitionMap::default(),
            members: members.iter().map(member).collect(),
            loads: BTreeMap::new(),
            planner: Planner::default(),
            settings: PlannerSettings {
                partitions_per_zone: 6,
                move_interval: 30 * SECOND,
                hysteresis: 0.25,
                moves_paused: false,
            },
            stable: true,
            may_create: true,
            now: 0,
            mod_revision: 0,
        }
    }

    /// Runs one round of the planner, writes its assignments, and claims each of them for its holder if that
    /// member is up.
    fn round(&mut self) -> Vec<PartitionAssignment> {
        self.now += SECOND;
        let zones = BTreeSet::from(["a".to_string()]);
        let input = PlannerInput {
            map: &self.map,
            zones: &zones,
            members: &self.members,
            loads: &self.loads,
            partitions_of_unreachable_holders: &BTreeSet::new(),
            next_id: self.map.iter().map(|(id, _)| id).max().unwrap_or(0) + 1,
            may_create: self.may_create,
            is_cluster_stable: self.stable,
            now: self.now,
            wall_time: self.now,
        };
        let assignments = self.planner.plan_assignments(&self.settings, &input);
        for PartitionAssignment { id, record } in &assignments {
            self.mod_revision += 1;
            let value = to_value(record);
            let written = self
                .map
                .apply_put(&partition_key(*id), &value, self.mod_revision);
            assert_eq!(written, Ok(()));
            if self.members.iter().any(|m| m.name == record.holder) {
                self.claim(*id, &record.holder);
            }
        }
        assignments
    }

    /// Writes a claim of this member on the partition.
    fn claim(&mut self, id: PartitionId, member: &str) {
        self.mod_revision += 1;
        let claim = PartitionClaim {
            member: member.into(),
            incarnation: 1,
            claimed_us: self.now,
        };
        let written = self
            .map
            .apply_put(&claim_key(id), &to_value(&claim), self.mod_revision);
        assert_eq!(written, Ok(()));
    }

    /// Removes a member and deletes its claims.
    fn remove_member(&mut self, member: &str) {
        self.members.retain(|m| m.name != member);
        let held = self.map.iter().filter(|(_, p)| p.record.holder == member);
        let held: Vec<PartitionId> = held.map(|(id, _)| id).collect();
        self.mod_revision += 1;
        for id in held {
            self.map.apply_delete(&claim_key(id), self.mod_revision);
        }
    }

    /// Returns the number of partitions that are assigned to this member.
    fn held_by(&self, member: &str) -> usize {
        let held = self.map.iter().filter(|(_, p)| p.record.holder == member);
        held.count()
    }
}

#[test]
fn partitions_are_created_once_and_spread_evenly() {
    let mut cluster = Cluster::new(&["x", "y", "z"]);
    cluster.may_create = false;
    assert!(cluster.round().is_empty());
    cluster.may_create = true;
    assert_eq!(cluster.round().len(), 6);
    let slots: Vec<(u16, u16)> = cluster
        .map
        .iter()
        .map(|(_, p)| (p.record.first_slot, p.record.end_slot))
        .collect();
    assert_eq!(slots, slot_ranges(6));
    for member in ["x", "y", "z"] {
        assert_eq!(cluster.held_by(member), 2, "{member}");
    }
    assert!(cluster.round().is_empty());
}

#[test]
fn partitions_of_a_lost_member_go_to_the_others() {
    let mut cluster = Cluster::new(&["x", "y", "z"]);
    cluster.round();
    cluster.round();
    cluster.remove_member("y");
    let mut rounds = 0;
    while cluster.held_by("y") > 0 {
        cluster.round();
        rounds += 1;
        assert!(
            rounds <= 4,
            "partitions are still assigned to a removed member"
        );
    }
    assert_eq!((cluster.held_by("x"), cluster.held_by("z")), (3, 3));
}

#[test]
fn a_holder_that_cannot_be_reached_keeps_what_it_has_claimed() {
    let mut cluster = Cluster::new(&["x", "y"]);
    cluster.round();
    cluster.members.retain(|m| m.name != "y");
    for _ in 0..60 {
        assert!(cluster.round().is_empty());
    }
}

#[test]
fn rebalancing_moves_one_partition_at_a_time_and_converges() {
    let mut cluster = Cluster::new(&["x", "y"]);
    cluster.round();
    let held_by_x: Vec<PartitionId> = cluster
        .map
        .iter()
        .filter(|(_, p)| p.record.holder == "x")
        .map(|(id, _)| id)
        .collect();
    cluster.loads = held_by_x.iter().map(|id| (*id, 40.0)).collect();
    let mut moves = Vec::new();
    for _ in 0..600 {
        let assignments = cluster.round();
        assert!(assignments.len() <= 1);
        if !assignments.is_empty() {
            moves.push(cluster.now);
        }
    }
    // The loads are 120 and 0 before the first move, 80 and 40 after it. A second move would only reverse the gap.
    assert_eq!(moves.len(), 1, "{moves:?}");
    cluster.loads.insert(held_by_x[0], 10.0);
    cluster.loads.insert(held_by_x[1], 10.0);
    cluster.loads.insert(held_by_x[2], 200.0);
    for _ in 0..600 {
        cluster.round();
    }
    let balanced = cluster.map.clone();
    for _ in 0..100 {
        assert!(cluster.round().is_empty());
    }
    assert_eq!(balanced.iter().count(), 6);
}

#[test]
fn no_partition_moves_while_moves_are_prevented() {
    let moves_when_unbalanced = |change: &dyn Fn(&mut Cluster)| {
        let mut cluster = Cluster::new(&["x", "y"]);
        cluster.round();
        let all: Vec<(PartitionId, String)> = cluster
            .map
            .iter()
            .map(|(id, p)| (id, p.record.holder.clone()))
            .collect();
        for (id, holder) in all {
            let load = if holder == "x" { 40.0 } else { 0.0 };
            cluster.loads.insert(id, load);
        }
        change(&mut cluster);
        (0..100).map(|_| cluster.round().len()).sum::<usize>()
    };
    assert!(moves_when_unbalanced(&|_| {}) > 0);
    assert_eq!(
        moves_when_unbalanced(&|c| c.settings.moves_paused = true),
        0
    );
    assert_eq!(moves_when_unbalanced(&|c| c.stable = false), 0);
    assert_eq!(moves_when_unbalanced(&|c| c.loads.clear()), 0);
}
