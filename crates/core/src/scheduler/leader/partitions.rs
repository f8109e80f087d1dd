//! Partitions as the leader manages them: which exist, who is to hold them, and orders to the holders.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::election::MemberView;
use crate::state::machine::placed_task;
use crate::state::machine::ExitedAttempt;
use crate::state::remote_partitions::RemotePartition;
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_partition::{
    Assignment as PartitionAssignment, Load, PartitionId, PartitionMap, PlannerInput,
    PlannerSettings,
};
use grebewood_wire::peer::{PartitionOrders, PlacedTask, TaskAttempt, TaskStop};
use grebewood_wire::records::{
    pages_of_partition, partition_of_page, quota_grant_key, PartitionRecord,
};
use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Most launches, stops and acknowledgements in one message.
const MOST_ORDERS: usize = 500;

/// Between two rounds of the planner.
const PLAN_INTERVAL: Micros = 300 * MILLI;

/// After a change of leader nothing is moved for so long.
const SETTLING: Micros = 20 * SECOND;

/// A holder that was given tasks and has not answered for so long loses its partition.
const OUT_OF_TOUCH: Micros = 5 * SECOND;

/// A stop is repeated after this time.
const STOP_AGAIN: Micros = SECOND;

impl Scheduler {
    /// Takes over the partitions on record, as a new leader.
    pub(crate) fn load_partitions(&mut self, context: &Context, map: &PartitionMap) {
        for (id, partition) in map.iter() {
            let mut remote_partitions = RemotePartition::new(partition.record.clone());
            let claim = partition.claim.as_ref();
            remote_partitions.claim = claim.map(|c| (c.member.clone(), c.token));
            self.remote_partitions.by_id.insert(id, remote_partitions);
        }
        if map.unreadable().next().is_some() {
            self.dissolve_partitions(context, "a partition's record cannot be read", map.keys());
        }
    }

    /// Gives all partitions up. Their machines may have seen tokens that are higher than this leader's,
    /// so the next one looks after them.
    fn dissolve_partitions(&mut self, context: &Context, why: &'static str, keys: Vec<String>) {
        if self.remote_partitions.dissolving.is_none() {
            warn!("partitions are given up: {why}");
            self.remote_partitions.dissolving = Some(why);
        }
        let allotments = self
            .remote_partitions
            .by_id
            .keys()
            .map(|id| quota_grant_key(*id));
        let allotments = allotments.filter(|key| self.write_buffer.mod_revisions.contains_key(key));
        let allotments: Vec<String> = allotments.collect();
        for key in keys.into_iter().chain(allotments) {
            let id = RecordId::Deleted(key.clone());
            self.write_buffer.mark_dirty(id, context.now.steady);
            self.remote_partitions.deleted.insert(key);
        }
    }

