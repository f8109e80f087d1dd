//! Tests that each check finds a violation, which the test adds by hand to a world that runs without faults.

use super::checks::Checks;
use super::events::{Caller, Event, Requester};
use super::network::{Link, CALL_LATENCY_US};
use super::users::UNANSWERED_LIMIT_US;
use super::World;
use crate::error::StepResult;
use crate::machines::{Machine, Task, TaskStatus};
use crate::script::{parse, Directive};
use crate::time::{Micros, MILLISECOND, SECOND};
use grebewood_core::{Call, Input, Outcome, Target};
use grebewood_wire::http::{
    Command, DirectCommands, Heartbeat, HeartbeatResponse, JobStatus, Submission,
};
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;

mod acceptance;
mod fencing;
mod heartbeats;
mod placement;
mod responses;
mod store;
mod versions;
mod waiting;

const FLEET: &str = "team t cpus=16 cpus_max=32\nteam u cpus=8 cpus_max=8\n\
    type std cpus=8 cap=4 zones=a,b\nmachines std count=2\nmachines std zone=b\n";

/// Returns a world that has played a script up to this second, without a violation.
fn world_after(text: &str, seconds: u64) -> World {
    let script = parse(&format!("{FLEET}{text}\nend 1000")).expect("a script");
    let mut world = World::new(script).expect("a world");
    world.play_until(seconds * SECOND).expect("no fault yet");
    world
}

/// Returns a world in which a job of four tasks runs.
fn world_with_running_job() -> World {
    let world = world_after("at 2 submit req-1 tasks=4 run=500", 4);
    assert_eq!(world.jobs["req-1"].starts, 4);
    world
}

fn assert_violation<T: std::fmt::Debug>(got: StepResult<T>, with: &str) {
    let error = got.expect_err(with).to_string();
    assert!(error.contains(with), "{error}, not {with}");
}

/// Returns a directive with these words and options.
fn directive(words: &str, options: &[(&str, &str)]) -> Directive {
    let option = |(key, value): &(&str, &str)| (key.to_string(), value.to_string());
    Directive {
        words: words.split(' ').map(str::to_string).collect(),
        options: options.iter().map(option).collect(),
        ..Directive::default()
    }
}

/// Returns a machine that holds a task of the job, and one that does not.
fn holder_and_other(world: &World, job: &str) -> (String, String) {
    let there = || world.present_machines();
    let holder = there().find(|machine| machine.holds_task_of(job));
    let holder = holder.expect("a holder");
    let other = there().find(|machine| !machine.holds_task_of(job));
    let other = other.expect("another machine");
    (holder.name.clone(), other.name.clone())
}

fn task(task_name: &str, cpus: f64) -> Task {
    Task {
        task_name: task_name.into(),
        attempt: 1 << 30,
        status: TaskStatus::Running,
        cause: None,
        checkpointed: false,
        state_ends_at: 2_000 * SECOND,
        cpus,
    }
}

fn machine<'a>(world: &'a mut World, name: &str) -> &'a mut Machine {
    world.machine_mut(name).expect("a machine")
}

fn add_task(world: &mut World, name: &str, task: Task) {
    machine(world, name).tasks.push(task);
}

/// Returns the controller that leads.
fn leader_of(world: &World) -> usize {
    world.leading_controllers().next().expect("a leader")
}

/// Returns a caller for a call that controller 0's process has not made.
fn call_of_first(world: &World) -> Caller {
    Caller {
        controller: 0,
        process: world.controllers[0].process,
        call: 1 << 40,
    }
}

fn status_body(status: &str) -> Vec<u8> {
    to_cbor(&JobStatus {
        id: "req-1".into(),
        status: status.into(),
        done: 0,
        running: 0,
    })
}

/// Handles a forged response to a request.
fn respond(world: &mut World, requester: Requester, status: u16, word: &str) -> StepResult {
    world.handle_response(requester, 0, status, status_body(word))
}
