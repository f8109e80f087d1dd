//! Inbound connections: receives requests and sends responses.

use crate::connection::{Connection, Role, SERVER_IDLE_TIMEOUT_US, WRITE_TIMEOUT_US};
use crate::event_loop::EventLoop;
use crate::http::{
    self, parse_request, write_response, Parsed, Request, ResponseHead, CBOR, MESSAGE_PACK, TEXT,
};
use grebewood_core::{Input, Interface, Micros, SECOND};
use log::debug;
use mio::net::{TcpListener, TcpStream};
use std::io;

/// Time within which a request must arrive completely.
const REQUEST_TIMEOUT_US: Micros = 10 * SECOND;
/// Share of the inbound connection limit, in tenths, from which on the connections of agents are closed after
/// each response.
const AGENT_PRESSURE_TENTHS: usize = 7;
/// Minimum of the inbound connection limit, for a process with very few sockets.
const MIN_SERVER_CONNECTIONS: usize = 8;
/// Inbound connections that are allowed to peers beyond the limit for users and agents, so that users cannot
/// block peers.
const EXTRA_PEER_CONNECTIONS: usize = 16;
/// Path of heartbeats; a connection that carries one is counted as an agent's connection.
const HEARTBEAT_PATH: &str = "/checkin";

/// The kind of client that opened a connection to the front interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    User,
    Agent,
}

/// Returns the maximum size of a request body at this interface, in bytes.
pub(crate) fn request_body_limit(interface: Interface) -> usize {
    match interface {
        Interface::Front => http::REQUEST_LIMIT_BYTES,
        Interface::Peer => http::PEER_REQUEST_LIMIT_BYTES,
    }
}

impl EventLoop {
    /// Returns the maximum number of inbound connections. The other sockets are reserved for calls to the
    /// key-value store, the cloud, agents and peers.
    fn server_connection_limit(&self, interface: Interface) -> usize {
        let limit = (self.endpoints.socket_limit * 3 / 4).max(MIN_SERVER_CONNECTIONS);
        match interface {
            Interface::Front => limit,
            Interface::Peer => limit + EXTRA_PEER_CONNECTIONS,
        }
    }

