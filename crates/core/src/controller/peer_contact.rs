//! Questions to the peers and what their answers allow: whether a scheduler without contact with the store may go on
//! renewing agents' leases, or has lost its own lease.

use crate::calls::CallPurpose;
use crate::context::Role;
use crate::controller::candidacy::StepDown;
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

/// Without an answer of the store for this long, a controller counts as having lost contact with it.
pub(crate) const CONTACT_LOST_AFTER: Micros = 2 * SECOND;

/// Between two questions to the peers while there is contact with the store.
const QUESTION_INTERVAL: Micros = SECOND;

/// Between two questions to the peers without contact with the store.
const QUESTION_INTERVAL_WITHOUT_CONTACT: Micros = 400 * MILLI;

/// How long a peer may take to answer.
const QUESTION_TIMEOUT: Micros = 900 * MILLI;

/// How much more than it has to a question covers, since the clocks of two members drift apart.
const QUESTION_OVERLAP: Micros = SECOND;

/// Clocks drift apart by less than one part in this many.
const CLOCK_DRIFT_DIVISOR: Micros = 1_000;

/// A peer whose last answer is to a question older than this is not assigned partitions.
const MEMBER_SPAN: Micros = 3 * SECOND;

/// Why a scheduler may not act under its lease any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum LeaseLoss {
    /// A peer has read a leader record with a higher fencing token.
    #[error("a peer knows of a higher fencing token")]
    HigherToken,
    /// A peer had contact with the store for so long that the lease has expired.
    #[error("the store serves a peer, but not this controller")]
    StoreServesPeer,
    /// A peer may have confirmed a cancellation that is not known here.
    #[error("cancellations may be unknown here")]
    CancellationsUnknown,
}

