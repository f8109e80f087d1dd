//! Which task goes to which machine.
//!
//! A round serves jobs by priority, guarantee and deadline, each as far as its team's limit and
//! the free room allow. It has a time budget: a round that runs out of it goes on with the next
//! job the next time.

use crate::agents::Machine;
use crate::context::Context;
use crate::jobs::{fits_type, Job, JobIndex, Shape, EPS};
use crate::scheduler::Scheduler;
use crate::{Micros, Stopwatch, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::{Priority, Submission};
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

mod guarantees;
mod pages;
mod preemption;
mod queue;
mod tasks;

pub use pages::Pages;
pub(crate) use tasks::Placing;

/// By how much the writes of assignments go ahead of their turn.
const PROD_AHEAD: Micros = 60 * SECOND;
const HIGH_AHEAD: Micros = 10 * SECOND;

/// What is left of a team's limit is kept for a job that waits only if enough is freed so soon.
const KEPT_FOR: Micros = 60 * SECOND;

/// State of the rounds.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pub next_at: Micros,
    /// Rounds keep at least their interval.
    not_before: Micros,
    /// Something changed that may let a task be placed.
    pub wanted: bool,
    /// Where the last round stopped for lack of time.
    resume: Option<JobIndex>,
    /// Nothing is placed before this time: a page could not be read.
    pub blocked_until: Micros,
    next_preemption: Micros,
    /// Rounds so far.
    pub rounds: u64,
    /// The last round left tasks waiting.
    pub backlog: bool,
}

impl Placement {
    /// Something changed that may let a task be placed: a round is due now.
    pub fn want(&mut self, now: Micros) {
        self.wanted = true;
        self.next_at = self.next_at.min(now.max(self.not_before));
    }
}

/// A machine with room, during a round.
pub(crate) struct OpenMachine {
    pub name: String,
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    pub free: Room,
    /// Room is being made on it for work of higher priority.
    kept: bool,
    /// What of its room is kept for services.
    pub headroom: Room,
    /// The partition whose holder places tasks on it.
    pub placed_by: Option<PartitionId>,
}

impl OpenMachine {
    /// The room for a task of a service, or of other work.
    fn room(&self, service: bool) -> Room {
        match service {
            true => self.free,
            false => (
                self.free.0 - self.headroom.0,
                self.free.1 - self.headroom.1,
                self.free.2 - self.headroom.2,
            ),
        }
    }
}

/// A job in the order in which jobs are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    pub index: JobIndex,
    /// How urgent it is: lower numbers come first.
    pub level: u8,
}

