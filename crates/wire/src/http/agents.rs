//! Bodies that the agents on the machines send and receive.

use crate::amount;
use crate::protocol_names::{ExitCause, TaskStatus, Verb};
use serde::{Deserialize, Serialize};

/// Heartbeat of an agent with the status of its tasks. Body of `POST /checkin` and of the responses to `/do` and
/// `/inspect`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "perch")]
    pub machine: String,
    /// Network address at which the agent accepts commands.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// Type of the machine.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Incarnation of the agent, which increases whenever the agent's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat. Of two heartbeats, the one with the higher incarnation is newer; within
    /// an incarnation, the one with the higher sequence number.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the agent has received.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Time until the cloud reclaims the spot machine, in seconds, if a spot reclamation is announced.
    #[serde(rename = "recall_s", default, deserialize_with = "amount::optional")]
    pub reclaim_s: Option<f64>,
    /// All tasks on the machine. Exited attempts are listed until their exit is acknowledged.
    #[serde(rename = "shards", default)]
    pub tasks: Vec<ReportedTask>,
}

/// Status of one task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task: `<job id>/<number>`.
    #[serde(rename = "shard")]
    pub task_name: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    pub status: TaskStatus,
    /// Cause of the exit, if the attempt has exited.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether the attempt wrote a checkpoint when it was stopped.
    #[serde(rename = "saved", default)]
    pub checkpointed: Option<bool>,
}

/// Command to an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Action that the agent is to perform.
    pub verb: Verb,
    /// Name of the task: `<job id>/<number>`.
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
    /// Commands, to be executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of `POST /do`: commands that a controller sends to the agent without waiting for a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the controller that commands the machine.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Incarnation of the agent that the commands are for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, to be executed in order.
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
