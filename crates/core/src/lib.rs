//! The cluster scheduler as a state machine.
//!
//! [`Controller`] takes [`Input`]s (requests, replies, the passing of time) and returns [`Effect`]s (calls to
//! send, requests to answer). It does no I/O and reads no clock: the time comes with each input, and randomness from a
//! seed. The key-value store holds the truth; what a `Controller` keeps in memory is a cache of it.
//!
//! Modules import downwards only (a test reads their `use` lines): [`controller`] dispatches inputs, [`scheduler`]
//! does the work of the leader and of partition holders, [`state`] holds data with its rules, and the modules
//! beside them ([`context`], [`calls`], [`settings`], [`rate_limiter`], [`cancellations`]) serve all.

pub use controller::Controller;
pub use settings::{Objective, Settings, Sibling, Team, Tuning};

pub mod calls;
pub mod cancellations;
pub mod context;
pub mod controller;
pub mod rate_limiter;
pub mod scheduler;
pub mod settings;
pub mod state;
#[cfg(test)]
mod test_support;
mod transactions;

/// Whole microseconds, of a steady clock unless said otherwise.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Turns a wire duration in seconds into microseconds; negative ones count as zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, 1e9) * 1e6) as Micros
}

/// The two clocks at the moment of an input.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady clock of this process.
    pub steady: Micros,
    /// Time of day, microseconds since 1970.
    pub wall: Micros,
}

/// Where a request came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// Users, agents and health checks.
    Front,
    /// Other controllers.
    Peer,
}

/// Whom a call goes to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// The key-value store.
    Store,
    /// The cloud that provisions machines.
    Cloud,
    /// An agent, by its address.
    Agent(String),
    /// Another controller, by its place among the siblings in the settings.
    Peer(usize),
}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call, by which its reply is handed back.
    pub id: u64,
    /// Whom it goes to.
    pub target: Target,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Encoded body; empty if there is none.
    pub body: Vec<u8>,
    /// How long to wait for the response, in microseconds.
    pub timeout: Micros,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response came.
    Answer {
        /// HTTP status.
        status: u16,
        /// Encoded body.
        body: Vec<u8>,
    },
    /// No response. The request may have been carried out, or may still be.
    Unknown,
    /// The request was never sent.
    NotSent,
    /// A response came that is larger than this process takes; the same request would bring it again.
    TooLarge,
}

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived.
    Request {
        /// Number of the request, by which it is answered.
        id: u64,
        /// Where it came in.
        interface: Interface,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Encoded body.
        body: Vec<u8>,
    },
    /// The requester closed its connection; the answer is not needed any more.
    RequestAbandoned {
        /// Number of the request.
        id: u64,
    },
    /// A call ended.
    Reply {
        /// Number of the call.
        call: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// Time has passed.
    Tick,
}

/// What a controller wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A request is to be sent.
    Call(Call),
    /// A request is to be answered.
    Answer {
        /// Number of the request.
        id: u64,
        /// HTTP status.
        status: u16,
        /// Encoded body.
        body: Vec<u8>,
        /// `Retry-After`, in seconds.
        retry_after: Option<u32>,
    },
}

/// Reads the time within one step, for time budgets; the shell supplies it.
pub trait Stopwatch {
    /// Microseconds since the step began.
    fn elapsed(&mut self) -> Micros;
}

/// A stopwatch that never advances.
pub struct NoStopwatch;

impl Stopwatch for NoStopwatch {
    fn elapsed(&mut self) -> Micros {
        0
    }
}
