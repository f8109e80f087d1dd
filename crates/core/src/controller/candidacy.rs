//! Leader election: becoming a candidate, claiming the leader record, and stepping down.

use crate::calls::{status_and_body, CallPurpose, ElectionStep};
use crate::context::Role;
use crate::controller::Controller;
use crate::scheduler::{FencedLease, Scheduler};
use crate::state::election::KnownLeader;
use crate::state::long_polls::LongPolls;
use crate::transactions::{absent, at_revision};
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    KeyValue, Lease, LeaseRequest, Operation, Transaction, TransactionApplied,
};
use grebewood_wire::records::{LeaderRecord, LEADER_KEY};
use log::{info, warn};
use std::fmt::Display;

/// Interval between two reads of the leader record by a controller that is not the leader.
const PROBE_INTERVAL_US: Micros = 500 * MILLI;

/// Delay until the next read after deleting a leader record of an earlier process of this member.
const PROBE_AFTER_DELETE_US: Micros = 20 * MILLI;

/// Delay until the next read of the leader record after stepping down.
const PROBE_AFTER_STEP_DOWN_US: Micros = 50 * MILLI;

/// Delay until the next read of the leader record after ending the lease of a candidacy or of leadership.
const PROBE_AFTER_LEASE_END_US: Micros = 100 * MILLI;

/// Delay until a claim without a clear outcome is repeated.
const CLAIM_RETRY_DELAY_US: Micros = 100 * MILLI;

/// A claim is repeated under its lease until this part of the lease's time to live has passed since it was requested:
/// the time to live divided by this number.
const CLAIM_RETRY_TTL_DIVISOR: Micros = 2;

/// Time for which a leader that resigned does not become a candidate.
const ABSTENTION_US: Micros = 10 * SECOND;

/// What happens to the leader's lease when the leader steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepDownMode {
    /// The lease on the leader record is lost or may be lost. It is left to expire.
    LeaseLost,
    /// The lease on the leader record is still valid. It is ended, and this controller is no candidate for
    /// [`ABSTENTION_US`].
    Resign,
}

impl Controller {
    /// Reads the leader record or sends contact requests to the peers, whichever is due.
    pub(crate) fn run_election(&mut self) {
        let now = self.context.now.steady;
        if now < self.election.next_probe {
            return;
        }
        if self.leader.is_some() {
            return self.send_contact_requests();
        }
        self.election.next_probe = now + PROBE_INTERVAL_US;
        if let Some(lease) = self.election.claim_to_repeat.take() {
            self.claim_leadership(lease, true);
        } else if !self.election.request_in_flight {
            self.election.request_in_flight = true;
            self.context
                .read_key(LEADER_KEY, CallPurpose::Election(ElectionStep::Probe));
        }
        // A partition holder renews agents' leases as the leader does, so it has to know which cancellations
        // its peers confirmed.
        if !self.partitions.holders.is_empty() && now >= self.election.next_contact_request {
            self.send_contact_requests();
            self.election.next_contact_request = self.election.next_probe;
            self.election.next_probe = now + PROBE_INTERVAL_US;
        }
    }

    /// Handles the reply to a request of the election.
    pub(crate) fn on_election_reply(&mut self, step: ElectionStep, outcome: Outcome) {
        self.election.request_in_flight = false;
        if self.leader.is_some() {
            return;
        }
        let (status, body) = status_and_body(outcome);
        match (step, status) {
            (ElectionStep::Probe, 200) => self.on_leader_record(&body),
            (ElectionStep::Probe, 404) => self.on_leader_record_absent(),
            (ElectionStep::Lease, 200) => self.on_lease_granted(&body),
            (ElectionStep::Claim { lease, .. }, 200) => {
                match wire::from_cbor::<TransactionApplied>(&body) {
                    Ok(applied) => self.become_leader(applied.revision, lease),
                    Err(_) => self.end_candidacy(lease),
                }
            }
            (ElectionStep::Claim { lease, .. }, 0) => self.read_leader_claim_back(lease),
            // The record that exists may be that of an earlier claim under the same lease.
            (
                ElectionStep::Claim {
                    lease,
                    is_repeated: true,
                },
                409,
            ) => self.read_leader_claim_back(lease),
            (ElectionStep::Claim { lease, .. }, _) => self.end_candidacy(lease),
            (ElectionStep::ReadBack { lease }, 200) => self.on_leader_claim_read_back(lease, &body),
            (ElectionStep::ReadBack { lease }, _) => self.repeat_claim_later(lease),
            _ => {}
        }
    }

