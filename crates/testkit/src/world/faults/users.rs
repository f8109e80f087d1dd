//! Users who cancel and ask at bad moments, and what comes of it.

use super::super::events::{Event, Requester};
use super::super::jobs::{job_of, ObservedJob};
use super::super::World;
use crate::error::{ScenarioError, StepResult};
use crate::machines::{Machine, TaskStatus};
use crate::script::Directive;
use crate::time::{Micros, MILLISECOND, SECOND};

/// A job that is cancelled in the middle of its work has at least so long to go.
const MIN_REMAINING_RUN: Micros = 20 * SECOND;
/// Users cancel jobs in the middle of their work within this time.
const CANCEL_WINDOW: Micros = 200 * MILLISECOND;
/// So many machines of cancelled jobs hang at most.
const MAX_HUNG_MACHINES: usize = 8;
/// When users poll a job everywhere after something was said of it.
const POLL_DELAYS: [Micros; 4] = [
    MILLISECOND,
    5 * MILLISECOND,
    20 * MILLISECOND,
    60 * MILLISECOND,
];

impl World {
    /// Users cancel jobs that run and have long to go; some of their machines hang from now on.
    pub(super) fn cancel_now(&mut self, most: usize, hang: Micros) -> StepResult {
        let jobs = self.jobs_in_the_middle(most);
        if jobs.is_empty() {
            return Err(ScenarioError::unmet("no job runs that has long to go"));
        }
        if hang > 0 {
            self.hang_machines_of(&jobs, self.now + hang);
        }
        let interval = CANCEL_WINDOW / jobs.len() as Micros;
        for (index, job) in jobs.into_iter().enumerate() {
            let at = self.now + index as Micros * interval;
            self.push(at, Event::RetryCancel(job));
        }
        Ok(())
    }

    /// Jobs that run and have long to go, so many at most.
    fn jobs_in_the_middle(&self, most: usize) -> Vec<String> {
        let live =
            |job: &ObservedJob| job.accepted && !job.done && job.cancel_requested_at.is_none();
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, job)| live(job) && self.runs_for_long(id));
        jobs.take(most).map(|(id, _)| id.clone()).collect()
    }

    /// Whether a task of the job runs and has long to go.
    fn runs_for_long(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        let machines = self.present_machines().filter(|machine| machine.is_up);
        let mut tasks = machines.flat_map(|machine| machine.live_tasks());
        tasks.any(|task| {
            task.status == TaskStatus::Running
                && task.task_name.starts_with(&prefix)
                && task.state_ends_at >= self.now + MIN_REMAINING_RUN
        })
    }

    /// Some machines that hold tasks of these jobs hang up to this time.
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

    /// A task has completed. At the moment of its job's last one its user may cancel the job, ask about it
    /// and submit it again at every controller.
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
            self.push(at, Event::RetryCancel(id.into()));
            self.push(at, Event::PollEverywhere(id.into()));
        }
    }

    /// Of the jobs that were cancelled though all of their tasks completed, so many at least were
    /// called done, and so many cancelled; and ends are on record in time.
    pub(super) fn check_ends(&self, directive: &Directive) -> StepResult {
        self.check_ends_on_record(directive.duration("within", 6.0)?)?;
        let accepted = self.jobs.values().filter(|job| job.accepted);
        let both =
            |job: &&ObservedJob| job.completed_at.is_some() && job.cancel_requested_at.is_some();
        let both: Vec<&ObservedJob> = accepted.filter(both).collect();
        let done = both.iter().filter(|job| job.done).count() as u64;
        let cancelled = both.iter().filter(|job| job.cancelled_at.is_some());
        let cancelled = cancelled.count() as u64;
        if done < directive.count("done", 0)? || cancelled < directive.count("cancelled", 0)? {
            let detail = format!("{done} are done, {cancelled} cancelled");
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

    /// The end of each job must be on record so long after it.
    fn check_ends_on_record(&self, within: Micros) -> StepResult {
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.accepted) {
            let ends = [job.completed_at, job.cancelled_at];
            let Some(over) = ends.into_iter().flatten().min() else {
                continue;
            };
            if self.now > over + within && !self.store.contains_key(&format!("past/{id}")) {
                let ago = (self.now - over) / SECOND;
                return Err(ScenarioError::unmet(format!(
                    "{id} is over for {ago} s and its end not on record"
                )));
            }
        }
        Ok(())
    }

    /// Counts a poll that is refused for now.
    pub(in crate::world) fn count_refusal(&mut self, status: u16) {
        self.faults.refusals += u64::from(matches!(status, 429 | 503));
    }

    /// Something was said of a job: users poll it everywhere if it was said for the first time.
    pub(in crate::world) fn poll_after(&mut self, job: &str, what: &'static str) {
        let first = self.now < self.faults.polls_until
            && self.faults.polled.insert((job.to_string(), what));
        if first {
            for delay in POLL_DELAYS {
                self.push(self.now + delay, Event::PollEverywhere(job.into()));
            }
        }
    }

    /// A controller has sent a response to a user: if it confirms a cancellation, the controller may crash
    /// now.
    pub(in crate::world) fn on_confirmation(
        &mut self,
        controller: usize,
        requester: &Requester,
        status: u16,
        said: &str,
    ) {
        if !matches!(requester, Requester::Cancel(..)) || status != 200 || said != "aborted" {
            return;
        }
        if let Some(down_for) = self.faults.crash_on_confirmation.take() {
            self.faults.end = self.faults.end.max(self.now + down_for);
            self.push(self.now, Event::Crash(controller, down_for));
        }
    }
}
