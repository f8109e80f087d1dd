//! Reservation of machines, within a round, for jobs that are to begin ahead of their turn.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{machine_types_for, tasks_that_fit, OpenMachine};
use crate::state::jobs::{Job, JobIndex};
use grebewood_wire::http::{Shape, Submission};
use std::collections::BTreeSet;

/// A machine that may be reserved for a job.
struct Reservable<'a> {
    name: &'a str,
    zone: &'a str,
    free_cpus: f64,
    /// Tasks of the job that fit the empty machine.
    slots: u64,
}

/// The zones in which the cloud has machines for the job.
fn zones_for<'a>(context: &'a Context, spec: &'a Submission) -> BTreeSet<&'a String> {
    machine_types_for(context, spec)
        .flat_map(|t| &t.zones)
        .filter(|zone| spec.zone.as_ref().is_none_or(|wanted| wanted == *zone))
        .collect()
}

/// A gang that is spread and has but one zone can never begin: a machine was once kept for one for good, and
/// others waited beside it.
fn can_begin(context: &Context, job: &Job) -> bool {
    let spec = &job.spec;
    let needs_two_zones = job.shape == Shape::Gang && spec.spread && spec.tasks > 1;
    !needs_two_zones || zones_for(context, spec).len() >= 2
}

impl Scheduler {
    /// A job that is to begin ahead of its turn and found no free resources for a task: the machine with the most
    /// free CPUs that it could use is kept from the jobs after it, so that its free resources add up. Narrow tasks
    /// once took each slot as it became free, and a job of wide ones began after ten minutes. For a
    /// gang as many machines are kept as hold all of it: with one it once waited for good.
    pub(crate) fn reserve_for_beginning(
        &self,
        context: &Context,
        index: JobIndex,
        open: &mut Vec<OpenMachine>,
    ) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if !job.must_begin_early(context.now.steady)
            || !self.has_quota(context, index)
            || !can_begin(context, job)
        {
            return;
        }
        let needed = match job.shape {
            Shape::Gang => job.initial_task_count(),
            _ => 1,
        };
        let mut slots = 0;
        let mut reserved = BTreeSet::new();
        for machine in self.reservable(context, &job.spec, open) {
            if slots >= needed {
                break;
            }
            slots += machine.slots;
            reserved.insert(machine.name.to_string());
        }
        open.retain(|machine| !reserved.contains(&machine.name));
    }

    /// Machines that may be reserved for the job, those with the most free CPUs first.
    fn reservable<'a>(
        &self,
        context: &Context,
        spec: &Submission,
        open: &'a [OpenMachine],
    ) -> Vec<Reservable<'a>> {
        let mut reservable: Vec<Reservable> = open
            .iter()
            .filter(|open| open.permits(context, spec))
            .filter_map(|open| {
                let machine = self.machines.get(&open.name)?;
                Some(Reservable {
                    name: &open.name,
                    zone: &open.zone,
                    free_cpus: open.free.cpus,
                    slots: tasks_that_fit(machine.resources(), spec),
                })
            })
            .collect();
        reservable.sort_by(|a, b| {
            let most_free_first = (-a.free_cpus).total_cmp(&-b.free_cpus);
            most_free_first.then_with(|| a.name.cmp(b.name))
        });
        if let (true, Some(first)) = (spec.one_zone, reservable.first()) {
            let zone = first.zone;
            reservable.retain(|machine| machine.zone == zone);
        }
        reservable
    }
}
