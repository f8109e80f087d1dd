//! Exited tasks: results, retries, and which machine or job a failure is attributed to.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{error_backoff, JobIndex};
use crate::state::machine::{ExitedAttempt, FailureAttribution};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::{ExitCause, ReportedTask};
use grebewood_wire::records::DONE_SPAN;
use log::{info, warn};

/// How long the end of a task may wait to be written.
const DONE_DELAY: Micros = 2 * SECOND;

/// How long a replica of an earlier leader has run at least, as far as can be told.
const LEAST_STAY: Micros = 30 * SECOND;

/// Most machines that are returned because the tasks of one job alone failed there.
const MOST_BLAMED_BY_ONE_JOB: u32 = 2;

impl Scheduler {
    /// Notes that a task is done; the result says when that is durable.
    pub(crate) fn completed(
        &mut self,
        context: &Context,
        index: JobIndex,
        task: u64,
    ) -> Option<(RecordId, u64)> {
        let job = self.jobs.get_mut(index)?;
        if !job.complete(task) {
            return None;
        }
        let page = RecordId::Done(self.completed_pages.page_of(index, task / DONE_SPAN, job));
        self.progress_dirty.insert(index);
        // The worker keeps the result until it is acknowledged: the write can wait for others.
        let due = context.now.steady + DONE_DELAY;
        Some((page.clone(), self.write_buffer.mark_dirty_by(page, due)))
    }

    /// An assignment's task has exited.
    pub(crate) fn exited(
        &mut self,
        context: &mut Context,
        name: &str,
        at: usize,
        cause: &ExitCause,
        task_name: &str,
    ) {
        if self.is_holder() {
            return self.exited_in_partition(context, name, at, cause, task_name);
        }
        let now = context.now.steady;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let a = m.assignments[at].clone();
        let mut after = Vec::new();
        let mut failed = false;
        let job = self.jobs.get_mut(a.job);
        match (cause, job) {
            (ExitCause::NoRoom | ExitCause::Busy, _) => {
                warn!("{task_name}: {name} refused it: {cause}");
                m.quarantined_until = now + 3 * SECOND;
            }
            // A replica is to run again, however it ended; unless we stopped it, it ended by itself.
            (_, Some(job)) if job.is_daemon() => {
                let ran = match (a.recovered(), a.started) {
                    // One of an earlier leader has run for a while.
                    (true, _) => now.saturating_sub(self.loaded_at) + LEAST_STAY,
                    (false, at) => at.map_or(0, |at| now.saturating_sub(at)),
                };
                if a.stop.is_none() {
                    info!("{task_name}: {cause} on {name} after {} s", ran / SECOND);
                    job.replica_ended(a.task, name, ran, now);
                    failed = *cause == ExitCause::Error;
                }
            }
            (ExitCause::Done, Some(job)) => {
                m.errors.clear();
                job.errors = 0;
                // Only a run seen from its beginning says how long such tasks take.
                if let (Some(started), false) = (a.started, a.recovered()) {
                    let run = now.saturating_sub(started);
                    self.stats.ran(&job.spec, &m.machine_type, run);
                    let (mean, n) = job.run_mean;
                    job.run_mean = ((mean * n as u64 + run) / (n as u64 + 1), (n + 1).min(1_000));
                }
                after.extend(self.completed(context, a.job, a.task));
            }
            (ExitCause::Error, Some(job)) => {
                job.errors += 1;
                job.retry_at = now + error_backoff(job.errors);
                job.running_well_since = now;
                failed = true;
                info!("{task_name}: error on {name}");
            }
            (ExitCause::UnknownJob, Some(job)) => {
                job.errors += 1;
                job.retry_at = now + error_backoff(job.errors.max(3));
            }
            (ExitCause::Unknown(word), _) => warn!("{task_name}: {name} gives {word:?} as cause"),
            _ => {}
        }
        if failed {
            self.note_failure(context, name, a.job);
        }
        self.remove_assignment(context, name, at);
        if let Some(m) = self.machines.get_mut(name) {
            m.exited_attempts.push(ExitedAttempt {
                task_name: task_name.to_string(),
                attempt: a.attempt,
                after,
                job: Some(a.job),
            });
        }
        self.end_if_over(context, a.job);
    }

    /// A task of the job failed on the machine: one of the two is at fault. A machine that seems to be is
    /// returned; by a single job alone two machines are at the most.
    pub(crate) fn note_failure(&mut self, context: &Context, name: &str, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        let id = job.id.clone();
        let was_suspect = job.is_likely_faulty();
        job.note_failure(name);
        if job.is_likely_faulty() && !was_suspect {
            self.lift_quarantines(context);
        }
        let suspect = |id: &str| self.jobs.is_likely_faulty(id);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.note_failure(&id, suspect);
        if machine.cordoned && !machine.draining {
            return;
        }
        match (machine.blame(), self.jobs.get_mut(index)) {
            (FailureAttribution::ByTwoJobs, _) => machine.retire_as_faulty(),
            (FailureAttribution::ByOneJob, Some(job))
                if job.terminated_for_failures < MOST_BLAMED_BY_ONE_JOB =>
            {
                job.terminated_for_failures += 1;
                machine.retire_as_faulty();
            }
            _ => {}
        }
    }

    /// A job turned out to be suspect: machines that were blamed for its failures take tasks again, unless
    /// others are left that speak against them.
    pub(crate) fn lift_quarantines(&mut self, context: &Context) {
        let suspect = |id: &str| self.jobs.is_likely_faulty(id);
        for machine in self.machines.values_mut().filter(|m| m.faulty) {
            machine.forget_failures(suspect);
            if machine.blame() == FailureAttribution::None
                && !self.fleet.is_terminating(&machine.name)
            {
                machine.keep_after_all();
                self.placement.request_round(context.now.steady);
            }
        }
    }

    /// A worker reports an exit of an attempt that is on no page of ours, such as one whose
    /// removal was written before an earlier leader could have it acknowledged.
    pub(crate) fn exited_unknown(
        &mut self,
        context: &mut Context,
        name: &str,
        job_id: &str,
        task: u64,
        s: &ReportedTask,
    ) {
        let known = self.machines.get(name).is_some_and(|m| {
            m.exited_attempts
                .iter()
                .any(|r| r.task_name == s.task_name && r.attempt == s.attempt)
        });
        if known {
            return;
        }
        let index = self.jobs.find(job_id);
        let mut after = Vec::new();
        if self.is_holder() {
            self.note_unknown_exit(name, job_id, task, s);
        } else if let (Some(ExitCause::Done), Some(index)) = (&s.cause, index) {
            after.extend(self.completed(context, index, task));
            self.end_if_over(context, index);
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.exited_attempts.push(ExitedAttempt {
                task_name: s.task_name.clone(),
                attempt: s.attempt,
                after,
                job: index,
            });
        }
    }
}
