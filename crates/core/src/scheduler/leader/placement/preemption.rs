//! Preemption by priority: stops tasks of lower priority for jobs that wait.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::grace;
use crate::scheduler::leader::placement::{PreemptionCandidate, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::{Job, JobIndex, BEGIN_AFTER, EPS};
use crate::state::machine::{Machine, ObservedStatus};
use crate::{micros, Micros, SECOND};
use grebewood_quota::TeamAmounts;
use grebewood_wire::http::Priority;
use grebewood_wire::http::Shape;
use std::collections::{BTreeMap, BTreeSet};

/// The zone in which room can be made for a `one_zone` job: that of its tasks, else the one where
/// the most of them would fit.
fn zone_for(
    context: &Context,
    job: &Job,
    pool: &[(&Machine, MachineResources, Vec<PreemptionCandidate>)],
) -> Option<String> {
    let spec = &job.spec;
    if !spec.one_zone {
        return None;
    }
    if let Some(zone) = job.bound_zone() {
        return Some(zone.to_string());
    }
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for (m, room, victims) in pool {
        if permits(context, spec, &m.machine_type, &m.zone, m.spot) {
            let lower = victims.iter().filter(|v| v.priority < spec.priority);
            let gain = lower.fold(*room, |sum, v| sum + v.resources);
            *zones.entry(&m.zone).or_insert(0) += tasks_that_fit(gain, spec);
        }
    }
    let best = zones.into_iter().max_by_key(|(_, n)| *n);
    best.map(|(zone, _)| zone.to_string())
}

impl Scheduler {
    /// Stops tasks of lower priority that can save, for jobs that wait for room or for their
    /// team's quota. Only as much is stopped on a machine as makes room there for a whole task,
    /// and that room is kept from lower priorities until it is taken: narrow tasks that were
    /// stopped for a wide one used to come back into the gap, to be stopped again.
    pub(crate) fn preempt(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        let now = context.now.steady;
        let wants = |j: &Job| {
            let waited = j.waiting_since.map_or(0, |at| now.saturating_sub(at));
            j.spec.priority > Priority::Idle
                && !j.keeps_failing()
                && j.placeable(now) > 0
                && waited >= context.tuning.preempt_after_us
                && j.target(context, self.need(context, j)).is_some()
        };
        let queue: Vec<JobIndex> = queue
            .iter()
            .map(|queued| queued.index)
            .filter(|index| self.jobs.get(*index).is_some_and(wants))
            .collect();
        if queue.is_empty() {
            return;
        }
        let silence = context.settings.heartbeat_interval * 3;
        // Where guarantees are enforced, work within them is served before all other, and does not make
        // way for it.
        let guaranteed = match self.enforces_guarantees(context) {
            true => self.within_guarantee(context),
            false => BTreeSet::new(),
        };
        let mut stopping = TeamAmounts::new();
        // What is free, or will be, and what could be stopped, on each machine.
        let mut pool: Vec<(&Machine, MachineResources, Vec<PreemptionCandidate>)> = Vec::new();
        for m in self.machines.values().filter(|m| m.usable(now, silence)) {
            let mut room = m.free();
            for a in m.assignments.iter().filter(|a| a.stop.is_some()) {
                room = room + a.resources();
                let freed = stopping.entry(a.team.clone()).or_default();
                *freed = freed.plus(a.amount());
            }
            let victims = self.victims(context, m, &guaranteed);
            if room.cpus > EPS || !victims.is_empty() {
                pool.push((m, room, victims));
            }
        }
        let mut stops: Vec<(String, u64, Micros)> = Vec::new();
        for index in queue {
            let Some(j) = self.jobs.get(index) else {
                continue;
            };
            let spec = &j.spec;
            let Some(limit) = self.limit_of(context, &spec.team) else {
                continue;
            };
            let mut need = j.placeable(now);
            let used = self.needed_by(&spec.team);
            let freed = stopping.get(&spec.team).copied().unwrap_or_default();
            let mut quota = (
                limit.limit.cpus() - used.cpus() + freed.cpus(),
                limit.limit.gpus() - used.gpus() + freed.gpus(),
            );
            let within =
                |quota: (f64, f64)| quota.0 + EPS >= spec.cpus && quota.1 + EPS >= spec.gpus;
            let task = MachineResources::of_task(spec);
            // Room in a zone that may take none of its tasks, given where the others are, is none:
            // tasks there were once stopped for it, came back, and were stopped again.
            let zone = zone_for(context, j, &pool);
            let fits_here = |m: &Machine| {
                permits(context, spec, &m.machine_type, &m.zone, m.spot)
                    && j.zone_permits(&m.zone)
                    && zone.as_ref().is_none_or(|z| *z == m.zone)
            };
            // A gang needs all of its room: what is stopped for a part of it is stopped for nothing.
            let whole = j.shape == Shape::Gang;
            let before = whole.then(|| pool.clone());
            let stops_before = stops.len();
            // What is free, or will be, is counted first.
            for (m, room, _) in &mut pool {
                while need > 0 && within(quota) && tasks_that_fit(*room, spec) > 0 && fits_here(m) {
                    *room = *room - task;
                    quota = (quota.0 - task.cpus, quota.1 - task.gpus);
                    need -= 1;
                }
            }
            for (m, room, victims) in &mut pool {
                if need == 0 {
                    break;
                }
                if victims.is_empty() || !fits_here(m) {
                    continue;
                }
                // Its own team's tasks first, since they free quota too; then the youngest.
                victims.sort_by_key(|v| (v.team != spec.team, v.ran, v.attempt));
                while need > 0 {
                    let mut gain = *room;
                    let mut quota_gain = quota;
                    let mut chosen = Vec::new();
                    for (at, v) in victims.iter().enumerate() {
                        if tasks_that_fit(gain, spec) > 0 && within(quota_gain) {
                            break;
                        }
                        let first = v.guaranteed && !guaranteed.contains(&index);
                        if v.priority >= spec.priority || first {
                            continue;
                        }
                        chosen.push(at);
                        gain = gain + v.resources;
                        if v.team == spec.team {
                            quota_gain = (
                                quota_gain.0 + v.resources.cpus,
                                quota_gain.1 + v.resources.gpus,
                            );
                        }
                    }
                    if tasks_that_fit(gain, spec) == 0 || !within(quota_gain) {
                        break;
                    }
                    for at in chosen.into_iter().rev() {
                        let v = victims.remove(at);
                        stops.push((m.name.clone(), v.attempt, v.grace));
                    }
                    *room = gain - task;
                    quota = (quota_gain.0 - task.cpus, quota_gain.1 - task.gpus);
                    need -= 1;
                }
            }
            if let (true, Some(before)) = (need > 0, before) {
                pool = before;
                stops.truncate(stops_before);
            }
        }
        for (name, attempt, grace) in stops {
            if let Some(m) = self.machines.get_mut(&name) {
                m.kept_until = now + grace + 4 * SECOND;
            }
            self.stop_on(context, &name, grace, |a| a.attempt == attempt);
        }
    }

    /// Tasks on the machine that may be stopped for others of higher priority.
    pub(crate) fn victims(
        &self,
        context: &Context,
        m: &Machine,
        guaranteed: &BTreeSet<JobIndex>,
    ) -> Vec<PreemptionCandidate> {
        let now = context.now.steady;
        let mut victims = Vec::new();
        for a in &m.assignments {
            let Some(job) = self.jobs.get(a.job) else {
                continue;
            };
            let ran = a.started.map_or(0, |at| now.saturating_sub(at));
            // A start counts for an aim only if the task is left alone for 30 s; and what a job
            // begins with after a long wait stays.
            let live: u32 = job.zones.values().sum();
            let beginning = job.age(now) > BEGIN_AFTER && live as u64 <= job.beginning();
            let least_run = match beginning || context.settings.starts_count(&job.spec.class) {
                true => 31 * SECOND,
                false => 5 * SECOND,
            };
            if a.stop.is_some()
                || job.is_daemon()
                || job.spec.checkpoint_interval_s <= 0.0
                || a.seen != ObservedStatus::Running
                || ran < least_run
                || a.remaining(now, 0) < 10 * SECOND
            {
                continue;
            }
            victims.push(PreemptionCandidate {
                ran,
                priority: job.preemption_priority(),
                attempt: a.attempt,
                guaranteed: guaranteed.contains(&a.job),
                team: a.team.clone(),
                grace: grace(micros(job.spec.checkpoint_duration_s)),
                resources: a.resources(),
            });
        }
        victims
    }
}
