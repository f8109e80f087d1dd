//! Live jobs: which tasks are completed, which are placed, and in what order jobs are served.

use crate::context::Context;
use crate::settings::Settings;
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{to_value, MachineType, Priority, Shape, Submission};
use grebewood_wire::json_size;
use grebewood_wire::records::{JobRecord, DONE_SPAN};
use grebewood_wire::validate::MAX_TASKS;
use std::collections::{BTreeMap, BTreeSet};

/// Place of a job in the job table.
pub type JobIndex = u32;

/// Why a submission is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// 400: a field is invalid.
    Invalid(String),
    /// 422: the job can never run.
    Impossible(String),
}

/// A job that has not begun after this time is begun ahead of its turn: serving the least work
/// first must not starve the largest jobs.
pub const BEGIN_AFTER: Micros = 60 * SECOND;

/// A job none of whose tasks was placed for so long may take the room that is kept for services.
const STARVES_AFTER: Micros = 70 * SECOND;

/// A job of at most so many tasks places all of them once it has starved.
const SMALL_JOB: u64 = 8;

/// A batch job begins with one of so many parts of its tasks.
const BEGINNING_PARTS: u64 = 20;

/// A job that kept failing is tried with twice as many tasks for each such span without a failure.
const TRIED_WELL: Micros = 10 * SECOND;

/// A job none of whose tasks ever succeeded is suspect once some failed on so many machines.
const SUSPECT_MACHINES: usize = 2;

/// Checks a submission's own fields.
pub fn check_fields(s: &Submission) -> Result<(), Refused> {
    match s.invalid_field() {
        Some(why) => Err(Refused::Invalid(why)),
        None => Ok(()),
    }
}

/// Checks that the job's record fits a value of the state service: one beyond the limit was once
/// answered 503 again and again, since state refused the record.
pub fn check_size(s: &Submission, value_bytes: usize) -> Result<(), Refused> {
    let record = JobRecord {
        spec: s.clone(),
        accepted_us: u64::MAX,
    };
    match json_size(&to_value(&record)) > value_bytes {
        true => Err(Refused::Invalid("the job is too long to be kept".into())),
        false => Ok(()),
    }
}

/// Whether one task of the job fits the machine type and the job permits it.
pub fn fits_type(s: &Submission, t: &MachineType) -> bool {
    s.machine_types.as_ref().is_none_or(|b| b.contains(&t.name))
        && s.zone.as_ref().is_none_or(|y| t.zones.contains(y))
        && s.cpus <= t.cpus + EPS
        && s.gpus <= t.gpus + EPS
        && s.memory_gb <= t.memory_gb + EPS
}

/// Tolerance when amounts are compared.
pub const EPS: f64 = 1e-6;

/// Checks whether the job can ever run.
pub fn check_possible(
    s: &Submission,
    settings: &Settings,
    catalogue: &[MachineType],
) -> Result<(), Refused> {
    let impossible = |what: String| Err(Refused::Impossible(what));
    let Some(team) = settings.teams.get(&s.team) else {
        return impossible(format!("owner: no team {:?}", s.team));
    };
    // Tasks of a batch may run one after the other; those of other shapes run together.
    let together = match Shape::of(s) {
        Some(Shape::Batch) => 1.0,
        _ => s.tasks as f64,
    };
    if s.cpus * together > team.cpus_max + EPS || s.gpus * together > team.gpus_max + EPS {
        return impossible("the job needs more than the team's limit".into());
    }
    if !catalogue.iter().any(|t| fits_type(s, t)) {
        return impossible("a task fits no allowed machine type".into());
    }
    Ok(())
}

/// A fixed set of bits.
#[derive(Clone, Debug, Default)]
pub struct Bits(Vec<u64>);

impl Bits {
    fn new(n: u64) -> Self {
        Bits(vec![0; n.div_ceil(64) as usize])
    }

    pub fn get(&self, i: u64) -> bool {
        self.0
            .get((i / 64) as usize)
            .is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    fn set(&mut self, i: u64, on: bool) {
        if let Some(w) = self.0.get_mut((i / 64) as usize) {
            *w = *w & !(1 << (i % 64)) | (on as u64) << (i % 64);
        }
    }
}

/// How a job ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    Done,
    Aborted,
}

impl FinalStatus {
    /// The wire's word.
    pub fn status(self) -> &'static str {
        match self {
            FinalStatus::Done => "done",
            FinalStatus::Aborted => "aborted",
        }
    }
}

