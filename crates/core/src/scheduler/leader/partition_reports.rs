//! Applies the reports of partition holders to the leader's state.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::parse_task_name;
use crate::state::machine::{Assignment, Machine};
use crate::state::remote_partitions::RemotePartition;
use crate::{Micros, Outcome};
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Heartbeat, ReportedTask, TaskStatus};
use grebewood_wire::peer::{
    MachineState, PartitionReport, PeerResponse, TaskAttempt, TaskEnd, TaskOutcome,
};
use log::warn;
use std::collections::BTreeSet;

impl Scheduler {
    /// Handles the outcome of a call that sent orders to a holder.
    pub(crate) fn on_orders_response(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        outcome: Outcome,
    ) {
        let report = match outcome {
            Outcome::Answer { status: 200, body } => match wire::from_peer::<PeerResponse>(&body) {
                Ok(response) => response.report,
                Err(error) => {
                    warn!(
                        partition = id, error:% = error;
                        "cannot decode the response of a partition holder"
                    );
                    None
                }
            },
            _ => None,
        };
        self.on_partition_report(context, id, claim, report);
    }

    /// Applies a holder's report; `None` if the holder did not answer.
    pub(crate) fn on_partition_report(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        report: Option<PartitionReport>,
    ) {
        let Some(partition) = self.remote_partitions.by_id.get_mut(&id) else {
            return;
        };
        if partition.claim_token() != Some(claim) {
            return;
        }
        partition.awaiting_report = false;
        let Some(report) = report.filter(|report| report.claim == claim) else {
            return;
        };
        let is_newly_reconciled = report.synced && !partition.reconciled;
        partition.apply_report(&report, context.now.steady);
        if is_newly_reconciled {
            self.mark_delivered(id, Assignment::may_be_on_machine);
        }
        if !report.accepted.is_empty() {
            let accepted: BTreeSet<TaskAttempt> = report.accepted.iter().copied().collect();
            self.mark_delivered(id, |a| accepted.contains(&a.id()));
        }
        self.apply_machine_states(context, id, &report);
        if report.synced {
            self.apply_placements(context, id, report.quota.as_ref());
        }
        self.apply_outcomes(context, id, report.outcomes);
        if let Some(quota) = report.quota.filter(|_| report.synced) {
            self.apply_held_quota(context, id, &quota);
        }
        self.refresh_machine_contacts(context, id);
        self.placement.request_round(context.now.steady);
    }

    fn apply_machine_states(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        report: &PartitionReport,
    ) {
        for machine in &report.terminated {
            if self.machines.contains_key(machine) {
                self.remove_terminated_machine(context, machine);
            }
        }
        for state in &report.machines {
            self.apply_machine_state(context, id, state);
        }
    }

    /// Marks the assignments in the partition that the holder has accepted as delivered.
    fn mark_delivered(&mut self, id: PartitionId, accepted: impl Fn(&Assignment) -> bool) {
        let machines = self.machines.values_mut();
        let machines = machines.filter(|machine| machine.partition == Some(id));
        for a in machines.flat_map(|machine| &mut machine.assignments) {
            a.delivered |= accepted(a);
        }
    }

    /// Counts this report as contact of the leader with each machine that the holder counts as able to take tasks.
    fn refresh_machine_contacts(&mut self, context: &Context, id: PartitionId) {
        let now = context.now.steady;
        let mut any_in_contact = false;
        for machine in self.machines.values_mut() {
            if machine.partition == Some(id) && machine.counted_as_capacity_by_holder {
                machine.last_heartbeat_at = now;
                machine.last_contact_at = now;
                machine.last_response_at = now;
                any_in_contact = true;
            }
        }
        if any_in_contact {
            self.last_heartbeat_at = now;
        }
    }

    /// Applies the state of a machine that its holder reports.
    fn apply_machine_state(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        state: &MachineState,
    ) {
        let now = context.now.steady;
        if self.fleet.is_terminated(&state.machine) {
            return;
        }
        let heartbeat = heartbeat_of(state);
        self.record_machine_up(context, &heartbeat);
        let machine_type = context.machine_type(&state.machine_type);
        let machine = self
            .machines
            .entry(state.machine.clone())
            .or_insert_with(|| Machine::new(&heartbeat, machine_type, now));
        if machine.address.is_empty() || machine.cpus <= 0.0 {
            machine.apply_description(&heartbeat, machine_type, now);
        }
        machine.partition = Some(id);
        machine.address.clone_from(&state.address);
        // The incarnation may be lower than before: a holder may have expected an agent incarnation that, as the
        // next holder finds, has not begun.
        machine.incarnation = state.incarnation;
        machine.receives_responses = state.receives_responses;
        // Only the holder knows whether the agent receives responses.
        machine.unreachable_since = None;
        machine.counted_as_capacity_by_holder = state.counts_as_capacity;
        if state.cordoned {
            machine.cordon_for_termination();
        }
        machine.reclaim_at = state.reclaim_us.map(|left| now + left);
        if !machine.assignments.is_empty() {
            machine.idle_since = now;
        }
        for task in &state.tasks {
            self.apply_task_state(context, &state.machine, task.id, &task.status);
        }
    }

