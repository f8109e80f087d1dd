//! Live jobs: the job table, and the rules for admission, completion, retries and fairness.

use crate::Micros;
use grebewood_wire::http::Priority;
use std::collections::BTreeMap;

pub use crate::state::jobs::admission::{
    check_fields, check_possible, check_size, task_fits_machine_type, SubmissionRejection,
    RESOURCE_TOLERANCE,
};
pub use crate::state::jobs::job::starvation::BEGIN_EARLY_AFTER_US;
pub use crate::state::jobs::job::{FinalStatus, Job};

pub mod admission;
pub mod job;
mod replica_restarts;
pub mod task_set;

/// Index of a job in the job table.
pub type JobIndex = u32;

/// Returns the rank of a priority. Higher ranks are served first.
pub fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Idle => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Prod => 3,
    }
}

/// Splits a task name such as `req-000412/3` into the job id and the task number.
pub fn parse_task_name(name: &str) -> Option<(&str, u64)> {
    let (id, task) = name.rsplit_once('/')?;
    Some((id, task.parse().ok()?))
}

/// Table of the live jobs.
#[derive(Debug, Default)]
pub struct Jobs {
    by_index: BTreeMap<JobIndex, Job>,
    by_id: BTreeMap<String, JobIndex>,
    next_index: JobIndex,
}

impl Jobs {
    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.by_index.clear();
        self.by_id.clear();
    }

    /// Adds a job and returns its index.
    pub fn insert(&mut self, job: Job) -> JobIndex {
        let index = self.next_index;
        self.next_index = self.next_index.wrapping_add(1);
        self.by_id.insert(job.id.clone(), index);
        self.by_index.insert(index, job);
        index
    }

    /// Removes the job with this index and returns it.
    pub fn remove(&mut self, index: JobIndex) -> Option<Job> {
        let job = self.by_index.remove(&index)?;
        self.by_id.remove(&job.id);
        Some(job)
    }

    /// Returns the index of the job with this id.
    pub fn find(&self, id: &str) -> Option<JobIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the job with this index.
    pub fn get(&self, index: JobIndex) -> Option<&Job> {
        self.by_index.get(&index)
    }

    /// Returns a mutable reference to the job with this index.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.by_index.get_mut(&index)
    }

    /// Returns all jobs with their indices, ordered by index.
    pub fn iter(&self) -> impl Iterator<Item = (JobIndex, &Job)> {
        self.by_index.iter().map(|(index, job)| (*index, job))
    }

    /// Starts a catch-up for each starving job.
    pub fn begin_catch_ups(&mut self, now: Micros) {
        for job in self.by_index.values_mut() {
            job.begin_catch_up(now);
        }
    }

    /// Returns whether task failures of the job are not attributed to machines because the job itself is likely to
    /// be at fault. This is also true for a job that is no longer in the table, since nothing is known about such a
    /// job.
    pub fn is_likely_faulty(&self, id: &str) -> bool {
        let job = self.find(id).and_then(|index| self.get(index));
        job.is_none_or(Job::is_likely_faulty)
    }

    /// Returns the indices of all jobs.
    pub fn indices(&self) -> Vec<JobIndex> {
        self.by_index.keys().copied().collect()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }
}
