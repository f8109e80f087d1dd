//! Processes of the controllers: starts, crashes, pauses and steps.

use super::configuration::{member_index, member_name};
use super::events::{Event, Request, Requester};
use super::network::REQUEST_LATENCY_US;
use super::users::status_in;
use super::World;
use crate::error::{ScriptError, StepResult};
use crate::measure::StepKind;
use crate::time::{Micros, MILLISECOND};
use grebewood_core::{Call, Controller, Effect, Input, NoStopwatch, Now, Target};
use std::collections::BTreeSet;
use std::time::Instant;

/// A controller and its current process.
#[derive(Default)]
pub(super) struct ControllerProcess {
    /// `None` while it is down.
    pub(super) controller: Option<Controller>,
    /// Number of the process; 0 while it is down.
    pub(super) process: u64,
    /// Time until which it is down.
    pub(super) down_until: Micros,
    /// Time until which the process is paused and its inputs wait.
    pub(super) paused_until: Micros,
    /// Whether it was paused and has had no reply to a lease renewal that it sent since; until then it may not
    /// act as the leader.
    pub(super) is_lease_uncertain: bool,
    /// Ids of the calls that renew its lease and were made since it was paused.
    pub(super) pending_renewals: BTreeSet<u64>,
}

impl World {
    /// Returns the index of a controller by its name or number; `leader` stands for the one that leads.
    pub(super) fn controller_named(&self, word: &str) -> Result<usize, ScriptError> {
        let found = match word {
            "leader" => self.leading_controllers().next(),
            name => member_index(name).filter(|index| *index < self.controllers.len()),
        };
        found.ok_or_else(|| ScriptError::NotFound {
            kind: "controller",
            name: word.to_string(),
        })
    }

    /// Returns the controllers that a word names: one, or `all`.
    pub(super) fn controllers_named(&self, word: &str) -> Result<Vec<usize>, ScriptError> {
        match word {
            "all" => Ok((0..self.controllers.len()).collect()),
            name => Ok(vec![self.controller_named(name)?]),
        }
    }

    /// Returns the controllers that are up.
    pub(super) fn up_controllers(&self) -> Vec<usize> {
        let all = 0..self.controllers.len();
        all.filter(|index| self.controllers[*index].controller.is_some())
            .collect()
    }

