//! Jobs that have waited for a long time: which of them begin ahead of their turn, which of them catch up, and which
//! of them preemption spares.
//!
//! A job starves if its tasks wait too long without any placement. It then catches up: its tasks are placed ahead of
//! those of most other jobs (see the levels of the job queue). A job without any placed task begins ahead of its turn
//! after a shorter time.

use crate::state::jobs::job::Job;
use crate::{Micros, SECOND};
use grebewood_wire::http::{Priority, Shape};

/// Age, in microseconds, from which on a job that has not begun is served ahead of its turn. The queue serves the
/// jobs with the least work first, which would otherwise starve the largest jobs.
pub const BEGIN_EARLY_AFTER_US: Micros = 60 * SECOND;

/// Time that tasks of a job wait without any placement, in microseconds, before the job counts as starving and may
/// use the headroom reserved for services.
const STARVING_AFTER_US: Micros = 70 * SECOND;

/// Largest number of tasks of a small job. A small job that has starved catches up until all of its tasks are
/// placed.
const SMALL_JOB_TASKS: u64 = 8;

/// Divisor of the number of tasks with which a batch job begins ahead of its turn.
const INITIAL_TASKS_DIVISOR: u64 = 20;

impl Job {
    /// Returns whether the job has waited so long for its first task that it begins ahead of its turn.
    pub fn must_begin_early(&self, now: Micros) -> bool {
        self.age_at_first_run.is_none()
            && self.completed_count == 0
            && self.assigned_count == 0
            && self.age(now) > BEGIN_EARLY_AFTER_US
    }

    /// Returns the number of tasks with which a job begins ahead of its turn: a part of them for a batch job, all of
    /// them for other shapes, whose tasks run together.
    pub fn initial_task_count(&self) -> u64 {
        match self.shape {
            Shape::Batch => self.task_count().div_ceil(INITIAL_TASKS_DIVISOR),
            _ => self.task_count(),
        }
    }

    /// Returns whether tasks of the job have waited so long without any placement that they may also use the
    /// headroom reserved for services. Without this rule a job could keep waiting while that many resources are
    /// free.
    pub fn is_starving(&self, now: Micros) -> bool {
        let since = self.waiting_since.map(|at| at.max(self.placed_at));
        since.is_some_and(|at| now.saturating_sub(at) > STARVING_AFTER_US)
    }

    /// Returns whether the job has had waiting tasks for as long as a starving job, even if other tasks of it were
    /// placed meanwhile.
    pub fn has_waited_long(&self, now: Micros) -> bool {
        self.waiting_since
            .is_some_and(|at| now.saturating_sub(at) > STARVING_AFTER_US)
    }

    /// Starts the catch-up of a starving job, during which its tasks are placed ahead of others. A small job catches
    /// up until all of its tasks are placed, a larger one for a single round of placement. If small jobs got only a
    /// single round as well, every small job of an overloaded class would begin and hardly any would finish.
    pub fn begin_catch_up(&mut self, now: Micros) {
        if self.catch_up.is_none() && self.is_starving(now) {
            self.has_starved = true;
            self.catch_up = Some(self.placed_at);
        }
    }

    /// Returns the time at which a task was last placed before the job starved, in microseconds, while the job
    /// catches up; 0 if none was placed before.
    pub fn catching_up_since(&self) -> Option<Micros> {
        self.catch_up.filter(|_| self.waiting_count() > 0)
    }

    /// Returns whether the job has so few tasks that it catches up until all of them are placed.
    fn is_small(&self) -> bool {
        self.task_count() <= SMALL_JOB_TASKS
    }

    /// Records that a task was placed, and ends the catch-up where this placement completes it.
    pub fn record_placed(&mut self, now: Micros) {
        self.placed_at = now;
        if self.waiting_count() == 0 {
            self.waiting_since = None;
        }
        if !self.is_small() || self.waiting_count() == 0 {
            self.catch_up = None;
        }
    }

    /// Returns the priority that decides whether tasks of the job may be preempted. A small job that has starved
    /// gets at least normal priority; otherwise its tasks would be preempted for the same large job that had starved
    /// them. The same holds for a job that has been preempted enough.
    pub fn preemption_priority(&self) -> Priority {
        let starved = self.has_starved && self.is_small();
        match starved || self.has_been_preempted_enough() {
            true => self.spec.priority.max(Priority::Normal),
            false => self.spec.priority,
        }
    }

    /// Records that a task of the job is preempted for a team below its guaranteed share.
    pub fn record_preempted(&mut self) {
        self.preempted += 1;
    }

    /// Returns whether the number of preemptions has reached half of the job's tasks, so that tasks of other jobs
    /// are preempted first.
    pub fn has_been_preempted_enough(&self) -> bool {
        2 * self.preempted >= self.task_count()
    }
}
