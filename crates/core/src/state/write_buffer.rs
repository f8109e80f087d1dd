//! Write buffer: tracks which records still have to be written to the key-value store and which are durable.
//!
//! Each change of a record gets the next number of a sequence as its version. A flush writes the current content of
//! several records in one transaction, on the conditions that the fenced lease (of the leader or of the partition
//! holder) is still held and that each key still has its known mod_revision. The second condition guards against a
//! transaction whose outcome was unknown and which the store applies late. Either the late transaction is applied
//! before the next write of the same key, which then fails and is repeated, or the late transaction itself fails.
//!
//! Content that moves from one record to another is written to the new record first. The old record waits until that
//! write is durable ([`WriteBuffer::wait_for`]), so that the content is in the store at every moment. If the store
//! refuses a transaction as invalid, each of its records is written alone from then on ([`WriteBuffer::isolate`]),
//! so that a single bad record cannot prevent the writes of others.

use crate::state::jobs::JobIndex;
use crate::{Micros, MILLI};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{Condition, Operation, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// A record that the write buffer writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordId {
    /// Page of completed tasks with this number.
    CompletedTasksPage(u64),
    /// Page of assignments with this number.
    AssignmentPage(u64),
    /// Provisioning request with this name.
    PendingProvision(String),
    /// End of a job: writes its final status and deletes its live records.
    JobEnd(JobIndex),
    /// Averages of run times and boot times.
    Stats,
    /// Machine types that the cloud offers.
    Catalogue,
    /// Partition with this number.
    Partition(PartitionId),
    /// Quota grant to the holder of this partition.
    QuotaGrant(PartitionId),
    /// The teams' limits in force.
    Limits,
    /// Key that is to be deleted.
    Deleted(String),
}

/// A record with the version of its content that a transaction writes or that another record waits for.
pub type RecordVersion = (RecordId, u64);

/// One record's part in a transaction.
#[derive(Clone, Debug, Default)]
pub struct RecordWrite {
    /// Conditions under which the write succeeds.
    pub conditions: Vec<Condition>,
    /// Puts and deletes that write the record's current content.
    pub operations: Vec<Operation>,
}

/// Urgency of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Urgency {
    /// The change is written in the order in which changes are due.
    #[default]
    Normal,
    /// The change is only a cleanup. While the write rate is limited, all other changes are written first.
    Lazy,
}

/// Write state of a record.
#[derive(Clone, Debug, Default)]
struct RecordState {
    /// Version of the latest change.
    version: u64,
    /// Latest version that is durable.
    durable: u64,
    /// Time at which the record is due while it is dirty, in microseconds of the steady clock.
    due: Micros,
    urgency: Urgency,
}

impl RecordState {
    fn is_dirty(&self) -> bool {
        self.version > self.durable
    }
}

/// Records that are written in one transaction.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Records, each with the version that the transaction writes.
    pub records: Vec<RecordVersion>,
    /// Transaction as it was sent.
    pub transaction: Transaction,
    /// Number of operations, from the first on, that were read back and found applied after a flush without an
    /// response.
    pub confirmed_operations: usize,
    /// The mod_revision that these operations were found to have; 0 if it is not known yet.
    pub confirmed_revision: u64,
}

impl Batch {
    /// Returns the keys of the operations in order.
    pub fn keys(&self) -> impl Iterator<Item = String> + '_ {
        let operations = self.transaction.apply.iter();
        operations.map(|operation| operation.key().to_string())
    }

    /// Returns the next operation that is to be read back.
    pub fn next_unconfirmed(&self) -> Option<&Operation> {
        self.transaction.apply.get(self.confirmed_operations)
    }

    /// Returns the keys that the batch puts.
    pub fn puts(&self) -> impl Iterator<Item = &str> {
        self.transaction
            .apply
            .iter()
            .filter_map(|operation| match operation {
                Operation::Put { put, .. } => Some(put.as_str()),
                Operation::Delete { .. } => None,
            })
    }

    /// Returns the keys that the batch deletes.
    pub fn deletes(&self) -> impl Iterator<Item = &str> {
        self.transaction
            .apply
            .iter()
            .filter_map(|operation| match operation {
                Operation::Delete { delete } => Some(delete.as_str()),
                Operation::Put { .. } => None,
            })
    }
}

