//! Carries out the leader's orders on the machines of a partition and reports to the leader.

use crate::context::{Context, Role};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::tasks_that_fit;
use crate::state::machine::{
    Assignment, ExitedAttempt, Machine, ObservedStatus, Stop, TaskOnMachine,
};
use crate::{Micros, Stopwatch, SECOND};
use grebewood_wire::http::{ExitCause, ReportedTask, TaskStatus};
use grebewood_wire::peer::{
    MachineState, PartitionOrders, PartitionReport, PlacedTask, TaskAttempt, TaskEnd, TaskOutcome,
    TaskState,
};
use log::{debug, info};
use std::collections::BTreeSet;

/// Most outcomes, and most states of machines, in one report.
const MOST_OUTCOMES: usize = 500;

const MOST_STATES: usize = 300;

/// How long the leader is told of a machine that was released.
const GONE_TOLD: Micros = 60 * SECOND;

impl Scheduler {
    /// Carries out orders and answers with a report. Orders that are out of order, or meant for another
    /// claim, are dropped: a late copy of one would launch again what has ended since.
    pub(crate) fn carry_out_orders(
        &mut self,
        context: &mut Context,
        orders: PartitionOrders,
    ) -> Option<PartitionReport> {
        let number = (orders.term, orders.sequence);
        if orders.claim != self.token || number <= self.holder_state.last || self.uncertain() {
            return None;
        }
        self.holder_state.last = number;
        if !self.jobs_are_read() {
            return Some(self.partition_report(context, orders.seen, orders.term, Vec::new()));
        }
        if let Some(tasks) = &orders.sync {
            self.reconcile(context, orders.term, tasks);
        }
        if self.holder_state.synced_term == orders.term {
            self.adopt_quota(context, orders.term, orders.quota.as_deref());
        }
        for attempt in &orders.acknowledged {
            self.holder_state.outcomes.remove(attempt);
        }
        for machine in &orders.terminated {
            self.terminated(context, machine);
        }
        let mut accepted = Vec::new();
        if self.holder_state.synced_term == orders.term {
            for task in &orders.launches {
                if self.accept_launch(context, task) {
                    accepted.push(task.id());
                }
            }
        }
        for stop in &orders.stops {
            let ordered = |a: &Assignment| a.id() == stop.id;
            self.stop_on(context, &stop.machine, stop.grace_us, ordered);
        }
        self.held_changed = true;
        Some(self.partition_report(context, orders.seen, orders.term, accepted))
    }

