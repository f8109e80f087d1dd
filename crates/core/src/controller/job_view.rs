//! Keeps the view of the live jobs up to date and answers users from it.
//!
//! The store's rate limit is far too small for one read per poll. Requests that need the state of a job wait, a few
//! milliseconds mostly, for one `GET /changes` that is sent after they came in: it brings the view up to date as
//! of a moment after their arrival and answers all of them at once. So no controller gives an answer that is older than
//! another's. A view that has missed too much is read anew. Without requests it is brought up to date every second,
//! so a controller knows of all cancellations as of a recent moment.

use crate::calls::{CallPurpose, JobViewCall, UserRequest, UserRequestStage};
use crate::controller::Controller;
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, KeyValueList, WatchResponse};
use grebewood_wire::records::{CancelRecord, JobKey, JOB};
use grebewood_wire::Value;
use log::debug;

/// Shortest time between two requests of the view.
const INTERVAL: Micros = 60 * MILLI;

/// Without requests, the view is brought up to date so often.
const REFRESH: Micros = SECOND;

/// The same after an attempt that failed.
const REFRESH_AGAIN: Micros = 500 * MILLI;

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
