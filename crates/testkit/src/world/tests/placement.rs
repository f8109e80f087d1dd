//! Breaches of where and when tasks may run.

use super::*;

#[test]
fn a_task_on_two_machines() {
    // Also where nobody sees it: on a machine that hangs, is deaf, unplugged or mute.
    let hide: [fn(&mut Machine); 5] = [
        |_| (),
        |machine| machine.hangs_until = 900 * SECOND,
        |machine| machine.deaf_until = 900 * SECOND,
        |machine| machine.unplugged_until = 900 * SECOND,
        |machine| machine.mute_until = 900 * SECOND,
    ];
    for hide in hide {
        let mut world = running();
        let (holder, other) = holder_and_other(&world, "req-1");
        let copy = world.machines[&holder].tasks[0].clone();
        plant(&mut world, &other, copy);
        hide(machine(&mut world, &other));
        broken(world.play_until(5 * SECOND), "ran_twice");
    }
    // Two attempts on one machine are two.
    let mut world = running();
    let (holder, _) = holder_and_other(&world, "req-1");
    let mut again = world.machines[&holder].tasks[0].clone();
    again.attempt += 1;
    plant(&mut world, &holder, again);
    broken(world.play_until(5 * SECOND), "ran_twice");
    // What is gone or has exited is on no machine.
    let mut world = running();
    let mut ended = world.machines[&holder].tasks[0].clone();
    (ended.status, ended.cause) = (TaskStatus::Exited, Some("stopped"));
    let mut others = world.machines.keys().filter(|name| **name != holder);
    let other = others.next().expect("another machine").clone();
    plant(&mut world, &other, ended);
    assert_eq!(world.check_invariants(), Ok(()));
}

#[test]
fn a_team_beyond_its_limit() {
    let mut world = running();
    assert_eq!(world.check_invariants(), Ok(()));
    let (_, other) = holder_and_other(&world, "req-1");
    machine(&mut world, &other).hangs_until = 900 * SECOND;
    plant(&mut world, &other, task("req-1/9", 24.1));
    broken(world.check_invariants(), "quota: t uses");
    broken(world.play_until(5 * SECOND), "quota: t uses");
    machine(&mut world, &other).tasks.clear();
    plant(&mut world, &other, task("req-1/9", 24.0));
    assert_eq!(world.check_invariants(), Ok(()));
}

/// Starts a task of a job with these options on a machine that is chosen so.
fn start(options: &str, choose: fn(&Machine) -> bool) -> StepResult {
    let text = format!("at 2 submit req-1 tasks=4 run=500\nat 4 submit req-2 run=500 {options}");
    let mut world = world_after(&text, 4);
    world
        .play_until(4 * SECOND + MILLISECOND)
        .expect("no fault yet");
    let mut machines = world.present_machines();
    let chosen = machines.find(|machine| machine.is_up && choose(machine));
    let chosen = chosen.expect("a machine").name.clone();
    drop(machines);
    plant(&mut world, &chosen, task("req-2/0", 2.0));
    world.check_starts(&chosen, &["req-2/0".to_string()])
}

#[test]
fn a_task_in_the_wrong_place() {
    assert_eq!(start("zone=a", |machine| machine.zone == "a"), Ok(()));
    broken(
        start("zone=b", |machine| machine.zone == "a"),
        "wrong_place",
    );
    broken(
        start("type=other", |machine| machine.zone == "a"),
        "wrong_place",
    );
    let mut world = running();
    let (holder, _) = holder_and_other(&world, "req-1");
    machine(&mut world, &holder).spot = true;
    let change_spec = |world: &mut World, change: fn(&mut Submission)| {
        change(&mut world.jobs.get_mut("req-1").expect("a job").spec);
    };
    change_spec(&mut world, |spec| spec.spot = false);
    let task_name = ["req-1/0".to_string()];
    broken(world.check_starts(&holder, &task_name), "wrong_place");
    change_spec(&mut world, |spec| spec.spot = true);
    assert_eq!(world.check_starts(&holder, &task_name), Ok(()));
    // Alone in a zone it is not spread; with one elsewhere it is not in one zone.
    change_spec(&mut world, |spec| spec.spread = true);
    for machine in world.machines.values_mut() {
        machine.zone = "a".into();
    }
    broken(world.check_starts(&holder, &task_name), "not spread");
    change_spec(&mut world, |spec| {
        (spec.spread, spec.one_zone) = (false, true)
    });
    assert_eq!(world.check_starts(&holder, &task_name), Ok(()));
    let (_, other) = holder_and_other(&world, "req-1");
    machine(&mut world, &other).zone = "b".into();
    plant(&mut world, &other, task("req-1/9", 2.0));
    broken(world.check_starts(&holder, &task_name), "in several zones");
}

#[test]
fn a_start_after_a_confirmed_cancellation() {
    let mut world = world_after(
        "at 2 submit req-1 tasks=4 run=500\nat 4 cancel req-1\nat 5 late_starts most=0",
        5,
    );
    let confirmed = world.jobs["req-1"].cancelled_at.expect("a confirmation");
    let there = world.present_machines().next().expect("a machine");
    let name = there.name.clone();
    plant(&mut world, &name, task("req-1/0", 2.0));
    let task_name = ["req-1/0".to_string()];
    let late_starts = |most: &str| directive("late_starts", &[("most", most)]);
    assert_eq!(world.run_directive(&late_starts("0")), Ok(()));
    // In time it is counted, and no more than that.
    assert_eq!(world.check_starts(&name, &task_name), Ok(()));
    assert_eq!(world.run_directive(&late_starts("1")), Ok(()));
    let counted = world.run_directive(&late_starts("0"));
    broken(counted, "1 tasks of cancelled jobs started");
    assert_eq!(world.check_invariants(), Ok(()));
    // Later than that it is a breach, and so is that it is there; on a machine that hangs, too.
    world.now = confirmed + world.configuration.settings.cancel_timeout + 1;
    broken(world.check_starts(&name, &task_name), "ran_cancelled");
    machine(&mut world, &name).hangs_until = 900 * SECOND;
    broken(world.check_invariants(), "ran_cancelled");
}
