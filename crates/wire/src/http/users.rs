//! Bodies that users of the scheduler send and receive.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Body of `POST /submissions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the job, chosen by the user. It makes the request idempotent.
    #[serde(rename = "uid")]
    pub id: String,
    /// Job class that the service-level objectives refer to.
    #[serde(rename = "workclass")]
    pub class: String,
    /// Team whose guaranteed share and limit apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// Kind of the job: `batch`, `gang` or `daemon` (see [`Shape`]).
    pub shape: String,
    /// Scheduling priority of the job.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks of the job.
    #[serde(rename = "shards")]
    pub tasks: u64,
    /// CPUs of each task.
    #[serde(rename = "vcpus", deserialize_with = "amount::required")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators", deserialize_with = "amount::required")]
    pub gpus: f64,
    /// Memory of each task, in gigabytes.
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    /// Container image that a machine must have fetched before a task can start.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "pull_gb", deserialize_with = "amount::required")]
    pub image_gb: f64,
    /// Machine types that the tasks may run on; `None`: any.
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    /// Zone that all tasks must run in; `None`: any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in the same zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Run time of a task that the user expects, in seconds.
    #[serde(deserialize_with = "amount::required")]
    pub expected_s: f64,
    /// Run time between two checkpoints of a task, in seconds; 0: tasks write no checkpoints.
    #[serde(rename = "savepoint_s", deserialize_with = "amount::required")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "flush_s", deserialize_with = "amount::required")]
    pub checkpoint_duration_s: f64,
    /// Time from the submission until the job should be complete, in seconds; `None`: no deadline.
    #[serde(rename = "due_s", default, deserialize_with = "amount::optional")]
    pub deadline_s: Option<f64>,
}

/// Kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Job array: independent tasks, each of which runs to completion.
    Batch,
    /// Gang: tasks that run at the same time. All of them are placed in one round, or none.
    Gang,
    /// Service: replicas that run until the job is cancelled.
    Daemon,
}

impl Shape {
    /// Returns the kind of job that a submission asks for; `None`: the submission names an unknown kind.
    pub fn of(submission: &Submission) -> Option<Shape> {
        match submission.shape.as_str() {
            "batch" => Some(Shape::Batch),
            "gang" => Some(Shape::Gang),
            "daemon" => Some(Shape::Daemon),
            _ => None,
        }
    }
}

/// Priority of a job, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Best effort: uses resources that no job of another priority needs.
    Idle,
    /// Default priority.
    Normal,
    /// Priority above [`Priority::Normal`] and below [`Priority::Prod`].
    High,
    /// Production, the highest priority.
    Prod,
}

/// Response to a submission or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Id of the job.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    pub status: String,
}

/// Response to `GET /submissions/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    pub status: String,
    /// Number of completed tasks, which may lag behind.
    pub done: u64,
    /// Number of running tasks, which may lag behind.
    pub running: u64,
}

/// Body of every error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Reason why the request is rejected.
    pub error: String,
}
