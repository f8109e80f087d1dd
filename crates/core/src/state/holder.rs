//! What the holder of a partition knows beyond its machines: the leader's term, outcomes to report, cancelled jobs.

use crate::Micros;
use grebewood_wire::peer::{MachineState, TaskAttempt, TaskOutcome};
use std::collections::BTreeMap;

/// What a holder knows beyond its machines.
#[derive(Clone, Debug, Default)]
pub struct HolderState {
    /// Term and number of the last orders.
    pub(crate) last: (u64, u64),
    /// The term of the leader that told all tasks that may be on the machines; 0: none yet.
    pub(crate) synced_term: u64,
    /// Attempts that have ended, until the leader has that on record.
    pub(crate) outcomes: BTreeMap<TaskAttempt, TaskOutcome>,
    /// The states of machines as last told, each with its version.
    pub(crate) states: BTreeMap<String, (u64, MachineState)>,
    pub(crate) version: u64,
    /// When this node learned of a job's cancellation.
    pub(crate) cancelled: BTreeMap<String, Micros>,
    /// Check-ins answered since the claim.
    pub(crate) heartbeats: u64,
}

impl HolderState {
    /// Whether a leader has told all tasks that may be on the machines.
    pub(crate) fn knows_tasks(&self) -> bool {
        self.synced_term > 0
    }

    /// Notes that a job is cancelled, from whatever source.
    pub(crate) fn note_cancelled(&mut self, job: &str, now: Micros) {
        self.cancelled.entry(job.to_string()).or_insert(now);
    }

    /// Whether the leader has the attempt's end on record, so that the worker may forget it.
    pub(crate) fn is_settled(&self, attempt: Option<TaskAttempt>) -> bool {
        attempt.is_none_or(|id| !self.outcomes.contains_key(&id))
    }
}