/// A job that is not over.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub spec: Submission,
    /// Steady time of acceptance; may lie before the process's start.
    pub age_base: i64,
    done: Bits,
    taken: Bits,
    /// Tasks that more than one assignment holds, with the number beyond the first.
    extra: BTreeMap<u64, u32>,
    pub done_count: u64,
    pub taken_count: u64,
    cursor: u64,
    /// Steady time of the cancellation, as far as known; may lie before the process's start.
    pub cancelled: Option<i64>,
    /// Set while its terminal record is being written.
    pub ending: Option<FinalStatus>,
    /// Failures in a row without a success, and when to try again.
    pub errors: u32,
    /// Machines that were returned because its tasks alone kept failing there.
    pub terminated_for_failures: u32,
    /// Machines on which its tasks failed, as many as are needed to suspect it.
    failed_on: BTreeSet<String>,
    pub retry_at: Micros,
    /// Since when some task of it has been running without any that failed.
    pub running_well_since: Micros,
    /// Live assignments by zone.
    pub zones: BTreeMap<String, u32>,
    /// Its tasks that were last seen running.
    pub running: u32,
    /// Taken tasks that holders of partitions are to place and have not placed yet.
    pub delegated: u64,
    /// Those of them that wait for room.
    pub waiting_at_holders: u64,
    /// Its age when a task was first seen running.
    pub began_at: Option<Micros>,
    /// The pages that hold its completed tasks, by span.
    pub completed_pages: BTreeMap<u64, u64>,
    /// Mean run time of its own tasks so far, with their number.
    pub run_mean: (Micros, u32),
    /// Since when tasks have been waiting without a place.
    pub waiting_since: Option<Micros>,
    /// When a task was last placed.
    pub placed_at: Micros,
    /// Since when it had starved, while it catches up.
    catch_up: Option<Micros>,
    /// Whether it has starved once.
    has_starved: bool,
    /// How many of its tasks were stopped for teams below their guarantee.
    preempted: u64,
    pub shape: Shape,
    /// Replicas of a daemon that ended by themselves: how often in a row, and when they are started
    /// again.
    pauses: BTreeMap<u64, (u32, Micros)>,
    /// Machines on which a replica ended by itself, until when others come first.
    avoided_machines: BTreeMap<String, Micros>,
}

/// A replica that ran for as long as this begins a new row of ends.
const STEADY_RUN: Micros = 30 * SECOND;

/// Longest pause before a replica that keeps ending is started again.
const LONGEST_PAUSE: Micros = 30 * SECOND;

impl Job {
    pub fn new(record: JobRecord, now: Micros, wall: Micros) -> Self {
        let n = record.spec.tasks.min(MAX_TASKS);
        let age = wall.saturating_sub(record.accepted_us) as i64;
        Job {
            id: record.spec.id.clone(),
            done: Bits::new(n),
            taken: Bits::new(n),
            extra: BTreeMap::new(),
            done_count: 0,
            taken_count: 0,
            cursor: 0,
            cancelled: None,
            ending: None,
            errors: 0,
            terminated_for_failures: 0,
            failed_on: BTreeSet::new(),
            retry_at: 0,
            running_well_since: 0,
            zones: BTreeMap::new(),
            running: 0,
            delegated: 0,
            waiting_at_holders: 0,
            began_at: None,
            completed_pages: BTreeMap::new(),
            run_mean: (0, 0),
            waiting_since: Some(now),
            placed_at: 0,
            catch_up: None,
            has_starved: false,
            preempted: 0,
            shape: Shape::of(&record.spec).unwrap_or(Shape::Batch),
            pauses: BTreeMap::new(),
            avoided_machines: BTreeMap::new(),
            age_base: now as i64 - age,
            spec: record.spec,
        }
    }

    pub fn tasks(&self) -> u64 {
        self.spec.tasks
    }

    /// Tasks that are neither done nor taken.
    pub fn waiting(&self) -> u64 {
        if self.cancelled.is_some() || self.ending.is_some() {
            return 0;
        }
        let taken_undone = self.taken_count;
        self.tasks().saturating_sub(self.done_count + taken_undone)
    }

    pub fn is_done(&self, task: u64) -> bool {
        self.done.get(task)
    }

    pub fn all_done(&self) -> bool {
        !self.is_daemon() && self.done_count >= self.tasks()
    }

    /// Whether its tasks run until it is cancelled: none of them is ever done.
    pub fn is_daemon(&self) -> bool {
        self.shape == Shape::Daemon
    }

