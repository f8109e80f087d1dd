//! Tests of what a controller knows of cancellations after reads of the store and responses of its peers.

use crate::cancellations::{Cancellations, MAX_KNOWN_CANCELLATIONS, MAX_LISTED_CANCELLATIONS};
use crate::{Micros, SECOND};

/// Returns the cancellations that a controller knows which has run since `since`, and confirmed the cancellation of
/// `job` to a user at `confirmed_at`.
fn peer_that_confirmed(since: Micros, job: &str, confirmed_at: Micros) -> Cancellations {
    let mut cancellations = Cancellations::default();
    cancellations.record_process_start(since);
    cancellations.confirm(job, confirmed_at, 77);
    cancellations
}

#[test]
fn a_complete_answer_makes_certain_as_of_its_question() {
    let mut cancellations = Cancellations::default();
    assert_eq!(cancellations.known_until(2, 50 * SECOND), None);
    cancellations.record_store_read(10 * SECOND);
    assert_eq!(cancellations.known_until(2, 50 * SECOND), Some(10 * SECOND));
    cancellations.record_peer_list(0, 20 * SECOND, 0);
    assert_eq!(cancellations.known_until(2, 50 * SECOND), Some(10 * SECOND));
    cancellations.record_peer_list(1, 19 * SECOND, 9 * SECOND);
    assert_eq!(cancellations.known_until(2, 50 * SECOND), Some(19 * SECOND));
    // A late response to an earlier contact request does not move the moment back.
    cancellations.record_peer_list(1, 15 * SECOND, 9 * SECOND);
    assert_eq!(cancellations.known_until(2, 50 * SECOND), Some(19 * SECOND));
}

/// No process remembers what a peer confirmed right before it was killed.
#[test]
fn a_peer_that_restarted_since_makes_nothing_certain() {
    let mut cancellations = Cancellations::default();
    cancellations.record_store_read(10 * SECOND);
    cancellations.record_peer_list(0, 20 * SECOND, 0);
    cancellations.record_peer_list(0, 30 * SECOND, 20 * SECOND + 1);
    assert_eq!(cancellations.known_until(1, 50 * SECOND), Some(20 * SECOND));
    // After the next read of the store, the time that the restarted peer remembers is long enough.
    cancellations.record_store_read(25 * SECOND);
    cancellations.record_peer_list(0, 31 * SECOND, 20 * SECOND + 1);
    assert_eq!(cancellations.known_until(1, 50 * SECOND), Some(31 * SECOND));
}

#[test]
fn without_peers_nobody_else_can_confirm() {
    assert_eq!(
        Cancellations::default().known_until(0, 7 * SECOND),
        Some(7 * SECOND)
    );
}

#[test]
fn a_controller_lists_what_it_confirmed_and_since_when_it_remembers() {
    let mut peer = peer_that_confirmed(2 * SECOND, "req-1", 5 * SECOND);
    peer.learn("req-2", 99);
    peer.confirm("req-1", 8 * SECOND, 99);
    let answer = peer.list_confirmed(4, None, 10 * SECOND);
    assert_eq!(answer.question, 4);
    assert_eq!(answer.complete_for_us, Some(8 * SECOND));
    assert_eq!(answer.jobs, vec![("req-1".to_string(), 5 * SECOND)]);
    assert!(peer
        .list_confirmed(4, Some(4 * SECOND), 10 * SECOND)
        .jobs
        .is_empty());
    peer.forget("req-1");
    assert!(peer.list_confirmed(4, None, 10 * SECOND).jobs.is_empty());
}

#[test]
fn an_incomplete_list_does_not_claim_to_be_complete() {
    let mut peer = peer_that_confirmed(0, "req-0", SECOND);
    for n in 1..=MAX_LISTED_CANCELLATIONS {
        peer.confirm(&format!("req-{n}"), SECOND, 5);
    }
    assert_eq!(
        peer.list_confirmed(1, None, 2 * SECOND).complete_for_us,
        None
    );
    assert_eq!(
        peer.list_confirmed(1, Some(SECOND / 2), 2 * SECOND)
            .complete_for_us,
        Some(2 * SECOND)
    );
}

#[test]
fn what_was_dropped_is_not_remembered() {
    let mut peer = peer_that_confirmed(0, "req-first", 3 * SECOND);
    for n in 0..MAX_KNOWN_CANCELLATIONS {
        peer.learn(&format!("req-{n:05}"), 100 + n as u64);
    }
    assert!(peer.get("req-first").is_none());
    let from = peer.list_confirmed(1, Some(0), 10 * SECOND).complete_for_us;
    assert_eq!(from, Some(7 * SECOND - 1));
}
