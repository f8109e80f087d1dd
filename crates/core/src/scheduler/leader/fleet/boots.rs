//! Boots: machines that were provisioned and have not sent a heartbeat yet.

use crate::context::Context;
use crate::scheduler::agents::unreachable::termination_delay;
use crate::scheduler::Scheduler;
use crate::state::fleet::{BootingMachine, UNKNOWN_BOOT_TIME};
use crate::{micros, Micros, MILLI, SECOND};
use grebewood_wire::http::Heartbeat;
use log::info;

/// So many boots of a type given up in a row double the time that the next ones get.
const FAILED_BOOTS_PER_DOUBLING: u32 = 10;

/// How often that time is doubled at most.
const MAX_DOUBLINGS: u32 = 3;

/// What every boot may take beyond its average, in microseconds.
const BOOT_MARGIN: Micros = 2 * SECOND;

/// The least time that a machine that the list shows as running has for its first heartbeat, in microseconds.
const FIRST_HEARTBEAT_TIMEOUT: Micros = 30 * SECOND;

impl Scheduler {
    /// A machine sent a heartbeat: if it was booting, it is up now.
    pub(crate) fn note_machine_up(&mut self, context: &Context, heartbeat: &Heartbeat) {
        let now = context.now.steady;
        let name = &heartbeat.machine;
        self.fleet.running_without_heartbeat.remove(name);
        if let Some(boot) = self.fleet.booting_machines.remove(name) {
            self.placement.request_round(now);
            if !boot.running {
                self.note_boot_time(context, name, &boot);
            }
        }
        self.fleet.note_listed(name);
    }

    fn note_boot_time(&mut self, context: &Context, name: &str, boot: &BootingMachine) {
        let took = context.now.steady.saturating_sub(boot.requested_at);
        info!(machine = name, boot_ms = took / MILLI; "machine is up");
        let machine_type = &boot.offering.machine_type;
        self.fleet.failed_boots.remove(machine_type);
        if let Some(declared) = context.machine_type(machine_type).map(|t| t.boot_s) {
            self.stats
                .record_boot_time(machine_type, micros(declared), took);
        }
    }

    /// Gives up boots that are far overdue, that vanished from the machine list, or whose machines are
    /// listed as running without ever sending a heartbeat.
    pub(crate) fn check_boots(&mut self, context: &Context) {
        let now = context.now.steady;
        let mut terminate = Vec::new();
        let mut vanished = Vec::new();
        for (name, boot) in &self.fleet.booting_machines {
            if self.is_far_overdue(context, boot) {
                terminate.push(name.clone());
            } else if self.has_vanished(context, boot) {
                vanished.push(name.clone());
            }
        }
        terminate.extend(self.running_without_heartbeat(context));
        for name in vanished {
            self.fleet.booting_machines.remove(&name);
        }
        for name in terminate {
            if self.fleet.terminate(&name, now) {
                info!(machine = name; "terminating a machine that did not come up");
                self.note_failed_boot(&name);
            }
        }
    }

    fn is_far_overdue(&self, context: &Context, boot: &BootingMachine) -> bool {
        let timeout = self.boot_timeout(context, &boot.offering.machine_type);
        let spent = context.now.steady.saturating_sub(boot.requested_at);
        !boot.running && spent > timeout + timeout / 2
    }

    /// Whether the machine was listed once, and is listed no more. What no list shows because there was none
    /// has not vanished: boots were once given up during an outage of the cloud, and provisioned anew after it.
    fn has_vanished(&self, context: &Context, boot: &BootingMachine) -> bool {
        let last_full_list = self.fleet.last_full_list.unwrap_or(0);
        let timeout = 3 * context.settings.machine_list_lag + 10 * SECOND;
        boot.last_listed
            .is_some_and(|at| last_full_list.saturating_sub(at) > timeout)
    }

    /// Machines that have been listed as running for too long without a heartbeat. One that is cut off for
    /// longer than this has lost its tasks; one that is unreachable is terminated as late.
    fn running_without_heartbeat(&self, context: &Context) -> Vec<String> {
        let now = context.now.steady;
        // If none sends heartbeats, the fault is likely this controller's.
        let since_heartbeat = now.saturating_sub(self.last_heartbeat_at);
        if since_heartbeat >= context.settings.heartbeat_timeout() {
            return Vec::new();
        }
        let timeout = termination_delay(context.settings.agent_lease).max(FIRST_HEARTBEAT_TIMEOUT);
        let running = self.fleet.running_without_heartbeat.iter();
        running
            .filter(|(_, since)| now.saturating_sub(**since) > timeout)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn note_failed_boot(&mut self, name: &str) {
        let boot = self.fleet.booting_machines.get(name);
        if let Some(boot) = boot.filter(|boot| !boot.running) {
            let machine_type = boot.offering.machine_type.clone();
            *self.fleet.failed_boots.entry(machine_type).or_insert(0) += 1;
        }
    }

    /// How long a boot may take before it counts for nothing, in microseconds: by the average, but not by one
    /// that was learnt while machines were up within seconds. Boots of usual length were once all given up
    /// after that, for good, since none came up to be learnt from. For the same reason a type gets
    /// more time when one boot after the other is given up.
    pub(crate) fn boot_timeout(&self, context: &Context, machine_type: &str) -> Micros {
        let declared = context
            .machine_type(machine_type)
            .map_or(UNKNOWN_BOOT_TIME, |t| micros(t.boot_s));
        let average = self.stats.boot_time(machine_type, declared).max(declared);
        let failed = self.fleet.failed_boots.get(machine_type).copied();
        let doublings = (failed.unwrap_or(0) / FAILED_BOOTS_PER_DOUBLING).min(MAX_DOUBLINGS);
        let timeout = (average as f64 * context.tuning.boot_overdue) as Micros + BOOT_MARGIN;
        timeout << doublings
    }
}
