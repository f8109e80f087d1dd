//! Workers: their heartbeats, direct commands, and the rules of starting a task.

use super::*;

impl World {
    pub(super) fn handle_heartbeat_response(
        &mut self,
        name: &str,
        heartbeat_id: u64,
        controller: usize,
        status: u16,
        body: &[u8],
    ) -> Result<(), String> {
        let now = self.now;
        let controllers = self.controllers.len();
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        let Some((id, sent, incarnation)) = m.in_flight else {
            return Ok(());
        };
        if id != heartbeat_id || m.gone || incarnation != m.incarnation {
            return Ok(());
        }
        if self.lose_response.remove(name) || now < m.deaf_until.max(m.unplugged_until) {
            return Ok(());
        }
        m.in_flight = None;
        if now < m.hangs_until {
            return Ok(());
        }
        match status {
            200 => {
                let answer: HeartbeatResponse =
                    from_cbor(body).map_err(|e| format!("a check-in's answer: {e}"))?;
                if answer.token < m.token {
                    return Ok(());
                }
                m.token = answer.token;
                m.lease_start = sent;
                let started = m.carry_out(now, &answer.commands, &self.facts);
                self.started(name, &started)
            }
            421 => {
                let leader = from_cbor::<Redirect>(body).ok().and_then(|r| r.leader);
                let to = leader
                    .and_then(|s| s.strip_prefix("perch-").and_then(|n| n.parse().ok()))
                    .filter(|n| *n != controller && *n < controllers);
                match to {
                    Some(n) => {
                        m.controller = n;
                        m.next_heartbeat = now + 100 * MILLISECOND;
                    }
                    None => {
                        m.controller = (controller + 1) % controllers;
                        m.next_heartbeat = now + SECOND;
                    }
                }
                Ok(())
            }
            _ => {
                m.controller = (controller + 1) % controllers;
                m.next_heartbeat = now + SECOND;
                Ok(())
            }
        }
    }