    /// Handles a leader record that was read from the store.
    fn on_leader_record(&mut self, body: &[u8]) {
        let entry = match wire::from_cbor::<KeyValue<LeaderRecord>>(body) {
            Ok(entry) => entry,
            Err(e) => {
                return warn!(path = LEADER_KEY, error:% = e; "cannot decode the leader record")
            }
        };
        let token = entry.mod_revision;
        self.context.token = self.context.token.max(token);
        self.election.observe_token(token);
        if entry.value.member == self.context.settings.member {
            return self.delete_own_leader_record(token);
        }
        self.election.leader = Some(KnownLeader {
            record: entry.value,
            token,
        });
    }

    /// Deletes a leader record that names this member although this process is not the leader: an earlier
    /// process of the member put it, or the store put the leader record of this process late. No process acts under
    /// its token.
    fn delete_own_leader_record(&mut self, token: u64) {
        let transaction = Transaction {
            when: vec![at_revision(LEADER_KEY, token)],
            apply: vec![Operation::Delete {
                delete: LEADER_KEY.into(),
            }],
        };
        self.context
            .post_to_store("/txn", &transaction, CallPurpose::Ignore);
        self.election.leader = None;
        self.election.next_probe = self.context.now.steady + PROBE_AFTER_DELETE_US;
    }

    /// Requests a lease for a candidacy, since the store has no leader record.
    fn on_leader_record_absent(&mut self) {
        let now = self.context.now.steady;
        self.election.leader = None;
        if now < self.election.abstain_until {
            return;
        }
        self.election.request_in_flight = true;
        self.election.lease_requested_at = now;
        let request = LeaseRequest {
            ttl_ms: self.context.tuning.leader_lease_us / MILLI,
        };
        let purpose = CallPurpose::Election(ElectionStep::Lease);
        self.context.post_to_store("/leases", &request, purpose);
    }

    fn on_lease_granted(&mut self, body: &[u8]) {
        if let Ok(lease) = wire::from_cbor::<Lease>(body) {
            self.claim_leadership(lease.id, false);
        }
    }

    /// Puts the leader record under the lease, on the condition that there is still no leader record.
    fn claim_leadership(&mut self, lease: u64, is_repeated: bool) {
        self.election.request_in_flight = true;
        let transaction = Transaction {
            when: vec![absent(LEADER_KEY)],
            apply: vec![Operation::Put {
                put: LEADER_KEY.into(),
                value: wire::http::to_value(&self.own_leader_record()),
                lease: Some(lease),
            }],
        };
        let step = ElectionStep::Claim { lease, is_repeated };
        self.context
            .post_to_store("/txn", &transaction, CallPurpose::Election(step));
    }

    /// Reads the leader record back after a put whose outcome is unknown.
    fn read_leader_claim_back(&mut self, lease: u64) {
        info!(member = self.context.settings.member.as_str(), lease = lease; "outcome of a claim is unknown; reading the leader record back");
        self.election.request_in_flight = true;
        let step = ElectionStep::ReadBack { lease };
        self.context
            .read_key(LEADER_KEY, CallPurpose::Election(step));
    }

    /// Becomes the leader if the leader record that was read back is that of the claim under this lease.
    fn on_leader_claim_read_back(&mut self, lease: u64, body: &[u8]) {
        match self.confirm_claim::<LeaderRecord>(lease, body) {
            Some(token) => self.become_leader(token, lease),
            None => self.end_candidacy(lease),
        }
    }

