//! The bodies of the store's answers, and the sizes of values.

use super::{Entry, LoggedChange};
use grebewood_wire::{to_cbor, Value};
use serde::Serialize;
use std::collections::BTreeMap;

/// What a value takes as JSON without blanks, in bytes: the store counts sizes so.
pub(super) fn json_len(value: &Value) -> usize {
    match value {
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len(),
        Value::Bool(flag) => flag.to_string().len(),
        Value::Null => "null".len(),
        Value::Text(text) => text.len() + 2,
        Value::Array(items) => list_len(items.iter().map(json_len)),
        Value::Map(items) => {
            let sizes = items.iter();
            list_len(sizes.map(|(key, value)| json_len(key) + 1 + json_len(value)))
        }
        _ => 0,
    }
}

/// What a list takes whose items take so much: brackets, items, and commas in between.
fn list_len(sizes: impl Iterator<Item = usize>) -> usize {
    let (number, sum) = sizes.fold((0, 0), |(number, sum), size| (number + 1, sum + size));
    2 + sum + usize::max(number, 1) - 1
}

/// An entry as it is answered.
#[derive(Serialize)]
pub(super) struct EntryBody<'a> {
    #[serde(rename = "k")]
    key: &'a str,
    value: &'a Value,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

/// A change as it is answered: the key is in `put` or in `delete`.
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
        }
    }
}

/// The answer to a list.
#[derive(Serialize)]
pub(super) struct ListBody<'a> {
    pub(super) entries: Vec<EntryBody<'a>>,
    pub(super) more: bool,
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
}

/// The answer to a watch.
#[derive(Serialize)]
pub(super) struct WatchBody<'a> {
    #[serde(rename = "epoch")]
    pub(super) revision: u64,
    pub(super) events: Vec<WatchEventBody<'a>>,
}

pub(super) fn revision_body(revision: u64) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("epoch", revision)]))
}

pub(super) fn error_body(text: &str) -> Vec<u8> {
    to_cbor(&BTreeMap::from([("error", text)]))
}

impl LoggedChange {
    pub(super) fn body(&self) -> WatchEventBody<'_> {
        let key = self.key.as_str();
        WatchEventBody {
            put: self.value.is_some().then_some(key),
            delete: self.value.is_none().then_some(key),
            value: self.value.as_ref(),
            mod_revision: self.mod_revision,
        }
    }
}
