//! The bodies of the store's responses, and the sizes of values.

use super::{Entry, LoggedChange};
use grebewood_wire::{to_cbor, Value};
use serde::Serialize;
use std::collections::BTreeMap;

/// Returns the size of a value as JSON without white space, in bytes. The store's limit is on this size.
pub(super) fn json_len(value: &Value) -> usize {
    match value {
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len(),
        Value::Bool(flag) => flag.to_string().len(),
        Value::Null => "null".len(),
        Value::Text(text) => text.len() + 2,
        Value::Array(items) => json_list_len(items.iter().map(json_len)),
        Value::Map(items) => {
            let sizes = items.iter();
            json_list_len(sizes.map(|(key, value)| json_len(key) + 1 + json_len(value)))
        }
        _ => 0,
    }
}

/// Returns the size of a JSON list or map from the sizes of its items: brackets, items and the commas between
/// them.
fn json_list_len(sizes: impl Iterator<Item = usize>) -> usize {
    let (count, sum) = sizes.fold((0, 0), |(count, sum), size| (count + 1, sum + size));
    2 + sum + usize::max(count, 1) - 1
}

/// An entry in a response. The lease is only in the response to a read of a single key.
#[derive(Serialize)]
pub(super) struct EntryBody<'a> {
    #[serde(rename = "k")]
    key: &'a str,
    value: &'a Value,
    #[serde(rename = "stamp")]
    mod_revision: u64,
    #[serde(rename = "tether", skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

/// A change in the response to a watch: the key is in `put` or in `delete`.
#[derive(Serialize)]
pub(super) struct WatchEventBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    put: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delete: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<&'a Value>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl<'a> EntryBody<'a> {
    pub(super) fn new(key: &'a str, entry: &'a Entry) -> EntryBody<'a> {
        EntryBody {
            key,
            value: &entry.value,
            mod_revision: entry.mod_revision,
            lease: None,
        }
    }

    pub(super) fn with_lease(self, lease: Option<u64>) -> EntryBody<'a> {
        EntryBody { lease, ..self }
    }
}

/// The response to a list.
#[derive(Serialize)]
pub(super) struct ListBody<'a> {
    pub(super) entries: Vec<EntryBody<'a>>,
    #[serde(rename = "more")]
    pub(super) has_more: bool,
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The response to a watch.
#[derive(Serialize)]
pub(super) struct WatchBody<'a> {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
    pub(super) events: Vec<WatchEventBody<'a>>,
}

/// Encodes a response that holds only the store's revision.
pub(super) fn revision_body(revision: u64) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("epoch", revision)]))
}

/// Encodes a response that holds an error text.
pub(super) fn error_body(text: &str) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("error", text)]))
}

impl LoggedChange {
    pub(super) fn event_body(&self) -> WatchEventBody<'_> {
        let key = self.key.as_str();
        WatchEventBody {
            put: self.value.is_some().then_some(key),
            delete: self.value.is_none().then_some(key),
            value: self.value.as_ref(),
            mod_revision: self.mod_revision,
        }
    }
}
