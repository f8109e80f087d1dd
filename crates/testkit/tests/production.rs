//! Tests of the check of records and messages against the formats of the version in production.

use grebewood_testkit::production::{
    check_peer_request, check_record, known_part_of_peer_answer, known_part_of_peer_request,
};
use grebewood_wire::http::to_value;
use grebewood_wire::records::CancelRecord;
use grebewood_wire::{from_peer, peer, to_peer};
use std::collections::BTreeMap;

/// Checks that a message of a kind that a later version may add is refused and not misinterpreted.
#[test]
fn an_unknown_peer_message_is_refused() {
    #[derive(serde::Serialize)]
    enum Later {
        Greeting { from: String },
    }
    let body = to_peer(&Later::Greeting { from: "a".into() });
    assert!(from_peer::<peer::PeerRequest>(&body).is_err());
    assert!(check_peer_request(&body).is_err());
}

/// Checks that the format check rejects a renamed field and a key that production mistakes for another one.
#[test]
fn a_changed_format_or_a_foreign_key_is_rejected() {
    let cancel = to_value(&CancelRecord { cancelled_us: 7 });
    assert!(check_record("job/req-1/cancel", &cancel).is_ok());
    // The version in production mistakes these keys for those of a job and of an assignment page.
    assert!(check_record("job/req-1/note", &cancel).is_err());
    assert!(check_record("page/1/0", &cancel).is_err());
    assert!(check_record("types/0", &cancel).is_ok());
    let renamed = to_value(&BTreeMap::from([("cancelled_ms", 7)]));
    assert!(check_record("job/req-1/cancel", &renamed).is_err());
}

/// Checks that a simulated controller of the previous version drops the fields that this version does not know.
#[test]
fn fields_that_production_does_not_know_are_dropped() {
    #[derive(serde::Serialize, serde::Deserialize, Default)]
    struct Later {
        member: String,
        state_contact_age_us: Option<u64>,
        token: u64,
        #[serde(default)]
        load: u64,
    }
    #[derive(serde::Serialize, serde::Deserialize)]
    enum LaterRequest {
        Contact {
            from: String,
            #[serde(default)]
            load: u64,
        },
    }
    let answer = Later {
        member: "a".into(),
        token: 7,
        load: 5,
        ..Later::default()
    };
    let known = known_part_of_peer_answer(&to_peer(&answer)).expect("an answer");
    let known: Later = from_peer(&known).expect("an answer");
    assert_eq!(
        (known.member.as_str(), known.token, known.load),
        ("a", 7, 0)
    );
    let request = LaterRequest::Contact {
        from: "a".into(),
        load: 5,
    };
    let known = known_part_of_peer_request(&to_peer(&request)).expect("a request");
    let LaterRequest::Contact { from, load } = from_peer(&known).expect("a request");
    assert_eq!((from.as_str(), load), ("a", 0));
}
