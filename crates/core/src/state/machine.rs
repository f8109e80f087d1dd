//! What is known of a machine, and of the tasks assigned to it.

use crate::state::bin_packing::MachineResources;
use crate::state::jobs::{parse_task, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::{Heartbeat, MachineType, Submission, TaskStatus};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use log::{info, warn};
use std::collections::VecDeque;

/// A worker waits so long for an answer to its report before it goes to another node.
pub(crate) const ANSWER_TIME: Micros = 4 * SECOND;

/// What a worker last said of an assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedStatus {
    /// Nothing yet.
    Never,
    Fetching,
    Running,
    Checkpointing,
}

/// Why and how a task is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    pub grace: Micros,
    pub since: Micros,
    /// When the command was last sent directly.
    pub sent: Option<Micros>,
}

/// A task given to a machine: from its decision until proof that it is gone.
#[derive(Clone, Debug)]
pub struct Assignment {
    pub job: JobIndex,
    pub job_id: String,
    pub task: u64,
    pub attempt: u64,
    pub incarnation: u64,
    pub page: u64,
    /// Number of the page's change that holds it; it may be launched once that is durable.
    pub written: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub team: String,
    pub zone: String,
    /// The (session, sequence) of the check-in whose answer carried the launch. An assignment read
    /// back from state counts as launched by an older holder: `(0, 0)`.
    pub launched: Option<(u64, u64)>,
    /// Whether the holder of the machine's partition has taken it over; to a holder, whether the leader
    /// has been told, or is to be, that it placed this.
    pub delivered: bool,
    /// Whether the holder of a partition placed it, so that it is on a page of that holder and counts in
    /// its allotment.
    pub by_holder: bool,
    pub seen: ObservedStatus,
    /// When it was decided.
    pub decided: Micros,
    /// When it was first seen running.
    pub started: Option<Micros>,
    pub expected: Micros,
    pub stop: Option<Stop>,
}

/// What is known of a task when it is put on a machine.
pub(crate) struct TaskOnMachine<'a> {
    pub task: &'a PlacedTask,
    /// The place of its job, if it is known.
    pub job: Option<JobIndex>,
    /// Its job's description, if it is known.
    pub spec: Option<&'a Submission>,
    pub zone: String,
    pub now: Micros,
}

impl Assignment {
    /// A task that is put on a machine, or known to be there. The rest is what a holder needs of a task that
    /// the leader has placed: its record is the leader's, and nothing was seen of it.
    pub(crate) fn new(of: TaskOnMachine) -> Assignment {
        let TaskOnMachine { task, spec, .. } = of;
        Assignment {
            job: of.job.unwrap_or(JobIndex::MAX),
            job_id: task.job.clone(),
            task: task.task,
            attempt: task.attempt,
            incarnation: task.incarnation,
            page: 0,
            written: 0,
            cpus: spec.map_or(0.0, |s| s.cpus),
            gpus: spec.map_or(0.0, |s| s.gpus),
            memory: spec.map_or(0.0, |s| s.memory_gb),
            team: spec.map_or(String::new(), |s| s.team.clone()),
            zone: of.zone,
            launched: None,
            delivered: true,
            by_holder: false,
            seen: ObservedStatus::Never,
            decided: of.now,
            started: None,
            expected: task.expected_us,
            stop: None,
        }
    }

    /// Whether an earlier leader launched it, as far as known.
    pub fn recovered(&self) -> bool {
        self.launched == Some((0, 0))
    }

    /// Which attempt of which task it is.
    pub fn id(&self) -> TaskAttempt {
        TaskAttempt {
            attempt: self.attempt,
            task: self.task,
        }
    }

    /// Takes in what the worker says of it.
    pub fn observe(&mut self, status: &TaskStatus, now: Micros) {
        self.seen = match status {
            TaskStatus::Running => ObservedStatus::Running,
            TaskStatus::Checkpointing => ObservedStatus::Checkpointing,
            TaskStatus::Fetching | TaskStatus::Exited => ObservedStatus::Fetching,
            TaskStatus::Unknown(word) => {
                warn!("{}/{}: {word:?} as status", self.job_id, self.task);
                ObservedStatus::Fetching
            }
        };
        if self.seen == ObservedStatus::Running && self.started.is_none() {
            // When a task of an earlier leader began is not known: halfway, say.
            let ran = if self.recovered() {
                self.expected / 2
            } else {
                0
            };
            self.started = Some(now.saturating_sub(ran));
        }
    }

    /// What it takes of its machine.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory,
        }
    }

    /// What it takes of its team's limit.
    pub fn amount(&self) -> Resources {
        Resources::of(self.cpus, self.gpus)
    }

    /// Whether the worker may have it.
    pub fn may_exist(&self) -> bool {
        self.launched.is_some()
    }

    /// Time it will still take, by its expected run time and fetch.
    pub fn remaining(&self, now: Micros, fetch: Micros) -> Micros {
        match self.started {
            // A task that overruns is expected to run for a further fifth of what it has run.
            Some(at) => self
                .expected
                .saturating_sub(now.saturating_sub(at))
                .max(now.saturating_sub(at) / 5),
            None => self.expected + fetch,
        }
    }
}

