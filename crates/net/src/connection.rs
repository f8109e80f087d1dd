//! Inbound and outbound connections: registration, deadlines, reading and writing.

use crate::event_loop::{EventLoop, FIRST_CONNECTION_TOKEN};
use crate::http;
use crate::server;
use grebewood_core::{Input, Interface, Micros, SECOND};
use log::warn;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// Time after which an inbound connection is closed if it is idle or its request is still unanswered.
pub(crate) const SERVER_IDLE_TIMEOUT_US: Micros = 75 * SECOND;
/// Time after which an inbound connection is closed if the other side does not accept the response.
pub(crate) const WRITE_TIMEOUT_US: Micros = 10 * SECOND;

/// Which side opened a connection, and what the connection carries.
#[derive(Clone, Copy)]
pub(crate) enum Role {
    /// Inbound: opened by another process, which sends requests.
    Server {
        interface: Interface,
        /// Id of the request that the controller has not answered yet.
        request: Option<u64>,
        /// Whether the connection is closed after the response.
        closes_connection: bool,
        /// Whether the connection has carried a heartbeat.
        is_agent: bool,
    },
    /// Outbound: opened by this process for its calls.
    Client {
        address: SocketAddr,
        /// Id of the call that waits for a response.
        call: Option<u64>,
        /// Whether the connection is established.
        is_connected: bool,
        /// Whether the connection has delivered the response to an earlier call.
        is_reused: bool,
    },
}

/// A connection, its buffers and its deadline.
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) role: Role,
    /// Received bytes that do not form a complete message yet.
    pub(crate) input: Vec<u8>,
    /// Message that is being sent.
    pub(crate) output: Vec<u8>,
    /// Number of bytes of `output` that have been written.
    pub(crate) written: usize,
    /// Time at which the connection is closed unless the deadline is replaced before.
    pub(crate) deadline: Micros,
    /// Whether writing waits until the socket accepts more bytes.
    is_write_blocked: bool,
}

impl Connection {
    /// Returns whether an inbound connection has received a part of a request and has no response to send.
    pub(crate) fn has_partial_request(&self) -> bool {
        let awaits_request = matches!(self.role, Role::Server { request: None, .. });
        awaits_request && !self.input.is_empty() && self.output.is_empty()
    }

    /// Returns the maximum size of a message that is read from the connection.
    fn max_message_bytes(&self) -> usize {
        match self.role {
            Role::Server { interface, .. } => {
                http::HEAD_LIMIT_BYTES + server::request_body_limit(interface)
            }
            Role::Client { .. } => http::HEAD_LIMIT_BYTES + http::RESPONSE_LIMIT_BYTES,
        }
    }
}

/// State of a connection after a read.
enum ReadState {
    Open,
    /// The other side will send no more bytes.
    Eof,
    /// This process has closed the connection.
    Closed,
}

impl EventLoop {
    pub(crate) fn set_deadline(&mut self, key: usize, deadline: Micros) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.deadlines.remove(&(connection.deadline, key));
            connection.deadline = deadline;
            self.deadlines.insert((deadline, key));
        }
    }

    /// Registers a connection for polling and returns its key, or `None` if the registration fails.
    pub(crate) fn add_connection(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        deadline: Micros,
    ) -> Option<usize> {
        // Without `TCP_NODELAY` the connection only has a higher latency, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let token = Token(key + FIRST_CONNECTION_TOKEN);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut stream, token, interest);
        if let Err(error) = registered {
            warn!(error:% = error; "cannot register a connection for polling");
            return None;
        }
        entry.insert(Connection {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline,
            is_write_blocked: false,
        });
        self.deadlines.insert((deadline, key));
        Some(key)
    }

    /// Closes a connection. Reports its unanswered request to the controller as abandoned, and retries or ends its
    /// call.
    pub(crate) fn close(&mut self, key: usize) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        self.deadlines.remove(&(connection.deadline, key));
        // Dropping the stream closes the socket even if this fails.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.role {
            Role::Server {
                request, is_agent, ..
            } => {
                self.server_connections -= 1;
                self.agent_connections -= usize::from(is_agent);
                if let Some(id) = request {
                    self.requests.remove(&id);
                    self.inputs.push_back(Input::RequestAbandoned { id });
                }
            }
            Role::Client {
                address,
                call,
                is_connected,
                is_reused,
            } => {
                self.remove_client_connection(address, key);
                if let Some(call_id) = call {
                    self.on_call_connection_closed(call_id, is_connected, is_reused);
                }
                self.send_queued_calls(address);
            }
        }
    }

    /// Reads and processes the bytes that have arrived on a connection.
    pub(crate) fn on_readable(&mut self, key: usize) {
        let at_eof = match self.read_available(key) {
            ReadState::Open => false,
            ReadState::Eof => true,
            ReadState::Closed => return,
        };
        match self.connections.get(key).map(|connection| connection.role) {
            Some(Role::Server { .. }) => self.on_server_data(key, at_eof),
            Some(Role::Client { .. }) => self.on_client_data(key, at_eof),
            None => {}
        }
    }

    /// Reads until the socket has no more bytes. Closes the connection on an error or if its input is too large.
    fn read_available(&mut self, key: usize) -> ReadState {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return ReadState::Eof,
                Ok(length) => {
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    let limit = connection.max_message_bytes() + self.read_buffer.len();
                    if connection.input.len() > limit {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return ReadState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.close(key);
        ReadState::Closed
    }

    /// Writes as much of the output as the socket accepts.
    pub(crate) fn on_writable(&mut self, key: usize) {
        if !self.check_connected(key) {
            return;
        }
        while let Some(connection) = self.connections.get_mut(key) {
            if connection.written >= connection.output.len() {
                return self.on_output_written(key);
            }
            let unwritten = &connection.output[connection.written..];
            match connection.stream.write(unwritten) {
                Ok(0) => return self.close(key),
                Ok(length) => connection.written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.on_write_blocked(key);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    /// Returns whether a connection is established. Closes the connection if the attempt to connect has failed.
    fn check_connected(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let Role::Client { is_connected, .. } = &mut connection.role else {
            return true;
        };
        if *is_connected {
            return true;
        }
        let has_failed = match connection.stream.peer_addr() {
            Ok(_) => {
                *is_connected = true;
                return true;
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => {
                !matches!(connection.stream.take_error(), Ok(None))
            }
            Err(_) => true,
        };
        if has_failed {
            self.close(key);
        }
        false
    }

    fn on_output_written(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.output.is_empty() {
            return;
        }
        connection.output = Vec::new();
        connection.written = 0;
        connection.is_write_blocked = false;
        match connection.role {
            Role::Server {
                closes_connection: true,
                ..
            } => self.close(key),
            Role::Server { .. } => self.set_deadline(key, self.now.steady + SERVER_IDLE_TIMEOUT_US),
            Role::Client { .. } => {}
        }
    }

    fn on_write_blocked(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let was_blocked = std::mem::replace(&mut connection.is_write_blocked, true);
        if !was_blocked && matches!(connection.role, Role::Server { .. }) {
            self.set_deadline(key, self.now.steady + WRITE_TIMEOUT_US);
        }
    }
}
