//! The event loop: one thread, `mio`, the HTTP server on two addresses and the HTTP client.
//!
//! The loop hands requests, replies and the passing of time to a [`Controller`] and carries out its
//! effects. It bounds connections and buffers, gives every wait a deadline, and sleeps until
//! something happens or is due.

pub mod blocking;
mod client;
mod http;
mod server;

use grebewood_core::{
    Call, Controller, Effect, Input, Interface, Micros, Now, Outcome, Stopwatch, Target, MILLI,
    SECOND,
};
use http::{parse_request, parse_response, write_request, write_response, Parsed};
use log::{debug, info, warn};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Where to listen and whom to call.
#[derive(Clone, Debug)]
pub struct Endpoints {
    pub front: SocketAddr,
    pub peer_listen: SocketAddr,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// Most sockets this process may have.
    pub socket_limit: usize,
}

const FRONT: Token = Token(0);
const PEER: Token = Token(1);
const FIRST: usize = 2;

/// A sender must complete a request in this time.
const REQUEST_TIME: Micros = 10 * SECOND;
/// An idle connection of a user or worker is closed after this time.
const IDLE_TIME: Micros = 75 * SECOND;
/// An idle connection of ours is closed after this time.
const CLIENT_IDLE_TIME: Micros = 20 * SECOND;
/// The same for one to a worker: with a thousand machines, commands to each would hold as many sockets.
const WORKER_IDLE_TIME: Micros = 2 * SECOND;
/// An answer must be taken in this time.
const WRITE_TIME: Micros = 10 * SECOND;

enum Kind {
    /// Somebody's connection to us.
    Server {
        interface: Interface,
        /// The request that is being answered.
        request: Option<u64>,
        close: bool,
        /// It has carried a check-in.
        agent: bool,
    },
    /// Ours to somebody.
    Client {
        addr: SocketAddr,
        call: Option<u64>,
        connected: bool,
        /// It has carried a request before.
        reused: bool,
    },
}

struct Conn {
    stream: TcpStream,
    kind: Kind,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// When the connection is given up unless something happens.
    deadline: Micros,
    wants_write: bool,
}

struct Flight {
    call: Call,
    addr: SocketAddr,
    conn: Option<usize>,
    deadline: Micros,
    retried: bool,
}

struct Clock {
    start: Instant,
}

impl Clock {
    fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            steady: self.start.elapsed().as_micros() as Micros,
            wall: wall.as_micros() as Micros,
        }
    }
}

struct Watch(Instant);

impl Stopwatch for Watch {
    fn elapsed(&mut self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }
}

struct Loop {
    poll: Poll,
    clock: Clock,
    now: Now,
    node: Controller,
    endpoints: Endpoints,
    conns: Slab<Conn>,
    /// Deadlines of connections, by time; entries may be out of date.
    deadlines: BTreeSet<(Micros, usize)>,
    /// Server connections, and how many there may be.
    served: usize,
    /// Those of them that have carried a check-in.
    agents: usize,
    requests: BTreeMap<u64, usize>,
    next_request: u64,
    flights: BTreeMap<u64, Flight>,
    flight_deadlines: BTreeSet<(Micros, u64)>,
    idle: BTreeMap<SocketAddr, Vec<usize>>,
    open: BTreeMap<SocketAddr, usize>,
    queued: BTreeMap<SocketAddr, VecDeque<u64>>,
    inputs: VecDeque<Input>,
    scratch: Vec<u8>,
}

