//! HTTP bodies. Fields have the standard terms; the protocol's words are their serde names.

use crate::amount;
pub use crate::protocol_names::{ExitCause, TaskStatus, Verb};
use serde::{Deserialize, Serialize};

/// Body of `POST /submissions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by its user.
    #[serde(rename = "uid")]
    pub id: String,
    /// The job class that objectives are stated for.
    #[serde(rename = "workclass")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// `batch`, `gang` or `daemon`.
    pub shape: String,
    /// Its priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "shards")]
    pub tasks: u64,
    /// CPUs of each task.
    #[serde(rename = "vcpus", deserialize_with = "amount::required")]
    pub cpus: f64,
    /// Accelerators of each task.
    #[serde(rename = "accelerators", deserialize_with = "amount::required")]
    pub gpus: f64,
    /// Memory of each task.
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    /// The image that a machine needs before a task can start.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "pull_gb", deserialize_with = "amount::required")]
    pub image_gb: f64,
    /// The machine types that it may run on; `None`: any.
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that it may run in; `None`: any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(deserialize_with = "amount::required")]
    pub expected_s: f64,
    /// Progress between two checkpoints; 0: a task never saves.
    #[serde(rename = "savepoint_s", deserialize_with = "amount::required")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "flush_s", deserialize_with = "amount::required")]
    pub checkpoint_duration_s: f64,
    /// When the job should be complete, measured from its submission.
    #[serde(rename = "due_s", default, deserialize_with = "amount::optional")]
    pub deadline_s: Option<f64>,
}

/// What kind of job it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    Batch,
    /// Tasks that run at the same time: all of them are placed in one round, or none.
    Gang,
    /// Tasks that run until the job is cancelled.
    Daemon,
}

impl Shape {
    /// The shape of a submission, unless its name is unknown.
    pub fn of(s: &Submission) -> Option<Shape> {
        match s.shape.as_str() {
            "batch" => Some(Shape::Batch),
            "gang" => Some(Shape::Gang),
            "daemon" => Some(Shape::Daemon),
            _ => None,
        }
    }
}

/// Priority of a job; the order is from the least to the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Fills what others leave.
    Idle,
    /// The usual one.
    Normal,
    /// Urgent.
    High,
    /// Production: before all others.
    Prod,
}

/// Answer to a submission and to a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// Its state.
    pub status: String,
}

/// Answer to `GET /submissions/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// Its state.
    pub status: String,
    /// Completed tasks, for display.
    pub done: u64,
    /// Running tasks, for display.
    pub running: u64,
}

/// Body of any refusal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it is refused.
    pub error: String,
}

/// A worker's report: body of `POST /checkin`, and of the answers of `/do` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "perch")]
    pub machine: String,
    /// Where the worker takes direct commands.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The machine's type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Session of the worker; a new one begins whenever its lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the report. The report with the larger session and sequence is the newer one.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Time until the cloud takes the machine back, if that is announced.
    #[serde(default, deserialize_with = "amount::optional")]
    #[serde(rename = "recall_s")]
    pub reclaim_s: Option<f64>,
    /// All tasks on the machine, exited ones until they are acknowledged.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<ReportedTask>,
}

/// One task in a worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportedTask {
    /// The task's name: `<job>/<number>`.
    #[serde(rename = "shard")]
    pub task_name: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// What it is doing.
    pub status: TaskStatus,
    /// Why it exited.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved as it was stopped.
    #[serde(default)]
    #[serde(rename = "saved")]
    pub checkpointed: Option<bool>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What is to be done.
    pub verb: Verb,
    /// The task's name: `<job>/<number>`.
    #[serde(rename = "shard")]
    pub task_name: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time that a stopped task has to save.
    #[serde(
        rename = "leeway_s",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "amount::optional"
    )]
    pub grace_s: Option<f64>,
}

/// Answer to a check-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of who commands.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// To be carried out in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of `POST /do`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The fencing token of who commands.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// The session that the commands are for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// To be carried out in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Answer 421 to a check-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller that leads, if it is known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Answer of `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalogue {
    /// All machine types.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// One machine type of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "vcpus", deserialize_with = "amount::required")]
    pub cpus: f64,
    /// Accelerators of a machine.
    #[serde(rename = "accelerators", deserialize_with = "amount::required")]
    pub gpus: f64,
    /// Memory of a machine.
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    /// Room for cached images.
    #[serde(default, deserialize_with = "amount::optional")]
    pub local_gb: Option<f64>,
    /// How fast images are fetched.
    #[serde(default, deserialize_with = "amount::optional")]
    pub fetch_gb_per_s: Option<f64>,
    /// Price per hour of an ordinary machine.
    #[serde(deserialize_with = "amount::required")]
    pub price: f64,
    /// Price per hour of a spot machine, if there are any.
    #[serde(default, deserialize_with = "amount::optional")]
    pub spot_price: Option<f64>,
    /// Published boot time.
    #[serde(rename = "startup_s", deserialize_with = "amount::required")]
    pub boot_s: f64,
    /// Zones in which it can be rented.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Body of `POST /rentals`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request: a repeated one rents nothing twice.
    #[serde(rename = "hire")]
    pub name: String,
    /// The machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// How many machines are wanted.
    pub number: u64,
}

/// Answer to a rental request, and body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of machines.
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

/// Answer of `GET /rentals`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of their names.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether the list goes on.
    #[serde(default)]
    pub more: bool,
}

/// One machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "uid")]
    pub id: String,
    /// Where its worker takes direct commands.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Time since the rental request.
    #[serde(rename = "held_s", deserialize_with = "amount::required")]
    pub age_s: f64,
}

/// One key of the state service with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue<T> {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    pub value: T,
    /// Revision of the key's last change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// Answer to a list of keys.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValueList {
    /// Keys and values in order.
    pub entries: Vec<KeyValue<ciborium::Value>>,
    /// Whether the list goes on.
    #[serde(default)]
    pub more: bool,
    /// Revision of the state service as of the list.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this stamp (0: it does not exist).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The stamp that it must have.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// The key.
        put: String,
        /// Its new value.
        value: ciborium::Value,
        /// The lease that it is attached to.
        #[serde(rename = "tether", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        delete: String,
    },
}

impl Operation {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Operation::Put { put, .. } => put,
            Operation::Delete { delete } => delete,
        }
    }
}

/// Body of `POST /txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub when: Vec<Condition>,
    /// Changes, all of which are made or none.
    pub apply: Vec<Operation>,
}

/// Answer that carries the revision of the state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionApplied {
    /// The revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Answer 409 to a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionConflict {
    /// Keys whose conditions do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Answer to `POST /leases`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "tether")]
    pub id: u64,
}

/// Answer of `GET /changes`.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which the changes are told.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes in order.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Deserialize)]
pub struct WatchEvent {
    /// The key, if it was written.
    #[serde(default)]
    pub put: Option<String>,
    /// The key, if it was removed.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value written.
    #[serde(default)]
    pub value: Option<ciborium::Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
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
