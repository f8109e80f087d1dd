//! Preemption for guaranteed shares: makes room for teams below theirs out of what other teams run beyond theirs.

use crate::context::Context;
use crate::scheduler::agents::heartbeats::grace;
use crate::scheduler::leader::placement::QueuedJob;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, ObservedStatus};
use crate::{micros, Micros};
use grebewood_quota::{Resources, TeamAmounts};
use grebewood_wire::http::Shape;
use grebewood_wire::http::Submission;
use grebewood_wire::peer::TaskAttempt;
use log::{debug, info};
use std::collections::BTreeSet;

/// A task that may be stopped, since its team runs more than its guarantee.
struct Borrowed {
    /// Its job has waited or made way for others long enough.
    aged: bool,
    /// How long it has run.
    ran: Micros,
    attempt: TaskAttempt,
    team: String,
    amount: Resources,
    room: MachineResources,
    grace: Micros,
}

/// A machine with the room that is or will be free on it, and what may be stopped there.
struct Lender {
    name: String,
    machine_type: String,
    zone: String,
    spot: bool,
    room: MachineResources,
    borrowed: Vec<Borrowed>,
}

/// What teams use beyond their guarantee.
type Beyond = TeamAmounts;

impl Scheduler {
    /// Stops tasks of teams that use more than their guarantee, of whatever priority, where teams below
    /// theirs have work that waits for room. No team is brought below its own guarantee.
    pub(crate) fn make_room_for_guarantees(&mut self, context: &mut Context, queue: &[QueuedJob]) {
        let within = self.within_guarantee(context);
        let waiting = self.waiting_within(context, queue, &within);
        if waiting.is_empty() {
            return;
        }
        let mut beyond = self.used_beyond_guarantees(context);
        let mut lenders = self.lenders(context, &within);
        let mut missing = self.missing_to_guarantees(context);
        let mut stops: Vec<(TaskAttempt, Micros)> = Vec::new();
        for index in waiting {
            let Some(job) = self.jobs.get(index) else {
                continue;
            };
            let spec = &job.spec;
            let Some(missing) = missing.get_mut(&spec.team) else {
                continue;
            };
            let task = Resources::of(spec.cpus, spec.gpus);
            let mut need = job.placeable(context.now.steady) + job.waiting_at_holders;
            // MachineResources that is free or will be is counted first.
            for lender in lenders.iter_mut().filter(|l| l.permits(context, spec)) {
                while need > 0 && task.fits(*missing) && tasks_that_fit(lender.room, spec) > 0 {
                    lender.take(spec);
                    *missing = missing.minus(task);
                    need -= 1;
                }
            }
            for lender in lenders.iter_mut().filter(|l| l.permits(context, spec)) {
                while need > 0 && task.fits(*missing) {
                    let Some(chosen) = lender.make_room(spec, &mut beyond) else {
                        break;
                    };
                    stops.extend(chosen);
                    lender.take(spec);
                    *missing = missing.minus(task);
                    need -= 1;
                }
            }
        }
        for (attempt, grace) in stops {
            info!("{attempt:?}: stopped for a team below its guarantee");
            self.note_preempted(attempt);
            self.stop_attempt(context, attempt, grace);
        }
    }

