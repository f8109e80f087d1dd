//! Events of the simulated world, and the requesters that wait for responses of controllers.

use super::World;
use crate::error::{ScenarioError, StepResult};
use crate::script::Directive;
use crate::time::{Micros, MILLISECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{Input, Interface};

/// A call that a controller's process makes to the key-value store, the cloud, an agent or another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Caller {
    /// Index of the controller.
    pub(super) controller: usize,
    /// Number of the process; 0 if nobody waits for the response.
    pub(super) process: u64,
    /// Number of the call within the process.
    pub(super) call: u64,
}

impl Caller {
    /// Returns a caller that stands for a call of this controller whose response reaches nobody.
    pub(super) fn nobody(controller: usize, call: u64) -> Caller {
        Caller {
            controller,
            process: 0,
            call,
        }
    }
}

/// Requester that waits for a response of a controller. The time in a user's request is when it was sent.
#[derive(Clone, Debug)]
pub(super) enum Requester {
    /// A user who submits this job, and repeats the request until it is answered.
    Submit(String, Micros),
    /// A user who cancels this job, and repeats the request until it is answered.
    Cancel(String, Micros),
    /// A user who polls this job. Polls may be refused, but not for long once all faults are over.
    Poll(String, Micros),
    /// A poll of the script: the job, the expected status, and the number of the script's line.
    Expect(String, String, usize, Micros),
    /// A raw request of the script: the expected status, the number of the script's line, and what was sent.
    Raw {
        wanted: u16,
        line: usize,
        method: String,
        path: String,
        body: Vec<u8>,
        sent: Micros,
    },
    /// The agent of a machine that waits for the response to this heartbeat.
    Heartbeat { machine: String, heartbeat_id: u64 },
    /// A user who submits this job again at a given controller, and does not repeat the request.
    Resubmit(String, Micros),
    /// Nobody: the request was a late copy of a heartbeat. `is_newer`: the controller that it reached leads
    /// or holds the machine's partition, and had received no heartbeat of the machine that was as new under
    /// its current fencing token.
    HeartbeatCopy { is_newer: bool },
    /// Another controller, by its call.
    Peer(Caller),
}

/// A request on its way to a controller.
pub(super) struct Request {
    /// Index of the controller.
    pub(super) controller: usize,
    pub(super) interface: Interface,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) requester: Requester,
}

/// A scheduled event.
pub(super) enum Event {
    /// An input reaches a controller's process: index, process and input.
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
    /// The response of a controller to a request: status and body. Status 0: its process ended before it answered.
    Response(Requester, usize, u16, Vec<u8>),
    /// The response to a heartbeat, by machine and heartbeat, reaches its agent over a slow link.
    DelayedHeartbeatResponse(String, u64, usize, u16, Vec<u8>),
    /// A late copy of a heartbeat is sent to the controllers that lead, or to every controller that is up.
    HeartbeatCopy { body: Vec<u8>, to_all: bool },
    /// A late copy of orders to the holder of a partition reaches a controller.
    OrdersCopy(Request),
    /// A late copy of the response to a heartbeat reaches an agent: machine, heartbeat, controller and body.
    ResponseCopy(String, u64, usize, Vec<u8>),
    /// Users poll a job at every controller.
    PollEverywhere(String),
    /// A delayed heartbeat with this sequence number arrives. The agent must have sent a newer status since,
    /// as the response to a direct command.
    OvertakenHeartbeat(String, u64),
    /// A directive of the script is due.
    Directive(Directive),
    /// A controller crashes, and restarts after this time.
    Crash(usize, Micros),
    /// A controller's process starts.
    Start(usize),
    /// Simulated time advances by a tick.
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
    /// Handles an event, or postpones it if the process that it is for is paused.
    pub(super) fn handle_event(&mut self, event: Event) -> StepResult {
        match self.resumes_at(&event) {
            Some(at) => {
                self.schedule_event(at, event);
                Ok(())
            }
            None => self.dispatch(event),
        }
    }

    /// Returns when the process that an event is for resumes; `None` if it is not paused.
    fn resumes_at(&self, event: &Event) -> Option<Micros> {
        let (controller, is_request) = match event {
            Event::Input(controller, ..) => (*controller, false),
            Event::Request(request) | Event::OrdersCopy(request) => (request.controller, true),
            _ => return None,
        };
        let resumes = self.controllers[controller].paused_until;
        // A resumed process may read its waiting inputs in any order; requests first is the worst case.
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
            Event::OrdersCopy(request) => return self.deliver_orders_copy(request),
            Event::ResponseCopy(machine, heartbeat, controller, body) => {
                return self.deliver_response_copy(&machine, heartbeat, controller, &body)
            }
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
                return done.map_err(|error| error.at_line(directive.line_number));
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

    /// Checks, when a heartbeat with this sequence number arrives, that the agent has sent a newer list of
    /// its tasks since, as the answer to a direct command.
    fn check_overtaken(&mut self, name: &str, sequence: u64) -> StepResult {
        let overtaken = self.machine_mut(name)?.sequence > sequence;
        match overtaken {
            true => Ok(()),
            false => Err(ScenarioError::unmet(format!(
                "no newer answer of the agent overtook the delayed heartbeat of {name}"
            ))),
        }
    }
}
