//! Applies the status of a machine, from a heartbeat or from the response to a direct command (see
//! [`stops`](super::stops)), to the state of the machine and of the tasks on it.

use crate::context::Context;
use crate::scheduler::agents::StatusSource;
use crate::scheduler::Scheduler;
use crate::state::jobs::{parse_task_name, JobIndex};
use crate::state::machine::{Machine, ObservedStatus, RESPONSE_TIMEOUT_US};
use crate::{micros, Micros};
use grebewood_wire::http::{ExitCause, Heartbeat, ReportedTask, TaskStatus};
use log::{info, warn};

/// Cause of an exit that was reported without one.
static NO_CAUSE: ExitCause = ExitCause::Unknown(String::new());

impl Scheduler {
    /// Applies the status of a machine. Returns false if a newer status has been applied already.
    pub(crate) fn apply_heartbeat(
        &mut self,
        context: &mut Context,
        status: Heartbeat,
        source: StatusSource,
    ) -> bool {
        let now = context.now.steady;
        let name = status.machine.clone();
        self.add_machine_if_new(context, &status);
        self.record_machine_up(context, &status);
        let Some(machine) = self.machines.get_mut(&name) else {
            return false;
        };
        if (status.incarnation, status.sequence) <= (machine.incarnation, machine.sequence) {
            return false;
        }
        if machine.address.is_empty() || machine.cpus <= 0.0 {
            let machine_type = context.machine_type(&status.machine_type);
            machine.apply_description(&status, machine_type, now);
        }
        let knows_token = status.token == self.token;
        let new_incarnation = status.incarnation > machine.incarnation;
        record_contact(machine, &status, source, now);
        if knows_token {
            record_token(machine, source, now);
        }
        record_reachability(machine, &status, source, new_incarnation, now);
        if new_incarnation {
            machine.exited_attempts.clear();
            // The agent has killed and forgotten every task of its earlier incarnations.
            self.remove_assignments(context, &name, |a| a.incarnation < status.incarnation);
        }
        if knows_token {
            self.apply_tasks(context, &status, source);
        }
        if status.reclaim_s.is_some() {
            // Nothing more is launched on a machine that will be reclaimed. Without this, tasks whose assignment page
            // is not written yet would wait until the machine is gone.
            self.remove_unlaunched(context, &name);
            self.drain_reclaimed(context, &name);
            self.move_replicas(context, &name);
        }
        self.check_receives_responses(context, &name);
        true
    }

    /// Adds the machine if it is unknown. A machine that was provisioned and is booting takes tasks immediately;
    /// the agent of any other machine first has to show that it receives the responses to its heartbeats.
    fn add_machine_if_new(&mut self, context: &Context, status: &Heartbeat) {
        let name = &status.machine;
        if self.machines.contains_key(name) {
            return;
        }
        let machine_type = context.machine_type(&status.machine_type);
        let mut machine = Machine::new(status, machine_type, context.now.steady);
        machine.receives_responses = self.fleet.is_booting(name);
        self.machines.insert(name.clone(), machine);
    }

    /// Removes the unlaunched assignments of a machine whose agent receives no responses to its heartbeats, and
    /// terminates the machine once the agent has received none for more than two agent leases.
    fn check_receives_responses(&mut self, context: &mut Context, name: &str) {
        let now = context.now.steady;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.assignments.is_empty() {
            machine.idle_since = now;
        }
        if machine.receives_responses {
            return;
        }
        let since = *machine.unreachable_since.get_or_insert(now);
        let unreachable_for = now.saturating_sub(since);
        if unreachable_for > 2 * context.settings.agent_lease && machine.cordon.is_none() {
            info!(machine = name; "terminating a machine that receives no responses");
            machine.cordon_for_termination();
            self.fleet.terminate(name, now);
        }
        self.remove_unlaunched(context, name);
    }

    /// Removes the assignments of a machine that are not launched: only a response that reaches the agent can
    /// launch them.
    pub(crate) fn remove_unlaunched(&mut self, context: &mut Context, name: &str) {
        self.remove_assignments(context, name, |a| a.launched.is_none());
    }

    /// Reconciles the tasks of a status that was sent under the current fencing token with the assignments of the
    /// machine.
    fn apply_tasks(&mut self, context: &mut Context, status: &Heartbeat, source: StatusSource) {
        for reported in &status.tasks {
            self.apply_task(context, status, reported);
        }
        if let Some(machine) = self.machines.get_mut(&status.machine) {
            machine
                .exited_attempts
                .retain(|exited| lists_attempt(status, &exited.task_name, exited.attempt));
        }
        // The response to a heartbeat may still deliver a launch after this status, so a task that is absent from
        // the response to a direct command may start later.
        if source == StatusSource::Heartbeat {
            self.apply_absences(context, status);
        }
    }

