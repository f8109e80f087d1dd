//! Messages between controllers (peer messages): one request and one response, over `POST /peer`.
//!
//! A member is a controller of the cluster, by the name in its settings. A partition holder is the member that
//! has claimed a partition and places tasks on its machines.

use crate::http::{ExitCause, TaskStatus};
use crate::records::{TeamAmount, TeamQuotaRecord};
use serde::{Deserialize, Serialize};

/// Request to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the other controller has contact with the key-value store, and which cancellations it has
    /// acknowledged to users in the last `known_us` microseconds (`None`: at any time).
    Contact {
        /// Name of the controller that asks.
        from: String,
        /// Number of the request; 0: the sender is of a version that does not ask for cancellations.
        #[serde(default)]
        question: u64,
        /// Time in microseconds within which the sender needs the acknowledged cancellations. It already knows all
        /// that were acknowledged earlier.
        #[serde(default)]
        known_us: Option<u64>,
        /// Whether the sender requests the team limits in the other controller's settings.
        #[serde(rename = "limits", default, skip_serializing_if = "crate::is_false")]
        wants_limits: bool,
    },
    /// Reports the leader's view of live jobs, for display, as `(job, completed tasks, running tasks)`. The
    /// records in the key-value store take precedence.
    Progress {
        /// Name of the leader.
        from: String,
        /// Fencing token of the leader.
        token: u64,
        /// Progress of each job.
        jobs: Vec<(String, u64, u64)>,
    },
    /// Sends the leader's orders to the holder of a partition. Only members that support partitions receive it.
    Partition(PartitionOrders),
}

/// Orders of the leader to a partition holder. Each message has a higher sequence number than the one before. A
/// holder drops messages that arrive out of order and messages of a leader other than the one that the key-value
/// store names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionOrders {
    /// Name of the leader.
    pub from: String,
    /// Fencing token of the leader.
    pub term: u64,
    /// Sequence number of the message within the leader's term.
    pub sequence: u64,
    /// Number of the partition.
    pub partition: u64,
    /// Fencing token of the claim that the message is for.
    pub claim: u64,
    /// All tasks that may be on the partition's machines, for a holder that does not know them yet.
    pub sync: Option<Vec<PlacedTask>>,
    /// Tasks to launch. Their assignments are in the key-value store. They are repeated until the holder accepts
    /// them.
    pub launches: Vec<PlacedTask>,
    /// Tasks to stop, repeated until they have ended.
    pub stops: Vec<TaskStop>,
    /// Attempts whose outcome is in the key-value store.
    pub acknowledged: Vec<TaskAttempt>,
    /// Machines whose termination the cloud has confirmed.
    #[serde(rename = "released")]
    pub terminated: Vec<String>,
    /// Version of the machine states up to which the leader knows them (see [`PartitionReport::version`]).
    #[serde(rename = "seen")]
    pub last_known_version: u64,
    /// Quota grant and delegated tasks. `None`: the leader grants no quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Box<QuotaOrders>>,
}

/// Quota grant of a partition holder, and the tasks that it is to place within the grant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaOrders {
    /// Version of the quota grant that is in the key-value store.
    #[serde(rename = "number")]
    pub grant_version: u64,
    /// Revision of the team limits under which the quota was granted. Once later limits are in the key-value
    /// store, no task may be started under this grant.
    #[serde(rename = "limits")]
    pub limits_revision: u64,
    /// Amounts that may be used now, at most those in the key-value store. A team that is not listed may use
    /// nothing.
    #[serde(rename = "allotment")]
    pub grant: Vec<TeamAmount>,
    /// Tasks that are delegated to the holder. They are repeated until the holder acknowledges them.
    pub work: Vec<DelegatedWork>,
    /// Jobs whose unplaced tasks the holder must return to the leader.
    #[serde(rename = "recalled")]
    pub revoked: Vec<String>,
    /// Machines on which the holder must place no new tasks.
    pub reserved: Vec<String>,
    /// Number of the last placement of the holder that the leader knows (see [`QuotaReport::version`]).
    #[serde(rename = "seen")]
    pub last_known_version: u64,
}

/// Tasks of a job that the leader delegates to a partition holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedWork {
    /// Id of the job.
    pub job: String,
    /// Priority level: tasks with lower levels are placed first.
    pub level: u8,
    /// Expected run time of each task, in microseconds.
    pub expected_us: u64,
    /// Delegated tasks of the job.
    pub tasks: Vec<DelegatedTask>,
}

/// Task that a partition holder is to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// Number of the task.
    #[serde(rename = "n")]
    pub task: u64,
    /// Machine that has, or will soon have, room for the task, as far as the leader knows.
    #[serde(rename = "m")]
    pub machine: String,
    /// Whether the task waits for resources that another task will free on that machine.
    #[serde(rename = "w", default, skip_serializing_if = "crate::is_false")]
    pub awaits_resources: bool,
}

/// Attempt of a task. The tasks of a gang have the same attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// Number of the attempt, which is unique across jobs.
    pub attempt: u64,
    /// Number of the task.
    pub task: u64,
}

/// Task on a machine of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// Name of the machine.
    pub machine: String,
    /// Incarnation of the agent.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// Id of the job.
    pub job: String,
    /// Number of the task.
    pub task: u64,
    /// Number of the attempt.
    pub attempt: u64,
    /// Expected run time of the task, in microseconds.
    pub expected_us: u64,
}

