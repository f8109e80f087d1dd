//! Faults that a scenario can make: late transactions, copies of heartbeats, silent machines, users
//! who cancel and ask at bad moments.

use super::*;
use grebewood_wire::http::Heartbeat;
use grebewood_wire::peer::PeerAnswer;

/// What happens to a transaction whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateTransaction {
    /// It is carried out this much later, or at once.
    late: Micros,
    at_once: bool,
}

/// For a time, every so many-th transaction of any controller meets this.
struct LateTransactions {
    until: Micros,
    every: u64,
    count: u64,
    how: LateTransaction,
}

/// Copies of a machine's heartbeats.
#[derive(Clone, Copy, Debug)]
struct Copies {
    until: Micros,
    late: Micros,
    /// The newest one is kept for the next leader.
    next: bool,
    /// They go to every controller that is up, not just to the leader.
    to_all: bool,
}

/// The copy of a heartbeat that is kept for the next leader.
struct HeldCopy {
    to_all: bool,
    body: Vec<u8>,
}

/// What is under way.
#[derive(Default)]
pub(super) struct Faults {
    /// What the next transaction of a controller meets, or (none) that of whoever leads then.
    late_transaction: BTreeMap<Option<usize>, LateTransaction>,
    late_transactions: Option<LateTransactions>,
    /// Transactions without an answer that were carried out, and that failed on their conditions.
    lost: (u64, u64),
    /// Questions that were refused for now.
    refusals: u64,
    /// By machine; none: every machine.
    copies: BTreeMap<Option<String>, Copies>,
    held: BTreeMap<String, HeldCopy>,
    /// The highest token under which a controller has led.
    highest: u64,
    /// Copies that arrived at a controller that led with a token newer than that of the copy.
    copied: u64,
    /// The newest heartbeat of a machine that a leader has under its grant: incarnation and number.
    newest_heartbeats: BTreeMap<(String, usize, u64), (u64, u64)>,
    /// Until when direct commands to a machine are carried out late, by how much.
    lost_direct_commands: BTreeMap<String, (Micros, Micros)>,
    /// Until when jobs are cancelled as they end, and how long after.
    cancel_at_end: (Micros, Micros),
    polls_until: Micros,
    /// What was looked at already: each thing once a job.
    polled: BTreeSet<(String, &'static str)>,
    slow_store: (Micros, Micros),
    /// Until then messages between controllers and agents take that much longer, each way.
    slow_links: (Micros, Micros),
    /// The next controller that confirms a cancellation crashes for so long.
    crash_on_confirmation: Option<Micros>,
    /// The key-value store is down for so long right after the next grant.
    store_outage_on_grant: Option<Micros>,
    /// Until then peers' answers list this job as cancelled, which nobody cancelled.
    forged: Option<(String, Micros)>,
}

/// A job that is cancelled in the middle of its work has at least so long to go.
const MIN_REMAINING_RUN: Micros = 20 * SECOND;
/// Users cancel jobs in the middle of their work within this time.
const CANCEL_WINDOW: Micros = 200 * MILLISECOND;
/// So many machines of cancelled jobs hang at most.
const MAX_HUNG_MACHINES: usize = 8;
/// When users look closely after something was said of a job.
const POLL_DELAYS: [Micros; 4] = [
    MILLISECOND,
    5 * MILLISECOND,
    20 * MILLISECOND,
    60 * MILLISECOND,
];

impl World {
    /// Makes a fault of the script, if it is one of these.
    pub(super) fn inject_fault(&mut self, line: &Directive) -> Result<bool, String> {
        let now = self.now;
        match (line.word(0)?, line.words.get(1).map_or("", String::as_str)) {
            ("late", "txn") => {
                let controller = match line.options.get("node").map(String::as_str) {
                    None | Some("leader") => None,
                    Some(word) => Some(self.controller_named(word)?),
                };
                let how = LateTransaction {
                    late: line.time("for", 10.0)?,
                    at_once: line.yes("at_once", false),
                };
                self.faults.late_transaction.insert(controller, how);
            }
            ("late", "txns") => {
                let how = LateTransaction {
                    late: line.time("late", 8.0)?,
                    at_once: line.yes("at_once", false),
                };
                self.faults.late_transactions = Some(LateTransactions {
                    until: now + line.time("for", 20.0)?,
                    every: (line.number("every", 3.0)? as u64).max(1),
                    count: 0,
                    how,
                });
            }
            ("copies", machine) => {
                let copies = Copies {
                    until: now + line.time("for", 10.0)?,
                    late: line.time("late", 10.0)?,
                    next: line.yes("next", false),
                    to_all: line.text("to", "leader") == "all",
                };
                let machine = match machine {
                    "all" => None,
                    name => Some(self.machine_mut(name)?.name.clone()),
                };
                self.faults.copies.insert(machine, copies);
            }
            ("copied", least) => {
                let least: u64 = least.parse().map_err(|_| "no number".to_string())?;
                if self.faults.copied < least {
                    return Err(format!(
                        "{} copies met a newer leader, not {least}",
                        self.faults.copied
                    ));
                }
            }
            ("mute" | "deaf" | "unplug" | "hang", _) => {
                let default = if line.word(0)? == "hang" { 5.0 } else { 30.0 };
                let until = now + line.time("for", default)?;
                for name in self.machines_of(line)? {
                    let m = self.machine_mut(&name)?;
                    match line.word(0)? {
                        "mute" => m.mute_until = until,
                        "deaf" => m.deaf_until = until,
                        "unplug" => m.unplugged_until = until,
                        _ => m.hangs_until = until,
                    }
                }
            }
            ("lose", "direct") => {
                let line = Directive {
                    words: line.words[1..].to_vec(),
                    ..line.clone()
                };
                let lost = (now + line.time("for", 10.0)?, line.time("late", 6.0)?);
                for name in self.machines_of(&line)? {
                    self.faults.lost_direct_commands.insert(name, lost);
                }
            }
            ("cancel_now", most) => {
                let most = most.parse().map_err(|_| "no number".to_string())?;
                self.cancel_now(most, line.time("hang", 0.0)?)?;
            }
            ("cancel_at_end", _) => {
                let until = now + line.time("for", 20.0)?;
                self.faults.cancel_at_end = (until, line.time("after", 0.0)?);
            }
            ("lost", _) => {
                let (done, failed) = self.faults.lost;
                let least = (
                    line.number("done", 0.0)? as u64,
                    line.number("failed", 0.0)? as u64,
                );
                if done < least.0 || failed < least.1 {
                    return Err(format!("{done} were carried out, {failed} failed"));
                }
            }
            ("refusals", _) => {
                let (got, most) = (self.faults.refusals, line.number("most", 0.0)? as u64);
                if got > most {
                    return Err(format!("{got} questions were refused"));
                }
            }
            ("ends", _) => self.check_ends(line)?,
            ("looks", _) => self.faults.polls_until = now + line.time("for", 20.0)?,
            ("slow", "state") => {
                let until = now + line.time("for", 20.0)?;
                self.faults.slow_store = (until, line.time("by", 0.8)?);
            }
            ("slow", "workers") => {
                let until = now + line.time("for", 20.0)?;
                self.faults.slow_links = (until, line.time("by", 0.5)?);
            }
            ("trap", "confirm") => {
                self.faults.crash_on_confirmation = Some(line.time("for", 0.3)?);
            }
            ("trap", "grant") => {
                self.faults.store_outage_on_grant = Some(line.time("for", 40.0)?);
            }
            ("forge", job) => {
                self.faults.forged = Some((job.into(), now + line.time("for", 5.0)?));
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// What a message between a controller and an agent takes longer.
    pub(super) fn link_delay(&self, what: &str) -> Micros {
        let (until, by) = self.faults.slow_links;
        match what == "workers" && self.now < until {
            true => by,
            false => 0,
        }
    }

    /// The machines that a line names: one, all, or those that hold a task of a job (`of=JOB`).
    fn machines_of(&self, line: &Directive) -> Result<Vec<String>, String> {
        let names = |holds: &dyn Fn(&Machine) -> bool| -> Vec<String> {
            let there = self.machines.values().filter(|m| !m.gone && holds(m));
            there.map(|m| m.name.clone()).collect()
        };
        if let Some(job) = line.options.get("of") {
            let prefix = format!("{job}/");
            let names = names(&|m| m.live().any(|t| t.task_name.starts_with(&prefix)));
            return match names.is_empty() {
                true => Err(format!("no machine holds a task of {job}")),
                false => Ok(names),
            };
        }
        match line.word(1)? {
            "all" => Ok(names(&|_| true)),
            name if self.machines.contains_key(name) => Ok(vec![name.into()]),
            name => Err(format!("{name}: no such machine")),
        }
    }

    /// A controller by its name, or `other`: one that is up and does not lead.
    pub(super) fn requested_controller(&self, line: &Directive) -> Result<Option<usize>, String> {
        match line.options.get("node").map(String::as_str) {
            None => Ok(None),
            Some("other") => {
                let other = self.up_controllers().into_iter().find(|n| !self.leads(*n));
                other.map(Some).ok_or("no other node is up".into())
            }
            Some(word) => self.controller_named(word).map(Some),
        }
    }

    // ---- the key-value store ----

    /// Sends a transaction whose answer is lost, if this one's is; no: it goes its usual way.
    pub(super) fn lose_transaction(
        &mut self,
        n: usize,
        at: Micros,
        call: &grebewood_core::Call,
    ) -> bool {
        let (now, leads) = (self.now, self.leads(n));
        let t = &mut self.faults;
        let mut how = t.late_transaction.remove(&Some(n));
        if how.is_none() && leads {
            how = t.late_transaction.remove(&None);
        }
        if let (None, Some(many)) = (how, &mut t.late_transactions) {
            if now < many.until {
                many.count += 1;
                how = (many.count % many.every == 0).then_some(many.how);
            }
        }
        let Some(how) = how else { return false };
        // Its answer reaches nobody.
        let nobody = Caller {
            controller: n,
            process: 0,
            call: call.id,
        };
        let at = if how.at_once { at } else { at + how.late };
        let event = Event::StoreCall(nobody, call.method, call.path.clone(), call.body.clone());
        self.push(at, event);
        true
    }

    /// A grant was just won: the key-value store may go down at once.
    pub(super) fn on_leader_grant(&mut self) {
        if let Some(down) = self.faults.store_outage_on_grant.take() {
            self.faults_end = self.faults_end.max(self.now + down);
            self.state.down = true;
            self.push(self.now + down, Event::StoreUp);
        }
    }

    /// A peer's answer, with a job in it that nobody cancelled.
    pub(super) fn forge(&self, body: Vec<u8>) -> Vec<u8> {
        let forged = self.faults.forged.as_ref();
        let Some((job, _)) = forged.filter(|(_, until)| self.now < *until) else {
            return body;
        };
        let Ok(mut answer) = grebewood_wire::from_peer::<PeerAnswer>(&body) else {
            return body;
        };
        if let Some(confirmed) = &mut answer.confirmed {
            confirmed.jobs.push((job.clone(), 0));
        }
        grebewood_wire::to_peer(&answer)
    }

    /// How much longer the key-value store takes to answer.
    pub(super) fn store_lag(&self) -> Micros {
        let (until, by) = self.faults.slow_store;
        if self.now < until {
            by
        } else {
            0
        }
    }

    // ---- machines ----

    /// A machine sends a heartbeat: a copy of it may arrive late, or be kept for the next leader.
    pub(super) fn copy_heartbeat(&mut self, name: &str, body: &[u8]) {
        let now = self.now;
        let t = &self.faults;
        let one = t.copies.get(&Some(name.to_string()));
        let all = t.copies.get(&None);
        let running: Vec<Copies> = one
            .into_iter()
            .chain(all)
            .filter(|c| now < c.until)
            .copied()
            .collect();
        for c in running {
            let (to_all, body) = (c.to_all, body.to_vec());
            if c.next {
                let held = HeldCopy { to_all, body };
                self.faults.held.insert(name.into(), held);
            } else {
                self.push(now + c.late, Event::HeartbeatCopy { body, to_all });
            }
        }
    }

    /// A late copy arrives at whoever leads, or at every controller that is up.
    pub(super) fn deliver_heartbeat_copy(&mut self, body: Vec<u8>, to_all: bool) {
        let controllers = match to_all {
            true => self.up_controllers(),
            false => (0..self.controllers.len())
                .filter(|n| self.leads(*n))
                .collect(),
        };
        for controller in controllers {
            let requester = Requester::HeartbeatCopy { first: false };
            self.ask(
                controller,
                "POST",
                "/checkin".into(),
                body.clone(),
                requester,
            );
        }
    }

    /// A controller has made a step: if it has a new grant, what was kept for it arrives at once.
    pub(super) fn deliver_held_copies(&mut self, n: usize) {
        let controller = self.controllers[n].controller.as_ref();
        let token = controller
            .and_then(|n| n.leader.as_ref())
            .map_or(0, |l| l.token);
        if token <= self.faults.highest {
            return;
        }
        self.faults.highest = token;
        let up = self.up_controllers();
        for (_, held) in std::mem::take(&mut self.faults.held) {
            let controllers = if held.to_all { up.clone() } else { vec![n] };
            for controller in controllers {
                let event = Event::Request {
                    controller,
                    interface: Interface::Front,
                    method: "POST".into(),
                    path: "/checkin".into(),
                    body: held.body.clone(),
                    requester: Requester::HeartbeatCopy { first: false },
                };
                self.push(self.now, event);
            }
        }
    }

    /// A heartbeat or a copy of one arrives at a controller. Counts a copy that meets a leader with a token newer
    /// than that of the copy. The result is whether this leader had no heartbeat of the machine under its
    /// grant that was as new.
    pub(super) fn note_heartbeat(&mut self, n: usize, body: &[u8], requester: &Requester) -> bool {
        let Ok(report) = from_cbor::<Heartbeat>(body) else {
            return false;
        };
        // The grant under which this controller would answer: that of the machine's partition, or the leader's.
        let grant = self.controllers[n]
            .controller
            .as_ref()
            .and_then(|controller| {
                let partitions = &controller.partitions;
                let partition = partitions.map.find(&report.zone, &report.machine);
                let holder = partition.and_then(|id| partitions.holders.get(&id));
                holder.or(controller.leader.as_ref())
            });
        let Some(leader) = grant else {
            return false;
        };
        // Before it has read its records, and in doubt of its grant, it takes no heartbeat in.
        let read = leader.loaded() && leader.loaded_at > 0;
        let (token, takes) = (leader.token, read && !leader.uncertain());
        let t = &mut self.faults;
        if matches!(requester, Requester::HeartbeatCopy { .. }) && report.token < token {
            t.copied += 1;
        }
        let newest_heartbeats = t
            .newest_heartbeats
            .entry((report.machine, n, token))
            .or_default();
        let first = (report.incarnation, report.sequence) > *newest_heartbeats;
        if takes {
            *newest_heartbeats = (report.incarnation, report.sequence).max(*newest_heartbeats);
        }
        first
    }

    /// A direct command arrives: if it is to be lost, it is carried out late and answered to nobody.
    pub(super) fn lose_direct_command(&mut self, caller: Caller, name: &str, body: &[u8]) -> bool {
        let Some((until, late)) = self.faults.lost_direct_commands.get(name).copied() else {
            return false;
        };
        if caller.process == 0 || self.now >= until {
            return false;
        }
        let nobody = Caller {
            process: 0,
            ..caller
        };
        let event = Event::DirectCommand(nobody, format!("worker:{name}"), body.to_vec());
        self.push(self.now + late, event);
        true
    }

    // ---- users ----

    /// Users cancel jobs that run and have long to go; some of their machines hang from now on.
    fn cancel_now(&mut self, most: usize, hang: Micros) -> Result<(), String> {
        let now = self.now;
        let live = |j: &ObservedJob| j.accepted && !j.done && j.cancel_requested_at.is_none();
        let long = |job: &str| {
            let prefix = format!("{job}/");
            let machines = self.machines.values().filter(|m| m.up && !m.gone);
            let mut tasks = machines.flat_map(|m| m.live());
            tasks.any(|t| {
                t.status == "running"
                    && t.task_name.starts_with(&prefix)
                    && t.ends >= now + MIN_REMAINING_RUN
            })
        };
        let jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(id, j)| live(j) && long(id))
            .take(most)
            .map(|(id, _)| id.clone())
            .collect();
        if jobs.is_empty() {
            return Err("no job runs that has long to go".into());
        }
        if hang > 0 {
            let theirs = |t: &Task| t.task_name.rsplit_once('/').map(|(j, _)| j.to_string());
            let holds = |m: &&mut Machine| {
                m.live()
                    .any(|t| theirs(t).is_some_and(|j| jobs.contains(&j)))
            };
            let machines = self.machines.values_mut().filter(|m| m.up && !m.gone);
            for m in machines.filter(holds).take(MAX_HUNG_MACHINES) {
                m.hangs_until = now + hang;
            }
        }
        let apart = CANCEL_WINDOW / jobs.len() as Micros;
        for (i, job) in jobs.into_iter().enumerate() {
            self.push(now + i as Micros * apart, Event::RetryCancel(job));
        }
        Ok(())
    }

    /// The last task of a job has completed: its user may cancel it at that moment, ask about it and
    /// submit it again at every controller.
    pub(super) fn note_completion(&mut self, job: &str) {
        let (until, after) = self.faults.cancel_at_end;
        let Some(observed) = self.jobs.get_mut(job) else {
            return;
        };
        let ends = observed.completed.len() as u64 == observed.spec.tasks;
        if ends {
            observed.completed_at.get_or_insert(self.now);
        }
        if ends && self.now < until {
            self.push(self.now + after, Event::RetryCancel(job.into()));
            self.push(self.now + after, Event::PollEverywhere(job.into()));
        }
    }

    /// Of the jobs that were cancelled though all of their tasks completed, so many at least were
    /// called done, and so many cancelled; and ends are on record in time.
    fn check_ends(&self, line: &Directive) -> Result<(), String> {
        let within = line.time("within", 6.0)?;
        let (mut done, mut aborted) = (0, 0);
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.accepted) {
            let both = j.completed_at.is_some() && j.cancel_requested_at.is_some();
            done += u64::from(both && j.done);
            aborted += u64::from(both && j.cancelled_at.is_some());
            let over = match (j.completed_at, j.cancelled_at) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            let Some(over) = over.filter(|at| self.now > at + within) else {
                continue;
            };
            if !self.state.has(&format!("past/{id}")) {
                let ago = (self.now - over) / SECOND;
                return Err(format!(
                    "{id} is over for {ago} s and its end not on record"
                ));
            }
        }
        let least = |key: &str| line.number(key, 0.0).map(|n| n as u64);
        if done < least("done")? || aborted < least("cancelled")? {
            return Err(format!("{done} are done, {aborted} cancelled"));
        }
        let of = line.text("of", "");
        let confirmed = self.jobs.iter();
        let confirmed = confirmed.filter(|(id, j)| id.starts_with(&of) && j.cancelled_at.is_some());
        let (confirmed, wanted) = (confirmed.count() as u64, least("confirmed")?);
        if confirmed < wanted {
            return Err(format!("{confirmed} cancellations are confirmed"));
        }
        Ok(())
    }

    /// Counts a question that is refused for now.
    pub(super) fn count_refusal(&mut self, status: u16) {
        self.faults.refusals += u64::from(matches!(status, 429 | 503));
    }

    /// Counts a transaction that gets no answer.
    pub(super) fn count_late_transaction(&mut self, caller: Caller, path: &str, status: u16) {
        let lost = &mut self.faults.lost;
        match (caller.process, path, status) {
            (0, "/txn", 200) => lost.0 += 1,
            (0, "/txn", 400 | 409) => lost.1 += 1,
            _ => {}
        }
    }

    /// Something was said of a job for the first time: users look closely.
    pub(super) fn poll_after(&mut self, job: &str, what: &'static str) {
        if self.now < self.faults.polls_until && self.faults.polled.insert((job.to_string(), what))
        {
            for after in POLL_DELAYS {
                self.push(self.now + after, Event::PollEverywhere(job.into()));
            }
        }
    }

    /// Users ask about a job at every controller that is up, and submit it again there.
    pub(super) fn poll_everywhere(&mut self, job: &str) {
        let Some(observed) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&observed.spec);
        for n in self.up_controllers() {
            let (poll, again) = (
                Requester::Poll(job.into(), self.now),
                Requester::Resubmit(job.into(), self.now),
            );
            let path = format!("/submissions/{job}");
            self.ask(n, "GET", path, Vec::new(), poll);
            self.ask(n, "POST", "/submissions".into(), body.clone(), again);
        }
    }

    /// A controller has sent an answer to a user: if it confirms a cancellation, the controller may crash now.
    pub(super) fn confirmed(&mut self, n: usize, requester: &Requester, status: u16, said: &str) {
        if !matches!(requester, Requester::Cancel(..)) || status != 200 || said != "aborted" {
            return;
        }
        if let Some(down) = self.faults.crash_on_confirmation.take() {
            self.faults_end = self.faults_end.max(self.now + down);
            let seconds = (down as f64 / 1e6).to_string();
            let line = Directive {
                words: vec!["crash".into(), n.to_string()],
                options: BTreeMap::from([("for".into(), seconds)]),
                ..Directive::default()
            };
            self.push(self.now, Event::Directive(line));
        }
    }
}
