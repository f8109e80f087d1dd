//! Reserves headroom for services on machines during a round of placement.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{tasks_that_fit, MachineResources, OpenMachine};
use crate::state::jobs::{Job, RESOURCE_TOLERANCE};
use grebewood_wire::http::Submission;
use std::collections::BTreeMap;

/// A machine that may hold headroom, in the order in which headroom is reserved.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeadroomMachine {
    without_services: bool,
    /// Its free CPUs, in units of [`RESOURCE_TOLERANCE`].
    free_cpus: i64,
    /// Its place among the open machines.
    at: usize,
}

impl Scheduler {
    /// Marks the headroom that is reserved for services: in each zone on machines with replicas first,
    /// then on the fullest, until it is as much as wanted.
    pub(crate) fn reserve_headroom(&self, context: &Context, open: &mut [OpenMachine]) {
        let Some((spec, wanted)) = self.headroom.wanted() else {
            return;
        };
        let mut reserved: BTreeMap<String, u64> = BTreeMap::new();
        for HeadroomMachine { at, .. } in self.headroom_machines_in_order(context, spec, open) {
            let machine = &mut open[at];
            let in_zone = reserved.entry(machine.zone.clone()).or_insert(0);
            // No more than is wanted: a whole machine was kept at first, and in a fleet of two none was
            // left for others.
            let replicas = tasks_that_fit(machine.free, spec).min(wanted - *in_zone);
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
            .map(|(at, machine)| HeadroomMachine {
                without_services: !self.runs_services(&machine.name),
                free_cpus: (machine.free.cpus / RESOURCE_TOLERANCE) as i64,
                at,
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
