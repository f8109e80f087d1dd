//! Faults of heartbeats and direct commands: late copies, and commands whose answer is lost.

use super::super::events::{Caller, Event, Requester};
use super::super::users::front_request;
use super::super::World;
use crate::error::{ScenarioError, ScriptError, StepResult};
use crate::script::Directive;
use crate::time::Micros;
use grebewood_wire::from_cbor;
use grebewood_wire::http::Heartbeat;

/// Copies of a machine's heartbeats.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatCopies {
    until: Micros,
    late: Micros,
    /// The newest one is kept for the next leader.
    next: bool,
    /// They go to every controller that is up, not just to the leader.
    to_all: bool,
}

/// The copy of a heartbeat that is kept for the next leader.
pub(super) struct HeldCopy {
    to_all: bool,
    body: Vec<u8>,
}

/// The heartbeats of a machine that a controller takes in under a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeartbeatKey {
    machine: String,
    controller: usize,
    token: u64,
}

impl World {
    /// Copies of machines' heartbeats arrive late for a time.
    pub(super) fn make_copies(
        &mut self,
        directive: &Directive,
        machine: &str,
    ) -> Result<(), ScriptError> {
        let copies = HeartbeatCopies {
            until: self.now + directive.duration("for", 10.0)?,
            late: directive.duration("late", 10.0)?,
            next: directive.flag("next", false),
            to_all: directive.text("to", "leader") == "all",
        };
        let machine = match machine {
            "all" => None,
            name => Some(self.machine_mut(name)?.name.clone()),
        };
        self.faults.copies.insert(machine, copies);
        Ok(())
    }

    /// So many copies must have met a newer leader.
    pub(super) fn expect_copies(&self, directive: &Directive) -> StepResult {
        let (got, least) = (self.faults.copies_at_newer_leader, directive.number_at(1)?);
        match got >= least {
            true => Ok(()),
            false => Err(ScenarioError::unmet(format!(
                "{got} copies met a newer leader, not {least}"
            ))),
        }
    }

    /// A machine sends a heartbeat: a copy of it may arrive late, or be kept for the next leader.
    pub(in crate::world) fn copy_heartbeat(&mut self, name: &str, body: &[u8]) {
        let now = self.now;
        let of_machine = self.faults.copies.get(&Some(name.to_string()));
        let of_all = self.faults.copies.get(&None);
        let known = of_machine.into_iter().chain(of_all);
        let running: Vec<HeartbeatCopies> =
            known.filter(|copies| now < copies.until).copied().collect();
        for copies in running {
            let (to_all, body) = (copies.to_all, body.to_vec());
            if copies.next {
                let held = HeldCopy { to_all, body };
                self.faults.held.insert(name.into(), held);
            } else {
                let event = Event::HeartbeatCopy { body, to_all };
                self.push(now + copies.late, event);
            }
        }
    }

    /// A late copy arrives at whoever leads, or at every controller that is up.
    pub(in crate::world) fn deliver_heartbeat_copy(&mut self, body: &[u8], to_all: bool) {
        let controllers = match to_all {
            true => self.up_controllers(),
            false => self.leading_controllers().collect(),
        };
        for controller in controllers {
            let requester = Requester::HeartbeatCopy { first: false };
            let path = "/checkin".into();
            self.send_request(controller, "POST", path, body.to_vec(), requester);
        }
    }

    /// A controller has made a step: if it has a new grant, what was kept for it arrives at once.
    pub(in crate::world) fn deliver_held_copies(&mut self, index: usize) {
        let controller = self.controllers[index].controller.as_ref();
        let leader = controller.and_then(|controller| controller.leader.as_ref());
        let token = leader.map_or(0, |leader| leader.token);
        if token <= self.faults.highest_token {
            return;
        }
        self.faults.highest_token = token;
        let up = self.up_controllers();
        for held in std::mem::take(&mut self.faults.held).into_values() {
            let controllers = if held.to_all { up.clone() } else { vec![index] };
            for controller in controllers {
                let requester = Requester::HeartbeatCopy { first: false };
                let path = "/checkin".into();
                let body = held.body.clone();
                let request = front_request(controller, "POST", path, body, requester);
                self.push(self.now, Event::Request(request));
            }
        }
    }

    /// A heartbeat or a copy of one arrives at a controller. Counts a copy that meets a leader with a token
    /// newer than that of the copy. The result is whether this leader had no heartbeat of the machine under
    /// its grant that was as new.
    pub(in crate::world) fn note_heartbeat(
        &mut self,
        controller: usize,
        body: &[u8],
        requester: &Requester,
    ) -> bool {
        let Ok(heartbeat) = from_cbor::<Heartbeat>(body) else {
            return false;
        };
        // The grant under which this controller would answer: that of the machine's partition, or the
        // leader's.
        let process = self.controllers[controller].controller.as_ref();
        let grant = process.and_then(|process| {
            let partitions = &process.partitions;
            let partition = partitions
                .map
                .partition_of_machine(&heartbeat.zone, &heartbeat.machine);
            let holder = partition.and_then(|id| partitions.holders.get(&id));
            holder.or(process.leader.as_ref())
        });
        let Some(leader) = grant else {
            return false;
        };
        // Before it has read its records, and in doubt of its grant, it takes no heartbeat in.
        let has_read = leader.loaded() && leader.loaded_at > 0;
        let (token, takes_in) = (leader.token, has_read && !leader.uncertain());
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
        let first = status > *newest;
        if takes_in {
            *newest = status.max(*newest);
        }
        first
    }

    /// A direct command arrives: if it is to be lost, it is carried out late and answered to nobody.
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
        self.push(self.now + late, event);
        true
    }
}
