//! The controllers: their steps, their calls and the links that these take.

use super::*;
use grebewood_wire::from_peer;
use grebewood_wire::peer::PeerRequest;
use std::time::Instant;

impl World {
    pub(super) fn step(&mut self, n: usize, process: u64, input: Input) {
        let now = Now {
            steady: self.now,
            wall: self.wall_clock_start + self.now,
        };
        let process_slot = &mut self.controllers[n];
        if process_slot.process != process {
            return;
        }
        let Some(controller) = &mut process_slot.controller else {
            return;
        };
        if let Input::Reply { call, .. } = &input {
            if process_slot.renewals.remove(call) {
                process_slot.uncertain = false;
            }
        }
        let leads = controller.leader.is_some();
        let kind = StepKind::of(&input);
        let first_start = Instant::now();
        let effects = controller.step(now, input, &mut NoStopwatch);
        match (&mut self.measures, leads) {
            (Some(measures), true) => measures.step(kind, first_start.elapsed()),
            (Some(measures), false) => measures.other_steps += first_start.elapsed(),
            (None, _) => {}
        }
        self.trace_effects(n, &effects);
        for effect in effects {
            let what = self.effect_needing_grant(n, &effect);
            if let (true, Some(what)) = (self.controllers[n].uncertain, what) {
                self.broken
                    .get_or_insert(format!("perch-{n}, back from a standstill, {what}"));
            }
            match effect {
                Effect::Answer {
                    id, status, body, ..
                } => {
                    if let Some(requester) = self.requests.remove(&(n, id)) {
                        self.confirmed(n, &requester, status, &status_in(&body));
                        self.push(
                            self.now + MILLISECOND,
                            Event::Response(requester, n, status, body),
                        );
                    }
                }
                Effect::Call(call) => {
                    let caller = Caller {
                        controller: n,
                        process,
                        call: call.id,
                    };
                    self.open_calls.insert(caller);
                    let unknown = Input::Reply {
                        call: call.id,
                        outcome: Outcome::Unknown,
                    };
                    self.push(self.now + call.timeout, Event::Input(n, process, unknown));
                    self.send(caller, call);
                }
            }
        }
        self.deliver_held_copies(n);
    }