impl Scheduler {
    pub(crate) fn run_placement(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now < self.placement.next_at {
            return;
        }
        self.placement.next_at = now + context.tuning.placement_interval_us;
        self.placement.not_before = self.placement.next_at;
        self.placement.rounds += 1;
        self.held_changed = true;
        if !self.placement.wanted && self.placement.resume.is_none() {
            // Rounds without news are needed only for what time itself changes.
            self.placement.next_at = now + SECOND;
        }
        if now < self.placement.blocked_until || self.has_unreadable_tasks() {
            return;
        }
        self.placement.wanted = false;
        self.quota.pressed.clear();
        self.jobs.begin_catch_ups(now);
        let queue = self.queue(context);
        let mut open = self.open_machines(context);
        self.keep_headroom(context, &mut open);
        let mut order = queue.clone();
        // What is left of a team's limit is kept for a job that has waited long and needs more of it:
        // narrow tasks once took it as it became free, and a job of wide ones, or a gang, never began.
        let mut kept: BTreeSet<String> = BTreeSet::new();
        let mut ending = TeamAmounts::new();
        order.retain(|queued| {
            let Some(job) = self.jobs.get(queued.index) else {
                return false;
            };
            if kept.contains(&job.spec.team) {
                return false;
            }
            let has = self.has_quota(context, queued.index);
            let waits = job.must_begin(now) || job.catching_up().is_some();
            if !has
                && waits
                && job.placeable(now) > 0
                && self.has_quota_soon(context, queued.index, &mut ending)
            {
                kept.insert(job.spec.team.clone());
            }
            has
        });
        if let Some(from) = self.placement.resume.take() {
            if let Some(at) = order.iter().position(|queued| queued.index == from) {
                order.rotate_left(at);
            }
        }
        for queued in order {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                self.placement.resume = Some(queued.index);
                debug!("placement: out of time, goes on with the next round");
                break;
            }
            self.place_job(context, queued, &mut open);
            self.keep_for_beginning(context, queued.index, &mut open);
        }
        if self.grants_quota(context) {
            self.delegate_ahead(context, &queue, &kept);
            self.revoke_stuck(context, &open);
        }
        self.placement.backlog = queue.iter().any(|queued| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|j| j.waiting() > 0)
        });
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + SECOND;
            self.preempt(context, &queue);
            if self.enforces_guarantees(context) {
                self.make_room_for_guarantees(context, &queue);
            }
        }
    }

    /// Whether the job's team may have one more of its tasks; all that wait of a gang.
    pub(crate) fn has_quota(&self, context: &Context, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_some_and(|job| self.job_fits_limit(context, job, Resources::ZERO))
    }

    /// Whether a task of the job, or a whole gang, is within its team's limit once so much is freed.
    fn job_fits_limit(&self, context: &Context, job: &Job, freed: Resources) -> bool {
        let spec = &job.spec;
        let n = match job.shape {
            Shape::Gang => job.waiting().max(1),
            _ => 1,
        };
        let wanted = Resources::of(spec.cpus, spec.gpus).times(n);
        let used = self.needed_by(&spec.team).minus(freed);
        self.limit_of(context, &spec.team)
            .is_some_and(|limit| used.plus(wanted).fits(limit.limit))
    }

    /// Whether the team may have one more of the job's tasks, or a whole gang, once what of the team's
    /// is about to end has ended. How much that is, is summed up once a round for each team.
    fn has_quota_soon(&self, context: &Context, index: JobIndex, ending: &mut TeamAmounts) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return false;
        };
        let (team, now) = (&job.spec.team, context.now.steady);
        let freed = ending.entry(team.clone()).or_insert_with(|| {
            self.machines
                .values()
                .flat_map(|m| &m.assignments)
                .filter(|a| a.team == *team && a.remaining(now, 0) < KEPT_FOR)
                .fold(Resources::ZERO, |sum, a| sum.plus(a.amount()))
        });
        self.job_fits_limit(context, job, *freed)
    }

    /// Machines with free room.
    pub(crate) fn open_machines(&self, context: &Context) -> Vec<OpenMachine> {
        let now = context.now.steady;
        let silence = context.settings.heartbeat_interval * 3;
        let grants = self.grants_quota(context);
        let promised = self.promised_room();
        let free = |m: &Machine| {
            let free = m.free();
            let taken = promised.get(m.name.as_str());
            taken.map_or(free, |t| (free.0 - t.0, free.1 - t.1, free.2 - t.2))
        };
        self.machines
            .values()
            .filter(|m| free(m).0 > EPS && m.usable(now, silence) && !m.reserved)
            .map(|m| OpenMachine {
                name: m.name.clone(),
                zone: m.zone.clone(),
                machine_type: m.machine_type.clone(),
                spot: m.spot,
                free: free(m),
                kept: m.kept_until > now,
                headroom: (0.0, 0.0, 0.0),
                placed_by: m
                    .partition
                    .filter(|id| grants && self.may_delegate_to(context, *id)),
            })
            .collect()
    }

    /// A job that is to begin ahead of its turn and found no room for a task: the machine with the most
    /// room that it could use is kept from the jobs after it, so that the room adds up. Narrow tasks
    /// once took each slot as it became free, and a job of wide ones began after ten minutes. For a
    /// gang as many machines are kept as hold all of it: with one it once waited for good.
    fn keep_for_beginning(&self, context: &Context, index: JobIndex, open: &mut Vec<OpenMachine>) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if !job.must_begin(context.now.steady) || !self.has_quota(context, index) {
            return;
        }
        let spec = &job.spec;
        // A gang that is spread and has but one zone can never begin: a machine was kept for one for
        // good, and others waited beside it.
        let zones: BTreeSet<&String> = context
            .catalogue
            .iter()
            .flatten()
            .filter(|t| fits_type(spec, t))
            .flat_map(|t| &t.zones)
            .filter(|z| spec.zone.as_ref().is_none_or(|y| y == *z))
            .collect();
        if job.shape == Shape::Gang && spec.spread && spec.tasks > 1 && zones.len() < 2 {
            return;
        }
        let mut room: Vec<(f64, &str, &str, u64)> = open
            .iter()
            .filter(|o| permits(context, spec, &o.machine_type, &o.zone, o.spot))
            .filter_map(|o| {
                let m = self.machines.get(&o.name)?;
                let whole = slots((m.cpus, m.gpus, m.memory), spec);
                Some((-o.free.0, o.name.as_str(), o.zone.as_str(), whole))
            })
            .collect();
        room.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        if let (true, Some((_, _, zone, _))) = (spec.one_zone, room.first().copied()) {
            room.retain(|(_, _, z, _)| *z == zone);
        }
        let need = match job.shape {
            Shape::Gang => job.beginning(),
            _ => 1,
        };
        let mut kept_slots = 0;
        let mut kept = BTreeSet::new();
        for (_, name, _, whole) in room {
            if kept_slots >= need {
                break;
            }
            kept_slots += whole;
            kept.insert(name.to_string());
        }
        open.retain(|o| !kept.contains(&o.name));
    }
}

