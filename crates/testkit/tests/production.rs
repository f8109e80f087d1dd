//! The check of formats against the version in production.

use grebewood_testkit::production::{
    check_peer_request, check_record, known_part_of_peer_answer, known_part_of_peer_request,
};
use grebewood_wire::http::to_value;
use grebewood_wire::records::CancelRecord;
use grebewood_wire::{from_peer, peer, to_peer};
use std::collections::BTreeMap;

/// A message that a later version may send: it is refused, not misread.
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

/// The check itself must notice what it is there to notice.
#[test]
fn a_changed_format_or_a_foreign_key_is_noticed() {
    let cancel = to_value(&CancelRecord { cancelled_us: 7 });
    assert!(check_record("job/req-1/cancel", &cancel).is_ok());
    // A key that it takes for a job's, and for a page of assignments.
    assert!(check_record("job/req-1/note", &cancel).is_err());
    assert!(check_record("page/1/0", &cancel).is_err());
    assert!(check_record("types/0", &cancel).is_ok());
    let renamed = to_value(&BTreeMap::from([("cancelled_ms", 7)]));
    assert!(check_record("job/req-1/cancel", &renamed).is_err());
}

/// A node that stands for the version before passes on only what that one knows.
#[test]
fn what_production_does_not_know_is_lost() {
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
