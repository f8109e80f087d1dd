//! What the leader of a played scenario costs: processor time of its steps, and its changes of state.
//!
//! Times are of the machine that plays the scenario. They serve to compare fleets of different sizes,
//! and are never asserted.

use grebewood_core::Input;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a step of a node takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepKind {
    /// A worker's check-in.
    Checkin,
    /// Any other request.
    Request,
    /// A reply to a call.
    Reply,
    /// The passing of time, which is when most rounds of placement and of the decider run.
    Tick,
}

impl StepKind {
    /// The kind of a step with this input.
    pub fn of(input: &Input) -> StepKind {
        match input {
            Input::Request { path, .. } if path == "/checkin" => StepKind::Checkin,
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
    pub steps: BTreeMap<StepKind, Histogram<u64>>,
    /// Puts and deletes that the state service carried out for any node.
    pub changes: u64,
    /// Requests to the state service of all nodes.
    pub requests: u64,
}

/// Three significant digits do for a comparison.
const DIGITS: u8 = 3;

impl Measures {
    /// Notes a step of the leader.
    pub(crate) fn step(&mut self, kind: StepKind, took: Duration) {
        let new = || Histogram::new(DIGITS).expect("a valid number of digits");
        let histogram = self.steps.entry(kind).or_insert_with(new);
        // It grows as needed; no step takes longer than it can grow to.
        let _ = histogram.record(took.as_nanos() as u64);
    }
}
