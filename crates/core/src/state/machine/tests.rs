use crate::state::machine::{
    Assignment, FailureAttribution, Machine, ObservedStatus, RESPONSE_TIMEOUT_US,
};
use crate::test_support::first_heartbeat;
use crate::{Micros, SECOND};

fn machine(now: Micros) -> Machine {
    let mut machine = Machine::new(&first_heartbeat(), None, now);
    machine.incarnation = 1;
    machine
}

/// A new leader does not know yet which machines its responses reach. If it did not count its machines as capacity
/// meanwhile, it would provision more of them for work that the fleet can already do.
#[test]
fn a_machine_without_proof_of_responses_counts_for_a_while_but_gets_no_tasks() {
    let (now, max_silence) = (100 * SECOND, 5 * SECOND);
    let mut machine = machine(now);
    machine.unreachable_since = Some(now - SECOND);
    assert!(machine.counts_as_capacity(now, max_silence) && !machine.is_usable(now, max_silence));
    machine.unreachable_since = Some(now - RESPONSE_TIMEOUT_US - SECOND);
    assert!(!machine.counts_as_capacity(now, max_silence));
    machine.receives_responses = true;
    machine.unreachable_since = None;
    assert!(machine.is_usable(now, max_silence));
}

/// The start of a recovered task is unknown, so its run seems too short. If such runs counted, all estimates would
/// become too low.
#[test]
fn a_task_launched_by_an_earlier_leader_is_recovered() {
    let mut assignment = Assignment {
        delivered: false,
        placed_by_holder: false,
        job: 0,
        job_id: "req-1".into(),
        task: 0,
        attempt: 1,
        incarnation: 1,
        page: 0,
        page_version: 0,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        team: "t".into(),
        zone: "a".into(),
        launched: Some((0, 0)),
        observed_status: ObservedStatus::Never,
        decided_at: 0,
        started_at: None,
        expected_stay: 20 * SECOND,
        stop: None,
    };
    assert!(assignment.is_recovered());
    assignment.launched = Some((1, 7));
    assert!(!assignment.is_recovered());
}

/// Two faulty jobs whose tasks fail on the same healthy machine must not have it terminated.
#[test]
fn failures_of_faulty_jobs_are_not_attributed_to_the_machine() {
    let mut healthy = machine(0);
    let broken = |id: &str| id.starts_with("broken");
    for _ in 0..10 {
        healthy.failures.record("broken-1", broken);
        healthy.failures.record("broken-2", broken);
        assert_eq!(healthy.failures.attribution(), FailureAttribution::None);
    }
    healthy.failures.record("req-1", broken);
    healthy.failures.record("broken-1", broken);
    assert_eq!(healthy.failures.attribution(), FailureAttribution::None);
    healthy.failures.record("req-2", broken);
    assert_eq!(
        healthy.failures.attribution(),
        FailureAttribution::ByTwoJobs
    );
}

/// Failures of a single job count against the machine from the fourth on, until the job is likely to be at fault.
#[test]
fn failures_of_one_job_alone_count_from_the_fourth_on() {
    let mut faulty = machine(0);
    for expected in [
        FailureAttribution::None,
        FailureAttribution::None,
        FailureAttribution::None,
        FailureAttribution::ByOneJob,
    ] {
        faulty.failures.record("req-1", |_| false);
        assert_eq!(faulty.failures.attribution(), expected);
    }
    faulty.failures.forget(|id| id == "req-1");
    assert_eq!(faulty.failures.attribution(), FailureAttribution::None);
}
