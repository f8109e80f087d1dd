//! What the leader of a played scenario costs: processor time of its steps, and its changes of state.
//!
//! Times are of the machine that plays the scenario. They serve to compare fleets of different sizes,
//! and are never asserted.

use crate::time::{Micros, MILLISECOND};
use grebewood_core::Input;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a step of a controller takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepKind {
    /// An agent's heartbeat.
    Heartbeat,
    /// Any other request.
    Request,
    /// A reply to a call.
    Reply,
    /// The passing of time, which is when most rounds of placement and of the autoscaler run.
    Tick,
}

impl StepKind {
    /// The kind of a step with this input.
    pub fn of(input: &Input) -> StepKind {
        match input {
            Input::Request { path, .. } if path == "/checkin" => StepKind::Heartbeat,
            Input::Request { .. } | Input::Gone { .. } => StepKind::Request,
            Input::Reply { .. } => StepKind::Reply,
            Input::Tick => StepKind::Tick,
        }
    }
}

/// What was measured.
#[derive(Debug, Default)]
pub struct Measures {
    /// Processor time of the leader's steps, in nanoseconds.
    pub leader_step_times_ns: BTreeMap<StepKind, Histogram<u64>>,
    /// Puts and deletes that the key-value store carried out for any controller.
    pub store_changes: u64,
    /// Requests to the key-value store of all controllers.
    pub store_requests: u64,
    /// Processor time of all steps of controllers that do not lead, in nanoseconds.
    pub follower_step_time: Duration,
    /// Time from a job's submission to the first start of each of its tasks, by team, in milliseconds.
    pub start_delays_ms: BTreeMap<String, Histogram<u64>>,
    /// Tasks that started while nobody led.
    pub leaderless_starts: u64,
    /// Part of a team's limit that was granted and not used, in thousandths, at each moment at which one of
    /// its jobs waited for tasks.
    pub unused_grant_thousandths: Option<Histogram<u64>>,
    started: BTreeSet<String>,
}

/// Three significant digits do for a comparison.
const DIGITS: u8 = 3;

fn new_histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("a valid number of digits")
}

impl Measures {
    /// Notes that a task of a team started, so long after its job was submitted.
    pub(crate) fn record_task_start(
        &mut self,
        team: &str,
        task: &str,
        waited: Micros,
        leaderless: bool,
    ) {
        self.leaderless_starts += u64::from(leaderless);
        if self.started.insert(task.to_string()) {
            let starts = self.start_delays_ms.entry(team.to_string());
            let _ = starts
                .or_insert_with(new_histogram)
                .record(waited / MILLISECOND);
        }
    }

    /// Notes how much of a limit is granted and not used.
    pub(crate) fn record_unused_grant(&mut self, thousandths: u64) {
        let histogram = self
            .unused_grant_thousandths
            .get_or_insert_with(new_histogram);
        let _ = histogram.record(thousandths);
    }

    /// Notes a request to the key-value store, which carried out so many puts and deletes.
    pub(crate) fn record_store_request(&mut self, operations: u64) {
        self.store_requests += 1;
        self.store_changes += operations;
    }

    /// Notes a step of the leader.
    pub(crate) fn record_step(&mut self, kind: StepKind, took: Duration) {
        let histogram = self
            .leader_step_times_ns
            .entry(kind)
            .or_insert_with(new_histogram);
        // It grows as needed; no step takes longer than it can grow to.
        let _ = histogram.record(took.as_nanos() as u64);
    }
}
