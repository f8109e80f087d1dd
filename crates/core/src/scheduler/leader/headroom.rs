//! Reserves headroom for services on machines during a round of placement.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit};
use crate::state::bin_packing::{MachineResources, OpenMachine};
use crate::state::jobs::{Job, EPS};
use std::collections::BTreeMap;

impl Scheduler {
    /// Marks the room that is kept for services: in each zone that of machines with replicas first,
    /// then of the fullest, until it is as much as wanted.
    pub(crate) fn keep_headroom(&self, context: &Context, open: &mut [OpenMachine]) {
        let Some((spec, wanted)) = self.headroom.wanted() else {
            return;
        };
        let mut order: Vec<(bool, i64, usize)> = open
            .iter()
            .enumerate()
            .filter(|(_, o)| {
                tasks_that_fit(o.free, spec) > 0
                    && permits(context, spec, &o.machine_type, &o.zone, o.spot)
            })
            .map(|(at, o)| {
                let serves = self.machines.get(&o.name).is_some_and(|m| {
                    let mut jobs = m.assignments.iter().map(|a| a.job);
                    jobs.any(|index| self.jobs.get(index).is_some_and(Job::is_daemon))
                });
                (!serves, (o.free.cpus / EPS) as i64, at)
            })
            .collect();
        order.sort();
        let mut kept: BTreeMap<String, u64> = BTreeMap::new();
        for (_, _, at) in order {
            let o = &mut open[at];
            let sum = kept.entry(o.zone.clone()).or_insert(0);
            // No more than is wanted: a whole machine was kept at first, and in a fleet of two none was
            // left for others.
            let n = tasks_that_fit(o.free, spec).min(wanted - *sum);
            *sum += n;
            o.headroom = MachineResources::of_task(spec).times(n as f64);
        }
    }
}
