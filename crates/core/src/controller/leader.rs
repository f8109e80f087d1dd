//! Runs the leader's scheduler, and dispatches replies to the scheduler that made the call.

use crate::calls::SchedulerCall;
use crate::controller::candidacy::StepDownMode;
use crate::controller::partition_claims::ReleaseReason;
use crate::controller::peer_contact::STORE_CONTACT_TIMEOUT_US;
use crate::controller::Controller;
use crate::{Outcome, Stopwatch};

impl Controller {
    /// Runs the leader's scheduler, unless this controller has to step down.
    pub(crate) fn run_leader(&mut self, watch: &mut dyn Stopwatch) {
        if self.leader.is_none() {
            return;
        }
        self.step_down_if_lease_lost();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        // Without the store no other member can become the leader. Stepping down would only lose what this
        // controller knows, such as a cancelled task on a machine that hangs.
        if self.context.has_store_contact(STORE_CONTACT_TIMEOUT_US)
            && leader.is_isolated_from_agents(&self.context)
        {
            return self.step_down("no agent reaches this controller", StepDownMode::Resign);
        }
        leader.run(&mut self.context, watch);
    }

    /// Handles the reply to a call that was made under this fencing token. It is dropped if no scheduler of this
    /// controller has that token any more.
    pub(crate) fn on_scheduler_reply(&mut self, token: u64, call: SchedulerCall, outcome: Outcome) {
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) {
            if let Err(reason) = leader.on_reply(&mut self.context, call, outcome) {
                self.step_down(reason, StepDownMode::LeaseLost);
            }
            return;
        }
        let mut holders = self.partitions.holders.iter_mut();
        let Some((id, holder)) = holders.find(|(_, holder)| holder.token == token) else {
            return;
        };
        let id = *id;
        if let Err(reason) = holder.on_reply(&mut self.context, call, outcome) {
            self.release_partition(id, &ReleaseReason::from(reason));
        }
    }
}
