//! Agents: heartbeats, direct commands, and the checks of the tasks that they start.

use super::events::{Caller, Event, Requester};
use super::jobs::job_of;
use super::network::{Link, CALL_LATENCY_US, REQUEST_LATENCY_US};
use super::users::front_request;
use super::World;
use crate::error::{Rule, ScenarioError, ScriptError, StepResult};
use crate::machines::{InFlightHeartbeat, Machine};
use crate::time::{Micros, MILLISECOND, SECOND};
use grebewood_wire::http::{DirectCommands, HeartbeatResponse, Redirect, Submission};
use grebewood_wire::{from_cbor, to_cbor};
use std::collections::BTreeMap;

/// Delay before the next heartbeat of an agent that was redirected to the leader.
const REDIRECT_DELAY_US: Micros = 100 * MILLISECOND;
/// Delay before the next heartbeat of an agent that found no leader.
const RETRY_DELAY_US: Micros = SECOND;
/// Time that an agent waits for the response to a heartbeat.
const RESPONSE_TIMEOUT_US: Micros = 4 * SECOND;
/// Shortest time between a heartbeat and the next one that is sent because something has changed.
const CHANGE_INTERVAL_US: Micros = SECOND / 2;

impl World {
    /// Returns a machine by its name.
    pub(super) fn machine_mut(&mut self, name: &str) -> Result<&mut Machine, ScriptError> {
        let machine = self.machines.get_mut(name);
        machine.ok_or_else(|| ScriptError::NotFound {
            kind: "machine",
            name: name.to_string(),
        })
    }

