//! Machines as their workers report them, and what is known to be on them.

use crate::jobs::{error_backoff, parse_task, Job, JobIx, Jobs, EPS};
use crate::leadership::Lead;
use crate::ledger::Rec;
use crate::node::{Ctx, LeadCall, Node};
use crate::placement::{permits, slots};
use crate::{micros, Micros, Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    CheckinAnswer, DirectOrders, MachineType, Order, Redirect, Report, ShardReport, Submission,
};
use grebewood_wire::records::DONE_SPAN;
use log::{error, info, warn};
use std::collections::VecDeque;

mod held;
mod machine;

pub use held::{Held, Parked};
use machine::Blame;
pub use machine::{Assignment, Machine, Reap, Seen, Stop};

/// How long a check-in may wait for a flush before it is answered with what there is.
const HOLD: Micros = 500 * MILLI;
/// How long the end of a task may wait to be written.
const DONE_DELAY: Micros = 2 * SECOND;
/// How long the removal of an assignment may wait to be written: until then its page lists a task
/// that is gone, which the next leader finds out from the worker's first report.
const FREE_DELAY: Micros = 8 * SECOND;
/// The part of the write rate that such removals may take.
const FREE_WRITES: f64 = 0.2;
/// A replica leaves a machine so long before the cloud takes it, wherever it is to go.
const LAST_MOVE: Micros = 4 * SECOND;
/// How long a replica of an earlier leader has run at least, as far as can be told.
const LEAST_STAY: Micros = 30 * SECOND;
/// A worker waits so long for an answer to its report before it goes to another node.
const ANSWER_TIME: Micros = 4 * SECOND;
/// A worker that has our answer tells so soon, because the token was news to it; one that does not
/// is asked directly whether it hears us.
const ASK_AFTER: Micros = SECOND;
/// If more than this part of the machines is silent, they are cut off rather than gone.
const MOST_SILENT_PART: usize = 20;
/// Most machines that are asked so at once.
const MOST_ASKED: usize = 100;
/// Between two direct commands to one machine.
const DIRECT_INTERVAL: Micros = 2 * SECOND;
/// Most commands in one answer, so that it stays below the size limit.
const MOST_ORDERS: usize = 300;

/// Most machines that are returned because the tasks of one job alone failed there.
const MOST_BLAMED_BY_ONE_JOB: u32 = 2;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A check-in: a worker has only one in flight, and carries out no answer to an earlier one.
    Checkin,
    /// The answer to a direct command, which may overtake the answer to a check-in.
    Direct,
}

impl Node {
    pub(crate) fn on_checkin(&mut self, id: u64, body: &[u8]) {
        let report: Report = match wire::from_cbor(body) {
            Ok(r) => r,
            Err(e) => return self.cx.refuse(id, 400, &e.to_string()),
        };
        let bad = |s: &str| s.is_empty() || s.len() > 150;
        if bad(&report.perch) || bad(&report.yard) || bad(&report.build) || report.tenure == 0 {
            return self
                .cx
                .refuse(id, 400, "perch, yard, build or tenure is invalid");
        }
        self.cx.token = self.cx.token.max(report.warrant);
        let me = self.cx.settings.member.clone();
        let unread = self.lead.as_ref().is_some_and(|l| !l.loaded());
        let blind = unread && !self.may_renew();
        match &mut self.lead {
            // It may have come in during the standstill, and the grant may have run out.
            Some(lead) if lead.doubtful() => {
                self.cx.refuse(id, 503, "it is not certain who leads");
            }
            // Before state is read only the node's own knowledge of cancellations stops tasks.
            Some(_) if blind => {
                self.cx.refuse(id, 503, "cancellations are not known yet");
            }
            Some(lead) if report.warrant <= lead.token => lead.on_checkin(&mut self.cx, id, report),
            // Somebody with a higher token acts for the controllers: not us, and it is not known
            // here who.
            Some(_) => self.cx.answer(id, 421, &Redirect { steward: None }),
            None => {
                let steward = self
                    .election
                    .leader()
                    .filter(|l| *l != me)
                    .map(str::to_string);
                self.cx.answer(id, 421, &Redirect { steward });
            }
        }
    }
}

impl Lead {
    /// A machine known only from assignments on record.
    pub(crate) fn recovered_machine(
        &mut self,
        cx: &Ctx,
        name: &str,
        zone: &str,
        tenure: u64,
    ) -> &mut Machine {
        let machine = self.machines.entry(name.to_string()).or_insert_with(|| {
            let report = Report {
                perch: name.to_string(),
                endpoint: String::new(),
                build: String::new(),
                yard: zone.to_string(),
                loaner: true,
                tenure,
                tally: 0,
                warrant: 0,
                recall_s: None,
                shards: Vec::new(),
            };
            Machine::new(&report, None, cx.now.steady)
        });
        // Reports of earlier sessions are older than what is on record.
        machine.tenure = machine.tenure.max(tenure);
        machine
    }

