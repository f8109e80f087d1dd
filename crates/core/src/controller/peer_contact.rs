//! Questions to the peers and what their answers allow: whether a leader without the store may go on renewing agents'
//! leases, and which machines an earlier term left unproven.

use crate::calls::CallPurpose;
use crate::context::Role;
use crate::controller::Controller;
use crate::scheduler::leader::fleet::MAX_TERMINATIONS;
use crate::scheduler::Scheduler;
use crate::state::election::{MemberView, PeerView};
use crate::state::unproven_machines::UnprovenMachines;
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_partition::Member;
use grebewood_wire as wire;
use grebewood_wire::http::MachineNames;
use grebewood_wire::peer::{PeerAnswer, PeerRequest};
use log::{info, warn};
use std::collections::BTreeSet;

/// Without an answer from the state service for this long, a leader doubts its contact.
const SILENT: Micros = 2 * SECOND;

/// How often peers are asked while there is contact, and without.
const ASK: Micros = SECOND;

const ASK_SILENT: Micros = 400 * MILLI;

/// A leader that stepped down waits so long for contact with the state service before it releases the
/// machines that it left unproven.
const UNPROVEN_DELAY: Micros = 3 * SECOND;

/// A peer that was asked longer ago than this, without an answer since, is not counted on.
const MEMBER_SPAN: Micros = 3 * SECOND;

impl Controller {
    /// Asks the peers whether they have contact with the state service, and what they confirmed.
    /// While the leader has contact itself this only keeps its view of the peers fresh.
    pub(crate) fn ask_peers(&mut self) {
        let now = self.context.now.steady;
        let pause = if self.context.in_contact(SILENT / 2) {
            ASK
        } else {
            ASK_SILENT
        };
        self.election.next_probe = now + pause;
        self.election.question += 1;
        let question = self.election.question;
        for peer in 0..self.context.settings.siblings.len() {
            let known = self.context.cancellations.known_of(peer);
            let message = wire::to_peer(&PeerRequest::Contact {
                from: self.context.settings.member.clone(),
                question,
                // A little more than that: clocks drift.
                known_us: known.map(|at| now.saturating_sub(at) + SECOND),
                limits: self.leader.is_some() && self.context.supports_quota_grants(),
            });
            self.context.call(
                Target::Peer(peer),
                "POST",
                "/peer".into(),
                message,
                900 * MILLI,
                CallPurpose::Contact { peer, question },
            );
        }
    }

    /// Takes a peer's answer to the question that was sent at `asked`.
    pub(crate) fn on_contact(
        &mut self,
        peer: usize,
        question: u64,
        asked: Micros,
        outcome: Outcome,
    ) {
        let now = self.context.now.steady;
        let Outcome::Answer { status: 200, body } = outcome else {
            return;
        };
        let answer: PeerAnswer = match wire::from_peer(&body) {
            Ok(a) => a,
            Err(e) => return warn!("peer: {e}"),
        };
        let sibling = self.context.settings.siblings.get(peer);
        if sibling.is_none_or(|s| s.member != answer.member) {
            return warn!("peer: {} answers in another's place", answer.member);
        }
        let age = answer.store_contact_age_us;
        let mut job_view = PeerView {
            asked,
            contact: age.map(|age| asked.saturating_sub(age)),
            without_contact: age.is_none_or(|age| age >= SILENT),
            remembers_from: None,
            grant: answer.grant,
            partitions: answer.partitions,
            allotments: answer.allotments,
        };
        if let (Some(leader), Some(teams)) = (&mut self.leader, &answer.limits) {
            // One that this leader asked for: an earlier process of the member may have had others.
            if asked >= leader.began {
                leader.on_limits_announced(&mut self.context, &answer.member, teams);
            }
        }
        // Only the answer to this very question says what the peer has confirmed. An earlier
        // version says nothing of it.
        if let Some(confirmed) = answer.confirmed.filter(|c| c.question == question) {
            let wall = self.context.now.wall;
            for (id, age) in confirmed.jobs {
                self.context
                    .cancellations
                    .learn(&id, wall.saturating_sub(age).max(1));
                self.apply_cancellation(&id);
            }
            if let Some(span) = confirmed.remembers_us {
                // It began to remember no later than this, by our clock: clocks drift.
                let from = now.saturating_sub(span - span / 1_000);
                job_view.remembers_from = Some(from);
                self.context.cancellations.covered(peer, asked, from);
            }
        }
        let known = self.election.peers.entry(peer).or_default();
        if asked >= known.asked {
            *known = job_view;
        }
        self.resolve_uncertainty();
    }

