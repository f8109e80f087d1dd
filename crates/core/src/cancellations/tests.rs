use crate::cancellations::{Cancellations, MAX_KNOWN, MAX_TOLD};
use crate::{Micros, SECOND};

const S: Micros = SECOND;

/// Another node that has run since `since`, and told a user at `told` that `job` is cancelled.
fn peer(since: Micros, job: &str, told: Micros) -> Cancellations {
    let mut c = Cancellations::default();
    c.begin(since);
    c.tell(job, told, 77);
    c
}

#[test]
fn a_complete_answer_makes_certain_as_of_its_question() {
    let mut c = Cancellations::default();
    assert_eq!(c.certain(2, 50 * S), None);
    c.read_as_of(10 * S);
    assert_eq!(c.certain(2, 50 * S), Some(10 * S));
    c.covered(0, 20 * S, 0);
    assert_eq!(c.certain(2, 50 * S), Some(10 * S));
    c.covered(1, 19 * S, 9 * S);
    assert_eq!(c.certain(2, 50 * S), Some(19 * S));
    // An answer to an earlier question, come late, takes nothing back.
    c.covered(1, 15 * S, 9 * S);
    assert_eq!(c.certain(2, 50 * S), Some(19 * S));
}

/// What a peer told right before it was killed is in nobody's memory.
#[test]
fn a_peer_that_restarted_since_makes_nothing_certain() {
    let mut c = Cancellations::default();
    c.read_as_of(10 * S);
    c.covered(0, 20 * S, 0);
    c.covered(0, 30 * S, 20 * S + 1);
    assert_eq!(c.certain(1, 50 * S), Some(20 * S));
    // Once state has been read again, its memory goes back far enough.
    c.read_as_of(25 * S);
    c.covered(0, 31 * S, 20 * S + 1);
    assert_eq!(c.certain(1, 50 * S), Some(31 * S));
}

#[test]
fn without_peers_nobody_else_can_confirm() {
    assert_eq!(Cancellations::default().certain(0, 7 * S), Some(7 * S));
}

#[test]
fn a_node_lists_what_it_told_and_since_when_it_remembers() {
    let mut p = peer(2 * S, "req-1", 5 * S);
    p.learn("req-2", 99);
    p.tell("req-1", 8 * S, 99);
    let answer = p.confirmed(4, None, 10 * S);
    assert_eq!(answer.question, 4);
    assert_eq!(answer.remembers_us, Some(8 * S));
    assert_eq!(answer.jobs, vec![("req-1".to_string(), 5 * S)]);
    assert!(p.confirmed(4, Some(4 * S), 10 * S).jobs.is_empty());
    p.forget("req-1");
    assert!(p.confirmed(4, None, 10 * S).jobs.is_empty());
}

#[test]
fn a_list_that_is_not_whole_does_not_say_that_it_is() {
    let mut p = peer(0, "req-0", S);
    for n in 1..=MAX_TOLD {
        p.tell(&format!("req-{n}"), S, 5);
    }
    assert_eq!(p.confirmed(1, None, 2 * S).remembers_us, None);
    assert_eq!(p.confirmed(1, Some(S / 2), 2 * S).remembers_us, Some(2 * S));
}

#[test]
fn what_was_dropped_is_not_remembered() {
    let mut p = peer(0, "req-first", 3 * S);
    for n in 0..MAX_KNOWN {
        p.learn(&format!("req-{n:05}"), 100 + n as u64);
    }
    assert!(p.get("req-first").is_none());
    let from = p.confirmed(1, Some(0), 10 * S).remembers_us;
    assert_eq!(from, Some(7 * S - 1));
}
