//! Contact requests to the peers. A contact request asks a peer how long ago it had contact with the key-value store,
//! and which cancellations it has confirmed to users. The responses decide whether a scheduler without contact with
//! the key-value store may go on renewing agents' leases, or has lost its own lease (on the leader record or on the
//! claim record of a partition).

use crate::calls::CallPurpose;
use crate::context::Role;
use crate::controller::candidacy::StepDownMode;
use crate::controller::Controller;
use crate::scheduler::Scheduler;
use crate::state::election::{MemberView, PeerView};
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_partition::Member;
use grebewood_wire as wire;
use grebewood_wire::peer::{ConfirmedCancellations, PeerRequest, PeerResponse};
use log::warn;
use std::collections::BTreeSet;
use thiserror::Error;

/// A controller that has had no response from the store for this long counts as having lost contact with it.
pub(crate) const STORE_CONTACT_TIMEOUT_US: Micros = 2 * SECOND;

/// Interval between two contact requests to the peers while there is contact with the store.
const CONTACT_REQUEST_INTERVAL_US: Micros = SECOND;

/// Interval between two contact requests to the peers without contact with the store.
const CONTACT_REQUEST_INTERVAL_IN_OUTAGE_US: Micros = 400 * MILLI;

/// Timeout of a contact request.
const CONTACT_REQUEST_TIMEOUT_US: Micros = 900 * MILLI;

/// Time by which the period that a contact request asks about is extended into the past, since the clocks of two
/// members drift apart.
const CONFIRMATION_OVERLAP_US: Micros = SECOND;

/// The clocks of two members drift apart by less than the elapsed time divided by this number.
const CLOCK_DRIFT_DIVISOR: Micros = 1_000;

/// A peer is assigned no partitions if the contact request that it last answered is older than this.
const MAX_PEER_RESPONSE_AGE_US: Micros = 3 * SECOND;

/// Why a scheduler may not act under its lease on the leader record or on the claim record of a partition any
/// longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum LeaseLoss {
    /// A peer knows of a leader with a higher fencing token.
    #[error("a peer knows of a higher fencing token")]
    HigherToken,
    /// A peer had contact with the store at a time at which the lease on the leader record, or on the claim on the
    /// partition, had expired.
    #[error("a peer had contact with the key-value store after the lease of this leader or partition holder had expired")]
    StoreServesPeer,
    /// A peer may have confirmed a cancellation that this controller does not know.
    #[error("a peer may have confirmed cancellations that this controller does not know")]
    CancellationsUnknown,
}

