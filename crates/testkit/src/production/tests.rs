use super::*;
use grebewood_wire::http::from_value;
use grebewood_wire::{peer, records};

/// Reads records and messages that the version in production wrote and sent, both with the current version and
/// with the frozen definitions. This guards against formats that the current version can no longer read, and
/// against frozen definitions that differ from those of the version in production.
#[test]
fn records_and_messages_of_production_are_read() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/data/production.txt");
    let text = std::fs::read_to_string(path).expect("records and messages of production");
    let (mut records, mut messages) = (0, 0);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let bytes = |index: usize| crate::unhex(words[index]).expect("hexadecimal digits");
        match words[0] {
            "record" => {
                let value: Value = from_cbor(&bytes(3)).expect("a value");
                let key = words[1];
                check_record(key, &value).expect(key);
                read_as_current_version(key, &value).expect(key);
                records += 1;
            }
            "peer-request" => {
                check_peer_request(&bytes(1)).expect("a message");
                from_peer::<peer::PeerRequest>(&bytes(1)).expect("a message");
                messages += 1;
            }
            "peer-answer" => {
                check_peer_answer(&bytes(1)).expect("an answer");
                from_peer::<peer::PeerResponse>(&bytes(1)).expect("an answer");
                messages += 1;
            }
            _ => {}
        }
    }
    assert!(records > 10 && messages > 5);
}

/// Decodes the value under a key of the key-value store with the record types of the program under test, not with
/// the frozen definitions of the version in production.
fn read_as_current_version(key: &str, value: &Value) -> Result<(), grebewood_wire::DecodeError> {
    use grebewood_wire::http::Catalogue;
    use records::*;
    match key.split('/').next().unwrap_or_default() {
        "job" if key.ends_with(CANCEL_SUFFIX) => from_value::<CancelRecord>(value).map(drop),
        "job" => from_value::<JobRecord>(value).map(drop),
        "past" => from_value::<FinishedJobRecord>(value).map(drop),
        "done" => from_value::<CompletedTasksPageRecord>(value).map(drop),
        "page" => from_value::<AssignmentPageRecord>(value).map(drop),
        "hire" => from_value::<ProvisionRecord>(value).map(drop),
        "stats" => from_value::<StatsRecord>(value).map(drop),
        "leader" => from_value::<LeaderRecord>(value).map(drop),
        "catalogue" => from_value::<Catalogue>(value).map(drop),
        _ => Err(grebewood_wire::DecodeError("no such record".into())),
    }
}
