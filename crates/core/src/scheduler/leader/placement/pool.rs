//! Machines as preemption sees them: what is or will be free on them, and which tasks may be stopped there.

use crate::context::Context;
use crate::state::bin_packing::{permits, MachineResources};
use crate::state::machine::Machine;
use grebewood_wire::http::Submission;

/// A machine with what is or will be free on it, and the tasks that may be stopped there.
#[derive(Clone)]
pub(crate) struct PoolMachine<'a, Candidate> {
    /// The machine.
    pub(crate) machine: &'a Machine,
    /// Its resources that are free, or will be once the tasks that are being stopped have ended.
    pub(crate) free: MachineResources,
    /// Tasks that may be stopped for others.
    pub(crate) candidates: Vec<Candidate>,
}

impl<'a, Candidate> PoolMachine<'a, Candidate> {
    /// The machine with these tasks that may be stopped.
    pub(crate) fn new(machine: &'a Machine, candidates: Vec<Candidate>) -> Self {
        let stopping = machine.assignments.iter().filter(|a| a.stop.is_some());
        PoolMachine {
            machine,
            free: stopping.fold(machine.free(), |free, a| free + a.resources()),
            candidates,
        }
    }

    /// Whether the job permits such a machine.
    pub(crate) fn permits(&self, context: &Context, spec: &Submission) -> bool {
        let Machine {
            machine_type,
            zone,
            spot,
            ..
        } = self.machine;
        permits(context, spec, machine_type, zone, *spot)
    }

    /// Counts one more task of the job on it.
    pub(crate) fn take(&mut self, spec: &Submission) {
        self.free = self.free - MachineResources::of_task(spec);
    }
}
