//! Reads the records of a new leader or holder from the key-value store. A record that cannot be decoded is called
//! unreadable.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::context::Context;
use crate::scheduler::store_reads::{Loading, LIST_PAGE_KEYS};
use crate::scheduler::Scheduler;
use crate::{Micros, Outcome, MILLI};
use grebewood_partition::{PartitionId, PartitionMap};
use grebewood_wire as wire;
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{
    ASSIGNMENT_PAGE_PREFIX, CATALOGUE_KEY, COMPLETED_TASKS_PREFIX, JOB_PREFIX,
    LEGACY_CANCEL_PREFIX, PARTITION_PREFIX, PROVISION_PREFIX, QUOTA_PREFIX, STATS_KEY,
};
use grebewood_wire::Value;
use log::{error, warn};

pub(crate) mod assignments;
pub(crate) mod completed_tasks;
pub(crate) mod jobs;
pub(crate) mod records;

/// Pause before a failed read is sent again.
const RETRY_PAUSE_US: Micros = 200 * MILLI;

impl Scheduler {
    /// Starts to read the records from the store.
    pub(crate) fn start_loading(&mut self, context: &mut Context) {
        let reads = self.records_to_load(context);
        self.loading = Some(Loading::new(&reads, context.now.steady));
        self.run_loading(context);
    }

    /// Returns the prefixes and keys to read.
    fn records_to_load(&self, context: &Context) -> Vec<String> {
        let mut reads = vec![JOB_PREFIX.to_string(), LEGACY_CANCEL_PREFIX.to_string()];
        match self.partition() {
            None => {
                // Members claim partitions only under a leader that supports them. A leader that does not can
                // ignore claims, since its token is higher than that of every claim.
                let partitions = context.supports_partitions().then_some(PARTITION_PREFIX);
                let quota = context.supports_quota_grants().then_some(QUOTA_PREFIX);
                let of_leader = [
                    COMPLETED_TASKS_PREFIX,
                    ASSIGNMENT_PAGE_PREFIX,
                    PROVISION_PREFIX,
                    STATS_KEY,
                    CATALOGUE_KEY,
                ];
                let of_leader = of_leader.into_iter().chain(partitions).chain(quota);
                reads.extend(of_leader.map(str::to_string));
            }
            // The leader reports to the holder which tasks may be on its machines, except for those that this
            // holder or an earlier one has placed.
            Some(id) if self.places_tasks(context) => reads.push(holder_pages_prefix(id)),
            Some(_) => {}
        }
        reads
    }

    /// Sends the reads that are due.
    pub(crate) fn run_loading(&mut self, context: &mut Context) {
        let token = self.token;
        let Some(loading) = &mut self.loading else {
            return;
        };
        for read in loading.take_due(context.now.steady) {
            let single_key = [STATS_KEY, CATALOGUE_KEY]
                .into_iter()
                .find(|key| *key == read);
            let (path, call) = match single_key {
                Some(key) => (format!("/kv/{key}"), SchedulerCall::Read { key }),
                None => {
                    let last_key = loading.last_key(&read);
                    let after = last_key.map_or(String::new(), |key| format!("&since={key}"));
                    let path = format!("/kv?prefix={read}{after}&page={LIST_PAGE_KEYS}");
                    (path, SchedulerCall::List { prefix: read })
                }
            };
            let purpose = CallPurpose::Scheduler { token, call };
            context.get_from_store(path, purpose);
        }
    }

    /// Handles a page of a list: of the initial load, of a watch that lists its keys again, or of the provision
    /// sweep.
    pub(crate) fn on_list(&mut self, context: &mut Context, prefix: &str, outcome: Outcome) {
        let now = context.now.steady;
        let page = match &outcome {
            Outcome::Answer { status: 200, body } => wire::from_cbor::<KeyValueList>(body),
            _ => Err(wire::DecodeError("no response".into())),
        };
        let Some(loading) = &mut self.loading else {
            return match prefix {
                PROVISION_PREFIX => self.on_provision_sweep(context, page.ok()),
                _ => self.on_relist(context, prefix, page.ok()),
            };
        };
        match page {
            Ok(page) => {
                loading.add_page(prefix, page, now);
                if prefix == PARTITION_PREFIX && loading.has_read(PARTITION_PREFIX) {
                    self.on_partitions_read(context);
                }
            }
            Err(error) => {
                warn!(key = prefix, error:% = error; "cannot list the keys with a prefix; trying again");
                loading.retry(prefix, now + RETRY_PAUSE_US);
            }
        }
        self.run_loading(context);
        self.finish_loading(context);
    }

    /// Loads the partitions as soon as all of them have been read, because the responses to heartbeats depend on
    /// them.
    fn on_partitions_read(&mut self, context: &Context) {
        let entries = self
            .loading
            .as_mut()
            .map(|loading| loading.take(PARTITION_PREFIX));
        let mut map = PartitionMap::default();
        for entry in entries.unwrap_or_default() {
            if let Err(error) = map.apply_put(&entry.key, &entry.value, entry.mod_revision) {
                error!(key = entry.key, error:% = error; "cannot decode a partition record; leaving it in the key-value store");
            }
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
        }
        self.load_partitions(context, &map);
    }

    /// Handles the reply to the read of a single key.
    pub(crate) fn on_read(&mut self, context: &mut Context, key: &'static str, outcome: Outcome) {
        let Some(loading) = &mut self.loading else {
            return;
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                loading.finish(key);
                match wire::from_cbor::<KeyValue<Value>>(&body) {
                    Ok(entry) => loading.add_entry(key, entry),
                    Err(error) => error!(key = key, error:% = error; "cannot decode a record"),
                }
            }
            Outcome::Answer { status: 404, .. } => loading.finish(key),
            _ => loading.retry(key, context.now.steady + RETRY_PAUSE_US),
        }
        self.finish_loading(context);
    }
}

/// Returns the key prefix of the assignment pages that the holder of a partition writes. Pages of some other
/// partitions have the same prefix.
fn holder_pages_prefix(partition: PartitionId) -> String {
    format!("{ASSIGNMENT_PAGE_PREFIX}0/{partition}")
}

/// Returns the number of an assignment page from its key.
fn page_number(key: &str) -> Option<u64> {
    key.rsplit_once('/')?.1.parse().ok()
}
