//! Bin packing: whether a task fits a machine, and how many fit into its free resources.

use crate::context::Context;
use crate::state::jobs::{task_fits_machine_type, RESOURCE_TOLERANCE};
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

    /// What `factor` tasks take that take this each.
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

/// The machine types of the catalogue; none while it is not known.
pub(crate) fn machine_types(context: &Context) -> impl Iterator<Item = &MachineType> {
    context.catalogue.iter().flatten()
}

/// The machine types that fit a task of the job.
pub(crate) fn machine_types_for<'a>(
    context: &'a Context,
    spec: &'a Submission,
) -> impl Iterator<Item = &'a MachineType> {
    machine_types(context).filter(|machine_type| task_fits_machine_type(spec, machine_type))
}

/// Most tasks that [`tasks_that_fit`] counts.
const MAX_TASKS: f64 = 1e5;

/// Whether the job permits such a machine.
pub(crate) fn permits(
    context: &Context,
    spec: &Submission,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|wanted| wanted == zone)
        && context
            .machine_type(machine_type)
            .is_some_and(|machine_type| task_fits_machine_type(spec, machine_type))
}

/// How many tasks of the job fit into the free resources.
pub(crate) fn tasks_that_fit(free: MachineResources, spec: &Submission) -> u64 {
    let fit = |free: f64, need: f64| {
        if need <= RESOURCE_TOLERANCE {
            f64::MAX
        } else {
            ((free + RESOURCE_TOLERANCE) / need).floor()
        }
    };
    fit(free.cpus, spec.cpus)
        .min(fit(free.gpus, spec.gpus))
        .min(fit(free.memory_gb, spec.memory_gb))
        .clamp(0.0, MAX_TASKS) as u64
}

/// Whether tasks may take the headroom that is reserved for services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadroomAccess {
    /// They may: services, and what has waited too long.
    Granted,
    /// They may not.
    Denied,
}

/// A machine with free resources, during a round of placement.
pub(crate) struct OpenMachine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its machine type.
    pub machine_type: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its free resources.
    pub free: MachineResources,
    /// Tasks were stopped on it for a job of higher priority: idle priority is kept off.
    pub(crate) kept_for_preemptor: bool,
    /// What of its free resources is headroom for services.
    pub headroom: MachineResources,
    /// The partition whose holder places tasks on it.
    pub placed_by: Option<PartitionId>,
}

impl OpenMachine {
    /// Whether the job permits such a machine.
    pub(crate) fn permits(&self, context: &Context, spec: &Submission) -> bool {
        permits(context, spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether one task of the job can be placed on it, with access to the headroom.
    pub(crate) fn takes_task(&self, context: &Context, spec: &Submission) -> bool {
        tasks_that_fit(self.free, spec) > 0 && self.permits(context, spec)
    }

    /// The free resources for tasks with or without access to the headroom.
    pub(crate) fn free_for(&self, access: HeadroomAccess) -> MachineResources {
        match access {
            HeadroomAccess::Granted => self.free,
            HeadroomAccess::Denied => self.free - self.headroom,
        }
    }
}

/// What is sorted by to choose a machine: the lowest is the best. Fields are in the order of their weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Preference {
    /// A replica of the job ended there by itself lately.
    pub(crate) avoided: bool,
    /// It lacks the job's image.
    pub(crate) without_image: bool,
    /// Its agent has no long poll open with this controller.
    pub(crate) without_long_poll: bool,
    /// It is an on-demand machine.
    pub(crate) on_demand: bool,
    /// Its free CPUs, in thousandths: the fullest machine comes first.
    pub(crate) free_milli_cpus: i64,
}
