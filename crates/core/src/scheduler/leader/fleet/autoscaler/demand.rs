//! Demand: the tasks that wait for machines, and the time in which they are to be completed. "The paper" is the
//! one that the [autoscaler](super) follows.

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

/// Lower bound of the image fetch rate used in estimates, in GB per second.
const MIN_FETCH_RATE_GB_PER_S: f64 = 1e-3;

/// A job of which fewer tasks than this fit under its team's limit is left out of the demand.
const MIN_TASKS_IN_DEMAND: f64 = 0.5;

/// A planning pass. Each round of the autoscaler makes both passes, in this order; a pass determines the offerings of
/// which machines may be added to the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanningPass {
    /// Adds only offerings that are about as cheap as the cheapest, for a short completion time.
    CheapOfferings,
    /// Adds any offering, for the completion time that the deadline allows.
    AllOfferings,
}

/// Waiting tasks of one job, or the headroom for services, that may have to run in one zone.
pub(crate) struct Demand<'a> {
    /// Submission of the job. For the headroom, the submission of the service whose replicas are the unit in which
    /// headroom is measured.
    pub(crate) spec: &'a Submission,
    /// Zone in which these tasks must run; `None` if any zone will do. A job that is spread over zones needs free
    /// resources in each of them.
    pub(crate) zone: Option<String>,
    /// Number of waiting tasks: the paper's `n`.
    pub(crate) tasks: f64,
    /// Run time of a task, image fetch included, in seconds: the paper's `t`.
    pub(crate) run_s: f64,
    /// Time in which the tasks are to be completed, in seconds: the paper's `D`.
    pub(crate) time_left_s: f64,
    /// Time in which machines that are still booting are to complete the tasks, in seconds. This time is at least
    /// one boot plus one run, since a machine that is provisioned now cannot be faster.
    pub(crate) time_left_booting_s: f64,
}

