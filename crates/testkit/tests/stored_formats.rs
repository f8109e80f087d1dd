//! Checks that records and peer messages as the sources of 2026-12-02 wrote them (`data/stored_formats.txt`) can
//! be read, and are written again as the same bytes.

use grebewood_testkit::unhex;
use grebewood_wire::http::{from_value, to_value, Catalogue};
use grebewood_wire::peer::{PeerRequest, PeerResponse};
use grebewood_wire::records::{
    AssignmentPageRecord, CancelRecord, CompletedTasksPageRecord, FinishedJobRecord, JobKey,
    JobRecord, LeaderRecord, LimitsRecord, PartitionClaim, PartitionKey, PartitionRecord,
    ProvisionRecord, QuotaGrantRecord, StatsRecord,
};
use grebewood_wire::{from_cbor, from_peer, to_cbor, to_peer, Value};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::path::Path;

/// The number of records in the file, one of each kind.
const RECORD_KINDS: usize = 13;
/// The number of peer messages in the file, which cover each kind and each of their parts.
const MESSAGE_KINDS: usize = 10;

/// One line of the file: kind, name and bytes.
struct Sample {
    kind: String,
    name: String,
    bytes: Vec<u8>,
}

fn samples() -> Vec<Sample> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("data/stored_formats.txt");
    let text = std::fs::read_to_string(file).expect("data/stored_formats.txt can be read");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let sample = |line: &str| {
        let mut words = line.split(' ');
        let mut next = || words.next().expect("three words").to_string();
        let (kind, name, digits) = (next(), next(), next());
        let bytes = unhex(&digits).expect("hexadecimal digits");
        Sample { kind, name, bytes }
    };
    lines.map(sample).collect()
}

/// Decodes a record and encodes it again.
fn reencode<T: Serialize + DeserializeOwned>(value: &Value) -> Vec<u8> {
    let record: T = from_value(value).expect("a readable record");
    to_cbor(&to_value(&record))
}

/// Decodes the record of a key and encodes it again.
fn reencode_record(key: &str, bytes: &[u8]) -> Vec<u8> {
    let value: Value = from_cbor(bytes).expect("CBOR");
    match PartitionKey::parse(key) {
        Some(PartitionKey::Record(_)) => return reencode::<PartitionRecord>(&value),
        Some(PartitionKey::Claim(_)) => return reencode::<PartitionClaim>(&value),
        None => {}
    }
    match JobKey::parse(key) {
        Some(JobKey::Live(_)) => return reencode::<JobRecord>(&value),
        Some(JobKey::Cancelled(_)) => return reencode::<CancelRecord>(&value),
        None => {}
    }
    match key.split('/').next().expect("a prefix") {
        "leader" => reencode::<LeaderRecord>(&value),
        "stats" => reencode::<StatsRecord>(&value),
        "catalogue" => reencode::<Catalogue>(&value),
        "past" => reencode::<FinishedJobRecord>(&value),
        "done" => reencode::<CompletedTasksPageRecord>(&value),
        "page" => reencode::<AssignmentPageRecord>(&value),
        "hire" => reencode::<ProvisionRecord>(&value),
        "quota" if key == "quota/limits" => reencode::<LimitsRecord>(&value),
        "quota" => reencode::<QuotaGrantRecord>(&value),
        _ => panic!("{key}: no such kind of record"),
    }
}

#[test]
fn frozen_records_are_read_and_written_as_the_same_bytes() {
    let mut records = 0;
    for sample in samples().iter().filter(|s| s.kind == "record") {
        let written = reencode_record(&sample.name, &sample.bytes);
        assert_eq!(written, sample.bytes, "{}", sample.name);
        records += 1;
    }
    assert_eq!(records, RECORD_KINDS);
}

#[test]
fn frozen_peer_messages_are_read_and_written_as_the_same_bytes() {
    let mut messages = 0;
    for sample in samples() {
        let written = match sample.kind.as_str() {
            "request" => to_peer(&from_peer::<PeerRequest>(&sample.bytes).expect("a request")),
            "answer" => to_peer(&from_peer::<PeerResponse>(&sample.bytes).expect("an answer")),
            _ => continue,
        };
        assert_eq!(written, sample.bytes, "{} {}", sample.kind, sample.name);
        messages += 1;
    }
    assert_eq!(messages, MESSAGE_KINDS);
}
