//! Carries out the leader's orders to the holder of a partition: which tasks may be on the machines, which tasks to
//! launch, to stop and to place, and which outcomes the leader has recorded.

use crate::context::{Context, Role};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::tasks_that_fit;
use crate::state::holder::OrdersNumber;
use crate::state::machine::{Assignment, ExitedAttempt, Machine, Stop, TaskOnMachine};
use crate::{Micros, Stopwatch};
use grebewood_wire::http::{ExitCause, ReportedTask};
use grebewood_wire::peer::{
    PartitionOrders, PartitionReport, PlacedTask, TaskAttempt, TaskEnd, TaskOutcome,
};
use log::{debug, info};
use std::collections::BTreeSet;

impl Scheduler {
    /// Carries out the leader's orders and returns the holder's report. Drops stale orders, since a late copy of
    /// orders would launch a task again that has ended since. Also drops orders for another claim on the partition
    /// than this holder's, and all orders while it is not certain that the store still has this holder's claim.
    pub(crate) fn carry_out_orders(
        &mut self,
        context: &mut Context,
        orders: PartitionOrders,
    ) -> Option<PartitionReport> {
        let number = OrdersNumber {
            leader_token: orders.term,
            sequence: orders.sequence,
        };
        let is_stale = number <= self.holder_state.last_orders;
        if orders.claim != self.token || is_stale || self.is_lease_uncertain() {
            return None;
        }
        self.holder_state.last_orders = number;
        if !self.jobs_are_read() {
            return Some(self.partition_report(
                context,
                orders.last_known_version,
                orders.term,
                Vec::new(),
            ));
        }
        if let Some(tasks) = &orders.sync {
            self.reconcile(context, orders.term, tasks);
        }
        let is_reconciled = self.holder_state.reconciled_leader_token == orders.term;
        if is_reconciled {
            self.apply_quota_orders(context, orders.term, orders.quota.as_deref());
        }
        for attempt in &orders.acknowledged {
            self.holder_state.outcomes.remove(attempt);
        }
        for machine in &orders.terminated {
            self.remove_terminated_machine(context, machine);
        }
        let mut accepted = Vec::new();
        if is_reconciled {
            let launches = orders.launches.iter();
            let launches = launches.filter(|task| self.accept_launch(context, task));
            accepted.extend(launches.map(PlacedTask::id));
        }
        for stop in &orders.stops {
            let is_ordered = |a: &Assignment| a.id() == stop.id;
            self.stop_assignments(context, &stop.machine, stop.grace_us, is_ordered);
        }
        self.held_heartbeats_may_be_ready = true;
        Some(self.partition_report(context, orders.last_known_version, orders.term, accepted))
    }

    /// Reconciles the tasks known here with those that may be on the machines according to the leader. A task that
    /// the leader does not list was never launched, or its end is recorded in the store: it is dropped or stopped.
    fn reconcile(&mut self, context: &mut Context, leader_token: u64, tasks: &[PlacedTask]) {
        let is_first_time = !self.holder_state.is_reconciled();
        let listed: BTreeSet<TaskAttempt> = tasks.iter().map(PlacedTask::id).collect();
        self.drop_unrecorded_placements(context, &listed);
        self.stop_unlisted(context, &listed);
        for task in tasks {
            self.reconcile_listed(context, task);
        }
        self.holder_state.reconciled_leader_token = leader_token;
        if is_first_time {
            self.loaded_at = context.now.steady;
            self.last_heartbeat_at = context.now.steady;
            info!(
                partition = self.partition(), tasks = tasks.len();
                "partition holder reconciled its tasks with the leader for the first time"
            );
        }
    }

    /// Stops the tasks that the leader placed and does not list.
    fn stop_unlisted(&mut self, context: &mut Context, listed: &BTreeSet<TaskAttempt>) {
        let machines: Vec<String> = self.machines.keys().cloned().collect();
        for machine in machines {
            // Tasks that this holder placed itself are recorded on its own pages.
            let is_unknown = |a: &Assignment| !a.placed_by_holder && !listed.contains(&a.id());
            self.stop_assignments(context, &machine, 0, is_unknown);
        }
    }

