//! Which tasks the leader delegates to the holders of partitions, and which it revokes.

use crate::context::Context;
use crate::scheduler::leader::placement::tasks::Placing;
use crate::scheduler::leader::placement::{Given, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources, OpenMachine};
use crate::state::delegations::{Delegation, TaskOfJob};
use crate::state::jobs::{JobIndex, EPS};
use crate::state::machine::{Assignment, PlannedTask};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::Submission;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// A holder is given tasks for the room that is freed so soon, so that it can go on without the leader.
const AHEAD: Micros = 4 * SECOND;

/// Tasks for which there was room, and that were not placed for so long, are taken back.
const PLACED_WITHIN: Micros = 3 * SECOND / 2;

/// A holder that had to give such tasks back is given none for so long.
const SLOW_FOR: Micros = 5 * SECOND;

/// Tasks that wait for room for so long are taken back.
const ROOM_WITHIN: Micros = 2 * AHEAD;

/// A machine of a partition whose holder places tasks, and the room that will be free on it soon.
struct SoonFree {
    name: String,
    partition: PartitionId,
    machine_type: String,
    zone: String,
    spot: bool,
    room: MachineResources,
}

impl Scheduler {
    /// Charges a task to a partition's allotment, which grows if it has to and the ceiling allows it.
    pub(crate) fn charge(
        &mut self,
        context: &Context,
        partition: PartitionId,
        team: &str,
        amount: Resources,
    ) -> bool {
        let limit = self.limit_of(context, team).unwrap_or_default().limit;
        let needed = self.needed_by(team).plus(amount);
        // What is allotted for nothing is no room under a ceiling that was lowered.
        if !needed.fits(limit) || self.is_over_limit(context, team) {
            self.leader_quota.pressed.insert(team.to_string());
            return false;
        }
        let room = self.room_under_limit(context, team);
        let promised = self.leader_quota.delegations.waiting(partition, team);
        let allotments = &mut self.leader_quota.allotments;
        let queued = allotments.queue(partition, team, amount, promised, room);
        match queued {
            Ok(()) => self.write_quota_grant(context, partition, 0),
            Err(_) => {
                self.leader_quota.pressed.insert(team.to_string());
            }
        }
        queued.is_ok()
    }

    /// The partition's allotment is written, if it is not what is on record, after this time.
    pub(crate) fn write_quota_grant(
        &mut self,
        context: &Context,
        partition: PartitionId,
        delay: Micros,
    ) {
        if self.leader_quota.allotments.differs_from_record(partition) {
            let due = context.now.steady + delay;
            self.write_buffer
                .mark_dirty_by(RecordId::Allotment(partition), due);
        }
    }

    /// Gives a task that was taken to the holder of a partition, which is to place it on this machine if it
    /// can.
    pub(crate) fn delegate(
        &mut self,
        context: &Context,
        placing: &Placing,
        partition: PartitionId,
        (task, given): (u64, Given),
        machine: &str,
    ) {
        let (now, spec) = (context.now.steady, &placing.spec);
        let waits = given == Given::Waiting;
        if let Some(m) = self.machines.get_mut(machine).filter(|_| !waits) {
            m.plan(PlannedTask {
                job: placing.index,
                task,
                room: MachineResources::of_task(spec),
            });
            m.use_image(&spec.image, spec.image_gb);
            m.idle_since = now;
        }
        if let Some(job) = self.jobs.get_mut(placing.index) {
            job.delegated += 1;
            job.waiting_at_holders += u64::from(waits);
        }
        let delegation = Delegation {
            partition,
            job_id: spec.id.clone(),
            machine: machine.to_string(),
            team: spec.team.clone(),
            amount: placing.task,
            waits,
            level: placing.level,
            expected: placing.expected,
            since: now,
            sent: false,
            confirmed: false,
        };
        debug!(
            "{}/{task}: to the holder of partition {partition}, {given:?}",
            spec.id
        );
        let delegations = &mut self.leader_quota.delegations;
        delegations.insert((placing.index, task), delegation);
    }

    /// A task is no longer with a holder to be placed: it is placed, or was given back.
    pub(crate) fn end_delegation(&mut self, task: TaskOfJob) -> Option<Delegation> {
        let delegation = self.leader_quota.delegations.remove(task)?;
        if let Some(m) = self.machines.get_mut(&delegation.machine) {
            m.unplan(task.0, task.1);
        }
        if let Some(job) = self.jobs.get_mut(task.0) {
            let waits = u64::from(delegation.waits);
            job.delegated = job.delegated.saturating_sub(1);
            job.waiting_at_holders = job.waiting_at_holders.saturating_sub(waits);
        }
        Some(delegation)
    }

