//! Assignments of tasks to machines, from the placement decision until the task is proven gone.

use crate::state::bin_packing::MachineResources;
use crate::state::jobs::{parse_task_name, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_quota::Resources;
use grebewood_wire::http::{Command, Submission, TaskStatus, Verb};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use log::warn;

/// Value of [`Assignment::launched`] for a task that an earlier leader or holder may have launched.
const LAUNCHED_EARLIER: (u64, u64) = (0, 0);

/// Divisor of the time that a task has run, which gives the least remaining time. It applies to tasks that exceed or
/// nearly reach their expected run time.
const OVERRUN_DIVISOR: u64 = 5;

/// Status of an assignment as the agent last reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedStatus {
    /// Not reported yet.
    Never,
    /// Fetching the image of the task.
    Fetching,
    /// Running.
    Running,
    /// Writing a checkpoint because the task is being stopped.
    Checkpointing,
}

/// A decision to stop a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time that the task gets to write a checkpoint, in microseconds.
    pub grace: Micros,
    /// Time of the decision, in microseconds.
    pub since: Micros,
    /// Time at which the stop command was last sent, in microseconds.
    pub sent_at: Option<Micros>,
}

impl Stop {
    /// Creates a stop that is decided now and has not been sent yet.
    pub(crate) fn new(grace: Micros, now: Micros) -> Self {
        Stop {
            grace,
            since: now,
            sent_at: None,
        }
    }
}

/// A task assigned to a machine. An assignment exists from the placement decision until the task is proven gone.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Index of the job in the job table; [`JobIndex::MAX`] if the job is not known.
    pub job: JobIndex,
    /// Id of the job.
    pub job_id: String,
    /// Number of the task within the job.
    pub task: u64,
    /// Number of the attempt, which no other assignment has.
    pub attempt: u64,
    /// Agent incarnation that the assignment is meant for.
    pub incarnation: u64,
    /// Number of the assignment page that records the assignment.
    pub page: u64,
    /// First version of the page that holds the assignment. The task may be launched once this version is durable.
    pub page_version: u64,
    /// CPUs that the task takes.
    pub cpus: f64,
    /// Accelerators that the task takes.
    pub gpus: f64,
    /// Memory that the task takes, in GB.
    pub memory_gb: f64,
    /// Team that owns the job; empty if the job is not known.
    pub team: String,
    /// Zone of the machine.
    pub zone: String,
    /// Incarnation and sequence number of the heartbeat whose response carried the launch; `None` if the task was
    /// not launched. The sequence number is 0 if the holder of the machine's partition sends the launch. An
    /// assignment read back from records counts as launched by an earlier leader or holder and has `(0, 0)`.
    pub launched: Option<(u64, u64)>,
    /// Has two meanings. On the leader, for a task that it placed: whether the holder of the machine's partition has
    /// accepted the assignment. On a holder, for a task that it placed itself: whether the placement is durable and is
    /// reported to the leader or queued for a report.
    pub delivered: bool,
    /// Whether a partition holder placed the task. The assignment is then recorded on a page of that holder and
    /// counts against its quota grant.
    pub placed_by_holder: bool,
    /// Status that the agent last reported.
    pub observed_status: ObservedStatus,
    /// Time of the placement decision, in microseconds.
    pub decided_at: Micros,
    /// Time at which the task was first reported as running, in microseconds.
    pub started_at: Option<Micros>,
    /// Time that the task is expected to stay on the machine, in microseconds, without fetching its image.
    pub expected_stay: Micros,
    /// Set once the task is to be stopped.
    pub stop: Option<Stop>,
}

/// Data from which an [`Assignment`] is created.
pub(crate) struct TaskOnMachine<'a> {
    /// Task in the form of messages between controllers.
    pub task: &'a PlacedTask,
    /// Index of the job in the job table, if the job is known.
    pub job: Option<JobIndex>,
    /// Submission of the job, if the job is known.
    pub spec: Option<&'a Submission>,
    /// Zone of the machine.
    pub zone: String,
    /// Current time, in microseconds.
    pub now: Micros,
}

