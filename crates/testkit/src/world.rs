//! The simulated world: plays a script and checks the rules.

use crate::machines::{JobFacts, Machine, Task};
use crate::measure::{Measures, StepKind};
use crate::production;
use crate::script::{Directive, Script};
use crate::state::{KeyValueStore, Reply};
use crate::trace::Trace;
use grebewood_core::settings::StoreLimits;
use grebewood_core::{
    Controller, Effect, Input, Interface, NoStopwatch, Now, Objective, Outcome, Settings, Sibling,
    Target, Team, Tuning,
};
use grebewood_wire::http::{
    Command, DirectCommands, HeartbeatResponse, JobStatus, ListedMachine, MachineList,
    MachineNames, MachineType, Operation, Priority, ProvisionRequest, Redirect, Submission,
    Transaction, Verb,
};
use grebewood_wire::{from_cbor, to_cbor};
use std::collections::{BTreeMap, BTreeSet};

mod agents;
mod checks;
mod cloud;
mod controllers;
mod faults;
mod limits;
mod script;
mod setup;
#[cfg(test)]
mod tests;
mod users;

use checks::Checks;
use faults::Faults;
use limits::LimitChanges;

type Micros = u64;
const SECOND: Micros = 1_000_000;
const MILLISECOND: Micros = 1_000;
const TICK_INTERVAL: Micros = 20 * MILLISECOND;
const WALL_CLOCK_START: Micros = 1_700_000_000 * SECOND;

/// A process of a controller that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    controller: usize,
    process: u64,
    call: u64,
}

/// Who waits for an answer of a controller; of users, when they asked.
#[derive(Clone, Debug)]
enum Requester {
    Submit(String, Micros),
    Cancel(String, Micros),
    /// A user's question, which may be refused; but not for good.
    Poll(String, Micros),
    /// A poll that must give this status; the line that says so.
    Expect(String, String, usize, Micros),
    /// A request that must give this status; the line that says so.
    Raw {
        wanted: u16,
        line: usize,
        method: String,
        path: String,
        body: Vec<u8>,
        sent: Micros,
    },
    Heartbeat {
        machine: String,
        heartbeat_id: u64,
    },
    /// A submission that is repeated once, at a given controller.
    Resubmit(String, Micros),
    /// Nobody: the request was the late copy of a heartbeat. `first`: whom it reached leads, and had no
    /// heartbeat of that machine under its grant that was as new.
    HeartbeatCopy {
        first: bool,
    },
    Peer(Caller),
}

