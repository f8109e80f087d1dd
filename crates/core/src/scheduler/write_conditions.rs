//! The conditions (compare-and-swap) on which a partition holder's writes depend.
//!
//! A holder may write assignments only under its claim, and only while the leader that delegated the tasks is on record:
//! each write depends on both records. The leader's record stays for as long as its lease lasts, so tasks go on starting
//! for that long after it has ended. The next leader reads all pages after its grant: from then on no write
//! of a holder succeeds until that leader has given it orders. So a task is never placed by two controllers, and a write that is
//! carried out late fails.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::machine::Assignment;
use grebewood_wire::http::Condition;
use grebewood_wire::records::{claim_key, LEADER, LIMITS};
use log::info;

impl Scheduler {
    /// On what all writes under this grant depend; `None`: nothing may be written now.
    pub(crate) fn write_conditions(&self) -> Option<Vec<Condition>> {
        let when = |key: &str, mod_revision: u64| Condition {
            key: key.to_string(),
            mod_revision,
        };
        let Some(partition) = self.partition() else {
            return Some(vec![when(LEADER, self.token)]);
        };
        Some(vec![
            when(&claim_key(partition), self.token),
            when(LEADER, self.holder_quota.term?),
            when(LIMITS, self.holder_quota.limits?),
        ])
    }

    /// A write failed on one of its own conditions. The error says that the grant has ended.
    pub(crate) fn conditions_failed(&mut self, failed: &[String]) -> Result<(), String> {
        let is = |key: &str| failed.iter().any(|failed| failed == key);
        let Some(partition) = self.partition() else {
            return match is(LEADER) {
                true => Err("another leader was elected".into()),
                false => Ok(()),
            };
        };
        if is(&claim_key(partition)) {
            return Err("its claim has ended".into());
        }
        if is(LEADER) {
            info!("partition {partition}: nothing is placed until the next leader gives orders");
            self.holder_quota.term = None;
        }
        if is(LIMITS) {
            // The leader tells which ones are in force now.
            self.holder_quota.limits = None;
        }
        Ok(())
    }

    /// Whether the key is one of the conditions, which no flush changes.
    pub(crate) fn is_condition(&self, key: &str) -> bool {
        let claim = self.partition().map(claim_key);
        key == LEADER || (self.is_holder() && key == LIMITS) || claim.as_deref() == Some(key)
    }

    /// Drops what this holder has placed and not launched, but for what may be kept.
    pub(crate) fn drop_unlaunched(
        &mut self,
        context: &mut Context,
        keep: impl Fn(&Assignment) -> bool,
    ) {
        let dropped = |a: &Assignment| a.by_holder && a.launched.is_none() && !keep(a);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            while let Some(at) = self.position(&name, dropped) {
                self.remove_assignment(context, &name, at);
            }
        }
    }
}
