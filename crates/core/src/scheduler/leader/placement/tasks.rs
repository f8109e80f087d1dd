//! Places the tasks of one job: decides how many are placed in a round, and on which machines.

use crate::context::Context;
use crate::scheduler::leader::placement::{DelegationKind, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{
    tasks_that_fit, HeadroomAccess, MachineResources, OpenMachine, Preference,
};
use crate::state::jobs::{JobIndex, RESOURCE_TOLERANCE};
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::{Shape, Submission};
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// Returns how many tasks of a job that is spread over zones may be in one zone.
pub(crate) fn max_tasks_in_zone(spec: &Submission) -> u64 {
    spec.tasks.div_ceil(2)
}

/// A job whose tasks are being placed in this round.
pub(crate) struct PlacingJob {
    /// The job's index in the job table.
    pub index: JobIndex,
    /// The job's submission.
    pub spec: Submission,
    shape: Shape,
    /// How many more of the job's tasks may be placed in this round.
    tasks_left: u64,
    /// Whether the job's tasks may use the headroom that is reserved for services.
    headroom_access: HeadroomAccess,
    /// Whether the job has waited so long beside free resources that nothing keeps its tasks from them any more.
    may_use_all_room: bool,
    /// How long a task is expected to stay on its machine, in microseconds.
    pub expected_stay: Micros,
    /// What one task uses of its team's limit.
    pub task_amount: Resources,
    /// The job's level in the job queue.
    pub level: u8,
    /// Whether partition holders may place the job's tasks.
    may_be_placed_by_holders: bool,
}

impl PlacingJob {
    /// Returns whether partition holders may place the job's tasks.
    pub fn is_for_holders(&self) -> bool {
        self.may_be_placed_by_holders
    }

    /// Returns whether more of its tasks may be placed in this round.
    pub fn has_more(&self) -> bool {
        self.tasks_left > 0
    }

    /// Counts one more task as placed in this round.
    pub fn count_placed_task(&mut self) {
        self.tasks_left = self.tasks_left.saturating_sub(1);
    }

    /// Returns how many of its tasks fit the free resources of a machine.
    fn tasks_that_fit(&self, open: &OpenMachine) -> u64 {
        tasks_that_fit(open.free_for(self.headroom_access), &self.spec)
    }

    /// Returns how many of its tasks fit the open machines at these indices, by zone.
    fn slots_by_zone<'a>(
        &self,
        machine_indices: &[usize],
        open: &'a [OpenMachine],
    ) -> BTreeMap<&'a str, u64> {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for at in machine_indices {
            let machine = &open[*at];
            *zones.entry(&machine.zone).or_insert(0) += self.tasks_that_fit(machine);
        }
        zones
    }
}

impl Scheduler {
    /// Returns what of the job may be placed in this round; `None` if no task may be placed or one more would
    /// exceed the team's limit.
    fn prepare_placing_within_limit(
        &self,
        context: &Context,
        queued: QueuedJob,
    ) -> Option<PlacingJob> {
        let placing = self.prepare_placing(context, queued)?;
        let team = &placing.spec.team;
        let limit = self.team_quota(context, team)?.limit;
        let is_within_limit = self
            .resources_needed_by(team)
            .saturating_add(placing.task_amount)
            .fits(limit);
        is_within_limit.then_some(placing)
    }

    /// Returns what of the job may be placed in this round, regardless of the team's limit; `None` if no task may
    /// be.
    pub(crate) fn prepare_placing(
        &self,
        context: &Context,
        queued: QueuedJob,
    ) -> Option<PlacingJob> {
        let job = self.jobs.get(queued.index)?;
        let spec = &job.spec;
        let now = context.now.steady;
        // The placeable count of a job whose tasks keep failing is limited to a few tasks at a time, at first to
        // one.
        let mut tasks_left = job.placeable_count(now);
        if tasks_left == 0 {
            return None;
        }
        // A job that has waited too long to start gets resources ahead of its turn only for its first tasks.
        if job.must_begin_early(now) {
            tasks_left = tasks_left.min(job.initial_task_count());
        }
        // Tasks that have waited too long may also use the headroom, and not only the first tasks of a job.
        // Without this, the rest of an array can wait for minutes next to unused headroom when no more machines
        // can be provisioned. If no service is live, this also applies to jobs that had other tasks placed
        // meanwhile.
        let may_take_unneeded_headroom =
            self.headroom.has_no_live_services() && job.has_waited_long(now);
        let may_use_all_room = self.has_waited_beside_room(queued.index, now);
        let may_take_headroom = job.shape == Shape::Daemon
            || job.must_begin_early(now)
            || job.is_starving(now)
            || may_use_all_room
            || may_take_unneeded_headroom;
        Some(PlacingJob {
            index: queued.index,
            shape: job.shape,
            tasks_left,
            headroom_access: match may_take_headroom {
                true => HeadroomAccess::Granted,
                false => HeadroomAccess::Denied,
            },
            may_use_all_room,
            expected_stay: self.stats.expected_stay(spec),
            task_amount: Resources::of(spec.cpus, spec.gpus),
            level: queued.level,
            may_be_placed_by_holders: job.may_be_placed_by_holders(now) && !may_use_all_room,
            spec: spec.clone(),
        })
    }

