//! Heartbeats that are held as long polls until a task is placed on their machine.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat that is not answered yet.
#[derive(Clone, Debug)]
pub struct HeldHeartbeat {
    /// The number of the request to answer.
    pub request: u64,
    /// The round of placement that it waits for; 0 if it waits for none.
    pub placement_round: u64,
    /// The machine that sent it.
    pub machine: String,
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation.
    pub sequence: u64,
    /// When it is answered at the latest, in microseconds.
    pub deadline: Micros,
}

/// Heartbeats of machines with free resources that wait for a task. Heartbeats may be several seconds apart; a task
/// placed in between would wait for the next one, since only the response to a heartbeat launches tasks.
#[derive(Debug, Default)]
pub struct LongPolls {
    /// By machine; each machine has one at most.
    pub(crate) by_machine: BTreeMap<String, HeldHeartbeat>,
    /// Deadlines with the machines' names, the earliest first.
    by_deadline: BTreeSet<(Micros, String)>,
}

impl LongPolls {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_machine.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_machine.is_empty()
    }

    /// Whether there is one of the machine.
    pub fn contains(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// When the first of them is to be answered, in microseconds.
    pub fn next_deadline(&self) -> Micros {
        self.by_deadline.first().map_or(Micros::MAX, |(at, _)| *at)
    }

    /// Holds a heartbeat until its deadline.
    pub(crate) fn insert(&mut self, held: HeldHeartbeat) {
        self.by_deadline.insert((held.deadline, held.machine.clone()));
        self.by_machine.insert(held.machine.clone(), held);
    }

    /// Takes out the heartbeat of a machine.
    pub(crate) fn remove(&mut self, machine: &str) -> Option<HeldHeartbeat> {
        let held = self.by_machine.remove(machine)?;
        self.by_deadline.remove(&(held.deadline, held.machine.clone()));
        Some(held)
    }

    /// Takes out the heartbeat with the earliest deadline if that has passed.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<HeldHeartbeat> {
        let (deadline, machine) = self.by_deadline.first()?;
        if *deadline > now {
            return None;
        }
        let machine = machine.clone();
        self.remove(&machine)
    }
}
