//! How much headroom is reserved for services that are yet to come, or to come back from a lost machine.
//!
//! A replica is missed from its first seconds on, and a machine takes far longer to boot. So as long as there are
//! services, the autoscaler plans for some jobs' worth of replicas in each zone besides those that wait, and placement
//! keeps that headroom from batch tasks. Before the first service comes, nothing is known but that a service-level
//! objective may have a class start sooner than a machine boots: while no job of such a class was seen, on-demand
//! machines are kept free in each zone.

use crate::context::Context;
use crate::state::bin_packing::{
    machine_types, machine_types_for, tasks_that_fit, MachineResources,
};
use crate::state::jobs::{Job, Jobs};
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{MachineType, Priority, Submission};
use std::collections::BTreeSet;

/// One of so many machines may be kept free at most.
const MACHINES_PER_HEADROOM: u64 = 10;

/// One job's worth of headroom may take one of so many machines.
const MACHINES_PER_JOB: u64 = 4;

/// Machines' worth of headroom in each zone at least.
const LEAST_MACHINES: u64 = 2;

/// Headroom is kept for so long after the last service ended, in microseconds.
const KEPT_AFTER: Micros = 120 * SECOND;

/// Most classes that are remembered: their names are chosen by users.
const MAX_CLASSES: usize = 1_000;

/// The largest service that was seen.
#[derive(Debug)]
struct LargestService {
    spec: Submission,
    /// When a service was last live, in microseconds.
    last_live: Micros,
}

/// Headroom that is wanted.
#[derive(Debug)]
struct WantedHeadroom {
    /// The service that it is measured by.
    spec: Submission,
    /// Replicas of it that are to fit in each zone.
    replicas: u64,
}

/// What is known of services, and the headroom that they need.
#[derive(Debug, Default)]
pub struct Headroom {
    /// The largest service seen, which headroom is measured by.
    largest: Option<LargestService>,
    /// Classes of which a job was seen.
    classes: BTreeSet<String>,
    /// Whether there are services now.
    live: bool,
    /// The headroom that is wanted now.
    wanted: Option<WantedHeadroom>,
}

/// Replicas of the job that one zone may have to take.
fn replicas_in_zone(spec: &Submission) -> u64 {
    match spec.spread {
        true => spec.tasks.div_ceil(2),
        false => spec.tasks,
    }
}

/// CPUs of the job that one zone may have to take.
fn cpus_in_zone(spec: &Submission) -> f64 {
    replicas_in_zone(spec) as f64 * spec.cpus
}

fn zone_count(context: &Context) -> u64 {
    let zones: BTreeSet<&String> = machine_types(context).flat_map(|t| &t.zones).collect();
    zones.len() as u64
}

/// The replicas of the service that headroom is to hold in each zone, in a fleet of so many machines.
fn wanted_replicas(context: &Context, spec: &Submission, machines: u64) -> u64 {
    let zones = zone_count(context).max(1);
    let wanted = (replicas_in_zone(spec) as f64 * context.tuning.standby_jobs).ceil() as u64;
    let per_machine = machine_types_for(context, spec)
        .map(|t| tasks_that_fit(MachineResources::of_type(t), spec))
        .min()
        .unwrap_or(0);
    // In a small fleet it must not take the resources of all others: a tenth at most, or one
    // job's worth if that is no more than a quarter.
    let most = machines / MACHINES_PER_HEADROOM * per_machine / zones;
    let one_job = machines * per_machine / MACHINES_PER_JOB / zones;
    // The first services may be small, and more come before a machine is up.
    wanted
        .max(per_machine * LEAST_MACHINES)
        .min(most.max(replicas_in_zone(spec).min(one_job)))
}

impl Headroom {
    /// Takes note of a job.
    pub fn note_job(&mut self, job: &Job, now: Micros) {
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

    /// Looks anew at how much headroom is wanted, in a fleet of so many machines.
    pub fn update(&mut self, context: &Context, jobs: &Jobs, machines: usize) {
        let now = context.now.steady;
        self.live = jobs
            .iter()
            .any(|(_, job)| job.is_daemon() && job.cancelled_at.is_none());
        if let Some(largest) = &mut self.largest {
            if self.live {
                largest.last_live = now;
            } else if now.saturating_sub(largest.last_live) > KEPT_AFTER {
                self.largest = None;
            }
        }
        let wanted = self.wanted_in(context, machines as u64);
        self.wanted = wanted.filter(|wanted| wanted.replicas > 0);
    }

    fn wanted_in(&self, context: &Context, machines: u64) -> Option<WantedHeadroom> {
        if context.tuning.standby_jobs <= 0.0 {
            return None;
        }
        if let Some(LargestService { spec, .. }) = &self.largest {
            return Some(WantedHeadroom {
                spec: spec.clone(),
                replicas: wanted_replicas(context, spec, machines),
            });
        }
        let most = machines / MACHINES_PER_HEADROOM / zone_count(context).max(1);
        Some(WantedHeadroom {
            spec: self.unseen_service(context)?,
            replicas: LEAST_MACHINES.min(most),
        })
    }

    /// Stands for a job of a class that is to start sooner than a machine boots, and of which none was
    /// seen yet: a whole on-demand machine of the cheapest type.
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

    /// Whether headroom is kept though there are no services now.
    pub fn has_no_live_services(&self) -> bool {
        !self.live
    }

    /// The service that headroom is measured by, and how many replicas of it are to fit in each zone.
    pub fn wanted(&self) -> Option<(&Submission, u64)> {
        let wanted = self.wanted.as_ref()?;
        Some((&wanted.spec, wanted.replicas))
    }
}

/// A service whose only replica takes a whole machine of the type.
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
