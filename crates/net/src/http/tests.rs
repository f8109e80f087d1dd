//! Tests of parsing requests and responses.

use super::{
    parse_request, parse_response, Parsed, PEER_REQUEST_LIMIT_BYTES, REQUEST_LIMIT_BYTES,
    RESPONSE_LIMIT_BYTES,
};

fn rejection_status(bytes: &[u8]) -> u16 {
    match parse_request(bytes, REQUEST_LIMIT_BYTES) {
        Parsed::Invalid(status, _) => status,
        other => panic!("{other:?}"),
    }
}

#[test]
fn incomplete_requests_need_more_bytes() {
    let whole = b"POST /checkin?x=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET";
    for cut in 0..whole.len() - 3 {
        assert_eq!(
            parse_request(&whole[..cut], REQUEST_LIMIT_BYTES),
            Parsed::Partial,
            "cut {cut}"
        );
    }
    match parse_request(whole, REQUEST_LIMIT_BYTES) {
        Parsed::Complete(request, length) => {
            assert_eq!(
                (request.path.as_str(), request.body.as_slice()),
                ("/checkin", &b"abc"[..])
            );
            assert_eq!(length, whole.len() - 3);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn invalid_requests_are_rejected() {
    assert_eq!(rejection_status(b"\x00\x01\x02\r\n\r\n"), 400);
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        400
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"),
        413
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n"),
        413
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        400
    );
    assert_eq!(
        rejection_status(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        501
    );
    let long = [b"GET / HTTP/1.1\r\nA: ".to_vec(), vec![b'x'; 9_000]].concat();
    assert_eq!(rejection_status(&long), 431);
}

#[test]
fn a_response_beyond_the_limit_is_not_an_invalid_one() {
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let parse = |length: usize| parse_response(head(length).as_bytes(), false);
    assert_eq!(parse(RESPONSE_LIMIT_BYTES), Parsed::Partial);
    assert_eq!(parse(RESPONSE_LIMIT_BYTES + 1), Parsed::TooLarge);
}

#[test]
fn a_truncated_response_is_invalid() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
    assert_eq!(parse_response(bytes, false), Parsed::Partial);
    assert!(matches!(parse_response(bytes, true), Parsed::Invalid(..)));
}

/// Regression: the tasks of a partition with some hundred machines take more bytes than the limit for users. With
/// that limit, a partition holder never receives the tasks and never launches anything.
#[test]
fn a_controller_may_send_more_than_a_user() {
    let head = format!(
        "POST /peer HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        REQUEST_LIMIT_BYTES + 1
    );
    assert_eq!(rejection_status(head.as_bytes()), 413);
    let parsed = parse_request(head.as_bytes(), PEER_REQUEST_LIMIT_BYTES);
    assert_eq!(parsed, Parsed::Partial);
}
