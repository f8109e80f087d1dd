//! Fixtures and helpers for the unit tests of several modules.

use crate::controller::Controller;
use crate::settings::{Settings, Sibling, Tuning};
use crate::{Input, Micros, NoStopwatch, Now, MILLI, SECOND};
use grebewood_wire::http::{Heartbeat, Priority, Submission};
use grebewood_wire::records::JobRecord;

/// Time of day at time zero of the steady clock, in microseconds since 1970.
pub const WALL_CLOCK_START_US: u64 = 1_700_000_000 * SECOND;

/// The fencing token under which [`leader_before_loading`] leads.
const TOKEN: u64 = 7;

/// The store lease of [`leader_before_loading`].
const LEASE: u64 = 1;

/// Interval between the ticks of [`advance_time`], in microseconds: a tick after more than half of the leader's lease
/// would count as a process pause.
const TICK_INTERVAL_US: Micros = 500 * MILLI;

/// Returns a controller that has just become the leader and has read no records yet.
pub fn leader_before_loading(now: Micros) -> Controller {
    let settings = Settings {
        siblings: vec![Sibling {
            member: "perch-1".into(),
            zone: "a".into(),
        }],
        ..Settings::default()
    };
    let seed = 1;
    let mut controller = Controller::new(settings, Tuning::default(), seed);
    tick(&mut controller, now);
    controller.become_leader(TOKEN, LEASE);
    controller
}

/// Returns the record of `req-1`, a batch job of `tasks` tasks that was accepted at time zero of the steady clock.
pub fn job_record(tasks: u64) -> JobRecord {
    let spec = Submission {
        id: "req-1".into(),
        class: "work".into(),
        team: "t".into(),
        shape: "batch".into(),
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 1.0,
        expected_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    };
    JobRecord {
        spec,
        accepted_us: WALL_CLOCK_START_US,
    }
}

/// Returns the first heartbeat of a machine without tasks, whose agent has seen no fencing token yet.
pub fn first_heartbeat() -> Heartbeat {
    Heartbeat {
        machine: "n-000001".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 1,
        sequence: 1,
        token: 0,
        reclaim_s: None,
        tasks: Vec::new(),
    }
}

/// Returns the time by both clocks when the steady clock is at `now`.
pub fn clocks(now: Micros) -> Now {
    Now {
        steady: now,
        wall: WALL_CLOCK_START_US + now,
    }
}

/// Steps the controller with a tick at `now`.
pub fn tick(controller: &mut Controller, now: Micros) {
    controller.step(clocks(now), Input::Tick, &mut NoStopwatch);
}

/// Ticks the controller at short intervals from `from` until just before `to`.
pub fn advance_time(controller: &mut Controller, from: Micros, to: Micros) {
    for now in (from..to).step_by(TICK_INTERVAL_US as usize) {
        tick(controller, now);
    }
}
