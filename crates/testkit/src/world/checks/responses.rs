//! Checks of what users are told, and in which order.

use super::super::responses::RawRequest;
use super::super::users::status_in;
use super::super::World;
use crate::error::{Rule, ScenarioError, StepResult};
use crate::time::Micros;
use grebewood_wire::http::Submission;
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;

impl World {
    /// Checks what a user is told about a job.
    pub(in crate::world) fn check_status(&mut self, job: &str, status: &str) -> StepResult {
        self.note_known(job);
        let Some(observed) = self.jobs.get(job) else {
            let detail = format!("{job} is said to be {status}");
            return Err(ScenarioError::rule(Rule::Invented, detail));
        };
        match status {
            "done" => self.check_done(job),
            "aborted" => self.check_cancelled(job),
            _ if observed.is_over() => {
                let detail = format!("{job} is {status} after it was over");
                Err(ScenarioError::rule(Rule::WentBack, detail))
            }
            _ => Ok(()),
        }
    }

    /// A job that is said to be done must be done.
    fn check_done(&mut self, id: &str) -> StepResult {
        let Some(job) = self.jobs.get_mut(id) else {
            return Ok(());
        };
        if job.spec.shape == "daemon" {
            let detail = format!("{id} is a daemon and said to be done");
            return Err(ScenarioError::rule(Rule::NotDone, detail));
        }
        if !job.is_complete() {
            let detail = format!("{id} is said to be done");
            return Err(ScenarioError::rule(Rule::NotDone, detail));
        }
        if job.cancelled_at.is_some() {
            let detail = format!("{id} is done after it was cancelled");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        job.done = true;
        self.poll_everywhere_after(id, "done");
        Ok(())
    }

    /// A job that is said to be cancelled must have been, and not be done.
    fn check_cancelled(&mut self, id: &str) -> StepResult {
        let Some(job) = self.jobs.get_mut(id) else {
            return Ok(());
        };
        if job.cancel_requested_at.is_none() {
            let detail = format!("{id} is cancelled, and nobody asked for it");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        if job.done {
            let detail = format!("{id} is cancelled after it was done");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        job.cancelled_at.get_or_insert(self.now);
        self.poll_everywhere_after(id, "aborted");
        Ok(())
    }

    /// A submission is answered 200 or 201.
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

    /// Something positive was said of a job: from now on no poll may bring 404, and no repeated submission a
    /// refusal.
    fn note_known(&mut self, job: &str) {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.known_since.get_or_insert(self.now);
        }
    }

    /// Checks a response that denies a job: 404, 400 or 422. The request was sent at that time.
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
            let detail = format!("{job} gets {status}");
            return Err(ScenarioError::rule(Rule::Forgotten, detail));
        }
        if observed.known_since.is_some_and(|at| sent >= at) {
            let detail = format!("{job} gets {status} though it is known");
            return Err(ScenarioError::rule(Rule::WentBack, detail));
        }
        Ok(())
    }

    /// Checks the response to a raw request: it is as good as any user's.
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

    /// Checks a raw submission that was accepted.
    fn check_raw_submission(&mut self, body: &[u8], response: &[u8]) -> StepResult {
        // A repeat of an accepted job is answered 200 whatever it says.
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