enum Event {
    /// An input for a process.
    Input(usize, u64, Input),
    StoreCall(Caller, &'static str, String, Vec<u8>),
    CloudCall(Caller, &'static str, String, Vec<u8>),
    DirectCommand(Caller, String, Vec<u8>),
    Request {
        controller: usize,
        interface: Interface,
        method: String,
        path: String,
        body: Vec<u8>,
        requester: Requester,
    },
    /// The limits of the key-value store change.
    StoreLimits(StoreLimits),
    Response(Requester, usize, u16, Vec<u8>),
    /// The answer to a heartbeat, by machine and flight, reaches its agent over a slow link.
    DelayedHeartbeatResponse(String, u64, usize, u16, Vec<u8>),
    /// A late copy of a heartbeat, for whoever leads then, or for every controller.
    HeartbeatCopy {
        body: Vec<u8>,
        to_all: bool,
    },
    /// Users look closely at a job.
    PollEverywhere(String),
    /// A heartbeat of this sequence arrives: an answer to a direct command must have overtaken it.
    OvertakenHeartbeat(String, u64),
    Directive(Directive),
    Start(usize),
    Tick,
    StoreUp,
    CloudUp,
    RetrySubmit(String),
    RetryCancel(String),
}

struct Cut {
    controller: usize,
    what: String,
    until: Micros,
    hold: bool,
}

struct ObservedJob {
    spec: Submission,
    accepted: bool,
    cancelled_at: Option<Micros>,
    /// When its user first asked to cancel it.
    cancel_requested_at: Option<Micros>,
    /// When something positive was first said of it: accepted, or any status.
    known_since: Option<Micros>,
    done: bool,
    completed: BTreeSet<String>,
    starts: u64,
    last_start: Micros,
    submitted: Micros,
    /// When a task of it first came onto a machine.
    first_start: Option<Micros>,
    /// When a question about it was last answered, or it was accepted.
    answered: Micros,
    /// When its last task completed.
    completed_at: Option<Micros>,
}

/// Once all faults are over, a job about which no question is answered for so long is forgotten.
const UNANSWERED_LIMIT: Micros = 75 * SECOND;
/// How often users ask about each job.
const POLL_INTERVAL: Micros = 5 * SECOND;
/// The largest jobs of a class must begin within this time.
const START_DEADLINE: Micros = 240 * SECOND;

struct ControllerProcess {
    controller: Option<Controller>,
    process: u64,
    /// It is down until then.
    down_until: Micros,
    /// Until then the process is paused, and what comes in waits.
    paused_until: Micros,
    /// It was paused: until an answer to a renewal made since, it must not act as a leader.
    uncertain: bool,
    renewals: BTreeSet<u64>,
}

/// The world.
pub struct World {
    now: Micros,
    end: Micros,
    queue: BTreeMap<(Micros, u64), Event>,
    seq: u64,
    controllers: Vec<ControllerProcess>,
    settings: Settings,
    tuning: Tuning,
    /// The limits that the key-value store announces, and the controllers that do not know of them: they
    /// stand for the version before, whose formats are the same.
    next_limits: Option<StoreLimits>,
    previous_version: BTreeSet<usize>,
    /// Time of day at the start.
    wall_clock_start: Micros,
    /// When the last fault of the script is over.
    faults_end: Micros,
    next_poll: Micros,
    state: KeyValueStore,
    store_tickets: BTreeMap<u64, Caller>,
    types: Vec<MachineType>,
    capacity: BTreeMap<(String, bool), u64>,
    boot: Micros,
    boots_never: bool,
    cloud_down: bool,
    provisions: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, Machine>,
    next_machine: u64,
    jobs: BTreeMap<String, ObservedJob>,
    facts: BTreeMap<String, JobFacts>,
    requests: BTreeMap<(usize, u64), Requester>,
    next_request: u64,
    open_calls: BTreeSet<Caller>,
    cuts: Vec<Cut>,
    refused: Vec<(usize, Micros)>,
    crash_on_page_write: bool,
    faults: Faults,
    checks: Checks,
    limit_changes: LimitChanges,
    late_heartbeat: BTreeMap<String, Micros>,
    overtake_heartbeat: BTreeMap<String, Micros>,
    slow_launch: BTreeMap<String, Micros>,
    lose_response: BTreeSet<String>,
    expected: u64,
    met: u64,
    /// A rule that was broken within a step.
    broken: Option<String>,
    /// Partitions that the script has moved.
    moves: u64,
    /// What the leader costs, if that is measured.
    pub measures: Option<Measures>,
    /// What the controllers do, if that is traced.
    pub trace: Option<Trace>,
}

/// Reads hexadecimal digits.
pub(crate) fn unhex(hex: &str) -> Result<Vec<u8>, String> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let text = std::str::from_utf8(pair).map_err(|e| e.to_string())?;
            u8::from_str_radix(text, 16).map_err(|e| e.to_string())
        })
        .collect()
}

/// Limits of the key-value store among a line's options; what is missing stays as it is.
fn limits_of(line: &Directive, prefix: &str, now: StoreLimits) -> Result<StoreLimits, String> {
    let number = |key: &str, default| line.number(&format!("{prefix}{key}"), default);
    Ok(StoreLimits {
        rps: number("rps", now.rps)?,
        write_rps: number("writes", now.write_rps)?,
        value_bytes: (number("value", now.value_bytes as f64 / 1024.0)? * 1024.0) as usize,
        transaction_operations: number("ops", now.transaction_operations as f64)? as usize,
    })
}

/// The status of a job in an answer to its user.
fn status_in(body: &[u8]) -> String {
    let map: BTreeMap<String, grebewood_wire::Value> = from_cbor(body).unwrap_or_default();
    let status = map.get("status").and_then(|v| v.as_text());
    status.unwrap_or_default().to_string()
}

