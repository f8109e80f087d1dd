//! The autoscaler: how many machines of which type to provision.
//!
//! It follows Mao, Li and Humphrey, "Cloud Auto-scaling with Deadline and Budget Constraints" (GRID 2010), with the changes
//! listed in `docs/design.md`. A ready machine adds, for a job with `n` waiting tasks of run time `t` and time `D` to its
//! deadline, `D * n / sum(n * t)` tasks, times the tasks that fit into its free resources; a booting machine uses `D`
//! less its remaining boot delay, floored at zero. If work exceeds power, machines are added greedily by
//! price per unit of the gap they close.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::fleet::{Offer, PendingProvision};
use crate::state::jobs::{fits_type, Job, JobIndex, EPS};
use crate::state::machine::Machine;
use crate::state::write_buffer::RecordId;
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::Shape;
use grebewood_wire::http::{MachineType, Submission};
use grebewood_wire::records::ProvisionRecord;
use log::info;
use std::collections::{BTreeMap, BTreeSet};

/// Most machines in one rental request.
const RENT_MOST: u64 = 50;

/// Most machines of one offer in one round of the decider.
const RENT_ROUND: u64 = 2 * RENT_MOST;

/// Work that waits: one job's tasks.
pub(crate) struct Work<'a> {
    spec: &'a Submission,
    /// The only zone that can take these tasks, if it is so: a job that is spread over zones needs
    /// room in each of them.
    zone: Option<String>,
    /// Waiting tasks.
    pub(crate) n: f64,
    /// Run time of a task, with its fetch, in seconds.
    pub(crate) t: f64,
    /// Time to finish in, in seconds.
    d: f64,
    /// The same for machines that are not up yet: at least a boot and a run, since less cannot
    /// be met by anything that is rented now.
    d_booting: f64,
}

impl Work<'_> {
    fn is_batch(&self) -> bool {
        Shape::of(self.spec) == Some(Shape::Batch)
    }
}

/// Tasks of each work that a machine can finish in time: the paper's `P`, times the slots.
/// `delay` is what remains of a boot, in seconds, for a machine that is not up. Gangs and services
/// need a slot each now, and come before batch work: they share the slots among themselves. As a
/// part of all work they once seemed to get next to nothing of a machine, and dozens were rented
/// for a few replicas.
pub(crate) fn power(
    work: &[Work],
    total: f64,
    delay: Option<f64>,
    slots: impl Fn(usize) -> f64,
) -> Vec<f64> {
    let slots: Vec<f64> = (0..work.len()).map(slots).collect();
    let now: f64 = work
        .iter()
        .zip(&slots)
        .filter(|(w, slots)| !w.is_batch() && **slots > 0.0)
        .map(|(w, _)| w.n)
        .sum();
    work.iter()
        .zip(slots)
        .map(|(w, slots)| {
            if !w.is_batch() {
                return slots * w.n / now.max(EPS);
            }
            let d = match delay {
                None => w.d,
                Some(delay) => (w.d_booting - delay).max(0.0),
            };
            if total <= 0.0 {
                0.0
            } else {
                d * w.n / total * slots
            }
        })
        .collect()
}

/// Machines of one offer that are up, with what is taken of them.
pub(crate) struct Supply {
    offer: Offer,
    machines: f64,
    /// Tasks by the time they still take, in seconds: that time, the part of a machine that the
    /// task takes, and the sum of both's products up to this one.
    taken: Vec<(f64, f64, f64)>,
}

impl Supply {
    fn sum_up(&mut self) {
        self.taken.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sum = 0.0;
        for (left, part, so_far) in &mut self.taken {
            sum += *left * *part;
            *so_far = sum;
        }
        // What is left of the parts from each task on is needed as often as the products.
        let mut parts = 0.0;
        for (_, part, _) in self.taken.iter_mut().rev() {
            parts += *part;
            *part = parts;
        }
    }

