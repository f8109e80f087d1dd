//! Tests of the output of `grebewood quota`, which is built from the records alone.

use grebewood_quota::overview::{Overview, RecordedTask, Records};
use grebewood_quota::{Limits, Resources, TeamQuota};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};

fn grant(cpus: u64) -> QuotaGrantRecord {
    QuotaGrantRecord {
        version: 3,
        claim: 9,
        teams: vec![TeamAmount {
            team: "t".into(),
            cpus: cpus * 1_000_000,
            gpus: 0,
        }],
    }
}

fn task(partition: Option<u64>) -> RecordedTask {
    RecordedTask {
        partition,
        team: "t".into(),
        amount: Resources::of(2.0, 0.0),
    }
}

fn records() -> Records {
    let quota = TeamQuota {
        guarantee: Resources::of(8.0, 0.0),
        limit: Resources::of(32.0, 0.0),
    };
    Records {
        leader: Some("m-0".into()),
        limits: Some(Limits::new([("t".to_string(), quota)])),
        grants: BTreeMap::from([(1, Some(grant(6))), (2, Some(grant(4)))]),
        held_partitions: BTreeSet::from([1, 2]),
        tasks: vec![task(None), task(Some(1)), task(Some(1)), task(Some(2))],
        ..Records::default()
    }
}

#[test]
fn a_team_is_shown_with_its_usage_in_all_partitions() {
    let row = &Overview::of(&records()).teams[0];
    assert_eq!((row.granted.cpus, row.used.cpus), (10.0, 8.0));
    assert_eq!((row.in_doubt.cpus, row.reasons.len()), (0.0, 0));
}

#[test]
fn grants_of_partitions_without_a_holder_are_in_doubt() {
    let mut records = records();
    records.held_partitions.remove(&2);
    let row = &Overview::of(&records).teams[0];
    assert_eq!(row.in_doubt.cpus, 4.0);
    assert_eq!(row.reasons, ["partition 2 has no holder"]);
}

#[test]
fn an_unreadable_grant_counts_as_all_of_the_limit_and_its_key_is_shown() {
    let mut records = records();
    records.grants.insert(2, None);
    records.limits_unreadable = true;
    records.unreadable_pages.push("page/0/7".into());
    let overview = Overview::of(&records);
    assert_eq!(overview.teams[0].in_doubt.cpus, 32.0);
    assert_eq!(overview.unreadable, ["quota/limits", "quota/2", "page/0/7"]);
    let text = overview.to_text();
    assert!(text.contains("quota/2 cannot be read"), "{text}");
    assert!(text.contains("unreadable: page/0/7"), "{text}");
}

#[test]
fn unlimited_teams_and_missing_limits_are_shown() {
    let mut none = Records::default();
    let text = Overview::of(&none).to_text();
    assert!(text.contains("leader: nobody"), "{text}");
    assert!(text.contains("no limits on record"), "{text}");
    let quota = TeamQuota {
        guarantee: Resources::ZERO,
        limit: Resources::of(1e12, 0.0),
    };
    none.limits = Some(Limits::new([("guest".to_string(), quota)]));
    assert!(Overview::of(&none).to_text().contains("no limit"));
}
