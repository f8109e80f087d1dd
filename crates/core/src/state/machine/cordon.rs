//! Cordons: why nothing new is placed on a machine, and what ends that.

use crate::{Micros, SECOND};

/// Time for which a machine on which tasks failed takes no tasks even if some wait for free resources, in
/// microseconds.
const MIN_FAULTY_CORDON_US: Micros = 60 * SECOND;

/// Why nothing new is placed on a machine. A cordoned machine is terminated once it is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cordon {
    /// The machine is being terminated. Nothing but its termination ends the cordon.
    Termination,
    /// The machine is not needed: it is idle, or its tasks are moved away, to save its price. It takes tasks again
    /// if some wait for free resources.
    ScaleIn,
    /// Tasks failed on the machine, which may be at fault. It takes tasks again once the failures are attributed to
    /// the failing jobs, and on trial if it does not become empty while tasks wait for free resources.
    Faulty {
        /// Time of the cordon, in microseconds.
        since: Micros,
    },
}

impl Cordon {
    /// Returns whether the machine is cordoned because tasks failed on it.
    pub(crate) fn is_for_failures(self) -> bool {
        matches!(self, Cordon::Faulty { .. })
    }

    /// Returns whether the cordon may end because tasks wait for free resources.
    pub(crate) fn may_end_for_waiting_tasks(self, now: Micros) -> bool {
        match self {
            Cordon::Termination => false,
            Cordon::ScaleIn => true,
            Cordon::Faulty { since } => now.saturating_sub(since) >= MIN_FAULTY_CORDON_US,
        }
    }
}
