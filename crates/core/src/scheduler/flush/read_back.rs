//! Reads back the keys of a flush whose response was lost, to find out whether the store applied it.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::{Batch, RecordId};
use crate::Outcome;
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, Operation};
use grebewood_wire::Value;

impl Scheduler {
    /// Checks whether a flush with an unknown outcome was applied, one key at a time.
    pub(crate) fn read_back(&mut self, context: &mut Context, batch: Batch) {
        let Some(operation) = batch.next_unconfirmed() else {
            return self.on_flush_applied(context, &batch, batch.confirmed_revision);
        };
        let purpose = self.call_purpose(SchedulerCall::FlushReadBack);
        context.read_key(operation.key(), purpose);
        self.write_buffer.in_flight = Some(batch);
    }

    /// Handles the value of a key that was read back. A flush without a response was applied if each of its keys
    /// has the content that the flush was to write. A new mod_revision of one key is no proof: an earlier flush
    /// without a response may have been applied in the meantime, and then this one never will be. If that were
    /// taken as proof, a task that only the later flush lists would be launched without the next leader knowing of
    /// it.
    pub(crate) fn on_read_back(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), FencedLeaseLost> {
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

    /// Returns the mod_revision of the batch if the key that was read back has the content that the batch writes;
    /// `None` if it has not or if that is unknown. For a deletion, returns the mod_revision that is known so far.
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

    /// Schedules the records of a flush that was not applied, or for which that is unknown, to be written again.
    /// The mod_revisions of its keys are read first, since an earlier flush may have been applied in between.
    fn retry_flush(&mut self, context: &mut Context, batch: &Batch) {
        self.write_buffer.stale_keys.extend(batch.keys());
        self.on_flush_failed(context);
        let mut records = batch.records.iter();
        if records.any(|(record, _)| matches!(record, RecordId::PendingProvision(_))) {
            self.start_provision_sweep(context);
        }
    }
}
