//! Sends the progress of jobs to the other controllers, so that each of them can answer polls.

use crate::calls::CallPurpose;
use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::{Micros, Target, MILLI};
use grebewood_wire as wire;
use grebewood_wire::peer::PeerRequest;

/// Interval between progress messages, short enough for polls to show short tasks.
const PROGRESS_INTERVAL_US: Micros = 500 * MILLI;

/// Number of progress rounds after which the progress of all jobs is sent, not only what changed.
const ROUNDS_PER_FULL_UPDATE: u32 = 5;

/// Maximum number of jobs in one message.
const MAX_JOBS_PER_MESSAGE: usize = 500;

const PROGRESS_TIMEOUT_US: Micros = 900 * MILLI;

impl Scheduler {
    /// Sends changed progress if that is due.
    pub(crate) fn run_progress(&mut self, context: &mut Context) {
        if context.now.steady >= self.next_progress_at {
            self.next_progress_at = context.now.steady + PROGRESS_INTERVAL_US;
            self.send_progress(context);
        }
    }

    fn send_progress(&mut self, context: &mut Context) {
        // A controller that was unreachable has missed progress that has not changed since, so the progress of all
        // jobs is sent again regularly.
        self.progress_round += 1;
        if self.progress_round.is_multiple_of(ROUNDS_PER_FULL_UPDATE) {
            let all = self.jobs.iter().map(|(index, _)| index);
            self.progress_dirty.extend(all);
        }
        let jobs = self.take_changed_progress();
        if jobs.is_empty() {
            return;
        }
        let message = wire::to_peer(&PeerRequest::Progress {
            from: context.settings.member.clone(),
            token: self.token,
            jobs,
        });
        for peer in 0..context.settings.siblings.len() {
            context.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message.clone(),
                PROGRESS_TIMEOUT_US,
                CallPurpose::Ignore,
            );
        }
    }

    /// Removes jobs from the set of those with changed progress. Returns their ids with the numbers of their
    /// completed and running tasks.
    fn take_changed_progress(&mut self) -> Vec<(String, u64, u64)> {
        let mut changed = Vec::new();
        while let (Some(index), true) = (
            self.progress_dirty.pop_first(),
            changed.len() < MAX_JOBS_PER_MESSAGE,
        ) {
            if let Some(job) = self.jobs.get(index) {
                changed.push((
                    job.id.clone(),
                    job.completed_count,
                    u64::from(job.running_count),
                ));
            }
        }
        changed
    }
}
