//! The controller's copy of the partition map, its claims on partitions, and giving them back.

use crate::calls::{CallPurpose, ClaimStep, MapCall};
use crate::context::{Role, STORE_TIMEOUT};
use crate::controller::partitions::Partitions;
use crate::controller::Controller;
use crate::scheduler::{FencedLease, Scheduler};
use crate::transactions::absent;
use crate::{Micros, Outcome, Stopwatch, Target, MILLI, SECOND};
use grebewood_partition::{Claim, PartitionId};
use grebewood_wire as wire;
use grebewood_wire::http::{
    to_value, Condition, KeyValue, KeyValueList, Lease, LeaseRequest, Operation, Redirect,
    Transaction, TransactionApplied, WatchResponse,
};
use grebewood_wire::records::{claim_key, partition_key, PartitionClaim, LEADER, PARTITION};
use grebewood_wire::Value;
use log::{error, info, warn};

/// How long a watch of the map stays open.
const WATCH: Micros = 10 * SECOND;

/// Between two attempts to read the map.
const AGAIN: Micros = 300 * MILLI;

/// Between an attempt to claim a partition that failed and the next one.
const CLAIM_AGAIN: Micros = 50 * MILLI;

/// How long a node that no worker reached claims nothing.
const ABSTAIN: Micros = 10 * SECOND;

impl Controller {
    /// Reads the map, claims what is assigned to this node, gives back what is not, and lets the
    /// holders and the leader do their part.
    pub(crate) fn run_partitions(&mut self, watch: &mut dyn Stopwatch) {
        if !self.context.supports_partitions() {
            return;
        }
        self.read_partition_map();
        self.leave_partitions();
        self.claim_partitions();
        self.retract_cancellations();
        for holder in self.partitions.holders.values_mut() {
            holder.run(&mut self.context, watch);
        }
        self.run_leader_partitions();
    }

    fn read_partition_map(&mut self) {
        let now = self.context.now.steady;
        let reader = &mut self.partitions.reader;
        if reader.busy || now < reader.next_at {
            return;
        }
        reader.busy = true;
        let (call, path, timeout) = match (reader.since, &reader.listing) {
            (Some(since), _) => {
                let block_ms = WATCH / MILLI;
                let path = format!("/changes?prefix={PARTITION}&since={since}&block_ms={block_ms}");
                (MapCall::WatchResponse, path, WATCH + 3 * SECOND)
            }
            (None, listing) => {
                let after = listing.as_ref().map(|(_, key)| format!("&since={key}"));
                let after = after.unwrap_or_default();
                let path = format!("/kv?prefix={PARTITION}{after}&page=200");
                (MapCall::List, path, STORE_TIMEOUT)
            }
        };
        let pending = CallPurpose::PartitionMap(call);
        let nothing = Vec::new();
        self.context
            .call(Target::Store, "GET", path, nothing, timeout, pending);
    }

    pub(crate) fn on_partition_map(&mut self, call: MapCall, outcome: Outcome) {
        let now = self.context.now.steady;
        let reader = &mut self.partitions.reader;
        reader.busy = false;
        reader.next_at = now + AGAIN;
        let body = match (outcome, call) {
            (Outcome::Answer { status: 200, body }, _) => body,
            (Outcome::Answer { status: 410, .. } | Outcome::TooLarge, MapCall::WatchResponse) => {
                reader.since = None;
                return;
            }
            _ => return,
        };
        match call {
            MapCall::List => self.take_map_page(&body),
            MapCall::WatchResponse => self.take_map_changes(&body),
        }
    }

    fn take_map_page(&mut self, body: &[u8]) {
        let list = match wire::from_cbor::<KeyValueList>(body) {
            Ok(list) => list,
            Err(e) => return warn!("partition map: {e}"),
        };
        let now = self.context.now.steady;
        let Partitions { map, reader, .. } = &mut self.partitions;
        reader.next_at = now;
        let first = reader.listing.take();
        if first.is_none() {
            map.clear();
        }
        let as_of = first.map_or(list.revision, |(revision, _)| revision);
        let last = list.entries.last().map(|entry| entry.key.clone());
        for entry in &list.entries {
            put_in_map(map, &entry.key, &entry.value, entry.mod_revision);
        }
        match last.filter(|_| list.more) {
            Some(key) => reader.listing = Some((as_of, key)),
            None => reader.since = Some(as_of),
        }
    }