    /// A replica of a daemon ended by itself on `machine` after it had run for `ran`. It is started
    /// again at once, elsewhere if there is room; one that ends again and again after a growing pause.
    pub fn replica_ended(&mut self, task: u64, machine: &str, ran: Micros, now: Micros) {
        let (row, until) = self.pauses.entry(task).or_insert((0, 0));
        *row = if ran >= STEADY_RUN { 1 } else { *row + 1 };
        let pause = match *row {
            1 => 0,
            n => (SECOND << (n - 2).min(6)).min(LONGEST_PAUSE),
        };
        *until = now + pause;
        self.avoided_machines.retain(|_, until| *until > now);
        let avoided_machines = now + 2 * LONGEST_PAUSE;
        self.avoided_machines
            .insert(machine.to_string(), avoided_machines);
    }

    /// Whether other machines come first for this job.
    pub fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.avoided_machines
            .get(machine)
            .is_some_and(|until| *until > now)
    }

    fn pauses(&self, task: u64, now: Micros) -> bool {
        self.pauses
            .get(&task)
            .is_some_and(|(_, until)| *until > now)
    }

    /// Marks a task done. A done task does not count as taken, though it may still be on a
    /// machine. Returns false if it was done already or does not exist.
    pub fn complete(&mut self, task: u64) -> bool {
        if self.is_daemon() || task >= self.tasks() || self.done.get(task) {
            return false;
        }
        self.done.set(task, true);
        self.done_count += 1;
        if self.taken.get(task) {
            self.taken_count -= 1;
        }
        true
    }

    /// Takes a task for an assignment.
    pub fn take(&mut self, task: u64) {
        if self.taken.get(task) {
            *self.extra.entry(task).or_insert(0) += 1;
            return;
        }
        self.taken.set(task, true);
        if !self.done.get(task) {
            self.taken_count += 1;
        }
    }

    /// Gives a task back when an assignment of it is proven gone. With two assignments of one
    /// task on record, as after a crash between two writes, it is free when both are gone.
    pub fn give_back(&mut self, task: u64) {
        if let Some(n) = self.extra.get_mut(&task) {
            *n -= 1;
            if *n == 0 {
                self.extra.remove(&task);
            }
            return;
        }
        if self.taken.get(task) {
            self.taken.set(task, false);
            if !self.done.get(task) {
                self.taken_count -= 1;
                self.cursor = self.cursor.min(task);
            }
        }
    }

    /// Whether the job has waited so long that it is to begin ahead of its turn.
    pub fn must_begin(&self, now: Micros) -> bool {
        self.began_at.is_none()
            && self.done_count == 0
            && self.taken_count == 0
            && self.age(now) > BEGIN_AFTER
    }

    /// Whether tasks have waited so long without any being placed that room which is kept for
    /// services is theirs, too: with that much room in sight no job may wait for much longer.
    pub fn starves(&self, now: Micros) -> bool {
        let since = self.waiting_since.map(|at| at.max(self.placed_at));
        since.is_some_and(|at| now.saturating_sub(at) > STARVES_AFTER)
    }

    /// Lets a job that starves catch up: its tasks are placed ahead of others. A small job catches up
    /// until all of its tasks are placed, a larger one in a single round. With a single round for all,
    /// the small jobs of an overloaded class once all began and hardly any of them ended.
    pub fn begin_catch_up(&mut self, now: Micros) {
        if self.catch_up.is_none() && self.starves(now) {
            self.has_starved = true;
            self.catch_up = Some(self.placed_at);
        }
    }

    /// Since when the job had starved, while it catches up.
    pub fn catching_up(&self) -> Option<Micros> {
        self.catch_up.filter(|_| self.waiting() > 0)
    }

    /// Whether it has so few tasks that it catches up with all of them.
    fn is_small(&self) -> bool {
        self.tasks() <= SMALL_JOB
    }

    /// The priority that decides whether its tasks may be stopped for others. A small job that starved
    /// has aged to normal priority: such idle tasks were once stopped seconds later for the large array
    /// that had starved them.
    pub fn preemption_priority(&self) -> Priority {
        let starved = self.has_starved && self.is_small();
        match starved || self.has_been_preempted_enough() {
            true => self.spec.priority.max(Priority::Normal),
            false => self.spec.priority,
        }
    }

    /// One of its tasks is stopped for a team below its guarantee.
    pub fn note_preempted(&mut self) {
        self.preempted += 1;
    }

    /// Whether so many of its tasks were stopped for others that it is the turn of other jobs.
    pub fn has_been_preempted_enough(&self) -> bool {
        2 * self.preempted >= self.tasks()
    }

    /// Notes that a task was placed.
    pub fn note_placed(&mut self, now: Micros) {
        self.placed_at = now;
        if self.waiting() == 0 {
            self.waiting_since = None;
        }
        if !self.is_small() || self.waiting() == 0 {
            self.catch_up = None;
        }
    }

    /// Whether tasks have been waiting for as long, though others of it were placed meanwhile.
    pub fn waits_long(&self, now: Micros) -> bool {
        self.waiting_since
            .is_some_and(|at| now.saturating_sub(at) > STARVES_AFTER)
    }

    /// How many tasks a job begins with ahead of its turn; all of those that need to run together.
    pub fn beginning(&self) -> u64 {
        match self.shape {
            Shape::Batch => self.tasks().div_ceil(BEGINNING_PARTS),
            _ => self.tasks(),
        }
    }

    /// The next waiting task that may be placed now.
    pub fn next_waiting(&mut self, now: Micros) -> Option<u64> {
        if self.waiting() == 0 {
            return None;
        }
        let waits = |job: &Job, task: u64| !job.done.get(task) && !job.taken.get(task);
        while self.cursor < self.tasks() && !waits(self, self.cursor) {
            self.cursor += 1;
        }
        (self.cursor..self.tasks()).find(|task| waits(self, *task) && !self.pauses(*task, now))
    }

    /// Takes the next waiting task that may be placed now, for a holder that is to place it.
    pub fn take_next(&mut self, now: Micros) -> Option<u64> {
        let task = self.next_waiting(now)?;
        self.take(task);
        Some(task)
    }

    /// Whether the holder of a partition, which sees its own machines only, may place its tasks: each can
    /// go anywhere, whatever the others do, and no room is kept for it.
    pub fn may_be_placed_by_holders(&self, now: Micros) -> bool {
        self.shape == Shape::Batch
            && !self.must_begin(now)
            && self.catching_up().is_none()
            && !self.spec.one_zone
            && !self.spec.spread
            && !self.keeps_failing()
    }

    /// The completed tasks, as hexadecimal digits of four tasks each, from `n * DONE_SPAN` on.
    pub fn done_bits(&self, n: u64) -> String {
        let from = n * DONE_SPAN;
        let to = (from + DONE_SPAN).min(self.tasks());
        let mut bits = String::with_capacity(((to - from) / 4 + 1) as usize);
        let mut i = from;
        while i < to {
            let digit = (0..4)
                .filter(|k| self.done.get(i + k))
                .fold(0u32, |d, k| d | 1 << k);
            bits.extend(char::from_digit(digit, 16));
            i += 4;
        }
        bits
    }

    /// Reads completed tasks back.
    pub fn load_done(&mut self, n: u64, bits: &str) {
        if n > MAX_TASKS / DONE_SPAN {
            return;
        }
        for (k, c) in bits.chars().take(DONE_SPAN as usize / 4).enumerate() {
            let digit = c.to_digit(16).unwrap_or(0);
            for b in (0..4).filter(|b| digit >> b & 1 == 1) {
                self.complete(n * DONE_SPAN + k as u64 * 4 + b);
            }
        }
    }

    /// Time since the cancellation, if there is one.
    pub fn cancelled_for(&self, now: Micros) -> Option<Micros> {
        self.cancelled.map(|at| (now as i64 - at).max(0) as Micros)
    }

    /// Notes that one of its tasks failed on the machine.
    pub fn note_failure(&mut self, machine: &str) {
        if self.failed_on.len() < SUSPECT_MACHINES {
            self.failed_on.insert(machine.to_string());
        }
    }

    /// Whether the job itself is likely to be at fault: its tasks failed on several machines, and none
    /// has ever succeeded. Jobs submitted with a mistake fail everywhere; when two of them met on a
    /// machine it was once returned as faulty, fifty sound ones on one day.
    pub fn is_likely_faulty(&self) -> bool {
        match self.shape {
            // No replica of a service ever succeeds.
            Shape::Daemon => self.avoided_machines.len() >= SUSPECT_MACHINES,
            _ => self.done_count == 0 && self.failed_on.len() >= SUSPECT_MACHINES,
        }
    }

    /// Whether its tasks keep failing: then they are tried one at a time at first.
    pub fn keeps_failing(&self) -> bool {
        self.errors >= 3
    }

    /// How many tasks of a job that keeps failing may be tried at once: the longer they run well, the
    /// more. A job that had failed on one faulty machine was once left with a single long task at a
    /// time, with room for all.
    fn tries(&self, now: Micros) -> u64 {
        match self.running {
            0 => 1,
            _ => 1 << (now.saturating_sub(self.running_well_since) / TRIED_WELL).min(20),
        }
    }

    /// Tasks that are on machines, as far as known.
    pub fn live(&self) -> u64 {
        self.zones.values().map(|n| u64::from(*n)).sum()
    }

    /// The zone that a `one_zone` job is bound to by the tasks that it has there; also by those
    /// that cannot be reached.
    pub fn bound_zone(&self) -> Option<&str> {
        let mut used = self.zones.iter().filter(|(_, n)| **n > 0);
        match self.spec.one_zone {
            true => used.next().map(|(zone, _)| zone.as_str()),
            false => None,
        }
    }

    /// Whether the zone may take one more of its tasks, given where the others are.
    pub fn zone_permits(&self, zone: &str) -> bool {
        let here = self.zones.get(zone).map_or(0, |n| u64::from(*n));
        self.bound_zone().is_none_or(|z| z == zone)
            && (!self.spec.spread || here < self.spec.tasks.div_ceil(2))
    }

    /// Tasks that may be placed now, as far as the job itself is concerned.
    pub fn placeable(&self, now: Micros) -> u64 {
        let pausing = |task: &&u64| self.pauses(**task, now) && !self.taken.get(**task);
        let paused = self.pauses.keys().filter(pausing).count() as u64;
        let waiting = self.waiting().saturating_sub(paused);
        if !self.keeps_failing() {
            return waiting;
        }
        waiting.min(self.tries(now).saturating_sub(self.live()))
    }

    /// Time since acceptance.
    pub fn age(&self, now: Micros) -> Micros {
        (now as i64 - self.age_base).max(0) as Micros
    }

    /// When the job should be finished: the earliest aim that it can still meet with `need` yet
    /// to run, by its deadline or else by the objectives of its class. None if it is late for
    /// all of them.
    pub fn target(&self, context: &Context, need: Micros) -> Option<i64> {
        let earliest = (context.now.steady + need) as i64;
        let reached = |aim: Micros| {
            let at = self.age_base + aim as i64;
            (at >= earliest).then_some(at)
        };
        if let Some(due) = self.spec.deadline_s {
            return reached(micros(due));
        }
        let mut aims = context
            .settings
            .objectives
            .iter()
            .filter(|o| o.class == self.spec.class && o.kind == "finished")
            .filter_map(|o| o.within)
            .peekable();
        if aims.peek().is_none() {
            return Some(self.age_base + context.tuning.default_deadline_us as i64);
        }
        aims.filter_map(reached).min()
    }
}

