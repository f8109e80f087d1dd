//! Demand: the tasks that wait for machines, and how soon they are to be completed.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{
    machine_types, machine_types_for, permits, tasks_that_fit, MachineResources,
};
use crate::state::fleet::{MachineOffering, DEFAULT_BOOT_TIME_US};
use crate::state::jobs::{task_fits_machine_type, Job, JobIndex, RESOURCE_TOLERANCE};
use crate::state::machine::Machine;
use crate::{micros, Micros};
use grebewood_quota::Resources;
use grebewood_wire::http::{MachineType, Shape, Submission};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a second, for times as floating-point seconds.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// The slowest image fetch that is calculated with, in GB per second.
const LEAST_FETCH_RATE: f64 = 1e-3;

/// With fewer tasks than this left under its team's limit, a job is no demand.
const LEAST_TASKS: f64 = 0.5;

/// Which machine offerings a pass of the autoscaler plans with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanningPass {
    /// Only those that are about as cheap as the cheapest, to finish in a short time.
    CheapOfferings,
    /// All of them, to finish in the time that the deadline allows.
    AllOfferings,
}

/// Waiting tasks of one job.
pub(crate) struct Demand<'a> {
    /// The job's description.
    pub(crate) spec: &'a Submission,
    /// The only zone that can take these tasks, if there is one: a job that is spread over zones needs free
    /// resources in each of them.
    pub(crate) zone: Option<String>,
    /// How many tasks wait: the paper's `n`.
    pub(crate) tasks: f64,
    /// Run time of a task with its image fetch, in seconds: the paper's `t`.
    pub(crate) run_s: f64,
    /// Time to complete them in, in seconds: the paper's `D`.
    pub(crate) time_left_s: f64,
    /// The same for machines that are still booting: at least a boot and a run, since less cannot be met by
    /// anything that is provisioned now.
    pub(crate) time_left_booting_s: f64,
}

impl Demand<'_> {
    /// Whether the tasks may run one after the other; those of gangs and services need a slot each.
    pub(crate) fn is_batch(&self) -> bool {
        Shape::of(self.spec) == Some(Shape::Batch)
    }

    /// How many of the tasks fit an empty machine of the type; 0 if the job does not permit it.
    pub(crate) fn slots(&self, machine_type: &MachineType, zone: &str, spot: bool) -> f64 {
        let spec = self.spec;
        let permitted = (spec.spot || !spot)
            && spec.zone.as_ref().is_none_or(|wanted| wanted == zone)
            && self.zone.as_ref().is_none_or(|wanted| wanted == zone)
            && task_fits_machine_type(spec, machine_type);
        if permitted {
            tasks_that_fit(MachineResources::of_type(machine_type), spec) as f64
        } else {
            0.0
        }
    }
}

/// Run time of all waiting tasks, in seconds: the paper's `sum(n * t)`.
pub(crate) fn total_run_s(demand: &[Demand]) -> f64 {
    demand.iter().map(|d| d.tasks * d.run_s).sum()
}

/// How long a task of a job runs, and how soon the job's tasks are to be completed, in seconds.
struct DemandTime {
    run_s: f64,
    time_left_s: f64,
    time_left_booting_s: f64,
}

/// Waiting tasks of a job that are to be placed in a zone.
struct ZoneTasks {
    /// The zone; `None`: any will do.
    zone: Option<String>,
    /// How many they are.
    tasks: f64,
}

impl ZoneTasks {
    fn new(zone: Option<&str>, tasks: f64) -> Self {
        let zone = zone.map(str::to_string);
        ZoneTasks { zone, tasks }
    }
}

/// CPUs and accelerators of a team that demand counted so far takes of its limit.
#[derive(Clone, Copy, Default)]
struct PlannedUsage {
    cpus: f64,
    gpus: f64,
}

/// A team's limit, and what is taken of it.
struct LimitUsage {
    limit: Resources,
    /// What the team's tasks use.
    used: Resources,
    /// What demand counted so far takes.
    planned: PlannedUsage,
}

