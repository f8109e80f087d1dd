//! Places the tasks of one job: how many, and on which machines.

use crate::context::Context;
use crate::scheduler::leader::placement::{DelegationKind, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{
    tasks_that_fit, HeadroomAccess, MachineResources, OpenMachine, Preference,
};
use crate::state::jobs::{JobIndex, EPS};
use crate::Micros;
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::{Priority, Shape, Submission};
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// How many of its tasks a job that is spread over zones may have in one of them.
fn most_in_zone(spec: &Submission) -> u64 {
    spec.tasks.div_ceil(2)
}

/// A job some of whose tasks are being placed.
pub(crate) struct PlacingJob {
    /// The job.
    pub index: JobIndex,
    /// Its description.
    pub spec: Submission,
    shape: Shape,
    /// How many more tasks may be placed in this round.
    left: u64,
    /// Whether it may take the headroom that is reserved for services.
    headroom: HeadroomAccess,
    /// How long a task is expected to stay, in microseconds.
    pub expected: Micros,
    /// What a task takes of its team's limit.
    pub task: Resources,
    /// Its level in the queue.
    pub level: u8,
    /// Whether the holder of a partition may place its tasks.
    by_holders: bool,
}

impl PlacingJob {
    /// Whether holders of partitions may place the job's tasks.
    pub fn is_for_holders(&self) -> bool {
        self.by_holders
    }

    /// Whether more of its tasks may be placed in this round.
    pub fn has_more(&self) -> bool {
        self.left > 0
    }

    /// Counts one more task that is placed.
    pub fn take_one(&mut self) {
        self.left = self.left.saturating_sub(1);
    }

    /// How many of its tasks fit the free resources of a machine.
    fn tasks_that_fit(&self, open: &OpenMachine) -> u64 {
        tasks_that_fit(open.free_for(self.headroom), &self.spec)
    }

    /// Free slots for its tasks by zone, on the open machines at these places.
    fn slots_by_zone<'a>(
        &self,
        places: &[usize],
        open: &'a [OpenMachine],
    ) -> BTreeMap<&'a str, u64> {
        let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
        for at in places {
            let machine = &open[*at];
            *zones.entry(&machine.zone).or_insert(0) += self.tasks_that_fit(machine);
        }
        zones
    }
}

impl Scheduler {
    /// What of the job may be placed in this round, if anything.
    fn begin_placing(&self, context: &Context, queued: QueuedJob) -> Option<PlacingJob> {
        let placing = self.prepare_placing(context, queued)?;
        let team = &placing.spec.team;
        let limit = self.limit_of(context, team)?.limit;
        let in_quota = self
            .needed_by(team)
            .saturating_add(placing.task)
            .fits(limit);
        in_quota.then_some(placing)
    }

    /// The same, whatever is left of its team's limit.
    pub(crate) fn prepare_placing(
        &self,
        context: &Context,
        queued: QueuedJob,
    ) -> Option<PlacingJob> {
        let job = self.jobs.get(queued.index)?;
        let spec = &job.spec;
        let now = context.now.steady;
        // A job whose tasks keep failing is tried with one task at a time.
        let mut left = job.placeable(now);
        if left == 0 {
            return None;
        }
        // Ahead of its turn a job only begins.
        if job.must_begin(now) {
            left = left.min(job.beginning());
        }
        // What has waited too long may take the headroom, too: not only for its beginning. The
        // rest of an array once waited for minutes beside it when nothing more could be provisioned.
        // Once there are no services any more, that goes for whatever waits long.
        let headroom_yields = self.headroom.may_yield() && job.has_waited_long(now);
        let may_take_headroom = job.shape == Shape::Daemon
            || job.must_begin(now)
            || job.starves(now)
            || headroom_yields;
        Some(PlacingJob {
            index: queued.index,
            shape: job.shape,
            left,
            headroom: match may_take_headroom {
                true => HeadroomAccess::Granted,
                false => HeadroomAccess::Denied,
            },
            expected: self.stats.expected_stay(spec),
            task: Resources::of(spec.cpus, spec.gpus),
            level: queued.level,
            by_holders: job.may_be_placed_by_holders(now),
            spec: spec.clone(),
        })
    }

    /// Places in `open` that may take a task of the job, the best first.
    fn candidates(
        &self,
        context: &Context,
        placing: &PlacingJob,
        open: &[OpenMachine],
    ) -> Vec<usize> {
        let (spec, now) = (&placing.spec, context.now.steady);
        let fits = |machine: &OpenMachine| {
            placing.tasks_that_fit(machine) > 0
                && machine.permits(context, spec)
                && (!machine.kept_for_preemptor || spec.priority > Priority::Idle)
        };
        let fitting = open.iter().enumerate().filter(|(_, machine)| fits(machine));
        let mut candidates: Vec<(Preference, usize)> = fitting
            .map(|(at, machine)| (self.preference(placing.index, spec, machine, now), at))
            .collect();
        candidates.sort();
        candidates.into_iter().map(|(_, at)| at).collect()
    }

