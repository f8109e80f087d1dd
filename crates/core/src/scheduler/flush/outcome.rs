//! Handles the store's response to a flush.

use crate::context::Context;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::Scheduler;
use crate::state::jobs::{FinalStatus, Job, JobIndex};
use crate::state::write_buffer::{Batch, RecordId};
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{TransactionApplied, TransactionConflict};
use grebewood_wire::records::{
    cancel_key, job_key, JobKey, COMPLETED_TASKS_PREFIX, FINISHED_PREFIX, LEGACY_CANCEL_PREFIX,
};
use log::{info, warn};

/// Maximum number of ids of recently ended jobs that are kept.
const MAX_RECENTLY_ENDED: usize = 200;

/// Maximum number of bytes of a response that are logged.
const MAX_LOGGED_BYTES: usize = 200;

const HTTP_TOO_MANY_REQUESTS: u16 = 429;

const HTTP_SERVICE_UNAVAILABLE: u16 = 503;

impl Scheduler {
    /// Handles the store's response to a flush. The error says why the fenced lease is lost.
    pub(crate) fn on_flush(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), FencedLeaseLost> {
        let Some(batch) = self.write_buffer.in_flight.take() else {
            return Ok(());
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<TransactionApplied>(&body) {
                    Ok(applied) => {
                        self.flush_failures = 0;
                        self.on_flush_applied(context, &batch, applied.revision);
                    }
                    Err(_) => self.read_back(context, batch),
                }
            }
            Outcome::Answer { status: 409, body } => {
                return self.on_flush_conflict(context, &batch, &body);
            }
            Outcome::Unknown | Outcome::TooLarge => self.read_back(context, batch),
            Outcome::Answer { status: 400, body } => {
                self.on_flush_refused(context, &batch, &beginning_of(&body));
            }
            Outcome::Answer { status, body } => self.on_flush_error(context, status, &body),
            Outcome::NotSent => self.on_flush_failed(context),
        }
        Ok(())
    }

    /// Handles a transaction that the store did not apply because a condition did not hold.
    fn on_flush_conflict(
        &mut self,
        context: &mut Context,
        batch: &Batch,
        body: &[u8],
    ) -> Result<(), FencedLeaseLost> {
        let conflict = wire::from_cbor::<TransactionConflict>(body);
        let failed_keys = conflict.map_or_else(|_| Vec::new(), |conflict| conflict.failed);
        self.write_buffer.back_off(context.now.steady, MILLI);
        self.on_conditions_failed(&failed_keys)?;
        if failed_keys.is_empty() {
            // The response does not say which conditions failed, so the mod_revisions of all keys are read, with a
            // pause that limits the load on the store.
            self.write_buffer.stale_keys.extend(batch.keys());
            self.on_flush_failed(context);
        }
        for key in failed_keys {
            if self.is_condition(&key) {
                continue;
            }
            if let Some(JobKey::Cancelled(job)) = JobKey::parse(&key) {
                self.on_cancelled(context, job, None);
            }
            self.write_buffer.stale_keys.push(key);
        }
        Ok(())
    }

    fn on_flush_error(&mut self, context: &mut Context, status: u16, body: &[u8]) {
        let now = context.now.steady;
        if status != HTTP_TOO_MANY_REQUESTS && status != HTTP_SERVICE_UNAVAILABLE {
            let response = beginning_of(body);
            warn!(status = status, error = response; "unexpected response of the key-value store to a transaction");
        }
        if status == HTTP_TOO_MANY_REQUESTS {
            context.write_limiter(self.role).discard_tokens(now);
        }
        self.on_flush_failed(context);
    }

    /// Handles a transaction that the store has applied at this revision.
    pub(crate) fn on_flush_applied(&mut self, context: &mut Context, batch: &Batch, revision: u64) {
        self.write_buffer.on_batch_applied(batch, revision);
        self.held_heartbeats_may_be_ready = true;
        for (record, _) in &batch.records {
            self.on_record_written(context, record);
        }
        if self.is_holder() {
            self.record_durable_placements();
        }
    }

    fn on_record_written(&mut self, context: &mut Context, record: &RecordId) {
        let now = context.now.steady;
        match record {
            RecordId::JobEnd(index) => {
                if let Some(job) = self.jobs.get(*index) {
                    log_job_end(job, now);
                }
                self.forget_ended_job(*index);
            }
            RecordId::PendingProvision(machine) => {
                self.fleet.record_provision_durable(now, machine)
            }
            RecordId::QuotaGrant(partition) => {
                self.leader_quota.grants.on_record_written(*partition);
                self.schedule_quota_grant_write(context, *partition, 0);
            }
            RecordId::Limits => self.placement.request_round(now),
            _ => {}
        }
    }

    /// Forgets a job whose end the store has.
    pub(crate) fn forget_ended_job(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.remove(index) else {
            return;
        };
        let keys = [
            job_key(&job.id),
            cancel_key(&job.id),
            format!("{LEGACY_CANCEL_PREFIX}{}", job.id),
            format!("{FINISHED_PREFIX}{}", job.id),
            format!("{COMPLETED_TASKS_PREFIX}{}/0", job.id),
        ];
        for key in &keys {
            self.write_buffer.mod_revisions.remove(key);
        }
        self.completed_pages.remove_job(index, &job);
        self.progress_dirty.remove(&index);
        self.write_buffer.forget(&RecordId::JobEnd(index));
        self.recently_ended.push_back(job.id);
        if self.recently_ended.len() > MAX_RECENTLY_ENDED {
            self.recently_ended.pop_front();
        }
    }
}

fn log_job_end(job: &Job, now: Micros) {
    info!(
        job = job.id,
        status = job.ending.map_or("over", FinalStatus::as_str),
        team = job.spec.team,
        class = job.spec.class,
        tasks = job.task_count(),
        age_s = job.age(now) / SECOND,
        first_start_s = job.age_at_first_run.unwrap_or(0) / SECOND,
        mean_run_s = job.mean_run_time.0 / SECOND;
        "job ended"
    );
}

/// Returns the beginning of a response, for the log.
fn beginning_of(body: &[u8]) -> String {
    let logged = &body[..body.len().min(MAX_LOGGED_BYTES)];
    String::from_utf8_lossy(logged).to_string()
}