/// The zones of all machine types.
fn catalogue_zones(context: &Context) -> BTreeSet<&str> {
    let zones = machine_types(context).flat_map(|t| &t.zones);
    zones.map(String::as_str).collect()
}

/// What each zone must take of the waiting tasks of a job that is spread over zones, since the others may
/// take no more. Without this, free resources in one zone once seemed to do for all, and half of the
/// replicas of services waited for minutes.
fn tasks_by_zone(job: &Job, zones: &BTreeSet<&str>, tasks: f64) -> Vec<ZoneTasks> {
    if !job.spec.spread {
        return Vec::new();
    }
    let most = job.task_count().div_ceil(2) as f64;
    let left = |zone: &str| {
        let here = job.assignments_by_zone.get(zone).copied().unwrap_or(0);
        (most - f64::from(here)).max(0.0)
    };
    let all: f64 = zones.iter().map(|zone| left(zone)).sum();
    let needed = |zone: &str| (tasks - (all - left(zone))).max(0.0).min(tasks);
    zones
        .iter()
        .map(|zone| ZoneTasks::new(Some(zone), needed(zone)))
        .filter(|in_zone| in_zone.tasks > RESOURCE_TOLERANCE)
        .collect()
}

/// How many of the waiting tasks the team's limit lets run in the time that is left, whatever is provisioned.
fn tasks_within_limit(
    waiting: u64,
    spec: &Submission,
    usage: LimitUsage,
    time: &DemandTime,
) -> f64 {
    let LimitUsage {
        limit,
        used,
        planned,
    } = usage;
    let rounds = (time.time_left_s / time.run_s).max(1.0);
    let tasks_in = |limit: f64, used: f64, planned: f64, need: f64| {
        if need <= RESOURCE_TOLERANCE {
            f64::MAX
        } else {
            ((limit * rounds - used - planned) / need).max(0.0)
        }
    };
    (waiting as f64)
        .min(tasks_in(limit.cpus(), used.cpus(), planned.cpus, spec.cpus))
        .min(tasks_in(limit.gpus(), used.gpus(), planned.gpus, spec.gpus))
}

/// The shortest time in which any machine type fetches the job's image, in microseconds.
fn least_fetch_time(context: &Context, spec: &Submission) -> Micros {
    let rate = |t: &MachineType| t.fetch_gb_per_s.unwrap_or(1.0).max(LEAST_FETCH_RATE);
    machine_types_for(context, spec)
        .map(|t| micros(spec.image_gb / rate(t)))
        .min()
        .unwrap_or(0)
}

impl Scheduler {
    /// The shortest average boot of all machine types, in microseconds.
    pub(crate) fn least_boot_time(&self, context: &Context) -> Micros {
        machine_types(context)
            .map(|t| self.expected_boot_time(t))
            .min()
            .unwrap_or(DEFAULT_BOOT_TIME_US)
    }

    /// Replicas, by job, on machines that are about to be terminated: they need a slot elsewhere now.
    fn leaving_replicas(&self) -> BTreeMap<JobIndex, u64> {
        let mut leaving = BTreeMap::new();
        let is_leaving = |m: &&Machine| m.cordoned || m.reclaim_at.is_some();
        for machine in self.machines.values().filter(is_leaving) {
            for assignment in &machine.assignments {
                let job = self.jobs.get(assignment.job);
                if job.is_some_and(Job::is_daemon) && assignment.stop.is_none() {
                    *leaving.entry(assignment.job).or_insert(0) += 1;
                }
            }
        }
        leaving
    }

