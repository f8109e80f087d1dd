//! When and where replicas of a daemon that ended by themselves are started again.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// A replica that ran for as long as this counts as its first failure in a row, in microseconds.
const STEADY_RUN: Micros = 30 * SECOND;

/// Longest backoff before a replica that keeps ending is started again, in microseconds.
const MAX_BACKOFF: Micros = 30 * SECOND;

/// How long other machines are preferred to one on which a replica ended, in microseconds.
const AVOIDANCE: Micros = 2 * MAX_BACKOFF;

/// The backoff of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// How often in a row it ended.
    exits: u32,
    /// When it may be started again, in microseconds.
    until: Micros,
}

/// Replicas of a daemon that ended by themselves, and the machines where they did.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaRestarts {
    /// By the replica's task number.
    backoffs: BTreeMap<u64, Backoff>,
    /// Until when other machines are preferred to these, in microseconds.
    avoided_machines: BTreeMap<String, Micros>,
}

impl ReplicaRestarts {
    /// A replica ended by itself on `machine` after it had run for `ran` microseconds. It is started again at once,
    /// elsewhere if it fits there; one that ends again and again after a growing backoff.
    pub(crate) fn note_exit(&mut self, task: u64, machine: &str, ran: Micros, now: Micros) {
        let backoff = self.backoffs.entry(task).or_default();
        backoff.exits = match ran >= STEADY_RUN {
            true => 1,
            false => backoff.exits + 1,
        };
        let duration = match backoff.exits {
            1 => 0,
            exits => (SECOND << (exits - 2).min(6)).min(MAX_BACKOFF),
        };
        backoff.until = now + duration;
        self.avoided_machines.retain(|_, until| *until > now);
        self.avoided_machines
            .insert(machine.to_string(), now + AVOIDANCE);
    }

    /// Whether other machines are preferred to this one.
    pub(crate) fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.avoided_machines
            .get(machine)
            .is_some_and(|until| *until > now)
    }

    /// On how many machines replicas ended lately.
    pub(crate) fn avoided_machine_count(&self) -> usize {
        self.avoided_machines.len()
    }

    /// Whether the replica waits for its backoff.
    pub(crate) fn is_backing_off(&self, task: u64, now: Micros) -> bool {
        self.backoffs
            .get(&task)
            .is_some_and(|backoff| backoff.until > now)
    }

    /// The replicas that wait for their backoff.
    pub(crate) fn backing_off(&self, now: Micros) -> impl Iterator<Item = u64> + '_ {
        self.backoffs
            .iter()
            .filter(move |(_, backoff)| backoff.until > now)
            .map(|(task, _)| *task)
    }
}
