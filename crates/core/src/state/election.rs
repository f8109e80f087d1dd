//! A controller's state of the leader election and of its peers.
//!
//! A candidate puts the leader record under a lease, on the condition that the record is absent. The modification
//! revision of the record is the fencing token of the leader. Revisions only increase, so each new leader has a
//! higher token, and every write of a leader is conditional on its token.

use crate::Micros;
use grebewood_partition::Member;
use grebewood_wire::records::LeaderRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Leader record and fencing token as last read.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    /// Leader record.
    pub(crate) record: LeaderRecord,
    /// The mod_revision of the record, which is the fencing token of the leader.
    pub(crate) token: u64,
}

/// A controller's view of the leader election.
#[derive(Debug)]
pub struct Election {
    /// Leader, if one is known.
    pub(crate) leader: Option<KnownLeader>,
    /// Whether a request of the election is in flight.
    pub(crate) request_in_flight: bool,
    /// Time at which the leader record is read next or, on the leader, at which the peers are asked next.
    pub(crate) next_probe: Micros,
    /// Time before which this controller does not become a candidate.
    pub(crate) abstain_until: Micros,
    /// Incarnation of this process, which distinguishes it from an earlier process of the same member.
    pub(crate) incarnation: u64,
    /// Time at which a lease for a candidacy was last requested.
    pub(crate) lease_requested_at: Micros,
    /// Lease of the candidacy whose claim is repeated at `next_probe`, since the outcome of the claim is unknown.
    pub(crate) claim_to_repeat: Option<u64>,
    /// Last response of each peer, by the index of the peer in the settings.
    pub(crate) peers: BTreeMap<usize, PeerView>,
    /// Number of the last contact requests to the peers.
    pub(crate) last_contact_request: u64,
    /// Time at which a partition holder that is not the leader next sends contact requests to its peers.
    pub(crate) next_contact_request: Micros,
    /// Highest fencing token of a leader that was read from the key-value store or is this controller's own.
    pub(crate) highest_token: u64,
}

impl Election {
    /// Creates the view of a process that has just started and has read nothing yet.
    pub fn new(incarnation: u64) -> Self {
        Election {
            leader: None,
            request_in_flight: false,
            next_probe: 0,
            abstain_until: 0,
            incarnation,
            lease_requested_at: 0,
            claim_to_repeat: None,
            peers: BTreeMap::new(),
            last_contact_request: 0,
            next_contact_request: 0,
            highest_token: 0,
        }
    }

    /// Returns the highest fencing token of a leader that this controller has read from the key-value store or has
    /// had itself. Tokens in messages from other controllers do not count.
    pub fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Records the fencing token of a leader that was read from the key-value store or is this controller's own.
    pub(crate) fn observe_token(&mut self, token: u64) {
        self.highest_token = self.highest_token.max(token);
    }

    /// Returns the time of the next action of the election, in microseconds of the steady clock.
    pub fn next_wake(&self) -> Micros {
        self.next_probe
    }

    /// Returns whether the known leader is `member` with this fencing token.
    pub fn is_led_by(&self, member: &str, token: u64) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.record.member == member && leader.token == token)
    }

    /// Returns whether the leader supports partitions. Also returns true if no leader is known.
    pub(crate) fn leader_supports_partitions(&self) -> bool {
        self.leader
            .as_ref()
            .is_none_or(|leader| leader.record.supports_partitions)
    }

    /// Returns the fencing token of the leader, if a leader is known and supports partitions.
    pub(crate) fn leader_token_for_partitions(&self) -> Option<u64> {
        let leader = self.leader.as_ref()?;
        leader.record.supports_partitions.then_some(leader.token)
    }

    /// Returns the incarnation of this process, which distinguishes it from an earlier process of the same member.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the member name of the leader, if one is known.
    pub fn leader(&self) -> Option<&str> {
        let leader = self.leader.as_ref()?;
        Some(leader.record.member.as_str())
    }
}

/// Members that can hold partitions, according to their recent responses.
#[derive(Clone, Debug)]
pub(crate) struct MemberView {
    /// This controller, and the siblings that support partitions and have contact with the key-value store.
    pub(crate) members: BTreeSet<Member>,
    /// Whether all siblings answered recently.
    pub(crate) all_answered: bool,
    /// Whether a sibling that answered recently does not support partitions.
    pub(crate) any_without_partitions: bool,
    /// Whether a sibling that answered recently does not support quota grants.
    pub(crate) any_without_quota_grants: bool,
}

/// Last response of a peer about its contact with the key-value store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerView {
    /// Time at which the contact request was sent, in microseconds.
    pub(crate) asked_at: Micros,
    /// Lower bound of the time of the peer's last contact with the key-value store: the time at which the contact
    /// request was sent minus the age of the contact when the peer responded. The contact may be later by up to the
    /// duration of the request, but if this time is after the expiry of a lease, so is the contact. `None` if the peer
    /// has had no contact.
    pub(crate) last_contact: Option<Micros>,
    /// Whether the peer had been without contact for some time when it answered.
    pub(crate) without_contact: bool,
    /// Time since which the peer remembers the cancellations that it confirmed and the leaders' tokens that it read.
    pub(crate) remembers_from: Option<Micros>,
    /// Highest fencing token of a leader that the peer read from the key-value store or has itself.
    pub(crate) highest_token: u64,
    /// Whether the peer supports partitions.
    pub(crate) supports_partitions: bool,
    /// Whether the peer supports quota grants.
    pub(crate) supports_quota_grants: bool,
}
