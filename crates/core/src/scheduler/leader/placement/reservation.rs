//! Reserves machines during a placement round for jobs that have waited too long to start.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{machine_types_for, tasks_that_fit, MachineResources, OpenMachine};
use crate::state::jobs::{Job, JobIndex};
use crate::state::machine::{Assignment, Machine};
use grebewood_wire::http::{Shape, Submission};
use log::debug;
use std::collections::BTreeSet;

/// A machine that may be reserved for a job.
struct ReservableMachine<'a> {
    name: &'a str,
    zone: &'a str,
    free_cpus: f64,
    /// How many tasks of the job fit the machine once all of its tasks but the replicas of services have ended.
    slots: u64,
}

/// Returns the zones in which the cloud offers machine types for the job and which the job permits.
fn zones_with_machines_for<'a>(context: &'a Context, spec: &'a Submission) -> BTreeSet<&'a String> {
    machine_types_for(context, spec)
        .flat_map(|t| &t.zones)
        .filter(|zone| spec.zone.as_ref().is_none_or(|wanted| wanted == *zone))
        .collect()
}

/// Returns whether the job can start in the zones that it has. A spread gang that has only one zone can never
/// start. Without this check, machines stay reserved for such a gang forever while other jobs wait for them.
fn can_start(context: &Context, job: &Job) -> bool {
    let spec = &job.spec;
    let needs_two_zones = job.shape == Shape::Gang && spec.spread && spec.tasks > 1;
    !needs_two_zones || zones_with_machines_for(context, spec).len() >= 2
}

impl Scheduler {
    /// Reserves machines for a job that has waited too long to start and still has no task assigned, so that free
    /// resources accumulate on them: jobs that are served later in the round cannot use them, unless they have waited
    /// too long beside free resources. The machines with the most free CPUs that the job permits are reserved. Nothing
    /// is reserved if the job does not fit its team's limit or cannot start in its zones.
    ///
    /// Without the reservation, tasks that need few resources use each slot as soon as it is freed, and a job
    /// whose tasks need many resources starts only after ten minutes. For a gang, enough machines are reserved for
    /// all of its tasks: with a single machine it would never start.
    pub(crate) fn reserve_for_overdue_start(
        &mut self,
        context: &Context,
        index: JobIndex,
        open: &mut [OpenMachine],
    ) {
        let now = context.now.steady;
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if !job.must_begin_early(now) || !self.has_quota(context, index) || !can_start(context, job)
        {
            return;
        }
        let id = job.id.clone();
        let reserved = self.machines_to_reserve(context, job, open);
        for machine in open.iter_mut().filter(|m| reserved.contains(&m.name)) {
            machine.reserved = true;
            let reserved_machines = &mut self.placement.reserved_machines;
            if reserved_machines.observe(&machine.name, now) {
                debug!(
                    job = id, machine = machine.name;
                    "reserved a machine for a job that has waited too long to start"
                );
            }
        }
    }

    /// Returns the names of the machines to be reserved for the job.
    fn machines_to_reserve(
        &self,
        context: &Context,
        job: &Job,
        open: &[OpenMachine],
    ) -> BTreeSet<String> {
        let needed_slots = match job.shape {
            Shape::Gang => job.initial_task_count(),
            _ => 1,
        };
        let mut reserved_slots = 0;
        let mut reserved = BTreeSet::new();
        for machine in self.reservable_machines(context, &job.spec, open) {
            if reserved_slots >= needed_slots {
                break;
            }
            reserved_slots += machine.slots;
            reserved.insert(machine.name.to_string());
        }
        reserved
    }

    /// Returns the machines that may be reserved for the job, those with the most free CPUs first. For a
    /// `one_zone` job these are the machines in the zone of the first one.
    fn reservable_machines<'a>(
        &self,
        context: &Context,
        spec: &Submission,
        open: &'a [OpenMachine],
    ) -> Vec<ReservableMachine<'a>> {
        let mut reservable: Vec<ReservableMachine> = open
            .iter()
            .filter(|open| !open.reserved && open.permits(context, spec))
            .filter_map(|open| {
                let machine = self.machines.get(&open.name)?;
                Some(ReservableMachine {
                    name: &open.name,
                    zone: &open.zone,
                    free_cpus: open.free.cpus,
                    slots: tasks_that_fit(self.resources_without_replicas(machine), spec),
                })
            })
            .filter(|machine| machine.slots > 0)
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

    /// Returns the resources of a machine that its replicas of services do not take. Replicas never end.
    fn resources_without_replicas(&self, machine: &Machine) -> MachineResources {
        let is_replica = |a: &&Assignment| self.jobs.get(a.job).is_some_and(Job::is_daemon);
        let replicas = machine.assignments.iter().filter(is_replica);
        replicas.fold(machine.resources(), |left, a| left - a.resources())
    }
}
