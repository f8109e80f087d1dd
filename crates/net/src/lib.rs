//! The process's network side: one thread with an event loop on `mio`, an HTTP server on two addresses and an
//! HTTP client.
//!
//! The loop hands requests, responses and the passing of time to a [`Controller`](grebewood_core::Controller)
//! and carries out its effects. It bounds connections and buffers, gives every wait a deadline, and sleeps
//! until something happens or is due.

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

/// Addresses to listen at and to call.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Address at which users and agents are served.
    pub front: SocketAddr,
    /// Address at which other controllers are served.
    pub peer_listen: SocketAddr,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the cloud's API.
    pub cloud: SocketAddr,
    /// Addresses of the other controllers, in the order of the settings.
    pub peers: Vec<SocketAddr>,
    /// Most sockets that this process may have.
    pub socket_limit: usize,
}
