//! Faults of the key-value store: transactions whose answer is lost, and outages.

use super::super::events::{Caller, Event};
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_core::Call;
use grebewood_wire::peer::PeerResponse;
use grebewood_wire::{from_peer, to_peer};

/// What happens to a transaction whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateTransaction {
    /// It is carried out this much later, or at once.
    late: Micros,
    at_once: bool,
}

/// For a time, every so many-th transaction of any controller meets this.
pub(super) struct LateTransactions {
    until: Micros,
    every: u64,
    /// Transactions so far.
    count: u64,
    how: LateTransaction,
}

impl LateTransactions {
    /// Counts a transaction. The result is what happens to it, if anything does.
    fn next(&mut self, now: Micros) -> Option<LateTransaction> {
        if now >= self.until {
            return None;
        }
        self.count += 1;
        self.count.is_multiple_of(self.every).then_some(self.how)
    }
}

impl World {
    /// The next transaction of a controller, or of whoever leads then, gets no answer.
    pub(super) fn delay_transaction(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let controller = match directive.options.get("node").map(String::as_str) {
            None | Some("leader") => None,
            Some(word) => Some(self.controller_named(word)?),
        };
        let how = LateTransaction {
            late: directive.duration("for", 10.0)?,
            at_once: directive.flag("at_once", false),
        };
        self.faults.late_transaction.insert(controller, how);
        Ok(())
    }

    /// For a time, every so many-th transaction gets no answer.
    pub(super) fn delay_transactions(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let how = LateTransaction {
            late: directive.duration("late", 8.0)?,
            at_once: directive.flag("at_once", false),
        };
        self.faults.late_transactions = Some(LateTransactions {
            until: self.now + directive.duration("for", 20.0)?,
            every: directive.count("every", 3)?.max(1),
            count: 0,
            how,
        });
        Ok(())
    }

    /// So many transactions without an answer must have been carried out, and have failed.
    pub(super) fn expect_late_transactions(&self, directive: &Directive) -> StepResult {
        let (done, failed) = (self.faults.late_carried_out, self.faults.late_failed);
        let least_done = directive.count("done", 0)?;
        let least_failed = directive.count("failed", 0)?;
        if done < least_done || failed < least_failed {
            let detail = format!("{done} were carried out, {failed} failed");
            return Err(ScenarioError::unmet(detail));
        }
        Ok(())
    }

    /// Sends a transaction whose answer is lost, if this one's is; otherwise it goes its usual way.
    pub(in crate::world) fn lose_transaction(
        &mut self,
        controller: usize,
        at: Micros,
        call: &Call,
    ) -> bool {
        let Some(how) = self.next_transaction_fault(controller) else {
            return false;
        };
        let nobody = Caller::nobody(controller, call.id);
        let at = if how.at_once { at } else { at + how.late };
        let event = Event::StoreCall(nobody, call.method, call.path.clone(), call.body.clone());
        self.push(at, event);
        true
    }

    /// What happens to the transaction that a controller sends now, if anything does.
    fn next_transaction_fault(&mut self, controller: usize) -> Option<LateTransaction> {
        let (now, leads) = (self.now, self.leads(controller));
        let faults = &mut self.faults;
        let mut how = faults.late_transaction.remove(&Some(controller));
        if how.is_none() && leads {
            how = faults.late_transaction.remove(&None);
        }
        if how.is_none() {
            let many = faults.late_transactions.as_mut();
            how = many.and_then(|many| many.next(now));
        }
        how
    }

    /// Counts a transaction that gets no answer.
    pub(in crate::world) fn count_late_transaction(
        &mut self,
        caller: Caller,
        path: &str,
        status: u16,
    ) {
        match (caller.process, path, status) {
            (0, "/txn", 200) => self.faults.late_carried_out += 1,
            (0, "/txn", 400 | 409) => self.faults.late_failed += 1,
            _ => {}
        }
    }

    /// A grant was just won: the key-value store may go down at once.
    pub(in crate::world) fn on_leader_grant(&mut self) {
        if let Some(down_for) = self.faults.store_outage_on_grant.take() {
            let until = self.now + down_for;
            self.faults.end = self.faults.end.max(until);
            self.store.is_down = true;
            self.push(until, Event::StoreUp);
        }
    }

    /// A peer's answer, with a job in it that nobody cancelled if that is a fault at present.
    pub(in crate::world) fn forge_cancellation(&self, body: Vec<u8>) -> Vec<u8> {
        let forged = self.faults.forged_cancellation.as_ref();
        let Some((job, _)) = forged.filter(|(_, until)| self.now < *until) else {
            return body;
        };
        let Ok(mut answer) = from_peer::<PeerResponse>(&body) else {
            return body;
        };
        if let Some(confirmed) = &mut answer.confirmed {
            confirmed.jobs.push((job.clone(), 0));
        }
        to_peer(&answer)
    }

    /// How much longer the key-value store takes to answer.
    pub(in crate::world) fn store_lag(&self) -> Micros {
        self.faults.slow_store.at(self.now).unwrap_or(0)
    }
}
