//! Checks of the responses that users receive, and of their order.

use super::super::responses::RawRequest;
use super::super::users::status_in;
use super::super::World;
use crate::error::{Rule, ScenarioError, StepResult};
use crate::time::Micros;
use grebewood_wire::http::Submission;
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;

impl World {
    /// Checks a job status that a user receives.
    pub(in crate::world) fn check_status(&mut self, job: &str, status: &str) -> StepResult {
        self.note_known(job);
        let Some(observed) = self.jobs.get(job) else {
            let detail = format!("unknown job {job} is reported {status}");
            return Err(ScenarioError::rule(Rule::Invented, detail));
        };
        match status {
            "done" => self.check_done(job),
            "aborted" => self.check_cancelled(job),
            _ if observed.is_over() => {
                let detail =
                    format!("{job} is reported {status} after it was reported done or cancelled");
                Err(ScenarioError::rule(Rule::WentBack, detail))
            }
            _ => Ok(()),
        }
    }

    /// Checks a job that is reported done: all of its tasks must have completed, it may not be a daemon, and
    /// it may not have been reported cancelled.
    fn check_done(&mut self, id: &str) -> StepResult {
        let Some(job) = self.jobs.get_mut(id) else {
            return Ok(());
        };
        if job.spec.shape == "daemon" {
            let detail = format!("{id} is a daemon and is reported done");
            return Err(ScenarioError::rule(Rule::NotDone, detail));
        }
        if !job.is_complete() {
            let detail = format!("{id} is reported done, but not all of its tasks completed");
            return Err(ScenarioError::rule(Rule::NotDone, detail));
        }
        if job.cancelled_at.is_some() {
            let detail = format!("{id} is reported done after it was reported cancelled");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        job.done = true;
        self.poll_everywhere_after(id, "done");
        Ok(())
    }

    /// Checks a job that is reported cancelled: its user must have requested the cancellation, and it may not
    /// have been reported done.
    fn check_cancelled(&mut self, id: &str) -> StepResult {
        let Some(job) = self.jobs.get_mut(id) else {
            return Ok(());
        };
        if job.cancel_requested_at.is_none() {
            let detail = format!("{id} is reported cancelled, but nobody asked for it");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        if job.done {
            let detail = format!("{id} is reported cancelled after it was reported done");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        job.cancelled_at.get_or_insert(self.now);
        self.poll_everywhere_after(id, "aborted");
        Ok(())
    }

    /// Records that a submission was accepted (200 or 201), and checks that it may be.
    pub(in crate::world) fn record_acceptance(&mut self, job: &str) -> StepResult {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.accepted = true;
            observed.last_answered_at = self.now;
            let body = to_cbor(&observed.spec);
            self.check_acceptable(&body)?;
        }
        self.poll_everywhere_after(job, "accepted");
        Ok(())
    }

    /// Records that a response gave a status of the job. From now on no poll may be answered 404, and no
    /// repeated submission may be refused.
    fn note_known(&mut self, job: &str) {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.known_since.get_or_insert(self.now);
        }
    }

    /// Checks a response that denies a job (404, 400 or 422) to a request that was sent at this time.
    pub(in crate::world) fn check_denial(
        &self,
        job: &str,
        sent: Micros,
        status: u16,
    ) -> StepResult {
        let Some(observed) = self.jobs.get(job) else {
            return Ok(());
        };
        if observed.accepted {
            let detail = format!("a request about accepted job {job} is answered {status}");
            return Err(ScenarioError::rule(Rule::Forgotten, detail));
        }
        if observed.known_since.is_some_and(|at| sent >= at) {
            let detail = format!("a request about known job {job} is answered {status}");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        Ok(())
    }

    /// Checks the response to a raw request of the script by the rules for any user's request.
    pub(in crate::world) fn check_raw_response(
        &mut self,
        request: &RawRequest,
        status: u16,
        response: &[u8],
    ) -> StepResult {
        let is_submission = (request.method, request.path) == ("POST", "/submissions");
        if is_submission && matches!(status, 200 | 201) {
            return self.check_raw_submission(request.body, response);
        }
        let Some(job) = request.path.strip_prefix("/submissions/") else {
            return Ok(());
        };
        let job = job.strip_suffix("/cancel").unwrap_or(job);
        if self.checks.raw_submissions.contains(job) {
            return Ok(());
        }
        match status {
            200 => {
                if let (true, Some(observed)) = (request.method == "POST", self.jobs.get_mut(job)) {
                    observed.cancel_requested_at.get_or_insert(request.sent);
                }
                self.check_status(job, &status_in(response))
            }
            404 => self.check_denial(job, request.sent, status),
            _ => Ok(()),
        }
    }

    /// Checks a raw submission that was accepted, and its response.
    fn check_raw_submission(&mut self, body: &[u8], response: &[u8]) -> StepResult {
        // A repeated submission of an accepted job is answered 200, whatever its other fields are.
        let map: BTreeMap<String, Value> = from_cbor(body).unwrap_or_default();
        let id = map.get("uid").and_then(|value| value.as_text());
        let id = id.unwrap_or_default();
        if self.jobs.get(id).is_some_and(|job| job.accepted) {
            return self.check_status(id, &status_in(response));
        }
        self.check_acceptable(body)?;
        let id = from_cbor::<Submission>(body).map(|submission| submission.id);
        self.checks.raw_submissions.extend(id);
        Ok(())
    }
}
