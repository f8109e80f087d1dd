//! A controller's view of the live jobs at a revision of the key-value store.

use crate::calls::{UserAction, UserRequest};
use crate::{Micros, MILLI};
use grebewood_wire as wire;
use grebewood_wire::records::{JobKey, JobRecord, JOB_PREFIX, LEGACY_CANCEL_PREFIX};
use grebewood_wire::Value;
use log::error;
use std::collections::{BTreeMap, VecDeque};

/// A live job in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveJob {
    /// Number of tasks of the job; 0 if the job record cannot be decoded.
    pub tasks: u64,
    /// The mod_revision of the job record; 0 if only the cancellation was read.
    pub mod_revision: u64,
    /// Whether the job is cancelled.
    pub cancelled: bool,
}

/// Key prefixes that are listed to build the view, in this order.
const PREFIXES: [&str; 2] = [JOB_PREFIX, LEGACY_CANCEL_PREFIX];

/// Time that a poll waits for the view, in microseconds. Users wait 2 s for the response.
const POLL_WAIT_US: Micros = 1_400 * MILLI;

/// Time that a submission or cancellation waits for the view, in microseconds. Users wait 5 s for the response. With
/// the shorter wait of a poll, all of them would be refused when the key-value store is slow or when the response to a
/// transaction is lost, and users would repeat each of them a second later.
const WRITE_WAIT_US: Micros = 3_400 * MILLI;

/// Maximum number of ended jobs that are remembered.
const MAX_ENDED_JOBS: usize = 500;

/// View of the live jobs, and the users' requests that wait for it.
#[derive(Debug, Default)]
pub struct JobView {
    live: BTreeMap<String, LiveJob>,
    /// Ids of the jobs that ended most recently. A repeated submission of such a job needs no write.
    ended: VecDeque<String>,
    /// Revision up to which the view is up to date; while the view is being listed, the revision of the first page.
    pub(crate) revision: Option<u64>,
    /// Key prefixes of the job records that are not completely listed yet.
    pub(crate) unlisted_prefixes: Vec<&'static str>,
    /// Last key that was read under the first of the unlisted prefixes.
    pub(crate) last_key: Option<String>,
    /// Whether all prefixes have been listed.
    pub(crate) is_fully_listed: bool,
    /// Whether a request to the key-value store is in flight.
    pub(crate) request_in_flight: bool,
    /// Earliest time of the next request to the key-value store.
    pub(crate) next_request: Micros,
    /// Time at which the view is updated even if no user's request waits for it.
    pub(crate) refresh_at: Micros,
    /// Users' requests that wait for the reply to the request in flight.
    pub(crate) awaiting_reply: Vec<UserRequest>,
    /// Users' requests that wait for the next request to the key-value store.
    pub(crate) waiting: Vec<UserRequest>,
}

impl UserRequest {
    /// Returns the time until which the request waits for the view, in microseconds of the steady clock.
    pub(crate) fn view_deadline(&self) -> Micros {
        let wait = match self.action {
            UserAction::Poll => POLL_WAIT_US,
            UserAction::Submit(_) | UserAction::Malformed(_) | UserAction::Cancel => WRITE_WAIT_US,
        };
        self.arrived_at + wait
    }
}

impl JobView {
    /// Returns the live job with this id.
    pub fn get(&self, id: &str) -> Option<&LiveJob> {
        self.live.get(id)
    }

    /// Returns whether the view has to be updated before its next refresh.
    pub(crate) fn needs_update(&self) -> bool {
        !self.is_fully_listed || !self.waiting.is_empty()
    }

    /// Returns the time of the next action of the view, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        let next_request = if self.request_in_flight {
            Micros::MAX
        } else if self.needs_update() {
            self.next_request
        } else {
            self.next_request.max(self.refresh_at)
        };
        let deadline = self.waiting.iter().map(UserRequest::view_deadline).min();
        next_request.min(deadline.unwrap_or(Micros::MAX))
    }

    /// Applies a put of a record that was read from the key-value store. Keys that do not belong to a job are
    /// ignored.
    pub(crate) fn apply_put(&mut self, key: &str, value: &Value, mod_revision: u64) {
        match JobKey::parse(key) {
            Some(JobKey::Live(id)) => {
                let tasks = match wire::http::from_value::<JobRecord>(value) {
                    Ok(record) => record.spec.tasks,
                    Err(e) => {
                        error!(job = id, path = key, error:% = e; "cannot decode a job record; keeping the job in the view without tasks");
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

    /// Applies the deletion of a key that was read from the key-value store. Deletions of cancellations are ignored,
    /// since a cancellation is deleted together with its job in one transaction.
    pub(crate) fn apply_delete(&mut self, key: &str) {
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

    /// Returns whether the job is known to have been accepted: it is live or is remembered as ended.
    pub fn is_known_accepted(&self, id: &str) -> bool {
        let live = self.live.get(id);
        live.is_some_and(|job| job.mod_revision > 0) || self.ended.iter().any(|ended| ended == id)
    }

    /// Empties the view so that it is listed again.
    pub(crate) fn reset(&mut self) {
        self.is_fully_listed = false;
        self.live.clear();
        self.revision = None;
        self.unlisted_prefixes = PREFIXES.to_vec();
        self.last_key = None;
    }
}