    /// Applies the status of a task that the machine's holder reports.
    fn apply_task_state(
        &mut self,
        context: &Context,
        name: &str,
        id: TaskAttempt,
        status: &TaskStatus,
    ) {
        let now = context.now.steady;
        let machine = self.machines.get_mut(name);
        let assignments = machine.map(|machine| machine.assignments.iter_mut());
        let Some(assignment) =
            assignments.and_then(|mut assignments| assignments.find(|a| a.id() == id))
        else {
            return;
        };
        let before = assignment.observed_status;
        assignment.observe(status, now);
        let (index, seen) = (assignment.job, assignment.observed_status);
        self.update_running_count(now, index, before, seen);
    }

    /// Applies the outcomes of attempts that have ended. A holder repeats each outcome until it is acknowledged.
    fn apply_outcomes(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        outcomes: Vec<TaskOutcome>,
    ) {
        let Some(partition) = self.remote_partitions.by_id.get_mut(&id) else {
            return;
        };
        let reported: BTreeSet<TaskAttempt> = outcomes.iter().map(TaskOutcome::id).collect();
        // Outcomes that are no longer reported were acknowledged.
        let applied = &mut partition.applied_outcomes;
        applied.retain(|attempt| reported.contains(attempt));
        let new = outcomes.into_iter();
        let new: Vec<TaskOutcome> = new.filter(|outcome| applied.insert(outcome.id())).collect();
        let machines = self.machines.values_mut();
        for machine in machines.filter(|machine| machine.partition == Some(id)) {
            machine.exited_attempts.retain(|exited| {
                let attempt = exited.id();
                attempt.is_some_and(|attempt| reported.contains(&attempt))
            });
        }
        for outcome in new {
            self.apply_outcome(context, &outcome);
        }
    }

    fn apply_outcome(&mut self, context: &mut Context, outcome: &TaskOutcome) {
        let name = &outcome.machine;
        let task_name = format!("{}/{}", outcome.job, outcome.task);
        let assignment_index = self.assignment_index(name, |a| a.id() == outcome.id());
        match (assignment_index, &outcome.end) {
            (Some(assignment_index), TaskEnd::Gone) => {
                self.remove_assignment(context, name, assignment_index)
            }
            (Some(assignment_index), TaskEnd::Exited(cause)) => {
                self.on_task_exited(context, name, assignment_index, cause, &task_name)
            }
            (None, TaskEnd::Gone) => {}
            (None, TaskEnd::Exited(cause)) => {
                let task = ReportedTask {
                    task_name: task_name.clone(),
                    attempt: outcome.attempt,
                    status: TaskStatus::Exited,
                    cause: Some(cause.clone()),
                    checkpointed: None,
                };
                if let Some((job, number)) = parse_task_name(&task_name) {
                    self.apply_unrecorded_exit(context, name, job, number, &task);
                }
            }
        }
    }
}

impl RemotePartition {
    /// Applies the parts of a holder's report that concern the partition itself.
    fn apply_report(&mut self, report: &PartitionReport, now: Micros) {
        self.reconciled |= report.synced;
        self.last_report_at = now;
        self.state_version = report.version;
        if let Some(quota) = report.quota.as_ref().filter(|_| report.synced) {
            self.last_known_placement = quota.version;
            self.reserved_confirmed = std::mem::take(&mut self.reserved_sent);
        }
        self.record_heartbeats(report.heartbeats, now);
    }
}

/// Returns a machine's state in the form of a heartbeat without tasks.
fn heartbeat_of(state: &MachineState) -> Heartbeat {
    Heartbeat {
        machine: state.machine.clone(),
        address: state.address.clone(),
        machine_type: state.machine_type.clone(),
        zone: state.zone.clone(),
        spot: state.spot,
        incarnation: state.incarnation,
        sequence: 0,
        token: 0,
        reclaim_s: None,
        tasks: Vec::new(),
    }
}
