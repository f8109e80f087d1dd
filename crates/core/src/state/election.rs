//! What a controller knows of the election, and of its peers.
//!
//! The leader record is put under a lease on the condition that it is absent. Its modification revision is the
//! fencing token: revisions only grow, so each new leader has a higher token, and every write of a leader is
//! conditional on it.

use crate::Micros;
use grebewood_partition::Member;
use grebewood_wire::records::LeaderRecord;
use std::collections::{BTreeMap, BTreeSet};

/// The leader record and its fencing token, as last read.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    /// The record.
    pub(crate) record: LeaderRecord,
    /// The record's mod_revision, which is the leader's fencing token.
    pub(crate) token: u64,
}

/// A controller's view of who leads.
#[derive(Debug)]
pub struct Election {
    /// The leader, if one is known.
    pub(crate) leader: Option<KnownLeader>,
    /// Whether a request of the election is under way.
    pub(crate) request_in_flight: bool,
    /// When the leader record is read next or, on the leader, when the peers are asked next.
    pub(crate) next_probe: Micros,
    /// No candidacy before this time.
    pub(crate) abstain_until: Micros,
    /// Distinguishes this process from an earlier one of the same member.
    pub(crate) incarnation: u64,
    /// When a lease was last asked for.
    pub(crate) lease_requested_at: Micros,
    /// What each peer last answered, by its place in the settings.
    pub(crate) peers: BTreeMap<usize, PeerView>,
    /// Number of the last question to the peers.
    pub(crate) question: u64,
    /// When a holder of partitions that does not lead asks its peers next.
    pub(crate) next_question: Micros,
    /// The highest fencing token of a leader that was read from the store, or is this controller's own.
    pub(crate) highest_token: u64,
}

impl Election {
    /// The view of a process that has just started and has read nothing yet.
    pub fn new(incarnation: u64) -> Self {
        Election {
            leader: None,
            request_in_flight: false,
            next_probe: 0,
            abstain_until: 0,
            incarnation,
            lease_requested_at: 0,
            peers: BTreeMap::new(),
            question: 0,
            next_question: 0,
            highest_token: 0,
        }
    }

    /// The highest fencing token of a leader that this controller knows of from the store, never from a
    /// message.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Notes the fencing token of a leader that was read from the store, or is this controller's own.
    pub(crate) fn observe_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }

    /// When the election has to act next, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        self.next_probe
    }

    /// Whether `member` leads under this token, as far as known.
    pub fn is_led_by(&self, member: &str, token: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.record.member == member && leader.token == token)
    }

    /// Whether the leader, as far as one is known, supports partitions.
    pub(crate) fn leader_supports_partitions(&self) -> bool {
        self.leader
            .as_ref()
            .is_none_or(|leader| leader.record.partitions)
    }

    /// The fencing token of the leader, if there is one that supports partitions.
    pub(crate) fn partition_term(&self) -> Option<u64> {
        let leader = self.leader.as_ref()?;
        leader.record.partitions.then_some(leader.token)
    }

    /// Distinguishes this process from an earlier one of the same member.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The leader's member name.
    pub fn leader(&self) -> Option<&str> {
        let leader = self.leader.as_ref()?;
        Some(leader.record.member.as_str())
    }
}

/// Which members can hold partitions.
#[derive(Clone, Debug)]
pub(crate) struct MemberView {
    /// Those that can, and have contact with the store.
    pub(crate) members: BTreeSet<Member>,
    /// Whether all siblings answered lately.
    pub(crate) all_answered: bool,
    /// Whether one answered that does not support partitions.
    pub(crate) any_without_partitions: bool,
    /// Whether one answered that does not support quota grants.
    pub(crate) any_without_quota_grants: bool,
}

/// What a peer last answered about its contact with the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerView {
    /// When the question was sent to which this was the answer.
    pub(crate) asked_at: Micros,
    /// When it last had contact, by this controller's clock, at the latest.
    pub(crate) last_contact: Option<Micros>,
    /// It had none for some time before it answered.
    pub(crate) without_contact: bool,
    /// From when on it remembers which cancellations it confirmed and which leaders' tokens it read.
    pub(crate) remembers_from: Option<Micros>,
    /// The highest fencing token of a leader that it read from the store, or has itself.
    pub(crate) highest_token: u64,
    /// Whether it supports partitions.
    pub(crate) supports_partitions: bool,
    /// Whether it supports quota grants.
    pub(crate) supports_quota_grants: bool,
}
