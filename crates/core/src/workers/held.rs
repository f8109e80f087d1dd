//! Check-ins whose answers wait: for a flush or a round of placement, or, from machines with room,
//! for work to come.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time that a check-in waits for work. A worker gives up after [`ANSWER_TIME`], and its
/// answer has yet to travel.
const MOST_PARKED: Micros = 3 * SECOND;

/// A check-in that is not answered yet.
#[derive(Clone, Debug)]
pub struct Held {
    pub request: u64,
    /// The round of placement that it waits for.
    pub round: u64,
    pub machine: String,
    pub tenure: u64,
    pub tally: u64,
    pub until: Micros,
}

/// Check-ins of machines with room, which wait for work. Reports may be several seconds apart; work
/// that comes in between would wait for the next one, since only an answer launches anything.
#[derive(Debug, Default)]
pub struct Parked {
    by_machine: BTreeMap<String, Held>,
    by_time: BTreeSet<(Micros, String)>,
}

impl Parked {
    pub fn contains(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// When the first of them is to be answered.
    pub fn next_until(&self) -> Micros {
        self.by_time.first().map_or(Micros::MAX, |(at, _)| *at)
    }

    fn insert(&mut self, held: Held) {
        self.by_time.insert((held.until, held.machine.clone()));
        self.by_machine.insert(held.machine.clone(), held);
    }

    fn remove(&mut self, machine: &str) -> Option<Held> {
        let held = self.by_machine.remove(machine)?;
        self.by_time.remove(&(held.until, held.machine.clone()));
        Some(held)
    }
}

impl Lead {
    /// Requests of all check-ins that wait.
    pub(crate) fn waiting_checkins(&self) -> Vec<u64> {
        let parked = self.parked.by_machine.values();
        self.held.iter().chain(parked).map(|h| h.request).collect()
    }

    /// The worker closed the connection of this request.
    pub(crate) fn forget_checkin(&mut self, request: u64) {
        self.held.retain(|h| h.request != request);
        let parked = self.parked.by_machine.values();
        let machine = parked
            .into_iter()
            .find(|h| h.request == request)
            .map(|h| h.machine.clone());
        if let Some(machine) = machine {
            self.parked.remove(&machine);
        }
    }

    /// Refuses the machine's check-in that waits, if there is one.
    pub(crate) fn refuse_held(&mut self, cx: &mut Ctx, machine: &str, why: &str) {
        if let Some(at) = self.held.iter().position(|h| h.machine == machine) {
            let held = self.held.remove(at);
            cx.refuse(held.request, 503, why);
        }
        if let Some(held) = self.parked.remove(machine) {
            cx.refuse(held.request, 503, why);
        }
    }

    /// Whether a check-in of the machine may wait for work: it has room, and no task of it is likely
    /// to end meanwhile, since the worker can tell so only after our answer.
    pub(super) fn may_park(&self, cx: &Ctx, machine: &str) -> bool {
        let now = cx.now.steady;
        let span = parked_span(cx);
        self.machines.get(machine).is_some_and(|m| {
            m.free().0 > EPS
                && m.usable(now, 3 * cx.settings.report)
                && m.reaps.is_empty()
                && m.assignments.iter().all(|a| {
                    a.stop.is_none() && a.remaining(now, 0) > (2 * span).max(a.expected / 2)
                })
        })
    }

    pub(super) fn park(&mut self, cx: &Ctx, mut held: Held) {
        held.until = cx.now.steady + parked_span(cx);
        self.parked.insert(held);
    }

    /// The machine has got work: the answer to its check-in waits only until that is on record.
    pub(crate) fn unpark(&mut self, cx: &Ctx, machine: &str) {
        if let Some(mut held) = self.parked.remove(machine) {
            held.until = cx.now.steady + HOLD;
            if self.held.is_empty() {
                self.held_until = held.until;
            }
            self.held.push(held);
        }
    }

    /// Answers the check-ins that wait for nothing any more, or have waited long enough.
    pub(crate) fn run_held(&mut self, cx: &mut Ctx) {
        let now = cx.now.steady;
        while self.parked.next_until() <= now {
            let Some((_, machine)) = self.parked.by_time.first().cloned() else {
                break;
            };
            if let Some(held) = self.parked.remove(&machine) {
                let orders = self.orders(cx, &held);
                self.answer_checkin(cx, held.request, orders);
            }
        }
        if self.held.is_empty() || !(self.held_stir || now >= self.held_until) {
            return;
        }
        self.held_stir = false;
        for h in std::mem::take(&mut self.held) {
            if self.may_be_answered(cx, &h) {
                let orders = self.orders(cx, &h);
                self.answer_checkin(cx, h.request, orders);
            } else {
                self.held.push(h);
            }
        }
        self.held_until = self.held.iter().map(|h| h.until).min().unwrap_or(0);
    }

    pub(super) fn may_be_answered(&self, cx: &Ctx, h: &Held) -> bool {
        cx.now.steady >= h.until
            || !cx.in_contact(2 * SECOND)
            || (self.placement.rounds >= h.round && !self.waits_for_flush(&h.machine))
    }

    fn waits_for_flush(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| {
            m.assignments.iter().any(|a| {
                a.launched.is_none()
                    && a.stop.is_none()
                    && !self.ledger.is_durable(&Rec::Page(a.page), a.written)
            })
        })
    }
}

/// How long a check-in may wait for work: the answer comes before the next report is due, so that
/// the machine is heard as often as without.
fn parked_span(cx: &Ctx) -> Micros {
    MOST_PARKED.min(cx.settings.report * 3 / 4)
}
