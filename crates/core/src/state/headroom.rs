//! How much headroom is reserved for services that are yet to come, or to come back from a lost machine.
//!
//! A replica is missed from its first seconds on, and a machine takes far longer to boot. So as long as there are
//! services, the autoscaler plans for some jobs' worth of replicas in each zone besides those that wait, and placement
//! keeps that headroom from batch tasks. Before the first service comes, nothing is known but that a service-level
//! objective may have a class start sooner than a machine boots: while no job of such a class was seen, ordinary
//! machines are kept free in each zone.

use crate::context::Context;
use crate::state::bin_packing::{tasks_that_fit, MachineResources};
use crate::state::jobs::{fits_type, Job, Jobs};
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{Priority, Submission};
use std::collections::BTreeSet;

/// At most this part of the machines is kept free.
const KEPT_PART: u64 = 10;

/// Machines' worth of room that is kept free in each zone at least.
const LEAST: u64 = 2;

/// MachineResources is kept for so long after the last service ended.
const KEPT_AFTER: Micros = 120 * SECOND;

/// Most classes that are remembered: their names are the users' words.
const MOST_CLASSES: usize = 1_000;

/// What is known of services.
#[derive(Debug, Default)]
pub struct Headroom {
    /// The largest service seen, which the room is measured by, and when one was last live.
    largest: Option<(Submission, Micros)>,
    /// Classes of which a job was seen.
    classes: BTreeSet<String>,
    /// Whether there are services now.
    live: bool,
    /// What the room is measured by now, and how many of it are to find room in each zone.
    wanted: Option<(Submission, u64)>,
}

/// Replicas of the job that one zone may have to take.
fn share(spec: &Submission) -> u64 {
    match spec.spread {
        true => spec.tasks.div_ceil(2),
        false => spec.tasks,
    }
}

impl Headroom {
    /// Takes note of a job.
    pub fn note(&mut self, job: &Job, now: Micros) {
        if !self.classes.contains(&job.spec.class) && self.classes.len() < MOST_CLASSES {
            self.classes.insert(job.spec.class.clone());
        }
        let larger = |known: &Submission| {
            share(&job.spec) as f64 * job.spec.cpus > share(known) as f64 * known.cpus
        };
        if job.is_daemon() && self.largest.as_ref().is_none_or(|(known, _)| larger(known)) {
            self.largest = Some((job.spec.clone(), now));
        }
    }

    /// Looks anew for what room is to be kept, by a fleet of so many machines.
    pub fn update(&mut self, context: &Context, jobs: &Jobs, machines: usize) {
        let now = context.now.steady;
        let any = jobs
            .iter()
            .any(|(_, j)| j.is_daemon() && j.cancelled.is_none());
        self.live = any;
        if let Some((_, seen)) = &mut self.largest {
            if any {
                *seen = now;
            } else if now.saturating_sub(*seen) > KEPT_AFTER {
                self.largest = None;
            }
        }
        let part = machines as u64 / KEPT_PART;
        let zones: BTreeSet<&String> = context
            .catalogue
            .iter()
            .flatten()
            .flat_map(|t| &t.zones)
            .collect();
        let zones = zones.len() as u64;
        self.wanted = match &self.largest {
            _ if context.tuning.standby_jobs <= 0.0 => None,
            Some((spec, _)) => {
                let jobs = (share(spec) as f64 * context.tuning.standby_jobs).ceil() as u64;
                // The first ones may be small, and more come before a machine is up.
                let machine = context
                    .catalogue
                    .iter()
                    .flatten()
                    .filter(|t| fits_type(spec, t))
                    .map(|t| tasks_that_fit(MachineResources::of_type(t), spec))
                    .min();
                let machine = machine.unwrap_or(0);
                // In a small fleet it must not take the room of all others: a tenth at most, or one
                // job's worth if that is no more than a quarter.
                let most = part * machine / zones.max(1);
                let quarter = machines as u64 * machine / 4 / zones.max(1);
                let n = jobs
                    .max(machine * LEAST)
                    .min(most.max(share(spec).min(quarter)));
                Some((spec.clone(), n))
            }
            None => self
                .unknown(context)
                .map(|spec| (spec, LEAST.min(part / zones.max(1)))),
        }
        .filter(|(_, n)| *n > 0);
    }

    /// Stands for a job of a class that is to start sooner than a machine boots, and of which none was
    /// seen yet: a whole ordinary machine of the cheapest type.
    fn unknown(&self, context: &Context) -> Option<Submission> {
        let build = context
            .catalogue
            .iter()
            .flatten()
            .min_by(|a, b| a.price.total_cmp(&b.price))?;
        let boot = micros(build.boot_s);
        let soon = context.settings.objectives.iter().any(|o| {
            o.kind == "wait"
                && o.within.is_some_and(|within| within < boot)
                && !self.classes.contains(&o.class)
        });
        soon.then(|| Submission {
            id: String::new(),
            class: String::new(),
            team: String::new(),
            shape: "daemon".into(),
            priority: Priority::Prod,
            tasks: 1,
            cpus: build.cpus,
            gpus: 0.0,
            memory_gb: build.memory_gb,
            image: String::new(),
            image_gb: 0.0,
            machine_types: Some(vec![build.name.clone()]),
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            expected_s: 0.0,
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: None,
        })
    }

    /// Whether room is kept though there are no services now.
    pub fn may_yield(&self) -> bool {
        !self.live
    }

    /// What the room is measured by, and how many such replicas it is to hold in each zone.
    pub fn wanted(&self) -> Option<(&Submission, u64)> {
        self.wanted.as_ref().map(|(spec, n)| (spec, *n))
    }
}
