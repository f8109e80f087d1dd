//! Checks that a controller with fewer sockets than agents answers the heartbeats of all agents.

use grebewood_core::{Controller, Settings, Tuning};
use grebewood_net::{run, Endpoints};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const SOCKET_LIMIT: usize = 32;
const AGENTS: usize = 100;

/// Returns a loopback address that is not in use.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address")
}

/// Connects to an address, and retries until the controller listens there.
fn connect(address: SocketAddr) -> TcpStream {
    for _ in 0..200 {
        if let Ok(stream) = TcpStream::connect(address) {
            return stream;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("no listener at {address}");
}

/// Sends a heartbeat and returns the first line of the response.
fn send_heartbeat(stream: &mut TcpStream) -> String {
    let request = "POST /checkin HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("to send");
    let mut response = [0; 512];
    let length = stream.read(&mut response).expect("a response");
    let text = String::from_utf8_lossy(&response[..length]);
    text.lines().next().unwrap_or_default().to_string()
}

#[test]
fn a_hundred_agents_are_answered_with_thirty_sockets() {
    let endpoints = Endpoints {
        front: free_address(),
        peer_listen: free_address(),
        store: free_address(),
        cloud: free_address(),
        peers: Vec::new(),
        socket_limit: SOCKET_LIMIT,
    };
    let front = endpoints.front;
    let controller = Controller::new(Settings::default(), Tuning::default(), 1);
    std::thread::spawn(move || run(controller, endpoints));
    // The agents keep all their connections open.
    let mut open = Vec::new();
    for agent in 0..AGENTS {
        let mut stream = connect(front);
        // An empty body is not a valid heartbeat, so the expected response is an error.
        assert_eq!(
            send_heartbeat(&mut stream),
            "HTTP/1.1 400 Bad Request",
            "{agent}"
        );
        open.push(stream);
    }
}
