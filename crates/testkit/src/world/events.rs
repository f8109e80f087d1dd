//! What happens in the world, and who waits for what.

use super::World;
use crate::error::{ScenarioError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, MILLISECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{Input, Interface};

/// A call of a controller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Caller {
    /// The controller's index.
    pub(super) controller: usize,
    /// The process; 0: nobody waits for the response.
    pub(super) process: u64,
    /// The number of the call within the process.
    pub(super) call: u64,
}

impl Caller {
    /// Stands for a call of this controller whose response reaches nobody.
    pub(super) fn nobody(controller: usize, call: u64) -> Caller {
        Caller {
            controller,
            process: 0,
            call,
        }
    }
}

/// Who waits for a response of a controller; of users, when they sent the request.
#[derive(Clone, Debug)]
pub(super) enum Requester {
    /// A submission of this job, which is repeated until it is answered.
    Submit(String, Micros),
    /// A cancellation of this job, which is repeated until it is answered.
    Cancel(String, Micros),
    /// A user's poll of a job, which may be refused; but not for good.
    Poll(String, Micros),
    /// A poll that must give this status; the line that says so.
    Expect(String, String, usize, Micros),
    /// A request that must give this status; the line that says so.
    Raw {
        wanted: u16,
        line: usize,
        method: String,
        path: String,
        body: Vec<u8>,
        sent: Micros,
    },
    /// The agent of a machine, by the heartbeat in flight.
    Heartbeat { machine: String, heartbeat_id: u64 },
    /// A submission that is repeated once, at a given controller.
    Resubmit(String, Micros),
    /// Nobody: the request was the late copy of a heartbeat. `first`: whom it reached leads, and had no
    /// heartbeat of that machine under its grant that was as new.
    HeartbeatCopy { first: bool },
    /// Another controller.
    Peer(Caller),
}

/// A request on its way to a controller.
pub(super) struct Request {
    /// The controller's index.
    pub(super) controller: usize,
    pub(super) interface: Interface,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) requester: Requester,
}

/// An event in the queue.
pub(super) enum Event {
    /// An input for a controller's process.
    Input(usize, u64, Input),
    /// A call reaches the key-value store: method, path and body.
    StoreCall(Caller, &'static str, String, Vec<u8>),
    /// A call reaches the cloud: method, path and body.
    CloudCall(Caller, &'static str, String, Vec<u8>),
    /// A direct command reaches an agent: address and body.
    DirectCommand(Caller, String, Vec<u8>),
    /// A request reaches a controller.
    Request(Request),
    /// The limits of the key-value store change.
    StoreLimits(StoreLimits),
    /// The response of a controller to a request: status and body. Status 0: it ended before it answered.
    Response(Requester, usize, u16, Vec<u8>),
    /// The response to a heartbeat, by machine and heartbeat, reaches its agent over a slow link.
    DelayedHeartbeatResponse(String, u64, usize, u16, Vec<u8>),
    /// A late copy of a heartbeat, for whoever leads then, or for every controller.
    HeartbeatCopy { body: Vec<u8>, to_all: bool },
    /// Users poll a job at every controller.
    PollEverywhere(String),
    /// A heartbeat of this sequence arrives: a response to a direct command must have overtaken it.
    OvertakenHeartbeat(String, u64),
    /// A line of the script is due.
    Directive(Directive),
    /// A controller crashes for so long.
    Crash(usize, Micros),
    /// A controller's process starts.
    Start(usize),
    /// Time passes.
    Tick,
    /// The key-value store is up again.
    StoreUp,
    /// The cloud is up again.
    CloudUp,
    /// A user submits a job again.
    RetrySubmit(String),
    /// A user cancels a job again.
    RetryCancel(String),
}

impl World {
    /// Lets an event happen, later if it is for a process that is paused.
    pub(super) fn handle_event(&mut self, event: Event) -> StepResult {
        match self.resumes_at(&event) {
            Some(at) => {
                self.push(at, event);
                Ok(())
            }
            None => self.dispatch(event),
        }
    }

    /// When the process that an event is for resumes; `None` if it is not paused.
    fn resumes_at(&self, event: &Event) -> Option<Micros> {
        let (controller, is_request) = match event {
            Event::Input(controller, ..) => (*controller, false),
            Event::Request(request) => (request.controller, true),
            _ => return None,
        };
        let resumes = self.controllers[controller].paused_until;
        // The order in which a process finds what waited is its own: requests first is worst.
        let delay = if is_request { 0 } else { MILLISECOND };
        (resumes > self.now).then_some(resumes + delay)
    }

    fn dispatch(&mut self, event: Event) -> StepResult {
        match event {
            Event::Tick => return self.tick(),
            Event::DirectCommand(caller, address, body) => {
                return self.handle_direct_command(caller, &address, &body)
            }
            Event::Request(request) => return self.handle_request(request),
            Event::Response(requester, controller, status, body) => {
                return self.handle_response(requester, controller, status, body)
            }
            Event::DelayedHeartbeatResponse(machine, heartbeat, controller, status, body) => {
                return self
                    .handle_heartbeat_response(&machine, heartbeat, controller, status, &body)
            }
            Event::OvertakenHeartbeat(machine, sequence) => {
                return self.check_overtaken(&machine, sequence)
            }
            Event::Directive(directive) => {
                let done = self.run_directive(&directive);
                return done.map_err(|error| error.at_line(directive.number));
            }
            Event::Start(index) => self.start_controller(index),
            Event::Crash(index, down_for) => self.crash_controller(index, down_for),
            Event::Input(index, process, input) => self.handle_input(index, process, input),
            Event::StoreCall(caller, method, path, body) => {
                self.handle_store_call(caller, method, &path, &body);
            }
            Event::CloudCall(caller, method, path, body) => {
                self.handle_cloud_call(caller, method, &path, &body);
            }
            Event::StoreLimits(limits) => self.store.limits = Some(limits),
            Event::HeartbeatCopy { body, to_all } => self.deliver_heartbeat_copy(&body, to_all),
            Event::PollEverywhere(job) => self.poll_everywhere(&job),
            Event::StoreUp => self.store.end_outage(self.now),
            Event::CloudUp => self.cloud.down = false,
            Event::RetrySubmit(job) => self.submit(&job, None),
            Event::RetryCancel(job) => self.cancel(&job, None),
        }
        Ok(())
    }

    /// A heartbeat that was sent under this sequence arrives: the agent must have sent a newer status.
    fn check_overtaken(&mut self, name: &str, sequence: u64) -> StepResult {
        let overtaken = self.machine_mut(name)?.sequence > sequence;
        match overtaken {
            true => Ok(()),
            false => Err(ScenarioError::unmet(format!(
                "nothing overtook the report of {name}"
            ))),
        }
    }
}