    fn on_checkin(&mut self, cx: &mut Ctx, request: u64, report: Report) {
        let now = cx.now.steady;
        if !self.loaded() {
            self.heard_at = now;
            // Renews the lease and announces the token while state is still being read, which an
            // outage may make long: cancelled tasks must be gone in time all the same.
            let orders = cancelled_here(cx, &report);
            return self.answer_checkin(cx, request, orders);
        }
        if self.fleet.is_gone(&report.perch) {
            // The machine was deleted: a late copy of a report.
            return cx.answer(request, 421, &Redirect { steward: None });
        }
        let (machine, tenure, tally) = (report.perch.clone(), report.tenure, report.tally);
        let fresh = self.on_report(cx, report, Source::Checkin);
        if !fresh {
            // A late copy. It renews no lease, and whatever the answer, nobody takes it. Unless it is a
            // check-in that the answer to a direct command overtook: its worker takes our answer, so
            // its lease began when it sent this. That lease was once taken to have run out by the
            // answer before.
            if let Some(m) = self.machines.get_mut(&machine) {
                if tenure == m.tenure && (tenure, tally) > m.checkin {
                    m.checkin = (tenure, tally);
                    m.last_answer = now;
                }
            }
            return self.answer_checkin(cx, request, Vec::new());
        }
        self.heard_at = now;
        // A worker reports one at a time: the one before was given up.
        self.refuse_held(cx, &machine, "overtaken by a later report");
        let Some(m) = self.machines.get_mut(&machine) else {
            return self.answer_checkin(cx, request, Vec::new());
        };
        m.last_answer = now;
        let mut held = Held {
            request,
            round: 0,
            machine,
            tenure,
            tally,
            until: now + HOLD,
        };
        // Room that jobs wait for: the answer waits for the next round of placement.
        if self.placement.backlog && m.free().0 > EPS && m.usable(now, 3 * cx.settings.report) {
            self.placement.want(now);
            held.round = self.placement.rounds + 1;
        }
        if self.may_be_answered(cx, &held) {
            let orders = self.orders(cx, &held);
            if orders.is_empty() && self.may_park(cx, &held.machine) {
                return self.park(cx, held);
            }
            return self.answer_checkin(cx, request, orders);
        }
        if self.held.is_empty() {
            self.held_until = held.until;
        }
        self.held.push(held);
    }

    fn answer_checkin(&self, cx: &mut Ctx, request: u64, orders: Vec<Order>) {
        let answer = CheckinAnswer {
            warrant: self.token,
            orders,
        };
        cx.answer(request, 200, &answer);
    }

    /// Takes in a report. Returns false if a newer one is known already.
    fn on_report(&mut self, cx: &mut Ctx, report: Report, source: Source) -> bool {
        let now = cx.now.steady;
        let name = report.perch.clone();
        if !self.machines.contains_key(&name) {
            let mut machine = Machine::new(&report, cx.machine_type(&report.build), now);
            // One that we wait for gets work at once; of others it must be seen first that our
            // answers reach them.
            machine.hears = self.fleet.is_booting(&name);
            self.machines.insert(name.clone(), machine);
        }
        self.machine_is_up(cx, &report);
        let Some(m) = self.machines.get_mut(&name) else {
            return false;
        };
        if (report.tenure, report.tally) <= (m.tenure, m.tally) {
            return false;
        }
        // Known from state only until now, or reported before the machine types were known: a
        // machine without its type's room would stay empty for good.
        if m.endpoint.is_empty() || m.cpus <= 0.0 {
            let known = Machine::new(&report, cx.machine_type(&report.build), now);
            *m = Machine {
                assignments: std::mem::take(&mut m.assignments),
                used: m.used,
                reaps: std::mem::take(&mut m.reaps),
                tenure: m.tenure,
                tally: m.tally,
                knows_token: m.knows_token,
                closing: m.closing,
                emptying: m.emptying,
                listed: m.listed,
                hears: m.hears,
                deaf_since: m.deaf_since,
                ..known
            };
        }
        m.endpoint = report.endpoint.clone();
        m.last_report = now;
        m.recall_at = report.recall_s.map(|s| now + micros(s));
        let new_tenure = report.tenure > m.tenure;
        m.tenure = report.tenure;
        m.tally = report.tally;
        if source == Source::Checkin {
            m.checkin = (report.tenure, report.tally);
            m.last_checkin = now;
        }
        if report.warrant == self.token {
            // Until it saw our token, answers of an earlier leader that does not know of its end
            // renewed its lease; a check-in's own answer is yet to come.
            if !m.knows_token && source == Source::Direct {
                m.last_answer = now;
            }
            m.knows_token = true;
        }
        // A worker that has our answer reports here again well before the time after which one
        // without an answer gives up and goes elsewhere.
        let in_time = now.saturating_sub(m.last_answer) < ANSWER_TIME;
        if source == Source::Checkin && m.knows_token && in_time && !new_tenure {
            m.hears = true;
            m.deaf_since = None;
        }
        if new_tenure && report.tenure > 1 {
            m.hears = false;
        }
        if new_tenure {
            m.reaps.clear();
            // A new session: the worker has killed and forgotten every task of the earlier ones.
            while let Some(at) = self.position(&name, |a| a.tenure < report.tenure) {
                self.free(cx, &name, at);
            }
        }
        if report.warrant == self.token {
            self.take_tasks(cx, &report, source);
        }
        if report.recall_s.is_some() {
            // Nothing is launched here any more: what waited for its record once waited on until
            // the machine was gone.
            self.free_unlaunched(cx, &name);
            self.drain_recalled(cx, &name);
            self.move_replicas(cx, &name);
        }
        let mut deaf = false;
        if let Some(m) = self.machines.get_mut(&name) {
            if !m.assignments.is_empty() {
                m.idle_since = now;
            }
            if !m.hears {
                deaf = true;
                let since = *m.deaf_since.get_or_insert(now);
                if now.saturating_sub(since) > 2 * cx.settings.lease && !m.closing {
                    info!("{name}: reports, but no answer reaches it; to be returned");
                    m.closing = true;
                    self.fleet.release(&name, now);
                }
            }
        }
        if deaf {
            self.free_unlaunched(cx, &name);
        }
        true
    }

