//! Termination of machines.

use crate::calls::CloudCall;
use crate::context::Context;
use crate::scheduler::leader::fleet::MAX_TERMINATIONS;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::MachineNames;

/// How long the removal of what was on a terminated machine may wait to be written, in microseconds.
const REMOVAL_DELAY: Micros = 2 * SECOND;

/// Most terminated machines that are remembered.
const MAX_REMEMBERED: usize = 20_000;

impl Scheduler {
    /// Sends terminations that are due.
    pub(crate) fn send_terminations(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let fleet = &mut self.fleet;
        let nothing_to_send = fleet.terminating.is_empty() || fleet.termination_in_flight;
        if nothing_to_send || now < fleet.next_termination {
            return;
        }
        if !context.cloud_requests.take(now, 1.0) {
            fleet.next_termination = context.cloud_requests.ready_at(now, 1.0);
            return;
        }
        fleet.termination_in_flight = true;
        let next = fleet.terminating.iter().take(MAX_TERMINATIONS);
        let machines: Vec<String> = next.cloned().collect();
        let body = wire::to_cbor(&MachineNames {
            machines: machines.clone(),
        });
        let call = CloudCall::Terminate { machines };
        self.call_cloud(context, "POST", "/rentals/release", body, call);
    }

    /// Takes in the answer to a termination call.
    pub(crate) fn on_terminated(
        &mut self,
        context: &mut Context,
        status: u16,
        machines: Vec<String>,
    ) {
        let now = context.now.steady;
        self.fleet.termination_in_flight = false;
        if status != 200 {
            self.fleet.next_termination = now + SECOND + context.jitter(SECOND / 2);
            return;
        }
        for name in machines {
            self.terminated(context, &name);
        }
    }

    /// A termination was answered 200: the machine and all that was on it are gone.
    pub(crate) fn terminated(&mut self, context: &mut Context, name: &str) {
        if let Some(partition) = self.machines.get(name).and_then(|m| m.partition) {
            self.remote_partitions.note_terminated(partition, name);
        }
        self.remember_terminated(context.now.steady, name);
        self.remove_all_assignments(context, name);
        self.machines.remove(name);
        self.refuse_held_heartbeats(context, name, "the machine was returned");
    }

    fn remember_terminated(&mut self, now: Micros, name: &str) {
        self.fleet.terminating.remove(name);
        self.fleet.terminated.insert(name.to_string(), now);
        while self.fleet.terminated.len() > MAX_REMEMBERED {
            self.fleet.terminated.pop_first();
        }
        self.fleet.booting_machines.remove(name);
        self.fleet.running_without_heartbeat.remove(name);
    }

    fn remove_all_assignments(&mut self, context: &mut Context, name: &str) {
        let first_page = |scheduler: &Scheduler| {
            let machine = scheduler.machines.get(name)?;
            machine.assignments.first().map(|a| a.page)
        };
        while let Some(page) = first_page(self) {
            self.remove_assignment(context, name, 0);
            // No heartbeat will tell the next leader: it would wait for this machine's lease to expire.
            let due = context.now.steady + REMOVAL_DELAY;
            if !self.is_holder() {
                self.write_buffer.mark_dirty_by(RecordId::Page(page), due);
            }
        }
    }
}
