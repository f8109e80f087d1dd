//! Tests of the check that controllers answer agents only while their record is in the key-value store.

use super::*;
use grebewood_core::Effect;

/// A fencing token that is never on record.
const NEVER_ON_RECORD: u64 = 1 << 40;

/// Handles an answer of controller 0 to an agent under this token, and returns the violation that the check found.
fn answer_agent(world: &mut World, token: u64, status: u16) -> Option<String> {
    let request = world.next_number();
    let requester = Requester::Heartbeat {
        machine: "n-000000".into(),
        heartbeat_id: request,
    };
    world.calls.requests.insert((0, request), requester);
    let body = to_cbor(&HeartbeatResponse {
        token,
        commands: Vec::new(),
    });
    let effect = Effect::Answer {
        id: request,
        status,
        body,
        retry_after: None,
    };
    world.check_fencing_token(0, &effect);
    world
        .violation
        .take()
        .map(|violation| violation.to_string())
}

/// Plays on for this time, in which nothing may be violated.
fn play_on(world: &mut World, time: Micros) {
    world.play_until(world.now + time).expect("no violation");
}

#[test]
fn answers_to_agents_without_a_record_for_longer_than_a_lease_are_a_violation() {
    let mut world = world_with_running_job();
    let lease = world.configuration.settings.agent_lease;
    let token = world.store.entries_with_prefix("leader").next();
    let (_, _, on_record) = token.expect("a leader record");
    for token in [on_record, NEVER_ON_RECORD] {
        assert_eq!(answer_agent(&mut world, token, 200), None);
    }
    play_on(&mut world, lease + SECOND);
    assert_eq!(answer_agent(&mut world, on_record, 200), None);
    assert_eq!(answer_agent(&mut world, NEVER_ON_RECORD, 421), None);
    let violation = answer_agent(&mut world, NEVER_ON_RECORD, 200).expect("a violation");
    assert!(violation.contains("has been gone"), "{violation}");
}

/// A controller that gets no answers from the key-value store cannot know that its record is gone.
#[test]
fn time_without_contact_to_the_store_does_not_count() {
    for fault in ["cut 0 store", "cut 0 all", "refuse 0", "store down"] {
        let mut world = world_with_running_job();
        let lease = world.configuration.settings.agent_lease;
        assert_eq!(answer_agent(&mut world, NEVER_ON_RECORD, 200), None);
        let cut = directive(fault, &[("for", "11")]);
        world.run_directive(&cut).expect("a fault");
        play_on(&mut world, lease + SECOND);
        assert_eq!(
            answer_agent(&mut world, NEVER_ON_RECORD, 200),
            None,
            "{fault}"
        );
        play_on(&mut world, lease + SECOND);
        let violation = answer_agent(&mut world, NEVER_ON_RECORD, 200);
        assert!(violation.is_some(), "{fault}");
    }
}