    /// Reconciles one task that may be on a machine according to the leader.
    fn reconcile_listed(&mut self, context: &mut Context, task: &PlacedTask) {
        if self.knows_attempt(task) {
            return;
        }
        if self.has_allocated_attempt(task.attempt) {
            // This holder placed the task itself and the task is gone, but its page has not been written since.
            self.report_outcome(TaskOutcome {
                machine: task.machine.clone(),
                job: task.job.clone(),
                task: task.task,
                attempt: task.attempt,
                end: TaskEnd::Gone,
            });
        } else {
            self.adopt_attempt(context, task);
        }
    }

    /// Returns whether the attempt is on its machine, or has ended and its outcome is being reported to the
    /// leader.
    fn knows_attempt(&self, task: &PlacedTask) -> bool {
        self.has_attempt(task) || !self.holder_state.is_outcome_recorded(Some(task.id()))
    }

    /// Returns whether the attempt is assigned to its machine.
    fn has_attempt(&self, task: &PlacedTask) -> bool {
        let machine = self.machines.get(&task.machine);
        machine.is_some_and(|machine| {
            let mut assignments = machine.assignments.iter();
            assignments.any(|a| a.id() == task.id())
        })
    }

    /// Adopts a task that an earlier holder, or the leader itself, may have launched. This holder never launches
    /// the task: either a heartbeat shows it, or it is gone.
    fn adopt_attempt(&mut self, context: &mut Context, task: &PlacedTask) {
        let zone = self.zone_of_machine(&task.machine);
        self.recover_machine(context, &task.machine, &zone, task.incarnation);
        let mut assignment = self.assignment_of(context, task, zone);
        assignment.launched = Some((0, 0));
        let job = self.jobs.get(assignment.job);
        let job_ended = job.is_none_or(|job| job.cancelled_at.is_some());
        assignment.stop = job_ended.then_some(Stop {
            grace: 0,
            since: context.now.steady,
            sent_at: None,
        });
        self.add_assignment(&task.machine, assignment);
    }

    fn zone_of_machine(&self, machine: &str) -> String {
        let machine = self.machines.get(machine);
        machine.map_or_else(String::new, |machine| machine.zone.clone())
    }

    /// Accepts a task that is to be launched. Returns false if the task cannot be accepted yet because its job is
    /// not known here.
    fn accept_launch(&mut self, context: &mut Context, task: &PlacedTask) -> bool {
        if self.knows_attempt(task) {
            return true;
        }
        if self.jobs.find(&task.job).is_none() {
            return false;
        }
        let can_launch = self.can_launch(context, task);
        let zone = self.zone_of_machine(&task.machine);
        let assignment = self.assignment_of(context, task, zone);
        if !can_launch {
            // The task is never launched; the leader places it again.
            debug!(
                job = task.job, task = task.task, machine = task.machine;
                "partition holder refused a launch that the leader ordered, since the machine cannot take the task"
            );
            self.report_attempt_end(&task.machine, &assignment, TaskEnd::Gone);
            return true;
        }
        self.add_assignment(&task.machine, assignment);
        self.wake_long_poll(context, &task.machine);
        true
    }

    /// Returns whether the machine can take a task that the leader has placed on it.
    fn can_launch(&self, context: &Context, task: &PlacedTask) -> bool {
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let machine = self.machines.get(&task.machine);
        machine.is_some_and(|machine| {
            machine.incarnation == task.incarnation
                && machine.is_usable(context.now.steady, heartbeat_timeout)
                && self.has_room(context, machine, task)
        })
    }

