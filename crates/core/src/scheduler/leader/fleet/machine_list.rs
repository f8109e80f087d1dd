//! The cloud's machine list, which shows with a lag which machines exist.

use crate::calls::CloudCall;
use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::fleet::{BootingMachine, MachineOffering};
use crate::state::machine::Machine;
use crate::{micros, Micros, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{ListedMachine, MachineList};
use log::{info, warn};
use std::collections::BTreeSet;

/// Maximum number of machines on one page of the list.
const PAGE_MACHINES: usize = 500;

/// Status of a listed machine whose agent should be sending heartbeats.
const RUNNING: &str = "running";

/// Status of a listed machine that will never come up.
const FAILED: &str = "failed";

impl Scheduler {
    /// Reads the next page of the machine list if it is due.
    pub(crate) fn read_machine_list(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let is_due = now >= self.fleet.next_list_read && !self.fleet.list_in_flight;
        if !is_due || !context.cloud_requests.try_acquire(now, 1.0) {
            return;
        }
        self.fleet.list_in_flight = true;
        let since = match &self.fleet.list_continues_after {
            Some(machine) => format!("since={machine}&"),
            None => String::new(),
        };
        let path = format!("/rentals?{since}page={PAGE_MACHINES}");
        self.call_cloud(context, "GET", &path, Vec::new(), CloudCall::List);
    }

    /// Handles the response with a page of the machine list.
    pub(crate) fn on_machine_list(&mut self, context: &mut Context, status: u16, body: &[u8]) {
        let now = context.now.steady;
        self.fleet.list_in_flight = false;
        let page = match wire::from_cbor::<MachineList>(body) {
            Ok(page) if status == 200 => page,
            unusable => {
                if let (200, Err(error)) = (status, unusable) {
                    warn!(error:% = error; "cannot decode the machine list");
                }
                self.fleet.next_list_read = now + SECOND + context.jitter(SECOND / 2);
                return;
            }
        };
        let last_machine = page.machines.last().map(|machine| machine.id.clone());
        self.fleet.listed_so_far.extend(page.machines);
        if page.has_more && last_machine.is_some() {
            self.fleet.list_continues_after = last_machine;
            self.fleet.next_list_read = now;
        } else {
            self.fleet.list_continues_after = None;
            self.fleet.next_list_read = now + context.tuning.list_interval_us;
            self.process_full_list(context);
        }
    }

    /// Processes a full machine list. The list lags, so a machine that it does not show may still exist.
    fn process_full_list(&mut self, context: &Context) {
        let listed = std::mem::take(&mut self.fleet.listed_so_far);
        self.fleet.last_full_list = Some(context.now.steady);
        self.terminate_unlisted(context, &listed);
        for machine in &listed {
            self.process_listed_machine(context, machine);
        }
    }

    /// Processes one machine of the list.
    fn process_listed_machine(&mut self, context: &Context, listed: &ListedMachine) {
        let now = context.now.steady;
        let name = &listed.id;
        self.fleet.record_listed(name);
        if let Some(at) = self.fleet.terminated.get(name) {
            let max_listed_time = 4 * context.settings.machine_list_lag + 30 * SECOND;
            if now.saturating_sub(*at) > max_listed_time {
                // The machine still exists long after the cloud confirmed its termination, so it is terminated again.
                self.fleet.terminated.remove(name);
                self.fleet.terminate(name, now);
            }
            return;
        }
        if listed.status == FAILED {
            info!(machine = name; "terminating a machine that the cloud lists as failed");
            self.fleet.terminate(name, now);
            return;
        }
        self.record_listed_boot(now, listed);
    }

    /// Records a listed machine that may still be booting.
    fn record_listed_boot(&mut self, now: Micros, listed: &ListedMachine) {
        let name = &listed.id;
        let listed_as_running = listed.status == RUNNING;
        if let Some(boot) = self.fleet.booting_machines.get_mut(name) {
            boot.last_listed = Some(now);
            boot.listed_as_running = listed_as_running;
        }
        let known_machine = self.machines.get(name);
        if known_machine.is_some_and(|machine| !machine.address.is_empty()) {
            return;
        }
        if listed_as_running {
            let without_heartbeat = &mut self.fleet.running_without_heartbeat;
            without_heartbeat.entry(name.clone()).or_insert(now);
        }
        let booting = self.fleet.booting_machines.entry(name.clone());
        booting.or_insert_with(|| {
            info!(machine = name; "found an unknown machine in the machine list");
            BootingMachine {
                offering: MachineOffering::new(&listed.machine_type, &listed.zone, listed.spot),
                requested_at: now.saturating_sub(micros(listed.age_s)),
                last_listed: Some(now),
                listed_as_running,
            }
        });
    }

    /// Terminates machines that were probably reclaimed without notice. These are machines that were listed, are
    /// no longer listed and send no heartbeats, and machines of an earlier leader that no list of this leader ever
    /// showed. The termination costs nothing, and its response proves that the tasks on the machine have ended,
    /// earlier than the expiry of the agent's lease would. For machines that were gone before this leader's term
    /// began, there is no other proof if no machine is left whose heartbeats show that this controller is not at
    /// fault.
    fn terminate_unlisted(&mut self, context: &Context, list: &[ListedMachine]) {
        let now = context.now.steady;
        let listed: BTreeSet<&str> = list.iter().map(|machine| machine.id.as_str()).collect();
        let loaded_at = self.loaded_at;
        let mut probably_gone = Vec::new();
        for machine in self.machines.values_mut() {
            if listed.contains(machine.name.as_str()) {
                machine.first_listed_at.get_or_insert(now);
            } else if is_probably_gone(context, machine, loaded_at) {
                probably_gone.push(machine.name.clone());
            }
        }
        for name in probably_gone {
            if self.fleet.terminate(&name, now) {
                info!(machine = name; "terminating a machine that is unlisted and unreachable");
            }
        }
    }
}

/// Returns whether an unlisted machine has probably gone: it was listed, or loaded from the store, long ago, and
/// its last contact was long ago as well.
fn is_probably_gone(context: &Context, machine: &Machine, loaded_at: Micros) -> bool {
    let now = context.now.steady;
    // A list may be older than the list read before it, by as much as the lag permits.
    let listed_timeout = 2 * context.settings.machine_list_lag + 2 * SECOND;
    let contact_timeout = 2 * context.settings.heartbeat_interval + SECOND;
    let from_store = machine.address.is_empty().then_some(loaded_at);
    let known_since = machine.first_listed_at.or(from_store);
    known_since.is_some_and(|at| now.saturating_sub(at) > listed_timeout)
        && now.saturating_sub(machine.last_contact_at) > contact_timeout
}
