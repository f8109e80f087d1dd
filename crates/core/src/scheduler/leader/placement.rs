//! Task placement: decides which task runs on which machine.
//!
//! A placement round serves the waiting jobs in the order of the job queue, as far as the team's limit and the
//! free resources allow. Each round has a time budget. The round after one that exceeds its budget starts with the
//! job at which that one stopped.
//!
//! A machine is open in a round while it has free CPUs and new tasks may be placed on it.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{MachineResources, OpenMachine};
use crate::state::jobs::{Job, JobIndex, RESOURCE_TOLERANCE};
use crate::state::machine::Machine;
use crate::{Micros, Stopwatch, SECOND};
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::Shape;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

pub(crate) mod assignment;
pub(crate) mod guarantees;
pub(crate) mod pool;
pub(crate) mod preemption;
pub(crate) mod queue;
pub(crate) mod reservation;
pub(crate) mod tasks;
mod waits;

/// The rest of a team's limit is reserved for a waiting job only if tasks that end within this time free enough of
/// it for the job.
const QUOTA_RESERVATION_WINDOW_US: Micros = 60 * SECOND;

/// Time between two placement rounds if nothing has changed.
const IDLE_ROUND_INTERVAL_US: Micros = SECOND;

/// Time between two preemption rounds.
const PREEMPTION_INTERVAL_US: Micros = SECOND;

/// An entry of the job queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    /// The job's index in the job table.
    pub index: JobIndex,
    /// The job's level of urgency: lower levels are served first.
    pub level: u8,
}

/// The jobs whose tasks may be placed in a round.
struct RoundOrder {
    /// The jobs, in the order in which the round serves them.
    jobs: Vec<QueuedJob>,
    /// Teams for which the rest of the limit is reserved for a job that has waited long.
    teams_with_reserved_quota: BTreeSet<String>,
}

impl Scheduler {
    /// Runs a placement round if one is due.
    pub(crate) fn run_placement(&mut self, context: &mut Context, stopwatch: &mut dyn Stopwatch) {
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
        self.observe_waits(context, &queue);
        let mut open = self.open_machines(context);
        self.reserve_headroom(context, &mut open);
        let order = self.round_order(context, &queue);
        self.place_jobs(context, stopwatch, order.jobs, &mut open);
        if self.grants_quota(context) {
            self.delegate_to_freeing_machines(context, &queue, &order.teams_with_reserved_quota);
            self.revoke_overdue_delegations(context, &open);
        }
        self.placement.has_backlog = queue.iter().any(|queued| {
            let job = self.jobs.get(queued.index);
            job.is_some_and(|job| job.waiting_count() > 0)
        });
        if now >= self.placement.next_preemption {
            self.placement.next_preemption = now + PREEMPTION_INTERVAL_US;
            self.preempt_by_priority(context, &queue);
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
            // Without changes, a round is needed only because time passes: backoffs end and waiting jobs become
            // overdue.
            placement.next_at = now + IDLE_ROUND_INTERVAL_US;
        }
        self.held_heartbeats_may_be_ready = true;
    }

