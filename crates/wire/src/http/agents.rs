//! Bodies that the agents on the machines send and receive.

use crate::amount;
use crate::protocol_names::{ExitCause, TaskStatus, Verb};
use serde::{Deserialize, Serialize};

/// An agent's heartbeat with the status of its tasks: body of `POST /checkin`, and of the responses to
/// `/do` and `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "perch")]
    pub machine: String,
    /// Network address at which the agent accepts commands.
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
    /// Incarnation of the agent; it increases whenever the agent's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat. Of two heartbeats the one with the larger incarnation, then the
    /// larger sequence number, is the newer one.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Time until the cloud reclaims the spot machine, in seconds, if that is announced.
    #[serde(rename = "recall_s", default, deserialize_with = "amount::optional")]
    pub reclaim_s: Option<f64>,
    /// All tasks on the machine; exited ones are listed until their exit is acknowledged.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<ReportedTask>,
}

/// The status of one task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportedTask {
    /// The task's name: `<job>/<number>`.
    #[serde(rename = "shard")]
    pub task_name: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub status: TaskStatus,
    /// Why the attempt exited, if it did.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether the attempt wrote a checkpoint when it was stopped.
    #[serde(rename = "saved", default)]
    pub checkpointed: Option<bool>,
}

/// A command to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What the agent is to do.
    pub verb: Verb,
    /// The task's name: `<job>/<number>`.
    #[serde(rename = "shard")]
    pub task_name: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time that a stopped task has to write a checkpoint, in seconds.
    #[serde(
        rename = "leeway_s",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "amount::optional"
    )]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the controller that commands the machine.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Commands, to be carried out in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of `POST /do`: commands that are sent to the agent without waiting for its heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the controller that commands the machine.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// The agent incarnation that the commands are for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, to be carried out in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response 421 to a heartbeat: another controller commands the machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the controller that commands the machine, if it is known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
