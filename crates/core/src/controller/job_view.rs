//! Keeps the view of the live jobs up to date and answers users from it.
//!
//! The store's rate limit is far too small for one read per poll. Requests that need the state of a job wait, a few
//! milliseconds mostly, for one `GET /changes` that is sent after they came in: it brings the view up to date as
//! of a moment after their arrival and answers all of them at once. So no controller gives an answer that is older than
//! another's. A view that has missed too much is read anew. Without requests it is brought up to date every second,
//! so a controller knows of all cancellations as of a recent moment.

use crate::calls::{CallPurpose, FoundJob, JobViewCall, UserRequest, UserRequestStage};
use crate::controller::Controller;
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValueList, WatchEvent, WatchResponse};
use grebewood_wire::records::{CancelRecord, JobKey, JOB_PREFIX};
use grebewood_wire::Value;
use log::debug;

/// Shortest time between two requests to the store.
const MIN_INTERVAL: Micros = 60 * MILLI;

/// The view takes half of the reads at most: the rest is for final records, submissions and cancellations.
const READS_BETWEEN_REQUESTS: f64 = 2.0;

/// Without users' requests, the view is brought up to date so often.
const REFRESH_INTERVAL: Micros = SECOND;

/// The same after an attempt that failed.
const REFRESH_RETRY_INTERVAL: Micros = 500 * MILLI;

/// Until the next request after one that the store refused, or whose page could not be read.
const RETRY_AFTER_REFUSAL: Micros = 200 * MILLI;

/// Until the next request for changes after one that failed otherwise.
const RETRY_AFTER_FAILURE: Micros = 100 * MILLI;

/// Most entries of one page of the list.
const PAGE_ENTRIES: usize = 400;

/// How a user's request is refused that has waited too long.
const NOT_IN_TIME: &str = "the state service is not in time";

impl Controller {
    /// Lets a user's request wait for a view that is no older than the request.
    pub(crate) fn wait_for_job_view(&mut self, request: UserRequest) {
        self.job_view.waiting.push(request);
    }

    /// Refuses requests that waited too long, and asks the store for changes if that is due.
    pub(crate) fn run_job_view(&mut self) {
        self.refuse_overdue_requests();
        let now = self.context.now.steady;
        let view = &mut self.job_view;
        let wanted = view.needs_update() || now >= view.refresh_at;
        if view.request_in_flight || now < view.next_request || !wanted {
            return;
        }
        if !self.context.user_reads.take(now, 1.0) {
            view.next_request = self.context.user_reads.ready_at(now, 1.0);
            return;
        }
        if !view.built && view.unlisted_prefixes.is_empty() {
            view.reset();
        }
        view.request_in_flight = true;
        view.next_request =
            now + MIN_INTERVAL.max(self.context.user_reads.time_for(READS_BETWEEN_REQUESTS));
        view.refresh_at = now + REFRESH_INTERVAL;
        self.request_job_view();
    }

    fn refuse_overdue_requests(&mut self) {
        let now = self.context.now.steady;
        let overdue = |request: &UserRequest| now >= request.view_deadline();
        if !self.job_view.waiting.iter().any(overdue) {
            return;
        }
        let waiting = std::mem::take(&mut self.job_view.waiting);
        let (late, in_time): (Vec<_>, Vec<_>) = waiting.into_iter().partition(overdue);
        self.job_view.waiting = in_time;
        for request in late {
            self.context.refuse(request.request, 503, NOT_IN_TIME);
        }
    }

    /// Asks the store for the next page of the list, or for changes once all is listed.
    fn request_job_view(&mut self) {
        let view = &mut self.job_view;
        let (path, call) = match view.unlisted_prefixes.first() {
            Some(prefix) => {
                let since = view.last_key.as_ref().map(|key| format!("&since={key}"));
                let since = since.unwrap_or_default();
                let path = format!("/kv?prefix={prefix}{since}&page={PAGE_ENTRIES}");
                (path, JobViewCall::List(prefix))
            }
            None => {
                view.awaiting_reply.append(&mut view.waiting);
                let since = view.revision.unwrap_or(0);
                let path = format!("/changes?prefix={JOB_PREFIX}&since={since}&block_ms=0");
                (path, JobViewCall::Watch)
            }
        };
        self.context
            .get_from_store(path, CallPurpose::JobView(call));
    }

