//! The cluster scheduler as a state machine.
//!
//! [`Controller`] takes [`Input`]s (requests, replies, timer ticks) and returns [`Effect`]s (calls to send, requests
//! to answer). It does no I/O and reads no clock: the time comes with each input, and randomness comes from a seed.
//! The key-value store is authoritative; a `Controller` keeps a cache of it in memory.
//!
//! Modules are layered and import only from their own layer and from lower ones, which a test checks by their `use`
//! lines: [`controller`] dispatches inputs, [`scheduler`] does the work of the leader and of partition holders,
//! [`state`] holds data with its rules, and all of them use [`context`], [`calls`], [`settings`], [`rate_limiter`]
//! and [`cancellations`].

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

/// A duration or a point in time in whole microseconds. Points in time are those of the steady clock unless stated
/// otherwise.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Converts a duration in seconds, as in messages, to microseconds. A negative duration counts as zero.
pub fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, 1e9) * 1e6) as Micros
}

/// The time of an input by both clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Now {
    /// Steady (monotonic) clock of this process.
    pub steady: Micros,
    /// Time of day, microseconds since 1970.
    pub wall: Micros,
}

/// The interface at which a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// The interface for users, agents and health checks.
    Front,
    /// The interface for other controllers.
    Peer,
}

/// The recipient of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// The key-value store.
    Store,
    /// The cloud that provisions machines.
    Cloud,
    /// An agent, by its address.
    Agent(String),
    /// Another controller, by its index among the siblings in the settings.
    Peer(usize),
}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Number of the call, by which its reply is identified.
    pub id: u64,
    /// Recipient of the call.
    pub target: Target,
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Encoded body; empty if there is none.
    pub body: Vec<u8>,
    /// Timeout for the response, in microseconds.
    pub timeout: Micros,
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response arrived.
    Answer {
        /// HTTP status.
        status: u16,
        /// Encoded body.
        body: Vec<u8>,
    },
    /// No response arrived. The recipient may have carried out the request, or may still do so.
    Unknown,
    /// The request was never sent.
    NotSent,
    /// A response arrived that exceeds the size limit of this process; the same request would get it again.
    TooLarge,
}

/// An input of a controller.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request arrived.
    Request {
        /// Number of the request, by which it is answered.
        id: u64,
        /// Interface at which it arrived.
        interface: Interface,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Encoded body.
        body: Vec<u8>,
    },
    /// The connection of a request was closed, so its response is not needed any more.
    RequestAbandoned {
        /// Number of the request.
        id: u64,
    },
    /// A call ended.
    Reply {
        /// Number of the call.
        call: u64,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// A timer is due, or time has passed.
    Tick,
}

/// An effect that a controller asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a request.
    Call(Call),
    /// Answers a request.
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

/// A clock for time budgets within one step, supplied by the caller of [`Controller::step`].
pub trait Stopwatch {
    /// Returns the time since the step began, in microseconds.
    fn elapsed(&mut self) -> Micros;
}

/// A stopwatch at which no time passes, for tests and simulations.
pub struct NoStopwatch;

impl Stopwatch for NoStopwatch {
    fn elapsed(&mut self) -> Micros {
        0
    }
}
