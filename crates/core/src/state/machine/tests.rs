use crate::state::machine::{Assignment, FailureAttribution, Machine, ObservedStatus, ANSWER_TIME};
use crate::test_support::first_heartbeat;
use crate::{Micros, SECOND};

fn machine(now: Micros) -> Machine {
    let mut m = Machine::new(&first_heartbeat(), None, now);
    m.incarnation = 1;
    m
}

/// A new leader, to whom no machine has shown yet that it hears, once rented for work that
/// its machines covered.
#[test]
fn a_machine_that_has_yet_to_hear_counts_for_a_while_but_gets_no_work() {
    let (now, silence) = (100 * SECOND, 5 * SECOND);
    let mut m = machine(now);
    m.unreachable_since = Some(now - SECOND);
    assert!(m.counts(now, silence) && !m.usable(now, silence));
    m.unreachable_since = Some(now - ANSWER_TIME - SECOND);
    assert!(!m.counts(now, silence));
    m.receives_responses = true;
    m.unreachable_since = None;
    assert!(m.usable(now, silence));
}

/// The runs of tasks that were taken over seemed short, and made all estimates too low.
#[test]
fn a_task_of_an_earlier_leader_is_known_as_such() {
    let mut a = Assignment {
        delivered: false,
        by_holder: false,
        job: 0,
        job_id: "req-1".into(),
        task: 0,
        attempt: 1,
        incarnation: 1,
        page: 0,
        written: 0,
        cpus: 1.0,
        gpus: 0.0,
        memory: 1.0,
        team: "t".into(),
        zone: "a".into(),
        launched: Some((0, 0)),
        seen: ObservedStatus::Never,
        decided: 0,
        started: None,
        expected: 20 * SECOND,
        stop: None,
    };
    assert!(a.recovered());
    a.launched = Some((1, 7));
    assert!(!a.recovered());
}

/// Two jobs with a mistake that met on a machine once had it returned, though it was sound.
#[test]
fn failures_of_suspect_jobs_say_nothing_of_a_machine() {
    let mut sound = machine(0);
    let broken = |id: &str| id.starts_with("broken");
    for _ in 0..10 {
        sound.note_failure("broken-1", broken);
        sound.note_failure("broken-2", broken);
        assert_eq!(sound.blame(), FailureAttribution::None);
    }
    sound.note_failure("req-1", broken);
    sound.note_failure("broken-1", broken);
    assert_eq!(sound.blame(), FailureAttribution::None);
    sound.note_failure("req-2", broken);
    assert_eq!(sound.blame(), FailureAttribution::ByTwoJobs);
}

/// One job alone is blamed after its fourth failure, and takes all of them with it once it is suspect.
#[test]
fn failures_of_one_job_alone_are_blamed_after_the_fourth() {
    let mut faulty = machine(0);
    for expected in [
        FailureAttribution::None,
        FailureAttribution::None,
        FailureAttribution::None,
        FailureAttribution::ByOneJob,
    ] {
        faulty.note_failure("req-1", |_| false);
        assert_eq!(faulty.blame(), expected);
    }
    faulty.forget_failures(|id| id == "req-1");
    assert_eq!(faulty.blame(), FailureAttribution::None);
}