    /// Returns the indices in `open` of the machines on which a task of the job may be placed, the best first.
    fn candidate_machines(
        &self,
        context: &Context,
        placing: &PlacingJob,
        open: &[OpenMachine],
    ) -> Vec<usize> {
        let (spec, now) = (&placing.spec, context.now.steady);
        let fits = |machine: &OpenMachine| {
            placing.tasks_that_fit(machine) > 0
                && machine.permits(context, spec)
                && (placing.may_use_all_room || !machine.is_kept_from(spec.priority))
        };
        let fitting = open.iter().enumerate().filter(|(_, machine)| fits(machine));
        let mut candidates: Vec<(Preference, usize)> = fitting
            .map(|(at, machine)| (self.preference(placing.index, spec, machine, now), at))
            .collect();
        candidates.sort();
        candidates.into_iter().map(|(_, at)| at).collect()
    }

    /// Returns the sort key by which a machine is chosen for a task of the job.
    pub(crate) fn preference(
        &self,
        index: JobIndex,
        spec: &Submission,
        open: &OpenMachine,
        now: Micros,
    ) -> Preference {
        let machine = self.machines.get(&open.name);
        let job = self.jobs.get(index);
        Preference {
            avoided: job.is_some_and(|job| job.avoids(&open.name, now)),
            without_image: !machine.is_some_and(|machine| machine.has_image(&spec.image)),
            without_long_poll: !self.long_polls.contains(&open.name),
            on_demand: !open.spot,
            free_milli_cpus: (open.free.cpus * 1e3) as i64,
        }
    }

    /// Places as many tasks of a job as the team's limit and the machines allow. A gang is placed only as a whole.
    pub(crate) fn place_job(
        &mut self,
        context: &mut Context,
        queued: QueuedJob,
        open: &mut Vec<OpenMachine>,
    ) {
        let Some(mut placing) = self.prepare_placing_within_limit(context, queued) else {
            return;
        };
        let candidates = self.candidate_machines(context, &placing, open);
        let fixed_zone = self.fixed_zone(&placing, &candidates, open);
        let mut gang_attempt = None;
        if placing.shape == Shape::Gang {
            let slots = self.gang_slots(&placing, &candidates, open, fixed_zone.as_deref());
            let whole_gang = placing.task_amount.times(placing.tasks_left);
            if slots < placing.tasks_left
                || !self.fits_limit(context, &placing.spec.team, whole_gang)
            {
                return;
            }
            // All tasks of a gang that are placed together share one attempt number.
            gang_attempt = Some(self.allocate_attempt());
        }
        for at in candidates {
            let machine = &mut open[at];
            if fixed_zone
                .as_ref()
                .is_some_and(|zone| *zone != machine.zone)
            {
                continue;
            }
            let placed = self.place_on_machine(context, &mut placing, machine, gang_attempt);
            if placed.is_break() {
                break;
            }
        }
        open.retain(|machine| machine.free.cpus > RESOURCE_TOLERANCE);
    }

