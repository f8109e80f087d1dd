//! Termination: asks the cloud to terminate machines and removes the machines that are gone.

use crate::calls::CloudCall;
use crate::context::Context;
use crate::scheduler::leader::fleet::MAX_TERMINATIONS_PER_CALL;
use crate::scheduler::Scheduler;
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::MachineNames;

/// Maximum delay before the removal of a terminated machine's assignments is written to the store, in
/// microseconds.
const REMOVAL_WRITE_DELAY_US: Micros = 2 * SECOND;

/// Maximum number of terminated machines that are remembered.
const MAX_REMEMBERED_TERMINATIONS: usize = 20_000;

impl Scheduler {
    /// Sends a termination call if one is due.
    pub(crate) fn send_terminations(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let fleet = &mut self.fleet;
        let nothing_to_send = fleet.terminating.is_empty() || fleet.termination_in_flight;
        if nothing_to_send || now < fleet.next_termination {
            return;
        }
        if !context.cloud_requests.try_acquire(now, 1.0) {
            fleet.next_termination = context.cloud_requests.ready_at(now, 1.0);
            return;
        }
        fleet.termination_in_flight = true;
        let next = fleet.terminating.iter().take(MAX_TERMINATIONS_PER_CALL);
        let machines: Vec<String> = next.cloned().collect();
        let body = wire::to_cbor(&MachineNames {
            machines: machines.clone(),
        });
        let call = CloudCall::Terminate { machines };
        self.call_cloud(context, "POST", "/rentals/release", body, call);
    }

    /// Handles the response to a termination call.
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
            self.remove_terminated_machine(context, &name);
        }
    }

    /// Removes a machine whose termination the cloud has confirmed, with all its assignments.
    pub(crate) fn remove_terminated_machine(&mut self, context: &mut Context, name: &str) {
        if let Some(partition) = self.machines.get(name).and_then(|m| m.partition) {
            self.remote_partitions.record_terminated(partition, name);
        }
        self.remember_terminated(context.now.steady, name);
        self.remove_all_assignments(context, name);
        self.machines.remove(name);
        self.refuse_held_heartbeats(context, name, "the machine was returned");
    }

    fn remember_terminated(&mut self, now: Micros, name: &str) {
        self.fleet.terminating.remove(name);
        self.fleet.terminated.insert(name.to_string(), now);
        while self.fleet.terminated.len() > MAX_REMEMBERED_TERMINATIONS {
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
            // The page is written soon, because no heartbeat will tell the next leader that the tasks are gone: it
            // would wait for the expiry of the agent's lease.
            let due = context.now.steady + REMOVAL_WRITE_DELAY_US;
            if !self.is_holder() {
                self.write_buffer
                    .mark_dirty_by(RecordId::AssignmentPage(page), due);
            }
        }
    }
}
