//! Heartbeats that are held as long polls until work arrives.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A check-in that is not answered yet.
#[derive(Clone, Debug)]
pub struct HeldHeartbeat {
    pub request: u64,
    /// The round of placement that it waits for.
    pub round: u64,
    pub machine: String,
    pub incarnation: u64,
    pub sequence: u64,
    pub until: Micros,
}

/// Check-ins of machines with room, which wait for work. Reports may be several seconds apart; work
/// that comes in between would wait for the next one, since only an answer launches anything.
#[derive(Debug, Default)]
pub struct LongPolls {
    pub(crate) by_machine: BTreeMap<String, HeldHeartbeat>,
    pub(crate) by_time: BTreeSet<(Micros, String)>,
}

impl LongPolls {
    pub fn len(&self) -> usize {
        self.by_machine.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_machine.is_empty()
    }

    pub fn contains(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// When the first of them is to be answered.
    pub fn next_until(&self) -> Micros {
        self.by_time.first().map_or(Micros::MAX, |(at, _)| *at)
    }

    pub(crate) fn insert(&mut self, pending: HeldHeartbeat) {
        self.by_time
            .insert((pending.until, pending.machine.clone()));
        self.by_machine.insert(pending.machine.clone(), pending);
    }

    pub(crate) fn remove(&mut self, machine: &str) -> Option<HeldHeartbeat> {
        let pending = self.by_machine.remove(machine)?;
        self.by_time
            .remove(&(pending.until, pending.machine.clone()));
        Some(pending)
    }
}
