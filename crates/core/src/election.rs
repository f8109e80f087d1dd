//! Who leads: the election by a lease in the key-value store.
//!
//! The record `leader` is put under a lease on the condition that it is absent. Its stamp is the
//! fencing token (`token` on the wire): stamps only grow, so each new leader has a higher one,
//! and every write of a leader is conditional on it.

use self::contact::PeerView;
use crate::{Micros, MILLI};
use grebewood_wire::records::LeaderRecord;
use std::collections::BTreeMap;

mod candidacy;
mod contact;

pub(crate) use contact::MemberView;
pub(crate) use contact::UnprovenMachines;

/// A node's view of who leads.
#[derive(Debug)]
pub struct Election {
    /// The leader and the record's stamp, as last read.
    leader: Option<(LeaderRecord, u64)>,
    busy: bool,
    next_probe: Micros,
    /// No candidacy before this time.
    abstain_until: Micros,
    incarnation: u64,
    /// When a lease was last asked for.
    lease_requested_at: Micros,
    /// What each peer last said, by its place in the settings.
    peers: BTreeMap<usize, PeerView>,
    /// Number of the last question to the peers.
    question: u64,
    /// When a holder of partitions that does not lead asks its peers next.
    next_question: Micros,
    /// The highest fencing token of a grant that was read from state, or is our own.
    grant: u64,
}

const PROBE: Micros = 500 * MILLI;

impl Election {
    pub fn new(incarnation: u64) -> Self {
        Election {
            leader: None,
            busy: false,
            next_probe: 0,
            abstain_until: 0,
            incarnation,
            lease_requested_at: 0,
            peers: BTreeMap::new(),
            question: 0,
            next_question: 0,
            grant: 0,
        }
    }

    /// The highest fencing token of a grant that this node knows of from state, never from a
    /// message.
    pub fn grant(&self) -> u64 {
        self.grant
    }

    pub fn next_wake(&self) -> Micros {
        self.next_probe
    }

    /// Whether `member` leads under this token, as far as known.
    pub fn leader_is(&self, member: &str, token: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|(l, mod_revision)| l.member == member && *mod_revision == token)
    }

    /// Whether the leader, as far as one is known, understands partitions.
    pub(crate) fn leader_knows_partitions(&self) -> bool {
        self.leader.as_ref().is_none_or(|(l, _)| l.partitions)
    }

    /// The stamp of the leader's record, if there is a leader that understands partitions.
    pub(crate) fn partition_term(&self) -> Option<u64> {
        let leader = self.leader.as_ref().filter(|(l, _)| l.partitions);
        leader.map(|(_, mod_revision)| *mod_revision)
    }

    /// Distinguishes this process from an earlier one of the same member.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The leader's name.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_ref().map(|(l, _)| l.member.as_str())
    }

    /// Reads who leads as soon as possible.
    pub fn probe_now(&mut self) {
        self.next_probe = 0;
    }
}
