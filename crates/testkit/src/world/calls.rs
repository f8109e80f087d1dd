//! The calls of controllers: to the key-value store, the cloud, agents and each other.

use super::events::{Caller, Event, Request, Requester};
use super::network::{Link, CALL_LATENCY, CLOUD_LATENCY, PEER_LATENCY};
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

/// For how long a controller is down that crashes as it writes a page of assignments.
const CRASH_ON_WRITE: Micros = 4_000 * MILLISECOND;

/// Who waits for what.
#[derive(Default)]
pub(super) struct PendingCalls {
    /// Requests that controllers have yet to answer, by controller and number.
    pub(super) requests: BTreeMap<(usize, u64), Requester>,
    /// The number of the last request.
    pub(super) next_request: u64,
    /// Calls of controllers that have neither an answer nor timed out.
    pub(super) open: BTreeSet<Caller>,
    /// Watches of the key-value store, by ticket.
    pub(super) watches: BTreeMap<u64, Caller>,
}

impl World {
    /// Sends a call on its way, and its timeout.
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
        self.push(self.now + call.timeout, timeout);
        self.send_call(caller, call);
    }

    /// Sends a call on its way, if there is one.
    pub(super) fn send_call(&mut self, caller: Caller, call: Call) {
        match call.target.clone() {
            Target::Store => self.send_to_store(caller, call),
            Target::Cloud => {
                if let Some(at) = self.arrival(caller.controller, Link::Cloud, CLOUD_LATENCY) {
                    let event = Event::CloudCall(caller, call.method, call.path, call.body);
                    self.push(at, event);
                }
            }
            Target::Agent(address) => {
                if let Some(at) = self.arrival(caller.controller, Link::Agents, CALL_LATENCY) {
                    self.push(at, Event::DirectCommand(caller, address, call.body));
                }
            }
            Target::Peer(place) => self.send_to_peer(caller, place, call),
        }
    }

    fn send_to_store(&mut self, caller: Caller, call: Call) {
        let controller = caller.controller;
        let Some(at) = self.arrival(controller, Link::Store, CALL_LATENCY) else {
            return;
        };
        let is_transaction = call.path == "/txn";
        if is_transaction && self.lose_transaction(controller, at, &call) {
            return;
        }
        let crashes = is_transaction && self.crashes_on_page_write(controller, &call.body);
        let event = Event::StoreCall(caller, call.method, call.path, call.body);
        self.push(at, event);
        if crashes {
            // The write happens, and its writer dies before it learns of it.
            let crash = Event::Crash(controller, CRASH_ON_WRITE);
            self.push(at + MILLISECOND, crash);
        }
    }

    /// Whether this is the write of a page of assignments on which the leader is to crash.
    fn crashes_on_page_write(&mut self, controller: usize, body: &[u8]) -> bool {
        let awaited = self.faults.crash_on_page_write && self.leads(controller);
        let crashes = awaited && String::from_utf8_lossy(body).contains("page/");
        if crashes {
            self.faults.crash_on_page_write = false;
        }
        crashes
    }

    fn send_to_peer(&mut self, caller: Caller, place: usize, call: Call) {
        let from = caller.controller;
        let mut others = (0..self.controllers.len()).filter(|other| *other != from);
        let Some(to) = others.nth(place) else { return };
        // Orders go to members that hold a partition. One that has come back with the version
        // before meanwhile refuses them, as it does every message that it does not know.
        let orders = matches!(from_peer(&call.body), Ok(PeerRequest::Partition(_)));
        let previous_version = &self.configuration.previous_version;
        if orders && previous_version.contains(&to) {
            return self.reply(caller, Link::Peers, CALL_LATENCY, 400, Vec::new());
        }
        let between_versions = previous_version.contains(&from) || previous_version.contains(&to);
        if !orders {
            self.check_peer_request(&call.body);
        }
        let mut body = call.body;
        if between_versions {
            // The version before writes and reads what it knows, and nothing else.
            body = production::known_part_of_peer_request(&body).unwrap_or(body);
        }
        let leaves = self.arrival(from, Link::Peers, PEER_LATENCY);
        let reaches = self.arrival(to, Link::Peers, PEER_LATENCY);
        if let (Some(leaves), Some(reaches)) = (leaves, reaches) {
            let request = Request {
                controller: to,
                interface: Interface::Peer,
                method: call.method.into(),
                path: call.path,
                body,
                requester: Requester::Peer(caller),
            };
            self.push(leaves.max(reaches), Event::Request(request));
        }
    }

    /// A message between controllers must be one that the version in production reads.
    fn check_peer_request(&mut self, body: &[u8]) {
        if let Err(reason) = production::check_peer_request(body) {
            self.note_violation(format!(
                "the version in production cannot read a peer message: {reason}"
            ));
        }
    }

    /// Keeps a breach of the protocol, which ends the scenario after this event; the first one counts.
    pub(super) fn note_violation(&mut self, detail: String) {
        let violation = ScenarioError::Protocol(detail);
        self.violation.get_or_insert(violation);
    }

    /// Sends the response to a call back over this link.
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
            self.push(at, Event::Input(caller.controller, caller.process, input));
        }
    }

    /// A call reaches the key-value store.
    pub(super) fn handle_store_call(
        &mut self,
        caller: Caller,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        if self.now < self.network.refused_until(caller.controller) {
            if !path.starts_with("/changes") {
                self.reply(caller, Link::Store, CALL_LATENCY, 503, Vec::new());
            }
            return;
        }
        let transaction = from_cbor::<Transaction>(body).ok();
        if let Some(transaction) = &transaction {
            self.check_records(transaction);
        }
        let ticket = self.next_number();
        let reply = self
            .store
            .handle_request(self.now, ticket, method, path, body);
        let done = matches!(reply, Reply::Now(200, _));
        if done && transaction.as_ref().is_some_and(puts_leader) {
            self.on_leader_grant();
        }
        if let Some(measures) = &mut self.measures {
            let operations = transaction.map_or(0, |transaction| transaction.apply.len() as u64);
            measures.record_store_request(if done { operations } else { 0 });
        }
        match reply {
            Reply::Now(status, body) => {
                self.count_late_transaction(caller, path, status);
                self.reply(caller, Link::Store, CALL_LATENCY, status, body);
            }
            Reply::Later => {
                self.calls.watches.insert(ticket, caller);
            }
        }
    }

    /// Every record must be one that the version in production reads.
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

    /// Answers the watches of the key-value store that have something to tell, or time out.
    pub(super) fn answer_watches(&mut self) {
        self.store.expire_leases(self.now);
        for (ticket, body) in self.store.take_ready_watches(self.now) {
            let Some(caller) = self.calls.watches.remove(&ticket) else {
                continue;
            };
            // The open watches of a controller that is refused wait, as in an outage.
            let until = self.network.refused_until(caller.controller);
            let wait = until.saturating_sub(self.now);
            self.reply(caller, Link::Store, wait + CALL_LATENCY, 200, body);
        }
    }
}

/// Whether a transaction writes the leader's record.
fn puts_leader(transaction: &Transaction) -> bool {
    let mut operations = transaction.apply.iter();
    operations.any(|operation| matches!(operation, Operation::Put { put, .. } if put == "leader"))
}
