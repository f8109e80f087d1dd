//! Tasks that the leader has delegated to a holder and does not know to be placed yet.

use crate::state::jobs::JobIndex;
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::{Resources, TeamAmounts};
use std::collections::{BTreeMap, BTreeSet};

/// A task of a job.
pub(crate) type TaskOfJob = (JobIndex, u64);

/// A task that a holder is to place.
#[derive(Clone, Debug)]
pub(crate) struct Delegation {
    pub partition: PartitionId,
    pub job_id: String,
    /// The machine that has room for it, or will have it soon, as far as the leader knows.
    pub machine: String,
    pub team: String,
    /// What it takes of its team's limit.
    pub amount: Resources,
    /// Whether it waits for the room that another task will leave. Its part of the allotment is what that
    /// task leaves, too: it is not charged.
    pub waits: bool,
    pub level: u8,
    pub expected: Micros,
    pub since: Micros,
    /// It was part of a message to the holder.
    pub sent: bool,
    /// The holder has said that it has it.
    pub confirmed: bool,
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delegations {
    by_task: BTreeMap<TaskOfJob, Delegation>,
    by_partition: BTreeMap<PartitionId, BTreeSet<TaskOfJob>>,
    /// Jobs whose tasks are asked back, and those of them that the last message asked for.
    revoked: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    asked_back: BTreeMap<PartitionId, BTreeSet<JobIndex>>,
    /// What the tasks that wait for room at a holder take of each team's limit.
    waiting: BTreeMap<PartitionId, TeamAmounts>,
}

impl Delegations {
    pub fn insert(&mut self, task: TaskOfJob, delegation: Delegation) {
        let theirs = self.by_partition.entry(delegation.partition).or_default();
        theirs.insert(task);
        if delegation.waits {
            let waiting = self.waiting.entry(delegation.partition).or_default();
            let waiting = waiting.entry(delegation.team.clone()).or_default();
            *waiting = waiting.plus(delegation.amount);
        }
        self.by_task.insert(task, delegation);
    }

    pub fn remove(&mut self, task: TaskOfJob) -> Option<Delegation> {
        let delegation = self.by_task.remove(&task)?;
        if let Some(theirs) = self.by_partition.get_mut(&delegation.partition) {
            theirs.remove(&task);
        }
        if delegation.waits {
            let waiting = self.waiting.get_mut(&delegation.partition);
            if let Some(waiting) = waiting.and_then(|teams| teams.get_mut(&delegation.team)) {
                *waiting = waiting.minus(delegation.amount);
            }
        }
        Some(delegation)
    }

    pub fn get(&self, task: TaskOfJob) -> Option<&Delegation> {
        self.by_task.get(&task)
    }

    /// Tasks that the partition's holder is to place.
    pub fn of_partition(
        &self,
        partition: PartitionId,
    ) -> impl Iterator<Item = (TaskOfJob, &Delegation)> {
        let theirs = self.by_partition.get(&partition).into_iter().flatten();
        theirs.filter_map(|task| Some((*task, self.by_task.get(task)?)))
    }

    /// What a team's tasks take that wait for room at the partition's holder.
    pub fn waiting(&self, partition: PartitionId, team: &str) -> Resources {
        let teams = self.waiting.get(&partition);
        let waiting = teams.and_then(|teams| teams.get(team));
        waiting.copied().unwrap_or_default()
    }

    /// Whether the partition's holder is to place any.
    pub fn has(&self, partition: PartitionId) -> bool {
        let theirs = self.by_partition.get(&partition);
        theirs.is_some_and(|theirs| !theirs.is_empty())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (TaskOfJob, &Delegation)> {
        self.by_task
            .iter()
            .map(|(task, delegation)| (*task, delegation))
    }

    /// Tasks of the job.
    pub fn of_job(&self, job: JobIndex) -> impl Iterator<Item = (TaskOfJob, &Delegation)> {
        let theirs = self.by_task.range((job, 0)..=(job, u64::MAX));
        theirs.map(|(task, delegation)| (*task, delegation))
    }

    /// Asks the job's tasks back from the partition's holder.
    pub fn revoke(&mut self, partition: PartitionId, job: JobIndex) {
        self.revoked.entry(partition).or_default().insert(job);
    }

    /// Whether the job's tasks are being asked back from the partition's holder.
    pub fn is_revoked(&self, partition: PartitionId, job: JobIndex) -> bool {
        let revoked = self.revoked.get(&partition);
        revoked.is_some_and(|jobs| jobs.contains(&job))
    }

    /// The names of jobs whose tasks are asked back from the partition's holder, for a message to it.
    pub fn ask_back(&mut self, partition: PartitionId) -> Vec<String> {
        let jobs = self.revoked.get(&partition).cloned().unwrap_or_default();
        let mut names = BTreeMap::new();
        for ((job, _), delegation) in self.of_partition(partition) {
            names.insert(job, delegation.job_id.clone());
        }
        let asked = jobs.iter().filter_map(|job| names.get(job).cloned());
        let asked = asked.collect();
        self.asked_back.insert(partition, jobs);
        asked
    }

    /// Notes that these tasks were part of a message to their holder.
    pub fn note_sent(&mut self, tasks: &[TaskOfJob]) {
        for task in tasks {
            if let Some(delegation) = self.by_task.get_mut(task) {
                delegation.sent = true;
            }
        }
    }

    /// Notes what the partition's holder says that it has, in answer to the last message. The others that were sent are the result: they
    /// will not be placed unless they are given again.
    pub fn returned(
        &mut self,
        partition: PartitionId,
        waiting: &BTreeSet<TaskOfJob>,
    ) -> Vec<TaskOfJob> {
        let theirs = self.by_partition.get(&partition);
        let theirs: Vec<TaskOfJob> = theirs.into_iter().flatten().copied().collect();
        // What it was asked for it has dropped: from now on it may be given such tasks again.
        let asked = self.asked_back.remove(&partition).unwrap_or_default();
        if let Some(revoked) = self.revoked.get_mut(&partition) {
            revoked.retain(|job| !asked.contains(job));
        }
        let mut returned = Vec::new();
        for task in theirs {
            let Some(delegation) = self.by_task.get_mut(&task) else {
                continue;
            };
            if waiting.contains(&task) {
                delegation.confirmed = true;
            } else if delegation.sent {
                returned.push(task);
            }
        }
        returned
    }
}

#[cfg(test)]
mod tests;
