//! A live job: its tasks, where they are, and which of them may be placed.

use crate::context::Context;
use crate::state::jobs::replica_restarts::ReplicaRestarts;
use crate::state::jobs::task_set::TaskSet;
use crate::{micros, Micros, SECOND};
use grebewood_wire::http::{Shape, Submission};
use grebewood_wire::records::{JobRecord, TASKS_PER_LEGACY_RECORD};
use grebewood_wire::validate::MAX_TASKS;
use std::collections::{BTreeMap, BTreeSet};

pub mod failures;
pub mod starvation;

/// Completed tasks that one hexadecimal digit of a record holds.
const TASKS_PER_DIGIT: u64 = 4;

/// Most runs that weigh in the mean run time of a job's tasks, so that it follows changes.
const MAX_MEAN_WEIGHT: u32 = 1_000;

/// The time that a task gets to checkpoint, in microseconds, if it is expected to take `duration` microseconds.
pub(crate) fn grace(duration: Micros) -> Micros {
    duration + duration / 2 + SECOND
}

/// How a job ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// All of its tasks are completed.
    Done,
    /// It was cancelled.
    Aborted,
}

impl FinalStatus {
    /// The word for it in messages and records.
    pub fn as_str(self) -> &'static str {
        match self {
            FinalStatus::Done => "done",
            FinalStatus::Aborted => "aborted",
        }
    }
}

/// A job that is not over. Times are in microseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Its submission.
    pub spec: Submission,
    /// When it was accepted; may lie before the start of this process.
    pub accepted_at: i64,
    completed: TaskSet,
    assigned: TaskSet,
    /// Tasks with more than one assignment, with the number beyond the first.
    extra_assignments: BTreeMap<u64, u32>,
    /// Number of completed tasks.
    pub completed_count: u64,
    /// Number of tasks that are assigned and not completed.
    assigned_count: u64,
    /// All tasks before this one are completed or assigned.
    first_candidate: u64,
    /// When it was cancelled, as far as known; may lie before the start of this process.
    pub cancelled_at: Option<i64>,
    /// Set while its terminal record is being written.
    pub ending: Option<FinalStatus>,
    /// Errors of its tasks in a row without a success.
    pub consecutive_errors: u32,
    /// Machines that were terminated because its tasks alone kept failing there.
    pub terminated_for_failures: u32,
    /// Machines on which its tasks failed, as many as are needed to find the job faulty.
    failed_on: BTreeSet<String>,
    /// No task of it is placed before this time.
    pub retry_at: Micros,
    /// Since when some task of it has been running without any that failed.
    running_well_since: Micros,
    /// Number of assignments by zone.
    pub assignments_by_zone: BTreeMap<String, u32>,
    /// Number of its tasks that were last seen running.
    pub running_count: u32,
    /// Number of assigned tasks that partition holders are to place and have not placed yet.
    pub delegated_count: u64,
    /// How many of the delegated tasks wait for free resources.
    pub waiting_at_holders: u64,
    /// Its age, in microseconds, when a task was first seen running.
    pub age_at_first_run: Option<Micros>,
    /// The pages that hold its completed tasks, by span of task numbers.
    pub completed_pages: BTreeMap<u64, u64>,
    /// Mean run time of its own tasks so far, in microseconds, with the number of runs.
    pub mean_run_time: (Micros, u32),
    /// Since when it has had tasks that wait for a place.
    pub waiting_since: Option<Micros>,
    /// When a task was last placed.
    placed_at: Micros,
    /// While it catches up: when a task had last been placed before it starved.
    catch_up: Option<Micros>,
    /// Whether it has ever starved.
    has_starved: bool,
    /// How many of its tasks were preempted for teams below their guaranteed share.
    preempted: u64,
    /// Whether it is a batch, a gang or a daemon.
    pub shape: Shape,
    restarts: ReplicaRestarts,
}

impl Job {
    /// A job read from its record, none of whose tasks is assigned or known to be completed. `now` is the time of the
    /// steady clock, `wall` the time of day, both in microseconds.
    pub fn new(record: JobRecord, now: Micros, wall: Micros) -> Self {
        let tasks = record.spec.tasks.min(MAX_TASKS);
        let age = wall.saturating_sub(record.accepted_us) as i64;
        Job {
            id: record.spec.id.clone(),
            completed: TaskSet::new(tasks),
            assigned: TaskSet::new(tasks),
            extra_assignments: BTreeMap::new(),
            completed_count: 0,
            assigned_count: 0,
            first_candidate: 0,
            cancelled_at: None,
            ending: None,
            consecutive_errors: 0,
            terminated_for_failures: 0,
            failed_on: BTreeSet::new(),
            retry_at: 0,
            running_well_since: 0,
            assignments_by_zone: BTreeMap::new(),
            running_count: 0,
            delegated_count: 0,
            waiting_at_holders: 0,
            age_at_first_run: None,
            completed_pages: BTreeMap::new(),
            mean_run_time: (0, 0),
            waiting_since: Some(now),
            placed_at: 0,
            catch_up: None,
            has_starved: false,
            preempted: 0,
            shape: Shape::of(&record.spec).unwrap_or(Shape::Batch),
            restarts: ReplicaRestarts::default(),
            accepted_at: now as i64 - age,
            spec: record.spec,
        }
    }

