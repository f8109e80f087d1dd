//! Tests of controllers that stand for the previous version.

use super::*;
use grebewood_wire::{from_peer, to_peer};

/// A request of a version that adds a field.
#[derive(serde::Serialize, serde::Deserialize)]
enum LaterRequest {
    Contact {
        from: String,
        #[serde(default)]
        load: u64,
    },
}

/// An answer of a version that adds a field.
#[derive(serde::Serialize, serde::Deserialize)]
struct LaterAnswer {
    member: String,
    store_contact_age_us: Option<u64>,
    token: u64,
    #[serde(default)]
    load: u64,
}

/// Sends a request from controller 0 to controller 1. Returns the `load` that arrives.
fn load_of_request(world: &mut World, caller: Caller) -> u64 {
    world.queue.clear();
    let call = Call {
        id: caller.call,
        target: Target::Peer(0),
        method: "POST",
        path: "/peer".into(),
        body: to_peer(&LaterRequest::Contact {
            from: "perch-0".into(),
            load: 5,
        }),
        timeout: SECOND,
    };
    world.send_call(caller, call);
    let Some((_, Event::Request(request))) = world.queue.pop_first() else {
        panic!("no request")
    };
    assert_eq!(request.controller, 1);
    let LaterRequest::Contact { load, .. } = from_peer(&request.body).expect("a request");
    load
}

/// Sends an answer from controller 1. Returns the `load` that arrives.
fn load_of_answer(world: &mut World, caller: Caller) -> u64 {
    let answer = to_peer(&LaterAnswer {
        member: "perch-1".into(),
        store_contact_age_us: None,
        token: 1,
        load: 5,
    });
    world
        .handle_response(Requester::Peer(caller), 1, 200, answer)
        .expect("no fault");
    let Some((_, Event::Input(0, _, Input::Reply { outcome, .. }))) = world.queue.pop_first()
    else {
        panic!("no reply")
    };
    let Outcome::Answer { body, .. } = outcome else {
        panic!("no answer")
    };
    let answer: LaterAnswer = from_peer(&body).expect("an answer");
    answer.load
}

#[test]
fn previous_version_drops_unknown_fields() {
    for (previous, load) in [(None, 5), (Some(0), 0), (Some(1), 0), (Some(2), 5)] {
        let mut world = world_with_running_job();
        world.configuration.previous_version.extend(previous);
        let caller = call_of_first(&world);
        assert_eq!(load_of_request(&mut world, caller), load, "{previous:?}");
        assert_eq!(load_of_answer(&mut world, caller), load, "{previous:?}");
    }
}