/// Rank of a priority: higher is served first.
pub fn rank(p: Priority) -> u8 {
    match p {
        Priority::Idle => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Prod => 3,
    }
}

/// The job table.
#[derive(Debug, Default)]
pub struct Jobs {
    slots: BTreeMap<JobIndex, Job>,
    by_id: BTreeMap<String, JobIndex>,
    next: JobIndex,
}

impl Jobs {
    pub fn clear(&mut self) {
        self.slots.clear();
        self.by_id.clear();
    }

    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = self.next;
        self.next = self.next.wrapping_add(1);
        self.by_id.insert(job.id.clone(), index);
        self.slots.insert(index, job);
        index
    }

    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.slots.remove(&index)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.slots.get(&index)
    }

    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.slots.get_mut(&index)
    }

    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.slots.iter().map(|(index, job)| (*index, job))
    }

    /// Gives each job that starves its turn to catch up.
    pub fn begin_catch_ups(&mut self, now: Micros) {
        for job in self.slots.values_mut() {
            job.begin_catch_up(now);
        }
    }

    /// Whether failures of the job's tasks say nothing of a machine; of a job that is over nothing is
    /// known.
    pub fn is_likely_faulty(&self, id: &str) -> bool {
        let job = self.find(id).and_then(|index| self.get(index));
        job.is_none_or(Job::is_likely_faulty)
    }

    /// The places of all jobs.
    pub fn indices(&self) -> Vec<JobIndex> {
        self.slots.keys().copied().collect()
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

/// Splits `req-000412/3` into the job's id and the task's number.
pub fn parse_task(name: &str) -> Option<(&str, u64)> {
    let (id, task) = name.rsplit_once('/')?;
    Some((id, task.parse().ok()?))
}

/// Delay before a job whose tasks fail is tried again.
pub fn error_backoff(errors: u32) -> Micros {
    match errors {
        0..=2 => 0,
        n => (SECOND << (n - 3).min(5)).min(30 * SECOND),
    }
}