    /// Tasks came onto a machine: checks the rules of starting.
    pub(super) fn started(&mut self, name: &str, tasks: &[String]) -> Result<(), String> {
        // Only a start can break what is checked here; what lasts is checked at each moment.
        if tasks.is_empty() {
            return Ok(());
        }
        let Some(here) = self.machines.get(name) else {
            return Ok(());
        };
        let led = (0..self.controllers.len()).any(|n| self.leads(n));
        for task_name in tasks {
            let Some((job, _)) = task_name.rsplit_once('/') else {
                continue;
            };
            let live = |m: &&Machine| !m.gone;
            for m in self.machines.values().filter(live) {
                if m.name != name && m.live().any(|t| t.task_name == *task_name) {
                    return Err(format!("ran_twice: {task_name} on {} and {name}", m.name));
                }
            }
            let Some(observed) = self.jobs.get_mut(job) else {
                return Err(format!("{task_name} of an unknown job"));
            };
            observed.starts += 1;
            observed.last_start = self.now;
            if let Some(measures) = &mut self.measures {
                let (team, after) = (&observed.spec.team, self.now - observed.submitted);
                measures.task_started(team, task_name, after, !led);
            }
            if observed.cancelled_at.is_some() {
                self.checks.late_starts += 1;
            }
            observed.first_start.get_or_insert(self.now);
            let spec = &observed.spec;
            if observed
                .cancelled_at
                .is_some_and(|at| self.now > at + self.settings.cancel_timeout)
            {
                return Err(format!("ran_cancelled: {task_name} starts"));
            }
            let allowed = spec
                .machine_types
                .as_ref()
                .is_none_or(|b| b.contains(&here.machine_type))
                && spec.zone.as_ref().is_none_or(|y| *y == here.zone)
                && (spec.spot || !here.spot);
            if !allowed {
                return Err(format!("wrong_place: {task_name} on {name}"));
            }
            let prefix = format!("{job}/");
            let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
            for m in self.machines.values().filter(live) {
                let n = m
                    .live()
                    .filter(|t| t.task_name.starts_with(&prefix))
                    .count();
                if n > 0 {
                    *zones.entry(&m.zone).or_insert(0) += n as u64;
                }
            }
            if spec.one_zone && zones.len() > 1 {
                return Err(format!("wrong_place: {job} in several zones"));
            }
            if spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)) {
                return Err(format!("wrong_place: {job} is not spread"));
            }
        }
        self.check_quota()
    }

    pub(super) fn direct(
        &mut self,
        caller: Caller,
        address: &str,
        body: &[u8],
    ) -> Result<(), String> {
        let now = self.now;
        let name = address.trim_start_matches("worker:").to_string();
        let Some(m) = self.machines.get_mut(&name) else {
            return Ok(());
        };
        if m.gone || !m.up || now < m.deaf_until.max(m.unplugged_until) {
            return Ok(());
        }
        if self.lose_direct_command(caller, &name, body) {
            return Ok(());
        }
        let Some(m) = self.machines.get_mut(&name) else {
            return Ok(());
        };
        if now < m.hangs_until {
            // Carried out when the machine resumes.
            let at = m.hangs_until + MILLISECOND;
            self.push(
                at,
                Event::DirectCommand(caller, address.into(), body.to_vec()),
            );
            return Ok(());
        }
        let Ok(commands) = from_cbor::<DirectCommands>(body) else {
            return Ok(());
        };
        let (status, started) = if commands.token < m.token || commands.incarnation != m.incarnation
        {
            (409, Vec::new())
        } else {
            m.token = commands.token;
            (200, m.carry_out(now, &commands.commands, &self.facts))
        };
        let report = to_cbor(&m.report(now));
        self.reply(caller, "workers", 2 * MILLISECOND, status, report);
        self.started(&name, &started)
    }

    pub(super) fn tick(&mut self) -> Result<(), String> {
        let now = self.now;
        self.state.expire(now);
        for (ticket, body) in self.state.ready(now) {
            if let Some(caller) = self.store_tickets.remove(&ticket) {
                // The open watches of a controller that is refused wait, as in an outage.
                let refused = self.refused.iter().filter(|(n, _)| *n == caller.controller);
                let until = refused.map(|(_, until)| *until).max().unwrap_or(0);
                let wait = until.saturating_sub(now);
                self.reply(caller, "state", wait + 2 * MILLISECOND, 200, body);
            }
        }
        for n in 0..self.controllers.len() {
            let process = self.controllers[n].process;
            let due = self.controllers[n]
                .controller
                .as_ref()
                .is_some_and(|controller| controller.next_wake() <= now)
                && self.controllers[n].paused_until <= now;
            if due {
                self.step(n, process, Input::Tick);
            }
        }
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.tick_machine(&name)?;
        }
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            self.poll_all_jobs()?;
        }
        self.check_invariants()
    }

    pub(super) fn tick_machine(&mut self, name: &str) -> Result<(), String> {
        let now = self.now;
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if !m.up && !m.gone && m.boots_at.is_some_and(|at| at <= now) {
            m.up = true;
            m.lease_start = now;
            m.next_heartbeat = now;
        }
        if m.reclaim_at.is_some_and(|at| at <= now) {
            m.gone = true;
        }
        if !m.up || m.gone {
            return Ok(());
        }
        let (done, changed) = m.advance(now, self.settings.agent_lease, &self.facts);
        for task_name in done {
            if let Some((job, _)) = task_name.rsplit_once('/') {
                if let Some(observed) = self.jobs.get_mut(job) {
                    observed.completed.insert(task_name.clone());
                }
                self.note_completion(job);
            }
        }
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if now < m.hangs_until {
            return Ok(());
        }
        // A higher token counts as a change once in half a lease.
        let rested = m
            .token_reported_at
            .is_none_or(|at| now >= at + self.settings.agent_lease / 2);
        if m.reported_token < m.token && rested && m.in_flight.is_none() {
            m.token_reported_at = Some(now);
            m.reported_token = m.token;
            m.next_heartbeat = m
                .next_heartbeat
                .min((m.last_contact_at + SECOND / 2).max(now));
        }
        if changed {
            m.next_heartbeat = m
                .next_heartbeat
                .min((m.last_contact_at + SECOND / 2).max(now));
        }
        if let Some((_, sent, _)) = m.in_flight {
            if now < sent + 4 * SECOND {
                return Ok(());
            }
            m.in_flight = None;
            m.controller = (m.controller + 1) % self.controllers.len();
            m.next_heartbeat = now + SECOND;
        }
        if now < m.next_heartbeat {
            return Ok(());
        }
        if now < m.mute_until {
            m.controller = (m.controller + 1) % self.controllers.len();
            m.next_heartbeat = now + SECOND;
            return Ok(());
        }
        self.seq += 1;
        let heartbeat_id = self.seq;
        m.in_flight = Some((heartbeat_id, now, m.incarnation));
        m.last_contact_at = now;
        m.next_heartbeat = now + self.settings.heartbeat_interval;
        m.reported_token = m.token;
        let body = to_cbor(&m.report(now));
        let (controller, unplugged_until) = (m.controller, m.unplugged_until);
        let requester = Requester::Heartbeat {
            machine: name.into(),
            heartbeat_id,
        };
        let event = |body| Event::Request {
            controller,
            interface: Interface::Front,
            method: "POST".into(),
            path: "/checkin".into(),
            body,
            requester: requester.clone(),
        };
        if let Some(late) = self.late_heartbeat.remove(name) {
            let copy = event(body.clone());
            self.push(now + late, copy);
        }
        self.copy_heartbeat(name, &body);
        if now < unplugged_until {
            return Ok(());
        }
        let slow = self.overtake_heartbeat.remove(name);
        if let Some(late) = slow {
            let sequence = self.machine_mut(name)?.sequence;
            self.push(now + late, Event::OvertakenHeartbeat(name.into(), sequence));
        }
        if let Some(at) = self.arrival(controller, "workers", MILLISECOND + slow.unwrap_or(0)) {
            let event = event(body);
            self.push(at, event);
        }
        Ok(())
    }
}
