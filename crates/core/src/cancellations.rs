//! Which confirmed cancellations a controller knows of, and as of which moment it knows all of them.
//!
//! A job's tasks must be gone within the cancellation timeout after any controller told a user that the job is cancelled. A
//! leader that renews agents' leases must therefore know of every confirmation up to a recent moment. It learns
//! of them from the key-value store (the controller's job view) and, where the store is out of reach, from its
//! peers: each remembers what it has confirmed to users, and lists it in answer to the leader's question. No
//! safety margin in time is involved: what counts is when the last complete answer was asked for.

use crate::Micros;
use grebewood_wire::peer::ConfirmedCancellations;
use std::collections::BTreeMap;

/// Most cancelled jobs that are remembered.
const MAX_KNOWN: usize = 10_000;

/// Most cancellations in one answer to another controller.
const MAX_LISTED: usize = 1_000;

/// A cancellation of a job that is not known to be finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCancellation {
    /// Time of day of the cancellation, in microseconds since 1970.
    pub cancelled_us: u64,
    /// When this controller first told a user of it, by its steady clock.
    confirmed_at: Option<Micros>,
}

/// A controller's knowledge of cancellations.
#[derive(Debug, Default)]
pub struct Cancellations {
    known: BTreeMap<String, KnownCancellation>,
    /// From when on all that this controller confirmed to users is remembered.
    remembers_from: Option<Micros>,
    /// All cancellations that any controller confirmed before this moment are known, from the store.
    store_read_at: Option<Micros>,
    /// The same of what one peer confirmed, from its own answers, by its place in the settings.
    peer_lists: BTreeMap<usize, Micros>,
}

impl Cancellations {
    /// The process has begun: it has confirmed nothing before.
    pub fn begin(&mut self, now: Micros) {
        self.remembers_from.get_or_insert(now);
    }

    /// The job's cancellation, if one is known.
    pub fn get(&self, job: &str) -> Option<&KnownCancellation> {
        self.known.get(job)
    }

    /// All known cancellations, by job.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &KnownCancellation)> {
        self.known.iter().map(|(job, known)| (job.as_str(), known))
    }

    /// Notes a cancellation; `cancelled_us` is a time of day.
    pub fn learn(&mut self, job: &str, cancelled_us: u64) {
        if let Some(known) = self.known.get_mut(job) {
            known.cancelled_us = known.cancelled_us.min(cancelled_us);
            return;
        }
        let known = KnownCancellation {
            cancelled_us,
            confirmed_at: None,
        };
        self.known.insert(job.to_string(), known);
        self.drop_oldest();
    }

    /// Notes that the cancellation is confirmed to a user now.
    pub fn confirm(&mut self, job: &str, now: Micros, wall: u64) {
        self.learn(job, wall);
        if let Some(known) = self.known.get_mut(job) {
            known.confirmed_at.get_or_insert(now);
        }
    }

    /// The job is finished: it is proven that nothing of it runs.
    pub fn forget(&mut self, job: &str) {
        self.known.remove(job);
    }

    /// Drops the oldest of too many. What was confirmed until then is not remembered any more.
    fn drop_oldest(&mut self) {
        while self.known.len() > MAX_KNOWN {
            let oldest = self
                .known
                .iter()
                .min_by_key(|(_, known)| known.cancelled_us);
            let Some((job, known)) = oldest.map(|(job, known)| (job.clone(), *known)) else {
                return;
            };
            self.known.remove(&job);
            let forgotten_until = known.confirmed_at.map(|at| at + 1);
            self.remembers_from = self.remembers_from.max(forgotten_until);
        }
    }

    /// The answer to a peer's question for all that was confirmed in the last `span` microseconds, or ever.
    pub fn list_confirmed(
        &self,
        question: u64,
        span: Option<Micros>,
        now: Micros,
    ) -> ConfirmedCancellations {
        let from = span.map_or(0, |span| now.saturating_sub(span));
        let confirmed = self.known.iter().filter_map(|(job, known)| {
            let at = known.confirmed_at.filter(|at| *at >= from)?;
            Some((job.clone(), now.saturating_sub(at)))
        });
        let mut jobs: Vec<(String, u64)> = confirmed.collect();
        // An incomplete list must not claim to go back to any moment.
        let complete = jobs.len() <= MAX_LISTED;
        jobs.truncate(MAX_LISTED);
        ConfirmedCancellations {
            question,
            complete_for_us: self
                .remembers_from
                .filter(|_| complete)
                .map(|at| now.saturating_sub(at)),
            jobs,
        }
    }

    /// The store was read: all that was confirmed before `at` is known.
    pub fn note_store_read(&mut self, at: Micros) {
        self.store_read_at = self.store_read_at.max(Some(at));
    }

    /// Up to which moment all confirmed cancellations are known from the store.
    pub fn read_up_to(&self) -> Micros {
        self.store_read_at.unwrap_or(0)
    }

    /// A moment up to which all that this peer confirmed is known.
    pub fn known_until_of_peer(&self, peer: usize) -> Option<Micros> {
        self.store_read_at.max(self.peer_lists.get(&peer).copied())
    }

    /// A peer that was asked at `asked_at` has listed in answer what it confirmed. Its memory goes back to
    /// `remembers_from`: if that is later than what is known of it, as after a restart, it may have
    /// confirmed in between what nobody remembers, and nothing is gained.
    pub fn note_peer_list(&mut self, peer: usize, asked_at: Micros, remembers_from: Micros) {
        let known_until = self.known_until_of_peer(peer);
        if known_until.is_some_and(|known_until| remembers_from <= known_until) {
            let listed_at = self.peer_lists.entry(peer).or_insert(asked_at);
            *listed_at = asked_at.max(*listed_at);
        }
    }

    /// The moment up to which every cancellation that any controller confirmed is known; `None`: no such
    /// moment is known. `peers` is the number of other controllers.
    pub fn known_until(&self, peers: usize, now: Micros) -> Option<Micros> {
        (0..peers)
            .map(|peer| self.known_until_of_peer(peer))
            .min()
            .unwrap_or(Some(now))
    }
}

#[cfg(test)]
mod tests;
