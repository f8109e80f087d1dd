//! A single request at a time, for commands that are run by hand.

use crate::http::{parse_response, write_request, Parsed};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long connecting, sending and each part of the answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// The status and body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Gets a path from a server. The error says that there is none, or that its answer is no HTTP.
pub fn get(server: SocketAddr, path: &str) -> io::Result<Answer> {
    request(server, "GET", path, &[])
}

/// Sends a request to a server on a connection of its own.
pub fn request(server: SocketAddr, method: &str, path: &str, body: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&server, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let host = server.to_string();
    stream.write_all(&write_request(
        method,
        path,
        &host,
        "application/cbor",
        body,
    ))?;
    let mut received = Vec::new();
    let mut part = [0; 16 * 1024];
    loop {
        let length = stream.read(&mut part)?;
        received.extend_from_slice(&part[..length]);
        match parse_response(&received, length == 0) {
            Parsed::Whole(response, _) => {
                return Ok(Answer {
                    status: response.status,
                    body: response.body,
                })
            }
            Parsed::Partial if length > 0 => {}
            Parsed::Partial => return Err(io::ErrorKind::UnexpectedEof.into()),
            Parsed::Bad(_, why) => return Err(io::Error::new(io::ErrorKind::InvalidData, why)),
            Parsed::TooLarge => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the answer is too large",
                ))
            }
        }
    }
}
