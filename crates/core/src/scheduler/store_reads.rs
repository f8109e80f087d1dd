//! How far a scheduler has read its records from the key-value store, and where its watches stand.

use crate::Micros;
use grebewood_wire::http::{KeyValue, KeyValueList, WatchResponse};
use grebewood_wire::Value;
use std::collections::BTreeMap;

/// Keys in one page of a list.
pub(crate) const LIST_PAGE: usize = 200;

/// The reads with which a leader or holder begins: lists of prefixes and single keys, by prefix or key.
#[derive(Debug, Default)]
pub(crate) struct Loading {
    /// What has not been read to its end, with the last key of the pages read so far.
    unfinished: BTreeMap<String, Option<String>>,
    /// When reads are sent that are not under way.
    due: BTreeMap<String, Micros>,
    entries: BTreeMap<String, Vec<KeyValue<Value>>>,
    /// The store's revision as of the first page of each list.
    revisions: BTreeMap<String, u64>,
}

impl Loading {
    /// Reads of these prefixes and keys that are due now.
    pub(crate) fn new(reads: &[String], now: Micros) -> Self {
        Loading {
            unfinished: reads.iter().map(|read| (read.clone(), None)).collect(),
            due: reads.iter().map(|read| (read.clone(), now)).collect(),
            ..Loading::default()
        }
    }

    /// Whether everything has been read.
    pub(crate) fn is_finished(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Whether this prefix or key has been read to its end, or is none of the reads.
    pub(crate) fn has_read(&self, read: &str) -> bool {
        !self.unfinished.contains_key(read)
    }

    /// When the first read that is not under way is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.due.values().copied().min()
    }

    /// The reads that are due; they count as under way from now on.
    pub(crate) fn take_due(&mut self, now: Micros) -> Vec<String> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<String> = due.map(|(read, _)| read.clone()).collect();
        for read in &due {
            self.due.remove(read);
        }
        due
    }

    /// The last key of the pages of this prefix that were read so far.
    pub(crate) fn last_key(&self, prefix: &str) -> Option<&str> {
        self.unfinished.get(prefix)?.as_deref()
    }

    /// Sends a read again at this time.
    pub(crate) fn retry(&mut self, read: &str, at: Micros) {
        self.due.insert(read.to_string(), at);
    }

    /// Takes a page of a list; the next one is due at once.
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

    /// Takes the entry of a key that was read alone.
    pub(crate) fn add_entry(&mut self, key: &str, entry: KeyValue<Value>) {
        let entries = self.entries.entry(key.to_string());
        entries.or_default().push(entry);
    }

    /// This prefix or key has been read to its end.
    pub(crate) fn finish(&mut self, read: &str) {
        self.unfinished.remove(read);
    }

    /// Takes out the entries that were read for a prefix or key.
    pub(crate) fn take(&mut self, read: &str) -> Vec<KeyValue<Value>> {
        self.entries.remove(read).unwrap_or_default()
    }

    /// The store's revision as of the first page of a list; 0: it was not read.
    pub(crate) fn revision(&self, prefix: &str) -> u64 {
        self.revisions.get(prefix).copied().unwrap_or(0)
    }
}

/// What a watch asks for next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum WatchState {
    /// The changes since its revision.
    #[default]
    Changes,
    /// All keys, since the changes are too old or too many to be told.
    Relist {
        /// The last key of the pages that were listed so far.
        last_key: Option<String>,
        /// The store's revision as of the first of these pages.
        revision: Option<u64>,
    },
}

/// A request that a watch makes next.
pub(crate) enum WatchRequest {
    /// A page of the keys that come after this one.
    List {
        /// The last key of the page before; `None`: the list begins.
        after: Option<String>,
    },
    /// The changes since this revision of the store.
    Changes {
        /// The revision.
        since: u64,
    },
}

/// A watch of a prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watch {
    /// The revision of the store up to which changes have been told.
    revision: u64,
    /// Whether a request is under way.
    in_flight: bool,
    /// When the next request is due, in microseconds of the steady clock.
    retry_at: Micros,
    state: WatchState,
}

impl Watch {
    /// A watch of the changes since this revision of the store.
    pub(crate) fn since(revision: u64) -> Self {
        Watch {
            revision,
            ..Watch::default()
        }
    }

    /// When the next request is due; `None`: one is under way.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        (!self.in_flight).then_some(self.retry_at)
    }

    /// The request that is due now, if any; it counts as under way from now on.
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

    /// The request is over, and the next one is due at this time.
    pub(crate) fn end_request(&mut self, retry_at: Micros) {
        self.in_flight = false;
        self.retry_at = retry_at;
    }

    /// Notes that changes have been told up to the revision of this answer.
    pub(crate) fn advance(&mut self, changes: &WatchResponse) {
        self.revision = self.revision.max(changes.revision);
    }

    /// All keys are to be listed.
    pub(crate) fn start_relist(&mut self) {
        self.state = WatchState::Relist {
            last_key: None,
            revision: None,
        };
    }

    /// Takes a page of the list. After the last one the watch goes on from the revision of the first page: what changed
    /// while the others were read is told again.
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
