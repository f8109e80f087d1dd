//! Measurements of a scenario: duration of the controllers' steps, requests to the key-value store, and the delay
//! until tasks start.
//!
//! The steps take real time, which depends on the machine that plays the scenario. Their durations serve to compare
//! fleets of different sizes, and no test asserts them.

use crate::time::{Micros, MILLISECOND};
use grebewood_core::Input;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The kind of input that a controller handles in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepKind {
    /// An agent's heartbeat.
    Heartbeat,
    /// Any other request, or its end because the client has gone.
    Request,
    /// A reply to a call.
    Reply,
    /// A timer tick, on which most rounds of placement and of the autoscaler run.
    Tick,
}

impl StepKind {
    /// Returns the kind of a step with this input.
    pub fn of(input: &Input) -> StepKind {
        match input {
            Input::Request { path, .. } if path == "/checkin" => StepKind::Heartbeat,
            Input::Request { .. } | Input::RequestAbandoned { .. } => StepKind::Request,
            Input::Reply { .. } => StepKind::Reply,
            Input::Tick => StepKind::Tick,
        }
    }
}

/// The measurements of a scenario.
#[derive(Debug, Default)]
pub struct Measurements {
    /// The durations of the leader's steps in real time by kind, in nanoseconds.
    pub leader_step_times_ns: BTreeMap<StepKind, Histogram<u64>>,
    /// The number of puts and deletes that the key-value store applied for all controllers.
    pub store_changes: u64,
    /// The number of requests of all controllers to the key-value store.
    pub store_requests: u64,
    /// The total duration in real time of all steps of controllers that do not lead.
    pub follower_step_time: Duration,
    /// The delay from a job's submission to the first start of each of its tasks, by team, in milliseconds.
    pub start_delays_ms: BTreeMap<String, Histogram<u64>>,
    /// The number of task starts while there was no leader.
    pub leaderless_starts: u64,
    /// The part of a team's limit that was granted and not used, in thousandths, at each moment at which one of
    /// its jobs had tasks waiting.
    pub unused_grant_thousandths: Option<Histogram<u64>>,
    started_tasks: BTreeSet<String>,
}

/// The precision of histograms, which is enough for a comparison.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

fn new_histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS).expect("a valid number of digits")
}

impl Measurements {
    /// Records that a task of a team started, with the time since the submission of its job. Only the first start
    /// of a task counts for the delays.
    pub(crate) fn record_task_start(
        &mut self,
        team: &str,
        task: &str,
        delay: Micros,
        is_leaderless: bool,
    ) {
        self.leaderless_starts += u64::from(is_leaderless);
        if self.started_tasks.insert(task.to_string()) {
            let starts = self.start_delays_ms.entry(team.to_string());
            let _ = starts
                .or_insert_with(new_histogram)
                .record(delay / MILLISECOND);
        }
    }

    /// Records the part of a limit that is granted and not used.
    pub(crate) fn record_unused_grant(&mut self, thousandths: u64) {
        let histogram = self
            .unused_grant_thousandths
            .get_or_insert_with(new_histogram);
        let _ = histogram.record(thousandths);
    }

    /// Records a request to the key-value store and the number of puts and deletes that it applied.
    pub(crate) fn record_store_request(&mut self, operations: u64) {
        self.store_requests += 1;
        self.store_changes += operations;
    }

    /// Records a step of the leader and its duration in real time.
    pub(crate) fn record_step(&mut self, kind: StepKind, duration: Duration) {
        let histogram = self
            .leader_step_times_ns
            .entry(kind)
            .or_insert_with(new_histogram);
        // The histogram resizes itself and covers every possible duration of a step.
        let _ = histogram.record(duration.as_nanos() as u64);
    }
}
