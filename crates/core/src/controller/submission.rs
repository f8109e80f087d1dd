//! Handles submissions: parses them and refuses those that cannot be accepted.

use crate::calls::{UserAction, UserRequest, UserRequestStage};
use crate::controller::{Controller, USER_REQUEST_CONTACT_TIMEOUT_US};
use crate::settings::Settings;
use crate::state::jobs::{check_fields, check_possible, check_size, SubmissionRejection};
use grebewood_wire as wire;
use grebewood_wire::http::{MachineType, Submission};
use grebewood_wire::validate::is_valid_job_id;
use thiserror::Error;

/// A submission, as far as it could be parsed.
struct ParsedSubmission {
    job: String,
    /// [`UserAction::Submit`] or [`UserAction::Malformed`].
    action: UserAction,
}

/// Why the job of a submission cannot be determined. The texts are sent to users.
#[derive(Debug, Error)]
enum UnreadableSubmission {
    /// The body is no CBOR value.
    #[error(transparent)]
    Undecodable(#[from] wire::DecodeError),
    /// The body is no CBOR map.
    #[error("not a map")]
    NotAMap,
    /// The job id is missing or not of the form of a job id.
    #[error("uid: not of the form req-000000")]
    InvalidId,
}

impl Controller {
    /// Handles a submission.
    pub(crate) fn on_submission(&mut self, id: u64, body: &[u8]) {
        let ParsedSubmission { job, action } = match parse_submission(body) {
            Ok(submission) => submission,
            Err(e) => return self.context.refuse(id, 400, &e.to_string()),
        };
        if let Some(finished) = self.finished_jobs.get(&job) {
            let status = finished.status.clone();
            return self.answer_accepted(id, 200, &job, &status);
        }
        // A repeated submission of an accepted job must get neither 422 nor 400, regardless of its present
        // content and of the limits at the time of acceptance. So the job is looked up before the
        // submission is refused.
        let acceptable = match &action {
            UserAction::Submit(submission) => {
                let Some(catalogue) = &self.context.catalogue else {
                    let reason = "machine types are not known yet";
                    return self.context.refuse(id, 503, reason);
                };
                check_acceptable(submission, &self.context.settings, catalogue).is_ok()
            }
            _ => false,
        };
        if !self
            .context
            .has_store_contact(USER_REQUEST_CONTACT_TIMEOUT_US)
        {
            return self.refuse_without_contact(id);
        }
        let now = self.context.now.steady;
        let request = UserRequest::new(id, &job, action, now);
        // The submission of an accepted job needs no write, however often it is repeated.
        if !acceptable || self.job_view.is_known_accepted(&job) {
            return self.send_user_request(request);
        }
        if !self.context.user_writes.try_acquire(now, 1.0) {
            return self.context.refuse(id, 429, "too many submissions");
        }
        self.send_user_request(request.at_stage(UserRequestStage::Accept));
    }

    /// Refuses a submission whose job was looked up and is neither live nor finished.
    pub(crate) fn refuse_submission(&mut self, request: &UserRequest, submission: &Submission) {
        let catalogue = self.context.catalogue.as_ref();
        let checked = catalogue
            .map(|catalogue| check_acceptable(submission, &self.context.settings, catalogue));
        let (status, reason) = match checked {
            // The accepting transaction had no clear outcome, so the store may still apply it.
            _ if request.is_acceptance_uncertain => (503, "not accepted yet".to_string()),
            Some(Err(SubmissionRejection::Invalid(reason))) => (400, reason),
            Some(Err(SubmissionRejection::Impossible(reason))) => (422, reason),
            Some(Ok(())) | None => (503, "not accepted yet".to_string()),
        };
        self.context.refuse(request.request, status, &reason);
    }
}

/// Parses a submission: its job, and the rest of it or what is wrong with the rest.
fn parse_submission(body: &[u8]) -> Result<ParsedSubmission, UnreadableSubmission> {
    let value: wire::Value = wire::from_cbor(body)?;
    let entries = value.as_map().ok_or(UnreadableSubmission::NotAMap)?;
    let uid = entries.iter().find(|(key, _)| key.as_text() == Some("uid"));
    let uid = uid.and_then(|(_, uid)| uid.as_text()).unwrap_or_default();
    if !is_valid_job_id(uid) {
        return Err(UnreadableSubmission::InvalidId);
    }
    Ok(ParsedSubmission {
        job: uid.to_string(),
        action: parse_fields(body),
    })
}

fn parse_fields(body: &[u8]) -> UserAction {
    let submission = match wire::from_cbor::<Submission>(body) {
        Ok(submission) => submission,
        Err(e) => return UserAction::Malformed(e.to_string()),
    };
    match check_fields(&submission) {
        Ok(()) => UserAction::Submit(Box::new(submission)),
        Err(SubmissionRejection::Invalid(reason) | SubmissionRejection::Impossible(reason)) => {
            UserAction::Malformed(reason)
        }
    }
}

/// Checks that a job that is not known yet can be accepted: its record fits the store, and it can run.
fn check_acceptable(
    submission: &Submission,
    settings: &Settings,
    catalogue: &[MachineType],
) -> Result<(), SubmissionRejection> {
    check_size(submission, settings.store.value_bytes)?;
    check_possible(submission, settings, catalogue)
}
