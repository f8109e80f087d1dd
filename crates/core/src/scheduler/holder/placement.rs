//! Places the tasks that the leader has delegated to this holder, within its quota grant.

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

/// Interval between two placement rounds while tasks are queued, in microseconds.
const PLACEMENT_INTERVAL_US: Micros = 100 * MILLI;

/// Result of trying to place a queued task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementOutcome {
    /// The task was assigned to a machine.
    Placed,
    /// The task stays in the queue.
    Waits,
}

impl Scheduler {
    /// Returns the partition that this scheduler holds, or `None` if it runs for the leader.
    pub(crate) fn partition(&self) -> Option<PartitionId> {
        match self.role {
            Role::Leader => None,
            Role::Holder(partition) => Some(partition),
        }
    }

    /// Returns the pages to which assignments made in this role are written.
    pub(crate) fn pages_of(role: Role) -> AssignmentPages {
        match role {
            Role::Leader => AssignmentPages::default(),
            Role::Holder(partition) => {
                // Holders whose partition number lies beyond the range of pages place no tasks.
                pages_of_partition(partition)
                    .map_or_else(AssignmentPages::default, AssignmentPages::of_holder)
            }
        }
    }

    /// Returns whether this holder places the tasks that the leader delegates to it.
    pub(crate) fn places_tasks(&self, context: &Context) -> bool {
        let pages = self.partition().and_then(pages_of_partition);
        context.supports_quota_grants() && pages.is_some()
    }

    /// Clears the queue and drops unlaunched placements, after a new leader has listed the tasks that may be on
    /// the machines. Only placements that are durable and listed are kept. All other tasks must not be launched
    /// any more, since the leader may place them again.
    pub(crate) fn drop_unrecorded_placements(
        &mut self,
        context: &mut Context,
        listed: &BTreeSet<TaskAttempt>,
    ) {
        self.holder_quota.queue.clear();
        let durable: BTreeSet<TaskAttempt> = self
            .assignments()
            .filter(|a| a.placed_by_holder && self.is_assignment_durable(a))
            .map(Assignment::id)
            .collect();
        self.remove_unlaunched_placements(context, |a| {
            durable.contains(&a.id()) && listed.contains(&a.id())
        });
    }

    /// Applies the leader's orders about the quota grant and the tasks to place; `None` if the leader grants no
    /// quota.
    pub(crate) fn apply_quota_orders(
        &mut self,
        context: &Context,
        leader_token: u64,
        orders: Option<&QuotaOrders>,
    ) {
        let Some(orders) = orders.filter(|_| self.places_tasks(context)) else {
            self.holder_quota.queue.clear();
            self.holder_quota.grant.suspend();
            self.holder_quota.leader_token = None;
            return;
        };
        let quota = &mut self.holder_quota;
        quota.grant.set_granted(&orders.grant);
        quota.leader_token = Some(leader_token);
        quota.limits_revision = Some(orders.limits_revision);
        quota
            .placed
            .retain(|placement| placement.number > orders.last_known_version);
        quota
            .queue
            .retain(|queued| !orders.revoked.contains(&queued.job));
        for (name, machine) in &mut self.machines {
            machine.reserved_by_leader = orders.reserved.contains(name);
        }
        for work in &orders.work {
            self.queue_work(work);
        }
        self.placement.request_round(context.now.steady);
    }

