//! Tasks that the leader has delegated to a holder and does not know to be placed yet.

use crate::state::jobs::JobIndex;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamAmounts};
use std::collections::{BTreeMap, BTreeSet};

/// Which task of which job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskKey {
    /// The job.
    pub job: JobIndex,
    /// The task's number within the job.
    pub task: u64,
}

impl TaskKey {
    /// This task of this job.
    pub fn new(job: JobIndex, task: u64) -> TaskKey {
        TaskKey { job, task }
    }
}

/// A task that a holder is to place.
#[derive(Clone, Debug)]
pub(crate) struct Delegation {
    /// The partition whose holder it was given to.
    pub partition: PartitionId,
    /// The job's name.
    pub job_id: String,
    /// The machine that has room for it, or will have it soon, as far as the leader knows.
    pub machine: String,
    /// The job's team.
    pub team: String,
    /// What it takes of its team's limit.
    pub amount: Resources,
    /// Whether it waits for the resources that another task will free. It then uses what that task leaves of
    /// the quota grant, too: it is not charged.
    pub awaits_resources: bool,
    /// How urgent its job is: lower numbers come first.
    pub level: u8,
    /// How long it is expected to run, in microseconds.
    pub expected_stay: Micros,
    /// When it was delegated.
    pub delegated_at: Micros,
    /// It was part of a message to the holder.
    pub sent: bool,
    /// The holder has answered that it has it.
    pub confirmed: bool,
}

/// All delegated tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delegations {
    by_task: BTreeMap<TaskKey, Delegation>,
    by_partition: BTreeMap<PartitionId, BTreeSet<TaskKey>>,
    /// Jobs whose tasks are revoked from the holder.
    revoked: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    /// Those of them that the last message to the holder revoked.
    revocations_sent: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    /// What the tasks that wait for resources at a holder take of each team's limit.
    awaiting_resources: BTreeMap<PartitionId, TeamAmounts>,
}

impl Delegations {
    /// Adds a task that was given to a holder.
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

    /// Removes a task that is placed, or that the holder will not place.
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

    /// The delegation of a task, if it is delegated.
    pub fn get(&self, task: TaskKey) -> Option<&Delegation> {
        self.by_task.get(&task)
    }

    /// Tasks that the partition's holder is to place.
    pub fn of_partition(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = self.by_partition.get(&partition).into_iter().flatten();
        tasks.filter_map(|task| Some((*task, self.by_task.get(task)?)))
    }

    /// What a team's tasks take that wait for resources at the partition's holder.
    pub fn awaiting_resources(&self, partition: PartitionId, team: &str) -> Resources {
        let teams = self.awaiting_resources.get(&partition);
        let amount = teams.and_then(|teams| teams.get(team));
        amount.copied().unwrap_or_default()
    }

    /// Whether the partition's holder is to place any task.
    pub fn has_tasks_in(&self, partition: PartitionId) -> bool {
        let tasks = self.by_partition.get(&partition);
        tasks.is_some_and(|tasks| !tasks.is_empty())
    }

    /// All delegated tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = self.by_task.iter();
        tasks.map(|(task, delegation)| (*task, delegation))
    }

    /// Tasks of the job.
    pub fn of_job(&self, job: JobIndex) -> impl Iterator<Item = (TaskKey, &Delegation)> {
        let tasks = TaskKey::new(job, 0)..=TaskKey::new(job, u64::MAX);
        let tasks = self.by_task.range(tasks);
        tasks.map(|(task, delegation)| (*task, delegation))
    }

    /// Revokes the job's tasks from the partition's holder.
    pub fn revoke(&mut self, partition: PartitionId, job: JobIndex) {
        self.revoked.entry(partition).or_default().insert(job);
    }

    /// Whether the job's tasks are being revoked from the partition's holder.
    pub fn is_revoked(&self, partition: PartitionId, job: JobIndex) -> bool {
        let jobs = self.revoked.get(&partition);
        jobs.is_some_and(|jobs| jobs.contains(&job))
    }

    /// The names of jobs whose tasks the next message revokes from the partition's holder.
    pub fn revocations_to_send(&mut self, partition: PartitionId) -> Vec<String> {
        let jobs = self.revoked.get(&partition).cloned().unwrap_or_default();
        let mut names = BTreeMap::new();
        for (task, delegation) in self.of_partition(partition) {
            names.insert(task.job, delegation.job_id.clone());
        }
        let revoked = jobs.iter().filter_map(|job| names.get(job).cloned());
        let revoked = revoked.collect();
        self.revocations_sent.insert(partition, jobs);
        revoked
    }

    /// Marks these tasks as part of a message to their holder.
    pub fn mark_sent(&mut self, tasks: &[TaskKey]) {
        for task in tasks {
            if let Some(delegation) = self.by_task.get_mut(task) {
                delegation.sent = true;
            }
        }
    }

    /// Applies which tasks the partition's holder has, as it answered the last message. Returns the tasks that
    /// were sent and that it does not have: it will not place them unless they are delegated again.
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

    /// The holder has dropped what the last message revoked: from now on it may be given such tasks again.
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
