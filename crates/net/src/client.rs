//! Outbound connections: sends calls and receives responses.

use crate::connection::Role;
use crate::event_loop::{EventLoop, PendingCall};
use crate::http::{encode_request, parse_response, Parsed, Response, CBOR, MESSAGE_PACK};
use grebewood_core::{Call, Input, Micros, Outcome, Target, SECOND};
use log::{debug, warn};
use mio::net::TcpStream;
use std::net::SocketAddr;

/// Time after which an idle outbound connection is closed, except one to an agent.
const CLIENT_IDLE_TIMEOUT_US: Micros = 20 * SECOND;
/// Time after which an idle connection to an agent is closed. With a longer timeout, commands to a thousand
/// machines would occupy as many sockets.
const AGENT_CLIENT_IDLE_TIMEOUT_US: Micros = 2 * SECOND;
/// Time from the deadline of a call to the deadline of the connection that carries the call.
const CONNECTION_GRACE_US: Micros = SECOND;

/// Maximum number of connections to the key-value store.
const MAX_STORE_CONNECTIONS: usize = 48;
/// Sockets of the process for each connection that the key-value store may have.
const SOCKETS_PER_STORE_CONNECTION: usize = 8;
/// Minimum of the connection limit of the key-value store, for a process with very few sockets.
const MIN_STORE_CONNECTIONS: usize = 4;
/// Maximum number of connections to the cloud's API.
const MAX_CLOUD_CONNECTIONS: usize = 6;
/// Maximum number of connections to each agent or peer.
const MAX_CONNECTIONS_PER_OTHER_ADDRESS: usize = 3;
/// File descriptors that are reserved for listeners, logs and the event queue.
const RESERVED_SOCKETS: usize = 8;

impl EventLoop {
    /// Returns the maximum number of connections to one address.
    fn connection_limit(&self, address: SocketAddr) -> usize {
        if address == self.endpoints.store {
            MAX_STORE_CONNECTIONS
                .min(self.endpoints.socket_limit / SOCKETS_PER_STORE_CONNECTION)
                .max(MIN_STORE_CONNECTIONS)
        } else if address == self.endpoints.cloud {
            MAX_CLOUD_CONNECTIONS
        } else {
            MAX_CONNECTIONS_PER_OTHER_ADDRESS
        }
    }