impl Controller {
    /// Asks the peers whether they have contact with the store, and which cancellations they confirmed.
    /// While the leader has contact itself this only keeps its view of the peers fresh.
    pub(crate) fn ask_peers(&mut self) {
        let now = self.context.now.steady;
        let interval = if self.context.in_contact(CONTACT_LOST_AFTER / 2) {
            QUESTION_INTERVAL
        } else {
            QUESTION_INTERVAL_WITHOUT_CONTACT
        };
        self.election.next_probe = now + interval;
        self.election.question += 1;
        let question = self.election.question;
        for peer in 0..self.context.settings.siblings.len() {
            let known_until = self.context.cancellations.known_until_of_peer(peer);
            let message = wire::to_peer(&PeerRequest::Contact {
                from: self.context.settings.member.clone(),
                question,
                known_us: known_until.map(|at| now.saturating_sub(at) + QUESTION_OVERLAP),
                wants_limits: self.leader.is_some() && self.context.supports_quota_grants(),
            });
            self.context.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message,
                QUESTION_TIMEOUT,
                CallPurpose::Contact { peer, question },
            );
        }
    }

    /// Takes a peer's answer to the question that was sent at `asked_at`.
    pub(crate) fn on_contact(
        &mut self,
        peer: usize,
        question: u64,
        asked_at: Micros,
        outcome: Outcome,
    ) {
        let Outcome::Answer { status: 200, body } = outcome else {
            return;
        };
        let answer: PeerResponse = match wire::from_peer(&body) {
            Ok(answer) => answer,
            Err(e) => return warn!(error:% = e; "unreadable answer of a peer"),
        };
        let sibling = self.context.settings.siblings.get(peer);
        if sibling.is_none_or(|sibling| sibling.member != answer.member) {
            let member = answer.member.as_str();
            return warn!(member = member; "peer answered in place of another member");
        }
        if let (Some(leader), Some(teams)) = (&mut self.leader, &answer.limits) {
            // Only limits that this leader asked for: an earlier process of the member may have had others.
            if asked_at >= leader.began {
                leader.on_limits_announced(&mut self.context, &answer.member, teams);
            }
        }
        let mut view = PeerView {
            asked_at,
            last_contact: answer
                .store_contact_age_us
                .map(|age| asked_at.saturating_sub(age)),
            without_contact: answer
                .store_contact_age_us
                .is_none_or(|age| age >= CONTACT_LOST_AFTER),
            remembers_from: None,
            highest_token: answer.highest_leader_token,
            supports_partitions: answer.supports_partitions,
            supports_quota_grants: answer.supports_quota_grants,
        };
        // Only the answer to this very question lists what the peer has confirmed. An earlier version
        // lists nothing.
        if let Some(confirmed) = answer.confirmed.filter(|list| list.question == question) {
            view.remembers_from = self.learn_confirmed(peer, asked_at, confirmed);
        }
        let known = self.election.peers.entry(peer).or_default();
        if asked_at >= known.asked_at {
            *known = view;
        }
        self.resolve_uncertainty();
    }

    /// Learns the cancellations that a peer has confirmed; returns from when on it remembers them all.
    fn learn_confirmed(
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
        // It began to remember no later than this, by this controller's clock.
        let remembers_from = now.steady.saturating_sub(span - span / CLOCK_DRIFT_DIVISOR);
        self.context
            .cancellations
            .note_peer_list(peer, asked_at, remembers_from);
        Some(remembers_from)
    }

    /// Stops what runs of a job that is known to be cancelled, on the leader and in its partitions.
    pub(crate) fn apply_cancellation(&mut self, job: &str) {
        self.for_each_scheduler(|context, scheduler| scheduler.apply_cancellation(context, job));
    }

    /// The members that answered lately, this one included, that can hold partitions; and whether any
    /// that answered cannot.
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
            let Some(peer) =
                answered.filter(|peer| now.saturating_sub(peer.asked_at) < MEMBER_SPAN)
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

    /// After a process pause without contact: all peers, asked since, have been without contact too, and
    /// remember from before this controller lost contact that no other member became leader. So this is an
    /// outage of the store, in which leases do not expire and no leader can be elected.
    fn resolve_uncertainty(&mut self) {
        let resumed_at = self.context.resumed_at();
        let contact_lost_at = self.context.last_contact.unwrap_or(0);
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
        // No peer had contact at a moment at which a claim of this controller could have expired.
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

    /// How long a scheduler may go on since the moment up to which it knows all confirmed cancellations:
    /// the agent leases that it renews last must expire within the cancellation timeout of that moment.
    fn max_cancellation_age(&self) -> Micros {
        let settings = &self.context.settings;
        let margin = settings.cancel_timeout.saturating_sub(settings.agent_lease);
        let most_of_it = margin * 8 / 10;
        most_of_it.saturating_sub(2 * SECOND).max(SECOND)
    }

    /// Whether this controller may renew agents' leases: it knows of all cancellations that any member
    /// confirmed until lately. One that has just started, and has read nothing yet, does not: in an outage
    /// it would keep cancelled tasks running.
    pub(crate) fn may_renew_agent_leases(&self) -> bool {
        let now = self.context.now.steady;
        let peers = self.context.settings.siblings.len();
        let known_until = self.context.cancellations.known_until(peers, now);
        known_until.is_some_and(|at| now.saturating_sub(at) <= self.max_cancellation_age())
    }

    /// A leader without contact with the store finds out which of three things happened.
    /// A peer had contact for so long that the leader's lease has expired, or knows of a higher token: it
    /// steps down at once. Peers that answer list which cancellations they confirmed: with these it goes
    /// on, as it would with the store. Peers that cannot be asked, or have forgotten, may have confirmed
    /// cancellations that it does not know: it stops so early that the agents' leases expire within the
    /// cancellation timeout of the last moment without them.
    pub(crate) fn check_contact(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        if let Some(loss) = self.lease_loss(leader) {
            self.step_down(loss, StepDown::LeaseLost);
        }
    }

    /// Why this controller may not act under the scheduler's lease any longer, if it is so.
    pub(crate) fn lease_loss(&self, scheduler: &Scheduler) -> Option<LeaseLoss> {
        let now = self.context.now.steady;
        let last_contact = self.context.last_contact?;
        if now.saturating_sub(last_contact) >= CONTACT_LOST_AFTER {
            let expired_at = last_contact + self.context.tuning.leader_lease_us;
            let mut peers = self.election.peers.values();
            // A later leader does not end a claim on a partition.
            if scheduler.role == Role::Leader
                && peers
                    .clone()
                    .any(|peer| peer.highest_token > scheduler.token)
            {
                return Some(LeaseLoss::HigherToken);
            }
            if peers.any(|peer| peer.last_contact.is_some_and(|at| at > expired_at)) {
                return Some(LeaseLoss::StoreServesPeer);
            }
        }
        let unknown = scheduler.loaded() && !self.may_renew_agent_leases();
        unknown.then_some(LeaseLoss::CancellationsUnknown)
    }
}

#[cfg(test)]
mod tests;