/// An exited attempt to be removed from the reports once its outcome is durable.
#[derive(Clone, Debug, PartialEq)]
pub struct ExitedAttempt {
    pub task_name: String,
    pub attempt: u64,
    /// Records, with their change numbers, that must be durable first.
    pub after: Vec<(RecordId, u64)>,
    pub job: Option<JobIndex>,
}

impl ExitedAttempt {
    /// Which attempt of which task it was.
    pub fn id(&self) -> Option<TaskAttempt> {
        let (_, task) = parse_task(&self.task_name)?;
        Some(TaskAttempt {
            attempt: self.attempt,
            task,
        })
    }
}

/// A task that the holder of a partition is to place.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedTask {
    pub job: JobIndex,
    pub task: u64,
    /// CPUs, accelerators and memory.
    pub room: MachineResources,
}

/// A machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    /// The partition whose holder looks after it; none: this node does itself.
    pub partition: Option<PartitionId>,
    /// Whether that holder counts on it.
    pub counted_by_holder: bool,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory: f64,
    pub incarnation: u64,
    pub sequence: u64,
    /// Whether it has reported under our token.
    pub knows_token: bool,
    /// The newest check-in, by (session, sequence). The answer to a direct command may overtake it.
    pub heartbeat: (u64, u64),
    /// When it last checked in: only then can anything be launched.
    pub last_heartbeat: Micros,
    /// When it last checked in or answered a direct command.
    pub last_contact_at: Micros,
    /// When we last answered a check-in of it: its lease ends no later than a lease after that.
    pub last_response: Micros,
    /// When the cloud takes it.
    pub reclaim_at: Option<Micros>,
    pub assignments: Vec<Assignment>,
    /// CPUs, accelerators and memory that the assignments take, and the tasks that its holder is to place.
    pub used: MachineResources,
    /// Tasks that the holder of its partition is to place, probably here.
    pub planned: Vec<PlannedTask>,
    /// The leader has the machine's partition place nothing new on it.
    pub reserved: bool,
    pub exited_attempts: Vec<ExitedAttempt>,
    pub idle_since: Micros,
    /// Images it has, the most recently used last, with their sizes.
    pub images: VecDeque<(String, f64)>,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    /// To be returned: nothing is placed on it any more.
    pub cordoned: bool,
    /// It is closing only to save its price: it takes work again if that waits for room.
    pub draining: bool,
    /// Jobs whose tasks failed in a row without a success, a name for each task.
    pub errors: Vec<String>,
    /// It is closing because tasks failed here.
    pub faulty: bool,
    /// Nothing is placed on it before this time, after it refused a task.
    pub quarantined_until: Micros,
    /// Idle work is kept off until then: room is being made for work of higher priority.
    pub kept_until: Micros,
    /// When the cloud's list first showed it.
    pub listed: Option<Micros>,
    /// Whether our answers reach it, as far as its reports show. Reports may arrive from a machine
    /// that no answer reaches, and copies of reports from one that is gone: neither gets work.
    pub receives_responses: bool,
    /// Since when it reports without hearing.
    pub unreachable_since: Option<Micros>,
}

/// Failures of one job's tasks in a row that a machine is blamed for.
const FAILURES_OF_ONE_JOB: usize = 4;

/// Most failures that are remembered of a machine.
const MOST_FAILURES: usize = 8;

/// What failures on a machine say of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureAttribution {
    /// Nothing yet.
    None,
    /// Tasks of one job alone fail there: the job may be at fault.
    ByOneJob,
    /// Tasks of different jobs fail there.
    ByTwoJobs,
}

impl Machine {
    pub fn new(report: &Heartbeat, machine_type: Option<&MachineType>, now: Micros) -> Self {
        Machine {
            name: report.machine.clone(),
            partition: None,
            counted_by_holder: false,
            address: report.address.clone(),
            machine_type: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            cpus: machine_type.map_or(0.0, |b| b.cpus),
            gpus: machine_type.map_or(0.0, |b| b.gpus),
            memory: machine_type.map_or(0.0, |b| b.memory_gb),
            incarnation: 0,
            sequence: 0,
            knows_token: false,
            heartbeat: (0, 0),
            last_heartbeat: now,
            last_contact_at: now,
            last_response: now,
            reclaim_at: None,
            assignments: Vec::new(),
            used: MachineResources::default(),
            planned: Vec::new(),
            reserved: false,
            exited_attempts: Vec::new(),
            idle_since: now,
            images: VecDeque::new(),
            cache_gb: machine_type.and_then(|b| b.local_gb).unwrap_or(0.0),
            fetch_gb_per_s: machine_type
                .and_then(|b| b.fetch_gb_per_s)
                .filter(|r| *r > 0.0)
                .unwrap_or(1.0),
            cordoned: false,
            draining: false,
            errors: Vec::new(),
            faulty: false,
            quarantined_until: 0,
            kept_until: 0,
            listed: None,
            receives_responses: false,
            unreachable_since: None,
        }
    }