    /// Returns the machines that are not terminated, reclaimed or lost, reachable or not.
    pub(super) fn present_machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values().filter(|machine| !machine.is_gone)
    }

    /// Handles the response to a heartbeat, if the agent still waits for it and receives it.
    pub(super) fn handle_heartbeat_response(
        &mut self,
        name: &str,
        heartbeat_id: u64,
        controller: usize,
        status: u16,
        body: &[u8],
    ) -> StepResult {
        let Some(sent_at) = self.take_awaited_heartbeat(name, heartbeat_id) else {
            return Ok(());
        };
        match status {
            200 => {
                self.copy_launches(name, heartbeat_id, controller, body);
                self.apply_heartbeat_response(name, sent_at, body)
            }
            421 => {
                let redirect = from_cbor::<Redirect>(body).ok();
                let leader = redirect.and_then(|redirect| redirect.controller);
                self.redirect_agent(name, controller, leader);
                Ok(())
            }
            _ => {
                self.redirect_agent(name, controller, None);
                Ok(())
            }
        }
    }

    /// Returns when this heartbeat was sent; `None` if the agent does not wait for its response, the response is
    /// lost, or the machine hangs.
    fn take_awaited_heartbeat(&mut self, name: &str, heartbeat_id: u64) -> Option<Micros> {
        let machine = self.machines.get_mut(name)?;
        let heartbeat = machine.in_flight?;
        let awaited = heartbeat.id == heartbeat_id && heartbeat.incarnation == machine.incarnation;
        if !awaited || machine.is_gone {
            return None;
        }
        if self.faults.lost_heartbeat_responses.remove(name) || !machine.can_receive(self.now) {
            return None;
        }
        machine.in_flight = None;
        (self.now >= machine.hangs_until).then_some(heartbeat.sent_at)
    }

    /// Renews the agent's lease and carries out the commands of a response, unless the response has an older
    /// fencing token than the agent has seen.
    fn apply_heartbeat_response(&mut self, name: &str, sent_at: Micros, body: &[u8]) -> StepResult {
        let response: HeartbeatResponse = from_cbor(body).map_err(|error| {
            ScenarioError::Protocol(format!(
                "the response to a heartbeat cannot be decoded: {error}"
            ))
        })?;
        let Some(machine) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if response.token < machine.token {
            return Ok(());
        }
        machine.token = response.token;
        machine.lease_start = sent_at;
        let started = machine.apply_commands(self.now, &response.commands, &self.job_facts);
        self.check_starts(name, &started)
    }

    /// Schedules an agent's next heartbeat to the leader that the response named, or else to the next
    /// controller.
    fn redirect_agent(&mut self, name: &str, controller: usize, leader: Option<String>) {
        let controller_count = self.controllers.len();
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let index = leader.and_then(|leader| leader.strip_prefix("perch-")?.parse().ok());
        match index.filter(|index| *index != controller && *index < controller_count) {
            Some(leader) => {
                machine.controller = leader;
                machine.next_heartbeat = self.now + REDIRECT_DELAY_US;
            }
            None => {
                machine.controller = (controller + 1) % controller_count;
                machine.next_heartbeat = self.now + RETRY_DELAY_US;
            }
        }
    }

    /// Checks the rules for tasks that started on a machine.
    pub(super) fn check_starts(&mut self, name: &str, tasks: &[String]) -> StepResult {
        // These rules can only be broken by a start; `check_invariants` checks the others at every tick.
        if tasks.is_empty() || !self.machines.contains_key(name) {
            return Ok(());
        }
        for task_name in tasks {
            if task_name.contains('/') {
                self.check_runs_once(name, task_name)?;
                self.note_start(task_name)?;
                self.check_place(name, task_name)?;
            }
        }
        self.check_quota()
    }

    /// Checks that a task that starts on a machine is not on another one.
    fn check_runs_once(&self, name: &str, task_name: &str) -> StepResult {
        let mut others = self.present_machines().filter(|other| other.name != name);
        match others.find(|other| other.live_tasks().any(|task| task.task_name == task_name)) {
            None => Ok(()),
            Some(other) => Err(ScenarioError::rule(
                Rule::RanTwice,
                format!("task {task_name} is on machines {} and {name}", other.name),
            )),
        }
    }

    /// Counts a task start, and checks that it does not come later than the cancellation timeout permits.
    fn note_start(&mut self, task_name: &str) -> StepResult {
        let leaderless = self.leading_controllers().next().is_none();
        let Some(job) = self.jobs.get_mut(job_of(task_name)) else {
            let detail = format!("task {task_name} of an unknown job started");
            return Err(ScenarioError::Protocol(detail));
        };
        job.starts += 1;
        job.last_start = self.now;
        if let Some(measurements) = &mut self.measurements {
            let waited = self.now - job.submitted_at;
            measurements.record_task_start(&job.spec.team, task_name, waited, leaderless);
        }
        if job.cancelled_at.is_some() {
            self.checks.late_starts += 1;
        }
        job.first_start.get_or_insert(self.now);
        let timeout = self.configuration.settings.cancel_timeout;
        if job.cancelled_at.is_some_and(|at| self.now > at + timeout) {
            let detail = format!("task {task_name} of a cancelled job started");
            return Err(ScenarioError::rule(Rule::RanCancelled, detail));
        }
        Ok(())
    }

    /// Checks that a task is where its job permits, also in relation to the job's other tasks.
    fn check_place(&self, name: &str, task_name: &str) -> StepResult {
        let wrong = |detail: String| Err(ScenarioError::rule(Rule::WrongPlace, detail));
        let id = job_of(task_name);
        let (Some(machine), Some(job)) = (self.machines.get(name), self.jobs.get(id)) else {
            return Ok(());
        };
        let spec = &job.spec;
        if !permits(spec, machine) {
            return wrong(format!("task {task_name} may not run on machine {name}"));
        }
        let zones = self.tasks_by_zone(id);
        if spec.one_zone && zones.len() > 1 {
            return wrong(format!("tasks of {id} are in several zones"));
        }
        let max_per_zone = spec.tasks.div_ceil(2);
        if spec.spread && zones.values().any(|tasks| *tasks > max_per_zone) {
            return wrong(format!("tasks of {id} are not spread over zones"));
        }
        Ok(())
    }

    /// Returns the number of a job's tasks on machines, by zone.
    fn tasks_by_zone(&self, job: &str) -> BTreeMap<&str, u64> {
        let prefix = format!("{job}/");
        let mut zones = BTreeMap::new();
        for machine in self.present_machines() {
            let tasks = machine.live_tasks();
            let tasks = tasks.filter(|task| task.task_name.starts_with(&prefix));
            let number = tasks.count() as u64;
            if number > 0 {
                *zones.entry(machine.zone.as_str()).or_insert(0) += number;
            }
        }
        zones
    }

    /// Handles a direct command at an agent, unless a fault loses it or the machine receives nothing.
    pub(super) fn handle_direct_command(
        &mut self,
        caller: Caller,
        address: &str,
        body: &[u8],
    ) -> StepResult {
        let name = address.trim_start_matches("worker:").to_string();
        let receives =
            |machine: &Machine| !machine.is_gone && machine.is_up && machine.can_receive(self.now);
        if !self.machines.get(&name).is_some_and(receives) {
            return Ok(());
        }
        if self.lose_direct_command(caller, &name, body) {
            return Ok(());
        }
        let Some(machine) = self.machines.get_mut(&name) else {
            return Ok(());
        };
        if self.now < machine.hangs_until {
            // The agent carries the command out when the machine resumes.
            let at = machine.hangs_until + MILLISECOND;
            let event = Event::DirectCommand(caller, address.into(), body.to_vec());
            self.schedule_event(at, event);
            return Ok(());
        }
        let Ok(commands) = from_cbor::<DirectCommands>(body) else {
            return Ok(());
        };
        let stale = commands.token < machine.token || commands.incarnation != machine.incarnation;
        let (status, started) = if stale {
            (409, Vec::new())
        } else {
            machine.token = commands.token;
            let started = machine.apply_commands(self.now, &commands.commands, &self.job_facts);
            (200, started)
        };
        let heartbeat = to_cbor(&machine.build_heartbeat(self.now));
        if status == 200 {
            self.copy_direct_command(caller, address, &commands, body);
        }
        self.reply(caller, Link::Agents, CALL_LATENCY_US, status, heartbeat);
        self.check_starts(&name, &started)
    }

    /// Advances a machine and its agent to the current time.
    pub(super) fn tick_machine(&mut self, name: &str) -> StepResult {
        let Some(machine) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if !machine.update_lifecycle(self.now) {
            return Ok(());
        }
        let lease = self.configuration.settings.agent_lease;
        let (completed, changed) = machine.advance(self.now, lease, &self.job_facts);
        for task_name in completed {
            self.note_completion(&task_name);
        }
        if self.heartbeat_due(name, changed) {
            self.send_heartbeat(name)?;
        }
        Ok(())
    }

    /// Updates when an agent sends its next heartbeat, and returns whether it sends one now.
    fn heartbeat_due(&mut self, name: &str, changed: bool) -> bool {
        let (now, controller_count) = (self.now, self.controllers.len());
        let lease = self.configuration.settings.agent_lease;
        let Some(machine) = self.machines.get_mut(name) else {
            return false;
        };
        if now < machine.hangs_until {
            return false;
        }
        // A higher fencing token makes the agent send its next heartbeat early, as a change of its tasks does, but at
        // most once in half a lease.
        let may_report_token = machine
            .token_reported_at
            .is_none_or(|at| now >= at + lease / 2);
        let new_token = machine.reported_token < machine.token;
        let report_token = new_token && may_report_token && machine.in_flight.is_none();
        if report_token {
            machine.token_reported_at = Some(now);
            machine.reported_token = machine.token;
        }
        if changed || report_token {
            let soon = (machine.last_contact_at + CHANGE_INTERVAL_US).max(now);
            machine.next_heartbeat = machine.next_heartbeat.min(soon);
        }
        if let Some(heartbeat) = machine.in_flight {
            if now >= heartbeat.sent_at + RESPONSE_TIMEOUT_US {
                machine.in_flight = None;
                machine.try_next_controller(now + RETRY_DELAY_US, controller_count);
            }
            return false;
        }
        if now < machine.next_heartbeat {
            return false;
        }
        if now < machine.heartbeats_dropped_until {
            machine.try_next_controller(now + RETRY_DELAY_US, controller_count);
            return false;
        }
        true
    }

    /// Sends an agent's heartbeat, and applies the faults that concern the heartbeat and its copies.
    fn send_heartbeat(&mut self, name: &str) -> StepResult {
        let now = self.now;
        let id = self.next_number();
        let interval = self.configuration.settings.heartbeat_interval;
        let machine = self.machine_mut(name)?;
        machine.in_flight = Some(InFlightHeartbeat {
            id,
            sent_at: now,
            incarnation: machine.incarnation,
        });
        machine.last_contact_at = now;
        machine.next_heartbeat = now + interval;
        machine.reported_token = machine.token;
        let body = to_cbor(&machine.build_heartbeat(now));
        let (controller, sequence) = (machine.controller, machine.sequence);
        let is_disconnected = now < machine.disconnected_until;
        let requester = Requester::Heartbeat {
            machine: name.into(),
            heartbeat_id: id,
        };
        let request = |body: Vec<u8>| {
            let path = "/checkin".to_string();
            Event::Request(front_request(
                controller,
                "POST",
                path,
                body,
                requester.clone(),
            ))
        };
        if let Some(late) = self.faults.heartbeat_copy_delays.remove(name) {
            self.schedule_event(now + late, request(body.clone()));
        }
        self.copy_heartbeat(name, &body);
        if is_disconnected {
            return Ok(());
        }
        let delay = self.faults.heartbeat_delays.remove(name);
        if let Some(delay) = delay {
            let event = Event::OvertakenHeartbeat(name.into(), sequence);
            self.schedule_event(now + delay, event);
        }
        let latency = REQUEST_LATENCY_US + delay.unwrap_or(0);
        if let Some(at) = self.arrival(controller, Link::Agents, latency) {
            self.schedule_event(at, request(body));
        }
        Ok(())
    }
}

/// Returns whether a job's tasks may run on a machine, by its type and zone and by whether it is a spot
/// machine.
pub(super) fn permits(spec: &Submission, machine: &Machine) -> bool {
    let machine_types = spec.machine_types.as_ref();
    machine_types.is_none_or(|names| names.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
