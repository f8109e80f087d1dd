//! The event loop: waits for sockets and deadlines, and runs the steps of the controller.

use crate::clock::{Clock, StepStopwatch};
use crate::connection::{Connection, Role};
use crate::Endpoints;
use grebewood_core::{Call, Controller, Effect, Input, Interface, Micros, Now, Outcome, MILLI};
use log::info;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const FRONT_TOKEN: Token = Token(0);
const PEER_TOKEN: Token = Token(1);
/// Poll token of the connection with key 0; the token of any other connection is this plus its key.
pub(crate) const FIRST_CONNECTION_TOKEN: usize = 2;
/// Maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Size of the buffer that sockets are read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Reasons why a controller cannot start serving or cannot continue.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The event queue of the operating system failed.
    #[error("cannot poll for network events")]
    Poll(#[source] io::Error),
    /// The controller cannot listen on an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: io::Error,
    },
}

/// A call of the controller that is queued or in flight.
pub(crate) struct PendingCall {
    pub(crate) call: Call,
    pub(crate) address: SocketAddr,
    /// Key of the connection that carries the call; `None` while the call is queued.
    pub(crate) connection: Option<usize>,
    pub(crate) deadline: Micros,
    /// Whether this is the second attempt of the call, on a new connection.
    pub(crate) is_retry: bool,
}

/// The state of the event loop. Connections are identified by their keys in `connections`, requests and calls
/// by the ids that they have in the controller's inputs and effects.
pub(crate) struct EventLoop {
    pub(crate) poll: Poll,
    clock: Clock,
    pub(crate) now: Now,
    controller: Controller,
    pub(crate) endpoints: Endpoints,
    pub(crate) connections: Slab<Connection>,
    /// Deadlines and keys of all connections.
    pub(crate) deadlines: BTreeSet<(Micros, usize)>,
    /// Number of open inbound connections.
    pub(crate) server_connections: usize,
    /// Number of open inbound connections that have carried a heartbeat.
    pub(crate) agent_connections: usize,
    /// Keys of the connections whose requests the controller has not answered yet, by request id.
    pub(crate) requests: BTreeMap<u64, usize>,
    pub(crate) last_request_id: u64,
    pub(crate) pending_calls: BTreeMap<u64, PendingCall>,
    /// Deadlines and ids of all pending calls.
    pub(crate) call_deadlines: BTreeSet<(Micros, u64)>,
    /// Keys of the idle outbound connections, by address.
    pub(crate) idle_connections: BTreeMap<SocketAddr, Vec<usize>>,
    /// Number of open outbound connections, by address.
    pub(crate) open_connections: BTreeMap<SocketAddr, usize>,
    /// Ids of the calls that wait for a connection, by address.
    pub(crate) queued_calls: BTreeMap<SocketAddr, VecDeque<u64>>,
    /// Inputs that the controller has not processed yet, in order of arrival.
    pub(crate) inputs: VecDeque<Input>,
    pub(crate) read_buffer: Vec<u8>,
}

/// The listening sockets.
struct Listeners {
    front: TcpListener,
    peer: TcpListener,
}

/// Serves until the process is killed. Returns only if listening or polling fails.
pub fn run(controller: Controller, endpoints: Endpoints) -> Result<(), ServeError> {
    let poll = Poll::new().map_err(ServeError::Poll)?;
    let listeners = Listeners {
        front: listen(&poll, endpoints.front, FRONT_TOKEN)?,
        peer: listen(&poll, endpoints.peer_listen, PEER_TOKEN)?,
    };
    info!(address:% = endpoints.front; "listening for users and agents");
    info!(address:% = endpoints.peer_listen; "listening for other controllers");
    EventLoop::new(poll, controller, endpoints).run(&listeners)
}

fn listen(poll: &Poll, address: SocketAddr, token: Token) -> Result<TcpListener, ServeError> {
    let listen_error = |source| ServeError::Listen { address, source };
    let mut listener = TcpListener::bind(address).map_err(listen_error)?;
    poll.registry()
        .register(&mut listener, token, Interest::READABLE)
        .map_err(listen_error)?;
    Ok(listener)
}

