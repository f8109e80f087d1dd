//! Which confirmed cancellations a controller knows of, and as of which moment it knows all of them.
//!
//! A job's tasks must be gone within the cancellation timeout after any controller told a user that the job is cancelled. A
//! leader that renews agents' leases must therefore know of every confirmation up to a recent moment. It learns
//! of them from the key-value store (the controller's job view) and, where the store is out of reach, from its
//! peers: each remembers what it has confirmed to users, and lists it in answer to the leader's question. No
//! safety margin in time is involved: what counts is when the last complete answer was asked for.

use crate::Micros;
use grebewood_wire::peer::Confirmed;
use std::collections::BTreeMap;

/// Most cancelled jobs that are remembered.
const MAX_KNOWN: usize = 10_000;

/// Most cancellations in one answer to another node.
const MAX_TOLD: usize = 1_000;

/// A cancellation of a job that is not known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Time of day of the cancellation.
    pub cancelled_us: u64,
    /// When this node first told a user of it.
    told: Option<Micros>,
}

/// A node's knowledge of cancellations.
#[derive(Debug, Default)]
pub struct Cancellations {
    known: BTreeMap<String, Known>,
    /// From when on all that this node told users is remembered.
    remembers_from: Option<Micros>,
    /// All cancellations that any node confirmed before this moment are known, from state.
    as_of: Option<Micros>,
    /// The same of what one peer confirmed, from its own answers, by its place in the settings.
    covered: BTreeMap<usize, Micros>,
}

impl Cancellations {
    /// The process has begun: it has told nobody anything before.
    pub fn begin(&mut self, now: Micros) {
        self.remembers_from.get_or_insert(now);
    }

    /// When the job was cancelled, if that is known.
    pub fn get(&self, job: &str) -> Option<&Known> {
        self.known.get(job)
    }

    pub fn jobs(&self) -> impl Iterator<Item = (&str, &Known)> {
        self.known.iter().map(|(id, known)| (id.as_str(), known))
    }

    /// Notes a cancellation.
    pub fn learn(&mut self, job: &str, cancelled_us: u64) {
        if let Some(known) = self.known.get_mut(job) {
            known.cancelled_us = known.cancelled_us.min(cancelled_us);
            return;
        }
        let known = Known {
            cancelled_us,
            told: None,
        };
        self.known.insert(job.to_string(), known);
        self.bound();
    }

    /// Notes that a user is told of it now.
    pub fn tell(&mut self, job: &str, now: Micros, wall: u64) {
        self.learn(job, wall);
        if let Some(known) = self.known.get_mut(job) {
            known.told.get_or_insert(now);
        }
    }

    /// The job is over: it is proven that nothing of it runs.
    pub fn forget(&mut self, job: &str) {
        self.known.remove(job);
    }

    /// Drops the oldest of too many. What was told before is not remembered any more then.
    fn bound(&mut self) {
        while self.known.len() > MAX_KNOWN {
            let oldest = self.known.iter().min_by_key(|(_, k)| k.cancelled_us);
            let Some((id, known)) = oldest.map(|(id, k)| (id.clone(), *k)) else {
                return;
            };
            self.known.remove(&id);
            self.remembers_from = self.remembers_from.max(known.told.map(|at| at + 1));
        }
    }

    /// The answer to a question for all that was told in the last `span`, or ever.
    pub fn confirmed(&self, question: u64, span: Option<Micros>, now: Micros) -> Confirmed {
        let from = span.map_or(0, |span| now.saturating_sub(span));
        let told = self.known.iter().filter_map(|(id, k)| {
            let at = k.told.filter(|at| *at >= from)?;
            Some((id.clone(), now.saturating_sub(at)))
        });
        let mut jobs: Vec<(String, u64)> = told.collect();
        // The list must be whole; if it cannot be, it does not say that it is.
        let whole = jobs.len() <= MAX_TOLD;
        jobs.truncate(MAX_TOLD);
        Confirmed {
            question,
            remembers_us: self
                .remembers_from
                .filter(|_| whole)
                .map(|at| now.saturating_sub(at)),
            jobs,
        }
    }

    /// State was read: all that was confirmed before `at` is known.
    pub fn read_as_of(&mut self, at: Micros) {
        self.as_of = self.as_of.max(Some(at));
    }

    /// Up to which moment all confirmed cancellations are known from state.
    pub fn read_up_to(&self) -> Micros {
        self.as_of.unwrap_or(0)
    }

    /// A moment up to which all that this peer confirmed is known.
    pub fn known_of(&self, peer: usize) -> Option<Micros> {
        self.as_of.max(self.covered.get(&peer).copied())
    }

    /// A peer that was asked at `asked` has listed what it told in answer. Its memory goes back to
    /// `remembers_from`: if that is later than what is known of it, as after a restart, it may have
    /// confirmed in between what nobody remembers, and nothing is gained.
    pub fn covered(&mut self, peer: usize, asked: Micros, remembers_from: Micros) {
        if self.known_of(peer).is_some_and(|at| remembers_from <= at) {
            let at = self.covered.entry(peer).or_insert(asked);
            *at = asked.max(*at);
        }
    }

    /// The moment up to which every cancellation that any node confirmed is known; `None`: no such
    /// moment is known.
    pub fn certain(&self, peers: usize, now: Micros) -> Option<Micros> {
        (0..peers)
            .map(|p| self.known_of(p))
            .min()
            .unwrap_or(Some(now))
    }
}

#[cfg(test)]
mod tests;
