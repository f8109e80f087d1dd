//! Users' requests, which any controller serves: submissions, status polls and cancellations.
//!
//! Every controller answers from its [`JobView`](crate::state::job_view::JobView), which is updated after a request
//! has arrived, so that no controller gives a response older than another controller's. A live job has a `job/<id>`
//! key. When the job ends, one transaction puts its final record under `past/<id>` and deletes what is under
//! `job/<id>`. So a job that is not live in the view, and has no final record when that is read afterwards, was never
//! accepted.

use crate::calls::{CallPurpose, UserAction, UserRequest, UserRequestStage};
use crate::context::Context;
use crate::controller::{Controller, USER_REQUEST_CONTACT_TIMEOUT_US};
use crate::state::write_buffer::RecordId;
use crate::transactions::{absent, at_revision, put};
use crate::Outcome;
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, Transaction};
use grebewood_wire::records::{
    cancel_key, job_key, CancelRecord, FinishedJobRecord, JobRecord, FINISHED_PREFIX,
};
use grebewood_wire::validate::is_valid_job_id;
use log::{debug, warn};

/// Most times that a request is sent to the store, or waits for the job view, before it is refused.
const MAX_REQUEST_ROUNDS: u8 = 8;

impl Controller {
    /// Handles a poll of a job's status.
    pub(crate) fn on_poll(&mut self, id: u64, job: &str) {
        self.look_up_job(id, job, UserAction::Poll);
    }

    /// Handles a request to cancel a job.
    pub(crate) fn on_cancel(&mut self, id: u64, job: &str) {
        self.look_up_job(id, job, UserAction::Cancel);
    }

    /// Answers a request about a finished job from memory, and sends others to wait for the job view.
    fn look_up_job(&mut self, id: u64, job: &str, action: UserAction) {
        if !is_valid_job_id(job) {
            return self.context.refuse(id, 404, "no such job");
        }
        let request = UserRequest::new(id, job, action, self.context.now.steady);
        if let Some(finished) = self.finished_jobs.get(job) {
            let finished = finished.clone();
            return self.answer_finished(&request, &finished);
        }
        if !self
            .context
            .has_store_contact(USER_REQUEST_CONTACT_TIMEOUT_US)
        {
            return self.refuse_without_contact(id);
        }
        self.send_user_request(request);
    }

    /// Sends the call to the store that the request's stage requires, or lets the request wait for the job view.
    pub(crate) fn send_user_request(&mut self, mut request: UserRequest) {
        request.rounds += 1;
        if request.rounds > MAX_REQUEST_ROUNDS {
            return self
                .context
                .refuse(request.request, 503, "too many conflicts");
        }
        if request.stage == UserRequestStage::JobView {
            return self.wait_for_job_view(request);
        }
        // Many requests about the same finished job may arrive at once: one read answers them all.
        if request.stage == UserRequestStage::ReadFinished {
            if let Some(joined) = self.finished_reads.get_mut(&request.job) {
                return joined.push(request);
            }
        }
        if !self
            .context
            .user_reads
            .try_acquire(self.context.now.steady, 1.0)
        {
            return self
                .context
                .refuse(request.request, 429, "too many requests");
        }
        match request.stage {
            UserRequestStage::Accept => self.post_acceptance(request),
            UserRequestStage::Cancel => self.post_cancellation(request),
            UserRequestStage::ReadFinished => self.read_finished_job(request),
            UserRequestStage::JobView => {}
        }
    }

    /// Posts the transaction that accepts a job, on the condition that the job is neither live nor finished.
    fn post_acceptance(&mut self, request: UserRequest) {
        let UserAction::Submit(submission) = &request.action else {
            return;
        };
        let record = JobRecord {
            spec: (**submission).clone(),
            accepted_us: self.context.now.wall,
        };
        let key = job_key(&request.job);
        let transaction = Transaction {
            when: vec![absent(&key), absent(&finished_job_key(&request.job))],
            apply: vec![put(key, &record)],
        };
        self.context
            .post_to_store("/txn", &transaction, CallPurpose::User(request));
    }

