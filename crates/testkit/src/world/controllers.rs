//! The processes of the controllers: they start, crash, pause and make steps.

use super::configuration::{member_index, member_name};
use super::events::{Event, Request, Requester};
use super::network::REQUEST_LATENCY;
use super::users::status_in;
use super::World;
use crate::error::{ScriptError, StepResult};
use crate::measure::StepKind;
use crate::time::{Micros, MILLISECOND};
use grebewood_core::{Call, Controller, Effect, Input, NoStopwatch, Now, Target};
use std::collections::BTreeSet;
use std::time::Instant;

/// A controller and its present process.
#[derive(Default)]
pub(super) struct ControllerProcess {
    /// `None` while it is down.
    pub(super) controller: Option<Controller>,
    /// The number of the process; 0 while it is down.
    pub(super) process: u64,
    /// It is down until then.
    pub(super) down_until: Micros,
    /// Until then the process is paused, and what comes in waits.
    pub(super) paused_until: Micros,
    /// It was paused: until an answer to a lease renewal made since, it must not act as a leader.
    pub(super) uncertain: bool,
    /// Calls that renew its lease, made since it was paused.
    pub(super) renewals: BTreeSet<u64>,
}

impl World {
    /// A controller by its name or number; `leader`: whoever leads.
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

    /// The controllers that a word names: one, or all.
    pub(super) fn controllers_named(&self, word: &str) -> Result<Vec<usize>, ScriptError> {
        match word {
            "all" => Ok((0..self.controllers.len()).collect()),
            name => Ok(vec![self.controller_named(name)?]),
        }
    }

    /// The controllers that are up.
    pub(super) fn up_controllers(&self) -> Vec<usize> {
        let all = 0..self.controllers.len();
        all.filter(|index| self.controllers[*index].controller.is_some())
            .collect()
    }

    /// The controllers that lead.
    pub(super) fn leading_controllers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.controllers.len()).filter(|index| self.leads(*index))
    }

    /// Whether a controller leads.
    pub(super) fn leads(&self, index: usize) -> bool {
        let controller = self.controllers[index].controller.as_ref();
        controller.is_some_and(|controller| controller.leader.is_some())
    }

    /// Starts a controller's process, unless it runs already, or ended again meanwhile and is back later.
    pub(super) fn start_controller(&mut self, index: usize) {
        let known = &self.controllers[index];
        if known.controller.is_some() || self.now < known.down_until {
            return;
        }
        let number = self.controllers.len();
        let mut settings = self.configuration.settings_of(index, number);
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

    /// Ends a controller's process; the next one starts after this time.
    pub(super) fn crash_controller(&mut self, index: usize, down_for: Micros) {
        self.controllers[index].controller = None;
        self.controllers[index].process = 0;
        let requests = self.calls.requests.keys();
        let lost = requests.filter(|(controller, _)| *controller == index);
        let lost: Vec<(usize, u64)> = lost.copied().collect();
        for key in lost {
            if let Some(requester) = self.calls.requests.remove(&key) {
                let closed = Event::Response(requester, index, 0, Vec::new());
                self.push(self.now + MILLISECOND, closed);
            }
        }
        let back = self.now + down_for;
        self.controllers[index].down_until = back;
        self.push(back, Event::Start(index));
    }

    /// Pauses a controller's process, whose clocks run on.
    pub(super) fn pause_controller(&mut self, index: usize, pause: Micros) {
        let process = &mut self.controllers[index];
        process.uncertain = true;
        process.renewals.clear();
        process.paused_until = self.now + pause;
    }

    /// Time passes for the controllers that want to do something now.
    pub(super) fn tick_controllers(&mut self) {
        for index in 0..self.controllers.len() {
            let known = &self.controllers[index];
            let controller = known.controller.as_ref();
            let due = controller.is_some_and(|controller| controller.next_wake() <= self.now);
            if due && known.paused_until <= self.now {
                self.step(index, known.process, Input::Tick);
            }
        }
    }

    /// An input reaches a process: the reply to a call only if the call is still open.
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
        self.clear_uncertainty(controller);
    }

    /// A request reaches a controller, which may be down.
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
            if let Requester::HeartbeatCopy { first } = &mut requester {
                *first = newest;
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

    /// A process takes an input and makes a step, whose effects are carried out.
    fn step(&mut self, index: usize, process: u64, input: Input) {
        let Some(effects) = self.effects_of(index, process, input) else {
            return;
        };
        self.trace_effects(index, &effects);
        for effect in effects {
            self.check_certainty(index, &effect);
            match effect {
                Effect::Answer {
                    id, status, body, ..
                } => self.send_response(index, id, status, body),
                Effect::Call(call) => self.make_call(index, process, call),
            }
        }
        self.deliver_held_copies(index);
    }

    /// What a process does on an input; `None` if it has ended.
    fn effects_of(&mut self, index: usize, process: u64, input: Input) -> Option<Vec<Effect>> {
        let now = Now {
            steady: self.now,
            wall: self.configuration.wall_clock_start + self.now,
        };
        let known = &mut self.controllers[index];
        if known.process != process {
            return None;
        }
        let controller = known.controller.as_mut()?;
        if let Input::Reply { call, .. } = &input {
            if known.renewals.remove(call) {
                known.uncertain = false;
            }
        }
        let leads = controller.leader.is_some();
        let kind = StepKind::of(&input);
        let began = Instant::now();
        let effects = controller.step(now, input, &mut NoStopwatch);
        match (&mut self.measures, leads) {
            (Some(measures), true) => measures.record_step(kind, began.elapsed()),
            (Some(measures), false) => measures.follower_step_time += began.elapsed(),
            (None, _) => {}
        }
        Some(effects)
    }

    fn send_response(&mut self, index: usize, id: u64, status: u16, body: Vec<u8>) {
        if let Some(requester) = self.calls.requests.remove(&(index, id)) {
            self.on_confirmation(index, &requester, status, &status_in(&body));
            let response = Event::Response(requester, index, status, body);
            self.push(self.now + REQUEST_LATENCY, response);
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

    /// A process that has stepped down may become the leader anew.
    fn clear_uncertainty(&mut self, index: usize) {
        if !self.leads(index) {
            self.controllers[index].uncertain = false;
        }
    }

    /// A process that was paused must not act as a leader before it has renewed its lease.
    fn check_certainty(&mut self, index: usize, effect: &Effect) {
        let acts = self.effect_needing_grant(index, effect);
        if let (true, Some(acts)) = (self.controllers[index].uncertain, acts) {
            let member = member_name(index);
            self.note_violation(format!("{member}, back from a pause, {acts}"));
        }
    }

    /// What of an effect a leader may do only if it is certain of its grant.
    fn effect_needing_grant(&mut self, index: usize, effect: &Effect) -> Option<&'static str> {
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
                self.controllers[index].renewals.insert(call.id);
                None
            }
            Effect::Call(call) => call_needing_grant(call),
        }
    }
}

/// What of a call a leader may do only if it is certain of its grant.
fn call_needing_grant(call: &Call) -> Option<&'static str> {
    match call.target {
        Target::Cloud if call.method == "POST" => Some("provisions or terminates"),
        Target::Agent(_) => Some("commands an agent"),
        // A leader's writes depend on its grant; any controller accepts and cancels.
        Target::Store if call.path == "/txn" => String::from_utf8_lossy(&call.body)
            .contains("leader")
            .then_some("writes as the leader"),
        _ => None,
    }
}