    /// Number of all its tasks.
    pub fn task_count(&self) -> u64 {
        self.spec.tasks
    }

    /// Number of tasks that are neither completed nor assigned.
    pub fn waiting_count(&self) -> u64 {
        if self.cancelled_at.is_some() || self.ending.is_some() {
            return 0;
        }
        let placed = self.completed_count + self.assigned_count;
        self.task_count().saturating_sub(placed)
    }

    /// Whether the task is completed.
    pub fn is_task_completed(&self, task: u64) -> bool {
        self.completed.contains(task)
    }

    /// Whether all of its tasks are completed.
    pub fn has_completed_all_tasks(&self) -> bool {
        !self.is_daemon() && self.completed_count >= self.task_count()
    }

    /// Whether its tasks, called replicas, run until it is cancelled: none of them is ever completed.
    pub fn is_daemon(&self) -> bool {
        self.shape == Shape::Daemon
    }

    /// Whether its tasks write checkpoints.
    pub(crate) fn writes_checkpoints(&self) -> bool {
        self.spec.checkpoint_interval_s > 0.0
    }

    /// The time that a task gets to checkpoint when it is stopped, in microseconds; 0 if it writes no checkpoints.
    pub(crate) fn checkpoint_grace(&self) -> Micros {
        match self.writes_checkpoints() {
            true => grace(micros(self.spec.checkpoint_duration_s)),
            false => 0,
        }
    }

    /// Marks a task completed. A completed task does not count as assigned, though it may still be on a machine. Returns
    /// false if it was completed already or does not exist.
    pub fn complete_task(&mut self, task: u64) -> bool {
        if self.is_daemon() || task >= self.task_count() || self.completed.contains(task) {
            return false;
        }
        self.completed.insert(task);
        self.completed_count += 1;
        if self.assigned.contains(task) {
            self.assigned_count -= 1;
        }
        true
    }

    /// Takes a task for an assignment.
    pub fn assign_task(&mut self, task: u64) {
        if self.assigned.contains(task) {
            *self.extra_assignments.entry(task).or_insert(0) += 1;
            return;
        }
        self.assigned.insert(task);
        if !self.completed.contains(task) {
            self.assigned_count += 1;
        }
    }

    /// Gives a task back when an assignment of it is proven gone. With two assignments of one task on record, as after a
    /// crash between two writes, it is free when both are gone.
    pub fn unassign_task(&mut self, task: u64) {
        if let Some(extra) = self.extra_assignments.get_mut(&task) {
            *extra -= 1;
            if *extra == 0 {
                self.extra_assignments.remove(&task);
            }
            return;
        }
        if !self.assigned.contains(task) {
            return;
        }
        self.assigned.remove(task);
        if !self.completed.contains(task) {
            self.assigned_count -= 1;
            self.first_candidate = self.first_candidate.min(task);
        }
    }

