//! Keeps the view of the live jobs up to date and answers users from it.
//!
//! The store's rate limit is far too low for one read per status poll. Requests that need the state of a job wait,
//! mostly for a few milliseconds, for one `GET /changes` that is sent after they arrived. Its response brings the view
//! up to date as of a moment after their arrival, and all of them are answered at once. So no controller gives an
//! answer that is older than another controller's. A view that has missed too many changes is listed again. Without
//! requests the view is updated every second, so that the controller knows of all cancellations up to a recent
//! moment.

use crate::calls::{CallPurpose, FoundJob, JobViewCall, UserRequest, UserRequestStage};
use crate::controller::Controller;
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValueList, WatchEvent, WatchResponse};
use grebewood_wire::records::{CancelRecord, JobKey, JOB_PREFIX};
use grebewood_wire::Value;
use log::debug;

/// Shortest interval between two requests to the store.
const MIN_INTERVAL_US: Micros = 60 * MILLI;

/// Reads that the rate limit must allow for between two requests for the view: the view takes half of the reads at
/// most, and the rest is for final records, submissions and cancellations.
const READS_BETWEEN_REQUESTS: f64 = 2.0;

/// Interval between two updates of the view without users' requests.
const REFRESH_INTERVAL_US: Micros = SECOND;

/// Interval until the next update of the view without users' requests, after an update that failed.
const REFRESH_RETRY_INTERVAL_US: Micros = 500 * MILLI;

/// Delay until the next request after the store refused one, or after a page of the list could not be read.
const RETRY_AFTER_REFUSAL_US: Micros = 200 * MILLI;

/// Delay until the next request after a request for changes that failed otherwise.
const RETRY_AFTER_FAILURE_US: Micros = 100 * MILLI;

/// Most entries on one page of the list.
const MAX_PAGE_ENTRIES: usize = 400;

/// Refusal of a user's request that has waited too long.
const NOT_IN_TIME: &str = "the state service is not in time";

impl Controller {
    /// Lets a user's request wait for an update of the view that is sent after the request arrived.
    pub(crate) fn wait_for_job_view(&mut self, request: UserRequest) {
        self.job_view.waiting.push(request);
    }