    /// Places tasks of the job on a machine, or delegates them to the partition holder that places tasks there.
    /// Breaks if no more tasks of the job can be placed in this round.
    fn place_on_machine(
        &mut self,
        context: &mut Context,
        placing: &mut PlacingJob,
        open: &mut OpenMachine,
        gang_attempt: Option<u64>,
    ) -> ControlFlow<()> {
        let now = context.now.steady;
        let holder_partition = open.placed_by.filter(|_| placing.may_be_placed_by_holders);
        while placing.tasks_that_fit(open) > 0 {
            let Some(job) = self.jobs.get_mut(placing.index) else {
                return ControlFlow::Break(());
            };
            let in_zone = job
                .assignments_by_zone
                .get(&open.zone)
                .copied()
                .unwrap_or(0);
            if placing.spec.spread && u64::from(in_zone) >= max_tasks_in_zone(&placing.spec) {
                return ControlFlow::Continue(());
            }
            let next = job.next_waiting_task(now).filter(|_| placing.has_more());
            let Some(task) = next else {
                return ControlFlow::Break(());
            };
            if !self.try_charge_task(context, placing, holder_partition) {
                // The quota grant of another partition may still cover the task, so other machines are tried.
                return match holder_partition {
                    Some(_) => ControlFlow::Continue(()),
                    None => ControlFlow::Break(()),
                };
            }
            self.take_task(context, placing, holder_partition, task);
            match holder_partition {
                Some(partition) => {
                    let delegated = (task, DelegationKind::Placeable);
                    self.delegate_task(context, placing, partition, delegated, &open.name)
                }
                None => self.assign_task(context, placing, &open.name, task, gang_attempt),
            }
            open.free = open.free - MachineResources::of_task(&placing.spec);
        }
        ControlFlow::Continue(())
    }

    /// Returns whether the quota allows one more task of the job. If a holder is to place the task, charges it to
    /// the holder's quota grant; otherwise checks the team's limit.
    fn try_charge_task(
        &mut self,
        context: &Context,
        placing: &PlacingJob,
        holder_partition: Option<PartitionId>,
    ) -> bool {
        let team = &placing.spec.team;
        match holder_partition {
            Some(partition) => {
                self.try_charge_quota_grant(context, partition, team, placing.task_amount)
            }
            None => self.fits_limit(context, team, placing.task_amount),
        }
    }

    /// Takes a task from the waiting tasks of its job, because it is being placed.
    fn take_task(
        &mut self,
        context: &Context,
        placing: &mut PlacingJob,
        holder_partition: Option<PartitionId>,
        task: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(placing.index) {
            job.assign_task(task);
            if holder_partition.is_none() {
                job.record_placed(context.now.steady);
            }
        }
        placing.count_placed_task();
    }

    /// Assigns a task that was taken to a machine on which the leader itself places tasks.
    fn assign_task(
        &mut self,
        context: &mut Context,
        placing: &PlacingJob,
        machine: &str,
        task: u64,
        gang_attempt: Option<u64>,
    ) {
        let zone = self.machines.get(machine).map(|m| m.zone.clone());
        if let (Some(zone), Some(job)) = (zone, self.jobs.get_mut(placing.index)) {
            *job.assignments_by_zone.entry(zone).or_insert(0) += 1;
        }
        let attempt = match gang_attempt {
            Some(attempt) => attempt,
            None => self.allocate_attempt(),
        };
        let stay = (attempt, placing.expected_stay);
        self.create_assignment(context, machine, placing.index, task, &placing.spec, stay);
    }

    /// Returns how many tasks of a gang can be placed at once, in `fixed_zone` if the gang is bound to a zone.
    fn gang_slots(
        &self,
        placing: &PlacingJob,
        candidates: &[usize],
        open: &[OpenMachine],
        fixed_zone: Option<&str>,
    ) -> u64 {
        let spec = &placing.spec;
        let in_zone = |zone: &str| {
            let job = self.jobs.get(placing.index);
            let tasks = job.and_then(|job| job.assignments_by_zone.get(zone));
            tasks.copied().map_or(0, u64::from)
        };
        placing
            .slots_by_zone(candidates, open)
            .into_iter()
            .filter(|(zone, _)| fixed_zone.is_none_or(|fixed| fixed == *zone))
            .map(|(zone, slots)| match spec.spread {
                true => slots.min(max_tasks_in_zone(spec).saturating_sub(in_zone(zone))),
                false => slots,
            })
            .sum()
    }

    /// Returns the zone for a `one_zone` job: the one that its tasks bind it to, or else the one in which the most
    /// of its tasks fit. Returns `None` for other jobs.
    fn fixed_zone(
        &self,
        placing: &PlacingJob,
        candidates: &[usize],
        open: &[OpenMachine],
    ) -> Option<String> {
        if !placing.spec.one_zone {
            return None;
        }
        let job = self.jobs.get(placing.index)?;
        if let Some(zone) = job.bound_zone() {
            return Some(zone.to_string());
        }
        placing
            .slots_by_zone(candidates, open)
            .into_iter()
            .max_by_key(|(_, slots)| *slots)
            .map(|(zone, _)| zone.to_string())
    }
}
