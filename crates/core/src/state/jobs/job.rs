//! A live job: its tasks, their assignments, and which of them may be placed.

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

/// Number of tasks that one hexadecimal digit of a record of completed tasks covers.
const TASKS_PER_DIGIT: u64 = 4;

/// Highest weight of the mean run time of a job's tasks. The limit lets the mean follow changes.
const MAX_MEAN_WEIGHT: u32 = 1_000;

/// Returns the time that a task gets to write a checkpoint, in microseconds, if writing one is expected to take
/// `duration` microseconds.
pub(crate) fn checkpoint_grace_for(duration: Micros) -> Micros {
    duration + duration / 2 + SECOND
}

/// Final status of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// All tasks of the job are completed.
    Done,
    /// The job was cancelled.
    Aborted,
}

impl FinalStatus {
    /// Returns the name of the status in messages and records.
    pub fn as_str(self) -> &'static str {
        match self {
            FinalStatus::Done => "done",
            FinalStatus::Aborted => "aborted",
        }
    }
}

/// A job that has not ended. Times are in microseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the job.
    pub id: String,
    /// Submission that describes the job.
    pub spec: Submission,
    /// Time of acceptance. It may lie before the start of this process.
    pub accepted_at: i64,
    completed: TaskSet,
    assigned: TaskSet,
    /// Number of additional assignments of each task that has more than one.
    extra_assignments: BTreeMap<u64, u32>,
    /// Number of completed tasks.
    pub completed_count: u64,
    /// Number of assigned tasks that are not completed.
    assigned_count: u64,
    /// Lower bound of the waiting tasks: all tasks with lower numbers are completed or assigned.
    first_candidate: u64,
    /// Time of the cancellation, if this controller knows of one. It may lie before the start of this process.
    pub cancelled_at: Option<i64>,
    /// Final status, set while the final record of the job is being written.
    pub ending: Option<FinalStatus>,
    /// Number of task errors since the last success of a task.
    pub consecutive_errors: u32,
    /// Number of machines that were terminated because only tasks of this job kept failing on them.
    pub terminated_for_failures: u32,
    /// Machines on which tasks of the job failed, up to the number that makes the job likely to be at fault.
    failed_on: BTreeSet<String>,
    /// Earliest time at which a task of the job may be placed.
    pub retry_at: Micros,
    /// Time since which some task of the job has been running and none has failed.
    running_well_since: Micros,
    /// Number of assignments in each zone.
    pub assignments_by_zone: BTreeMap<String, u32>,
    /// Number of tasks that agents last reported as running.
    pub running_count: u32,
    /// Number of assigned tasks that are delegated to partition holders and not placed yet.
    pub delegated_count: u64,
    /// Number of delegated tasks that wait for resources that other tasks will free.
    pub waiting_at_holders: u64,
    /// Age of the job, in microseconds, when a task was first reported as running.
    pub age_at_first_run: Option<Micros>,
    /// Time at which a task was last reported as running that was not running before; 0 if none was.
    pub last_started_at: Micros,
    /// Number of the page of completed tasks that lists each span of the job's tasks, by number of the span. A span
    /// is a range of [`TASKS_PER_LEGACY_RECORD`] consecutive task numbers.
    pub completed_pages: BTreeMap<u64, u64>,
    /// Mean run time of the job's tasks, in microseconds, and the number of runs that the mean counts for, at most
    /// `MAX_MEAN_WEIGHT`.
    pub mean_run_time: (Micros, u32),
    /// Time since which the job has had waiting tasks.
    pub waiting_since: Option<Micros>,
    /// Time at which a task was last placed.
    placed_at: Micros,
    /// Time at which a task was last placed before the job starved; set while the job catches up, that is, while its
    /// tasks are placed ahead of others after it has starved.
    catch_up: Option<Micros>,
    /// Whether the job has ever starved.
    has_starved: bool,
    /// Number of preemptions of the job's tasks for teams below their guaranteed share.
    preempted: u64,
    /// Shape of the job: batch, gang or daemon.
    pub shape: Shape,
    restarts: ReplicaRestarts,
}

