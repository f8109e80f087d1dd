//! A node's view of the live jobs, from which it answers users.
//!
//! The state service's rate is far too small for a read a poll. Requests that need the state of a
//! job therefore wait, a few milliseconds mostly, for one `GET /changes` that is sent after they
//! came in: it brings the view up to date as of a moment after their arrival, and answers all of
//! them at once. So no node gives an answer that is older than another's. A view that has missed
//! too much is read anew. Without requests it is brought up to date every second: so a node knows of
//! all cancellations as of a moment that is recent, whatever happens next.

use crate::calls::{CallPurpose, JobViewCall, UserAction, UserRequest, UserRequestStage};
use crate::controller::Controller;
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, KeyValueList, WatchResponse};
use grebewood_wire::records::{CancelRecord, JobKey, JobRecord, JOB, OLD_CANCEL};
use grebewood_wire::Value;
use log::{debug, error};
use std::collections::{BTreeMap, VecDeque};

/// What a node knows of a live job.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    pub tasks: u64,
    pub mod_revision: u64,
    pub cancelled: bool,
}

/// Keys that are read to build the view, in this order.
const PREFIXES: [&str; 2] = [JOB, OLD_CANCEL];
/// Shortest time between two requests of the view.
const INTERVAL: Micros = 60 * MILLI;
/// Without requests, the view is brought up to date so often.
const REFRESH: Micros = SECOND;
/// The same after an attempt that failed.
const REFRESH_AGAIN: Micros = 500 * MILLI;
/// A question waits no longer than this: users wait 2 s for an answer.
const PATIENCE: Micros = 1_400 * MILLI;
/// A submission or cancellation may wait longer, since they wait 5 s for its answer. Under a slow
/// state service, or when the answer to the transaction was lost, they were once all refused, and
/// came again a second later and later.
const LONG_PATIENCE: Micros = 3_400 * MILLI;

/// So many ends are remembered.
const MOST_ENDED: usize = 500;

/// The view.
#[derive(Debug, Default)]
pub struct JobView {
    live: BTreeMap<String, LiveJob>,
    /// Jobs that were seen to end, the latest ones: a repeat of their submission costs no write.
    ended: VecDeque<String>,
    /// Up to date as of this revision; while the view is read, that of the first page.
    since: Option<u64>,
    /// Prefixes yet to be read, and where the list of the first one goes on.
    unread: Vec<&'static str>,
    after: Option<String>,
    built: bool,
    busy: bool,
    next_at: Micros,
    /// When it is brought up to date though nobody asks.
    refresh_at: Micros,
    /// Requests that the reply under way answers, and those that came in after it was sent.
    asked: Vec<UserRequest>,
    waiting: Vec<UserRequest>,
}

impl UserRequest {
    /// Until when it waits for the view.
    fn patient_until(&self) -> Micros {
        self.arrived
            + match self.ask {
                UserAction::Poll => PATIENCE,
                _ => LONG_PATIENCE,
            }
    }
}

impl JobView {
    pub fn get(&self, id: &str) -> Option<&LiveJob> {
        self.live.get(id)
    }

    pub fn next_wake(&self) -> Micros {
        let wanted = !self.built || !self.waiting.is_empty();
        let mut at = match (wanted, self.busy) {
            (_, true) => Micros::MAX,
            (true, false) => self.next_at,
            (false, false) => self.next_at.max(self.refresh_at),
        };
        for call in &self.waiting {
            at = at.min(call.patient_until());
        }
        at
    }