    /// Compares what the leader says may be on the machines with what is known here. What it does not
    /// know any more was never launched, or has ended by its books: it is dropped, or stopped.
    fn reconcile(&mut self, context: &mut Context, term: u64, tasks: &[PlacedTask]) {
        let first = !self.holder_state.knows_tasks();
        let listed: BTreeSet<TaskAttempt> = tasks.iter().map(PlacedTask::id).collect();
        self.settle_placed(context, &listed);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            // What this holder has placed itself is on its own record, and no news to it.
            let unknown = |a: &Assignment| !a.by_holder && !listed.contains(&a.id());
            self.stop_on(context, &name, 0, unknown);
        }
        for task in tasks {
            let known = self.has_attempt(task) || !self.holder_state.is_settled(Some(task.id()));
            if known {
                continue;
            }
            match self.has_numbered(task.attempt) {
                // This holder has placed it itself, and its page was not written anew since it was gone.
                true => self.note_outcome(TaskOutcome {
                    machine: task.machine.clone(),
                    job: task.job.clone(),
                    task: task.task,
                    attempt: task.attempt,
                    end: TaskEnd::Gone,
                }),
                false => self.adopt(context, task),
            }
        }
        self.holder_state.synced_term = term;
        if first {
            self.loaded_at = context.now.steady;
            self.last_heartbeat_at = context.now.steady;
            info!("partition: {} tasks may be on its machines", tasks.len());
        }
    }

    fn has_attempt(&self, task: &PlacedTask) -> bool {
        let machine = self.machines.get(&task.machine);
        machine.is_some_and(|m| {
            let mut assignments = m.assignments.iter();
            assignments.any(|a| a.id() == task.id())
        })
    }

    /// Takes over a task that an earlier holder, or the leader itself, may have launched. It is never
    /// launched here: either a report shows it, or it is gone.
    fn adopt(&mut self, context: &mut Context, task: &PlacedTask) {
        let zone = self.holder_zone(&task.machine);
        self.recovered_machine(context, &task.machine, &zone, task.incarnation);
        let mut assignment = self.assignment_of(context, task, zone);
        assignment.launched = Some((0, 0));
        let job = self.jobs.get(assignment.job);
        let over = job.is_none_or(|job| job.cancelled.is_some());
        assignment.stop = over.then_some(Stop {
            grace: 0,
            since: context.now.steady,
            sent: None,
        });
        self.add_assignment(&task.machine, assignment);
    }

    fn holder_zone(&self, machine: &str) -> String {
        let known = self.machines.get(machine).map(|m| m.zone.clone());
        known.unwrap_or_default()
    }

    /// Takes over a task that is to be launched. False: not yet, since its job is not known here.
    fn accept_launch(&mut self, context: &mut Context, task: &PlacedTask) -> bool {
        if self.has_attempt(task) || !self.holder_state.is_settled(Some(task.id())) {
            return true;
        }
        if self.jobs.find(&task.job).is_none() {
            return false;
        }
        let now = context.now.steady;
        let silence = 3 * context.settings.heartbeat_interval;
        let machine = self.machines.get(&task.machine);
        let fits = machine.is_some_and(|m| {
            m.incarnation == task.incarnation
                && m.usable(now, silence)
                && self.has_room(context, m, task)
        });
        let zone = self.holder_zone(&task.machine);
        let assignment = self.assignment_of(context, task, zone);
        if !fits {
            // It is never launched: the leader places it anew.
            debug!("{}/{}: refused for {}", task.job, task.task, task.machine);
            self.note_end(&task.machine, &assignment, TaskEnd::Gone);
            return true;
        }
        self.add_assignment(&task.machine, assignment);
        self.wake_long_poll(context, &task.machine);
        true
    }

    /// Whether what this holder has placed itself leaves room for a task that the leader has placed.
    fn has_room(&self, context: &Context, machine: &Machine, task: &PlacedTask) -> bool {
        let job = self
            .jobs
            .find(&task.job)
            .and_then(|index| self.jobs.get(index));
        !self.places_tasks(context)
            || job.is_none_or(|job| tasks_that_fit(machine.free(), &job.spec) > 0)
    }

    fn assignment_of(&self, context: &Context, task: &PlacedTask, zone: String) -> Assignment {
        let job = self.jobs.find(&task.job);
        let spec = job.and_then(|index| self.jobs.get(index)).map(|j| &j.spec);
        Assignment::new(TaskOnMachine {
            task,
            job,
            spec,
            zone,
            now: context.now.steady,
        })
    }

    /// Notes how an attempt ended, for the leader. What is known of it already stays.
    pub(crate) fn note_end(&mut self, machine: &str, a: &Assignment, end: TaskEnd) {
        self.note_outcome(TaskOutcome {
            machine: machine.to_string(),
            job: a.job_id.clone(),
            task: a.task,
            attempt: a.attempt,
            end,
        });
    }

    fn note_outcome(&mut self, outcome: TaskOutcome) {
        let outcomes = &mut self.holder_state.outcomes;
        outcomes.entry(outcome.id()).or_insert(outcome);
    }

    /// A task on a machine of the partition has exited: the leader is told, and the worker keeps the
    /// result until the leader has it on record.
    pub(crate) fn exited_in_partition(
        &mut self,
        context: &mut Context,
        name: &str,
        at: usize,
        cause: &ExitCause,
        task_name: &str,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = machine.assignments[at].clone();
        machine.exited_attempts.push(ExitedAttempt {
            task_name: task_name.to_string(),
            attempt: assignment.attempt,
            after: Vec::new(),
            job: Some(assignment.job),
        });
        self.note_end(name, &assignment, TaskEnd::Exited(cause.clone()));
        self.remove_assignment(context, name, at);
    }

    /// A worker reports the exit of an attempt that the leader did not speak of: it has that on record,
    /// or knows what it means.
    pub(crate) fn note_unknown_exit(
        &mut self,
        name: &str,
        job: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        let unknown = ExitCause::Unknown(String::new());
        let cause = reported.cause.clone().unwrap_or(unknown);
        self.note_outcome(TaskOutcome {
            machine: name.to_string(),
            job: job.to_string(),
            task,
            attempt: reported.attempt,
            end: TaskEnd::Exited(cause),
        });
    }

    /// A holder's timers.
    pub(crate) fn run_holder(&mut self, context: &mut Context, watch: &mut dyn Stopwatch) {
        if !self.loaded() {
            return;
        }
        self.run_machines(context);
        if self.places_tasks(context) {
            self.run_placing(context, watch);
            self.run_flush(context);
        }
        self.send_terminations(context);
        self.run_held_heartbeats(context);
    }

    /// When a holder has to act next.
    pub(crate) fn holder_wake(&self) -> Micros {
        let mut at = self.next_machine_check.min(self.long_polls.next_until());
        if !self.held_heartbeats.is_empty() {
            at = at.min(self.held_until);
        }
        if self.placement.backlog {
            at = at.min(self.placement.next_at);
        }
        match self.loaded() {
            true => at.min(self.fleet.termination_wake()),
            false => Micros::MAX,
        }
    }

    /// Whether this is the grant of a partition's holder.
    pub(crate) fn is_holder(&self) -> bool {
        self.role != Role::Leader
    }

    fn partition_report(
        &mut self,
        context: &Context,
        seen: u64,
        term: u64,
        accepted: Vec<TaskAttempt>,
    ) -> PartitionReport {
        self.note_states(context);
        let states = self.holder_state.states.values();
        let mut changed: Vec<&(u64, MachineState)> =
            states.filter(|(version, _)| *version > seen).collect();
        changed.sort_by_key(|(version, _)| *version);
        changed.truncate(MOST_STATES);
        let version = changed.last().map_or(seen, |(version, _)| *version);
        let outcomes = self.holder_state.outcomes.values();
        let outcomes = outcomes.filter(|outcome| !self.holder_quota.is_told_later(outcome.id()));
        let outcomes = outcomes.take(MOST_OUTCOMES);
        PartitionReport {
            claim: self.token,
            synced: self.holder_state.synced_term == term,
            accepted,
            outcomes: outcomes.cloned().collect(),
            machines: changed
                .into_iter()
                .map(|(_, state)| state.clone())
                .collect(),
            gone: self.fleet.gone_within(context.now.steady, GONE_TOLD),
            version,
            heartbeats: self.holder_state.heartbeats,
            quota: self.quota_report(context),
        }
    }

    /// Gives each machine whose state has changed since it was last told the next version.
    fn note_states(&mut self, context: &Context) {
        let machines = &self.machines;
        self.holder_state
            .states
            .retain(|name, _| machines.contains_key(name));
        for (name, machine) in &self.machines {
            if machine.address.is_empty() {
                continue;
            }
            let state = machine_state(context, machine);
            let known = self.holder_state.states.get(name);
            if known.is_none_or(|(_, known)| !same_state(known, &state)) {
                self.holder_state.version += 1;
                let version = self.holder_state.version;
                self.holder_state
                    .states
                    .insert(name.clone(), (version, state));
            }
        }
    }
}

