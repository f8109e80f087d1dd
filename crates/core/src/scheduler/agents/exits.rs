//! Exited tasks: results, retries, and whether a failure is attributed to the machine or to the job.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, ExitedAttempt, FailureAttribution};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::{ExitCause, ReportedTask};
use grebewood_wire::records::TASKS_PER_LEGACY_RECORD;
use log::{info, warn};

/// How long the write of a completed task may be delayed, in microseconds.
const COMPLETION_WRITE_DELAY: Micros = 2 * SECOND;

/// How long a replica launched by an earlier leader has run at least, in microseconds, as far as can be told.
const MIN_RECOVERED_RUN: Micros = 30 * SECOND;

/// How long a machine that refused a task gets no new ones, in microseconds.
const QUARANTINE: Micros = 3 * SECOND;

/// Most machines that are terminated because the tasks of one job alone failed there.
const MAX_TERMINATIONS_BY_ONE_JOB: u32 = 2;

/// The exit of a task whose assignment is known.
struct TaskExit<'a> {
    /// The machine's name.
    machine: &'a str,
    assignment: &'a Assignment,
    cause: &'a ExitCause,
    /// `<job>/<number>`.
    task_name: &'a str,
}

impl Scheduler {
    /// Marks a task completed. Returns the record, with its version, that must be durable before the result may be
    /// acknowledged; nothing if the task was completed before.
    fn completed(
        &mut self,
        context: &Context,
        index: JobIndex,
        task: u64,
    ) -> Option<(RecordId, u64)> {
        let job = self.jobs.get_mut(index)?;
        if !job.complete(task) {
            return None;
        }
        let page = RecordId::Done(self.completed_pages.page_of(
            index,
            task / TASKS_PER_LEGACY_RECORD,
            job,
        ));
        self.progress_dirty.insert(index);
        // The agent keeps the result until it is acknowledged: the write can wait for others.
        let due = context.now.steady + COMPLETION_WRITE_DELAY;
        Some((page.clone(), self.write_buffer.mark_dirty_by(page, due)))
    }

