//! Conditions that are observed again and again, and for how long each has lasted.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// A condition that is not observed for this time has ended, in microseconds. Rounds of placement observe conditions
/// at least every second, but a round that runs out of time may leave one out, and a machine may miss a heartbeat.
const LAPSE_US: Micros = 5 * SECOND;

/// When a condition was observed. Times are in microseconds of the steady clock.
#[derive(Clone, Copy, Debug)]
struct Observed {
    first: Micros,
    last: Micros,
}

impl Observed {
    fn has_lapsed(&self, now: Micros) -> bool {
        now.saturating_sub(self.last) > LAPSE_US
    }
}

/// Conditions of one kind that last, by what they concern.
#[derive(Clone, Debug)]
pub struct LastingConditions<Key> {
    by_key: BTreeMap<Key, Observed>,
}

impl<Key> Default for LastingConditions<Key> {
    fn default() -> Self {
        LastingConditions {
            by_key: BTreeMap::new(),
        }
    }
}

impl<Key: Ord + Clone> LastingConditions<Key> {
    /// Records that the condition is observed now. Returns whether it has begun now.
    pub fn observe(&mut self, key: &Key, now: Micros) -> bool {
        let begun = Observed {
            first: now,
            last: now,
        };
        let observed = self.by_key.entry(key.clone()).or_insert(begun);
        if observed.has_lapsed(now) {
            *observed = begun;
        }
        observed.last = now;
        observed.first == now
    }

    /// Returns since when the condition has lasted, in microseconds, if it has not ended.
    pub fn since(&self, key: &Key, now: Micros) -> Option<Micros> {
        let observed = self.by_key.get(key)?;
        (!observed.has_lapsed(now)).then_some(observed.first)
    }

    /// Forgets the conditions that have ended.
    pub fn remove_lapsed(&mut self, now: Micros) {
        self.by_key.retain(|_, observed| !observed.has_lapsed(now));
    }
}

#[cfg(test)]
mod tests;
