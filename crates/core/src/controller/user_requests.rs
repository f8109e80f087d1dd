//! Users' requests, which any controller serves: submissions, polls and cancellations.
//!
//! Every controller answers from its [`JobView`](crate::state::job_view::JobView), which is brought up to date
//! after a request came in, so that none gives an answer older than another's. A live job has a `job/<id>` key; when
//! it is over, one transaction puts `past/<id>` and deletes what is under `job/<id>`. A job that is not live in the
//! view, and has no final record after that, was never accepted.

use crate::calls::{CallPurpose, UserAction, UserRequest, UserRequestStage};
use crate::context::Context;
use crate::controller::Controller;
use crate::settings::Settings;
use crate::state::jobs::{check_fields, check_possible, check_size, Refused};
use crate::state::write_buffer::RecordId;
use crate::transactions::{absent, put};
use crate::{Now, Outcome};
use grebewood_wire as wire;
use grebewood_wire::http::{
    Accepted, Condition, JobStatus, KeyValue, MachineType, Submission, Transaction,
};
use grebewood_wire::records::{
    cancel_key, job_key, CancelRecord, FinishedJobRecord, JobRecord, FINISHED,
};
use grebewood_wire::validate::valid_id;
use log::{debug, warn};

impl Controller {
    pub(crate) fn on_submission(&mut self, id: u64, body: &[u8]) {
        let (job, submission) = match read_submission(body) {
            Ok(read) => read,
            Err(why) => return self.context.refuse(id, 400, &why),
        };
        if let Some(finished) = self.finished.get(&job) {
            let accepted = Accepted {
                id: job,
                status: finished.status.clone(),
            };
            return self.context.answer(id, 200, &accepted);
        }
        // A repeated submission of an accepted job must get neither 422 nor 400, whatever it says now
        // and whatever the limits were when it was accepted: it is looked up before it is refused.
        let (ask, possible) = match submission {
            Err(why) => (UserAction::Malformed(why), false),
            Ok(submission) => {
                let Some(catalogue) = &self.context.catalogue else {
                    return self
                        .context
                        .refuse(id, 503, "machine types are not known yet");
                };
                let possible = acceptable(&submission, &self.context.settings, catalogue).is_ok();
                (UserAction::Submit(Box::new(submission)), possible)
            }
        };
        if !self.context.in_contact(crate::controller::CONTACT_SPAN) {
            return self
                .context
                .refuse(id, 503, "no contact with the state service");
        }
        let now = self.context.now.steady;
        let mut call = UserRequest {
            request: id,
            job,
            ask,
            stage: UserRequestStage::Accept,
            arrived: now,
            live: None,
            uncertain: false,
            rounds: 0,
        };
        // One that was accepted costs no write, however often it is repeated.
        if !possible || self.job_view.knows(&call.job) {
            call.stage = UserRequestStage::JobView;
            return self.user_send(call);
        }
        if !self.context.writes.take(now, 1.0) {
            return self.context.refuse(id, 429, "too many submissions");
        }
        self.user_send(call);
    }

    pub(crate) fn on_poll(&mut self, id: u64, job: &str) {
        self.ask(id, job, UserAction::Poll);
    }

    pub(crate) fn on_cancel(&mut self, id: u64, job: &str) {
        self.ask(id, job, UserAction::Cancel);
    }

    fn ask(&mut self, id: u64, job: &str, ask: UserAction) {
        if !valid_id(job) {
            return self.context.refuse(id, 404, "no such job");
        }
        let call = UserRequest {
            request: id,
            job: job.to_string(),
            ask,
            stage: UserRequestStage::JobView,
            arrived: self.context.now.steady,
            live: None,
            uncertain: false,
            rounds: 0,
        };
        if let Some(finished) = self.finished.get(job) {
            let finished = finished.clone();
            return self.user_finished(call, &finished);
        }
        if !self.context.in_contact(crate::controller::CONTACT_SPAN) {
            return self
                .context
                .refuse(id, 503, "no contact with the state service");
        }
        self.user_send(call);
    }