impl EventLoop {
    fn new(poll: Poll, controller: Controller, endpoints: Endpoints) -> EventLoop {
        let clock = Clock::start();
        EventLoop {
            now: clock.now(),
            clock,
            poll,
            controller,
            endpoints,
            connections: Slab::new(),
            deadlines: BTreeSet::new(),
            server_connections: 0,
            agent_connections: 0,
            requests: BTreeMap::new(),
            last_request_id: 0,
            pending_calls: BTreeMap::new(),
            call_deadlines: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            open_connections: BTreeMap::new(),
            queued_calls: BTreeMap::new(),
            inputs: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        }
    }

    fn run(mut self, listeners: &Listeners) -> Result<(), ServeError> {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        self.inputs.push_back(Input::Tick);
        loop {
            self.process_inputs();
            self.wait_for_events(&mut events)
                .map_err(ServeError::Poll)?;
            self.now = self.clock.now();
            for event in &events {
                match event.token() {
                    FRONT_TOKEN => self.accept(&listeners.front, Interface::Front),
                    PEER_TOKEN => self.accept(&listeners.peer, Interface::Peer),
                    Token(token) => {
                        let key = token - FIRST_CONNECTION_TOKEN;
                        if event.is_writable() {
                            self.on_writable(key);
                        }
                        if event.is_readable() || event.is_read_closed() || event.is_error() {
                            self.on_readable(key);
                        }
                    }
                }
                // Processing the inputs after each event keeps the queue short and in order of arrival.
                self.process_inputs();
            }
            self.expire_calls();
            self.expire_connections();
            if self.now.steady >= self.controller.next_wake() {
                self.inputs.push_back(Input::Tick);
            }
        }
    }

    /// Sleeps until a socket is ready or the next deadline passes.
    fn wait_for_events(&mut self, events: &mut Events) -> io::Result<()> {
        let time_to_wake = self.next_wake().saturating_sub(self.clock.now().steady);
        let timeout = Duration::from_micros(time_to_wake.max(MILLI));
        match self.poll.poll(events, Some(timeout)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    /// Returns the earliest deadline of the controller, the connections and the calls.
    fn next_wake(&self) -> Micros {
        let mut wake = self.controller.next_wake();
        if let Some((deadline, _)) = self.deadlines.first() {
            wake = wake.min(*deadline);
        }
        if let Some((deadline, _)) = self.call_deadlines.first() {
            wake = wake.min(*deadline);
        }
        wake
    }

    /// Passes all queued inputs to the controller and carries out its effects.
    fn process_inputs(&mut self) {
        while let Some(input) = self.inputs.pop_front() {
            self.now = self.clock.now();
            let mut stopwatch = StepStopwatch::start();
            let effects = self.controller.step(self.now, input, &mut stopwatch);
            for effect in effects {
                match effect {
                    Effect::Answer {
                        id,
                        status,
                        body,
                        retry_after,
                    } => self.answer(id, status, &body, retry_after),
                    Effect::Call(call) => self.start_call(call),
                }
            }
        }
    }

    /// Ends the calls whose deadlines have passed.
    fn expire_calls(&mut self) {
        while let Some((deadline, call_id)) = self.call_deadlines.first().copied() {
            if deadline > self.now.steady {
                return;
            }
            let pending = self.pending_calls.get(&call_id);
            let key = pending.and_then(|pending| pending.connection);
            let connection = key.and_then(|key| self.connections.get(key));
            // An unfinished connection attempt is abandoned below, so its request is never sent later.
            let outcome = match connection.map(|connection| connection.role) {
                Some(Role::Client {
                    is_connected: true, ..
                }) => Outcome::Unknown,
                _ => Outcome::NotSent,
            };
            self.finish_call(call_id, outcome);
            if let Some(key) = key {
                self.detach_call(key);
                self.close(key);
            }
        }
    }

    /// Closes the connections whose deadlines have passed.
    fn expire_connections(&mut self) {
        let now = self.now.steady;
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let connection = self.connections.get(key);
            if connection.is_some_and(Connection::has_partial_request) {
                self.refuse(key, 408, "request not complete in time");
                // Closes the connection unless `refuse` has set a new deadline for writing the response.
                let connection = self.connections.get(key);
                if connection.is_some_and(|connection| connection.deadline <= now) {
                    self.close(key);
                }
            } else {
                self.close(key);
            }
        }
    }
}