    /// Frees what was placed on a machine but not launched: it can only be launched by an answer
    /// that reaches the worker.
    fn free_unlaunched(&mut self, cx: &mut Ctx, name: &str) {
        while let Some(at) = self.position(name, |a| a.launched.is_none()) {
            self.free(cx, name, at);
        }
    }

    fn position(&self, machine: &str, test: impl Fn(&Assignment) -> bool) -> Option<usize> {
        self.machines
            .get(machine)?
            .assignments
            .iter()
            .position(test)
    }

    /// Compares a report, which has seen our token, with what should be on the machine.
    fn take_tasks(&mut self, cx: &mut Ctx, report: &Report, source: Source) {
        let now = cx.now.steady;
        let name = &report.perch;
        for s in &report.shards {
            let Some((job_id, task)) = parse_task(&s.shard) else {
                warn!("{name}: task {:?} is not of the form job/number", s.shard);
                continue;
            };
            let at = self.position(name, |a| {
                a.attempt == s.attempt && a.task == task && a.job_id == job_id
            });
            let exited = s.status == "exited";
            match at {
                Some(at) if exited => {
                    self.exited(cx, name, at, s.cause.as_deref().unwrap_or(""), &s.shard)
                }
                Some(at) => {
                    let Some(m) = self.machines.get_mut(name) else {
                        return;
                    };
                    let a = &mut m.assignments[at];
                    let before = a.seen;
                    a.seen = match s.status.as_str() {
                        "running" => Seen::Running,
                        "saving" => Seen::Saving,
                        _ => Seen::Fetching,
                    };
                    if a.seen == Seen::Running && a.started.is_none() {
                        // When a task of an earlier leader began is not known: halfway, say.
                        let ran = if a.recovered() { a.expected / 2 } else { 0 };
                        a.started = Some(now.saturating_sub(ran));
                    }
                    let (ix, seen) = (a.job, a.seen);
                    self.count_running(now, ix, before, seen);
                }
                None if exited => self.exited_unknown(cx, name, job_id, task, s),
                None => self.foreign(cx, report, job_id, task, s),
            }
        }
        let listed = |shard: &str, attempt: u64| {
            report
                .shards
                .iter()
                .any(|s| s.attempt == attempt && s.shard == shard)
        };
        if let Some(m) = self.machines.get_mut(name) {
            m.reaps.retain(|r| listed(&r.shard, r.attempt));
        }
        if source == Source::Direct {
            // The answer to a check-in may still bring a launch: absence proves nothing here.
            return;
        }
        let newest = (report.tenure, report.tally);
        let mut lost = false;
        let mut at = 0;
        while let Some(a) = self
            .machines
            .get_mut(name)
            .and_then(|m| m.assignments.get_mut(at))
        {
            let absent = a.launched.is_some_and(|l| l < newest)
                && !listed(&format!("{}/{}", a.job_id, a.task), a.attempt);
            if !absent {
                at += 1;
            } else if a.seen == Seen::Never && a.stop.is_none() && !a.recovered() {
                // The answer with the launch was lost and is never carried out late: it may be
                // sent again, under the same attempt, once answers arrive.
                a.launched = None;
                lost = true;
                at += 1;
            } else {
                // A later report that has seen our token, without the task: it is gone.
                self.free(cx, name, at);
            }
        }
        if let (true, Some(m)) = (lost, self.machines.get_mut(name)) {
            m.hears = false;
        }
    }

    /// Counts a task of the job that began or ceased to run, as far as seen.
    fn count_running(&mut self, at: Micros, ix: JobIx, before: Seen, now: Seen) {
        let (was, is) = (before == Seen::Running, now == Seen::Running);
        if was == is {
            return;
        }
        if let Some(job) = self.jobs.get_mut(ix) {
            if is && job.began_at.is_none() {
                job.began_at = Some(job.age(at));
            }
            if is && job.running == 0 {
                job.running_well_since = at;
            }
            job.running = match is {
                true => job.running + 1,
                false => job.running.saturating_sub(1),
            };
            self.progress_dirty.insert(ix);
        }
    }

