//! Builds the state of the scheduler once all records have been read.

use crate::context::{Context, Role};
use crate::scheduler::loading::{holder_pages_prefix, page_number};
use crate::scheduler::store_reads::{Loading, Watch};
use crate::scheduler::Scheduler;
use crate::state::stats::Stats;
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{
    partition_of_page, ProvisionRecord, ASSIGNMENT_PAGE_PREFIX, CATALOGUE_KEY,
    COMPLETED_TASKS_PREFIX, JOB_PREFIX, LEGACY_CANCEL_PREFIX, PROVISION_PREFIX, QUOTA_PREFIX,
    STATS_KEY,
};
use grebewood_wire::Value;
use log::{error, info};

impl Scheduler {
    /// Builds the state of the scheduler if all records have been read.
    pub(crate) fn finish_loading(&mut self, context: &mut Context) {
        if !self.loading.as_ref().is_some_and(Loading::is_finished) {
            return;
        }
        let Some(mut loading) = self.loading.take() else {
            return;
        };
        let cancellations = self.load_jobs(
            context,
            loading.take(JOB_PREFIX),
            loading.take(LEGACY_CANCEL_PREFIX),
        );
        self.load_completed_tasks(context, loading.take(COMPLETED_TASKS_PREFIX));
        if self.role == Role::Leader {
            self.load_quota(context, loading.take(QUOTA_PREFIX));
        }
        let pages = self.own_pages(&mut loading);
        self.load_assignment_pages(context, pages);
        self.load_provisions(context, loading.take(PROVISION_PREFIX));
        self.load_stats(loading.take(STATS_KEY));
        self.load_catalogue(context, loading.take(CATALOGUE_KEY));
        self.start_timers(context);
        let watch = Watch::since(loading.revision(JOB_PREFIX));
        self.watches.insert(JOB_PREFIX, watch);
        self.load_cancellations(context, &cancellations);
        self.record_durable_placements();
        // An earlier leader may have written pages under higher limits of the store.
        self.split_pages(context);
        self.end_completed_jobs(context);
        self.record_started_jobs(context);
        // The headroom is computed before any task is placed. Otherwise, batch tasks take the resources that are
        // reserved for services during the first second of each leader.
        self.headroom
            .update(context, &self.jobs, self.machines.len());
        info!(
            token = self.token,
            jobs = self.jobs.len(),
            machines_with_tasks = self.machines.len();
            "loaded the records from the key-value store"
        );
    }

    /// Returns the assignment pages that this scheduler needs: all pages for the leader, those of its partition for
    /// a holder.
    fn own_pages(&self, loading: &mut Loading) -> Vec<KeyValue<Value>> {
        let Some(partition) = self.partition() else {
            return loading.take(ASSIGNMENT_PAGE_PREFIX);
        };
        // Pages of some other partitions have the same prefix.
        let mut pages = loading.take(&holder_pages_prefix(partition));
        pages.retain(|page| page_number(&page.key).and_then(partition_of_page) == Some(partition));
        pages
    }

    fn load_provisions(&mut self, context: &Context, entries: Vec<KeyValue<Value>>) {
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
            match from_value::<ProvisionRecord>(&entry.value) {
                Ok(provision) => {
                    let machine = entry.key.trim_start_matches(PROVISION_PREFIX).to_string();
                    self.fleet.recover_provision(context, machine, provision);
                }
                Err(error) => {
                    error!(key = entry.key, error:% = error; "cannot decode the record of a provisioning request")
                }
            }
        }
    }

    fn load_stats(&mut self, entries: Vec<KeyValue<Value>>) {
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
            match from_value(&entry.value) {
                Ok(record) => self.stats = Stats::from_record(&record),
                Err(error) => {
                    error!(key = STATS_KEY, error:% = error; "cannot decode the record of statistics")
                }
            }
        }
    }

    /// Records the revision of the catalogue record, or requests a read of the catalogue if there is no record. Its
    /// content is not needed here, since each controller reads the catalogue on its own.
    fn load_catalogue(&mut self, context: &Context, entries: Vec<KeyValue<Value>>) {
        if entries.is_empty() {
            self.fleet.next_catalogue_read = context.now.steady;
        }
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
        }
    }

    fn start_timers(&mut self, context: &Context) {
        let now = context.now.steady;
        self.loaded_at = now;
        self.last_heartbeat_at = now;
        self.placement.next_at = now;
    }
}
