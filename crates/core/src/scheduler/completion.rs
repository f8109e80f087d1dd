//! Cancellations and the completion of jobs.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::{FinalStatus, JobIndex};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::records::{cancel_key, CancelRecord, OLD_CANCEL};
use log::error;

/// By how much the writes of ends go ahead of their turn.
const END_AHEAD: Micros = 10 * SECOND;

impl Scheduler {
    /// Notes that the job is cancelled: nothing of it starts any more, and what may run is
    /// stopped. `record` says since when: the time to `cancel_s` runs on whoever leads. With every
    /// new leader it once began anew, and a machine that could not be reached was kept too long.
    pub(crate) fn on_cancelled(
        &mut self,
        context: &mut Context,
        id: &str,
        record: Option<&CancelRecord>,
    ) {
        // What a peer said of a job that another leader accepted meanwhile waits for its record.
        let Some(index) = self.jobs.find(id) else {
            return;
        };
        let now = context.now.steady;
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        if job.cancelled.is_some() {
            return;
        }
        self.holder_state.note_cancelled(id, now);
        let ago = record.map_or(0, |r| context.now.wall.saturating_sub(r.cancelled_us));
        job.cancelled = Some(now as i64 - ago as i64);
        job.ending = None;
        self.revoke_job(context, index);
        self.stop_job(context, index);
        self.end_if_over(context, index);
    }

    /// Applies what the node knows of the job's cancellation, from wherever.
    pub(crate) fn apply_cancellation(&mut self, context: &mut Context, id: &str) {
        let known = context.cancellations.get(id).map(|k| CancelRecord {
            cancelled_us: k.cancelled_us,
        });
        if let Some(record) = known.filter(|_| self.loaded()) {
            self.on_cancelled(context, id, Some(&record));
        }
    }

    /// State has no cancellation of this job after all: what was said of it was wrong, and the job
    /// runs. Only its record may end it.
    pub(crate) fn retract_cancellation(&mut self, context: &mut Context, id: &str) {
        context.cancellations.forget(id);
        let job = self
            .jobs
            .find(id)
            .and_then(|index| self.jobs.get_mut(index));
        if let Some(job) = job.filter(|j| j.cancelled.is_some()) {
            error!("{id}: said to be cancelled, but not on record");
            job.cancelled = None;
            job.ending = None;
            self.placement.request_round(context.now.steady);
        }
    }

    /// The key of the job's cancellation that is on record.
    pub(crate) fn cancellation_key(&self, id: &str) -> String {
        let old = format!("{OLD_CANCEL}{id}");
        match self.write_buffer.mod_revisions.contains_key(&old) {
            true => old,
            false => cancel_key(id),
        }
    }

    /// Starts writing the end of a job if it has come to it.
    pub(crate) fn end_if_over(&mut self, context: &Context, index: JobIndex) {
        // The leader ends jobs.
        if self.is_holder() {
            return;
        }
        let off_machines = self.is_off_machines(index);
        let Some(job) = self.jobs.get_mut(index) else {
            return;
        };
        let ending = if job.cancelled.is_some() {
            off_machines.then_some(FinalStatus::Aborted)
        } else {
            job.all_done().then_some(FinalStatus::Done)
        };
        if ending.is_some() && ending != job.ending {
            job.ending = ending;
            let id = job.id.clone();
            let key = self.cancellation_key(&id);
            if ending == Some(FinalStatus::Aborted)
                && !self.write_buffer.mod_revisions.contains_key(&key)
            {
                // It is known from a peer or a user's request only. A job ends as cancelled only if
                // that is on record: its stamp is read first.
                self.write_buffer.stale.push(key);
            }
            // An end frees what the user waits for, and room in every later read of state.
            let due = context.now.steady.saturating_sub(END_AHEAD);
            self.write_buffer.mark_dirty_by(RecordId::Over(index), due);
        }
    }
}
