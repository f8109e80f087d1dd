//! Users: what they submit, cancel and ask.

use super::events::{Event, Request, Requester};
use super::jobs::ObservedJob;
use super::network::REQUEST_LATENCY;
use super::World;
use crate::error::{Rule, ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, SECOND};
use grebewood_core::Interface;
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Once all faults are over, a job about which no question is answered for so long is forgotten.
pub(super) const UNANSWERED_LIMIT: Micros = 75 * SECOND;
/// A job that nobody submits, about which users ask.
const UNKNOWN_JOB: &str = "req-999999";
/// Keys of requests beside the script come after those of all other events of the same moment.
const OUT_OF_BAND: u64 = 1 << 48;

/// The status of a job in a response to its user; empty if there is none.
pub(super) fn status_in(body: &[u8]) -> String {
    let map: BTreeMap<String, Value> = from_cbor(body).unwrap_or_default();
    let status = map.get("status").and_then(|value| value.as_text());
    status.unwrap_or_default().to_string()
}

impl World {
    /// Some controller that is up, another one each time.
    fn any_controller(&mut self) -> usize {
        let up = self.up_controllers();
        let turn = self.next_number() as usize;
        up.get(turn % up.len().max(1)).copied().unwrap_or(0)
    }

    /// The controller that a directive names; `other`: one that is up and does not lead.
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
        self.push(self.now + REQUEST_LATENCY, Event::Request(request));
    }

    /// A user submits a job, at some controller unless one is named.
    pub(super) fn submit(&mut self, job: &str, controller: Option<usize>) {
        let Some(observed) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&observed.spec);
        let controller = controller.unwrap_or_else(|| self.any_controller());
        let requester = Requester::Submit(job.into(), self.now);
        self.send_request(controller, "POST", "/submissions".into(), body, requester);
    }

    /// A user cancels a job, at some controller unless one is named.
    pub(super) fn cancel(&mut self, job: &str, controller: Option<usize>) {
        let controller = controller.unwrap_or_else(|| self.any_controller());
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.cancel_requested_at.get_or_insert(self.now);
        }
        let requester = Requester::Cancel(job.into(), self.now);
        let path = format!("/submissions/{job}/cancel");
        self.send_request(controller, "POST", path, Vec::new(), requester);
    }

    /// A user polls a job at a controller.
    pub(super) fn poll(&mut self, controller: usize, job: &str, requester: Requester) {
        let path = format!("/submissions/{job}");
        self.send_request(controller, "GET", path, Vec::new(), requester);
    }

    /// Users poll every job, each at some controller that is up; none may go without an answer for long
    /// once all faults are over.
    pub(super) fn poll_all_jobs(&mut self) -> StepResult {
        let live = |job: &ObservedJob| job.accepted && !job.is_over();
        let jobs = self.jobs.iter().filter(|(_, job)| live(job));
        let jobs: Vec<(String, Micros)> =
            jobs.map(|(id, job)| (id.clone(), job.answered)).collect();
        for (job, answered) in jobs {
            let since = answered.max(self.faults.end);
            if self.now.saturating_sub(since) > UNANSWERED_LIMIT {
                let detail = format!("no question about {job} is answered");
                return Err(ScenarioError::rule(Rule::Forgotten, detail));
            }
            let controller = self.any_controller();
            let requester = Requester::Poll(job.clone(), self.now);
            self.poll(controller, &job, requester);
        }
        self.poll_finished_and_unknown();
        Ok(())
    }

    /// Users ask about what is over, too, and about what nobody submitted: one question each, at a
    /// controller that is up. These requests do not change the order of any others.
    pub(super) fn poll_finished_and_unknown(&mut self) {
        let up = self.up_controllers();
        if up.is_empty() {
            return;
        }
        self.checks.out_of_band += 1;
        let controller = up[self.checks.out_of_band as usize % up.len()];
        let mut jobs = vec![UNKNOWN_JOB.to_string()];
        if let Some(job) = self.next_finished_job() {
            self.checks.last_polled = job.clone();
            jobs.push(job);
        }
        for job in jobs {
            let path = format!("/submissions/{job}");
            let requester = Requester::Poll(job, self.now);
            let request = front_request(controller, "GET", path, Vec::new(), requester);
            self.checks.out_of_band += 1;
            let number = OUT_OF_BAND + self.checks.out_of_band;
            let key = (self.now + REQUEST_LATENCY, number);
            self.queue.insert(key, Event::Request(request));
        }
    }

    /// The job that is over and comes after the one that was last polled.
    fn next_finished_job(&self) -> Option<String> {
        let after = Bound::Excluded(self.checks.last_polled.clone());
        let jobs = self.jobs.range((after, Bound::Unbounded));
        let mut jobs = jobs.chain(self.jobs.iter());
        let (id, _) = jobs.find(|(_, job)| job.is_over())?;
        Some(id.clone())
    }

    /// Users poll a job at every controller that is up, and submit it again there.
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

/// A request to a controller's public interface.
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
