//! The conditions (compare-and-swap) on which all writes under a fenced lease depend.
//!
//! The writes of the leader depend on the leader record.
//!
//! A holder may write assignments only while the store has the claim record of its partition and the leader record
//! of the leader that delegated the tasks: each of its writes depends on both records. The leader record lasts as
//! long as the leader's lease, so tasks continue to start for that time after the leader has failed. The next
//! leader reads all pages after it has acquired its lease, and from then on no write of a holder succeeds until
//! that leader has sent it orders. Thus no task is placed by two controllers, and a write that the store applies
//! late fails.

use crate::context::Context;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::Scheduler;
use crate::state::machine::Assignment;
use grebewood_wire::http::Condition;
use grebewood_wire::records::{claim_key, LEADER_KEY, QUOTA_LIMITS_KEY};
use log::info;

impl Scheduler {
    /// Returns the conditions of all writes under this fenced lease; `None` if nothing may be written now.
    pub(crate) fn write_conditions(&self) -> Option<Vec<Condition>> {
        let Some(partition) = self.partition() else {
            return Some(vec![condition(LEADER_KEY, self.token)]);
        };
        Some(vec![
            condition(&claim_key(partition), self.token),
            condition(LEADER_KEY, self.holder_quota.leader_token?),
            condition(QUOTA_LIMITS_KEY, self.holder_quota.limits_revision?),
        ])
    }

    /// Handles a write that failed because these conditions did not hold. The error says why the fenced lease
    /// is lost.
    pub(crate) fn on_conditions_failed(
        &mut self,
        failed_keys: &[String],
    ) -> Result<(), FencedLeaseLost> {
        let has_failed = |key: &str| failed_keys.iter().any(|failed| failed == key);
        if has_failed(&self.fenced_record_key()) {
            return Err(self.record_gone());
        }
        let Some(partition) = self.partition() else {
            return Ok(());
        };
        if has_failed(LEADER_KEY) {
            info!(partition = partition; "leader record has changed or is gone; this partition holder places no task until a leader sends it orders");
            self.holder_quota.leader_token = None;
        }
        if has_failed(QUOTA_LIMITS_KEY) {
            // The next orders of the leader contain the limits in force.
            self.holder_quota.limits_revision = None;
        }
        Ok(())
    }

    /// Returns whether the key is that of one of the conditions, which no flush writes.
    pub(crate) fn is_condition(&self, key: &str) -> bool {
        let claim = self.partition().map(claim_key);
        key == LEADER_KEY
            || (self.is_holder() && key == QUOTA_LIMITS_KEY)
            || claim.as_deref() == Some(key)
    }

    /// Removes the assignments that this holder has placed and not launched, except for those that `keep` selects.
    pub(crate) fn remove_unlaunched_placements(
        &mut self,
        context: &mut Context,
        keep: impl Fn(&Assignment) -> bool,
    ) {
        let is_dropped = |assignment: &Assignment| {
            assignment.placed_by_holder && assignment.launched.is_none() && !keep(assignment)
        };
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            while let Some(assignment_index) = self.assignment_index(&name, is_dropped) {
                self.remove_assignment(context, &name, assignment_index);
            }
        }
    }
}

fn condition(key: &str, mod_revision: u64) -> Condition {
    Condition {
        key: key.to_string(),
        mod_revision,
    }
}
