//! Renders records into the conditions and operations that write their current content.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{FinalStatus, JobIndex};
use crate::state::write_buffer::{RecordId, RecordWrite};
use crate::transactions::{absent, put};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{to_value, Operation};
use grebewood_wire::records::{
    job_key, partition_key, quota_grant_key, FinishedJobRecord, ASSIGNMENT_PAGE_PREFIX,
    CATALOGUE_KEY, COMPLETED_TASKS_PREFIX, FINISHED_PREFIX, PROVISION_PREFIX, QUOTA_LIMITS_KEY,
    STATS_KEY,
};
use log::warn;
use serde::Serialize;

impl Scheduler {
    /// Renders the current content of a record. Returns `None` if the record need not be written any more.
    pub(crate) fn render(&mut self, context: &Context, record: &RecordId) -> Option<RecordWrite> {
        match record {
            RecordId::QuotaGrant(partition) => self.render_quota_grant(*partition),
            RecordId::AssignmentPage(number) => self.render_assignments(context, *number),
            RecordId::CompletedTasksPage(number) => {
                let content = self.completed_pages.record(*number, &self.jobs);
                Some(self.put_if_unchanged(format!("{COMPLETED_TASKS_PREFIX}{number}"), &content))
            }
            RecordId::PendingProvision(machine) => self.render_provision(machine),
            RecordId::Stats => {
                let content = self.stats.record_within(self.max_value_bytes);
                Some(self.put_if_unchanged(STATS_KEY.into(), &content))
            }
            RecordId::Catalogue => self.render_catalogue(context),
            RecordId::Limits => self.render_limits(),
            RecordId::Partition(id) => {
                let content = self.remote_partitions.record(*id)?;
                Some(self.put_if_unchanged(partition_key(*id), content))
            }
            RecordId::Deleted(key) => self.delete_if_unchanged(key),
            RecordId::JobEnd(index) => self.render_job_end(*index),
        }
    }

    /// Returns the write that puts a key on the condition that the key has not changed.
    fn put_if_unchanged<T: Serialize>(&self, key: String, content: &T) -> RecordWrite {
        RecordWrite {
            conditions: vec![self.write_buffer.unchanged_condition(&key)],
            operations: vec![put(key, content)],
        }
    }

    /// Returns the write that deletes a key on the condition that the key has not changed; `None` if there is no
    /// such key.
    fn delete_if_unchanged(&self, key: &str) -> Option<RecordWrite> {
        self.write_buffer.is_in_store(key).then(|| RecordWrite {
            conditions: vec![self.write_buffer.unchanged_condition(key)],
            operations: vec![delete(key)],
        })
    }

    fn render_quota_grant(&mut self, partition: PartitionId) -> Option<RecordWrite> {
        if !self.leader_quota.grants.differs_from_record(partition) {
            return None;
        }
        let claim = self.remote_partitions.claim_token(partition).unwrap_or(0);
        let content = self.leader_quota.grants.build_record(partition, claim);
        Some(self.put_if_unchanged(quota_grant_key(partition), &content))
    }

    fn render_assignments(&self, context: &Context, page: u64) -> Option<RecordWrite> {
        if !self.is_holder() && self.partition_writing_page(context, page).is_some() {
            return None;
        }
        let key = format!("{ASSIGNMENT_PAGE_PREFIX}0/{page}");
        Some(self.put_if_unchanged(key, &self.page_record(page)))
    }

    fn render_provision(&self, machine: &str) -> Option<RecordWrite> {
        let key = format!("{PROVISION_PREFIX}{machine}");
        match self.fleet.provision_record(machine) {
            Some(content) => Some(self.put_if_unchanged(key, &content)),
            None => self.delete_if_unchanged(&key),
        }
    }

    fn render_catalogue(&self, context: &Context) -> Option<RecordWrite> {
        let machine_types = context.catalogue.clone()?;
        let content = wire::http::Catalogue { machine_types };
        if wire::json_size(&to_value(&content)) > self.max_value_bytes {
            // If the store had only a part of the catalogue, jobs that can run would be refused. Without a record,
            // each controller reads the catalogue from the cloud.
            warn!(key = CATALOGUE_KEY; "catalogue of machine types exceeds the maximum value size of the key-value store; not writing it");
            return None;
        }
        Some(self.put_if_unchanged(CATALOGUE_KEY.into(), &content))
    }

    fn render_limits(&self) -> Option<RecordWrite> {
        let content = self.limits_record();
        if wire::json_size(&to_value(&content)) > self.max_value_bytes {
            warn!(key = QUOTA_LIMITS_KEY; "team limits exceed the maximum value size of the key-value store; granting no quota to partition holders");
            return None;
        }
        Some(self.put_if_unchanged(QUOTA_LIMITS_KEY.into(), &content))
    }

    /// Renders the end of a job: writes its final status and deletes its live records.
    fn render_job_end(&self, index: JobIndex) -> Option<RecordWrite> {
        let job = self.jobs.get(index)?;
        let ending = job.ending?;
        let (live, finished) = (job_key(&job.id), format!("{FINISHED_PREFIX}{}", job.id));
        let cancellation = self.cancellation_key(&job.id);
        let content = FinishedJobRecord {
            status: ending.as_str().into(),
            tasks: job.task_count(),
        };
        let mut write = RecordWrite {
            conditions: vec![
                absent(&finished),
                self.write_buffer.unchanged_condition(&live),
            ],
            operations: vec![put(finished, &content), delete(&live)],
        };
        match ending {
            // A cancellation that is in the store before the end takes precedence.
            FinalStatus::Done => write.conditions.push(absent(&cancellation)),
            FinalStatus::Aborted => self.add_deletion(&mut write, &cancellation),
        }
        // A record in the format of an earlier version. Further records of this kind are left behind, which wastes
        // space but is harmless.
        let legacy = format!("{COMPLETED_TASKS_PREFIX}{}/0", job.id);
        if self.write_buffer.is_in_store(&legacy)
            && write.operations.len() < self.max_transaction_operations
        {
            self.add_deletion(&mut write, &legacy);
        }
        Some(write)
    }

    fn add_deletion(&self, write: &mut RecordWrite, key: &str) {
        write
            .conditions
            .push(self.write_buffer.unchanged_condition(key));
        write.operations.push(delete(key));
    }
}

fn delete(key: &str) -> Operation {
    Operation::Delete {
        delete: key.to_string(),
    }
}
