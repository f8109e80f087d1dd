//! What is known of a machine and of the tasks assigned to it.

use crate::state::bin_packing::MachineResources;
use crate::state::jobs::JobIndex;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{Heartbeat, MachineType};
use log::{info, warn};
use std::collections::VecDeque;

pub(crate) use crate::state::machine::assignment::{placed_task, stop_command, TaskOnMachine};
pub use crate::state::machine::assignment::{Assignment, ExitedAttempt, ObservedStatus, Stop};

pub mod assignment;

/// How long an agent waits for the response to its heartbeat before it turns to another controller, in microseconds.
pub(crate) const RESPONSE_TIMEOUT_US: Micros = 4 * SECOND;

/// Failures in a row of one job's tasks alone after which the machine may be at fault.
const FAILURES_OF_ONE_JOB: usize = 4;

/// Most failures that are remembered of a machine.
const MAX_FAILURES: usize = 8;

/// Image fetch rate of machine types that publish none, in GB per second.
const DEFAULT_FETCH_RATE: f64 = 1.0;

/// A task that the holder of a partition is to place.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedTask {
    /// The place of its job in the job table.
    pub job: JobIndex,
    /// The task's number within the job.
    pub task: u64,
    /// What it takes of a machine.
    pub resources: MachineResources,
}

