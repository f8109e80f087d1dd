//! Processes the exits of tasks: records results, schedules retries, and attributes failures to the machine or to
//! the job.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, Cordon, ExitedAttempt, FailureAttribution};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::{ExitCause, ReportedTask};
use grebewood_wire::records::TASKS_PER_LEGACY_RECORD;
use log::{info, warn};

/// Delay of the write that records a completed task, so that other completions can share it.
const COMPLETION_WRITE_DELAY_US: Micros = 2 * SECOND;

/// Run time before the records were loaded that is assumed for a replica of an earlier leader.
const MIN_RECOVERED_RUN_US: Micros = 30 * SECOND;

/// Time during which a machine that refused a task gets no new ones.
const QUARANTINE_US: Micros = 3 * SECOND;

/// Maximum number of machines that are terminated for failures of the tasks of a single job.
const MAX_TERMINATIONS_BY_ONE_JOB: u32 = 2;

/// Exit of a task whose assignment is known.
struct TaskExit<'a> {
    /// Name of the machine.
    machine: &'a str,
    assignment: &'a Assignment,
    cause: &'a ExitCause,
    /// `<job>/<number>`.
    task_name: &'a str,
}

impl Scheduler {
    /// Marks a task as completed. Returns the record, with its version, that must be durable before the exit may be
    /// acknowledged; `None` if the task was completed before.
    fn mark_completed(
        &mut self,
        context: &Context,
        index: JobIndex,
        task: u64,
    ) -> Option<(RecordId, u64)> {
        let job = self.jobs.get_mut(index)?;
        if !job.complete_task(task) {
            return None;
        }
        let page = RecordId::CompletedTasksPage(self.completed_pages.page_of(
            index,
            task / TASKS_PER_LEGACY_RECORD,
            job,
        ));
        self.progress_dirty.insert(index);
        // The agent reports the exit until it is acknowledged, so the write may be delayed.
        let due = context.now.steady + COMPLETION_WRITE_DELAY_US;
        Some((page.clone(), self.write_buffer.mark_dirty_by(page, due)))
    }

