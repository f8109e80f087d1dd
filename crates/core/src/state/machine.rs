//! State of a machine and of the tasks assigned to it.

use crate::state::bin_packing::MachineResources;
use crate::state::jobs::JobIndex;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_wire::http::{Heartbeat, MachineType};
use log::{info, warn};
use std::collections::VecDeque;

pub(crate) use crate::state::machine::assignment::{placed_task, stop_command, TaskOnMachine};
pub use crate::state::machine::assignment::{Assignment, ExitedAttempt, ObservedStatus, Stop};
pub use crate::state::machine::cordon::Cordon;
pub(crate) use crate::state::machine::failures::FailureAttribution;
pub use crate::state::machine::failures::MachineFailures;

pub mod assignment;
mod cordon;
mod failures;

/// Time that an agent waits for the response to a heartbeat before it turns to another controller, in microseconds.
pub(crate) const RESPONSE_TIMEOUT_US: Micros = 4 * SECOND;

/// Image fetch rate of machine types that publish none, in GB per second.
const DEFAULT_FETCH_GB_PER_S: f64 = 1.0;

/// A task that is delegated to the holder of the machine's partition and not placed yet.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedTask {
    /// Index of the job in the job table.
    pub job: JobIndex,
    /// Number of the task within the job.
    pub task: u64,
    /// Resources that the task takes.
    pub resources: MachineResources,
}

/// A machine. Times are in microseconds of the steady clock.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine, which is never reused.
    pub name: String,
    /// Partition whose holder manages the machine; `None` if this controller manages it.
    pub partition: Option<PartitionId>,
    /// On the leader, whether the partition holder reported that it counts the machine as capacity.
    pub counted_as_capacity_by_holder: bool,
    /// Address at which the agent accepts direct commands, which a controller sends outside of responses to
    /// heartbeats; empty while the machine is known from records only.
    pub address: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// Accelerators of the machine.
    pub gpus: f64,
    /// Memory of the machine, in GB.
    pub memory_gb: f64,
    /// Incarnation of the agent in its newest status.
    pub incarnation: u64,
    /// Sequence number of the newest status within the incarnation.
    pub sequence: u64,
    /// Whether the agent has shown that it knows this scheduler's fencing token.
    pub knows_token: bool,
    /// Incarnation and sequence number of the newest heartbeat. The response to a direct command may overtake a
    /// heartbeat, so the newest status is not always that of a heartbeat.
    pub newest_heartbeat: (u64, u64),
    /// Time of the last heartbeat. Only the response to a heartbeat can launch tasks.
    pub last_heartbeat_at: Micros,
    /// Time of the last heartbeat or response to a direct command.
    pub last_contact_at: Micros,
    /// Time of this controller's last response to a heartbeat. The lease of the agent expires at most a lease duration
    /// later.
    pub last_response_at: Micros,
    /// Time at which the cloud reclaims the machine, if it has announced that.
    pub reclaim_at: Option<Micros>,
    /// Tasks assigned to the machine.
    pub assignments: Vec<Assignment>,
    /// Resources that the assignments and the planned tasks take.
    pub used: MachineResources,
    /// Tasks that the holder of the machine's partition has yet to place, probably on this machine.
    pub planned: Vec<PlannedTask>,
    /// On a partition holder, whether the leader's last orders forbid placing anything new on the machine.
    pub reserved_by_leader: bool,
    /// Exited attempts that are still reported because their exits have not been acknowledged yet. The agent
    /// reports the attempts; to the leader, the holder of the machine's partition does so if the machine is in one.
    pub exited_attempts: Vec<ExitedAttempt>,
    /// Time since which the machine has had no assignment.
    pub idle_since: Micros,
    /// Images in the cache of the machine with their sizes in GB, the most recently used last.
    pub images: VecDeque<(String, f64)>,
    /// Size of the image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which the machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Why nothing new is placed on the machine; `None` if it is not cordoned.
    pub cordon: Option<Cordon>,
    /// Task failures on the machine.
    pub failures: MachineFailures,
    /// Time before which nothing is placed on the machine, because it refused a task.
    pub quarantined_until: Micros,
    /// Time until which tasks of idle priority are not placed on the machine, because tasks are preempted on it for
    /// work of higher priority.
    pub idle_excluded_until: Micros,
    /// Time at which the cloud's machine list first showed the machine.
    pub first_listed_at: Option<Micros>,
    /// Whether this controller's responses reach the machine, as far as its heartbeats show. A machine may send
    /// heartbeats although no response reaches it, and copies of its heartbeats may arrive after it is gone. It gets
    /// no tasks in either case.
    pub receives_responses: bool,
    /// Time since which the machine has sent heartbeats without a sign that this controller's responses reach it.
    pub unreachable_since: Option<Micros>,
}

impl Machine {
    /// Creates an empty machine from its first heartbeat.
    pub fn new(heartbeat: &Heartbeat, machine_type: Option<&MachineType>, now: Micros) -> Self {
        Machine {
            name: heartbeat.machine.clone(),
            partition: None,
            counted_as_capacity_by_holder: false,
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
            last_heartbeat_at: now,
            last_contact_at: now,
            last_response_at: now,
            reclaim_at: None,
            assignments: Vec::new(),
            used: MachineResources::default(),
            planned: Vec::new(),
            reserved_by_leader: false,
            exited_attempts: Vec::new(),
            idle_since: now,
            images: VecDeque::new(),
            cache_gb: machine_type.and_then(|of| of.local_gb).unwrap_or(0.0),
            fetch_gb_per_s: machine_type
                .and_then(|of| of.fetch_gb_per_s)
                .filter(|rate| *rate > 0.0)
                .unwrap_or(DEFAULT_FETCH_GB_PER_S),
            cordon: None,
            failures: MachineFailures::default(),
            quarantined_until: 0,
            idle_excluded_until: 0,
            first_listed_at: None,
            receives_responses: false,
            unreachable_since: None,
        }
    }

