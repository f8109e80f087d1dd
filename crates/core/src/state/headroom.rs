//! Headroom: free resources that are reserved for the replicas of services (daemon jobs), both for new services and
//! for replicas that have to be restarted after a machine is lost.
//!
//! Users notice a missing replica within seconds, and a machine takes far longer to boot. While there are services,
//! the autoscaler therefore plans for the replicas of some additional jobs in each zone, and placement does not give
//! this headroom to batch tasks. Before the first service is submitted, the only known hint is a service-level
//! objective that requires a class to start sooner than a machine boots. While no job of such a class has been seen,
//! on-demand machines are kept free in each zone.

use crate::context::Context;
use crate::state::bin_packing::{
    machine_types, machine_types_for, tasks_that_fit, MachineResources,
};
use crate::state::jobs::{Job, Jobs};
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{MachineType, Priority, Submission};
use std::collections::BTreeSet;

/// Number of machines in the fleet for each machine that may be kept free.
const MACHINES_PER_FREE_MACHINE: u64 = 10;

/// Number of machines in the fleet for each machine that the headroom for the replicas of one job may take.
const MACHINES_PER_JOB: u64 = 4;

/// Number of machines that the headroom in each zone is worth at least, as far as the size of the fleet permits.
const MIN_HEADROOM_MACHINES: u64 = 2;

/// Time for which headroom is kept after the last service has ended, in microseconds.
const KEPT_AFTER_LAST_SERVICE_US: Micros = 120 * SECOND;

/// Maximum number of classes that are remembered. Users choose their names, so the number has to be limited.
const MAX_CLASSES: usize = 1_000;

/// Largest service that was seen.
#[derive(Debug)]
struct LargestService {
    spec: Submission,
    /// Time at which a service was last live, in microseconds.
    last_live: Micros,
}

/// Headroom that is to be reserved.
#[derive(Debug)]
struct HeadroomTarget {
    /// Service that the headroom is measured by.
    spec: Submission,
    /// Number of replicas of the service that are to fit into the headroom of each zone.
    replicas: u64,
}

/// Services that were seen, and the headroom that is reserved for services.
#[derive(Debug, Default)]
pub struct Headroom {
    /// Largest service that was seen, by which the headroom is measured.
    largest: Option<LargestService>,
    /// Classes of which a job was seen.
    classes: BTreeSet<String>,
    /// Whether there are live services.
    has_live_services: bool,
    /// Headroom that is to be reserved now.
    target: Option<HeadroomTarget>,
}

/// Returns the number of replicas of the job that a single zone may have to take.
fn replicas_in_zone(spec: &Submission) -> u64 {
    match spec.spread {
        true => spec.tasks.div_ceil(2),
        false => spec.tasks,
    }
}

/// Returns the CPUs that replicas of the job may take in a single zone.
fn cpus_in_zone(spec: &Submission) -> f64 {
    replicas_in_zone(spec) as f64 * spec.cpus
}

fn zone_count(context: &Context) -> u64 {
    let zones: BTreeSet<&String> = machine_types(context).flat_map(|t| &t.zones).collect();
    zones.len() as u64
}

/// Returns the number of replicas of the service that are to fit into the headroom of each zone, in a fleet of
/// `machines` machines.
fn target_replicas(context: &Context, spec: &Submission, machines: u64) -> u64 {
    let zones = zone_count(context).max(1);
    let target = (replicas_in_zone(spec) as f64 * context.tuning.standby_jobs).ceil() as u64;
    let per_machine = machine_types_for(context, spec)
        .map(|t| tasks_that_fit(MachineResources::of_type(t), spec))
        .min()
        .unwrap_or(0);
    // In a small fleet, headroom must not take the resources of all other jobs. It takes at most a tenth of the
    // machines, or the replicas of one job if they take no more than a quarter of the machines.
    let most = machines / MACHINES_PER_FREE_MACHINE * per_machine / zones;
    let one_job = machines * per_machine / MACHINES_PER_JOB / zones;
    // The first services may be small, and more of them may be submitted before a new machine is up.
    target
        .max(per_machine * MIN_HEADROOM_MACHINES)
        .min(most.max(replicas_in_zone(spec).min(one_job)))
}