/// Whether two states say the same; the time to a recall runs by itself.
fn same_state(a: &MachineState, b: &MachineState) -> bool {
    a.incarnation == b.incarnation
        && (a.counts, a.receives_responses, a.cordoned)
            == (b.counts, b.receives_responses, b.cordoned)
        && a.reclaim_us.is_some() == b.reclaim_us.is_some()
        && a.tasks == b.tasks
        && a.address == b.address
}

fn machine_state(context: &Context, machine: &Machine) -> MachineState {
    let now = context.now.steady;
    let silence = 3 * context.settings.heartbeat_interval;
    let tasks = machine.assignments.iter().filter_map(|a| {
        let status = match a.seen {
            ObservedStatus::Never => return None,
            ObservedStatus::Fetching => TaskStatus::Fetching,
            ObservedStatus::Running => TaskStatus::Running,
            ObservedStatus::Checkpointing => TaskStatus::Checkpointing,
        };
        Some(TaskState { id: a.id(), status })
    });
    MachineState {
        machine: machine.name.clone(),
        address: machine.address.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        incarnation: machine.incarnation,
        counts: machine.counts(now, silence),
        receives_responses: machine.receives_responses,
        cordoned: machine.cordoned,
        reclaim_us: machine.reclaim_at.map(|at| at.saturating_sub(now)),
        tasks: tasks.collect(),
    }
}

#[cfg(test)]
mod tests;