    /// Machines' worth of room within `d` seconds: a task that ends before leaves its room for
    /// the rest of the time.
    fn free_within(&self, d: f64) -> f64 {
        let at = self.taken.partition_point(|(left, _, _)| *left < d);
        let ending = match at {
            0 => 0.0,
            _ => self.taken[at - 1].2 / d.max(EPS),
        };
        let staying = self.taken.get(at).map_or(0.0, |(_, parts, _)| *parts);
        (self.machines - ending - staying).max(0.0)
    }
}

/// How many tasks fit an empty machine of the type; 0 if the job does not permit it.
pub(crate) fn slots_of(t: &MachineType, zone: &str, spot: bool, work: &Work) -> f64 {
    let spec = work.spec;
    let permitted = (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|y| y == zone)
        && work.zone.as_ref().is_none_or(|z| z == zone)
        && fits_type(spec, t);
    if permitted {
        tasks_that_fit(MachineResources::of_type(t), spec) as f64
    } else {
        0.0
    }
}

/// What each zone must take of `n` tasks of a job that is spread over zones, since the others may
/// take no more. Without this, room in one zone once seemed to do for all, and half of the
/// replicas of services waited for minutes.
fn zone_needs(job: &Job, zones: &BTreeSet<&str>, n: f64) -> Vec<(Option<String>, f64)> {
    if !job.spec.spread {
        return Vec::new();
    }
    let most = job.tasks().div_ceil(2) as f64;
    let left = |zone: &str| {
        let here = job.zones.get(zone).copied().unwrap_or(0);
        (most - f64::from(here)).max(0.0)
    };
    let all: f64 = zones.iter().map(|z| left(z)).sum();
    zones
        .iter()
        .map(|z| (Some(z.to_string()), (n - (all - left(z))).max(0.0).min(n)))
        .filter(|(_, need)| *need > EPS)
        .collect()
}

impl Scheduler {
    /// The shortest average boot of all types.
    fn least_boot(&self, context: &Context) -> Micros {
        context
            .catalogue
            .iter()
            .flatten()
            .map(|t| self.stats.boot_time(&t.name, micros(t.boot_s)))
            .min()
            .unwrap_or(30 * SECOND)
    }

    /// Replicas, by job, on machines that are about to go: they need a slot elsewhere now.
    fn leaving_replicas(&self) -> BTreeMap<JobIndex, u64> {
        let mut leaving = BTreeMap::new();
        let going = |m: &&Machine| m.cordoned || m.reclaim_at.is_some();
        for m in self.machines.values().filter(going) {
            for a in &m.assignments {
                let serves = self.jobs.get(a.job).is_some_and(|j| j.is_daemon());
                if serves && a.stop.is_none() {
                    *leaving.entry(a.job).or_insert(0) += 1;
                }
            }
        }
        leaving
    }