impl Headroom {
    /// Records the class of a job and, if the job is the largest service so far, its submission.
    pub fn record_job(&mut self, job: &Job, now: Micros) {
        if !self.classes.contains(&job.spec.class) && self.classes.len() < MAX_CLASSES {
            self.classes.insert(job.spec.class.clone());
        }
        let is_larger =
            |known: &LargestService| cpus_in_zone(&job.spec) > cpus_in_zone(&known.spec);
        if job.is_daemon() && self.largest.as_ref().is_none_or(is_larger) {
            self.largest = Some(LargestService {
                spec: job.spec.clone(),
                last_live: now,
            });
        }
    }

    /// Recomputes the headroom for a fleet of `machines` machines.
    pub fn update(&mut self, context: &Context, jobs: &Jobs, machines: usize) {
        let now = context.now.steady;
        self.has_live_services = jobs
            .iter()
            .any(|(_, job)| job.is_daemon() && job.cancelled_at.is_none());
        if let Some(largest) = &mut self.largest {
            if self.has_live_services {
                largest.last_live = now;
            } else if now.saturating_sub(largest.last_live) > KEPT_AFTER_LAST_SERVICE_US {
                self.largest = None;
            }
        }
        let target = self.target_in(context, machines as u64);
        self.target = target.filter(|target| target.replicas > 0);
    }

    fn target_in(&self, context: &Context, machines: u64) -> Option<HeadroomTarget> {
        if context.tuning.standby_jobs <= 0.0 {
            return None;
        }
        if let Some(LargestService { spec, .. }) = &self.largest {
            return Some(HeadroomTarget {
                spec: spec.clone(),
                replicas: target_replicas(context, spec, machines),
            });
        }
        let most = machines / MACHINES_PER_FREE_MACHINE / zone_count(context).max(1);
        Some(HeadroomTarget {
            spec: self.unseen_service(context)?,
            replicas: MIN_HEADROOM_MACHINES.min(most),
        })
    }

    /// Returns a service that takes a whole on-demand machine of the cheapest type, if an objective requires some
    /// class to start sooner than such a machine boots and no job of that class has been seen yet.
    fn unseen_service(&self, context: &Context) -> Option<Submission> {
        let cheapest = machine_types(context).min_by(|a, b| a.price.total_cmp(&b.price))?;
        let boot = micros(cheapest.boot_s);
        let starts_before_boot = context.settings.objectives.iter().any(|objective| {
            objective.kind == "wait"
                && objective.within.is_some_and(|within| within < boot)
                && !self.classes.contains(&objective.class)
        });
        starts_before_boot.then(|| whole_machine(cheapest))
    }

    /// Returns whether there are no live services. Headroom may still be reserved in this case.
    pub fn has_no_live_services(&self) -> bool {
        !self.has_live_services
    }

    /// Returns the service that the headroom is measured by, and the number of its replicas that are to fit into the
    /// headroom of each zone.
    pub fn target(&self) -> Option<(&Submission, u64)> {
        let target = self.target.as_ref()?;
        Some((&target.spec, target.replicas))
    }
}

/// Returns a service whose only replica takes a whole on-demand machine of the type.
fn whole_machine(machine_type: &MachineType) -> Submission {
    Submission {
        id: String::new(),
        class: String::new(),
        team: String::new(),
        shape: "daemon".into(),
        priority: Priority::Prod,
        tasks: 1,
        cpus: machine_type.cpus,
        gpus: 0.0,
        memory_gb: machine_type.memory_gb,
        image: String::new(),
        image_gb: 0.0,
        machine_types: Some(vec![machine_type.name.clone()]),
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        expected_s: 0.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
    }
}
