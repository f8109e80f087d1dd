//! Which task goes to which machine.
//!
//! A round serves jobs by priority, guarantee and deadline, each as far as its team's limit and
//! the free room allow. It has a time budget: a round that runs out of it goes on with the next
//! job the next time.

use crate::jobs::{fits_type, Job, JobIndex, Shape, BEGIN_AFTER, EPS};
use crate::leadership::Lead;
use crate::ledger::RecordId;
use crate::node::Context;
use crate::workers::{grace, Assignment, Machine, Seen};
use crate::{micros, Micros, Stopwatch, MILLI, SECOND};
use grebewood_wire::http::{Priority, Submission};
use grebewood_wire::records::{MachineAssignments, PageRecord};
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

mod order;
mod pages;
mod preemption;

/// A page of assignments: which machines are on it, and how large it is.
#[derive(Clone, Debug, Default)]
pub struct Page {
    machines: BTreeMap<String, usize>,
    bytes: usize,
    /// Its record cannot be read; it is kept as it is.
    pub broken: bool,
    /// Its write may wait for that of another: it takes nothing new.
    barred: bool,
}

impl Page {
    /// What an assignment and, as an upper bound, a machine take in the record's JSON form, with a
    /// blank after each separator.
    fn assignment_size(a: &Assignment) -> usize {
        a.job_id.len() + digits(a.task) + digits(a.attempt) + "[\"\", , ], ".len()
    }

    fn machine_size(machine: &str, a: &Assignment) -> usize {
        machine.len() + a.zone.len() + 60
    }

    pub fn add(&mut self, machine: &str, a: &Assignment) {
        let n = self.machines.entry(machine.to_string()).or_insert(0);
        if *n == 0 {
            self.bytes += Page::machine_size(machine, a);
        }
        *n += 1;
        self.bytes += Page::assignment_size(a);
    }

    pub fn remove(&mut self, machine: &str, a: &Assignment) {
        let Some(n) = self.machines.get_mut(machine) else {
            return;
        };
        *n -= 1;
        let mut freed = Page::assignment_size(a);
        if *n == 0 {
            self.machines.remove(machine);
            freed += Page::machine_size(machine, a);
        }
        self.bytes = self.bytes.saturating_sub(freed);
    }
}

/// Decimal digits of a number.
fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
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
    /// The page that takes new assignments.
    open_page: u64,
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