    /// Returns the jobs whose tasks may be placed in this round: those that fit their team's limit, starting with
    /// the job at which the last round stopped.
    ///
    /// If a job has waited long and does not fit the rest of its team's limit, but will soon, that rest is
    /// reserved for it, and the team's later jobs are left out, unless they have waited too long beside free
    /// resources. Without this, tasks that need few resources use the quota as soon as it is freed, and a gang or a
    /// job whose tasks need many resources never starts.
    fn round_order(&mut self, context: &Context, queue: &[QueuedJob]) -> RoundOrder {
        let now = context.now.steady;
        let mut reserved_teams: BTreeSet<String> = BTreeSet::new();
        let mut freed_soon_by_team = TeamAmounts::new();
        let mut jobs = queue.to_vec();
        jobs.retain(|queued| {
            let Some(job) = self.jobs.get(queued.index) else {
                return false;
            };
            let has_quota = self.has_quota(context, queued.index);
            let team = &job.spec.team;
            if reserved_teams.contains(team) {
                return has_quota && self.has_waited_beside_room(queued.index, now);
            }
            if !has_quota && self.needs_reserved_quota(context, job, &mut freed_soon_by_team) {
                if self.placement.reserved_quotas.observe(team, now) {
                    debug!(
                        job = job.id, team = team;
                        "reserved the rest of a team's limit for a job that has waited too long"
                    );
                }
                reserved_teams.insert(team.clone());
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
            teams_with_reserved_quota: reserved_teams,
        }
    }

    /// Returns whether the rest of the team's limit is to be reserved for a job that does not fit it: the job has
    /// waited long, has tasks to place, and will fit soon.
    fn needs_reserved_quota(
        &self,
        context: &Context,
        job: &Job,
        freed_soon_by_team: &mut TeamAmounts,
    ) -> bool {
        let now = context.now.steady;
        let has_waited_long = job.must_begin_early(now) || job.catching_up_since().is_some();
        has_waited_long
            && job.placeable_count(now) > 0
            && self.has_quota_soon(context, job, freed_soon_by_team)
    }

    /// Places tasks of the jobs in this order until no machine is open or the time budget is exceeded. Once all open
    /// machines are reserved, only jobs that have waited too long beside free resources are served.
    fn place_jobs(
        &mut self,
        context: &mut Context,
        stopwatch: &mut dyn Stopwatch,
        order: Vec<QueuedJob>,
        open: &mut Vec<OpenMachine>,
    ) {
        for queued in order {
            if open.is_empty() {
                break;
            }
            let is_all_reserved = open.iter().all(|machine| machine.reserved);
            if is_all_reserved && !self.has_waited_beside_room(queued.index, context.now.steady) {
                continue;
            }
            if stopwatch.elapsed() > context.tuning.placement_budget_us {
                self.placement.resume_with = Some(queued.index);
                debug!("placement round exceeded its time budget; the next round continues it");
                break;
            }
            self.place_job(context, queued, open);
            self.reserve_for_overdue_start(context, queued.index, open);
        }
    }

    /// Returns whether one more task of the job fits its team's limit. For a gang, all waiting tasks must fit.
    pub(crate) fn has_quota(&self, context: &Context, index: JobIndex) -> bool {
        let job = self.jobs.get(index);
        job.is_some_and(|job| self.job_fits_limit(context, job, Resources::ZERO))
    }

    /// Returns whether one more task of the job, or all waiting tasks of a gang, fit the team's limit once the
    /// team has freed the amount `freed`.
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

    /// Returns whether one more task of the job, or all waiting tasks of a gang, will fit the team's limit once
    /// the team's tasks that are expected to end soon have ended. `freed_soon_by_team` caches what these tasks
    /// use, so that it is summed up once per team and round.
    fn has_quota_soon(
        &self,
        context: &Context,
        job: &Job,
        freed_soon_by_team: &mut TeamAmounts,
    ) -> bool {
        let (team, now) = (&job.spec.team, context.now.steady);
        let freed = freed_soon_by_team.entry(team.clone()).or_insert_with(|| {
            self.machines
                .values()
                .flat_map(|machine| &machine.assignments)
                .filter(|a| {
                    a.team == *team && a.remaining_time(now, 0) < QUOTA_RESERVATION_WINDOW_US
                })
                .fold(Resources::ZERO, |sum, a| sum.saturating_add(a.amount()))
        });
        self.job_fits_limit(context, job, *freed)
    }

    /// Returns the machines on which new tasks may be placed.
    pub(crate) fn usable_machines(&self, context: &Context) -> impl Iterator<Item = &Machine> {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let machines = self.machines.values();
        machines.filter(move |machine| machine.is_usable(now, heartbeat_timeout))
    }

    /// Returns the usable machines with free CPUs, except those on which nothing new is to be placed. Resources
    /// that are promised to delegated tasks do not count as free.
    pub(crate) fn open_machines(&self, context: &Context) -> Vec<OpenMachine> {
        let now = context.now.steady;
        let grants = self.grants_quota(context);
        let promised = self.promised_resources();
        let free = |machine: &Machine| free_without(machine, &promised);
        self.usable_machines(context)
            .filter(|machine| {
                free(machine).cpus > RESOURCE_TOLERANCE && !machine.reserved_by_leader
            })
            .map(|machine| OpenMachine {
                name: machine.name.clone(),
                zone: machine.zone.clone(),
                machine_type: machine.machine_type.clone(),
                spot: machine.spot,
                free: free(machine),
                excludes_idle_priority: machine.idle_excluded_until > now,
                reserved: false,
                headroom: MachineResources::default(),
                placed_by: machine
                    .partition
                    .filter(|id| grants && self.may_delegate_to(context, *id)),
            })
            .collect()
    }
}

/// Returns the free resources of a machine without those that are promised to delegated tasks.
fn free_without(
    machine: &Machine,
    promised: &BTreeMap<&str, MachineResources>,
) -> MachineResources {
    match promised.get(machine.name.as_str()) {
        Some(promised) => machine.free() - *promised,
        None => machine.free(),
    }
}

/// Whether a task that is delegated to a partition holder can be placed at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DelegationKind {
    /// Free resources exist for the task, and it is charged to the quota grant.
    Placeable,
    /// The task waits for resources that other tasks will free.
    Waiting,
}
