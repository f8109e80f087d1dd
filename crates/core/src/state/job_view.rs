//! A controller's view of the live jobs, as of a revision of the key-value store.

use crate::calls::{UserAction, UserRequest};
use crate::{Micros, MILLI};
use grebewood_wire as wire;
use grebewood_wire::records::{JobKey, JobRecord, JOB, OLD_CANCEL};
use grebewood_wire::Value;
use log::error;
use std::collections::{BTreeMap, VecDeque};

/// What a node knows of a live job.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    pub tasks: u64,
    pub mod_revision: u64,
    pub cancelled: bool,
}

/// Keys that are read to build the view, in this order.
const PREFIXES: [&str; 2] = [JOB, OLD_CANCEL];

/// A question waits no longer than this: users wait 2 s for an answer.
const PATIENCE: Micros = 1_400 * MILLI;

/// A submission or cancellation may wait longer, since they wait 5 s for its answer. Under a slow
/// state service, or when the answer to the transaction was lost, they were once all refused, and
/// came again a second later and later.
const LONG_PATIENCE: Micros = 3_400 * MILLI;

/// So many ends are remembered.
const MOST_ENDED: usize = 500;

/// The view.
#[derive(Debug, Default)]
pub struct JobView {
    live: BTreeMap<String, LiveJob>,
    /// Jobs that were seen to end, the latest ones: a repeat of their submission costs no write.
    ended: VecDeque<String>,
    /// Up to date as of this revision; while the view is read, that of the first page.
    pub(crate) since: Option<u64>,
    /// Prefixes yet to be read, and where the list of the first one goes on.
    pub(crate) unread: Vec<&'static str>,
    pub(crate) after: Option<String>,
    pub(crate) built: bool,
    pub(crate) busy: bool,
    pub(crate) next_at: Micros,
    /// When it is brought up to date though nobody asks.
    pub(crate) refresh_at: Micros,
    /// Requests that the reply under way answers, and those that came in after it was sent.
    pub(crate) asked: Vec<UserRequest>,
    pub(crate) waiting: Vec<UserRequest>,
}

impl UserRequest {
    /// Until when it waits for the view.
    pub(crate) fn patient_until(&self) -> Micros {
        self.arrived
            + match self.ask {
                UserAction::Poll => PATIENCE,
                _ => LONG_PATIENCE,
            }
    }
}

impl JobView {
    pub fn get(&self, id: &str) -> Option<&LiveJob> {
        self.live.get(id)
    }

    pub fn next_wake(&self) -> Micros {
        let wanted = !self.built || !self.waiting.is_empty();
        let mut at = match (wanted, self.busy) {
            (_, true) => Micros::MAX,
            (true, false) => self.next_at,
            (false, false) => self.next_at.max(self.refresh_at),
        };
        for call in &self.waiting {
            at = at.min(call.patient_until());
        }
        at
    }

    pub(crate) fn put(&mut self, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(id)) => {
                let tasks = match wire::http::from_value::<JobRecord>(value) {
                    Ok(record) => record.spec.tasks,
                    Err(e) => {
                        error!("record {key}: {e}; the job stays known");
                        0
                    }
                };
                let job = self.entry(id);
                (job.tasks, job.mod_revision) = (tasks, mod_revision);
            }
            Some(JobKey::Cancelled(id)) => self.entry(id).cancelled = true,
            None => {}
        }
    }

    fn entry(&mut self, id: &str) -> &mut LiveJob {
        self.live.entry(id.to_string()).or_insert(LiveJob {
            tasks: 0,
            mod_revision: 0,
            cancelled: false,
        })
    }

    pub(crate) fn delete(&mut self, key: &str) {
        // A cancellation goes with its job, in one transaction.
        if let Some(JobKey::Live(id)) = JobKey::parse(key) {
            if self.live.remove(id).is_some() {
                self.ended.push_back(id.to_string());
                if self.ended.len() > MOST_ENDED {
                    self.ended.pop_front();
                }
            }
        }
    }

    /// Whether the job was accepted for certain: it is live, or was seen to end lately.
    pub fn knows(&self, id: &str) -> bool {
        self.live.get(id).is_some_and(|j| j.mod_revision > 0) || self.ended.iter().any(|e| e == id)
    }

    pub(crate) fn restart(&mut self) {
        self.built = false;
        self.live.clear();
        self.since = None;
        self.unread = PREFIXES.to_vec();
        self.after = None;
    }
}