    /// Queues delegated tasks of a job, except those that are assigned, queued or placed already.
    fn queue_work(&mut self, work: &DelegatedWork) {
        let assigned: BTreeSet<u64> = self
            .assignments()
            .filter(|a| a.job_id == work.job)
            .map(|a| a.task)
            .collect();
        let quota = &mut self.holder_quota;
        for delegated in &work.tasks {
            let is_known = assigned.contains(&delegated.task)
                || quota.is_queued(&work.job, delegated.task)
                || quota.is_placed_unacknowledged(&work.job, delegated.task);
            if is_known {
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
    /// permit. If a round runs out of time, the next round continues.
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
        self.placement.next_at = now + PLACEMENT_INTERVAL_US;
        self.placement.rounds += 1;
        self.held_heartbeats_may_be_ready = true;
        self.drop_queued_of_cancelled_jobs();
        self.placement.has_backlog = !self.holder_quota.queue.is_empty();
        if self.placement.has_backlog && self.holder_quota.leader_token.is_some() {
            self.place_queue(context, watch);
            self.placement.has_backlog = !self.holder_quota.queue.is_empty();
        }
    }

    /// Places queued tasks in the order of the queue until the round runs out of time or of machines.
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
                    "placement round exceeded its time budget; the next round continues it"
                );
                self.placement.is_round_requested = true;
                break;
            }
            if self.place_queued_task(context, &queued, &mut open) == PlacementOutcome::Placed {
                self.holder_quota.queue.remove(&queued);
            }
        }
    }

    /// Removes the tasks of cancelled jobs from the queue; the leader counts them as returned.
    fn drop_queued_of_cancelled_jobs(&mut self) {
        let jobs = &self.jobs;
        self.holder_quota.queue.retain(|queued| {
            let job = jobs.find(&queued.job).and_then(|index| jobs.get(index));
            // A job that this holder does not know yet may still appear.
            job.is_none_or(|job| job.cancelled_at.is_none())
        });
    }

    /// Places a queued task if the quota grant covers it and a machine has room for it.
    fn place_queued_task(
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
        let Some(machine_index) = self.choose_machine(context, queued, &spec, open) else {
            // The free resources of the proposed machine are kept for this task. Otherwise, smaller tasks would
            // take them as they become free.
            open.retain(|machine| machine.name != queued.machine);
            return PlacementOutcome::Waits;
        };
        let attempt = self.allocate_attempt();
        let name = open[machine_index].name.clone();
        debug!(
            job = queued.job, task = queued.task, attempt = attempt, machine = name;
            "placed a task on a machine"
        );
        let expected_stay = queued.expected_stay;
        self.create_assignment(
            context,
            &name,
            index,
            queued.task,
            &spec,
            (attempt, expected_stay),
        );
        open[machine_index].free = open[machine_index].free - MachineResources::of_task(&spec);
        open.retain(|machine| machine.free.cpus > 0.0);
        PlacementOutcome::Placed
    }

    /// Returns the index in `open` of the machine that the leader proposed, if it still has room for the task,
    /// or else of the best machine that has room.
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

    /// Returns whether the assignment is durable: the store is known to have the page that lists it.
    pub(crate) fn is_assignment_durable(&self, assignment: &Assignment) -> bool {
        let page = RecordId::AssignmentPage(assignment.page);
        self.write_buffer.is_durable(&page, assignment.page_version)
    }

    /// Marks placements that have become durable, so that they are reported to the leader from now on.
    pub(crate) fn record_durable_placements(&mut self) {
        for (name, machine) in &mut self.machines {
            let assignments = machine.assignments.iter_mut();
            for a in assignments.filter(|a| a.placed_by_holder && !a.delivered) {
                let page = RecordId::AssignmentPage(a.page);
                if self.write_buffer.is_durable(&page, a.page_version) {
                    a.delivered = true;
                    self.holder_quota.record_placed(placed_task(name, a));
                }
            }
        }
    }

    /// Returns the report about the quota grant and about placed and queued tasks, or `None` if this holder places
    /// no tasks.
    pub(crate) fn quota_report(&self, context: &Context) -> Option<QuotaReport> {
        if !self.places_tasks(context) {
            return None;
        }
        let quota = &self.holder_quota;
        let placements = quota.placements_in_report();
        let last = quota.placements_in_report().last();
        Some(QuotaReport {
            usage_bound: quota.grant.usage_bound(),
            waiting: self.waiting_ranges(),
            placed: placements.map(|placement| placement.task.clone()).collect(),
            version: last.map_or(quota.last_placement, |placement| placement.number),
        })
    }

    /// Returns the delegated tasks that are queued, are placed but not durable yet, or are left for a later
    /// report.
    fn waiting_ranges(&self) -> Vec<TaskRanges> {
        let quota = &self.holder_quota;
        let queued = quota.queue.iter();
        let queued = queued.map(|queued| (queued.job.as_str(), queued.task));
        let unwritten = self
            .assignments()
            .filter(|a| a.placed_by_holder && !a.delivered);
        let unwritten = unwritten.map(|a| (a.job_id.as_str(), a.task));
        let later = quota.placements_in_later_reports();
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

/// Returns the numbers as half-open ranges: each includes its first number and excludes its second.
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
