//! Places the tasks that the leader has delegated to this holder, out of its quota grant.

use crate::context::{Context, Role};
use crate::scheduler::Scheduler;
use crate::state::assignment_pages::Pages;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::bin_packing::{OpenMachine, Preference};
use crate::state::holder_quota::{QueuedTask, MOST_PLACED};
use crate::state::machine::placed_task;
use crate::state::machine::Assignment;
use crate::state::write_buffer::RecordId;
use crate::{Micros, Stopwatch, MILLI};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::Submission;
use grebewood_wire::peer::{
    DelegatedWork, PlacedTask, QuotaOrders, QuotaReport, TaskAttempt, TaskRanges,
};
use grebewood_wire::records::pages_of_partition;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// Between two looks at what waits for room.
const PLACE_INTERVAL: Micros = 100 * MILLI;

impl Scheduler {
    /// The partition that is held under this grant; `None`: it is the leader's.
    pub(crate) fn partition(&self) -> Option<PartitionId> {
        match self.role {
            Role::Leader => None,
            Role::Holder(partition) => Some(partition),
        }
    }

    /// The pages to which assignments made under this grant go.
    pub(crate) fn pages_of(role: Role) -> Pages {
        match role {
            Role::Leader => Pages::default(),
            Role::Holder(partition) => {
                // Holders of partitions with numbers this high are given nothing to place.
                pages_of_partition(partition).map_or_else(Pages::default, Pages::of_holder)
            }
        }
    }

    /// Whether the holder places tasks, if the leader gives it some.
    pub(crate) fn places_tasks(&self, context: &Context) -> bool {
        let pages = self.partition().and_then(pages_of_partition);
        context.supports_quota_grants() && pages.is_some()
    }

    /// A new leader says what may be on the machines: what is not on record by then is not launched any
    /// more, since it may place that anew.
    pub(crate) fn settle_placed(&mut self, context: &mut Context, listed: &BTreeSet<TaskAttempt>) {
        self.holder_quota.queue.clear();
        let durable: BTreeSet<TaskAttempt> = self
            .assignments()
            .filter(|a| a.by_holder && self.is_on_record(a))
            .map(Assignment::id)
            .collect();
        self.drop_unlaunched(context, |a| {
            durable.contains(&a.id()) && listed.contains(&a.id())
        });
    }

    /// Takes in what may be placed. `None`: this leader grants no allotments.
    pub(crate) fn adopt_quota(
        &mut self,
        context: &Context,
        term: u64,
        quota: Option<&QuotaOrders>,
    ) {
        let Some(quota) = quota.filter(|_| self.places_tasks(context)) else {
            self.holder_quota.queue.clear();
            self.holder_quota.allotment.suspend();
            self.holder_quota.term = None;
            return;
        };
        let holder_quota = &mut self.holder_quota;
        holder_quota.allotment.set_granted(&quota.allotment);
        holder_quota.term = Some(term);
        holder_quota.limits = Some(quota.limits);
        holder_quota
            .placed
            .retain(|(number, _)| *number > quota.seen);
        let revoked = &quota.revoked;
        holder_quota
            .queue
            .retain(|queued| !revoked.contains(&queued.job));
        for (name, machine) in &mut self.machines {
            machine.reserved = quota.reserved.contains(name);
        }
        for work in &quota.work {
            self.take_work(work);
        }
        self.placement.request_round(context.now.steady);
    }

    fn take_work(&mut self, work: &DelegatedWork) {
        let here: BTreeSet<u64> = self
            .assignments()
            .filter(|a| a.job_id == work.job)
            .map(|a| a.task)
            .collect();
        for given in &work.tasks {
            let known = here.contains(&given.task)
                || self.holder_quota.is_queued(&work.job, given.task)
                || self.holder_quota.is_untold(&work.job, given.task);
            if known {
                continue;
            }
            self.holder_quota.came += 1;
            self.holder_quota.queue.insert(QueuedTask {
                ahead: given.waits,
                level: work.level,
                number: self.holder_quota.came,
                job: work.job.clone(),
                task: given.task,
                machine: given.machine.clone(),
                expected: work.expected_us,
            });
        }
    }

