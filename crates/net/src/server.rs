//! Connections that others open: requests in, responses out.

use crate::connection::{Connection, Role, IDLE_TIMEOUT, WRITE_TIMEOUT};
use crate::event_loop::EventLoop;
use crate::http::{
    self, parse_request, write_response, Parsed, Request, ResponseHead, CBOR, MESSAGE_PACK, TEXT,
};
use grebewood_core::{Input, Interface, Micros, SECOND};
use log::debug;
use mio::net::{TcpListener, TcpStream};
use std::io;

/// A requester must complete a request in this time.
const REQUEST_TIMEOUT: Micros = 10 * SECOND;
/// Agents are too many to keep their connections when so many tenths of the connections that others may have
/// are theirs.
const CROWDED_TENTHS: usize = 7;
/// Connections that others may have even if the process has very few sockets.
const MIN_SERVER_CONNECTIONS: usize = 8;
/// Connections of peers beyond the limit of all others, so that users cannot shut them out.
const EXTRA_PEER_CONNECTIONS: usize = 16;
/// Path of the requests by which agents are recognized.
const HEARTBEAT_PATH: &str = "/checkin";

/// Who opened a connection at the front interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    User,
    Agent,
}

/// Largest body of a request at this interface, in bytes.
pub(crate) fn request_limit(interface: Interface) -> usize {
    match interface {
        Interface::Front => http::REQUEST_LIMIT,
        Interface::Peer => http::PEER_REQUEST_LIMIT,
    }
}

impl EventLoop {
    /// Most connections that others may have to this process: the rest is kept for calls to the key-value
    /// store, the cloud, agents and peers.
    fn server_connection_limit(&self, interface: Interface) -> usize {
        let limit = (self.endpoints.socket_limit * 3 / 4).max(MIN_SERVER_CONNECTIONS);
        match interface {
            Interface::Front => limit,
            Interface::Peer => limit + EXTRA_PEER_CONNECTIONS,
        }
    }

    /// Accepts all connections that wait.
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
        if self.server_connections >= limit && !self.close_idle_server() {
            debug!("connection refused: there are too many");
            return;
        }
        let role = Role::Server {
            interface,
            request: None,
            close: false,
            agent: false,
        };
        let deadline = self.now.steady + REQUEST_TIMEOUT;
        if let Some(key) = self.add_connection(stream, role, deadline) {
            self.server_connections += 1;
            self.on_readable(key);
        }
    }

    /// Whether agents are so many that their connections do not stay open between two heartbeats. With more
    /// machines than sockets the rest was refused for good, and their leases expired. Idle connections of
    /// users do not count: there are always as many as there is room for.
    fn is_crowded(&self) -> bool {
        let limit = self.server_connection_limit(Interface::Front);
        self.agent_connections * 10 >= limit * CROWDED_TENTHS
    }

    /// Closes an idle connection to make room: of a user if there is one, else of an agent, which opens
    /// another one for its next heartbeat.
    fn close_idle_server(&mut self) -> bool {
        let idle = self
            .longest_idle_server(Requester::User)
            .or_else(|| self.longest_idle_server(Requester::Agent));
        if let Some(key) = idle {
            self.close(key);
        }
        idle.is_some()
    }

    /// The connection of such a requester that has been idle for longest.
    fn longest_idle_server(&self, requester: Requester) -> Option<usize> {
        let is_idle = |connection: &Connection| {
            let front = matches!(
                connection.role,
                Role::Server {
                    request: None,
                    interface: Interface::Front,
                    agent,
                    ..
                } if agent == (requester == Requester::Agent)
            );
            front && connection.input.is_empty() && connection.output.is_empty()
        };
        let mut keys = self.deadlines.iter().map(|(_, key)| *key);
        keys.find(|key| self.connections.get(*key).is_some_and(is_idle))
    }

    /// Processes what has arrived on a connection; `ended`: nothing more will.
    pub(crate) fn on_server_data(&mut self, key: usize, ended: bool) {
        if ended {
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
        match parse_request(&connection.input, request_limit(interface)) {
            Parsed::Partial => {
                // The time for a request runs from its first byte on.
                let deadline = self.now.steady + REQUEST_TIMEOUT;
                if connection.deadline > deadline {
                    self.set_deadline(key, deadline);
                }
            }
            Parsed::Bad(status, reason) => self.refuse(key, status, reason),
            Parsed::TooLarge => self.refuse(key, 413, "request too large"),
            Parsed::Whole(_, used) if used < connection.input.len() => {
                self.refuse(key, 400, "pipelined request");
            }
            Parsed::Whole(request, _) => self.on_request(key, request),
        }
    }

    /// Hands a request to the controller.
    fn on_request(&mut self, key: usize, received: Request) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Role::Server {
            interface,
            request,
            close,
            agent,
        } = &mut connection.role
        else {
            return;
        };
        self.last_request_id += 1;
        let id = self.last_request_id;
        connection.input = Vec::new();
        *request = Some(id);
        *close = received.close;
        if received.path == HEARTBEAT_PATH && !*agent {
            *agent = true;
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
        self.set_deadline(key, self.now.steady + IDLE_TIMEOUT);
    }

    /// Answers a request that could not be read and closes the connection.
    pub(crate) fn refuse(&mut self, key: usize, status: u16, reason: &'static str) {
        debug!(status = status, error = reason; "request refused");
        if let Some(connection) = self.connections.get_mut(key) {
            if let Role::Server { close, request, .. } = &mut connection.role {
                *close = true;
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
                close: true,
            };
            write_response(&mut connection.output, &head, reason.as_bytes());
        }
        self.set_deadline(key, self.now.steady + WRITE_TIMEOUT);
        self.on_writable(key);
    }

    /// Answers a request, unless its connection is gone.
    pub(crate) fn answer(&mut self, id: u64, status: u16, body: &[u8], retry_after_s: Option<u32>) {
        let Some(key) = self.requests.remove(&id) else {
            return;
        };
        let crowded = self.is_crowded();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if let Role::Server {
            request,
            close,
            interface,
            agent,
        } = &mut connection.role
        {
            *request = None;
            *close |= *agent && crowded;
            let head = ResponseHead {
                status,
                content_type: match interface {
                    Interface::Front => CBOR,
                    Interface::Peer => MESSAGE_PACK,
                },
                retry_after_s,
                close: *close,
            };
            write_response(&mut connection.output, &head, body);
        }
        self.on_writable(key);
    }
}
