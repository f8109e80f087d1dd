//! Tests of copies of heartbeats and of lost direct commands.

use super::*;

#[test]
fn forbidden_commands_in_the_response_to_a_copy_are_a_violation() {
    let response = |verb: &str| {
        let commands = vec![Command {
            verb: verb.into(),
            task_name: "req-1/0".into(),
            attempt: 1,
            grace_s: None,
        }];
        to_cbor(&HeartbeatResponse { token: 9, commands })
    };
    let mut world = world_with_running_job();
    for (is_newer, verb, fine) in [
        (false, "launch", false),
        (false, "stop", false),
        (false, "reap", false),
        (true, "launch", false),
        (true, "stop", true),
        (true, "reap", true),
    ] {
        let requester = Requester::HeartbeatCopy { is_newer };
        let got = world.handle_response(requester, 0, 200, response(verb));
        assert_eq!(got.is_ok(), fine, "{is_newer} {verb}: {got:?}");
    }
}

/// Returns how many copies met a leader of a newer token, as the directive `copied` counts them.
fn copies_at_newer_leader(world: &mut World) -> usize {
    let holds = |least: &usize| {
        let check = directive(&format!("copies_at_newer_leader {least}"), &[]);
        world.run_directive(&check).is_ok()
    };
    (0..).take_while(holds).count() - 1
}

#[test]
fn newest_heartbeat_under_a_token_is_recognised() {
    let mut world = world_with_running_job();
    let leader = leader_of(&world);
    let (holder, _) = holder_and_other(&world, "req-1");
    let newest = machine(&mut world, &holder).build_heartbeat(4 * SECOND);
    let copy = |incarnation, sequence, token| {
        let heartbeat = Heartbeat {
            incarnation,
            sequence,
            token,
            ..newest.clone()
        };
        to_cbor(&heartbeat)
    };
    let (incarnation, sequence, token) = (newest.incarnation, newest.sequence, newest.token);
    let copied = Requester::HeartbeatCopy { is_newer: false };
    // In the world so far, the leader has received all heartbeats but the newest one under its current token.
    for (incarnation, sequence, first) in [
        (incarnation, sequence - 1, false),
        (incarnation, sequence, true),
        (incarnation, sequence, false),
        (incarnation + 1, 1, true),
        (incarnation, sequence + 9, false),
    ] {
        let body = copy(incarnation, sequence, token);
        let noted = world.note_heartbeat(leader, &body, &copied);
        assert_eq!(noted, first, "{incarnation} {sequence}");
    }
    // No other controller leads.
    let other = (leader + 1) % 3;
    let body = copy(incarnation, sequence, token);
    assert!(!world.note_heartbeat(other, &body, &copied));
    // Copies with older tokens are counted; heartbeats themselves are not.
    assert_eq!(copies_at_newer_leader(&mut world), 0);
    let older = copy(incarnation, sequence, token - 1);
    world.note_heartbeat(leader, &older, &copied);
    assert_eq!(copies_at_newer_leader(&mut world), 1);
    let agent = Requester::Heartbeat {
        machine: holder.clone(),
        heartbeat_id: 1,
    };
    world.note_heartbeat(leader, &older, &agent);
    assert_eq!(copies_at_newer_leader(&mut world), 1);
}

#[test]
fn lost_direct_command_is_carried_out_late_without_a_response() {
    let mut world = world_with_running_job();
    let (holder, _) = holder_and_other(&world, "req-1");
    let first = world.machines[&holder].tasks[0].clone();
    let commands = vec![Command {
        verb: "stop".into(),
        task_name: first.task_name.clone(),
        attempt: first.attempt,
        grace_s: None,
    }];
    let body = to_cbor(&DirectCommands {
        token: world.machines[&holder].token,
        incarnation: world.machines[&holder].incarnation,
        commands,
    });
    let lose = directive(&format!("lose direct {holder}"), &[("late", "6")]);
    world.run_directive(&lose).expect("a fault");
    let caller = call_of_first(&world);
    world.queue.clear();
    world
        .handle_direct_command(caller, &format!("worker:{holder}"), &body)
        .expect("no fault");
    let is_live = |world: &World| {
        let mut tasks = world.machines[&holder].live_tasks();
        tasks.any(|task| task.task_name == first.task_name)
    };
    assert!(is_live(&world));
    let ((at, _), late) = world.queue.pop_first().expect("a late command");
    assert_eq!((at, world.queue.len()), (world.now + 6 * SECOND, 0));
    world.now = at;
    let Event::DirectCommand(nobody, address, body) = late else {
        panic!("no command")
    };
    world
        .handle_direct_command(nobody, &address, &body)
        .expect("no fault");
    assert!(!is_live(&world));
    // The response to the command reaches no process.
    let reaches = |event: &Event| matches!(event, Event::Input(_, process, _) if *process != 0);
    assert!(!world.queue.values().any(reaches));
}
