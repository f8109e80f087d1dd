//! Stand-in for the key-value store.

use grebewood_core::settings::StoreLimits;
use grebewood_wire::http::{Operation, Transaction};
use grebewood_wire::{from_cbor, to_cbor, Value};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

type Micros = u64;

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
pub struct Watch {
    pub ticket: u64,
    prefix: String,
    since: u64,
    pub until: Micros,
}

/// What a request leads to.
pub enum Reply {
    Now(u16, Vec<u8>),
    /// The answer comes when something changes.
    Later,
}

/// The store.
#[derive(Default)]
pub struct KeyValueStore {
    items: BTreeMap<String, Entry>,
    /// Leases: life and end.
    leases: BTreeMap<u64, (Micros, Micros)>,
    next_lease: u64,
    epoch: u64,
    log: VecDeque<LoggedChange>,
    pub waiting: Vec<Watch>,
    pub down: bool,
    /// What it takes: more than a second's worth is answered 429, larger ones 400.
    pub limits: Option<StoreLimits>,
    /// Requests and changes that may still come, and as of when.
    tokens: (f64, f64, Micros),
    /// Until then every change is answered 429.
    pub busy_until: Micros,
    /// Requests that were answered 400, and keys of values that were too large.
    pub refused: u64,
}

/// What a value takes as JSON without blanks: the service counts sizes so.
fn json_len(value: &Value) -> usize {
    let list = |sizes: &mut dyn Iterator<Item = usize>| {
        let (n, sum) = sizes.fold((0, 0), |(n, sum), size| (n + 1, sum + size));
        2 + sum + usize::max(n, 1) - 1
    };
    match value {
        Value::Integer(i) => i128::from(*i).to_string().len(),
        Value::Float(x) => x.to_string().len(),
        Value::Bool(b) => b.to_string().len(),
        Value::Null => 4,
        Value::Text(s) => s.len() + 2,
        Value::Array(items) => list(&mut items.iter().map(json_len)),
        Value::Map(items) => list(&mut items.iter().map(|(k, v)| json_len(k) + 1 + json_len(v))),
        _ => 0,
    }
}

#[derive(Serialize)]
struct EntryBody<'a> {
    k: &'a str,
    value: &'a Value,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Serialize)]
struct WatchEventBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    put: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delete: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

fn epoch_body(epoch: u64) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("epoch", epoch)]))
}

