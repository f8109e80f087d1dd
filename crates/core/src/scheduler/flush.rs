//! Flushes the write buffer to the key-value store: selects the records of the next transaction, and decides when
//! it is sent.

use crate::calls::SchedulerCall;
use crate::context::{Context, STORE_CALL_TIMEOUT_US};
use crate::scheduler::Scheduler;
use crate::state::write_buffer::{Batch, RecordId, RecordVersion, RecordWrite};
use crate::{Micros, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{Condition, Transaction};
use log::warn;

pub(crate) mod outcome;
pub(crate) mod provision_sweep;
pub(crate) mod read_back;
pub(crate) mod refresh;
pub(crate) mod refused;
pub(crate) mod render;

/// Maximum size of the operations of a transaction in their CBOR form.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;

/// Pause of a record that does not fit a transaction, or that the store refused when it was written alone.
const REFUSED_PAUSE_US: Micros = 5 * SECOND;

/// Pause before the next flush if all due records wait for others.
const BLOCKED_PAUSE_US: Micros = 20 * MILLI;

/// Minimum pause before the next flush if the write rate limit permits no write.
const RATE_LIMITED_PAUSE_US: Micros = 5 * MILLI;

/// Number of operations that the write rate limit has to permit before a flush that it delayed is tried again.
const OPERATIONS_OF_NEXT_FLUSH: f64 = 4.0;

/// Number of consecutive failures after which the pause is not lengthened any more.
const MAX_COUNTED_FAILURES: u32 = 4;

/// Pause after a failed flush, without jitter; doubled for each further consecutive failure.
const FIRST_BACKOFF_US: Micros = 100 * MILLI;

/// The next transaction while it is being assembled.
struct TransactionDraft {
    transaction: Transaction,
    records: Vec<RecordVersion>,
    /// Maximum number of operations in the transaction.
    max_operations: usize,
    /// Size of the operations in their CBOR form.
    bytes: usize,
    /// Whether a due record did not fit.
    is_full: bool,
}

impl TransactionDraft {
    fn new(conditions: Vec<Condition>, max_operations: usize) -> Self {
        TransactionDraft {
            transaction: Transaction {
                when: conditions,
                apply: Vec::new(),
            },
            records: Vec::new(),
            max_operations,
            bytes: 0,
            is_full: false,
        }
    }

    /// Adds the write of a record if it fits. Returns whether it was added.
    fn try_add(&mut self, record: RecordVersion, write: RecordWrite) -> bool {
        let operations = self.transaction.apply.len() + write.operations.len();
        let bytes = self.bytes + wire::to_cbor(&write.operations).len();
        if operations > self.max_operations || bytes > MAX_TRANSACTION_BYTES {
            self.is_full = true;
            return false;
        }
        self.bytes = bytes;
        self.transaction.when.extend(write.conditions);
        self.transaction.apply.extend(write.operations);
        self.records.push(record);
        true
    }
}

impl Scheduler {
    /// Returns whether the last flush failed.
    pub(crate) fn store_is_slow(&self) -> bool {
        self.flush_failures > 0
    }

    /// Returns when the next flush is due.
    pub(crate) fn next_flush_at(&self) -> Micros {
        if self.write_buffer.in_flight.is_some() || self.write_conditions().is_none() {
            return Micros::MAX;
        }
        let due = self.write_buffer.next_due();
        due.map_or(Micros::MAX, |due| {
            due.max(self.write_buffer.no_flush_before)
        })
    }

    /// Writes as many due records as one transaction and the write rate limit permit.
    pub(crate) fn run_flush(&mut self, context: &mut Context) {
        if !self.is_flush_due(context.now.steady) {
            return;
        }
        let Some(conditions) = self.write_conditions() else {
            return;
        };
        if let Some(key) = self.write_buffer.stale_keys.first().cloned() {
            return self.refresh_revision(context, key);
        }
        let draft = self.draft_transaction(context, conditions);
        if draft.records.is_empty() {
            self.delay_flush(context, &draft)
        } else {
            self.send_flush(context, draft)
        }
    }

    fn is_flush_due(&self, now: Micros) -> bool {
        let due = self.write_buffer.next_due();
        self.write_buffer.in_flight.is_none()
            && now >= self.write_buffer.no_flush_before
            && due.is_some_and(|due| due <= now)
    }

    fn draft_transaction(
        &mut self,
        context: &mut Context,
        conditions: Vec<Condition>,
    ) -> TransactionDraft {
        let now = context.now.steady;
        let permitted_writes = context.write_limiter(self.role).available(now);
        let max_operations = self.max_transaction_operations.min(permitted_writes);
        let mut draft = TransactionDraft::new(conditions, max_operations);
        for record in self.write_buffer.due_records(now) {
            if !self.may_be_written_with(&record, &draft.records) {
                continue;
            }
            let Some(write) = self.render(context, &record) else {
                self.write_buffer.forget(&record);
                continue;
            };
            let version = self.write_buffer.version(&record);
            if !draft.try_add((record.clone(), version), write) {
                if draft.records.is_empty()
                    && max_operations >= Context::operations_to_write(&record)
                {
                    // The record exceeds the limits of a transaction by itself: other records must not wait behind
                    // it.
                    warn!(record:? = record; "record exceeds the limits of a transaction; postponing its write");
                    self.write_buffer.postpone(&record, now + REFUSED_PAUSE_US);
                    continue;
                }
                break;
            }
            if self.write_buffer.is_isolated(&record) {
                break;
            }
        }
        draft
    }

    /// Returns whether the record may be written in one transaction with `others`.
    fn may_be_written_with(&mut self, record: &RecordId, others: &[RecordVersion]) -> bool {
        // A record that may have made an earlier transaction invalid is written alone.
        if !others.is_empty() && self.write_buffer.is_isolated(record) {
            return false;
        }
        !self.write_buffer.must_wait(record, others)
    }

    /// Sets the time of the next attempt after no record could be written.
    fn delay_flush(&mut self, context: &mut Context, draft: &TransactionDraft) {
        let now = context.now.steady;
        self.write_buffer.no_flush_before = if draft.is_full {
            let writes = context.write_limiter(self.role);
            let ready = writes.ready_at(now, OPERATIONS_OF_NEXT_FLUSH);
            ready.max(now + RATE_LIMITED_PAUSE_US)
        } else {
            now + BLOCKED_PAUSE_US
        };
    }

    fn send_flush(&mut self, context: &mut Context, draft: TransactionDraft) {
        let now = context.now.steady;
        let TransactionDraft {
            transaction,
            records,
            ..
        } = draft;
        let operations = transaction.apply.len() as f64;
        context
            .write_limiter(self.role)
            .try_acquire(now, operations);
        let purpose = self.call_purpose(SchedulerCall::Flush);
        context.post_to_store("/txn", &transaction, purpose);
        self.write_buffer.no_flush_before = now + context.tuning.flush_interval_us;
        self.write_buffer.in_flight = Some(Batch {
            records,
            transaction,
            confirmed_operations: 0,
            confirmed_revision: 0,
        });
    }

    /// Reads the mod_revision of a key. Nothing is flushed before the reply or its timeout.
    fn refresh_revision(&mut self, context: &mut Context, key: String) {
        let now = context.now.steady;
        let purpose = self.call_purpose(SchedulerCall::Refresh { key: key.clone() });
        self.write_buffer.back_off(now, STORE_CALL_TIMEOUT_US);
        context.read_key(&key, purpose);
    }

    /// Handles a failed flush: delays the next one by an exponential backoff with jitter.
    fn on_flush_failed(&mut self, context: &mut Context) {
        self.flush_failures = (self.flush_failures + 1).min(MAX_COUNTED_FAILURES);
        let pause = FIRST_BACKOFF_US << (self.flush_failures - 1);
        let jitter = context.jitter(pause / 2);
        self.write_buffer
            .back_off(context.now.steady, pause + jitter);
    }
}
