//! The responses of controllers, and what each means to whoever waits for it.

use super::configuration::member_name;
use super::events::{Caller, Event, Requester};
use super::network::{Link, PEER_LATENCY, REQUEST_LATENCY};
use super::users::status_in;
use super::World;
use crate::error::{ScenarioError, StepResult};
use crate::production;
use crate::time::{Micros, SECOND};
use grebewood_wire::from_cbor;
use grebewood_wire::http::{Command, HeartbeatResponse, JobStatus, Verb};

/// After which time users send again what was not answered.
const RETRY_INTERVAL: Micros = SECOND;
/// Agents drop the response to a heartbeat that is later than that, beyond what the link takes.
const HEARTBEAT_TIMEOUT: Micros = SECOND;

/// A raw request of the script.
pub(super) struct RawRequest<'a> {
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) body: &'a [u8],
    pub(super) sent: Micros,
}

impl World {
    /// A response reaches whoever waits for it.
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
                    self.push(self.now + RETRY_INTERVAL, Event::RetrySubmit(job));
                }
            }
            Requester::Resubmit(job, sent) => {
                self.check_submission_response(&job, sent, status, &body)?;
            }
            Requester::Poll(job, sent) => self.check_poll_response(&job, sent, status, &body)?,
            Requester::Cancel(job, sent) => match status {
                200 => self.check_status(&job, &status_in(&body))?,
                404 => self.check_denial(&job, sent, status)?,
                _ => self.push(self.now + RETRY_INTERVAL, Event::RetryCancel(job)),
            },
            Requester::Expect(job, wanted, line, sent) => {
                let got = self.expected_status(&job, sent, status, &body)?;
                check_expected(controller, &job, &got, &wanted)
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
            Requester::HeartbeatCopy { first } => check_copy_response(first, status, &body)?,
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

    /// Checks the response to a submission. The result is whether it needs no other one.
    fn check_submission_response(
        &mut self,
        job: &str,
        sent: Micros,
        status: u16,
        body: &[u8],
    ) -> StepResult<bool> {
        match status {
            200 | 201 => {
                self.accepted(job)?;
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
        self.count_refusal(status);
        if status == 404 {
            self.check_denial(job, sent, status)?;
        }
        if status == 200 {
            self.check_status(job, &status_in(body))?;
            if let Some(observed) = self.jobs.get_mut(job) {
                observed.answered = self.now;
            }
        }
        Ok(())
    }

    /// What a poll of the script says of a job: its status, or that of the response.
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
        let answer: JobStatus = from_cbor(body)
            .map_err(|error| ScenarioError::Protocol(format!("a poll's answer: {error}")))?;
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
            self.push(self.now + delay, event);
            return Ok(());
        }
        let Some(at) = self.arrival(controller, Link::Agents, REQUEST_LATENCY) else {
            return Ok(());
        };
        let delay = self.link_delay(Link::Agents);
        if at > self.now + delay + HEARTBEAT_TIMEOUT {
            return Ok(());
        }
        if delay > 0 {
            let event =
                Event::DelayedHeartbeatResponse(machine, heartbeat_id, controller, status, body);
            self.push(at, event);
            return Ok(());
        }
        self.handle_heartbeat_response(&machine, heartbeat_id, controller, status, &body)
    }

    /// By how much this response to a heartbeat is to be late, because it carries a launch.
    fn launch_delay(&mut self, machine: &str, body: &[u8]) -> Option<Micros> {
        if !self.faults.slow_launch.contains_key(machine) {
            return None;
        }
        let response = from_cbor::<HeartbeatResponse>(body).ok()?;
        let launches = response.commands.iter().any(is_launch);
        launches
            .then(|| self.faults.slow_launch.remove(machine))
            .flatten()
    }

    /// Sends the response of a controller to another one.
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
            .arrival(controller, Link::Peers, PEER_LATENCY)
            .is_some()
        {
            self.reply(caller, Link::Peers, PEER_LATENCY, status, body);
        }
        Ok(())
    }
}

fn is_launch(command: &Command) -> bool {
    command.verb == Verb::Launch
}

/// A job must have the status that the script expects; `live`: pending or running.
fn check_expected(controller: usize, job: &str, got: &str, wanted: &str) -> StepResult {
    let live = wanted == "live" && matches!(got, "pending" | "running");
    if got == wanted || live {
        return Ok(());
    }
    let member = member_name(controller);
    let detail = format!("{member} says {got} of {job}, not {wanted}");
    Err(ScenarioError::unmet(detail))
}

/// The late copy of a heartbeat must not be answered with commands.
///
/// A new leader cannot know that the first heartbeat it gets is a copy, and what it answers reaches nobody;
/// but it may not launch before it knows that the machine receives its responses.
fn check_copy_response(first: bool, status: u16, body: &[u8]) -> StepResult {
    let response = from_cbor::<HeartbeatResponse>(body);
    let commands = response.map_or(Vec::new(), |response| response.commands);
    let forbidden = |command: &Command| !first || is_launch(command);
    if status == 200 && commands.iter().any(forbidden) {
        let detail = "the late copy of a report is answered with commands";
        return Err(ScenarioError::Protocol(detail.into()));
    }
    Ok(())
}
