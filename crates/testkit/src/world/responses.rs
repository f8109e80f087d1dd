//! Responses of controllers, and how their requesters handle them.

use super::configuration::member_name;
use super::events::{Caller, Event, Requester};
use super::faults::start_tasks;
use super::network::{Link, PEER_LATENCY_US, REQUEST_LATENCY_US};
use super::users::status_in;
use super::World;
use crate::error::{ScenarioError, StepResult};
use crate::production;
use crate::time::{Micros, SECOND};
use grebewood_wire::from_cbor;
use grebewood_wire::http::{Command, HeartbeatResponse, JobStatus, Verb};

/// Delay after which a user repeats a request that was not answered.
const RETRY_INTERVAL_US: Micros = SECOND;
/// Agents drop the response to a heartbeat that takes longer than this, beyond the delay of the link.
const HEARTBEAT_TIMEOUT_US: Micros = SECOND;

/// A raw request of the script.
pub(super) struct RawRequest<'a> {
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) body: &'a [u8],
    pub(super) sent: Micros,
}

impl World {
    /// Handles a response of a controller for its requester.
    pub(super) fn handle_response(
        &mut self,
        requester: Requester,
        controller: usize,
        status: u16,
        body: Vec<u8>,
    ) -> StepResult {
        match requester {
            Requester::Submit(job, sent) => {
                if !self.check_submission_response(&job, sent, status, &body)? {
                    self.schedule_event(self.now + RETRY_INTERVAL_US, Event::RetrySubmit(job));
                }
            }
            Requester::Resubmit(job, sent) => {
                self.check_submission_response(&job, sent, status, &body)?;
            }
            Requester::Poll(job, sent) => self.check_poll_response(&job, sent, status, &body)?,
            Requester::Cancel(job, sent) => match status {
                200 => self.check_status(&job, &status_in(&body))?,
                404 => self.check_denial(&job, sent, status)?,
                _ => self.schedule_event(self.now + RETRY_INTERVAL_US, Event::RetryCancel(job)),
            },
            Requester::Expect(job, wanted, line, sent) => {
                let got = self.expected_status(&job, sent, status, &body)?;
                check_expected_status(controller, &job, &got, &wanted)
                    .map_err(|error| error.at_line(line))?;
                self.expectations.met += 1;
            }
            Requester::Raw {
                wanted,
                line,
                method,
                path,
                body: request_body,
                sent,
            } => {
                let request = RawRequest {
                    method: &method,
                    path: &path,
                    body: &request_body,
                    sent,
                };
                self.check_raw_response(&request, status, &body)?;
                if status != wanted {
                    let detail = format!("got {status}, not {wanted}");
                    return Err(ScenarioError::unmet(detail).at_line(line));
                }
                self.expectations.met += 1;
            }
            Requester::HeartbeatCopy { is_newer } => check_copy_response(is_newer, status, &body)?,
            Requester::Heartbeat {
                machine,
                heartbeat_id,
            } => {
                return self.send_heartbeat_response(
                    machine,
                    heartbeat_id,
                    controller,
                    status,
                    body,
                )
            }
            Requester::Peer(caller) => {
                self.send_peer_response(caller, controller, status, body)?;
            }
        }
        Ok(())
    }

