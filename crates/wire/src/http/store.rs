//! Bodies of requests to the key-value store and of its responses.

use crate::{from_cbor, to_cbor, DecodeError};
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A key of the key-value store with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue<T> {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    pub value: T,
    /// Revision of the key's last modification.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Response to a range read: one page of keys.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValueList {
    /// Keys and values, in ascending order of the keys.
    pub entries: Vec<KeyValue<Value>>,
    /// Whether there are further pages.
    #[serde(rename = "more", default)]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A comparison of a compare-and-swap transaction: the key's modification revision must be the given one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The expected revision of the key's last modification; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// The key.
        put: String,
        /// Its new value.
        value: Value,
        /// The lease that the key is attached to: the key is deleted when the lease expires.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        delete: String,
    },
}

impl Operation {
    /// The key that the operation changes.
    pub fn key(&self) -> &str {
        match self {
            Operation::Put { put, .. } => put,
            Operation::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /txn`, a compare-and-swap transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold for the operations to be applied.
    pub when: Vec<Condition>,
    /// Operations, applied atomically.
    pub apply: Vec<Operation>,
}

/// Response to a transaction that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionApplied {
    /// Revision of the store after the transaction.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Response 409 to a transaction that was not applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose conditions do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /leases`, which grants a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's id.
    #[serde(rename = "tether")]
    pub id: u64,
}

/// Response to `GET /changes`, a long poll for changes.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the changes are complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, in the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change that a watch delivers.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// The key, if the change is a write.
    #[serde(default)]
    pub put: Option<String>,
    /// The key, if the change is a deletion.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value, if the change is a write.
    #[serde(default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Encodes a record as a value of the store.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Decodes a record from a value of the store.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    from_cbor(&to_cbor(value))
}
