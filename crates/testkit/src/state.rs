//! A simulated key-value store: keys with revisions, leases, watches and compare-and-swap transactions.

use crate::time::{as_seconds, Micros, MILLISECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::{BTreeMap, VecDeque};

mod bodies;

use bodies::{error_body, json_len, revision_body, EntryBody, ListBody, WatchBody, WatchEventBody};

/// The number of changes that are kept for watches.
const MAX_LOGGED_CHANGES: usize = 10_000;
/// The number of conditions that a transaction may have for each operation that the limits allow it.
const CONDITIONS_PER_OPERATION: usize = 4;
/// The number of keys on a page of a list if the request does not say.
const DEFAULT_PAGE_KEYS: usize = 1_000;
/// The duration of a lease if the request does not say, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 1_000;

/// The query parameters of a request.
type Query<'a> = BTreeMap<&'a str, &'a str>;

/// The value of a key, the revision of its last change and the lease to which it is attached, if any.
#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

/// A change that watches can still report: the key was put, or deleted if there is no value.
#[derive(Clone, Debug)]
struct LoggedChange {
    key: String,
    value: Option<Value>,
    mod_revision: u64,
}

/// A pending watch request.
#[derive(Clone, Debug)]
struct Watch {
    /// The id that the caller of [`KeyValueStore::handle_request`] gave the request.
    watch_id: u64,
    prefix: String,
    /// The revision after which changes are reported.
    since_revision: u64,
    /// When the watch is answered even if no key with its prefix has changed.
    deadline: Micros,
}

/// A lease. The keys attached to it are deleted when it expires.
#[derive(Clone, Copy, Debug)]
struct Lease {
    duration: Micros,
    expires_at: Micros,
}

/// The token buckets of the rate limits: the requests and changes that are left at the last refill.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBuckets {
    requests: f64,
    changes: f64,
    refilled_at: Micros,
}

/// The result of a request.
pub enum Reply {
    /// A response that is ready, with its status and its body.
    Now(u16, Vec<u8>),
    /// A response that [`KeyValueStore::take_ready_watches`] returns after a change or a timeout.
    Later,
}

/// The simulated key-value store.
#[derive(Default)]
pub struct KeyValueStore {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// The revision of the last change.
    revision: u64,
    change_log: VecDeque<LoggedChange>,
    watches: Vec<Watch>,
    /// Whether there is an outage. Every request but a watch is then answered 503, and watches stay pending.
    pub is_down: bool,
    /// The limits of the store. Requests and changes above the rates are answered 429, larger transactions
    /// and values 400.
    pub limits: Option<StoreLimits>,
    tokens: TokenBuckets,
    /// Before this time every change is answered 429.
    pub writes_throttled_until: Micros,
    /// The number of transactions that were answered 400 because they exceed the limits.
    pub malformed_transactions: u64,
}

