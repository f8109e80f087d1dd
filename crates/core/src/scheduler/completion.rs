//! Cancellations and the end of jobs.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{FinalStatus, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::records::{cancel_key, CancelRecord, LEGACY_CANCEL_PREFIX};
use log::error;

/// The end of a job is written ahead of changes that have been due for less than this: it is what the user waits for,
/// and it makes every later read of all records smaller.
const END_AHEAD: Micros = 10 * SECOND;

impl Scheduler {
    /// Notes that the job is cancelled: no task of it is started any more, and those that may run are stopped.
    ///
    /// `record` says since when: the time that a cancellation may take runs on under the next leader. When it began
    /// anew with every leader, a machine that could not be reached was kept too long.
    pub(crate) fn on_cancelled(
        &mut self,
        context: &mut Context,
        id: &str,
        record: Option<&CancelRecord>,
    ) {
        // A job that another leader accepted meanwhile may not be known yet: its cancellation waits for its record.
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
        self.holder_state.note_cancelled(id, now);
        let age = record.map_or(0, |record| {
            context.now.wall.saturating_sub(record.cancelled_us)
        });
        job.cancelled_at = Some(now as i64 - age as i64);
        job.ending = None;
        self.revoke_job(context, index);
        self.stop_job(context, index);
        self.end_if_over(context, index);
    }

    /// Applies a cancellation of the job that this controller knows of, from whatever source.
    pub(crate) fn apply_cancellation(&mut self, context: &mut Context, id: &str) {
        if !self.loaded() {
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

    /// The store has no cancellation of this job after all: what was known of it was wrong, and the job runs. Only its
    /// record may end it.
    pub(crate) fn retract_cancellation(&mut self, context: &mut Context, id: &str) {
        context.cancellations.forget(id);
        let index = self.jobs.find(id);
        let job = index.and_then(|index| self.jobs.get_mut(index));
        if let Some(job) = job.filter(|job| job.cancelled_at.is_some()) {
            error!(job = id; "job was taken as cancelled, but its cancellation is not on record");
            job.cancelled_at = None;
            job.ending = None;
            self.placement.request_round(context.now.steady);
        }
    }

    /// The key under which the job's cancellation is on record, or would be.
    pub(crate) fn cancellation_key(&self, id: &str) -> String {
        let legacy = format!("{LEGACY_CANCEL_PREFIX}{id}");
        if self.write_buffer.is_on_record(&legacy) {
            legacy
        } else {
            cancel_key(id)
        }
    }

    /// Writes the end of a job if it is over.
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
        if ending == FinalStatus::Aborted && !self.write_buffer.is_on_record(&cancellation) {
            // The cancellation is known from a peer or from a user's request only. A job ends as cancelled only if its
            // cancellation is on record: the mod_revision is read first.
            self.write_buffer.stale_keys.push(cancellation);
        }
        let due = context.now.steady.saturating_sub(END_AHEAD);
        self.write_buffer
            .mark_dirty_by(RecordId::JobEnd(index), due);
    }

    /// How the job ends if it is over now.
    fn final_status(&self, index: JobIndex) -> Option<FinalStatus> {
        let job = self.jobs.get(index)?;
        if job.cancelled_at.is_some() {
            return self.is_off_machines(index).then_some(FinalStatus::Aborted);
        }
        job.has_completed_all_tasks().then_some(FinalStatus::Done)
    }
}
