//! Quota grants in messages: what a holder is told, and what its answer means for the leader's books.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::delegations::TaskOfJob;
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, TaskOnMachine};
use crate::{Micros, MILLI};
use grebewood_partition::PartitionId;
use grebewood_quota::GrantReduction;
use grebewood_wire::peer::{
    DelegatedTask, DelegatedWork, PlacedTask, QuotaOrders, QuotaReport, TaskRanges,
};
use grebewood_wire::records::LIMITS;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet};

/// Most tasks that one message gives to a holder.
const MOST_TASKS: usize = 500;

/// How long a smaller allotment may wait to be written, if no team lacks what is asked back.
const SHRINK_DELAY: Micros = 500 * MILLI;

impl Scheduler {
    /// What the partition's holder is told of allotments; `None` while no limits are on record.
    pub(crate) fn quota_orders(
        &mut self,
        context: &Context,
        id: PartitionId,
        synced: bool,
    ) -> Option<QuotaOrders> {
        if !context.supports_quota_grants() {
            return None;
        }
        let limits = self.write_buffer.mod_revisions.get(LIMITS).copied()?;
        let teams = self.leader_quota.limits.in_force().iter();
        let over = teams.filter(|(team, _)| self.is_over_limit(context, team));
        let over: BTreeSet<String> = over.map(|(team, _)| team.to_string()).collect();
        let pressed = self.leader_quota.pressed.clone();
        let ask_back = |team: &str| match (over.contains(team), pressed.contains(team)) {
            (true, _) => GrantReduction::All,
            (false, true) => GrantReduction::Slack,
            (false, false) => GrantReduction::IdleSlack,
        };
        let now = context.now.steady;
        let allotment = self.leader_quota.allotments.usable(id, now, ask_back);
        let work = match synced {
            true => self.work_to_send(id),
            false => Vec::new(),
        };
        Some(QuotaOrders {
            number: self.leader_quota.allotments.number(id),
            limits,
            allotment,
            work,
            revoked: self.leader_quota.delegations.ask_back(id),
            reserved: self.reserved_machines(id),
            seen: self.remote_partitions.placed_seen(id),
        })
    }

    /// Tasks that the holder has not said to have.
    fn work_to_send(&mut self, id: PartitionId) -> Vec<DelegatedWork> {
        let delegations = &self.leader_quota.delegations;
        let new = delegations
            .of_partition(id)
            .filter(|((index, _), delegation)| {
                !delegation.confirmed && !delegations.is_revoked(id, *index)
            });
        let mut work: BTreeMap<JobIndex, DelegatedWork> = BTreeMap::new();
        let mut sent: Vec<TaskOfJob> = Vec::new();
        for ((index, task), delegation) in new.take(MOST_TASKS) {
            let entry = work.entry(index).or_insert_with(|| DelegatedWork {
                job: delegation.job_id.clone(),
                level: delegation.level,
                expected_us: delegation.expected,
                tasks: Vec::new(),
            });
            entry.tasks.push(DelegatedTask {
                task,
                machine: delegation.machine.clone(),
                waits: delegation.waits,
            });
            sent.push((index, task));
        }
        self.leader_quota.delegations.note_sent(&sent);
        work.into_values().collect()
    }

    /// Machines of the partition on which nothing new is to be placed.
    fn reserved_machines(&self, id: PartitionId) -> Vec<String> {
        let machines = self.machines.values();
        let theirs = machines.filter(|m| m.partition == Some(id));
        let reserved = theirs.filter(|m| m.cordoned || self.fleet.is_terminating(&m.name));
        reserved.map(|m| m.name.clone()).collect()
    }

    /// Takes in what a holder says of its allotment and of what it has placed. Its outcomes are taken in
    /// after what it has placed, and before what it holds.
    pub(crate) fn on_placed(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        quota: &QuotaReport,
    ) {
        if self.leader_quota.placing.insert(id) {
            info!("partition {id}: its holder places tasks");
        }
        for task in &quota.placed {
            self.take_placed(context, id, task);
        }
        let waiting = self.tasks_in(&quota.waiting);
        for task in self.leader_quota.delegations.returned(id, &waiting) {
            self.give_task_back(context, task);
        }
    }