/// Records that are to be written to the key-value store, and the versions that are durable there.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    records: BTreeMap<RecordId, RecordState>,
    /// Dirty records, ordered by the time at which they are due.
    queue: BTreeSet<(Micros, RecordId)>,
    /// Known mod_revisions of the keys in the store. A key that is missing here is assumed to be absent from the
    /// store.
    pub mod_revisions: BTreeMap<String, u64>,
    last_version: u64,
    /// Transaction whose outcome is awaited.
    pub in_flight: Option<Batch>,
    /// Earliest time of the next flush, in microseconds of the steady clock.
    pub no_flush_before: Micros,
    /// Keys whose mod_revisions must be read again before the next flush.
    pub stale_keys: Vec<String>,
    /// Record versions that must be durable before a record may be written, by that record.
    prerequisites: BTreeMap<RecordId, Vec<RecordVersion>>,
    /// Records of transactions that the store refused as invalid. Each of them is written alone.
    isolated: BTreeSet<RecordId>,
}

impl WriteBuffer {
    /// Records a change that is to be written at once. Returns the version of the record with which the change
    /// becomes durable, like the other `mark_dirty` methods.
    pub fn mark_dirty(&mut self, record: RecordId, now: Micros) -> u64 {
        self.mark_dirty_by(record, now)
    }

    /// Records a change that may wait until `due`, so that other changes can share its write.
    pub fn mark_dirty_by(&mut self, record: RecordId, due: Micros) -> u64 {
        self.add_change(record, due, Urgency::Normal)
    }

    /// Records a change that is only a cleanup. It may wait until `due`, and longer while the write rate is limited.
    pub fn mark_dirty_lazily(&mut self, record: RecordId, due: Micros) -> u64 {
        self.add_change(record, due, Urgency::Lazy)
    }

    fn add_change(&mut self, record: RecordId, due: Micros, urgency: Urgency) -> u64 {
        self.last_version += 1;
        let state = self.records.entry(record.clone()).or_default();
        let clean = !state.is_dirty();
        // A record is lazy only as long as all of its changes are.
        if clean || urgency == Urgency::Normal {
            state.urgency = urgency;
        }
        if !clean && state.due > due {
            self.queue.remove(&(state.due, record.clone()));
        }
        if clean || state.due > due {
            state.due = due;
            self.queue.insert((due, record));
        }
        state.version = self.last_version;
        self.last_version
    }

    /// Returns whether this version of the record is durable. Version 0 stands for no change and is always durable.
    pub fn is_durable(&self, record: &RecordId, version: u64) -> bool {
        let state = self.records.get(record);
        version == 0 || state.is_some_and(|state| state.durable >= version)
    }

    /// Returns whether any of these pages of assignments has changes that are not durable.
    pub fn is_any_page_dirty(&self, pages: std::ops::Range<u64>) -> bool {
        let pages = RecordId::AssignmentPage(pages.start)..RecordId::AssignmentPage(pages.end);
        let mut states = self.records.range(pages).map(|(_, state)| state);
        states.any(RecordState::is_dirty)
    }

    /// Returns whether the record has changes that are not durable.
    pub fn is_dirty(&self, record: &RecordId) -> bool {
        self.records.get(record).is_some_and(RecordState::is_dirty)
    }

    /// Makes `record` wait: it is not written before this version of `first`, but may be written in the same
    /// transaction.
    pub fn wait_for(&mut self, record: RecordId, first: RecordId, version: u64) {
        let prerequisites = self.prerequisites.entry(record).or_default();
        prerequisites.push((first, version));
    }

    /// Returns whether the record has to wait for another one that is neither durable nor among the records `with`
    /// which it is to be written.
    pub fn must_wait(&mut self, record: &RecordId, with: &[RecordVersion]) -> bool {
        let Some(mut prerequisites) = self.prerequisites.remove(record) else {
            return false;
        };
        prerequisites.retain(|(first, version)| !self.is_durable(first, *version));
        let is_written_with_it = |(first, version): &RecordVersion| {
            let mut with = with.iter();
            with.any(|(other, written)| other == first && written >= version)
        };
        let waits = !prerequisites.iter().all(is_written_with_it);
        if !prerequisites.is_empty() {
            self.prerequisites.insert(record.clone(), prerequisites);
        }
        waits
    }