    /// A task that a holder was to place is the leader's again.
    pub(crate) fn give_task_back(&mut self, context: &Context, task: TaskOfJob) {
        let Some(delegation) = self.end_delegation(task) else {
            return;
        };
        let now = context.now.steady;
        let (id, partition) = (&delegation.job_id, delegation.partition);
        debug!(
            "{id}/{}: given back by the holder of partition {partition}",
            task.1
        );
        if !delegation.waits {
            if now.saturating_sub(delegation.since) > PLACED_WITHIN {
                let until = now + SLOW_FOR;
                self.leader_quota
                    .slow_until
                    .insert(delegation.partition, until);
            }
            let (partition, amount) = (delegation.partition, delegation.amount);
            let allotments = &mut self.leader_quota.allotments;
            allotments.unqueue(partition, &delegation.team, amount, now);
        }
        if let Some(job) = self.jobs.get_mut(task.0) {
            job.give_back(task.1);
            if job.waiting() > 0 && job.waiting_since.is_none() {
                job.waiting_since = Some(now);
            }
        }
        self.placement.request_round(now);
        self.end_if_over(context, task.0);
    }

    /// Takes a job's tasks back from all holders, as far as they are not placed.
    pub(crate) fn revoke_job(&mut self, context: &Context, index: JobIndex) {
        let theirs = self.leader_quota.delegations.of_job(index);
        let theirs: Vec<(TaskOfJob, PartitionId, bool)> = theirs
            .map(|(task, delegation)| (task, delegation.partition, delegation.sent))
            .collect();
        for (task, partition, sent) in theirs {
            match sent {
                true => self.leader_quota.delegations.revoke(partition, index),
                false => self.give_task_back(context, task),
            }
        }
    }

    /// The room on each machine that is promised to tasks that wait for it.
    pub(crate) fn promised_room(&self) -> BTreeMap<&str, MachineResources> {
        let mut promised = BTreeMap::new();
        for ((index, _), delegation) in self
            .leader_quota
            .delegations
            .iter()
            .filter(|(_, d)| d.waits)
        {
            let Some(spec) = self.jobs.get(index).map(|job| &job.spec) else {
                continue;
            };
            let room = promised.entry(delegation.machine.as_str());
            let room: &mut MachineResources = room.or_default();
            *room = *room + MachineResources::of_task(spec);
        }
        promised
    }

    /// What will be left of each partition's allotments soon, less what waits for it already.
    fn soon_left(&self, context: &Context) -> BTreeMap<(PartitionId, String), Resources> {
        let now = context.now.steady;
        let mut left = BTreeMap::new();
        for m in self.machines.values() {
            let Some(partition) = m.partition.filter(|id| self.holder_places(*id)) else {
                continue;
            };
            let leaving = m
                .assignments
                .iter()
                .filter(|a| a.by_holder && leaves_soon(a, now));
            for a in leaving {
                let left = left.entry((partition, a.team.clone()));
                let left: &mut Resources = left.or_default();
                *left = left.plus(a.amount());
            }
        }
        for ((partition, team), left) in &mut left {
            let slack = self.leader_quota.allotments.slack(*partition, team);
            let waiting = self.leader_quota.delegations.waiting(*partition, team);
            *left = left.plus(slack).minus(waiting);
        }
        left
    }

