//! Watches of the key-value store: jobs and cancellations as they change.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, STORE_TIMEOUT};
use crate::scheduler::store_reads::WatchRequest;
use crate::scheduler::Scheduler;
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{from_value, KeyValueList, WatchEvent, WatchResponse};
use grebewood_wire::records::JobKey;
use grebewood_wire::Value;
use log::warn;

/// Keys in one page of a list that is read again.
const RELIST_PAGE: usize = 1_000;

/// Milliseconds after which the store answers a watch even if nothing has changed.
const BLOCK_MS: u64 = 10_000;

/// How long a watch may take, with the time until the store answers it at the latest.
const WATCH_TIMEOUT: Micros = 13 * SECOND;

/// Pause after an answer, for changes to gather.
const PAUSE: Micros = 20 * MILLI;

/// Pause after a request that failed.
const RETRY_PAUSE: Micros = 300 * MILLI;

/// Pause after an answer that cannot be read.
const UNREADABLE_PAUSE: Micros = SECOND;

const GONE: u16 = 410;

impl Scheduler {
    /// Sends the requests of watches that are due.
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
                    let path = format!("/kv?prefix={prefix}{after}&page={RELIST_PAGE}");
                    (SchedulerCall::List { prefix }, path, STORE_TIMEOUT)
                }
                WatchRequest::Changes { since } => {
                    let path =
                        format!("/changes?prefix={prefix}&since={since}&block_ms={BLOCK_MS}");
                    (SchedulerCall::Watch { prefix }, path, WATCH_TIMEOUT)
                }
            };
            let purpose = CallPurpose::Scheduler { token, call };
            context.call(Target::Store, "GET", path, Vec::new(), timeout, purpose);
        }
    }

    /// Takes the answer to a watch.
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
                        watch.end_request(now + PAUSE);
                        for event in changes.events {
                            self.on_event(context, event);
                        }
                    }
                    Err(error) => {
                        warn!(key = prefix, error:% = error; "answer to a watch cannot be read");
                        watch.end_request(now + UNREADABLE_PAUSE);
                    }
                }
            }
            // Too old, or more than can be taken at once, which would be the same the next time.
            Outcome::Answer { status: GONE, .. } | Outcome::TooLarge => {
                watch.start_relist();
                watch.end_request(now);
            }
            _ => watch.end_request(now + RETRY_PAUSE),
        }
    }

    fn on_event(&mut self, context: &mut Context, event: WatchEvent) {
        if let (Some(key), true) = (&event.delete, self.is_holder()) {
            // The leader ended the job: what is left of it on machines belongs to no job.
            if let Some(JobKey::Live(job)) = JobKey::parse(key) {
                let index = self.jobs.find(job);
                index.and_then(|index| self.jobs.remove(index));
            }
        }
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            self.on_put(context, key, value, event.mod_revision);
        }
    }

    fn on_put(&mut self, context: &mut Context, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(job)) => {
                self.add_job(context, key, value, mod_revision);
                self.apply_cancellation(context, job);
            }
            Some(JobKey::Cancelled(job)) if self.jobs.find(job).is_some() => {
                self.write_buffer.note_revision(key, mod_revision);
                let record = from_value(value).ok();
                self.on_cancelled(context, job, record.as_ref());
            }
            _ => {}
        }
    }

    /// Takes a page of a watch's keys, which are listed again since the changes were too old or too many. With a single
    /// page for all of them a leader of more than a thousand live jobs never learned of the rest.
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
            return watch.end_request(now + RETRY_PAUSE);
        };
        watch.end_request(now);
        watch.add_page(&page);
        for entry in page.entries {
            self.on_put(context, &entry.key, &entry.value, entry.mod_revision);
        }
    }
}

#[cfg(test)]
mod tests;
