//! Stand-in for the key-value store: keys with revisions, leases, watches and compare-and-swap transactions.

use crate::time::{as_seconds, Micros, MILLISECOND};
use grebewood_core::settings::StoreLimits;
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::{from_cbor, to_cbor, Value};
use std::collections::{BTreeMap, VecDeque};

mod bodies;

use bodies::{error_body, json_len, revision_body, EntryBody, ListBody, WatchBody, WatchEventBody};

/// How many changes are kept for watches.
const MAX_LOG: usize = 10_000;
/// A transaction may have so many conditions for each operation that it may have.
const CONDITIONS_PER_OPERATION: usize = 4;
/// How many keys a list has if the request does not say.
const DEFAULT_PAGE: usize = 1_000;
/// How long a lease lasts if the request does not say, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 1_000;

/// The parameters of a request's path.
type Query<'a> = BTreeMap<&'a str, &'a str>;

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

#[derive(Clone, Debug)]
struct LoggedChange {
    key: String,
    value: Option<Value>,
    mod_revision: u64,
}

/// A watch that waits for a change.
#[derive(Clone, Debug)]
struct Watch {
    /// The name under which it was asked for.
    ticket: u64,
    prefix: String,
    /// Only changes after this revision count.
    since: u64,
    /// It is answered then even if nothing has changed.
    until: Micros,
}

/// A lease, whose keys are deleted when it expires.
#[derive(Clone, Copy, Debug)]
struct Lease {
    duration: Micros,
    expires_at: Micros,
}

/// Requests and changes that may still come, as of a moment.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    requests: f64,
    changes: f64,
    filled_at: Micros,
}

/// What a request leads to.
pub enum Reply {
    /// A status and a body.
    Now(u16, Vec<u8>),
    /// The answer comes when something changes.
    Later,
}

/// The store.
#[derive(Default)]
pub struct KeyValueStore {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// The revision of the last change.
    revision: u64,
    log: VecDeque<LoggedChange>,
    watches: Vec<Watch>,
    /// There is an outage: everything but watches is answered 503.
    pub is_down: bool,
    /// What it takes: more than a second's worth is answered 429, larger ones 400.
    pub limits: Option<StoreLimits>,
    tokens: TokenBucket,
    /// Until then every change is answered 429.
    pub writes_throttled_until: Micros,
    /// Transactions that were answered 400 because they were malformed.
    pub malformed_transactions: u64,
}

