//! Tests of the validation and conversion of the settings file.

use super::parse;
use grebewood_core::settings::StoreLimits;

const VALID_SETTINGS: &str = r#"
member = "a"
domain = "z"
front = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
surprise = 1
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
[[cluster.teams]]
name = "t"
cpus = 1.0
cpus_max = 2.0
[cluster.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[cluster.state]
rps = 100.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0
"#;

#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let (settings, endpoints) = parse(VALID_SETTINGS).expect("good settings");
    assert_eq!(settings.agent_lease, 10_000_000);
    assert_eq!(settings.store.value_bytes, 8192);
    assert_eq!(endpoints.socket_limit, 1_024);
}

/// Regression: if a CPU limit of 0 is taken literally, no job of a guest team fits it, and all of them are refused
/// with 422.
#[test]
fn a_limit_of_zero_cpus_means_no_limit() {
    let text = VALID_SETTINGS.replace("cpus = 1.0\ncpus_max = 2.0", "cpus = 0.0\ncpus_max = 0.0");
    let (settings, _) = parse(&text).expect("good settings");
    let guest = &settings.teams["t"];
    assert_eq!(guest.cpus, 0.0);
    assert!(guest.cpus_max > 1e9);
    // A GPU limit of 0 means that the team may use no GPUs.
    assert_eq!(guest.gpus_max, 0.0);
}

/// The time of an announced change is unknown, so records must fit the announced limits from the start.
#[test]
fn the_smaller_of_current_and_next_limits_applies() {
    let next = "txn_ops = 8\n[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nrps = 900.0\n";
    let (settings, _) = parse(&VALID_SETTINGS.replace("txn_ops = 8", next)).expect("good settings");
    let expected = StoreLimits {
        rps: 100.0,
        write_rps: 15.0,
        value_bytes: 2048,
        transaction_operations: 4,
    };
    assert_eq!(settings.store, expected);
}

#[test]
fn availability_objectives_are_read_and_unknown_kinds_ignored() {
    let objectives = "[[cluster.objectives]]\nkind = \"up\"\nclass = \"feed\"\nafter_s = 5.0\n\
                worst_s = 30.0\nshare = 0.96\n[[cluster.objectives]]\nkind = \"other\"\n\
                after_s = \"noon\"\n";
    let text = VALID_SETTINGS.replace(
        "[cluster.workers]",
        &format!("{objectives}[cluster.workers]"),
    );
    assert!(parse(&text).is_err(), "a time is a number in any objective");
    let text = text.replace("\"noon\"", "-1.0");
    let (settings, _) = parse(&text).expect("good settings");
    assert_eq!(settings.objectives[0].after, Some(5_000_000));
    assert_eq!(settings.objectives[0].worst_window, Some(30_000_000));
    assert_eq!(settings.objectives[1].after, None);
}

#[test]
fn a_bad_field_is_named() {
    for (from, to, field) in [
        (
            "lease_s = 10.0",
            "lease_s = -1.0",
            "cluster.workers.lease_s",
        ),
        ("lease_s = 10.0", "", "lease_s"),
        ("127.0.0.1:4", "state.example:4", "endpoints.state"),
        ("cpus = 1.0", "cpus = -1.0", "cluster.teams.cpus"),
        ("cpus = 1.0", "cpus = 2.5", "cluster.teams.cpus_max"),
        (
            "cpus = 1.0",
            "gpus = 1.0\ncpus = 1.0",
            "cluster.teams.gpus_max: 0 of team t",
        ),
        ("txn_ops = 8", "txn_ops = 2", "cluster.state.txn_ops"),
        (
            "txn_ops = 8",
            "txn_ops = 8\n[cluster.state.next]\ntxn_ops = 0",
            "cluster.state.next.txn_ops",
        ),
        (
            "txn_ops = 8",
            "txn_ops = 8\n[cluster.state.next]\nvalue_kb = -2.0",
            "cluster.state.next.value_kb",
        ),
        (
            "txn_ops = 8",
            "txn_ops = 8\n[cluster.state.next]\nwrite_rps = nan",
            "cluster.state.next.write_rps",
        ),
    ] {
        let error = parse(&VALID_SETTINGS.replace(from, to))
            .expect_err(field)
            .to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'), "{error}");
    }
}
