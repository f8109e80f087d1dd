//! The conditions (compare-and-swap) on which all writes under a fenced lease depend.
//!
//! The leader's writes depend on its own record.
//!
//! A holder may write assignments only under its claim, and only while the leader that delegated the tasks is on record:
//! each of its writes depends on both records. The leader's record lasts as long as its lease, so tasks go on starting
//! for that long after the leader has ended. The next leader reads all pages after it has acquired its lease: from then
//! on no write of a holder succeeds until that leader has given it orders. So a task is never placed by two controllers,
//! and a write that the store applies late fails.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::machine::Assignment;
use grebewood_wire::http::Condition;
use grebewood_wire::records::{claim_key, LEADER_KEY, QUOTA_LIMITS_KEY};
use log::info;

impl Scheduler {
    /// The conditions of all writes under this fenced lease; `None`: nothing may be written now.
    pub(crate) fn write_conditions(&self) -> Option<Vec<Condition>> {
        let Some(partition) = self.partition() else {
            return Some(vec![condition(LEADER_KEY, self.token)]);
        };
        Some(vec![
            condition(&claim_key(partition), self.token),
            condition(LEADER_KEY, self.holder_quota.term?),
            condition(QUOTA_LIMITS_KEY, self.holder_quota.limits_revision?),
        ])
    }

    /// A write failed, and these conditions did not hold. The error says why the fenced lease is lost.
    pub(crate) fn conditions_failed(&mut self, failed_keys: &[String]) -> Result<(), String> {
        let has_failed = |key: &str| failed_keys.iter().any(|failed| failed == key);
        let Some(partition) = self.partition() else {
            return if has_failed(LEADER_KEY) {
                Err("another leader was elected".into())
            } else {
                Ok(())
            };
        };
        if has_failed(&claim_key(partition)) {
            return Err("its claim has ended".into());
        }
        if has_failed(LEADER_KEY) {
            info!(partition = partition; "nothing is placed until the next leader gives orders");
            self.holder_quota.term = None;
        }
        if has_failed(QUOTA_LIMITS_KEY) {
            // The leader tells which limits are in force now.
            self.holder_quota.limits_revision = None;
        }
        Ok(())
    }

    /// Whether the key is that of one of the conditions, which no flush writes.
    pub(crate) fn is_condition(&self, key: &str) -> bool {
        let claim = self.partition().map(claim_key);
        key == LEADER_KEY
            || (self.is_holder() && key == QUOTA_LIMITS_KEY)
            || claim.as_deref() == Some(key)
    }

    /// Removes the assignments that this holder has placed and not launched, except for those that may be kept.
    pub(crate) fn drop_unlaunched(
        &mut self,
        context: &mut Context,
        keep: impl Fn(&Assignment) -> bool,
    ) {
        let is_dropped = |assignment: &Assignment| {
            assignment.by_holder && assignment.launched.is_none() && !keep(assignment)
        };
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            while let Some(position) = self.position(&name, is_dropped) {
                self.remove_assignment(context, &name, position);
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