impl KeyValueStore {
    /// Returns the keys with this prefix, with their values and mod_revisions.
    pub fn entries_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Value, u64)> + 'a {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(key, _)| key.starts_with(prefix));
        entries.map(|(key, entry)| (key.as_str(), &entry.value, entry.mod_revision))
    }

    /// Puts or deletes a key at the current revision and logs the change for watches.
    fn apply_change(&mut self, key: &str, entry: Option<Entry>) {
        let value = entry.as_ref().map(|entry| entry.value.clone());
        let changed = match entry {
            Some(entry) => {
                self.entries.insert(key.to_string(), entry);
                true
            }
            None => self.entries.remove(key).is_some(),
        };
        if !changed {
            return;
        }
        self.change_log.push_back(LoggedChange {
            key: key.to_string(),
            value,
            mod_revision: self.revision,
        });
        if self.change_log.len() > MAX_LOGGED_CHANGES {
            self.change_log.pop_front();
        }
    }

    /// Revokes the leases that have expired, but none during an outage.
    pub fn expire_leases(&mut self, now: Micros) {
        if self.is_down {
            return;
        }
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Removes a lease and deletes the keys attached to it, each at a revision of its own.
    fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let entries = self.entries.iter();
        let attached = entries.filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.apply_change(&key, None);
        }
    }

    /// Ends an outage and renews every lease for its full duration.
    pub fn end_outage(&mut self, now: Micros) {
        self.is_down = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    /// Overwrites a record with an unreadable value. Returns `false` if the key does not exist.
    pub fn corrupt(&mut self, key: &str) -> bool {
        let Some(entry) = self.entries.get(key).cloned() else {
            return false;
        };
        self.revision += 1;
        let entry = Entry {
            value: Value::Text("unreadable".into()),
            mod_revision: self.revision,
            ..entry
        };
        self.apply_change(key, Some(entry));
        true
    }

    /// Loads a record of a snapshot with its mod_revision. Watches do not report it.
    pub fn load(&mut self, key: &str, value: Value, mod_revision: u64) {
        self.revision = self.revision.max(mod_revision);
        let entry = Entry {
            value,
            mod_revision,
            lease: None,
        };
        self.entries.insert(key.to_string(), entry);
    }

    /// Puts a key without a condition on its mod_revision, as an operator would.
    pub fn write(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let entry = Entry {
            value,
            mod_revision: self.revision,
            lease: None,
        };
        self.apply_change(key, Some(entry));
    }

    /// Takes tokens for requests and changes. Returns `false` and takes none if there are too few, or if there
    /// are changes while writes are throttled; the request is then answered 429.
    fn take_tokens(&mut self, now: Micros, requests: f64, changes: f64) -> bool {
        let Some(limits) = self.limits else {
            return true;
        };
        let elapsed_s = as_seconds(now - self.tokens.refilled_at);
        let refill = |left: f64, rate: f64| (left + elapsed_s * rate).min(rate);
        let mut tokens = TokenBuckets {
            requests: refill(self.tokens.requests, limits.rps),
            changes: refill(self.tokens.changes, limits.write_rps),
            refilled_at: now,
        };
        let is_throttled = changes != 0.0 && now < self.writes_throttled_until;
        let is_admitted = tokens.requests >= requests && tokens.changes >= changes && !is_throttled;
        if is_admitted {
            tokens.requests -= requests;
            tokens.changes -= changes;
        }
        self.tokens = tokens;
        is_admitted
    }

    /// Returns the error text for a transaction that exceeds the limits.
    fn exceeded_limit(&self, transaction: &Transaction) -> Option<String> {
        let limits = self.limits?;
        let max_operations = limits.transaction_operations;
        let max_conditions = CONDITIONS_PER_OPERATION * max_operations;
        if transaction.apply.len() > max_operations || transaction.when.len() > max_conditions {
            return Some("too many operations".into());
        }
        transaction
            .apply
            .iter()
            .find_map(|operation| match operation {
                Operation::Put { put, value, .. } => {
                    (json_len(value) > limits.value_bytes).then(|| format!("{put} is too large"))
                }
                Operation::Delete { .. } => None,
            })
    }

    /// Returns the size of the largest value as JSON, in bytes, and its key.
    pub fn largest_value(&self) -> (usize, &str) {
        let entries = self.entries.iter();
        let sizes = entries.map(|(key, entry)| (json_len(&entry.value), key.as_str()));
        sizes.max().unwrap_or((0, ""))
    }

    /// Returns whether a key exists.
    pub fn contains_key(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Handles a request. If it is a watch, `watch_id` identifies its response in the result of
    /// [`KeyValueStore::take_ready_watches`].
    pub fn handle_request(
        &mut self,
        now: Micros,
        watch_id: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Reply {
        self.expire_leases(now);
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: Query = query
            .split('&')
            .filter_map(|parameter| parameter.split_once('='))
            .collect();
        if self.is_down && path != "/changes" {
            return Reply::Now(503, Vec::new());
        }
        if !self.take_tokens(now, 1.0, 0.0) {
            return Reply::Now(429, Vec::new());
        }
        match (method, path) {
            ("GET", "/kv") => self.list(&query),
            ("GET", "/changes") => {
                self.add_watch(now, watch_id, &query);
                Reply::Later
            }
            ("POST", "/txn") => self.execute_transaction(now, body),
            ("POST", "/leases") => self.grant_lease(now, body),
            _ => match path.strip_prefix("/kv/") {
                Some(key) => self.read(key),
                None => self.handle_lease_request(now, method, path),
            },
        }
    }

    fn add_watch(&mut self, now: Micros, watch_id: u64, query: &Query) {
        let number = |key: &str| {
            let value = query.get(key).and_then(|value| value.parse().ok());
            value.unwrap_or(0)
        };
        self.watches.push(Watch {
            watch_id,
            prefix: query.get("prefix").unwrap_or(&"").to_string(),
            since_revision: number("since"),
            deadline: now + number("block_ms") * MILLISECOND,
        });
    }

    fn grant_lease(&mut self, now: Micros, body: &[u8]) -> Reply {
        let fields: BTreeMap<String, u64> = from_cbor(body).unwrap_or_default();
        let duration_ms = fields.get("life_ms").copied();
        let duration = duration_ms.unwrap_or(DEFAULT_LEASE_MS) * MILLISECOND;
        let lease = Lease {
            duration,
            expires_at: now + duration,
        };
        self.next_lease += 1;
        self.leases.insert(self.next_lease, lease);
        let body = to_cbor(&BTreeMap::from([("tether", self.next_lease)]));
        Reply::Now(200, body)
    }

    fn read(&self, key: &str) -> Reply {
        match self.entries.get(key) {
            Some(entry) => {
                let body = EntryBody::new(key, entry).with_lease(entry.lease);
                Reply::Now(200, to_cbor(&body))
            }
            None => Reply::Now(404, revision_body(self.revision)),
        }
    }

    /// Extends or revokes a lease.
    fn handle_lease_request(&mut self, now: Micros, method: &str, path: &str) -> Reply {
        let id = path.strip_prefix("/leases/");
        let id = id.and_then(|id| id.trim_end_matches("/extend").parse::<u64>().ok());
        let status = match (method, id) {
            ("POST", Some(id)) => match self.leases.get_mut(&id) {
                Some(lease) => {
                    lease.expires_at = now + lease.duration;
                    200
                }
                None => 404,
            },
            ("DELETE", Some(id)) => {
                self.revoke_lease(id);
                200
            }
            _ => 400,
        };
        Reply::Now(status, Vec::new())
    }

    fn list(&self, query: &Query) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let after_key = query.get("since").copied().unwrap_or("");
        let page_keys = query.get("page").and_then(|keys| keys.parse().ok());
        let page_keys = page_keys.unwrap_or(DEFAULT_PAGE_KEYS);
        let entries = self.entries.iter();
        let mut entries: Vec<EntryBody> = entries
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after_key)
            .take(page_keys + 1)
            .map(|(key, entry)| EntryBody::new(key, entry))
            .collect();
        let has_more = entries.len() > page_keys;
        entries.truncate(page_keys);
        let list = ListBody {
            entries,
            has_more,
            revision: self.revision,
        };
        Reply::Now(200, to_cbor(&list))
    }

    /// Applies the operations of a transaction at a new revision if all of its conditions hold.
    fn execute_transaction(&mut self, now: Micros, body: &[u8]) -> Reply {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return Reply::Now(400, Vec::new());
        };
        if let Some(reason) = self.exceeded_limit(&transaction) {
            self.malformed_transactions += 1;
            return Reply::Now(400, error_body(&reason));
        }
        if !self.take_tokens(now, 0.0, transaction.apply.len() as f64) {
            return Reply::Now(429, Vec::new());
        }
        let failed = self.failed_conditions(&transaction);
        if !failed.is_empty() {
            return Reply::Now(409, to_cbor(&BTreeMap::from([("failed", failed)])));
        }
        let mut operations = transaction.apply.iter();
        if operations.any(|operation| self.names_missing_lease(operation)) {
            return Reply::Now(400, error_body("no such lease"));
        }
        self.revision += 1;
        for operation in transaction.apply {
            self.apply_operation(operation);
        }
        Reply::Now(200, revision_body(self.revision))
    }

    /// Returns the keys whose mod_revision differs from the one in the transaction's condition.
    fn failed_conditions(&self, transaction: &Transaction) -> Vec<String> {
        let revision_of = |key: &str| {
            let entry = self.entries.get(key);
            entry.map_or(0, |entry| entry.mod_revision)
        };
        let conditions = transaction.when.iter();
        conditions
            .filter(|condition| revision_of(&condition.key) != condition.mod_revision)
            .map(|condition| condition.key.clone())
            .collect()
    }

    /// Returns whether an operation attaches a key to a lease that does not exist.
    fn names_missing_lease(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        }
    }

    fn apply_operation(&mut self, operation: Operation) {
        match operation {
            Operation::Put { put, value, lease } => {
                let entry = Entry {
                    value,
                    mod_revision: self.revision,
                    lease,
                };
                self.apply_change(&put, Some(entry));
            }
            Operation::Delete { delete } => self.apply_change(&delete, None),
        }
    }

    /// Removes the watches that have changes to report or have timed out. Returns their ids and response bodies;
    /// none during an outage.
    pub fn take_ready_watches(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        if self.is_down {
            return Vec::new();
        }
        let mut ready = Vec::new();
        let (change_log, revision) = (&self.change_log, self.revision);
        self.watches.retain(|watch| {
            let is_reported = |change: &&LoggedChange| {
                change.mod_revision > watch.since_revision && change.key.starts_with(&watch.prefix)
            };
            let changes = change_log.iter().filter(is_reported);
            let events: Vec<WatchEventBody> = changes.map(LoggedChange::event_body).collect();
            if events.is_empty() && now < watch.deadline {
                return true;
            }
            let body = WatchBody { revision, events };
            ready.push((watch.watch_id, to_cbor(&body)));
            false
        });
        ready
    }
}
