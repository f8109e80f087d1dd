//! Watches the key-value store for changes of jobs and cancellations.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, STORE_CALL_TIMEOUT_US};
use crate::scheduler::store_reads::WatchRequest;
use crate::scheduler::Scheduler;
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{from_value, KeyValueList, WatchEvent, WatchResponse};
use grebewood_wire::records::JobKey;
use grebewood_wire::Value;
use log::warn;

/// Number of keys in a page of a list that is read again.
const RELIST_PAGE_KEYS: usize = 1_000;

/// Time in milliseconds after which the store answers a watch request even if nothing has changed.
const BLOCK_MS: u64 = 10_000;

/// Timeout of a watch request: the blocking time and a margin for the response.
const WATCH_TIMEOUT_US: Micros = 13 * SECOND;

/// Pause after a response, so that the next one reports several changes at once.
const BATCHING_PAUSE_US: Micros = 20 * MILLI;

/// Pause after a failed request.
const RETRY_PAUSE_US: Micros = 300 * MILLI;

/// Pause after a response that cannot be decoded.
const UNREADABLE_PAUSE_US: Micros = SECOND;

const HTTP_GONE: u16 = 410;

impl Scheduler {
    /// Sends the watch requests that are due.
    pub(crate) fn run_watches(&mut self, context: &mut Context) {
        let token = self.token;
        for (prefix, watch) in &mut self.watches {
            let Some(request) = watch.start_request(context.now.steady) else {
                continue;
            };
            let (call, path, timeout) = match request {
                WatchRequest::List { after } => {
                    let after = after.map_or(String::new(), |key| format!("&since={key}"));
                    let prefix = prefix.to_string();
                    let path = format!("/kv?prefix={prefix}{after}&page={RELIST_PAGE_KEYS}");
                    (SchedulerCall::List { prefix }, path, STORE_CALL_TIMEOUT_US)
                }
                WatchRequest::Changes { since } => {
                    let path =
                        format!("/changes?prefix={prefix}&since={since}&block_ms={BLOCK_MS}");
                    (SchedulerCall::Watch { prefix }, path, WATCH_TIMEOUT_US)
                }
            };
            let purpose = CallPurpose::Scheduler { token, call };
            context.call(Target::Store, "GET", path, Vec::new(), timeout, purpose);
        }
    }

    /// Handles the response to a watch request.
    pub(crate) fn on_watch(
        &mut self,
        context: &mut Context,
        prefix: &'static str,
        outcome: Outcome,
    ) {
        let now = context.now.steady;
        let Some(watch) = self.watches.get_mut(prefix) else {
            return;
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<WatchResponse>(&body) {
                    Ok(changes) => {
                        watch.advance(&changes);
                        watch.end_request(now + BATCHING_PAUSE_US);
                        for event in changes.events {
                            self.on_watch_event(context, event);
                        }
                    }
                    Err(error) => {
                        warn!(key = prefix, error:% = error; "cannot decode the response to a watch");
                        watch.end_request(now + UNREADABLE_PAUSE_US);
                    }
                }
            }
            // The requested revision is too old, or the response is too large, which would be the same for the next
            // request.
            Outcome::Answer {
                status: HTTP_GONE, ..
            }
            | Outcome::TooLarge => {
                watch.start_relist();
                watch.end_request(now);
            }
            _ => watch.end_request(now + RETRY_PAUSE_US),
        }
    }

    fn on_watch_event(&mut self, context: &mut Context, event: WatchEvent) {
        if let (Some(key), true) = (&event.delete, self.is_holder()) {
            // The leader has ended the job. Its remaining tasks on machines belong to no job now.
            if let Some(JobKey::Live(job)) = JobKey::parse(key) {
                let index = self.jobs.find(job);
                index.and_then(|index| self.jobs.remove(index));
            }
        }
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.on_key_put(context, key, value, event.mod_revision);
        }
    }

    fn on_key_put(&mut self, context: &mut Context, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(job)) => {
                self.add_job(context, key, value, mod_revision);
                self.apply_cancellation(context, job);
            }
            Some(JobKey::Cancelled(job)) if self.jobs.find(job).is_some() => {
                self.write_buffer.record_revision(key, mod_revision);
                let record = from_value(value).ok();
                self.on_cancelled(context, job, record.as_ref());
            }
            _ => {}
        }
    }

    /// Handles a page of the keys of a watch, which are listed again because the changes were too old or too many.
    /// If only one page were read, a leader with more than a thousand live jobs would never learn of the rest.
    pub(crate) fn on_relist(
        &mut self,
        context: &mut Context,
        prefix: &str,
        page: Option<KeyValueList>,
    ) {
        let now = context.now.steady;
        let Some(watch) = self.watches.get_mut(prefix) else {
            return;
        };
        let Some(page) = page else {
            return watch.end_request(now + RETRY_PAUSE_US);
        };
        watch.end_request(now);
        watch.add_page(&page);
        for entry in page.entries {
            self.on_key_put(context, &entry.key, &entry.value, entry.mod_revision);
        }
    }
}

#[cfg(test)]
mod tests;
