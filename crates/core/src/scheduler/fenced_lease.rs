//! The fenced lease of a scheduler: its renewals, and what shows that it is lost.
//!
//! The store deletes the record that is attached to the lease when the lease expires. Whether the record is still there
//! follows from renewals, from reads of the record and from the conditions of writes. Other answers of the store do
//! not show it.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::{Scheduler, RENEWALS_PER_LEASE};
use crate::{Micros, Outcome, Target};
use grebewood_wire as wire;
use grebewood_wire::http::KeyValue;
use grebewood_wire::records::{claim_key, LEADER_KEY};
use grebewood_wire::Value;
use log::info;
use thiserror::Error;

/// Number of lease renewals that are sent within the time to live of the lease after a failed renewal, and while it is
/// uncertain whether the fenced lease still holds.
const URGENT_RENEWALS_PER_LEASE: Micros = 12;

/// Why a scheduler has lost its fenced lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum FencedLeaseLost {
    /// The lease has expired.
    #[error("the key-value store has no such lease any more")]
    Expired,
    /// The leader record is gone, or another one has taken its place.
    #[error("the leader record has changed or is gone")]
    LeaderRecordGone,
    /// The claim record of the partition is gone, or another one has taken its place.
    #[error("the claim on the partition has changed or is gone")]
    ClaimGone,
}

impl Scheduler {
    /// Returns the id of the fenced lease in the key-value store.
    pub(crate) fn lease(&self) -> u64 {
        self.lease
    }

    /// Returns whether the fenced lease may have expired during a pause of the process.
    pub fn is_lease_uncertain(&self) -> bool {
        self.is_lease_uncertain
    }

    /// Records that the fenced lease still holds, which ends the uncertainty after a pause of the process.
    pub(crate) fn confirm_lease(&mut self) {
        if self.is_lease_uncertain {
            self.is_lease_uncertain = false;
            info!(token = self.token; "lease of this leader or partition holder still holds after a process pause");
        }
    }

    /// Sends a renewal of the fenced lease. The reply may be lost, so the next renewal is sent regardless of it.
    pub(crate) fn renew_lease(&mut self, context: &mut Context) {
        let renewals = if self.is_lease_uncertain {
            URGENT_RENEWALS_PER_LEASE
        } else {
            RENEWALS_PER_LEASE
        };
        self.lease_renewal_at = context.now.steady + context.tuning.leader_lease_us / renewals;
        let path = format!("/leases/{}/extend", self.lease);
        let purpose = self.call_purpose(SchedulerCall::RenewLease);
        let timeout = context.tuning.leader_lease_us / RENEWALS_PER_LEASE;
        context.call(Target::Store, "POST", path, Vec::new(), timeout, purpose);
    }

    /// Handles the reply to a renewal of the fenced lease. The error says why the lease is lost.
    pub(crate) fn on_lease_renewed(
        &mut self,
        context: &mut Context,
        outcome: &Outcome,
    ) -> Result<(), FencedLeaseLost> {
        match outcome {
            Outcome::Answer { status: 200, .. } => self.confirm_lease(),
            Outcome::Answer { status: 404, .. } => return Err(FencedLeaseLost::Expired),
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

    /// Handles the reply to a read of the record that is attached to the fenced lease. The error says why the
    /// lease is lost.
    pub(crate) fn on_fenced_record(&self, outcome: &Outcome) -> Result<(), FencedLeaseLost> {
        let is_gone = match outcome {
            Outcome::Answer { status: 200, body } => wire::from_cbor::<KeyValue<Value>>(body)
                .is_ok_and(|entry| entry.mod_revision != self.token),
            Outcome::Answer { status: 404, .. } => true,
            _ => false,
        };
        match is_gone {
            true => Err(self.record_gone()),
            false => Ok(()),
        }
    }

    /// Returns the key of the record that is attached to the fenced lease.
    pub(crate) fn fenced_record_key(&self) -> String {
        match self.partition() {
            Some(partition) => claim_key(partition),
            None => LEADER_KEY.to_string(),
        }
    }

    /// Returns the reason why the fenced lease is lost if the record that is attached to it is not in the store.
    pub(crate) fn record_gone(&self) -> FencedLeaseLost {
        match self.partition() {
            Some(_) => FencedLeaseLost::ClaimGone,
            None => FencedLeaseLost::LeaderRecordGone,
        }
    }
}
