//! Connections that others open: requests in, answers out.

use super::*;

/// Workers are crowded when so many tenths of the connections that others may have are theirs.
const CROWDED_TENTHS: usize = 7;

/// Who opened a connection to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    User,
    Agent,
}

/// Largest body of a request at this interface.
pub(super) fn request_limit(interface: Interface) -> usize {
    match interface {
        Interface::Front => http::REQUEST_LIMIT,
        Interface::Peer => http::PEER_REQUEST_LIMIT,
    }
}

impl Loop {
    /// Most connections that others may have to us: the rest is kept for the state service, the
    /// cloud, workers' commands and peers.
    pub(super) fn serve_limit(&self) -> usize {
        (self.endpoints.socket_limit * 3 / 4).max(8)
    }

    pub(super) fn accept(&mut self, listener: &TcpListener, interface: Interface) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    // Peers may go a little beyond, so that users cannot shut them out.
                    let limit = match interface {
                        Interface::Front => self.serve_limit(),
                        Interface::Peer => self.serve_limit() + 16,
                    };
                    if self.served >= limit && !self.close_idle_server() {
                        debug!("a connection is refused: there are too many");
                        drop(stream);
                        continue;
                    }
                    let kind = Kind::Server {
                        interface,
                        request: None,
                        close: false,
                        agent: false,
                    };
                    let deadline = self.now.steady + REQUEST_TIME;
                    if let Some(key) = self.add_conn(stream, kind, deadline) {
                        self.served += 1;
                        self.on_readable(key);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    debug!("accept: {e}");
                    return;
                }
            }
        }
    }

    /// Whether workers are so many that their connections do not stay open between two reports. With
    /// more machines than sockets the rest was refused for good, and their leases ran out. Idle
    /// connections of users do not count: there are always as many as there is room for.
    fn is_crowded(&self) -> bool {
        self.agents * 10 >= self.serve_limit() * CROWDED_TENTHS
    }

    /// Closes an idle connection to make room: of a user if there is one, else of a worker, which
    /// opens another for its next report.
    pub(super) fn close_idle_server(&mut self) -> bool {
        let idle = self
            .idle_server(Requester::User)
            .or_else(|| self.idle_server(Requester::Agent));
        if let Some(key) = idle {
            self.close(key);
        }
        idle.is_some()
    }

    /// The connection of such a requester that has been idle for longest.
    fn idle_server(&self, requester: Requester) -> Option<usize> {
        let wanted = requester == Requester::Agent;
        let is_idle = |conn: &Conn| {
            let front = matches!(
                conn.kind,
                Kind::Server {
                    request: None,
                    interface: Interface::Front,
                    agent,
                    ..
                } if agent == wanted
            );
            front && conn.input.is_empty() && conn.output.is_empty()
        };
        let mut keys = self.deadlines.iter().map(|(_, key)| *key);
        keys.find(|key| self.conns.get(*key).is_some_and(is_idle))
    }

    pub(super) fn on_server_data(&mut self, key: usize, ended: bool) {
        if ended {
            return self.close(key);
        }
        let now = self.now.steady;
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if conn.input.is_empty() {
            return;
        }
        let Kind::Server {
            interface,
            request,
            close,
            agent,
        } = &mut conn.kind
        else {
            return;
        };
        if request.is_some() {
            // Requests are never pipelined.
            return self.refuse(key, 400, "pipelined request");
        }
        match parse_request(&conn.input, request_limit(*interface)) {
            Parsed::Partial => {
                // The time for a request runs from its first byte on.
                if conn.deadline > now + REQUEST_TIME {
                    self.set_deadline(key, now + REQUEST_TIME);
                }
            }
            Parsed::Bad(status, why) => self.refuse(key, status, why),
            Parsed::TooLarge => self.refuse(key, 413, "request too large"),
            Parsed::Whole(r, used) => {
                if used < conn.input.len() {
                    return self.refuse(key, 400, "pipelined request");
                }
                conn.input = Vec::new();
                self.next_request += 1;
                let id = self.next_request;
                *request = Some(id);
                *close = r.close;
                if r.path == "/checkin" && !*agent {
                    *agent = true;
                    self.agents += 1;
                }
                let input = Input::Request {
                    id,
                    interface: *interface,
                    method: r.method,
                    path: r.path,
                    body: r.body,
                };
                self.requests.insert(id, key);
                self.inputs.push_back(input);
                self.set_deadline(key, now + IDLE_TIME);
            }
        }
    }

    /// Answers a request that could not be read and closes the connection.
    pub(super) fn refuse(&mut self, key: usize, status: u16, why: &'static str) {
        debug!("a request is refused: {status} {why}");
        if let Some(conn) = self.conns.get_mut(key) {
            if let Kind::Server { close, request, .. } = &mut conn.kind {
                *close = true;
                if let Some(id) = request.take() {
                    self.requests.remove(&id);
                    self.inputs.push_back(Input::Gone { id });
                }
            }
            conn.input = Vec::new();
            write_response(
                &mut conn.output,
                status,
                "text/plain",
                why.as_bytes(),
                None,
                true,
            );
        }
        self.set_deadline(key, self.now.steady + WRITE_TIME);
        self.on_writable(key);
    }

    pub(super) fn answer(&mut self, id: u64, status: u16, body: &[u8], retry_after: Option<u32>) {
        let Some(key) = self.requests.remove(&id) else {
            return;
        };
        let crowded = self.is_crowded();
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if let Kind::Server {
            request,
            close,
            interface,
            agent,
        } = &mut conn.kind
        {
            *request = None;
            *close |= *agent && crowded;
            let content = match interface {
                Interface::Front => "application/cbor",
                Interface::Peer => "application/msgpack",
            };
            write_response(&mut conn.output, status, content, body, retry_after, *close);
        }
        self.on_writable(key);
    }
}