    /// The work that waits, job by job; with `haste` as it is planned for cheap machines.
    pub(crate) fn waiting_work<'a>(&'a self, context: &Context, haste: bool) -> Vec<Work<'a>> {
        let now = context.now.steady;
        let (share, late) = match haste {
            true => (
                context.tuning.deadline_share_cheap,
                context.tuning.late_deadline_cheap_us,
            ),
            false => (
                context.tuning.deadline_share,
                context.tuning.late_deadline_us,
            ),
        };
        let boot = self.least_boot(context);
        let mut planned: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut work = Vec::new();
        let zones = context.catalogue.iter().flatten().flat_map(|t| &t.zones);
        let zones: BTreeSet<&str> = zones.map(String::as_str).collect();
        // What services are to find when they come takes no time of the fleet's.
        if let Some((spec, n)) = self.headroom.wanted() {
            for zone in zones
                .iter()
                .filter(|z| spec.zone.as_ref().is_none_or(|y| y == *z))
            {
                work.push(Work {
                    spec,
                    zone: Some(zone.to_string()),
                    n: n as f64,
                    t: 1.0,
                    d: 1.0,
                    d_booting: 1.0,
                });
            }
        }
        let leaving = self.leaving_replicas();
        for (index, j) in self.jobs.iter() {
            // One that keeps failing needs a machine for its next try: left out, it once had none for
            // good after its last was returned.
            let leaving = leaving.get(&index).copied().unwrap_or(0);
            let placeable = j.placeable(now) + j.waiting_at_holders + leaving;
            if placeable == 0 {
                continue;
            }
            let Some(limit) = self.limit_of(context, &j.spec.team) else {
                continue;
            };
            let fetch = context
                .catalogue
                .iter()
                .flatten()
                .filter(|t| fits_type(&j.spec, t))
                .map(|t| micros(j.spec.image_gb / t.fetch_gb_per_s.unwrap_or(1.0).max(1e-3)))
                .min()
                .unwrap_or(0);
            let run = self.stats.expected_run(&j.spec);
            let t = (run + fetch) as f64 / 1e6;
            // What is late for every aim may take longer: it gains nothing by dear machines.
            let left = match j.target(context, self.need(context, j)) {
                Some(at) => (at - now as i64).max(0) as f64 / 1e6 * share,
                None => late as f64 / 1e6,
            };
            let d = left.max(t * context.tuning.least_rounds);
            let d_booting = d.max(boot as f64 / 1e6 + t);
            // Waiting tasks of other shapes need a slot each, now.
            let t = match j.shape {
                Shape::Batch => t,
                _ => d,
            };
            // The team's limit bounds what can run within `d`, whatever is rented.
            let used = self.needed_by(&j.spec.team);
            let plan = planned.entry(&j.spec.team).or_insert((0.0, 0.0));
            let rounds = (d / t).max(1.0);
            let room = |max: f64, used: f64, planned: f64, need: f64| {
                if need <= EPS {
                    f64::MAX
                } else {
                    ((max * rounds - used - planned) / need).max(0.0)
                }
            };
            let n = (placeable as f64)
                .min(room(limit.limit.cpus(), used.cpus(), plan.0, j.spec.cpus))
                .min(room(limit.limit.gpus(), used.gpus(), plan.1, j.spec.gpus));
            if n < 0.5 {
                continue;
            }
            plan.0 += n * j.spec.cpus;
            plan.1 += n * j.spec.gpus;
            let mut parts = match j.shape {
                // The rest of a job bound to one zone has no use for room elsewhere: with some there,
                // nothing was once rented in its own, and it waited for its first tasks to end.
                _ if j.bound_zone().is_some() => vec![(j.bound_zone().map(str::to_string), n)],
                // MachineResources in two zones is none for a gang that is to be in one.
                Shape::Gang if j.spec.one_zone => vec![(self.gang_zone(context, j, n), n)],
                // Tasks that run one after the other can wait for room anywhere.
                Shape::Batch => Vec::new(),
                _ => zone_needs(j, &zones, n),
            };
            let rest = n - parts.iter().map(|(_, n)| n).sum::<f64>();
            if rest > EPS {
                parts.push((None, rest));
            }
            for (zone, n) in parts {
                work.push(Work {
                    spec: &j.spec,
                    zone,
                    n,
                    t,
                    d,
                    d_booting,
                });
            }
        }
        work
    }

    /// The zone in which room is sought for a gang that is to be in one zone: where it is there, or
    /// may be rented; of these where there is the most, booting machines included. Half of the room
    /// in each of two zones once seemed to do, nothing was rented, and the gang waited for good.
    fn gang_zone(&self, context: &Context, job: &Job, n: f64) -> Option<String> {
        let (now, silence) = (context.now.steady, context.settings.heartbeat_interval * 3);
        let spec = &job.spec;
        let mut have: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        for t in context
            .catalogue
            .iter()
            .flatten()
            .filter(|t| fits_type(spec, t))
        {
            for zone in &t.zones {
                let open = [false, true].into_iter().any(|spot| {
                    let offer = (t.name.clone(), zone.clone(), spot);
                    let closed = self.fleet.unavailable.get(&offer);
                    permits(context, spec, &t.name, zone, spot)
                        && (!spot || t.spot_price.is_some())
                        && closed.is_none_or(|(until, _)| *until <= now)
                });
                have.entry(zone).or_insert((false, 0)).0 |= open;
            }
        }
        let mut add = |machine_type: &str, zone: &str, spot: bool, slots: u64| {
            if permits(context, spec, machine_type, zone, spot) {
                if let Some((_, sum)) = have.get_mut(zone) {
                    *sum += slots;
                }
            }
        };
        for m in self.machines.values().filter(|m| m.counts(now, silence)) {
            add(
                &m.machine_type,
                &m.zone,
                m.spot,
                tasks_that_fit(m.free(), spec),
            );
        }
        let whole = |machine_type: &str| {
            let t = context.machine_type(machine_type);
            t.map_or(0, |t| tasks_that_fit(MachineResources::of_type(t), spec))
        };
        for b in self.fleet.boots.values() {
            add(&b.machine_type, &b.zone, b.spot, whole(&b.machine_type));
        }
        let asked = self
            .fleet
            .provisions
            .values()
            .map(|h| (&h.record, &h.unlisted));
        for (r, _) in asked.filter(|(_, unlisted)| unlisted.is_none()) {
            let slots = whole(&r.machine_type) * r.number;
            add(&r.machine_type, &r.zone, r.spot, slots);
        }
        let yard = |zone: &str| spec.zone.as_ref().is_none_or(|y| y == zone);
        have.into_iter()
            .filter(|(zone, _)| yard(zone))
            .max_by_key(|(_, (open, sum))| (*open || *sum as f64 >= n, *sum))
            .map(|(zone, _)| zone.to_string())
    }

    /// The machines that are up, by offer, as the decider sees them.
    pub(crate) fn supply(&self, context: &Context) -> Vec<Supply> {
        let now = context.now.steady;
        let silence = context.settings.heartbeat_interval * 3;
        let mut by_offer: BTreeMap<(&str, &str, bool), Supply> = BTreeMap::new();
        for m in self.machines.values() {
            if !m.counts(now, silence) || m.cpus <= 0.0 {
                continue;
            }
            let s = by_offer
                .entry((&m.machine_type, &m.zone, m.spot))
                .or_insert_with(|| Supply {
                    offer: (m.machine_type.clone(), m.zone.clone(), m.spot),
                    machines: 0.0,
                    taken: Vec::new(),
                });
            s.machines += 1.0;
            for a in &m.assignments {
                let part = (a.cpus / m.cpus).max(a.memory / m.memory.max(EPS));
                s.taken.push((a.remaining(now, 0) as f64 / 1e6, part, 0.0));
            }
        }
        let mut all: Vec<Supply> = by_offer.into_values().collect();
        for s in &mut all {
            s.sum_up();
        }
        all
    }

    /// Power of the machines that are up or booting.
    pub(crate) fn power_of_fleet(
        &self,
        context: &Context,
        supply: &[Supply],
        work: &[Work],
    ) -> Vec<f64> {
        let now = context.now.steady;
        let total: f64 = work.iter().map(|w| w.n * w.t).sum();
        let mut sum = vec![0.0; work.len()];
        let mut add = |p: Vec<f64>| {
            for (s, p) in sum.iter_mut().zip(p) {
                *s += p;
            }
        };
        for s in supply {
            let Some(build) = context.machine_type(&s.offer.0) else {
                continue;
            };
            // What is kept for services is no room for batch work: counted as such, it once kept all
            // other work of a small fleet waiting for good, since nothing was rented for it.
            let kept = match self.headroom.wanted() {
                Some((spec, n)) if permits(context, spec, &s.offer.0, &s.offer.1, s.offer.2) => {
                    let part = (spec.cpus / build.cpus.max(EPS))
                        .max(spec.memory_gb / build.memory_gb.max(EPS));
                    part * n as f64
                }
                _ => 0.0,
            };
            // MachineResources that is free now counts whole, room freed within `d` by the part of `d` left.
            add(power(work, total, None, |i| {
                // What needs its slots now does not wait for others to end.
                let free = match work[i].is_batch() {
                    true => (s.free_within(work[i].d) - kept).max(0.0),
                    false => s.free_within(0.0),
                };
                slots_of(build, &s.offer.1, s.offer.2, &work[i]) * free
            }));
        }
        for b in self.fleet.boots.values() {
            let Some(build) = context.machine_type(&b.machine_type) else {
                continue;
            };
            let spent = now.saturating_sub(b.requested);
            if !b.up && spent > self.overdue_after(context, &b.machine_type) {
                // Overdue boots lose their power and are replaced.
                continue;
            }
            let boot = self.stats.boot_time(&b.machine_type, micros(build.boot_s));
            let delay = match b.up {
                true => 0.0,
                false => boot.saturating_sub(spent) as f64 / 1e6,
            };
            add(power(work, total, Some(delay), |i| {
                slots_of(build, &b.zone, b.spot, &work[i])
            }));
        }
        for h in self
            .fleet
            .provisions
            .values()
            .filter(|h| h.unlisted.is_none())
        {
            let Some(build) = context.machine_type(&h.record.machine_type) else {
                continue;
            };
            let boot = self.stats.boot_time(&build.name, micros(build.boot_s));
            add(power(work, total, Some(boot as f64 / 1e6), |i| {
                h.record.number as f64 * slots_of(build, &h.record.zone, h.record.spot, &work[i])
            }));
        }
        sum
    }

    /// One round of the decider.
    pub(crate) fn decide(&mut self, context: &mut Context) {
        let now = context.now.steady;
        // Before the first list, machines of an earlier leader may be missing.
        if self.fleet.listed_at.is_none() && now < self.fleet.started + 10 * SECOND {
            return;
        }
        let Some(catalogue) = context.catalogue.clone() else {
            return;
        };
        // Cheap machines do the work for the same money however many share it, so they are
        // rented with haste; the others only for what those do not cover in a longer time.
        let mut plan = BTreeMap::new();
        let supply = self.supply(context);
        self.plan(context, &catalogue, &supply, true, &mut plan);
        self.plan(context, &catalogue, &supply, false, &mut plan);
        let requests = plan.into_iter().flat_map(|(offer, number): (Offer, u64)| {
            (0..number.div_ceil(RENT_MOST))
                .map(move |k| (offer.clone(), (number - k * RENT_MOST).min(RENT_MOST)))
        });
        for ((machine_type, zone, spot), number) in requests {
            self.fleet.counter += 1;
            let name = format!("h-{}-{}", self.token, self.fleet.counter);
            info!("{name}: renting {number} of {machine_type} in {zone}, spot {spot}");
            let provision = PendingProvision {
                record: ProvisionRecord {
                    machine_type,
                    zone,
                    spot,
                    number,
                    requested_us: context.now.wall,
                },
                requested: now,
                written: false,
                asking: false,
                retry_at: now,
                unlisted: None,
            };
            self.fleet.provisions.insert(name.clone(), provision);
            // The record is durable before the request goes out.
            self.write_buffer
                .mark_dirty(RecordId::PendingProvision(name), now);
        }
    }

    /// Adds machines to the plan while the work exceeds the power, by price per unit of the gap.
    /// With `haste`, only offers that are about as cheap as the cheapest.
    fn plan(
        &self,
        context: &Context,
        catalogue: &[MachineType],
        supply: &[Supply],
        haste: bool,
        plan: &mut BTreeMap<Offer, u64>,
    ) {
        let now = context.now.steady;
        let work = self.waiting_work(context, haste);
        if work.is_empty() {
            return;
        }
        let total: f64 = work.iter().map(|w| w.n * w.t).sum();
        let power_of = |t: &MachineType, zone: &str, spot: bool| {
            let boot = self.stats.boot_time(&t.name, micros(t.boot_s)) as f64 / 1e6;
            power(&work, total, Some(boot), |i| {
                slots_of(t, zone, spot, &work[i])
            })
        };
        let mut have = self.power_of_fleet(context, supply, &work);
        for ((name, zone, spot), number) in plan.iter() {
            if let Some(t) = catalogue.iter().find(|t| t.name == *name) {
                for (h, p) in have.iter_mut().zip(power_of(t, zone, *spot)) {
                    *h += p * *number as f64;
                }
            }
        }
        let mut gap: Vec<f64> = work
            .iter()
            .zip(&have)
            .map(|(w, p)| (w.n - p).max(0.0))
            .collect();
        let mut offers: Vec<(f64, Offer, Vec<f64>)> = Vec::new();
        let per_cpu = |t: &MachineType, price: f64| price / t.cpus.max(EPS);
        let cheapest = catalogue
            .iter()
            .map(|t| per_cpu(t, t.spot_price.unwrap_or(t.price).min(t.price)))
            .fold(f64::MAX, f64::min);
        for t in catalogue {
            for zone in &t.zones {
                for spot in [true, false] {
                    let price = match (spot, t.spot_price) {
                        (true, Some(p)) => p,
                        (true, None) => continue,
                        (false, _) => t.price,
                    };
                    let offer = (t.name.clone(), zone.clone(), spot);
                    let closed = self
                        .fleet
                        .unavailable
                        .get(&offer)
                        .is_some_and(|(until, _)| *until > now);
                    let asked = self.fleet.provisions.values().any(|h| {
                        h.unlisted.is_none()
                            && h.record.machine_type == offer.0
                            && h.record.zone == offer.1
                            && h.record.spot == offer.2
                    });
                    if closed || asked || (haste && per_cpu(t, price) > cheapest * 1.5) {
                        continue;
                    }
                    let risk = if spot { context.tuning.spot_risk } else { 1.0 };
                    offers.push((price * risk, offer, power_of(t, zone, spot)));
                }
            }
        }
        // Seconds that all waiting work would take one machine.
        let backlog: f64 = work
            .iter()
            .filter(|w| w.is_batch())
            .map(|w| {
                let slots = catalogue
                    .iter()
                    .filter(|t| fits_type(w.spec, t))
                    .map(|t| tasks_that_fit(MachineResources::of_type(t), w.spec) as f64)
                    .fold(1.0, f64::max);
                w.n * w.t / slots
            })
            .sum();
        let ready: f64 = supply.iter().map(|s| s.machines).sum();
        // With more waiting work than that for each machine, its last tasks start too late.
        let boot = self.least_boot(context);
        let bound = match context.settings.longest_start(boot) {
            Some(start) => (start as f64 * context.tuning.backlog_share) as Micros,
            None => Micros::MAX,
        };
        let bound = bound.min(context.tuning.backlog_us) as f64 / 1e6;
        let planned: u64 = plan.values().sum();
        let fleet = self.machines.len() + self.fleet.booting() + planned as usize;
        let room = (context.tuning.fleet_max as usize).saturating_sub(fleet);
        for added in 0..room.min(200) {
            // Far deadlines let power cover any work on paper: a few machines once worked off a
            // growing queue for a whole day.
            let machines = ready + (self.fleet.booting() + planned as usize + added) as f64;
            let piles_up = backlog > machines * bound;
            let mut best: Option<(f64, usize)> = None;
            for (at, (price, offer, p)) in offers.iter().enumerate() {
                if plan.get(offer).is_some_and(|n| *n >= RENT_ROUND) {
                    continue;
                }
                // Seconds of work that the machine can do, and those of them that are missing.
                let can: f64 = p.iter().zip(&work).map(|(p, w)| p * w.t).sum();
                let closes: f64 = p
                    .iter()
                    .zip(&gap)
                    .zip(&work)
                    .map(|((p, g), w)| p.min(*g) * w.t)
                    .sum();
                // Work that no machine can take gets one however little it fills, and so do tasks
                // that each need a slot now: a gang that lacked one slot once waited for good.
                let stranded = (0..work.len()).any(|i| match work[i].is_batch() {
                    true => have[i] <= EPS && p[i] > 0.0 && gap[i] >= work[i].n - EPS,
                    false => gap[i] > EPS && p[i] > 0.0,
                });
                let closes = if piles_up { closes.max(EPS) } else { closes };
                if can <= 0.0
                    || closes <= 0.0
                    || (!stranded && !piles_up && closes < can * context.tuning.rent_threshold)
                {
                    continue;
                }
                let cost = price / closes;
                if best.is_none_or(|(c, _)| cost < c) {
                    best = Some((cost, at));
                }
            }
            let Some((_, at)) = best else { break };
            let (_, offer, p) = &offers[at];
            for (g, p) in gap.iter_mut().zip(p) {
                *g = (*g - p).max(0.0);
            }
            *plan.entry(offer.clone()).or_insert(0) += 1;
        }
    }
}