    /// Puts an assignment on a machine, and counts it until its proof of absence.
    pub(crate) fn hold(&mut self, name: &str, a: Assignment) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let used = self.usage.entry(a.team.clone()).or_insert((0.0, 0.0));
        *used = (used.0 + a.cpus, used.1 + a.gpus);
        let (ix, seen) = (a.job, a.seen);
        let at = a.decided;
        m.assignments.push(a);
        m.recount();
        self.count_running(at, ix, Seen::Never, seen);
    }

    /// Notes that a task is done; the result says when that is durable.
    fn completed(&mut self, cx: &Ctx, ix: JobIx, task: u64) -> Option<(Rec, u64)> {
        let job = self.jobs.get_mut(ix)?;
        if !job.complete(task) {
            return None;
        }
        let page = Rec::Done(self.done_pages.page_of(ix, task / DONE_SPAN, job));
        self.progress_dirty.insert(ix);
        // The worker keeps the result until it is reaped: the write can wait for others.
        let due = cx.now.steady + DONE_DELAY;
        Some((page.clone(), self.ledger.touch_by(page, due)))
    }

    /// An assignment's task has exited.
    fn exited(&mut self, cx: &mut Ctx, name: &str, at: usize, cause: &str, shard: &str) {
        let now = cx.now.steady;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let a = m.assignments[at].clone();
        let mut after = Vec::new();
        let mut failed = false;
        let job = self.jobs.get_mut(a.job);
        match (cause, job) {
            ("no_room" | "busy", _) => {
                warn!("{shard}: {name} refused it: {cause}");
                m.shy_until = now + 3 * SECOND;
            }
            // A replica is to run again, however it ended; unless we stopped it, it ended by itself.
            (_, Some(job)) if job.is_daemon() => {
                let ran = match (a.recovered(), a.started) {
                    // One of an earlier leader has run for a while.
                    (true, _) => now.saturating_sub(self.loaded_at) + LEAST_STAY,
                    (false, at) => at.map_or(0, |at| now.saturating_sub(at)),
                };
                if a.stop.is_none() {
                    info!("{shard}: {cause} on {name} after {} s", ran / SECOND);
                    job.replica_ended(a.task, name, ran, now);
                    failed = cause == "error";
                }
            }
            ("done", Some(job)) => {
                m.errors.clear();
                job.errors = 0;
                // Only a run seen from its beginning says how long such tasks take.
                if let (Some(started), false) = (a.started, a.recovered()) {
                    let run = now.saturating_sub(started);
                    self.stats.ran(&job.spec, &m.machine_type, run);
                    let (mean, n) = job.run_mean;
                    job.run_mean = ((mean * n as u64 + run) / (n as u64 + 1), (n + 1).min(1_000));
                }
                after.extend(self.completed(cx, a.job, a.task));
            }
            ("error", Some(job)) => {
                job.errors += 1;
                job.retry_at = now + error_backoff(job.errors);
                job.running_well_since = now;
                failed = true;
                info!("{shard}: error on {name}");
            }
            ("unknown", Some(job)) => {
                job.errors += 1;
                job.retry_at = now + error_backoff(job.errors.max(3));
            }
            _ => {}
        }
        if failed {
            self.note_failure(cx, name, a.job);
        }
        self.free(cx, name, at);
        if let Some(m) = self.machines.get_mut(name) {
            m.reaps.push(Reap {
                shard: shard.to_string(),
                attempt: a.attempt,
                after,
                job: Some(a.job),
            });
        }
        self.end_if_over(cx, a.job);
    }

    /// A task of the job failed on the machine: one of the two is at fault. A machine that seems to be is
    /// returned; by a single job alone two machines are at the most.
    fn note_failure(&mut self, cx: &Ctx, name: &str, ix: JobIx) {
        let Some(job) = self.jobs.get_mut(ix) else {
            return;
        };
        let id = job.id.clone();
        let was_suspect = job.is_suspect();
        job.note_failure(name);
        if job.is_suspect() && !was_suspect {
            self.acquit_machines(cx);
        }
        let suspect = |id: &str| is_suspect(&self.jobs, id);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.note_failure(&id, suspect);
        if machine.closing && !machine.emptying {
            return;
        }
        match (machine.blame(), self.jobs.get_mut(ix)) {
            (Blame::ByTwoJobs, _) => machine.retire_as_faulty(),
            (Blame::ByOneJob, Some(job)) if job.blamed < MOST_BLAMED_BY_ONE_JOB => {
                job.blamed += 1;
                machine.retire_as_faulty();
            }
            _ => {}
        }
    }

    /// A job turned out to be suspect: machines that were blamed for its failures take tasks again, unless
    /// others are left that speak against them.
    fn acquit_machines(&mut self, cx: &Ctx) {
        let suspect = |id: &str| is_suspect(&self.jobs, id);
        for machine in self.machines.values_mut().filter(|m| m.faulty) {
            machine.forget_failures(suspect);
            if machine.blame() == Blame::None && !self.fleet.is_releasing(&machine.name) {
                machine.keep_after_all();
                self.placement.want(cx.now.steady);
            }
        }
    }

    /// A worker reports an exit of an attempt that is on no page of ours, such as one whose
    /// removal was written before an earlier leader could have it reaped.
    fn exited_unknown(
        &mut self,
        cx: &mut Ctx,
        name: &str,
        job_id: &str,
        task: u64,
        s: &ShardReport,
    ) {
        let known = self.machines.get(name).is_some_and(|m| {
            m.reaps
                .iter()
                .any(|r| r.shard == s.shard && r.attempt == s.attempt)
        });
        if known {
            return;
        }
        let ix = self.jobs.find(job_id);
        let mut after = Vec::new();
        if let (Some("done"), Some(ix)) = (s.cause.as_deref(), ix) {
            after.extend(self.completed(cx, ix, task));
            self.end_if_over(cx, ix);
        }
        if let Some(m) = self.machines.get_mut(name) {
            m.reaps.push(Reap {
                shard: s.shard.clone(),
                attempt: s.attempt,
                after,
                job: ix,
            });
        }
    }

    /// A worker has a task that is on no page of ours. It is stopped, and counts as taken until
    /// it is proven gone.
    fn foreign(&mut self, cx: &mut Ctx, report: &Report, job_id: &str, task: u64, s: &ShardReport) {
        let now = cx.now.steady;
        error!("{}: has {}, which is not on record", report.perch, s.shard);
        let ix = self.jobs.find(job_id);
        if let Some(job) = ix.and_then(|ix| self.jobs.get_mut(ix)) {
            job.take(task);
            *job.zones.entry(report.yard.clone()).or_insert(0) += 1;
        }
        let spec = ix.and_then(|ix| self.jobs.get(ix)).map(|j| j.spec.clone());
        let page = self.page_with_room(1);
        let assignment = Assignment {
            job: ix.unwrap_or(JobIx::MAX),
            job_id: job_id.to_string(),
            task,
            attempt: s.attempt,
            tenure: report.tenure,
            page,
            written: 0,
            cpus: spec.as_ref().map_or(0.0, |s| s.vcpus),
            gpus: spec.as_ref().map_or(0.0, |s| s.accelerators),
            memory: spec.as_ref().map_or(0.0, |s| s.memory_gb),
            team: spec.as_ref().map_or(String::new(), |s| s.owner.clone()),
            zone: report.yard.clone(),
            launched: Some((report.tenure, report.tally)),
            seen: Seen::Running,
            decided: now,
            started: Some(now),
            expected: SECOND,
            stop: Some(Stop {
                leeway: 0,
                since: now,
                sent: None,
            }),
        };
        self.page_mut(page).add(&report.perch, &assignment);
        self.ledger.touch(Rec::Page(page), now);
        self.hold(&report.perch, assignment);
        self.send_direct(cx, &report.perch);
    }

    /// Removes an assignment of which it is proven that its task is not on the machine and will
    /// not come there.
    pub(crate) fn free(&mut self, cx: &mut Ctx, name: &str, at: usize) {
        let now = cx.now.steady;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let a = m.assignments.remove(at);
        m.recount();
        m.idle_since = now;
        if let Some(used) = self.usage.get_mut(&a.team) {
            *used = (used.0 - a.cpus, used.1 - a.gpus);
        }
        self.count_running(now, a.job, a.seen, Seen::Never);
        self.page_mut(a.page).remove(name, &a);
        // Every page loses something all the time: with many pages the writes must be further apart.
        let pages = self.pages.len() as f64 / (cx.settings.state.write_rps * FREE_WRITES);
        let delay = FREE_DELAY.max((pages * 1e6) as Micros);
        self.ledger.touch_lazily(Rec::Page(a.page), now + delay);
        if let Some(job) = self.jobs.get_mut(a.job) {
            job.give_back(a.task);
            if let Some(n) = job.zones.get_mut(&a.zone) {
                *n = n.saturating_sub(1);
            }
            if job.waiting() > 0 && job.waiting_since.is_none() {
                job.waiting_since = Some(now);
            }
        }
        self.placement.want(cx.now.steady);
        self.end_if_over(cx, a.job);
    }

    /// Stops whatever may run of a job.
    pub(crate) fn stop_job(&mut self, cx: &mut Ctx, ix: JobIx) {
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.assignments.iter().any(|a| a.job == ix))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.stop_on(cx, &name, 0, |a| a.job == ix);
        }
    }

    /// Stops the assignments of a machine that pass the test. Those never launched are freed at
    /// once.
    pub(crate) fn stop_on(
        &mut self,
        cx: &mut Ctx,
        name: &str,
        leeway: Micros,
        test: impl Fn(&Assignment) -> bool,
    ) {
        let now = cx.now.steady;
        while let Some(at) = self.position(name, |a| test(a) && !a.may_exist()) {
            self.free(cx, name, at);
        }
        let mut any = false;
        if let Some(m) = self.machines.get_mut(name) {
            for a in m.assignments.iter_mut().filter(|a| test(a)) {
                // A stop without leeway ends a task that is saving.
                if a.stop.is_none_or(|s| leeway == 0 && s.leeway > 0) {
                    a.stop = Some(Stop {
                        leeway,
                        since: now,
                        sent: None,
                    });
                    any = true;
                }
            }
        }
        if any {
            self.send_direct(cx, name);
        }
    }

    /// Sends the stops of a machine straight to it.
    fn send_direct(&mut self, cx: &mut Ctx, name: &str) {
        self.send_orders(cx, name, false);
    }

    /// Sends stops that are due; with `ask` the command goes out even if there are none: its answer
    /// shows that the machine hears us.
    fn send_orders(&mut self, cx: &mut Ctx, name: &str, ask: bool) {
        let now = cx.now.steady;
        if self.doubtful() || self.direct.contains_key(name) {
            return;
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.endpoint.is_empty() {
            return;
        }
        let mut orders = Vec::new();
        for a in m.assignments.iter_mut().filter(|a| a.launched.is_some()) {
            if let Some(stop) = &mut a.stop {
                if orders.len() < MOST_ORDERS
                    && stop.sent.is_none_or(|at| now >= at + DIRECT_INTERVAL)
                {
                    stop.sent = Some(now);
                    orders.push(stop_order(&a.job_id, a.task, a.attempt, stop.leeway));
                }
            }
        }
        if orders.is_empty() && !ask {
            return;
        }
        let body = DirectOrders {
            warrant: self.token,
            tenure: m.tenure,
            orders,
        };
        let endpoint = m.endpoint.clone();
        self.direct.insert(name.to_string(), now);
        let pending = self.pending(LeadCall::Direct {
            machine: name.to_string(),
        });
        cx.call(
            Target::Worker(endpoint),
            "POST",
            "/do".into(),
            wire::to_cbor(&body),
            2 * SECOND,
            pending,
        );
    }

    pub(crate) fn on_direct(&mut self, cx: &mut Ctx, name: &str, outcome: Outcome) {
        self.direct.remove(name);
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if status != 200 && status != 409 {
            return warn!("{name}: direct command got {status}");
        }
        match wire::from_cbor::<Report>(&body) {
            Ok(report) if report.perch == name && self.machines.contains_key(name) => {
                self.on_report(cx, report, Source::Direct);
                // It came within the call's time: commands reach this session now.
                if let (200, Some(m)) = (status, self.machines.get_mut(name)) {
                    m.hears = true;
                    m.deaf_since = None;
                    self.placement.want(cx.now.steady);
                }
            }
            Ok(_) => warn!("{name}: another worker answers at its address"),
            Err(e) => warn!("{name}: {e}"),
        }
    }

    /// Stops what cannot finish before the cloud takes the machine.
    fn drain_recalled(&mut self, cx: &mut Ctx, name: &str) {
        let now = cx.now.steady;
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let Some(left) = m.recall_at.map(|at| at.saturating_sub(now)) else {
            return;
        };
        let mut stops: Vec<(u64, Micros)> = Vec::new();
        for a in m.assignments.iter().filter(|a| a.stop.is_none()) {
            let Some(job) = self.jobs.get(a.job) else {
                continue;
            };
            let fetch = m.fetch_time(&job.spec.bundle, job.spec.pull_gb);
            if a.remaining(now, fetch) + SECOND < left {
                continue;
            }
            let flush = micros(job.spec.flush_s);
            if job.is_daemon() {
                // It serves on until there is room elsewhere, which is rented at once if there is none.
                let saves = job.spec.savepoint_s > 0.0;
                let last = if saves { leeway(flush) } else { 0 } + LAST_MOVE;
                if left < last {
                    stops.push((a.attempt, if saves { leeway(flush) } else { 0 }));
                }
            } else if job.spec.savepoint_s > 0.0 {
                if left < flush + 5 * SECOND {
                    stops.push((a.attempt, leeway(flush)));
                }
            } else {
                stops.push((a.attempt, 0));
            }
        }
        for (attempt, leeway) in stops {
            self.stop_on(cx, name, leeway, |a| a.attempt == attempt);
        }
    }

    fn is_durable(&self, after: &[(Rec, u64)], job: Option<JobIx>) -> bool {
        // Once a job is over, its terminal record stands for all of its tasks.
        let over = job.is_some_and(|ix| self.jobs.get(ix).is_none());
        after.iter().all(|(rec, version)| {
            (over && matches!(rec, Rec::Done(..))) || self.ledger.is_durable(rec, *version)
        })
    }

    /// The commands for the answer to a check-in. Launches go only here: such an answer is never
    /// carried out late. Each launched task is on record, each reaped outcome too.
    fn orders(&mut self, cx: &Ctx, held: &Held) -> Vec<Order> {
        let now = cx.now.steady;
        let mut orders = Vec::new();
        let Some(m) = self.machines.get(&held.machine) else {
            return orders;
        };
        if m.tenure != held.tenure {
            return orders;
        }
        for r in &m.reaps {
            if orders.len() < MOST_ORDERS && self.is_durable(&r.after, r.job) {
                orders.push(Order {
                    verb: "reap".into(),
                    shard: r.shard.clone(),
                    attempt: r.attempt,
                    leeway_s: None,
                });
            }
        }
        let (ledger, jobs) = (&self.ledger, &self.jobs);
        let Some(m) = self.machines.get_mut(&held.machine) else {
            return orders;
        };
        let recalled = m.recall_at.is_some();
        for a in &mut m.assignments {
            if orders.len() >= MOST_ORDERS {
                break;
            }
            if let Some(stop) = &mut a.stop {
                if a.launched.is_some() {
                    stop.sent = Some(now);
                    orders.push(stop_order(&a.job_id, a.task, a.attempt, stop.leeway));
                }
                continue;
            }
            let alive = jobs
                .get(a.job)
                .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
            let written = ledger.is_durable(&Rec::Page(a.page), a.written);
            if a.launched.is_none() && written && alive && !recalled && a.tenure == held.tenure {
                a.launched = Some((held.tenure, held.tally));
                orders.push(Order {
                    verb: "launch".into(),
                    shard: format!("{}/{}", a.job_id, a.task),
                    attempt: a.attempt,
                    leeway_s: None,
                });
            }
        }
        orders
    }

    /// Whether no worker reaches this node though there should be some: then another node had
    /// better lead.
    pub(crate) fn cut_from_workers(&self, cx: &Ctx) -> bool {
        let now = cx.now.steady;
        // A worker that gets no answer for 4 s goes to another node, and its lease should still hold
        // when it finds the next leader there: a report and a half once reports are far apart.
        let report = cx.settings.report;
        let silence = (report * 5 / 2).min((report * 3 / 2).max(ANSWER_TIME));
        let since = now.saturating_sub(self.heard_at.max(self.loaded_at));
        if !self.loaded() || cx.settings.siblings.is_empty() || since <= silence {
            return false;
        }
        // Machines known from state only have yet to find this node: they get more time.
        let lately =
            |m: &&Machine| m.knows_token && now.saturating_sub(m.last_report) < silence * 4;
        match self.machines.values().filter(lately).count() {
            // Copies of a deleted machine's reports make no machine; nor does a page that lists one
            // which is gone from the cloud: leaders once gave up in turn, none stayed long enough
            // to find that out.
            0 => {
                let list = self.fleet.has_list();
                let real = |m: &Machine| {
                    m.knows_token || (m.endpoint.is_empty() && (m.listed.is_some() || !list))
                };
                since > silence * 4 && self.machines.values().any(real)
            }
            // A single machine may well be at fault itself.
            1 => since > silence * 2,
            _ => true,
        }
    }

    /// Looks after silent machines, stops that were not carried out, and recalls.
    pub(crate) fn run_machines(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        if now < self.next_machine_check {
            return;
        }
        self.next_machine_check = now + SECOND;
        let s = &cx.settings;
        let (lease, cancel, report) = (s.lease, s.cancel, s.report);
        let lapse = lapse(lease);
        // Silence of all machines is our own cut, not theirs.
        let hearing = now.saturating_sub(self.heard_at) < 3 * report;
        // A new leader waits for the machines' first reports, to stop what it can without a release.
        let new = now.saturating_sub(self.loaded_at) < report * 3 / 2 + SECOND;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let mut silent_serving: Vec<(Micros, String)> = Vec::new();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            let silent = now.saturating_sub(m.last_report);
            // A machine may answer direct commands and reach no controller: nothing can be launched there.
            // A replica was once placed on such a one again and again, each time for a further session.
            let unheard = now.saturating_sub(m.last_checkin);
            let lapsed = m.knows_token && now.saturating_sub(m.last_answer) > lapse;
            let jobs = &self.jobs;
            let cancelled = |a: &Assignment| jobs.get(a.job).is_none_or(|j| j.cancelled.is_some());
            if lapsed && m.assignments.iter().any(cancelled) {
                // A hanging machine may not know yet that its lease has run out, and cancelled tasks must
                // be gone in time. Their proof is the release: were they freed before it is answered, the
                // next leader would not know that it is due.
                self.fleet.release(&name, now);
                m.closing = true;
            }
            let tenure = m.tenure;
            let ended = |a: &Assignment| a.tenure <= tenure && !cancelled(a);
            if lapsed && m.assignments.iter().any(ended) {
                // The worker has seen our token, so only our answers renew its lease, and the
                // last one is too old: it has killed every task and is in a new session.
                info!("{name}: lease has run out");
                let attempts: Vec<u64> = m
                    .assignments
                    .iter()
                    .filter(|a| ended(a))
                    .map(|a| a.attempt)
                    .collect();
                m.tenure += 1;
                m.tally = 0;
                m.reaps.clear();
                while let Some(at) = self.position(&name, |a| attempts.contains(&a.attempt)) {
                    self.free(cx, &name, at);
                }
            }
            if unheard > 3 * report {
                self.free_unlaunched(cx, &name);
            }
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let overdue_cancel = m.assignments.iter().any(|a| {
                let ago = self.jobs.get(a.job).and_then(|j| j.cancelled_for(now));
                ago.is_some_and(|ago| ago > cancel / 2 && (!new || ago > cancel * 3 / 4))
            });
            // A release is proof, and sooner than the end of the lease: replicas need not wait for that.
            let serves = m.knows_token
                && m.assignments
                    .iter()
                    .any(|a| self.jobs.get(a.job).is_some_and(Job::is_daemon));
            if serves && hearing && !new && silent > 2 * report + SECOND {
                silent_serving.push((silent, name.clone()));
            }
            if overdue_cancel || (hearing && unheard > silent_release(lease)) {
                if self.fleet.release(&name, now) {
                    info!("{name}: released, silent for {} s", unheard / SECOND);
                }
                if let Some(m) = self.machines.get_mut(&name) {
                    m.closing = true;
                }
            }
            // Reports may be further apart than a worker waits for an answer; then they do not show
            // by themselves that it hears: idle machines once stayed without work until they were
            // returned.
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            if !m.hears
                && !m.closing
                && silent < 2 * report
                && now.saturating_sub(m.last_answer) >= ASK_AFTER
                && self.direct.len() < MOST_ASKED
            {
                self.send_orders(cx, &name, true);
            }
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            // What belongs to no live task: a second assignment of a task that is done.
            let useless: Vec<u64> = m
                .assignments
                .iter()
                .filter(|a| self.jobs.get(a.job).is_none_or(|j| j.is_done(a.task)))
                .map(|a| a.attempt)
                .collect();
            if !useless.is_empty() {
                self.stop_on(cx, &name, 0, |a| useless.contains(&a.attempt));
            }
            self.drain_recalled(cx, &name);
            self.move_replicas(cx, &name);
            self.send_direct(cx, &name);
        }
        self.check_silent_serving(cx, &silent_serving);
    }

    /// Machines that hold replicas and are silent are asked directly, and released if that brings no
    /// answer either. Many at once are more likely cut off than gone, and keep serving meanwhile.
    fn check_silent_serving(&mut self, cx: &mut Ctx, silent: &[(Micros, String)]) {
        let now = cx.now.steady;
        let few = 1 + self.machines.len() / MOST_SILENT_PART;
        for (silence, name) in silent {
            if *silence < cx.settings.report * 3 + 2 * SECOND {
                self.send_orders(cx, name, true);
            } else if silent.len() <= few && self.fleet.release(name, now) {
                info!(
                    "{name}: released, silent for {} s with replicas on it",
                    silence / SECOND
                );
                if let Some(m) = self.machines.get_mut(name) {
                    m.closing = true;
                }
            }
        }
    }

    /// Replicas on a machine that is to be returned, or that the cloud takes, never end by themselves:
    /// they are stopped once there is room for them elsewhere.
    fn move_replicas(&mut self, cx: &mut Ctx, name: &str) {
        let going = |m: &&Machine| m.closing || m.recall_at.is_some();
        let Some(m) = self.machines.get(name).filter(going) else {
            return;
        };
        let mut moves: Vec<(u64, Micros)> = Vec::new();
        for a in m.assignments.iter().filter(|a| a.stop.is_none()) {
            let Some(job) = self.jobs.get(a.job).filter(|j| j.is_daemon()) else {
                continue;
            };
            let leeway = match job.spec.savepoint_s > 0.0 {
                true => leeway(micros(job.spec.flush_s)),
                false => 0,
            };
            // Those that move already mean the same room.
            if self.room_elsewhere(cx, &a.zone, &job.spec) > moves.len() as u64 {
                moves.push((a.attempt, leeway));
            }
        }
        for (attempt, leeway) in moves {
            self.stop_on(cx, name, leeway, |a| a.attempt == attempt);
        }
    }

    /// How many tasks of the job the machines of a zone have room for.
    fn room_elsewhere(&self, cx: &Ctx, zone: &str, spec: &Submission) -> u64 {
        let (now, silence) = (cx.now.steady, 3 * cx.settings.report);
        self.machines
            .values()
            .filter(|m| m.zone == zone && m.usable(now, silence))
            .filter(|m| permits(cx, spec, &m.machine_type, &m.zone, m.spot))
            .map(|m| slots(m.free(), spec))
            .sum()
    }
}

