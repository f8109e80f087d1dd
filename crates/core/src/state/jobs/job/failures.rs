//! Task failures of a job: when tasks are retried, and whether the job itself is likely to be at fault.

use crate::state::jobs::job::Job;
use crate::{Micros, SECOND};
use grebewood_wire::http::Shape;

/// Time without a failure, in microseconds, after which the number of tasks that a failing job may have on machines
/// doubles.
const TRIAL_DOUBLING_INTERVAL_US: Micros = 10 * SECOND;

/// Maximum number of these doublings.
const MAX_TRIAL_DOUBLINGS: u64 = 20;

/// Number of machines on which tasks of a job must have failed, without any success, before the job is likely to be
/// at fault.
const FAULTY_JOB_MACHINES: usize = 2;

/// Number of consecutive task errors from which on only a few tasks of the job may be on machines at a time.
const FAILING_ERRORS: u32 = 3;

/// Longest delay before tasks of a failing job are retried, in microseconds.
const MAX_ERROR_BACKOFF_US: Micros = 30 * SECOND;

/// Returns the delay before the next try of a job after `errors` consecutive task errors, in microseconds.
fn error_backoff(errors: u32) -> Micros {
    match errors {
        0..=2 => 0,
        n => (SECOND << (n - 3).min(5)).min(MAX_ERROR_BACKOFF_US),
    }
}

impl Job {
    /// Records that a task of the job exited with an error, and delays the next try.
    pub(crate) fn record_error(&mut self, now: Micros) {
        self.consecutive_errors += 1;
        self.retry_at = now + error_backoff(self.consecutive_errors);
        self.running_well_since = now;
    }

    /// Records that an agent could not start a task because the agent does not know the job, and delays the next
    /// try.
    pub(crate) fn record_unknown_to_agent(&mut self, now: Micros) {
        self.consecutive_errors += 1;
        self.retry_at = now + error_backoff(self.consecutive_errors.max(FAILING_ERRORS));
    }

    /// Records that a task of the job failed on the machine.
    pub fn record_failure(&mut self, machine: &str) {
        if self.failed_on.len() < FAULTY_JOB_MACHINES {
            self.failed_on.insert(machine.to_string());
        }
    }

    /// Records that a replica exited without being stopped, after `ran` microseconds on `machine`.
    pub fn record_replica_exit(&mut self, task: u64, machine: &str, ran: Micros, now: Micros) {
        self.restarts.record_exit(task, machine, ran, now);
    }

    /// Returns whether placement prefers other machines because a replica of the job recently exited on this one
    /// without being stopped.
    pub fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.restarts.avoids(machine, now)
    }

    /// Returns whether the job itself is likely to be at fault: its tasks failed on several machines, or it was
    /// cancelled, and none has ever succeeded. A job submitted with a mistake fails on every machine, until its user
    /// cancels it. Without this check, two such jobs on one machine would make a healthy machine look faulty.
    pub fn is_likely_faulty(&self) -> bool {
        if self.cancelled_at.is_some() && self.completed_count == 0 {
            return true;
        }
        match self.shape {
            // Replicas of a daemon never complete, so there is no success to look for.
            Shape::Daemon => self.restarts.avoided_machine_count() >= FAULTY_JOB_MACHINES,
            _ => self.completed_count == 0 && self.failed_on.len() >= FAULTY_JOB_MACHINES,
        }
    }

    /// Returns whether tasks of the job keep failing. Such a job starts with a single task at a time, and more are
    /// permitted as long as its tasks run without a failure.
    pub fn keeps_failing(&self) -> bool {
        self.consecutive_errors >= FAILING_ERRORS
    }

    /// Returns how many tasks of a job that keeps failing may be on machines. The number doubles in regular
    /// intervals while the tasks run without a failure, so that a job that failed on one faulty machine is not
    /// limited to a single long task at a time.
    pub(crate) fn max_trial_tasks(&self, now: Micros) -> u64 {
        let ran_well = now.saturating_sub(self.running_well_since);
        match self.running_count {
            0 => 1,
            _ => 1 << (ran_well / TRIAL_DOUBLING_INTERVAL_US).min(MAX_TRIAL_DOUBLINGS),
        }
    }
}
