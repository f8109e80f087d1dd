//! The job queue: the order in which waiting jobs are served.

use crate::context::Context;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::jobs::{Job, JobIndex, RESOURCE_TOLERANCE};
use crate::Micros;
use grebewood_quota::Resources;
use grebewood_wire::http::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Levels of urgency in the job queue: lower levels are served first. A job has the lowest level that applies to it.
mod level {
    /// The start of a job that has waited too long to start.
    pub(super) const OVERDUE_START: u8 = 0;
    /// Jobs within their team's guaranteed share, while guaranteed shares are enforced.
    pub(super) const ENFORCED_GUARANTEE: u8 = 1;
    /// Jobs of priority `prod`.
    pub(super) const PROD: u8 = 2;
    /// Jobs of priority `high`.
    pub(super) const HIGH: u8 = 3;
    /// Jobs that have starved and catch up: their waiting tasks are placed ahead of those of later levels.
    pub(super) const CATCHING_UP: u8 = 4;
    /// Jobs within their team's guaranteed share, if an objective measures how soon such jobs start.
    pub(super) const GUARANTEED: u8 = 5;
    /// Jobs of priority `normal`.
    pub(super) const NORMAL: u8 = 6;
    /// Jobs of priority `idle`.
    pub(super) const IDLE: u8 = 7;
}

/// Whether a job is within its team's guaranteed share, and how that affects its level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GuaranteeStanding {
    /// The job exceeds the guaranteed share, or guaranteed shares do not affect the order: they are not enforced,
    /// and no objective depends on them.
    Outside,
    /// The job is within the guaranteed share, and an objective measures how soon such jobs start.
    Within,
    /// The job is within the guaranteed share, and guaranteed shares are enforced.
    WithinEnforced,
}

/// Sort key of the job queue: the job with the lowest key is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    level: u8,
    /// Whether the job can no longer meet any objective.
    misses_all_objectives: bool,
    /// The rank within the level. For an overdue start this is when the job was accepted, for a job that catches
    /// up since when it had starved, both in microseconds. For all others it is the work left, in CPU
    /// microseconds.
    rank: i64,
    index: JobIndex,
}

impl Scheduler {
    /// Returns the time that a job still needs, in microseconds, if it gets as many CPUs as its team's limit
    /// allows.
    pub(crate) fn time_needed(&self, context: &Context, job: &Job) -> Micros {
        let run = self.stats.expected_run(&job.spec);
        let left = job.task_count().saturating_sub(job.completed_count) as f64;
        let quota = self.team_quota(context, &job.spec.team);
        let cpus = job.spec.cpus.max(RESOURCE_TOLERANCE);
        let max_parallel_tasks = quota.map_or(left, |quota| (quota.limit.cpus() / cpus).floor());
        let rounds = (left / max_parallel_tasks.clamp(1.0, 1e6)).max(1.0);
        (run as f64 * rounds) as Micros
    }

    /// Returns the jobs that are within their team's guaranteed share. A job is within it if its unfinished tasks
    /// and those of all earlier jobs of the team fit it together. Such jobs do not have to wait for other teams.
    pub(crate) fn jobs_within_guarantee(&self, context: &Context) -> BTreeSet<JobIndex> {
        let mut by_age: Vec<(JobIndex, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.cancelled_at.is_none() && job.ending.is_none())
            .collect();
        by_age.sort_by_key(|(index, job)| (job.accepted_at, *index));
        let mut totals_by_team: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within_guarantee = BTreeSet::new();
        for (index, job) in by_age {
            let spec = &job.spec;
            let Some(quota) = self.team_quota(context, &spec.team) else {
                continue;
            };
            let left = job.task_count().saturating_sub(job.completed_count);
            let team_total = totals_by_team.entry(&spec.team).or_default();
            *team_total =
                team_total.saturating_add(Resources::of(spec.cpus, spec.gpus).times(left));
            if team_total.fits(quota.guarantee) {
                within_guarantee.insert(index);
            }
        }
        within_guarantee
    }

    /// Returns the waiting jobs in the order in which they are served: by the levels of the module `level`, and
    /// within a level by the rest of `QueueKey`.
    ///
    /// On level `OVERDUE_START` the job that was accepted first comes first, and on level `CATCHING_UP` the one
    /// that has starved for longest. On all other levels, jobs that can still meet an objective come before those
    /// that cannot, and among them the jobs with the least work left come first: if not all jobs can meet their
    /// objectives, this order lets the most of them do so.
    pub(crate) fn job_queue(&self, context: &Context) -> Vec<QueuedJob> {
        let now = context.now.steady;
        // Resources that preemption frees for a guaranteed share must not go to other teams.
        let are_guarantees_enforced = self.enforces_guarantees(context);
        let guaranteed = match are_guarantees_enforced || context.settings.has_guarantee_objective()
        {
            true => self.jobs_within_guarantee(context),
            false => BTreeSet::new(),
        };
        let mut queue: Vec<QueueKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waiting_count() > 0 && job.retry_at <= now)
            .map(|(index, job)| {
                let standing = match (guaranteed.contains(&index), are_guarantees_enforced) {
                    (false, _) => GuaranteeStanding::Outside,
                    (true, false) => GuaranteeStanding::Within,
                    (true, true) => GuaranteeStanding::WithinEnforced,
                };
                self.queue_key(context, index, job, standing)
            })
            .collect();
        queue.sort();
        queue
            .into_iter()
            .map(|QueueKey { level, index, .. }| QueuedJob { index, level })
            .collect()
    }

    /// Returns the sort key of the job.
    fn queue_key(
        &self,
        context: &Context,
        index: JobIndex,
        job: &Job,
        standing: GuaranteeStanding,
    ) -> QueueKey {
        let key_with = |level, rank| QueueKey {
            level,
            misses_all_objectives: false,
            rank,
            index,
        };
        if job.must_begin_early(context.now.steady) {
            return key_with(level::OVERDUE_START, job.accepted_at);
        }
        // Among starved jobs, the one that has waited longest is served first. Without this level, a large array
        // of higher priority can keep all jobs of a class from being served.
        let is_within_enforced_guarantee = standing == GuaranteeStanding::WithinEnforced;
        if let Some(since) = job.catching_up_since() {
            if job.spec.priority < Priority::High && !is_within_enforced_guarantee {
                return key_with(level::CATCHING_UP, since as i64);
            }
        }
        let level = match job.spec.priority {
            _ if is_within_enforced_guarantee => level::ENFORCED_GUARANTEE,
            Priority::Prod => level::PROD,
            Priority::High => level::HIGH,
            _ if standing == GuaranteeStanding::Within => level::GUARANTEED,
            Priority::Normal => level::NORMAL,
            Priority::Idle => level::IDLE,
        };
        QueueKey {
            level,
            misses_all_objectives: job
                .target_finish_at(context, self.time_needed(context, job))
                .is_none(),
            rank: self.work_left(job),
            index,
        }
    }

    /// Returns the work left of a batch job, in CPU microseconds, and 0 for gangs and services. These need
    /// resources for their tasks at the same time, so they are served before batch jobs, which use free resources
    /// one task at a time.
    fn work_left(&self, job: &Job) -> i64 {
        let left = job.task_count().saturating_sub(job.completed_count) as f64;
        let run = self.stats.expected_run(&job.spec) as f64;
        match job.shape {
            Shape::Batch => (left * job.spec.cpus * run) as i64,
            _ => 0,
        }
    }
}