    fn put(&mut self, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(id)) => {
                let tasks = match wire::http::from_value::<JobRecord>(value) {
                    Ok(record) => record.spec.tasks,
                    Err(e) => {
                        error!("record {key}: {e}; the job stays known");
                        0
                    }
                };
                let job = self.entry(id);
                (job.tasks, job.mod_revision) = (tasks, mod_revision);
            }
            Some(JobKey::Cancelled(id)) => self.entry(id).cancelled = true,
            None => {}
        }
    }

    fn entry(&mut self, id: &str) -> &mut LiveJob {
        self.live.entry(id.to_string()).or_insert(LiveJob {
            tasks: 0,
            mod_revision: 0,
            cancelled: false,
        })
    }

    fn delete(&mut self, key: &str) {
        // A cancellation goes with its job, in one transaction.
        if let Some(JobKey::Live(id)) = JobKey::parse(key) {
            if self.live.remove(id).is_some() {
                self.ended.push_back(id.to_string());
                if self.ended.len() > MOST_ENDED {
                    self.ended.pop_front();
                }
            }
        }
    }

    /// Whether the job was accepted for certain: it is live, or was seen to end lately.
    pub fn knows(&self, id: &str) -> bool {
        self.live.get(id).is_some_and(|j| j.mod_revision > 0) || self.ended.iter().any(|e| e == id)
    }

    fn restart(&mut self) {
        self.built = false;
        self.live.clear();
        self.since = None;
        self.unread = PREFIXES.to_vec();
        self.after = None;
    }
}

impl Controller {
    /// Lets a user's request wait for a view that is no older than the request.
    pub(crate) fn wait_for_job_view(&mut self, call: UserRequest) {
        self.job_view.waiting.push(call);
    }

    pub(crate) fn run_job_view(&mut self) {
        let now = self.context.now.steady;
        let overdue = |c: &UserRequest| now >= c.patient_until();
        if self.job_view.waiting.iter().any(overdue) {
            let waiting = std::mem::take(&mut self.job_view.waiting);
            let (late, rest): (Vec<_>, Vec<_>) = waiting.into_iter().partition(overdue);
            self.job_view.waiting = rest;
            for call in late {
                self.context
                    .refuse(call.request, 503, "the state service is not in time");
            }
        }
        let v = &mut self.job_view;
        let wanted = !v.built || !v.waiting.is_empty() || now >= v.refresh_at;
        if v.busy || now < v.next_at || !wanted {
            return;
        }
        if !self.context.reads.take(now, 1.0) {
            v.next_at = self.context.reads.ready_at(now, 1.0);
            return;
        }
        if !v.built && v.unread.is_empty() {
            v.restart();
        }
        v.busy = true;
        // It takes half of the reads at most: the rest is for ends, submissions and cancellations.
        v.next_at = now + INTERVAL.max(self.context.reads.time_for(2.0));
        v.refresh_at = now + REFRESH;
        let (path, what) = match (v.unread.first(), v.since) {
            (Some(prefix), _) => {
                let after = match &v.after {
                    Some(key) => format!("&since={key}"),
                    None => String::new(),
                };
                let path = format!("/kv?prefix={prefix}{after}&page=400");
                (path, JobViewCall::List(prefix))
            }
            (None, since) => {
                v.asked.append(&mut v.waiting);
                let since = since.unwrap_or(0);
                let path = format!("/changes?prefix={JOB}&since={since}&block_ms=0");
                (path, JobViewCall::WatchResponse)
            }
        };
        self.context
            .get_from_store(path, CallPurpose::JobView(what));
    }

