//! Messages between the leader and the holders of partitions, as each controller sends and receives them.

use crate::calls::SchedulerCall;
use crate::controller::Controller;
use crate::{Micros, Target, MILLI};
use grebewood_wire as wire;
use grebewood_wire::peer::{PartitionOrders, PartitionReport, PeerRequest};
use log::debug;

impl Controller {
    /// Takes orders for a partition. Only the leader that the state service names may give them.
    pub(crate) fn on_orders(&mut self, orders: PartitionOrders) -> Option<PartitionReport> {
        if !self.election.leader_is(&orders.from, orders.term) {
            debug!("orders of {}, who does not lead", orders.from);
            return None;
        }
        let holder = self.partitions.holders.get_mut(&orders.partition)?;
        holder.carry_out_orders(&mut self.context, orders)
    }
}

impl Controller {
    /// What a peer said of a cancellation is never trusted over state: a job that the state service
    /// still shows as live and not cancelled, in an answer that was asked for since, runs on.
    pub(crate) fn retract_cancellations(&mut self) {
        let read_up_to = self.context.cancellations.read_up_to();
        let (job_view, holders) = (&self.job_view, self.partitions.holders.values_mut());
        for holder in holders {
            let jobs = &holder.jobs;
            holder
                .holder_state
                .cancelled
                .retain(|id, _| jobs.find(id).is_some());
            let learned = holder.holder_state.cancelled.iter();
            let wrong = learned.filter(|(id, at)| {
                **at < read_up_to && job_view.get(id).is_some_and(|job| !job.cancelled)
            });
            let wrong: Vec<String> = wrong.map(|(id, _)| id.clone()).collect();
            for id in wrong {
                holder.holder_state.cancelled.remove(&id);
                holder.retract_cancellation(&mut self.context, &id);
            }
        }
    }
}

/// How long a message to a holder may take.
const ORDERS_TIMEOUT: Micros = 900 * MILLI;

impl Controller {
    /// The leader's part: keeps up with claims, plans, and sends orders to the holders that are due.
    pub(crate) fn run_leader_partitions(&mut self) {
        let now = self.context.now.steady;
        let due = self
            .leader
            .as_ref()
            .is_some_and(|l| now >= l.remote_partitions.plan_at);
        // Members are looked at only for the planner: this runs with every input.
        let members = due.then(|| self.partition_members());
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        if !leader.loaded() || leader.uncertain() {
            return;
        }
        leader.follow_claims(&self.partitions.map);
        if let Some(why) = leader.dissolved() {
            return self.step_down(why, true);
        }
        if let Some(why) = leader.leader_quota.lost {
            return self.step_down(why, false);
        }
        if let Some(members) = members {
            leader.pause_quota_grants(&self.context, members.any_without_quota_grants);
            leader.plan_partitions(&mut self.context, &self.partitions.map, &members);
        }
        for orders in leader.due_orders(&self.context) {
            self.send_orders(orders);
        }
    }

    /// Sends orders to the member that holds the partition, which may be this one.
    fn send_orders(&mut self, orders: PartitionOrders) {
        let (partition, claim) = (orders.partition, orders.claim);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        let holder = leader.holder_of(partition);
        if holder.as_deref() == Some(self.context.settings.member.as_str()) {
            let report = self.on_orders(orders);
            if let Some(leader) = self.leader.as_mut() {
                leader.on_report_of_holder(&mut self.context, partition, claim, report);
            }
            return;
        }
        let siblings = self.context.settings.siblings.iter();
        let place = siblings
            .enumerate()
            .find(|(_, s)| holder.as_deref() == Some(s.member.as_str()));
        let Some((place, _)) = place else {
            return leader.on_report_of_holder(&mut self.context, partition, claim, None);
        };
        let pending = leader.pending(SchedulerCall::Orders { partition, claim });
        let message = wire::to_peer(&PeerRequest::Partition(orders));
        self.context.call(
            Target::Peer(place),
            "POST",
            "/peer".into(),
            message,
            ORDERS_TIMEOUT,
            pending,
        );
    }
}