    /// Takes in what a holder will use at most.
    pub(crate) fn on_held(&mut self, context: &Context, id: PartitionId, quota: &QuotaReport) {
        let now = context.now.steady;
        self.leader_quota.allotments.on_held(id, &quota.held, now);
        let delay = match self.leader_quota.pressed.is_empty() {
            true => SHRINK_DELAY,
            false => 0,
        };
        self.write_quota_grant(context, id, delay);
    }

    /// A holder has answered that it places nothing.
    pub(crate) fn on_places_nothing(&mut self, id: PartitionId) {
        self.leader_quota.placing.remove(&id);
        if self.leader_quota.delegations.has(id) {
            // The one before it may have placed some of them, and only pages tell.
            self.leader_quota.lost = Some("a holder does not tell what was placed before it");
        }
    }

    fn tasks_in(&self, ranges: &[TaskRanges]) -> BTreeSet<TaskOfJob> {
        let mut tasks = BTreeSet::new();
        for TaskRanges { job, ranges } in ranges {
            let Some(index) = self.jobs.find(job) else {
                continue;
            };
            for (from, to) in ranges {
                // What a peer says must not cost more than a job has tasks.
                let to = (*to).min(grebewood_wire::validate::MAX_TASKS);
                tasks.extend((*from..to).map(|task| (index, task)));
            }
        }
        tasks
    }

    /// A holder has placed a task.
    fn take_placed(&mut self, context: &Context, id: PartitionId, placed: &PlacedTask) {
        let known = self.machines.get(&placed.machine).is_some_and(|m| {
            let mut assignments = m.assignments.iter();
            assignments.any(|a| a.id() == placed.id())
        });
        // Of a machine that was released the holder hears, too.
        if known || self.fleet.is_gone(&placed.machine) {
            return;
        }
        let index = self.jobs.find(&placed.job);
        let task = index.map(|index| (index, placed.task));
        let theirs = task.filter(|task| {
            let delegation = self.leader_quota.delegations.get(*task);
            delegation.is_some_and(|delegation| delegation.partition == id)
        });
        let delegation = theirs.and_then(|task| self.end_delegation(task));
        if delegation.is_none() {
            // It is on the holder's pages still, though an earlier holder has told its end: until that is
            // proven anew it counts.
            debug!("{}/{}: on a holder's page", placed.job, placed.task);
        }
        let zone = self
            .remote_partitions
            .record(id)
            .map(|record| record.zone.clone());
        let zone = zone.unwrap_or_default();
        self.recovered_machine(context, &placed.machine, &zone, placed.incarnation);
        let job = index.and_then(|index| self.jobs.get_mut(index));
        let spec = job.map(|job| {
            if delegation.is_none() {
                job.take(placed.task);
            }
            job.note_placed(context.now.steady);
            *job.zones.entry(zone.clone()).or_insert(0) += 1;
            job.spec.clone()
        });
        let assignment = Assignment {
            launched: Some((placed.incarnation, 0)),
            by_holder: true,
            ..Assignment::new(TaskOnMachine {
                task: placed,
                job: index,
                spec: spec.as_ref(),
                zone,
                now: context.now.steady,
            })
        };
        let (team, amount) = (&assignment.team, assignment.amount());
        if delegation.is_some_and(|delegation| !delegation.waits) {
            let now = context.now.steady;
            self.leader_quota.allotments.unqueue(id, team, amount, now);
        }
        self.leader_quota.allotments.place(id, team, amount);
        self.add_assignment(&placed.machine, assignment);
    }

    /// The members that were heard lately say whether all of them understand allotments.
    pub(crate) fn pause_quota_grants(&mut self, context: &Context, paused: bool) {
        if !context.supports_quota_grants() || self.leader_quota.paused == paused {
            return;
        }
        info!(
            "allotments are {}",
            if paused { "paused" } else { "granted" }
        );
        self.leader_quota.paused = paused;
        if paused {
            let jobs = self.jobs.iter().filter(|(_, job)| job.delegated > 0);
            let delegated: Vec<JobIndex> = jobs.map(|(index, _)| index).collect();
            for index in delegated {
                self.revoke_job(context, index);
            }
        }
    }

    /// A machine that is to be returned may be released: nothing new is placed on it meanwhile.
    pub(crate) fn may_be_terminated(&self, partition: Option<PartitionId>, machine: &str) -> bool {
        let holder = partition.filter(|id| self.holder_places(*id));
        holder.is_none_or(|id| self.remote_partitions.is_reserved(id, machine))
    }
}
