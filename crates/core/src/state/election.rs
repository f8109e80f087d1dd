//! What a controller knows of the election, and of its peers.
//!
//! The record `leader` is put under a lease on the condition that it is absent. Its modification revision is the fencing token:
//! revisions only grow, so each new leader has a higher token, and every write of a leader is conditional on
//! it.

use crate::Micros;
use grebewood_partition::Member;
use grebewood_wire::records::LeaderRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A node's view of who leads.
#[derive(Debug)]
pub struct Election {
    /// The leader and the record's stamp, as last read.
    pub(crate) leader: Option<(LeaderRecord, u64)>,
    pub(crate) busy: bool,
    pub(crate) next_probe: Micros,
    /// No candidacy before this time.
    pub(crate) abstain_until: Micros,
    pub(crate) incarnation: u64,
    /// When a lease was last asked for.
    pub(crate) lease_requested_at: Micros,
    /// What each peer last said, by its place in the settings.
    pub(crate) peers: BTreeMap<usize, PeerView>,
    /// Number of the last question to the peers.
    pub(crate) question: u64,
    /// When a holder of partitions that does not lead asks its peers next.
    pub(crate) next_question: Micros,
    /// The highest fencing token of a grant that was read from state, or is our own.
    pub(crate) grant: u64,
}

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

/// Which members can hold partitions.
#[derive(Clone, Debug)]
pub(crate) struct MemberView {
    /// Those that can, and have contact with the state service.
    pub members: BTreeSet<Member>,
    /// Whether all siblings answered lately.
    pub all_answer: bool,
    /// Whether one answered that does not understand partitions.
    pub any_without: bool,
    /// Whether one answered that does not understand allotments.
    pub any_without_quota_grants: bool,
}

/// What a peer last said of its contact with the state service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerView {
    /// When the question was sent to which this was the answer.
    pub(crate) asked: Micros,
    /// When it last had contact, by our clock, at the latest.
    pub(crate) contact: Option<Micros>,
    /// It had none for some time before it answered.
    pub(crate) without_contact: bool,
    /// From when on it remembers which cancellations it confirmed and which grants it read.
    pub(crate) remembers_from: Option<Micros>,
    /// The highest grant that it read from state, or has itself.
    pub(crate) grant: u64,
    /// Whether it understands partitions.
    pub(crate) partitions: bool,
    /// Whether it understands allotments.
    pub(crate) allotments: bool,
}
