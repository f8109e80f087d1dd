//! Watches of the key-value store: jobs, cancellations and claims as they change.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::{Context, STORE_TIMEOUT};
use crate::scheduler::Scheduler;
use crate::{Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{from_value, KeyValueList, WatchEvent, WatchResponse};
use grebewood_wire::records::JobKey;
use log::warn;

/// Keys in one page of a list that is read anew.
const RELIST_PAGE: usize = 1_000;

impl Scheduler {
    pub(crate) fn run_watches(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let token = self.token;
        for (prefix, w) in &mut self.watches {
            if w.open || now < w.retry_at {
                continue;
            }
            w.open = true;
            let (what, path, timeout) = if w.relist {
                let after = match &w.relisted_to {
                    Some(key) => format!("&since={key}"),
                    None => String::new(),
                };
                (
                    SchedulerCall::List {
                        prefix: prefix.to_string(),
                    },
                    format!("/kv?prefix={prefix}{after}&page={RELIST_PAGE}"),
                    STORE_TIMEOUT,
                )
            } else {
                (
                    SchedulerCall::Watch { prefix },
                    format!("/changes?prefix={prefix}&since={}&block_ms=10000", w.since),
                    13 * SECOND,
                )
            };
            let pending = CallPurpose::Scheduler { token, what };
            context.call(Target::Store, "GET", path, Vec::new(), timeout, pending);
        }
    }

    pub(crate) fn on_watch(
        &mut self,
        context: &mut Context,
        prefix: &'static str,
        outcome: Outcome,
    ) {
        let now = context.now.steady;
        let mut events = Vec::new();
        if let Some(w) = self.watches.get_mut(prefix) {
            w.open = false;
            match outcome {
                Outcome::Answer { status: 200, body } => {
                    match wire::from_cbor::<WatchResponse>(&body) {
                        Ok(changes) => {
                            w.since = w.since.max(changes.revision);
                            w.retry_at = now + 20 * MILLI;
                            events = changes.events;
                        }
                        Err(e) => {
                            warn!("watch {prefix}: {e}");
                            w.retry_at = now + SECOND;
                        }
                    }
                }
                // Too old, or more than can be taken at once, which would be the same the next time.
                Outcome::Answer { status: 410, .. } | Outcome::TooLarge => {
                    w.relist = true;
                    w.relisted_to = None;
                    w.relisted_as_of = None;
                    w.retry_at = now;
                }
                _ => w.retry_at = now + 300 * MILLI,
            }
        }
        for event in events {
            self.on_event(context, event);
        }
    }

    pub(crate) fn on_event(&mut self, context: &mut Context, event: WatchEvent) {
        if let (Some(key), true) = (&event.delete, self.is_holder()) {
            // The leader ended it: what is left of it on machines belongs to no job.
            if let Some(JobKey::Live(id)) = JobKey::parse(key) {
                self.jobs.find(id).and_then(|index| self.jobs.remove(index));
            }
        }
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            match JobKey::parse(key) {
                Some(JobKey::Live(id)) => {
                    self.add_job(context, key, value, event.mod_revision);
                    self.apply_cancellation(context, id);
                }
                Some(JobKey::Cancelled(id)) if self.jobs.find(id).is_some() => {
                    self.write_buffer
                        .mod_revisions
                        .insert(key.clone(), event.mod_revision);
                    let record = from_value(value).ok();
                    self.on_cancelled(context, id, record.as_ref());
                }
                _ => {}
            }
        }
    }

    /// A watch was too old and a page of its keys was listed again. The watch goes on from the
    /// revision of the first page: what changed while the others were read is told again. With one
    /// page for all, a leader of more than a thousand live jobs once never learned of the rest.
    pub(crate) fn on_relist(
        &mut self,
        context: &mut Context,
        prefix: &str,
        list: Option<KeyValueList>,
    ) {
        let now = context.now.steady;
        let Some(w) = self.watches.get_mut(prefix) else {
            return;
        };
        w.open = false;
        let Some(list) = list else {
            w.retry_at = now + 300 * MILLI;
            return;
        };
        let as_of = *w.relisted_as_of.get_or_insert(list.revision);
        w.relisted_to = match list.more {
            true => list.entries.last().map(|entry| entry.key.clone()),
            false => None,
        };
        w.retry_at = now;
        if w.relisted_to.is_none() {
            w.relist = false;
            w.relisted_as_of = None;
            w.since = as_of;
        }
        for e in list.entries {
            let event = WatchEvent {
                put: Some(e.key),
                delete: None,
                value: Some(e.value),
                mod_revision: e.mod_revision,
            };
            self.on_event(context, event);
        }
    }
}

#[cfg(test)]
mod tests;
