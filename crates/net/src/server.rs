//! Connections that others open: requests in, answers out.

use super::*;

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
                        worker: false,
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

    /// Closes a user's idle connection to make room. Those of workers are spared.
    pub(super) fn close_idle_server(&mut self) -> bool {
        let idle = self.deadlines.iter().map(|(_, k)| *k).find(|k| {
            self.conns.get(*k).is_some_and(|c| {
                c.input.is_empty()
                    && matches!(
                        c.kind,
                        Kind::Server {
                            request: None,
                            worker: false,
                            interface: Interface::Front,
                            ..
                        }
                    )
            })
        });
        match idle {
            Some(key) => {
                self.close(key);
                true
            }
            None => false,
        }
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
            worker,
        } = &mut conn.kind
        else {
            return;
        };
        if request.is_some() {
            // Requests are never pipelined.
            return self.refuse(key, 400, "pipelined request");
        }
        match parse_request(&conn.input) {
            Parsed::Partial => {
                // The time for a request runs from its first byte on.
                if conn.deadline > now + REQUEST_TIME {
                    self.set_deadline(key, now + REQUEST_TIME);
                }
            }
            Parsed::Bad(status, why) => self.refuse(key, status, why),
            Parsed::Whole(r, used) => {
                if used < conn.input.len() {
                    return self.refuse(key, 400, "pipelined request");
                }
                conn.input = Vec::new();
                self.next_request += 1;
                let id = self.next_request;
                *request = Some(id);
                *close = r.close;
                *worker |= r.path == "/checkin";
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
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if let Kind::Server {
            request,
            close,
            interface,
            ..
        } = &mut conn.kind
        {
            *request = None;
            let content = match interface {
                Interface::Front => "application/cbor",
                Interface::Peer => "application/msgpack",
            };
            write_response(&mut conn.output, status, content, body, retry_after, *close);
        }
        self.on_writable(key);
    }
}
