//! Users, who submit, cancel and poll jobs.

use super::events::{Event, Request, Requester};
use super::jobs::ObservedJob;
use super::network::REQUEST_LATENCY_US;
use super::World;
use crate::error::{Rule, ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, SECOND};
use grebewood_core::Interface;
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Time without an answered poll after which a job that is accepted and not over counts as forgotten, once
/// all faults are over.
pub(super) const UNANSWERED_LIMIT_US: Micros = 75 * SECOND;
/// Id of a job that nobody submits and that users poll.
const UNKNOWN_JOB: &str = "req-999999";
/// First number of out-of-band requests, which come after all other events of the same time.
const OUT_OF_BAND: u64 = 1 << 48;

/// Returns the job status in the body of a response; empty if there is none.
pub(super) fn status_in(body: &[u8]) -> String {
    let map: BTreeMap<String, Value> = from_cbor(body).unwrap_or_default();
    let status = map.get("status").and_then(|value| value.as_text());
    status.unwrap_or_default().to_string()
}

impl World {
    /// Returns a controller that is up, which varies from call to call; controller 0 if none is up.
    fn next_up_controller(&mut self) -> usize {
        let up = self.up_controllers();
        let turn = self.next_number() as usize;
        up.get(turn % up.len().max(1)).copied().unwrap_or(0)
    }

    /// Returns the controller that a directive names, if any; `other` stands for one that is up and does not lead.
    pub(super) fn requested_controller(
        &self,
        directive: &Directive,
    ) -> Result<Option<usize>, ScriptError> {
        match directive.options.get("controller").map(String::as_str) {
            None => Ok(None),
            Some("other") => {
                let mut up = self.up_controllers().into_iter();
                let other = up.find(|index| !self.leads(*index));
                other.map(Some).ok_or(ScriptError::NotFound {
                    kind: "controller that is up",
                    name: "other".into(),
                })
            }
            Some(word) => self.controller_named(word).map(Some),
        }
    }

    /// Sends a request to a controller's public interface.
    pub(super) fn send_request(
        &mut self,
        controller: usize,
        method: &str,
        path: String,
        body: Vec<u8>,
        requester: Requester,
    ) {
        let request = front_request(controller, method, path, body, requester);
        self.schedule_event(self.now + REQUEST_LATENCY_US, Event::Request(request));
    }

    /// Sends a user's submission of a job, to any controller that is up unless one is given.
    pub(super) fn submit(&mut self, job: &str, controller: Option<usize>) {
        let Some(observed) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&observed.spec);
        let controller = controller.unwrap_or_else(|| self.next_up_controller());
        let requester = Requester::Submit(job.into(), self.now);
        self.send_request(controller, "POST", "/submissions".into(), body, requester);
    }

    /// Sends a user's cancellation of a job, to any controller that is up unless one is given.
    pub(super) fn cancel(&mut self, job: &str, controller: Option<usize>) {
        let controller = controller.unwrap_or_else(|| self.next_up_controller());
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.cancel_requested_at.get_or_insert(self.now);
        }
        let requester = Requester::Cancel(job.into(), self.now);
        let path = format!("/submissions/{job}/cancel");
        self.send_request(controller, "POST", path, Vec::new(), requester);
    }

    /// Sends a poll of a job to a controller.
    pub(super) fn poll(&mut self, controller: usize, job: &str, requester: Requester) {
        let path = format!("/submissions/{job}");
        self.send_request(controller, "GET", path, Vec::new(), requester);
    }

    /// Polls every accepted job that is not over, each at a controller that is up. Checks that, once all faults
    /// are over, none of them goes without an answered poll for long.
    pub(super) fn poll_all_jobs(&mut self) -> StepResult {
        let live = |job: &ObservedJob| job.accepted && !job.is_over();
        let jobs = self.jobs.iter().filter(|(_, job)| live(job));
        let jobs: Vec<(String, Micros)> = jobs
            .map(|(id, job)| (id.clone(), job.last_answered_at))
            .collect();
        for (job, answered) in jobs {
            let since = answered.max(self.faults.end);
            if self.now.saturating_sub(since) > UNANSWERED_LIMIT_US {
                let detail = format!("no poll of {job} is answered");
                return Err(ScenarioError::rule(Rule::Forgotten, detail));
            }
            let controller = self.next_up_controller();
            let requester = Requester::Poll(job.clone(), self.now);
            self.poll(controller, &job, requester);
        }
        self.poll_finished_and_unknown();
        Ok(())
    }

    /// Polls one job that is over and one that nobody submitted, at a controller that is up. These requests do
    /// not change the order of any other events.
    pub(super) fn poll_finished_and_unknown(&mut self) {
        let up = self.up_controllers();
        if up.is_empty() {
            return;
        }
        self.checks.out_of_band_requests += 1;
        let controller = up[self.checks.out_of_band_requests as usize % up.len()];
        let mut jobs = vec![UNKNOWN_JOB.to_string()];
        if let Some(job) = self.next_finished_job() {
            self.checks.last_polled_job = job.clone();
            jobs.push(job);
        }
        for job in jobs {
            let path = format!("/submissions/{job}");
            let requester = Requester::Poll(job, self.now);
            let request = front_request(controller, "GET", path, Vec::new(), requester);
            self.checks.out_of_band_requests += 1;
            let number = OUT_OF_BAND + self.checks.out_of_band_requests;
            let key = (self.now + REQUEST_LATENCY_US, number);
            self.queue.insert(key, Event::Request(request));
        }
    }

    /// Returns the next ended job, in the order of ids, after the one that was polled last.
    fn next_finished_job(&self) -> Option<String> {
        let after = Bound::Excluded(self.checks.last_polled_job.clone());
        let jobs = self.jobs.range((after, Bound::Unbounded));
        let mut jobs = jobs.chain(self.jobs.iter());
        let (id, _) = jobs.find(|(_, job)| job.is_over())?;
        Some(id.clone())
    }

    /// Polls a job at every controller that is up, and submits it again there.
    pub(super) fn poll_everywhere(&mut self, job: &str) {
        let Some(observed) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&observed.spec);
        for controller in self.up_controllers() {
            self.poll(controller, job, Requester::Poll(job.into(), self.now));
            let requester = Requester::Resubmit(job.into(), self.now);
            let path = "/submissions".into();
            self.send_request(controller, "POST", path, body.clone(), requester);
        }
    }
}

/// Returns a request to a controller's public interface.
pub(super) fn front_request(
    controller: usize,
    method: &str,
    path: String,
    body: Vec<u8>,
    requester: Requester,
) -> Request {
    Request {
        controller,
        interface: Interface::Front,
        method: method.into(),
        path,
        body,
        requester,
    }
}
