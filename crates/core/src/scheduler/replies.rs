//! Routes the replies to the calls of a scheduler to their handlers.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::timers::URGENT_RENEWALS_PER_LEASE;
use crate::scheduler::Scheduler;
use crate::Outcome;
use grebewood_wire as wire;
use grebewood_wire::http::KeyValue;
use grebewood_wire::Value;

impl Scheduler {
    /// Handles the reply to a call. The error is the reason why the fenced lease is lost.
    pub(crate) fn on_reply(
        &mut self,
        context: &mut Context,
        what: SchedulerCall,
        outcome: Outcome,
    ) -> Result<(), String> {
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

    /// Handles the reply to a renewal of the fenced lease. The error is the reason why the lease is lost.
    fn on_lease_renewed(&mut self, context: &mut Context, outcome: &Outcome) -> Result<(), String> {
        match outcome {
            Outcome::Answer { status: 200, .. } => self.confirm_lease(),
            Outcome::Answer { status: 404, .. } => {
                return Err("the key-value store has no such lease any more".into())
            }
            Outcome::Answer { .. } | Outcome::NotSent => self.renew_lease_soon(context),
            Outcome::Unknown | Outcome::TooLarge => {
                self.renew_lease_soon(context);
                self.read_fenced_record(context);
            }
        }
        Ok(())
    }

    fn renew_lease_soon(&mut self, context: &Context) {
        let pause = context.tuning.leader_lease_us / URGENT_RENEWALS_PER_LEASE;
        self.lease_renewal_at = self.lease_renewal_at.min(context.now.steady + pause);
    }

    /// Reads the record that is attached to the fenced lease. If only the renewals get lost, the store answers all
    /// other calls, and nothing else shows that the lease has expired until the next write.
    fn read_fenced_record(&mut self, context: &mut Context) {
        let purpose = self.call_purpose(SchedulerCall::ReadFencedRecord);
        context.read_key(&self.fenced_record_key(), purpose);
    }

    /// Handles the reply to a read of the record that is attached to the fenced lease. The error is the reason why the
    /// lease is lost: the record is gone, or another one has taken its place.
    fn on_fenced_record(&self, outcome: &Outcome) -> Result<(), String> {
        let is_gone = match outcome {
            Outcome::Answer { status: 200, body } => wire::from_cbor::<KeyValue<Value>>(body)
                .is_ok_and(|entry| entry.mod_revision != self.token),
            Outcome::Answer { status: 404, .. } => true,
            _ => false,
        };
        match is_gone {
            true => Err(self.fenced_record_lost()),
            false => Ok(()),
        }
    }
}