    /// Refuses requests that waited too long, and sends the next request for the view if it is due.
    pub(crate) fn run_job_view(&mut self) {
        self.refuse_overdue_requests();
        let now = self.context.now.steady;
        let view = &mut self.job_view;
        let wanted = view.needs_update() || now >= view.refresh_at;
        if view.request_in_flight || now < view.next_request || !wanted {
            return;
        }
        if !self.context.user_reads.try_acquire(now, 1.0) {
            view.next_request = self.context.user_reads.ready_at(now, 1.0);
            return;
        }
        if !view.is_fully_listed && view.unlisted_prefixes.is_empty() {
            view.reset();
        }
        view.request_in_flight = true;
        view.next_request =
            now + MIN_INTERVAL_US.max(self.context.user_reads.refill_time(READS_BETWEEN_REQUESTS));
        view.refresh_at = now + REFRESH_INTERVAL_US;
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

    /// Requests the next page of the list, or the changes once all pages were read.
    fn request_job_view(&mut self) {
        let view = &mut self.job_view;
        let (path, call) = match view.unlisted_prefixes.first() {
            Some(prefix) => {
                let since = view.last_key.as_ref().map(|key| format!("&since={key}"));
                let since = since.unwrap_or_default();
                let path = format!("/kv?prefix={prefix}{since}&page={MAX_PAGE_ENTRIES}");
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

    /// Handles the reply to a request for the view that was made at `made_at`.
    pub(crate) fn on_job_view_reply(
        &mut self,
        call: JobViewCall,
        made_at: Micros,
        outcome: Outcome,
    ) {
        self.job_view.request_in_flight = false;
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            // The same request would get the same response every time. So the view is listed again, page by page, as
            // when the store no longer has the changes (status 410).
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
                debug!(status = status; "cannot list the live jobs; trying again");
                let now = self.context.now.steady;
                self.job_view.next_request = now + RETRY_AFTER_REFUSAL_US;
            }
        }
    }

    fn on_job_page(&mut self, list: KeyValueList) {
        // Later pages may be newer. The watch that follows starts at the revision of the first page, so it
        // repeats the changes since then.
        self.job_view.revision.get_or_insert(list.revision);
        for entry in &list.entries {
            self.job_view
                .apply_put(&entry.key, &entry.value, entry.mod_revision);
        }
        for entry in &list.entries {
            self.record_cancellation(&entry.key, &entry.value);
        }
        let last = list.entries.last().filter(|_| list.has_more);
        let view = &mut self.job_view;
        view.last_key = last.map(|entry| entry.key.clone());
        if view.last_key.is_none() {
            view.unlisted_prefixes.remove(0);
            view.is_fully_listed = view.unlisted_prefixes.is_empty();
        }
    }

    /// Applies changes, which bring the view up to date as of `made_at`, when they were requested, and continues
    /// the users' requests that waited for them.
    fn on_job_changes(&mut self, changes: WatchResponse, made_at: Micros) {
        for event in &changes.events {
            self.on_job_event(event);
        }
        self.job_view.revision = self.job_view.revision.max(Some(changes.revision));
        self.context.cancellations.record_store_read(made_at);
        let now = self.context.now.steady;
        for request in std::mem::take(&mut self.job_view.awaiting_reply) {
            if now >= request.view_deadline() {
                self.context.refuse(request.request, 503, NOT_IN_TIME);
            } else {
                self.continue_with_fresh_view(request);
            }
        }
    }

    fn on_job_event(&mut self, event: &WatchEvent) {
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.job_view.apply_put(key, value, event.mod_revision);
            self.record_cancellation(key, value);
        }
        if let Some(key) = &event.delete {
            self.job_view.apply_delete(key);
            // No task of a finished job runs any more.
            if let Some(JobKey::Live(id)) = JobKey::parse(key) {
                self.context.cancellations.forget(id);
            }
        }
    }

    fn on_store_unavailable(&mut self) {
        let now = self.context.now.steady;
        self.job_view.next_request = now + RETRY_AFTER_REFUSAL_US;
        self.job_view.refresh_at = now + REFRESH_RETRY_INTERVAL_US;
        for request in std::mem::take(&mut self.job_view.awaiting_reply) {
            self.context
                .refuse(request.request, 503, "the state service is out of reach");
        }
    }

    /// Puts the users' requests back to wait for the next reply, until they are overdue.
    fn on_job_changes_failed(&mut self, status: u16) {
        debug!(status = status; "cannot read the changes of the live jobs; trying again");
        let now = self.context.now.steady;
        let view = &mut self.job_view;
        let mut waiting = std::mem::take(&mut view.awaiting_reply);
        waiting.append(&mut view.waiting);
        view.waiting = waiting;
        view.next_request = now + RETRY_AFTER_FAILURE_US;
        view.refresh_at = now + REFRESH_RETRY_INTERVAL_US;
        if status != 0 && status != 429 {
            // The store no longer has the changes, or they cannot be decoded: the view is listed again.
            view.reset();
        }
    }

    /// Records the cancellation if the key is that of one, and applies it to the schedulers of this controller,
    /// whose own watch may be slower.
    fn record_cancellation(&mut self, key: &str, value: &Value) {
        let Some(JobKey::Cancelled(id)) = JobKey::parse(key) else {
            return;
        };
        let record = wire::http::from_value::<CancelRecord>(value);
        let cancelled_us = record.map_or(self.context.now.wall, |record| record.cancelled_us);
        self.context.cancellations.learn(id, cancelled_us);
        self.apply_cancellation(id);
    }

    /// Continues a request after an update of the view that was requested after the request arrived.
    fn continue_with_fresh_view(&mut self, mut request: UserRequest) {
        // A cancellation without a job record, which an earlier version may have left behind, is no live job. A
        // job whose record cannot be decoded (0 tasks in the view) cannot run, but counts as live: otherwise
        // requests about it would never be answered.
        let live = self.job_view.get(&request.job);
        let Some(live) = live.filter(|job| job.mod_revision > 0) else {
            // If the job has no final record now either, it was never accepted.
            return self.send_user_request(request.at_stage(UserRequestStage::ReadFinished));
        };
        request.live = Some(FoundJob {
            tasks: live.tasks,
            mod_revision: live.mod_revision,
        });
        if live.cancelled {
            self.confirm_cancellation(&request);
        } else {
            self.on_live_job_found(request);
        }
    }
}
