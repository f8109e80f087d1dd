//! Restarts of replicas that exited without being stopped: when they are restarted, and which machines are avoided.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// Run time, in microseconds, from which on an exit counts as the first of a new series of exits.
const STABLE_RUN_US: Micros = 30 * SECOND;

/// Longest backoff before a replica that keeps exiting is restarted, in microseconds.
const MAX_BACKOFF_US: Micros = 30 * SECOND;

/// Time for which a machine is avoided after a replica exited on it, in microseconds.
const AVOIDANCE_US: Micros = 2 * MAX_BACKOFF_US;

/// Restart backoff of one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// Number of exits in the current series.
    exits: u32,
    /// Time at which the replica may be restarted, in microseconds.
    until: Micros,
}

/// Replicas of a daemon that exited without being stopped, and the machines on which they exited.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaRestarts {
    /// Backoffs by the task number of the replica.
    backoffs: BTreeMap<u64, Backoff>,
    /// Avoided machines, each with the time until which placement prefers others, in microseconds.
    avoided_machines: BTreeMap<String, Micros>,
}

impl ReplicaRestarts {
    /// Records that a replica exited without being stopped, after `ran` microseconds on `machine`. The replica may
    /// be restarted at once after the first exit of a series and after a growing backoff from the second exit on.
    /// Placement prefers other machines.
    pub(crate) fn record_exit(&mut self, task: u64, machine: &str, ran: Micros, now: Micros) {
        let backoff = self.backoffs.entry(task).or_default();
        backoff.exits = match ran >= STABLE_RUN_US {
            true => 1,
            false => backoff.exits + 1,
        };
        let duration = match backoff.exits {
            1 => 0,
            exits => (SECOND << (exits - 2).min(6)).min(MAX_BACKOFF_US),
        };
        backoff.until = now + duration;
        self.avoided_machines.retain(|_, until| *until > now);
        self.avoided_machines
            .insert(machine.to_string(), now + AVOIDANCE_US);
    }

    /// Returns whether placement prefers other machines to this one.
    pub(crate) fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.avoided_machines
            .get(machine)
            .is_some_and(|until| *until > now)
    }

    /// Returns the number of avoided machines as of the last exit of a replica.
    pub(crate) fn avoided_machine_count(&self) -> usize {
        self.avoided_machines.len()
    }

    /// Returns whether the backoff of the replica has not ended yet.
    pub(crate) fn is_backing_off(&self, task: u64, now: Micros) -> bool {
        self.backoffs
            .get(&task)
            .is_some_and(|backoff| backoff.until > now)
    }

    /// Returns the task numbers of the replicas whose backoff has not ended yet.
    pub(crate) fn backing_off(&self, now: Micros) -> impl Iterator<Item = u64> + '_ {
        self.backoffs
            .iter()
            .filter(move |(_, backoff)| backoff.until > now)
            .map(|(task, _)| *task)
    }
}