    /// What a machine is chosen by.
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

    /// Places as many tasks of a job as the team's limit and the machines allow.
    pub(crate) fn place_job(
        &mut self,
        context: &mut Context,
        queued: QueuedJob,
        open: &mut Vec<OpenMachine>,
    ) {
        let Some(mut placing) = self.begin_placing(context, queued) else {
            return;
        };
        let candidates = self.candidates(context, &placing, open);
        let fixed_zone = self.fixed_zone(&placing, &candidates, open);
        let mut gang_attempt = None;
        if placing.shape == Shape::Gang {
            let slots = self.gang_slots(&placing, &candidates, open, fixed_zone.as_deref());
            let whole_gang = placing.task.times(placing.left);
            if slots < placing.left || !self.fits_limit(context, &placing.spec.team, whole_gang) {
                return;
            }
            // The tasks of one start of a gang share its attempt number.
            gang_attempt = Some(self.next_attempt());
        }
        for at in candidates {
            let machine = &mut open[at];
            if fixed_zone
                .as_ref()
                .is_some_and(|zone| *zone != machine.zone)
            {
                continue;
            }
            let placed = self.place_on(context, &mut placing, machine, gang_attempt);
            if placed.is_break() {
                break;
            }
        }
        open.retain(|machine| machine.free.cpus > EPS);
    }

    /// Places tasks of the job on a machine, or gives them to the holder that places them there. It breaks if
    /// no more of the job can be placed in this round.
    fn place_on(
        &mut self,
        context: &mut Context,
        placing: &mut PlacingJob,
        open: &mut OpenMachine,
        gang_attempt: Option<u64>,
    ) -> ControlFlow<()> {
        let now = context.now.steady;
        let holder = open.placed_by.filter(|_| placing.by_holders);
        while placing.tasks_that_fit(open) > 0 {
            let Some(job) = self.jobs.get_mut(placing.index) else {
                return ControlFlow::Break(());
            };
            let in_zone = job.zones.get(&open.zone).copied().unwrap_or(0);
            if placing.spec.spread && u64::from(in_zone) >= most_in_zone(&placing.spec) {
                return ControlFlow::Continue(());
            }
            let next = job.next_waiting(now).filter(|_| placing.has_more());
            let Some(task) = next else {
                return ControlFlow::Break(());
            };
            if !self.charge_task(context, placing, holder) {
                // What another partition does not use of its quota grant may do here.
                return match holder {
                    Some(_) => ControlFlow::Continue(()),
                    None => ControlFlow::Break(()),
                };
            }
            self.take_task(context, placing, holder, task);
            match holder {
                Some(partition) => {
                    let given = (task, DelegationKind::Placeable);
                    self.delegate(context, placing, partition, given, &open.name)
                }
                None => self.assign_task(context, placing, &open.name, task, gang_attempt),
            }
            open.free = open.free - MachineResources::of_task(&placing.spec);
        }
        ControlFlow::Continue(())
    }

    /// Whether one more task of the job is within the quota grant of the holder, if one is to place it, or else
    /// within its team's limit.
    fn charge_task(
        &mut self,
        context: &Context,
        placing: &PlacingJob,
        holder: Option<PartitionId>,
    ) -> bool {
        let team = &placing.spec.team;
        match holder {
            Some(partition) => self.charge(context, partition, team, placing.task),
            None => self.fits_limit(context, team, placing.task),
        }
    }

    /// The task waits no more: it is being placed.
    fn take_task(
        &mut self,
        context: &Context,
        placing: &mut PlacingJob,
        holder: Option<PartitionId>,
        task: u64,
    ) {
        if let Some(job) = self.jobs.get_mut(placing.index) {
            job.take(task);
            if holder.is_none() {
                job.note_placed(context.now.steady);
            }
        }
        placing.take_one();
    }

    /// Places a task that was taken on a machine that this leader places on.
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
            *job.zones.entry(zone).or_insert(0) += 1;
        }
        let attempt = match gang_attempt {
            Some(attempt) => attempt,
            None => self.next_attempt(),
        };
        let stay = (attempt, placing.expected);
        self.create_assignment(context, machine, placing.index, task, &placing.spec, stay);
    }

    /// How many tasks of a gang could be placed at once.
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
            let tasks = job.and_then(|job| job.zones.get(zone));
            tasks.copied().map_or(0, u64::from)
        };
        placing
            .slots_by_zone(candidates, open)
            .into_iter()
            .filter(|(zone, _)| fixed_zone.is_none_or(|fixed| fixed == *zone))
            .map(|(zone, slots)| match spec.spread {
                true => slots.min(most_in_zone(spec).saturating_sub(in_zone(zone))),
                false => slots,
            })
            .sum()
    }

    /// The zone that a `one_zone` job is bound to: where its tasks are, else where most fit.
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
