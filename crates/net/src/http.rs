//! Parsing (with `httparse`) and encoding of HTTP/1.1 messages.

use std::fmt::Write as _;

/// Content type of bodies that users, agents, the cloud and the key-value store send and receive.
pub const CBOR: &str = "application/cbor";
/// Content type of bodies that controllers send to each other.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Content type of the responses to invalid and incomplete requests.
pub const TEXT: &str = "text/plain";

/// Maximum size of the head of a request or response.
pub const HEAD_LIMIT_BYTES: usize = 8 * 1024;
/// Maximum size of the body of a request from a user or an agent.
pub const REQUEST_LIMIT_BYTES: usize = 64 * 1024;
/// Maximum size of the body of a request from another controller. The leader sends the next holder of a partition
/// all tasks that may be on the partition's machines in one request.
pub const PEER_REQUEST_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a response body that is read. A limit is needed because the response to a watch has none of its
/// own.
pub const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 48;
/// Initial capacity of the buffer for an encoded head.
const HEAD_CAPACITY_BYTES: usize = 160;

/// Result of parsing the message at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A complete message, and its length in bytes.
    Complete(T, usize),
    /// An invalid message: the HTTP status to answer with, and the reason.
    Invalid(u16, &'static str),
    /// A response whose body is larger than [`RESPONSE_LIMIT_BYTES`].
    TooLarge,
}

/// A parsed request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection must be closed after the response.
    pub closes_connection: bool,
}

/// A parsed response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection cannot be used again.
    pub closes_connection: bool,
}

/// The HTTP status to answer an invalid message with, and the reason.
type Rejection = (u16, &'static str);

/// The headers that determine where the body ends and whether the connection is closed.
struct Framing {
    content_length: Option<usize>,
    closes_connection: bool,
}

/// Parses the framing headers. An HTTP/1.0 connection is closed unless the headers say otherwise.
fn parse_framing(headers: &[httparse::Header], is_http_1_0: bool) -> Result<Framing, Rejection> {
    let mut framing = Framing {
        content_length: None,
        closes_connection: is_http_1_0,
    };
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = parse_content_length(header.value)?;
            if framing.content_length.is_some_and(|other| other != length) {
                return Err((400, "contradicting content-length"));
            }
            framing.content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err((501, "transfer-encoding is not supported"));
        } else if header.name.eq_ignore_ascii_case("connection") {
            let value = String::from_utf8_lossy(header.value).to_ascii_lowercase();
            if value.contains("close") {
                framing.closes_connection = true;
            } else if value.contains("keep-alive") {
                framing.closes_connection = false;
            }
        }
    }
    Ok(framing)
}

fn parse_content_length(value: &[u8]) -> Result<usize, Rejection> {
    let text = std::str::from_utf8(value).unwrap_or("").trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err((400, "invalid content-length"));
    }
    text.parse().map_err(|_| (413, "body too large"))
}

/// Parses the request at the start of `buffer`. The body may have up to `body_limit` bytes.
pub fn parse_request(buffer: &[u8], body_limit: usize) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= HEAD_LIMIT_BYTES => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_LIMIT_BYTES => {
            return Parsed::Partial
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Parsed::Invalid(431, "head too large")
        }
        Err(_) => return Parsed::Invalid(400, "not HTTP"),
    };
    let framing = match parse_framing(request.headers, request.version == Some(0)) {
        Ok(framing) => framing,
        Err((status, reason)) => return Parsed::Invalid(status, reason),
    };
    let length = framing.content_length.unwrap_or(0);
    if length > body_limit {
        return Parsed::Invalid(413, "body too large");
    }
    if buffer.len() < head_length + length {
        return Parsed::Partial;
    }
    let path = request.path.unwrap_or("/");
    let request = Request {
        method: request.method.unwrap_or("").to_string(),
        path: path.split('?').next().unwrap_or(path).to_string(),
        body: buffer[head_length..head_length + length].to_vec(),
        closes_connection: framing.closes_connection,
    };
    Parsed::Complete(request, head_length + length)
}

/// Parses the response at the start of `buffer`. `at_eof`: the other side will send no more bytes.
pub fn parse_response(buffer: &[u8], at_eof: bool) -> Parsed<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_LIMIT_BYTES && !at_eof => {
            return Parsed::Partial
        }
        _ => return Parsed::Invalid(502, "not an HTTP response"),
    };
    let framing = match parse_framing(response.headers, response.version == Some(0)) {
        Ok(framing) => framing,
        Err((_, reason)) => return Parsed::Invalid(502, reason),
    };
    let status = response.code.unwrap_or(0);
    let length = match framing.content_length {
        Some(length) => length,
        None if status == 204 || status == 304 => 0,
        // Without a content length, the body ends with the connection.
        None if at_eof => buffer.len() - head_length,
        None => return Parsed::Partial,
    };
    if length > RESPONSE_LIMIT_BYTES {
        return Parsed::TooLarge;
    }
    if buffer.len() < head_length + length {
        if at_eof {
            return Parsed::Invalid(502, "response cut short");
        }
        return Parsed::Partial;
    }
    let response = Response {
        status,
        body: buffer[head_length..head_length + length].to_vec(),
        closes_connection: framing.closes_connection || framing.content_length.is_none() || at_eof,
    };
    Parsed::Complete(response, head_length + length)
}

/// Returns the reason phrase of a status that this process answers with.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// The values in the head of a response.
pub struct ResponseHead {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: &'static str,
    /// Delay after which the client may repeat the request, in seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the connection is closed after the response.
    pub closes_connection: bool,
}

/// Appends an encoded response to `output`.
pub fn write_response(output: &mut Vec<u8>, head: &ResponseHead, body: &[u8]) {
    let mut text = String::with_capacity(HEAD_CAPACITY_BYTES);
    let _ = write!(
        text,
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        head.status,
        reason_phrase(head.status),
        head.content_type,
        body.len()
    );
    if let Some(seconds) = head.retry_after_s {
        let _ = write!(text, "Retry-After: {seconds}\r\n");
    }
    if head.closes_connection {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    output.extend_from_slice(text.as_bytes());
    output.extend_from_slice(body);
}

/// Encodes a request.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    content_type: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut head = String::with_capacity(HEAD_CAPACITY_BYTES);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            head,
            "Content-Type: {content_type}\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    head.push_str("\r\n");
    let mut request = head.into_bytes();
    request.extend_from_slice(body);
    request
}

#[cfg(test)]
mod tests;