impl World {
    pub fn new(script: Script) -> Result<Self, String> {
        let settings = Settings {
            objectives: vec![Objective {
                kind: "finished".into(),
                class: "work".into(),
                within: Some(60 * SECOND),
                share: 0.9,
                after: None,
                worst: None,
            }],
            ..Settings::default()
        };
        let mut w = World {
            now: 0,
            end: script.end,
            queue: BTreeMap::new(),
            seq: 0,
            controllers: Vec::new(),
            settings,
            tuning: Tuning::default(),
            next_limits: None,
            previous_version: BTreeSet::new(),
            wall_clock_start: WALL_CLOCK_START,
            faults_end: script.faults_end(),
            next_poll: POLL_INTERVAL,
            state: KeyValueStore::default(),
            store_tickets: BTreeMap::new(),
            types: Vec::new(),
            capacity: BTreeMap::new(),
            boot: 10 * SECOND,
            boots_never: false,
            cloud_down: false,
            provisions: BTreeMap::new(),
            machines: BTreeMap::new(),
            next_machine: 0,
            jobs: BTreeMap::new(),
            facts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            open_calls: BTreeSet::new(),
            cuts: Vec::new(),
            refused: Vec::new(),
            crash_on_page_write: false,
            faults: Faults::default(),
            checks: Checks::default(),
            limit_changes: LimitChanges::default(),
            late_heartbeat: BTreeMap::new(),
            overtake_heartbeat: BTreeMap::new(),
            slow_launch: BTreeMap::new(),
            lose_response: BTreeSet::new(),
            expected: 0,
            met: 0,
            broken: None,
            moves: 0,
            measures: None,
            trace: None,
        };
        let mut controllers = 3;
        for line in &script.setup {
            w.apply_setup(line, &mut controllers)?;
        }
        w.state.limits = Some(w.settings.store);
        for n in 0..controllers {
            w.controllers.push(ControllerProcess {
                controller: None,
                process: 0,
                down_until: 0,
                paused_until: 0,
                uncertain: false,
                renewals: BTreeSet::new(),
            });
            w.push(n as Micros * 5 * MILLISECOND, Event::Start(n));
        }
        for (at, line) in script.events {
            w.push(at, Event::Directive(line));
        }
        w.push(TICK_INTERVAL, Event::Tick);
        Ok(w)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    /// Plays to the end.
    pub fn run(mut self) -> Result<(), String> {
        self.play_to_the_end()
    }

    /// Ends the leader's process, so that its memory can be told.
    pub fn end_leader(&mut self) {
        if let Ok(leader) = self.controller_named("leader") {
            self.controllers[leader].controller = None;
        }
    }

    pub(crate) fn play_to_the_end(&mut self) -> Result<(), String> {
        self.play_until(self.end)?;
        if self.met < self.expected {
            return Err(format!(
                "{} of {} expectations got no answer",
                self.expected - self.met,
                self.expected
            ));
        }
        Ok(())
    }

    fn play_until(&mut self, end: Micros) -> Result<(), String> {
        while let Some(next) = self.queue.first_entry() {
            let at = next.key().0;
            if at > end {
                break;
            }
            let event = next.remove();
            self.now = at;
            self.play(event)
                .and_then(|()| self.broken.take().map_or(Ok(()), Err))
                .map_err(|e| format!("at {:.3} s: {e}", at as f64 / 1e6))?;
        }
        Ok(())
    }

    fn play(&mut self, event: Event) -> Result<(), String> {
        let to = match &event {
            Event::Input(n, ..) | Event::Request { controller: n, .. } => Some(*n),
            _ => None,
        };
        let resumes_at = to.map_or(0, |n| self.controllers[n].paused_until);
        if resumes_at > self.now {
            // The order in which a process finds what waited is its own: requests first is worst.
            let request = matches!(event, Event::Request { .. });
            self.push(
                if request {
                    resumes_at
                } else {
                    resumes_at + MILLISECOND
                },
                event,
            );
            return Ok(());
        }
        match event {
            Event::Tick => {
                self.push(self.now + TICK_INTERVAL, Event::Tick);
                self.tick()
            }
            // It runs already, or ended again meanwhile and is back later.
            Event::Start(n)
                if self.controllers[n].controller.is_some()
                    || self.now < self.controllers[n].down_until =>
            {
                Ok(())
            }
            Event::Start(n) => {
                let mut settings = self.settings.clone();
                if let (Some(next), false) = (self.next_limits, self.previous_version.contains(&n))
                {
                    settings.store = settings.store.smaller_of(next);
                }
                self.limit_changes.apply(n, &mut settings.teams);
                settings.member = format!("perch-{n}");
                settings.siblings = (0..self.controllers.len())
                    .filter(|p| *p != n)
                    .map(|p| Sibling {
                        member: format!("perch-{p}"),
                        zone: "a".into(),
                    })
                    .collect();
                let process = self.seq + 1;
                let mut tuning = self.tuning.clone();
                if self.previous_version.contains(&n) {
                    // The version before knows no partitions.
                    tuning.partitions_per_zone = 0;
                    tuning.allotments = 0;
                }
                self.controllers[n] = ControllerProcess {
                    controller: Some(Controller::new(settings, tuning, process)),
                    process,
                    down_until: 0,
                    paused_until: 0,
                    uncertain: false,
                    renewals: BTreeSet::new(),
                };
                self.step(n, process, Input::Tick);
                Ok(())
            }
            Event::Input(n, process, input) => {
                if let Input::Reply { call, .. } = &input {
                    let caller = Caller {
                        controller: n,
                        process,
                        call: *call,
                    };
                    if !self.open_calls.remove(&caller) {
                        return Ok(());
                    }
                }
                self.step(n, process, input);
                self.clear_uncertainty(n);
                Ok(())
            }
            Event::StoreCall(caller, method, path, body) => {
                self.handle_store_call(caller, method, &path, &body);
                Ok(())
            }
            Event::CloudCall(caller, method, path, body) => {
                let (status, body) = self.handle_cloud_call(method, &path, &body);
                self.reply(caller, "cloud", 100 * MILLISECOND, status, body);
                Ok(())
            }
            Event::DirectCommand(caller, address, body) => self.direct(caller, &address, &body),
            Event::Request {
                controller,
                interface,
                method,
                path,
                body,
                requester,
            } => {
                if self.controllers[controller].controller.is_none() {
                    return self.answered(requester, controller, 0, Vec::new());
                }
                let mut requester = requester;
                if matches!(
                    requester,
                    Requester::HeartbeatCopy { .. } | Requester::Heartbeat { .. }
                ) {
                    let first = self.note_heartbeat(controller, &body, &requester);
                    if let Requester::HeartbeatCopy { first: it } = &mut requester {
                        *it = first;
                    }
                }
                self.next_request += 1;
                let id = self.next_request;
                self.requests.insert((controller, id), requester);
                let process = self.controllers[controller].process;
                let input = Input::Request {
                    id,
                    interface,
                    method,
                    path,
                    body,
                };
                self.step(controller, process, input);
                Ok(())
            }
            Event::StoreLimits(limits) => {
                self.state.limits = Some(limits);
                Ok(())
            }
            Event::Response(requester, controller, status, body) => {
                self.answered(requester, controller, status, body)
            }
            Event::DelayedHeartbeatResponse(machine, heartbeat_id, controller, status, body) => {
                self.handle_heartbeat_response(&machine, heartbeat_id, controller, status, &body)
            }
            Event::HeartbeatCopy { body, to_all } => {
                self.deliver_heartbeat_copy(body, to_all);
                Ok(())
            }
            Event::PollEverywhere(job) => {
                self.poll_everywhere(&job);
                Ok(())
            }
            Event::OvertakenHeartbeat(machine, sequence) => {
                let m = self.machine_mut(&machine)?;
                match m.sequence > sequence {
                    true => Ok(()),
                    false => Err(format!("nothing overtook the report of {machine}")),
                }
            }
            Event::Directive(line) => {
                let number = line.number;
                self.script(line).map_err(|e| format!("line {number}: {e}"))
            }
            Event::StoreUp => {
                self.state.recover(self.now);
                Ok(())
            }
            Event::CloudUp => {
                self.cloud_down = false;
                Ok(())
            }
            Event::RetrySubmit(job) => {
                self.submit(&job, None);
                Ok(())
            }
            Event::RetryCancel(job) => {
                self.cancel(&job, None);
                Ok(())
            }
        }
    }
}
