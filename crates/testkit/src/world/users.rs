//! Users: what they submit, cancel and ask, and what the answers must say.

use super::*;

impl World {
    pub(super) fn up_controllers(&self) -> Vec<usize> {
        (0..self.controllers.len())
            .filter(|n| self.controllers[*n].controller.is_some())
            .collect()
    }

    pub(super) fn any_controller(&mut self) -> usize {
        let up = self.up_controllers();
        self.seq += 1;
        up.get(self.seq as usize % up.len().max(1))
            .copied()
            .unwrap_or(0)
    }

    pub(super) fn ask(
        &mut self,
        controller: usize,
        method: &str,
        path: String,
        body: Vec<u8>,
        requester: Requester,
    ) {
        let event = Event::Request {
            controller,
            interface: Interface::Front,
            method: method.into(),
            path,
            body,
            requester,
        };
        self.push(self.now + MILLISECOND, event);
    }

    pub(super) fn submit(&mut self, job: &str, controller: Option<usize>) {
        let Some(observed) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&observed.spec);
        let controller = controller.unwrap_or_else(|| self.any_controller());
        let requester = Requester::Submit(job.into(), self.now);
        self.ask(controller, "POST", "/submissions".into(), body, requester);
    }

    pub(super) fn cancel(&mut self, job: &str, controller: Option<usize>) {
        let controller = controller.unwrap_or_else(|| self.any_controller());
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.cancel_requested_at.get_or_insert(self.now);
        }
        let requester = Requester::Cancel(job.into(), self.now);
        let path = format!("/submissions/{job}/cancel");
        self.ask(controller, "POST", path, Vec::new(), requester);
    }

    /// Users ask about every job, each some controller that is up; none may go without an answer for long
    /// once all faults are over.
    pub(super) fn poll_all_jobs(&mut self) -> Result<(), String> {
        let live = |j: &ObservedJob| j.accepted && !j.done && j.cancelled_at.is_none();
        let jobs: Vec<(String, Micros)> = self
            .jobs
            .iter()
            .filter(|(_, j)| live(j))
            .map(|(id, j)| (id.clone(), j.answered))
            .collect();
        for (job, answered) in jobs {
            let since = answered.max(self.faults_end);
            if self.now.saturating_sub(since) > UNANSWERED_LIMIT {
                return Err(format!("forgotten: no question about {job} is answered"));
            }
            let controller = self.any_controller();
            let path = format!("/submissions/{job}");
            let requester = Requester::Poll(job, self.now);
            self.ask(controller, "GET", path, Vec::new(), requester);
        }
        self.poll_finished_and_unknown();
        Ok(())
    }

    /// At least half of each class, of each team and of each class's largest jobs must be served, and
    /// the largest must have begun in time. Jobs that came lately or were cancelled do not count.
    pub(super) fn check_half_served(&self) -> Result<(), String> {
        let previous_version =
            |j: &&ObservedJob| j.accepted && self.now > j.submitted + START_DEADLINE;
        let jobs: Vec<&ObservedJob> = self
            .jobs
            .values()
            .filter(|j| j.cancelled_at.is_none())
            .filter(previous_version)
            .collect();
        let mut groups: BTreeMap<String, Vec<&ObservedJob>> = BTreeMap::new();
        for j in &jobs {
            let (class, team) = (&j.spec.class, &j.spec.team);
            groups.entry(format!("class {class}")).or_default().push(j);
            groups.entry(format!("team {team}")).or_default().push(j);
        }
        let largest: Vec<(String, Vec<&ObservedJob>)> = groups
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
            let late = |j: &&&ObservedJob| {
                j.first_start
                    .is_none_or(|at| at > j.submitted + START_DEADLINE)
            };
            if jobs.iter().filter(late).count() * 2 > jobs.len() {
                return Err(format!("{name} have not begun in time"));
            }
        }
        for (name, jobs) in groups.iter().chain(largest.iter().map(|(n, j)| (n, j))) {
            let serves = |j: &&&ObservedJob| match j.spec.shape.as_str() {
                "daemon" => j.first_start.is_some(),
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
    pub(super) fn check_status(&mut self, job: &str, status: &str) -> Result<(), String> {
        let now = self.now;
        self.known(job);
        let Some(observed) = self.jobs.get_mut(job) else {
            return Err(format!("invented: {job} is said to be {status}"));
        };
        match status {
            "done" => {
                if observed.spec.shape == "daemon" {
                    return Err(format!("not_done: {job} is a daemon and said to be done"));
                }
                if observed.completed.len() as u64 != observed.spec.tasks {
                    return Err(format!("not_done: {job} is said to be done"));
                }
                if observed.cancelled_at.is_some() {
                    return Err(format!("went_back: {job} is done after it was cancelled"));
                }
                observed.done = true;
                self.poll_after(job, "done");
            }
            "aborted" => {
                if observed.cancel_requested_at.is_none() {
                    return Err(format!(
                        "went_back: {job} is cancelled, and nobody asked for it"
                    ));
                }
                if observed.done {
                    return Err(format!("went_back: {job} is cancelled after it was done"));
                }
                observed.cancelled_at.get_or_insert(now);
                self.poll_after(job, "aborted");
            }
            _ if observed.done || observed.cancelled_at.is_some() => {
                return Err(format!("went_back: {job} is {status} after it was over"));
            }
            _ => {}
        }
        Ok(())
    }

    /// A submission is answered 200 or 201.
    pub(super) fn accepted(&mut self, job: &str) -> Result<(), String> {
        if let Some(observed) = self.jobs.get_mut(job) {
            observed.accepted = true;
            observed.answered = self.now;
            let body = to_cbor(&observed.spec);
            self.check_acceptable(&body)?;
        }
        self.poll_after(job, "accepted");
        Ok(())
    }

    pub(super) fn answered(
        &mut self,
        requester: Requester,
        controller: usize,
        status: u16,
        body: Vec<u8>,
    ) -> Result<(), String> {
        let said = || status_in(&body);
        match requester {
            Requester::Submit(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.check_status(&job, &said())?;
                }
                400 | 422 => self.check_denial(&job, sent, status)?,
                _ => self.push(self.now + SECOND, Event::RetrySubmit(job)),
            },
            Requester::Resubmit(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.check_status(&job, &said())?;
                }
                400 | 422 => self.check_denial(&job, sent, status)?,
                _ => {}
            },
            Requester::Poll(job, sent) => {
                self.count_refusal(status);
                if status == 404 {
                    self.check_denial(&job, sent, status)?;
                }
                if status == 200 {
                    self.check_status(&job, &said())?;
                    if let Some(observed) = self.jobs.get_mut(&job) {
                        observed.answered = self.now;
                    }
                }
            }
            Requester::Cancel(job, sent) => match status {
                200 => self.check_status(&job, &said())?,
                404 => self.check_denial(&job, sent, status)?,
                _ => self.push(self.now + SECOND, Event::RetryCancel(job)),
            },
            Requester::Expect(job, wanted, line, sent) => {
                if status == 404 {
                    self.check_denial(&job, sent, status)?;
                }
                let got = if status == 200 {
                    let s: JobStatus =
                        from_cbor(&body).map_err(|e| format!("a poll's answer: {e}"))?;
                    self.check_status(&job, &s.status)?;
                    s.status
                } else {
                    status.to_string()
                };
                let live = matches!(got.as_str(), "pending" | "running");
                if got != wanted && !(live && wanted == "live") {
                    return Err(format!(
                        "line {line}: perch-{controller} says {got} of {job}, not {wanted}"
                    ));
                }
                self.met += 1;
            }
            Requester::Raw {
                wanted,
                line,
                method,
                path,
                body: request,
                sent,
            } => {
                self.check_raw_response(&method, &path, &request, sent, status, &body)?;
                if status != wanted {
                    return Err(format!("line {line}: got {status}, not {wanted}"));
                }
                self.met += 1;
            }
            Requester::HeartbeatCopy { first } => {
                let commands =
                    from_cbor::<HeartbeatResponse>(&body).map_or(Vec::new(), |a| a.commands);
                // A new leader cannot know that the first heartbeat it gets is a copy, and what it answers
                // reaches nobody; but it may not launch before it knows that the machine hears it.
                let some = |o: &Command| !first || o.verb == Verb::Launch;
                if status == 200 && commands.iter().any(some) {
                    return Err("the late copy of a report is answered with commands".into());
                }
            }
            Requester::Heartbeat {
                machine,
                heartbeat_id,
            } => {
                let launches =
                    |a: HeartbeatResponse| a.commands.iter().any(|o| o.verb == Verb::Launch);
                if self.slow_launch.contains_key(&machine)
                    && from_cbor::<HeartbeatResponse>(&body).is_ok_and(launches)
                {
                    let late = self.slow_launch.remove(&machine).unwrap_or(0);
                    let event = Event::Response(
                        Requester::Heartbeat {
                            machine,
                            heartbeat_id,
                        },
                        controller,
                        status,
                        body,
                    );
                    self.push(self.now + late, event);
                    return Ok(());
                }
                if let Some(at) = self.arrival(controller, "workers", MILLISECOND) {
                    let slow = self.link_delay("workers");
                    if at > self.now + slow + SECOND {
                        return Ok(()); // the agent drops it
                    }
                    if slow > 0 {
                        let event = Event::DelayedHeartbeatResponse(
                            machine,
                            heartbeat_id,
                            controller,
                            status,
                            body,
                        );
                        self.push(at, event);
                        return Ok(());
                    }
                    return self.handle_heartbeat_response(
                        &machine,
                        heartbeat_id,
                        controller,
                        status,
                        &body,
                    );
                }
            }
            Requester::Peer(caller) => {
                let mut body = body;
                if status == 200 {
                    production::check_peer_answer(&body)?;
                    body = self.forge(body);
                    if self.previous_version.contains(&controller)
                        || self.previous_version.contains(&caller.controller)
                    {
                        body = production::known_of_peer_answer(&body).unwrap_or(body);
                    }
                }
                if self.arrival(controller, "peers", MILLISECOND).is_some() {
                    self.reply(caller, "peers", MILLISECOND, status, body);
                }
            }
        }
        Ok(())
    }
}
