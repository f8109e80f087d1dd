//! Machines on which this controller could not prove, when it last stepped down, that cancelled tasks have ended.

use crate::calls::CallPurpose;
use crate::controller::peer_contact::STORE_CONTACT_TIMEOUT;
use crate::controller::Controller;
use crate::scheduler::leader::fleet::MAX_TERMINATIONS;
use crate::scheduler::Scheduler;
use crate::state::unproven_machines::UnprovenMachines;
use crate::{Micros, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::MachineNames;
use log::info;

/// A leader that stepped down waits so long for contact with the store before it terminates the machines
/// that it left unproven.
const TERMINATION_DELAY: Micros = 3 * SECOND;

/// How long the cloud may take to terminate machines.
const TERMINATION_TIMEOUT: Micros = 5 * SECOND;

/// A machine counts as unproven after this many heartbeat intervals without a heartbeat.
const MISSED_HEARTBEATS: Micros = 2;

impl Controller {
    /// Takes over what a scheduler that gives up its role leaves unproven.
    pub(crate) fn keep_unproven_machines(&mut self, scheduler: &Scheduler) {
        let now = self.context.now.steady;
        let silence = MISSED_HEARTBEATS * self.context.settings.heartbeat_interval;
        let names = scheduler.unproven_machines(now, silence);
        if names.is_empty() {
            return;
        }
        let unproven = self
            .unproven_machines
            .get_or_insert_with(|| UnprovenMachines {
                names: Vec::new(),
                due: now + TERMINATION_DELAY,
            });
        unproven.names.extend(names);
    }

    /// When unproven machines are due, in microseconds of the steady clock.
    pub(crate) fn unproven_machines_due(&self) -> Micros {
        let unproven = self.unproven_machines.as_ref();
        unproven.map_or(Micros::MAX, |unproven| unproven.due)
    }

    /// Terminates unproven machines that are due, if the store has been out of reach since: then it may take
    /// long until there is a next leader, and no other member knows of them. Otherwise the next leader reads
    /// which tasks are there, and agents may already send it their heartbeats: to a leader that resumes after a
    /// process pause all machines seem unreachable.
    pub(crate) fn run_unproven_machines(&mut self) {
        if self.context.now.steady < self.unproven_machines_due() {
            return;
        }
        let Some(unproven) = self.unproven_machines.take() else {
            return;
        };
        if self.context.has_store_contact(STORE_CONTACT_TIMEOUT) {
            return;
        }
        let member = self.context.settings.member.as_str();
        let names = unproven.names.join(",");
        info!(member = member, machines = names.as_str(); "terminating machines with cancelled tasks");
        for machines in unproven.names.chunks(MAX_TERMINATIONS) {
            let machines = machines.to_vec();
            self.context.call(
                Target::Cloud,
                "POST",
                "/rentals/release".into(),
                wire::to_cbor(&MachineNames { machines }),
                TERMINATION_TIMEOUT,
                CallPurpose::Ignore,
            );
        }
    }
}
