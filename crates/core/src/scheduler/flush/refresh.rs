//! Reads the mod_revision of a key that differs from the known one, because the store applied an earlier
//! transaction of this controller after all, or because another member wrote the key.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::Outcome;
use grebewood_wire as wire;
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{FinishedJobRecord, JobKey, FINISHED_PREFIX};
use grebewood_wire::Value;

impl Scheduler {
    /// Handles the reply to the read of a key whose known mod_revision is stale.
    pub(crate) fn on_refresh(&mut self, context: &mut Context, key: &str, outcome: Outcome) {
        self.write_buffer.no_flush_before = context.now.steady;
        match outcome {
            Outcome::Answer { status: 200, body } => {
                let Ok(entry) = wire::from_cbor::<KeyValue<Value>>(&body) else {
                    return self.on_flush_failed(context);
                };
                self.on_key_present(key, &entry);
            }
            Outcome::Answer { status: 404, .. } => self.on_key_absent(context, key),
            _ => return self.on_flush_failed(context),
        }
        self.write_buffer.stale_keys.retain(|stale| stale != key);
    }

    fn on_key_present(&mut self, key: &str, entry: &KeyValue<Value>) {
        self.write_buffer.record_revision(key, entry.mod_revision);
        let Some(job) = key.strip_prefix(FINISHED_PREFIX) else {
            return;
        };
        // An earlier flush wrote the end of this job.
        let is_readable = from_value::<FinishedJobRecord>(&entry.value).is_ok();
        if let Some(index) = self.jobs.find(job).filter(|_| is_readable) {
            self.write_buffer.forget(&RecordId::JobEnd(index));
            self.forget_ended_job(index);
        }
    }

    fn on_key_absent(&mut self, context: &mut Context, key: &str) {
        self.write_buffer.mod_revisions.remove(key);
        if let Some(JobKey::Cancelled(job)) = JobKey::parse(key) {
            if self.is_marked_cancelled(job) {
                // The end of the job, which deletes its cancellation, may have been applied late. The next read
                // shows whether it was.
                self.unconfirmed_cancellations.insert(job.to_string());
                self.write_buffer
                    .stale_keys
                    .push(format!("{FINISHED_PREFIX}{job}"));
            }
        } else if let Some(job) = key.strip_prefix(FINISHED_PREFIX) {
            if self.unconfirmed_cancellations.remove(job) && self.is_marked_cancelled(job) {
                self.retract_cancellation(context, job);
            }
        }
    }

    fn is_marked_cancelled(&self, job: &str) -> bool {
        let job = self.jobs.find(job).and_then(|index| self.jobs.get(index));
        job.is_some_and(|job| job.cancelled_at.is_some())
    }
}
