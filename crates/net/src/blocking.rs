//! A single HTTP request at a time, for commands that are run by hand.

use crate::http::{parse_response, write_request, Parsed, CBOR};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// How long connecting, sending and each part of the response may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer that responses are read into, in bytes.
const READ_BUFFER_SIZE: usize = 16 * 1024;

/// The status and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Why there is no response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// There is no connection.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The connection failed or timed out.
    #[error("connection failed")]
    Connection(#[from] io::Error),
    /// The connection ended before the response did.
    #[error("connection ended before the response was complete")]
    Incomplete,
    /// The response is not HTTP as this client understands it.
    #[error("invalid response: {0}")]
    Invalid(&'static str),
    /// The response is larger than this client reads.
    #[error("the response is too large")]
    TooLarge,
}

/// Reads a path from a server.
pub fn get(server: SocketAddr, path: &str) -> Result<Response, RequestError> {
    request(server, "GET", path, &[])
}

/// Sends a request to a server, on a connection of its own.
pub fn request(
    server: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Response, RequestError> {
    let mut stream = TcpStream::connect_timeout(&server, TIMEOUT).map_err(RequestError::Connect)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(&write_request(
        method,
        path,
        &server.to_string(),
        CBOR,
        body,
    ))?;
    read_response(&mut stream)
}

fn read_response(stream: &mut TcpStream) -> Result<Response, RequestError> {
    let mut received = Vec::new();
    let mut buffer = [0; READ_BUFFER_SIZE];
    loop {
        let length = stream.read(&mut buffer)?;
        let ended = length == 0;
        received.extend_from_slice(&buffer[..length]);
        match parse_response(&received, ended) {
            Parsed::Whole(response, _) => {
                return Ok(Response {
                    status: response.status,
                    body: response.body,
                })
            }
            Parsed::Partial if ended => return Err(RequestError::Incomplete),
            Parsed::Partial => {}
            Parsed::Bad(_, reason) => return Err(RequestError::Invalid(reason)),
            Parsed::TooLarge => return Err(RequestError::TooLarge),
        }
    }
}
