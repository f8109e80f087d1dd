//! Reservations: resources or quota that are withheld from jobs because another job waits for more of them. This module
//! keeps how long each reservation has lasted.

use crate::{Micros, SECOND};
use std::collections::BTreeMap;

/// Time for which a reservation excludes all other jobs, in microseconds. After that it excludes only those that have
/// not waited too long themselves. Without this limit, jobs would wait beside free resources for as long as the tasks
/// run whose end the reservation waits for.
pub const EXCLUSIVE_RESERVATION_US: Micros = 60 * SECOND;

/// A reservation that is not renewed for this time has ended, in microseconds. Rounds of placement renew reservations,
/// at least every second; a round that runs out of time may leave one out.
const LAPSE_US: Micros = 5 * SECOND;

/// A reservation. Times are in microseconds of the steady clock.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    since: Micros,
    renewed_at: Micros,
}

/// The reservations of one kind by what is reserved: machines by their names, or the quota of teams by theirs.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    by_name: BTreeMap<String, Reservation>,
}

impl Reservations {
    /// Renews a reservation, or begins it if there is none. Returns for how long it has lasted, in microseconds.
    pub fn renew(&mut self, name: &str, now: Micros) -> Micros {
        let begun = Reservation {
            since: now,
            renewed_at: now,
        };
        let reservation = self.by_name.entry(name.to_string()).or_insert(begun);
        if reservation.has_lapsed(now) {
            *reservation = begun;
        }
        reservation.renewed_at = now;
        now.saturating_sub(reservation.since)
    }

    /// Removes the reservations that have ended.
    pub fn remove_lapsed(&mut self, now: Micros) {
        self.by_name
            .retain(|_, reservation| !reservation.has_lapsed(now));
    }
}

impl Reservation {
    fn has_lapsed(&self, now: Micros) -> bool {
        now.saturating_sub(self.renewed_at) > LAPSE_US
    }
}

#[cfg(test)]
mod tests;