impl Job {
    /// Creates a job from its record, without assigned or completed tasks. `now` is the time of the steady clock and
    /// `wall` the time of day, both in microseconds.
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
            last_started_at: 0,
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

    /// Returns the number of tasks of the job.
    pub fn task_count(&self) -> u64 {
        self.spec.tasks
    }

    /// Returns the number of tasks that are neither completed nor assigned; 0 once the job is cancelled or its final
    /// record is being written.
    pub fn waiting_count(&self) -> u64 {
        if self.cancelled_at.is_some() || self.ending.is_some() {
            return 0;
        }
        let placed = self.completed_count + self.assigned_count;
        self.task_count().saturating_sub(placed)
    }

    /// Returns whether the task is completed.
    pub fn is_task_completed(&self, task: u64) -> bool {
        self.completed.contains(task)
    }

    /// Returns whether all tasks of the job are completed.
    pub fn has_completed_all_tasks(&self) -> bool {
        !self.is_daemon() && self.completed_count >= self.task_count()
    }

    /// Returns whether the job is a daemon. The tasks of a daemon are called replicas; they run until the job is
    /// cancelled and are never completed.
    pub fn is_daemon(&self) -> bool {
        self.shape == Shape::Daemon
    }

    /// Returns whether tasks of the job write checkpoints.
    pub(crate) fn writes_checkpoints(&self) -> bool {
        self.spec.checkpoint_interval_s > 0.0
    }

    /// Returns the time that a task gets to write a checkpoint when it is stopped, in microseconds; 0 if tasks of
    /// the job write no checkpoints.
    pub(crate) fn checkpoint_grace(&self) -> Micros {
        match self.writes_checkpoints() {
            true => checkpoint_grace_for(micros(self.spec.checkpoint_duration_s)),
            false => 0,
        }
    }

    /// Marks a task as completed. A completed task does not count as assigned, though it may still be on a machine.
    /// Returns false if the task was already completed or does not exist, or if the job is a daemon.
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

    /// Records a new assignment of a task.
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

    /// Removes one assignment of a task, which is proven gone. A task with two recorded assignments, as after a
    /// crash between two writes, waits again only when both are gone.
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

