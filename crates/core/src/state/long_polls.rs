//! Long polls: heartbeats whose response is held back until a task is placed on the machine.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat that has not been answered yet.
#[derive(Clone, Debug)]
pub struct HeldHeartbeat {
    /// Number of the request to answer.
    pub request: u64,
    /// Number of the placement round that the response waits for; 0 if it waits for none.
    pub placement_round: u64,
    /// Name of the machine that sent the heartbeat.
    pub machine: String,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Time by which the heartbeat is answered, in microseconds.
    pub deadline: Micros,
}

/// Held heartbeats of machines with free resources. Only the response to a heartbeat can launch tasks, and
/// heartbeats may be several seconds apart. Without long polls, a task placed in between would wait for the next
/// heartbeat.
#[derive(Debug, Default)]
pub struct LongPolls {
    /// Held heartbeats by machine name; at most one for each machine.
    pub(crate) by_machine: BTreeMap<String, HeldHeartbeat>,
    /// Deadlines with the machine names, the earliest first.
    by_deadline: BTreeSet<(Micros, String)>,
}

impl LongPolls {
    /// Returns the number of held heartbeats.
    pub fn len(&self) -> usize {
        self.by_machine.len()
    }

    /// Returns whether there are no held heartbeats.
    pub fn is_empty(&self) -> bool {
        self.by_machine.is_empty()
    }

    /// Returns whether a heartbeat of the machine is held.
    pub fn contains(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// Returns the earliest deadline, in microseconds; [`Micros::MAX`] if no heartbeat is held.
    pub fn next_deadline(&self) -> Micros {
        self.by_deadline.first().map_or(Micros::MAX, |(at, _)| *at)
    }

    /// Holds a heartbeat until its deadline.
    pub(crate) fn insert(&mut self, held: HeldHeartbeat) {
        self.by_deadline
            .insert((held.deadline, held.machine.clone()));
        self.by_machine.insert(held.machine.clone(), held);
    }

    /// Removes the held heartbeat of a machine and returns it.
    pub(crate) fn remove(&mut self, machine: &str) -> Option<HeldHeartbeat> {
        let held = self.by_machine.remove(machine)?;
        self.by_deadline
            .remove(&(held.deadline, held.machine.clone()));
        Some(held)
    }

    /// Removes and returns the heartbeat with the earliest deadline if the deadline has come.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<HeldHeartbeat> {
        let (deadline, machine) = self.by_deadline.first()?;
        if *deadline > now {
            return None;
        }
        let machine = machine.clone();
        self.remove(&machine)
    }
}
