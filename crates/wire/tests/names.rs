//! Tests that the names in messages and in the key-value store are those of the protocol, whatever the fields are
//! called in Rust, and that a message with an unknown word can still be decoded.

mod common;

use common::map;
use grebewood_wire::http::*;
use grebewood_wire::records::{FinishedJobRecord, LeaderRecord, MachineAssignments};
use grebewood_wire::{from_cbor, to_cbor, Value};

/// Returns the keys of a message, in the order in which they are written.
fn keys<T: serde::Serialize>(message: &T) -> String {
    let value: Value = from_cbor(&to_cbor(message)).expect("CBOR");
    let items = value.as_map().expect("a map");
    let keys: Vec<&str> = items.iter().filter_map(|(key, _)| key.as_text()).collect();
    keys.join(" ")
}

/// Returns an agent's heartbeat with the names of the protocol.
fn heartbeat(task: &[(&str, Value)]) -> Value {
    map(&[
        ("perch", "n-000231".into()),
        ("endpoint", "10.1.0.232:9000".into()),
        ("build", "g8".into()),
        ("yard", "a".into()),
        ("loaner", true.into()),
        ("tenure", 1.into()),
        ("tally", 88.into()),
        ("warrant", 41.into()),
        ("recall_s", Value::Null),
        ("shards", Value::Array(vec![map(task)])),
    ])
}

#[test]
fn a_heartbeat_is_read_by_the_names_of_the_protocol() {
    let task = [
        ("shard", Value::from("req-000398/0")),
        ("try", 3.into()),
        ("status", "exited".into()),
        ("cause", "done".into()),
    ];
    let read: Heartbeat = from_cbor(&to_cbor(&heartbeat(&task))).expect("a heartbeat");
    assert_eq!(read.machine, "n-000231");
    assert_eq!(read.address, "10.1.0.232:9000");
    assert_eq!(
        (read.machine_type.as_str(), read.zone.as_str()),
        ("g8", "a")
    );
    assert_eq!((read.incarnation, read.sequence, read.token), (1, 88, 41));
    assert!(read.spot && read.reclaim_s.is_none());
    let task = &read.tasks[0];
    assert_eq!((task.task_name.as_str(), task.attempt), ("req-000398/0", 3));
    assert_eq!(task.status, TaskStatus::Exited);
    assert_eq!(task.cause, Some(ExitCause::Done));
    let written = "perch endpoint build yard loaner tenure tally warrant recall_s shards";
    assert_eq!(keys(&read), written);
    assert_eq!(keys(task), "shard try status cause saved");
}

/// An agent may be newer than this version; its heartbeat must still be decoded. Fields of the wrong type and
/// missing fields are rejected.
#[test]
fn unknown_words_are_kept_and_wrong_types_are_refused() {
    let task = |status: Value| {
        heartbeat(&[
            ("shard", Value::from("req-1/0")),
            ("try", 1.into()),
            ("status", status),
            ("cause", "evicted".into()),
        ])
    };
    let read: Heartbeat = from_cbor(&to_cbor(&task("paused".into()))).expect("a heartbeat");
    assert_eq!(read.tasks[0].status, TaskStatus::Unknown("paused".into()));
    assert_eq!(
        read.tasks[0].cause,
        Some(ExitCause::Unknown("evicted".into()))
    );
    assert_eq!(to_cbor(&read.tasks[0].status), to_cbor(&"paused"));
    for wrong in [Value::from(7), Value::Null, Value::Array(Vec::new())] {
        assert!(from_cbor::<Heartbeat>(&to_cbor(&task(wrong))).is_err());
    }
    let missing = heartbeat(&[("shard", Value::from("req-1/0")), ("try", 1.into())]);
    assert!(from_cbor::<Heartbeat>(&to_cbor(&missing)).is_err());
}

#[test]
fn every_word_is_written_as_it_is_read() {
    let words = ["fetching", "running", "saving", "exited"];
    assert!(words
        .iter()
        .all(|word| TaskStatus::from(*word).as_str() == *word));
    assert!(!words
        .iter()
        .any(|word| matches!(TaskStatus::from(*word), TaskStatus::Unknown(_))));
    let words = ["done", "stopped", "error", "no_room", "busy", "unknown"];
    assert!(words
        .iter()
        .all(|word| ExitCause::from(*word).as_str() == *word));
    assert!(!words
        .iter()
        .any(|word| matches!(ExitCause::from(*word), ExitCause::Unknown(_))));
    let verbs = [
        (Verb::Launch, "launch"),
        (Verb::Stop, "stop"),
        (Verb::Acknowledge, "reap"),
    ];
    assert!(verbs
        .iter()
        .all(|(verb, word)| to_cbor(verb) == to_cbor(word)));
}

#[test]
fn requests_and_responses_have_the_names_of_the_protocol() {
    let command = Command {
        verb: Verb::Stop,
        task_name: "req-1/0".into(),
        attempt: 1,
        grace_s: Some(10.0),
    };
    assert_eq!(keys(&command), "verb shard try leeway_s");
    let launch = Command {
        verb: Verb::Launch,
        grace_s: None,
        ..command.clone()
    };
    assert_eq!(keys(&launch), "verb shard try");
    let direct = DirectCommands {
        token: 41,
        incarnation: 1,
        commands: vec![command],
    };
    assert_eq!(keys(&direct), "warrant tenure orders");
    let response = HeartbeatResponse {
        token: 41,
        commands: Vec::new(),
    };
    assert_eq!(keys(&response), "warrant orders");
    let controller = Some("perch-2".to_string());
    assert_eq!(keys(&Redirect { controller }), "steward");
    assert_eq!(keys(&Redirect { controller: None }), "");
    let provision = ProvisionRequest {
        name: "h-1-1".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        number: 12,
    };
    assert_eq!(keys(&provision), "hire build yard loaner number");
    let machines = Vec::new();
    assert_eq!(keys(&MachineNames { machines }), "perches");
    let put = Operation::Put {
        put: "a/b".into(),
        value: Value::Null,
        lease: Some(7),
    };
    assert_eq!(keys(&put), "put value tether");
    let when = Condition {
        key: "a/b".into(),
        mod_revision: 0,
    };
    assert_eq!(keys(&when), "k stamp");
    assert_eq!(keys(&LeaseRequest { ttl_ms: 5_000 }), "life_ms");
}

#[test]
fn records_have_the_names_of_earlier_versions() {
    let finished = FinishedJobRecord {
        status: "done".into(),
        tasks: 3,
    };
    assert_eq!(keys(&finished), "status shards");
    let assignments = MachineAssignments {
        machine: "n-000231".into(),
        incarnation: 1,
        zone: "a".into(),
        assignments: vec![("req-1".into(), 0, 1)],
    };
    assert_eq!(keys(&assignments), "m tenure zone t");
}

/// The previous version reads the leader's record, too. Without partitions, the record has no new field.
#[test]
fn a_leader_without_partitions_writes_the_record_of_the_version_before() {
    let record = |supports_partitions| LeaderRecord {
        member: "perch-0".into(),
        incarnation: 1,
        supports_partitions,
        grants_quota: false,
    };
    assert_eq!(keys(&record(false)), "member incarnation");
    assert_eq!(keys(&record(true)), "member incarnation partitions");
}
