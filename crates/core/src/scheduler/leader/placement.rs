//! Placement: which task goes to which machine.
//!
//! A round serves jobs by priority, guaranteed share and deadline, as far as the team's limit and the free resources allow. It
//! has a time budget: a round that runs out of it continues with the next job the next time.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{MachineResources, OpenMachine};
use crate::state::jobs::{Job, JobIndex, RESOURCE_TOLERANCE};
use crate::state::machine::Machine;
use crate::{Micros, Stopwatch, SECOND};
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::Shape;
use log::debug;
use std::collections::BTreeSet;

pub(crate) mod assignment;
pub(crate) mod guarantees;
pub(crate) mod pool;
pub(crate) mod preemption;
pub(crate) mod queue;
pub(crate) mod reservation;
pub(crate) mod tasks;

/// What is left of a team's limit is kept for a job that waits only if enough is freed so soon, in microseconds.
const QUOTA_KEPT_FOR: Micros = 60 * SECOND;

/// Time between two rounds if nothing changed, in microseconds.
const IDLE_INTERVAL: Micros = SECOND;

/// Time between two rounds of preemption, in microseconds.
const PREEMPTION_INTERVAL: Micros = SECOND;

/// A job in the order in which jobs are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    /// The job.
    pub index: JobIndex,
    /// How urgent it is: lower numbers come first.
    pub level: u8,
}

/// The jobs that may place tasks in a round.
struct RoundOrder {
    jobs: Vec<QueuedJob>,
    /// Teams the rest of whose limit is kept for a job that has waited long.
    teams_with_kept_quota: BTreeSet<String>,
}