    fn take_map_changes(&mut self, body: &[u8]) {
        let changes = match wire::from_cbor::<WatchResponse>(body) {
            Ok(changes) => changes,
            Err(e) => return warn!("partition map: {e}"),
        };
        let now = self.context.now.steady;
        let Partitions { map, reader, .. } = &mut self.partitions;
        reader.next_at = now + 20 * MILLI;
        reader.since = reader.since.max(Some(changes.revision));
        for event in changes.events {
            if let (Some(key), Some(value)) = (&event.put, &event.value) {
                put_in_map(map, key, value, event.mod_revision);
            }
            if let Some(key) = &event.delete {
                map.delete(key, event.mod_revision);
            }
        }
    }

    /// Claims the partitions that are assigned to this node and have no claim.
    fn claim_partitions(&mut self) {
        let now = self.context.now.steady;
        let up_to_date = self.partitions.reader.since.is_some();
        if now < self.partitions.claim_at || !up_to_date || self.election.partition_term().is_none()
        {
            return;
        }
        let me = &self.context.settings.member;
        let unclaimed = self.partitions.map.iter().filter(|(id, partition)| {
            partition.claim.is_none()
                && partition.record.holder == *me
                && !self.partitions.holders.contains_key(id)
                && !self.partitions.claiming.contains_key(id)
        });
        let unclaimed: Vec<PartitionId> = unclaimed.map(|(id, _)| id).collect();
        for id in unclaimed {
            self.partitions.claiming.insert(id, now);
            let request = LeaseRequest {
                ttl_ms: self.context.tuning.leader_lease_us / MILLI,
            };
            let pending = CallPurpose::PartitionClaim {
                partition: id,
                step: ClaimStep::Lease,
            };
            self.context.post_to_store("/leases", &request, pending);
        }
    }

    pub(crate) fn on_claim(&mut self, id: PartitionId, step: ClaimStep, outcome: Outcome) {
        let (status, body) = match outcome {
            Outcome::Answer { status, body } => (status, body),
            _ => (0, Vec::new()),
        };
        match (step, status) {
            (ClaimStep::Lease, 200) => match wire::from_cbor::<Lease>(&body) {
                Ok(lease) => self.write_claim(id, lease.id),
                Err(_) => self.claim_failed(id, None),
            },
            (ClaimStep::Claim { lease }, 200) => match wire::from_cbor::<TransactionApplied>(&body)
            {
                Ok(applied) => self.claimed(id, lease, applied.revision),
                Err(_) => self.read_claim_back(id, lease),
            },
            // Carried out or not: the record tells.
            (ClaimStep::Claim { lease }, 0) => self.read_claim_back(id, lease),
            (ClaimStep::ReadBack { lease }, 200) => self.on_claim_read(id, lease, &body),
            (ClaimStep::Lease, _) => self.claim_failed(id, None),
            (ClaimStep::Claim { lease } | ClaimStep::ReadBack { lease }, _) => {
                self.claim_failed(id, Some(lease));
            }
        }
    }

    /// Writes the claim, if the partition is still assigned to this node and the leader is the one
    /// that is known here: so no claim is made under a leader that does not understand partitions, and
    /// the token of the next leader is higher than that of every claim before it.
    fn write_claim(&mut self, id: PartitionId, lease: u64) {
        let partition = self.partitions.map.get(id);
        let mine = partition.filter(|p| p.record.holder == self.context.settings.member);
        let (Some(partition), Some(term)) = (mine, self.election.partition_term()) else {
            return self.claim_failed(id, Some(lease));
        };
        let mod_revision = |key: &str, mod_revision: u64| Condition {
            key: key.to_string(),
            mod_revision,
        };
        let key = claim_key(id);
        let claim = PartitionClaim {
            member: self.context.settings.member.clone(),
            incarnation: self.election.incarnation(),
            claimed_us: self.context.now.wall,
        };
        let transaction = Transaction {
            when: vec![
                absent(&key),
                mod_revision(&partition_key(id), partition.mod_revision),
                mod_revision(LEADER, term),
            ],
            apply: vec![Operation::Put {
                put: key,
                value: to_value(&claim),
                lease: Some(lease),
            }],
        };
        let pending = CallPurpose::PartitionClaim {
            partition: id,
            step: ClaimStep::Claim { lease },
        };
        self.context.post_to_store("/txn", &transaction, pending);
    }

