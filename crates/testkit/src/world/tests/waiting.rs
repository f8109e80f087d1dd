//! Jobs that wait for long while a machine has room.

use super::*;

/// A world in which a job that no controller knows waits beside room; what it needs is up to the test.
/// The result says after how many seconds the check breaks, if it does within 200.
fn waits(options: &str, change: fn(&mut World)) -> Option<u64> {
    let mut world = world_after(
        "check waits\nat 2 submit req-1 tasks=4 run=500\nat 2 submit req-2 tasks=1 owner=u run=500",
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
fn a_job_that_waits_beside_room() {
    assert_eq!(waits("cpus=1", |_| ()), Some(90));
    assert_eq!(waits("tasks=3 cpus=1 shape=gang", |_| ()), Some(90));
    let faults = |world: &mut World| world.faults.end = 60 * SECOND;
    assert_eq!(waits("cpus=1", faults), Some(56 + 90));
    let unchecked = |world: &mut World| world.checks = Checks::default();
    assert_eq!(waits("cpus=1", unchecked), None);
    let started =
        |world: &mut World| world.jobs.get_mut("req-3").expect("a job").last_start = 20 * SECOND;
    assert_eq!(waits("cpus=1", started), Some(16 + 90));
}

/// No room, no machine that fits or hears, no leave of its team.
#[test]
fn a_job_that_no_machine_or_team_has_room_for() {
    let all_deaf = |world: &mut World| {
        let machines = world.machines.values_mut();
        for machine in machines.filter(|machine| !machine.is_gone) {
            machine.deaf_until = 900 * SECOND;
        }
    };
    assert_eq!(waits("cpus=8 mem=1", |world| fill(world, 1.0, 0.0)), None);
    assert_eq!(waits("cpus=1 mem=20", |world| fill(world, 0.0, 20.0)), None);
    assert_eq!(waits("cpus=1 zone=c", |_| ()), None);
    assert_eq!(waits("cpus=1 type=big", |_| ()), None);
    assert_eq!(waits("cpus=1", all_deaf), None);
    assert_eq!(waits("cpus=7 owner=u", |_| ()), None);
    assert_eq!(waits("cpus=6 owner=u", |_| ()), Some(90));
}

/// Cancelled, done, or it fails wherever it runs.
#[test]
fn a_job_that_need_not_run() {
    let cancel = |world: &mut World| {
        let job = world.jobs.get_mut("req-3").expect("a job");
        job.cancel_requested_at = Some(0);
    };
    assert_eq!(waits("cpus=1", cancel), None);
    assert_eq!(waits("cpus=1 fails=yes", |_| ()), None);
}

/// Its other tasks are elsewhere, or already half of them here.
#[test]
fn a_job_with_tasks_on_machines() {
    let beside = |world: &mut World| {
        let there: Vec<String> = world.machines.keys().cloned().collect();
        for (index, name) in there.iter().enumerate() {
            let machine = machine(world, name);
            machine.is_gone = false;
            machine.zone = if index == 0 { "z" } else { "a" }.into();
        }
        plant(world, &there[0], task("req-3/0", 1.0));
    };
    assert_eq!(waits("tasks=2 cpus=1", beside), Some(90));
    let one_zone = |world: &mut World| {
        let name = world.machines.keys().next().expect("a machine").clone();
        let machine = machine(world, &name);
        (machine.is_gone, machine.zone) = (false, "z".into());
        plant(world, &name, task("req-3/0", 8.0));
    };
    assert_eq!(waits("tasks=2 cpus=1 one_zone=yes", one_zone), None);
}

/// Fills all machines, up to less than the job asks for.
fn fill(world: &mut World, cpus: f64, memory: f64) {
    let teams = &mut world.configuration.settings.teams;
    teams.get_mut("t").expect("a team").cpus_max = 900.0;
    let script = parse("at 1 submit req-4 tasks=9\nend 2").expect("a script");
    world.add_job("req-4", &script.events[0].1).expect("a job");
    world.jobs.get_mut("req-4").expect("a job").spec.memory_gb = memory;
    let names: Vec<String> = world.machines.keys().cloned().collect();
    for (index, name) in names.iter().enumerate() {
        plant(world, name, task(&format!("req-4/{index}"), cpus));
    }
}
