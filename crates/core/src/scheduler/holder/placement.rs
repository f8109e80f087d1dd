//! Places the tasks that the leader has delegated to this holder, out of its quota grant.

use crate::context::{Context, Role};
use crate::scheduler::Scheduler;
use crate::state::assignment_pages::AssignmentPages;
use crate::state::bin_packing::{MachineResources, OpenMachine};
use crate::state::holder_quota::QueuedTask;
use crate::state::machine::{placed_task, Assignment};
use crate::state::write_buffer::RecordId;
use crate::{Micros, Stopwatch, MILLI};
use grebewood_partition::PartitionId;
use grebewood_quota::Resources;
use grebewood_wire::http::Submission;
use grebewood_wire::peer::{DelegatedWork, QuotaOrders, QuotaReport, TaskAttempt, TaskRanges};
use grebewood_wire::records::pages_of_partition;
use log::debug;
use std::collections::{BTreeMap, BTreeSet};

/// Time between two placement rounds while tasks are queued.
const PLACEMENT_INTERVAL: Micros = 100 * MILLI;

/// What became of the attempt to place a queued task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementOutcome {
    /// It is on a machine.
    Placed,
    /// It stays in the queue.
    Waits,
}

impl Scheduler {
    /// The partition that is held under this claim; `None`: this scheduler runs for the leader.
    pub(crate) fn partition(&self) -> Option<PartitionId> {
        match self.role {
            Role::Leader => None,
            Role::Holder(partition) => Some(partition),
        }
    }

    /// The pages to which assignments made in this role are written.
    pub(crate) fn pages_of(role: Role) -> AssignmentPages {
        match role {
            Role::Leader => AssignmentPages::default(),
            Role::Holder(partition) => {
                // Holders of partitions with numbers beyond the range of pages are given nothing to place.
                pages_of_partition(partition)
                    .map_or_else(AssignmentPages::default, AssignmentPages::of_holder)
            }
        }
    }

    /// Whether the holder places tasks, if the leader delegates any to it.
    pub(crate) fn places_tasks(&self, context: &Context) -> bool {
        let pages = self.partition().and_then(pages_of_partition);
        context.supports_quota_grants() && pages.is_some()
    }