    /// Why this leader has to make room for the next one, once the partitions are off the record.
    pub(crate) fn dissolved(&self) -> Option<&'static str> {
        let why = self.remote_partitions.dissolving?;
        let mut left = self.remote_partitions.deleted.iter();
        let dirty = |key: &String| self.write_buffer.is_dirty(&RecordId::Deleted(key.clone()));
        (!left.any(dirty)).then_some(why)
    }

    /// Takes in who has claimed what.
    pub(crate) fn follow_claims(&mut self, map: &PartitionMap) {
        for (id, remote_partitions) in &mut self.remote_partitions.by_id {
            let Some(partition) = map.get(*id) else {
                continue;
            };
            let claim = partition.claim.as_ref();
            // The map may be older than what this leader read itself.
            let known = remote_partitions.claim.as_ref().map(|(_, token)| *token);
            let news = match claim {
                Some(claim) => known.is_none_or(|known| claim.token > known),
                None => known.is_some(),
            };
            if !news {
                continue;
            }
            remote_partitions.claim_changed(claim.map(|c| (c.member.clone(), c.token)));
            let machines = self.machines.values_mut();
            for machine in machines.filter(|m| m.partition == Some(*id)) {
                // Until its holder says so nothing can be launched there.
                machine.receives_responses = false;
            }
        }
    }

    /// Who holds the partition.
    pub(crate) fn holder_of(&self, id: PartitionId) -> Option<String> {
        let claim = self.remote_partitions.by_id.get(&id)?.claim.as_ref()?;
        Some(claim.0.clone())
    }

    /// Lets the planner make, reassign and move partitions.
    pub(crate) fn plan_partitions(
        &mut self,
        context: &mut Context,
        map: &PartitionMap,
        job_view: &MemberView,
    ) {
        let now = context.now.steady;
        if self.remote_partitions.dissolving.is_some() {
            return;
        }
        self.remote_partitions.plan_at = now + PLAN_INTERVAL;
        if job_view.any_without && !self.remote_partitions.by_id.is_empty() {
            return self.dissolve_partitions(
                context,
                "a member does not understand them",
                map.keys(),
            );
        }
        let zones: BTreeSet<String> = context
            .catalogue
            .iter()
            .flatten()
            .flat_map(|t| t.zones.iter().cloned())
            .collect();
        let loads = self
            .remote_partitions
            .by_id
            .iter()
            .map(|(id, r)| (*id, r.load));
        let loads: BTreeMap<PartitionId, Load> = loads.collect();
        let synced = self.remote_partitions.by_id.values().all(|r| r.synced);
        let settled = now.saturating_sub(self.loaded_at) > SETTLING;
        let known = map.iter().count() == self.remote_partitions.by_id.len();
        let input = PlannerInput {
            map,
            zones: &zones,
            members: &job_view.members,
            loads: &loads,
            holder_unreachable: &self.out_of_touch(context),
            next_id: self.next_partition_id(),
            may_create: known && job_view.all_answer && !job_view.any_without,
            stable: settled && synced && !self.store_is_slow(),
            now,
            wall_time: context.now.wall,
        };
        let settings = PlannerSettings {
            partitions_per_zone: context.tuning.partitions_per_zone as u16,
            move_interval: context.tuning.partition_move_interval_us,
            hysteresis: context.tuning.partition_hysteresis,
            paused: context.tuning.partition_moves_paused != 0,
        };
        let assignments = self.remote_partitions.planner.round(&settings, &input);
        for PartitionAssignment { id, record } in assignments {
            self.assign_partition(context, id, record);
        }
    }

    /// Partitions whose holder was given tasks and has not answered for a while.
    fn out_of_touch(&self, context: &Context) -> BTreeSet<PartitionId> {
        let now = context.now.steady;
        let waiting = |id: &PartitionId| self.leader_quota.delegations.has(*id);
        let partitions = self
            .remote_partitions
            .by_id
            .iter()
            .filter(|(id, _)| waiting(id));
        let silent = partitions.filter(|(_, remote_partitions)| {
            let since = remote_partitions.answered_at.max(self.loaded_at);
            now.saturating_sub(since) > OUT_OF_TOUCH
        });
        silent.map(|(id, _)| *id).collect()
    }

    /// The number of the next new partition: pages that holders of earlier ones left must not be those
    /// of a new one's holder.
    fn next_partition_id(&self) -> PartitionId {
        let left = |id: &PartitionId| {
            let Some(pages) = pages_of_partition(*id) else {
                return false;
            };
            self.pages.any_in(pages.clone()) || self.write_buffer.is_any_page_dirty(pages)
        };
        let with_pages = self.pages.numbers().filter_map(partition_of_page);
        let left = with_pages.filter(left).max();
        let known = self.remote_partitions.by_id.keys().max().copied();
        left.max(known).unwrap_or(0) + 1
    }

    /// Writes that a partition is to be held by a member. Its machines are its holder's from now on:
    /// the record may be applied from the moment at which it is sent, and then the holder renews their
    /// leases.
    fn assign_partition(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        record: PartitionRecord,
    ) {
        info!("partition {id}: to {}, {}", record.holder, record.reason);
        match self.remote_partitions.by_id.get_mut(&id) {
            Some(remote_partitions) => remote_partitions.record = record,
            None => {
                self.remote_partitions
                    .by_id
                    .insert(id, RemotePartition::new(record));
                self.hand_machines_over(context, id);
            }
        }
        self.write_buffer
            .mark_dirty(RecordId::Partition(id), context.now.steady);
    }

    /// The leader's own machines of a new partition become its holder's.
    fn hand_machines_over(&mut self, context: &mut Context, id: PartitionId) {
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let partition = self
                .remote_partitions
                .partition_of(&machine.zone, &machine.name);
            if machine.partition.is_none() && partition == Some(id) {
                machine.partition = Some(id);
                machine.receives_responses = false;
                machine.exited_attempts.clear();
                names.push(machine.name.clone());
            }
        }
        for name in names {
            self.refuse_held_heartbeats(context, &name, "the machine is in a partition now");
        }
    }

    /// The messages that are due.
    pub(crate) fn due_orders(&mut self, context: &Context) -> Vec<PartitionOrders> {
        let now = context.now.steady;
        let due = self
            .remote_partitions
            .by_id
            .iter()
            .filter(|(_, remote_partitions)| {
                remote_partitions.claim.is_some()
                    && !remote_partitions.busy
                    && now >= remote_partitions.next_poll
            });
        let due: Vec<PartitionId> = due.map(|(id, _)| *id).collect();
        due.into_iter()
            .filter_map(|id| self.orders(context, id))
            .collect()
    }

    fn orders(&mut self, context: &Context, id: PartitionId) -> Option<PartitionOrders> {
        let now = context.now.steady;
        let sequence = self.remote_partitions.sequence + 1;
        let remote_partitions = self.remote_partitions.by_id.get_mut(&id)?;
        let (_, claim) = remote_partitions.claim.clone()?;
        remote_partitions.busy = true;
        remote_partitions.next_poll = now + context.tuning.partition_poll_us;
        let (synced, seen) = (remote_partitions.synced, remote_partitions.seen);
        let terminated = std::mem::take(&mut remote_partitions.terminated);
        self.remote_partitions.sequence = sequence;
        let mut orders = PartitionOrders {
            from: context.settings.member.clone(),
            term: self.token,
            sequence,
            partition: id,
            claim,
            acknowledged: self.settled_attempts(id),
            terminated,
            seen,
            ..PartitionOrders::default()
        };
        match synced {
            true => self.add_launches_and_stops(context, &mut orders),
            false => {
                orders.sync = Some(self.handed_over(id));
                // Its pages may list what was on machines that are gone.
                orders.terminated = self.fleet.gone_within(now, Micros::MAX);
            }
        }
        orders.quota = self.quota_orders(context, id, synced).map(Box::new);
        if let Some(remote_partitions) = self.remote_partitions.by_id.get_mut(&id) {
            let reserved = orders.quota.iter().flat_map(|quota| &quota.reserved);
            remote_partitions.reserving = reserved.cloned().collect();
        }
        Some(orders)
    }

    /// All tasks that may be on the partition's machines.
    fn handed_over(&self, id: PartitionId) -> Vec<PlacedTask> {
        let machines = self.machines.values().filter(|m| m.partition == Some(id));
        let tasks = machines.flat_map(|m| {
            let may_exist = m.assignments.iter().filter(|a| a.may_exist());
            may_exist.map(|a| placed_task(&m.name, a))
        });
        tasks.collect()
    }

    fn add_launches_and_stops(&mut self, context: &Context, orders: &mut PartitionOrders) {
        let now = context.now.steady;
        let (write_buffer, jobs) = (&self.write_buffer, &self.jobs);
        let machines = self.machines.values_mut();
        for m in machines.filter(|m| m.partition == Some(orders.partition)) {
            let (name, revoked, incarnation) = (&m.name, m.reclaim_at.is_some(), m.incarnation);
            for a in &mut m.assignments {
                let full = orders.launches.len() >= MOST_ORDERS;
                let alive = jobs
                    .get(a.job)
                    .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
                let written = write_buffer.is_durable(&RecordId::Page(a.page), a.written);
                let new = a.launched.is_none()
                    && a.stop.is_none()
                    && alive
                    && written
                    && !revoked
                    && a.incarnation == incarnation;
                // From now on it may be there, whatever becomes of the message.
                if new && !full {
                    a.launched = Some((incarnation, 0));
                }
                if a.may_exist() && !a.delivered && !a.recovered() && !full {
                    orders.launches.push(placed_task(name, a));
                }
                let id = a.id();
                let Some(stop) = a.stop.as_mut().filter(|_| a.launched.is_some()) else {
                    continue;
                };
                let due = stop.sent.is_none_or(|at| now >= at + STOP_AGAIN);
                if due && orders.stops.len() < MOST_ORDERS {
                    stop.sent = Some(now);
                    orders.stops.push(TaskStop {
                        machine: name.clone(),
                        id,
                        grace_us: stop.grace,
                    });
                }
            }
        }
    }

    /// Attempts whose outcome is on record.
    fn settled_attempts(&mut self, id: PartitionId) -> Vec<TaskAttempt> {
        let Some(remote_partitions) = self.remote_partitions.by_id.get(&id) else {
            return Vec::new();
        };
        let unsettled: BTreeSet<TaskAttempt> = self
            .machines
            .values()
            .filter(|m| m.partition == Some(id))
            .flat_map(|m| &m.exited_attempts)
            .filter(|e| !self.is_durable(&e.after, e.job))
            .filter_map(ExitedAttempt::id)
            .collect();
        let settling = remote_partitions.settling.iter().copied();
        settling
            .filter(|attempt| !unsettled.contains(attempt))
            .take(MOST_ORDERS)
            .collect()
    }
}
