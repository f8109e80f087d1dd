//! What the holder of a partition knows beyond its machines: the leader's orders, ended attempts to report,
//! and cancelled jobs.

use crate::Micros;
use grebewood_wire::peer::{MachineState, TaskAttempt, TaskOutcome};
use std::collections::BTreeMap;

/// The number of a message with orders. Orders with a number that is not higher than the last one are stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrdersNumber {
    /// The fencing token of the leader that sent them.
    pub(crate) term: u64,
    /// Their number among the orders of that leader.
    pub(crate) sequence: u64,
}

/// The state of a machine as last reported to the leader.
#[derive(Clone, Debug)]
pub(crate) struct ReportedState {
    /// The version of the report in which it first appeared.
    pub(crate) version: u64,
    /// The state.
    pub(crate) state: MachineState,
}

/// What a holder knows beyond its machines.
#[derive(Clone, Debug, Default)]
pub struct HolderState {
    /// The number of the last orders.
    pub(crate) last_orders: OrdersNumber,
    /// The term of the leader with which the tasks on the machines were reconciled; 0: none yet.
    pub(crate) reconciled_term: u64,
    /// Attempts that have ended, until the leader has that on record.
    pub(crate) outcomes: BTreeMap<TaskAttempt, TaskOutcome>,
    /// The states of machines as last reported, by name.
    pub(crate) reported_states: BTreeMap<String, ReportedState>,
    /// The highest version of these states.
    pub(crate) state_version: u64,
    /// When this controller learned of a job's cancellation.
    pub(crate) cancelled: BTreeMap<String, Micros>,
    /// Heartbeats answered since the claim.
    pub(crate) heartbeats: u64,
}

impl HolderState {
    /// Whether a leader has told all tasks that may be on the machines.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.reconciled_term > 0
    }

    /// Records that a job is cancelled, whatever the source.
    pub(crate) fn note_cancelled(&mut self, job: &str, now: Micros) {
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// Whether the leader has the attempt's end on record, so that the agent may forget it.
    pub(crate) fn is_outcome_recorded(&self, attempt: Option<TaskAttempt>) -> bool {
        attempt.is_none_or(|id| !self.outcomes.contains_key(&id))
    }
}
