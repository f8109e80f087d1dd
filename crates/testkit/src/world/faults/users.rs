//! Users who cancel and poll jobs at critical moments, and the checks of the effects.

use super::super::events::{Event, Requester};
use super::super::jobs::{job_of, ObservedJob};
use super::super::World;
use crate::error::{ScenarioError, StepResult};
use crate::machines::{Machine, TaskStatus};
use crate::script::Directive;
use crate::time::{Micros, MILLISECOND, SECOND};

/// Shortest remaining run time of a task whose job users cancel while it runs.
const MIN_REMAINING_RUN_US: Micros = 20 * SECOND;
/// Time over which users spread the cancellations of running jobs.
const CANCEL_WINDOW_US: Micros = 200 * MILLISECOND;
/// Largest number of machines of cancelled jobs that hang.
const MAX_HUNG_MACHINES: usize = 8;
/// Delays after a response about a job at which users poll the job at every controller.
const POLL_DELAYS_US: [Micros; 4] = [
    MILLISECOND,
    5 * MILLISECOND,
    20 * MILLISECOND,
    60 * MILLISECOND,
];

impl World {
    /// Cancels running jobs with enough run time left. If `hang` is not 0, some of their machines hang for this
    /// time.
    pub(super) fn cancel_now(&mut self, max_jobs: usize, hang: Micros) -> StepResult {
        let jobs = self.long_running_jobs(max_jobs);
        if jobs.is_empty() {
            return Err(ScenarioError::unmet(
                "no running job has enough run time left to be cancelled while it runs",
            ));
        }
        if hang > 0 {
            self.hang_machines_of(&jobs, self.now + hang);
        }
        let interval = CANCEL_WINDOW_US / jobs.len() as Micros;
        for (index, job) in jobs.into_iter().enumerate() {
            let at = self.now + index as Micros * interval;
            self.schedule_event(at, Event::RetryCancel(job));
        }
        Ok(())
    }

    /// Returns up to `max_jobs` running jobs with enough run time left that no user has asked to cancel.
    fn long_running_jobs(&self, max_jobs: usize) -> Vec<String> {
        let live =
            |job: &ObservedJob| job.accepted && !job.done && job.cancel_requested_at.is_none();
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, job)| live(job) && self.has_long_running_task(id));
        jobs.take(max_jobs).map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a task of the job runs and has enough run time left.
    fn has_long_running_task(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        let machines = self.present_machines().filter(|machine| machine.is_up);
        let mut tasks = machines.flat_map(|machine| machine.live_tasks());
        tasks.any(|task| {
            task.status == TaskStatus::Running
                && task.task_name.starts_with(&prefix)
                && task.state_ends_at >= self.now + MIN_REMAINING_RUN_US
        })
    }

    /// Makes some machines that hold tasks of these jobs hang until this time.
    fn hang_machines_of(&mut self, jobs: &[String], until: Micros) {
        let holds = |machine: &&mut Machine| {
            let mut tasks = machine.live_tasks();
            tasks.any(|task| jobs.iter().any(|job| job == job_of(&task.task_name)))
        };
        let machines = self.machines.values_mut();
        let machines = machines.filter(|machine| machine.is_up && !machine.is_gone);
        for machine in machines.filter(holds).take(MAX_HUNG_MACHINES) {
            machine.hangs_until = until;
        }
    }

    /// Records that a task has completed. If it was the last one of its job and such a fault is active, users
    /// cancel the job, poll it and submit it again at every controller.
    pub(in crate::world) fn note_completion(&mut self, task_name: &str) {
        let id = job_of(task_name);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.completed.insert(task_name.to_string());
        if !job.is_complete() {
            return;
        }
        job.completed_at.get_or_insert(self.now);
        if let Some(delay) = self.faults.cancel_at_end.at(self.now) {
            let at = self.now + delay;
            self.schedule_event(at, Event::RetryCancel(id.into()));
            self.schedule_event(at, Event::PollEverywhere(id.into()));
        }
    }

    /// Checks that ends are recorded in time; that, of the jobs that users asked to cancel and whose tasks all
    /// completed, at least the given numbers were reported done and cancelled; and that at least the given
    /// number of jobs with the given prefix were reported cancelled.
    pub(super) fn check_ends(&self, directive: &Directive) -> StepResult {
        self.check_ends_recorded(directive.duration("within", 6.0)?)?;
        let accepted = self.jobs.values().filter(|job| job.accepted);
        let cancelled_when_complete =
            |job: &&ObservedJob| job.completed_at.is_some() && job.cancel_requested_at.is_some();
        let cancelled_when_complete: Vec<&ObservedJob> =
            accepted.filter(cancelled_when_complete).collect();
        let done = cancelled_when_complete
            .iter()
            .filter(|job| job.done)
            .count() as u64;
        let cancelled = cancelled_when_complete
            .iter()
            .filter(|job| job.cancelled_at.is_some());
        let cancelled = cancelled.count() as u64;
        if done < directive.count("done", 0)? || cancelled < directive.count("cancelled", 0)? {
            let detail = format!("{done} jobs are done, {cancelled} are cancelled");
            return Err(ScenarioError::unmet(detail));
        }
        let prefix = directive.text("of", "");
        let jobs = self.jobs.iter().filter(|(id, _)| id.starts_with(&prefix));
        let confirmed = jobs.filter(|(_, job)| job.cancelled_at.is_some());
        let confirmed = confirmed.count() as u64;
        if confirmed < directive.count("confirmed", 0)? {
            let detail = format!("{confirmed} cancellations are confirmed");
            return Err(ScenarioError::unmet(detail));
        }
        Ok(())
    }

    /// Checks that the end of each job is recorded within this time after it.
    fn check_ends_recorded(&self, within: Micros) -> StepResult {
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.accepted) {
            let ends = [job.completed_at, job.cancelled_at];
            let Some(over) = ends.into_iter().flatten().min() else {
                continue;
            };
            if self.now > over + within && !self.store.contains_key(&format!("past/{id}")) {
                let ago = (self.now - over) / SECOND;
                return Err(ScenarioError::unmet(format!(
                    "{id} ended {ago} s ago, but its end is not recorded"
                )));
            }
        }
        Ok(())
    }

    /// Counts the response to a poll if it is a temporary refusal.
    pub(in crate::world) fn count_refused_poll(&mut self, status: u16) {
        self.faults.refused_polls += u64::from(matches!(status, 429 | 503));
    }

    /// Schedules polls of a job at every controller after an event, the first time that the event occurs.
    pub(in crate::world) fn poll_everywhere_after(&mut self, job: &str, event: &'static str) {
        let first = self.now < self.faults.polls_until
            && self.faults.polled_after.insert((job.to_string(), event));
        if first {
            for delay in POLL_DELAYS_US {
                self.schedule_event(self.now + delay, Event::PollEverywhere(job.into()));
            }
        }
    }

    /// Crashes a controller that has sent a response to a user, if the response confirms a cancellation and
    /// such a fault is armed.
    pub(in crate::world) fn on_confirmation(
        &mut self,
        controller: usize,
        requester: &Requester,
        status: u16,
        job_status: &str,
    ) {
        if !matches!(requester, Requester::Cancel(..)) || status != 200 || job_status != "aborted" {
            return;
        }
        if let Some(down_for) = self.faults.crash_on_confirmation.take() {
            self.faults.end = self.faults.end.max(self.now + down_for);
            self.schedule_event(self.now, Event::Crash(controller, down_for));
        }
    }
}
