//! Tracks how far a scheduler has read its records from the key-value store, and the state of its watches.

use crate::Micros;
use grebewood_wire::http::{KeyValue, KeyValueList, WatchResponse};
use grebewood_wire::Value;
use std::collections::BTreeMap;

/// Number of keys in a page of a list.
pub(crate) const LIST_PAGE_KEYS: usize = 200;

/// The initial reads of a leader or holder: lists of prefixes and reads of single keys, by prefix or key.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    /// Reads that are not complete, with the last key of the pages read so far.
    unfinished: BTreeMap<String, Option<String>>,
    /// When the reads that are not in flight are due.
    due: BTreeMap<String, Micros>,
    entries: BTreeMap<String, Vec<KeyValue<Value>>>,
    /// Revision of the store as of the first page of each list.
    revisions: BTreeMap<String, u64>,
}

impl Loading {
    /// Creates the reads of these prefixes and keys, due now.
    pub(crate) fn new(reads: &[String], now: Micros) -> Self {
        Loading {
            unfinished: reads.iter().map(|read| (read.clone(), None)).collect(),
            due: reads.iter().map(|read| (read.clone(), now)).collect(),
            ..Loading::default()
        }
    }

    /// Returns whether all reads are complete.
    pub(crate) fn is_finished(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Returns whether the read of this prefix or key is complete or was never requested.
    pub(crate) fn has_read(&self, read: &str) -> bool {
        !self.unfinished.contains_key(read)
    }

    /// Returns when the first read that is not in flight is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.values().copied().min()
    }

    /// Returns the reads that are due, and marks them as in flight.
    pub(crate) fn take_due(&mut self, now: Micros) -> Vec<String> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<String> = due.map(|(read, _)| read.clone()).collect();
        for read in &due {
            self.due.remove(read);
        }
        due
    }

    /// Returns the last key of the pages of this prefix that have been read.
    pub(crate) fn last_key(&self, prefix: &str) -> Option<&str> {
        self.unfinished.get(prefix)?.as_deref()
    }

    /// Schedules a read again for this time.
    pub(crate) fn retry(&mut self, read: &str, at: Micros) {
        self.due.insert(read.to_string(), at);
    }

    /// Adds a page of a list and schedules the next page for now.
    pub(crate) fn add_page(&mut self, prefix: &str, page: KeyValueList, now: Micros) {
        let revision = self.revisions.entry(prefix.to_string());
        revision.or_insert(page.revision);
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        let entries = self.entries.entry(prefix.to_string());
        entries.or_default().extend(page.entries);
        if page.has_more && last_key.is_some() {
            self.unfinished.insert(prefix.to_string(), last_key);
            self.retry(prefix, now);
        } else {
            self.finish(prefix);
        }
    }

    /// Adds the entry of a key that was read by itself.
    pub(crate) fn add_entry(&mut self, key: &str, entry: KeyValue<Value>) {
        let entries = self.entries.entry(key.to_string());
        entries.or_default().push(entry);
    }

    /// Marks the read of this prefix or key as complete.
    pub(crate) fn finish(&mut self, read: &str) {
        self.unfinished.remove(read);
    }

    /// Removes and returns the entries that were read for a prefix or key.
    pub(crate) fn take(&mut self, read: &str) -> Vec<KeyValue<Value>> {
        self.entries.remove(read).unwrap_or_default()
    }

    /// Returns the revision of the store as of the first page of a list; 0 if the list was not read.
    pub(crate) fn revision(&self, prefix: &str) -> u64 {
        self.revisions.get(prefix).copied().unwrap_or(0)
    }
}

/// Kind of the next request of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum WatchState {
    /// The changes since the revision of the watch.
    #[default]
    Changes,
    /// A list of all keys, because the changes are too old or too many to be reported.
    Relist {
        /// The last key of the pages that have been listed.
        last_key: Option<String>,
        /// Revision of the store as of the first of these pages.
        revision: Option<u64>,
    },
}

/// The next request of a watch.
pub(crate) enum WatchRequest {
    /// A page of the keys of the prefix.
    List {
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// The changes since a revision of the store.
    Changes {
        /// The revision.
        since: u64,
    },
}

/// A watch of a key prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    /// Revision of the store up to which changes have been reported.
    revision: u64,
    /// Whether a request is in flight.
    in_flight: bool,
    /// When the next request is due, in microseconds of the steady clock.
    retry_at: Micros,
    state: WatchState,
}

impl Watch {
    /// Creates a watch of the changes since this revision of the store.
    pub(crate) fn since(revision: u64) -> Self {
        Watch {
            revision,
            ..Watch::default()
        }
    }

    /// Returns when the next request is due; `None` while one is in flight.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        (!self.in_flight).then_some(self.retry_at)
    }

    /// Returns the request that is due now, if any, and marks it as in flight.
    pub(crate) fn start_request(&mut self, now: Micros) -> Option<WatchRequest> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        self.in_flight = true;
        Some(match &self.state {
            WatchState::Relist { last_key, .. } => WatchRequest::List {
                after: last_key.clone(),
            },
            WatchState::Changes => WatchRequest::Changes {
                since: self.revision,
            },
        })
    }

    /// Records that the request has ended, and schedules the next one for this time.
    pub(crate) fn end_request(&mut self, retry_at: Micros) {
        self.in_flight = false;
        self.retry_at = retry_at;
    }

    /// Records that changes have been reported up to the revision of this response.
    pub(crate) fn advance(&mut self, changes: &WatchResponse) {
        self.revision = self.revision.max(changes.revision);
    }

    /// Makes the watch list all keys again.
    pub(crate) fn start_relist(&mut self) {
        self.state = WatchState::Relist {
            last_key: None,
            revision: None,
        };
    }

    /// Adds a page of the list. After the last page, the watch continues from the revision of the first page, so
    /// changes made while the other pages were read are reported again.
    pub(crate) fn add_page(&mut self, page: &KeyValueList) {
        let first_revision = match self.state {
            WatchState::Relist { revision, .. } => revision.unwrap_or(page.revision),
            WatchState::Changes => page.revision,
        };
        let last_entry = page.entries.last().filter(|_| page.has_more);
        match last_entry {
            Some(entry) => {
                self.state = WatchState::Relist {
                    last_key: Some(entry.key.clone()),
                    revision: Some(first_revision),
                };
            }
            None => {
                self.state = WatchState::Changes;
                self.revision = first_revision;
            }
        }
    }
}
