//! State that a partition holder keeps besides its machines: the leader's orders, ended attempts to report, and
//! cancelled jobs.

use crate::Micros;
use grebewood_wire::peer::{MachineState, TaskAttempt, TaskOutcome};
use std::collections::BTreeMap;

/// Number of a message with orders from the leader to this partition holder. Orders whose number is not higher than
/// that of the last orders that this holder accepted are stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrdersNumber {
    /// Fencing token of the leader that sent the orders.
    pub(crate) leader_token: u64,
    /// Sequence number of the orders among those of this leader.
    pub(crate) sequence: u64,
}

/// State of a machine as last reported to the leader.
#[derive(Clone, Debug)]
pub(crate) struct ReportedState {
    /// Version of the report in which the state first appeared.
    pub(crate) version: u64,
    /// Reported state.
    pub(crate) state: MachineState,
}

/// State that a holder keeps besides its machines.
#[derive(Clone, Debug, Default)]
pub struct HolderState {
    /// Number of the last orders that this holder accepted.
    pub(crate) last_orders: OrdersNumber,
    /// Fencing token of the leader with which the tasks on the machines were last reconciled; 0 if there was none yet.
    pub(crate) reconciled_leader_token: u64,
    /// Outcomes of ended attempts that the leader has not recorded yet.
    pub(crate) outcomes: BTreeMap<TaskAttempt, TaskOutcome>,
    /// Last reported states of machines, by machine name.
    pub(crate) reported_states: BTreeMap<String, ReportedState>,
    /// Highest version of the reported states.
    pub(crate) state_version: u64,
    /// Cancelled jobs, each with the time at which this controller learned of the cancellation.
    pub(crate) cancelled: BTreeMap<String, Micros>,
    /// Number of heartbeats that this holder has answered since its claim on the partition.
    pub(crate) heartbeats: u64,
}

impl HolderState {
    /// Returns whether a leader has sent all tasks that may be on the machines.
    pub(crate) fn is_reconciled(&self) -> bool {
        self.reconciled_leader_token > 0
    }

    /// Records the time at which this controller first learned that a job is cancelled.
    pub(crate) fn record_cancelled(&mut self, job: &str, now: Micros) {
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// Returns whether the leader has recorded the end of the attempt, so that the agent may forget it. `None`
    /// stands for an attempt whose task name could not be parsed.
    pub(crate) fn is_outcome_recorded(&self, attempt: Option<TaskAttempt>) -> bool {
        attempt.is_none_or(|id| !self.outcomes.contains_key(&id))
    }
}