/// Serves until the process is killed. Returns only if listening or polling fails.
pub fn run(node: Controller, endpoints: Endpoints) -> io::Result<()> {
    let poll = Poll::new()?;
    let mut front = TcpListener::bind(endpoints.front)?;
    let mut peer = TcpListener::bind(endpoints.peer_listen)?;
    poll.registry()
        .register(&mut front, FRONT, Interest::READABLE)?;
    poll.registry()
        .register(&mut peer, PEER, Interest::READABLE)?;
    info!(
        "serving at {} and {}",
        endpoints.front, endpoints.peer_listen
    );
    let clock = Clock {
        start: Instant::now(),
    };
    let mut l = Loop {
        now: clock.now(),
        clock,
        poll,
        node,
        endpoints,
        conns: Slab::new(),
        deadlines: BTreeSet::new(),
        served: 0,
        agents: 0,
        requests: BTreeMap::new(),
        next_request: 0,
        flights: BTreeMap::new(),
        flight_deadlines: BTreeSet::new(),
        idle: BTreeMap::new(),
        open: BTreeMap::new(),
        queued: BTreeMap::new(),
        inputs: VecDeque::new(),
        scratch: vec![0; 16 * 1024],
    };
    let mut events = Events::with_capacity(256);
    l.inputs.push_back(Input::Tick);
    loop {
        l.drain();
        let wake = l.next_wake();
        let pause = wake.saturating_sub(l.clock.now().steady);
        match l
            .poll
            .poll(&mut events, Some(Duration::from_micros(pause.max(MILLI))))
        {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        l.now = l.clock.now();
        for event in &events {
            match event.token() {
                FRONT => l.accept(&front, Interface::Front),
                PEER => l.accept(&peer, Interface::Peer),
                Token(t) => {
                    let key = t - FIRST;
                    if event.is_writable() {
                        l.on_writable(key);
                    }
                    if event.is_readable() || event.is_read_closed() || event.is_error() {
                        l.on_readable(key);
                    }
                }
            }
            // Inputs of one batch are taken in order of arrival, without piling up.
            l.drain();
        }
        l.expire();
        if l.now.steady >= l.node.next_wake() {
            l.inputs.push_back(Input::Tick);
        }
    }
}

impl Loop {
    fn next_wake(&self) -> Micros {
        let mut at = self.node.next_wake();
        if let Some((t, _)) = self.deadlines.first() {
            at = at.min(*t);
        }
        if let Some((t, _)) = self.flight_deadlines.first() {
            at = at.min(*t);
        }
        at
    }

    /// Hands all inputs to the node and carries out what it wants.
    fn drain(&mut self) {
        while let Some(input) = self.inputs.pop_front() {
            self.now = self.clock.now();
            let mut watch = Watch(Instant::now());
            let effects = self.node.step(self.now, input, &mut watch);
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

    fn set_deadline(&mut self, key: usize, at: Micros) {
        if let Some(conn) = self.conns.get_mut(key) {
            self.deadlines.remove(&(conn.deadline, key));
            conn.deadline = at;
            self.deadlines.insert((at, key));
        }
    }

    fn add_conn(&mut self, mut stream: TcpStream, kind: Kind, deadline: Micros) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        let entry = self.conns.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self
            .poll
            .registry()
            .register(&mut stream, Token(key + FIRST), interest)
        {
            warn!("a connection cannot be watched: {e}");
            return None;
        }
        entry.insert(Conn {
            stream,
            kind,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            deadline,
            wants_write: false,
        });
        self.deadlines.insert((deadline, key));
        Some(key)
    }

    fn close(&mut self, key: usize) {
        let Some(mut conn) = self.conns.try_remove(key) else {
            return;
        };
        self.deadlines.remove(&(conn.deadline, key));
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.kind {
            Kind::Server { request, agent, .. } => {
                self.served -= 1;
                self.agents -= usize::from(agent);
                if let Some(id) = request {
                    self.requests.remove(&id);
                    self.inputs.push_back(Input::Gone { id });
                }
            }
            Kind::Client {
                addr,
                call,
                connected,
                reused,
            } => {
                if let Some(n) = self.open.get_mut(&addr) {
                    *n = n.saturating_sub(1);
                }
                if let Some(idle) = self.idle.get_mut(&addr) {
                    idle.retain(|k| *k != key);
                    if idle.is_empty() {
                        self.idle.remove(&addr);
                    }
                }
                if let Some(id) = call {
                    self.call_broken(id, connected, reused);
                }
                self.run_queue(addr);
            }
        }
    }

    // ---- server ----

    fn on_readable(&mut self, key: usize) {
        let mut ended = false;
        loop {
            let Some(conn) = self.conns.get_mut(key) else {
                return;
            };
            match conn.stream.read(&mut self.scratch) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    let limit = match conn.kind {
                        Kind::Server { interface, .. } => {
                            http::HEAD_LIMIT + server::request_limit(interface)
                        }
                        Kind::Client { .. } => http::HEAD_LIMIT + http::RESPONSE_LIMIT,
                    };
                    conn.input.extend_from_slice(&self.scratch[..n]);
                    if conn.input.len() > limit + self.scratch.len() {
                        return self.close(key);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
        match self.conns.get(key).map(|c| &c.kind) {
            Some(Kind::Server { .. }) => self.on_server_data(key, ended),
            Some(Kind::Client { .. }) => self.on_client_data(key, ended),
            None => {}
        }
    }

    fn on_writable(&mut self, key: usize) {
        let now = self.now.steady;
        loop {
            let Some(conn) = self.conns.get_mut(key) else {
                return;
            };
            if let Kind::Client { connected, .. } = &mut conn.kind {
                if !*connected {
                    match conn.stream.peer_addr() {
                        Ok(_) => *connected = true,
                        Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                            if let Ok(Some(_)) | Err(_) = conn.stream.take_error() {
                                return self.close(key);
                            }
                            return;
                        }
                        Err(_) => return self.close(key),
                    }
                }
            }
            if conn.written >= conn.output.len() {
                if conn.output.is_empty() {
                    return;
                }
                conn.output = Vec::new();
                conn.written = 0;
                conn.wants_write = false;
                if let Kind::Server { close, .. } = conn.kind {
                    if close {
                        return self.close(key);
                    }
                    self.set_deadline(key, now + IDLE_TIME);
                }
                return;
            }
            match conn.stream.write(&conn.output[conn.written..]) {
                Ok(0) => return self.close(key),
                Ok(n) => conn.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if !conn.wants_write {
                        conn.wants_write = true;
                        if matches!(conn.kind, Kind::Server { .. }) {
                            self.set_deadline(key, now + WRITE_TIME);
                        }
                    }
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    // ---- client ----

    fn address(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Store => Some(self.endpoints.store),
            Target::Cloud => Some(self.endpoints.cloud),
            Target::Agent(addr) => addr.parse().ok(),
            Target::Peer(n) => self.endpoints.peers.get(*n).copied(),
        }
    }

    /// Ends what has waited for too long.
    fn expire(&mut self) {
        let now = self.now.steady;
        while let Some((at, id)) = self.flight_deadlines.first().copied() {
            if at > now {
                break;
            }
            let conn = self.flights.get(&id).and_then(|f| f.conn);
            let connected = conn.and_then(|k| self.conns.get(k)).is_some_and(|c| {
                matches!(
                    c.kind,
                    Kind::Client {
                        connected: true,
                        ..
                    }
                )
            });
            // A connection attempt that is given up never completes later.
            let outcome = if connected {
                Outcome::Unknown
            } else {
                Outcome::NotSent
            };
            self.finish(id, outcome);
            if let Some(key) = conn {
                if let Some(Conn {
                    kind: Kind::Client { call, .. },
                    ..
                }) = self.conns.get_mut(key)
                {
                    *call = None;
                }
                self.close(key);
            }
        }
        while let Some((at, key)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            let slow_sender = self.conns.get(key).is_some_and(|c| {
                !c.input.is_empty()
                    && c.output.is_empty()
                    && matches!(c.kind, Kind::Server { request: None, .. })
            });
            if slow_sender {
                self.refuse(key, 408, "request not complete in time");
                // Whatever becomes of the answer, the connection does not stay.
                if self.conns.get(key).is_some_and(|c| c.deadline <= now) {
                    self.close(key);
                }
            } else {
                self.close(key);
            }
        }
    }
}