    /// Stops what runs of a job that is known to be cancelled, under whatever grant.
    pub(crate) fn apply_cancellation(&mut self, id: &str) {
        let holders = self.partitions.holders.values_mut();
        for leader in self.leader.iter_mut().chain(holders) {
            leader.apply_cancellation(&mut self.context, id);
        }
    }

    /// The members that answered lately, this one included, that can hold partitions; and whether any
    /// that answered cannot.
    pub(crate) fn partition_members(&self) -> MemberView {
        let now = self.context.now.steady;
        let own = &self.context.settings;
        let mut job_view = MemberView {
            members: BTreeSet::from([Member {
                name: own.member.clone(),
                zone: own.zone.clone(),
            }]),
            all_answer: true,
            any_without: false,
            any_without_quota_grants: false,
        };
        for (place, sibling) in own.siblings.iter().enumerate() {
            let peer = self.election.peers.get(&place);
            let Some(peer) = peer.filter(|p| now.saturating_sub(p.asked) < MEMBER_SPAN) else {
                job_view.all_answer = false;
                continue;
            };
            job_view.any_without_quota_grants |= !peer.allotments;
            if !peer.partitions {
                job_view.any_without = true;
            } else if !peer.without_contact {
                job_view.members.insert(Member {
                    name: sibling.member.clone(),
                    zone: sibling.zone.clone(),
                });
            }
        }
        job_view
    }

    /// After a standstill without contact: all peers, asked since, have been without contact too,
    /// and remember from before we lost ours that nobody else got a grant. So this is an outage, in
    /// which leases do not run out and nobody can be elected.
    fn resolve_uncertainty(&mut self) {
        let (resumed_at, lost) = (
            self.context.resumed_at(),
            self.context.last_contact.unwrap_or(0),
        );
        let siblings = 0..self.context.settings.siblings.len();
        let peers: Option<Vec<&PeerView>> = siblings.map(|p| self.election.peers.get(&p)).collect();
        let Some(peers) = peers else { return };
        let outage = peers.iter().all(|peer| {
            peer.asked >= resumed_at
                && peer.without_contact
                && peer.remembers_from.is_some_and(|at| at <= lost)
        });
        if !outage {
            return;
        }
        if let Some(leader) = &mut self.leader {
            if peers.iter().all(|peer| peer.grant <= leader.token) {
                leader.confirm_lease();
            }
        }
        // Nobody had contact at a moment at which a claim of ours could have run out.
        let unbroken = lost + self.context.tuning.leader_lease_us / 2;
        let later = |peer: &&PeerView| peer.contact.is_some_and(|at| at > unbroken);
        if !peers.iter().any(later) {
            for holder in self.partitions.holders.values_mut() {
                holder.confirm_lease();
            }
        }
    }

    /// How long a leader may go on since the moment up to which it knows all confirmed
    /// cancellations: the leases that it renews last must run out within `cancel_s` of that moment.
    fn blind_bound(&self) -> Micros {
        let s = &self.context.settings;
        let bound = s.cancel_timeout.saturating_sub(s.agent_lease) * 8 / 10;
        bound.saturating_sub(2 * SECOND).max(SECOND)
    }

