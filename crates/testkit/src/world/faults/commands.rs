//! Late copies of start commands: the messages by which tasks are started, which were carried out and answered before.

use super::super::events::{Caller, Event, Request, Requester};
use super::super::World;
use super::Delay;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_core::Interface;
use grebewood_wire::http::{Command, DirectCommands, HeartbeatResponse, Verb};
use grebewood_wire::peer::{PartitionOrders, PeerRequest};
use grebewood_wire::{from_cbor, from_peer};

/// Faults by which start commands arrive once more, and the number of copies so far.
#[derive(Default)]
pub(in crate::world) struct CommandCopies {
    delays: Vec<Delay>,
    /// Number of copies of orders to partition holders with tasks to start that reached a process.
    orders: u64,
    /// Number of copies of responses with tasks to launch that reached an agent.
    responses: u64,
    /// Number of copies of direct commands that reached an agent.
    direct_commands: u64,
}

impl CommandCopies {
    /// Returns after which times a message that is sent now arrives once more.
    fn delays_at(&self, now: Micros) -> Vec<Micros> {
        self.delays
            .iter()
            .filter_map(|delay| delay.at(now))
            .collect()
    }
}

/// Returns whether these commands start a task.
pub(in crate::world) fn start_tasks(commands: &[Command]) -> bool {
    commands.iter().any(|command| command.verb == Verb::Launch)
}

/// Returns whether orders start tasks, or delegate tasks that the holder then starts.
fn orders_start_tasks(orders: &PartitionOrders) -> bool {
    let delegates = orders
        .quota
        .as_ref()
        .is_some_and(|quota| !quota.work.is_empty());
    delegates || !orders.launches.is_empty()
}

impl World {
    /// Makes start commands and direct commands arrive once more, so much later.
    pub(super) fn start_command_copies(
        &mut self,
        directive: &Directive,
    ) -> Result<(), ScriptError> {
        let delay = self.delay(directive, 20.0, ("late", 0.5))?;
        self.faults.command_copies.delays.push(delay);
        Ok(())
    }

    /// Checks that at least the given numbers of copies arrived.
    pub(super) fn expect_command_copies(&self, directive: &Directive) -> StepResult {
        let copies = &self.faults.command_copies;
        let counts = [
            ("orders", copies.orders),
            ("responses", copies.responses),
            ("direct", copies.direct_commands),
        ];
        for (kind, got) in counts {
            let least = directive.count(kind, 0)?;
            if got < least {
                let detail = format!("{got} copies of {kind} arrived, not {least}");
                return Err(ScenarioError::unmet(detail));
            }
        }
        Ok(())
    }

    /// Copies orders that start tasks on their way to the holder of a partition.
    pub(in crate::world) fn copy_orders(
        &mut self,
        from: usize,
        to: usize,
        path: &str,
        body: &[u8],
    ) {
        let starts_tasks = match from_peer(body) {
            Ok(PeerRequest::Partition(orders)) => orders_start_tasks(&orders),
            _ => false,
        };
        if !starts_tasks {
            return;
        }
        for late in self.faults.command_copies.delays_at(self.now) {
            let request = Request {
                controller: to,
                interface: Interface::Peer,
                method: "POST".into(),
                path: path.into(),
                body: body.to_vec(),
                requester: Requester::Peer(Caller::nobody(from, 0)),
            };
            self.schedule_event(self.now + late, Event::OrdersCopy(request));
        }
    }

    /// Delivers a late copy of orders, if the controller is up.
    pub(in crate::world) fn deliver_orders_copy(&mut self, request: Request) -> StepResult {
        if self.controllers[request.controller].controller.is_some() {
            self.faults.command_copies.orders += 1;
        }
        self.handle_request(request)
    }

    /// Copies a response to a heartbeat that launches tasks, once the agent has carried it out.
    pub(in crate::world) fn copy_launches(
        &mut self,
        machine: &str,
        heartbeat_id: u64,
        controller: usize,
        body: &[u8],
    ) {
        let response = from_cbor::<HeartbeatResponse>(body);
        if !response.is_ok_and(|response| start_tasks(&response.commands)) {
            return;
        }
        for late in self.faults.command_copies.delays_at(self.now) {
            let event =
                Event::ResponseCopy(machine.into(), heartbeat_id, controller, body.to_vec());
            self.schedule_event(self.now + late, event);
        }
    }

    /// Delivers a late copy of the response to a heartbeat.
    pub(in crate::world) fn deliver_response_copy(
        &mut self,
        machine: &str,
        heartbeat_id: u64,
        controller: usize,
        body: &[u8],
    ) -> StepResult {
        self.faults.command_copies.responses += 1;
        self.handle_heartbeat_response(machine, heartbeat_id, controller, 200, body)
    }

    /// Copies a direct command that an agent has carried out and answered, and checks that it starts no task: the
    /// copy would start it again.
    pub(in crate::world) fn copy_direct_command(
        &mut self,
        caller: Caller,
        address: &str,
        commands: &DirectCommands,
        body: &[u8],
    ) {
        if start_tasks(&commands.commands) {
            self.note_violation("a direct command starts a task".into());
        }
        if caller.process == 0 {
            self.faults.command_copies.direct_commands += 1;
            return;
        }
        for late in self.faults.command_copies.delays_at(self.now) {
            let nobody = Caller::nobody(caller.controller, caller.call);
            let event = Event::DirectCommand(nobody, address.into(), body.to_vec());
            self.schedule_event(self.now + late, event);
        }
    }
}
