//! The write buffer: which records still have to be written to the key-value store, and which are durable.
//!
//! Each record that changes gets the next number of a sequence, its version. A flush writes the current content of
//! several records in one transaction, on the condition that the lease is still held and that each key still has its
//! known mod_revision. The second condition guards against a transaction whose outcome was unknown and which the store
//! applies late: either it is applied before the next write of the same key, which then fails and is repeated, or it
//! fails itself.
//!
//! Content that moves from one record to another is written to the new record first: the old one waits until that
//! write is durable ([`WriteBuffer::wait_for`]), so that the content is on record at every moment. If the store calls a
//! transaction invalid, each of its records is written alone from then on ([`WriteBuffer::isolate`]), so that a single
//! bad record cannot keep others from being written.

use crate::state::jobs::JobIndex;
use crate::{Micros, MILLI};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{Condition, Operation, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// A record that the write buffer writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordId {
    /// The page of completed tasks with this number.
    CompletedTasksPage(u64),
    /// The page of assignments with this number.
    AssignmentPage(u64),
    /// The request to provision the machine with this name.
    PendingProvision(String),
    /// The end of a job: writes its final status and deletes its live records.
    JobEnd(JobIndex),
    /// Statistics of run times, startup times and the like.
    Stats,
    /// The machine types that the cloud offers.
    Catalogue,
    /// The partition with this number.
    Partition(PartitionId),
    /// The quota grant to the holder of this partition.
    QuotaGrant(PartitionId),
    /// The teams' limits in force.
    Limits,
    /// A key that is to be deleted.
    Deleted(String),
}

/// A record with the version of its content that a transaction writes or that another record waits for.
pub type RecordVersion = (RecordId, u64);

/// One record's part in a transaction.
#[derive(Clone, Debug, Default)]
pub struct RecordWrite {
    /// What must hold for the write to succeed.
    pub conditions: Vec<Condition>,
    /// The puts and deletes that write the record's current content.
    pub operations: Vec<Operation>,
}

/// Whether a change has to be written in its turn, or only tidies up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Urgency {
    /// It is written in the order in which changes are due.
    #[default]
    Normal,
    /// It only tidies up: all others are written first while the write rate is short.
    Lazy,
}

/// How far a record's changes have been written.
#[derive(Clone, Debug, Default)]
struct RecordState {
    /// Version of the latest change.
    version: u64,
    /// The latest version that is durable.
    durable: u64,
    /// When the record is due, while it is dirty, in microseconds of the steady clock.
    due: Micros,
    urgency: Urgency,
}

impl RecordState {
    fn is_dirty(&self) -> bool {
        self.version > self.durable
    }
}

/// The records of one transaction.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The records, each with the version that the transaction writes.
    pub records: Vec<RecordVersion>,
    /// The transaction as it was sent.
    pub transaction: Transaction,
    /// After a flush without an answer: how many of the operations, from the first on, were read back and found
    /// applied.
    pub confirmed_operations: usize,
    /// The mod_revision that these operations were found to have; 0: not known yet.
    pub confirmed_revision: u64,
}

impl Batch {
    /// The keys of its operations, in order.
    pub fn keys(&self) -> impl Iterator<Item = String> + '_ {
        let operations = self.transaction.apply.iter();
        operations.map(|operation| operation.key().to_string())
    }

    /// The next operation that is to be read back.
    pub fn next_unconfirmed(&self) -> Option<&Operation> {
        self.transaction.apply.get(self.confirmed_operations)
    }

    /// The keys that the batch puts.
    pub fn puts(&self) -> impl Iterator<Item = &str> {
        self.transaction
            .apply
            .iter()
            .filter_map(|operation| match operation {
                Operation::Put { put, .. } => Some(put.as_str()),
                Operation::Delete { .. } => None,
            })
    }

    /// The keys that the batch deletes.
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

/// What is to be written to the key-value store, and what is durable there.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    records: BTreeMap<RecordId, RecordState>,
    /// Dirty records by the time at which they are due.
    queue: BTreeSet<(Micros, RecordId)>,
    /// mod_revisions of the keys in the store, as far as known; a key that is absent here is taken to be absent there.
    pub mod_revisions: BTreeMap<String, u64>,
    last_version: u64,
    /// The transaction whose outcome is awaited.
    pub in_flight: Option<Batch>,
    /// No flush before this time, in microseconds of the steady clock.
    pub no_flush_before: Micros,
    /// Keys whose mod_revisions must be read again before the next flush.
    pub stale_keys: Vec<String>,
    /// What must be durable before a record may be written.
    prerequisites: BTreeMap<RecordId, Vec<RecordVersion>>,
    /// Records of a transaction that was called invalid: each is written alone.
    isolated: BTreeSet<RecordId>,
}

