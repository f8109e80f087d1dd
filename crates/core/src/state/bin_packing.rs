//! Whether a task fits a machine, and how many fit into its free resources.

use crate::context::Context;
use crate::state::jobs::{fits_type, EPS};
use grebewood_partition::PartitionId;
use grebewood_wire::http::Submission;

/// CPUs, accelerators and memory.
pub(crate) type Room = (f64, f64, f64);

/// Whether the job permits such a machine.
pub(crate) fn permits(
    context: &Context,
    spec: &Submission,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|y| y == zone)
        && context
            .machine_type(machine_type)
            .is_some_and(|t| fits_type(spec, t))
}

/// How many tasks of the job fit into the free room.
pub(crate) fn tasks_that_fit(free: (f64, f64, f64), spec: &Submission) -> u64 {
    let fit = |have: f64, need: f64| {
        if need <= EPS {
            f64::MAX
        } else {
            ((have + EPS) / need).floor()
        }
    };
    fit(free.0, spec.cpus)
        .min(fit(free.1, spec.gpus))
        .min(fit(free.2, spec.memory_gb))
        .clamp(0.0, 1e5) as u64
}

/// A machine with room, during a round.
pub(crate) struct OpenMachine {
    pub name: String,
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    pub free: Room,
    /// Room is being made on it for work of higher priority.
    pub(crate) kept: bool,
    /// What of its room is kept for services.
    pub headroom: Room,
    /// The partition whose holder places tasks on it.
    pub placed_by: Option<PartitionId>,
}

impl OpenMachine {
    /// The room for a task of a service, or of other work.
    pub(crate) fn room(&self, service: bool) -> Room {
        match service {
            true => self.free,
            false => (
                self.free.0 - self.headroom.0,
                self.free.1 - self.headroom.1,
                self.free.2 - self.headroom.2,
            ),
        }
    }
}

/// What is sorted by to choose a machine, the best first.
pub(crate) type Preference = (bool, bool, bool, bool, i64);