    fn note_preempted(&mut self, attempt: TaskAttempt) {
        let index = self
            .assignments()
            .find(|a| a.id() == attempt)
            .map(|a| a.job);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.note_preempted();
        }
    }

    /// Jobs within their team's guarantee that have waited for room.
    fn waiting_within(
        &self,
        context: &Context,
        queue: &[QueuedJob],
        within: &BTreeSet<JobIndex>,
    ) -> Vec<JobIndex> {
        let now = context.now.steady;
        let waits = |index: &JobIndex| {
            self.jobs.get(*index).is_some_and(|job| {
                let since = job.waiting_since.unwrap_or(now);
                let waited = now.saturating_sub(since) >= context.tuning.preempt_after_us;
                let waits = job.placeable(now) > 0 && waited;
                waits || job.waiting_at_holders > 0
            })
        };
        let mut waiting: Vec<JobIndex> = queue.iter().map(|queued| queued.index).collect();
        // Jobs all of whose tasks were given to holders are in no queue.
        let at_holders = self
            .jobs
            .iter()
            .filter(|(_, job)| job.waiting_at_holders > 0);
        waiting.extend(at_holders.map(|(index, _)| index));
        let mut seen = BTreeSet::new();
        waiting.retain(|index| seen.insert(*index) && within.contains(index) && waits(index));
        waiting
    }

    /// What each team lacks to its guarantee.
    fn missing_to_guarantees(&self, context: &Context) -> TeamAmounts {
        let teams = self.team_limits(context);
        let missing = teams.into_iter().map(|(team, limit)| {
            let missing = limit.guarantee.minus(self.needed_by(&team));
            (team, missing)
        });
        missing.filter(|(_, missing)| !missing.is_zero()).collect()
    }

    /// What each team's tasks that stay use beyond its guarantee.
    fn used_beyond_guarantees(&self, context: &Context) -> Beyond {
        let mut used = TeamAmounts::new();
        for a in self.assignments().filter(|a| a.stop.is_none()) {
            let sum = used.entry(a.team.clone()).or_default();
            *sum = sum.plus(a.amount());
        }
        for (team, used) in &mut used {
            let limit = self.limit_of(context, team).unwrap_or_default();
            *used = used.minus(limit.guarantee);
        }
        used
    }

    fn lenders(&self, context: &Context, within: &BTreeSet<JobIndex>) -> Vec<Lender> {
        let (now, silence) = (context.now.steady, 3 * context.settings.heartbeat_interval);
        let machines = self.machines.values().filter(|m| m.usable(now, silence));
        machines
            .map(|m| {
                let mut lender = Lender {
                    name: m.name.clone(),
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    room: m.free(),
                    borrowed: Vec::new(),
                };
                for a in &m.assignments {
                    let room = a.resources();
                    match a.stop {
                        Some(_) => lender.give(room),
                        // What a team runs within its guarantee is not borrowed.
                        None if within.contains(&a.job) => {}
                        None => lender.borrowed.extend(self.borrowed(context, a)),
                    }
                }
                lender.sort();
                lender
            })
            .collect()
    }

    /// A task that may be stopped for a guarantee: replicas and gangs are left alone.
    fn borrowed(&self, context: &Context, a: &Assignment) -> Option<Borrowed> {
        let job = self.jobs.get(a.job)?;
        if job.shape != Shape::Batch || a.seen == ObservedStatus::Checkpointing {
            return None;
        }
        let saves = job.spec.checkpoint_interval_s > 0.0;
        let now = context.now.steady;
        Some(Borrowed {
            aged: job.has_been_preempted_enough() || job.preemption_priority() > job.spec.priority,
            ran: a.started.map_or(0, |at| now.saturating_sub(at)),
            attempt: a.id(),
            team: a.team.clone(),
            amount: a.amount(),
            room: a.resources(),
            grace: match saves {
                true => grace(micros(job.spec.checkpoint_duration_s)),
                false => 0,
            },
        })
    }
}

impl Lender {
    fn permits(&self, context: &Context, spec: &Submission) -> bool {
        permits(context, spec, &self.machine_type, &self.zone, self.spot)
    }

    fn give(&mut self, room: MachineResources) {
        self.room = self.room + room;
    }

    fn take(&mut self, spec: &Submission) {
        self.room = self.room - MachineResources::of_task(spec);
    }

    /// The first to be stopped comes first: the youngest, of whatever priority. With the lowest priority
    /// first a whole class was stopped again and again and hardly any of its jobs ended.
    fn sort(&mut self) {
        self.borrowed.sort_by_key(|b| (b.aged, b.ran, b.attempt));
    }

    /// Chooses tasks to stop so that one task of the job fits; `None`: there are not enough.
    fn make_room(
        &mut self,
        spec: &Submission,
        beyond: &mut Beyond,
    ) -> Option<Vec<(TaskAttempt, Micros)>> {
        let mut left = beyond.clone();
        let mut gain = self.room;
        let mut chosen = Vec::new();
        for (at, b) in self.borrowed.iter().enumerate() {
            if tasks_that_fit(gain, spec) > 0 {
                break;
            }
            let of_team = left.get(&b.team).copied().unwrap_or_default();
            if b.team == spec.team || !b.amount.fits(of_team) {
                continue;
            }
            left.insert(b.team.clone(), of_team.minus(b.amount));
            gain = gain + b.room;
            chosen.push(at);
        }
        if tasks_that_fit(gain, spec) == 0 || chosen.is_empty() {
            return None;
        }
        debug!("{}: {} tasks make way", self.name, chosen.len());
        *beyond = left;
        self.room = gain;
        let stopped = chosen.into_iter().rev().map(|at| self.borrowed.remove(at));
        Some(stopped.map(|b| (b.attempt, b.grace)).collect())
    }
}
