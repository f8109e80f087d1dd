//! What unit tests of several parts share.

use crate::controller::Controller;
use crate::settings::{Settings, Sibling, Tuning};
use crate::{Input, Micros, NoStopwatch, Now, MILLI, SECOND};
use grebewood_wire::http::{Heartbeat, Priority, Submission};
use grebewood_wire::records::JobRecord;

pub const WALL: u64 = 1_700_000_000 * SECOND;

/// A node that has its grant, and has read nothing yet.
pub fn unread_leader(now: Micros) -> Controller {
    let settings = Settings {
        siblings: vec![Sibling {
            member: "perch-1".into(),
            zone: "a".into(),
        }],
        ..Settings::default()
    };
    let mut node = Controller::new(settings, Tuning::default(), 1);
    tick(&mut node, now);
    node.become_leader(7, 1);
    node
}

/// The record of `req-1`, an array of so many tasks that was just accepted.
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
        accepted_us: WALL,
    }
}

/// The first report of a machine without tasks, which has seen no token yet.
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

pub fn clocks(now: Micros) -> Now {
    Now {
        steady: now,
        wall: WALL + now,
    }
}

pub fn tick(node: &mut Controller, now: Micros) {
    node.step(clocks(now), Input::Tick, &mut NoStopwatch);
}

/// Time passes, in small steps: a long one would be a standstill.
pub fn pass(node: &mut Controller, from: Micros, to: Micros) {
    for now in (from..to).step_by(500 * MILLI as usize) {
        tick(node, now);
    }
}
