//! Messages between controllers: one request and one response, over `POST /peer`.

use crate::http::{ExitCause, TaskStatus};
use crate::records::{TeamAmount, TeamQuotaRecord};
use serde::{Deserialize, Serialize};

/// A request to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the other controller has contact with the key-value store, and which cancellations it
    /// has acknowledged to users in the last `known_us` microseconds (`None`: ever).
    Contact {
        /// Name of the controller that asks.
        from: String,
        /// Number of the request; 0 from a version that asks for no cancellations.
        #[serde(default)]
        question: u64,
        /// Age of what the sender already knows, in microseconds: it knows all that was acknowledged before.
        #[serde(default)]
        known_us: Option<u64>,
        /// Whether the sender wants to know the team limits in the other controller's settings.
        #[serde(rename = "limits", default, skip_serializing_if = "crate::is_false")]
        wants_limits: bool,
    },
    /// The leader's view of live jobs, for display: `(job, completed tasks, running tasks)`. The records in
    /// the store take precedence.
    Progress {
        /// The leader's name.
        from: String,
        /// Its fencing token.
        token: u64,
        /// Progress of each job.
        jobs: Vec<(String, u64, u64)>,
    },
    /// The leader's orders to the holder of a partition. Sent only to members that understand them.
    Partition(PartitionOrders),
}

/// What the leader wants of a partition holder. Each message has a higher sequence number than the one
/// before; a holder drops those that arrive out of order, and those of a leader that the store does not name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionOrders {
    /// The leader's name.
    pub from: String,
    /// Its fencing token.
    pub term: u64,
    /// Sequence number of the message within the leader's term.
    pub sequence: u64,
    /// The partition.
    pub partition: u64,
    /// The fencing token of the claim that the message is for.
    pub claim: u64,
    /// All tasks that may be on its machines, for a holder that does not know them yet.
    pub sync: Option<Vec<PlacedTask>>,
    /// Tasks to launch. They are in the store, and repeated until the holder accepts them.
    pub launches: Vec<PlacedTask>,
    /// Tasks to stop, repeated until they have ended.
    pub stops: Vec<TaskStop>,
    /// Attempts whose outcome is in the store.
    pub acknowledged: Vec<TaskAttempt>,
    /// Machines whose termination the cloud has confirmed.
    #[serde(rename = "released")]
    pub terminated: Vec<String>,
    /// The version up to which the leader knows the states of the machines.
    #[serde(rename = "seen")]
    pub last_known_version: u64,
    /// What the holder may place itself. `None` from a leader that grants no quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Box<QuotaOrders>>,
}

/// What a partition holder may place on its own, out of its quota grant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaOrders {
    /// The number of the quota grant that is in the store.
    #[serde(rename = "number")]
    pub grant_version: u64,
    /// The revision of the team limits under which it was granted: once later ones are in the store, nothing
    /// may be started out of it.
    #[serde(rename = "limits")]
    pub limits_revision: u64,
    /// What may be used now, at most what is in the store. Teams that are not listed may use nothing.
    #[serde(rename = "allotment")]
    pub grant: Vec<TeamAmount>,
    /// Tasks that the holder is to place. They are repeated until it acknowledges them.
    pub work: Vec<DelegatedWork>,
    /// Jobs whose tasks the holder is to hand back to the leader, as far as they are not placed.
    #[serde(rename = "recalled")]
    pub revoked: Vec<String>,
    /// Machines on which nothing new is to be placed.
    pub reserved: Vec<String>,
    /// The number up to which the leader knows what the holder has placed.
    #[serde(rename = "seen")]
    pub last_known_version: u64,
}

/// Tasks of a job that the leader delegates to a partition holder to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedWork {
    /// The job.
    pub job: String,
    /// Priority level: lower numbers are placed first.
    pub level: u8,
    /// Expected run time of each task, in microseconds.
    pub expected_us: u64,
    /// The tasks.
    pub tasks: Vec<DelegatedTask>,
}

/// A task that a partition holder is to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// The task's number.
    #[serde(rename = "n")]
    pub task: u64,
    /// The machine that has room for the task, or will have it soon, as far as the leader knows.
    #[serde(rename = "m")]
    pub machine: String,
    /// Whether the task waits for resources that another task will free on that machine.
    #[serde(rename = "w", default, skip_serializing_if = "crate::is_false")]
    pub awaits_resources: bool,
}

/// An attempt of a task. The tasks of a gang share the number of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The attempt's number, which is unique across jobs.
    pub attempt: u64,
    /// The task's number.
    pub task: u64,
}

/// A task on a machine of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// The machine.
    pub machine: String,
    /// The agent's incarnation.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// The job.
    pub job: String,
    /// The task's number.
    pub task: u64,
    /// The attempt's number.
    pub attempt: u64,
    /// Expected run time, in microseconds.
    pub expected_us: u64,
}

impl PlacedTask {
    /// The attempt that was placed.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }
}