impl Assignment {
    /// Creates an assignment of a task that is being placed on a machine or is known to be there. The other fields
    /// have the values that a partition holder needs for a task placed by the leader: the leader keeps the record,
    /// and no status was observed yet.
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
            placed_by_holder: false,
            observed_status: ObservedStatus::Never,
            decided_at: of.now,
            started_at: None,
            expected_stay: task.expected_us,
            stop: None,
        }
    }

    /// Returns whether the assignment was read back from records, so that an earlier leader or holder may have
    /// launched the task.
    pub fn is_recovered(&self) -> bool {
        self.launched == Some(LAUNCHED_EARLIER)
    }

    /// Returns the numbers of the attempt and of the task.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }

    /// Returns the name of the task in messages: `<job>/<number>`.
    pub(crate) fn task_name(&self) -> String {
        format!("{}/{}", self.job_id, self.task)
    }

    /// Applies the status that the agent reports for the task.
    pub fn observe(&mut self, status: &TaskStatus, now: Micros) {
        self.observed_status = match status {
            TaskStatus::Running => ObservedStatus::Running,
            TaskStatus::Checkpointing => ObservedStatus::Checkpointing,
            TaskStatus::Fetching | TaskStatus::Exited => ObservedStatus::Fetching,
            TaskStatus::Unknown(status) => {
                warn!(task = self.task_name(), status:? = status; "agent reported an unknown task status");
                ObservedStatus::Fetching
            }
        };
        if self.observed_status == ObservedStatus::Running && self.started_at.is_none() {
            // The start time of a recovered task is unknown: the task is assumed to have run for half of its
            // expected stay.
            let ran = match self.is_recovered() {
                true => self.expected_stay / 2,
                false => 0,
            };
            self.started_at = Some(now.saturating_sub(ran));
        }
    }

    /// Returns the machine resources that the task takes.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Returns the amount that counts against the team's limit.
    pub fn amount(&self) -> Resources {
        Resources::of(self.cpus, self.gpus)
    }

    /// Returns whether the task may be on the machine, because its launch may have been sent.
    pub fn may_be_on_machine(&self) -> bool {
        self.launched.is_some()
    }

    /// Returns whether this controller launched the task and the agent has not shown yet that it received the
    /// launch.
    pub(crate) fn is_launch_unconfirmed(&self) -> bool {
        self.may_be_on_machine()
            && self.observed_status == ObservedStatus::Never
            && self.stop.is_none()
            && !self.is_recovered()
    }

    /// Returns the expected remaining time on the machine, in microseconds. A task that has not started yet also
    /// needs `fetch`, the time to fetch its image.
    pub fn remaining_time(&self, now: Micros, fetch: Micros) -> Micros {
        let Some(started) = self.started_at else {
            return self.expected_stay + fetch;
        };
        let ran = now.saturating_sub(started);
        self.expected_stay
            .saturating_sub(ran)
            .max(ran / OVERRUN_DIVISOR)
    }

    /// Returns the command that launches the task.
    pub(crate) fn launch_command(&self) -> Command {
        Command {
            verb: Verb::Launch,
            task_name: self.task_name(),
            attempt: self.attempt,
            grace_s: None,
        }
    }

    /// Returns the command that stops the task, if the task is to be stopped and may be on its machine. Records that
    /// the command is sent now.
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

/// Returns the command that stops an attempt of a task, which gets `grace` microseconds to write a checkpoint.
pub(crate) fn stop_command(job: &str, task: u64, attempt: u64, grace: Micros) -> Command {
    Command {
        verb: Verb::Stop,
        task_name: format!("{job}/{task}"),
        attempt,
        grace_s: Some(grace as f64 / SECOND as f64),
    }
}

/// Returns an assignment in the form of messages between controllers.
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

/// An exited attempt. The agent lists it until the exit is acknowledged, which happens once the outcome is durable.
#[derive(Clone, Debug, PartialEq)]
pub struct ExitedAttempt {
    /// Name of the task: `<job>/<number>`.
    pub task_name: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Record versions that must be durable before the exit is acknowledged.
    pub prerequisites: Vec<(RecordId, u64)>,
    /// Index of the job in the job table, if the job is known.
    pub job: Option<JobIndex>,
}

impl ExitedAttempt {
    /// Returns the numbers of the attempt and of the task, if the name of the task can be parsed.
    pub fn id(&self) -> Option<TaskAttempt> {
        let (_, task) = parse_task_name(&self.task_name)?;
        Some(TaskAttempt {
            attempt: self.attempt,
            task,
        })
    }
}