    /// Handles the exit of the task whose assignment is at this index of the machine.
    pub(crate) fn on_task_exited(
        &mut self,
        context: &mut Context,
        name: &str,
        assignment_index: usize,
        cause: &ExitCause,
        task_name: &str,
    ) {
        if self.is_holder() {
            return self.on_exit_in_partition(context, name, assignment_index, cause, task_name);
        }
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let assignment = machine.assignments[assignment_index].clone();
        let exit = TaskExit {
            machine: name,
            assignment: &assignment,
            cause,
            task_name,
        };
        let required_record = self.apply_exit_cause(context, &exit);
        self.remove_assignment(context, name, assignment_index);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.exited_attempts.push(ExitedAttempt {
                task_name: task_name.to_string(),
                attempt: assignment.attempt,
                prerequisites: required_record.into_iter().collect(),
                job: Some(assignment.job),
            });
        }
        self.end_if_over(context, assignment.job);
    }

    /// Applies the cause of an exit to the machine and the job. Returns the record, with its version, that must be
    /// durable before the exit may be acknowledged.
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
                    machine.quarantined_until = now + QUARANTINE_US;
                }
            }
            (_, Some(job)) if job.is_daemon() => self.apply_replica_exit(context, exit),
            (ExitCause::Done, Some(_)) => return self.apply_task_success(context, exit),
            (ExitCause::Error, Some(job)) => {
                job.record_error(now);
                info!(task = task_name, machine = machine; "task failed");
                self.record_failure(context, machine, index);
            }
            (ExitCause::UnknownJob, Some(job)) => job.record_unknown_to_agent(now),
            (ExitCause::Unknown(cause), _) => {
                warn!(task = task_name, machine = machine, cause:? = cause; "task exited with an unknown cause");
            }
            _ => {}
        }
        None
    }

    /// Handles the exit of a replica, which is started again regardless of the cause. The exit of a replica that
    /// was to be stopped is not recorded.
    fn apply_replica_exit(&mut self, context: &Context, exit: &TaskExit) {
        let now = context.now.steady;
        let assignment = exit.assignment;
        if assignment.stop.is_some() {
            return;
        }
        let ran = match assignment.started_at {
            _ if assignment.is_recovered() => {
                now.saturating_sub(self.loaded_at) + MIN_RECOVERED_RUN_US
            }
            Some(started) => now.saturating_sub(started),
            None => 0,
        };
        info!(
            task = exit.task_name, machine = exit.machine, cause:% = exit.cause, ran_s = ran / SECOND;
            "replica of a service exited"
        );
        if let Some(job) = self.jobs.get_mut(assignment.job) {
            job.record_replica_exit(assignment.task, exit.machine, ran, now);
        }
        if *exit.cause == ExitCause::Error {
            self.record_failure(context, exit.machine, assignment.job);
        }
    }

    /// Handles the exit of a task that completed its work.
    fn apply_task_success(
        &mut self,
        context: &Context,
        exit: &TaskExit,
    ) -> Option<(RecordId, u64)> {
        let assignment = exit.assignment;
        let machine = self.machines.get_mut(exit.machine)?;
        let job = self.jobs.get_mut(assignment.job)?;
        machine.failures.clear();
        job.consecutive_errors = 0;
        // Only a run that was observed from its start gives the run time of such tasks.
        if let (Some(started), false) = (assignment.started_at, assignment.is_recovered()) {
            let run_time = context.now.steady.saturating_sub(started);
            self.stats
                .record_run(&job.spec, &machine.machine_type, run_time);
            job.record_run_time(run_time);
        }
        self.mark_completed(context, assignment.job, assignment.task)
    }

    /// Records that a task of the job failed on the machine. The machine is terminated if it seems to be at fault,
    /// but a single job causes only a few terminations.
    fn record_failure(&mut self, context: &Context, name: &str, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        let id = job.id.clone();
        let was_likely_faulty = job.is_likely_faulty();
        job.record_failure(name);
        if job.is_likely_faulty() && !was_likely_faulty {
            self.uncordon_machines_not_at_fault(context);
        }
        let is_faulty_job = |id: &str| self.jobs.is_likely_faulty(id);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.failures.record(&id, is_faulty_job);
        if machine
            .cordon
            .is_some_and(|cordon| cordon != Cordon::ScaleIn)
        {
            return;
        }
        match (machine.failures.attribution(), self.jobs.get_mut(index)) {
            (FailureAttribution::ByTwoJobs, _) => machine.cordon_as_faulty(),
            (FailureAttribution::ByOneJob, Some(job))
                if job.terminated_for_failures < MAX_TERMINATIONS_BY_ONE_JOB =>
            {
                job.terminated_for_failures += 1;
                machine.cordon_as_faulty();
            }
            _ => {}
        }
    }

    /// Returns machines to service that were marked as faulty because of a job that turned out to be at fault
    /// itself or was cancelled, unless failures of other jobs still count against them.
    pub(crate) fn uncordon_machines_not_at_fault(&mut self, context: &Context) {
        let is_faulty_job = |id: &str| self.jobs.is_likely_faulty(id);
        let machines = self.machines.values_mut();
        for machine in machines.filter(|machine| machine.cordon == Some(Cordon::Faulty)) {
            machine.failures.forget(is_faulty_job);
            if machine.failures.attribution() == FailureAttribution::None
                && !self.fleet.is_terminating(&machine.name)
            {
                machine.uncordon_as_healthy();
                self.placement.request_round(context.now.steady);
            }
        }
    }

    /// Handles an exited attempt that is on none of the pages of this controller, for example because an earlier
    /// leader wrote its removal but could not acknowledge the exit.
    pub(crate) fn apply_unrecorded_exit(
        &mut self,
        context: &mut Context,
        name: &str,
        job_id: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        if self.has_recorded_exit(name, reported) {
            return;
        }
        let index = self.jobs.find(job_id);
        let mut prerequisites = Vec::new();
        if self.is_holder() {
            self.report_unknown_exit(name, job_id, task, reported);
        } else if let (Some(ExitCause::Done), Some(index)) = (&reported.cause, index) {
            prerequisites.extend(self.mark_completed(context, index, task));
            self.end_if_over(context, index);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.exited_attempts.push(ExitedAttempt {
                task_name: reported.task_name.clone(),
                attempt: reported.attempt,
                prerequisites,
                job: index,
            });
        }
    }

    /// Returns whether the exit has been recorded and waits for its acknowledgement.
    fn has_recorded_exit(&self, name: &str, reported: &ReportedTask) -> bool {
        let is_reported = |exited: &ExitedAttempt| {
            exited.task_name == reported.task_name && exited.attempt == reported.attempt
        };
        self.machines
            .get(name)
            .is_some_and(|machine| machine.exited_attempts.iter().any(is_reported))
    }
}