    fn trace_effects(&mut self, n: usize, effects: &[Effect]) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let process = format!("perch-{n}");
        for effect in effects {
            trace.add(self.now, &process, effect);
            let Effect::Answer { id, body, .. } = effect else {
                continue;
            };
            if let Some(Requester::Peer(_)) = self.requests.get(&(n, *id)) {
                trace.sample_answer(body);
            }
        }
    }

    /// A process that has stepped down may become the leader anew.
    pub(super) fn clear_uncertainty(&mut self, n: usize) {
        if !self.leads(n) {
            self.controllers[n].uncertain = false;
        }
    }

    /// What of an effect a leader may do only if it is certain of its grant.
    pub(super) fn effect_needing_grant(
        &mut self,
        n: usize,
        effect: &Effect,
    ) -> Option<&'static str> {
        match effect {
            Effect::Answer { id, status, .. } => {
                let requester = self.requests.get(&(n, *id));
                let agent = matches!(
                    requester,
                    Some(Requester::Heartbeat { .. } | Requester::HeartbeatCopy { .. })
                );
                (agent && *status == 200).then_some("answers a worker")
            }
            Effect::Call(call) if call.path.ends_with("/extend") => {
                self.controllers[n].renewals.insert(call.id);
                None
            }
            Effect::Call(call) => match call.target {
                Target::Cloud if call.method == "POST" => Some("rents or releases"),
                Target::Agent(_) => Some("commands a worker"),
                // A leader's writes depend on its grant; any controller accepts and cancels.
                Target::Store if call.path == "/txn" => String::from_utf8_lossy(&call.body)
                    .contains("leader")
                    .then_some("writes as the leader"),
                _ => None,
            },
        }
    }

    /// When a message over this link arrives: never if the link is cut, late if the cut holds it.
    pub(super) fn arrival(&self, controller: usize, what: &str, delay: Micros) -> Option<Micros> {
        let delay = delay + self.link_delay(what);
        let cut = self.cuts.iter().find(|c| {
            c.controller == controller && self.now < c.until && (c.what == what || c.what == "all")
        });
        match cut {
            None => Some(self.now + delay),
            Some(c) if c.hold => Some(c.until + delay),
            Some(_) => None,
        }
    }

    pub(super) fn send(&mut self, caller: Caller, call: grebewood_core::Call) {
        let n = caller.controller;
        match call.target {
            Target::Store => {
                let Some(mut at) = self.arrival(n, "state", 2 * MILLISECOND) else {
                    return;
                };
                if call.path == "/txn" && self.lose_transaction(n, at, &call) {
                    return;
                }
                if call.path == "/txn" && self.leads(n) {
                    let text = String::from_utf8_lossy(&call.body).into_owned();
                    if self.crash_on_page_write && text.contains("page/") {
                        self.crash_on_page_write = false;
                        // The write happens, and its writer dies before it learns of it.
                        self.push(
                            at,
                            Event::StoreCall(caller, call.method, call.path, call.body),
                        );
                        at += MILLISECOND;
                        let line = Directive {
                            words: vec!["crash".into(), n.to_string()],
                            ..Directive::default()
                        };
                        self.push(at, Event::Directive(line));
                        return;
                    }
                }
                self.push(
                    at,
                    Event::StoreCall(caller, call.method, call.path, call.body),
                );
            }
            Target::Cloud => {
                if let Some(at) = self.arrival(n, "cloud", 100 * MILLISECOND) {
                    self.push(
                        at,
                        Event::CloudCall(caller, call.method, call.path, call.body),
                    );
                }
            }
            Target::Agent(address) => {
                if let Some(at) = self.arrival(n, "workers", 2 * MILLISECOND) {
                    self.push(at, Event::DirectCommand(caller, address, call.body));
                }
            }
            Target::Peer(p) => {
                let to = (0..self.controllers.len()).filter(|o| *o != n).nth(p);
                let Some(to) = to else { return };
                // Orders go to members that hold a partition. One that has come back with the version
                // before meanwhile refuses them, as it does every message that it does not know.
                let orders = matches!(from_peer(&call.body), Ok(PeerRequest::Partition(_)));
                if orders && self.previous_version.contains(&to) {
                    return self.reply(caller, "peers", 2 * MILLISECOND, 400, Vec::new());
                }
                let checked = match orders {
                    true => Ok(()),
                    false => production::check_peer_request(&call.body),
                };
                if let Err(e) = checked {
                    let e = format!("the version in production cannot read a peer message: {e}");
                    self.broken.get_or_insert(e);
                }
                // The version before writes and reads what it knows, and nothing else.
                let mut body = call.body;
                if self.previous_version.contains(&n) || self.previous_version.contains(&to) {
                    body = production::known_of_peer_request(&body).unwrap_or(body);
                }
                let ways = (
                    self.arrival(n, "peers", MILLISECOND),
                    self.arrival(to, "peers", MILLISECOND),
                );
                if let (Some(out), Some(back)) = ways {
                    let at = out.max(back);
                    let event = Event::Request {
                        controller: to,
                        interface: Interface::Peer,
                        method: call.method.into(),
                        path: call.path,
                        body,
                        requester: Requester::Peer(caller),
                    };
                    self.push(at, event);
                }
            }
        }
    }

    pub(super) fn reply(
        &mut self,
        caller: Caller,
        what: &str,
        delay: Micros,
        status: u16,
        body: Vec<u8>,
    ) {
        let lag = if what == "state" { self.store_lag() } else { 0 };
        if let Some(at) = self.arrival(caller.controller, what, delay + lag) {
            let input = Input::Reply {
                call: caller.call,
                outcome: Outcome::Answer { status, body },
            };
            self.push(at, Event::Input(caller.controller, caller.process, input));
        }
    }

    pub(super) fn leads(&self, n: usize) -> bool {
        self.controllers[n]
            .controller
            .as_ref()
            .is_some_and(|controller| controller.leader.is_some())
    }

    pub(super) fn handle_store_call(
        &mut self,
        caller: Caller,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let refused = self
            .refused
            .iter()
            .any(|(n, until)| *n == caller.controller && self.now < *until);
        if refused {
            if !path.starts_with("/changes") {
                self.reply(caller, "state", 2 * MILLISECOND, 503, Vec::new());
            }
            return;
        }
        if let Ok(transaction) = from_cbor::<Transaction>(body) {
            for change in &transaction.apply {
                let Operation::Put { put, value, .. } = change else {
                    continue;
                };
                if let Err(e) = production::check_record(put, value) {
                    let e = format!("the version in production cannot read a record: {e}");
                    self.broken.get_or_insert(e);
                }
            }
        }
        self.seq += 1;
        let ticket = self.seq;
        let grant = from_cbor::<Transaction>(body).is_ok_and(|transaction| {
            let puts = |c: &Operation| matches!(c, Operation::Put { put, .. } if put == "leader");
            transaction.apply.iter().any(puts)
        });
        let reply = self.state.request(self.now, ticket, method, path, body);
        if grant && matches!(reply, Reply::Now(200, _)) {
            self.on_leader_grant();
        }
        if let Some(measures) = &mut self.measures {
            measures.requests += 1;
            if let (Ok(transaction), Reply::Now(200, _)) = (from_cbor::<Transaction>(body), &reply)
            {
                measures.changes += transaction.apply.len() as u64;
            }
        }
        match reply {
            Reply::Now(status, body) => {
                self.count_late_transaction(caller, path, status);
                self.reply(caller, "state", 2 * MILLISECOND, status, body)
            }
            Reply::Later => {
                self.store_tickets.insert(ticket, caller);
            }
        }
    }
}
