//! Tests of the values that each field of a submission may have. Fields are named as in the message.

use grebewood_core::state::jobs::{check_fields, check_possible, SubmissionRejection};
use grebewood_core::{Settings, Team};
use grebewood_wire::http::{MachineType, Submission};
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;

/// A submission as a message: values by field name.
type Fields = BTreeMap<String, Value>;

/// Returns a submission that is accepted.
fn valid_submission() -> Fields {
    let text = |s: &str| Value::from(s);
    let fields = [
        ("uid", text("req-000412")),
        ("workclass", text("train")),
        ("owner", text("vision")),
        ("shape", text("batch")),
        ("precedence", text("high")),
        ("shards", Value::from(16)),
        ("vcpus", Value::from(8.0)),
        ("accelerators", Value::from(1.0)),
        ("memory_gb", Value::from(64.0)),
        ("bundle", text("img-07")),
        ("pull_gb", Value::from(6.2)),
        ("builds", Value::Array(vec![text("g8")])),
        ("yard", Value::Null),
        ("one_zone", Value::from(true)),
        ("spread", Value::from(false)),
        ("loaner", Value::from(true)),
        ("expected_s", Value::from(240.0)),
        ("savepoint_s", Value::from(30.0)),
        ("flush_s", Value::from(4.0)),
        ("due_s", Value::from(900.0)),
    ];
    fields.map(|(k, v)| (k.to_string(), v)).into()
}

/// Returns the valid submission with another value of one field.
fn with(field: &str, value: Value) -> Fields {
    let mut fields = valid_submission();
    fields.insert(field.into(), value);
    fields
}

/// Returns whether the submission can be decoded and each of its fields is valid.
fn is_accepted(fields: &Fields) -> bool {
    from_cbor::<Submission>(&to_cbor(fields))
        .is_ok_and(|submission| check_fields(&submission).is_ok())
}

#[test]
fn only_fields_that_may_be_null_may_be_missing() {
    assert!(is_accepted(&valid_submission()));
    for field in valid_submission().keys() {
        let may_be_null = ["builds", "yard", "due_s"].contains(&field.as_str());
        let mut fields = valid_submission();
        fields.remove(field);
        assert_eq!(is_accepted(&fields), may_be_null, "without {field}");
        assert_eq!(
            is_accepted(&with(field, Value::Null)),
            may_be_null,
            "{field}: null"
        );
    }
}

#[test]
fn a_field_of_another_type_is_invalid() {
    let items = |v: Value| Value::Map(vec![(v, Value::Null)]);
    for (field, value) in valid_submission() {
        let others = [
            Value::from("x"),
            Value::from(true),
            Value::from(-1),
            Value::Array(vec![Value::from(1)]),
            items(value.clone()),
            Value::Bytes(vec![1]),
        ];
        for other in others {
            let same = match (&value, &other) {
                (Value::Text(_), Value::Text(_)) => {
                    // These names may be any text.
                    ["workclass", "owner", "bundle"].contains(&field.as_str())
                }
                (Value::Null, Value::Text(_)) => true,
                (Value::Bool(_), Value::Bool(_)) => true,
                _ => false,
            };
            assert_eq!(
                is_accepted(&with(&field, other.clone())),
                same,
                "{field}: {other:?}"
            );
        }
    }
    for field in ["shards", "uid", "shape", "precedence", "owner", "one_zone"] {
        assert!(!is_accepted(&with(field, Value::from(4.5))), "{field}: 4.5");
    }
}

#[test]
fn amounts_are_finite_and_not_negative() {
    let amounts = [
        "vcpus",
        "accelerators",
        "memory_gb",
        "pull_gb",
        "expected_s",
    ];
    for field in amounts
        .into_iter()
        .chain(["savepoint_s", "flush_s", "due_s"])
    {
        for bad in [-0.5, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300] {
            assert!(
                !is_accepted(&with(field, Value::from(bad))),
                "{field}: {bad}"
            );
        }
        for fine in [Value::from(0.0), Value::from(4), Value::from(4.0)] {
            assert!(is_accepted(&with(field, fine.clone())), "{field}: {fine:?}");
        }
    }
}