    /// Machines on which tasks will leave room soon, less what waits for it already.
    fn soon_free(&self, context: &Context) -> Vec<SoonFree> {
        let (now, silence) = (context.now.steady, 3 * context.settings.heartbeat_interval);
        let mut soon: BTreeMap<&str, SoonFree> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.usable(now, silence)) {
            let partition = m.partition.filter(|id| self.may_delegate_to(context, *id));
            let Some(partition) = partition else {
                continue;
            };
            let mut room = m.free();
            for a in m.assignments.iter().filter(|a| leaves_soon(a, now)) {
                room = room + a.resources();
            }
            if room.cpus > m.free().cpus {
                let machine = SoonFree {
                    name: m.name.clone(),
                    partition,
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    room,
                };
                soon.insert(&m.name, machine);
            }
        }
        for ((index, _), delegation) in self
            .leader_quota
            .delegations
            .iter()
            .filter(|(_, d)| d.waits)
        {
            let machine = soon.get_mut(delegation.machine.as_str());
            if let (Some(machine), Some(job)) = (machine, self.jobs.get(index)) {
                machine.take(&job.spec);
            }
        }
        soon.into_values().filter(|m| m.room.cpus > EPS).collect()
    }

    /// Gives holders tasks for the room that is freed soon, in the order in which jobs are served. Their
    /// allotments do not grow for it: these tasks use what the others leave.
    /// Nothing of the teams in `kept`: what they leave of their ceiling adds up for a job that needs more of
    /// it at once.
    pub(crate) fn delegate_ahead(
        &mut self,
        context: &Context,
        queue: &[QueuedJob],
        kept: &BTreeSet<String>,
    ) {
        let for_leader = self.level_for_leader(context, queue);
        self.revoke_ahead(|d| for_leader.is_some_and(|level| d.level >= level));
        self.revoke_ahead(|d| kept.contains(&d.team));
        let mut soon = self.soon_free(context);
        let mut left = self.soon_left(context);
        for queued in queue {
            if soon.is_empty() || for_leader.is_some_and(|level| queued.level >= level) {
                break;
            }
            // They take what others leave, also of a ceiling that is used up.
            let placing = self.prepare_placing(context, *queued);
            let Some(mut placing) = placing.filter(Placing::is_for_holders) else {
                continue;
            };
            let team = &placing.spec.team;
            if kept.contains(team) || self.is_over_limit(context, team) {
                continue;
            }
            for machine in &mut soon {
                let share = (machine.partition, placing.spec.team.clone());
                if let Some(left) = left.get_mut(&share) {
                    self.delegate_for_later(context, &mut placing, machine, left);
                }
            }
            soon.retain(|machine| machine.room.cpus > EPS);
            // What is left of the room is for more of its tasks, not for less urgent ones, which would fill
            // it first: what was stopped for a team below its guarantee once went to others again.
            if placing.has_more() && self.has_quota(context, queued.index) {
                self.revoke_ahead(|d| d.level > queued.level);
                break;
            }
        }
    }

    /// The most urgent level of jobs that need room which only the leader can give them: gangs, and those
    /// that are to begin or to catch up. Holders must not fill it first.
    fn level_for_leader(&self, context: &Context, queue: &[QueuedJob]) -> Option<u8> {
        let now = context.now.steady;
        let needs = |queued: &&QueuedJob| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|job| job.placeable(now) > 0 && !job.may_be_placed_by_holders(now))
                && self.has_quota(context, queued.index)
        };
        queue.iter().filter(needs).map(|queued| queued.level).min()
    }

    /// Takes back what waits for room at holders, as far as it is chosen.
    fn revoke_ahead(&mut self, chosen: impl Fn(&Delegation) -> bool) {
        let delegations = self.leader_quota.delegations.iter();
        let later = delegations.filter(|(_, d)| d.waits && chosen(d));
        let later: BTreeSet<(PartitionId, JobIndex)> =
            later.map(|((index, _), d)| (d.partition, index)).collect();
        for (partition, index) in later {
            self.leader_quota.delegations.revoke(partition, index);
        }
    }

    fn delegate_for_later(
        &mut self,
        context: &Context,
        placing: &mut Placing,
        machine: &mut SoonFree,
        left: &mut Resources,
    ) {
        let now = context.now.steady;
        let spec = placing.spec.clone();
        let (machine_type, zone) = (&machine.machine_type, &machine.zone);
        if !permits(context, &spec, machine_type, zone, machine.spot) {
            return;
        }
        let task = placing.task;
        while tasks_that_fit(machine.room, &spec) > 0 && task.fits(*left) && placing.has_more() {
            let job = self.jobs.get_mut(placing.index);
            let Some(task) = job.and_then(|job| job.take_next(now)) else {
                return;
            };
            machine.take(&spec);
            *left = left.minus(placing.task);
            placing.take_one();
            let given = (task, Given::Waiting);
            self.delegate(context, placing, machine.partition, given, &machine.name);
        }
    }

    /// Takes back what holders have not placed in time, and what waits for room while there is room
    /// elsewhere.
    pub(crate) fn revoke_stuck(&mut self, context: &Context, open: &[OpenMachine]) {
        let now = context.now.steady;
        let mut stuck: Vec<(PartitionId, JobIndex)> = Vec::new();
        for ((index, _), delegation) in self.leader_quota.delegations.iter() {
            let key = (delegation.partition, index);
            let known = stuck.last() == Some(&key);
            if known || self.leader_quota.delegations.is_revoked(key.0, key.1) {
                continue;
            }
            let waited = now.saturating_sub(delegation.since);
            let overdue = match delegation.waits {
                false => waited > PLACED_WITHIN,
                true => {
                    waited > ROOM_WITHIN
                        || (waited > PLACED_WITHIN && self.has_room_elsewhere(context, key, open))
                }
            };
            if overdue {
                stuck.push(key);
            }
        }
        for (partition, index) in stuck {
            self.leader_quota.delegations.revoke(partition, index);
        }
    }

    fn has_room_elsewhere(
        &self,
        context: &Context,
        (partition, index): (PartitionId, JobIndex),
        open: &[OpenMachine],
    ) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return true;
        };
        let spec = &job.spec;
        let mut elsewhere = open.iter().filter(|o| o.placed_by != Some(partition));
        elsewhere.any(|o| {
            tasks_that_fit(o.free, spec) > 0
                && permits(context, spec, &o.machine_type, &o.zone, o.spot)
        })
    }
}

/// Whether the task is likely to leave its room soon.
fn leaves_soon(a: &Assignment, now: Micros) -> bool {
    a.stop.is_some() || a.remaining(now, 0) < AHEAD
}

impl SoonFree {
    fn take(&mut self, spec: &Submission) {
        self.room = self.room - MachineResources::of_task(spec);
    }
}
