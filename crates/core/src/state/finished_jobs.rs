//! A bounded cache of finished jobs, whose state never changes.

use crate::calls::UserRequest;
use grebewood_wire::records::FinishedJobRecord;
use std::collections::{BTreeMap, VecDeque};

/// Jobs that are over, which never changes: a bounded cache.
#[derive(Debug)]
pub struct FinishedJobs {
    known: BTreeMap<String, FinishedJobRecord>,
    order: VecDeque<String>,
    most: usize,
}

impl FinishedJobs {
    pub fn new(most: usize) -> Self {
        FinishedJobs {
            known: BTreeMap::new(),
            order: VecDeque::new(),
            most,
        }
    }

    pub fn get(&self, job: &str) -> Option<&FinishedJobRecord> {
        self.known.get(job)
    }

    pub fn insert(&mut self, job: &str, record: FinishedJobRecord) {
        if self.known.insert(job.to_string(), record).is_none() {
            self.order.push_back(job.to_string());
            if self.order.len() > self.most {
                if let Some(oldest) = self.order.pop_front() {
                    self.known.remove(&oldest);
                }
            }
        }
    }
}

/// Reads of ends that are under way, by job: requests that came in after the read was sent.
pub type FinishedReads = BTreeMap<String, Vec<UserRequest>>;