    /// Sends the request of the call's stage to the state service.
    pub(crate) fn user_send(&mut self, mut call: UserRequest) {
        let now = self.context.now.steady;
        call.rounds += 1;
        if call.rounds > 8 {
            return self.context.refuse(call.request, 503, "too many conflicts");
        }
        if call.stage == UserRequestStage::JobView {
            return self.wait_for_job_view(call);
        }
        // Users ask about the same end many times at once: one read answers them all.
        if call.stage == UserRequestStage::ReadFinished {
            if let Some(joined) = self.finished_reads.get_mut(&call.job) {
                return joined.push(call);
            }
        }
        if !self.context.reads.take(now, 1.0) {
            return self.context.refuse(call.request, 429, "too many requests");
        }
        match call.stage {
            UserRequestStage::Accept => {
                let UserAction::Submit(spec) = &call.ask else {
                    return;
                };
                let record = JobRecord {
                    spec: (**spec).clone(),
                    accepted_us: self.context.now.wall,
                };
                let key = job_key(&call.job);
                let transaction = Transaction {
                    when: vec![absent(&key), absent(&format!("{FINISHED}{}", call.job))],
                    apply: vec![put(key, &record)],
                };
                self.context
                    .post_to_store("/txn", &transaction, CallPurpose::User(call));
            }
            UserRequestStage::Cancel => {
                let Some((_, mod_revision)) = call.live else {
                    return;
                };
                let key = cancel_key(&call.job);
                let live = Condition {
                    key: job_key(&call.job),
                    mod_revision,
                };
                let record = CancelRecord {
                    cancelled_us: self.context.now.wall,
                };
                let transaction = Transaction {
                    when: vec![live, absent(&key)],
                    apply: vec![put(key, &record)],
                };
                self.context
                    .post_to_store("/txn", &transaction, CallPurpose::User(call));
            }
            UserRequestStage::JobView => {}
            UserRequestStage::ReadFinished => {
                let key = format!("{FINISHED}{}", call.job);
                self.finished_reads.insert(call.job.clone(), Vec::new());
                self.context.read_key(&key, CallPurpose::User(call));
            }
        }
    }

    pub(crate) fn on_user_reply(&mut self, mut call: UserRequest, outcome: Outcome) {
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            Outcome::Unknown | Outcome::TooLarge => (0, Vec::new()),
            Outcome::NotSent => (503, Vec::new()),
        };
        if call.stage == UserRequestStage::ReadFinished {
            self.finished_read(&call.job, status, &body);
        }
        match (call.stage, status) {
            (UserRequestStage::Accept, 200) => {
                let accepted = Accepted {
                    id: call.job.clone(),
                    status: "pending".into(),
                };
                self.context.answer(call.request, 201, &accepted);
            }
            (UserRequestStage::Accept, 409) => {
                call.stage = UserRequestStage::JobView;
                self.user_send(call);
            }
            (UserRequestStage::Accept, 0) => {
                // The outcome is unknown: read back before anything is said.
                call.uncertain = true;
                call.stage = UserRequestStage::JobView;
                self.user_send(call);
            }
            (UserRequestStage::Cancel, 200) => self.user_cancelled(&call),
            (UserRequestStage::Cancel, 409 | 0) => {
                call.stage = UserRequestStage::JobView;
                self.user_send(call);
            }
            (UserRequestStage::ReadFinished, 200) => {
                match wire::from_cbor::<KeyValue<FinishedJobRecord>>(&body) {
                    Ok(entry) => {
                        self.finished.insert(&call.job, entry.value.clone());
                        self.user_finished(call, &entry.value);
                    }
                    Err(e) => {
                        warn!("record {FINISHED}{}: {e}", call.job);
                        self.context.refuse(call.request, 503, "unreadable record");
                    }
                }
            }
            (UserRequestStage::ReadFinished, 404) => self.user_unknown(call),
            (_, 429) => self.context.refuse(call.request, 429, "too many requests"),
            (stage, status) => {
                debug!("{}: {stage:?} got {status}", call.job);
                self.context
                    .refuse(call.request, 503, "the state service does not answer");
            }
        }
    }

    /// A read of an end was answered. An end that is there answers those too who joined it; that there
    /// is none does not: the job may have been accepted and have ended since.
    fn finished_read(&mut self, job: &str, status: u16, body: &[u8]) {
        let joined = self.finished_reads.remove(job).unwrap_or_default();
        let found = match status {
            200 => wire::from_cbor::<KeyValue<FinishedJobRecord>>(body).ok(),
            _ => None,
        };
        for call in joined {
            match &found {
                Some(entry) => self.user_finished(call, &entry.value),
                None => self.user_send(call),
            }
        }
    }

    pub(crate) fn user_found_live(&mut self, mut call: UserRequest) {
        match call.ask {
            UserAction::Cancel if self.context.writes.take(self.context.now.steady, 1.0) => {
                call.stage = UserRequestStage::Cancel;
                self.user_send(call);
            }
            UserAction::Cancel => self
                .context
                .refuse(call.request, 429, "too many cancellations"),
            _ => self.user_live(call),
        }
    }

    /// The job is found under neither key.
    fn user_unknown(&mut self, call: UserRequest) {
        match &call.ask {
            UserAction::Submit(spec) if !call.uncertain => {
                // Only a submission that could not run is looked up first.
                let refused = self
                    .context
                    .catalogue
                    .as_ref()
                    .map(|c| acceptable(spec, &self.context.settings, c));
                match refused {
                    Some(Err(Refused::Invalid(why))) => {
                        self.context.refuse(call.request, 400, &why);
                    }
                    Some(Err(Refused::Impossible(why))) => {
                        self.context.refuse(call.request, 422, &why);
                    }
                    _ => self.context.refuse(call.request, 503, "not accepted yet"),
                }
            }
            UserAction::Submit(_) => self.context.refuse(call.request, 503, "not accepted yet"),
            UserAction::Malformed(why) => self.context.refuse(call.request, 400, why),
            UserAction::Poll | UserAction::Cancel => {
                self.context.refuse(call.request, 404, "no such job")
            }
        }
    }

    /// The job is live and not cancelled.
    fn user_live(&mut self, call: UserRequest) {
        let (done, running) = match &self.leader {
            Some(leader) => leader.progress_of(&call.job),
            None => self.progress.get(&call.job).copied(),
        }
        .unwrap_or((0, 0));
        let status = if running > 0 { "running" } else { "pending" };
        match call.ask {
            UserAction::Submit(_) | UserAction::Malformed(_) => {
                let accepted = Accepted {
                    id: call.job,
                    status: status.into(),
                };
                self.context.answer(call.request, 200, &accepted);
            }
            _ => {
                let answer = JobStatus {
                    id: call.job,
                    status: status.into(),
                    done,
                    running,
                };
                self.context.answer(call.request, 200, &answer);
            }
        }
    }

    pub(crate) fn user_cancelled(&mut self, call: &UserRequest) {
        let tasks = call.live.map_or(0, |(tasks, _)| tasks);
        let finished = FinishedJobRecord {
            status: "aborted".into(),
            tasks,
        };
        // The cancellation is durable, and the job can only become aborted now. That a user is told
        // is remembered: a leader that has lost contact with state asks for it.
        self.finished.insert(&call.job, finished.clone());
        let Now { steady, wall } = self.context.now;
        self.context.cancellations.tell(&call.job, steady, wall);
        let holders = self.partitions.holders.values_mut();
        for leader in self.leader.iter_mut().chain(holders) {
            leader.on_cancelled(&mut self.context, &call.job, None);
        }
        self.user_finished(call.clone(), &finished);
    }

    fn user_finished(&mut self, call: UserRequest, finished: &FinishedJobRecord) {
        self.progress.remove(&call.job);
        match call.ask {
            UserAction::Poll => {
                let done = if finished.status == "done" {
                    finished.tasks
                } else {
                    0
                };
                let answer = JobStatus {
                    id: call.job,
                    status: finished.status.clone(),
                    done,
                    running: 0,
                };
                self.context.answer(call.request, 200, &answer);
            }
            _ => {
                let accepted = Accepted {
                    id: call.job,
                    status: finished.status.clone(),
                };
                self.context.answer(call.request, 200, &accepted);
            }
        }
    }
}

