//! Runs the leader's scheduler and routes store replies to the scheduler that waits for them.

use crate::calls::SchedulerCall;
use crate::controller::Controller;
use crate::{Outcome, Stopwatch, SECOND};

impl Controller {
    pub(crate) fn run_leader(&mut self, watch: &mut dyn Stopwatch) {
        if self.leader.is_none() {
            return;
        }
        self.check_contact();
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        // Without state nobody else can lead: to step down would only lose what this node knows, as
        // once when its only machine hung with a cancelled task in an outage.
        if self.context.in_contact(2 * SECOND) && leader.cut_from_agents(&self.context) {
            return self.step_down("no worker reaches this node", true);
        }
        leader.run(&mut self.context, watch);
    }

    /// Takes the reply to a call that was made under the grant with this token.
    pub(crate) fn on_scheduler_reply(&mut self, token: u64, what: SchedulerCall, outcome: Outcome) {
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) {
            if let Err(why) = leader.on_reply(&mut self.context, what, outcome) {
                self.step_down(&why, false);
            }
            return;
        }
        let holder = self.partitions.holders.iter_mut();
        let Some((id, leader)) = holder.into_iter().find(|(_, leader)| leader.token == token)
        else {
            return;
        };
        let id = *id;
        if let Err(why) = leader.on_reply(&mut self.context, what, outcome) {
            self.leave_partition(id, &why);
        }
    }
}
