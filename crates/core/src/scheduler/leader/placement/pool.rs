//! Machines with the resources that are or will be free and the tasks that preemption may stop.

use crate::context::Context;
use crate::state::bin_packing::{permits, MachineResources};
use crate::state::machine::Machine;
use grebewood_wire::http::Submission;

/// A machine with its free resources and the tasks on it that preemption may stop.
#[derive(Clone)]
pub(crate) struct PoolMachine<'a, Candidate> {
    /// The machine.
    pub(crate) machine: &'a Machine,
    /// The resources that are free or will be once the tasks that are being stopped have ended.
    pub(crate) free: MachineResources,
    /// The tasks that may be stopped to free resources.
    pub(crate) candidates: Vec<Candidate>,
}

impl<'a, Candidate> PoolMachine<'a, Candidate> {
    /// Creates the entry for a machine with these preemption candidates.
    pub(crate) fn new(machine: &'a Machine, candidates: Vec<Candidate>) -> Self {
        let stopping = machine.assignments.iter().filter(|a| a.stop.is_some());
        PoolMachine {
            machine,
            free: stopping.fold(machine.free(), |free, a| free + a.resources()),
            candidates,
        }
    }

    /// Returns whether the job permits this machine, by its type, its zone and whether it is a spot machine.
    pub(crate) fn permits(&self, context: &Context, spec: &Submission) -> bool {
        let Machine {
            machine_type,
            zone,
            spot,
            ..
        } = self.machine;
        permits(context, spec, machine_type, zone, *spot)
    }

    /// Subtracts the resources of one task of the job from the free resources.
    pub(crate) fn allocate_task(&mut self, spec: &Submission) {
        self.free = self.free - MachineResources::of_task(spec);
    }
}