    /// Places what waits, as far as room and the allotment allow. A round that runs out of time goes on with
    /// the next one.
    pub(crate) fn run_placing(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let now = context.now.steady;
        if now < self.placement.next_at && !self.placement.wanted {
            return;
        }
        self.placement.wanted = false;
        self.placement.next_at = now + PLACE_INTERVAL;
        self.placement.rounds += 1;
        self.held_changed = true;
        self.forget_idle_work();
        self.placement.backlog = !self.holder_quota.queue.is_empty();
        if !self.placement.backlog || self.holder_quota.term.is_none() {
            return;
        }
        let mut open = self.open_machines(context);
        let queue: Vec<QueuedTask> = self.holder_quota.queue.iter().cloned().collect();
        for queued in queue {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                debug!("holder: out of time, goes on with the next round");
                self.placement.wanted = true;
                break;
            }
            if self.place_queued(context, &queued, &mut open) {
                self.holder_quota.queue.remove(&queued);
            }
        }
        self.placement.backlog = !self.holder_quota.queue.is_empty();
    }

    /// Work of jobs that were cancelled is not held any longer; the leader takes it back.
    fn forget_idle_work(&mut self) {
        let jobs = &self.jobs;
        self.holder_quota.queue.retain(|queued| {
            let job = jobs.find(&queued.job).and_then(|index| jobs.get(index));
            // One that is not known here yet may still come.
            job.is_none_or(|job| job.cancelled.is_none())
        });
    }

    /// Places a task if there is room for it and the allotment covers it.
    fn place_queued(
        &mut self,
        context: &mut Context,
        queued: &QueuedTask,
        open: &mut Vec<OpenMachine>,
    ) -> bool {
        let Some(index) = self.jobs.find(&queued.job) else {
            return false;
        };
        let Some(spec) = self.jobs.get(index).map(|job| job.spec.clone()) else {
            return false;
        };
        let amount = Resources::of(spec.cpus, spec.gpus);
        if !self.holder_quota.allotment.may_use(&spec.team, amount) {
            return false;
        }
        let Some(at) = self.choose_machine(context, queued, &spec, open) else {
            // What is left there adds up for it: tasks that need less once took it as it became free.
            open.retain(|o| o.name != queued.machine);
            return false;
        };
        let attempt = self.next_attempt();
        let name = open[at].name.clone();
        let stay = (attempt, queued.expected);
        debug!("{}/{}: placed on {name}", queued.job, queued.task);
        self.assign(context, &name, index, queued.task, &spec, stay);
        open[at].free = open[at].free - MachineResources::of_task(&spec);
        open.retain(|o| o.free.cpus > 0.0);
        true
    }

    /// The machine that the leader had in mind, if it still has room; else the best of those that have.
    fn choose_machine(
        &self,
        context: &Context,
        queued: &QueuedTask,
        spec: &Submission,
        open: &[OpenMachine],
    ) -> Option<usize> {
        let fits = |o: &OpenMachine| {
            tasks_that_fit(o.free, spec) > 0
                && permits(context, spec, &o.machine_type, &o.zone, o.spot)
        };
        let hinted = open.iter().position(|o| o.name == queued.machine);
        if let Some(at) = hinted.filter(|at| fits(&open[*at])) {
            return Some(at);
        }
        let index = self.jobs.find(&spec.id)?;
        let now = context.now.steady;
        let fitting = open.iter().enumerate().filter(|(_, o)| fits(o));
        let ranked = fitting.map(|(at, o)| (self.preference(index, spec, o, now), at));
        let best: Option<(Preference, usize)> = ranked.min();
        best.map(|(_, at)| at)
    }

    /// Whether the assignment is on its page for certain.
    pub(crate) fn is_on_record(&self, a: &Assignment) -> bool {
        let page = RecordId::Page(a.page);
        self.write_buffer.is_durable(&page, a.written)
    }

    /// What was placed and has come on record is told to the leader from now on.
    pub(crate) fn note_durable_placements(&mut self) {
        let mut placed = Vec::new();
        for (name, m) in &mut self.machines {
            for a in m
                .assignments
                .iter_mut()
                .filter(|a| a.by_holder && !a.delivered)
            {
                let page = RecordId::Page(a.page);
                if self.write_buffer.is_durable(&page, a.written) {
                    a.delivered = true;
                    placed.push(placed_task(name, a));
                }
            }
        }
        for task in placed {
            self.holder_quota.note_placed(task);
        }
    }

    /// What the leader is told of all this; `None`: this holder places nothing.
    pub(crate) fn quota_report(&self, context: &Context) -> Option<QuotaReport> {
        if !self.places_tasks(context) {
            return None;
        }
        let holder_quota = &self.holder_quota;
        let told: Vec<&(u64, PlacedTask)> = holder_quota.placed.iter().take(MOST_PLACED).collect();
        let version = told
            .last()
            .map_or(holder_quota.version, |(number, _)| *number);
        Some(QuotaReport {
            held: holder_quota.allotment.held(),
            waiting: self.waiting_ranges(),
            placed: told.into_iter().map(|(_, task)| task.clone()).collect(),
            version,
        })
    }

    /// Tasks that are to be placed, are being written, or are told of later.
    fn waiting_ranges(&self) -> Vec<TaskRanges> {
        let mut tasks: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        let queued = self.holder_quota.queue.iter();
        let queued = queued.map(|queued| (queued.job.as_str(), queued.task));
        let unwritten = self.assignments().filter(|a| a.by_holder && !a.delivered);
        let unwritten = unwritten.map(|a| (a.job_id.as_str(), a.task));
        let later = self.holder_quota.placed.iter().skip(MOST_PLACED);
        let later = later.map(|(_, placed)| (placed.job.as_str(), placed.task));
        for (job, task) in queued.chain(unwritten).chain(later) {
            tasks.entry(job).or_default().insert(task);
        }
        tasks
            .into_iter()
            .map(|(job, tasks)| TaskRanges {
                job: job.to_string(),
                ranges: ranges_of(&tasks),
            })
            .collect()
    }
}

/// Numbers as ranges: the first one and the one after the last.
fn ranges_of(numbers: &BTreeSet<u64>) -> Vec<(u64, u64)> {
    let mut ranges: Vec<(u64, u64)> = Vec::new();
    for n in numbers {
        match ranges.last_mut() {
            Some((_, end)) if *end == *n => *end += 1,
            _ => ranges.push((*n, n + 1)),
        }
    }
    ranges
}

#[cfg(test)]
mod tests;
