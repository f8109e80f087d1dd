//! Parsing of requests and responses.

use super::{
    parse_request, parse_response, Parsed, PEER_REQUEST_LIMIT, REQUEST_LIMIT, RESPONSE_LIMIT,
};

fn rejection_status(bytes: &[u8]) -> u16 {
    match parse_request(bytes, REQUEST_LIMIT) {
        Parsed::Bad(status, _) => status,
        other => panic!("{other:?}"),
    }
}

#[test]
fn incomplete_requests_need_more_bytes() {
    let whole = b"POST /checkin?x=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET";
    for cut in 0..whole.len() - 3 {
        assert_eq!(
            parse_request(&whole[..cut], REQUEST_LIMIT),
            Parsed::Partial,
            "cut {cut}"
        );
    }
    match parse_request(whole, REQUEST_LIMIT) {
        Parsed::Whole(r, n) => {
            assert_eq!(
                (r.path.as_str(), r.body.as_slice()),
                ("/checkin", &b"abc"[..])
            );
            assert_eq!(n, whole.len() - 3);
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
    assert_eq!(parse(RESPONSE_LIMIT), Parsed::Partial);
    assert_eq!(parse(RESPONSE_LIMIT + 1), Parsed::TooLarge);
}

#[test]
fn a_truncated_response_is_invalid() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc";
    assert_eq!(parse_response(bytes, false), Parsed::Partial);
    assert!(matches!(parse_response(bytes, true), Parsed::Bad(..)));
}

/// Regression: the tasks of a partition with some hundred machines take more than a user may send; a partition
/// holder that never learnt of them launched nothing for good.
#[test]
fn a_controller_may_send_more_than_a_user() {
    let head = format!(
        "POST /peer HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        REQUEST_LIMIT + 1
    );
    assert_eq!(rejection_status(head.as_bytes()), 413);
    let peer = parse_request(head.as_bytes(), PEER_REQUEST_LIMIT);
    assert_eq!(peer, Parsed::Partial);
}
