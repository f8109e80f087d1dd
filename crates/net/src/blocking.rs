//! A blocking HTTP client for commands that operators run, with one connection for each request.

use crate::http::{encode_request, parse_response, Parsed, CBOR};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// Timeout of connecting, and of each write and each read.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer that responses are read into.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The status and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Reasons why a request has no valid response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection cannot be established.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// Sending or receiving failed or timed out.
    #[error("connection failed")]
    Connection(#[from] io::Error),
    /// The server closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    Incomplete,
    /// The response is not valid HTTP, or uses a feature that this client does not support.
    #[error("invalid HTTP response: {0}")]
    Invalid(&'static str),
    /// The response is larger than the limit of this client.
    #[error("HTTP response too large")]
    TooLarge,
}

/// Sends a GET request to a server and waits for the response.
pub fn get(server: SocketAddr, path: &str) -> Result<Response, RequestError> {
    request(server, "GET", path, &[])
}

/// Sends a request to a server on a new connection and waits for the response.
pub fn request(
    server: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Response, RequestError> {
    let mut stream =
        TcpStream::connect_timeout(&server, IO_TIMEOUT).map_err(RequestError::Connect)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(&encode_request(
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
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let length = stream.read(&mut buffer)?;
        let at_eof = length == 0;
        received.extend_from_slice(&buffer[..length]);
        match parse_response(&received, at_eof) {
            Parsed::Complete(response, _) => {
                return Ok(Response {
                    status: response.status,
                    body: response.body,
                })
            }
            Parsed::Partial if at_eof => return Err(RequestError::Incomplete),
            Parsed::Partial => {}
            Parsed::Invalid(_, reason) => return Err(RequestError::Invalid(reason)),
            Parsed::TooLarge => return Err(RequestError::TooLarge),
        }
    }
}
