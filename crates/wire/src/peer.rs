//! Messages between controllers: one request, one answer, over `POST /peer`.

use crate::http::{ExitCause, TaskStatus};
use crate::records::{TeamAmount, TeamQuotaRecord};
use serde::{Deserialize, Serialize};

/// A question or hint to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the other one has contact with the state service, and which cancellations it
    /// has confirmed to users in the last `known_us` (`None`: ever).
    Contact {
        /// Who asks.
        from: String,
        /// Number of the question; 0 from a version that asks for no cancellations.
        #[serde(default)]
        question: u64,
        /// Time since which the asker knows all that the other one confirmed.
        #[serde(default)]
        known_us: Option<u64>,
        /// Whether the asker wants to know the limits of the other one's settings.
        #[serde(default, skip_serializing_if = "is_false")]
        limits: bool,
    },
    /// The leader's view of live jobs, for display: `(job, completed tasks, running tasks)`.
    /// Never trusted over state.
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

/// What the leader wants of the holder of a partition. Each message has a higher number than the one
/// before; a holder drops those that arrive out of order, and those of a leader that the state service
/// does not name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionOrders {
    /// The leader's name.
    pub from: String,
    /// Its fencing token.
    pub term: u64,
    /// Number of the message within the term.
    pub sequence: u64,
    /// The partition.
    pub partition: u64,
    /// The fencing token of the claim that is addressed.
    pub claim: u64,
    /// All tasks that may be on its machines, for a holder that does not know them yet.
    pub sync: Option<Vec<PlacedTask>>,
    /// Tasks to launch. They are on record, and repeated until they are accepted.
    pub launches: Vec<PlacedTask>,
    /// Tasks to stop, repeated until they have ended.
    pub stops: Vec<TaskStop>,
    /// Attempts whose outcome is on record.
    pub acknowledged: Vec<TaskAttempt>,
    /// Machines whose release was answered.
    #[serde(rename = "released")]
    pub terminated: Vec<String>,
    /// The version up to which the leader knows the states of machines.
    pub seen: u64,
    /// What the holder may place itself. `None` from a leader that grants no allotments.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Box<QuotaOrders>>,
}

/// What the holder of a partition may place on its own, out of its allotment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaOrders {
    /// The number of the allotment that is on record.
    pub number: u64,
    /// The revision of the limits under which it was granted: with later ones on record nothing may be
    /// started out of it.
    pub limits: u64,
    /// What may be used now: no more than what is on record. Teams that are not listed have nothing.
    pub allotment: Vec<TeamAmount>,
    /// Tasks that the holder is to place. They are repeated until it says that it has them.
    pub work: Vec<DelegatedWork>,
    /// Jobs whose tasks are to be given back, as far as they are not placed.
    #[serde(rename = "recalled")]
    pub revoked: Vec<String>,
    /// Machines on which nothing new is to be placed.
    pub reserved: Vec<String>,
    /// The number up to which the leader knows what the holder has placed.
    pub seen: u64,
}

/// Tasks of a job that the holder of a partition is to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedWork {
    /// The job.
    pub job: String,
    /// How urgent it is: lower numbers come first.
    pub level: u8,
    /// How long each task is expected to stay.
    pub expected_us: u64,
    /// The tasks.
    pub tasks: Vec<DelegatedTask>,
}

/// A task that the holder of a partition is to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedTask {
    /// Its number.
    #[serde(rename = "n")]
    pub task: u64,
    /// The machine that has room for it, or will have it soon, as far as the leader knows.
    #[serde(rename = "m")]
    pub machine: String,
    /// Whether it waits for the room that another task will leave there.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub waits: bool,
}

/// An attempt of a task. The tasks of a gang share the number of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskAttempt {
    /// The attempt's number, which no two jobs share.
    pub attempt: u64,
    /// The task's number.
    pub task: u64,
}

/// A task on a machine of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedTask {
    /// The machine.
    pub machine: String,
    /// The worker's session.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// The job.
    pub job: String,
    /// The task's number.
    pub task: u64,
    /// The attempt.
    pub attempt: u64,
    /// How long it is expected to stay.
    pub expected_us: u64,
}

