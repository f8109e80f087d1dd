//! Faults of the key-value store: transactions whose answers are lost, slow answers and outages.

use super::super::events::{Caller, Event};
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_core::Call;
use grebewood_wire::peer::PeerResponse;
use grebewood_wire::{from_peer, to_peer};

/// A fault of a transaction whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct TransactionFault {
    /// Delay after which the key-value store applies it, unless `at_once`.
    delay: Micros,
    at_once: bool,
}

/// A fault of every n-th transaction of all controllers, for a time.
pub(super) struct RecurringTransactionFault {
    until: Micros,
    every: u64,
    /// Number of transactions so far.
    count: u64,
    fault: TransactionFault,
}

impl RecurringTransactionFault {
    /// Counts a transaction, and returns its fault, if it has one.
    fn next(&mut self, now: Micros) -> Option<TransactionFault> {
        if now >= self.until {
            return None;
        }
        self.count += 1;
        self.count.is_multiple_of(self.every).then_some(self.fault)
    }
}

impl World {
    /// Makes the answer to the next transaction of a controller, or of the leader at that time, get lost.
    pub(super) fn set_transaction_fault(
        &mut self,
        directive: &Directive,
    ) -> Result<(), ScriptError> {
        let controller = match directive.options.get("controller").map(String::as_str) {
            None | Some("leader") => None,
            Some(word) => Some(self.controller_named(word)?),
        };
        let fault = TransactionFault {
            delay: directive.duration("for", 10.0)?,
            at_once: directive.flag("at_once", false),
        };
        self.faults
            .next_transaction_faults
            .insert(controller, fault);
        Ok(())
    }

    /// Makes the answer to every n-th transaction get lost for a time.
    pub(super) fn set_recurring_transaction_fault(
        &mut self,
        directive: &Directive,
    ) -> Result<(), ScriptError> {
        let fault = TransactionFault {
            delay: directive.duration("late", 8.0)?,
            at_once: directive.flag("at_once", false),
        };
        self.faults.recurring_transaction_fault = Some(RecurringTransactionFault {
            until: self.now + directive.duration("for", 20.0)?,
            every: directive.count("every", 3)?.max(1),
            count: 0,
            fault,
        });
        Ok(())
    }

    /// Checks that at least the given numbers of transactions without an answer were applied, and failed.
    pub(super) fn expect_unanswered_transactions(&self, directive: &Directive) -> StepResult {
        let (done, failed) = (
            self.faults.unanswered_applied,
            self.faults.unanswered_failed,
        );
        let least_done = directive.count("done", 0)?;
        let least_failed = directive.count("failed", 0)?;
        if done < least_done || failed < least_failed {
            let detail =
                format!("{done} transactions without an answer were applied, {failed} failed");
            return Err(ScenarioError::unmet(detail));
        }
        Ok(())
    }

    /// Sends a transaction in such a way that its answer is lost, if it has such a fault. Returns whether it has.
    pub(in crate::world) fn lose_transaction(
        &mut self,
        controller: usize,
        at: Micros,
        call: &Call,
    ) -> bool {
        let Some(fault) = self.next_transaction_fault(controller) else {
            return false;
        };
        let nobody = Caller::nobody(controller, call.id);
        let at = if fault.at_once { at } else { at + fault.delay };
        let event = Event::StoreCall(nobody, call.method, call.path.clone(), call.body.clone());
        self.schedule_event(at, event);
        true
    }

    /// Returns the fault of the transaction that a controller sends now, if it has one.
    fn next_transaction_fault(&mut self, controller: usize) -> Option<TransactionFault> {
        let (now, leads) = (self.now, self.leads(controller));
        let faults = &mut self.faults;
        let mut fault = faults.next_transaction_faults.remove(&Some(controller));
        if fault.is_none() && leads {
            fault = faults.next_transaction_faults.remove(&None);
        }
        if fault.is_none() {
            let recurring = faults.recurring_transaction_fault.as_mut();
            fault = recurring.and_then(|recurring| recurring.next(now));
        }
        fault
    }

    /// Counts a transaction that gets no answer.
    pub(in crate::world) fn count_unanswered_transaction(
        &mut self,
        caller: Caller,
        path: &str,
        status: u16,
    ) {
        match (caller.process, path, status) {
            (0, "/txn", 200) => self.faults.unanswered_applied += 1,
            (0, "/txn", 400 | 409) => self.faults.unanswered_failed += 1,
            _ => {}
        }
    }

    /// Takes the key-value store down if a fault is armed for the next write of the `leader` record.
    pub(in crate::world) fn on_leader_elected(&mut self) {
        if let Some(down_for) = self.faults.store_outage_on_election.take() {
            let until = self.now + down_for;
            self.faults.end = self.faults.end.max(until);
            self.store.is_down = true;
            self.schedule_event(until, Event::StoreUp);
        }
    }

    /// Adds a job that nobody cancelled to the confirmed cancellations in a peer's answer, if such a fault is
    /// active.
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

    /// Returns the additional latency of the key-value store's answers.
    pub(in crate::world) fn store_lag(&self) -> Micros {
        self.faults.slow_store.at(self.now).unwrap_or(0)
    }
}
