//! HTTP/1.1 heads: reading with `httparse`, writing plain.

use std::fmt::Write as _;

/// Longest head of a request or response.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// Longest request body.
pub const REQUEST_LIMIT: usize = 64 * 1024;
/// Largest body of a request of another controller: the leader tells a partition's next holder all tasks
/// that may be on its machines at once.
pub const PEER_REQUEST_LIMIT: usize = 4 * 1024 * 1024;
/// Longest response body that is read: a watch's answer has no limit of its own.
pub const RESPONSE_LIMIT: usize = 4 * 1024 * 1024;
const MOST_HEADERS: usize = 48;

/// What a buffer holds of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A whole message of this many bytes.
    Whole(T, usize),
    /// Not acceptable: the status to answer with, and why.
    Bad(u16, &'static str),
    /// A response that announces more than is taken.
    TooLarge,
}

/// A request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    pub close: bool,
}

/// A response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub close: bool,
}

struct Framing {
    length: Option<usize>,
    close: bool,
}

/// Reads the headers that matter. The error is the status to refuse with.
fn framing(headers: &[httparse::Header], old: bool) -> Result<Framing, (u16, &'static str)> {
    let mut f = Framing {
        length: None,
        close: old,
    };
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(h.value).unwrap_or("").trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err((400, "invalid content-length"));
            }
            let length = text.parse().map_err(|_| (413, "body too large"))?;
            if f.length.is_some_and(|l| l != length) {
                return Err((400, "contradicting content-length"));
            }
            f.length = Some(length);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err((501, "transfer-encoding is not supported"));
        } else if h.name.eq_ignore_ascii_case("connection") {
            let value = String::from_utf8_lossy(h.value).to_ascii_lowercase();
            if value.contains("close") {
                f.close = true;
            } else if value.contains("keep-alive") {
                f.close = false;
            }
        }
    }
    Ok(f)
}

/// Reads a request from the start of `buf`, whose body may have so many bytes.
pub fn parse_request(buf: &[u8], limit: usize) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buf) {
        Ok(httparse::Status::Complete(n)) if n <= HEAD_LIMIT => n,
        Ok(httparse::Status::Partial) if buf.len() <= HEAD_LIMIT => return Parsed::Partial,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431, "head too large"),
        Err(_) => return Parsed::Bad(400, "not HTTP"),
    };
    let old = request.version == Some(0);
    let framing = match framing(request.headers, old) {
        Ok(f) => f,
        Err((status, why)) => return Parsed::Bad(status, why),
    };
    let length = framing.length.unwrap_or(0);
    if length > limit {
        return Parsed::Bad(413, "body too large");
    }
    if buf.len() < head + length {
        return Parsed::Partial;
    }
    let path = request.path.unwrap_or("/");
    let request = Request {
        method: request.method.unwrap_or("").to_string(),
        path: path.split('?').next().unwrap_or(path).to_string(),
        body: buf[head..head + length].to_vec(),
        close: framing.close,
    };
    Parsed::Whole(request, head + length)
}

/// Reads a response from the start of `buf`.
pub fn parse_response(buf: &[u8], ended: bool) -> Parsed<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() <= HEAD_LIMIT && !ended => {
            return Parsed::Partial
        }
        _ => return Parsed::Bad(502, "not an HTTP response"),
    };
    let old = response.version == Some(0);
    let framing = match framing(response.headers, old) {
        Ok(f) => f,
        Err((_, why)) => return Parsed::Bad(502, why),
    };
    let status = response.code.unwrap_or(0);
    let length = match framing.length {
        Some(n) => n,
        None if status == 204 || status == 304 => 0,
        // Without a length, the body lasts until the connection ends.
        None if ended => buf.len() - head,
        None => return Parsed::Partial,
    };
    if length > RESPONSE_LIMIT {
        return Parsed::TooLarge;
    }
    if buf.len() < head + length {
        if ended {
            return Parsed::Bad(502, "response cut short");
        }
        return Parsed::Partial;
    }
    let response = Response {
        status,
        body: buf[head..head + length].to_vec(),
        close: framing.close || framing.length.is_none() || ended,
    };
    Parsed::Whole(response, head + length)
}

fn reason(status: u16) -> &'static str {
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

/// Writes a response.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    content: &str,
    body: &[u8],
    retry_after: Option<u32>,
    close: bool,
) {
    let mut head = String::with_capacity(160);
    let _ = write!(
        head,
        "HTTP/1.1 {status} {}\r\nContent-Type: {content}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(s) = retry_after {
        let _ = write!(head, "Retry-After: {s}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Writes a request.
pub fn write_request(method: &str, path: &str, host: &str, content: &str, body: &[u8]) -> Vec<u8> {
    let mut head = String::with_capacity(160);
    let _ = write!(head, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            head,
            "Content-Type: {content}\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    head.push_str("\r\n");
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

#[cfg(test)]
mod tests;
