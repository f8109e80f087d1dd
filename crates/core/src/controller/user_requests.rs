//! Users' requests, which any controller serves: submissions, polls and cancellations.
//!
//! Every controller answers from its [`JobView`](crate::state::job_view::JobView), which is brought up to date
//! after a request came in, so that none gives an answer older than another's. A live job has a `job/<id>` key; when
//! it is over, one transaction puts `past/<id>` and deletes what is under `job/<id>`. A job that is not live in the
//! view, and has no final record after that, was never accepted.

use crate::calls::{CallPurpose, UserAction, UserRequest, UserRequestStage};
use crate::context::Context;
use crate::controller::{Controller, CONTACT_SPAN};
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

/// A request that was sent to the store, or to wait for the view, more often than this is refused.
const MAX_ROUNDS: u8 = 8;

impl Controller {
    /// Takes a question for a job's status.
    pub(crate) fn on_poll(&mut self, id: u64, job: &str) {
        self.look_up_job(id, job, UserAction::Poll);
    }

    /// Takes a cancellation.
    pub(crate) fn on_cancel(&mut self, id: u64, job: &str) {
        self.look_up_job(id, job, UserAction::Cancel);
    }

    fn look_up_job(&mut self, id: u64, job: &str, action: UserAction) {
        if !is_valid_job_id(job) {
            return self.context.refuse(id, 404, "no such job");
        }
        let request = UserRequest::new(id, job, action, self.context.now.steady);
        if let Some(finished) = self.finished_jobs.get(job) {
            let finished = finished.clone();
            return self.answer_finished(&request, &finished);
        }
        if !self.context.in_contact(CONTACT_SPAN) {
            return self.refuse_without_contact(id);
        }
        self.send_user_request(request);
    }

    /// Sends what the request's stage asks of the store, or lets it wait for the view of live jobs.
    pub(crate) fn send_user_request(&mut self, mut request: UserRequest) {
        request.rounds += 1;
        if request.rounds > MAX_ROUNDS {
            return self
                .context
                .refuse(request.request, 503, "too many conflicts");
        }
        if request.stage == UserRequestStage::JobView {
            return self.wait_for_job_view(request);
        }
        // Users ask about the same finished job many times at once: one read answers them all.
        if request.stage == UserRequestStage::ReadFinished {
            if let Some(joined) = self.finished_reads.get_mut(&request.job) {
                return joined.push(request);
            }
        }
        if !self.context.user_reads.take(self.context.now.steady, 1.0) {
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

    /// Posts the transaction that accepts a job, unless it is live or finished.
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
            when: vec![absent(&key), absent(&finished_key(&request.job))],
            apply: vec![put(key, &record)],
        };
        self.context
            .post_to_store("/txn", &transaction, CallPurpose::User(request));
    }

    /// Posts the transaction that cancels a job, if it is live as it was found and not cancelled yet.
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
        let key = finished_key(&request.job);
        self.context.read_key(&key, CallPurpose::User(request));
    }

    /// Takes the store's reply for a user's request.
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
                // The outcome is unknown: the job is looked up before anything is said.
                request.uncertain = true;
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
                debug!(job = request.job.as_str(), stage:? = stage, status = status; "user's request failed at the store");
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
                let key = finished_key(&request.job);
                warn!(job = request.job.as_str(), path = key.as_str(), error:% = e; "unreadable record of a finished job");
                self.context
                    .refuse(request.request, 503, "unreadable record");
            }
        }
    }

    /// A read of a final record was answered. A record that is there answers those too who joined the read;
    /// that there is none does not: the job may have been accepted and have finished since.
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

/// The key of a finished job's final record.
fn finished_key(job: &str) -> String {
    format!("{FINISHED_PREFIX}{job}")
}

impl Context {
    /// The most puts and deletes that writing a record takes.
    pub(crate) fn cost(record: &RecordId) -> usize {
        match record {
            RecordId::JobEnd(_) => 4,
            _ => 1,
        }
    }
}
