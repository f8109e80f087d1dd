//! Boots: machines that were provisioned and have not sent a heartbeat to this leader yet.

use crate::context::Context;
use crate::scheduler::agents::unreachable::termination_delay;
use crate::scheduler::Scheduler;
use crate::state::fleet::{BootingMachine, DEFAULT_BOOT_TIME_US};
use crate::{micros, Micros, MILLI, SECOND};
use grebewood_wire::http::Heartbeat;
use log::info;

/// The boot timeout of a machine type doubles each time this many boots of the type are given up in a row.
const FAILED_BOOTS_PER_DOUBLING: u32 = 10;

/// Maximum number of times that the boot timeout of a machine type doubles.
const MAX_DOUBLINGS: u32 = 3;

/// Time added to every boot timeout, in microseconds.
const BOOT_MARGIN_US: Micros = 2 * SECOND;

/// Minimum time that a machine has for its first heartbeat after the machine list shows it as running, in
/// microseconds.
const FIRST_HEARTBEAT_TIMEOUT_US: Micros = 30 * SECOND;

impl Scheduler {
    /// Records that a machine sent a heartbeat. If it was booting, its boot is complete.
    pub(crate) fn record_machine_up(&mut self, context: &Context, heartbeat: &Heartbeat) {
        let now = context.now.steady;
        let name = &heartbeat.machine;
        self.fleet.running_without_heartbeat.remove(name);
        if let Some(boot) = self.fleet.booting_machines.remove(name) {
            self.placement.request_round(now);
            if !boot.listed_as_running {
                self.record_boot_time(context, name, &boot);
            }
        }
        self.fleet.record_listed(name);
    }

    /// Records the boot time of a machine in the statistics of its type.
    fn record_boot_time(&mut self, context: &Context, name: &str, boot: &BootingMachine) {
        let boot_time = context.now.steady.saturating_sub(boot.requested_at);
        info!(machine = name, boot_ms = boot_time / MILLI; "provisioned machine sent its first heartbeat");
        let machine_type = &boot.offering.machine_type;
        self.fleet.failed_boots.remove(machine_type);
        if let Some(published) = context.machine_type(machine_type).map(|t| t.boot_s) {
            self.stats
                .record_boot_time(machine_type, micros(published), boot_time);
        }
    }

    /// Gives up boots that are far overdue, boots of machines that vanished from the machine list, and boots of
    /// machines that have been listed as running for too long without a heartbeat.
    pub(crate) fn check_boots(&mut self, context: &Context) {
        let now = context.now.steady;
        let mut to_terminate = Vec::new();
        let mut vanished = Vec::new();
        for (name, boot) in &self.fleet.booting_machines {
            if self.is_far_overdue(context, boot) {
                to_terminate.push(name.clone());
            } else if self.has_vanished(context, boot) {
                vanished.push(name.clone());
            }
        }
        to_terminate.extend(self.running_without_heartbeat(context));
        for name in vanished {
            self.fleet.booting_machines.remove(&name);
        }
        for name in to_terminate {
            if self.fleet.terminate(&name, now) {
                info!(machine = name; "terminating a machine that did not come up");
                self.count_failed_boot(&name);
            }
        }
    }

    /// Returns whether the machine is not listed as running and its boot has taken more than one and a half times
    /// the timeout.
    fn is_far_overdue(&self, context: &Context, boot: &BootingMachine) -> bool {
        let timeout = self.boot_timeout(context, &boot.offering.machine_type);
        let elapsed = context.now.steady.saturating_sub(boot.requested_at);
        !boot.listed_as_running && elapsed > timeout + timeout / 2
    }

    /// Returns whether the machine list once showed the machine and no longer does. The time of the last full list
    /// counts instead of the current time: otherwise, boots would be given up during an outage of the cloud, which
    /// provides no lists, and their machines would be provisioned again after it.
    fn has_vanished(&self, context: &Context, boot: &BootingMachine) -> bool {
        let last_full_list = self.fleet.last_full_list.unwrap_or(0);
        let timeout = 3 * context.settings.machine_list_lag + 10 * SECOND;
        boot.last_listed
            .is_some_and(|at| last_full_list.saturating_sub(at) > timeout)
    }

    /// Returns the machines that have been listed as running for too long without a heartbeat. A machine that is
    /// cut off for this long has lost its tasks, and an unreachable machine is not terminated any earlier.
    fn running_without_heartbeat(&self, context: &Context) -> Vec<String> {
        let now = context.now.steady;
        // If no machine sends heartbeats, this controller is probably at fault.
        let since_heartbeat = now.saturating_sub(self.last_heartbeat_at);
        if since_heartbeat >= context.settings.heartbeat_timeout() {
            return Vec::new();
        }
        let timeout =
            termination_delay(context.settings.agent_lease).max(FIRST_HEARTBEAT_TIMEOUT_US);
        let running = self.fleet.running_without_heartbeat.iter();
        running
            .filter(|(_, since)| now.saturating_sub(**since) > timeout)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Counts a boot that was given up, unless the machine was listed as running.
    fn count_failed_boot(&mut self, name: &str) {
        let boot = self.fleet.booting_machines.get(name);
        if let Some(boot) = boot.filter(|boot| !boot.listed_as_running) {
            let machine_type = boot.offering.machine_type.clone();
            *self.fleet.failed_boots.entry(machine_type).or_insert(0) += 1;
        }
    }

    /// Returns how long a boot may take before it counts as no computing power, in microseconds. The timeout is
    /// based on the average boot time of the type, or on the published boot time if that is longer. If the average
    /// counted alone and had been learned while machines came up within seconds, every boot of usual length would
    /// be given up. No boot would complete to correct the average, so this would never end. For the same reason,
    /// the timeout grows as boots of the type are given up in a row.
    pub(crate) fn boot_timeout(&self, context: &Context, machine_type: &str) -> Micros {
        let published = context
            .machine_type(machine_type)
            .map_or(DEFAULT_BOOT_TIME_US, |t| micros(t.boot_s));
        let average = self.stats.boot_time(machine_type, published).max(published);
        let failed_boots = self.fleet.failed_boots.get(machine_type).copied();
        let doublings = (failed_boots.unwrap_or(0) / FAILED_BOOTS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let timeout = (average as f64 * context.tuning.boot_overdue) as Micros + BOOT_MARGIN_US;
        timeout << doublings
    }
}
