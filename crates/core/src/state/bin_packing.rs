//! Whether a task fits a machine, and how many fit into its free resources.

use crate::context::Context;
use crate::state::jobs::{fits_type, EPS};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{MachineType, Submission};

/// CPUs, accelerators and memory of a machine, or what a task takes of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineResources {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

impl MachineResources {
    /// What an empty machine of the type has.
    pub fn of_type(machine_type: &MachineType) -> Self {
        MachineResources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// What so many tasks take that take this each.
    pub fn times(self, factor: f64) -> Self {
        MachineResources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// What one task of the job takes.
    pub fn of_task(spec: &Submission) -> Self {
        MachineResources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }
}

impl std::ops::Add for MachineResources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        MachineResources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl std::ops::Sub for MachineResources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        MachineResources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

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
pub(crate) fn tasks_that_fit(free: MachineResources, spec: &Submission) -> u64 {
    let fit = |have: f64, need: f64| {
        if need <= EPS {
            f64::MAX
        } else {
            ((have + EPS) / need).floor()
        }
    };
    fit(free.cpus, spec.cpus)
        .min(fit(free.gpus, spec.gpus))
        .min(fit(free.memory_gb, spec.memory_gb))
        .clamp(0.0, 1e5) as u64
}

/// A machine with room, during a round.
pub(crate) struct OpenMachine {
    pub name: String,
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    pub free: MachineResources,
    /// Room is being made on it for work of higher priority.
    pub(crate) kept: bool,
    /// What of its room is kept for services.
    pub headroom: MachineResources,
    /// The partition whose holder places tasks on it.
    pub placed_by: Option<PartitionId>,
}

impl OpenMachine {
    /// The room for a task of a service, or of other work.
    pub(crate) fn room(&self, service: bool) -> MachineResources {
        match service {
            true => self.free,
            false => self.free - self.headroom,
        }
    }
}

/// What is sorted by to choose a machine, the best first.
pub(crate) type Preference = (bool, bool, bool, bool, i64);