    /// Checks the response to a submission. Returns whether it is final, so that the user need not repeat the
    /// request.
    fn check_submission_response(
        &mut self,
        job: &str,
        sent: Micros,
        status: u16,
        body: &[u8],
    ) -> StepResult<bool> {
        match status {
            200 | 201 => {
                self.record_acceptance(job)?;
                self.check_status(job, &status_in(body))?;
            }
            400 | 422 => self.check_denial(job, sent, status)?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Checks the response to a user's poll.
    fn check_poll_response(
        &mut self,
        job: &str,
        sent: Micros,
        status: u16,
        body: &[u8],
    ) -> StepResult {
        self.count_refused_poll(status);
        if status == 404 {
            self.check_denial(job, sent, status)?;
        }
        if status == 200 {
            self.check_status(job, &status_in(body))?;
            if let Some(observed) = self.jobs.get_mut(job) {
                observed.last_answered_at = self.now;
            }
        }
        Ok(())
    }

    /// Returns what a poll of the script gives for a job: the job's status, or the HTTP status if it is not 200.
    fn expected_status(
        &mut self,
        job: &str,
        sent: Micros,
        status: u16,
        body: &[u8],
    ) -> StepResult<String> {
        if status == 404 {
            self.check_denial(job, sent, status)?;
        }
        if status != 200 {
            return Ok(status.to_string());
        }
        let answer: JobStatus = from_cbor(body).map_err(|error| {
            ScenarioError::Protocol(format!(
                "the response to a poll of {job} cannot be decoded: {error}"
            ))
        })?;
        self.check_status(job, &answer.status)?;
        Ok(answer.status)
    }

    /// Sends the response to a heartbeat to the agent that waits for it.
    fn send_heartbeat_response(
        &mut self,
        machine: String,
        heartbeat_id: u64,
        controller: usize,
        status: u16,
        body: Vec<u8>,
    ) -> StepResult {
        if let Some(delay) = self.launch_delay(&machine, &body) {
            let requester = Requester::Heartbeat {
                machine,
                heartbeat_id,
            };
            let event = Event::Response(requester, controller, status, body);
            self.schedule_event(self.now + delay, event);
            return Ok(());
        }
        let Some(at) = self.arrival(controller, Link::Agents, REQUEST_LATENCY_US) else {
            return Ok(());
        };
        let delay = self.link_delay(Link::Agents);
        if at > self.now + delay + HEARTBEAT_TIMEOUT_US {
            return Ok(());
        }
        if delay > 0 {
            let event =
                Event::DelayedHeartbeatResponse(machine, heartbeat_id, controller, status, body);
            self.schedule_event(at, event);
            return Ok(());
        }
        self.handle_heartbeat_response(&machine, heartbeat_id, controller, status, &body)
    }

    /// Returns the delay of this response to a heartbeat, if a fault delays the machine's next response that
    /// carries a launch and this one does.
    fn launch_delay(&mut self, machine: &str, body: &[u8]) -> Option<Micros> {
        if !self.faults.launch_response_delays.contains_key(machine) {
            return None;
        }
        let response = from_cbor::<HeartbeatResponse>(body).ok()?;
        let launches = start_tasks(&response.commands);
        launches
            .then(|| self.faults.launch_response_delays.remove(machine))
            .flatten()
    }

    /// Sends the response of a controller to the controller that called it.
    fn send_peer_response(
        &mut self,
        caller: Caller,
        controller: usize,
        status: u16,
        body: Vec<u8>,
    ) -> StepResult {
        let mut body = body;
        if status == 200 {
            production::check_peer_answer(&body)
                .map_err(|error| ScenarioError::Protocol(error.to_string()))?;
            body = self.forge_cancellation(body);
            let previous_version = &self.configuration.previous_version;
            let mut ends = [controller, caller.controller].into_iter();
            if ends.any(|end| previous_version.contains(&end)) {
                body = production::known_part_of_peer_answer(&body).unwrap_or(body);
            }
        }
        if self
            .arrival(controller, Link::Peers, PEER_LATENCY_US)
            .is_some()
        {
            self.reply(caller, Link::Peers, PEER_LATENCY_US, status, body);
        }
        Ok(())
    }
}

fn is_launch(command: &Command) -> bool {
    command.verb == Verb::Launch
}

/// Checks that a job has the status that the script expects; `live` stands for pending or running.
fn check_expected_status(controller: usize, job: &str, got: &str, wanted: &str) -> StepResult {
    let live = wanted == "live" && matches!(got, "pending" | "running");
    if got == wanted || live {
        return Ok(());
    }
    let member = member_name(controller);
    let detail = format!("controller {member} reports {got} for {job}, not {wanted}");
    Err(ScenarioError::unmet(detail))
}

/// Checks that a late copy of a heartbeat is not answered with commands.
///
/// A new leader cannot know that the first heartbeat that it receives is a copy, and its response reaches
/// nobody. Even so, it may not launch tasks before it knows that the machine receives its responses.
fn check_copy_response(is_newer: bool, status: u16, body: &[u8]) -> StepResult {
    let response = from_cbor::<HeartbeatResponse>(body);
    let commands = response.map_or(Vec::new(), |response| response.commands);
    let forbidden = |command: &Command| !is_newer || is_launch(command);
    if status == 200 && commands.iter().any(forbidden) {
        let detail = "a late copy of a heartbeat is answered with commands";
        return Err(ScenarioError::Protocol(detail.into()));
    }
    Ok(())
}
