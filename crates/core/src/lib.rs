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
    /// Users, workers and health checks.
    Front,
    /// Other controllers.
    Peer,
}

/// Whom a call goes to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    Store,
    Cloud,
    /// A worker, by its address.
    Agent(String),
    /// A sibling, by its place in the settings.
    Peer(usize),
}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: u64,
    pub target: Target,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout: Micros,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer {
        status: u16,
        body: Vec<u8>,
    },
    /// No answer. The request may have been carried out, or may still be.
    Unknown,
    /// The request was never sent.
    NotSent,
    /// An answer came that is larger than this process takes; the same request would bring it again.
    TooLarge,
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Input {
    Request {
        id: u64,
        interface: Interface,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// The requester closed its connection; the answer is not needed any more.
    Gone {
        id: u64,
    },
    Reply {
        call: u64,
        outcome: Outcome,
    },
    /// Time has passed.
    Tick,
}

/// What a node wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    Call(Call),
    Answer {
        id: u64,
        status: u16,
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
