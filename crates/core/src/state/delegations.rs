//! Tasks that the leader has delegated to partition holders and that are not placed yet, as far as the leader knows.

use crate::state::jobs::JobIndex;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamAmounts};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a task by its job and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskKey {
    /// Index of the job in the job table.
    pub job: JobIndex,
    /// Number of the task within the job.
    pub task: u64,
}

impl TaskKey {
    /// Creates the key of this task of this job.
    pub fn new(job: JobIndex, task: u64) -> TaskKey {
        TaskKey { job, task }
    }
}

/// A task that is delegated to a partition holder.
#[derive(Clone, Debug)]
pub(crate) struct Delegation {
    /// Partition to whose holder the task is delegated.
    pub partition: PartitionId,
    /// Id of the job.
    pub job_id: String,
    /// Machine that has or will soon have enough free resources for the task, as far as the leader knows.
    pub machine: String,
    /// Team that owns the job.
    pub team: String,
    /// Amount that the task takes of its team's limit.
    pub amount: Resources,
    /// Whether the task waits for resources that another task will free. It then also uses the part of the quota
    /// grant that the other task frees, so it is not charged to the grant.
    pub awaits_resources: bool,
    /// Level of the job in the leader's queue. Lower levels are served first.
    pub level: u8,
    /// Time that the task is expected to stay on its machine, in microseconds.
    pub expected_stay: Micros,
    /// Time of the delegation, in microseconds.
    pub delegated_at: Micros,
    /// Whether the task was part of a message to the holder.
    pub sent: bool,
    /// Whether the holder has answered that it has the task.
    pub confirmed: bool,
}

/// All delegated tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delegations {
    by_task: BTreeMap<TaskKey, Delegation>,
    by_partition: BTreeMap<PartitionId, BTreeSet<TaskKey>>,
    /// Jobs whose tasks are being revoked from the holder of each partition.
    revoked: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    /// Jobs that the last message to the holder of each partition revoked.
    revocations_sent: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    /// Amounts of each team's limit that tasks waiting for resources at the holder of each partition take.
    awaiting_resources: BTreeMap<PartitionId, TeamAmounts>,
}

impl Delegations {
    /// Adds a task that is delegated to a holder.
    pub fn insert(&mut self, task: TaskKey, delegation: Delegation) {
        let partition = delegation.partition;
        let tasks = self.by_partition.entry(partition).or_default();
        tasks.insert(task);
        if delegation.awaits_resources {
            let teams = self.awaiting_resources.entry(partition).or_default();
            let amount = teams.entry(delegation.team.clone()).or_default();
            *amount = amount.saturating_add(delegation.amount);
        }
        self.by_task.insert(task, delegation);
    }

    /// Removes a task that has been placed or that the holder will not place.
    pub fn remove(&mut self, task: TaskKey) -> Option<Delegation> {
        let delegation = self.by_task.remove(&task)?;
        if let Some(tasks) = self.by_partition.get_mut(&delegation.partition) {
            tasks.remove(&task);
        }
        if delegation.awaits_resources {
            let teams = self.awaiting_resources.get_mut(&delegation.partition);
            if let Some(amount) = teams.and_then(|teams| teams.get_mut(&delegation.team)) {
                *amount = amount.saturating_sub(delegation.amount);
            }
        }
        Some(delegation)
    }

    /// Returns the delegation of a task, if the task is delegated.
    pub fn get(&self, task: TaskKey) -> Option<&Delegation> {
        self.by_task.get(&task)
    }

    /// Returns the tasks that are delegated to the partition's holder.
    pub fn of_partition(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = self.by_partition.get(&partition).into_iter().flatten();
        tasks.filter_map(|task| Some((*task, self.by_task.get(task)?)))
    }

    /// Returns the amount that the team's tasks waiting for resources at the partition's holder take.
    pub fn awaiting_resources(&self, partition: PartitionId, team: &str) -> Resources {
        let teams = self.awaiting_resources.get(&partition);
        let amount = teams.and_then(|teams| teams.get(team));
        amount.copied().unwrap_or_default()
    }

    /// Returns whether any task is delegated to the partition's holder.
    pub fn has_tasks_in(&self, partition: PartitionId) -> bool {
        let tasks = self.by_partition.get(&partition);
        tasks.is_some_and(|tasks| !tasks.is_empty())
    }

    /// Returns all delegated tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = self.by_task.iter();
        tasks.map(|(task, delegation)| (*task, delegation))
    }

    /// Returns the delegated tasks of the job.
    pub fn of_job(&self, job: JobIndex) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = TaskKey::new(job, 0)..=TaskKey::new(job, u64::MAX);
        let tasks = self.by_task.range(tasks);
        tasks.map(|(task, delegation)| (*task, delegation))
    }

    /// Revokes the job's tasks from the partition's holder.
    pub fn revoke(&mut self, partition: PartitionId, job: JobIndex) {
        self.revoked.entry(partition).or_default().insert(job);
    }

    /// Returns whether the job's tasks are being revoked from the partition's holder.
    pub fn is_revoked(&self, partition: PartitionId, job: JobIndex) -> bool {
        let jobs = self.revoked.get(&partition);
        jobs.is_some_and(|jobs| jobs.contains(&job))
    }

    /// Returns the ids of the jobs whose tasks the next message revokes from the partition's holder, and records
    /// that this message is sent.
    pub fn revocations_to_send(&mut self, partition: PartitionId) -> Vec<String> {
        let jobs = self.revoked.get(&partition).cloned().unwrap_or_default();
        let mut ids = BTreeMap::new();
        for (task, delegation) in self.of_partition(partition) {
            ids.insert(task.job, delegation.job_id.clone());
        }
        let revoked = jobs.iter().filter_map(|job| ids.get(job).cloned());
        let revoked = revoked.collect();
        self.revocations_sent.insert(partition, jobs);
        revoked
    }

    /// Records that these tasks are part of a message to their holder.
    pub fn mark_sent(&mut self, tasks: &[TaskKey]) {
        for task in tasks {
            if let Some(delegation) = self.by_task.get_mut(task) {
                delegation.sent = true;
            }
        }
    }

    /// Applies the list of queued tasks with which the partition's holder answered the last message. Returns the
    /// tasks that were sent to the holder and are not on the list. The holder will not place them unless they are
    /// delegated again.
    pub fn on_queue_reported(
        &mut self,
        partition: PartitionId,
        queued: &BTreeSet<TaskKey>,
    ) -> Vec<TaskKey> {
        self.end_answered_revocations(partition);
        let tasks = self.by_partition.get(&partition);
        let mut returned = Vec::new();
        for task in tasks.into_iter().flatten() {
            let Some(delegation) = self.by_task.get_mut(task) else {
                continue;
            };
            if queued.contains(task) {
                delegation.confirmed = true;
            } else if delegation.sent {
                returned.push(*task);
            }
        }
        returned
    }

    /// Ends the revocations that the last message contained. The holder has dropped the tasks, so tasks of these
    /// jobs may be delegated to it again.
    fn end_answered_revocations(&mut self, partition: PartitionId) {
        let answered = self.revocations_sent.remove(&partition);
        let answered = answered.unwrap_or_default();
        if let Some(jobs) = self.revoked.get_mut(&partition) {
            jobs.retain(|job| !answered.contains(job));
        }
    }
}

#[cfg(test)]
mod tests;
