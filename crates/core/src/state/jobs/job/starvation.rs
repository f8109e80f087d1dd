//! Jobs that have waited for long: which begin ahead of their turn, which catch up, and which are spared by preemption.

use crate::state::jobs::job::Job;
use crate::{Micros, SECOND};
use grebewood_wire::http::{Priority, Shape};

/// A job that has not begun after this time, in microseconds, begins ahead of its turn: serving the least work first
/// must not starve the largest jobs.
pub const BEGIN_EARLY_AFTER_US: Micros = 60 * SECOND;

/// A job none of whose tasks was placed for so long, in microseconds, starves, and may take the headroom of daemons.
const STARVES_AFTER: Micros = 70 * SECOND;

/// A job of at most so many tasks places all of them once it has starved.
const SMALL_JOB: u64 = 8;

/// A batch job that begins ahead of its turn does so with one in so many of its tasks.
const FIRST_TASKS_PART: u64 = 20;

impl Job {
    /// Whether the job has waited so long that it is to begin ahead of its turn.
    pub fn must_begin_early(&self, now: Micros) -> bool {
        self.age_at_first_run.is_none()
            && self.completed_count == 0
            && self.assigned_count == 0
            && self.age(now) > BEGIN_EARLY_AFTER_US
    }

    /// How many tasks a job begins with ahead of its turn; all of those that need to run together.
    pub fn initial_task_count(&self) -> u64 {
        match self.shape {
            Shape::Batch => self.task_count().div_ceil(FIRST_TASKS_PART),
            _ => self.task_count(),
        }
    }

    /// Whether tasks have waited so long without any being placed that they may use the headroom of daemons, too: no
    /// job may wait for much longer while there are that many free resources.
    pub fn is_starving(&self, now: Micros) -> bool {
        let since = self.waiting_since.map(|at| at.max(self.placed_at));
        since.is_some_and(|at| now.saturating_sub(at) > STARVES_AFTER)
    }

    /// Whether tasks have been waiting for as long, though others of the job were placed meanwhile.
    pub fn has_waited_long(&self, now: Micros) -> bool {
        self.waiting_since
            .is_some_and(|at| now.saturating_sub(at) > STARVES_AFTER)
    }

    /// Lets a job that starves catch up: its tasks are placed ahead of others. A small job catches up until all of its
    /// tasks are placed, a larger one in a single round. With a single round for all, every small job of an overloaded
    /// class would begin, and hardly any of them finish.
    pub fn begin_catch_up(&mut self, now: Micros) {
        if self.catch_up.is_none() && self.is_starving(now) {
            self.has_starved = true;
            self.catch_up = Some(self.placed_at);
        }
    }

    /// While the job catches up: since when it had starved, in microseconds.
    pub fn catching_up_since(&self) -> Option<Micros> {
        self.catch_up.filter(|_| self.waiting_count() > 0)
    }

    /// Whether it has so few tasks that it catches up with all of them.
    fn is_small(&self) -> bool {
        self.task_count() <= SMALL_JOB
    }

    /// Notes that a task was placed.
    pub fn note_placed(&mut self, now: Micros) {
        self.placed_at = now;
        if self.waiting_count() == 0 {
            self.waiting_since = None;
        }
        if !self.is_small() || self.waiting_count() == 0 {
            self.catch_up = None;
        }
    }

    /// The priority that decides whether its tasks may be preempted. A small job that starved has aged to normal
    /// priority: otherwise its tasks would be preempted for the large array that had starved them.
    pub fn preemption_priority(&self) -> Priority {
        let starved = self.has_starved && self.is_small();
        match starved || self.has_been_preempted_enough() {
            true => self.spec.priority.max(Priority::Normal),
            false => self.spec.priority,
        }
    }

    /// One of its tasks is preempted for a team below its guaranteed share.
    pub fn note_preempted(&mut self) {
        self.preempted += 1;
    }

    /// Whether so many of its tasks were preempted that it is the turn of other jobs.
    pub fn has_been_preempted_enough(&self) -> bool {
        2 * self.preempted >= self.task_count()
    }
}
