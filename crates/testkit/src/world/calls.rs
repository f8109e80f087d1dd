//! Calls of controllers to the key-value store, the cloud, agents and each other.

use super::events::{Caller, Event, Request, Requester};
use super::network::{Link, CALL_LATENCY_US, CLOUD_LATENCY_US, PEER_LATENCY_US};
use super::World;
use crate::error::ScenarioError;
use crate::production;
use crate::state::Reply;
use crate::time::{Micros, MILLISECOND};
use grebewood_core::{Call, Input, Interface, Outcome, Target};
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::peer::PeerRequest;
use grebewood_wire::{from_cbor, from_peer};
use std::collections::{BTreeMap, BTreeSet};

/// Downtime of a controller that crashes as it writes a page of assignments.
const CRASH_ON_WRITE_DOWNTIME_US: Micros = 4_000 * MILLISECOND;

/// Requests and calls that wait for responses.
#[derive(Default)]
pub(super) struct PendingCalls {
    /// Requesters of the requests that controllers have not answered yet, by controller and number of the request.
    pub(super) requests: BTreeMap<(usize, u64), Requester>,
    /// Number of the last request.
    pub(super) next_request: u64,
    /// Calls of controllers that are neither answered nor timed out.
    pub(super) open: BTreeSet<Caller>,
    /// Callers whose watches of the key-value store are pending, by watch id.
    pub(super) watch_callers: BTreeMap<u64, Caller>,
}

impl World {
    /// Sends a call, and schedules its timeout.
    pub(super) fn make_call(&mut self, controller: usize, process: u64, call: Call) {
        let caller = Caller {
            controller,
            process,
            call: call.id,
        };
        self.calls.open.insert(caller);
        let timed_out = Input::Reply {
            call: call.id,
            outcome: Outcome::Unknown,
        };
        let timeout = Event::Input(controller, process, timed_out);
        self.schedule_event(self.now + call.timeout, timeout);
        self.send_call(caller, call);
    }

    /// Sends a call to its target, unless the link is cut.
    pub(super) fn send_call(&mut self, caller: Caller, call: Call) {
        match call.target.clone() {
            Target::Store => self.send_to_store(caller, call),
            Target::Cloud => {
                if let Some(at) = self.arrival(caller.controller, Link::Cloud, CLOUD_LATENCY_US) {
                    let event = Event::CloudCall(caller, call.method, call.path, call.body);
                    self.schedule_event(at, event);
                }
            }
            Target::Agent(address) => {
                if let Some(at) = self.arrival(caller.controller, Link::Agents, CALL_LATENCY_US) {
                    self.schedule_event(at, Event::DirectCommand(caller, address, call.body));
                }
            }
            Target::Peer(place) => self.send_to_peer(caller, place, call),
        }
    }

    fn send_to_store(&mut self, caller: Caller, call: Call) {
        let controller = caller.controller;
        let Some(at) = self.arrival(controller, Link::Store, CALL_LATENCY_US) else {
            return;
        };
        if self.lose_store_call(caller, at, &call) {
            return;
        }
        let is_transaction = call.path == "/txn";
        let crashes = is_transaction && self.crashes_on_page_write(controller, &call.body);
        let event = Event::StoreCall(caller, call.method, call.path, call.body);
        self.schedule_event(at, event);
        if crashes {
            // The write is applied, and the controller crashes before it receives the response.
            let crash = Event::Crash(controller, CRASH_ON_WRITE_DOWNTIME_US);
            self.schedule_event(at + MILLISECOND, crash);
        }
    }

    /// Returns whether the leader crashes on this write, because the fault is armed and the write contains a
    /// page of assignments.
    fn crashes_on_page_write(&mut self, controller: usize, body: &[u8]) -> bool {
        let is_armed = self.faults.crash_on_page_write && self.leads(controller);
        let crashes = is_armed && String::from_utf8_lossy(body).contains("page/");
        if crashes {
            self.faults.crash_on_page_write = false;
        }
        crashes
    }

