//! Routes the replies to the calls of a scheduler to their handlers.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::Scheduler;
use crate::Outcome;

impl Scheduler {
    /// Handles the reply to a call. The error says why the fenced lease is lost.
    pub(crate) fn on_reply(
        &mut self,
        context: &mut Context,
        what: SchedulerCall,
        outcome: Outcome,
    ) -> Result<(), FencedLeaseLost> {
        match what {
            SchedulerCall::RenewLease => return self.on_lease_renewed(context, &outcome),
            SchedulerCall::ReadFencedRecord => return self.on_fenced_record(&outcome),
            SchedulerCall::Flush => return self.on_flush(context, outcome),
            SchedulerCall::FlushReadBack => return self.on_read_back(context, outcome),
            SchedulerCall::List { prefix } => self.on_list(context, &prefix, outcome),
            SchedulerCall::Read { key } => self.on_read(context, key, outcome),
            SchedulerCall::Watch { prefix } => self.on_watch(context, prefix, outcome),
            SchedulerCall::Refresh { key } => self.on_refresh(context, &key, outcome),
            SchedulerCall::Cloud(call) => self.on_cloud_response(context, call, outcome),
            SchedulerCall::DirectCommands { machine } => {
                self.on_direct_response(context, &machine, outcome)
            }
            SchedulerCall::Orders { partition, claim } => {
                self.on_orders_response(context, partition, claim, outcome);
            }
        }
        Ok(())
    }
}
