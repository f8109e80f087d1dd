//! Bin packing: whether a task fits a machine, and how many fit into its free resources.

use crate::context::Context;
use crate::state::jobs::{task_fits_machine_type, RESOURCE_TOLERANCE};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{MachineType, Priority, Submission};

/// Amounts of machine resources, such as those of a machine or those that a task takes.
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
    /// Returns the resources of an empty machine of the type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        MachineResources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns the amounts multiplied by `factor`.
    pub fn times(self, factor: f64) -> Self {
        MachineResources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// Returns the resources that one task of the job takes.
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

/// Returns the machine types of the catalogue; none while the catalogue is not known.
pub(crate) fn machine_types(context: &Context) -> impl Iterator<Item = &MachineType> {
    context.catalogue.iter().flatten()
}

/// Returns the machine types that a task of the job fits.
pub(crate) fn machine_types_for<'a>(
    context: &'a Context,
    spec: &'a Submission,
) -> impl Iterator<Item = &'a MachineType> {
    machine_types(context).filter(|machine_type| task_fits_machine_type(spec, machine_type))
}

/// Maximum number of tasks that [`tasks_that_fit`] returns.
const MAX_TASKS: f64 = 1e5;

/// Returns whether the job permits a machine of this type in this zone, and a task of the job fits an empty one.
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

/// Returns how many tasks of the job fit into the free resources.
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

/// Whether tasks may use the headroom that is reserved for services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadroomAccess {
    /// For tasks that may use the headroom: replicas of services, and tasks that have waited too long.
    Granted,
    /// For tasks that may not use the headroom.
    Denied,
}

/// An open machine: a machine with free resources on which tasks may be placed in a round of placement.
pub(crate) struct OpenMachine {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Free resources of the machine, including the headroom.
    pub free: MachineResources,
    /// Whether no tasks of idle priority are placed on the machine, because tasks were stopped on it for a job of
    /// higher priority.
    pub(crate) excludes_idle_priority: bool,
    /// Whether the machine is reserved for a job that has waited too long to start. Other jobs may use it only if they
    /// have waited too long beside free resources.
    pub(crate) reserved: bool,
    /// Part of the free resources that is headroom for services.
    pub headroom: MachineResources,
    /// Partition whose holder places tasks on the machine.
    pub placed_by: Option<PartitionId>,
}

impl OpenMachine {
    /// Returns whether the job permits the machine, and a task of the job fits its type.
    pub(crate) fn permits(&self, context: &Context, spec: &Submission) -> bool {
        permits(context, spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Returns whether the machine's free resources are kept for other jobs than those of this priority.
    pub(crate) fn is_kept_from(&self, priority: Priority) -> bool {
        self.reserved || (self.excludes_idle_priority && priority == Priority::Idle)
    }

    /// Returns whether one task of the job can be placed on the machine if it may use the headroom.
    pub(crate) fn takes_task(&self, context: &Context, spec: &Submission) -> bool {
        tasks_that_fit(self.free, spec) > 0 && self.permits(context, spec)
    }

    /// Returns the free resources for tasks with this access to the headroom.
    pub(crate) fn free_for(&self, access: HeadroomAccess) -> MachineResources {
        match access {
            HeadroomAccess::Granted => self.free,
            HeadroomAccess::Denied => self.free - self.headroom,
        }
    }
}

/// Sort key of a machine that a task may be placed on; the lowest key is the best. Earlier fields take precedence
/// over later ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Preference {
    /// Whether a replica of the job recently exited on the machine without being stopped.
    pub(crate) avoided: bool,
    /// Whether the machine lacks the image of the job.
    pub(crate) without_image: bool,
    /// Whether the agent of the machine has no long poll open with this controller.
    pub(crate) without_long_poll: bool,
    /// Whether the machine is an on-demand machine.
    pub(crate) on_demand: bool,
    /// Free CPUs of the machine, in thousandths, so that the fullest machine comes first.
    pub(crate) free_milli_cpus: i64,
}