    /// Applies the status of one task.
    fn apply_task(&mut self, context: &mut Context, status: &Heartbeat, reported: &ReportedTask) {
        let name = &status.machine;
        let Some((job_id, task)) = parse_task_name(&reported.task_name) else {
            warn!(machine = name, task:? = reported.task_name; "agent reported a task whose name is not of the form job/number");
            return;
        };
        let assignment_index = self.assignment_index(name, |a| {
            a.attempt == reported.attempt && a.task == task && a.job_id == job_id
        });
        let exited = reported.status == TaskStatus::Exited;
        match assignment_index {
            Some(assignment_index) if exited => {
                let cause = reported.cause.as_ref().unwrap_or(&NO_CAUSE);
                self.on_task_exited(context, name, assignment_index, cause, &reported.task_name);
            }
            Some(assignment_index) => {
                let Some(machine) = self.machines.get_mut(name) else {
                    return;
                };
                let now = context.now.steady;
                let assignment = &mut machine.assignments[assignment_index];
                let before = assignment.observed_status;
                assignment.observe(&reported.status, now);
                let (job, seen) = (assignment.job, assignment.observed_status);
                self.update_running_count(now, job, before, seen);
            }
            None if exited => self.apply_unrecorded_exit(context, name, job_id, task, reported),
            None => self.stop_unrecorded_task(context, status, job_id, task, reported),
        }
    }

    /// Handles launched tasks that are absent from a heartbeat sent under the current fencing token: either the
    /// task is gone, or the response with its launch was lost.
    fn apply_absences(&mut self, context: &mut Context, status: &Heartbeat) {
        let name = &status.machine;
        let newest = (status.incarnation, status.sequence);
        let mut launch_was_lost = false;
        let mut assignment_index = 0;
        while let Some(assignment) = self
            .machines
            .get_mut(name)
            .and_then(|machine| machine.assignments.get_mut(assignment_index))
        {
            let launched_before = assignment.launched.is_some_and(|launch| launch < newest);
            if !launched_before
                || lists_attempt(status, &assignment.task_name(), assignment.attempt)
            {
                assignment_index += 1;
            } else if assignment.is_launch_unconfirmed() {
                // An agent never carries out a lost response late, so the launch can be sent again under the same
                // attempt number once responses reach the agent.
                assignment.launched = None;
                launch_was_lost = true;
                assignment_index += 1;
            } else {
                self.remove_assignment(context, name, assignment_index);
            }
        }
        if let (true, Some(machine)) = (launch_was_lost, self.machines.get_mut(name)) {
            machine.receives_responses = false;
        }
    }

    /// Updates the count of running tasks of the job after a task was observed to start or to stop running.
    pub(crate) fn update_running_count(
        &mut self,
        now: Micros,
        index: JobIndex,
        before: ObservedStatus,
        after: ObservedStatus,
    ) {
        let was_running = before == ObservedStatus::Running;
        let is_running = after == ObservedStatus::Running;
        if was_running == is_running {
            return;
        }
        if let Some(job) = self.jobs.get_mut(index) {
            match is_running {
                true => job.record_running(now),
                false => job.running_count = job.running_count.saturating_sub(1),
            }
            self.progress_dirty.insert(index);
        }
    }
}

/// Returns whether the status lists this attempt of the task.
fn lists_attempt(status: &Heartbeat, task_name: &str, attempt: u64) -> bool {
    status
        .tasks
        .iter()
        .any(|reported| reported.attempt == attempt && reported.task_name == task_name)
}

/// Records the contact with the agent that sent the status: the time of the contact, the agent's address and
/// incarnation, the sequence number of the status, and the time at which the machine will be reclaimed, if any.
fn record_contact(machine: &mut Machine, status: &Heartbeat, source: StatusSource, now: Micros) {
    machine.address = status.address.clone();
    machine.last_contact_at = now;
    machine.reclaim_at = status.reclaim_s.map(|seconds| now + micros(seconds));
    machine.incarnation = status.incarnation;
    machine.sequence = status.sequence;
    if source == StatusSource::Heartbeat {
        machine.newest_heartbeat = (status.incarnation, status.sequence);
        machine.last_heartbeat_at = now;
    }
}

/// Records that the agent knows the current fencing token. Until then, an earlier leader that does not know yet
/// that it was replaced may have renewed the agent's lease, so the lease's expiry is counted from this status on. The
/// handler of a heartbeat sets `last_response_at` itself.
fn record_token(machine: &mut Machine, source: StatusSource, now: Micros) {
    if !machine.knows_token && source == StatusSource::DirectCommand {
        machine.last_response_at = now;
    }
    machine.knows_token = true;
}

/// Records whether the responses to its heartbeats reach the agent. An agent that receives them sends its next
/// heartbeat to this controller well within [`RESPONSE_TIMEOUT_US`]; an agent that receives none turns to another
/// controller after that time.
fn record_reachability(
    machine: &mut Machine,
    status: &Heartbeat,
    source: StatusSource,
    new_incarnation: bool,
    now: Micros,
) {
    let in_time = now.saturating_sub(machine.last_response_at) < RESPONSE_TIMEOUT_US;
    if source == StatusSource::Heartbeat && machine.knows_token && in_time && !new_incarnation {
        machine.receives_responses = true;
        machine.unreachable_since = None;
    }
    if new_incarnation && status.incarnation > 1 {
        machine.receives_responses = false;
    }
}
