//! The order in which waiting jobs are served.

use crate::context::Context;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::jobs::{Job, JobIndex, EPS};
use crate::Micros;
use grebewood_quota::Resources;
use grebewood_wire::http::Priority;
use grebewood_wire::http::Shape;
use std::collections::{BTreeMap, BTreeSet};

impl Scheduler {
    /// Time that a job still needs if it gets all the room that its team's limit allows.
    pub(crate) fn need(&self, context: &Context, job: &Job) -> Micros {
        let run = self.stats.expected_run(&job.spec);
        let left = job.tasks().saturating_sub(job.done_count) as f64;
        let team = self.limit_of(context, &job.spec.team);
        let cpus = job.spec.cpus.max(EPS);
        let most = team.map_or(left, |limit| (limit.limit.cpus() / cpus).floor());
        let rounds = (left / most.clamp(1.0, 1e6)).max(1.0);
        (run as f64 * rounds) as Micros
    }

    /// Jobs within their team's guarantee: those that fit into it together with the team's earlier
    /// jobs, as far as these are unfinished. They need not wait for other teams.
    pub(crate) fn within_guarantee(&self, context: &Context) -> BTreeSet<JobIndex> {
        let mut by_age: Vec<(i64, JobIndex, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.cancelled.is_none() && j.ending.is_none())
            .map(|(index, j)| (j.age_base, index, j))
            .collect();
        by_age.sort_by_key(|(age, index, _)| (*age, *index));
        let mut sums: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (_, index, j) in by_age {
            let Some(limit) = self.limit_of(context, &j.spec.team) else {
                continue;
            };
            let left = j.tasks().saturating_sub(j.done_count);
            let sum = sums.entry(&j.spec.team).or_default();
            *sum = sum.plus(Resources::of(j.spec.cpus, j.spec.gpus).times(left));
            if sum.fits(limit.guarantee) {
                within.insert(index);
            }
        }
        within
    }

    /// The order in which waiting jobs are served: first the beginning of jobs that have waited
    /// long for one; then, where room is made for guarantees, what is within them; then by priority, with those within their team's guarantee after the high
    /// ones and before all others, where an aim counts how soon they start; before these what has
    /// waited long without getting any further; those that can still meet an aim before those that cannot;
    /// then those with the least work left, since that lets the most jobs meet their aims when not
    /// all of them can.
    pub(crate) fn queue(&self, context: &Context) -> Vec<QueuedJob> {
        let now = context.now.steady;
        // Where room is made for guarantees, it must not go to others.
        let enforced = self.enforces_guarantees(context);
        let guaranteed = match enforced || context.settings.guarantees_count() {
            true => self.within_guarantee(context),
            false => BTreeSet::new(),
        };
        let mut queue: Vec<((u8, bool, i64), JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.waiting() > 0 && j.retry_at <= now)
            .map(|(index, j)| {
                if j.must_begin(now) {
                    return ((0, false, j.age_base), index);
                }
                let guaranteed = guaranteed.contains(&index);
                // What is free now, to the one that has waited longest: a large array of higher
                // priority once kept all of a class from being served.
                let level_first = guaranteed && enforced;
                if let (Some(since), true, false) = (
                    j.catching_up(),
                    j.spec.priority < Priority::High,
                    level_first,
                ) {
                    return ((4, false, since as i64), index);
                }
                let need = self.need(context, j);
                let feasible = j.target(context, need).is_some();
                let left = j.tasks().saturating_sub(j.done_count) as f64;
                let run = self.stats.expected_run(&j.spec) as f64;
                // What needs its slots at once comes before what fills them one by one.
                let work = match j.shape {
                    Shape::Batch => (left * j.spec.cpus * run) as i64,
                    _ => 0,
                };
                let level = match j.spec.priority {
                    _ if level_first => 1,
                    Priority::Prod => 2,
                    Priority::High => 3,
                    _ if guaranteed => 5,
                    Priority::Normal => 6,
                    Priority::Idle => 7,
                };
                ((level, !feasible, work), index)
            })
            .collect();
        queue.sort();
        let queue = queue.into_iter();
        queue
            .map(|((level, _, _), index)| QueuedJob { index, level })
            .collect()
    }
}
