//! More workers than sockets: each of them is answered all the same.

use grebewood_core::{Controller, Settings, Tuning};
use grebewood_net::{run, Endpoints};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const SOCKETS: usize = 32;
const WORKERS: usize = 100;

/// An address on loopback that nobody listens at.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// Connects, as soon as somebody listens.
fn connect(address: SocketAddr) -> TcpStream {
    for _ in 0..200 {
        if let Ok(stream) = TcpStream::connect(address) {
            return stream;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("nobody listens at {address}");
}

/// Sends a check-in and returns the first line of its answer.
fn check_in(stream: &mut TcpStream) -> String {
    let request = "POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("to send");
    let mut answer = [0; 512];
    let length = stream.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..length]);
    text.lines().next().unwrap_or_default().to_string()
}

#[test]
fn a_hundred_workers_are_answered_with_thirty_sockets() {
    let endpoints = Endpoints {
        front: free_address(),
        peer_listen: free_address(),
        store: free_address(),
        cloud: free_address(),
        peers: Vec::new(),
        socket_limit: SOCKETS,
    };
    let front = endpoints.front;
    let node = Controller::new(Settings::default(), Tuning::default(), 1);
    std::thread::spawn(move || run(node, endpoints));
    // All of them stay open on the workers' side.
    let mut open = Vec::new();
    for agent in 0..WORKERS {
        let mut stream = connect(front);
        // An empty body is no report: what matters is that there is an answer.
        assert_eq!(check_in(&mut stream), "HTTP/1.1 400 Bad Request", "{agent}");
        open.push(stream);
    }
}
