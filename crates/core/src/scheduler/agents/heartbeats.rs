//! Answers heartbeats: selects the commands of the response, and decides when it may be sent.

use crate::context::Context;
use crate::scheduler::agents::StatusSource;
use crate::scheduler::Scheduler;
use crate::state::jobs::{parse_task_name, JobIndex, RESOURCE_TOLERANCE};
use crate::state::long_polls::HeldHeartbeat;
use crate::state::machine::stop_command;
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI};
use grebewood_wire::http::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskStatus, Verb};

/// Maximum time for which the response to a heartbeat is held; it then carries the commands that are ready.
pub(crate) const MAX_HOLD_US: Micros = 500 * MILLI;

/// Maximum number of commands in one response, which keeps it below the size limit.
pub(crate) const MAX_COMMANDS: usize = 300;

/// Returns stop commands for the reported tasks of jobs that are known to be cancelled.
fn stop_commands_for_cancelled(context: &Context, heartbeat: &Heartbeat) -> Vec<Command> {
    let live = heartbeat
        .tasks
        .iter()
        .filter(|reported| reported.status != TaskStatus::Exited);
    live.filter_map(|reported| {
        let (job, task) = parse_task_name(&reported.task_name)?;
        context.cancellations.get(job)?;
        Some(stop_command(job, task, reported.attempt, 0))
    })
    .take(MAX_COMMANDS)
    .collect()
}

impl Scheduler {
    /// Handles a heartbeat that arrived as request number `request`.
    pub(crate) fn on_heartbeat(
        &mut self,
        context: &mut Context,
        request: u64,
        heartbeat: Heartbeat,
    ) {
        let now = context.now.steady;
        self.holder_state.heartbeats += 1;
        if !self.is_loaded() {
            self.last_heartbeat_at = now;
            // The response renews the agent's lease and announces the fencing token. It carries stops while records
            // are still being read, which a store outage may prolong, since cancelled tasks have to be gone in time
            // regardless.
            let commands = stop_commands_for_cancelled(context, &heartbeat);
            return self.answer_heartbeat(context, request, commands);
        }
        if self.fleet.is_terminated(&heartbeat.machine) {
            // The machine was deleted, so this is a delayed copy of a heartbeat.
            return context.answer(request, 421, &Redirect { controller: None });
        }
        let held = HeldHeartbeat {
            request,
            placement_round: 0,
            machine: heartbeat.machine.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            deadline: now + MAX_HOLD_US,
        };
        if !self.apply_heartbeat(context, heartbeat, StatusSource::Heartbeat) {
            self.record_late_heartbeat(context, &held);
            return self.answer_heartbeat(context, request, Vec::new());
        }
        self.last_heartbeat_at = now;
        // An agent has one heartbeat in flight at a time, so it has given up waiting for the earlier one.
        self.refuse_held_heartbeats(context, &held.machine, "overtaken by a later report");
        let Some(machine) = self.machines.get_mut(&held.machine) else {
            return self.answer_heartbeat(context, request, Vec::new());
        };
        machine.last_response_at = now;
        self.answer_or_hold(context, held);
    }

    /// Handles a heartbeat that arrived after a newer status of the machine. A delayed copy renews no lease, and no
    /// agent reads the response. But if the response to a direct command overtook the heartbeat, the agent accepts
    /// the response to the heartbeat. Its lease then counts from the sending of this heartbeat, so its expiry must
    /// not be computed from the previous response.
    fn record_late_heartbeat(&mut self, context: &Context, late: &HeldHeartbeat) {
        let Some(machine) = self.machines.get_mut(&late.machine) else {
            return;
        };
        let id = (late.incarnation, late.sequence);
        if late.incarnation == machine.incarnation && id > machine.newest_heartbeat {
            machine.newest_heartbeat = id;
            machine.last_response_at = context.now.steady;
        }
    }

    /// Answers a heartbeat immediately if it has nothing to wait for, and holds it otherwise.
    fn answer_or_hold(&mut self, context: &mut Context, mut held: HeldHeartbeat) {
        if self.has_room_for_backlog(context, &held.machine) {
            self.placement.request_round(context.now.steady);
            held.placement_round = self.placement.rounds + 1;
        }
        if !self.may_be_answered(context, &held) {
            return self.hold_heartbeat(held);
        }
        let commands = self.prepare_commands(context, &held);
        if commands.is_empty() && self.may_long_poll(context, &held.machine) {
            return self.hold_long_poll(context, held);
        }
        self.answer_heartbeat(context, held.request, commands);
    }