impl PlacedTask {
    /// The attempt that it is.
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
    /// The attempt.
    pub id: TaskAttempt,
    /// Time that it has to save.
    pub grace_us: u64,
}

/// A holder's answer to [`PartitionOrders`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartitionReport {
    /// The fencing token of its claim.
    pub claim: u64,
    /// Whether it knows all tasks that may be on its machines. Until then it launches nothing.
    pub synced: bool,
    /// Attempts of the orders' launches that it has taken over.
    pub accepted: Vec<TaskAttempt>,
    /// Attempts that have ended, until the leader acknowledges them.
    pub outcomes: Vec<TaskOutcome>,
    /// States of machines that have changed since the version that the leader knows.
    pub machines: Vec<MachineState>,
    /// Machines whose release was answered lately.
    pub gone: Vec<String>,
    /// The version of the last of these states.
    pub version: u64,
    /// Check-ins answered since the claim.
    #[serde(rename = "checkins")]
    pub heartbeats: u64,
    /// What the holder has placed itself. `None` from a holder that places nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaReport>,
}

/// What a holder of an allotment has done with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// What it will use at most until it is granted more.
    pub held: Vec<TeamAmount>,
    /// Tasks that it is to place and has not said to be placed. All others that it was given are placed,
    /// or it will not place them.
    pub waiting: Vec<TaskRanges>,
    /// Tasks that it has placed and the leader does not know of, in the order of their numbers.
    pub placed: Vec<PlacedTask>,
    /// The number of the last of these.
    pub version: u64,
}

/// Some tasks of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRanges {
    /// The job.
    pub job: String,
    /// First task and the one after the last, for each range.
    pub ranges: Vec<(u64, u64)>,
}

fn is_false(flag: &bool) -> bool {
    !flag
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
    /// The attempt.
    pub attempt: u64,
    /// Its end.
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
    /// The worker reported its exit.
    Exited(ExitCause),
    /// It is proven that it is not on the machine and will not come there.
    Gone,
}

/// What the holder knows of a machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineState {
    /// Its name.
    pub machine: String,
    /// Where its worker takes direct commands.
    pub address: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The worker's session.
    #[serde(rename = "session")]
    pub incarnation: u64,
    /// Whether it counts for what the fleet can do.
    pub counts: bool,
    /// Whether answers reach it, so that tasks can be launched there.
    #[serde(rename = "hears")]
    pub receives_responses: bool,
    /// Whether it is to be returned.
    #[serde(rename = "closing")]
    pub cordoned: bool,
    /// Time until the cloud takes it, if that is announced.
    #[serde(rename = "recall_us")]
    pub reclaim_us: Option<u64>,
    /// Its tasks, as last reported.
    pub tasks: Vec<TaskState>,
}

/// What a worker last said of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// The attempt.
    pub id: TaskAttempt,
    /// What it is doing.
    pub status: TaskStatus,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// Who answers.
    pub member: String,
    /// Microseconds since the state service last answered it, if it ever did.
    #[serde(rename = "state_contact_age_us")]
    pub store_contact_age_us: Option<u64>,
    /// The highest fencing token it knows of.
    pub token: u64,
    /// The highest fencing token of a grant that it read from state or holds.
    #[serde(default)]
    pub grant: u64,
    /// What it has confirmed to users; not from a version that does not remember it.
    #[serde(default)]
    pub confirmed: Option<Confirmed>,
    /// Whether it understands partitions.
    #[serde(default)]
    pub partitions: bool,
    /// Whether it places tasks out of allotments.
    #[serde(default, skip_serializing_if = "is_false")]
    pub allotments: bool,
    /// The limits of its settings, if it was asked for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Vec<TeamQuotaRecord>>,
    /// The answer to [`PartitionOrders`].
    #[serde(default)]
    pub report: Option<PartitionReport>,
}

/// Cancellations that a node has confirmed to users.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The question that this answers.
    pub question: u64,
    /// For how long the node has remembered all that it told; `None`: the list is not whole.
    pub remembers_us: Option<u64>,
    /// Jobs, and how long ago a user was first told.
    pub jobs: Vec<(String, u64)>,
}
