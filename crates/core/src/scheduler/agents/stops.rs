//! Stops tasks: stop commands, direct commands, and the draining of machines that will be reclaimed.

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

/// A replica leaves a machine at the latest so long before its reclamation, in microseconds, even if it
/// fits nowhere else.
const LAST_MOVE: Micros = 4 * SECOND;

/// A task that checkpoints is stopped so long, in microseconds, before there is no time left for its checkpoint.
const CHECKPOINT_MARGIN: Micros = 5 * SECOND;

/// A task finishes in time if it is expected to do so this long, in microseconds, before the machine's reclamation.
const FINISH_MARGIN: Micros = SECOND;

/// Least time between two direct commands to stop the same task, in microseconds.
const STOP_RETRY_INTERVAL: Micros = 2 * SECOND;

/// How long a direct command waits for its response, in microseconds.
const DIRECT_TIMEOUT: Micros = 2 * SECOND;

/// What is expected of a task that is on a machine without being on record, in microseconds.
const UNRECORDED_RUN: Micros = SECOND;

/// What is sent to a machine that has no stop due.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WithoutStops {
    /// Nothing.
    SendNothing,
    /// A direct command without stops: its response shows that the agent can be reached.
    SendProbe,
}

/// How a task on a machine that will be reclaimed is to be stopped.
struct PlannedStop {
    attempt: u64,
    /// Time for a checkpoint, in microseconds.
    grace: Micros,
}

