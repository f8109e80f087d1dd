//! Tests of the partition map: the partition of each machine, and records that arrive late or cannot be decoded.

use grebewood_partition::hash_slots::{slot_of, slot_ranges, SLOTS_PER_ZONE};
use grebewood_partition::{PartitionMap, Phase};
use grebewood_wire::http::to_value;
use grebewood_wire::records::{claim_key, partition_key, PartitionClaim, PartitionRecord};
use grebewood_wire::Value;

fn record(range: (u16, u16), holder: &str) -> Value {
    to_value(&PartitionRecord {
        zone: "a".into(),
        first_slot: range.0,
        end_slot: range.1,
        holder: holder.into(),
        assigned_us: 1,
        reason: "test".into(),
    })
}

fn claim(member: &str) -> Value {
    to_value(&PartitionClaim {
        member: member.into(),
        incarnation: 1,
        claimed_us: 1,
    })
}

fn two_partitions() -> PartitionMap {
    let mut map = PartitionMap::default();
    for (id, range) in (1..).zip(slot_ranges(2)) {
        let written = map.apply_put(&partition_key(id), &record(range, "x"), id);
        assert_eq!(written, Ok(()));
    }
    map
}

#[test]
fn every_machine_is_in_exactly_one_partition() {
    for partitions in [1, 2, 3, 7, 64, 256] {
        let ranges = slot_ranges(partitions);
        assert_eq!(ranges.len(), usize::from(partitions));
        assert_eq!(
            (ranges[0].0, ranges[ranges.len() - 1].1),
            (0, SLOTS_PER_ZONE)
        );
        assert!(ranges.windows(2).all(|pair| pair[0].1 == pair[1].0));
    }
    let map = two_partitions();
    let names: Vec<String> = (0..4_000).map(|n| format!("n-{n:06}")).collect();
    let first = names
        .iter()
        .filter(|name| map.partition_of_machine("a", name) == Some(1));
    let first = first.count();
    assert!((1_800..2_200).contains(&first), "{first} of 4000");
    assert!(names
        .iter()
        .all(|name| map.partition_of_machine("a", name).is_some()));
    assert!(names
        .iter()
        .all(|name| map.partition_of_machine("b", name).is_none()));
}

/// Controllers of different versions that hold partitions at the same time have to agree on the slot of a machine.
#[test]
fn the_slot_of_a_machine_never_changes() {
    let slots: Vec<u16> = ["n-000000", "n-000001", "n-000231"]
        .into_iter()
        .map(slot_of)
        .collect();
    assert_eq!(slots, [252, 79, 122]);
}

#[test]
fn the_phase_follows_from_both_records() {
    let mut map = two_partitions();
    let phase = |map: &PartitionMap| map.get(1).expect("partition 1").phase();
    assert_eq!(phase(&map), Phase::Unclaimed);
    map.apply_put(&claim_key(1), &claim("x"), 10)
        .expect("a claim");
    assert_eq!(phase(&map), Phase::Held);
    map.apply_put(&partition_key(1), &record((0, 128), "y"), 11)
        .expect("a record");
    assert_eq!(phase(&map), Phase::Moving);
    map.apply_delete(&claim_key(1), 12);
    assert_eq!(phase(&map), Phase::Unclaimed);
    map.apply_put(&claim_key(1), &claim("y"), 13)
        .expect("a claim");
    assert_eq!(phase(&map), Phase::Held);
}

#[test]
fn what_arrives_late_changes_nothing() {
    let mut map = two_partitions();
    map.apply_put(&claim_key(1), &claim("y"), 13)
        .expect("a claim");
    // An older claim and its deletion arrive late.
    map.apply_put(&claim_key(1), &claim("x"), 10)
        .expect("a claim");
    map.apply_delete(&claim_key(1), 12);
    let held_by = map.get(1).and_then(|p| p.claim.clone());
    assert_eq!(held_by.map(|c| (c.member, c.token)), Some(("y".into(), 13)));
    // A claim may be listed before the record of its partition.
    let mut map = PartitionMap::default();
    map.apply_put(&claim_key(5), &claim("y"), 13)
        .expect("a claim");
    map.apply_put(&partition_key(5), &record((0, 256), "y"), 9)
        .expect("a record");
    assert_eq!(map.get(5).map(|p| p.phase()), Some(Phase::Held));
}

#[test]
fn an_unreadable_record_is_listed_and_changes_nothing() {
    let mut map = two_partitions();
    let key = partition_key(1);
    for bad in [
        Value::Null,
        Value::from(7),
        record((128, 128), "x"),
        record((0, SLOTS_PER_ZONE + 1), "x"),
        record((0, 128), ""),
    ] {
        assert!(map.apply_put(&key, &bad, 20).is_err(), "{bad:?}");
        assert_eq!(map.unreadable_keys().collect::<Vec<_>>(), [key.as_str()]);
        assert_eq!(map.get(1).map(|p| p.record.end_slot), Some(128));
    }
    assert!(map
        .apply_put("partition/x", &record((0, 1), "x"), 21)
        .is_err());
    map.apply_put(&key, &record((0, 128), "z"), 22)
        .expect("a record");
    assert_eq!(map.unreadable_keys().collect::<Vec<_>>(), ["partition/x"]);
    assert_eq!(map.keys().len(), 3);
}
