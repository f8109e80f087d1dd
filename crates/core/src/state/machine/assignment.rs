//! A task that is assigned to a machine, from the decision until it is proven gone.

use crate::state::bin_packing::MachineResources;
use crate::state::jobs::{parse_task_name, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_quota::Resources;
use grebewood_wire::http::{Command, Submission, TaskStatus, Verb};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use log::warn;

/// What stands for the heartbeat that carried the launch if an earlier leader launched the task.
const LAUNCHED_EARLIER: (u64, u64) = (0, 0);

/// A task that overruns is expected to run for a further part of what it has run: one in so many.
const OVERRUN_PART: u64 = 5;

/// What an agent last said of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedStatus {
    /// Nothing yet.
    Never,
    /// It fetches the task's image.
    Fetching,
    /// The task runs.
    Running,
    /// The task writes a checkpoint because it is to be stopped.
    Checkpointing,
}

/// How a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time that the task gets to checkpoint, in microseconds.
    pub grace: Micros,
    /// When it was decided, in microseconds.
    pub since: Micros,
    /// When the command was last sent, in microseconds.
    pub sent_at: Option<Micros>,
}

impl Stop {
    /// A stop that is decided now and was not sent yet.
    pub(crate) fn new(grace: Micros, now: Micros) -> Self {
        Stop {
            grace,
            since: now,
            sent_at: None,
        }
    }
}

/// A task given to a machine: from its decision until proof that it is gone.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The place of the job in the job table; [`JobIndex::MAX`] if the job is not known.
    pub job: JobIndex,
    /// The job's id.
    pub job_id: String,
    /// The task's number within the job.
    pub task: u64,
    /// The number of the attempt, which no other assignment has.
    pub attempt: u64,
    /// The agent incarnation that it is meant for.
    pub incarnation: u64,
    /// The page of assignments that it is recorded on.
    pub page: u64,
    /// The version of the page that first holds it; it may be launched once that is durable.
    pub page_version: u64,
    /// CPUs that it takes.
    pub cpus: f64,
    /// Accelerators that it takes.
    pub gpus: f64,
    /// Memory that it takes, in GB.
    pub memory_gb: f64,
    /// The team that owns the job; empty if the job is not known.
    pub team: String,
    /// The machine's zone.
    pub zone: String,
    /// Incarnation and sequence number of the heartbeat whose response carried the launch. An assignment read back from
    /// records counts as launched by an earlier leader or holder: `(0, 0)`.
    pub launched: Option<(u64, u64)>,
    /// To the leader, whether the holder of the machine's partition has taken it over; to a holder, whether the leader
    /// has been told, or is to be, that it was placed.
    pub delivered: bool,
    /// Whether the holder of a partition placed it, so that it is on a page of that holder and counts against its quota
    /// grant.
    pub by_holder: bool,
    /// What the agent last said of it.
    pub observed_status: ObservedStatus,
    /// When it was decided, in microseconds.
    pub decided_at: Micros,
    /// When it was first seen running, in microseconds.
    pub started_at: Option<Micros>,
    /// How long it is expected to stay on the machine, in microseconds, without fetching its image.
    pub expected_stay: Micros,
    /// Set once the task is to be stopped.
    pub stop: Option<Stop>,
}

/// What is known of a task when it is put on a machine.
pub(crate) struct TaskOnMachine<'a> {
    /// The task, as messages between controllers have it.
    pub task: &'a PlacedTask,
    /// The place of its job in the job table, if it is known.
    pub job: Option<JobIndex>,
    /// Its job's description, if it is known.
    pub spec: Option<&'a Submission>,
    /// The machine's zone.
    pub zone: String,
    /// The time, in microseconds.
    pub now: Micros,
}

impl Assignment {
    /// A task that is put on a machine, or known to be there. The other fields are what a partition holder needs of a
    /// task that the leader has placed: its record is the leader's, and nothing was observed of it.
    pub(crate) fn new(of: TaskOnMachine) -> Assignment {
        let TaskOnMachine { task, spec, .. } = of;
        Assignment {
            job: of.job.unwrap_or(JobIndex::MAX),
            job_id: task.job.clone(),
            task: task.task,
            attempt: task.attempt,
            incarnation: task.incarnation,
            page: 0,
            page_version: 0,
            cpus: spec.map_or(0.0, |spec| spec.cpus),
            gpus: spec.map_or(0.0, |spec| spec.gpus),
            memory_gb: spec.map_or(0.0, |spec| spec.memory_gb),
            team: spec.map_or(String::new(), |spec| spec.team.clone()),
            zone: of.zone,
            launched: None,
            delivered: true,
            by_holder: false,
            observed_status: ObservedStatus::Never,
            decided_at: of.now,
            started_at: None,
            expected_stay: task.expected_us,
            stop: None,
        }
    }

