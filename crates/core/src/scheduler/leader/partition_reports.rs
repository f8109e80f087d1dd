//! Applies the reports of partition holders to the leader's books.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::jobs::parse_task;
use crate::state::machine::{Assignment, Machine};
use crate::Outcome;
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Heartbeat, ReportedTask, TaskStatus};
use grebewood_wire::peer::{
    MachineState, PartitionReport, PeerAnswer, TaskAttempt, TaskEnd, TaskOutcome,
};
use log::warn;
use std::collections::BTreeSet;

impl Scheduler {
    pub(crate) fn on_orders_answered(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        outcome: Outcome,
    ) {
        let report = match outcome {
            Outcome::Answer { status: 200, body } => match wire::from_peer::<PeerAnswer>(&body) {
                Ok(answer) => answer.report,
                Err(e) => {
                    warn!("partition {id}: {e}");
                    None
                }
            },
            _ => None,
        };
        self.on_report_of_holder(context, id, claim, report);
    }

    /// Takes in a holder's report.
    pub(crate) fn on_report_of_holder(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        claim: u64,
        report: Option<PartitionReport>,
    ) {
        let now = context.now.steady;
        let Some(remote_partitions) = self.remote_partitions.by_id.get_mut(&id) else {
            return;
        };
        if remote_partitions.claim.as_ref().map(|c| c.1) != Some(claim) {
            return;
        }
        remote_partitions.busy = false;
        let Some(report) = report.filter(|report| report.claim == claim) else {
            return;
        };
        let newly_synced = report.synced && !remote_partitions.synced;
        remote_partitions.synced |= report.synced;
        remote_partitions.answered_at = now;
        remote_partitions.seen = report.version;
        if let Some(quota) = report.quota.as_ref().filter(|_| report.synced) {
            remote_partitions.placed_seen = quota.version;
            remote_partitions.reserved = std::mem::take(&mut remote_partitions.reserving);
        }
        remote_partitions.note_heartbeats(report.heartbeats, now);
        if newly_synced {
            self.note_delivered(id, Assignment::may_exist);
        }
        if !report.accepted.is_empty() {
            let accepted: BTreeSet<TaskAttempt> = report.accepted.iter().copied().collect();
            self.note_delivered(id, |a| accepted.contains(&a.id()));
        }
        for machine in &report.gone {
            if self.machines.contains_key(machine) {
                self.terminated(context, machine);
            }
        }
        for state in &report.machines {
            self.take_machine_state(context, id, state);
        }
        match &report.quota {
            Some(quota) if report.synced => self.on_placed(context, id, quota),
            None if report.synced => self.on_places_nothing(id),
            _ => {}
        }
        self.take_outcomes(context, id, report.outcomes);
        if let Some(quota) = report.quota.filter(|_| report.synced) {
            self.on_held(context, id, &quota);
        }
        self.refresh_machines(context, id);
        self.placement.request_round(now);
    }

    /// The holder has taken these assignments over.
    fn note_delivered(&mut self, id: PartitionId, taken_over: impl Fn(&Assignment) -> bool) {
        let machines = self.machines.values_mut();
        let theirs = machines.filter(|m| m.partition == Some(id));
        for a in theirs.flat_map(|m| &mut m.assignments) {
            a.delivered |= taken_over(a);
        }
    }

    /// Machines that the holder hears count as heard by the leader.
    fn refresh_machines(&mut self, context: &Context, id: PartitionId) {
        let now = context.now.steady;
        let mut heard = false;
        for machine in self.machines.values_mut() {
            if machine.partition == Some(id) && machine.counted_by_holder {
                machine.last_heartbeat = now;
                machine.last_contact_at = now;
                machine.last_response = now;
                heard = true;
            }
        }
        if heard {
            self.last_heartbeat_at = now;
        }
    }

