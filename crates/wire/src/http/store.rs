//! Bodies of requests to the key-value store and of its responses.

use crate::{from_cbor, to_cbor, DecodeError};
use ciborium::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Key of the key-value store with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue<T> {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key.
    pub value: T,
    /// Revision of the key's last modification.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
    /// Lease that the key is attached to, in the response to a read of a single key.
    #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
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

/// Condition of a compare-and-swap transaction: the modification revision of the key must be the given one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "k")]
    pub key: String,
    /// Expected revision of the key's last modification; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// Key.
        put: String,
        /// New value of the key.
        value: Value,
        /// Lease that the key is attached to. The key is deleted when the lease expires.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        delete: String,
    },
}

impl Operation {
    /// Returns the key that the operation changes.
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
    /// Conditions. The operations are applied only if all conditions hold.
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
    /// Time to live of the lease without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "tether")]
    pub id: u64,
}

/// Response to `GET /changes`, a long poll for changes.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the list of changes is complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes, in the order of their revisions.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Change that a watch delivers.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// Key, if the change is a write.
    #[serde(default)]
    pub put: Option<String>,
    /// Key, if the change is a deletion.
    #[serde(default)]
    pub delete: Option<String>,
    /// New value, if the change is a write.
    #[serde(default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Converts a record to a value of the store.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Converts a value of the store to a record.
///
/// # Errors
///
/// The value does not have the form of the record.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, DecodeError> {
    from_cbor(&to_cbor(value))
}