    fn read_claim_back(&mut self, id: PartitionId, lease: u64) {
        let pending = CallPurpose::PartitionClaim {
            partition: id,
            step: ClaimStep::ReadBack { lease },
        };
        self.context.read_key(&claim_key(id), pending);
    }

    fn on_claim_read(&mut self, id: PartitionId, lease: u64, body: &[u8]) {
        let entry = wire::from_cbor::<KeyValue<PartitionClaim>>(body).ok();
        let own = entry.filter(|entry| {
            entry.value.member == self.context.settings.member
                && entry.value.incarnation == self.election.incarnation()
        });
        match own {
            Some(entry) => self.claimed(id, lease, entry.mod_revision),
            None => self.claim_failed(id, Some(lease)),
        }
    }

    fn claim_failed(&mut self, id: PartitionId, lease: Option<u64>) {
        self.partitions.claiming.remove(&id);
        self.partitions.claim_at = self.context.now.steady + CLAIM_AGAIN;
        if let Some(lease) = lease {
            self.context.end_lease(lease);
        }
    }

    /// This node holds the partition.
    fn claimed(&mut self, id: PartitionId, lease: u64, token: u64) {
        let Some(lease_requested_at) = self.partitions.claiming.remove(&id) else {
            return self.context.end_lease(lease);
        };
        info!("holder of partition {id} with token {token}");
        self.context.token = self.context.token.max(token);
        let grant = FencedLease {
            token,
            lease,
            lease_requested_at,
        };
        let mut holder = Box::new(Scheduler::new(&self.context, Role::Holder(id), grant));
        holder.start_loading(&mut self.context);
        self.partitions.holders.insert(id, holder);
    }

    /// Gives back what this node may not hold any more.
    fn leave_partitions(&mut self) {
        let mut leaving: Vec<(PartitionId, &'static str)> = Vec::new();
        for (id, holder) in &self.partitions.holders {
            if let Some(why) = self.reason_to_leave(*id, holder) {
                leaving.push((*id, why));
            }
        }
        for (id, why) in leaving {
            self.leave_partition(id, why);
        }
    }

    fn reason_to_leave(&self, id: PartitionId, holder: &Scheduler) -> Option<&'static str> {
        if !self.election.leader_knows_partitions() {
            return Some("the leader does not understand partitions");
        }
        if self.context.in_contact(2 * SECOND) && holder.cut_from_agents(&self.context) {
            return Some(CUT_OFF);
        }
        // While the map is listed anew it says nothing.
        if self.partitions.reader.since.is_some() {
            let later = |claim: &Claim| claim.token > holder.token;
            match self.partitions.map.get(id) {
                None => return Some("there is no such partition any more"),
                Some(p) if p.record.holder != self.context.settings.member => {
                    return Some("it is assigned to another member");
                }
                Some(p) if p.claim.as_ref().is_some_and(later) => {
                    return Some("another member has claimed it");
                }
                Some(_) => {}
            }
        }
        self.lease_lost_reason(holder)
    }

    /// Gives a partition back. Its machines' tasks go on; the next holder learns of them. What waits
    /// for an answer is led to it.
    pub(crate) fn leave_partition(&mut self, id: PartitionId, why: &str) {
        let Some(holder) = self.partitions.holders.remove(&id) else {
            return;
        };
        warn!("no longer holder of partition {id}: {why}");
        self.leave_unproven(&holder);
        let next = self.holder_to_report_to(id);
        for request in holder.waiting_heartbeats() {
            let leader = next.clone();
            self.context.answer(request, 421, &Redirect { leader });
        }
        self.context.end_lease(holder.lease());
        if why == CUT_OFF {
            self.partitions.claim_at = self.context.now.steady + ABSTAIN;
        }
    }

    /// The member that a worker of this partition is sent to; `None` if that is this node.
    pub(crate) fn holder_to_report_to(&self, id: PartitionId) -> Option<String> {
        let holder = self.partitions.map.get(id).map(|p| &p.record.holder);
        holder
            .filter(|name| **name != self.context.settings.member)
            .cloned()
    }
}

const CUT_OFF: &str = "no worker reaches this node";

fn put_in_map(
    map: &mut grebewood_partition::PartitionMap,
    key: &str,
    value: &Value,
    mod_revision: u64,
) {
    if let Err(why) = map.put(key, value, mod_revision) {
        error!("record {key}: {why}; set aside");
    }
}