/// A machine. Times are in microseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name, which no other machine ever has.
    pub name: String,
    /// The partition whose holder looks after it; without one this controller does itself.
    pub partition: Option<PartitionId>,
    /// Whether that holder counts it as able to take tasks.
    pub counted_by_holder: bool,
    /// Where the agent takes direct commands; empty while the machine is known from records only.
    pub address: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs that it has.
    pub cpus: f64,
    /// Accelerators that it has.
    pub gpus: f64,
    /// Memory that it has, in GB.
    pub memory_gb: f64,
    /// The agent's incarnation, by its newest status.
    pub incarnation: u64,
    /// The number of the newest status within the incarnation.
    pub sequence: u64,
    /// Whether its agent has shown that it knows our fencing token.
    pub knows_token: bool,
    /// Incarnation and sequence number of the newest heartbeat, which the response to a direct command may overtake.
    pub newest_heartbeat: (u64, u64),
    /// When the last heartbeat came: only the response to one can launch anything.
    pub last_heartbeat: Micros,
    /// When the last heartbeat or response to a direct command came.
    pub last_contact_at: Micros,
    /// When we last answered a heartbeat of it: its agent's lease expires no later than a lease duration after that.
    pub last_response: Micros,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Micros>,
    /// The tasks assigned to it.
    pub assignments: Vec<Assignment>,
    /// What the assignments take, and the tasks that its partition's holder is to place.
    pub used: MachineResources,
    /// Tasks that the holder of its partition is to place, probably here.
    pub planned: Vec<PlannedTask>,
    /// Whether the leader has the machine's partition place nothing new on it.
    pub reserved: bool,
    /// Exits that are not acknowledged yet.
    pub exited_attempts: Vec<ExitedAttempt>,
    /// Since when it has had no assignment.
    pub idle_since: Micros,
    /// Images in its cache with their sizes in GB, the most recently used last.
    pub images: VecDeque<(String, f64)>,
    /// The size of its image cache, in GB.
    pub cache_gb: f64,
    /// How fast it fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// To be terminated: nothing new is placed on it.
    pub cordoned: bool,
    /// It is cordoned only to save its price: it takes tasks again if some wait for free resources.
    pub draining: bool,
    /// Ids of the jobs whose tasks failed here since the last success, one for each failure.
    pub failed_jobs: Vec<String>,
    /// It is cordoned because tasks failed here.
    pub faulty: bool,
    /// Nothing is placed on it before this time, after it refused a task.
    pub quarantined_until: Micros,
    /// Tasks of idle priority are kept off until then: tasks are preempted here for work of higher priority.
    pub idle_excluded_until: Micros,
    /// When the cloud's list first showed it.
    pub first_listed_at: Option<Micros>,
    /// Whether our responses reach it, as far as its heartbeats show. Heartbeats may arrive from a machine that no
    /// response reaches, and copies of heartbeats from one that is gone: neither gets tasks.
    pub receives_responses: bool,
    /// Since when it sends heartbeats without a sign that our responses reach it.
    pub unreachable_since: Option<Micros>,
}

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
    /// A machine that sent its first heartbeat, without anything on it.
    pub fn new(heartbeat: &Heartbeat, machine_type: Option<&MachineType>, now: Micros) -> Self {
        Machine {
            name: heartbeat.machine.clone(),
            partition: None,
            counted_by_holder: false,
            address: heartbeat.address.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            cpus: machine_type.map_or(0.0, |of| of.cpus),
            gpus: machine_type.map_or(0.0, |of| of.gpus),
            memory_gb: machine_type.map_or(0.0, |of| of.memory_gb),
            incarnation: 0,
            sequence: 0,
            knows_token: false,
            newest_heartbeat: (0, 0),
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
            cache_gb: machine_type.and_then(|of| of.local_gb).unwrap_or(0.0),
            fetch_gb_per_s: machine_type
                .and_then(|of| of.fetch_gb_per_s)
                .filter(|rate| *rate > 0.0)
                .unwrap_or(DEFAULT_FETCH_RATE),
            cordoned: false,
            draining: false,
            failed_jobs: Vec::new(),
            faulty: false,
            quarantined_until: 0,
            idle_excluded_until: 0,
            first_listed_at: None,
            receives_responses: false,
            unreachable_since: None,
        }
    }

    /// Applies what a heartbeat says of the machine itself if until now it was known from records only, or its type was
    /// not known: without the resources of its type it would stay empty for good.
    pub(crate) fn apply_description(
        &mut self,
        heartbeat: &Heartbeat,
        machine_type: Option<&MachineType>,
        now: Micros,
    ) {
        let described = Machine::new(heartbeat, machine_type, now);
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
            first_listed_at: self.first_listed_at,
            receives_responses: self.receives_responses,
            unreachable_since: self.unreachable_since,
            ..described
        };
    }

    /// All that it has.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Its free resources. An assignment counts from its decision until it is proven gone.
    pub fn free(&self) -> MachineResources {
        self.resources() - self.used
    }

    /// Sums up anew what is used, after an assignment or a planned task came or went.
    pub(crate) fn recompute_used(&mut self) {
        let assigned = self.assignments.iter().map(Assignment::resources);
        let planned = self.planned.iter().map(|planned| planned.resources);
        self.used = assigned
            .chain(planned)
            .fold(MachineResources::default(), |sum, task| sum + task);
    }

    /// The holder of its partition is to place a task, probably here.
    pub(crate) fn add_planned_task(&mut self, planned: PlannedTask) {
        self.planned.push(planned);
        self.recompute_used();
    }

    /// The task is placed, or will not be.
    pub(crate) fn remove_planned_task(&mut self, job: JobIndex, task: u64) {
        self.planned
            .retain(|planned| (planned.job, planned.task) != (job, task));
        self.recompute_used();
    }

    /// Whether the image is in its cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(cached, _)| cached == image)
    }

    /// Notes that the image of this size was used: it stays in the cache for longest.
    pub fn use_image(&mut self, image: &str, gb: f64) {
        self.images.retain(|(cached, _)| cached != image);
        self.images.push_back((image.to_string(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.cache_gb && self.images.len() > 1 {
            if let Some((_, gb)) = self.images.pop_front() {
                total -= gb;
            }
        }
    }

    /// Expected time to fetch the image, in microseconds; 0 if it is in the cache.
    pub fn fetch_time(&self, image: &str, gb: f64) -> Micros {
        match self.has_image(image) {
            true => 0,
            false => (gb / self.fetch_gb_per_s * SECOND as f64) as Micros,
        }
    }

    /// Notes that a task of the job failed here. Failures of a job that is itself at fault say nothing of the machine.
    pub(crate) fn note_failure(&mut self, job: &str, is_faulty_job: impl Fn(&str) -> bool) {
        self.failed_jobs.push(job.to_string());
        self.forget_failures(is_faulty_job);
        let excess = self.failed_jobs.len().saturating_sub(MAX_FAILURES);
        self.failed_jobs.drain(..excess);
    }

    /// Forgets the failures of jobs that are themselves at fault.
    pub(crate) fn forget_failures(&mut self, is_faulty_job: impl Fn(&str) -> bool) {
        self.failed_jobs.retain(|id| !is_faulty_job(id));
    }

    /// What the failures since the last success say of the machine.
    pub(crate) fn failure_attribution(&self) -> FailureAttribution {
        let first = self.failed_jobs.first();
        if self.failed_jobs.iter().any(|id| Some(id) != first) {
            return FailureAttribution::ByTwoJobs;
        }
        match self.failed_jobs.len() >= FAILURES_OF_ONE_JOB {
            true => FailureAttribution::ByOneJob,
            false => FailureAttribution::None,
        }
    }

    /// Cordons it because tasks fail here: it is terminated once it is empty.
    pub(crate) fn cordon_as_faulty(&mut self) {
        warn!(machine = self.name; "machine is faulty, to be terminated");
        self.cordoned = true;
        self.draining = false;
        self.faulty = true;
    }

    /// Uncordons it: it was not at fault.
    pub(crate) fn uncordon_as_healthy(&mut self) {
        info!(machine = self.name; "machine is not faulty, the jobs that failed there fail elsewhere too");
        self.cordoned = false;
        self.faulty = false;
    }

    /// Whether new tasks may be placed here, given that heartbeats may be `max_silence` microseconds old.
    pub fn is_usable(&self, now: Micros, max_silence: Micros) -> bool {
        self.receives_responses && self.counts_as_capacity(now, max_silence)
    }

    /// Whether scaling out counts it as able to take tasks: also while it has yet to show that our responses reach it.
    /// To a new leader that is every machine, and it would otherwise provision a second fleet meanwhile.
    pub fn counts_as_capacity(&self, now: Micros, max_silence: Micros) -> bool {
        let unreachable_for = self
            .unreachable_since
            .map_or(0, |since| now.saturating_sub(since));
        !self.cordoned
            && unreachable_for <= RESPONSE_TIMEOUT_US
            && self.reclaim_at.is_none()
            && self.incarnation > 0
            && self.quarantined_until <= now
            && now.saturating_sub(self.last_heartbeat) <= max_silence
    }
}

#[cfg(test)]
mod tests;
