//! State of task placement between its rounds.

use crate::state::jobs::JobIndex;
use crate::state::lasting::LastingConditions;
use crate::{Micros, SECOND};

/// Time for which a job waits beside free resources that are kept from it, in microseconds. After that neither a
/// reservation for another job nor headroom for services keeps it from them. Without this limit, a job would wait for
/// as long as the reason lasts, such as a replica, which never ends, or a task that runs longer than estimated.
pub(crate) const MAX_WAIT_BESIDE_ROOM_US: Micros = 60 * SECOND;

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
    pub(crate) reserved_machines: LastingConditions<String>,
    /// Teams the rest of whose limit is reserved for a job that has waited long.
    pub(crate) reserved_quotas: LastingConditions<String>,
    /// Jobs that wait although a machine has free resources for one of their tasks and their team's limit permits it.
    pub(crate) waiting_beside_room: LastingConditions<JobIndex>,
    /// Time at which `waiting_beside_room` is observed next.
    pub(crate) next_wait_check: Micros,
    /// Whether the last round left tasks waiting.
    pub has_backlog: bool,
}

impl PlacementState {
    /// Returns for how long the job has waited beside free resources since a task of it last started, at `started_at`,
    /// in microseconds. A placement alone does not end the wait, since the machine may turn out to have no room.
    pub(crate) fn waited_beside_room(
        &self,
        job: JobIndex,
        started_at: Micros,
        now: Micros,
    ) -> Micros {
        let since = self.waiting_beside_room.since(&job, now);
        since.map_or(0, |since| now.saturating_sub(since.max(started_at)))
    }

    /// Requests a round as soon as the interval permits, because something has changed that may allow a task to be
    /// placed.
    pub fn request_round(&mut self, now: Micros) {
        self.is_round_requested = true;
        self.next_at = self.next_at.min(now.max(self.no_round_before));
    }
}
