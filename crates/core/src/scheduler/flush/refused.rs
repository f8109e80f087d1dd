//! Handles transactions that the store refuses as invalid: a value or the transaction is larger than the store
//! accepts now.

use crate::context::Context;
use crate::scheduler::flush::REFUSED_PAUSE_US;
use crate::scheduler::{max_page_bytes, Scheduler};
use crate::state::write_buffer::{Batch, RecordId};
use crate::{Micros, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::Operation;
use log::{error, warn};

/// Lower bound for the limit of operations in a transaction.
const MIN_TRANSACTION_OPERATIONS: usize = 3;

/// Lower bound for the limit of bytes in a value.
const MIN_VALUE_BYTES: usize = 700;

/// Delay of the writes that split a page which is too large, so that new content is written first.
const SPLIT_DELAY_US: Micros = 500 * MILLI;

impl Scheduler {
    /// Handles a refused transaction. The store would refuse the same transaction again, so each of its records is
    /// written alone next, and a record that is refused alone is made smaller.
    pub(crate) fn on_flush_refused(&mut self, context: &Context, batch: &Batch, response: &str) {
        let now = context.now.steady;
        self.write_buffer
            .back_off(now, context.tuning.flush_interval_us);
        match &batch.records[..] {
            [(record, _)] => self.on_record_refused(context, batch, record, response),
            records => {
                let count = records.len();
                warn!(records = count, error = response; "key-value store refused a transaction; writing its records one by one");
                self.write_buffer.isolate(records);
                let operations = batch.transaction.apply.len() / 2;
                self.max_transaction_operations = operations.max(MIN_TRANSACTION_OPERATIONS);
            }
        }
    }

    /// Handles a record whose transaction the store refused although it held no other record.
    fn on_record_refused(
        &mut self,
        context: &Context,
        batch: &Batch,
        record: &RecordId,
        response: &str,
    ) {
        let now = context.now.steady;
        let keys: Vec<&str> = batch.puts().chain(batch.deletes()).collect();
        error!(key = keys.join(", "), error = response; "key-value store refused a transaction with a single record");
        // If the transaction had no more than the minimum number of operations, their number is not what the store
        // refuses, so the configured limit of operations applies again.
        let operations = batch.transaction.apply.len();
        self.max_transaction_operations = if operations > MIN_TRANSACTION_OPERATIONS {
            MIN_TRANSACTION_OPERATIONS
        } else {
            context.settings.store.transaction_operations
        };
        match record {
            RecordId::AssignmentPage(_) | RecordId::CompletedTasksPage(_) | RecordId::Stats
                if has_large_value(batch) =>
            {
                self.max_value_bytes = (self.max_value_bytes / 2).max(MIN_VALUE_BYTES);
                self.split_pages(context);
                self.write_buffer.postpone(record, now + SECOND);
            }
            RecordId::Limits | RecordId::QuotaGrant(_) => {
                self.leader_quota.grant_write_refused = true;
                self.write_buffer.postpone(record, now + REFUSED_PAUSE_US);
            }
            _ => self.write_buffer.postpone(record, now + REFUSED_PAUSE_US),
        }
    }

    /// Moves content off pages that exceed the size of a value. The pages that receive the content are written
    /// first. Until the old pages are written, they stay as an earlier leader wrote them and list all of the
    /// content.
    pub(crate) fn split_pages(&mut self, context: &Context) {
        let due = context.now.steady + SPLIT_DELAY_US;
        let assignments = self.split_assignment_pages(due);
        let completed_tasks = self
            .completed_pages
            .split_oversized_pages(max_page_bytes(self.max_value_bytes), &mut self.jobs)
            .into_iter()
            .map(|(from, to)| {
                (
                    RecordId::CompletedTasksPage(from),
                    RecordId::CompletedTasksPage(to),
                )
            });
        let mut moves: Vec<(RecordId, RecordId)> = assignments;
        moves.extend(completed_tasks);
        moves.dedup();
        for (from, to) in moves {
            self.write_moved_content(from, to, due, due + SECOND);
        }
    }

    /// Schedules writes after content was moved: first the record that received the content, then the record that
    /// lost it.
    pub(crate) fn write_moved_content(
        &mut self,
        from: RecordId,
        to: RecordId,
        to_due: Micros,
        from_due: Micros,
    ) {
        let version = self.write_buffer.mark_dirty_lazily(to.clone(), to_due);
        self.write_buffer.wait_for(from.clone(), to, version);
        self.write_buffer.mark_dirty_lazily(from, from_due);
    }
}

/// Returns whether a value of the batch exceeds the smallest limit of a value.
fn has_large_value(batch: &Batch) -> bool {
    let mut operations = batch.transaction.apply.iter();
    operations.any(|operation| match operation {
        Operation::Put { value, .. } => wire::json_size(value) > MIN_VALUE_BYTES,
        Operation::Delete { .. } => false,
    })
}
