//! What follows from the store's answer to a flush.

use crate::context::Context;
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

/// Most ids of recently ended jobs that are kept.
const MAX_RECENTLY_ENDED: usize = 200;

/// Most bytes of an answer that are logged.
const LOGGED_BYTES: usize = 200;

const TOO_MANY_REQUESTS: u16 = 429;

const UNAVAILABLE: u16 = 503;

impl Scheduler {
    /// Takes the store's answer to a flush. The error says why the fenced lease is lost.
    pub(crate) fn on_flush(
        &mut self,
        context: &mut Context,
        outcome: Outcome,
    ) -> Result<(), String> {
        let Some(batch) = self.write_buffer.in_flight.take() else {
            return Ok(());
        };
        match outcome {
            Outcome::Answer { status: 200, body } => {
                match wire::from_cbor::<TransactionApplied>(&body) {
                    Ok(applied) => {
                        self.flush_failures = 0;
                        self.flushed(context, &batch, applied.revision);
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
            Outcome::NotSent => self.flush_failed(context),
        }
        Ok(())
    }

    /// A condition of the transaction did not hold.
    fn on_flush_conflict(
        &mut self,
        context: &mut Context,
        batch: &Batch,
        body: &[u8],
    ) -> Result<(), String> {
        let conflict = wire::from_cbor::<TransactionConflict>(body);
        let failed_keys = conflict.map_or_else(|_| Vec::new(), |conflict| conflict.failed);
        self.write_buffer.back_off(context.now.steady, MILLI);
        self.conditions_failed(&failed_keys)?;
        if failed_keys.is_empty() {
            // The answer does not say which: the mod_revisions of all are read, at a pace that leaves the store room.
            self.write_buffer.stale_keys.extend(batch.keys());
            self.flush_failed(context);
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
        if status != TOO_MANY_REQUESTS && status != UNAVAILABLE {
            let answer = beginning_of(body);
            warn!(status = status, error = answer; "flush got an unexpected answer");
        }
        if status == TOO_MANY_REQUESTS {
            context.write_limiter(self.role).drain(now);
        }
        self.flush_failed(context);
    }

    /// The store applied the transaction at this revision.
    pub(crate) fn flushed(&mut self, context: &mut Context, batch: &Batch, revision: u64) {
        self.write_buffer.on_batch_applied(batch, revision);
        self.held_changed = true;
        for (record, _) in &batch.records {
            self.on_record_written(context, record);
        }
        if self.is_holder() {
            self.note_durable_placements();
        }
    }

    fn on_record_written(&mut self, context: &mut Context, record: &RecordId) {
        let now = context.now.steady;
        match record {
            RecordId::JobEnd(index) => {
                if let Some(job) = self.jobs.get(*index) {
                    log_job_end(job, now);
                }
                self.job_ended(*index);
            }
            RecordId::PendingProvision(machine) => self.fleet.note_provision_durable(now, machine),
            RecordId::QuotaGrant(partition) => {
                self.leader_quota.grants.on_record_written(*partition);
                self.write_quota_grant(context, *partition, 0);
            }
            RecordId::Limits => self.placement.request_round(now),
            _ => {}
        }
    }

    /// Forgets a job whose end is on record.
    pub(crate) fn job_ended(&mut self, index: JobIndex) {
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

/// The beginning of an answer, for the log.
fn beginning_of(body: &[u8]) -> String {
    let logged = &body[..body.len().min(LOGGED_BYTES)];
    String::from_utf8_lossy(logged).to_string()
}