    /// Records that an assignment of the task in this zone is proven gone.
    pub(crate) fn record_assignment_removed(&mut self, task: u64, zone: &str, now: Micros) {
        self.unassign_task(task);
        if let Some(count) = self.assignments_by_zone.get_mut(zone) {
            *count = count.saturating_sub(1);
        }
        if self.waiting_count() > 0 && self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Records that an agent reports a task of the job as running that was not running before.
    pub(crate) fn record_running(&mut self, now: Micros) {
        if self.age_at_first_run.is_none() {
            self.age_at_first_run = Some(self.age(now));
        }
        if self.running_count == 0 {
            self.running_well_since = now;
        }
        self.running_count += 1;
        self.last_started_at = now;
    }

    /// Adds the run time of a task, in microseconds, to the mean run time.
    pub(crate) fn record_run_time(&mut self, run_time: Micros) {
        let (mean, runs) = self.mean_run_time;
        let sum = mean * u64::from(runs) + run_time;
        self.mean_run_time = (sum / (u64::from(runs) + 1), (runs + 1).min(MAX_MEAN_WEIGHT));
    }

    /// Returns the waiting task with the lowest number that may be placed now.
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

    /// Returns whether the task is neither completed nor assigned.
    fn is_waiting(&self, task: u64) -> bool {
        !self.completed.contains(task) && !self.assigned.contains(task)
    }

    /// Marks the waiting task with the lowest number that may be placed now as assigned, and returns the number of the
    /// task. The leader then delegates the task to a partition holder, which chooses the machine.
    pub fn assign_next_task(&mut self, now: Micros) -> Option<u64> {
        let task = self.next_waiting_task(now)?;
        self.assign_task(task);
        Some(task)
    }

    /// Returns whether partition holders may place tasks of the job. A holder sees only its own machines, so each
    /// task must be placeable independently of the others, and no resources may be reserved for the job.
    pub fn may_be_placed_by_holders(&self, now: Micros) -> bool {
        self.shape == Shape::Batch
            && !self.must_begin_early(now)
            && self.catching_up_since().is_none()
            && !self.spec.one_zone
            && !self.spec.spread
            && !self.keeps_failing()
    }

    /// Returns the completed tasks of a span as hexadecimal digits that cover four tasks each. The first task of the
    /// span is `span * TASKS_PER_LEGACY_RECORD`.
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

    /// Marks the tasks of a span as completed that `digits`, from a record of completed tasks, lists as completed.
    /// `digits` has the format of [`Job::completed_bits`].
    pub fn restore_completed_tasks(&mut self, span: u64, digits: &str) {
        if span > MAX_TASKS / TASKS_PER_LEGACY_RECORD {
            return;
        }
        let digits_per_span = (TASKS_PER_LEGACY_RECORD / TASKS_PER_DIGIT) as usize;
        for (index, digit) in digits.chars().take(digits_per_span).enumerate() {
            let digit = digit.to_digit(16).unwrap_or(0);
            let first = span * TASKS_PER_LEGACY_RECORD + index as u64 * TASKS_PER_DIGIT;
            for bit in (0..TASKS_PER_DIGIT).filter(|bit| digit >> bit & 1 == 1) {
                self.complete_task(first + bit);
            }
        }
    }

    /// Returns the time since the cancellation, in microseconds, if the job is cancelled.
    pub fn cancelled_for(&self, now: Micros) -> Option<Micros> {
        self.cancelled_at
            .map(|at| (now as i64 - at).max(0) as Micros)
    }

    /// Returns the number of assignments of the job on all machines.
    pub fn assignment_count(&self) -> u64 {
        self.assignments_by_zone
            .values()
            .map(|count| u64::from(*count))
            .sum()
    }

    /// Returns the zone in which a `one_zone` job has assignments, also those on unreachable machines. All other
    /// tasks of the job must go to the same zone.
    pub fn bound_zone(&self) -> Option<&str> {
        let mut used = self
            .assignments_by_zone
            .iter()
            .filter(|(_, count)| **count > 0);
        match self.spec.one_zone {
            true => used.next().map(|(zone, _)| zone.as_str()),
            false => None,
        }
    }

    /// Returns whether one more task may be placed in the zone, given the zones of the existing assignments.
    pub fn zone_permits(&self, zone: &str) -> bool {
        let here = self
            .assignments_by_zone
            .get(zone)
            .map_or(0, |count| u64::from(*count));
        self.bound_zone().is_none_or(|bound| bound == zone)
            && (!self.spec.spread || here < self.spec.tasks.div_ceil(2))
    }

    /// Returns the number of waiting tasks that the job's own rules permit to be placed now.
    pub fn placeable_count(&self, now: Micros) -> u64 {
        let backing_off = self.restarts.backing_off(now);
        let backing_off = backing_off.filter(|task| !self.assigned.contains(*task));
        let waiting = self
            .waiting_count()
            .saturating_sub(backing_off.count() as u64);
        if !self.keeps_failing() {
            return waiting;
        }
        let more = self
            .max_trial_tasks(now)
            .saturating_sub(self.assignment_count());
        waiting.min(more)
    }

    /// Returns the time since acceptance, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        (now as i64 - self.accepted_at).max(0) as Micros
    }

    /// Returns the time at which the job should be finished: its deadline or, for a job without one, the earliest
    /// service-level objective of its class that the job can still meet if it needs another `need` microseconds. A
    /// job whose class has no such objective gets a default deadline. Returns `None` if no target can be met any
    /// more.
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
