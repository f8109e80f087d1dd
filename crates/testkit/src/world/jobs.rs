//! The jobs that users submit, and what has been seen of them.

use super::World;
use crate::error::ScriptError;
use crate::machines::JobFacts;
use crate::script::Directive;
use crate::time::{from_seconds, Micros};
use grebewood_wire::http::{Priority, Submission};
use std::collections::BTreeSet;

/// How often a job writes a checkpoint if it writes any, in seconds.
const CHECKPOINT_INTERVAL_S: f64 = 10.0;
/// The size of the image of every job, in GB.
const IMAGE_GB: f64 = 0.5;

/// A job, and what has been seen of it.
pub(super) struct ObservedJob {
    pub(super) spec: Submission,
    /// Its user was told that it is accepted.
    pub(super) accepted: bool,
    /// When its user was told that it is cancelled.
    pub(super) cancelled_at: Option<Micros>,
    /// When its user first asked to cancel it.
    pub(super) cancel_requested_at: Option<Micros>,
    /// When something positive was first said of it: accepted, or any status.
    pub(super) known_since: Option<Micros>,
    /// Its user was told that it is done.
    pub(super) done: bool,
    /// The tasks that completed.
    pub(super) completed: BTreeSet<String>,
    /// How often a task of it came onto a machine.
    pub(super) starts: u64,
    /// When a task of it last came onto a machine.
    pub(super) last_start: Micros,
    pub(super) submitted: Micros,
    /// When a task of it first came onto a machine.
    pub(super) first_start: Option<Micros>,
    /// When a question about it was last answered, or it was accepted.
    pub(super) answered: Micros,
    /// When its last task completed.
    pub(super) completed_at: Option<Micros>,
}

impl ObservedJob {
    /// A job of which nothing has been seen.
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
            submitted: now,
            first_start: None,
            answered: now,
            completed_at: None,
        }
    }

    /// Whether all of its tasks completed.
    pub(super) fn is_complete(&self) -> bool {
        self.completed.len() as u64 == self.spec.tasks
    }

    /// Whether its user was told that it is over.
    pub(super) fn is_over(&self) -> bool {
        self.done || self.cancelled_at.is_some()
    }
}

/// The job of a task; empty if the name is not that of a task.
pub(super) fn job_of(task_name: &str) -> &str {
    task_name.rsplit_once('/').map_or("", |(job, _)| job)
}

impl World {
    /// Adds the job of a `submit` directive, which is yet to be submitted.
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

/// How long a task runs if the directive does not say, in seconds.
const DEFAULT_RUN_S: f64 = 5.0;

/// What the user of a `submit` directive sends.
fn submission(job: &str, directive: &Directive) -> Result<Submission, ScriptError> {
    let saves = directive.flag("saves", false);
    let run_s = directive.number("run", DEFAULT_RUN_S)?;
    Ok(Submission {
        id: job.into(),
        class: directive.text("class", "work"),
        team: directive.text("owner", "t"),
        shape: directive.text("shape", "batch"),
        priority: priority(&directive.text("prec", "normal")),
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