#[test]
fn counts_names_and_ids_are_within_their_bounds() {
    let huge = Value::from(u64::MAX);
    for bad in [Value::from(0), Value::from(100_001), huge] {
        assert!(!is_accepted(&with("shards", bad.clone())), "{bad:?}");
    }
    assert!(is_accepted(&with("shards", Value::from(100_000))));
    let ids = [
        "", "req-", "req-1 ", " req-1", "req 1", "req-1x", "REQ-1", "req--1", "job-1", "req-1/2",
    ];
    for bad in ids.into_iter().chain(["req-+1", "req-\u{661}", "req-1\n"]) {
        assert!(!is_accepted(&with("uid", Value::from(bad))), "{bad:?}");
    }
    for field in ["workclass", "owner", "bundle", "yard"] {
        for bad in [String::new(), "x".repeat(200)] {
            assert!(
                !is_accepted(&with(field, Value::from(bad.clone()))),
                "{field}: {bad}"
            );
        }
    }
    for (field, bad) in [
        ("shape", "gangs"),
        ("precedence", "urgent"),
        ("precedence", "High"),
    ] {
        assert!(
            !is_accepted(&with(field, Value::from(bad))),
            "{field}: {bad}"
        );
    }
    let names = |names: &[&str]| Value::Array(names.iter().map(|n| Value::from(*n)).collect());
    assert!(!is_accepted(&with("builds", names(&["g8", ""]))));
    assert!(!is_accepted(&with("builds", Value::from("g8"))));
}

#[test]
fn a_body_other_than_a_map_is_no_submission() {
    let fields: Vec<Value> = valid_submission().into_values().collect();
    for body in [
        to_cbor(&fields),
        to_cbor(&Value::from(7)),
        to_cbor(&Value::Null),
        Vec::new(),
        vec![0xff],
        [to_cbor(&valid_submission()), vec![0]].concat(),
        to_cbor(&valid_submission())[..20].to_vec(),
    ] {
        assert!(from_cbor::<Submission>(&body).is_err(), "{body:?}");
    }
}

/// Names that are unknown are valid in their fields, but a job with them can never run.
#[test]
fn jobs_with_unknown_names_or_excessive_needs_are_impossible() {
    let team = Team {
        cpus: 16.0,
        cpus_max: 32.0,
        gpus: 0.0,
        gpus_max: 8.0,
    };
    let settings = Settings {
        teams: [("vision".to_string(), team)].into(),
        ..Settings::default()
    };
    let machine_type = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        local_gb: None,
        fetch_gb_per_s: None,
        price: 12.0,
        spot_price: None,
        boot_s: 45.0,
        zones: vec!["a".into()],
    };
    let is_possible = |fields: &Fields| {
        let submission: Submission = from_cbor(&to_cbor(fields)).expect("a submission");
        assert_eq!(check_fields(&submission), Ok(()));
        match check_possible(&submission, &settings, std::slice::from_ref(&machine_type)) {
            Ok(()) => true,
            Err(SubmissionRejection::Impossible(_)) => false,
            Err(other) => panic!("{other:?}"),
        }
    };
    assert!(is_possible(&valid_submission()));
    for (field, value) in [
        ("owner", Value::from("nobody")),
        ("yard", Value::from("z")),
        ("builds", Value::Array(vec![Value::from("h9")])),
        ("builds", Value::Array(Vec::new())),
        ("vcpus", Value::from(33.0)),
        ("vcpus", Value::from(97.0)),
        ("accelerators", Value::from(9.0)),
        ("memory_gb", Value::from(769.0)),
        ("shape", Value::from("gang")),
    ] {
        assert!(
            !is_possible(&with(field, value.clone())),
            "{field}: {value:?}"
        );
    }
}
