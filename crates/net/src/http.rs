//! HTTP/1.1 messages: parsed with `httparse`, written by hand.

use std::fmt::Write as _;

/// Content type of bodies for users, agents, the cloud and the key-value store.
pub const CBOR: &str = "application/cbor";
/// Content type of bodies between controllers.
pub const MESSAGE_PACK: &str = "application/msgpack";
/// Content type of refusals of what could not be read.
pub const TEXT: &str = "text/plain";

/// Longest head of a request or response, in bytes.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Largest request body, in bytes.
pub const REQUEST_LIMIT: usize = 64 * 1024;
/// Largest body of a request of another controller, in bytes: the leader sends a partition's next holder all
/// tasks that may be on its machines at once.
pub const PEER_REQUEST_LIMIT: usize = 4 * 1024 * 1024;
/// Largest response body that is read, in bytes: the response to a watch has no limit of its own.
pub const RESPONSE_LIMIT: usize = 4 * 1024 * 1024;
/// Most headers of a message.
const MAX_HEADERS: usize = 48;
/// Room for a head that is written, in bytes.
const HEAD_CAPACITY: usize = 160;

/// What a buffer contains of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A whole message, and its length in bytes.
    Whole(T, usize),
    /// An invalid message: the status to answer with, and why.
    Bad(u16, &'static str),
    /// A response whose body is larger than [`RESPONSE_LIMIT`].
    TooLarge,
}

/// A request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is to be closed after the response.
    pub close: bool,
}

/// A response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection cannot be used again.
    pub close: bool,
}

/// The status to answer with, and why.
type Rejection = (u16, &'static str);

/// What the headers say of the length of the body and the end of the connection.
struct Framing {
    content_length: Option<usize>,
    close: bool,
}

/// Reads the headers that matter. In HTTP/1.0 a connection is closed unless the headers say otherwise.
fn parse_framing(headers: &[httparse::Header], is_http_1_0: bool) -> Result<Framing, Rejection> {
    let mut framing = Framing {
        content_length: None,
        close: is_http_1_0,
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
                framing.close = true;
            } else if value.contains("keep-alive") {
                framing.close = false;
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

/// Parses a request at the start of `buffer`, whose body may have up to `body_limit` bytes.
pub fn parse_request(buffer: &[u8], body_limit: usize) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= HEAD_LIMIT => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_LIMIT => return Parsed::Partial,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431, "head too large"),
        Err(_) => return Parsed::Bad(400, "not HTTP"),
    };
    let framing = match parse_framing(request.headers, request.version == Some(0)) {
        Ok(framing) => framing,
        Err((status, reason)) => return Parsed::Bad(status, reason),
    };
    let length = framing.content_length.unwrap_or(0);
    if length > body_limit {
        return Parsed::Bad(413, "body too large");
    }
    if buffer.len() < head + length {
        return Parsed::Partial;
    }
    let path = request.path.unwrap_or("/");
    let request = Request {
        method: request.method.unwrap_or("").to_string(),
        path: path.split('?').next().unwrap_or(path).to_string(),
        body: buffer[head..head + length].to_vec(),
        close: framing.close,
    };
    Parsed::Whole(request, head + length)
}

/// Parses a response at the start of `buffer`; `ended`: the other side will send nothing more.
pub fn parse_response(buffer: &[u8], ended: bool) -> Parsed<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD_LIMIT && !ended => {
            return Parsed::Partial
        }
        _ => return Parsed::Bad(502, "not an HTTP response"),
    };
    let framing = match parse_framing(response.headers, response.version == Some(0)) {
        Ok(framing) => framing,
        Err((_, reason)) => return Parsed::Bad(502, reason),
    };
    let status = response.code.unwrap_or(0);
    let length = match framing.content_length {
        Some(length) => length,
        None if status == 204 || status == 304 => 0,
        // Without a length, the body lasts until the connection ends.
        None if ended => buffer.len() - head,
        None => return Parsed::Partial,
    };
    if length > RESPONSE_LIMIT {
        return Parsed::TooLarge;
    }
    if buffer.len() < head + length {
        if ended {
            return Parsed::Bad(502, "response cut short");
        }
        return Parsed::Partial;
    }
    let response = Response {
        status,
        body: buffer[head..head + length].to_vec(),
        close: framing.close || framing.content_length.is_none() || ended,
    };
    Parsed::Whole(response, head + length)
}

/// The reason phrase of a status that this process answers with.
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

/// The head of a response.
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: &'static str,
    /// When the request may be repeated, in seconds.
    pub retry_after_s: Option<u32>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

/// Appends a response to `output`.
pub fn write_response(output: &mut Vec<u8>, head: &ResponseHead, body: &[u8]) {
    let mut text = String::with_capacity(HEAD_CAPACITY);
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
    if head.close {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    output.extend_from_slice(text.as_bytes());
    output.extend_from_slice(body);
}

/// Encodes a request.
pub fn write_request(
    method: &str,
    path: &str,
    host: &str,
    content_type: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut head = String::with_capacity(HEAD_CAPACITY);
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
