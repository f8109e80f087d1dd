//! Placement: which task goes to which machine.
//!
//! A round serves jobs by priority, guaranteed share and deadline, as far as the team's limit and the free resources allow. It
//! has a time budget: a round that runs out of it continues with the next job the next time.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources, OpenMachine};
use crate::state::jobs::{fits_type, Job, JobIndex, EPS};
use crate::state::machine::Machine;
use crate::{Micros, Stopwatch, SECOND};
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::Priority;
use grebewood_wire::http::Shape;
use log::debug;
use std::collections::BTreeSet;

pub(crate) mod guarantees;
pub(crate) mod preemption;
pub(crate) mod queue;
pub(crate) mod tasks;

/// What is left of a team's limit is kept for a job that waits only if enough is freed so soon.
const KEPT_FOR: Micros = 60 * SECOND;

/// A job in the order in which jobs are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    pub index: JobIndex,
    /// How urgent it is: lower numbers come first.
    pub level: u8,
}

impl Scheduler {
    pub(crate) fn run_placement(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now < self.placement.next_at {
            return;
        }
        self.placement.next_at = now + context.tuning.placement_interval_us;
        self.placement.not_before = self.placement.next_at;
        self.placement.rounds += 1;
        self.held_changed = true;
        if !self.placement.wanted && self.placement.resume.is_none() {
            // Rounds without news are needed only for what time itself changes.
            self.placement.next_at = now + SECOND;
        }
        if now < self.placement.blocked_until || self.has_unreadable_tasks() {
            return;
        }
        self.placement.wanted = false;
        self.leader_quota.pressed.clear();
        self.jobs.begin_catch_ups(now);
        let queue = self.queue(context);
        let mut open = self.open_machines(context);
        self.keep_headroom(context, &mut open);
        let mut order = queue.clone();
        // What is left of a team's limit is kept for a job that has waited long and needs more of it:
        // narrow tasks once took it as it became free, and a job of wide ones, or a gang, never began.
        let mut kept: BTreeSet<String> = BTreeSet::new();
        let mut ending = TeamAmounts::new();
        order.retain(|queued| {
            let Some(job) = self.jobs.get(queued.index) else {
                return false;
            };
            if kept.contains(&job.spec.team) {
                return false;
            }
            let has = self.has_quota(context, queued.index);
            let waits = job.must_begin(now) || job.catching_up().is_some();
            if !has
                && waits
                && job.placeable(now) > 0
                && self.has_quota_soon(context, queued.index, &mut ending)
            {
                kept.insert(job.spec.team.clone());
            }
            has
        });
        if let Some(from) = self.placement.resume.take() {
            if let Some(at) = order.iter().position(|queued| queued.index == from) {
                order.rotate_left(at);
            }
        }
        for queued in order {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                self.placement.resume = Some(queued.index);
                debug!("placement: out of time, goes on with the next round");
                break;
            }
            self.place_job(context, queued, &mut open);
            self.keep_for_beginning(context, queued.index, &mut open);
        }
        if self.grants_quota(context) {
            self.delegate_ahead(context, &queue, &kept);
            self.revoke_stuck(context, &open);
        }
        self.placement.backlog = queue.iter().any(|queued| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|j| j.waiting() > 0)
        });
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + SECOND;
            self.preempt(context, &queue);
            if self.enforces_guarantees(context) {
                self.make_room_for_guarantees(context, &queue);
            }
        }
    }

    /// Whether the job's team may have one more of its tasks; all that wait of a gang.
    pub(crate) fn has_quota(&self, context: &Context, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_some_and(|job| self.job_fits_limit(context, job, Resources::ZERO))
    }

    /// Whether a task of the job, or a whole gang, is within its team's limit once so much is freed.
    fn job_fits_limit(&self, context: &Context, job: &Job, freed: Resources) -> bool {
        let spec = &job.spec;
        let n = match job.shape {
            Shape::Gang => job.waiting().max(1),
            _ => 1,
        };
        let wanted = Resources::of(spec.cpus, spec.gpus).times(n);
        let used = self.needed_by(&spec.team).minus(freed);
        self.limit_of(context, &spec.team)
            .is_some_and(|limit| used.plus(wanted).fits(limit.limit))
    }

    /// Whether the team may have one more of the job's tasks, or a whole gang, once what of the team's
    /// is about to end has ended. How much that is, is summed up once a round for each team.
    fn has_quota_soon(&self, context: &Context, index: JobIndex, ending: &mut TeamAmounts) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return false;
        };
        let (team, now) = (&job.spec.team, context.now.steady);
        let freed = ending.entry(team.clone()).or_insert_with(|| {
            self.machines
                .values()
                .flat_map(|m| &m.assignments)
                .filter(|a| a.team == *team && a.remaining(now, 0) < KEPT_FOR)
                .fold(Resources::ZERO, |sum, a| sum.plus(a.amount()))
        });
        self.job_fits_limit(context, job, *freed)
    }

    /// Machines with free room.
    pub(crate) fn open_machines(&self, context: &Context) -> Vec<OpenMachine> {
        let now = context.now.steady;
        let silence = context.settings.heartbeat_interval * 3;
        let grants = self.grants_quota(context);
        let promised = self.promised_room();
        let free = |m: &Machine| {
            let free = m.free();
            let taken = promised.get(m.name.as_str());
            taken.map_or(free, |taken| free - *taken)
        };
        self.machines
            .values()
            .filter(|m| free(m).cpus > EPS && m.usable(now, silence) && !m.reserved)
            .map(|m| OpenMachine {
                name: m.name.clone(),
                zone: m.zone.clone(),
                machine_type: m.machine_type.clone(),
                spot: m.spot,
                free: free(m),
                kept: m.kept_until > now,
                headroom: MachineResources::default(),
                placed_by: m
                    .partition
                    .filter(|id| grants && self.may_delegate_to(context, *id)),
            })
            .collect()
    }

    /// A job that is to begin ahead of its turn and found no room for a task: the machine with the most
    /// room that it could use is kept from the jobs after it, so that the room adds up. Narrow tasks
    /// once took each slot as it became free, and a job of wide ones began after ten minutes. For a
    /// gang as many machines are kept as hold all of it: with one it once waited for good.
    fn keep_for_beginning(&self, context: &Context, index: JobIndex, open: &mut Vec<OpenMachine>) {
        let Some(job) = self.jobs.get(index) else {
            return;
        };
        if !job.must_begin(context.now.steady) || !self.has_quota(context, index) {
            return;
        }
        let spec = &job.spec;
        // A gang that is spread and has but one zone can never begin: a machine was kept for one for
        // good, and others waited beside it.
        let zones: BTreeSet<&String> = context
            .catalogue
            .iter()
            .flatten()
            .filter(|t| fits_type(spec, t))
            .flat_map(|t| &t.zones)
            .filter(|z| spec.zone.as_ref().is_none_or(|y| y == *z))
            .collect();
        if job.shape == Shape::Gang && spec.spread && spec.tasks > 1 && zones.len() < 2 {
            return;
        }
        let mut room: Vec<(f64, &str, &str, u64)> = open
            .iter()
            .filter(|o| permits(context, spec, &o.machine_type, &o.zone, o.spot))
            .filter_map(|o| {
                let m = self.machines.get(&o.name)?;
                let whole = tasks_that_fit(m.resources(), spec);
                Some((-o.free.cpus, o.name.as_str(), o.zone.as_str(), whole))
            })
            .collect();
        room.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        if let (true, Some((_, _, zone, _))) = (spec.one_zone, room.first().copied()) {
            room.retain(|(_, _, z, _)| *z == zone);
        }
        let need = match job.shape {
            Shape::Gang => job.beginning(),
            _ => 1,
        };
        let mut kept_slots = 0;
        let mut kept = BTreeSet::new();
        for (_, name, _, whole) in room {
            if kept_slots >= need {
                break;
            }
            kept_slots += whole;
            kept.insert(name.to_string());
        }
        open.retain(|o| !kept.contains(&o.name));
    }
}

/// A task that may be stopped for another.
#[derive(Clone)]
pub(crate) struct PreemptionCandidate {
    ran: Micros,
    priority: Priority,
    attempt: u64,
    /// Whether its job is within its team's guarantee, where that is enforced.
    guaranteed: bool,
    team: String,
    grace: Micros,
    resources: MachineResources,
}

/// How a task is given to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Given {
    /// There is room for it, and it is charged to the allotment.
    Room,
    /// It waits for what other tasks will leave.
    Waiting,
}
