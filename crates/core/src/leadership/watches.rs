//! Watches of the state service.

use super::*;

impl Lead {
    pub(super) fn run_watches(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let token = self.token;
        for (prefix, w) in &mut self.watches {
            if w.open || now < w.retry_at {
                continue;
            }
            w.open = true;
            let (what, path, timeout) = if w.relist {
                (
                    LeadCall::List { prefix },
                    format!("/kv?prefix={prefix}&page=1000"),
                    STATE_TIMEOUT,
                )
            } else {
                (
                    LeadCall::Watch { prefix },
                    format!("/changes?prefix={prefix}&since={}&block_ms=10000", w.since),
                    13 * SECOND,
                )
            };
            let pending = Pending::Lead { token, what };
            context.call(Target::State, "GET", path, Vec::new(), timeout, pending);
        }
    }

    pub(super) fn on_watch(
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
                Outcome::Answer { status: 200, body } => match wire::from_cbor::<Changes>(&body) {
                    Ok(changes) => {
                        w.since = w.since.max(changes.revision);
                        w.retry_at = now + 20 * MILLI;
                        events = changes.events;
                    }
                    Err(e) => {
                        warn!("watch {prefix}: {e}");
                        w.retry_at = now + SECOND;
                    }
                },
                Outcome::Answer { status: 410, .. } => {
                    w.relist = true;
                    w.retry_at = now;
                }
                _ => w.retry_at = now + 300 * MILLI,
            }
        }
        for event in events {
            self.on_event(context, event);
        }
    }

    pub(super) fn on_event(&mut self, context: &mut Context, event: Event) {
        if let (Some(key), Some(value)) = (&event.put, &event.value) {
            match JobKey::parse(key) {
                Some(JobKey::Live(id)) => {
                    self.add_job(context, key, value, event.stamp);
                    self.apply_cancellation(context, id);
                }
                Some(JobKey::Cancelled(id)) if self.jobs.find(id).is_some() => {
                    self.ledger.stamps.insert(key.clone(), event.stamp);
                    let record = from_value(value).ok();
                    self.on_cancelled(context, id, record.as_ref());
                }
                _ => {}
            }
        }
    }

    /// A watch was too old and its keys were listed again.
    pub(super) fn on_relist(
        &mut self,
        context: &mut Context,
        prefix: &'static str,
        list: Option<EntryList>,
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
        w.relist = false;
        w.since = list.revision;
        w.retry_at = now;
        for e in list.entries {
            let event = Event {
                put: Some(e.key),
                delete: None,
                value: Some(e.value),
                stamp: e.stamp,
            };
            self.on_event(context, event);
        }
    }
}