    /// An assignment of the task in the zone is proven gone.
    pub(crate) fn note_assignment_removed(&mut self, task: u64, zone: &str, now: Micros) {
        self.unassign_task(task);
        if let Some(count) = self.assignments_by_zone.get_mut(zone) {
            *count = count.saturating_sub(1);
        }
        if self.waiting_count() > 0 && self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// A task of it was seen running that was not running before.
    pub(crate) fn note_running(&mut self, now: Micros) {
        if self.age_at_first_run.is_none() {
            self.age_at_first_run = Some(self.age(now));
        }
        if self.running_count == 0 {
            self.running_well_since = now;
        }
        self.running_count += 1;
    }

    /// A task of it took this long, in microseconds.
    pub(crate) fn note_run_time(&mut self, run_time: Micros) {
        let (mean, runs) = self.mean_run_time;
        let sum = mean * u64::from(runs) + run_time;
        self.mean_run_time = (sum / (u64::from(runs) + 1), (runs + 1).min(MAX_MEAN_WEIGHT));
    }

    /// The next waiting task that may be placed now.
    pub fn next_waiting_task(&mut self, now: Micros) -> Option<u64> {
        if self.waiting_count() == 0 {
            return None;
        }
        while self.first_candidate < self.task_count() && !self.is_waiting(self.first_candidate) {
            self.first_candidate += 1;
        }
        (self.first_candidate..self.task_count())
            .find(|task| self.is_waiting(*task) && !self.restarts.is_backing_off(*task, now))
    }

    /// Whether the task is neither completed nor assigned.
    fn is_waiting(&self, task: u64) -> bool {
        !self.completed.contains(task) && !self.assigned.contains(task)
    }

    /// Takes the next waiting task that may be placed now, for a partition holder that is to place it.
    pub fn assign_next_task(&mut self, now: Micros) -> Option<u64> {
        let task = self.next_waiting_task(now)?;
        self.assign_task(task);
        Some(task)
    }

    /// Whether partition holders, which see their own machines only, may place its tasks: each can go anywhere, whatever
    /// the others do, and no resources are reserved for it.
    pub fn may_be_placed_by_holders(&self, now: Micros) -> bool {
        self.shape == Shape::Batch
            && !self.must_begin_early(now)
            && self.catching_up_since().is_none()
            && !self.spec.one_zone
            && !self.spec.spread
            && !self.keeps_failing()
    }

    /// The completed tasks of a span, from `span * TASKS_PER_LEGACY_RECORD` on, as hexadecimal digits of four tasks each.
    pub fn completed_bits(&self, span: u64) -> String {
        let from = span * TASKS_PER_LEGACY_RECORD;
        let to = (from + TASKS_PER_LEGACY_RECORD).min(self.task_count());
        let firsts = (from..to).step_by(TASKS_PER_DIGIT as usize);
        let digits = firsts.map(|first| {
            let done = (0..TASKS_PER_DIGIT).filter(|bit| self.completed.contains(first + bit));
            done.fold(0u32, |digit, bit| digit | 1 << bit)
        });
        digits
            .filter_map(|digit| char::from_digit(digit, 16))
            .collect()
    }

    /// Marks the tasks of a span completed that a record shows as such, in the form of [`Job::completed_bits`].
    pub fn restore_completed_tasks(&mut self, span: u64, digits: &str) {
        if span > MAX_TASKS / TASKS_PER_LEGACY_RECORD {
            return;
        }
        let digits_per_span = (TASKS_PER_LEGACY_RECORD / TASKS_PER_DIGIT) as usize;
        for (position, digit) in digits.chars().take(digits_per_span).enumerate() {
            let digit = digit.to_digit(16).unwrap_or(0);
            let first = span * TASKS_PER_LEGACY_RECORD + position as u64 * TASKS_PER_DIGIT;
            for bit in (0..TASKS_PER_DIGIT).filter(|bit| digit >> bit & 1 == 1) {
                self.complete_task(first + bit);
            }
        }
    }

    /// Time since the cancellation in microseconds, if there is one.
    pub fn cancelled_for(&self, now: Micros) -> Option<Micros> {
        self.cancelled_at.map(|at| (now as i64 - at).max(0) as Micros)
    }

    /// Number of tasks that are on machines, as far as known.
    pub fn assignment_count(&self) -> u64 {
        self.assignments_by_zone.values().map(|count| u64::from(*count)).sum()
    }

    /// The zone that a `one_zone` job is bound to by the tasks that it has there; also by those on unreachable machines.
    pub fn bound_zone(&self) -> Option<&str> {
        let mut used = self.assignments_by_zone.iter().filter(|(_, count)| **count > 0);
        match self.spec.one_zone {
            true => used.next().map(|(zone, _)| zone.as_str()),
            false => None,
        }
    }

    /// Whether the zone may take one more of its tasks, given where the others are.
    pub fn zone_permits(&self, zone: &str) -> bool {
        let here = self.assignments_by_zone.get(zone).map_or(0, |count| u64::from(*count));
        self.bound_zone().is_none_or(|bound| bound == zone)
            && (!self.spec.spread || here < self.spec.tasks.div_ceil(2))
    }

    /// Number of tasks that may be placed now, as far as the job itself is concerned.
    pub fn placeable_count(&self, now: Micros) -> u64 {
        let backing_off = self.restarts.backing_off(now);
        let backing_off = backing_off.filter(|task| !self.assigned.contains(*task));
        let waiting = self.waiting_count().saturating_sub(backing_off.count() as u64);
        if !self.keeps_failing() {
            return waiting;
        }
        let more = self.max_trial_tasks(now).saturating_sub(self.assignment_count());
        waiting.min(more)
    }

    /// Time since acceptance, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        (now as i64 - self.accepted_at).max(0) as Micros
    }

    /// When the job should be finished: the earliest objective that it can still meet with `need` microseconds yet to
    /// run, by its deadline or else by the service-level objectives of its class. None if it is late for all of them.
    pub fn target_finish_at(&self, context: &Context, need: Micros) -> Option<i64> {
        let earliest = (context.now.steady + need) as i64;
        let reachable = |objective: Micros| {
            let at = self.accepted_at + objective as i64;
            (at >= earliest).then_some(at)
        };
        if let Some(deadline) = self.spec.deadline_s {
            return reachable(micros(deadline));
        }
        let mut objectives = context
            .settings
            .objectives
            .iter()
            .filter(|objective| objective.class == self.spec.class && objective.kind == "finished")
            .filter_map(|objective| objective.within)
            .peekable();
        if objectives.peek().is_none() {
            return Some(self.accepted_at + context.tuning.default_deadline_us as i64);
        }
        objectives.filter_map(reachable).min()
    }
}