    fn send_to_peer(&mut self, caller: Caller, place: usize, call: Call) {
        let from = caller.controller;
        let mut others = (0..self.controllers.len()).filter(|other| *other != from);
        let Some(to) = others.nth(place) else { return };
        // Orders go to members that hold a partition. Such a member may have restarted with the previous
        // version in the meantime, which refuses them like every message that it does not know.
        let is_orders = matches!(from_peer(&call.body), Ok(PeerRequest::Partition(_)));
        let previous_version = &self.configuration.previous_version;
        if is_orders && previous_version.contains(&to) {
            return self.reply(caller, Link::Peers, CALL_LATENCY_US, 400, Vec::new());
        }
        let involves_previous_version =
            previous_version.contains(&from) || previous_version.contains(&to);
        if !is_orders {
            self.check_peer_request(&call.body);
        }
        let mut body = call.body;
        if involves_previous_version {
            // The previous version writes and reads only the fields that it knows.
            body = production::known_part_of_peer_request(&body).unwrap_or(body);
        }
        let leaves = self.arrival(from, Link::Peers, PEER_LATENCY_US);
        let reaches = self.arrival(to, Link::Peers, PEER_LATENCY_US);
        if let (Some(leaves), Some(reaches)) = (leaves, reaches) {
            self.copy_orders(from, to, &call.path, &body);
            let request = Request {
                controller: to,
                interface: Interface::Peer,
                method: call.method.into(),
                path: call.path,
                body,
                requester: Requester::Peer(caller),
            };
            self.schedule_event(leaves.max(reaches), Event::Request(request));
        }
    }

    /// Checks that the version in production can read a message between controllers.
    fn check_peer_request(&mut self, body: &[u8]) {
        if let Err(reason) = production::check_peer_request(body) {
            self.note_violation(format!(
                "the version in production cannot read a peer message: {reason}"
            ));
        }
    }

    /// Records a violation of the protocol, which ends the scenario after this event. Only the first one is kept.
    pub(super) fn note_violation(&mut self, detail: String) {
        let violation = ScenarioError::Protocol(detail);
        self.violation.get_or_insert(violation);
    }

    /// Sends the response to a call over this link.
    pub(super) fn reply(
        &mut self,
        caller: Caller,
        link: Link,
        latency: Micros,
        status: u16,
        body: Vec<u8>,
    ) {
        let lag = if link == Link::Store {
            self.store_lag()
        } else {
            0
        };
        if let Some(at) = self.arrival(caller.controller, link, latency + lag) {
            let input = Input::Reply {
                call: caller.call,
                outcome: Outcome::Answer { status, body },
            };
            self.schedule_event(at, Event::Input(caller.controller, caller.process, input));
        }
    }

    /// Handles the arrival of a call at the key-value store.
    pub(super) fn handle_store_call(
        &mut self,
        caller: Caller,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        if self.now < self.network.refused_until(caller.controller) {
            if !path.starts_with("/changes") {
                self.reply(caller, Link::Store, CALL_LATENCY_US, 503, Vec::new());
            }
            return;
        }
        let transaction = from_cbor::<Transaction>(body).ok();
        if let Some(transaction) = &transaction {
            self.check_records(transaction);
        }
        let watch_id = self.next_number();
        let reply = self
            .store
            .handle_request(self.now, watch_id, method, path, body);
        let done = matches!(reply, Reply::Now(200, _));
        if done && transaction.as_ref().is_some_and(writes_leader_record) {
            self.on_leader_elected();
        }
        if let Some(measurements) = &mut self.measurements {
            let operations = transaction.map_or(0, |transaction| transaction.apply.len() as u64);
            measurements.record_store_request(if done { operations } else { 0 });
        }
        match reply {
            Reply::Now(status, body) => {
                self.count_unanswered_transaction(caller, path, status);
                self.reply(caller, Link::Store, CALL_LATENCY_US, status, body);
            }
            Reply::Later => {
                self.calls.watch_callers.insert(watch_id, caller);
            }
        }
    }

    /// Checks that the version in production can read every record that a transaction writes.
    fn check_records(&mut self, transaction: &Transaction) {
        for operation in &transaction.apply {
            let Operation::Put { put, value, .. } = operation else {
                continue;
            };
            if let Err(reason) = production::check_record(put, value) {
                self.note_violation(format!(
                    "the version in production cannot read a record: {reason}"
                ));
            }
        }
    }

    /// Answers the watches of the key-value store that have events or time out.
    pub(super) fn answer_watches(&mut self) {
        self.store.expire_leases(self.now);
        for (watch_id, body) in self.store.take_ready_watches(self.now) {
            let Some(caller) = self.calls.watch_callers.remove(&watch_id) else {
                continue;
            };
            // The open watches of a controller that the store refuses wait, as in an outage.
            let until = self.network.refused_until(caller.controller);
            let wait = until.saturating_sub(self.now);
            self.reply(caller, Link::Store, wait + CALL_LATENCY_US, 200, body);
        }
    }
}

/// Returns whether a transaction writes the `leader` record.
fn writes_leader_record(transaction: &Transaction) -> bool {
    let mut operations = transaction.apply.iter();
    operations.any(|operation| matches!(operation, Operation::Put { put, .. } if put == "leader"))
}