/// The zone in which room can be made for a `one_zone` job: that of its tasks, else the one where
/// the most of them would fit.
fn zone_for(
    context: &Context,
    job: &Job,
    pool: &[(&Machine, Room, Vec<PreemptionCandidate>)],
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
            let gain = lower.fold(*room, |r, v| (r.0 + v.cpus, r.1 + v.gpus, r.2 + v.memory));
            *zones.entry(&m.zone).or_insert(0) += slots(gain, spec);
        }
    }
    let best = zones.into_iter().max_by_key(|(_, n)| *n);
    best.map(|(zone, _)| zone.to_string())
}

/// A task that may be stopped for another.
#[derive(Clone)]
struct PreemptionCandidate {
    ran: Micros,
    priority: Priority,
    attempt: u64,
    /// Whether its job is within its team's guarantee, where that is enforced.
    guaranteed: bool,
    team: String,
    grace: Micros,
    cpus: f64,
    gpus: f64,
    memory: f64,
}

/// What is sorted by to choose a machine, the best first.
pub(crate) type Preference = (bool, bool, bool, bool, i64);

/// CPUs, accelerators and memory.
pub(crate) type Room = (f64, f64, f64);

/// Whether the job permits such a machine.
pub(crate) fn permits(
    context: &Context,
    spec: &Submission,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|y| y == zone)
        && context
            .machine_type(machine_type)
            .is_some_and(|t| fits_type(spec, t))
}

/// Free slots by zone, among the candidates.
fn room_by_zone<'a>(
    spec: &Submission,
    service: bool,
    candidates: &[(Preference, usize)],
    open: &'a [OpenMachine],
) -> BTreeMap<&'a str, u64> {
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, at) in candidates {
        let o = &open[*at];
        *zones.entry(&o.zone).or_insert(0) += slots(o.room(service), spec);
    }
    zones
}

/// How many tasks of the job fit into the free room.
pub(crate) fn slots(free: (f64, f64, f64), spec: &Submission) -> u64 {
    let fit = |have: f64, need: f64| {
        if need <= EPS {
            f64::MAX
        } else {
            ((have + EPS) / need).floor()
        }
    };
    fit(free.0, spec.cpus)
        .min(fit(free.1, spec.gpus))
        .min(fit(free.2, spec.memory_gb))
        .clamp(0.0, 1e5) as u64
}