impl WriteBuffer {
    /// Notes a change of the record that is to be written at once. The result is the version with which the change
    /// becomes durable.
    pub fn mark_dirty(&mut self, record: RecordId, now: Micros) -> u64 {
        self.mark_dirty_by(record, now)
    }

    /// Notes a change that may wait until `due`, so that others can share its write.
    pub fn mark_dirty_by(&mut self, record: RecordId, due: Micros) -> u64 {
        self.add_change(record, due, Urgency::Normal)
    }

    /// Notes a change that only tidies up: it may wait until `due`, and longer while the write rate is short.
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

    /// Whether this version of the record is durable; version 0 stands for no change at all.
    pub fn is_durable(&self, record: &RecordId, version: u64) -> bool {
        let state = self.records.get(record);
        version == 0 || state.is_some_and(|state| state.durable >= version)
    }

    /// Whether one of these pages of assignments has changes that are not durable.
    pub fn is_any_page_dirty(&self, pages: std::ops::Range<u64>) -> bool {
        let pages = RecordId::AssignmentPage(pages.start)..RecordId::AssignmentPage(pages.end);
        let mut states = self.records.range(pages).map(|(_, state)| state);
        states.any(RecordState::is_dirty)
    }

    /// Whether the record has changes that are not durable.
    pub fn is_dirty(&self, record: &RecordId) -> bool {
        self.records.get(record).is_some_and(RecordState::is_dirty)
    }

    /// From now on `record` is written only once this version of `first` is durable, or together with it.
    pub fn wait_for(&mut self, record: RecordId, first: RecordId, version: u64) {
        let prerequisites = self.prerequisites.entry(record).or_default();
        prerequisites.push((first, version));
    }

    /// Whether the record has to wait for another one that is not among those written together `with` it.
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

    /// The transaction of these records was called invalid: from now on each of them is written alone.
    pub fn isolate(&mut self, records: &[RecordVersion]) {
        let records = records.iter().map(|(record, _)| record.clone());
        self.isolated.extend(records);
    }

    /// Whether the record is written alone.
    pub fn is_isolated(&self, record: &RecordId) -> bool {
        self.isolated.contains(record)
    }

    /// Keeps a dirty record from being written again before `until`.
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

    /// Forgets a record that need not be written any more.
    pub fn forget(&mut self, record: &RecordId) {
        self.isolated.remove(record);
        self.prerequisites.remove(record);
        if let Some(state) = self.records.remove(record) {
            self.queue.remove(&(state.due, record.clone()));
        }
    }

    /// Dirty records that are due, in the order of their due times; after them those that only tidy up.
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

    /// When the first dirty record is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.first().map(|(due, _)| *due)
    }

    /// The version of the record's latest change; 0 if it is not known.
    pub fn version(&self, record: &RecordId) -> u64 {
        self.records.get(record).map_or(0, |state| state.version)
    }

    /// Notes the mod_revision that a key was found to have.
    pub fn note_revision(&mut self, key: &str, mod_revision: u64) {
        self.mod_revisions.insert(key.to_string(), mod_revision);
    }

    /// The known mod_revision of a key; 0 if there is no such key in the store, as far as known.
    pub fn known_revision(&self, key: &str) -> u64 {
        self.mod_revisions.get(key).copied().unwrap_or(0)
    }

    /// Whether the key is in the store, as far as known.
    pub fn is_on_record(&self, key: &str) -> bool {
        self.mod_revisions.contains_key(key)
    }

    /// The condition that the key still has its known mod_revision.
    pub fn unchanged_condition(&self, key: &str) -> Condition {
        Condition {
            key: key.to_string(),
            mod_revision: self.known_revision(key),
        }
    }

    /// The store applied the batch at this revision.
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

    /// Delays the next flush by at least `pause` microseconds, and by no less than a millisecond.
    pub fn back_off(&mut self, now: Micros, pause: Micros) {
        self.no_flush_before = self.no_flush_before.max(now + pause.max(MILLI));
    }
}