    /// Takes in what the holder says of a machine.
    fn take_machine_state(&mut self, context: &mut Context, id: PartitionId, state: &MachineState) {
        let now = context.now.steady;
        if self.fleet.is_gone(&state.machine) {
            return;
        }
        let report = report_of(state);
        self.machine_is_up(context, &report);
        let machine_type = context.machine_type(&state.machine_type);
        let machine = self
            .machines
            .entry(state.machine.clone())
            .or_insert_with(|| Machine::new(&report, machine_type, now));
        if machine.address.is_empty() || machine.cpus <= 0.0 {
            machine.describe(&report, machine_type, now);
        }
        machine.partition = Some(id);
        machine.address.clone_from(&state.address);
        // The holder may have expected a session that the next one finds has not begun.
        machine.incarnation = state.incarnation;
        machine.receives_responses = state.receives_responses;
        // Whether it may be deaf is its holder's to tell.
        machine.unreachable_since = None;
        machine.counted_by_holder = state.counts;
        machine.cordoned |= state.cordoned;
        machine.reclaim_at = state.reclaim_us.map(|left| now + left);
        if !machine.assignments.is_empty() {
            machine.idle_since = now;
        }
        for task in &state.tasks {
            self.take_task_state(context, &state.machine, task.id, &task.status);
        }
    }

    fn take_task_state(
        &mut self,
        context: &Context,
        name: &str,
        id: TaskAttempt,
        status: &TaskStatus,
    ) {
        let now = context.now.steady;
        let machine = self.machines.get_mut(name);
        let assignment = machine.and_then(|m| m.assignments.iter_mut().find(|a| a.id() == id));
        let Some(a) = assignment else {
            return;
        };
        let before = a.seen;
        a.observe(status, now);
        let (index, seen) = (a.job, a.seen);
        self.count_running(now, index, before, seen);
    }

    /// Takes in attempts that have ended. A holder repeats them until they are acknowledged.
    fn take_outcomes(
        &mut self,
        context: &mut Context,
        id: PartitionId,
        outcomes: Vec<TaskOutcome>,
    ) {
        let told: BTreeSet<TaskAttempt> = outcomes.iter().map(TaskOutcome::id).collect();
        let news: Vec<TaskOutcome> = match self.remote_partitions.by_id.get_mut(&id) {
            Some(remote_partitions) => {
                // What is told no more was acknowledged.
                remote_partitions
                    .settling
                    .retain(|attempt| told.contains(attempt));
                let settling = &mut remote_partitions.settling;
                let new = outcomes.into_iter().filter(|o| settling.insert(o.id()));
                new.collect()
            }
            None => return,
        };
        for machine in self.machines.values_mut() {
            if machine.partition == Some(id) {
                machine
                    .exited_attempts
                    .retain(|exited| exited.id().is_some_and(|id| told.contains(&id)));
            }
        }
        for outcome in news {
            self.take_outcome(context, &outcome);
        }
    }

    fn take_outcome(&mut self, context: &mut Context, outcome: &TaskOutcome) {
        let name = &outcome.machine;
        let task_name = format!("{}/{}", outcome.job, outcome.task);
        let at = self.machines.get(name).and_then(|m| {
            let mut assignments = m.assignments.iter();
            assignments.position(|a| a.id() == outcome.id())
        });
        match (at, &outcome.end) {
            (Some(at), TaskEnd::Gone) => self.remove_assignment(context, name, at),
            (Some(at), TaskEnd::Exited(cause)) => self.exited(context, name, at, cause, &task_name),
            (None, TaskEnd::Gone) => {}
            (None, TaskEnd::Exited(cause)) => {
                let task = ReportedTask {
                    task_name: task_name.clone(),
                    attempt: outcome.attempt,
                    status: TaskStatus::Exited,
                    cause: Some(cause.clone()),
                    checkpointed: None,
                };
                if let Some((job, number)) = parse_task(&task_name) {
                    self.exited_unknown(context, name, job, number, &task);
                }
            }
        }
    }
}

/// A machine's state in the form of a report without tasks.
fn report_of(state: &MachineState) -> Heartbeat {
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
