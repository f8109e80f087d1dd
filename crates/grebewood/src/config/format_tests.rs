//! Checks the formats of the settings and tuning files: a settings file with every field, a tuning file with every
//! key, and the tuning files in `deploy/` must be read with the values that they had on 2026-12-02.

use super::{load_settings, load_tuning};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{Objective, Settings, Sibling, Team, Tuning};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

fn package_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(name)
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn frozen_objectives() -> Vec<Objective> {
    let objective = |kind: &str, class: &str, within, share, after, worst_window| Objective {
        kind: kind.into(),
        class: class.into(),
        within,
        share,
        after,
        worst_window,
    };
    vec![
        objective("wait", "interactive", Some(12_500_000), 0.95, None, None),
        objective(
            "up",
            "frontend",
            Some(3_000_000),
            0.99,
            Some(6_000_000),
            Some(45_000_000),
        ),
        objective("up", "backend", None, 0.9, None, Some(60_000_000)),
        objective("", "", None, 0.0, None, None),
    ]
}

fn frozen_teams() -> BTreeMap<String, Team> {
    let search = Team {
        cpus: 10.5,
        cpus_max: 20.0,
        gpus: 1.0,
        gpus_max: 2.5,
    };
    let guest = Team {
        cpus: 0.0,
        cpus_max: 1e12,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    BTreeMap::from([("search".into(), search), ("guest".into(), guest)])
}

fn frozen_settings() -> Settings {
    let sibling = |member: &str, zone: &str| Sibling {
        member: member.into(),
        zone: zone.into(),
    };
    Settings {
        member: "controller-1".into(),
        zone: "north".into(),
        siblings: vec![
            sibling("controller-2", "south"),
            sibling("controller-3", "west"),
        ],
        teams: frozen_teams(),
        objectives: frozen_objectives(),
        heartbeat_interval: 1_250_000,
        agent_lease: 11_000_000,
        cancel_timeout: 31_000_000,
        store: StoreLimits {
            rps: 90.5,
            write_rps: 21.0,
            value_bytes: 4352,
            transaction_operations: 7,
        },
        cloud_rps: 8.5,
        machine_list_lag: 3_250_000,
        max_sockets: 777,
    }
}

#[test]
fn every_field_of_the_settings_file_is_read() {
    let file = package_file("tests/data/settings.toml");
    let (settings, endpoints) = load_settings(&file).expect("good settings");
    assert_eq!(settings, frozen_settings());
    assert_eq!(endpoints.front, address("10.0.0.1:7001"));
    assert_eq!(endpoints.peer_listen, address("10.0.0.1:7002"));
    assert_eq!(endpoints.store, address("10.0.0.5:7006"));
    assert_eq!(endpoints.cloud, address("10.0.0.4:7005"));
    let peers = [address("10.0.0.2:7003"), address("[fd00::3]:7004")];
    assert_eq!(endpoints.peers, peers);
    assert_eq!(endpoints.socket_limit, 777);
}

#[test]
fn every_key_of_the_tuning_file_is_read() {
    let tuning = load_tuning(Some(&package_file("tests/data/tuning.ini")));
    let expected = Tuning {
        leader_lease_us: 2_500_001,
        flush_interval_us: 60_002,
        placement_interval_us: 100_003,
        placement_budget_us: 4_004,
        decider_interval_us: 3_000_005,
        idle_hold_us: 5_000_006,
        idle_hold_ordinary_us: 2_000_007,
        late_deadline_us: 300_000_008,
        late_deadline_cheap_us: 40_000_009,
        default_deadline_us: 3_600_000_010,
        deadline_share: 0.41,
        deadline_share_cheap: 0.16,
        least_rounds: 1.5,
        rent_threshold: 0.35,
        backlog_us: 240_000_011,
        backlog_share: 0.75,
        standby_jobs: 3.5,
        spot_risk: 1.5,
        boot_overdue: 2.5,
        preempt_after_us: 500_012,
        list_interval_us: 3_000_013,
        partitions_per_zone: 14,
        partition_poll_us: 100_015,
        partition_move_interval_us: 30_000_016,
        partition_hysteresis: 0.5,
        partition_moves_paused: 1,
        allotments: 1,
        fleet_max: 20_017,
    };
    assert_eq!(tuning.expect("a valid tuning file"), expected);
}

#[test]
fn the_tuning_files_for_deployment_are_read() {
    let partitions = load_tuning(Some(&package_file("../../deploy/partition.ini")));
    let expected = Tuning {
        partitions_per_zone: 3,
        ..Tuning::default()
    };
    assert_eq!(partitions.expect("a valid tuning file"), expected);
    let quota = load_tuning(Some(&package_file("../../deploy/quota.ini")));
    let expected = Tuning {
        allotments: 1,
        ..expected
    };
    assert_eq!(quota.expect("a valid tuning file"), expected);
}
