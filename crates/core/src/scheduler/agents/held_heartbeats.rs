//! Heartbeats whose response is held: until a write is durable or a round of placement is over, or, as a long poll of
//! a machine with free resources, until a task is placed on it.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::MAX_HOLD;
use crate::scheduler::Scheduler;
use crate::state::jobs::EPS;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::{Assignment, ExitedAttempt};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};

/// Longest duration of a long poll, in microseconds. An agent gives up after
/// [`RESPONSE_TIMEOUT`](crate::state::machine::RESPONSE_TIMEOUT), and the response has yet to travel.
const MAX_LONG_POLL: Micros = 3 * SECOND;

/// Long polls may hold one of so many sockets.
const SOCKETS_PER_LONG_POLL: usize = 2;

/// How long the store may have been out of contact, in microseconds, while heartbeats still wait for writes.
const STORE_CONTACT: Micros = 2 * SECOND;

impl Scheduler {
    /// Requests of all held heartbeats.
    pub(crate) fn waiting_heartbeats(&self) -> Vec<u64> {
        let long_polls = self.long_polls.by_machine.values();
        self.held_heartbeats
            .iter()
            .chain(long_polls)
            .map(|held| held.request)
            .collect()
    }

    /// The agent closed the connection of this request.
    pub(crate) fn forget_heartbeat(&mut self, request: u64) {
        self.held_heartbeats.retain(|held| held.request != request);
        let mut long_polls = self.long_polls.by_machine.values();
        let machine = long_polls
            .find(|held| held.request == request)
            .map(|held| held.machine.clone());
        if let Some(machine) = machine {
            self.long_polls.remove(&machine);
        }
    }

    /// Refuses the held heartbeat of the machine, if there is one.
    pub(crate) fn refuse_held_heartbeats(
        &mut self,
        context: &mut Context,
        machine: &str,
        why: &str,
    ) {
        let is_of_machine = |held: &HeldHeartbeat| held.machine == machine;
        if let Some(position) = self.held_heartbeats.iter().position(is_of_machine) {
            let held = self.held_heartbeats.remove(position);
            context.refuse(held.request, 503, why);
        }
        if let Some(held) = self.long_polls.remove(machine) {
            context.refuse(held.request, 503, why);
        }
    }

    /// Whether a heartbeat of the machine may become a long poll: the machine has free resources, and none of its tasks
    /// is likely to exit meanwhile, since the agent can send that only after our response.
    pub(crate) fn may_long_poll(&self, context: &Context, machine: &str) -> bool {
        let now = context.now.steady;
        let duration = long_poll_duration(context);
        // Each long poll holds a connection: with more idle machines than sockets the others would find none.
        if self.long_polls.len() >= context.settings.max_sockets / SOCKETS_PER_LONG_POLL {
            return false;
        }
        let runs_on = |assignment: &Assignment| {
            let least_remaining = (2 * duration).max(assignment.expected / 2);
            assignment.stop.is_none() && assignment.remaining(now, 0) > least_remaining
        };
        self.machines.get(machine).is_some_and(|machine| {
            machine.free().cpus > EPS
                && machine.usable(now, context.settings.heartbeat_timeout())
                && machine.exited_attempts.is_empty()
                && machine.assignments.iter().all(runs_on)
        })
    }

    /// Holds a heartbeat as a long poll.
    pub(crate) fn hold_long_poll(&mut self, context: &Context, mut held: HeldHeartbeat) {
        held.until = context.now.steady + long_poll_duration(context);
        self.long_polls.insert(held);
    }

    /// Holds a heartbeat that waits for a write or a round of placement.
    pub(crate) fn hold_heartbeat(&mut self, held: HeldHeartbeat) {
        if self.held_heartbeats.is_empty() {
            self.held_until = held.until;
        }
        self.held_heartbeats.push(held);
    }

    /// A task was placed on the machine: the response to its long poll waits only until that is on record.
    pub(crate) fn wake_long_poll(&mut self, context: &Context, machine: &str) {
        if let Some(mut held) = self.long_polls.remove(machine) {
            held.until = context.now.steady + MAX_HOLD;
            self.hold_heartbeat(held);
        }
    }

    /// Answers the held heartbeats that wait for nothing any more, or have waited long enough.
    pub(crate) fn run_held_heartbeats(&mut self, context: &mut Context) {
        let now = context.now.steady;
        while let Some(held) = self.long_polls.pop_due(now) {
            let commands = self.commands(context, &held);
            self.answer_heartbeat(context, held.request, commands);
        }
        let due = self.held_changed || now >= self.held_until;
        if self.held_heartbeats.is_empty() || !due {
            return;
        }
        self.held_changed = false;
        for held in std::mem::take(&mut self.held_heartbeats) {
            if self.may_be_answered(context, &held) {
                let commands = self.commands(context, &held);
                self.answer_heartbeat(context, held.request, commands);
            } else {
                self.held_heartbeats.push(held);
            }
        }
        let deadlines = self.held_heartbeats.iter().map(|held| held.until);
        self.held_until = deadlines.min().unwrap_or(0);
    }

    /// Whether a heartbeat may be answered now.
    pub(crate) fn may_be_answered(&self, context: &Context, held: &HeldHeartbeat) -> bool {
        context.now.steady >= held.until
            || !context.has_store_contact(STORE_CONTACT)
            || (self.placement.rounds >= held.round
                && !self.waits_for_flush(&held.machine)
                && !self.waits_for_leader(&held.machine))
    }

    /// Whether a partition holder has told the leader of an exit on the machine, and the leader may send the next task
    /// for the machine at once.
    fn waits_for_leader(&self, name: &str) -> bool {
        let machine = self.machines.get(name).filter(|_| self.is_holder());
        let is_unsettled =
            |exited: &ExitedAttempt| !self.holder_state.is_outcome_recorded(exited.id());
        machine.is_some_and(|machine| {
            machine.exited_attempts.iter().any(is_unsettled)
                && machine
                    .assignments
                    .iter()
                    .all(Assignment::may_be_on_machine)
        })
    }

    /// Whether an assignment of the machine is to be launched once its page is durable.
    fn waits_for_flush(&self, name: &str) -> bool {
        let is_unwritten = |assignment: &Assignment| {
            let page = RecordId::Page(assignment.page);
            assignment.launched.is_none()
                && assignment.stop.is_none()
                && !self.write_buffer.is_durable(&page, assignment.written)
        };
        self.machines
            .get(name)
            .is_some_and(|machine| machine.assignments.iter().any(is_unwritten))
    }
}

/// How long a long poll lasts at most, in microseconds: the response comes before the next heartbeat is due, so that
/// the agent sends as many as without long polls.
fn long_poll_duration(context: &Context) -> Micros {
    MAX_LONG_POLL.min(context.settings.heartbeat_interval * 3 / 4)
}

#[cfg(test)]
mod tests;