    /// Takes in what a report says of the machine itself, which until now was known from state only, or
    /// whose type was not known: without its type's room it would stay empty for good.
    pub(crate) fn describe(
        &mut self,
        report: &Heartbeat,
        machine_type: Option<&MachineType>,
        now: Micros,
    ) {
        let known = Machine::new(report, machine_type, now);
        *self = Machine {
            partition: self.partition,
            counted_by_holder: self.counted_by_holder,
            assignments: std::mem::take(&mut self.assignments),
            used: self.used,
            planned: std::mem::take(&mut self.planned),
            reserved: self.reserved,
            exited_attempts: std::mem::take(&mut self.exited_attempts),
            incarnation: self.incarnation,
            sequence: self.sequence,
            knows_token: self.knows_token,
            cordoned: self.cordoned,
            draining: self.draining,
            listed: self.listed,
            receives_responses: self.receives_responses,
            unreachable_since: self.unreachable_since,
            ..known
        };
    }

    /// All that it has.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory,
        }
    }

    /// Free CPUs, accelerators and memory. Everything counts from assignment to proof.
    pub fn free(&self) -> MachineResources {
        self.resources() - self.used
    }

    /// Sums up anew what the assignments take, after one came or went.
    pub(crate) fn recount(&mut self) {
        let taken = self.assignments.iter().map(Assignment::resources);
        let taken = taken.chain(self.planned.iter().map(|planned| planned.room));
        self.used = taken.fold(MachineResources::default(), |sum, task| sum + task);
    }

    /// The holder of its partition is to place a task, probably here.
    pub(crate) fn plan(&mut self, planned: PlannedTask) {
        self.planned.push(planned);
        self.recount();
    }

    /// The task is placed, or will not be.
    pub(crate) fn unplan(&mut self, job: JobIndex, task: u64) {
        self.planned.retain(|p| (p.job, p.task) != (job, task));
        self.recount();
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    /// Notes that the image was used.
    pub fn use_image(&mut self, image: &str, gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push_back((image.to_string(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.cache_gb && self.images.len() > 1 {
            if let Some((_, gb)) = self.images.pop_front() {
                total -= gb;
            }
        }
    }

    /// Expected time to fetch the image, 0 if it is here.
    pub fn fetch_time(&self, image: &str, gb: f64) -> Micros {
        if self.has_image(image) {
            0
        } else {
            (gb / self.fetch_gb_per_s * SECOND as f64) as Micros
        }
    }

    /// Notes that a task of the job failed here. Failures of a `suspect` job say nothing of the machine.
    pub(crate) fn note_failure(&mut self, job: &str, suspect: impl Fn(&str) -> bool) {
        self.errors.push(job.to_string());
        self.forget_failures(suspect);
        let excess = self.errors.len().saturating_sub(MOST_FAILURES);
        self.errors.drain(..excess);
    }

    /// Forgets the failures of suspect jobs.
    pub(crate) fn forget_failures(&mut self, suspect: impl Fn(&str) -> bool) {
        self.errors.retain(|id| !suspect(id));
    }

    /// What the failures since the last success say of the machine.
    pub(crate) fn blame(&self) -> FailureAttribution {
        let first = self.errors.first();
        if self.errors.iter().any(|id| Some(id) != first) {
            return FailureAttribution::ByTwoJobs;
        }
        match self.errors.len() >= FAILURES_OF_ONE_JOB {
            true => FailureAttribution::ByOneJob,
            false => FailureAttribution::None,
        }
    }

    /// Takes no new tasks any more, and is returned once it is empty.
    pub(crate) fn retire_as_faulty(&mut self) {
        warn!("{}: faulty, to be returned", self.name);
        self.cordoned = true;
        self.draining = false;
        self.faulty = true;
    }

    /// Takes tasks again: it was not at fault.
    pub(crate) fn keep_after_all(&mut self) {
        info!(
            "{}: not faulty, jobs that failed there fail elsewhere too",
            self.name
        );
        self.cordoned = false;
        self.faulty = false;
    }

    /// Whether new tasks may be placed here.
    pub fn usable(&self, now: Micros, silence: Micros) -> bool {
        self.receives_responses && self.counts(now, silence)
    }

    /// Whether the decider counts on it: also while it has yet to show that our answers reach it.
    /// A new leader, for whom that is all machines, once rented a second fleet meanwhile.
    pub fn counts(&self, now: Micros, silence: Micros) -> bool {
        let uncertain = self
            .unreachable_since
            .map_or(0, |at| now.saturating_sub(at));
        !self.cordoned
            && uncertain <= ANSWER_TIME
            && self.reclaim_at.is_none()
            && self.incarnation > 0
            && self.quarantined_until <= now
            && now.saturating_sub(self.last_heartbeat) <= silence
    }
}

#[cfg(test)]
mod tests;

/// A task on a machine of a partition, as a message has it.
pub(crate) fn placed_task(machine: &str, a: &Assignment) -> PlacedTask {
    PlacedTask {
        machine: machine.to_string(),
        incarnation: a.incarnation,
        job: a.job_id.clone(),
        task: a.task,
        attempt: a.attempt,
        expected_us: a.expected,
    }
}