    /// Takes the reply to a request that was made at `made_at`.
    pub(crate) fn on_job_view(&mut self, call: JobViewCall, made_at: Micros, outcome: Outcome) {
        self.job_view.request_in_flight = false;
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            // The same request would bring the same answer for good: the view is listed anew, page by
            // page, as when its changes are too old.
            Outcome::TooLarge => (410, Vec::new()),
            Outcome::Unknown | Outcome::NotSent => (0, Vec::new()),
        };
        match call {
            JobViewCall::List(_) => self.on_job_list(status, &body),
            JobViewCall::Watch => match (status, wire::from_cbor::<WatchResponse>(&body)) {
                (200, Ok(changes)) => self.on_job_changes(changes, made_at),
                (503, _) => self.on_store_unavailable(),
                _ => self.on_job_changes_failed(status),
            },
        }
    }

    fn on_job_list(&mut self, status: u16, body: &[u8]) {
        match wire::from_cbor::<KeyValueList>(body) {
            Ok(list) if status == 200 => self.on_job_page(list),
            _ => {
                debug!(status = status; "listing the live jobs failed");
                let now = self.context.now.steady;
                self.job_view.next_request = now + RETRY_AFTER_REFUSAL;
            }
        }
    }

    fn on_job_page(&mut self, list: KeyValueList) {
        // Later pages may be newer: what changed since the first one is told again.
        self.job_view.revision.get_or_insert(list.revision);
        for entry in &list.entries {
            self.job_view
                .apply_put(&entry.key, &entry.value, entry.mod_revision);
        }
        for entry in &list.entries {
            self.note_cancellation(&entry.key, &entry.value);
        }
        let last = list.entries.last().filter(|_| list.has_more);
        let view = &mut self.job_view;
        view.last_key = last.map(|entry| entry.key.clone());
        if view.last_key.is_none() {
            view.unlisted_prefixes.remove(0);
            view.built = view.unlisted_prefixes.is_empty();
        }
    }

    /// The view is up to date as of the moment at which the changes were asked for.
    fn on_job_changes(&mut self, changes: WatchResponse, made_at: Micros) {
        for event in &changes.events {
            self.on_job_event(event);
        }
        self.job_view.revision = self.job_view.revision.max(Some(changes.revision));
        self.context.cancellations.note_store_read(made_at);
        let now = self.context.now.steady;
        for request in std::mem::take(&mut self.job_view.awaiting_reply) {
            if now >= request.view_deadline() {
                self.context.refuse(request.request, 503, NOT_IN_TIME);
            } else {
                self.on_fresh_view(request);
            }
        }
    }

    fn on_job_event(&mut self, event: &WatchEvent) {
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.job_view.apply_put(key, value, event.mod_revision);
            self.note_cancellation(key, value);
        }
        if let Some(key) = &event.delete {
            self.job_view.apply_delete(key);
            // Nothing of a finished job runs any more.
            if let Some(JobKey::Live(id)) = JobKey::parse(key) {
                self.context.cancellations.forget(id);
            }
        }
    }

    fn on_store_unavailable(&mut self) {
        let now = self.context.now.steady;
        self.job_view.next_request = now + RETRY_AFTER_REFUSAL;
        self.job_view.refresh_at = now + REFRESH_RETRY_INTERVAL;
        for request in std::mem::take(&mut self.job_view.awaiting_reply) {
            self.context
                .refuse(request.request, 503, "the state service is out of reach");
        }
    }

    /// The users' requests wait for the next reply, as long as they have patience.
    fn on_job_changes_failed(&mut self, status: u16) {
        debug!(status = status; "reading changes of the live jobs failed");
        let now = self.context.now.steady;
        let view = &mut self.job_view;
        let mut waiting = std::mem::take(&mut view.awaiting_reply);
        waiting.append(&mut view.waiting);
        view.waiting = waiting;
        view.next_request = now + RETRY_AFTER_FAILURE;
        view.refresh_at = now + REFRESH_RETRY_INTERVAL;
        if status != 0 && status != 429 {
            // The changes are too old, or cannot be read: the view is listed anew.
            view.reset();
        }
    }

    /// Notes the cancellation that a record may hold, and tells the schedulers of it, whose own watch may be
    /// slower.
    fn note_cancellation(&mut self, key: &str, value: &Value) {
        let Some(JobKey::Cancelled(id)) = JobKey::parse(key) else {
            return;
        };
        let record = wire::http::from_value::<CancelRecord>(value);
        let cancelled_us = record.map_or(self.context.now.wall, |record| record.cancelled_us);
        self.context.cancellations.learn(id, cancelled_us);
        self.apply_cancellation(id);
    }

    /// The view is no older than the request.
    fn on_fresh_view(&mut self, mut request: UserRequest) {
        // A cancellation alone, such as an earlier version may have left behind, makes no live job. A job
        // whose record cannot be read (it has no tasks) cannot run, but it stays known: otherwise questions
        // about it would never be answered.
        let live = self.job_view.get(&request.job);
        let Some(live) = live.filter(|job| job.mod_revision > 0) else {
            // Neither live nor finished as of now: it was never accepted.
            return self.send_user_request(request.at_stage(UserRequestStage::ReadFinished));
        };
        request.live = Some(FoundJob {
            tasks: live.tasks,
            mod_revision: live.mod_revision,
        });
        if live.cancelled {
            self.confirm_cancellation(&request);
        } else {
            self.on_found_live(request);
        }
    }
}
