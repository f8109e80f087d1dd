//! A bounded cache of the final records of finished jobs, which never change.

use crate::calls::UserRequest;
use grebewood_wire::records::FinishedJobRecord;
use std::collections::{BTreeMap, VecDeque};

/// Cache of the final records of finished jobs. When it is full, the record that was added first is dropped.
#[derive(Debug)]
pub struct FinishedJobs {
    records: BTreeMap<String, FinishedJobRecord>,
    /// Ids of the jobs in the order in which they were added.
    order: VecDeque<String>,
    capacity: usize,
}

impl FinishedJobs {
    /// Creates an empty cache for at most `capacity` jobs.
    pub fn new(capacity: usize) -> Self {
        FinishedJobs {
            records: BTreeMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Returns the final record of the job, if it is cached.
    pub fn get(&self, job: &str) -> Option<&FinishedJobRecord> {
        self.records.get(job)
    }

    /// Adds the final record of a job.
    pub fn insert(&mut self, job: &str, record: FinishedJobRecord) {
        if self.records.insert(job.to_string(), record).is_some() {
            return;
        }
        self.order.push_back(job.to_string());
        if self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }
}

/// Reads of final records that are in flight, by job id. Each has the further users' requests for the same job that
/// arrived after the read was sent.
pub type FinishedReads = BTreeMap<String, Vec<UserRequest>>;