    /// Makes each of these records be written alone from now on, because the store refused their transaction as
    /// invalid.
    pub fn isolate(&mut self, records: &[RecordVersion]) {
        let records = records.iter().map(|(record, _)| record.clone());
        self.isolated.extend(records);
    }

    /// Returns whether the record is written alone.
    pub fn is_isolated(&self, record: &RecordId) -> bool {
        self.isolated.contains(record)
    }

    /// Delays the next write of a dirty record to `until` at the earliest.
    pub fn postpone(&mut self, record: &RecordId, until: Micros) {
        let Some(state) = self.records.get_mut(record) else {
            return;
        };
        if state.is_dirty() {
            self.queue.remove(&(state.due, record.clone()));
            state.due = state.due.max(until);
            self.queue.insert((state.due, record.clone()));
        }
    }

    /// Removes a record that need not be written any more.
    pub fn forget(&mut self, record: &RecordId) {
        self.isolated.remove(record);
        self.prerequisites.remove(record);
        if let Some(state) = self.records.remove(record) {
            self.queue.remove(&(state.due, record.clone()));
        }
    }

    /// Returns the dirty records that are due, in the order of their due times. Records with only cleanup changes
    /// come after all others.
    pub fn due_records(&self, now: Micros) -> Vec<RecordId> {
        let due = self.queue.iter().take_while(|(due, _)| *due <= now);
        let is_lazy = |record: &RecordId| {
            let state = self.records.get(record);
            state.is_some_and(|state| state.urgency == Urgency::Lazy)
        };
        let (lazy, mut records): (Vec<RecordId>, Vec<RecordId>) =
            due.map(|(_, record)| record.clone()).partition(is_lazy);
        records.extend(lazy);
        records
    }

    /// Returns the time at which the first dirty record is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.first().map(|(due, _)| *due)
    }

    /// Returns the version of the record's latest change; 0 if the buffer knows no change of the record.
    pub fn version(&self, record: &RecordId) -> u64 {
        self.records.get(record).map_or(0, |state| state.version)
    }

    /// Records the mod_revision that a key was found to have.
    pub fn record_revision(&mut self, key: &str, mod_revision: u64) {
        self.mod_revisions.insert(key.to_string(), mod_revision);
    }

    /// Returns the known mod_revision of a key; 0 if the key is assumed to be absent from the store.
    pub fn known_revision(&self, key: &str) -> u64 {
        self.mod_revisions.get(key).copied().unwrap_or(0)
    }

    /// Returns whether the key is known to be in the store.
    pub fn is_in_store(&self, key: &str) -> bool {
        self.mod_revisions.contains_key(key)
    }

    /// Returns the condition that the key still has its known mod_revision.
    pub fn unchanged_condition(&self, key: &str) -> Condition {
        Condition {
            key: key.to_string(),
            mod_revision: self.known_revision(key),
        }
    }

    /// Handles a batch that the store applied at this revision: its record versions are durable now.
    pub fn on_batch_applied(&mut self, batch: &Batch, revision: u64) {
        for key in batch.puts() {
            self.mod_revisions.insert(key.to_string(), revision);
        }
        for key in batch.deletes() {
            self.mod_revisions.remove(key);
        }
        for (record, version) in &batch.records {
            self.isolated.remove(record);
            if let Some(state) = self.records.get_mut(record) {
                state.durable = state.durable.max(*version);
                if !state.is_dirty() {
                    self.queue.remove(&(state.due, record.clone()));
                }
            }
        }
    }

    /// Delays the next flush by at least `pause` microseconds, and by at least one millisecond.
    pub fn back_off(&mut self, now: Micros, pause: Micros) {
        self.no_flush_before = self.no_flush_before.max(now + pause.max(MILLI));
    }
}
