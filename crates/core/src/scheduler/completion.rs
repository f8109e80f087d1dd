//! Handles cancellations and the end of jobs.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{FinalStatus, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::records::{cancel_key, CancelRecord, LEGACY_CANCEL_PREFIX};
use log::error;

/// Priority of the write of a job end: it precedes changes that have been due for less than this time, because the
/// user waits for it, and because it makes every later read of all records smaller.
const JOB_END_PRIORITY_US: Micros = 10 * SECOND;

impl Scheduler {
    /// Marks the job as cancelled: no task of it is started any more, and tasks that may be running are stopped.
    ///
    /// `record` contains the time of the cancellation, from which the cancellation timeout is counted also under
    /// later leaders. Without this, each new leader would restart the timeout and keep an unreachable machine for
    /// too long.
    pub(crate) fn on_cancelled(
        &mut self,
        context: &mut Context,
        id: &str,
        record: Option<&CancelRecord>,
    ) {
        // A job that another leader accepted in the meantime may not be known yet. Its cancellation is applied when
        // its record arrives.
        let Some(index) = self.jobs.find(id) else {
            return;
        };
        let now = context.now.steady;
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        if job.cancelled_at.is_some() {
            return;
        }
        self.holder_state.record_cancelled(id, now);
        let age = record.map_or(0, |record| {
            context.now.wall.saturating_sub(record.cancelled_us)
        });
        job.cancelled_at = Some(now as i64 - age as i64);
        job.ending = None;
        self.uncordon_machines_not_at_fault(context);
        self.revoke_delegated_tasks(context, index);
        self.stop_job(context, index);
        self.end_if_over(context, index);
    }

    /// Applies the cancellation of a job if this controller knows of one from any source.
    pub(crate) fn apply_cancellation(&mut self, context: &mut Context, id: &str) {
        if !self.is_loaded() {
            return;
        }
        let Some(known) = context.cancellations.get(id) else {
            return;
        };
        let record = CancelRecord {
            cancelled_us: known.cancelled_us,
        };
        self.on_cancelled(context, id, Some(&record));
    }

    /// Retracts the cancellation of a job for which the store has none: the information was wrong, and the job
    /// continues. Only a cancellation in the store may end the job.
    pub(crate) fn retract_cancellation(&mut self, context: &mut Context, id: &str) {
        context.cancellations.forget(id);
        let index = self.jobs.find(id);
        let job = index.and_then(|index| self.jobs.get_mut(index));
        if let Some(job) = job.filter(|job| job.cancelled_at.is_some()) {
            error!(job = id; "key-value store has no cancellation of the job; the job continues");
            job.cancelled_at = None;
            job.ending = None;
            self.placement.request_round(context.now.steady);
        }
    }

    /// Returns the key under which the store has, or would have, the cancellation of the job.
    pub(crate) fn cancellation_key(&self, id: &str) -> String {
        let legacy = format!("{LEGACY_CANCEL_PREFIX}{id}");
        if self.write_buffer.is_in_store(&legacy) {
            legacy
        } else {
            cancel_key(id)
        }
    }

    /// Schedules the write of the end of a job if the job is over.
    pub(crate) fn end_if_over(&mut self, context: &Context, index: JobIndex) {
        // Only the leader ends jobs.
        if self.is_holder() {
            return;
        }
        let Some(ending) = self.final_status(index) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        if job.ending == Some(ending) {
            return;
        }
        job.ending = Some(ending);
        let id = job.id.clone();
        let cancellation = self.cancellation_key(&id);
        if ending == FinalStatus::Aborted && !self.write_buffer.is_in_store(&cancellation) {
            // The cancellation is known only from a peer or from a user request. A job ends as cancelled only if the
            // store has its cancellation, so the mod_revision of the cancellation record is read first.
            self.write_buffer.stale_keys.push(cancellation);
        }
        let due = context.now.steady.saturating_sub(JOB_END_PRIORITY_US);
        self.write_buffer
            .mark_dirty_by(RecordId::JobEnd(index), due);
    }

    /// Returns the final status of the job if it is over.
    fn final_status(&self, index: JobIndex) -> Option<FinalStatus> {
        let job = self.jobs.get(index)?;
        if job.cancelled_at.is_some() {
            return self
                .has_no_assigned_tasks(index)
                .then_some(FinalStatus::Aborted);
        }
        job.has_completed_all_tasks().then_some(FinalStatus::Done)
    }
}
