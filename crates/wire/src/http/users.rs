//! Bodies that users of the scheduler send and receive.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Body of `POST /submissions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The job's id, chosen by its user; it makes the request idempotent.
    #[serde(rename = "uid")]
    pub id: String,
    /// The job class that service-level objectives are stated for.
    #[serde(rename = "workclass")]
    pub class: String,
    /// The team whose guaranteed share and limit apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// The kind of job: `batch`, `gang` or `daemon` (see [`Shape`]).
    pub shape: String,
    /// Scheduling priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// Number of tasks.
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
    /// The container image that a machine must have fetched before a task can start.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(rename = "pull_gb", deserialize_with = "amount::required")]
    pub image_gb: f64,
    /// The machine types that the tasks may run on; `None`: any.
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the tasks may run in; `None`: any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(deserialize_with = "amount::required")]
    pub expected_s: f64,
    /// Run time between two checkpoints of a task, in seconds; 0: tasks write no checkpoints.
    #[serde(rename = "savepoint_s", deserialize_with = "amount::required")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, in seconds.
    #[serde(rename = "flush_s", deserialize_with = "amount::required")]
    pub checkpoint_duration_s: f64,
    /// Time from the submission until the job should be complete, in seconds.
    #[serde(rename = "due_s", default, deserialize_with = "amount::optional")]
    pub deadline_s: Option<f64>,
}

/// The kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A job array: independent tasks, each of which runs to completion.
    Batch,
    /// Tasks that run at the same time: all of them are placed in one round, or none.
    Gang,
    /// A service: tasks that run until the job is cancelled.
    Daemon,
}

impl Shape {
    /// The kind of job that a submission asks for; `None` if its name is unknown.
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
    /// Best effort: uses resources that no other priority needs.
    Idle,
    /// The default.
    Normal,
    /// Above [`Priority::Normal`], below production.
    High,
    /// Production: the highest.
    Prod,
}

/// Response to a submission or a cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobAccepted {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    pub status: String,
}

/// Response to `GET /submissions/{id}`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: String,
    /// State of the job.
    pub status: String,
    /// Number of completed tasks; may lag behind.
    pub done: u64,
    /// Number of running tasks; may lag behind.
    pub running: u64,
}

/// Body of every error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Why the request is refused.
    pub error: String,
}