    /// The task of the assignment at this position of the machine has exited.
    pub(crate) fn exited(
        &mut self,
        context: &mut Context,
        name: &str,
        position: usize,
        cause: &ExitCause,
        task_name: &str,
    ) {
        if self.is_holder() {
            return self.on_exit_in_partition(context, name, position, cause, task_name);
        }
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let assignment = machine.assignments[position].clone();
        let exit = TaskExit {
            machine: name,
            assignment: &assignment,
            cause,
            task_name,
        };
        let after = self.apply_exit_cause(context, &exit);
        self.remove_assignment(context, name, position);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.exited_attempts.push(ExitedAttempt {
                task_name: task_name.to_string(),
                attempt: assignment.attempt,
                after: after.into_iter().collect(),
                job: Some(assignment.job),
            });
        }
        self.end_if_over(context, assignment.job);
    }

    /// Applies what the cause of an exit says of the machine and of the job. Returns the record that must be durable
    /// before the exit is acknowledged.
    fn apply_exit_cause(&mut self, context: &Context, exit: &TaskExit) -> Option<(RecordId, u64)> {
        let now = context.now.steady;
        let TaskExit {
            machine, task_name, ..
        } = *exit;
        let index = exit.assignment.job;
        match (exit.cause, self.jobs.get_mut(index)) {
            (ExitCause::NoRoom | ExitCause::Busy, _) => {
                warn!(task = task_name, machine = machine, cause:% = exit.cause; "machine refused a task");
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.quarantined_until = now + QUARANTINE;
                }
            }
            (_, Some(job)) if job.is_daemon() => self.replica_exited(context, exit),
            (ExitCause::Done, Some(_)) => return self.task_succeeded(context, exit),
            (ExitCause::Error, Some(job)) => {
                job.note_error(now);
                info!(task = task_name, machine = machine; "task failed");
                self.note_failure(context, machine, index);
            }
            (ExitCause::UnknownJob, Some(job)) => job.note_unknown_to_agent(now),
            (ExitCause::Unknown(cause), _) => {
                warn!(task = task_name, machine = machine, cause:? = cause; "exit with an unknown cause");
            }
            _ => {}
        }
        None
    }

    /// A replica of a daemon exited: it is to run again, however it ended. Unless it was stopped, it ended by itself.
    fn replica_exited(&mut self, context: &Context, exit: &TaskExit) {
        let now = context.now.steady;
        let assignment = exit.assignment;
        if assignment.stop.is_some() {
            return;
        }
        let ran = match assignment.started {
            _ if assignment.recovered() => now.saturating_sub(self.loaded_at) + MIN_RECOVERED_RUN,
            Some(started) => now.saturating_sub(started),
            None => 0,
        };
        info!(
            task = exit.task_name, machine = exit.machine, cause:% = exit.cause, ran_s = ran / SECOND;
            "replica exited"
        );
        if let Some(job) = self.jobs.get_mut(assignment.job) {
            job.replica_ended(assignment.task, exit.machine, ran, now);
        }
        if *exit.cause == ExitCause::Error {
            self.note_failure(context, exit.machine, assignment.job);
        }
    }

    /// A task exited after it had done its work.
    fn task_succeeded(&mut self, context: &Context, exit: &TaskExit) -> Option<(RecordId, u64)> {
        let assignment = exit.assignment;
        let machine = self.machines.get_mut(exit.machine)?;
        let job = self.jobs.get_mut(assignment.job)?;
        machine.failed_jobs.clear();
        job.consecutive_errors = 0;
        // Only a run seen from its beginning says how long such tasks take.
        if let (Some(started), false) = (assignment.started, assignment.recovered()) {
            let run_time = context.now.steady.saturating_sub(started);
            self.stats
                .record_run(&job.spec, &machine.machine_type, run_time);
            job.note_run_time(run_time);
        }
        self.completed(context, assignment.job, assignment.task)
    }

    /// A task of the job failed on the machine: one of the two is at fault. A machine that seems to be is terminated;
    /// one job alone causes only a few terminations.
    fn note_failure(&mut self, context: &Context, name: &str, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        let id = job.id.clone();
        let was_likely_faulty = job.is_likely_faulty();
        job.note_failure(name);
        if job.is_likely_faulty() && !was_likely_faulty {
            self.lift_quarantines(context);
        }
        let is_faulty_job = |id: &str| self.jobs.is_likely_faulty(id);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.note_failure(&id, is_faulty_job);
        if machine.cordoned && !machine.draining {
            return;
        }
        match (machine.failure_attribution(), self.jobs.get_mut(index)) {
            (FailureAttribution::ByTwoJobs, _) => machine.retire_as_faulty(),
            (FailureAttribution::ByOneJob, Some(job))
                if job.terminated_for_failures < MAX_TERMINATIONS_BY_ONE_JOB =>
            {
                job.terminated_for_failures += 1;
                machine.retire_as_faulty();
            }
            _ => {}
        }
    }

    /// A job turned out to be at fault itself: machines that were to be terminated for its failures take tasks again,
    /// unless failures of other jobs count against them.
    fn lift_quarantines(&mut self, context: &Context) {
        let is_faulty_job = |id: &str| self.jobs.is_likely_faulty(id);
        for machine in self.machines.values_mut().filter(|machine| machine.faulty) {
            machine.forget_failures(is_faulty_job);
            if machine.failure_attribution() == FailureAttribution::None
                && !self.fleet.is_terminating(&machine.name)
            {
                machine.uncordon_as_sound();
                self.placement.request_round(context.now.steady);
            }
        }
    }

    /// An agent lists an exited attempt that is on none of our pages, such as one whose removal was written before an
    /// earlier leader could have it acknowledged.
    pub(crate) fn apply_unrecorded_exit(
        &mut self,
        context: &mut Context,
        name: &str,
        job_id: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        if self.has_noted_exit(name, reported) {
            return;
        }
        let index = self.jobs.find(job_id);
        let mut after = Vec::new();
        if self.is_holder() {
            self.report_unknown_exit(name, job_id, task, reported);
        } else if let (Some(ExitCause::Done), Some(index)) = (&reported.cause, index) {
            after.extend(self.completed(context, index, task));
            self.end_if_over(context, index);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.exited_attempts.push(ExitedAttempt {
                task_name: reported.task_name.clone(),
                attempt: reported.attempt,
                after,
                job: index,
            });
        }
    }

    /// Whether the exit waits for its acknowledgement already.
    fn has_noted_exit(&self, name: &str, reported: &ReportedTask) -> bool {
        let is_reported = |exited: &ExitedAttempt| {
            exited.task_name == reported.task_name && exited.attempt == reported.attempt
        };
        self.machines
            .get(name)
            .is_some_and(|machine| machine.exited_attempts.iter().any(is_reported))
    }
}
