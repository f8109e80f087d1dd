//! The election: candidacy, claiming the leader record, and stepping down.

use crate::calls::{CallPurpose, ElectionStep};
use crate::context::Role;
use crate::controller::Controller;
use crate::scheduler::{FencedLease, Scheduler};
use crate::state::long_polls::LongPolls;
use crate::transactions::absent;
use crate::{Micros, Outcome, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    Condition, KeyValue, Lease, LeaseRequest, Operation, Transaction, TransactionApplied,
};
use grebewood_wire::records::{LeaderRecord, LEADER};
use log::{info, warn};

const PROBE: Micros = 500 * MILLI;

impl Controller {
    pub(crate) fn run_election(&mut self) {
        let now = self.context.now.steady;
        if now < self.election.next_probe {
            return;
        }
        if self.leader.is_none() {
            self.election.next_probe = now + PROBE;
            if !self.election.busy {
                self.election.busy = true;
                self.context
                    .read_key(LEADER, CallPurpose::Election(ElectionStep::Probe));
            }
            // A holder renews leases as a leader does: it has to know what peers confirmed.
            if !self.partitions.holders.is_empty() && now >= self.election.next_question {
                self.ask_peers();
                self.election.next_question = self.election.next_probe;
                self.election.next_probe = now + PROBE;
            }
        } else {
            self.ask_peers();
        }
    }

    pub(crate) fn on_election(&mut self, step: ElectionStep, outcome: Outcome) {
        let now = self.context.now.steady;
        self.election.busy = false;
        if self.leader.is_some() {
            return;
        }
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        match (step, status) {
            (ElectionStep::Probe, 200) => match wire::from_cbor::<KeyValue<LeaderRecord>>(&body) {
                Ok(e) => {
                    self.context.token = self.context.token.max(e.mod_revision);
                    self.election.grant = self.election.grant.max(e.mod_revision);
                    if e.value.member == self.context.settings.member {
                        // A grant of our own that we do not hold: an earlier process of ours had
                        // it, or a claim was applied late. Nobody acts under it, so it goes.
                        let transaction = Transaction {
                            when: vec![Condition {
                                key: LEADER.into(),
                                mod_revision: e.mod_revision,
                            }],
                            apply: vec![Operation::Delete {
                                delete: LEADER.into(),
                            }],
                        };
                        self.context
                            .post_to_store("/txn", &transaction, CallPurpose::Ignore);
                        self.election.leader = None;
                        self.election.next_probe = now + 20 * MILLI;
                    } else {
                        self.election.leader = Some((e.value, e.mod_revision));
                    }
                }
                Err(e) => warn!("record {LEADER}: {e}"),
            },
            (ElectionStep::Probe, 404) => {
                self.election.leader = None;
                if now >= self.election.abstain_until {
                    self.election.busy = true;
                    self.election.lease_requested_at = now;
                    let request = LeaseRequest {
                        ttl_ms: self.context.tuning.leader_lease_us / MILLI,
                    };
                    self.context.post_to_store(
                        "/leases",
                        &request,
                        CallPurpose::Election(ElectionStep::Lease),
                    );
                }
            }
            (ElectionStep::Lease, 200) => {
                if let Ok(lease) = wire::from_cbor::<Lease>(&body) {
                    self.election.busy = true;
                    let record = self.own_leader_record();
                    let transaction = Transaction {
                        when: vec![absent(LEADER)],
                        apply: vec![Operation::Put {
                            put: LEADER.into(),
                            value: wire::http::to_value(&record),
                            lease: Some(lease.id),
                        }],
                    };
                    let step = ElectionStep::Claim { lease: lease.id };
                    self.context
                        .post_to_store("/txn", &transaction, CallPurpose::Election(step));
                }
            }
            (ElectionStep::Claim { lease }, 200) => {
                match wire::from_cbor::<TransactionApplied>(&body) {
                    Ok(e) => self.become_leader(e.revision, lease),
                    Err(_) => self.end_lease(lease),
                }
            }
            (ElectionStep::Claim { lease }, 0) => {
                self.election.busy = true;
                self.context.read_key(
                    LEADER,
                    CallPurpose::Election(ElectionStep::ReadBack { lease }),
                );
            }
            (ElectionStep::ReadBack { lease }, 200) => {
                match wire::from_cbor::<KeyValue<LeaderRecord>>(&body) {
                    Ok(e)
                        if e.value.member == self.context.settings.member
                            && e.value.incarnation == self.election.incarnation =>
                    {
                        self.become_leader(e.mod_revision, lease)
                    }
                    _ => self.end_lease(lease),
                }
            }
            (ElectionStep::Claim { lease } | ElectionStep::ReadBack { lease }, _) => {
                self.end_lease(lease)
            }
            _ => {}
        }
    }

    /// The record with which this node claims the lead.
    fn own_leader_record(&self) -> LeaderRecord {
        LeaderRecord {
            member: self.context.settings.member.clone(),
            incarnation: self.election.incarnation,
            partitions: self.context.supports_partitions(),
            allotments: self.context.supports_quota_grants(),
        }
    }

    pub(crate) fn end_lease(&mut self, lease: u64) {
        self.context.end_lease(lease);
        self.election.next_probe = self.context.now.steady + 100 * MILLI;
    }

    pub(crate) fn become_leader(&mut self, token: u64, lease: u64) {
        info!("leader with token {token}");
        self.context.token = self.context.token.max(token);
        self.election.grant = self.election.grant.max(token);
        let record = self.own_leader_record();
        self.election.leader = Some((record, token));
        self.election.peers.clear();
        let mut leader = Box::new(Scheduler::new(
            &self.context,
            Role::Leader,
            FencedLease {
                token,
                lease,
                lease_requested_at: self.election.lease_requested_at,
            },
        ));
        leader.start_loading(&mut self.context);
        self.leader = Some(leader);
    }

    /// Stops acting as the leader. `resign`: gives the lease back and abstains for a while.
    pub(crate) fn step_down(&mut self, why: &str, resign: bool) {
        let Some(leader) = self.leader.take() else {
            return;
        };
        warn!("no longer leader with token {}: {why}", leader.token);
        if !resign {
            self.leave_unproven(&leader);
        }
        for request in leader.waiting_heartbeats() {
            self.context.refuse(request, 503, "not the leader any more");
        }
        self.election.leader = None;
        self.election.busy = false;
        self.election.next_probe = self.context.now.steady + 50 * MILLI;
        if resign {
            self.end_lease(leader.lease);
            self.election.abstain_until = self.context.now.steady + 10 * SECOND;
        }
    }

    /// After a standstill, the first thing is to learn whether this node still leads: its lease may
    /// have run out, and others may have acted since. Check-ins that waited were given up.
    pub(crate) fn suspend_uncertain_leases(&mut self) {
        let now = self.context.now.steady;
        if self.leader.is_none() && self.partitions.holders.is_empty() {
            return;
        }
        for leader in self
            .leader
            .iter_mut()
            .chain(self.partitions.holders.values_mut())
        {
            leader.uncertain = true;
            leader.extend_at = now;
            // Nobody could be heard meanwhile: that is no sign of being cut off from the workers.
            leader.last_heartbeat_at = now;
            for request in leader.waiting_heartbeats() {
                self.context
                    .refuse(request, 503, "it is not certain who leads");
            }
            leader.held_heartbeats.clear();
            leader.long_polls = LongPolls::default();
        }
        self.election.peers.clear();
        self.election.next_probe = now;
    }
}