    /// A new leader has listed what may be on the machines: what was not on record by then is not launched any
    /// more, since the leader may place it anew.
    pub(crate) fn drop_unrecorded_placements(
        &mut self,
        context: &mut Context,
        listed: &BTreeSet<TaskAttempt>,
    ) {
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

    /// Applies what the leader says of the quota grant and of tasks to place. `None`: it grants no quota.
    pub(crate) fn apply_quota_orders(
        &mut self,
        context: &Context,
        term: u64,
        orders: Option<&QuotaOrders>,
    ) {
        let Some(orders) = orders.filter(|_| self.places_tasks(context)) else {
            self.holder_quota.queue.clear();
            self.holder_quota.grant.suspend();
            self.holder_quota.term = None;
            return;
        };
        let quota = &mut self.holder_quota;
        quota.grant.set_granted(&orders.grant);
        quota.term = Some(term);
        quota.limits_revision = Some(orders.limits_revision);
        quota
            .placed
            .retain(|placement| placement.number > orders.last_known_version);
        quota
            .queue
            .retain(|queued| !orders.revoked.contains(&queued.job));
        for (name, machine) in &mut self.machines {
            machine.reserved = orders.reserved.contains(name);
        }
        for work in &orders.work {
            self.queue_work(work);
        }
        self.placement.request_round(context.now.steady);
    }

    fn queue_work(&mut self, work: &DelegatedWork) {
        let assigned: BTreeSet<u64> = self
            .assignments()
            .filter(|a| a.job_id == work.job)
            .map(|a| a.task)
            .collect();
        let quota = &mut self.holder_quota;
        for delegated in &work.tasks {
            let known = assigned.contains(&delegated.task)
                || quota.is_queued(&work.job, delegated.task)
                || quota.is_placed_unacknowledged(&work.job, delegated.task);
            if known {
                continue;
            }
            quota.last_arrival += 1;
            quota.queue.insert(QueuedTask {
                awaits_resources: delegated.awaits_resources,
                level: work.level,
                arrival: quota.last_arrival,
                job: work.job.clone(),
                task: delegated.task,
                machine: delegated.machine.clone(),
                expected_stay: work.expected_us,
            });
        }
    }

    /// Runs a placement round if one is due: places queued tasks as far as free resources and the quota grant
    /// allow. A round that runs out of time continues with the next one.
    pub(crate) fn run_holder_placement(
        &mut self,
        context: &mut Context,
        watch: &mut dyn Stopwatch,
    ) {
        let now = context.now.steady;
        if now < self.placement.next_at && !self.placement.is_round_requested {
            return;
        }
        self.placement.is_round_requested = false;
        self.placement.next_at = now + PLACEMENT_INTERVAL;
        self.placement.rounds += 1;
        self.held_changed = true;
        self.drop_queued_of_cancelled_jobs();
        self.placement.has_backlog = !self.holder_quota.queue.is_empty();
        if self.placement.has_backlog && self.holder_quota.term.is_some() {
            self.place_queue(context, watch);
            self.placement.has_backlog = !self.holder_quota.queue.is_empty();
        }
    }

    fn place_queue(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        let mut open = self.open_machines(context);
        let queue: Vec<QueuedTask> = self.holder_quota.queue.iter().cloned().collect();
        for queued in queue {
            if open.is_empty() {
                break;
            }
            if watch.elapsed() > context.tuning.placement_budget_us {
                debug!(
                    partition = self.partition();
                    "placement round is out of time, continues with the next one"
                );
                self.placement.is_round_requested = true;
                break;
            }
            if self.place_queued(context, &queued, &mut open) == PlacementOutcome::Placed {
                self.holder_quota.queue.remove(&queued);
            }
        }
    }

    /// Tasks of cancelled jobs are not queued any longer; the leader counts them as returned.
    fn drop_queued_of_cancelled_jobs(&mut self) {
        let jobs = &self.jobs;
        self.holder_quota.queue.retain(|queued| {
            let job = jobs.find(&queued.job).and_then(|index| jobs.get(index));
            // A job that is not known here yet may still appear.
            job.is_none_or(|job| job.cancelled_at.is_none())
        });
    }

    /// Places a task if a machine has room for it and the quota grant covers it.
    fn place_queued(
        &mut self,
        context: &mut Context,
        queued: &QueuedTask,
        open: &mut Vec<OpenMachine>,
    ) -> PlacementOutcome {
        let Some(index) = self.jobs.find(&queued.job) else {
            return PlacementOutcome::Waits;
        };
        let Some(spec) = self.jobs.get(index).map(|job| job.spec.clone()) else {
            return PlacementOutcome::Waits;
        };
        let amount = Resources::of(spec.cpus, spec.gpus);
        if !self.holder_quota.grant.may_use(&spec.team, amount) {
            return PlacementOutcome::Waits;
        }
        let Some(at) = self.choose_machine(context, queued, &spec, open) else {
            // What is free on its machine is kept for it: otherwise tasks that need less take it as it becomes free.
            open.retain(|machine| machine.name != queued.machine);
            return PlacementOutcome::Waits;
        };
        let attempt = self.next_attempt();
        let name = open[at].name.clone();
        debug!(
            job = queued.job, task = queued.task, attempt = attempt, machine = name;
            "placed a task"
        );
        let expected = queued.expected_stay;
        self.assign(
            context,
            &name,
            index,
            queued.task,
            &spec,
            (attempt, expected),
        );
        open[at].free = open[at].free - MachineResources::of_task(&spec);
        open.retain(|machine| machine.free.cpus > 0.0);
        PlacementOutcome::Placed
    }

    /// The machine that the leader proposed, if it still has room; else the best of those that have.
    fn choose_machine(
        &self,
        context: &Context,
        queued: &QueuedTask,
        spec: &Submission,
        open: &[OpenMachine],
    ) -> Option<usize> {
        let fits = |machine: &OpenMachine| machine.takes_task(context, spec);
        let proposed = open.iter().position(|m| m.name == queued.machine);
        if let Some(at) = proposed.filter(|at| fits(&open[*at])) {
            return Some(at);
        }
        let index = self.jobs.find(&spec.id)?;
        let now = context.now.steady;
        let candidates = open.iter().enumerate().filter(|(_, machine)| fits(machine));
        let best = candidates.min_by_key(|(_, machine)| self.preference(index, spec, machine, now));
        best.map(|(at, _)| at)
    }

    /// Whether the assignment is on its page for certain.
    pub(crate) fn is_on_record(&self, a: &Assignment) -> bool {
        let page = RecordId::AssignmentPage(a.page);
        self.write_buffer.is_durable(&page, a.page_version)
    }

    /// Placements that have come on record are reported to the leader from now on.
    pub(crate) fn note_durable_placements(&mut self) {
        for (name, machine) in &mut self.machines {
            let assignments = machine.assignments.iter_mut();
            for a in assignments.filter(|a| a.by_holder && !a.delivered) {
                let page = RecordId::AssignmentPage(a.page);
                if self.write_buffer.is_durable(&page, a.page_version) {
                    a.delivered = true;
                    self.holder_quota.note_placed(placed_task(name, a));
                }
            }
        }
    }

    /// What the leader is told of the quota grant and of placed and queued tasks; `None`: this holder places
    /// nothing.
    pub(crate) fn quota_report(&self, context: &Context) -> Option<QuotaReport> {
        if !self.places_tasks(context) {
            return None;
        }
        let quota = &self.holder_quota;
        let placements = quota.placements_in_answer();
        let last = quota.placements_in_answer().last();
        Some(QuotaReport {
            usage_bound: quota.grant.usage_bound(),
            waiting: self.waiting_ranges(),
            placed: placements.map(|placement| placement.task.clone()).collect(),
            version: last.map_or(quota.last_placement, |placement| placement.number),
        })
    }

    /// Tasks that are to be placed, are being written, or are only in a later answer.
    fn waiting_ranges(&self) -> Vec<TaskRanges> {
        let quota = &self.holder_quota;
        let queued = quota.queue.iter();
        let queued = queued.map(|queued| (queued.job.as_str(), queued.task));
        let unwritten = self.assignments().filter(|a| a.by_holder && !a.delivered);
        let unwritten = unwritten.map(|a| (a.job_id.as_str(), a.task));
        let later = quota.placements_in_later_answers();
        let later = later.map(|placement| (placement.task.job.as_str(), placement.task.task));
        let mut tasks: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
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

/// Numbers as ranges, each from its first number to below its second.
fn ranges_of(numbers: &BTreeSet<u64>) -> Vec<(u64, u64)> {
    let mut ranges: Vec<(u64, u64)> = Vec::new();
    for number in numbers {
        match ranges.last_mut() {
            Some((_, end)) if *end == *number => *end += 1,
            _ => ranges.push((*number, number + 1)),
        }
    }
    ranges
}

#[cfg(test)]
mod tests;
