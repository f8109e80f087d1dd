//! The order in which waiting jobs are served.

use crate::context::Context;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::jobs::{Job, JobIndex, RESOURCE_TOLERANCE};
use crate::Micros;
use grebewood_quota::Resources;
use grebewood_wire::http::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Levels of urgency in the queue: lower ones are served first.
mod level {
    /// The beginning of a job that has waited long for one.
    pub(super) const BEGINNING: u8 = 0;
    /// Within a guaranteed share, where that is enforced.
    pub(super) const ENFORCED_GUARANTEE: u8 = 1;
    /// Priority `prod`.
    pub(super) const PROD: u8 = 2;
    /// Priority `high`.
    pub(super) const HIGH: u8 = 3;
    /// Has waited long without getting any further.
    pub(super) const CATCHING_UP: u8 = 4;
    /// Within a guaranteed share, where an objective counts how soon it starts.
    pub(super) const GUARANTEED: u8 = 5;
    /// Priority `normal`.
    pub(super) const NORMAL: u8 = 6;
    /// Priority `idle`.
    pub(super) const IDLE: u8 = 7;
}

/// How a job stands to its team's guaranteed share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GuaranteeStanding {
    /// It is not within it, or that counts for nothing.
    Outside,
    /// It is within it, and an objective counts how soon it starts.
    Within,
    /// It is within it, and that is enforced.
    WithinEnforced,
}

/// What jobs are sorted by: the first in the queue is the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    level: u8,
    /// Whether it can meet no objective any more.
    infeasible: bool,
    /// Within a level: the time since which it waits, in microseconds, or the work that is left, in
    /// CPU microseconds.
    rank: i64,
    index: JobIndex,
}

impl Scheduler {
    /// Time that a job still needs if it gets all that its team's limit allows, in microseconds.
    pub(crate) fn time_needed(&self, context: &Context, job: &Job) -> Micros {
        let run = self.stats.expected_run(&job.spec);
        let left = job.task_count().saturating_sub(job.completed_count) as f64;
        let quota = self.team_quota(context, &job.spec.team);
        let cpus = job.spec.cpus.max(RESOURCE_TOLERANCE);
        let most = quota.map_or(left, |quota| (quota.limit.cpus() / cpus).floor());
        let rounds = (left / most.clamp(1.0, 1e6)).max(1.0);
        (run as f64 * rounds) as Micros
    }

    /// Jobs within their team's guaranteed share: those that fit into it together with the team's earlier
    /// jobs, as far as these are unfinished. They need not wait for other teams.
    pub(crate) fn within_guarantee(&self, context: &Context) -> BTreeSet<JobIndex> {
        let mut by_age: Vec<(JobIndex, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.cancelled_at.is_none() && job.ending.is_none())
            .collect();
        by_age.sort_by_key(|(index, job)| (job.accepted_at, *index));
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (index, job) in by_age {
            let spec = &job.spec;
            let Some(quota) = self.team_quota(context, &spec.team) else {
                continue;
            };
            let left = job.task_count().saturating_sub(job.completed_count);
            let sum = sums.entry(&spec.team).or_default();
            *sum = sum.saturating_add(Resources::of(spec.cpus, spec.gpus).times(left));
            if sum.fits(quota.guarantee) {
                within.insert(index);
            }
        }
        within
    }

    /// The order in which waiting jobs are served: first the beginning of jobs that have waited
    /// long for one; then, where guaranteed shares are enforced, what is within them; then by priority, with those
    /// within their team's guaranteed share after the high ones and before all others, where an objective counts
    /// how soon they start; before these what has waited long without getting any further; those that can still
    /// meet an objective before those that cannot; then those with the least work left, since that lets the most
    /// jobs meet their objectives when not all of them can.
    pub(crate) fn job_queue(&self, context: &Context) -> Vec<QueuedJob> {
        let now = context.now.steady;
        // Where guaranteed shares are enforced, what is freed for them must not go to others.
        let enforced = self.enforces_guarantees(context);
        let guaranteed = match enforced || context.settings.has_guarantee_objective() {
            true => self.within_guarantee(context),
            false => BTreeSet::new(),
        };
        let mut queue: Vec<QueueKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waiting_count() > 0 && job.retry_at <= now)
            .map(|(index, job)| {
                let standing = match (guaranteed.contains(&index), enforced) {
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

    /// What the job is sorted by.
    fn queue_key(
        &self,
        context: &Context,
        index: JobIndex,
        job: &Job,
        standing: GuaranteeStanding,
    ) -> QueueKey {
        let level_and_rank = |level, rank| QueueKey {
            level,
            infeasible: false,
            rank,
            index,
        };
        if job.must_begin_early(context.now.steady) {
            return level_and_rank(level::BEGINNING, job.accepted_at);
        }
        // What is free now, to the one that has waited longest: a large array of higher
        // priority once kept all of a class from being served.
        let enforced_guarantee = standing == GuaranteeStanding::WithinEnforced;
        if let Some(since) = job.catching_up_since() {
            if job.spec.priority < Priority::High && !enforced_guarantee {
                return level_and_rank(level::CATCHING_UP, since as i64);
            }
        }
        let level = match job.spec.priority {
            _ if enforced_guarantee => level::ENFORCED_GUARANTEE,
            Priority::Prod => level::PROD,
            Priority::High => level::HIGH,
            _ if standing == GuaranteeStanding::Within => level::GUARANTEED,
            Priority::Normal => level::NORMAL,
            Priority::Idle => level::IDLE,
        };
        QueueKey {
            level,
            infeasible: job
                .target_finish_at(context, self.time_needed(context, job))
                .is_none(),
            rank: self.work_left(job),
            index,
        }
    }

    /// Work that is left of a job array, in CPU microseconds. What needs its slots at once comes before what
    /// fills them one by one.
    fn work_left(&self, job: &Job) -> i64 {
        let left = job.task_count().saturating_sub(job.completed_count) as f64;
        let run = self.stats.expected_run(&job.spec) as f64;
        match job.shape {
            Shape::Batch => (left * job.spec.cpus * run) as i64,
            _ => 0,
        }
    }
}