impl KeyValueStore {
    /// Keys with this prefix, their values and mod_revisions.
    pub fn under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Value, u64)> + 'a {
        let items = self
            .items
            .iter()
            .filter(move |(key, _)| key.starts_with(prefix));
        items.map(|(key, item)| (key.as_str(), &item.value, item.mod_revision))
    }

    fn change(&mut self, key: &str, item: Option<Entry>) {
        let value = item.as_ref().map(|i| i.value.clone());
        match item {
            Some(item) => {
                self.items.insert(key.to_string(), item);
            }
            None => {
                if self.items.remove(key).is_none() {
                    return;
                }
            }
        }
        self.log.push_back(LoggedChange {
            key: key.to_string(),
            value,
            mod_revision: self.epoch,
        });
        if self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }

    /// Ends leases whose time is over.
    pub fn expire(&mut self, now: Micros) {
        if self.down {
            return;
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.epoch += 1;
            self.change(&key, None);
        }
    }

    /// An outage ends: every lease has its full time again.
    pub fn recover(&mut self, now: Micros) {
        self.down = false;
        for (life, end) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    /// Overwrites a record with something unreadable.
    pub fn corrupt(&mut self, key: &str) -> bool {
        let Some(item) = self.items.get(key).cloned() else {
            return false;
        };
        self.epoch += 1;
        let item = Entry {
            value: Value::Text("unreadable".into()),
            mod_revision: self.epoch,
            ..item
        };
        self.change(key, Some(item));
        true
    }

    /// Puts a record there that was written before, with its stamp.
    pub fn load(&mut self, key: &str, value: Value, mod_revision: u64) {
        self.epoch = self.epoch.max(mod_revision);
        let item = Entry {
            value,
            mod_revision,
            lease: None,
        };
        self.items.insert(key.to_string(), item);
    }

    /// Writes a key as an operator would, whatever its stamp.
    pub fn write(&mut self, key: &str, value: Value) {
        self.epoch += 1;
        let item = Entry {
            value,
            mod_revision: self.epoch,
            lease: None,
        };
        self.change(key, Some(item));
    }

    /// Takes tokens for requests and changes; no is answered 429.
    fn take_tokens(&mut self, now: Micros, requests: f64, changes: f64) -> bool {
        let Some(limits) = self.limits else {
            return true;
        };
        let (r, w, at) = self.tokens;
        let passed = (now - at) as f64 / 1e6;
        let r = (r + passed * limits.rps).min(limits.rps);
        let w = (w + passed * limits.write_rps).min(limits.write_rps);
        let ok = r >= requests && w >= changes && (changes == 0.0 || now >= self.busy_until);
        self.tokens = match ok {
            true => (r - requests, w - changes, now),
            false => (r, w, now),
        };
        ok
    }

    /// Why a transaction is malformed, if it is.
    fn malformed(&self, transaction: &Transaction) -> Option<String> {
        let limits = self.limits?;
        if transaction.apply.len() > limits.transaction_operations
            || transaction.when.len() > 4 * limits.transaction_operations
        {
            return Some("too many operations".into());
        }
        transaction.apply.iter().find_map(|c| match c {
            Operation::Put { put, value, .. } => {
                (json_len(value) > limits.value_bytes).then(|| format!("{put} is too large"))
            }
            Operation::Delete { .. } => None,
        })
    }

    /// The largest value there, and its key.
    pub fn largest(&self) -> (usize, &str) {
        let sizes = self.items.iter();
        let sizes = sizes.map(|(k, i)| (json_len(&i.value), k.as_str()));
        sizes.max().unwrap_or((0, ""))
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Takes one request. `ticket` names it in case the answer comes later.
    pub fn request(
        &mut self,
        now: Micros,
        ticket: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Reply {
        self.expire(now);
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        if self.down && path != "/changes" {
            return Reply::Now(503, Vec::new());
        }
        if !self.take_tokens(now, 1.0, 0.0) {
            return Reply::Now(429, Vec::new());
        }
        match (method, path) {
            ("GET", "/kv") => self.list(&query),
            ("GET", "/changes") => {
                let number = |k: &str| query.get(k).and_then(|v| v.parse().ok()).unwrap_or(0);
                self.waiting.push(Watch {
                    ticket,
                    prefix: query.get("prefix").unwrap_or(&"").to_string(),
                    since: number("since"),
                    until: now + number("block_ms") * 1_000,
                });
                Reply::Later
            }
            ("POST", "/txn") => self.transaction(now, body),
            ("POST", "/leases") => {
                let life: BTreeMap<String, u64> = from_cbor(body).unwrap_or_default();
                let life = life.get("life_ms").copied().unwrap_or(1_000) * 1_000;
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (life, now + life));
                let body = to_cbor(&BTreeMap::from([("tether", self.next_lease)]));
                Reply::Now(200, body)
            }
            _ => {
                if let Some(key) = path.strip_prefix("/kv/") {
                    return match self.items.get(key) {
                        Some(i) => Reply::Now(
                            200,
                            to_cbor(&EntryBody {
                                k: key,
                                value: &i.value,
                                mod_revision: i.mod_revision,
                            }),
                        ),
                        None => Reply::Now(404, epoch_body(self.epoch)),
                    };
                }
                let id = path
                    .strip_prefix("/leases/")
                    .and_then(|p| p.trim_end_matches("/extend").parse::<u64>().ok());
                match (method, id) {
                    ("POST", Some(id)) => match self.leases.get_mut(&id) {
                        Some((life, end)) => {
                            *end = now + *life;
                            Reply::Now(200, Vec::new())
                        }
                        None => Reply::Now(404, Vec::new()),
                    },
                    ("DELETE", Some(id)) => {
                        self.end_lease(id);
                        Reply::Now(200, Vec::new())
                    }
                    _ => Reply::Now(400, Vec::new()),
                }
            }
        }
    }

    fn list(&self, query: &BTreeMap<&str, &str>) -> Reply {
        #[derive(Serialize)]
        struct Out<'a> {
            entries: Vec<EntryBody<'a>>,
            more: bool,
            epoch: u64,
        }
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since = query.get("since").copied().unwrap_or("");
        let page: usize = query
            .get("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1_000);
        let mut entries: Vec<EntryBody> = self
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
            .take(page + 1)
            .map(|(k, i)| EntryBody {
                k,
                value: &i.value,
                mod_revision: i.mod_revision,
            })
            .collect();
        let more = entries.len() > page;
        entries.truncate(page);
        let out = Out {
            entries,
            more,
            epoch: self.epoch,
        };
        Reply::Now(200, to_cbor(&out))
    }

    fn transaction(&mut self, now: Micros, body: &[u8]) -> Reply {
        let Ok(transaction) = from_cbor::<Transaction>(body) else {
            return Reply::Now(400, Vec::new());
        };
        if let Some(why) = self.malformed(&transaction) {
            self.refused += 1;
            return Reply::Now(400, to_cbor(&BTreeMap::from([("error", why)])));
        }
        if !self.take_tokens(now, 0.0, transaction.apply.len() as f64) {
            return Reply::Now(429, Vec::new());
        }
        let failed: Vec<String> = transaction
            .when
            .iter()
            .filter(|w| self.items.get(&w.key).map_or(0, |i| i.mod_revision) != w.mod_revision)
            .map(|w| w.key.clone())
            .collect();
        if !failed.is_empty() {
            return Reply::Now(409, to_cbor(&BTreeMap::from([("failed", failed)])));
        }
        let no_lease = transaction.apply.iter().any(
            |c| matches!(c, Operation::Put { lease: Some(t), .. } if !self.leases.contains_key(t)),
        );
        if no_lease {
            return Reply::Now(400, to_cbor(&BTreeMap::from([("error", "no such lease")])));
        }
        self.epoch += 1;
        for change in transaction.apply {
            match change {
                Operation::Put { put, value, lease } => {
                    let item = Entry {
                        value,
                        mod_revision: self.epoch,
                        lease,
                    };
                    self.change(&put, Some(item));
                }
                Operation::Delete { delete } => self.change(&delete, None),
            }
        }
        Reply::Now(200, epoch_body(self.epoch))
    }

    /// Watches that can be answered now.
    pub fn ready(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        #[derive(Serialize)]
        struct Out<'a> {
            epoch: u64,
            events: Vec<WatchEventBody<'a>>,
        }
        if self.down {
            return Vec::new();
        }
        let mut out = Vec::new();
        let (log, epoch) = (&self.log, self.epoch);
        self.waiting.retain(|w| {
            let events: Vec<WatchEventBody> = log
                .iter()
                .filter(|l| l.mod_revision > w.since && l.key.starts_with(&w.prefix))
                .map(|l| WatchEventBody {
                    put: l.value.is_some().then_some(l.key.as_str()),
                    delete: l.value.is_none().then_some(l.key.as_str()),
                    value: l.value.as_ref(),
                    mod_revision: l.mod_revision,
                })
                .collect();
            if events.is_empty() && now < w.until {
                return true;
            }
            out.push((w.ticket, to_cbor(&Out { epoch, events })));
            false
        });
        out
    }
}
