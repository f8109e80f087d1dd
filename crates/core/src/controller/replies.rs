//! Dispatches replies to calls to their handlers, and records contact with the store.

use crate::calls::{CallPurpose, SchedulerCall};
use crate::controller::Controller;
use crate::{Micros, Outcome};

/// Lowest HTTP status of a server error. A response with such a status does not count as contact with the store.
const LOWEST_SERVER_ERROR: u16 = 500;

impl Controller {
    /// Handles the reply to a call.
    pub(crate) fn on_reply(&mut self, call: u64, outcome: Outcome) {
        let Some((purpose, made_at)) = self.context.take_call(call) else {
            return;
        };
        let made_before_pause = made_at < self.context.resumed_at();
        if made_before_pause {
            let Some(outcome) = outcome_after_pause(&purpose, outcome) else {
                return;
            };
            return self.dispatch_reply(purpose, made_at, outcome);
        }
        if purpose.shows_store_contact() {
            self.record_store_contact(&outcome);
        }
        self.dispatch_reply(purpose, made_at, outcome);
    }

    /// Records contact with the store if it sent any response but a server error.
    fn record_store_contact(&mut self, outcome: &Outcome) {
        if matches!(outcome, Outcome::Answer { status, .. } if *status < LOWEST_SERVER_ERROR) {
            self.context.last_store_contact = Some(self.context.now.steady);
        }
    }

    fn dispatch_reply(&mut self, purpose: CallPurpose, made_at: Micros, outcome: Outcome) {
        match purpose {
            CallPurpose::Election(step) => self.on_election_reply(step, outcome),
            CallPurpose::Scheduler { token, call } => self.on_scheduler_reply(token, call, outcome),
            CallPurpose::PartitionClaim { partition, step } => {
                self.on_claim_reply(partition, step, outcome);
            }
            CallPurpose::PartitionMap(call) => self.on_partition_map_reply(call, outcome),
            CallPurpose::User(request) => self.on_user_reply(request, outcome),
            CallPurpose::JobView(call) => self.on_job_view_reply(call, made_at, outcome),
            CallPurpose::Catalogue(source) => self.on_catalogue_reply(source, outcome),
            CallPurpose::Contact { peer, number } => {
                self.on_contact_response(peer, number, made_at, outcome);
            }
            CallPurpose::Ignore => {}
        }
    }
}

/// Returns how the outcome of a call that was made before a process pause is to be handled; `None`: it is ignored.
/// The reply may have waited in this process during the whole pause, and its content may be outdated.
fn outcome_after_pause(purpose: &CallPurpose, outcome: Outcome) -> Option<Outcome> {
    match purpose {
        // Another member may lead or hold the partition now. Answers to users are built from a new read of the
        // store.
        CallPurpose::Election(_)
        | CallPurpose::PartitionClaim { .. }
        | CallPurpose::User(_)
        | CallPurpose::JobView(_) => Some(Outcome::Unknown),
        // A lease that was renewed may have expired since. A lease that the store did not know (404) is still lost.
        CallPurpose::Scheduler {
            call: SchedulerCall::RenewLease,
            ..
        } if !matches!(outcome, Outcome::Answer { status: 404, .. }) => None,
        _ => Some(outcome),
    }
}
