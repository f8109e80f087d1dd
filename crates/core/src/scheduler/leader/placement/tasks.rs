//! Places the tasks of one job: how many, and on which machines.

use crate::context::Context;
use crate::scheduler::leader::placement::{Given, QueuedJob};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::bin_packing::{OpenMachine, Preference};
use crate::state::jobs::{JobIndex, EPS};
use crate::state::machine::{Assignment, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_quota::Resources;
use grebewood_wire::http::Shape;
use grebewood_wire::http::{Priority, Submission};
use grebewood_wire::peer::PlacedTask;
use log::info;
use std::collections::BTreeMap;

/// By how much the writes of assignments go ahead of their turn.
const PROD_AHEAD: Micros = 60 * SECOND;

const HIGH_AHEAD: Micros = 10 * SECOND;

/// Free slots by zone, among the candidates.
fn room_by_zone<'a>(
    spec: &Submission,
    service: bool,
    candidates: &[(Preference, usize)],
    open: &'a [OpenMachine],
) -> BTreeMap<&'a str, u64> {
    let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, at) in candidates {
        let o = &open[*at];
        *zones.entry(&o.zone).or_insert(0) += tasks_that_fit(o.room(service), spec);
    }
    zones
}

/// A job some of whose tasks are being placed.
pub(crate) struct Placing {
    pub index: JobIndex,
    pub spec: Submission,
    shape: Shape,
    /// How many more tasks may be placed in this round.
    left: u64,
    /// Whether it may take the room that is kept for services.
    service: bool,
    /// How long a task is expected to stay.
    pub expected: Micros,
    /// What a task takes of its team's limit.
    pub task: Resources,
    pub level: u8,
    /// Whether the holder of a partition may place its tasks.
    by_holders: bool,
}

impl Placing {
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
}

impl Scheduler {
    /// What of the job may be placed in this round, if anything.
    fn begin_placing(&self, context: &Context, queued: QueuedJob) -> Option<Placing> {
        let placing = self.prepare_placing(context, queued)?;
        let team = &placing.spec.team;
        let limit = self.limit_of(context, team)?.limit;
        let in_quota = self.needed_by(team).plus(placing.task).fits(limit);
        in_quota.then_some(placing)
    }

    /// The same, whatever is left of its team's limit.
    pub(crate) fn prepare_placing(&self, context: &Context, queued: QueuedJob) -> Option<Placing> {
        let job = self.jobs.get(queued.index)?;
        let spec = &job.spec;
        let task = Resources::of(spec.cpus, spec.gpus);
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
        // What has waited too long may take the room that is kept, too: not only for its beginning. The
        // rest of an array once waited for minutes beside it when nothing more could be rented.
        // Once there are no services any more, that goes for whatever waits long.
        let yields = self.headroom.may_yield() && job.waits_long(now);
        let service =
            job.shape == Shape::Daemon || job.must_begin(now) || job.starves(now) || yields;
        Some(Placing {
            index: queued.index,
            shape: job.shape,
            left,
            service,
            expected: self.stats.expected_stay(spec),
            task,
            level: queued.level,
            by_holders: job.may_be_placed_by_holders(now),
            spec: spec.clone(),
        })
    }

    /// Places in `open` that may take a task of the job, the best first: for a replica those where none
    /// ended by itself lately; those with the image first, then those that wait for work at our door,
    /// then spot, then the fullest.
    fn candidates(
        &self,
        context: &Context,
        placing: &Placing,
        open: &[OpenMachine],
    ) -> Vec<(Preference, usize)> {
        let (spec, now) = (&placing.spec, context.now.steady);
        let fits = |o: &OpenMachine| {
            tasks_that_fit(o.room(placing.service), spec) > 0
                && permits(context, spec, &o.machine_type, &o.zone, o.spot)
                && (!o.kept || spec.priority > Priority::Idle)
        };
        let open = open.iter().enumerate().filter(|(_, o)| fits(o));
        let mut candidates: Vec<(Preference, usize)> = open
            .map(|(at, o)| (self.preference(placing.index, spec, o, now), at))
            .collect();
        candidates.sort();
        candidates
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
        let image = machine.is_some_and(|m| m.has_image(&spec.image));
        let away = !self.long_polls.contains(&open.name);
        let job = self.jobs.get(index);
        let avoided_machines = job.is_some_and(|job| job.avoids(&open.name, now));
        let room = (open.free.cpus * 1e3) as i64;
        (avoided_machines, !image, away, !open.spot, room)
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
        let kind = (&placing.spec, placing.service);
        let fixed_zone = self.fixed_zone(queued.index, kind, &candidates, open);
        let mut together = None;
        if placing.shape == Shape::Gang {
            let zone = fixed_zone.as_deref();
            let room = self.gang_room(queued.index, kind, &candidates, open, zone);
            let all = placing.task.times(placing.left);
            if room < placing.left || !self.fits_limit(context, &placing.spec.team, all) {
                return;
            }
            // The tasks of one start of a gang share its attempt number.
            together = Some(self.next_attempt());
        }
        for (_, at) in candidates {
            let elsewhere = |zone: &String| *zone != open[at].zone;
            if fixed_zone.as_ref().is_some_and(elsewhere) {
                continue;
            }
            if !self.place_on(context, &mut placing, &mut open[at], together) {
                break;
            }
        }
        open.retain(|o| o.free.cpus > EPS);
    }