impl KeyValueStore {
    /// Keys with this prefix, their values and mod_revisions.
    pub fn entries_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Value, u64)> + 'a {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(key, _)| key.starts_with(prefix));
        entries.map(|(key, entry)| (key.as_str(), &entry.value, entry.mod_revision))
    }

    /// Puts or deletes a key under the present revision, and tells it to watches.
    fn change(&mut self, key: &str, entry: Option<Entry>) {
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
        self.log.push_back(LoggedChange {
            key: key.to_string(),
            value,
            mod_revision: self.revision,
        });
        if self.log.len() > MAX_LOG {
            self.log.pop_front();
        }
    }

    /// Ends leases whose time is over.
    pub fn expire_leases(&mut self, now: Micros) {
        if self.is_down {
            return;
        }
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let entries = self.entries.iter();
        let attached = entries.filter(|(_, entry)| entry.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.change(&key, None);
        }
    }

    /// An outage ends: every lease has its full time again.
    pub fn end_outage(&mut self, now: Micros) {
        self.is_down = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.duration;
        }
    }

    /// Overwrites a record with something unreadable.
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
        self.change(key, Some(entry));
        true
    }

    /// Puts a record there that was written before, with its mod_revision.
    pub fn load(&mut self, key: &str, value: Value, mod_revision: u64) {
        self.revision = self.revision.max(mod_revision);
        let entry = Entry {
            value,
            mod_revision,
            lease: None,
        };
        self.entries.insert(key.to_string(), entry);
    }

    /// Writes a key as an operator would, whatever its mod_revision.
    pub fn write(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let entry = Entry {
            value,
            mod_revision: self.revision,
            lease: None,
        };
        self.change(key, Some(entry));
    }

    /// Takes tokens for requests and changes; `false`: there are too few, which is answered 429.
    fn take_tokens(&mut self, now: Micros, requests: f64, changes: f64) -> bool {
        let Some(limits) = self.limits else {
            return true;
        };
        let passed_s = as_seconds(now - self.tokens.filled_at);
        let refill = |left: f64, rate: f64| (left + passed_s * rate).min(rate);
        let mut tokens = TokenBucket {
            requests: refill(self.tokens.requests, limits.rps),
            changes: refill(self.tokens.changes, limits.write_rps),
            filled_at: now,
        };
        let busy = changes != 0.0 && now < self.writes_throttled_until;
        let enough = tokens.requests >= requests && tokens.changes >= changes && !busy;
        if enough {
            tokens.requests -= requests;
            tokens.changes -= changes;
        }
        self.tokens = tokens;
        enough
    }

    /// Why a transaction is malformed, if it is.
    fn malformed(&self, transaction: &Transaction) -> Option<String> {
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

    /// The size of the largest value there, in bytes, and its key.
    pub fn largest_value(&self) -> (usize, &str) {
        let entries = self.entries.iter();
        let sizes = entries.map(|(key, entry)| (json_len(&entry.value), key.as_str()));
        sizes.max().unwrap_or((0, ""))
    }

    /// Whether a key is there.
    pub fn contains_key(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Takes one request. `ticket` names it in case the answer comes later.
    pub fn handle_request(
        &mut self,
        now: Micros,
        ticket: u64,
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
                self.watch(now, ticket, &query);
                Reply::Later
            }
            ("POST", "/txn") => self.transaction(now, body),
            ("POST", "/leases") => self.grant_lease(now, body),
            _ => match path.strip_prefix("/kv/") {
                Some(key) => self.read(key),
                None => self.lease_request(now, method, path),
            },
        }
    }

    fn watch(&mut self, now: Micros, ticket: u64, query: &Query) {
        let number = |key: &str| {
            let value = query.get(key).and_then(|value| value.parse().ok());
            value.unwrap_or(0)
        };
        self.watches.push(Watch {
            ticket,
            prefix: query.get("prefix").unwrap_or(&"").to_string(),
            since: number("since"),
            until: now + number("block_ms") * MILLISECOND,
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
            Some(entry) => Reply::Now(200, to_cbor(&EntryBody::new(key, entry))),
            None => Reply::Now(404, revision_body(self.revision)),
        }
    }

    /// Extends or ends a lease.
    fn lease_request(&mut self, now: Micros, method: &str, path: &str) -> Reply {
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
                self.end_lease(id);
                200
            }
            _ => 400,
        };
        Reply::Now(status, Vec::new())
    }

    fn list(&self, query: &Query) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since = query.get("since").copied().unwrap_or("");
        let page = query.get("page").and_then(|page| page.parse().ok());
        let page = page.unwrap_or(DEFAULT_PAGE);
        let entries = self.entries.iter();
        let mut entries: Vec<EntryBody> = entries
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since)
            .take(page + 1)
            .map(|(key, entry)| EntryBody::new(key, entry))
            .collect();
        let more = entries.len() > page;
        entries.truncate(page);
        let list = ListBody {
            entries,
            more,
            revision: self.revision,
        };
        Reply::Now(200, to_cbor(&list))
    }

    fn transaction(&mut self, now: Micros, body: &[u8]) -> Reply {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return Reply::Now(400, Vec::new());
        };
        if let Some(reason) = self.malformed(&transaction) {
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
        if operations.any(|operation| self.lacks_lease(operation)) {
            return Reply::Now(400, error_body("no such lease"));
        }
        self.revision += 1;
        for operation in transaction.apply {
            self.apply(operation);
        }
        Reply::Now(200, revision_body(self.revision))
    }

    /// The keys whose mod_revision is not what a transaction's conditions say.
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

    /// Whether an operation puts a key under a lease that is not there.
    fn lacks_lease(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Put {
                lease: Some(lease), ..
            } => !self.leases.contains_key(lease),
            _ => false,
        }
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Put { put, value, lease } => {
                let entry = Entry {
                    value,
                    mod_revision: self.revision,
                    lease,
                };
                self.change(&put, Some(entry));
            }
            Operation::Delete { delete } => self.change(&delete, None),
        }
    }

    /// Answers the watches that have something to tell or time out: their tickets and bodies.
    pub fn take_ready_watches(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        if self.is_down {
            return Vec::new();
        }
        let mut ready = Vec::new();
        let (log, revision) = (&self.log, self.revision);
        self.watches.retain(|watch| {
            let concerns = |change: &&LoggedChange| {
                change.mod_revision > watch.since && change.key.starts_with(&watch.prefix)
            };
            let changes = log.iter().filter(concerns);
            let events: Vec<WatchEventBody> = changes.map(LoggedChange::body).collect();
            if events.is_empty() && now < watch.until {
                return true;
            }
            let body = WatchBody { revision, events };
            ready.push((watch.ticket, to_cbor(&body)));
            false
        });
        ready
    }
}