impl Controller {
    /// Asks the peers whether they have contact with the store, and which cancellations they confirmed to
    /// users. While the leader has contact itself, the responses only keep its view of the peers up to date.
    pub(crate) fn send_contact_requests(&mut self) {
        let now = self.context.now.steady;
        let interval = if self.context.has_store_contact(STORE_CONTACT_TIMEOUT_US / 2) {
            CONTACT_REQUEST_INTERVAL_US
        } else {
            CONTACT_REQUEST_INTERVAL_IN_OUTAGE_US
        };
        self.election.next_probe = now + interval;
        self.election.last_contact_request += 1;
        let number = self.election.last_contact_request;
        for peer in 0..self.context.settings.siblings.len() {
            let known_until = self.context.cancellations.known_until_of_peer(peer);
            let message = wire::to_peer(&PeerRequest::Contact {
                from: self.context.settings.member.clone(),
                question: number,
                known_us: known_until.map(|at| now.saturating_sub(at) + CONFIRMATION_OVERLAP_US),
                wants_limits: self.leader.is_some() && self.context.supports_quota_grants(),
            });
            self.context.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message,
                CONTACT_REQUEST_TIMEOUT_US,
                CallPurpose::Contact { peer, number },
            );
        }
    }

    /// Handles a peer's response to the contact request that was sent at `asked_at`.
    pub(crate) fn on_contact_response(
        &mut self,
        peer: usize,
        number: u64,
        asked_at: Micros,
        outcome: Outcome,
    ) {
        let Outcome::Answer { status: 200, body } = outcome else {
            return;
        };
        let response: PeerResponse = match wire::from_peer(&body) {
            Ok(response) => response,
            Err(e) => {
                return warn!(error:% = e; "cannot decode the response of a peer to a contact request")
            }
        };
        let sibling = self.context.settings.siblings.get(peer);
        if sibling.is_none_or(|sibling| sibling.member != response.member) {
            let member = response.member.as_str();
            return warn!(member = member; "ignoring a contact response of this member, since another member was asked");
        }
        if let (Some(leader), Some(teams)) = (&mut self.leader, &response.limits) {
            // Limits that were asked for before this leader's term are ignored: an earlier process of the
            // member may have had others.
            if asked_at >= leader.lease_acquired_at {
                leader.on_limits_announced(&mut self.context, &response.member, teams);
            }
        }
        let mut view = PeerView {
            asked_at,
            last_contact: response
                .store_contact_age_us
                .map(|age| asked_at.saturating_sub(age)),
            without_contact: response
                .store_contact_age_us
                .is_none_or(|age| age >= STORE_CONTACT_TIMEOUT_US),
            remembers_from: None,
            highest_token: response.highest_leader_token,
            supports_partitions: response.supports_partitions,
            supports_quota_grants: response.supports_quota_grants,
        };
        // A list that answers another contact request is ignored. A peer of an earlier version sends no list.
        if let Some(confirmed) = response.confirmed.filter(|list| list.question == number) {
            view.remembers_from = self.learn_confirmed_cancellations(peer, asked_at, confirmed);
        }
        let known = self.election.peers.entry(peer).or_default();
        if asked_at >= known.asked_at {
            *known = view;
        }
        self.confirm_leases_in_store_outage();
    }

    /// Records and applies the cancellations that a peer has confirmed. Returns the moment since which the
    /// peer remembers all that it confirmed.
    fn learn_confirmed_cancellations(
        &mut self,
        peer: usize,
        asked_at: Micros,
        confirmed: ConfirmedCancellations,
    ) -> Option<Micros> {
        let now = self.context.now;
        for (job, age) in confirmed.jobs {
            let cancelled_us = now.wall.saturating_sub(age).max(1);
            self.context.cancellations.learn(&job, cancelled_us);
            self.apply_cancellation(&job);
        }
        let span = confirmed.complete_for_us?;
        // The peer began to remember no later than this moment of this controller's clock.
        let remembers_from = now.steady.saturating_sub(span - span / CLOCK_DRIFT_DIVISOR);
        self.context
            .cancellations
            .record_peer_list(peer, asked_at, remembers_from);
        Some(remembers_from)
    }

    /// Applies the known cancellation of a job to every scheduler of this controller.
    pub(crate) fn apply_cancellation(&mut self, job: &str) {
        self.for_each_scheduler(|context, scheduler| scheduler.apply_cancellation(context, job));
    }

    /// Returns the members that recently answered and can hold partitions, this one included, and whether any
    /// member that recently answered lacks support for partitions or quota grants.
    pub(crate) fn partition_members(&self) -> MemberView {
        let now = self.context.now.steady;
        let settings = &self.context.settings;
        let mut view = MemberView {
            members: BTreeSet::from([Member {
                name: settings.member.clone(),
                zone: settings.zone.clone(),
            }]),
            all_answered: true,
            any_without_partitions: false,
            any_without_quota_grants: false,
        };
        for (peer, sibling) in settings.siblings.iter().enumerate() {
            let answered = self.election.peers.get(&peer);
            let Some(peer) = answered
                .filter(|peer| now.saturating_sub(peer.asked_at) < MAX_PEER_RESPONSE_AGE_US)
            else {
                view.all_answered = false;
                continue;
            };
            view.any_without_quota_grants |= !peer.supports_quota_grants;
            if !peer.supports_partitions {
                view.any_without_partitions = true;
            } else if !peer.without_contact {
                view.members.insert(Member {
                    name: sibling.member.clone(),
                    zone: sibling.zone.clone(),
                });
            }
        }
        view
    }

    /// Confirms the leases that were suspended after a process pause, if the peers' responses show that the store
    /// is unavailable to all: every peer was asked since the pause, has no contact either, and remembers the
    /// time since before this controller lost contact. In such an outage leases do not expire, and no leader
    /// can be elected. The leader's lease is confirmed only if no peer knows of a higher fencing token.
    fn confirm_leases_in_store_outage(&mut self) {
        let resumed_at = self.context.resumed_at();
        let contact_lost_at = self.context.last_store_contact.unwrap_or(0);
        let siblings = 0..self.context.settings.siblings.len();
        let peers: Option<Vec<&PeerView>> = siblings
            .map(|peer| self.election.peers.get(&peer))
            .collect();
        let Some(peers) = peers else { return };
        let outage = peers.iter().all(|peer| {
            peer.asked_at >= resumed_at
                && peer.without_contact
                && peer
                    .remembers_from
                    .is_some_and(|remembers_from| remembers_from <= contact_lost_at)
        });
        if !outage {
            return;
        }
        if let Some(leader) = &mut self.leader {
            if peers.iter().all(|peer| peer.highest_token <= leader.token) {
                leader.confirm_lease();
            }
        }
        // This controller's claims still hold if no peer had contact with the store at a time at which the lease of
        // one of them could have expired.
        let valid_until = contact_lost_at + self.context.tuning.leader_lease_us / 2;
        let claims_valid = peers
            .iter()
            .all(|peer| peer.last_contact.is_none_or(|at| at <= valid_until));
        if claims_valid {
            for holder in self.partitions.holders.values_mut() {
                holder.confirm_lease();
            }
        }
    }

    /// Returns for how long after the moment up to which it knows all confirmed cancellations a scheduler may
    /// renew agents' leases: the last ones that it renews must expire within the cancellation timeout after
    /// that moment.
    fn max_cancellation_staleness(&self) -> Micros {
        let settings = &self.context.settings;
        let margin = settings.cancel_timeout.saturating_sub(settings.agent_lease);
        let most_of_it = margin * 8 / 10;
        most_of_it.saturating_sub(2 * SECOND).max(SECOND)
    }

    /// Returns whether this controller may renew agents' leases, since it knows all cancellations that any
    /// member confirmed up to a recent moment. A controller that has just started and has read nothing may
    /// not: in an outage of the store it would keep cancelled tasks running.
    pub(crate) fn may_renew_agent_leases(&self) -> bool {
        let now = self.context.now.steady;
        let peers = self.context.settings.siblings.len();
        let known_until = self.context.cancellations.known_until(peers, now);
        known_until.is_some_and(|at| now.saturating_sub(at) <= self.max_cancellation_staleness())
    }

    /// Steps down as leader if this controller may not act under the leader's lease any longer.
    ///
    /// A leader steps down at once if a peer knows of a higher fencing token. A leader without contact with the store
    /// distinguishes three further cases:
    /// - A peer had contact at a time at which the leader's lease had expired: the leader steps down at once.
    /// - The peers answer with the cancellations that they confirmed: the leader goes on, as it would with the
    ///   store.
    /// - A peer does not answer, or no longer remembers: it may have confirmed cancellations that the leader
    ///   does not know. The leader steps down so early that the agents' leases expire within the cancellation
    ///   timeout after the last moment up to which it knows all cancellations.
    pub(crate) fn step_down_if_lease_lost(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        if let Some(loss) = self.lease_loss(leader) {
            self.step_down(loss, StepDownMode::LeaseLost);
        }
    }

    /// Returns why this controller may not act under the scheduler's lease any longer; `None` if it may.
    pub(crate) fn lease_loss(&self, scheduler: &Scheduler) -> Option<LeaseLoss> {
        // Also with contact: calls may be answered while the renewals of the lease are lost.
        if scheduler.role == Role::Leader && self.peers_know_higher_token(scheduler.token) {
            return Some(LeaseLoss::HigherToken);
        }
        let now = self.context.now.steady;
        let last_contact = self.context.last_store_contact?;
        if now.saturating_sub(last_contact) >= STORE_CONTACT_TIMEOUT_US {
            let expired_at = last_contact + self.context.tuning.leader_lease_us;
            let mut peers = self.election.peers.values();
            if peers.any(|peer| peer.last_contact.is_some_and(|at| at > expired_at)) {
                return Some(LeaseLoss::StoreServesPeer);
            }
        }
        let unknown = scheduler.is_loaded() && !self.may_renew_agent_leases();
        unknown.then_some(LeaseLoss::CancellationsUnknown)
    }

    /// Returns whether a peer has read a leader record with a higher fencing token, so that the leader record with
    /// this token is gone. The claim on a partition stays valid under a later leader.
    fn peers_know_higher_token(&self, token: u64) -> bool {
        let mut peers = self.election.peers.values();
        peers.any(|peer| peer.highest_token > token)
    }
}

#[cfg(test)]
mod tests;
