//! State of task placement between its rounds.

use crate::state::jobs::JobIndex;
use crate::state::reservations::Reservations;
use crate::Micros;

/// State of task placement between its rounds. Times are in microseconds.
#[derive(Clone, Debug, Default)]
pub struct PlacementState {
    /// Time at which the next round is due.
    pub next_at: Micros,
    /// Earliest time of the next round, which keeps rounds at least one interval apart.
    pub(crate) no_round_before: Micros,
    /// Whether something has changed that may allow a task to be placed.
    pub is_round_requested: bool,
    /// Job with which the next round begins because the last round ran out of time before it.
    pub(crate) resume_with: Option<JobIndex>,
    /// Time before which nothing is placed, because an assignment page could not be decoded.
    pub blocked_until: Micros,
    /// Time at which the next round of preemption is due.
    pub(crate) next_preemption: Micros,
    /// Number of rounds so far.
    pub rounds: u64,
    /// Machines reserved for jobs that have waited too long to start.
    pub(crate) reserved_machines: Reservations,
    /// Teams from whose jobs the rest of the limit is withheld, because it is reserved for a job that has waited
    /// long.
    pub(crate) reserved_quotas: Reservations,
    /// Whether the last round left tasks waiting.
    pub has_backlog: bool,
}

impl PlacementState {
    /// Requests a round as soon as the interval permits, because something has changed that may allow a task to be
    /// placed.
    pub fn request_round(&mut self, now: Micros) {
        self.is_round_requested = true;
        self.next_at = self.next_at.min(now.max(self.no_round_before));
    }
}