/// Whether failures of the job's tasks say nothing of a machine; of a job that is over nothing is known.
fn is_suspect(jobs: &Jobs, id: &str) -> bool {
    let job = jobs.find(id).and_then(|ix| jobs.get(ix));
    job.is_none_or(Job::is_suspect)
}

/// Stops for the tasks on a machine whose jobs are known to be cancelled.
fn cancelled_here(cx: &Ctx, report: &Report) -> Vec<Order> {
    let live = report.shards.iter().filter(|s| s.status != "exited");
    live.filter_map(|s| {
        let (job, task) = parse_task(&s.shard)?;
        cx.cancellations.get(job)?;
        Some(stop_order(job, task, s.attempt, 0))
    })
    .take(MOST_ORDERS)
    .collect()
}

/// When a worker's lease has certainly run out after our last answer: with drift, and a little for
/// the answer's own time.
fn lapse(lease: Micros) -> Micros {
    lease + lease / 500 + 1_500 * MILLI
}

/// How long a machine may be silent before it is released.
pub(crate) fn silent_release(lease: Micros) -> Micros {
    lapse(lease) + 12 * SECOND
}

/// Leeway for a task that needs `flush` to save.
pub(crate) fn leeway(flush: Micros) -> Micros {
    flush + flush / 2 + SECOND
}

fn stop_order(job: &str, task: u64, attempt: u64, leeway: Micros) -> Order {
    Order {
        verb: "stop".into(),
        shard: format!("{job}/{task}"),
        attempt,
        leeway_s: Some(leeway as f64 / SECOND as f64),
    }
}