impl Demand<'_> {
    /// Returns whether the tasks may run one after the other. Tasks of gangs and services each need a slot of
    /// their own.
    pub(crate) fn is_batch(&self) -> bool {
        Shape::of(self.spec) == Some(Shape::Batch)
    }

    /// Returns how many of the tasks fit on an empty machine of the type, or 0 if the job may not run there.
    pub(crate) fn slots_per_machine(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
    ) -> f64 {
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

/// Returns the total run time of all waiting tasks, in seconds: the paper's `sum(n * t)`.
pub(crate) fn total_run_s(demand: &[Demand]) -> f64 {
    demand.iter().map(|d| d.tasks * d.run_s).sum()
}

/// Run time of a job's tasks and the time in which they are to be completed, in seconds. See [`Demand`].
struct DemandTime {
    run_s: f64,
    time_left_s: f64,
    time_left_booting_s: f64,
}

/// Number of waiting tasks of a job that are to be placed in a zone.
struct ZoneTasks {
    /// Zone, or `None` if any zone will do.
    zone: Option<String>,
    /// Number of tasks.
    tasks: f64,
}

impl ZoneTasks {
    fn new(zone: Option<&str>, tasks: f64) -> Self {
        let zone = zone.map(str::to_string);
        ZoneTasks { zone, tasks }
    }
}

/// CPUs and accelerators of a team's limit that the demand counted so far takes up.
#[derive(Clone, Copy, Default)]
struct PlannedUsage {
    cpus: f64,
    gpus: f64,
}

/// Limit of a team, and what is used of it.
struct LimitUsage {
    limit: Resources,
    /// Resources of the team's tasks, including those delegated to partition holders.
    used: Resources,
    /// Resources that the demand counted so far takes up.
    planned: PlannedUsage,
}

/// Returns the zones of all machine types in the catalogue.
fn catalogue_zones(context: &Context) -> BTreeSet<&str> {
    let zones = machine_types(context).flat_map(|t| &t.zones);
    zones.map(String::as_str).collect()
}

/// Returns, for a job that is spread over zones, how many of its waiting tasks each zone must take because the
/// other zones may take no more. Without this, free resources in one zone would count as enough for all tasks, and
/// half of the replicas of a service would wait for minutes.
fn tasks_by_zone(job: &Job, zones: &BTreeSet<&str>, tasks: f64) -> Vec<ZoneTasks> {
    if !job.spec.spread {
        return Vec::new();
    }
    let max_per_zone = job.task_count().div_ceil(2) as f64;
    let capacity_left = |zone: &str| {
        let in_zone = job.assignments_by_zone.get(zone).copied().unwrap_or(0);
        (max_per_zone - f64::from(in_zone)).max(0.0)
    };
    let total_capacity_left: f64 = zones.iter().map(|zone| capacity_left(zone)).sum();
    let required = |zone: &str| {
        (tasks - (total_capacity_left - capacity_left(zone)))
            .max(0.0)
            .min(tasks)
    };
    zones
        .iter()
        .map(|zone| ZoneTasks::new(Some(zone), required(zone)))
        .filter(|in_zone| in_zone.tasks > RESOURCE_TOLERANCE)
        .collect()
}

/// Returns how many of the waiting tasks can run within the team's limit in the time left, regardless of how many
/// machines are provisioned.
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

/// Returns the shortest time in which any suitable machine type fetches the job's image, in microseconds.
fn shortest_fetch_time(context: &Context, spec: &Submission) -> Micros {
    let rate = |t: &MachineType| t.fetch_gb_per_s.unwrap_or(1.0).max(MIN_FETCH_RATE_GB_PER_S);
    machine_types_for(context, spec)
        .map(|t| micros(spec.image_gb / rate(t)))
        .min()
        .unwrap_or(0)
}

impl Scheduler {
    /// Returns the shortest average boot time of all machine types, in microseconds.
    pub(crate) fn shortest_boot_time(&self, context: &Context) -> Micros {
        machine_types(context)
            .map(|t| self.expected_boot_time(t))
            .min()
            .unwrap_or(DEFAULT_BOOT_TIME_US)
    }

    /// Returns, by job, the number of replicas on machines that are cordoned or about to be reclaimed. They need
    /// slots on other machines now.
    fn displaced_replicas(&self) -> BTreeMap<JobIndex, u64> {
        let mut displaced = BTreeMap::new();
        let is_going_away = |m: &&Machine| m.cordon.is_some() || m.reclaim_at.is_some();
        for machine in self.machines.values().filter(is_going_away) {
            for assignment in &machine.assignments {
                let job = self.jobs.get(assignment.job);
                if job.is_some_and(Job::is_daemon) && assignment.stop.is_none() {
                    *displaced.entry(assignment.job).or_insert(0) += 1;
                }
            }
        }
        displaced
    }

    /// Returns the demand of all jobs and of the headroom, for a pass of the autoscaler.
    pub(crate) fn demand<'a>(&'a self, context: &Context, pass: PlanningPass) -> Vec<Demand<'a>> {
        let now = context.now.steady;
        let zones = catalogue_zones(context);
        let boot_time = self.shortest_boot_time(context);
        let mut demand = self.headroom_demand(&zones);
        let displaced = self.displaced_replicas();
        let mut planned_by_team: BTreeMap<&str, PlannedUsage> = BTreeMap::new();
        for (index, job) in self.jobs.iter() {
            // A job whose tasks keep failing counts too: left out, it would get no machine for its next attempt
            // once its last machine is terminated, and would wait forever.
            let displaced = displaced.get(&index).copied().unwrap_or(0);
            let waiting = job.placeable_count(now) + job.waiting_at_holders + displaced;
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
            if tasks < MIN_TASKS_IN_DEMAND {
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

    /// Returns the demand for headroom, the free resources that are kept for future services. With a run time of
    /// one second, it takes up almost no computing power that batch tasks could use.
    fn headroom_demand<'a>(&'a self, zones: &BTreeSet<&str>) -> Vec<Demand<'a>> {
        let Some((spec, replicas)) = self.headroom.target() else {
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

    /// Returns the run time of the job's tasks and the time in which they are to be completed.
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
        let fetch = shortest_fetch_time(context, &job.spec);
        let run_s = (self.stats.expected_run(&job.spec) + fetch) as f64 / MICROS_PER_SECOND;
        // A job that is late for every objective gains nothing from expensive machines, so it may take longer.
        let until_deadline_s = match job.target_finish_at(context, self.time_needed(context, job)) {
            Some(at) => (at - now as i64).max(0) as f64 / MICROS_PER_SECOND * deadline_share,
            None => late_deadline as f64 / MICROS_PER_SECOND,
        };
        let time_left_s = until_deadline_s.max(run_s * tuning.least_rounds);
        let boot_s = boot_time as f64 / MICROS_PER_SECOND;
        DemandTime {
            // Tasks of gangs and services each need a slot of their own, now and for all of the time left.
            run_s: match job.shape {
                Shape::Batch => run_s,
                _ => time_left_s,
            },
            time_left_s,
            time_left_booting_s: time_left_s.max(boot_s + run_s),
        }
    }

    /// Splits the waiting tasks of a job by the zones that must take them.
    fn demand_by_zone(
        &self,
        context: &Context,
        job: &Job,
        zones: &BTreeSet<&str>,
        tasks: f64,
    ) -> Vec<ZoneTasks> {
        let mut parts = match job.shape {
            // A job that is bound to one zone cannot use free resources elsewhere. If they counted, nothing would
            // be provisioned in its zone, and its remaining tasks would wait for the first ones to end.
            _ if job.bound_zone().is_some() => vec![ZoneTasks::new(job.bound_zone(), tasks)],
            // A gang that must run in one zone cannot use half of its slots in each of two zones.
            Shape::Gang if job.spec.one_zone => {
                let zone = self.gang_zone(context, job, tasks);
                vec![ZoneTasks { zone, tasks }]
            }
            // Batch tasks may run one after the other wherever resources become free.
            Shape::Batch => Vec::new(),
            _ => tasks_by_zone(job, zones, tasks),
        };
        let tasks_without_zone = tasks - parts.iter().map(|part| part.tasks).sum::<f64>();
        if tasks_without_zone > RESOURCE_TOLERANCE {
            parts.push(ZoneTasks::new(None, tasks_without_zone));
        }
        parts
    }

    /// Returns the zone in which to look for slots for a gang that must run in one zone. Zones that have enough
    /// slots or in which machines may be provisioned come first, and among them the zone with the most slots,
    /// including those on booting and requested machines. Without this choice, half of the slots in each of two
    /// zones would count as enough, nothing would be provisioned, and the gang would wait forever.
    fn gang_zone(&self, context: &Context, job: &Job, tasks: f64) -> Option<String> {
        let spec = &job.spec;
        let mut zones = self.zones_for_gang(context, spec);
        self.add_slots(context, spec, &mut zones);
        zones
            .into_iter()
            .filter(|(zone, _)| spec.zone.as_ref().is_none_or(|wanted| wanted == zone))
            .max_by_key(|(_, zone)| (zone.can_provision || zone.slots as f64 >= tasks, zone.slots))
            .map(|(zone, _)| zone.to_string())
    }

    /// Returns the zones of the machine types that fit the job, and whether machines may be provisioned there for
    /// it.
    fn zones_for_gang<'a>(
        &self,
        context: &'a Context,
        spec: &'a Submission,
    ) -> BTreeMap<&'a str, GangZone> {
        let now = context.now.steady;
        let mut zones: BTreeMap<&str, GangZone> = BTreeMap::new();
        for machine_type in machine_types_for(context, spec) {
            for zone in &machine_type.zones {
                let can_provision = [false, true].into_iter().any(|spot| {
                    let offering = MachineOffering::new(&machine_type.name, zone, spot);
                    permits(context, spec, &machine_type.name, zone, spot)
                        && (!spot || machine_type.spot_price.is_some())
                        && !self.fleet.is_unavailable(&offering, now)
                });
                zones.entry(zone).or_default().can_provision |= can_provision;
            }
        }
        zones
    }

    /// Adds up the slots for the job's tasks on machines that are up, booting or requested, by zone.
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

/// Slots of a zone for a gang.
#[derive(Clone, Copy, Default)]
struct GangZone {
    /// Whether machines for the gang may be provisioned in the zone.
    can_provision: bool,
    /// Number of slots for the gang's tasks, on machines that are up, booting or requested.
    slots: u64,
}
