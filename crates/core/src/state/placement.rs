//! State that placement keeps between its rounds.

use crate::state::jobs::JobIndex;
use crate::Micros;

/// State that placement keeps between its rounds; times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    /// When the next round is due.
    pub next_at: Micros,
    /// No round before this time: rounds keep at least their interval.
    pub(crate) no_round_before: Micros,
    /// Something changed that may let a task be placed.
    pub is_round_requested: bool,
    /// The job that the next round begins with, since the last one ran out of time before it.
    pub(crate) resume_with: Option<JobIndex>,
    /// Nothing is placed before this time: a page could not be read.
    pub blocked_until: Micros,
    /// When the next round of preemption is due.
    pub(crate) next_preemption: Micros,
    /// Rounds so far.
    pub rounds: u64,
    /// The last round left tasks waiting.
    pub has_backlog: bool,
}

impl PlacementState {
    /// Something changed that may let a task be placed: a round is due now.
    pub fn request_round(&mut self, now: Micros) {
        self.is_round_requested = true;
        self.next_at = self.next_at.min(now.max(self.no_round_before));
    }
}
