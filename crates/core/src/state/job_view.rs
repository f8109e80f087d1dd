//! A controller's view of the live jobs, as of a revision of the key-value store.

use crate::calls::{UserAction, UserRequest};
use crate::{Micros, MILLI};
use grebewood_wire as wire;
use grebewood_wire::records::{JobKey, JobRecord, JOB, LEGACY_CANCEL};
use grebewood_wire::Value;
use log::error;
use std::collections::{BTreeMap, VecDeque};

/// What a controller knows of a live job.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    /// Number of its tasks; 0 if its record cannot be read.
    pub tasks: u64,
    /// The mod_revision of its record; 0 if only its cancellation was read.
    pub mod_revision: u64,
    /// Whether it is cancelled.
    pub cancelled: bool,
}

/// Keys that are read to build the view, in this order.
const PREFIXES: [&str; 2] = [JOB, LEGACY_CANCEL];

/// A poll waits no longer than this: users wait 2 s for its answer.
const POLL_PATIENCE: Micros = 1_400 * MILLI;

/// A submission or cancellation may wait longer, since users wait 5 s for its answer. With the patience of a
/// poll they would all be refused by a slow store, or when the answer to the transaction was lost, and come
/// again a second later each time.
const WRITE_PATIENCE: Micros = 3_400 * MILLI;

/// Most jobs that are remembered as ended.
const MAX_ENDED_JOBS: usize = 500;

/// The view of the live jobs, and the requests that wait for it.
#[derive(Debug, Default)]
pub struct JobView {
    live: BTreeMap<String, LiveJob>,
    /// Jobs that were seen to end, the latest ones: a repeat of their submission costs no write.
    ended: VecDeque<String>,
    /// Up to date as of this revision; while the view is listed, that of the first page.
    pub(crate) revision: Option<u64>,
    /// Prefixes yet to be listed.
    pub(crate) unlisted_prefixes: Vec<&'static str>,
    /// The last key read of the first of these prefixes.
    pub(crate) last_key: Option<String>,
    /// Whether all prefixes were listed.
    pub(crate) built: bool,
    /// Whether a request to the store is under way.
    pub(crate) request_in_flight: bool,
    /// No request to the store before this time.
    pub(crate) next_request: Micros,
    /// When the view is brought up to date even if no user's request waits for it.
    pub(crate) refresh_at: Micros,
    /// Users' requests that the reply under way answers.
    pub(crate) awaiting_reply: Vec<UserRequest>,
    /// Users' requests that came in after it was sent.
    pub(crate) waiting: Vec<UserRequest>,
}

impl UserRequest {
    /// Until when it waits for the view, in microseconds of the steady clock.
    pub(crate) fn patient_until(&self) -> Micros {
        let patience = match self.action {
            UserAction::Poll => POLL_PATIENCE,
            UserAction::Submit(_) | UserAction::Malformed(_) | UserAction::Cancel => WRITE_PATIENCE,
        };
        self.arrived_at + patience
    }
}

impl JobView {
    /// The live job with this id.
    pub fn get(&self, id: &str) -> Option<&LiveJob> {
        self.live.get(id)
    }

    /// Whether the view has to be brought up to date before its next refresh.
    pub(crate) fn update_wanted(&self) -> bool {
        !self.built || !self.waiting.is_empty()
    }

    /// When the view has to act next, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        let next_request = if self.request_in_flight {
            Micros::MAX
        } else if self.update_wanted() {
            self.next_request
        } else {
            self.next_request.max(self.refresh_at)
        };
        let patience = self.waiting.iter().map(UserRequest::patient_until).min();
        next_request.min(patience.unwrap_or(Micros::MAX))
    }

    /// Takes a record that was put; keys of other records are ignored.
    pub(crate) fn put(&mut self, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(id)) => {
                let tasks = match wire::http::from_value::<JobRecord>(value) {
                    Ok(record) => record.spec.tasks,
                    Err(e) => {
                        error!(job = id, path = key, error:% = e; "unreadable job record; the job stays known");
                        0
                    }
                };
                let job = self.entry(id);
                job.tasks = tasks;
                job.mod_revision = mod_revision;
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

    /// Takes the deletion of a key. A cancellation goes with its job, in one transaction.
    pub(crate) fn delete(&mut self, key: &str) {
        let Some(JobKey::Live(id)) = JobKey::parse(key) else {
            return;
        };
        if self.live.remove(id).is_none() {
            return;
        }
        self.ended.push_back(id.to_string());
        if self.ended.len() > MAX_ENDED_JOBS {
            self.ended.pop_front();
        }
    }

    /// Whether the job was accepted for certain: it is live, or was seen to end lately.
    pub fn knows(&self, id: &str) -> bool {
        let live = self.live.get(id);
        live.is_some_and(|job| job.mod_revision > 0) || self.ended.iter().any(|ended| ended == id)
    }

    /// Empties the view, to be listed anew.
    pub(crate) fn restart(&mut self) {
        self.built = false;
        self.live.clear();
        self.revision = None;
        self.unlisted_prefixes = PREFIXES.to_vec();
        self.last_key = None;
    }
}