    /// Posts the transaction that cancels a job, on the conditions that the job's record is unchanged since it was
    /// found and that the job is not cancelled yet.
    fn post_cancellation(&mut self, request: UserRequest) {
        let Some(live) = request.live else {
            return;
        };
        let key = cancel_key(&request.job);
        let record = CancelRecord {
            cancelled_us: self.context.now.wall,
        };
        let transaction = Transaction {
            when: vec![
                at_revision(&job_key(&request.job), live.mod_revision),
                absent(&key),
            ],
            apply: vec![put(key, &record)],
        };
        self.context
            .post_to_store("/txn", &transaction, CallPurpose::User(request));
    }

    fn read_finished_job(&mut self, request: UserRequest) {
        self.finished_reads.insert(request.job.clone(), Vec::new());
        let key = finished_job_key(&request.job);
        self.context.read_key(&key, CallPurpose::User(request));
    }

    /// Handles the store's reply to a call for a user's request.
    pub(crate) fn on_user_reply(&mut self, mut request: UserRequest, outcome: Outcome) {
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            Outcome::Unknown | Outcome::TooLarge => (0, Vec::new()),
            Outcome::NotSent => (503, Vec::new()),
        };
        if request.stage == UserRequestStage::ReadFinished {
            self.answer_joined_requests(&request.job, status, &body);
        }
        match (request.stage, status) {
            (UserRequestStage::Accept, 200) => self.answer_new_job(&request),
            (UserRequestStage::Accept, 0) => {
                // The outcome is unknown: the job is looked up before the user gets a response.
                request.is_acceptance_uncertain = true;
                self.send_user_request(request.at_stage(UserRequestStage::JobView));
            }
            (UserRequestStage::Accept, 409) | (UserRequestStage::Cancel, 409 | 0) => {
                self.send_user_request(request.at_stage(UserRequestStage::JobView));
            }
            (UserRequestStage::Cancel, 200) => self.confirm_cancellation(&request),
            (UserRequestStage::ReadFinished, 200) => self.on_finished_record(&request, &body),
            (UserRequestStage::ReadFinished, 404) => self.answer_unknown(&request),
            (_, 429) => self
                .context
                .refuse(request.request, 429, "too many requests"),
            (stage, status) => {
                debug!(job = request.job.as_str(), stage:? = stage, status = status; "store call for a user's request failed");
                self.context
                    .refuse(request.request, 503, "the state service does not answer");
            }
        }
    }

    fn on_finished_record(&mut self, request: &UserRequest, body: &[u8]) {
        match wire::from_cbor::<KeyValue<FinishedJobRecord>>(body) {
            Ok(entry) => {
                self.finished_jobs.insert(&request.job, entry.value.clone());
                self.answer_finished(request, &entry.value);
            }
            Err(e) => {
                let key = finished_job_key(&request.job);
                warn!(job = request.job.as_str(), path = key.as_str(), error:% = e; "cannot decode the record of a finished job");
                self.context
                    .refuse(request.request, 503, "unreadable record");
            }
        }
    }

    /// Answers the requests that joined a read of a final record, if the read found one. If it found none, each
    /// request is sent again, since the job may have been accepted and have finished since the read was sent.
    fn answer_joined_requests(&mut self, job: &str, status: u16, body: &[u8]) {
        let joined = self.finished_reads.remove(job).unwrap_or_default();
        let finished = match status {
            200 => wire::from_cbor::<KeyValue<FinishedJobRecord>>(body).ok(),
            _ => None,
        };
        for request in joined {
            match &finished {
                Some(entry) => self.answer_finished(&request, &entry.value),
                None => self.send_user_request(request),
            }
        }
    }
}

/// Returns the key of a finished job's final record.
fn finished_job_key(job: &str) -> String {
    format!("{FINISHED_PREFIX}{job}")
}

impl Context {
    /// Returns the most puts and deletes that writing a record takes.
    pub(crate) fn operations_to_write(record: &RecordId) -> usize {
        match record {
            RecordId::JobEnd(_) => 4,
            _ => 1,
        }
    }
}
