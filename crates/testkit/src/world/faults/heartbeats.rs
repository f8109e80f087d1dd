//! Faults of heartbeats and direct commands: late copies, and commands whose responses are lost.

use super::super::events::{Caller, Event, Requester};
use super::super::users::front_request;
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_wire::from_cbor;
use grebewood_wire::http::Heartbeat;

/// How heartbeats of a machine are copied.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatCopies {
    until: Micros,
    delay: Micros,
    /// Whether only the newest copy is delivered, to the next leader as soon as it has its lease.
    is_for_next_leader: bool,
    /// Whether copies go to every controller that is up, not just to the leader.
    to_all: bool,
}

/// A copy of a heartbeat that is held for the next leader.
pub(super) struct HeldCopy {
    to_all: bool,
    body: Vec<u8>,
}

/// The machine whose heartbeats a controller accepts under a fencing token, the controller and the token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeartbeatKey {
    machine: String,
    controller: usize,
    token: u64,
}

impl World {
    /// Copies heartbeats for a time, so that the copies arrive late.
    pub(super) fn start_heartbeat_copies(
        &mut self,
        directive: &Directive,
        machine: &str,
    ) -> Result<(), ScriptError> {
        let copies = HeartbeatCopies {
            until: self.now + directive.duration("for", 10.0)?,
            delay: directive.duration("late", 10.0)?,
            is_for_next_leader: directive.flag("next", false),
            to_all: directive.text("to", "leader") == "all",
        };
        let machine = match machine {
            "all" => None,
            name => Some(self.machine_mut(name)?.name.clone()),
        };
        self.faults.heartbeat_copies.insert(machine, copies);
        Ok(())
    }

    /// Checks that at least the given number of copies met a newer leader.
    pub(super) fn expect_copies(&self, directive: &Directive) -> StepResult {
        let (got, least) = (self.faults.copies_at_newer_leader, directive.number_at(1)?);
        match got >= least {
            true => Ok(()),
            false => Err(ScenarioError::unmet(format!(
                "{got} copies met a newer leader, not {least}"
            ))),
        }
    }

    /// Copies a heartbeat that a machine sends, if such a fault is active. The copy arrives late, or is held for
    /// the next leader.
    pub(in crate::world) fn copy_heartbeat(&mut self, name: &str, body: &[u8]) {
        let now = self.now;
        let of_machine = self.faults.heartbeat_copies.get(&Some(name.to_string()));
        let of_all = self.faults.heartbeat_copies.get(&None);
        let matching = of_machine.into_iter().chain(of_all);
        let active: Vec<HeartbeatCopies> = matching
            .filter(|copies| now < copies.until)
            .copied()
            .collect();
        for copies in active {
            let (to_all, body) = (copies.to_all, body.to_vec());
            if copies.is_for_next_leader {
                let held = HeldCopy { to_all, body };
                self.faults.held_copies.insert(name.into(), held);
            } else {
                let event = Event::HeartbeatCopy { body, to_all };
                self.schedule_event(now + copies.delay, event);
            }
        }
    }

    /// Sends a late copy to the controllers that lead, or to every controller that is up.
    pub(in crate::world) fn deliver_heartbeat_copy(&mut self, body: &[u8], to_all: bool) {
        let controllers = match to_all {
            true => self.up_controllers(),
            false => self.leading_controllers().collect(),
        };
        for controller in controllers {
            let requester = Requester::HeartbeatCopy { is_newer: false };
            let path = "/checkin".into();
            self.send_request(controller, "POST", path, body.to_vec(), requester);
        }
    }

    /// Delivers the held copies after a step in which a controller became the leader under a new token.
    pub(in crate::world) fn deliver_held_copies(&mut self, index: usize) {
        let controller = self.controllers[index].controller.as_ref();
        let leader = controller.and_then(|controller| controller.leader.as_ref());
        let token = leader.map_or(0, |leader| leader.token);
        if token <= self.faults.highest_token {
            return;
        }
        self.faults.highest_token = token;
        let up = self.up_controllers();
        for held in std::mem::take(&mut self.faults.held_copies).into_values() {
            let controllers = if held.to_all { up.clone() } else { vec![index] };
            for controller in controllers {
                let requester = Requester::HeartbeatCopy { is_newer: false };
                let path = "/checkin".into();
                let body = held.body.clone();
                let request = front_request(controller, "POST", path, body, requester);
                self.schedule_event(self.now, Event::Request(request));
            }
        }
    }

    /// Records that a heartbeat or a copy of one arrives at a controller, and counts a copy that meets a leader
    /// with a higher token than that of the copy. Returns whether the controller leads or holds the machine's
    /// partition, and had accepted no heartbeat of the machine that was as new under its current token.
    pub(in crate::world) fn note_heartbeat(
        &mut self,
        controller: usize,
        body: &[u8],
        requester: &Requester,
    ) -> bool {
        let Ok(heartbeat) = from_cbor::<Heartbeat>(body) else {
            return false;
        };
        // The lease under which this controller answers: its claim of the machine's partition, or that of the
        // leader.
        let process = self.controllers[controller].controller.as_ref();
        let scheduler = process.and_then(|process| {
            let partitions = &process.partitions;
            let partition = partitions
                .map
                .partition_of_machine(&heartbeat.zone, &heartbeat.machine);
            let holder = partition.and_then(|id| partitions.holders.get(&id));
            holder.or(process.leader.as_ref())
        });
        let Some(scheduler) = scheduler else {
            return false;
        };
        // A controller accepts no heartbeats before it has read its records, or while its lease is uncertain.
        let has_read = scheduler.is_loaded() && scheduler.loaded_at > 0;
        let (token, accepts) = (scheduler.token, has_read && !scheduler.is_lease_uncertain());
        let is_copy = matches!(requester, Requester::HeartbeatCopy { .. });
        if is_copy && heartbeat.token < token {
            self.faults.copies_at_newer_leader += 1;
        }
        let key = HeartbeatKey {
            machine: heartbeat.machine,
            controller,
            token,
        };
        let newest = self.faults.newest_heartbeats.entry(key).or_default();
        let status = (heartbeat.incarnation, heartbeat.sequence);
        let is_newer = status > *newest;
        if accepts {
            *newest = status.max(*newest);
        }
        is_newer
    }

    /// Delays a direct command whose response is to be lost. Returns whether it is such a command.
    pub(in crate::world) fn lose_direct_command(
        &mut self,
        caller: Caller,
        name: &str,
        body: &[u8],
    ) -> bool {
        let delay = self.faults.lost_direct_commands.get(name);
        let Some(late) = delay.and_then(|delay| delay.at(self.now)) else {
            return false;
        };
        if caller.process == 0 {
            return false;
        }
        let nobody = Caller::nobody(caller.controller, caller.call);
        let event = Event::DirectCommand(nobody, format!("worker:{name}"), body.to_vec());
        self.schedule_event(self.now + late, event);
        true
    }
}
