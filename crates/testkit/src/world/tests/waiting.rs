//! Tests with jobs that wait for long while a machine has room.

use super::*;

/// Runs the check in a world in which a job that no controller knows waits while machines have room. The
/// test gives the options of the job and changes the world. Returns after how many seconds the check fails,
/// if it does within 200.
fn seconds_until_violation(options: &str, change: fn(&mut World)) -> Option<u64> {
    let mut world = world_after(
        "check waits\nat 2 submit req-1 tasks=4 run=500\nat 2 submit req-2 tasks=1 team=u run=500",
        4,
    );
    let text = format!("at 4 submit req-3 {options}\nend 9");
    let script = parse(&text).expect("a script");
    world.add_job("req-3", &script.events[0].1).expect("a job");
    world.jobs.get_mut("req-3").expect("a job").accepted = true;
    change(&mut world);
    let from = world.now;
    (0..200).find(|seconds| {
        world.now = from + seconds * SECOND;
        let got = world.check_invariants();
        if let Err(error) = &got {
            let error = error.to_string();
            assert!(error.contains("waits: req-3"), "{error}");
        }
        got.is_err()
    })
}

#[test]
fn long_wait_while_a_machine_has_room_is_a_violation() {
    assert_eq!(seconds_until_violation("cpus=1", |_| ()), Some(90));
    assert_eq!(
        seconds_until_violation("tasks=3 cpus=1 shape=gang", |_| ()),
        Some(90)
    );
    let faults = |world: &mut World| world.faults.end = 60 * SECOND;
    assert_eq!(seconds_until_violation("cpus=1", faults), Some(56 + 90));
    let unchecked = |world: &mut World| world.checks = Checks::default();
    assert_eq!(seconds_until_violation("cpus=1", unchecked), None);
    let started =
        |world: &mut World| world.jobs.get_mut("req-3").expect("a job").last_start = 20 * SECOND;
    assert_eq!(seconds_until_violation("cpus=1", started), Some(16 + 90));
}

/// A job does not count as waiting if no machine has room, fits or can be reached, or its team's limit is used up.
#[test]
fn job_without_room_does_not_count_as_waiting() {
    let drop_all_inbound = |world: &mut World| {
        let machines = world.machines.values_mut();
        for machine in machines.filter(|machine| !machine.is_gone) {
            machine.inbound_dropped_until = 900 * SECOND;
        }
    };
    assert_eq!(
        seconds_until_violation("cpus=8 mem=1", |world| fill_machines(world, 1.0, 0.0)),
        None
    );
    assert_eq!(
        seconds_until_violation("cpus=1 mem=20", |world| fill_machines(world, 0.0, 20.0)),
        None
    );
    assert_eq!(seconds_until_violation("cpus=1 zone=c", |_| ()), None);
    assert_eq!(seconds_until_violation("cpus=1 type=big", |_| ()), None);
    assert_eq!(seconds_until_violation("cpus=1", drop_all_inbound), None);
    assert_eq!(seconds_until_violation("cpus=7 team=u", |_| ()), None);
    assert_eq!(seconds_until_violation("cpus=6 team=u", |_| ()), Some(90));
}

/// A job does not count as waiting if its user has asked to cancel it, or it fails on every machine.
#[test]
fn job_that_need_not_run_does_not_count_as_waiting() {
    let cancel = |world: &mut World| {
        let job = world.jobs.get_mut("req-3").expect("a job");
        job.cancel_requested_at = Some(0);
    };
    assert_eq!(seconds_until_violation("cpus=1", cancel), None);
    assert_eq!(seconds_until_violation("cpus=1 fails=yes", |_| ()), None);
}

/// The zones of a job's other tasks decide on which machines its next task may run.
#[test]
fn zones_of_other_tasks_decide_where_a_job_waits() {
    let beside = |world: &mut World| {
        let there: Vec<String> = world.machines.keys().cloned().collect();
        for (index, name) in there.iter().enumerate() {
            let machine = machine(world, name);
            machine.is_gone = false;
            machine.zone = if index == 0 { "z" } else { "a" }.into();
        }
        add_task(world, &there[0], task("req-3/0", 1.0));
    };
    assert_eq!(seconds_until_violation("tasks=2 cpus=1", beside), Some(90));
    let one_zone = |world: &mut World| {
        let name = world.machines.keys().next().expect("a machine").clone();
        let machine = machine(world, &name);
        (machine.is_gone, machine.zone) = (false, "z".into());
        add_task(world, &name, task("req-3/0", 8.0));
    };
    assert_eq!(
        seconds_until_violation("tasks=2 cpus=1 one_zone=yes", one_zone),
        None
    );
}

/// Adds a task with these CPUs and this memory to every machine, so that the job under test does not fit.
fn fill_machines(world: &mut World, cpus: f64, memory: f64) {
    let teams = &mut world.configuration.settings.teams;
    teams.get_mut("t").expect("a team").cpus_max = 900.0;
    let script = parse("at 1 submit req-4 tasks=9\nend 2").expect("a script");
    world.add_job("req-4", &script.events[0].1).expect("a job");
    world.jobs.get_mut("req-4").expect("a job").spec.memory_gb = memory;
    let names: Vec<String> = world.machines.keys().cloned().collect();
    for (index, name) in names.iter().enumerate() {
        add_task(world, name, task(&format!("req-4/{index}"), cpus));
    }
}
