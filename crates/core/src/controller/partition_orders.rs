//! Orders of the leader to partition holders: sending them, receiving them, and passing the reports on.

use crate::calls::SchedulerCall;
use crate::controller::candidacy::StepDownMode;
use crate::controller::Controller;
use crate::{Micros, Target, MILLI};
use grebewood_wire as wire;
use grebewood_wire::peer::{PartitionOrders, PartitionReport, PeerRequest};
use log::debug;

/// Timeout of a message with orders.
const ORDERS_TIMEOUT_US: Micros = 900 * MILLI;

impl Controller {
    /// Handles orders for a partition and returns the holder's report. Orders of any other member than the leader
    /// that the leader record names are refused.
    pub(crate) fn on_orders(&mut self, orders: PartitionOrders) -> Option<PartitionReport> {
        if !self.election.is_led_by(&orders.from, orders.term) {
            let (member, token) = (orders.from.as_str(), orders.term);
            debug!(member = member, token = token; "refused partition orders of a member that is not the leader");
            return None;
        }
        let holder = self.partitions.holders.get_mut(&orders.partition)?;
        holder.carry_out_orders(&mut self.context, orders)
    }

    /// Retracts cancellations that holders learned from a peer and that the store refutes: a response that was
    /// requested since then still shows the job as live and not cancelled, so its tasks go on.
    pub(crate) fn retract_cancellations(&mut self) {
        let known_from_store_until = self.context.cancellations.known_from_store_until();
        for holder in self.partitions.holders.values_mut() {
            let jobs = &holder.jobs;
            let cancelled = &mut holder.holder_state.cancelled;
            cancelled.retain(|job, _| jobs.find(job).is_some());
            let refuted = cancelled.iter().filter(|(job, learned_at)| {
                let live = self.job_view.get(job);
                **learned_at < known_from_store_until && live.is_some_and(|live| !live.cancelled)
            });
            let refuted: Vec<String> = refuted.map(|(job, _)| job.clone()).collect();
            for job in refuted {
                holder.holder_state.cancelled.remove(&job);
                holder.retract_cancellation(&mut self.context, &job);
            }
        }
    }

    /// Runs the leader's work for partitions: follows their claims, plans assignments, and sends the orders that
    /// are due. Steps down once all partitions are removed from the store, or when a holder does not tell which tasks
    /// were placed before its claim on the partition.
    pub(crate) fn run_leader_partitions(&mut self) {
        let now = self.context.now.steady;
        let planning_due = self
            .leader
            .as_ref()
            .is_some_and(|leader| now >= leader.remote_partitions.next_planning_at);
        // Only the planner needs the members; this function runs with every input.
        let members = planning_due.then(|| self.partition_members());
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.is_loaded() || leader.is_lease_uncertain() {
            return;
        }
        leader.apply_claim_changes(&self.partitions.map);
        if let Some(reason) = leader.finished_removal_reason() {
            return self.step_down(reason, StepDownMode::Resign);
        }
        if let Some(reason) = leader.leader_quota.placements_unknown_reason {
            return self.step_down(reason, StepDownMode::LeaseLost);
        }
        if let Some(members) = members {
            leader.set_quota_grants_paused(&self.context, members.any_without_quota_grants);
            leader.plan_partitions(&mut self.context, &self.partitions.map, &members);
        }
        for orders in leader.take_due_orders(&self.context) {
            self.send_orders(orders);
        }
    }

    /// Sends orders to the member that holds the partition, which may be this controller itself.
    fn send_orders(&mut self, orders: PartitionOrders) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let (partition, claim) = (orders.partition, orders.claim);
        let holder = leader.holder_of(partition);
        let holder = holder.as_deref();
        if holder == Some(self.context.settings.member.as_str()) {
            let report = self.on_orders(orders);
            if let Some(leader) = self.leader.as_mut() {
                leader.on_partition_report(&mut self.context, partition, claim, report);
            }
            return;
        }
        let mut siblings = self.context.settings.siblings.iter();
        let peer = siblings.position(|sibling| holder == Some(sibling.member.as_str()));
        let Some(peer) = peer else {
            return leader.on_partition_report(&mut self.context, partition, claim, None);
        };
        let purpose = leader.call_purpose(SchedulerCall::Orders { partition, claim });
        let message = wire::to_peer(&PeerRequest::Partition(orders));
        self.context.call(
            Target::Peer(peer),
            "POST",
            "/peer".into(),
            message,
            ORDERS_TIMEOUT_US,
            purpose,
        );
    }
}
