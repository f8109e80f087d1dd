//! Connections that this process opens: calls out, replies in.

use super::*;

impl Loop {
    /// Most connections to one address.
    pub(super) fn conn_limit(&self, addr: SocketAddr) -> usize {
        if addr == self.endpoints.store {
            48.min(self.endpoints.socket_limit / 8).max(4)
        } else if addr == self.endpoints.cloud {
            6
        } else {
            3
        }
    }

    pub(super) fn start_call(&mut self, call: Call) {
        let Some(addr) = self.address(&call.target) else {
            self.inputs.push_back(Input::Reply {
                call: call.id,
                outcome: Outcome::NotSent,
            });
            return;
        };
        let id = call.id;
        let deadline = self.now.steady + call.timeout;
        self.flight_deadlines.insert((deadline, id));
        let flight = Flight {
            call,
            addr,
            conn: None,
            deadline,
            retried: false,
        };
        self.flights.insert(id, flight);
        self.queued.entry(addr).or_default().push_back(id);
        self.run_queue(addr);
    }

    /// Gives queued calls connections.
    pub(super) fn run_queue(&mut self, addr: SocketAddr) {
        loop {
            let Some(id) = self.queued.get(&addr).and_then(|q| q.front().copied()) else {
                return;
            };
            if !self.flights.contains_key(&id) {
                if let Some(q) = self.queued.get_mut(&addr) {
                    q.pop_front();
                }
                continue;
            }
            let reuse = self.idle.get_mut(&addr).and_then(Vec::pop);
            let key = match reuse {
                Some(key) => key,
                None => {
                    let open = self.open.get(&addr).copied().unwrap_or(0);
                    if open >= self.conn_limit(addr) {
                        return;
                    }
                    match self.connect(addr) {
                        Some(key) => key,
                        None => {
                            if let Some(q) = self.queued.get_mut(&addr) {
                                q.pop_front();
                            }
                            self.finish(id, Outcome::NotSent);
                            continue;
                        }
                    }
                }
            };
            if let Some(q) = self.queued.get_mut(&addr) {
                q.pop_front();
            }
            self.send_on(key, id);
        }
    }

    /// Closes an idle connection of ours to make room for another.
    pub(super) fn close_idle_client(&mut self) -> bool {
        let idle = self.idle.values().find_map(|keys| keys.first().copied());
        if let Some(key) = idle {
            self.close(key);
        }
        idle.is_some()
    }

    pub(super) fn connect(&mut self, addr: SocketAddr) -> Option<usize> {
        let limit = self.endpoints.socket_limit.saturating_sub(8);
        if self.conns.len() >= limit && !self.close_idle_client() {
            debug!("no socket left for {addr}");
            return None;
        }
        let stream = match TcpStream::connect(addr) {
            Ok(s) => s,
            Err(e) => {
                debug!("{addr}: {e}");
                return None;
            }
        };
        let kind = Kind::Client {
            addr,
            call: None,
            connected: false,
            reused: false,
        };
        let key = self.add_conn(stream, kind, self.now.steady + CLIENT_IDLE_TIME)?;
        *self.open.entry(addr).or_insert(0) += 1;
        Some(key)
    }

    pub(super) fn send_on(&mut self, key: usize, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.conn = Some(key);
        let content = match flight.call.target {
            Target::Peer(_) => "application/msgpack",
            _ => "application/cbor",
        };
        let bytes = write_request(
            flight.call.method,
            &flight.call.path,
            &flight.addr.to_string(),
            content,
            &flight.call.body,
        );
        let deadline = flight.deadline + SECOND;
        if let Some(conn) = self.conns.get_mut(key) {
            conn.output = bytes;
            conn.written = 0;
            conn.input = Vec::new();
            if let Kind::Client { call, .. } = &mut conn.kind {
                *call = Some(id);
            }
        }
        self.set_deadline(key, deadline);
        self.on_writable(key);
    }

    pub(super) fn on_client_data(&mut self, key: usize, ended: bool) {
        let now = self.now.steady;
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let Kind::Client {
            addr, call, reused, ..
        } = &mut conn.kind
        else {
            return;
        };
        let Some(id) = *call else {
            // Closed, or bytes that nobody asked for.
            if ended || !conn.input.is_empty() {
                self.close(key);
            }
            return;
        };
        if ended && conn.input.is_empty() {
            return self.close(key);
        }
        match parse_response(&conn.input, ended) {
            Parsed::Partial => {}
            Parsed::Bad(_, why) => {
                warn!("{addr}: {why}");
                self.close(key);
            }
            Parsed::TooLarge => {
                warn!("{addr}: a response is too large");
                *call = None;
                self.close(key);
                self.finish(id, Outcome::TooLarge);
            }
            Parsed::Whole(response, used) => {
                *call = None;
                *reused = true;
                let addr = *addr;
                let surplus = used < conn.input.len();
                conn.input = Vec::new();
                if response.close || surplus || ended {
                    self.close(key);
                } else {
                    let agent = |f: &Flight| matches!(f.call.target, Target::Agent(_));
                    let idle = match self.flights.get(&id).is_some_and(agent) {
                        true => WORKER_IDLE_TIME,
                        false => CLIENT_IDLE_TIME,
                    };
                    self.idle.entry(addr).or_default().push(key);
                    self.set_deadline(key, now + idle);
                }
                self.finish(
                    id,
                    Outcome::Answer {
                        status: response.status,
                        body: response.body,
                    },
                );
                self.run_queue(addr);
            }
        }
    }

    pub(super) fn finish(&mut self, id: u64, outcome: Outcome) {
        if let Some(flight) = self.flights.remove(&id) {
            self.flight_deadlines.remove(&(flight.deadline, id));
            self.inputs.push_back(Input::Reply { call: id, outcome });
        }
    }

    /// The connection of a call ended without a response.
    pub(super) fn call_broken(&mut self, id: u64, connected: bool, reused: bool) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if !connected {
            return self.finish(id, Outcome::NotSent);
        }
        // The other side may have closed an idle connection just when it was used again. Reads
        // are repeated on a new one; what changes something is left to the caller.
        if reused && !flight.retried && flight.call.method == "GET" {
            flight.retried = true;
            flight.conn = None;
            let addr = flight.addr;
            self.queued.entry(addr).or_default().push_front(id);
            return;
        }
        self.finish(id, Outcome::Unknown);
    }
}