    /// Applies the description of the machine in a heartbeat. The caller does so if the machine was known from
    /// records only, or if its type was unknown: without the resources of its type, no task would ever be placed on
    /// the machine.
    pub(crate) fn apply_description(
        &mut self,
        heartbeat: &Heartbeat,
        machine_type: Option<&MachineType>,
        now: Micros,
    ) {
        let described = Machine::new(heartbeat, machine_type, now);
        *self = Machine {
            partition: self.partition,
            counted_as_capacity_by_holder: self.counted_as_capacity_by_holder,
            assignments: std::mem::take(&mut self.assignments),
            used: self.used,
            planned: std::mem::take(&mut self.planned),
            reserved_by_leader: self.reserved_by_leader,
            exited_attempts: std::mem::take(&mut self.exited_attempts),
            incarnation: self.incarnation,
            sequence: self.sequence,
            knows_token: self.knows_token,
            cordon: self.cordon,
            first_listed_at: self.first_listed_at,
            receives_responses: self.receives_responses,
            unreachable_since: self.unreachable_since,
            ..described
        };
    }

    /// Returns the total resources of the machine.
    pub fn resources(&self) -> MachineResources {
        MachineResources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Returns the free resources of the machine. An assignment takes its resources from the time it is decided
    /// until it is proven gone.
    pub fn free(&self) -> MachineResources {
        self.resources() - self.used
    }

    /// Recomputes the used resources after an assignment or a planned task was added or removed.
    pub(crate) fn recompute_used(&mut self) {
        let assigned = self.assignments.iter().map(Assignment::resources);
        let planned = self.planned.iter().map(|planned| planned.resources);
        self.used = assigned
            .chain(planned)
            .fold(MachineResources::default(), |sum, task| sum + task);
    }

    /// Adds a task that the holder of the machine's partition has yet to place, probably on this machine.
    pub(crate) fn add_planned_task(&mut self, planned: PlannedTask) {
        self.planned.push(planned);
        self.recompute_used();
    }

    /// Removes a planned task that has been placed or that the holder will not place.
    pub(crate) fn remove_planned_task(&mut self, job: JobIndex, task: u64) {
        self.planned
            .retain(|planned| (planned.job, planned.task) != (job, task));
        self.recompute_used();
    }

    /// Returns whether the image is in the cache of the machine.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(cached, _)| cached == image)
    }

    /// Records that the image was used. The cache evicts the least recently used images first, and always keeps the
    /// one used last.
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

    /// Returns the expected time to fetch the image, in microseconds; 0 if it is in the cache.
    pub fn fetch_time(&self, image: &str, gb: f64) -> Micros {
        match self.has_image(image) {
            true => 0,
            false => (gb / self.fetch_gb_per_s * SECOND as f64) as Micros,
        }
    }

    /// Cordons the machine because it is being terminated.
    pub(crate) fn cordon_for_termination(&mut self) {
        self.cordon = Some(Cordon::Termination);
    }

    /// Cordons the machine because tasks fail on it. It is terminated once it is empty.
    pub(crate) fn cordon_as_faulty(&mut self) {
        warn!(machine = self.name; "cordoned a faulty machine; terminating it once it is empty");
        self.cordon = Some(Cordon::Faulty);
    }

    /// Uncordons a machine that was cordoned for failures that are now attributed to jobs.
    pub(crate) fn uncordon_as_healthy(&mut self) {
        info!(machine = self.name; "uncordoned a machine: its task failures are attributed to the failing jobs");
        self.cordon = None;
    }

    /// Uncordons a machine that is not being terminated because tasks wait for free resources. A machine on which
    /// tasks failed is on trial: its failures are remembered, so that one more cordons it again.
    pub(crate) fn uncordon_for_waiting_tasks(&mut self) {
        info!(machine = self.name; "uncordoned a machine because tasks wait for free resources");
        self.cordon = None;
    }

    /// Returns whether new tasks may be placed on the machine. Its last heartbeat may be at most `max_silence`
    /// microseconds old.
    pub fn is_usable(&self, now: Micros, max_silence: Micros) -> bool {
        self.receives_responses && self.counts_as_capacity(now, max_silence)
    }

    /// Returns whether new tasks may be placed on the machine, or could be if it were not cordoned.
    pub(crate) fn is_usable_once_uncordoned(&self, now: Micros, max_silence: Micros) -> bool {
        self.receives_responses && self.is_in_service(now, max_silence)
    }

    /// Returns whether the autoscaler counts the machine as capacity. A machine counts for a limited time even if it
    /// has not shown yet that this controller's responses reach it. For a new leader this is so for every machine; if
    /// they did not count, the leader would provision a second fleet.
    pub fn counts_as_capacity(&self, now: Micros, max_silence: Micros) -> bool {
        self.cordon.is_none() && self.is_in_service(now, max_silence)
    }

    fn is_in_service(&self, now: Micros, max_silence: Micros) -> bool {
        let unreachable_for = self
            .unreachable_since
            .map_or(0, |since| now.saturating_sub(since));
        unreachable_for <= RESPONSE_TIMEOUT_US
            && self.reclaim_at.is_none()
            && self.incarnation > 0
            && self.quarantined_until <= now
            && now.saturating_sub(self.last_heartbeat_at) <= max_silence
    }
}

#[cfg(test)]
mod tests;
