//! Network layer of the controller process: a single-threaded event loop on `mio` with an HTTP server on two
//! addresses and an HTTP client, and a blocking HTTP client for commands.
//!
//! The event loop passes requests, responses and timer ticks to a [`Controller`](grebewood_core::Controller)
//! and carries out the effects that the controller returns. It limits the number of connections and the size of
//! messages, sets a deadline for each connection and each call, and sleeps until a socket is ready or a deadline
//! passes.

#![warn(missing_docs)]

pub mod blocking;
mod client;
mod clock;
mod connection;
mod event_loop;
mod http;
mod server;

pub use event_loop::{run, ServeError};

use std::net::SocketAddr;

/// Addresses that the process listens on and calls, and its socket limit.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Listening address for users and agents.
    pub front: SocketAddr,
    /// Listening address for other controllers.
    pub peer_listen: SocketAddr,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Addresses of the other controllers, in the order of the settings file.
    pub peers: Vec<SocketAddr>,
    /// Sockets that this process may have; the connection limits are derived from it.
    pub socket_limit: usize,
}