    /// The demand, job by job, for a pass of the autoscaler.
    pub(crate) fn demand<'a>(&'a self, context: &Context, pass: PlanningPass) -> Vec<Demand<'a>> {
        let now = context.now.steady;
        let zones = catalogue_zones(context);
        let boot_time = self.least_boot_time(context);
        let mut demand = self.headroom_demand(&zones);
        let leaving = self.leaving_replicas();
        let mut planned_by_team: BTreeMap<&str, PlannedUsage> = BTreeMap::new();
        for (index, job) in self.jobs.iter() {
            // One that keeps failing needs a machine for its next try: left out, it once had none for
            // good after its last was terminated.
            let leaving = leaving.get(&index).copied().unwrap_or(0);
            let waiting = job.placeable_count(now) + job.waiting_at_holders + leaving;
            if waiting == 0 {
                continue;
            }
            let spec = &job.spec;
            let Some(quota) = self.team_quota(context, &spec.team) else {
                continue;
            };
            let time = self.demand_time(context, job, pass, boot_time);
            let planned = planned_by_team.entry(&spec.team).or_default();
            let usage = LimitUsage {
                limit: quota.limit,
                used: self.resources_needed_by(&spec.team),
                planned: *planned,
            };
            let tasks = tasks_within_limit(waiting, spec, usage, &time);
            if tasks < LEAST_TASKS {
                continue;
            }
            planned.cpus += tasks * spec.cpus;
            planned.gpus += tasks * spec.gpus;
            let parts = self.demand_by_zone(context, job, &zones, tasks);
            demand.extend(parts.into_iter().map(|ZoneTasks { zone, tasks }| Demand {
                spec,
                zone,
                tasks,
                run_s: time.run_s,
                time_left_s: time.time_left_s,
                time_left_booting_s: time.time_left_booting_s,
            }));
        }
        demand
    }

    /// The headroom that services are to find when they come: it takes no time of the fleet's.
    fn headroom_demand<'a>(&'a self, zones: &BTreeSet<&str>) -> Vec<Demand<'a>> {
        let Some((spec, replicas)) = self.headroom.wanted() else {
            return Vec::new();
        };
        zones
            .iter()
            .filter(|zone| spec.zone.as_ref().is_none_or(|wanted| wanted == *zone))
            .map(|zone| Demand {
                spec,
                zone: Some(zone.to_string()),
                tasks: replicas as f64,
                run_s: 1.0,
                time_left_s: 1.0,
                time_left_booting_s: 1.0,
            })
            .collect()
    }

    /// How long a task of the job runs, and how soon the job's tasks are to be completed.
    fn demand_time(
        &self,
        context: &Context,
        job: &Job,
        pass: PlanningPass,
        boot_time: Micros,
    ) -> DemandTime {
        let now = context.now.steady;
        let tuning = &context.tuning;
        let (deadline_share, late_deadline) = match pass {
            PlanningPass::CheapOfferings => {
                (tuning.deadline_share_cheap, tuning.late_deadline_cheap_us)
            }
            PlanningPass::AllOfferings => (tuning.deadline_share, tuning.late_deadline_us),
        };
        let fetch = least_fetch_time(context, &job.spec);
        let run_s = (self.stats.expected_run(&job.spec) + fetch) as f64 / MICROS_PER_SECOND;
        // What is late for every objective may take longer: it gains nothing by expensive machines.
        let until_deadline_s = match job.target_finish_at(context, self.time_needed(context, job)) {
            Some(at) => (at - now as i64).max(0) as f64 / MICROS_PER_SECOND * deadline_share,
            None => late_deadline as f64 / MICROS_PER_SECOND,
        };
        let time_left_s = until_deadline_s.max(run_s * tuning.least_rounds);
        let boot_s = boot_time as f64 / MICROS_PER_SECOND;
        DemandTime {
            // Waiting tasks of other shapes need a slot each, now.
            run_s: match job.shape {
                Shape::Batch => run_s,
                _ => time_left_s,
            },
            time_left_s,
            time_left_booting_s: time_left_s.max(boot_s + run_s),
        }
    }

    /// Splits the waiting tasks of a job by the zones that have to take them.
    fn demand_by_zone(
        &self,
        context: &Context,
        job: &Job,
        zones: &BTreeSet<&str>,
        tasks: f64,
    ) -> Vec<ZoneTasks> {
        let mut parts = match job.shape {
            // The rest of a job bound to one zone has no use for free resources elsewhere: with some there,
            // nothing was once provisioned in its own, and it waited for its first tasks to end.
            _ if job.bound_zone().is_some() => vec![ZoneTasks::new(job.bound_zone(), tasks)],
            // Half of the slots in each of two zones are none for a gang that is to be in one.
            Shape::Gang if job.spec.one_zone => {
                let zone = self.gang_zone(context, job, tasks);
                vec![ZoneTasks { zone, tasks }]
            }
            // Tasks that run one after the other can wait for free resources anywhere.
            Shape::Batch => Vec::new(),
            _ => tasks_by_zone(job, zones, tasks),
        };
        let rest = tasks - parts.iter().map(|part| part.tasks).sum::<f64>();
        if rest > RESOURCE_TOLERANCE {
            parts.push(ZoneTasks::new(None, rest));
        }
        parts
    }

    /// The zone in which slots are sought for a gang that is to be in one zone: where there are enough, or
    /// more may be provisioned; of these where there are the most, booting machines included. Half of the
    /// slots in each of two zones once seemed to do, nothing was provisioned, and the gang waited for good.
    fn gang_zone(&self, context: &Context, job: &Job, tasks: f64) -> Option<String> {
        let spec = &job.spec;
        let mut zones = self.zones_for_gang(context, spec);
        self.add_slots(context, spec, &mut zones);
        zones
            .into_iter()
            .filter(|(zone, _)| spec.zone.as_ref().is_none_or(|wanted| wanted == zone))
            .max_by_key(|(_, zone)| (zone.available || zone.slots as f64 >= tasks, zone.slots))
            .map(|(zone, _)| zone.to_string())
    }

    /// The zones of the machine types that fit the job, and whether machines may be provisioned there for it.
    fn zones_for_gang<'a>(
        &self,
        context: &'a Context,
        spec: &'a Submission,
    ) -> BTreeMap<&'a str, GangZone> {
        let now = context.now.steady;
        let mut zones: BTreeMap<&str, GangZone> = BTreeMap::new();
        for machine_type in machine_types_for(context, spec) {
            for zone in &machine_type.zones {
                let available = [false, true].into_iter().any(|spot| {
                    let offering = MachineOffering::new(&machine_type.name, zone, spot);
                    permits(context, spec, &machine_type.name, zone, spot)
                        && (!spot || machine_type.spot_price.is_some())
                        && !self.fleet.is_unavailable(&offering, now)
                });
                zones.entry(zone).or_default().available |= available;
            }
        }
        zones
    }

    /// Adds the slots for the job's tasks on machines that are up, booting or requested.
    fn add_slots(
        &self,
        context: &Context,
        spec: &Submission,
        zones: &mut BTreeMap<&str, GangZone>,
    ) {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let mut add = |machine_type: &str, zone: &str, spot: bool, slots: u64| {
            if permits(context, spec, machine_type, zone, spot) {
                if let Some(zone) = zones.get_mut(zone) {
                    zone.slots += slots;
                }
            }
        };
        let machines = self.machines.values();
        for machine in machines.filter(|m| m.counts_as_capacity(now, heartbeat_timeout)) {
            let slots = tasks_that_fit(machine.free(), spec);
            add(&machine.machine_type, &machine.zone, machine.spot, slots);
        }
        let slots_of_type = |machine_type: &str| {
            let machine_type = context.machine_type(machine_type);
            machine_type.map_or(0, |t| tasks_that_fit(MachineResources::of_type(t), spec))
        };
        for booting in self.fleet.booting_machines.values() {
            let offering = &booting.offering;
            let slots = slots_of_type(&offering.machine_type);
            add(&offering.machine_type, &offering.zone, offering.spot, slots);
        }
        for provision in self.fleet.unanswered_provisions() {
            let record = &provision.record;
            let slots = slots_of_type(&record.machine_type) * record.number;
            add(&record.machine_type, &record.zone, record.spot, slots);
        }
    }
}

/// What a zone has for a gang.
#[derive(Clone, Copy, Default)]
struct GangZone {
    /// Whether machines for it may be provisioned there.
    available: bool,
    /// Slots for its tasks, on machines that are up, booting or requested.
    slots: u64,
}