/// Use of a team: CPUs and accelerators.
pub type Usage = BTreeMap<String, (f64, f64)>;

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
        self.jobs.begin_catch_ups(now);
        let queue = self.queue(context);
        let mut open = self.open_machines(context);
        self.keep_standby(context, &mut open);
        let mut order = queue.clone();
        // What is left of a team's limit is kept for a job that has waited long and needs more of it:
        // narrow tasks once took it as it became free, and a job of wide ones, or a gang, never began.
        let mut kept: BTreeSet<String> = BTreeSet::new();
        let mut ending = Usage::new();
        order.retain(|index| {
            let Some(job) = self.jobs.get(*index) else {
                return false;
            };
            if kept.contains(&job.spec.team) {
                return false;
            }
            let has = self.has_quota(context, *index);
            let waits = job.must_begin(now) || job.catching_up().is_some();
            if !has
                && waits
                && job.placeable(now) > 0
                && self.has_quota_soon(context, *index, &mut ending)
            {
                kept.insert(job.spec.team.clone());
            }
            has
        });
        if let Some(from) = self.placement.resume.take() {
            if let Some(at) = order.iter().position(|index| *index == from) {
                order.rotate_left(at);
            }
        }
        for index in order {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                self.placement.resume = Some(index);
                debug!("placement: out of time, goes on with the next round");
                break;
            }
            self.place_job(context, index, &mut open);
            self.keep_for_beginning(context, index, &mut open);
        }
        self.placement.backlog = queue
            .iter()
            .any(|index| self.jobs.get(*index).is_some_and(|j| j.waiting() > 0));
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + SECOND;
            self.preempt(context, &queue);
        }
    }

    /// Whether the job's team may have one more of its tasks; all that wait of a gang.
    pub(crate) fn has_quota(&self, context: &Context, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_some_and(|job| self.fits_limit(context, job, (0.0, 0.0)))
    }

    /// Whether a task of the job, or a whole gang, is within its team's limit once so much is freed.
    fn fits_limit(&self, context: &Context, job: &Job, freed: (f64, f64)) -> bool {
        let spec = &job.spec;
        let n = match job.shape {
            Shape::Gang => job.waiting().max(1) as f64,
            _ => 1.0,
        };
        let used = self.usage.get(&spec.team).copied().unwrap_or((0.0, 0.0));
        context.settings.teams.get(&spec.team).is_some_and(|t| {
            used.0 - freed.0 + spec.cpus * n <= t.cpus_max + EPS
                && used.1 - freed.1 + spec.gpus * n <= t.gpus_max + EPS
        })
    }

    /// Whether the team may have one more of the job's tasks, or a whole gang, once what of the team's
    /// is about to end has ended. How much that is, is summed up once a round for each team.
    fn has_quota_soon(&self, context: &Context, index: JobIndex, ending: &mut Usage) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return false;
        };
        let (team, now) = (&job.spec.team, context.now.steady);
        let freed = ending.entry(team.clone()).or_insert_with(|| {
            self.machines
                .values()
                .flat_map(|m| &m.assignments)
                .filter(|a| a.team == *team && a.remaining(now, 0) < KEPT_FOR)
                .fold((0.0, 0.0), |sum, a| (sum.0 + a.cpus, sum.1 + a.gpus))
        });
        self.fits_limit(context, job, *freed)
    }

    /// Machines with free room.
    fn open_machines(&self, context: &Context) -> Vec<Open> {
        let now = context.now.steady;
        let silence = context.settings.report * 3;
        self.machines
            .values()
            .filter(|m| m.free().0 > EPS && m.usable(now, silence))
            .map(|m| Open {
                name: m.name.clone(),
                zone: m.zone.clone(),
                machine_type: m.machine_type.clone(),
                spot: m.spot,
                free: m.free(),
                kept: m.kept_until > now,
                standby: (0.0, 0.0, 0.0),
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

    /// Places as many tasks of a job as the team's limit and the machines allow.
    fn place_job(&mut self, context: &mut Context, index: JobIndex, open: &mut Vec<Open>) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        let Some(team) = context.settings.teams.get(&job.spec.team) else {
            return;
        };
        let used = self
            .usage
            .get(&job.spec.team)
            .copied()
            .unwrap_or((0.0, 0.0));
        let in_quota = |used: (f64, f64), n: f64| {
            used.0 + job.spec.cpus * n <= team.cpus_max + EPS
                && used.1 + job.spec.gpus * n <= team.gpus_max + EPS
        };
        // A job whose tasks keep failing is tried with one task at a time.
        let now = context.now.steady;
        let mut left = job.placeable(now);
        if !in_quota(used, 1.0) || left == 0 {
            return;
        }
        // Ahead of its turn a job only begins.
        if job.must_begin(now) {
            left = left.min(job.beginning());
        }
        let spec = job.spec.clone();
        let in_quota = |used: (f64, f64), n: f64| {
            used.0 + spec.cpus * n <= team.cpus_max + EPS
                && used.1 + spec.gpus * n <= team.gpus_max + EPS
        };
        let shape = job.shape;
        // What has waited too long may take the room that is kept, too: not only for its beginning. The
        // rest of an array once waited for minutes beside it when nothing more could be rented.
        // Once there are no services any more, that goes for whatever waits long.
        let yields = self.standby.may_yield() && job.waits_long(now);
        let service = shape == Shape::Daemon || job.must_begin(now) || job.starves(now) || yields;
        let expected = self.stats.expected_stay(&spec);
        // Places in `open`: for a replica first those where none ended by itself lately; those with the
        // image first, then those that wait for work at our door, then spot, then the fullest.
        let mut candidates: Vec<(Preference, usize)> = open
            .iter()
            .enumerate()
            .filter(|(_, o)| {
                slots(o.room(service), &spec) > 0
                    && permits(context, &spec, &o.machine_type, &o.zone, o.spot)
                    && (!o.kept || spec.priority > Priority::Idle)
            })
            .map(|(at, o)| {
                let image = self
                    .machines
                    .get(&o.name)
                    .is_some_and(|m| m.has_image(&spec.image));
                let away = !self.parked.contains(&o.name);
                let shunned = job.shuns(&o.name, now);
                let room = (o.free.0 * 1e3) as i64;
                ((shunned, !image, away, !o.spot, room), at)
            })
            .collect();
        candidates.sort();
        let fixed_zone = self.fixed_zone(index, (&spec, service), &candidates, open);
        let mut together = None;
        if shape == Shape::Gang {
            let room = self.gang_room(
                index,
                (&spec, service),
                &candidates,
                open,
                fixed_zone.as_deref(),
            );
            if room < left || !in_quota(used, left as f64) {
                return;
            }
            // The tasks of one start of a gang share its attempt number.
            together = Some(self.next_attempt());
        }
        'machines: for (_, at) in candidates {
            let zone = open[at].zone.clone();
            if fixed_zone.as_ref().is_some_and(|z| *z != zone) {
                continue;
            }
            while slots(open[at].room(service), &spec) > 0 {
                let used = self.usage.get(&spec.team).copied().unwrap_or((0.0, 0.0));
                if left == 0 || !in_quota(used, 1.0) {
                    break 'machines;
                }
                let Some(job) = self.jobs.get_mut(index) else {
                    break 'machines;
                };
                let here = job.zones.get(&zone).copied().unwrap_or(0) as u64;
                if spec.spread && here >= spec.tasks.div_ceil(2) {
                    break;
                }
                let Some(task) = job.next_waiting(now) else {
                    break 'machines;
                };
                job.take(task);
                job.note_placed(now);
                *job.zones.entry(zone.clone()).or_insert(0) += 1;
                left -= 1;
                let attempt = match together {
                    Some(attempt) => attempt,
                    None => self.next_attempt(),
                };
                self.assign(
                    context,
                    &open[at].name,
                    index,
                    task,
                    &spec,
                    (attempt, expected),
                );
                let free = &mut open[at].free;
                *free = (
                    free.0 - spec.cpus,
                    free.1 - spec.gpus,
                    free.2 - spec.memory_gb,
                );
            }
        }
        open.retain(|o| o.free.0 > EPS);
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

    fn assign(
        &mut self,
        context: &Context,
        name: &str,
        job: JobIndex,
        task: u64,
        spec: &Submission,
        (attempt, expected): (u64, Micros),
    ) {
        let now = context.now.steady;
        let page = self.page_with_room(1);
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
    team: String,
    grace: Micros,
    cpus: f64,
    gpus: f64,
    memory: f64,
}

/// What is sorted by to choose a machine, the best first.
type Preference = (bool, bool, bool, bool, i64);

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