    /// Places tasks of the job on a machine, or gives them to the holder that places them there. False:
    /// no more of the job can be placed in this round.
    fn place_on(
        &mut self,
        context: &mut Context,
        placing: &mut Placing,
        open: &mut OpenMachine,
        together: Option<u64>,
    ) -> bool {
        let now = context.now.steady;
        let holder = open.placed_by.filter(|_| placing.by_holders);
        while tasks_that_fit(open.room(placing.service), &placing.spec) > 0 {
            let Some(job) = self.jobs.get_mut(placing.index) else {
                return false;
            };
            let here = job.zones.get(&open.zone).copied().unwrap_or(0) as u64;
            if placing.spec.spread && here >= placing.spec.tasks.div_ceil(2) {
                return true;
            }
            let next = job.next_waiting(now).filter(|_| placing.has_more());
            let Some(task) = next else { return false };
            let team = &placing.spec.team;
            let in_quota = match holder {
                Some(partition) => self.charge(context, partition, team, placing.task),
                None => self.fits_limit(context, team, placing.task),
            };
            if !in_quota {
                // What another partition does not use of its allotment may do here.
                return holder.is_some();
            }
            if let Some(job) = self.jobs.get_mut(placing.index) {
                job.take(task);
                if holder.is_none() {
                    job.note_placed(now);
                }
            }
            placing.take_one();
            match holder {
                Some(partition) => {
                    let given = (task, Given::Room);
                    self.delegate(context, placing, partition, given, &open.name)
                }
                None => self.assign_task(context, placing, &open.name, task, together),
            }
            open.free = open.free - MachineResources::of_task(&placing.spec);
        }
        true
    }

    /// Places a task that was taken on a machine that this leader places on.
    fn assign_task(
        &mut self,
        context: &mut Context,
        placing: &Placing,
        machine: &str,
        task: u64,
        together: Option<u64>,
    ) {
        let zone = self.machines.get(machine).map(|m| m.zone.clone());
        if let (Some(zone), Some(job)) = (zone, self.jobs.get_mut(placing.index)) {
            *job.zones.entry(zone).or_insert(0) += 1;
        }
        let attempt = match together {
            Some(attempt) => attempt,
            None => self.next_attempt(),
        };
        let stay = (attempt, placing.expected);
        self.assign(context, machine, placing.index, task, &placing.spec, stay);
    }

    /// How many tasks of a gang could be placed at once.
    fn gang_room(
        &self,
        index: JobIndex,
        (spec, service): (&Submission, bool),
        candidates: &[(Preference, usize)],
        open: &[OpenMachine],
        fixed_zone: Option<&str>,
    ) -> u64 {
        let here = |zone: &str| {
            let n = self.jobs.get(index).and_then(|j| j.zones.get(zone));
            n.copied().unwrap_or(0) as u64
        };
        room_by_zone(spec, service, candidates, open)
            .into_iter()
            .filter(|(zone, _)| fixed_zone.is_none_or(|z| z == *zone))
            .map(|(zone, n)| {
                if spec.spread {
                    n.min(spec.tasks.div_ceil(2).saturating_sub(here(zone)))
                } else {
                    n
                }
            })
            .sum()
    }

    /// The zone that a `one_zone` job is bound to: where its tasks are, else where most fit.
    fn fixed_zone(
        &self,
        index: JobIndex,
        (spec, service): (&Submission, bool),
        candidates: &[(Preference, usize)],
        open: &[OpenMachine],
    ) -> Option<String> {
        if !spec.one_zone {
            return None;
        }
        let job = self.jobs.get(index)?;
        if let Some(zone) = job.bound_zone() {
            return Some(zone.to_string());
        }
        room_by_zone(spec, service, candidates, open)
            .into_iter()
            .max_by_key(|(_, n)| *n)
            .map(|(z, _)| z.to_string())
    }

    /// Puts a task on a machine, which launches it once that is on record.
    pub(crate) fn assign(
        &mut self,
        context: &Context,
        name: &str,
        job: JobIndex,
        task: u64,
        spec: &Submission,
        (attempt, expected): (u64, Micros),
    ) {
        let now = context.now.steady;
        let page = self.page_with_room();
        // When far more is to be written than the rate allows, as after a change of leader, services
        // once waited half a minute behind hundreds of batch tasks.
        let ahead = match spec.priority {
            Priority::Prod => PROD_AHEAD,
            Priority::High => HIGH_AHEAD,
            _ => 0,
        };
        let written = self
            .write_buffer
            .mark_dirty_by(RecordId::Page(page), now.saturating_sub(ahead));
        let by_holder = self.is_holder();
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let placed = PlacedTask {
            machine: name.to_string(),
            incarnation: m.incarnation,
            job: spec.id.clone(),
            task,
            attempt,
            expected_us: expected,
        };
        let assignment = Assignment {
            page,
            written,
            delivered: false,
            by_holder,
            ..Assignment::new(TaskOnMachine {
                task: &placed,
                job: Some(job),
                spec: Some(spec),
                zone: m.zone.clone(),
                now,
            })
        };
        if Shape::of(spec) == Some(Shape::Daemon) {
            let image = m.has_image(&spec.image);
            let age = self.jobs.get(job).map_or(0, |j| j.age(now));
            info!(
                "{}/{task}: goes to {name} in {} after {} ms, image there {image}, free {}",
                spec.id,
                m.zone,
                age / MILLI,
                m.free().cpus
            );
        }
        m.use_image(&spec.image, spec.image_gb);
        m.idle_since = now;
        self.page_mut(page).add(name, &assignment);
        self.add_assignment(name, assignment);
        // Its answer carries the launch once the page is written.
        self.wake_long_poll(context, name);
    }
}
