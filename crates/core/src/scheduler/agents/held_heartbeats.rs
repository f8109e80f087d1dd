//! Holds responses to heartbeats until a write is durable or a placement round is over, or, as the long poll of a
//! machine with free resources, until a task is placed on the machine.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::MAX_HOLD_US;
use crate::scheduler::Scheduler;
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::{Assignment, ExitedAttempt};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};

/// Maximum duration of a long poll. It leaves time for the response to travel, since an agent gives up after
/// [`RESPONSE_TIMEOUT_US`](crate::state::machine::RESPONSE_TIMEOUT_US).
const MAX_LONG_POLL_US: Micros = 3 * SECOND;

/// Number of sockets for each long poll; the remaining sockets stay available to other requests.
const SOCKETS_PER_LONG_POLL: usize = 2;

/// Maximum time without contact to the store during which heartbeats still wait for writes.
const MAX_STORE_SILENCE_US: Micros = 2 * SECOND;

impl Scheduler {
    /// Returns the request numbers of all held heartbeats.
    pub(crate) fn waiting_heartbeats(&self) -> Vec<u64> {
        let long_polls = self.long_polls.by_machine.values();
        self.held_heartbeats
            .iter()
            .chain(long_polls)
            .map(|held| held.request)
            .collect()
    }

    /// Forgets the held heartbeat of a request whose connection the agent closed.
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

    /// Refuses the held heartbeats of the machine, if there are any.
    pub(crate) fn refuse_held_heartbeats(
        &mut self,
        context: &mut Context,
        machine: &str,
        why: &str,
    ) {
        let is_of_machine = |held: &HeldHeartbeat| held.machine == machine;
        if let Some(index) = self.held_heartbeats.iter().position(is_of_machine) {
            let held = self.held_heartbeats.remove(index);
            context.refuse(held.request, 503, why);
        }
        if let Some(held) = self.long_polls.remove(machine) {
            context.refuse(held.request, 503, why);
        }
    }

    /// Returns whether a heartbeat of the machine may become a long poll: the machine has free resources, and none
    /// of its tasks is likely to exit during the poll, since the agent can report an exit only after the response.
    pub(crate) fn may_long_poll(&self, context: &Context, machine: &str) -> bool {
        let now = context.now.steady;
        let duration = long_poll_duration(context);
        // Each long poll holds a connection: with more idle machines than sockets, other connections would find no
        // free socket.
        if self.long_polls.len() >= context.settings.max_sockets / SOCKETS_PER_LONG_POLL {
            return false;
        }
        let keeps_running = |assignment: &Assignment| {
            let min_remaining = (2 * duration).max(assignment.expected_stay / 2);
            assignment.stop.is_none() && assignment.remaining_time(now, 0) > min_remaining
        };
        self.machines.get(machine).is_some_and(|machine| {
            machine.free().cpus > RESOURCE_TOLERANCE
                && machine.is_usable(now, context.settings.heartbeat_timeout())
                && machine.exited_attempts.is_empty()
                && machine.assignments.iter().all(keeps_running)
        })
    }

    /// Holds a heartbeat as a long poll.
    pub(crate) fn hold_long_poll(&mut self, context: &Context, mut held: HeldHeartbeat) {
        held.deadline = context.now.steady + long_poll_duration(context);
        self.long_polls.insert(held);
    }

    /// Holds a heartbeat that waits for a write or a placement round.
    pub(crate) fn hold_heartbeat(&mut self, held: HeldHeartbeat) {
        if self.held_heartbeats.is_empty() {
            self.next_held_deadline = held.deadline;
        }
        self.held_heartbeats.push(held);
    }

    /// Ends the long poll of a machine on which a task was placed: the response now waits only until the assignment is
    /// durable.
    pub(crate) fn wake_long_poll(&mut self, context: &Context, machine: &str) {
        if let Some(mut held) = self.long_polls.remove(machine) {
            held.deadline = context.now.steady + MAX_HOLD_US;
            self.hold_heartbeat(held);
        }
    }

    /// Answers the held heartbeats that have nothing left to wait for or whose deadline has passed.
    pub(crate) fn run_held_heartbeats(&mut self, context: &mut Context) {
        let now = context.now.steady;
        while let Some(held) = self.long_polls.pop_due(now) {
            let commands = self.prepare_commands(context, &held);
            self.answer_heartbeat(context, held.request, commands);
        }
        let is_due = self.held_heartbeats_may_be_ready || now >= self.next_held_deadline;
        if self.held_heartbeats.is_empty() || !is_due {
            return;
        }
        self.held_heartbeats_may_be_ready = false;
        for held in std::mem::take(&mut self.held_heartbeats) {
            if self.may_be_answered(context, &held) {
                let commands = self.prepare_commands(context, &held);
                self.answer_heartbeat(context, held.request, commands);
            } else {
                self.held_heartbeats.push(held);
            }
        }
        let deadlines = self.held_heartbeats.iter().map(|held| held.deadline);
        self.next_held_deadline = deadlines.min().unwrap_or(0);
    }

    /// Returns whether a held heartbeat may be answered now.
    pub(crate) fn may_be_answered(&self, context: &Context, held: &HeldHeartbeat) -> bool {
        context.now.steady >= held.deadline
            || !context.has_store_contact(MAX_STORE_SILENCE_US)
            || (self.placement.rounds >= held.placement_round
                && !self.waits_for_flush(&held.machine)
                && !self.waits_for_leader(&held.machine))
    }

    /// Returns whether this partition holder has reported an exit on the machine to the leader and waits for its
    /// confirmation, with which the leader may send the next task for the machine.
    fn waits_for_leader(&self, name: &str) -> bool {
        let machine = self.machines.get(name).filter(|_| self.is_holder());
        let is_unconfirmed =
            |exited: &ExitedAttempt| !self.holder_state.is_outcome_recorded(exited.id());
        machine.is_some_and(|machine| {
            machine.exited_attempts.iter().any(is_unconfirmed)
                && machine
                    .assignments
                    .iter()
                    .all(Assignment::may_be_on_machine)
        })
    }

    /// Returns whether an assignment of the machine waits to be launched until its page is durable.
    fn waits_for_flush(&self, name: &str) -> bool {
        let is_unwritten = |assignment: &Assignment| {
            let page = RecordId::AssignmentPage(assignment.page);
            assignment.launched.is_none()
                && assignment.stop.is_none()
                && !self.write_buffer.is_durable(&page, assignment.page_version)
        };
        self.machines
            .get(name)
            .is_some_and(|machine| machine.assignments.iter().any(is_unwritten))
    }
}

/// Returns the maximum duration of a long poll. The response comes before the next heartbeat is due, so the agent
/// sends as many heartbeats as without long polls.
fn long_poll_duration(context: &Context) -> Micros {
    MAX_LONG_POLL_US.min(context.settings.heartbeat_interval * 3 / 4)
}

#[cfg(test)]
mod tests;