    /// Returns the controllers that lead.
    pub(super) fn leading_controllers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.controllers.len()).filter(|index| self.leads(*index))
    }

    /// Returns whether a controller leads.
    pub(super) fn leads(&self, index: usize) -> bool {
        let controller = self.controllers[index].controller.as_ref();
        controller.is_some_and(|controller| controller.leader.is_some())
    }

    /// Starts a controller's process, unless it already runs, or has crashed again and restarts later.
    pub(super) fn start_controller(&mut self, index: usize) {
        let state = &self.controllers[index];
        if state.controller.is_some() || self.now < state.down_until {
            return;
        }
        let controller_count = self.controllers.len();
        let mut settings = self.configuration.settings_of(index, controller_count);
        self.limit_changes.apply(index, &mut settings.teams);
        let tuning = self.configuration.tuning_of(index);
        let process = self.sequence + 1;
        self.controllers[index] = ControllerProcess {
            controller: Some(Controller::new(settings, tuning, process)),
            process,
            ..ControllerProcess::default()
        };
        self.step(index, process, Input::Tick);
    }

    /// Ends a controller's process, and schedules the start of the next one after this time.
    pub(super) fn crash_controller(&mut self, index: usize, down_for: Micros) {
        self.controllers[index].controller = None;
        self.controllers[index].process = 0;
        let requests = self.calls.requests.keys();
        let lost_requests = requests.filter(|(controller, _)| *controller == index);
        let lost_requests: Vec<(usize, u64)> = lost_requests.copied().collect();
        for key in lost_requests {
            if let Some(requester) = self.calls.requests.remove(&key) {
                let closed = Event::Response(requester, index, 0, Vec::new());
                self.schedule_event(self.now + MILLISECOND, closed);
            }
        }
        let restart_at = self.now + down_for;
        self.controllers[index].down_until = restart_at;
        self.schedule_event(restart_at, Event::Start(index));
    }

    /// Pauses a controller's process while its clocks continue to run.
    pub(super) fn pause_controller(&mut self, index: usize, pause: Micros) {
        let process = &mut self.controllers[index];
        process.is_lease_uncertain = true;
        process.pending_renewals.clear();
        process.paused_until = self.now + pause;
    }

    /// Makes a step of each controller whose next wake-up is due, unless its process is paused.
    pub(super) fn tick_controllers(&mut self) {
        for index in 0..self.controllers.len() {
            let state = &self.controllers[index];
            let controller = state.controller.as_ref();
            let due = controller.is_some_and(|controller| controller.next_wake() <= self.now);
            if due && state.paused_until <= self.now {
                self.step(index, state.process, Input::Tick);
            }
        }
    }

    /// Delivers an input to a process; drops the reply to a call that is no longer open.
    pub(super) fn handle_input(&mut self, controller: usize, process: u64, input: Input) {
        if let Input::Reply { call, .. } = &input {
            let caller = super::events::Caller {
                controller,
                process,
                call: *call,
            };
            if !self.calls.open.remove(&caller) {
                return;
            }
        }
        self.step(controller, process, input);
        self.clear_lease_uncertainty(controller);
    }

    /// Handles the arrival of a request at a controller, which may be down.
    pub(super) fn handle_request(&mut self, request: Request) -> StepResult {
        let controller = request.controller;
        let mut requester = request.requester;
        if self.controllers[controller].controller.is_none() {
            return self.handle_response(requester, controller, 0, Vec::new());
        }
        let is_heartbeat = matches!(
            requester,
            Requester::HeartbeatCopy { .. } | Requester::Heartbeat { .. }
        );
        if is_heartbeat {
            let newest = self.note_heartbeat(controller, &request.body, &requester);
            if let Requester::HeartbeatCopy { is_newer } = &mut requester {
                *is_newer = newest;
            }
        }
        self.calls.next_request += 1;
        let id = self.calls.next_request;
        self.calls.requests.insert((controller, id), requester);
        let input = Input::Request {
            id,
            interface: request.interface,
            method: request.method,
            path: request.path,
            body: request.body,
        };
        let process = self.controllers[controller].process;
        self.step(controller, process, input);
        Ok(())
    }

    /// Makes a step of a process with an input, and carries out the effects of the step.
    fn step(&mut self, index: usize, process: u64, input: Input) {
        let Some(effects) = self.effects_of(index, process, input) else {
            return;
        };
        self.trace_effects(index, &effects);
        for effect in effects {
            self.check_lease_certainty(index, &effect);
            self.check_fencing_token(index, &effect);
            match effect {
                Effect::Answer {
                    id, status, body, ..
                } => self.send_response(index, id, status, body),
                Effect::Call(call) => self.make_call(index, process, call),
            }
        }
        self.deliver_held_copies(index);
    }

    /// Makes a step of a process and returns its effects; `None` if the process has ended.
    fn effects_of(&mut self, index: usize, process: u64, input: Input) -> Option<Vec<Effect>> {
        let now = Now {
            steady: self.now,
            wall: self.configuration.wall_clock_start + self.now,
        };
        let state = &mut self.controllers[index];
        if state.process != process {
            return None;
        }
        let controller = state.controller.as_mut()?;
        if let Input::Reply { call, .. } = &input {
            if state.pending_renewals.remove(call) {
                state.is_lease_uncertain = false;
            }
        }
        let leads = controller.leader.is_some();
        let kind = StepKind::of(&input);
        let step_start = Instant::now();
        let effects = controller.step(now, input, &mut NoStopwatch);
        match (&mut self.measurements, leads) {
            (Some(measurements), true) => measurements.record_step(kind, step_start.elapsed()),
            (Some(measurements), false) => measurements.follower_step_time += step_start.elapsed(),
            (None, _) => {}
        }
        Some(effects)
    }

    fn send_response(&mut self, index: usize, id: u64, status: u16, body: Vec<u8>) {
        if let Some(requester) = self.calls.requests.remove(&(index, id)) {
            self.on_confirmation(index, &requester, status, &status_in(&body));
            let response = Event::Response(requester, index, status, body);
            self.schedule_event(self.now + REQUEST_LATENCY_US, response);
        }
    }

    fn trace_effects(&mut self, index: usize, effects: &[Effect]) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let process = member_name(index);
        for effect in effects {
            trace.record_effect(self.now, &process, effect);
            let Effect::Answer { id, body, .. } = effect else {
                continue;
            };
            if let Some(Requester::Peer(_)) = self.calls.requests.get(&(index, *id)) {
                trace.sample_answer(body);
            }
        }
    }

    /// Clears the uncertainty of a process that does not lead: if it becomes the leader again, it has a new
    /// lease.
    fn clear_lease_uncertainty(&mut self, index: usize) {
        if !self.leads(index) {
            self.controllers[index].is_lease_uncertain = false;
        }
    }

    /// Checks that a process that was paused does not act as the leader while its lease is uncertain.
    fn check_lease_certainty(&mut self, index: usize, effect: &Effect) {
        let action = self.effect_needing_lease(index, effect);
        if let (true, Some(action)) = (self.controllers[index].is_lease_uncertain, action) {
            let member = member_name(index);
            self.note_violation(format!(
                "{member} {action} after a pause, before it renewed its lease"
            ));
        }
    }

    /// Returns what an effect does that only a leader with a certain lease may do; `None` if it does no such
    /// thing. Records the calls that renew the lease.
    fn effect_needing_lease(&mut self, index: usize, effect: &Effect) -> Option<&'static str> {
        match effect {
            Effect::Answer { id, status, .. } => {
                let requester = self.calls.requests.get(&(index, *id));
                let agent = matches!(
                    requester,
                    Some(Requester::Heartbeat { .. } | Requester::HeartbeatCopy { .. })
                );
                (agent && *status == 200).then_some("answers an agent")
            }
            Effect::Call(call) if call.path.ends_with("/extend") => {
                self.controllers[index].pending_renewals.insert(call.id);
                None
            }
            Effect::Call(call) => call_needing_lease(call),
        }
    }
}

/// Returns what a call does that only a leader with a certain lease may do; `None` if it does no such
/// thing.
fn call_needing_lease(call: &Call) -> Option<&'static str> {
    match call.target {
        Target::Cloud if call.method == "POST" => Some("provisions or terminates"),
        Target::Agent(_) => Some("commands an agent"),
        // A leader's writes depend on the `leader` record; those by which any controller accepts and cancels
        // jobs do not.
        Target::Store if call.path == "/txn" => String::from_utf8_lossy(&call.body)
            .contains("leader")
            .then_some("writes as the leader"),
        _ => None,
    }
}
