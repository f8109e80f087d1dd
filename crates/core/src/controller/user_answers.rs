//! Responses to users about jobs that are live, cancelled, finished or unknown.

use crate::calls::{UserAction, UserRequest, UserRequestStage};
use crate::controller::{Controller, TaskCounts};
use crate::Now;
use grebewood_wire::http::{JobAccepted, JobStatus};
use grebewood_wire::records::FinishedJobRecord;

/// Status of a live job of which no task is running.
const PENDING: &str = "pending";

/// Status of a live job with running tasks.
const RUNNING: &str = "running";

/// Status of a finished job all of whose tasks completed.
const DONE: &str = "done";

/// Status of a cancelled job.
const ABORTED: &str = "aborted";

impl Controller {
    /// Answers a submission after the store applied the transaction that accepts its job.
    pub(crate) fn answer_new_job(&mut self, request: &UserRequest) {
        self.answer_accepted(request.request, 201, &request.job, PENDING);
    }

    /// Answers a submission or a cancellation with the job's status.
    pub(crate) fn answer_accepted(&mut self, id: u64, http_status: u16, job: &str, status: &str) {
        let accepted = JobAccepted {
            id: job.to_string(),
            status: status.to_string(),
        };
        self.context.answer(id, http_status, &accepted);
    }

    /// Handles a request whose job is live and not cancelled: a cancellation is sent to the store, other requests
    /// are answered.
    pub(crate) fn on_live_job_found(&mut self, request: UserRequest) {
        let is_cancellation = matches!(request.action, UserAction::Cancel);
        if !is_cancellation {
            return self.answer_live(&request);
        }
        if !self
            .context
            .user_writes
            .try_acquire(self.context.now.steady, 1.0)
        {
            return self
                .context
                .refuse(request.request, 429, "too many cancellations");
        }
        self.send_user_request(request.at_stage(UserRequestStage::Cancel));
    }

    fn answer_live(&mut self, request: &UserRequest) {
        let TaskCounts { completed, running } = self.task_counts(&request.job);
        let status = if running > 0 { RUNNING } else { PENDING };
        match request.action {
            UserAction::Submit(_) | UserAction::Malformed(_) => {
                self.answer_accepted(request.request, 200, &request.job, status);
            }
            UserAction::Poll | UserAction::Cancel => {
                let response = JobStatus {
                    id: request.job.clone(),
                    status: status.to_string(),
                    done: completed,
                    running,
                };
                self.context.answer(request.request, 200, &response);
            }
        }
    }

    /// Returns the task counts of a live job: the leader's own, or those that the leader sent last.
    fn task_counts(&self, job: &str) -> TaskCounts {
        let counts = match &self.leader {
            Some(leader) => leader
                .progress_of(job)
                .map(|(completed, running)| TaskCounts { completed, running }),
            None => self.progress.get(job).copied(),
        };
        counts.unwrap_or_default()
    }

    /// Answers a request for a job that is neither live nor finished.
    pub(crate) fn answer_unknown(&mut self, request: &UserRequest) {
        match &request.action {
            UserAction::Submit(submission) => self.refuse_submission(request, submission),
            UserAction::Malformed(reason) => self.context.refuse(request.request, 400, reason),
            UserAction::Poll | UserAction::Cancel => {
                self.context.refuse(request.request, 404, "no such job");
            }
        }
    }

    /// Confirms a cancellation to the user. The cancellation is in the store, so the job's final status can only be
    /// `aborted`. The confirmation is remembered, since a leader that has lost contact with the store asks its
    /// peers for it.
    pub(crate) fn confirm_cancellation(&mut self, request: &UserRequest) {
        let job = &request.job;
        let finished = FinishedJobRecord {
            status: ABORTED.into(),
            tasks: request.live.map_or(0, |live| live.tasks),
        };
        self.finished_jobs.insert(job, finished.clone());
        let Now { steady, wall } = self.context.now;
        self.context.cancellations.confirm(job, steady, wall);
        self.for_each_scheduler(|context, scheduler| scheduler.on_cancelled(context, job, None));
        self.answer_finished(request, &finished);
    }

    /// Answers a request about a finished job.
    pub(crate) fn answer_finished(&mut self, request: &UserRequest, finished: &FinishedJobRecord) {
        self.progress.remove(&request.job);
        match request.action {
            UserAction::Poll => {
                let all_completed = finished.status == DONE;
                let response = JobStatus {
                    id: request.job.clone(),
                    status: finished.status.clone(),
                    done: if all_completed { finished.tasks } else { 0 },
                    running: 0,
                };
                self.context.answer(request.request, 200, &response);
            }
            UserAction::Submit(_) | UserAction::Malformed(_) | UserAction::Cancel => {
                self.answer_accepted(request.request, 200, &request.job, &finished.status);
            }
        }
    }
}