impl Scheduler {
    /// Runs a round of placement if it is due.
    pub(crate) fn run_placement(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now < self.placement.next_at {
            return;
        }
        self.schedule_next_round(context);
        if now < self.placement.blocked_until || self.has_unreadable_tasks() {
            return;
        }
        self.placement.is_round_requested = false;
        self.leader_quota.teams_short_of_room.clear();
        self.jobs.begin_catch_ups(now);
        let queue = self.job_queue(context);
        let mut open = self.open_machines(context);
        self.reserve_headroom(context, &mut open);
        let order = self.round_order(context, &queue);
        self.place_jobs(context, watch, order.jobs, &mut open);
        if self.grants_quota(context) {
            self.delegate_ahead(context, &queue, &order.teams_with_kept_quota);
            self.revoke_overdue(context, &open);
        }
        self.placement.has_backlog = queue.iter().any(|queued| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|job| job.waiting_count() > 0)
        });
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + PREEMPTION_INTERVAL;
            self.preempt(context, &queue);
            if self.enforces_guarantees(context) {
                self.preempt_for_guarantees(context, &queue);
            }
        }
    }

    fn schedule_next_round(&mut self, context: &Context) {
        let now = context.now.steady;
        let placement = &mut self.placement;
        placement.next_at = now + context.tuning.placement_interval_us;
        placement.no_round_before = placement.next_at;
        placement.rounds += 1;
        if !placement.is_round_requested && placement.resume_with.is_none() {
            // Rounds without news are needed only for what time itself changes.
            placement.next_at = now + IDLE_INTERVAL;
        }
        self.held_heartbeats_may_be_ready = true;
    }

    /// The jobs that may place tasks in this round, in order. What is left of a team's limit is kept for a job
    /// that has waited long and needs more of it: narrow tasks once took it as it became free, and a job of wide
    /// ones, or a gang, never began.
    fn round_order(&mut self, context: &Context, queue: &[QueuedJob]) -> RoundOrder {
        let now = context.now.steady;
        let mut kept: BTreeSet<String> = BTreeSet::new();
        let mut ending = TeamAmounts::new();
        let mut jobs = queue.to_vec();
        jobs.retain(|queued| {
            let Some(job) = self.jobs.get(queued.index) else {
                return false;
            };
            if kept.contains(&job.spec.team) {
                return false;
            }
            let has_quota = self.has_quota(context, queued.index);
            let has_waited_long = job.must_begin_early(now) || job.catching_up_since().is_some();
            if !has_quota
                && has_waited_long
                && job.placeable_count(now) > 0
                && self.has_quota_soon(context, queued.index, &mut ending)
            {
                kept.insert(job.spec.team.clone());
            }
            has_quota
        });
        if let Some(first) = self.placement.resume_with.take() {
            if let Some(at) = jobs.iter().position(|queued| queued.index == first) {
                jobs.rotate_left(at);
            }
        }
        RoundOrder {
            jobs,
            teams_with_kept_quota: kept,
        }
    }

    /// Places tasks of the jobs in this order, until nothing is free or the time budget is used up.
    fn place_jobs(
        &mut self,
        context: &mut Context,
        watch: &mut dyn Stopwatch,
        order: Vec<QueuedJob>,
        open: &mut Vec<OpenMachine>,
    ) {
        for queued in order {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                self.placement.resume_with = Some(queued.index);
                debug!("placement round out of time, to be continued");
                break;
            }
            self.place_job(context, queued, open);
            self.reserve_for_beginning(context, queued.index, open);
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
        let tasks = match job.shape {
            Shape::Gang => job.waiting_count().max(1),
            _ => 1,
        };
        let wanted = Resources::of(spec.cpus, spec.gpus).times(tasks);
        let used = self.resources_needed_by(&spec.team).saturating_sub(freed);
        self.team_quota(context, &spec.team)
            .is_some_and(|quota| used.saturating_add(wanted).fits(quota.limit))
    }

    /// Whether the team may have one more of the job's tasks, or a whole gang, once those of the team's tasks
    /// that are about to end have ended. How much that is, is summed up once a round for each team.
    fn has_quota_soon(&self, context: &Context, index: JobIndex, ending: &mut TeamAmounts) -> bool {
        let Some(job) = self.jobs.get(index) else {
            return false;
        };
        let (team, now) = (&job.spec.team, context.now.steady);
        let freed = ending.entry(team.clone()).or_insert_with(|| {
            self.machines
                .values()
                .flat_map(|machine| &machine.assignments)
                .filter(|a| a.team == *team && a.remaining_time(now, 0) < QUOTA_KEPT_FOR)
                .fold(Resources::ZERO, |sum, a| sum.saturating_add(a.amount()))
        });
        self.job_fits_limit(context, job, *freed)
    }

    /// Machines that new tasks may be placed on.
    pub(crate) fn usable_machines(&self, context: &Context) -> impl Iterator<Item = &Machine> {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let machines = self.machines.values();
        machines.filter(move |machine| machine.is_usable(now, heartbeat_timeout))
    }

    /// Machines with free resources.
    pub(crate) fn open_machines(&self, context: &Context) -> Vec<OpenMachine> {
        let now = context.now.steady;
        let grants = self.grants_quota(context);
        let promised = self.promised_resources();
        let free = |machine: &Machine| match promised.get(machine.name.as_str()) {
            Some(promised) => machine.free() - *promised,
            None => machine.free(),
        };
        self.usable_machines(context)
            .filter(|machine| free(machine).cpus > RESOURCE_TOLERANCE && !machine.reserved)
            .map(|machine| OpenMachine {
                name: machine.name.clone(),
                zone: machine.zone.clone(),
                machine_type: machine.machine_type.clone(),
                spot: machine.spot,
                free: free(machine),
                kept_for_preemptor: machine.idle_excluded_until > now,
                headroom: MachineResources::default(),
                placed_by: machine
                    .partition
                    .filter(|id| grants && self.may_delegate_to(context, *id)),
            })
            .collect()
    }
}

/// How a task is given to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DelegationKind {
    /// There are free resources for it, and it is charged to the quota grant.
    Placeable,
    /// It waits for resources that other tasks will free.
    Waiting,
}
