//! The write-behind buffer: which records still have to be written, and which are durable.
//!
//! Each record that changes gets the next number of a sequence; a flush writes the current content of several records in
//! one transaction, on the condition that the lease is still held and that each key still has the known revision. The
//! second condition guards against a transaction whose outcome was unknown and which is applied late: either it comes
//! before the next write of the same key, which then fails and is repeated, or it fails itself.
//!
//! What moves from one record to another is first written to the new one: the old one waits until that is durable
//! ([`WriteBuffer::wait_for`]), so that it is on record at every moment. Records whose transaction the store
//! called invalid go alone from then on ([`WriteBuffer::isolate`]), so that a single one cannot keep others from being
//! written.

use crate::state::jobs::JobIndex;
use crate::{Micros, MILLI};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{Condition, Operation, Transaction};
use std::collections::{BTreeMap, BTreeSet};

/// A record that the ledger writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordId {
    /// A page of completed tasks.
    Done(u64),
    /// A page of assignments.
    Page(u64),
    /// A rental request.
    PendingProvision(String),
    /// The end of a job: its terminal record, and the removal of its live ones.
    Over(JobIndex),
    /// Learnt averages.
    Stats,
    /// Machine types.
    Catalogue,
    /// A partition.
    Partition(PartitionId),
    /// What of the teams' limits the holder of a partition may use.
    Allotment(PartitionId),
    /// The teams' limits in force.
    Limits,
    /// A key that is to be deleted.
    Deleted(String),
}

/// One record's changes and conditions, as rendered for a transaction.
#[derive(Clone, Debug, Default)]
pub struct Rendered {
    pub when: Vec<Condition>,
    pub apply: Vec<Operation>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Number of the latest change.
    version: u64,
    /// Number of the latest change that is durable.
    durable: u64,
    /// When it is due, while it is dirty.
    due: Micros,
    /// Its changes only tidy up: all others go first when the rate is short.
    lazy: bool,
}

/// Records of one transaction.
#[derive(Clone, Debug)]
pub struct Batch {
    pub records: Vec<(RecordId, u64)>,
    pub transaction: Transaction,
    /// After a flush without an answer: how many of its changes were found carried out, and their
    /// stamp, once one of them is known to have it.
    pub proven: usize,
    pub mod_revision: u64,
}

impl Batch {
    /// Keys put by this batch.
    pub fn puts(&self) -> impl Iterator<Item = &str> {
        self.transaction.apply.iter().filter_map(|c| match c {
            Operation::Put { put, .. } => Some(put.as_str()),
            Operation::Delete { .. } => None,
        })
    }

    /// Keys deleted by this batch.
    pub fn deletes(&self) -> impl Iterator<Item = &str> {
        self.transaction.apply.iter().filter_map(|c| match c {
            Operation::Delete { delete } => Some(delete.as_str()),
            Operation::Put { .. } => None,
        })
    }
}

/// What is to be written, and what has been.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    slots: BTreeMap<RecordId, Slot>,
    /// Dirty records by the time at which they are due.
    queue: BTreeSet<(Micros, RecordId)>,
    /// Stamps of the keys in the state service, as far as known; absent: the key is absent.
    pub mod_revisions: BTreeMap<String, u64>,
    seq: u64,
    /// The transaction under way.
    pub in_flight: Option<Batch>,
    /// No flush before this time.
    pub not_before: Micros,
    /// Keys whose stamps must be read again before the next flush.
    pub stale: Vec<String>,
    /// What must be durable before a record may be written.
    waits: BTreeMap<RecordId, Vec<(RecordId, u64)>>,
    /// Records of a transaction that was called invalid: each goes alone.
    isolated: BTreeSet<RecordId>,
}

impl WriteBuffer {
    pub fn clear(&mut self) {
        *self = WriteBuffer {
            seq: self.seq,
            ..WriteBuffer::default()
        };
    }

    /// Notes a change of the record that is to be written at once; the result is the number
    /// under which it becomes durable.
    pub fn mark_dirty(&mut self, rec: RecordId, now: Micros) -> u64 {
        self.mark_dirty_by(rec, now)
    }

    /// Notes a change that may wait until `due`, for others to share its write.
    pub fn mark_dirty_by(&mut self, rec: RecordId, due: Micros) -> u64 {
        self.note(rec, due, false)
    }

    /// Notes a change that only tidies up: it may wait until `due`, and longer while the rate is
    /// short.
    pub fn mark_dirty_lazily(&mut self, rec: RecordId, due: Micros) -> u64 {
        self.note(rec, due, true)
    }