    /// Returns whether the machine has free resources that jobs are waiting for. The response then waits for the
    /// next placement round.
    fn has_room_for_backlog(&self, context: &Context, name: &str) -> bool {
        let max_silence = context.settings.heartbeat_timeout();
        self.placement.has_backlog
            && self.machines.get(name).is_some_and(|machine| {
                machine.free().cpus > RESOURCE_TOLERANCE
                    && machine.is_usable(context.now.steady, max_silence)
            })
    }

    /// Sends the response to a heartbeat.
    pub(crate) fn answer_heartbeat(
        &self,
        context: &mut Context,
        request: u64,
        commands: Vec<Command>,
    ) {
        let response = HeartbeatResponse {
            token: self.token,
            commands,
        };
        context.answer(request, 200, &response);
    }

    /// Returns whether the given versions of records, which hold the outcome of a task of the job, are durable.
    pub(crate) fn is_durable(&self, records: &[(RecordId, u64)], job: Option<JobIndex>) -> bool {
        // Once a job has ended, its final record stands for all of its tasks.
        let has_job_ended = job.is_some_and(|index| self.jobs.get(index).is_none());
        records.iter().all(|(record, version)| {
            (has_job_ended && matches!(record, RecordId::CompletedTasksPage(..)))
                || self.write_buffer.is_durable(record, *version)
        })
    }

    /// Returns the commands for the response to a heartbeat, and marks the launches and stops among them as sent.
    /// Tasks are launched only here, because an agent never carries out the response to a heartbeat late. Launches
    /// are limited to durable assignments, and acknowledgements to outcomes that are durable.
    pub(crate) fn prepare_commands(
        &mut self,
        context: &Context,
        held: &HeldHeartbeat,
    ) -> Vec<Command> {
        let is_same_incarnation = self
            .machines
            .get(&held.machine)
            .is_some_and(|machine| machine.incarnation == held.incarnation);
        if !is_same_incarnation {
            return Vec::new();
        }
        let mut commands = self.acknowledgements(&held.machine);
        self.add_stops_and_launches(context, held, &mut commands);
        commands
    }

    /// Returns acknowledgements for the exits on a machine whose outcomes are durable.
    fn acknowledgements(&self, name: &str) -> Vec<Command> {
        let Some(machine) = self.machines.get(name) else {
            return Vec::new();
        };
        machine
            .exited_attempts
            .iter()
            .filter(|exited| {
                self.is_durable(&exited.prerequisites, exited.job)
                    && self.holder_state.is_outcome_recorded(exited.id())
            })
            .take(MAX_COMMANDS)
            .map(|exited| Command {
                verb: Verb::Acknowledge,
                task_name: exited.task_name.clone(),
                attempt: exited.attempt,
                grace_s: None,
            })
            .collect()
    }

    /// Adds the stops of a machine and the launches of its durable assignments.
    fn add_stops_and_launches(
        &mut self,
        context: &Context,
        held: &HeldHeartbeat,
        commands: &mut Vec<Command>,
    ) {
        let (write_buffer, jobs) = (&self.write_buffer, &self.jobs);
        let Some(machine) = self.machines.get_mut(&held.machine) else {
            return;
        };
        let is_reclaimed = machine.reclaim_at.is_some();
        for assignment in &mut machine.assignments {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            if assignment.stop.is_some() {
                commands.extend(assignment.send_stop(context.now.steady));
                continue;
            }
            let is_live = jobs.get(assignment.job).is_some_and(|job| {
                job.cancelled_at.is_none() && !job.is_task_completed(assignment.task)
            });
            let page = RecordId::AssignmentPage(assignment.page);
            if assignment.launched.is_none()
                && write_buffer.is_durable(&page, assignment.page_version)
                && is_live
                && !is_reclaimed
                && assignment.incarnation == held.incarnation
            {
                assignment.launched = Some((held.incarnation, held.sequence));
                commands.push(assignment.launch_command());
            }
        }
    }
}
