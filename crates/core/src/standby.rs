//! Room kept for services that are yet to come, or to come back from a machine that is gone.
//!
//! A replica is missed from its first seconds on, and a machine takes far longer to boot. So where an
//! aim counts that services are served, the decider plans for some jobs' worth of replicas in each
//! zone besides those that wait, and placement keeps that room from batch tasks.

use crate::jobs::{Job, EPS};
use crate::leadership::Lead;
use crate::node::Ctx;
use crate::placement::{permits, slots, Open};
use grebewood_wire::http::Submission;
use std::collections::BTreeMap;

/// The largest service seen, which the room is measured by.
#[derive(Debug, Default)]
pub struct Standby {
    largest: Option<Submission>,
}

/// Replicas of the job that one zone may have to take.
fn share(spec: &Submission) -> u64 {
    match spec.spread {
        true => spec.shards.div_ceil(2),
        false => spec.shards,
    }
}

impl Standby {
    /// Takes note of a service.
    pub fn note(&mut self, job: &Job) {
        let larger = |known: &Submission| {
            share(&job.spec) as f64 * job.spec.vcpus > share(known) as f64 * known.vcpus
        };
        if job.is_daemon() && self.largest.as_ref().is_none_or(larger) {
            self.largest = Some(job.spec.clone());
        }
    }

    /// What the room is measured by, and how many such replicas it is to hold in each zone; none if
    /// no aim counts that services are served, or no service was seen yet.
    pub fn wanted(&self, cx: &Ctx) -> Option<(&Submission, u64)> {
        let spec = self.largest.as_ref()?;
        let n = (share(spec) as f64 * cx.tuning.standby_jobs).ceil() as u64;
        (cx.settings.services_count() && n > 0).then_some((spec, n))
    }
}

impl Lead {
    /// Marks the machines whose free room is kept for services: in each zone the ones with replicas
    /// first, then the fullest, until it is as much as wanted.
    pub(crate) fn keep_standby(&self, cx: &Ctx, open: &mut [Open]) {
        let Some((spec, wanted)) = self.standby.wanted(cx) else {
            return;
        };
        let mut order: Vec<(bool, i64, usize)> = open
            .iter()
            .enumerate()
            .filter(|(_, o)| {
                slots(o.free, spec) > 0 && permits(cx, spec, &o.machine_type, &o.zone, o.spot)
            })
            .map(|(at, o)| {
                let serves = self.machines.get(&o.name).is_some_and(|m| {
                    let mut jobs = m.assignments.iter().map(|a| a.job);
                    jobs.any(|ix| self.jobs.get(ix).is_some_and(Job::is_daemon))
                });
                (!serves, (o.free.0 / EPS) as i64, at)
            })
            .collect();
        order.sort();
        let mut kept: BTreeMap<String, u64> = BTreeMap::new();
        for (_, _, at) in order {
            let o = &mut open[at];
            let sum = kept.entry(o.zone.clone()).or_insert(0);
            if *sum < wanted {
                *sum += slots(o.free, spec);
                o.standby = true;
            }
        }
    }
}