    /// Repeats a claim whose outcome is still unknown after a pause, under the same lease: whichever of the claims the
    /// store applies, the leader record is attached to that lease. An old lease is ended instead, since it may expire
    /// before it is renewed.
    fn repeat_claim_later(&mut self, lease: u64) {
        let now = self.context.now.steady;
        let max_age = self.context.tuning.leader_lease_us / CLAIM_RETRY_TTL_DIVISOR;
        if now.saturating_sub(self.election.lease_requested_at) > max_age {
            return self.end_candidacy(lease);
        }
        self.election.claim_to_repeat = Some(lease);
        self.election.next_probe = now + CLAIM_RETRY_DELAY_US;
    }

    /// Returns the record with which this controller claims leadership.
    fn own_leader_record(&self) -> LeaderRecord {
        LeaderRecord {
            member: self.context.settings.member.clone(),
            incarnation: self.election.incarnation,
            supports_partitions: self.context.supports_partitions(),
            grants_quota: self.context.supports_quota_grants(),
        }
    }

    /// Ends the lease of a candidacy or of leadership, and schedules an early read of the leader record.
    fn end_candidacy(&mut self, lease: u64) {
        self.context.end_lease(lease);
        self.election.next_probe = self.context.now.steady + PROBE_AFTER_LEASE_END_US;
    }

    /// Takes on leadership after the store applied this controller's leader record, whose mod_revision is the
    /// fencing token, and starts to load the records.
    pub(crate) fn become_leader(&mut self, token: u64, lease: u64) {
        info!(member = self.context.settings.member.as_str(), token = token, lease = lease; "became leader");
        self.context.token = self.context.token.max(token);
        self.election.observe_token(token);
        self.election.leader = Some(KnownLeader {
            record: self.own_leader_record(),
            token,
        });
        self.election.peers.clear();
        let fenced_lease = FencedLease {
            token,
            lease,
            lease_requested_at: self.election.lease_requested_at,
        };
        let mut leader = Box::new(Scheduler::new(&self.context, Role::Leader, fenced_lease));
        leader.start_loading(&mut self.context);
        self.leader = Some(leader);
    }

    /// Stops acting as the leader, and refuses the heartbeats that wait for a response.
    pub(crate) fn step_down(&mut self, reason: impl Display, mode: StepDownMode) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        let member = self.context.settings.member.as_str();
        warn!(member = member, token = leader.token, reason:% = reason; "stepped down as leader");
        if mode == StepDownMode::LeaseLost {
            self.keep_unproven_machines(&leader);
        }
        for request in leader.waiting_heartbeats() {
            self.context.refuse(request, 503, "not the leader any more");
        }
        self.election.leader = None;
        self.election.request_in_flight = false;
        self.election.next_probe = self.context.now.steady + PROBE_AFTER_STEP_DOWN_US;
        if mode == StepDownMode::Resign {
            self.end_candidacy(leader.lease);
            self.election.abstain_until = self.context.now.steady + ABSTENTION_US;
        }
    }

    /// Suspends the schedulers of this controller after a process pause, until their leases are known to be
    /// valid: the leases may have expired, and other members may have acted since. Refuses the heartbeats that
    /// wait for a response.
    pub(crate) fn suspend_uncertain_leases(&mut self) {
        let now = self.context.now.steady;
        if self.leader.is_none() && self.partitions.holders.is_empty() {
            return;
        }
        self.for_each_scheduler(|context, scheduler| {
            scheduler.is_lease_uncertain = true;
            scheduler.lease_renewal_at = now;
            // No heartbeat could arrive during the pause, so their absence does not show that this controller
            // is cut off from the agents.
            scheduler.last_heartbeat_at = now;
            for request in scheduler.waiting_heartbeats() {
                context.refuse(request, 503, "it is not certain who leads");
            }
            scheduler.held_heartbeats.clear();
            scheduler.long_polls = LongPolls::default();
        });
        self.election.peers.clear();
        self.election.next_probe = now;
    }
}
