//! Reads back what a flush was to write if the store's answer was lost, to see whether it was applied.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::{Batch, RecordId};
use crate::Outcome;
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, Operation};
use grebewood_wire::Value;

impl Scheduler {
    /// The outcome of a flush is unknown: looks whether it was applied, one key after the other.
    pub(crate) fn read_back(&mut self, context: &mut Context, batch: Batch) {
        let Some(operation) = batch.next_unconfirmed() else {
            return self.on_flush_applied(context, &batch, batch.confirmed_revision);
        };
        let purpose = self.call_purpose(SchedulerCall::FlushReadBack);
        context.read_key(operation.key(), purpose);
        self.write_buffer.in_flight = Some(batch);
    }

    /// A flush without an answer was applied if each of its keys is now as the flush would have it. That one of them
    /// has a new mod_revision is no proof: an earlier flush without an answer may have been applied meanwhile, and then
    /// this one never will be. When that was taken as a proof, a task that only the later flush listed was launched,
    /// unknown to the next leader.
    pub(crate) fn on_read_back(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), String> {
        let Some(mut batch) = self.write_buffer.in_flight.take() else {
            return Ok(());
        };
        match self.confirmed_revision(&batch, outcome) {
            Some(revision) => {
                batch.confirmed_revision = revision;
                batch.confirmed_operations += 1;
                self.read_back(context, batch);
            }
            None => self.retry_flush(context, &batch),
        }
        Ok(())
    }

    /// The mod_revision of the batch if the key that was read back is as the batch would have it. After a deletion it
    /// is that known so far.
    fn confirmed_revision(&self, batch: &Batch, outcome: Outcome) -> Option<u64> {
        match (batch.next_unconfirmed()?, outcome) {
            (Operation::Put { put, value, .. }, Outcome::Answer { status: 200, body }) => {
                let entry = wire::from_cbor::<KeyValue<Value>>(&body).ok()?;
                let is_as_written = entry.mod_revision > self.write_buffer.known_revision(put)
                    && wire::same_value(&entry.value, value);
                // All operations of a transaction get the same mod_revision.
                let is_of_batch =
                    batch.confirmed_revision == 0 || batch.confirmed_revision == entry.mod_revision;
                (is_as_written && is_of_batch).then_some(entry.mod_revision)
            }
            (Operation::Delete { .. }, Outcome::Answer { status: 404, .. }) => {
                Some(batch.confirmed_revision)
            }
            _ => None,
        }
    }

    /// The flush has not been applied so far, or that cannot be told: its records are written again. Before that the
    /// mod_revisions of its keys are read, since an earlier flush may have been applied in between.
    fn retry_flush(&mut self, context: &mut Context, batch: &Batch) {
        self.write_buffer.stale.extend(batch.keys());
        self.on_flush_failed(context);
        let mut records = batch.records.iter();
        if records.any(|(record, _)| matches!(record, RecordId::PendingProvision(_))) {
            self.start_provision_sweep(context);
        }
    }
}
