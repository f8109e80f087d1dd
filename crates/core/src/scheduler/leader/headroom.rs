//! Reserves headroom for services on machines during a placement round. Headroom is defined in
//! [`state::headroom`](crate::state::headroom), open machines in [`placement`](super::placement).

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{tasks_that_fit, MachineResources, OpenMachine};
use crate::state::jobs::{Job, RESOURCE_TOLERANCE};
use grebewood_wire::http::Submission;
use std::collections::BTreeMap;

/// A machine on which headroom may be reserved. Machines are sorted in the order in which headroom is reserved.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeadroomMachine {
    /// Whether no replica of a service is assigned to the machine.
    lacks_services: bool,
    /// The machine's free CPUs, in units of [`RESOURCE_TOLERANCE`].
    free_cpus: i64,
    /// The machine's index in the list of open machines, those that still have free resources in this round of
    /// placement.
    index: usize,
}

impl Scheduler {
    /// Reserves the headroom that is to be kept for services in each zone: first on machines with replicas of
    /// services, then on the others. In both groups the machines with the fewest free CPUs come first.
    pub(crate) fn reserve_headroom(&self, context: &Context, open: &mut [OpenMachine]) {
        let Some((spec, target)) = self.headroom.target() else {
            return;
        };
        let mut reserved: BTreeMap<String, u64> = BTreeMap::new();
        for HeadroomMachine { index, .. } in self.headroom_machines_in_order(context, spec, open) {
            let machine = &mut open[index];
            let in_zone = reserved.entry(machine.zone.clone()).or_insert(0);
            // Only the target of the headroom is reserved, not whole machines: in a fleet of two machines, nothing
            // would be left for other jobs.
            let replicas = tasks_that_fit(machine.free, spec).min(target - *in_zone);
            *in_zone += replicas;
            machine.headroom = MachineResources::of_task(spec).times(replicas as f64);
        }
    }

    fn headroom_machines_in_order(
        &self,
        context: &Context,
        spec: &Submission,
        open: &[OpenMachine],
    ) -> Vec<HeadroomMachine> {
        let fits = |machine: &OpenMachine| machine.takes_task(context, spec);
        let mut order: Vec<HeadroomMachine> = open
            .iter()
            .enumerate()
            .filter(|(_, machine)| fits(machine))
            .map(|(index, machine)| HeadroomMachine {
                lacks_services: !self.runs_services(&machine.name),
                free_cpus: (machine.free.cpus / RESOURCE_TOLERANCE) as i64,
                index,
            })
            .collect();
        order.sort();
        order
    }

    fn runs_services(&self, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|machine| {
            let mut jobs = machine.assignments.iter().map(|a| a.job);
            jobs.any(|index| self.jobs.get(index).is_some_and(Job::is_daemon))
        })
    }
}
