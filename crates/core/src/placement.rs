//! Which task goes to which machine.
//!
//! A round serves jobs by priority, guarantee and deadline, each as far as its team's limit and
//! the free room allow. It has a time budget: a round that runs out of it goes on with the next
//! job the next time.

use crate::jobs::{fits_type, Job, JobIndex, Shape, BEGIN_AFTER, EPS};
use crate::leadership::Lead;
use crate::ledger::RecordId;
use crate::node::Context;
use crate::quota::Given;
use crate::workers::{grace, Assignment, Machine, Seen};
use crate::{micros, Micros, Stopwatch, MILLI, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::{Priority, Submission};
use grebewood_wire::records::{MachineAssignments, PageRecord};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

mod floors;
mod order;
mod pages;
mod preemption;

pub use pages::Pages;

impl Placing {
    /// Whether holders of partitions may place the job's tasks.
    pub fn is_for_holders(&self) -> bool {
        self.by_holders
    }

    /// Whether more of its tasks may be placed in this round.
    pub fn has_more(&self) -> bool {
        self.left > 0
    }

    /// Counts one more task that is placed.
    pub fn take_one(&mut self) {
        self.left = self.left.saturating_sub(1);
    }
}

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
    pub quarantine_until: Micros,
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
pub(crate) struct Open {
    pub name: String,
    pub zone: String,
    pub machine_type: String,
    pub spot: bool,
    pub free: Room,
    /// Room is being made on it for work of higher priority.
    kept: bool,
    /// What of its room is kept for services.
    pub standby: Room,
    /// The partition whose holder places tasks on it.
    pub placed_by: Option<PartitionId>,
}

impl Open {
    /// The room for a task of a service, or of other work.
    fn room(&self, service: bool) -> Room {
        match service {
            true => self.free,
            false => (
                self.free.0 - self.standby.0,
                self.free.1 - self.standby.1,
                self.free.2 - self.standby.2,
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

/// A job some of whose tasks are being placed.
pub(crate) struct Placing {
    pub index: JobIndex,
    pub spec: Submission,
    shape: Shape,
    /// How many more tasks may be placed in this round.
    left: u64,
    /// Whether it may take the room that is kept for services.
    service: bool,
    /// How long a task is expected to stay.
    pub expected: Micros,
    /// What a task takes of its team's limit.
    pub task: Resources,
    pub level: u8,
    /// Whether the holder of a partition may place its tasks.
    by_holders: bool,
}

impl Lead {
    pub(crate) fn run_placement(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now < self.placement.next_at {
            return;
        }
        self.placement.next_at = now + context.tuning.placement_interval_us;
        self.placement.not_before = self.placement.next_at;
        self.placement.rounds += 1;
        self.pending_changed = true;
        if !self.placement.wanted && self.placement.resume.is_none() {
            // Rounds without news are needed only for what time itself changes.
            self.placement.next_at = now + SECOND;
        }
        if now < self.placement.quarantine_until || self.has_unreadable_tasks() {
            return;
        }
        self.placement.wanted = false;
        self.quota.pressed.clear();
        self.jobs.begin_catch_ups(now);
        let queue = self.queue(context);
        let mut open = self.open_machines(context);
        self.keep_standby(context, &mut open);
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
        if self.grants_allotments(context) {
            self.delegate_ahead(context, &queue, &kept);
            self.recall_stuck(context, &open);
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
        job.is_some_and(|job| self.fits_limit(context, job, Resources::ZERO))
    }

    /// Whether a task of the job, or a whole gang, is within its team's limit once so much is freed.
    fn fits_limit(&self, context: &Context, job: &Job, freed: Resources) -> bool {
        let spec = &job.spec;
        let n = match job.shape {
            Shape::Gang => job.waiting().max(1),
            _ => 1,
        };
        let wanted = Resources::of(spec.cpus, spec.gpus).times(n);
        let used = self.needed_by(&spec.team).minus(freed);
        self.limit_of(context, &spec.team)
            .is_some_and(|limit| used.plus(wanted).fits(limit.ceiling))
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
        self.fits_limit(context, job, *freed)
    }

    /// Machines with free room.
    pub(crate) fn open_machines(&self, context: &Context) -> Vec<Open> {
        let now = context.now.steady;
        let silence = context.settings.report * 3;
        let grants = self.grants_allotments(context);
        let promised = self.promised_room();
        let free = |m: &Machine| {
            let free = m.free();
            let taken = promised.get(m.name.as_str());
            taken.map_or(free, |t| (free.0 - t.0, free.1 - t.1, free.2 - t.2))
        };
        self.machines
            .values()
            .filter(|m| free(m).0 > EPS && m.usable(now, silence) && !m.reserved)
            .map(|m| Open {
                name: m.name.clone(),
                zone: m.zone.clone(),
                machine_type: m.machine_type.clone(),
                spot: m.spot,
                free: free(m),
                kept: m.kept_until > now,
                standby: (0.0, 0.0, 0.0),
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
    fn keep_for_beginning(&self, context: &Context, index: JobIndex, open: &mut Vec<Open>) {
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

    /// What of the job may be placed in this round, if anything.
    fn begin_placing(&self, context: &Context, queued: QueuedJob) -> Option<Placing> {
        let placing = self.prepare_placing(context, queued)?;
        let team = &placing.spec.team;
        let ceiling = self.limit_of(context, team)?.ceiling;
        let in_quota = self.needed_by(team).plus(placing.task).fits(ceiling);
        in_quota.then_some(placing)
    }

    /// The same, whatever is left of its team's limit.
    pub(crate) fn prepare_placing(&self, context: &Context, queued: QueuedJob) -> Option<Placing> {
        let job = self.jobs.get(queued.index)?;
        let spec = &job.spec;
        let task = Resources::of(spec.cpus, spec.gpus);
        let now = context.now.steady;
        // A job whose tasks keep failing is tried with one task at a time.
        let mut left = job.placeable(now);
        if left == 0 {
            return None;
        }
        // Ahead of its turn a job only begins.
        if job.must_begin(now) {
            left = left.min(job.beginning());
        }
        // What has waited too long may take the room that is kept, too: not only for its beginning. The
        // rest of an array once waited for minutes beside it when nothing more could be rented.
        // Once there are no services any more, that goes for whatever waits long.
        let yields = self.standby.may_yield() && job.waits_long(now);
        let service =
            job.shape == Shape::Daemon || job.must_begin(now) || job.starves(now) || yields;
        Some(Placing {
            index: queued.index,
            shape: job.shape,
            left,
            service,
            expected: self.stats.expected_stay(spec),
            task,
            level: queued.level,
            by_holders: job.may_be_placed_by_holders(now),
            spec: spec.clone(),
        })
    }

    /// Places in `open` that may take a task of the job, the best first: for a replica those where none
    /// ended by itself lately; those with the image first, then those that wait for work at our door,
    /// then spot, then the fullest.
    fn candidates(
        &self,
        context: &Context,
        placing: &Placing,
        open: &[Open],
    ) -> Vec<(Preference, usize)> {
        let (spec, now) = (&placing.spec, context.now.steady);
        let fits = |o: &Open| {
            slots(o.room(placing.service), spec) > 0
                && permits(context, spec, &o.machine_type, &o.zone, o.spot)
                && (!o.kept || spec.priority > Priority::Idle)
        };
        let open = open.iter().enumerate().filter(|(_, o)| fits(o));
        let mut candidates: Vec<(Preference, usize)> = open
            .map(|(at, o)| (self.preference(placing.index, spec, o, now), at))
            .collect();
        candidates.sort();
        candidates
    }

    /// What a machine is chosen by.
    pub(crate) fn preference(
        &self,
        index: JobIndex,
        spec: &Submission,
        open: &Open,
        now: Micros,
    ) -> Preference {
        let machine = self.machines.get(&open.name);
        let image = machine.is_some_and(|m| m.has_image(&spec.image));
        let away = !self.parked.contains(&open.name);
        let job = self.jobs.get(index);
        let shunned = job.is_some_and(|job| job.shuns(&open.name, now));
        let room = (open.free.0 * 1e3) as i64;
        (shunned, !image, away, !open.spot, room)
    }

    /// Places as many tasks of a job as the team's limit and the machines allow.
    fn place_job(&mut self, context: &mut Context, queued: QueuedJob, open: &mut Vec<Open>) {
        let Some(mut placing) = self.begin_placing(context, queued) else {
            return;
        };
        let candidates = self.candidates(context, &placing, open);
        let kind = (&placing.spec, placing.service);
        let fixed_zone = self.fixed_zone(queued.index, kind, &candidates, open);
        let mut together = None;
        if placing.shape == Shape::Gang {
            let zone = fixed_zone.as_deref();
            let room = self.gang_room(queued.index, kind, &candidates, open, zone);
            let all = placing.task.times(placing.left);
            if room < placing.left || !self.fits_ceiling(context, &placing.spec.team, all) {
                return;
            }
            // The tasks of one start of a gang share its attempt number.
            together = Some(self.next_attempt());
        }
        for (_, at) in candidates {
            let elsewhere = |zone: &String| *zone != open[at].zone;
            if fixed_zone.as_ref().is_some_and(elsewhere) {
                continue;
            }
            if !self.place_on(context, &mut placing, &mut open[at], together) {
                break;
            }
        }
        open.retain(|o| o.free.0 > EPS);
    }

    /// Places tasks of the job on a machine, or gives them to the holder that places them there. False:
    /// no more of the job can be placed in this round.
    fn place_on(
        &mut self,
        context: &mut Context,
        placing: &mut Placing,
        open: &mut Open,
        together: Option<u64>,
    ) -> bool {
        let now = context.now.steady;
        let holder = open.placed_by.filter(|_| placing.by_holders);
        while slots(open.room(placing.service), &placing.spec) > 0 {
            let Some(job) = self.jobs.get_mut(placing.index) else {
                return false;
            };
            let here = job.zones.get(&open.zone).copied().unwrap_or(0) as u64;
            if placing.spec.spread && here >= placing.spec.tasks.div_ceil(2) {
                return true;
            }
            let next = job.next_waiting(now).filter(|_| placing.has_more());
            let Some(task) = next else { return false };
            let team = &placing.spec.team;
            let in_quota = match holder {
                Some(partition) => self.charge(context, partition, team, placing.task),
                None => self.fits_ceiling(context, team, placing.task),
            };
            if !in_quota {
                // What another partition does not use of its allotment may do here.
                return holder.is_some();
            }
            if let Some(job) = self.jobs.get_mut(placing.index) {
                job.take(task);
                if holder.is_none() {
                    job.note_placed(now);
                }
            }
            placing.take_one();
            match holder {
                Some(partition) => {
                    let given = (task, Given::Room);
                    self.delegate(context, placing, partition, given, &open.name)
                }
                None => self.assign_task(context, placing, &open.name, task, together),
            }
            let spec = &placing.spec;
            let free = open.free;
            open.free = (
                free.0 - spec.cpus,
                free.1 - spec.gpus,
                free.2 - spec.memory_gb,
            );
        }
        true
    }

    /// Places a task that was taken on a machine that this leader places on.
    fn assign_task(
        &mut self,
        context: &mut Context,
        placing: &Placing,
        machine: &str,
        task: u64,
        together: Option<u64>,
    ) {
        let zone = self.machines.get(machine).map(|m| m.zone.clone());
        if let (Some(zone), Some(job)) = (zone, self.jobs.get_mut(placing.index)) {
            *job.zones.entry(zone).or_insert(0) += 1;
        }
        let attempt = match together {
            Some(attempt) => attempt,
            None => self.next_attempt(),
        };
        let stay = (attempt, placing.expected);
        self.assign(context, machine, placing.index, task, &placing.spec, stay);
    }

    /// How many tasks of a gang could be placed at once.
    fn gang_room(
        &self,
        index: JobIndex,
        (spec, service): (&Submission, bool),
        candidates: &[(Preference, usize)],
        open: &[Open],
        fixed_zone: Option<&str>,
    ) -> u64 {
        let here = |zone: &str| {
            let n = self.jobs.get(index).and_then(|j| j.zones.get(zone));
            n.copied().unwrap_or(0) as u64
        };
        room_by_zone(spec, service, candidates, open)
            .into_iter()
            .filter(|(zone, _)| fixed_zone.is_none_or(|z| z == *zone))
            .map(|(zone, n)| {
                if spec.spread {
                    n.min(spec.tasks.div_ceil(2).saturating_sub(here(zone)))
                } else {
                    n
                }
            })
            .sum()
    }

    /// The zone that a `one_zone` job is bound to: where its tasks are, else where most fit.
    fn fixed_zone(
        &self,
        index: JobIndex,
        (spec, service): (&Submission, bool),
        candidates: &[(Preference, usize)],
        open: &[Open],
    ) -> Option<String> {
        if !spec.one_zone {
            return None;
        }
        let job = self.jobs.get(index)?;
        if let Some(zone) = job.bound_zone() {
            return Some(zone.to_string());
        }
        room_by_zone(spec, service, candidates, open)
            .into_iter()
            .max_by_key(|(_, n)| *n)
            .map(|(z, _)| z.to_string())
    }

    /// Puts a task on a machine, which launches it once that is on record.
    pub(crate) fn assign(
        &mut self,
        context: &Context,
        name: &str,
        job: JobIndex,
        task: u64,
        spec: &Submission,
        (attempt, expected): (u64, Micros),
    ) {
        let now = context.now.steady;
        let page = self.page_with_room();
        // When far more is to be written than the rate allows, as after a change of leader, services
        // once waited half a minute behind hundreds of batch tasks.
        let ahead = match spec.priority {
            Priority::Prod => PROD_AHEAD,
            Priority::High => HIGH_AHEAD,
            _ => 0,
        };
        let written = self
            .ledger
            .touch_by(RecordId::Page(page), now.saturating_sub(ahead));
        let by_holder = self.is_holder();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = Assignment {
            job,
            job_id: spec.id.clone(),
            task,
            attempt,
            session: m.session,
            page,
            written,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory: spec.memory_gb,
            team: spec.team.clone(),
            zone: m.zone.clone(),
            launched: None,
            delivered: false,
            by_holder,
            seen: Seen::Never,
            decided: now,
            started: None,
            expected,
            stop: None,
        };
        if Shape::of(spec) == Some(Shape::Daemon) {
            let image = m.has_image(&spec.image);
            let age = self.jobs.get(job).map_or(0, |j| j.age(now));
            info!(
                "{}/{task}: goes to {name} in {} after {} ms, image there {image}, free {}",
                spec.id,
                m.zone,
                age / MILLI,
                m.free().0
            );
        }
        m.use_image(&spec.image, spec.image_gb);
        m.idle_since = now;
        self.page_mut(page).add(name, &assignment);
        self.hold(name, assignment);
        // Its answer carries the launch once the page is written.
        self.unpark(context, name);
    }
}

/// The zone in which room can be made for a `one_zone` job: that of its tasks, else the one where
/// the most of them would fit.
fn zone_for(
    context: &Context,
    job: &Job,
    pool: &[(&Machine, Room, Vec<Victim>)],
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
struct Victim {
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
    open: &'a [Open],
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