    /// Returns the address of a call's target, or `None` if the target has no valid address.
    fn target_address(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Store => Some(self.endpoints.store),
            Target::Cloud => Some(self.endpoints.cloud),
            Target::Agent(address) => address.parse().ok(),
            Target::Peer(index) => self.endpoints.peers.get(*index).copied(),
        }
    }

    /// Queues a call, which is sent as soon as a connection is available.
    pub(crate) fn start_call(&mut self, call: Call) {
        let Some(address) = self.target_address(&call.target) else {
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
            is_retry: false,
        };
        self.pending_calls.insert(call_id, pending);
        self.queued_calls
            .entry(address)
            .or_default()
            .push_back(call_id);
        self.send_queued_calls(address);
    }

    /// Sends the queued calls for an address while connections are available.
    pub(crate) fn send_queued_calls(&mut self, address: SocketAddr) {
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
                Some(key) => self.send_call(key, call_id),
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
        let open_count = self.open_connections.get(&address).copied().unwrap_or(0);
        open_count >= self.connection_limit(address)
    }

    /// Closes an idle outbound connection to make room for another, and returns whether there was one.
    fn close_idle_client_connection(&mut self) -> bool {
        let mut idle = self.idle_connections.values();
        let key = idle.find_map(|keys| keys.first().copied());
        if let Some(key) = key {
            self.close(key);
        }
        key.is_some()
    }

    fn connect(&mut self, address: SocketAddr) -> Option<usize> {
        let limit = self.endpoints.socket_limit.saturating_sub(RESERVED_SOCKETS);
        if self.connections.len() >= limit && !self.close_idle_client_connection() {
            debug!(address:% = address; "cannot connect: socket limit reached");
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
            is_connected: false,
            is_reused: false,
        };
        let key = self.add_connection(stream, role, self.now.steady + CLIENT_IDLE_TIMEOUT_US)?;
        *self.open_connections.entry(address).or_insert(0) += 1;
        Some(key)
    }

    /// Removes a closed connection from the connection count and the idle connections of its address.
    pub(crate) fn remove_client_connection(&mut self, address: SocketAddr, key: usize) {
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
    fn send_call(&mut self, key: usize, call_id: u64) {
        let Some(pending) = self.pending_calls.get_mut(&call_id) else {
            return;
        };
        pending.connection = Some(key);
        let content_type = match pending.call.target {
            Target::Peer(_) => MESSAGE_PACK,
            _ => CBOR,
        };
        let request = encode_request(
            pending.call.method,
            &pending.call.path,
            &pending.address.to_string(),
            content_type,
            &pending.call.body,
        );
        let deadline = pending.deadline + CONNECTION_GRACE_US;
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

    /// Processes the bytes that have arrived on an outbound connection. `at_eof`: the other side will send no more
    /// bytes.
    pub(crate) fn on_client_data(&mut self, key: usize, at_eof: bool) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Role::Client { address, call, .. } = connection.role else {
            return;
        };
        let Some(call_id) = call else {
            // The other side has closed the idle connection, or has sent bytes without a request.
            if at_eof || !connection.input.is_empty() {
                self.close(key);
            }
            return;
        };
        if at_eof && connection.input.is_empty() {
            return self.close(key);
        }
        match parse_response(&connection.input, at_eof) {
            Parsed::Partial => {}
            Parsed::Invalid(_, reason) => {
                warn!(address:% = address, error = reason; "invalid HTTP response");
                self.close(key);
            }
            Parsed::TooLarge => {
                warn!(address:% = address; "HTTP response too large");
                self.detach_call(key);
                self.close(key);
                self.finish_call(call_id, Outcome::TooLarge);
            }
            Parsed::Complete(response, message_length) => {
                let has_surplus = message_length < connection.input.len();
                let is_reusable = !response.closes_connection && !has_surplus && !at_eof;
                self.on_response(key, call_id, response, is_reusable);
                self.send_queued_calls(address);
            }
        }
    }

    /// Passes a response to the controller. Keeps the connection for further calls if it is reusable.
    fn on_response(&mut self, key: usize, call_id: u64, response: Response, is_reusable: bool) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.input = Vec::new();
            if let Role::Client { is_reused, .. } = &mut connection.role {
                *is_reused = true;
            }
        }
        self.detach_call(key);
        if is_reusable {
            self.add_idle_connection(key, call_id);
        } else {
            self.close(key);
        }
        let outcome = Outcome::Answer {
            status: response.status,
            body: response.body,
        };
        self.finish_call(call_id, outcome);
    }

    /// Makes a connection available for further calls to its address, until the idle timeout.
    fn add_idle_connection(&mut self, key: usize, call_id: u64) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Role::Client { address, .. } = connection.role else {
            return;
        };
        let pending = self.pending_calls.get(&call_id);
        let to_agent = pending.is_some_and(|p| matches!(p.call.target, Target::Agent(_)));
        let timeout = if to_agent {
            AGENT_CLIENT_IDLE_TIMEOUT_US
        } else {
            CLIENT_IDLE_TIMEOUT_US
        };
        self.idle_connections.entry(address).or_default().push(key);
        self.set_deadline(key, self.now.steady + timeout);
    }

    /// Separates a connection from its call, so that closing the connection does not affect the call.
    pub(crate) fn detach_call(&mut self, key: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            if let Role::Client { call, .. } = &mut connection.role {
                *call = None;
            }
        }
    }

    /// Removes a pending call and reports its outcome to the controller.
    pub(crate) fn finish_call(&mut self, call_id: u64, outcome: Outcome) {
        if let Some(pending) = self.pending_calls.remove(&call_id) {
            self.call_deadlines.remove(&(pending.deadline, call_id));
            self.inputs.push_back(Input::Reply {
                call: call_id,
                outcome,
            });
        }
    }

    /// Retries or ends a call whose connection was closed before a response arrived.
    pub(crate) fn on_call_connection_closed(
        &mut self,
        call_id: u64,
        is_connected: bool,
        is_reused: bool,
    ) {
        let Some(pending) = self.pending_calls.get_mut(&call_id) else {
            return;
        };
        if !is_connected {
            return self.finish_call(call_id, Outcome::NotSent);
        }
        // The other side may have closed an idle connection at the moment of its reuse. A read is retried on a new
        // connection; whether to repeat a write is up to the controller.
        if is_reused && !pending.is_retry && pending.call.method == "GET" {
            pending.is_retry = true;
            pending.connection = None;
            let address = pending.address;
            let queue = self.queued_calls.entry(address).or_default();
            queue.push_front(call_id);
            return;
        }
        self.finish_call(call_id, Outcome::Unknown);
    }
}
