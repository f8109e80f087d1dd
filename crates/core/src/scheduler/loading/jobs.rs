//! Loads jobs and their cancellations.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{Job, JobIndex};
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{CancelRecord, JobKey, JobRecord, JOB_PREFIX};
use grebewood_wire::Value;
use log::error;

impl Scheduler {
    /// Adds the live jobs. Returns all cancellations: first those in the format of an earlier version, then those
    /// that are listed with the jobs.
    pub(crate) fn load_jobs(
        &mut self,
        context: &Context,
        jobs: Vec<KeyValue<Value>>,
        legacy_cancellations: Vec<KeyValue<Value>>,
    ) -> Vec<KeyValue<Value>> {
        let is_cancellation = |entry: &KeyValue<Value>| {
            matches!(JobKey::parse(&entry.key), Some(JobKey::Cancelled(_)))
        };
        let (cancellations, live): (Vec<_>, Vec<_>) = jobs.into_iter().partition(is_cancellation);
        for entry in live {
            self.add_job(context, &entry.key, &entry.value, entry.mod_revision);
        }
        let mut all_cancellations = legacy_cancellations;
        all_cancellations.extend(cancellations);
        all_cancellations
    }

    /// Adds a live job from its record, unless it is already known or ended recently.
    pub(crate) fn add_job(
        &mut self,
        context: &Context,
        key: &str,
        value: &Value,
        mod_revision: u64,
    ) {
        let Some(id) = key.strip_prefix(JOB_PREFIX) else {
            return;
        };
        if self.jobs.find(id).is_some() || self.recently_ended.iter().any(|ended| ended == id) {
            return;
        }
        match from_value::<JobRecord>(value) {
            Ok(record) if record.spec.id == id => {
                self.write_buffer.record_revision(key, mod_revision);
                let job = Job::new(record, context.now.steady, context.now.wall);
                self.headroom.record_job(&job, context.now.steady);
                self.jobs.insert(job);
                self.placement.request_round(context.now.steady);
            }
            Ok(_) => {
                error!(key = key; "job record contains the id of another job; leaving it in the key-value store")
            }
            Err(error) => {
                if !self.unreadable_job_keys.iter().any(|known| known == key) {
                    error!(key = key, error:% = error; "cannot decode a job record; leaving it in the key-value store");
                    self.unreadable_job_keys.push(key.to_string());
                }
            }
        }
    }

    /// Applies the cancellations that were read from the key-value store, then those that this controller has learned
    /// from later requests or from its peers.
    pub(crate) fn load_cancellations(
        &mut self,
        context: &mut Context,
        entries: &[KeyValue<Value>],
    ) {
        for entry in entries {
            self.write_buffer
                .record_revision(&entry.key, entry.mod_revision);
        }
        for entry in entries {
            let record = from_value::<CancelRecord>(&entry.value);
            if let Err(error) = &record {
                error!(key = entry.key, error:% = error; "cannot decode a cancellation record; treating the job as cancelled");
            }
            if let Some(JobKey::Cancelled(job)) = JobKey::parse(&entry.key) {
                self.on_cancelled(context, job, record.ok().as_ref());
            }
        }
        let known = context.cancellations.jobs();
        let known: Vec<String> = known.map(|(job, _)| job.into()).collect();
        for job in known {
            self.apply_cancellation(context, &job);
        }
        context
            .cancellations
            .record_store_read(self.lease_acquired_at);
    }

    /// Ends the jobs whose tasks are all completed.
    pub(crate) fn end_completed_jobs(&mut self, context: &Context) {
        let completed = self
            .jobs
            .iter()
            .filter(|(_, job)| job.has_completed_all_tasks());
        let completed: Vec<JobIndex> = completed.map(|(index, _)| index).collect();
        for index in completed {
            self.end_if_over(context, index);
        }
    }

    /// Sets the time to the first start of jobs that have completed tasks to their current age, which is its upper
    /// bound.
    pub(crate) fn record_started_jobs(&mut self, context: &Context) {
        for index in self.jobs.indices() {
            let job = self.jobs.get_mut(index);
            if let Some(job) = job.filter(|job| job.completed_count > 0) {
                job.age_at_first_run = Some(job.age(context.now.steady));
            }
        }
    }
}
