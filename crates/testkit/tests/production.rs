//! The check of formats against the version in production.

use grebewood_testkit::production::{check_peer_request, check_record};
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
