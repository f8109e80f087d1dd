//! Users: what they submit, cancel and ask, and what the answers must say.

use super::*;

impl World {
    pub(super) fn up_nodes(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].node.is_some())
            .collect()
    }

    pub(super) fn any_node(&mut self) -> usize {
        let up = self.up_nodes();
        self.seq += 1;
        up.get(self.seq as usize % up.len().max(1))
            .copied()
            .unwrap_or(0)
    }

    pub(super) fn ask(
        &mut self,
        node: usize,
        method: &str,
        path: String,
        body: Vec<u8>,
        asker: Asker,
    ) {
        let ev = Ev::Request {
            node,
            interface: Interface::Front,
            method: method.into(),
            path,
            body,
            asker,
        };
        self.push(self.now + MS, ev);
    }

    pub(super) fn submit(&mut self, job: &str, node: Option<usize>) {
        let Some(seen) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&seen.spec);
        let node = node.unwrap_or_else(|| self.any_node());
        let asker = Asker::Submit(job.into(), self.now);
        self.ask(node, "POST", "/submissions".into(), body, asker);
    }

    pub(super) fn cancel(&mut self, job: &str, node: Option<usize>) {
        let node = node.unwrap_or_else(|| self.any_node());
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.cancel_asked.get_or_insert(self.now);
        }
        let asker = Asker::Cancel(job.into(), self.now);
        let path = format!("/submissions/{job}/cancel");
        self.ask(node, "POST", path, Vec::new(), asker);
    }

    /// Users ask about every job, each some node that is up; none may go without an answer for long
    /// once all troubles are over.
    pub(super) fn ask_about_all(&mut self) -> Result<(), String> {
        let live = |j: &JobSeen| j.accepted && !j.done && j.cancelled_at.is_none();
        let jobs: Vec<(String, Micros)> = self
            .jobs
            .iter()
            .filter(|(_, j)| live(j))
            .map(|(id, j)| (id.clone(), j.answered))
            .collect();
        for (job, answered) in jobs {
            let since = answered.max(self.untroubled);
            if self.now.saturating_sub(since) > FORGOTTEN_AFTER {
                return Err(format!("forgotten: no question about {job} is answered"));
            }
            let node = self.any_node();
            let path = format!("/submissions/{job}");
            let asker = Asker::Poll(job, self.now);
            self.ask(node, "GET", path, Vec::new(), asker);
        }
        self.ask_aside();
        Ok(())
    }

    /// At least half of each class, of each team and of each class's largest jobs must be served, and
    /// the largest must have begun in time. Jobs that came lately or were cancelled do not count.
    pub(super) fn check_halves(&self) -> Result<(), String> {
        let old = |j: &&JobSeen| j.accepted && self.now > j.submitted + BEGIN_WITHIN;
        let jobs: Vec<&JobSeen> = self
            .jobs
            .values()
            .filter(|j| j.cancelled_at.is_none())
            .filter(old)
            .collect();
        let mut groups: BTreeMap<String, Vec<&JobSeen>> = BTreeMap::new();
        for j in &jobs {
            let (class, team) = (&j.spec.class, &j.spec.team);
            groups.entry(format!("class {class}")).or_default().push(j);
            groups.entry(format!("team {team}")).or_default().push(j);
        }
        let largest: Vec<(String, Vec<&JobSeen>)> = groups
            .iter()
            .filter(|(name, _)| name.starts_with("class"))
            .map(|(name, jobs)| {
                let mut jobs = jobs.clone();
                jobs.sort_by_key(|j| std::cmp::Reverse(j.spec.tasks));
                jobs.truncate(jobs.len().div_ceil(10));
                (format!("the largest of {name}"), jobs)
            })
            .collect();
        for (name, jobs) in &largest {
            let late = |j: &&&JobSeen| j.began.is_none_or(|at| at > j.submitted + BEGIN_WITHIN);
            if jobs.iter().filter(late).count() * 2 > jobs.len() {
                return Err(format!("{name} have not begun in time"));
            }
        }
        for (name, jobs) in groups.iter().chain(largest.iter().map(|(n, j)| (n, j))) {
            let serves = |j: &&&JobSeen| match j.spec.shape.as_str() {
                "daemon" => j.began.is_some(),
                _ => j.done || j.completed.len() as u64 == j.spec.tasks,
            };
            let served = jobs.iter().filter(serves).count();
            if served * 2 < jobs.len() {
                return Err(format!(
                    "only {served} of {} of {name} are served",
                    jobs.len()
                ));
            }
        }
        match jobs.is_empty() {
            true => Err("no job came early enough to be judged".into()),
            false => Ok(()),
        }
    }

    /// Checks what a user is told about a job.
    pub(super) fn told(&mut self, job: &str, status: &str) -> Result<(), String> {
        let now = self.now;
        self.known(job);
        let Some(seen) = self.jobs.get_mut(job) else {
            return Err(format!("invented: {job} is said to be {status}"));
        };
        match status {
            "done" => {
                if seen.spec.shape == "daemon" {
                    return Err(format!("not_done: {job} is a daemon and said to be done"));
                }
                if seen.completed.len() as u64 != seen.spec.tasks {
                    return Err(format!("not_done: {job} is said to be done"));
                }
                if seen.cancelled_at.is_some() {
                    return Err(format!("went_back: {job} is done after it was cancelled"));
                }
                seen.done = true;
                self.look_after(job, "done");
            }
            "aborted" => {
                if seen.cancel_asked.is_none() {
                    return Err(format!(
                        "went_back: {job} is cancelled, and nobody asked for it"
                    ));
                }
                if seen.done {
                    return Err(format!("went_back: {job} is cancelled after it was done"));
                }
                seen.cancelled_at.get_or_insert(now);
                self.look_after(job, "aborted");
            }
            _ if seen.done || seen.cancelled_at.is_some() => {
                return Err(format!("went_back: {job} is {status} after it was over"));
            }
            _ => {}
        }
        Ok(())
    }

    /// A submission is answered 200 or 201.
    pub(super) fn accepted(&mut self, job: &str) -> Result<(), String> {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.accepted = true;
            seen.answered = self.now;
            let body = to_cbor(&seen.spec);
            self.check_acceptable(&body)?;
        }
        self.look_after(job, "accepted");
        Ok(())
    }

    pub(super) fn answered(
        &mut self,
        asker: Asker,
        node: usize,
        status: u16,
        body: Vec<u8>,
    ) -> Result<(), String> {
        let said = || status_in(&body);
        match asker {
            Asker::Submit(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.told(&job, &said())?;
                }
                400 | 422 => self.denied(&job, sent, status)?,
                _ => self.push(self.now + S, Ev::RetrySubmit(job)),
            },
            Asker::Again(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.told(&job, &said())?;
                }
                400 | 422 => self.denied(&job, sent, status)?,
                _ => {}
            },
            Asker::Poll(job, sent) => {
                self.count_refusal(status);
                if status == 404 {
                    self.denied(&job, sent, status)?;
                }
                if status == 200 {
                    self.told(&job, &said())?;
                    if let Some(seen) = self.jobs.get_mut(&job) {
                        seen.answered = self.now;
                    }
                }
            }
            Asker::Cancel(job, sent) => match status {
                200 => self.told(&job, &said())?,
                404 => self.denied(&job, sent, status)?,
                _ => self.push(self.now + S, Ev::RetryCancel(job)),
            },
            Asker::Expect(job, wanted, line, sent) => {
                if status == 404 {
                    self.denied(&job, sent, status)?;
                }
                let got = if status == 200 {
                    let s: JobStatus =
                        from_cbor(&body).map_err(|e| format!("a poll's answer: {e}"))?;
                    self.told(&job, &s.status)?;
                    s.status
                } else {
                    status.to_string()
                };
                let live = matches!(got.as_str(), "pending" | "running");
                if got != wanted && !(live && wanted == "live") {
                    return Err(format!(
                        "line {line}: perch-{node} says {got} of {job}, not {wanted}"
                    ));
                }
                self.met += 1;
            }
            Asker::Raw {
                wanted,
                line,
                method,
                path,
                body: request,
                sent,
            } => {
                self.raw_answer(&method, &path, &request, sent, status, &body)?;
                if status != wanted {
                    return Err(format!("line {line}: got {status}, not {wanted}"));
                }
                self.met += 1;
            }
            Asker::Copy { first } => {
                let commands =
                    from_cbor::<HeartbeatResponse>(&body).map_or(Vec::new(), |a| a.commands);
                // A new leader cannot know that the first report it gets is a copy, and what it answers
                // reaches nobody; but it may not launch before it knows that the machine hears it.
                let some = |o: &Command| !first || o.verb == Verb::Launch;
                if status == 200 && commands.iter().any(some) {
                    return Err("the late copy of a report is answered with commands".into());
                }
            }
            Asker::Agent { machine, flight } => {
                let launches =
                    |a: HeartbeatResponse| a.commands.iter().any(|o| o.verb == Verb::Launch);
                if self.slow_launch.contains_key(&machine)
                    && from_cbor::<HeartbeatResponse>(&body).is_ok_and(launches)
                {
                    let late = self.slow_launch.remove(&machine).unwrap_or(0);
                    let ev = Ev::Answered(Asker::Agent { machine, flight }, node, status, body);
                    self.push(self.now + late, ev);
                    return Ok(());
                }
                if let Some(at) = self.arrival(node, "workers", MS) {
                    let slow = self.link_delay("workers");
                    if at > self.now + slow + S {
                        return Ok(()); // the worker drops it
                    }
                    if slow > 0 {
                        let ev = Ev::WorkerAnswer(machine, flight, node, status, body);
                        self.push(at, ev);
                        return Ok(());
                    }
                    return self.worker_answer(&machine, flight, node, status, &body);
                }
            }
            Asker::Peer(caller) => {
                let mut body = body;
                if status == 200 {
                    production::check_peer_answer(&body)?;
                    body = self.forge(body);
                    if self.old.contains(&node) || self.old.contains(&caller.node) {
                        body = production::known_of_peer_answer(&body).unwrap_or(body);
                    }
                }
                if self.arrival(node, "peers", MS).is_some() {
                    self.reply(caller, "peers", MS, status, body);
                }
            }
        }
        Ok(())
    }
}