    /// Whether an earlier leader or holder launched it, as far as known.
    pub fn is_recovered(&self) -> bool {
        self.launched == Some(LAUNCHED_EARLIER)
    }

    /// Which attempt of which task it is.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }

    /// The task's name in messages: `<job>/<number>`.
    pub(crate) fn task_name(&self) -> String {
        format!("{}/{}", self.job_id, self.task)
    }

    /// Applies what the agent says of it.
    pub fn observe(&mut self, status: &TaskStatus, now: Micros) {
        self.observed_status = match status {
            TaskStatus::Running => ObservedStatus::Running,
            TaskStatus::Checkpointing => ObservedStatus::Checkpointing,
            TaskStatus::Fetching | TaskStatus::Exited => ObservedStatus::Fetching,
            TaskStatus::Unknown(status) => {
                warn!(task = self.task_name(), status:? = status; "unknown status of a task");
                ObservedStatus::Fetching
            }
        };
        if self.observed_status == ObservedStatus::Running && self.started_at.is_none() {
            // When a task of an earlier leader began is not known: it is taken to be halfway.
            let ran = match self.is_recovered() {
                true => self.expected_stay / 2,
                false => 0,
            };
            self.started_at = Some(now.saturating_sub(ran));
        }
    }

    /// What it takes of its machine.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// What it takes of its team's limit.
    pub fn amount(&self) -> Resources {
        Resources::of(self.cpus, self.gpus)
    }

    /// Whether the task may be on the machine.
    pub fn may_be_on_machine(&self) -> bool {
        self.launched.is_some()
    }

    /// Whether it was launched without any sign yet that the agent got the launch.
    pub(crate) fn is_launch_unconfirmed(&self) -> bool {
        self.may_be_on_machine()
            && self.observed_status == ObservedStatus::Never
            && self.stop.is_none()
            && !self.is_recovered()
    }

    /// Time that it will still take, in microseconds, by its expected run time and `fetch`, the time to fetch its image.
    pub fn remaining_time(&self, now: Micros, fetch: Micros) -> Micros {
        let Some(started) = self.started_at else {
            return self.expected_stay + fetch;
        };
        let ran = now.saturating_sub(started);
        self.expected_stay.saturating_sub(ran).max(ran / OVERRUN_PART)
    }

    /// The command that launches it.
    pub(crate) fn launch_command(&self) -> Command {
        Command {
            verb: Verb::Launch,
            task_name: self.task_name(),
            attempt: self.attempt,
            grace_s: None,
        }
    }

    /// The command that stops it, if it is to be stopped and may be on its machine; notes that the command is sent.
    pub(crate) fn send_stop(&mut self, now: Micros) -> Option<Command> {
        if !self.may_be_on_machine() {
            return None;
        }
        let stop = self.stop.as_mut()?;
        stop.sent_at = Some(now);
        let grace = stop.grace;
        Some(stop_command(&self.job_id, self.task, self.attempt, grace))
    }
}

/// The command that stops an attempt of a task, which gets `grace` microseconds to checkpoint.
pub(crate) fn stop_command(job: &str, task: u64, attempt: u64, grace: Micros) -> Command {
    Command {
        verb: Verb::Stop,
        task_name: format!("{job}/{task}"),
        attempt,
        grace_s: Some(grace as f64 / SECOND as f64),
    }
}

/// A task on a machine of a partition, as messages between controllers have it.
pub(crate) fn placed_task(machine: &str, assignment: &Assignment) -> PlacedTask {
    PlacedTask {
        machine: machine.to_string(),
        incarnation: assignment.incarnation,
        job: assignment.job_id.clone(),
        task: assignment.task,
        attempt: assignment.attempt,
        expected_us: assignment.expected_stay,
    }
}

/// An exited attempt, which the agent lists until its exit is acknowledged. It is acknowledged once its outcome is
/// durable.
#[derive(Clone, Debug, PartialEq)]
pub struct ExitedAttempt {
    /// The task's name: `<job>/<number>`.
    pub task_name: String,
    /// The number of the attempt.
    pub attempt: u64,
    /// Records, with their versions, that must be durable first.
    pub prerequisites: Vec<(RecordId, u64)>,
    /// The place of the job in the job table, if it is known.
    pub job: Option<JobIndex>,
}

impl ExitedAttempt {
    /// Which attempt of which task it was.
    pub fn id(&self) -> Option<TaskAttempt> {
        let (_, task) = parse_task_name(&self.task_name)?;
        Some(TaskAttempt {
            attempt: self.attempt,
            task,
        })
    }
}
