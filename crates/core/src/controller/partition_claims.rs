//! Claims partitions for this controller and releases them. A claim is a record that the partition holder puts under a
//! lease; its mod_revision is the fencing token of the holder.

use crate::calls::{status_and_body, CallPurpose, ClaimStep};
use crate::context::Role;
use crate::controller::peer_contact::{LeaseLoss, STORE_CONTACT_TIMEOUT_US};
use crate::controller::Controller;
use crate::scheduler::fenced_lease::FencedLeaseLost;
use crate::scheduler::{FencedLease, Scheduler};
use crate::transactions::{absent, at_revision};
use crate::{Micros, Outcome, Stopwatch, MILLI, SECOND};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{
    to_value, Lease, LeaseRequest, Operation, Redirect, Transaction, TransactionApplied,
};
use grebewood_wire::records::{claim_key, partition_key, PartitionClaim, LEADER_KEY};
use log::{info, warn};
use thiserror::Error;

/// Delay after a failed attempt to claim a partition until the next attempt.
const CLAIM_RETRY_INTERVAL_US: Micros = 50 * MILLI;

/// Time for which a controller that released a partition because no agent reaches it claims no partition.
const CLAIM_PAUSE_WHEN_ISOLATED_US: Micros = 10 * SECOND;

/// Why this controller releases a partition.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum ReleaseReason {
    /// The leader runs without partitions.
    #[error("the leader does not support partitions")]
    LeaderWithoutPartitions,
    /// No agent of the partition reaches this controller.
    #[error("no agent reaches this controller")]
    IsolatedFromAgents,
    /// The partition is no longer in the partition map.
    #[error("the partition is no longer in the partition map")]
    Removed,
    /// The leader has assigned the partition to another member.
    #[error("the partition is assigned to another member")]
    Reassigned,
    /// The partition map has a claim on the partition with a higher fencing token than this holder's.
    #[error("another member has claimed the partition")]
    ClaimedByOther,
    /// This controller may not act under the lease of its claim any longer.
    #[error(transparent)]
    LeaseLost(#[from] LeaseLoss),
    /// The lease of the claim has expired, or the claim is gone.
    #[error(transparent)]
    FencedLeaseLost(#[from] FencedLeaseLost),
}

impl Controller {
    /// Reads the partition map, releases and claims partitions accordingly, and runs the schedulers of the
    /// partitions that this controller holds, then the leader's work for partitions.
    pub(crate) fn run_partitions(&mut self, watch: &mut dyn Stopwatch) {
        if !self.context.supports_partitions() {
            return;
        }
        self.read_partition_map();
        self.release_partitions();
        self.claim_partitions();
        self.retract_cancellations();
        for holder in self.partitions.holders.values_mut() {
            holder.run(&mut self.context, watch);
        }
        self.run_leader_partitions();
    }

    /// Starts to claim the partitions that are assigned to this controller and have no claim.
    pub(crate) fn claim_partitions(&mut self) {
        let now = self.context.now.steady;
        if now < self.partitions.claim_at
            || !self.partitions.reader.has_read_map()
            || self.election.leader_token_for_partitions().is_none()
        {
            return;
        }
        for partition in self.unclaimed_partitions() {
            self.partitions.claiming.insert(partition, now);
            let request = LeaseRequest {
                ttl_ms: self.context.tuning.leader_lease_us / MILLI,
            };
            let step = ClaimStep::Lease;
            let purpose = CallPurpose::PartitionClaim { partition, step };
            self.context.post_to_store("/leases", &request, purpose);
        }
    }

    /// Returns the partitions that are assigned to this controller, have no claim, and are not being claimed.
    fn unclaimed_partitions(&self) -> Vec<PartitionId> {
        let own_name = &self.context.settings.member;
        let unclaimed = self.partitions.map.iter().filter(|(id, partition)| {
            partition.claim.is_none()
                && partition.record.holder == *own_name
                && !self.partitions.holders.contains_key(id)
                && !self.partitions.claiming.contains_key(id)
        });
        unclaimed.map(|(id, _)| id).collect()
    }

    /// Handles the reply to a request by which this controller claims a partition.
    pub(crate) fn on_claim_reply(&mut self, id: PartitionId, step: ClaimStep, outcome: Outcome) {
        let (status, body) = status_and_body(outcome);
        match (step, status) {
            (ClaimStep::Lease, 200) => match wire::from_cbor::<Lease>(&body) {
                Ok(lease) => self.write_claim(id, lease.id),
                Err(_) => self.on_claim_failed(id, None),
            },
            (ClaimStep::Claim { lease }, 200) => match wire::from_cbor::<TransactionApplied>(&body)
            {
                Ok(applied) => self.become_holder(id, lease, applied.revision),
                Err(_) => self.read_claim_back(id, lease),
            },
            // The store may have put the partition's claim record or not: the record that is read back shows it.
            (ClaimStep::Claim { lease }, 0) => self.read_claim_back(id, lease),
            (ClaimStep::ReadBack { lease }, 200) => self.on_claim_read_back(id, lease, &body),
            (ClaimStep::Lease, _) => self.on_claim_failed(id, None),
            (ClaimStep::Claim { lease } | ClaimStep::ReadBack { lease }, _) => {
                self.on_claim_failed(id, Some(lease));
            }
        }
    }

    /// Writes the partition's claim record on the conditions that the partition is still assigned to this
    /// controller and that the leader record is still the known one. So no claim is made under a leader that does
    /// not support partitions, and the fencing token of the next leader is higher than that of every earlier claim.
    fn write_claim(&mut self, id: PartitionId, lease: u64) {
        let own_name = &self.context.settings.member;
        let partition = self.partitions.map.get(id);
        let assigned = partition.filter(|partition| partition.record.holder == *own_name);
        let (Some(partition), Some(leader_token)) =
            (assigned, self.election.leader_token_for_partitions())
        else {
            return self.on_claim_failed(id, Some(lease));
        };
        let key = claim_key(id);
        let claim = PartitionClaim {
            member: own_name.clone(),
            incarnation: self.election.incarnation(),
            claimed_us: self.context.now.wall,
        };
        let transaction = Transaction {
            when: vec![
                absent(&key),
                at_revision(&partition_key(id), partition.mod_revision),
                at_revision(LEADER_KEY, leader_token),
            ],
            apply: vec![Operation::Put {
                put: key,
                value: to_value(&claim),
                lease: Some(lease),
            }],
        };
        let purpose = CallPurpose::PartitionClaim {
            partition: id,
            step: ClaimStep::Claim { lease },
        };
        self.context.post_to_store("/txn", &transaction, purpose);
    }

    fn read_claim_back(&mut self, id: PartitionId, lease: u64) {
        info!(
            member = self.context.settings.member.as_str(), partition = id, lease = lease;
            "outcome of a claim is unknown; reading the partition's claim record back"
        );
        let purpose = CallPurpose::PartitionClaim {
            partition: id,
            step: ClaimStep::ReadBack { lease },
        };
        self.context.read_key(&claim_key(id), purpose);
    }

    fn on_claim_read_back(&mut self, id: PartitionId, lease: u64, body: &[u8]) {
        match self.confirm_claim::<PartitionClaim>(lease, body) {
            Some(token) => self.become_holder(id, lease, token),
            None => self.on_claim_failed(id, Some(lease)),
        }
    }

    fn on_claim_failed(&mut self, id: PartitionId, lease: Option<u64>) {
        self.partitions.claiming.remove(&id);
        self.partitions.claim_at = self.context.now.steady + CLAIM_RETRY_INTERVAL_US;
        if let Some(lease) = lease {
            self.context.end_lease(lease);
        }
    }

    /// Starts a scheduler for the partition after the store applied this controller's claim on it, whose
    /// mod_revision is the fencing token.
    fn become_holder(&mut self, id: PartitionId, lease: u64, token: u64) {
        let Some(lease_requested_at) = self.partitions.claiming.remove(&id) else {
            return self.context.end_lease(lease);
        };
        let member = self.context.settings.member.as_str();
        info!(member = member, partition = id, token = token, lease = lease; "became holder of a partition");
        self.context.token = self.context.token.max(token);
        let fenced_lease = FencedLease {
            token,
            lease,
            lease_requested_at,
        };
        let role = Role::Holder(id);
        let mut holder = Box::new(Scheduler::new(&self.context, role, fenced_lease));
        holder.start_loading(&mut self.context);
        self.partitions.holders.insert(id, holder);
    }

    /// Releases the partitions that this controller may not hold any more.
    pub(crate) fn release_partitions(&mut self) {
        let holders = self.partitions.holders.iter();
        let to_release: Vec<(PartitionId, ReleaseReason)> = holders
            .filter_map(|(id, holder)| Some((*id, self.reason_to_release(*id, holder)?)))
            .collect();
        for (id, reason) in to_release {
            self.release_partition(id, &reason);
        }
    }

    fn reason_to_release(&self, id: PartitionId, holder: &Scheduler) -> Option<ReleaseReason> {
        if !self.election.leader_supports_partitions() {
            return Some(ReleaseReason::LeaderWithoutPartitions);
        }
        if self.context.has_store_contact(STORE_CONTACT_TIMEOUT_US)
            && holder.is_isolated_from_agents(&self.context)
        {
            return Some(ReleaseReason::IsolatedFromAgents);
        }
        self.reason_in_partition_map(id, holder)
            .or_else(|| self.lease_loss(holder).map(ReleaseReason::from))
    }

    /// Returns why the partition map does not allow this controller to hold the partition any more. While the
    /// map is being listed again it is incomplete, and gives no reason.
    fn reason_in_partition_map(
        &self,
        id: PartitionId,
        holder: &Scheduler,
    ) -> Option<ReleaseReason> {
        if !self.partitions.reader.has_read_map() {
            return None;
        }
        let Some(partition) = self.partitions.map.get(id) else {
            return Some(ReleaseReason::Removed);
        };
        if partition.record.holder != self.context.settings.member {
            return Some(ReleaseReason::Reassigned);
        }
        let claim = partition.claim.as_ref()?;
        (claim.token > holder.token).then_some(ReleaseReason::ClaimedByOther)
    }

    /// Releases a partition. The tasks on its machines keep running, and the next holder learns of them.
    /// Heartbeats that wait for a response are redirected to the next holder.
    pub(crate) fn release_partition(&mut self, id: PartitionId, reason: &ReleaseReason) {
        let Some(holder) = self.partitions.holders.remove(&id) else {
            return;
        };
        warn!(
            member = self.context.settings.member.as_str(),
            partition = id,
            token = holder.token,
            reason:% = reason;
            "released a partition"
        );
        self.keep_unproven_machines(&holder);
        let next_holder = self.other_holder_of(id);
        for request in holder.waiting_heartbeats() {
            let controller = next_holder.clone();
            self.context.answer(request, 421, &Redirect { controller });
        }
        self.context.end_lease(holder.lease());
        if *reason == ReleaseReason::IsolatedFromAgents {
            self.partitions.claim_at = self.context.now.steady + CLAIM_PAUSE_WHEN_ISOLATED_US;
        }
    }

    /// Returns the other member that the partition is assigned to; `None` if the partition is assigned to this
    /// controller or is not in the partition map.
    pub(crate) fn other_holder_of(&self, id: PartitionId) -> Option<String> {
        let holder = &self.partitions.map.get(id)?.record.holder;
        (*holder != self.context.settings.member).then(|| holder.clone())
    }
}
