//! Failed tasks of a job: when they are tried again, and whether the job itself is at fault.

use crate::state::jobs::job::Job;
use crate::{Micros, SECOND};
use grebewood_wire::http::Shape;

/// The number of tasks that a failing job may have on machines doubles for each such span without a failure, in
/// microseconds.
const TRIAL_DOUBLING: Micros = 10 * SECOND;

/// Most doublings of that number.
const MAX_TRIAL_DOUBLINGS: u64 = 20;

/// A job none of whose tasks ever succeeded is likely to be at fault once some failed on so many machines.
const FAULTY_JOB_MACHINES: usize = 2;

/// A job whose tasks failed this often in a row is tried with few tasks at first.
const FAILING_ERRORS: u32 = 3;

/// Longest delay before a job whose tasks fail is tried again, in microseconds.
const MAX_ERROR_BACKOFF: Micros = 30 * SECOND;

/// Delay before a job is tried again whose tasks failed `errors` times in a row, in microseconds.
fn error_backoff(errors: u32) -> Micros {
    match errors {
        0..=2 => 0,
        n => (SECOND << (n - 3).min(5)).min(MAX_ERROR_BACKOFF),
    }
}

impl Job {
    /// One of its tasks exited with an error.
    pub(crate) fn note_error(&mut self, now: Micros) {
        self.consecutive_errors += 1;
        self.retry_at = now + error_backoff(self.consecutive_errors);
        self.running_well_since = now;
    }

    /// An agent could not start one of its tasks because it does not know the job.
    pub(crate) fn note_unknown_to_agent(&mut self, now: Micros) {
        self.consecutive_errors += 1;
        self.retry_at = now + error_backoff(self.consecutive_errors.max(FAILING_ERRORS));
    }

    /// Notes that one of its tasks failed on the machine.
    pub fn note_failure(&mut self, machine: &str) {
        if self.failed_on.len() < FAULTY_JOB_MACHINES {
            self.failed_on.insert(machine.to_string());
        }
    }

    /// A replica ended by itself on `machine` after it had run for `ran` microseconds.
    pub fn note_replica_exit(&mut self, task: u64, machine: &str, ran: Micros, now: Micros) {
        self.restarts.note_exit(task, machine, ran, now);
    }

    /// Whether other machines are preferred to this one, because a replica ended there by itself.
    pub fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.restarts.avoids(machine, now)
    }

    /// Whether the job itself is likely to be at fault: its tasks failed on several machines, and none has ever
    /// succeeded. Jobs submitted with a mistake fail everywhere; when two of them meet on a machine, that must not be
    /// taken for a fault of the machine.
    pub fn is_likely_faulty(&self) -> bool {
        match self.shape {
            // No replica of a daemon ever succeeds.
            Shape::Daemon => self.restarts.avoided_machine_count() >= FAULTY_JOB_MACHINES,
            _ => self.completed_count == 0 && self.failed_on.len() >= FAULTY_JOB_MACHINES,
        }
    }

    /// Whether its tasks keep failing: then they are tried one at a time at first.
    pub fn keeps_failing(&self) -> bool {
        self.consecutive_errors >= FAILING_ERRORS
    }

    /// How many tasks of a job that keeps failing may be on machines: the longer they run well, the more. A job that
    /// failed on one faulty machine must not be left with a single long task at a time.
    pub(crate) fn max_trial_tasks(&self, now: Micros) -> u64 {
        let ran_well = now.saturating_sub(self.running_well_since);
        match self.running_count {
            0 => 1,
            _ => 1 << (ran_well / TRIAL_DOUBLING).min(MAX_TRIAL_DOUBLINGS),
        }
    }
}
