//! Machines on which cancelled tasks were not proven to have ended when this controller last stepped down as the
//! leader or released a partition.

use crate::calls::CallPurpose;
use crate::controller::peer_contact::STORE_CONTACT_TIMEOUT_US;
use crate::controller::Controller;
use crate::scheduler::leader::fleet::MAX_TERMINATIONS_PER_CALL;
use crate::scheduler::Scheduler;
use crate::state::unproven_machines::UnprovenMachines;
use crate::{Micros, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::MachineNames;
use log::info;

/// Delay after stepping down or releasing a partition until unproven machines are terminated, if there is no contact
/// with the store then.
const TERMINATION_DELAY_US: Micros = 3 * SECOND;

/// Timeout of a request to the cloud to terminate machines.
const TERMINATION_TIMEOUT_US: Micros = 5 * SECOND;

/// Number of heartbeat intervals without contact after which a machine counts as unreachable here.
const MISSED_HEARTBEATS: Micros = 2;

impl Controller {
    /// Keeps the names of the unproven machines of a scheduler that this controller stops, because it steps down as
    /// the leader or releases the partition.
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
                termination_due_at: now + TERMINATION_DELAY_US,
            });
        unproven.names.extend(names);
    }

    /// Returns when the unproven machines are due for termination, in microseconds of the steady clock;
    /// `Micros::MAX` if there are none.
    pub(crate) fn unproven_machines_due(&self) -> Micros {
        let unproven = self.unproven_machines.as_ref();
        unproven.map_or(Micros::MAX, |unproven| unproven.termination_due_at)
    }

    /// Terminates the unproven machines that are due, if this controller has no contact with the store. It may
    /// then take long until there is a next leader, and no other member knows of these machines. With contact they
    /// are left to the next leader, which reads from the store which tasks are on them. Agents may already send
    /// that leader their heartbeats: to a leader that resumes after a process pause, all machines seem
    /// unreachable.
    pub(crate) fn run_unproven_machines(&mut self) {
        if self.context.now.steady < self.unproven_machines_due() {
            return;
        }
        let Some(unproven) = self.unproven_machines.take() else {
            return;
        };
        if self.context.has_store_contact(STORE_CONTACT_TIMEOUT_US) {
            return;
        }
        let member = self.context.settings.member.as_str();
        let names = unproven.names.join(",");
        info!(member = member, machines = names.as_str(); "terminating unreachable machines that may run cancelled tasks");
        for machines in unproven.names.chunks(MAX_TERMINATIONS_PER_CALL) {
            let machines = machines.to_vec();
            self.context.call(
                Target::Cloud,
                "POST",
                "/rentals/release".into(),
                wire::to_cbor(&MachineNames { machines }),
                TERMINATION_TIMEOUT_US,
                CallPurpose::Ignore,
            );
        }
    }
}