/// Reads a submission: its job and the rest of it, or what is wrong with the rest. The error says
/// why it names no job either.
#[allow(clippy::type_complexity)]
fn read_submission(body: &[u8]) -> Result<(String, Result<Submission, String>), String> {
    let map: wire::Value = wire::from_cbor(body).map_err(|e| e.to_string())?;
    let items = map.as_map().ok_or("not a map")?;
    let uid = items.iter().find(|(key, _)| key.as_text() == Some("uid"));
    let uid = uid.and_then(|(_, uid)| uid.as_text()).unwrap_or_default();
    if !valid_id(uid) {
        return Err("uid: not of the form req-000000".into());
    }
    let submission = match wire::from_cbor::<Submission>(body) {
        Err(e) => Err(e.to_string()),
        Ok(s) => match check_fields(&s) {
            Err(Refused::Invalid(why) | Refused::Impossible(why)) => Err(why),
            Ok(()) => Ok(s),
        },
    };
    Ok((uid.to_string(), submission))
}

/// Whether a job that is not known yet can be accepted: its record can be kept, and it can run.
fn acceptable(
    s: &Submission,
    settings: &Settings,
    catalogue: &[MachineType],
) -> Result<(), Refused> {
    check_size(s, settings.store.value_bytes).and_then(|()| check_possible(s, settings, catalogue))
}

impl Context {
    /// Cost of a ledger record in puts and deletes, as an upper bound.
    pub(crate) fn cost(rec: &RecordId) -> usize {
        match rec {
            RecordId::Over(_) => 4,
            _ => 1,
        }
    }
}
