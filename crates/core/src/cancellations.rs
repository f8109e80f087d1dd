//! The confirmed cancellations that a controller knows of, and the moment up to which it knows all of them.
//!
//! A job's tasks must be gone within the cancellation timeout after any controller confirmed the cancellation to a
//! user. A leader that renews agents' leases must therefore know of every confirmation up to a recent moment. It
//! learns of them from the key-value store (the controller's job view) and, where the store is out of reach, from its
//! peers: each controller remembers what it has confirmed to users, and lists it in response to a contact request.
//! There is no safety margin in time: the knowledge is complete up to the moment at which the last complete response
//! was requested.

use crate::Micros;
use grebewood_wire::peer::ConfirmedCancellations;
use std::collections::BTreeMap;

/// Most cancellations that are remembered.
const MAX_KNOWN_CANCELLATIONS: usize = 10_000;

/// Most cancellations in one response to another controller.
const MAX_LISTED_CANCELLATIONS: usize = 1_000;

/// A cancellation of a job that is not known to be finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownCancellation {
    /// Time of day of the cancellation, in microseconds since 1970.
    pub cancelled_us: u64,
    /// Time at which this controller first confirmed it to a user, by the steady clock.
    confirmed_at: Option<Micros>,
}

/// The cancellations that a controller knows of.
#[derive(Debug, Default)]
pub struct Cancellations {
    known: BTreeMap<String, KnownCancellation>,
    /// Moment since which this controller remembers all cancellations that it confirmed to users.
    remembers_from: Option<Micros>,
    /// Moment up to which all cancellations that any controller confirmed are known from the store.
    store_read_at: Option<Micros>,
    /// For each peer, by its index in the settings, the moment up to which all cancellations that it confirmed are
    /// known from its own responses.
    peer_lists: BTreeMap<usize, Micros>,
}

impl Cancellations {
    /// Records the start of the process, which has confirmed nothing before.
    pub fn record_process_start(&mut self, now: Micros) {
        self.remembers_from.get_or_insert(now);
    }

    /// Returns the job's cancellation, if one is known.
    pub fn get(&self, job: &str) -> Option<&KnownCancellation> {
        self.known.get(job)
    }

    /// Returns all known cancellations, by job.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &KnownCancellation)> {
        self.known.iter().map(|(job, known)| (job.as_str(), known))
    }

    /// Records a cancellation; `cancelled_us` is a time of day. Of several times the earliest is kept.
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

    /// Records that the cancellation is confirmed to a user at `now`; `wall` is the same moment as a time of day.
    pub fn confirm(&mut self, job: &str, now: Micros, wall: u64) {
        self.learn(job, wall);
        if let Some(known) = self.known.get_mut(job) {
            known.confirmed_at.get_or_insert(now);
        }
    }

    /// Removes the cancellation of a job that is finished, so that no task of it runs, or that is not cancelled
    /// after all.
    pub fn forget(&mut self, job: &str) {
        self.known.remove(job);
    }

    /// Drops the oldest cancellations if there are too many. The list of confirmed cancellations is then complete
    /// only for the time after the latest confirmation that was dropped.
    fn drop_oldest(&mut self) {
        while self.known.len() > MAX_KNOWN_CANCELLATIONS {
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

    /// Returns the response to a peer that asks for all cancellations that this controller confirmed in the last
    /// `span` microseconds; `None`: ever.
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
        // A list that is cut off must not claim to be complete since any moment.
        let complete = jobs.len() <= MAX_LISTED_CANCELLATIONS;
        jobs.truncate(MAX_LISTED_CANCELLATIONS);
        ConfirmedCancellations {
            question,
            complete_for_us: self
                .remembers_from
                .filter(|_| complete)
                .map(|at| now.saturating_sub(at)),
            jobs,
        }
    }

    /// Records that the store was read at `at`: all cancellations that were confirmed before are known.
    pub fn record_store_read(&mut self, at: Micros) {
        self.store_read_at = self.store_read_at.max(Some(at));
    }

    /// Returns the moment up to which all confirmed cancellations are known from the store; 0 if the store was not
    /// read yet.
    pub fn known_from_store_until(&self) -> Micros {
        self.store_read_at.unwrap_or(0)
    }

    /// Returns the moment up to which all cancellations that this peer confirmed are known, from the store or from
    /// the peer itself.
    pub fn known_until_of_peer(&self, peer: usize) -> Option<Micros> {
        self.store_read_at.max(self.peer_lists.get(&peer).copied())
    }

    /// Records that a peer that was asked at `asked_at` has listed all cancellations that it confirmed since
    /// `remembers_from`. If `remembers_from` is later than the moment up to which its confirmations are known, as
    /// after a restart of the peer, it may have confirmed cancellations in between that no process remembers. The
    /// list then does not advance that moment.
    pub fn record_peer_list(&mut self, peer: usize, asked_at: Micros, remembers_from: Micros) {
        let known_until = self.known_until_of_peer(peer);
        if known_until.is_some_and(|known_until| remembers_from <= known_until) {
            let listed_at = self.peer_lists.entry(peer).or_insert(asked_at);
            *listed_at = asked_at.max(*listed_at);
        }
    }

    /// Returns the moment up to which all cancellations that any controller confirmed are known; `None` if there is
    /// no such moment. `peers` is the number of other controllers.
    pub fn known_until(&self, peers: usize, now: Micros) -> Option<Micros> {
        (0..peers)
            .map(|peer| self.known_until_of_peer(peer))
            .min()
            .unwrap_or(Some(now))
    }
}

#[cfg(test)]
mod tests;
