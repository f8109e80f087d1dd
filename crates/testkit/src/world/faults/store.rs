//! Faults of the key-value store: calls whose answers are lost, slow answers and outages.

use super::super::events::{Caller, Event};
use super::super::network::CALL_LATENCY_US;
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_core::{Call, Input, Outcome};
use grebewood_wire::peer::PeerResponse;
use grebewood_wire::{from_peer, to_peer};

/// A fault of a call whose answer is lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostAnswer {
    /// Delay after which the key-value store carries the call out.
    delay: Micros,
    /// Whether the connection is closed at once. Otherwise the caller waits until the call times out.
    closes_connection: bool,
}

impl LostAnswer {
    /// Returns the fault that a directive describes, with a default delay in seconds.
    fn from_directive(
        directive: &Directive,
        delay_option: &str,
        default_delay_s: f64,
    ) -> Result<LostAnswer, ScriptError> {
        let delay = directive.duration(delay_option, default_delay_s)?;
        Ok(LostAnswer {
            delay: if directive.flag("at_once", false) {
                0
            } else {
                delay
            },
            closes_connection: directive.flag("closed", false),
        })
    }
}

/// A fault of every n-th transaction of all controllers, for a time.
pub(super) struct RecurringTransactionFault {
    until: Micros,
    every: u64,
    /// Number of transactions so far.
    count: u64,
    fault: LostAnswer,
}

impl RecurringTransactionFault {
    /// Counts a transaction, and returns its fault, if it has one.
    fn next(&mut self, now: Micros) -> Option<LostAnswer> {
        if now >= self.until {
            return None;
        }
        self.count += 1;
        self.count.is_multiple_of(self.every).then_some(self.fault)
    }
}

impl World {
    /// Makes the answer to a transaction of a controller, or of the leader at that time, get lost: to the next one
    /// that no earlier directive concerns.
    pub(super) fn set_transaction_fault(
        &mut self,
        directive: &Directive,
    ) -> Result<(), ScriptError> {
        let controller = match directive.options.get("controller").map(String::as_str) {
            None | Some("leader") => None,
            Some(word) => Some(self.controller_named(word)?),
        };
        let fault = LostAnswer::from_directive(directive, "for", 10.0)?;
        let faults = &mut self.faults.next_transaction_faults;
        faults.entry(controller).or_default().push_back(fault);
        Ok(())
    }

    /// Makes the answer to the next call by which a controller ends a lease get lost.
    pub(super) fn set_lease_end_fault(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let controller = self.controller_named(&directive.text("controller", "leader"))?;
        let fault = LostAnswer::from_directive(directive, "for", 10.0)?;
        self.faults.next_lease_end_faults.insert(controller, fault);
        Ok(())
    }

    /// Makes the renewals of leases that a controller sends get lost for a time, while its other calls are answered.
    pub(super) fn drop_renewals(&mut self, directive: &Directive) -> Result<(), ScriptError> {
        let controller = self.controller_named(directive.word(1)?)?;
        let until = self.now + directive.duration("for", 10.0)?;
        self.faults.renewals_dropped_until.insert(controller, until);
        Ok(())
    }

    /// Makes the answer to every n-th transaction get lost for a time.
    pub(super) fn set_recurring_transaction_fault(
        &mut self,
        directive: &Directive,
    ) -> Result<(), ScriptError> {
        let fault = LostAnswer::from_directive(directive, "late", 8.0)?;
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

    /// Sends a call to the key-value store in such a way that its answer is lost, if it has such a fault. Returns
    /// whether it has.
    pub(in crate::world) fn lose_store_call(
        &mut self,
        caller: Caller,
        at: Micros,
        call: &Call,
    ) -> bool {
        if self.drops_renewal(caller.controller, call) {
            return true;
        }
        let Some(fault) = self.next_store_call_fault(caller.controller, call) else {
            return false;
        };
        let nobody = Caller::nobody(caller.controller, call.id);
        let event = Event::StoreCall(nobody, call.method, call.path.clone(), call.body.clone());
        self.schedule_event(at + fault.delay, event);
        if fault.closes_connection {
            let closed = Input::Reply {
                call: call.id,
                outcome: Outcome::Unknown,
            };
            let event = Event::Input(caller.controller, caller.process, closed);
            self.schedule_event(at + CALL_LATENCY_US, event);
        }
        true
    }

    /// Returns whether a call renews a lease and gets lost.
    fn drops_renewal(&self, controller: usize, call: &Call) -> bool {
        let until = self.faults.renewals_dropped_until.get(&controller);
        call.path.ends_with("/extend") && until.is_some_and(|until| self.now < *until)
    }

    /// Returns the fault of the call to the key-value store that a controller sends now, if it has one.
    fn next_store_call_fault(&mut self, controller: usize, call: &Call) -> Option<LostAnswer> {
        match (call.method, call.path.as_str()) {
            ("POST", "/txn") => self.next_transaction_fault(controller),
            ("DELETE", _) => self.faults.next_lease_end_faults.remove(&controller),
            _ => None,
        }
    }

    /// Returns the fault of the transaction that a controller sends now, if it has one.
    fn next_transaction_fault(&mut self, controller: usize) -> Option<LostAnswer> {
        let (now, leads) = (self.now, self.leads(controller));
        let faults = &mut self.faults;
        let mut next_of = |who| faults.next_transaction_faults.get_mut(&who)?.pop_front();
        let mut fault = next_of(Some(controller));
        if fault.is_none() && leads {
            fault = next_of(None);
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