    fn note(&mut self, rec: RecordId, due: Micros, lazy: bool) -> u64 {
        self.seq += 1;
        let slot = self.slots.entry(rec.clone()).or_default();
        let clean = slot.version == slot.durable;
        slot.lazy = lazy && (clean || slot.lazy);
        if !clean && slot.due > due {
            self.queue.remove(&(slot.due, rec.clone()));
        }
        if clean || slot.due > due {
            slot.due = due;
            self.queue.insert((due, rec));
        }
        slot.version = self.seq;
        self.seq
    }

    /// Whether the change with this number is durable.
    pub fn is_durable(&self, rec: &RecordId, version: u64) -> bool {
        version == 0 || self.slots.get(rec).is_some_and(|s| s.durable >= version)
    }

    /// Whether one of these pages of assignments has changes that are not durable.
    pub fn is_any_page_dirty(&self, pages: std::ops::Range<u64>) -> bool {
        let slots = RecordId::Page(pages.start)..RecordId::Page(pages.end);
        let mut slots = self.slots.range(slots);
        slots.any(|(_, slot)| slot.version > slot.durable)
    }

    /// Whether the record has changes that are not durable.
    pub fn is_dirty(&self, rec: &RecordId) -> bool {
        self.slots.get(rec).is_some_and(|s| s.version > s.durable)
    }

    /// From now on `rec` is written only when the change of `first` with this number is durable,
    /// or together with it.
    pub fn wait_for(&mut self, rec: RecordId, first: RecordId, version: u64) {
        self.waits.entry(rec).or_default().push((first, version));
    }

    /// Whether the record has to wait for another that is not among those `with` it.
    pub fn must_wait(&mut self, rec: &RecordId, with: &[(RecordId, u64)]) -> bool {
        let Some(mut firsts) = self.waits.remove(rec) else {
            return false;
        };
        firsts.retain(|(first, version)| !self.is_durable(first, *version));
        let waits = firsts.iter().any(|(first, version)| {
            !with
                .iter()
                .any(|(rec, written)| rec == first && written >= version)
        });
        if !firsts.is_empty() {
            self.waits.insert(rec.clone(), firsts);
        }
        waits
    }

    /// The records' transaction was called invalid: from now on each of them goes alone.
    pub fn isolate(&mut self, records: &[(RecordId, u64)]) {
        self.isolated
            .extend(records.iter().map(|(rec, _)| rec.clone()));
    }

    pub fn is_isolated(&self, rec: &RecordId) -> bool {
        self.isolated.contains(rec)
    }

    /// The record is dirty, but is not tried again before `until`.
    pub fn postpone(&mut self, rec: &RecordId, until: Micros) {
        let Some(slot) = self.slots.get_mut(rec) else {
            return;
        };
        if slot.version > slot.durable {
            self.queue.remove(&(slot.due, rec.clone()));
            slot.due = slot.due.max(until);
            self.queue.insert((slot.due, rec.clone()));
        }
    }

    /// Forgets a record that needs no writing any more.
    pub fn forget(&mut self, rec: &RecordId) {
        self.isolated.remove(rec);
        self.waits.remove(rec);
        if let Some(slot) = self.slots.remove(rec) {
            self.queue.remove(&(slot.due, rec.clone()));
        }
    }

    /// Dirty records that are due, those of longest standing first; after them what only tidies up.
    pub fn due(&self, now: Micros) -> Vec<RecordId> {
        let due = self.queue.iter().take_while(|(due, _)| *due <= now);
        let is_lazy = |rec: &RecordId| self.slots.get(rec).is_some_and(|s| s.lazy);
        let (lazy, mut records): (Vec<RecordId>, Vec<RecordId>) =
            due.map(|(_, rec)| rec.clone()).partition(is_lazy);
        records.extend(lazy);
        records
    }

    /// When the first dirty record is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.first().map(|(due, _)| *due)
    }

    pub fn version(&self, rec: &RecordId) -> u64 {
        self.slots.get(rec).map_or(0, |s| s.version)
    }

    /// The condition that `key` still has the stamp we know.
    pub fn unchanged(&self, key: &str) -> Condition {
        Condition {
            key: key.to_string(),
            mod_revision: self.mod_revisions.get(key).copied().unwrap_or(0),
        }
    }

    /// The batch under way was applied at revision `revision`.
    pub fn applied(&mut self, batch: &Batch, revision: u64) {
        for key in batch.puts() {
            self.mod_revisions.insert(key.to_string(), revision);
        }
        for key in batch.deletes() {
            self.mod_revisions.remove(key);
        }
        for (rec, version) in &batch.records {
            self.isolated.remove(rec);
            if let Some(slot) = self.slots.get_mut(rec) {
                slot.durable = slot.durable.max(*version);
                if slot.durable >= slot.version {
                    self.queue.remove(&(slot.due, rec.clone()));
                }
            }
        }
    }

    /// Holds the next flush back after a failure.
    pub fn back_off(&mut self, now: Micros, pause: Micros) {
        self.not_before = self.not_before.max(now + pause.max(MILLI));
    }
}
