//! Heartbeats whose response is held: until a write is durable or a round of placement is over, or, as a long poll of
//! a machine with free resources, until work arrives.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::HOLD;
use crate::scheduler::Scheduler;
use crate::state::jobs::EPS;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::ExitedAttempt;
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};

/// Longest time that a check-in waits for work. A worker gives up after [`ANSWER_TIME`], and its
/// answer has yet to travel.
const MAX_LONG_POLL: Micros = 3 * SECOND;

/// Check-ins that wait for work may hold one of so many sockets.
const LONG_POLL_SOCKETS: usize = 2;

impl Scheduler {
    /// Requests of all check-ins that wait.
    pub(crate) fn waiting_heartbeats(&self) -> Vec<u64> {
        let long_polls = self.long_polls.by_machine.values();
        self.held_heartbeats
            .iter()
            .chain(long_polls)
            .map(|h| h.request)
            .collect()
    }

    /// The worker closed the connection of this request.
    pub(crate) fn forget_heartbeat(&mut self, request: u64) {
        self.held_heartbeats.retain(|h| h.request != request);
        let long_polls = self.long_polls.by_machine.values();
        let machine = long_polls
            .into_iter()
            .find(|h| h.request == request)
            .map(|h| h.machine.clone());
        if let Some(machine) = machine {
            self.long_polls.remove(&machine);
        }
    }

    /// Refuses the machine's check-in that waits, if there is one.
    pub(crate) fn refuse_held_heartbeats(
        &mut self,
        context: &mut Context,
        machine: &str,
        why: &str,
    ) {
        if let Some(at) = self
            .held_heartbeats
            .iter()
            .position(|h| h.machine == machine)
        {
            let pending = self.held_heartbeats.remove(at);
            context.refuse(pending.request, 503, why);
        }
        if let Some(pending) = self.long_polls.remove(machine) {
            context.refuse(pending.request, 503, why);
        }
    }

    /// Whether a check-in of the machine may wait for work: it has room, and no task of it is likely
    /// to end meanwhile, since the worker can tell so only after our answer.
    pub(crate) fn may_long_poll(&self, context: &Context, machine: &str) -> bool {
        let now = context.now.steady;
        let span = long_poll_span(context);
        // Each of them holds a connection: with more idle machines than sockets the others would
        // find none.
        if self.long_polls.len() >= context.settings.sockets / LONG_POLL_SOCKETS {
            return false;
        }
        self.machines.get(machine).is_some_and(|m| {
            m.free().cpus > EPS
                && m.usable(now, 3 * context.settings.heartbeat_interval)
                && m.exited_attempts.is_empty()
                && m.assignments.iter().all(|a| {
                    a.stop.is_none() && a.remaining(now, 0) > (2 * span).max(a.expected / 2)
                })
        })
    }

    pub(crate) fn hold_long_poll(&mut self, context: &Context, mut pending: HeldHeartbeat) {
        pending.until = context.now.steady + long_poll_span(context);
        self.long_polls.insert(pending);
    }

    /// The machine has got work: the answer to its check-in waits only until that is on record.
    pub(crate) fn wake_long_poll(&mut self, context: &Context, machine: &str) {
        if let Some(mut pending) = self.long_polls.remove(machine) {
            pending.until = context.now.steady + HOLD;
            if self.held_heartbeats.is_empty() {
                self.held_until = pending.until;
            }
            self.held_heartbeats.push(pending);
        }
    }

    /// Answers the check-ins that wait for nothing any more, or have waited long enough.
    pub(crate) fn run_held_heartbeats(&mut self, context: &mut Context) {
        let now = context.now.steady;
        while self.long_polls.next_until() <= now {
            let Some((_, machine)) = self.long_polls.by_time.first().cloned() else {
                break;
            };
            if let Some(pending) = self.long_polls.remove(&machine) {
                let commands = self.commands(context, &pending);
                self.answer_heartbeat(context, pending.request, commands);
            }
        }
        if self.held_heartbeats.is_empty() || !(self.held_changed || now >= self.held_until) {
            return;
        }
        self.held_changed = false;
        for h in std::mem::take(&mut self.held_heartbeats) {
            if self.may_be_answered(context, &h) {
                let commands = self.commands(context, &h);
                self.answer_heartbeat(context, h.request, commands);
            } else {
                self.held_heartbeats.push(h);
            }
        }
        self.held_until = self
            .held_heartbeats
            .iter()
            .map(|h| h.until)
            .min()
            .unwrap_or(0);
    }

    pub(crate) fn may_be_answered(&self, context: &Context, h: &HeldHeartbeat) -> bool {
        context.now.steady >= h.until
            || !context.in_contact(2 * SECOND)
            || (self.placement.rounds >= h.round
                && !self.waits_for_flush(&h.machine)
                && !self.waits_for_leader(&h.machine))
    }

    /// Whether the leader, told of an exit, may have the next task for the machine at once.
    fn waits_for_leader(&self, name: &str) -> bool {
        let machine = self.machines.get(name).filter(|_| self.is_holder());
        machine.is_some_and(|m| {
            let unsettled = |e: &ExitedAttempt| !self.holder_state.is_settled(e.id());
            m.exited_attempts.iter().any(unsettled)
                && m.assignments.iter().all(|a| a.launched.is_some())
        })
    }

    fn waits_for_flush(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| {
            m.assignments.iter().any(|a| {
                a.launched.is_none()
                    && a.stop.is_none()
                    && !self
                        .write_buffer
                        .is_durable(&RecordId::Page(a.page), a.written)
            })
        })
    }
}

/// How long a check-in may wait for work: the answer comes before the next report is due, so that
/// the machine is heard as often as without.
fn long_poll_span(context: &Context) -> Micros {
    MAX_LONG_POLL.min(context.settings.heartbeat_interval * 3 / 4)
}

#[cfg(test)]
mod tests;
