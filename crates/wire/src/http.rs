//! HTTP bodies, in the protocol's own words.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Body of `POST /submissions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    pub uid: String,
    pub workclass: String,
    pub owner: String,
    pub shape: String,
    pub precedence: Precedence,
    pub shards: u64,
    #[serde(deserialize_with = "amount::required")]
    pub vcpus: f64,
    #[serde(deserialize_with = "amount::required")]
    pub accelerators: f64,
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    pub bundle: String,
    #[serde(deserialize_with = "amount::required")]
    pub pull_gb: f64,
    #[serde(default)]
    pub builds: Option<Vec<String>>,
    #[serde(default)]
    pub yard: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub loaner: bool,
    #[serde(deserialize_with = "amount::required")]
    pub expected_s: f64,
    #[serde(deserialize_with = "amount::required")]
    pub savepoint_s: f64,
    #[serde(deserialize_with = "amount::required")]
    pub flush_s: f64,
    #[serde(default, deserialize_with = "amount::optional")]
    pub due_s: Option<f64>,
}

/// Priority of a job; the order is from the least to the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Precedence {
    Idle,
    Normal,
    High,
    Prod,
}

/// Answer to a submission and to a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    pub uid: String,
    pub status: String,
}

/// Answer to `GET /submissions/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    pub uid: String,
    pub status: String,
    pub done: u64,
    pub running: u64,
}

/// Body of any refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    pub error: String,
}

/// A worker's report: body of `POST /checkin`, and of the answers of `/do` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub perch: String,
    pub endpoint: String,
    pub build: String,
    pub yard: String,
    pub loaner: bool,
    pub tenure: u64,
    pub tally: u64,
    pub warrant: u64,
    #[serde(default, deserialize_with = "amount::optional")]
    pub recall_s: Option<f64>,
    #[serde(default)]
    pub shards: Vec<ShardReport>,
}

/// One task in a worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShardReport {
    pub shard: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default)]
    pub cause: Option<String>,
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    pub verb: String,
    pub shard: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "amount::optional"
    )]
    pub leeway_s: Option<f64>,
}

/// Answer to a check-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CheckinAnswer {
    pub warrant: u64,
    pub orders: Vec<Order>,
}

/// Body of `POST /do`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    pub warrant: u64,
    pub tenure: u64,
    pub orders: Vec<Order>,
}

/// Answer 421 to a check-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub steward: Option<String>,
}

/// Answer of `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalogue {
    pub builds: Vec<MachineType>,
}

/// One machine type of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    #[serde(deserialize_with = "amount::required")]
    pub vcpus: f64,
    #[serde(deserialize_with = "amount::required")]
    pub accelerators: f64,
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    #[serde(default, deserialize_with = "amount::optional")]
    pub local_gb: Option<f64>,
    #[serde(default, deserialize_with = "amount::optional")]
    pub fetch_gb_per_s: Option<f64>,
    #[serde(deserialize_with = "amount::required")]
    pub price: f64,
    #[serde(default, deserialize_with = "amount::optional")]
    pub spot_price: Option<f64>,
    #[serde(deserialize_with = "amount::required")]
    pub startup_s: f64,
    #[serde(default)]
    pub yards: Vec<String>,
}

/// Body of `POST /rentals`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RentalRequest {
    pub hire: String,
    pub build: String,
    pub yard: String,
    pub loaner: bool,
    pub number: u64,
}

/// Answer to a rental request, and body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Perches {
    pub perches: Vec<String>,
}

/// Answer of `GET /rentals`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    pub perches: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

/// One machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    pub uid: String,
    #[serde(default)]
    pub endpoint: Option<String>,
    pub build: String,
    pub yard: String,
    pub loaner: bool,
    pub status: String,
    #[serde(deserialize_with = "amount::required")]
    pub held_s: f64,
}

/// One key of the state service with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry<T> {
    pub k: String,
    pub value: T,
    pub stamp: u64,
}

/// Answer to a list of keys.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryList {
    pub entries: Vec<Entry<ciborium::Value>>,
    #[serde(default)]
    pub more: bool,
    pub epoch: u64,
}

/// A condition of a transaction: the key has this stamp (0: it does not exist).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct When {
    pub k: String,
    pub stamp: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        put: String,
        value: ciborium::Value,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tether: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    pub when: Vec<When>,
    pub apply: Vec<Change>,
}

/// Answer that carries the revision of the state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Epoch {
    pub epoch: u64,
}

/// Answer 409 to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TxnFailed {
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub life_ms: u64,
}

/// Answer to `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    pub tether: u64,
}

/// Answer of `GET /changes`.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    pub epoch: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub value: Option<ciborium::Value>,
    pub stamp: u64,
}

/// Turns a record into a CBOR value.
pub fn to_value<T: Serialize>(value: &T) -> ciborium::Value {
    ciborium::Value::serialized(value).unwrap_or(ciborium::Value::Null)
}

/// Reads a record out of a CBOR value.
pub fn from_value<T: serde::de::DeserializeOwned>(
    value: &ciborium::Value,
) -> Result<T, crate::DecodeError> {
    crate::from_cbor(&crate::to_cbor(value))
}