    /// Takes the reply to a request of the view that was made at `made`.
    pub(crate) fn on_job_view(&mut self, what: JobViewCall, made: Micros, outcome: Outcome) {
        let now = self.context.now.steady;
        self.job_view.busy = false;
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            // The same request would bring the same answer for good: the view is read anew, page by
            // page, as when its changes are too old.
            Outcome::TooLarge => (410, Vec::new()),
            _ => (0, Vec::new()),
        };
        match what {
            JobViewCall::List(_) => {
                let list = wire::from_cbor::<KeyValueList>(&body);
                match list {
                    Ok(list) if status == 200 => self.on_view_list(list),
                    _ => {
                        debug!("the view's list got {status}");
                        self.job_view.next_at = now + 200 * MILLI;
                    }
                }
            }
            JobViewCall::WatchResponse => match (status, wire::from_cbor::<WatchResponse>(&body)) {
                (200, Ok(changes)) => {
                    for event in changes.events {
                        if let (Some(key), Some(value)) = (&event.put, &event.value) {
                            self.job_view.put(key, value, event.mod_revision);
                            self.note_cancellation(key, value);
                        }
                        if let Some(key) = &event.delete {
                            self.job_view.delete(key);
                            // Nothing of a job that is over runs any more.
                            if let Some(JobKey::Live(id)) = JobKey::parse(key) {
                                self.context.cancellations.forget(id);
                            }
                        }
                    }
                    self.job_view.since = self.job_view.since.max(Some(changes.revision));
                    self.context.cancellations.read_as_of(made);
                    for call in std::mem::take(&mut self.job_view.asked) {
                        if now >= call.patient_until() {
                            let why = "the state service is not in time";
                            self.context.refuse(call.request, 503, why);
                        } else {
                            self.on_fresh_view(call);
                        }
                    }
                }
                (503, _) => {
                    self.job_view.next_at = now + 200 * MILLI;
                    self.job_view.refresh_at = now + REFRESH_AGAIN;
                    for call in std::mem::take(&mut self.job_view.asked) {
                        self.context
                            .refuse(call.request, 503, "the state service is out of reach");
                    }
                }
                (status, _) => {
                    debug!("the view's changes got {status}");
                    // The same requests again, as long as they have patience.
                    let mut again = std::mem::take(&mut self.job_view.asked);
                    again.append(&mut self.job_view.waiting);
                    self.job_view.waiting = again;
                    self.job_view.next_at = now + 100 * MILLI;
                    self.job_view.refresh_at = now + REFRESH_AGAIN;
                    if status != 0 && status != 429 {
                        // Too old, or not to be understood: it is read anew.
                        self.job_view.restart();
                    }
                }
            },
        }
    }

    fn on_view_list(&mut self, list: KeyValueList) {
        let v = &mut self.job_view;
        // Later pages may be newer: what changed since the first one is told again.
        v.since.get_or_insert(list.revision);
        let last = list.entries.last().map(|e: &KeyValue<Value>| e.key.clone());
        for e in &list.entries {
            v.put(&e.key, &e.value, e.mod_revision);
        }
        for e in &list.entries {
            self.note_cancellation(&e.key, &e.value);
        }
        let v = &mut self.job_view;
        if list.more && last.is_some() {
            v.after = last;
            return;
        }
        v.after = None;
        v.unread.remove(0);
        v.built = v.unread.is_empty();
    }

    /// Notes the cancellation that a record may hold, and tells the leader's part of it, whose own
    /// watch may be slower.
    fn note_cancellation(&mut self, key: &str, value: &Value) {
        let Some(JobKey::Cancelled(id)) = JobKey::parse(key) else {
            return;
        };
        let at = wire::http::from_value::<CancelRecord>(value).map(|r| r.cancelled_us);
        let at = at.unwrap_or(self.context.now.wall);
        self.context.cancellations.learn(id, at);
        self.apply_cancellation(id);
    }

    /// The view is no older than the request.
    fn on_fresh_view(&mut self, mut call: UserRequest) {
        // A cancellation alone, such as an earlier version may have left behind, makes no live job.
        let live = self
            .job_view
            .get(&call.job)
            .filter(|job| job.mod_revision > 0);
        match live.cloned() {
            Some(job) if job.cancelled => {
                call.live = Some((job.tasks, job.mod_revision));
                self.user_cancelled(&call);
            }
            // A job whose record cannot be read (only such a one has no tasks) cannot run, but it stays
            // known: questions about it once went without an answer for good.
            Some(job) => {
                call.live = Some((job.tasks, job.mod_revision));
                self.user_found_live(call);
            }
            None => {
                // Neither live nor over as of now: it was never accepted.
                call.stage = UserRequestStage::ReadFinished;
                self.user_send(call);
            }
        }
    }
}