impl Scheduler {
    /// An agent has a task that is on none of our pages. It is stopped, and counts as assigned until it is proven gone.
    pub(crate) fn stop_unrecorded(
        &mut self,
        context: &mut Context,
        status: &Heartbeat,
        job_id: &str,
        task: u64,
        reported: &ReportedTask,
    ) {
        let now = context.now.steady;
        let name = &status.machine;
        error!(machine = name, task = reported.task_name; "machine has a task that is not on record");
        let index = self.jobs.find(job_id);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.take(task);
            *job.zones.entry(status.zone.clone()).or_insert(0) += 1;
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
            expected_us: UNRECORDED_RUN,
        };
        let assignment = Assignment {
            page,
            launched: Some((status.incarnation, status.sequence)),
            seen: ObservedStatus::Running,
            started: Some(now),
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
            self.write_buffer.mark_dirty(RecordId::Page(page), now);
        }
        self.add_assignment(name, assignment);
        self.send_due_stops(context, name);
    }

    /// Stops whatever may run of a job.
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

    /// Stops the assignments of a machine that pass the test; each gets `grace` microseconds to checkpoint. Those never
    /// launched are freed at once.
    pub(crate) fn stop_assignments(
        &mut self,
        context: &mut Context,
        name: &str,
        grace: Micros,
        test: impl Fn(&Assignment) -> bool,
    ) {
        let now = context.now.steady;
        self.remove_assignments(context, name, |a| test(a) && !a.may_be_on_machine());
        let mut any = false;
        if let Some(machine) = self.machines.get_mut(name) {
            for assignment in machine.assignments.iter_mut().filter(|a| test(a)) {
                // A stop without grace ends a task that is checkpointing.
                if assignment
                    .stop
                    .is_none_or(|stop| grace == 0 && stop.grace > 0)
                {
                    assignment.stop = Some(Stop::new(grace, now));
                    any = true;
                }
            }
        }
        if any {
            self.send_due_stops(context, name);
        }
    }

    /// Stops an attempt of a task, wherever it is.
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

    /// Sends the stops of a machine that are due in a direct command.
    pub(crate) fn send_due_stops(&mut self, context: &mut Context, name: &str) {
        self.send_direct_commands(context, name, WithoutStops::SendNothing);
    }

    /// Sends a direct command with the stops that are due, if any: its response shows that the agent can be reached.
    pub(crate) fn probe_agent(&mut self, context: &mut Context, name: &str) {
        self.send_direct_commands(context, name, WithoutStops::SendProbe);
    }

    fn send_direct_commands(
        &mut self,
        context: &mut Context,
        name: &str,
        without_stops: WithoutStops,
    ) {
        let now = context.now.steady;
        if self.uncertain() || self.direct.contains_key(name) {
            return;
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        // The holder of its partition sends commands there.
        if machine.address.is_empty() || machine.partition.is_some() {
            return;
        }
        let commands = due_stops(machine, now);
        if commands.is_empty() && without_stops == WithoutStops::SendNothing {
            return;
        }
        let body = DirectCommands {
            token: self.token,
            incarnation: machine.incarnation,
            commands,
        };
        let address = machine.address.clone();
        self.direct.insert(name.to_string(), now);
        let purpose = self.pending(SchedulerCall::DirectCommands {
            machine: name.to_string(),
        });
        context.call(
            Target::Agent(address),
            "POST",
            "/do".into(),
            wire::to_cbor(&body),
            DIRECT_TIMEOUT,
            purpose,
        );
    }

    /// The call with a direct command to the machine has ended.
    pub(crate) fn on_direct_response(
        &mut self,
        context: &mut Context,
        name: &str,
        outcome: Outcome,
    ) {
        self.direct.remove(name);
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if status != 200 && status != 409 {
            return warn!(machine = name, status = status; "direct command was refused");
        }
        match wire::from_cbor::<Heartbeat>(&body) {
            Ok(reported) if reported.machine == name && self.is_own_machine(name) => {
                self.apply_heartbeat(context, reported, StatusSource::DirectCommand);
                // It came within the call's time: commands reach this incarnation now.
                if let (200, Some(machine)) = (status, self.machines.get_mut(name)) {
                    machine.receives_responses = true;
                    machine.unreachable_since = None;
                    self.placement.request_round(context.now.steady);
                }
            }
            Ok(reported) if reported.machine == name => {}
            Ok(_) => warn!(machine = name; "another agent answers at the machine's address"),
            Err(error) => {
                warn!(machine = name, error:% = error; "response to a direct command is unreadable");
            }
        }
    }

    /// Whether this controller looks after the machine itself, and knows it.
    fn is_own_machine(&self, name: &str) -> bool {
        self.machines
            .get(name)
            .is_some_and(|machine| machine.partition.is_none())
    }

    /// Stops what cannot finish before the machine's reclamation.
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
            let finishes = assignment.remaining(now, fetch_time) + FINISH_MARGIN < left;
            if !finishes && must_stop_for_reclamation(job, left) {
                stops.push(PlannedStop {
                    attempt: assignment.attempt,
                    grace: job.checkpoint_grace(),
                });
            }
        }
        self.carry_out_stops(context, name, stops);
    }

    /// Replicas on a machine that is to be terminated or will be reclaimed never end by themselves: they are stopped
    /// once there are free resources for them elsewhere.
    pub(crate) fn move_replicas(&mut self, context: &mut Context, name: &str) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        if !machine.cordoned && machine.reclaim_at.is_none() {
            return;
        }
        let mut stops: Vec<PlannedStop> = Vec::new();
        for assignment in machine.assignments.iter().filter(|a| a.stop.is_none()) {
            let job = self.jobs.get(assignment.job);
            let Some(job) = job.filter(|job| job.is_daemon()) else {
                continue;
            };
            // The replicas that move already need the same free resources.
            let fitting = self.tasks_that_fit_elsewhere(context, &assignment.zone, &job.spec);
            if fitting > stops.len() as u64 {
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

    /// How many tasks of the job fit into the free resources of a zone's machines.
    fn tasks_that_fit_elsewhere(&self, context: &Context, zone: &str, spec: &Submission) -> u64 {
        let now = context.now.steady;
        let max_silence = context.settings.heartbeat_timeout();
        self.machines
            .values()
            .filter(|machine| machine.zone == zone && machine.usable(now, max_silence))
            .filter(|m| permits(context, spec, &m.machine_type, &m.zone, m.spot))
            .map(|machine| tasks_that_fit(machine.free(), spec))
            .sum()
    }
}

/// The stops of a machine that were not sent lately; notes that they are sent.
fn due_stops(machine: &mut Machine, now: Micros) -> Vec<Command> {
    let is_due = |assignment: &Assignment| {
        let sent = assignment.stop.and_then(|stop| stop.sent);
        sent.is_none_or(|at| now >= at + STOP_RETRY_INTERVAL)
    };
    machine
        .assignments
        .iter_mut()
        .filter(|assignment| is_due(assignment))
        .filter_map(|assignment| assignment.send_stop(now))
        .take(MAX_COMMANDS)
        .collect()
}

/// Whether a task of the job that will not finish is to be stopped when its machine is `left` microseconds away from
/// its reclamation. A replica serves on until it fits elsewhere; what checkpoints runs on while there is time for
/// a checkpoint; the rest would only lose more work.
fn must_stop_for_reclamation(job: &Job, left: Micros) -> bool {
    if job.is_daemon() {
        left < job.checkpoint_grace() + LAST_MOVE
    } else if job.checkpoints() {
        left < micros(job.spec.checkpoint_duration_s) + CHECKPOINT_MARGIN
    } else {
        true
    }
}