    /// Returns whether the tasks on the machine leave room for a task that the leader has placed. Always true if
    /// this holder places no tasks itself.
    fn has_room(&self, context: &Context, machine: &Machine, task: &PlacedTask) -> bool {
        let index = self.jobs.find(&task.job);
        let job = index.and_then(|index| self.jobs.get(index));
        !self.places_tasks(context)
            || job.is_none_or(|job| tasks_that_fit(machine.free(), &job.spec) > 0)
    }

    /// Returns the assignment of a task that the leader has placed.
    fn assignment_of(&self, context: &Context, task: &PlacedTask, zone: String) -> Assignment {
        let index = self.jobs.find(&task.job);
        let job = index.and_then(|index| self.jobs.get(index));
        Assignment::new(TaskOnMachine {
            task,
            job: index,
            spec: job.map(|job| &job.spec),
            zone,
            now: context.now.steady,
        })
    }

    /// Reports the end of an attempt to the leader.
    pub(crate) fn report_attempt_end(
        &mut self,
        machine: &str,
        assignment: &Assignment,
        end: TaskEnd,
    ) {
        self.report_outcome(TaskOutcome {
            machine: machine.to_string(),
            job: assignment.job_id.clone(),
            task: assignment.task,
            attempt: assignment.attempt,
            end,
        });
    }

    /// Reports an outcome to the leader until the leader acknowledges it. The first outcome of an attempt stays.
    fn report_outcome(&mut self, outcome: TaskOutcome) {
        let outcomes = &mut self.holder_state.outcomes;
        outcomes.entry(outcome.id()).or_insert(outcome);
    }

    /// Handles the exit of a task on a machine of the partition: reports it to the leader. The agent keeps the
    /// result until the leader has recorded it in the store.
    pub(crate) fn on_exit_in_partition(
        &mut self,
        context: &mut Context,
        name: &str,
        assignment_index: usize,
        cause: &ExitCause,
        task_name: &str,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = machine.assignments[assignment_index].clone();
        machine.exited_attempts.push(ExitedAttempt {
            task_name: task_name.to_string(),
            attempt: assignment.attempt,
            prerequisites: Vec::new(),
            job: Some(assignment.job),
        });
        self.report_attempt_end(name, &assignment, TaskEnd::Exited(cause.clone()));
        self.remove_assignment(context, name, assignment_index);
    }

    /// Reports to the leader the exit of an attempt that the leader did not list. The leader has recorded that
    /// exit in the store, or knows how to treat it.
    pub(crate) fn report_unknown_exit(
        &mut self,
        name: &str,
        job: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        let cause = reported.cause.clone();
        let cause = cause.unwrap_or_else(|| ExitCause::Unknown(String::new()));
        self.report_outcome(TaskOutcome {
            machine: name.to_string(),
            job: job.to_string(),
            task,
            attempt: reported.attempt,
            end: TaskEnd::Exited(cause),
        });
    }

    /// Runs the periodic work of a holder that is due.
    pub(crate) fn run_holder(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        if !self.is_loaded() {
            return;
        }
        self.check_machines(context);
        if self.places_tasks(context) {
            self.run_holder_placement(context, watch);
            self.run_flush(context);
        }
        self.send_terminations(context);
        self.run_held_heartbeats(context);
    }

    /// Returns when a holder has to act next, in microseconds.
    pub(crate) fn next_holder_wake(&self) -> Micros {
        let mut at = self.next_machine_check.min(self.long_polls.next_deadline());
        if !self.held_heartbeats.is_empty() {
            at = at.min(self.next_held_deadline);
        }
        if self.placement.has_backlog {
            at = at.min(self.placement.next_at);
        }
        if self.is_loaded() {
            at.min(self.fleet.termination_wake())
        } else {
            Micros::MAX
        }
    }

    /// Returns whether this scheduler runs for a partition holder rather than for the leader.
    pub(crate) fn is_holder(&self) -> bool {
        self.role != Role::Leader
    }
}

#[cfg(test)]
mod tests;
