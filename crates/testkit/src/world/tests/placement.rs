//! Tests with tasks that run where or when they may not.

use super::*;

#[test]
fn task_on_two_machines_is_a_violation() {
    // The check also covers machines that hang, receive no messages, are disconnected, or whose heartbeats are
    // dropped.
    let hide: [fn(&mut Machine); 5] = [
        |_| (),
        |machine| machine.hangs_until = 900 * SECOND,
        |machine| machine.inbound_dropped_until = 900 * SECOND,
        |machine| machine.disconnected_until = 900 * SECOND,
        |machine| machine.heartbeats_dropped_until = 900 * SECOND,
    ];
    for hide in hide {
        let mut world = world_with_running_job();
        let (holder, other) = holder_and_other(&world, "req-1");
        let copy = world.machines[&holder].tasks[0].clone();
        add_task(&mut world, &other, copy);
        hide(machine(&mut world, &other));
        assert_violation(world.play_until(5 * SECOND), "ran_twice");
    }
    // Two attempts of a task on one machine also break the rule.
    let mut world = world_with_running_job();
    let (holder, _) = holder_and_other(&world, "req-1");
    let mut again = world.machines[&holder].tasks[0].clone();
    again.attempt += 1;
    add_task(&mut world, &holder, again);
    assert_violation(world.play_until(5 * SECOND), "ran_twice");
    // A task that has exited does not count.
    let mut world = world_with_running_job();
    let mut ended = world.machines[&holder].tasks[0].clone();
    (ended.status, ended.cause) = (TaskStatus::Exited, Some("stopped"));
    let mut others = world.machines.keys().filter(|name| **name != holder);
    let other = others.next().expect("another machine").clone();
    add_task(&mut world, &other, ended);
    assert_eq!(world.check_invariants(), Ok(()));
}

#[test]
fn team_above_its_limit_is_a_violation() {
    let mut world = world_with_running_job();
    assert_eq!(world.check_invariants(), Ok(()));
    let (_, other) = holder_and_other(&world, "req-1");
    machine(&mut world, &other).hangs_until = 900 * SECOND;
    add_task(&mut world, &other, task("req-1/9", 24.1));
    assert_violation(world.check_invariants(), "quota: t uses");
    assert_violation(world.play_until(5 * SECOND), "quota: t uses");
    machine(&mut world, &other).tasks.clear();
    add_task(&mut world, &other, task("req-1/9", 24.0));
    assert_eq!(world.check_invariants(), Ok(()));
}

/// Starts a task of a job with these options on a machine that meets the condition.
fn start_task(options: &str, choose: fn(&Machine) -> bool) -> StepResult {
    let text = format!("at 2 submit req-1 tasks=4 run=500\nat 4 submit req-2 run=500 {options}");
    let mut world = world_after(&text, 4);
    world
        .play_until(4 * SECOND + MILLISECOND)
        .expect("no rule is broken before the task starts");
    let mut machines = world.present_machines();
    let chosen = machines.find(|machine| machine.is_up && choose(machine));
    let chosen = chosen.expect("a machine").name.clone();
    drop(machines);
    add_task(&mut world, &chosen, task("req-2/0", 2.0));
    world.check_starts(&chosen, &["req-2/0".to_string()])
}

#[test]
fn task_in_the_wrong_place_is_a_violation() {
    assert_eq!(start_task("zone=a", |machine| machine.zone == "a"), Ok(()));
    assert_violation(
        start_task("zone=b", |machine| machine.zone == "a"),
        "wrong_place",
    );
    assert_violation(
        start_task("type=other", |machine| machine.zone == "a"),
        "wrong_place",
    );
    let mut world = world_with_running_job();
    let (holder, _) = holder_and_other(&world, "req-1");
    machine(&mut world, &holder).spot = true;
    let change_spec = |world: &mut World, change: fn(&mut Submission)| {
        change(&mut world.jobs.get_mut("req-1").expect("a job").spec);
    };
    change_spec(&mut world, |spec| spec.spot = false);
    let task_name = ["req-1/0".to_string()];
    assert_violation(world.check_starts(&holder, &task_name), "wrong_place");
    change_spec(&mut world, |spec| spec.spot = true);
    assert_eq!(world.check_starts(&holder, &task_name), Ok(()));
    // With all tasks in one zone a job is not spread; with a task in another zone it is not in one zone.
    change_spec(&mut world, |spec| spec.spread = true);
    for machine in world.machines.values_mut() {
        machine.zone = "a".into();
    }
    assert_violation(world.check_starts(&holder, &task_name), "not spread");
    change_spec(&mut world, |spec| {
        (spec.spread, spec.one_zone) = (false, true)
    });
    assert_eq!(world.check_starts(&holder, &task_name), Ok(()));
    let (_, other) = holder_and_other(&world, "req-1");
    machine(&mut world, &other).zone = "b".into();
    add_task(&mut world, &other, task("req-1/9", 2.0));
    assert_violation(world.check_starts(&holder, &task_name), "in several zones");
}

#[test]
fn late_start_after_a_confirmed_cancellation_is_a_violation() {
    let mut world = world_after(
        "at 2 submit req-1 tasks=4 run=500\nat 4 cancel req-1\nat 5 late_starts most=0",
        5,
    );
    let confirmed = world.jobs["req-1"].cancelled_at.expect("a confirmation");
    let there = world.present_machines().next().expect("a machine");
    let name = there.name.clone();
    add_task(&mut world, &name, task("req-1/0", 2.0));
    let task_name = ["req-1/0".to_string()];
    let late_starts = |most: &str| directive("late_starts", &[("most", most)]);
    assert_eq!(world.run_directive(&late_starts("0")), Ok(()));
    // A start within the cancellation timeout is only counted.
    assert_eq!(world.check_starts(&name, &task_name), Ok(()));
    assert_eq!(world.run_directive(&late_starts("1")), Ok(()));
    let counted = world.run_directive(&late_starts("0"));
    assert_violation(counted, "1 tasks of cancelled jobs started");
    assert_eq!(world.check_invariants(), Ok(()));
    // After the timeout, both a start and the presence of the task are violations, also on a machine that hangs.
    world.now = confirmed + world.configuration.settings.cancel_timeout + 1;
    assert_violation(world.check_starts(&name, &task_name), "ran_cancelled");
    machine(&mut world, &name).hangs_until = 900 * SECOND;
    assert_violation(world.check_invariants(), "ran_cancelled");
}