impl PlacedTask {
    /// Returns the attempt that was placed.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }
}

/// Order to stop an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStop {
    /// Name of the machine.
    pub machine: String,
    /// Attempt to stop.
    pub id: TaskAttempt,
    /// Time that the task has to write a checkpoint, in microseconds.
    pub grace_us: u64,
}

/// Response of a partition holder to [`PartitionOrders`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionReport {
    /// Fencing token of the holder's claim.
    pub claim: u64,
    /// Whether the holder knows all tasks that may be on its machines. Until then it launches no task.
    pub synced: bool,
    /// Attempts among the launches in the orders that the holder has accepted.
    pub accepted: Vec<TaskAttempt>,
    /// Outcomes of attempts that have ended, repeated until the leader acknowledges them.
    pub outcomes: Vec<TaskOutcome>,
    /// States of machines that have changed after the version that the leader knows.
    pub machines: Vec<MachineState>,
    /// Machines whose termination was confirmed recently.
    #[serde(rename = "gone")]
    pub terminated: Vec<String>,
    /// Version of the last of these machine states.
    pub version: u64,
    /// Number of heartbeats that the holder has answered since its claim.
    #[serde(rename = "checkins")]
    pub heartbeats: u64,
    /// Use of the quota grant. `None`: the holder does not place tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaReport>,
}

/// Use of a quota grant by its holder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Largest amounts that the holder will use until it is granted more.
    #[serde(rename = "held")]
    pub usage_bound: Vec<TeamAmount>,
    /// Delegated tasks that are not placed yet. All other tasks that were delegated to the holder are placed, or
    /// the holder will not place them.
    pub waiting: Vec<TaskRanges>,
    /// Tasks that the holder has placed and the leader does not know yet, ordered by the number of their
    /// placement.
    pub placed: Vec<PlacedTask>,
    /// Number of the last of these placements.
    pub version: u64,
}

/// Tasks of a job, as ranges of their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRanges {
    /// Id of the job.
    pub job: String,
    /// First task of each range and the one after its last task.
    pub ranges: Vec<(u64, u64)>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskOutcome {
    /// Name of the machine.
    pub machine: String,
    /// Id of the job.
    pub job: String,
    /// Number of the task.
    pub task: u64,
    /// Number of the attempt.
    pub attempt: u64,
    /// End of the attempt.
    pub end: TaskEnd,
}

impl TaskOutcome {
    /// Returns the attempt that ended.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The agent has reported the exit of the attempt.
    Exited(ExitCause),
    /// The attempt is proven absent from the machine and will not be started there.
    Gone,
}

/// State of a machine, as its partition holder knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    /// Name of the machine.
    pub machine: String,
    /// Network address at which the machine's agent accepts commands.
    pub address: String,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Incarnation of the agent.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// Whether the machine counts as capacity of the fleet.
    #[serde(rename = "counts")]
    pub counts_as_capacity: bool,
    /// Whether responses reach the machine's agent, so that tasks can be launched there.
    #[serde(rename = "hears")]
    pub receives_responses: bool,
    /// Whether the machine is cordoned, to be terminated.
    #[serde(rename = "closing")]
    pub cordoned: bool,
    /// Time until the cloud reclaims the spot machine, in microseconds, if a spot reclamation is announced.
    #[serde(rename = "recall_us")]
    pub reclaim_us: Option<u64>,
    /// Status of the machine's tasks as of the last heartbeat.
    pub tasks: Vec<TaskState>,
}

/// Status of an attempt as of the last heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// Attempt.
    pub id: TaskAttempt,
    /// State of the attempt.
    pub status: TaskStatus,
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// Name of the controller that answers.
    pub member: String,
    /// Time since the key-value store last answered this controller, in microseconds; `None`: it has not answered
    /// yet.
    #[serde(rename = "state_contact_age_us")]
    pub store_contact_age_us: Option<u64>,
    /// Highest fencing token that the controller knows.
    pub token: u64,
    /// Highest fencing token of a leader that the controller has read from the key-value store or has had itself.
    #[serde(default)]
    #[serde(rename = "grant")]
    pub highest_leader_token: u64,
    /// Cancellations that the controller has acknowledged to users; `None`: its version does not keep a list of
    /// them, or it was not asked for them.
    #[serde(default)]
    pub confirmed: Option<ConfirmedCancellations>,
    /// Whether the controller supports partitions.
    #[serde(default)]
    #[serde(rename = "partitions")]
    pub supports_partitions: bool,
    /// Whether the controller supports quota grants.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "allotments")]
    pub supports_quota_grants: bool,
    /// Team limits in the controller's settings, if it was asked for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Vec<TeamQuotaRecord>>,
    /// Response to [`PartitionOrders`], if the request was one.
    #[serde(default)]
    pub report: Option<PartitionReport>,
}

/// Cancellations that a controller has acknowledged to users.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// Number of the request that this answers.
    pub question: u64,
    /// Time before the response within which no acknowledgement is missing from the list, apart from those older
    /// than the request asked for, in microseconds; `None`: the list is incomplete.
    #[serde(rename = "remembers_us")]
    pub complete_for_us: Option<u64>,
    /// Jobs, each with the time since a user was first told of its cancellation, in microseconds.
    pub jobs: Vec<(String, u64)>,
}