    /// Accepts all connections that are waiting on a listener.
    pub(crate) fn accept(&mut self, listener: &TcpListener, interface: Interface) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.accept_connection(stream, interface),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    debug!(error:% = error; "cannot accept a connection");
                    return;
                }
            }
        }
    }

    fn accept_connection(&mut self, stream: TcpStream, interface: Interface) {
        let limit = self.server_connection_limit(interface);
        if self.server_connections >= limit && !self.close_idle_server_connection() {
            debug!("connection refused: connection limit reached");
            return;
        }
        let role = Role::Server {
            interface,
            request: None,
            closes_connection: false,
            is_agent: false,
        };
        let deadline = self.now.steady + REQUEST_TIMEOUT_US;
        if let Some(key) = self.add_connection(stream, role, deadline) {
            self.server_connections += 1;
            self.on_readable(key);
        }
    }

    /// Returns whether agents hold so many connections that these are closed after each response instead of
    /// staying open between two heartbeats. Without this, a cluster with more machines than sockets refuses the
    /// agents beyond the limit permanently, and their leases expire. Idle connections of users are not counted,
    /// because they may fill the whole limit at any time.
    fn has_agent_connection_pressure(&self) -> bool {
        let limit = self.server_connection_limit(Interface::Front);
        self.agent_connections * 10 >= limit * AGENT_PRESSURE_TENTHS
    }

    /// Closes an idle inbound connection to make room for another, and returns whether there was one. A user's
    /// connection is closed before an agent's; the agent opens a new connection for its next heartbeat.
    fn close_idle_server_connection(&mut self) -> bool {
        let idle = self
            .longest_idle_server_connection(Requester::User)
            .or_else(|| self.longest_idle_server_connection(Requester::Agent));
        if let Some(key) = idle {
            self.close(key);
        }
        idle.is_some()
    }

    /// Returns the front connection of such a requester that has been idle for longest.
    fn longest_idle_server_connection(&self, requester: Requester) -> Option<usize> {
        let is_idle = |connection: &Connection| {
            let front = matches!(
                connection.role,
                Role::Server {
                    request: None,
                    interface: Interface::Front,
                    is_agent,
                    ..
                } if is_agent == (requester == Requester::Agent)
            );
            front && connection.input.is_empty() && connection.output.is_empty()
        };
        let mut keys = self.deadlines.iter().map(|(_, key)| *key);
        keys.find(|key| self.connections.get(*key).is_some_and(is_idle))
    }

    /// Processes the bytes that have arrived on an inbound connection. `at_eof`: the other side will send no more
    /// bytes.
    pub(crate) fn on_server_data(&mut self, key: usize, at_eof: bool) {
        if at_eof {
            return self.close(key);
        }
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if connection.input.is_empty() {
            return;
        }
        let Role::Server {
            interface, request, ..
        } = connection.role
        else {
            return;
        };
        if request.is_some() {
            return self.refuse(key, 400, "pipelined request");
        }
        match parse_request(&connection.input, request_body_limit(interface)) {
            Parsed::Partial => {
                // The request timeout starts with the first byte of the request.
                let deadline = self.now.steady + REQUEST_TIMEOUT_US;
                if connection.deadline > deadline {
                    self.set_deadline(key, deadline);
                }
            }
            Parsed::Invalid(status, reason) => self.refuse(key, status, reason),
            Parsed::TooLarge => self.refuse(key, 413, "request too large"),
            Parsed::Complete(_, message_length) if message_length < connection.input.len() => {
                self.refuse(key, 400, "pipelined request");
            }
            Parsed::Complete(request, _) => self.on_request(key, request),
        }
    }

    /// Passes a request to the controller.
    fn on_request(&mut self, key: usize, received: Request) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Server {
            interface,
            request,
            closes_connection,
            is_agent,
        } = &mut connection.role
        else {
            return;
        };
        self.last_request_id += 1;
        let id = self.last_request_id;
        connection.input = Vec::new();
        *request = Some(id);
        *closes_connection = received.closes_connection;
        if received.path == HEARTBEAT_PATH && !*is_agent {
            *is_agent = true;
            self.agent_connections += 1;
        }
        let input = Input::Request {
            id,
            interface: *interface,
            method: received.method,
            path: received.path,
            body: received.body,
        };
        self.requests.insert(id, key);
        self.inputs.push_back(input);
        self.set_deadline(key, self.now.steady + SERVER_IDLE_TIMEOUT_US);
    }

    /// Answers an invalid or incomplete request with an error and closes the connection.
    pub(crate) fn refuse(&mut self, key: usize, status: u16, reason: &'static str) {
        debug!(status = status, error = reason; "request refused");
        if let Some(connection) = self.connections.get_mut(key) {
            if let Role::Server {
                closes_connection,
                request,
                ..
            } = &mut connection.role
            {
                *closes_connection = true;
                if let Some(id) = request.take() {
                    self.requests.remove(&id);
                    self.inputs.push_back(Input::RequestAbandoned { id });
                }
            }
            connection.input = Vec::new();
            let head = ResponseHead {
                status,
                content_type: TEXT,
                retry_after_s: None,
                closes_connection: true,
            };
            write_response(&mut connection.output, &head, reason.as_bytes());
        }
        self.set_deadline(key, self.now.steady + WRITE_TIMEOUT_US);
        self.on_writable(key);
    }

    /// Sends the response to a request, unless the connection of the request has been closed.
    pub(crate) fn answer(&mut self, id: u64, status: u16, body: &[u8], retry_after_s: Option<u32>) {
        let Some(key) = self.requests.remove(&id) else {
            return;
        };
        let under_pressure = self.has_agent_connection_pressure();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let Role::Server {
            request,
            closes_connection,
            interface,
            is_agent,
        } = &mut connection.role
        {
            *request = None;
            *closes_connection |= *is_agent && under_pressure;
            let head = ResponseHead {
                status,
                content_type: match interface {
                    Interface::Front => CBOR,
                    Interface::Peer => MESSAGE_PACK,
                },
                retry_after_s,
                closes_connection: *closes_connection,
            };
            write_response(&mut connection.output, &head, body);
        }
        self.on_writable(key);
    }
}