/// A task that is to be stopped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStop {
    /// The machine.
    pub machine: String,
    /// The attempt's number.
    pub id: TaskAttempt,
    /// Time that the task has to write a checkpoint, in microseconds.
    pub grace_us: u64,
}

/// A partition holder's response to [`PartitionOrders`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionReport {
    /// The fencing token of the holder's claim.
    pub claim: u64,
    /// Whether the holder knows all tasks that may be on its machines. Until then it launches nothing.
    pub synced: bool,
    /// Attempts of the orders' launches that the holder has accepted.
    pub accepted: Vec<TaskAttempt>,
    /// Attempts that have ended, listed until the leader acknowledges them.
    pub outcomes: Vec<TaskOutcome>,
    /// States of machines that have changed since the version that the leader knows.
    pub machines: Vec<MachineState>,
    /// Machines whose termination was confirmed recently.
    #[serde(rename = "gone")]
    pub terminated: Vec<String>,
    /// The version of the last of these states.
    pub version: u64,
    /// Heartbeats answered since the claim.
    #[serde(rename = "checkins")]
    pub heartbeats: u64,
    /// What the holder has placed itself. `None` from a holder that places nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaReport>,
}

/// What the holder of a quota grant has done with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// What the holder will use at most until it is granted more.
    #[serde(rename = "held")]
    pub usage_bound: Vec<TeamAmount>,
    /// Delegated tasks that are not placed yet. All other tasks delegated to the holder are placed, or the
    /// holder will not place them.
    pub waiting: Vec<TaskRanges>,
    /// Tasks that the holder has placed and the leader does not know of yet, in the order of their numbers.
    pub placed: Vec<PlacedTask>,
    /// The number of the last of these.
    pub version: u64,
}

/// Tasks of a job, as ranges of their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRanges {
    /// The job.
    pub job: String,
    /// The first task and the one after the last of each range.
    pub ranges: Vec<(u64, u64)>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskOutcome {
    /// The machine.
    pub machine: String,
    /// The job.
    pub job: String,
    /// The task's number.
    pub task: u64,
    /// The attempt's number.
    pub attempt: u64,
    /// The reason of the end.
    pub end: TaskEnd,
}

impl TaskOutcome {
    /// The attempt that ended.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The agent sent the attempt's exit.
    Exited(ExitCause),
    /// It is proven that the attempt is not on the machine and will not be started there.
    Gone,
}

/// What a partition holder knows of a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    /// Its name.
    pub machine: String,
    /// Network address at which its agent accepts commands.
    pub address: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The agent's incarnation.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// Whether the machine counts towards the capacity of the fleet.
    #[serde(rename = "counts")]
    pub counts_as_capacity: bool,
    /// Whether responses reach its agent, so that tasks can be launched there.
    #[serde(rename = "hears")]
    pub receives_responses: bool,
    /// Whether the machine is cordoned, to be terminated.
    #[serde(rename = "closing")]
    pub cordoned: bool,
    /// Time until the cloud reclaims the spot machine, in microseconds, if that is announced.
    #[serde(rename = "recall_us")]
    pub reclaim_us: Option<u64>,
    /// Its tasks, as of the last heartbeat.
    pub tasks: Vec<TaskState>,
}

/// The status of an attempt as of the last heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// The attempt's number.
    pub id: TaskAttempt,
    /// State of the attempt.
    pub status: TaskStatus,
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Name of the controller that answers.
    pub member: String,
    /// Time since the store last answered this controller, in microseconds; `None`: it never did.
    #[serde(rename = "state_contact_age_us")]
    pub store_contact_age_us: Option<u64>,
    /// The highest fencing token that the controller knows of.
    pub token: u64,
    /// The highest fencing token of a partition claim that it read from the store or holds.
    #[serde(default)]
    #[serde(rename = "grant")]
    pub highest_leader_token: u64,
    /// Cancellations that it has acknowledged to users; `None` from a version that does not remember them.
    #[serde(default)]
    pub confirmed: Option<ConfirmedCancellations>,
    /// Whether the controller supports partitions.
    #[serde(default)]
    #[serde(rename = "partitions")]
    pub supports_partitions: bool,
    /// Whether the controller places tasks out of quota grants.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "allotments")]
    pub supports_quota_grants: bool,
    /// The team limits in its settings, if it was asked for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Vec<TeamQuotaRecord>>,
    /// The response to [`PartitionOrders`].
    #[serde(default)]
    pub report: Option<PartitionReport>,
}

/// Cancellations that a controller has acknowledged to users.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// Number of the request that this answers.
    pub question: u64,
    /// For how long the controller has remembered all acknowledgements, in microseconds; `None`: the list is
    /// incomplete.
    #[serde(rename = "remembers_us")]
    pub complete_for_us: Option<u64>,
    /// Jobs, and the time since a user was first told, in microseconds.
    pub jobs: Vec<(String, u64)>,
}