    /// Whether this node, as a leader, may renew workers' leases: it knows of all cancellations
    /// that any node confirmed until lately. One that has just started, and has read nothing yet,
    /// does not; it once kept cancelled tasks alive through an outage that met its election.
    pub(crate) fn may_renew(&self) -> bool {
        let now = self.context.now.steady;
        let peers = self.context.settings.siblings.len();
        let certain = self.context.cancellations.certain(peers, now);
        certain.is_some_and(|at| now.saturating_sub(at) <= self.blind_bound())
    }

    /// A leader without contact with the state service finds out which of three things happened.
    /// A peer had contact for so long that our grant has run out, or knows of a later one: it
    /// steps down at once. Peers that answer tell which cancellations they confirmed: with that it
    /// goes on, as it would with state. Peers that cannot be asked, or have forgotten, may have
    /// confirmed cancellations that it does not know: it stops so early that the workers' leases
    /// run out within `cancel_s` of the last moment without them.
    ///
    /// What a peer had confirmed while only this node was refused was once unknown here for as long
    /// as an outage lasted that came right after.
    pub(crate) fn check_contact(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        if let Some(why) = self.lease_lost_reason(leader) {
            self.step_down(why, false);
        }
    }

    /// Why this node may act no longer under the grant, if it is so.
    pub(crate) fn lease_lost_reason(&self, leader: &Scheduler) -> Option<&'static str> {
        let now = self.context.now.steady;
        let lost = self.context.last_contact?;
        if now.saturating_sub(lost) >= SILENT {
            let lapsed = lost + self.context.tuning.leader_lease_us;
            let peers = self.election.peers.values();
            let (mut served, mut deposed) = (false, false);
            for p in peers {
                served |= p.contact.is_some_and(|c| c > lapsed);
                // A later leader says nothing of a claim on a partition.
                deposed |= leader.role == Role::Leader && p.grant > leader.token;
            }
            if deposed {
                return Some("a peer knows of a later grant");
            }
            if served {
                return Some("the state service serves a peer, not this node");
            }
        }
        let blind = leader.loaded() && !self.may_renew();
        blind.then_some("cancellations may be unknown here")
    }
}

impl Controller {
    /// Takes over what the leader that steps down leaves unproven.
    pub(crate) fn leave_unproven(&mut self, leader: &Scheduler) {
        let names = leader.unproven_machines(
            self.context.now.steady,
            2 * self.context.settings.heartbeat_interval,
        );
        if names.is_empty() {
            return;
        }
        let due = self.context.now.steady + UNPROVEN_DELAY;
        let left = self.unproven.get_or_insert(UnprovenMachines {
            names: Vec::new(),
            due,
        });
        left.names.extend(names);
    }

    /// When machines that were left unproven are due.
    pub(crate) fn unproven_due(&self) -> Micros {
        self.unproven.as_ref().map_or(Micros::MAX, |left| left.due)
    }

    /// Releases machines that were left unproven, if the state service has been out of reach since:
    /// then the next leader may be long in coming, and nobody else knows of them. Otherwise the next
    /// leader reads which tasks are there. A leader that had stood still, and to which all machines
    /// seemed silent, once released sixty that already reported to its successor.
    pub(crate) fn run_unproven(&mut self) {
        if self.context.now.steady < self.unproven_due() {
            return;
        }
        let Some(left) = self.unproven.take() else {
            return;
        };
        if self.context.in_contact(SILENT) {
            return;
        }
        info!("released, with cancelled tasks: {}", left.names.join(", "));
        for machines in left.names.chunks(MAX_TERMINATIONS) {
            let machines = machines.to_vec();
            self.context.call(
                Target::Cloud,
                "POST",
                "/rentals/release".into(),
                wire::to_cbor(&MachineNames { machines }),
                5 * SECOND,
                CallPurpose::Ignore,
            );
        }
    }
}

#[cfg(test)]
mod tests;
