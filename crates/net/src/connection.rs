//! Connections of either direction: registration, deadlines, reading and writing.

use crate::event_loop::{EventLoop, FIRST_CONNECTION_TOKEN};
use crate::http;
use crate::server;
use grebewood_core::{Input, Interface, Micros, SECOND};
use log::warn;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// An idle connection of a user or an agent is closed after this time.
pub(crate) const IDLE_TIMEOUT: Micros = 75 * SECOND;
/// The other side must take a response within this time.
pub(crate) const WRITE_TIMEOUT: Micros = 10 * SECOND;

/// Who opened a connection, and what it carries now.
#[derive(Clone, Copy)]
pub(crate) enum Role {
    /// Opened by somebody else, who sends requests.
    Server {
        interface: Interface,
        /// The request that is being answered.
        request: Option<u64>,
        /// Whether the connection is closed after the response.
        close: bool,
        /// Whether it has carried a heartbeat.
        agent: bool,
    },
    /// Opened by this process, for its calls.
    Client {
        address: SocketAddr,
        /// The call that waits for a response.
        call: Option<u64>,
        connected: bool,
        /// Whether it has carried a call before.
        reused: bool,
    },
}

/// A connection.
pub(crate) struct Connection {
    stream: TcpStream,
    pub(crate) role: Role,
    /// Bytes received that are not a whole message yet.
    pub(crate) input: Vec<u8>,
    /// The message that is being sent, and how much of it was written.
    pub(crate) output: Vec<u8>,
    pub(crate) written: usize,
    /// When the connection is closed unless something happens.
    pub(crate) deadline: Micros,
    /// Whether a write waits for the socket.
    write_blocked: bool,
}

impl Connection {
    /// Whether a requester has sent a part of a request, and nothing is being answered.
    pub(crate) fn has_partial_request(&self) -> bool {
        let awaits_request = matches!(self.role, Role::Server { request: None, .. });
        awaits_request && !self.input.is_empty() && self.output.is_empty()
    }

    /// Largest message that is read from the connection, in bytes.
    fn input_limit(&self) -> usize {
        match self.role {
            Role::Server { interface, .. } => http::HEAD_LIMIT + server::request_limit(interface),
            Role::Client { .. } => http::HEAD_LIMIT + http::RESPONSE_LIMIT,
        }
    }
}

/// What a read has left of a connection.
enum ReadState {
    Open,
    /// The other side will send nothing more.
    Ended,
    /// The connection is closed.
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

    /// Registers a connection and returns its key; `None` if the system refuses.
    pub(crate) fn add_connection(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        deadline: Micros,
    ) -> Option<usize> {
        // Without it the connection is slower, no more.
        let _ = stream.set_nodelay(true);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let token = Token(key + FIRST_CONNECTION_TOKEN);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut stream, token, interest);
        if let Err(error) = registered {
            warn!(error:% = error; "cannot register a connection");
            return None;
        }
        entry.insert(Connection {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline,
            write_blocked: false,
        });
        self.deadlines.insert((deadline, key));
        Some(key)
    }

    /// Closes a connection. A request that it carried is gone, a call that it carried has failed.
    pub(crate) fn close(&mut self, key: usize) {
        let Some(mut connection) = self.connections.try_remove(key) else {
            return;
        };
        self.deadlines.remove(&(connection.deadline, key));
        // The socket is closed in any case.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.role {
            Role::Server { request, agent, .. } => {
                self.server_connections -= 1;
                self.agent_connections -= usize::from(agent);
                if let Some(id) = request {
                    self.requests.remove(&id);
                    self.inputs.push_back(Input::RequestAbandoned { id });
                }
            }
            Role::Client {
                address,
                call,
                connected,
                reused,
            } => {
                self.forget_client_connection(address, key);
                if let Some(call_id) = call {
                    self.on_call_broken(call_id, connected, reused);
                }
                self.run_queue(address);
            }
        }
    }

    /// Reads what has arrived and processes it.
    pub(crate) fn on_readable(&mut self, key: usize) {
        let ended = match self.read_available(key) {
            ReadState::Open => false,
            ReadState::Ended => true,
            ReadState::Closed => return,
        };
        match self.connections.get(key).map(|connection| connection.role) {
            Some(Role::Server { .. }) => self.on_server_data(key, ended),
            Some(Role::Client { .. }) => self.on_client_data(key, ended),
            None => {}
        }
    }

    fn read_available(&mut self, key: usize) -> ReadState {
        while let Some(connection) = self.connections.get_mut(key) {
            match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => return ReadState::Ended,
                Ok(length) => {
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    let limit = connection.input_limit() + self.read_buffer.len();
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

    /// Writes as much of the output as the socket takes.
    pub(crate) fn on_writable(&mut self, key: usize) {
        if !self.check_connected(key) {
            return;
        }
        while let Some(connection) = self.connections.get_mut(key) {
            if connection.written >= connection.output.len() {
                return self.on_output_written(key);
            }
            let rest = &connection.output[connection.written..];
            match connection.stream.write(rest) {
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

    /// Whether the connection is established. One whose attempt has failed is closed.
    fn check_connected(&mut self, key: usize) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let Role::Client { connected, .. } = &mut connection.role else {
            return true;
        };
        if *connected {
            return true;
        }
        let failed = match connection.stream.peer_addr() {
            Ok(_) => {
                *connected = true;
                return true;
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => {
                !matches!(connection.stream.take_error(), Ok(None))
            }
            Err(_) => true,
        };
        if failed {
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
        connection.write_blocked = false;
        match connection.role {
            Role::Server { close: true, .. } => self.close(key),
            Role::Server { .. } => self.set_deadline(key, self.now.steady + IDLE_TIMEOUT),
            Role::Client { .. } => {}
        }
    }

    fn on_write_blocked(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let was_blocked = std::mem::replace(&mut connection.write_blocked, true);
        if !was_blocked && matches!(connection.role, Role::Server { .. }) {
            self.set_deadline(key, self.now.steady + WRITE_TIMEOUT);
        }
    }
}
