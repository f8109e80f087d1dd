//! Stops tasks: sends stop commands, and drains machines that will be reclaimed.
//!
//! A direct command is a request that this controller sends to the address of an agent (`POST /do`), while all other
//! commands travel in responses to heartbeats. It carries the due stops or, as a probe, no command at all; launches
//! travel only in responses to heartbeats.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::agents::heartbeats::MAX_COMMANDS;
use crate::scheduler::agents::StatusSource;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit};
use crate::state::jobs::{Job, JobIndex};
use crate::state::machine::{Assignment, Machine, ObservedStatus, Stop, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::{micros, Micros, Outcome, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{Command, DirectCommands, Heartbeat, ReportedTask, Submission};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use log::{error, warn};

/// Time before the reclamation of a machine, in addition to the checkpoint grace, at which a replica is stopped
/// even if it fits nowhere else.
const REPLICA_MOVE_MARGIN_US: Micros = 4 * SECOND;

/// Time before the reclamation of a machine, in addition to the checkpoint duration, at which a task that
/// checkpoints is stopped.
const CHECKPOINT_MARGIN_US: Micros = 5 * SECOND;

/// Margin by which a task has to be expected to finish before the reclamation of its machine, so that it is not
/// stopped.
const FINISH_MARGIN_US: Micros = SECOND;

/// Minimum time between two direct commands to stop the same task.
const STOP_RETRY_INTERVAL_US: Micros = 2 * SECOND;

/// Timeout of a direct command.
const DIRECT_COMMAND_TIMEOUT_US: Micros = 2 * SECOND;

/// Expected run time of a task that runs on a machine although it is on no assignment page.
const UNRECORDED_TASK_DURATION_US: Micros = SECOND;

/// What to send to a machine that has no stop due.
#[derive(Clone, Copy, PartialEq, Eq)]
enum IfNoStopsDue {
    /// Nothing.
    SendNothing,
    /// A direct command without stops, whose response shows that the agent can be reached.
    SendProbe,
}

/// Stop of a task on a machine that will be reclaimed or terminated.
struct PlannedStop {
    attempt: u64,
    /// Time for a checkpoint, in microseconds.
    grace: Micros,
}

impl Scheduler {
    /// Stops a task that an agent reports although it is on none of the pages. It counts as assigned until it is
    /// proven gone.
    pub(crate) fn stop_unrecorded_task(
        &mut self,
        context: &mut Context,
        status: &Heartbeat,
        job_id: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        let now = context.now.steady;
        let name = &status.machine;
        error!(machine = name, task = reported.task_name; "agent reported a task that is on no assignment page; stopping it");
        let index = self.jobs.find(job_id);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.assign_task(task);
            *job.assignments_by_zone
                .entry(status.zone.clone())
                .or_insert(0) += 1;
        }
        let page = match self.is_holder() {
            true => 0,
            false => self.page_with_room(),
        };
        let job = index.and_then(|index| self.jobs.get(index));
        let task = PlacedTask {
            machine: name.clone(),
            incarnation: status.incarnation,
            job: job_id.to_string(),
            task,
            attempt: reported.attempt,
            expected_us: UNRECORDED_TASK_DURATION_US,
        };
        let assignment = Assignment {
            page,
            launched: Some((status.incarnation, status.sequence)),
            observed_status: ObservedStatus::Running,
            started_at: Some(now),
            stop: Some(Stop::new(0, now)),
            ..Assignment::new(TaskOnMachine {
                task: &task,
                job: index,
                spec: job.map(|job| &job.spec),
                zone: status.zone.clone(),
                now,
            })
        };
        if !self.is_holder() {
            self.page_mut(page).add(name, &assignment);
            self.write_buffer
                .mark_dirty(RecordId::AssignmentPage(page), now);
        }
        self.add_assignment(name, assignment);
        self.send_due_stops(context, name);
    }

    /// Stops all tasks of a job, on all machines.
    pub(crate) fn stop_job(&mut self, context: &mut Context, index: JobIndex) {
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.assignments.iter().any(|a| a.job == index))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.stop_assignments(context, &name, 0, |a| a.job == index);
        }
    }

    /// Stops the assignments of a machine that pass the test and gives each of them `grace` microseconds to
    /// checkpoint. Assignments that were never launched are removed immediately.
    pub(crate) fn stop_assignments(
        &mut self,
        context: &mut Context,
        name: &str,
        grace: Micros,
        test: impl Fn(&Assignment) -> bool,
    ) {
        let now = context.now.steady;
        self.remove_assignments(context, name, |a| test(a) && !a.may_be_on_machine());
        let mut has_new_stops = false;
        if let Some(machine) = self.machines.get_mut(name) {
            for assignment in machine.assignments.iter_mut().filter(|a| test(a)) {
                // A stop without grace replaces one with grace, so it also ends a task that is checkpointing.
                if assignment
                    .stop
                    .is_none_or(|stop| grace == 0 && stop.grace > 0)
                {
                    assignment.stop = Some(Stop::new(grace, now));
                    has_new_stops = true;
                }
            }
        }
        if has_new_stops {
            self.send_due_stops(context, name);
        }
    }

    /// Stops an attempt of a task on whichever machine it is assigned to.
    pub(crate) fn stop_attempt(
        &mut self,
        context: &mut Context,
        attempt: TaskAttempt,
        grace: Micros,
    ) {
        let has_attempt = |m: &&Machine| m.assignments.iter().any(|a| a.id() == attempt);
        let machine = self.machines.values().find(has_attempt);
        if let Some(name) = machine.map(|machine| machine.name.clone()) {
            self.stop_assignments(context, &name, grace, |a| a.id() == attempt);
        }
    }

    /// Sends the due stops of a machine in a direct command.
    pub(crate) fn send_due_stops(&mut self, context: &mut Context, name: &str) {
        self.send_direct_commands(context, name, IfNoStopsDue::SendNothing);
    }

    /// Sends a direct command with the due stops, if any, to learn from the response whether the agent can be
    /// reached.
    pub(crate) fn probe_agent(&mut self, context: &mut Context, name: &str) {
        self.send_direct_commands(context, name, IfNoStopsDue::SendProbe);
    }

    fn send_direct_commands(
        &mut self,
        context: &mut Context,
        name: &str,
        if_no_stops_due: IfNoStopsDue,
    ) {
        let now = context.now.steady;
        if self.is_lease_uncertain() || self.direct_commands_in_flight.contains_key(name) {
            return;
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        // The holder of its partition sends direct commands to the machine.
        if machine.address.is_empty() || machine.partition.is_some() {
            return;
        }
        let commands = prepare_due_stops(machine, now);
        if commands.is_empty() && if_no_stops_due == IfNoStopsDue::SendNothing {
            return;
        }
        let body = DirectCommands {
            token: self.token,
            incarnation: machine.incarnation,
            commands,
        };
        let address = machine.address.clone();
        self.direct_commands_in_flight.insert(name.to_string(), now);
        let purpose = self.call_purpose(SchedulerCall::DirectCommands {
            machine: name.to_string(),
        });
        context.call(
            Target::Agent(address),
            "POST",
            "/do".into(),
            wire::to_cbor(&body),
            DIRECT_COMMAND_TIMEOUT_US,
            purpose,
        );
    }

    /// Handles the outcome of a direct command to the machine's agent. The response has the form of a heartbeat.
    pub(crate) fn on_direct_response(
        &mut self,
        context: &mut Context,
        name: &str,
        outcome: Outcome,
    ) {
        self.direct_commands_in_flight.remove(name);
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if status != 200 && status != 409 {
            return warn!(machine = name, status = status; "agent refused a direct command");
        }
        match wire::from_cbor::<Heartbeat>(&body) {
            Ok(reported) if reported.machine == name && self.is_own_machine(name) => {
                self.apply_heartbeat(context, reported, StatusSource::DirectCommand);
                // The response came within the call's timeout, so commands reach this incarnation now.
                if let (200, Some(machine)) = (status, self.machines.get_mut(name)) {
                    machine.receives_responses = true;
                    machine.unreachable_since = None;
                    self.placement.request_round(context.now.steady);
                }
            }
            Ok(reported) if reported.machine == name => {}
            Ok(_) => {
                warn!(machine = name; "another agent responded to a direct command at the machine's address")
            }
            Err(error) => {
                warn!(machine = name, error:% = error; "cannot decode the response of an agent to a direct command");
            }
        }
    }

    /// Returns whether the machine is known and this controller manages it itself.
    fn is_own_machine(&self, name: &str) -> bool {
        self.machines
            .get(name)
            .is_some_and(|machine| machine.partition.is_none())
    }

    /// Stops the tasks that cannot finish before the machine's reclamation.
    pub(crate) fn drain_reclaimed(&mut self, context: &mut Context, name: &str) {
        let now = context.now.steady;
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let Some(left) = machine.reclaim_at.map(|at| at.saturating_sub(now)) else {
            return;
        };
        let mut stops = Vec::new();
        for assignment in machine.assignments.iter().filter(|a| a.stop.is_none()) {
            let Some(job) = self.jobs.get(assignment.job) else {
                continue;
            };
            let fetch_time = machine.fetch_time(&job.spec.image, job.spec.image_gb);
            let will_finish = assignment.remaining_time(now, fetch_time) + FINISH_MARGIN_US < left;
            if !will_finish && must_stop_for_reclamation(job, left) {
                stops.push(PlannedStop {
                    attempt: assignment.attempt,
                    grace: job.checkpoint_grace(),
                });
            }
        }
        self.carry_out_stops(context, name, stops);
    }

    /// Stops the replicas on a machine that is to be terminated or reclaimed, once there are free resources for
    /// them elsewhere: replicas never end by themselves.
    pub(crate) fn move_replicas(&mut self, context: &mut Context, name: &str) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        if machine.cordon.is_none() && machine.reclaim_at.is_none() {
            return;
        }
        let mut stops: Vec<PlannedStop> = Vec::new();
        for assignment in machine.assignments.iter().filter(|a| a.stop.is_none()) {
            let job = self.jobs.get(assignment.job);
            let Some(job) = job.filter(|job| job.is_daemon()) else {
                continue;
            };
            // Replicas that are already being moved need the same free resources.
            let fitting_tasks = self.tasks_that_fit_elsewhere(context, &assignment.zone, &job.spec);
            if fitting_tasks > stops.len() as u64 {
                stops.push(PlannedStop {
                    attempt: assignment.attempt,
                    grace: job.checkpoint_grace(),
                });
            }
        }
        self.carry_out_stops(context, name, stops);
    }

    fn carry_out_stops(&mut self, context: &mut Context, name: &str, stops: Vec<PlannedStop>) {
        for PlannedStop { attempt, grace } in stops {
            self.stop_assignments(context, name, grace, |a| a.attempt == attempt);
        }
    }

    /// Returns how many tasks of the job fit into the free resources of the machines in a zone that take new tasks.
    /// Machines that are cordoned or to be reclaimed are not counted, so a replica that is moved off such a machine
    /// has to fit on another.
    fn tasks_that_fit_elsewhere(&self, context: &Context, zone: &str, spec: &Submission) -> u64 {
        let now = context.now.steady;
        let max_silence = context.settings.heartbeat_timeout();
        self.machines
            .values()
            .filter(|machine| machine.zone == zone && machine.is_usable(now, max_silence))
            .filter(|m| permits(context, spec, &m.machine_type, &m.zone, m.spot))
            .map(|machine| tasks_that_fit(machine.free(), spec))
            .sum()
    }
}

/// Returns the stops of a machine that were not sent within the retry interval, and marks them as sent.
fn prepare_due_stops(machine: &mut Machine, now: Micros) -> Vec<Command> {
    let is_due = |assignment: &Assignment| {
        let sent = assignment.stop.and_then(|stop| stop.sent_at);
        sent.is_none_or(|at| now >= at + STOP_RETRY_INTERVAL_US)
    };
    machine
        .assignments
        .iter_mut()
        .filter(|assignment| is_due(assignment))
        .filter_map(|assignment| assignment.send_stop(now))
        .take(MAX_COMMANDS)
        .collect()
}

/// Returns whether a task that will not finish in time has to be stopped when its machine is `left` microseconds
/// away from its reclamation. A replica keeps serving until it fits elsewhere. A task that checkpoints keeps
/// running while there is time for a checkpoint. Any other task is stopped immediately, since running on would only
/// lose more work.
fn must_stop_for_reclamation(job: &Job, left: Micros) -> bool {
    if job.is_daemon() {
        left < job.checkpoint_grace() + REPLICA_MOVE_MARGIN_US
    } else if job.writes_checkpoints() {
        left < micros(job.spec.checkpoint_duration_s) + CHECKPOINT_MARGIN_US
    } else {
        true
    }
}
