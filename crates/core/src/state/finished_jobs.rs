//! A bounded cache of finished jobs, whose state never changes.

use crate::calls::UserRequest;
use grebewood_wire::records::FinishedJobRecord;
use std::collections::{BTreeMap, VecDeque};

/// The final records of finished jobs; the oldest is dropped when there are too many.
#[derive(Debug)]
pub struct FinishedJobs {
    records: BTreeMap<String, FinishedJobRecord>,
    /// Jobs in the order in which they were noted.
    order: VecDeque<String>,
    capacity: usize,
}

impl FinishedJobs {
    /// An empty cache of at most `capacity` jobs.
    pub fn new(capacity: usize) -> Self {
        FinishedJobs {
            records: BTreeMap::new(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// The final record of the job, if it is known.
    pub fn get(&self, job: &str) -> Option<&FinishedJobRecord> {
        self.records.get(job)
    }

    /// Notes the final record of a job.
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

/// Reads of final records that are under way, by job: requests that came in after the read was sent.
pub type FinishedReads = BTreeMap<String, Vec<UserRequest>>;
