//! Connections that this process opens: calls out, responses in.

use crate::connection::Role;
use crate::event_loop::{EventLoop, PendingCall};
use crate::http::{parse_response, write_request, Parsed, Response, CBOR, MESSAGE_PACK};
use grebewood_core::{Call, Input, Micros, Outcome, Target, SECOND};
use log::{debug, warn};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Micros = 20 * SECOND;
/// The same for one to an agent: with a thousand machines, commands to each would hold as many sockets.
const AGENT_IDLE_TIMEOUT: Micros = 2 * SECOND;
/// A connection lives this much longer than the call that it carries.
const CONNECTION_GRACE: Micros = SECOND;

/// Most connections to the key-value store, and the share of all sockets that they may take.
const MAX_STORE_CONNECTIONS: usize = 48;
const STORE_SOCKET_SHARE: usize = 8;
/// Connections to the key-value store that there may always be.
const MIN_STORE_CONNECTIONS: usize = 4;
/// Most connections to the cloud's API.
const MAX_CLOUD_CONNECTIONS: usize = 6;
/// Most connections to each other address.
const MAX_OTHER_CONNECTIONS: usize = 3;
/// Sockets that are kept for listening, logs and the event queue.
const RESERVED_SOCKETS: usize = 8;

impl EventLoop {
    /// Most connections to one address.
    fn connection_limit(&self, address: SocketAddr) -> usize {
        if address == self.endpoints.store {
            MAX_STORE_CONNECTIONS
                .min(self.endpoints.socket_limit / STORE_SOCKET_SHARE)
                .max(MIN_STORE_CONNECTIONS)
        } else if address == self.endpoints.cloud {
            MAX_CLOUD_CONNECTIONS
        } else {
            MAX_OTHER_CONNECTIONS
        }
    }

