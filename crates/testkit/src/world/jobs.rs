//! Jobs that users submit, and what the world has observed of them.

use super::World;
use crate::error::ScriptError;
use crate::machines::JobFacts;
use crate::script::Directive;
use crate::time::{from_seconds, Micros};
use grebewood_wire::http::{Priority, Submission};
use std::collections::BTreeSet;

/// Interval at which jobs that write checkpoints do so, in seconds.
const CHECKPOINT_INTERVAL_S: f64 = 10.0;
/// Size of the image of every job, in GB.
const IMAGE_GB: f64 = 0.5;

/// A job, and what has been observed of it.
pub(super) struct ObservedJob {
    pub(super) spec: Submission,
    /// Whether its user was told that it is accepted.
    pub(super) accepted: bool,
    /// Time at which its user was first told that it is cancelled.
    pub(super) cancelled_at: Option<Micros>,
    /// Time of its user's first cancellation request.
    pub(super) cancel_requested_at: Option<Micros>,
    /// Time of the first response that gave a status of the job.
    pub(super) known_since: Option<Micros>,
    /// Whether its user was told that it is done.
    pub(super) done: bool,
    /// Names of the tasks that completed.
    pub(super) completed: BTreeSet<String>,
    /// Number of starts of its tasks on machines.
    pub(super) starts: u64,
    /// Time of the last start of one of its tasks.
    pub(super) last_start: Micros,
    /// Time at which it was added to be submitted.
    pub(super) submitted_at: Micros,
    /// Time of the first start of one of its tasks.
    pub(super) first_start: Option<Micros>,
    /// Time at which a poll of it was last answered or a submission of it was last accepted; at first, the
    /// time at which it was added.
    pub(super) last_answered_at: Micros,
    /// Time at which its last task completed.
    pub(super) completed_at: Option<Micros>,
}

impl ObservedJob {
    /// Creates a job of which nothing has been observed.
    pub(super) fn new(spec: Submission, now: Micros) -> ObservedJob {
        ObservedJob {
            spec,
            accepted: false,
            cancelled_at: None,
            cancel_requested_at: None,
            known_since: None,
            done: false,
            completed: BTreeSet::new(),
            starts: 0,
            last_start: 0,
            submitted_at: now,
            first_start: None,
            last_answered_at: now,
            completed_at: None,
        }
    }

    /// Returns whether all of its tasks completed.
    pub(super) fn is_complete(&self) -> bool {
        self.completed.len() as u64 == self.spec.tasks
    }

    /// Returns whether its user was told that it is done or cancelled.
    pub(super) fn is_over(&self) -> bool {
        self.done || self.cancelled_at.is_some()
    }
}

/// Returns the job id in the name of a task; empty if the name is not that of a task.
pub(super) fn job_of(task_name: &str) -> &str {
    task_name.rsplit_once('/').map_or("", |(job, _)| job)
}

impl World {
    /// Adds the job that a `submit` directive describes, without submitting it.
    pub(super) fn add_job(&mut self, job: &str, directive: &Directive) -> Result<(), ScriptError> {
        let spec = submission(job, directive)?;
        let facts = JobFacts {
            cpus: spec.cpus,
            run_time: directive.duration("run", DEFAULT_RUN_S)?,
            checkpoint_time: from_seconds(spec.checkpoint_duration_s),
            writes_checkpoints: directive.flag("saves", false),
            always_fails: directive.flag("fails", false),
        };
        self.job_facts.insert(job.into(), facts);
        let observed = ObservedJob::new(spec, self.now);
        self.jobs.insert(job.into(), observed);
        Ok(())
    }
}

/// Run time of a task if the directive gives none, in seconds.
const DEFAULT_RUN_S: f64 = 5.0;

/// Returns the submission that a `submit` directive describes.
fn submission(job: &str, directive: &Directive) -> Result<Submission, ScriptError> {
    let saves = directive.flag("saves", false);
    let run_s = directive.number("run", DEFAULT_RUN_S)?;
    Ok(Submission {
        id: job.into(),
        class: directive.text("class", "work"),
        team: directive.text("team", "t"),
        shape: directive.text("shape", "batch"),
        priority: priority(&directive.text("priority", "normal")),
        tasks: directive.count("tasks", 1)?,
        cpus: directive.number("cpus", 2.0)?,
        gpus: directive.number("gpus", 0.0)?,
        memory_gb: directive.number("mem", 1.0)?,
        image: "img".into(),
        image_gb: IMAGE_GB,
        machine_types: directive.options.get("type").map(|name| vec![name.clone()]),
        zone: directive.options.get("zone").cloned(),
        one_zone: directive.flag("one_zone", false),
        spread: directive.flag("spread", false),
        spot: directive.flag("spot", true),
        expected_s: directive.number("expected", run_s)?,
        checkpoint_interval_s: if saves { CHECKPOINT_INTERVAL_S } else { 0.0 },
        checkpoint_duration_s: directive.number("flush", 2.0)?,
        deadline_s: match directive.options.contains_key("due") {
            true => Some(directive.number("due", 0.0)?),
            false => None,
        },
    })
}

fn priority(word: &str) -> Priority {
    match word {
        "idle" => Priority::Idle,
        "high" => Priority::High,
        "prod" => Priority::Prod,
        _ => Priority::Normal,
    }
}