    fn address(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Store => Some(self.endpoints.store),
            Target::Cloud => Some(self.endpoints.cloud),
            Target::Agent(address) => address.parse().ok(),
            Target::Peer(index) => self.endpoints.peers.get(*index).copied(),
        }
    }

    /// Queues a call, and sends it as soon as there is a connection.
    pub(crate) fn start_call(&mut self, call: Call) {
        let Some(address) = self.address(&call.target) else {
            self.inputs.push_back(Input::Reply {
                call: call.id,
                outcome: Outcome::NotSent,
            });
            return;
        };
        let call_id = call.id;
        let deadline = self.now.steady + call.timeout;
        self.call_deadlines.insert((deadline, call_id));
        let pending = PendingCall {
            call,
            address,
            connection: None,
            deadline,
            retried: false,
        };
        self.pending_calls.insert(call_id, pending);
        self.queued_calls
            .entry(address)
            .or_default()
            .push_back(call_id);
        self.run_queue(address);
    }

    /// Sends queued calls as far as there are connections.
    pub(crate) fn run_queue(&mut self, address: SocketAddr) {
        while let Some(call_id) = self.first_queued_call(address) {
            if !self.pending_calls.contains_key(&call_id) {
                self.dequeue_call(address);
                continue;
            }
            let idle = self.idle_connections.get_mut(&address).and_then(Vec::pop);
            if idle.is_none() && self.is_at_connection_limit(address) {
                return;
            }
            let key = idle.or_else(|| self.connect(address));
            self.dequeue_call(address);
            match key {
                Some(key) => self.send(key, call_id),
                None => self.finish_call(call_id, Outcome::NotSent),
            }
        }
    }

    fn first_queued_call(&self, address: SocketAddr) -> Option<u64> {
        self.queued_calls.get(&address)?.front().copied()
    }

    fn dequeue_call(&mut self, address: SocketAddr) {
        if let Some(queue) = self.queued_calls.get_mut(&address) {
            queue.pop_front();
        }
    }

    fn is_at_connection_limit(&self, address: SocketAddr) -> bool {
        let open = self.open_connections.get(&address).copied().unwrap_or(0);
        open >= self.connection_limit(address)
    }

    /// Closes an idle connection that this process opened, to make room for another.
    fn close_idle_client(&mut self) -> bool {
        let mut idle = self.idle_connections.values();
        let key = idle.find_map(|keys| keys.first().copied());
        if let Some(key) = key {
            self.close(key);
        }
        key.is_some()
    }

    fn connect(&mut self, address: SocketAddr) -> Option<usize> {
        let limit = self.endpoints.socket_limit.saturating_sub(RESERVED_SOCKETS);
        if self.connections.len() >= limit && !self.close_idle_client() {
            debug!(address:% = address; "no socket left for a connection");
            return None;
        }
        let stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                debug!(address:% = address, error:% = error; "cannot connect");
                return None;
            }
        };
        let role = Role::Client {
            address,
            call: None,
            connected: false,
            reused: false,
        };
        let key = self.add_connection(stream, role, self.now.steady + IDLE_TIMEOUT)?;
        *self.open_connections.entry(address).or_insert(0) += 1;
        Some(key)
    }

    /// Removes a connection that is closed from what is known of its address.
    pub(crate) fn forget_client_connection(&mut self, address: SocketAddr, key: usize) {
        if let Some(open) = self.open_connections.get_mut(&address) {
            *open = open.saturating_sub(1);
        }
        if let Some(idle) = self.idle_connections.get_mut(&address) {
            idle.retain(|idle_key| *idle_key != key);
            if idle.is_empty() {
                self.idle_connections.remove(&address);
            }
        }
    }

    /// Sends a call on a connection.
    fn send(&mut self, key: usize, call_id: u64) {
        let Some(pending) = self.pending_calls.get_mut(&call_id) else {
            return;
        };
        pending.connection = Some(key);
        let content_type = match pending.call.target {
            Target::Peer(_) => MESSAGE_PACK,
            _ => CBOR,
        };
        let request = write_request(
            pending.call.method,
            &pending.call.path,
            &pending.address.to_string(),
            content_type,
            &pending.call.body,
        );
        let deadline = pending.deadline + CONNECTION_GRACE;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.output = request;
            connection.written = 0;
            connection.input = Vec::new();
            if let Role::Client { call, .. } = &mut connection.role {
                *call = Some(call_id);
            }
        }
        self.set_deadline(key, deadline);
        self.on_writable(key);
    }

    /// Processes what has arrived on a connection; `ended`: nothing more will.
    pub(crate) fn on_client_data(&mut self, key: usize, ended: bool) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Role::Client { address, call, .. } = connection.role else {
            return;
        };
        let Some(call_id) = call else {
            // Closed by the other side, or bytes that no call has asked for.
            if ended || !connection.input.is_empty() {
                self.close(key);
            }
            return;
        };
        if ended && connection.input.is_empty() {
            return self.close(key);
        }
        match parse_response(&connection.input, ended) {
            Parsed::Partial => {}
            Parsed::Bad(_, reason) => {
                warn!(address:% = address, error = reason; "invalid response");
                self.close(key);
            }
            Parsed::TooLarge => {
                warn!(address:% = address; "response too large");
                self.detach_call(key);
                self.close(key);
                self.finish_call(call_id, Outcome::TooLarge);
            }
            Parsed::Whole(response, used) => {
                let surplus = used < connection.input.len();
                let keep_open = !response.close && !surplus && !ended;
                self.on_response(key, call_id, response, keep_open);
                self.run_queue(address);
            }
        }
    }

    /// Hands a response to the controller and keeps the connection for further calls, if it may be.
    fn on_response(&mut self, key: usize, call_id: u64, response: Response, keep_open: bool) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.input = Vec::new();
            if let Role::Client { reused, .. } = &mut connection.role {
                *reused = true;
            }
        }
        self.detach_call(key);
        if keep_open {
            self.keep_idle(key, call_id);
        } else {
            self.close(key);
        }
        let outcome = Outcome::Answer {
            status: response.status,
            body: response.body,
        };
        self.finish_call(call_id, outcome);
    }

    fn keep_idle(&mut self, key: usize, call_id: u64) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Role::Client { address, .. } = connection.role else {
            return;
        };
        let pending = self.pending_calls.get(&call_id);
        let to_agent = pending.is_some_and(|p| matches!(p.call.target, Target::Agent(_)));
        let timeout = if to_agent {
            AGENT_IDLE_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        self.idle_connections.entry(address).or_default().push(key);
        self.set_deadline(key, self.now.steady + timeout);
    }

    /// Separates a connection from the call that it carries, whose end is handled elsewhere.
    pub(crate) fn detach_call(&mut self, key: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            if let Role::Client { call, .. } = &mut connection.role {
                *call = None;
            }
        }
    }

    /// Tells the controller how a call ended.
    pub(crate) fn finish_call(&mut self, call_id: u64, outcome: Outcome) {
        if let Some(pending) = self.pending_calls.remove(&call_id) {
            self.call_deadlines.remove(&(pending.deadline, call_id));
            self.inputs.push_back(Input::Reply {
                call: call_id,
                outcome,
            });
        }
    }

    /// The connection of a call has ended without a response.
    pub(crate) fn on_call_broken(&mut self, call_id: u64, connected: bool, reused: bool) {
        let Some(pending) = self.pending_calls.get_mut(&call_id) else {
            return;
        };
        if !connected {
            return self.finish_call(call_id, Outcome::NotSent);
        }
        // The other side may have closed an idle connection just when it was used again. Reads are retried on
        // a new one; whether to repeat a write is up to the controller.
        if reused && !pending.retried && pending.call.method == "GET" {
            pending.retried = true;
            pending.connection = None;
            let address = pending.address;
            let queue = self.queued_calls.entry(address).or_default();
            queue.push_front(call_id);
            return;
        }
        self.finish_call(call_id, Outcome::Unknown);
    }
}
