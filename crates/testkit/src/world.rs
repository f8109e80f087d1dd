//! The simulated world: plays a script and checks the rules.

use crate::machines::{JobFacts, Machine, Task};
use crate::measure::{Measures, StepKind};
use crate::production;
use crate::script::{Line, Script};
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
use faults::Troubles;
use limits::LimitChanges;

type Micros = u64;
const S: Micros = 1_000_000;
const MS: Micros = 1_000;
const TICK: Micros = 20 * MS;
const WALL: Micros = 1_700_000_000 * S;

/// A process of a controller that made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    node: usize,
    process: u64,
    call: u64,
}

/// Who waits for an answer of a controller; of users, when they asked.
#[derive(Clone, Debug)]
enum Asker {
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
    Agent {
        machine: String,
        flight: u64,
    },
    /// A submission that is repeated once, at a given node.
    Again(String, Micros),
    /// Nobody: the request was the late copy of a report. `first`: whom it reached leads, and had no
    /// report of that machine under its grant that was as new.
    Copy {
        first: bool,
    },
    Peer(Caller),
}

enum Ev {
    /// An input for a process.
    Input(usize, u64, Input),
    State(Caller, &'static str, String, Vec<u8>),
    Cloud(Caller, &'static str, String, Vec<u8>),
    Agent(Caller, String, Vec<u8>),
    Request {
        node: usize,
        interface: Interface,
        method: String,
        path: String,
        body: Vec<u8>,
        asker: Asker,
    },
    /// The limits of the state service change.
    Limits(StoreLimits),
    Answered(Asker, usize, u16, Vec<u8>),
    /// The answer to a check-in, by machine and flight, reaches its worker over a slow link.
    WorkerAnswer(String, u64, usize, u16, Vec<u8>),
    /// A late copy of a report, for whoever leads then, or for every node.
    Copy {
        body: Vec<u8>,
        to_all: bool,
    },
    /// Users look closely at a job.
    Look(String),
    /// A report of this sequence arrives: an answer to a direct command must have overtaken it.
    Overtaken(String, u64),
    Script(Line),
    Start(usize),
    Tick,
    StateUp,
    CloudUp,
    RetrySubmit(String),
    RetryCancel(String),
}

struct Cut {
    node: usize,
    what: String,
    until: Micros,
    hold: bool,
}

struct JobSeen {
    spec: Submission,
    accepted: bool,
    cancelled_at: Option<Micros>,
    /// When its user first asked to cancel it.
    cancel_asked: Option<Micros>,
    /// When something positive was first said of it: accepted, or any status.
    known_at: Option<Micros>,
    done: bool,
    completed: BTreeSet<String>,
    starts: u64,
    last_start: Micros,
    submitted: Micros,
    /// When a task of it first came onto a machine.
    began: Option<Micros>,
    /// When a question about it was last answered, or it was accepted.
    answered: Micros,
    /// When its last task completed.
    completed_at: Option<Micros>,
}

/// Once all troubles are over, a job about which no question is answered for so long is forgotten.
const FORGOTTEN_AFTER: Micros = 75 * S;
/// How often users ask about each job.
const ASK_EVERY: Micros = 5 * S;
/// The largest jobs of a class must begin within this time.
const BEGIN_WITHIN: Micros = 240 * S;

struct Slot {
    node: Option<Controller>,
    process: u64,
    /// It is down until then.
    down_until: Micros,
    /// Until then the process stands still, and what comes in waits.
    frozen_until: Micros,
    /// It stood still: until an answer to a renewal made since, it must not act as a leader.
    unsure: bool,
    renewals: BTreeSet<u64>,
}

/// The world.
pub struct World {
    now: Micros,
    end: Micros,
    queue: BTreeMap<(Micros, u64), Ev>,
    seq: u64,
    slots: Vec<Slot>,
    settings: Settings,
    tuning: Tuning,
    /// The limits that the state service announces, and the nodes that do not know of them: they
    /// stand for the version before, whose formats are the same.
    next_limits: Option<StoreLimits>,
    old: BTreeSet<usize>,
    /// Time of day at the start.
    wall: Micros,
    /// When the last trouble of the script is over.
    untroubled: Micros,
    next_ask: Micros,
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
    jobs: BTreeMap<String, JobSeen>,
    facts: BTreeMap<String, JobFacts>,
    requests: BTreeMap<(usize, u64), Asker>,
    next_request: u64,
    open_calls: BTreeSet<Caller>,
    cuts: Vec<Cut>,
    refused: Vec<(usize, Micros)>,
    trap_page_write: bool,
    troubles: Troubles,
    checks: Checks,
    limit_changes: LimitChanges,
    late_report: BTreeMap<String, Micros>,
    overtake_report: BTreeMap<String, Micros>,
    slow_launch: BTreeMap<String, Micros>,
    lose_answer: BTreeSet<String>,
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

/// Limits of the state service among a line's options; what is missing stays as it is.
fn limits_of(line: &Line, prefix: &str, now: StoreLimits) -> Result<StoreLimits, String> {
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
                within: Some(60 * S),
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
            slots: Vec::new(),
            settings,
            tuning: Tuning::default(),
            next_limits: None,
            old: BTreeSet::new(),
            wall: WALL,
            untroubled: script.troubles_end(),
            next_ask: ASK_EVERY,
            state: KeyValueStore::default(),
            store_tickets: BTreeMap::new(),
            types: Vec::new(),
            capacity: BTreeMap::new(),
            boot: 10 * S,
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
            trap_page_write: false,
            troubles: Troubles::default(),
            checks: Checks::default(),
            limit_changes: LimitChanges::default(),
            late_report: BTreeMap::new(),
            overtake_report: BTreeMap::new(),
            slow_launch: BTreeMap::new(),
            lose_answer: BTreeSet::new(),
            expected: 0,
            met: 0,
            broken: None,
            moves: 0,
            measures: None,
            trace: None,
        };
        let mut nodes = 3;
        for line in &script.setup {
            w.set_up(line, &mut nodes)?;
        }
        w.state.limits = Some(w.settings.store);
        for n in 0..nodes {
            w.slots.push(Slot {
                node: None,
                process: 0,
                down_until: 0,
                frozen_until: 0,
                unsure: false,
                renewals: BTreeSet::new(),
            });
            w.push(n as Micros * 5 * MS, Ev::Start(n));
        }
        for (at, line) in script.events {
            w.push(at, Ev::Script(line));
        }
        w.push(TICK, Ev::Tick);
        Ok(w)
    }

    fn push(&mut self, at: Micros, ev: Ev) {
        self.seq += 1;
        self.queue.insert((at, self.seq), ev);
    }

    /// Plays to the end.
    pub fn run(mut self) -> Result<(), String> {
        self.play_to_the_end()
    }

    /// Ends the leader's process, so that its memory can be told.
    pub fn end_leader(&mut self) {
        if let Ok(leader) = self.node_named("leader") {
            self.slots[leader].node = None;
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
            let ev = next.remove();
            self.now = at;
            self.play(ev)
                .and_then(|()| self.broken.take().map_or(Ok(()), Err))
                .map_err(|e| format!("at {:.3} s: {e}", at as f64 / 1e6))?;
        }
        Ok(())
    }

    fn play(&mut self, ev: Ev) -> Result<(), String> {
        let to = match &ev {
            Ev::Input(n, ..) | Ev::Request { node: n, .. } => Some(*n),
            _ => None,
        };
        let wakes = to.map_or(0, |n| self.slots[n].frozen_until);
        if wakes > self.now {
            // The order in which a process finds what waited is its own: requests first is worst.
            let request = matches!(ev, Ev::Request { .. });
            self.push(if request { wakes } else { wakes + MS }, ev);
            return Ok(());
        }
        match ev {
            Ev::Tick => {
                self.push(self.now + TICK, Ev::Tick);
                self.tick()
            }
            // It runs already, or ended again meanwhile and is back later.
            Ev::Start(n) if self.slots[n].node.is_some() || self.now < self.slots[n].down_until => {
                Ok(())
            }
            Ev::Start(n) => {
                let mut settings = self.settings.clone();
                if let (Some(next), false) = (self.next_limits, self.old.contains(&n)) {
                    settings.store = settings.store.smaller_of(next);
                }
                self.limit_changes.apply(n, &mut settings.teams);
                settings.member = format!("perch-{n}");
                settings.siblings = (0..self.slots.len())
                    .filter(|p| *p != n)
                    .map(|p| Sibling {
                        member: format!("perch-{p}"),
                        zone: "a".into(),
                    })
                    .collect();
                let process = self.seq + 1;
                let mut tuning = self.tuning.clone();
                if self.old.contains(&n) {
                    // The version before knows no partitions.
                    tuning.partitions_per_zone = 0;
                    tuning.allotments = 0;
                }
                self.slots[n] = Slot {
                    node: Some(Controller::new(settings, tuning, process)),
                    process,
                    down_until: 0,
                    frozen_until: 0,
                    unsure: false,
                    renewals: BTreeSet::new(),
                };
                self.step(n, process, Input::Tick);
                Ok(())
            }
            Ev::Input(n, process, input) => {
                if let Input::Reply { call, .. } = &input {
                    let caller = Caller {
                        node: n,
                        process,
                        call: *call,
                    };
                    if !self.open_calls.remove(&caller) {
                        return Ok(());
                    }
                }
                self.step(n, process, input);
                self.settle(n);
                Ok(())
            }
            Ev::State(caller, method, path, body) => {
                self.store_request(caller, method, &path, &body);
                Ok(())
            }
            Ev::Cloud(caller, method, path, body) => {
                let (status, body) = self.cloud_request(method, &path, &body);
                self.reply(caller, "cloud", 100 * MS, status, body);
                Ok(())
            }
            Ev::Agent(caller, address, body) => self.direct(caller, &address, &body),
            Ev::Request {
                node,
                interface,
                method,
                path,
                body,
                asker,
            } => {
                if self.slots[node].node.is_none() {
                    return self.answered(asker, node, 0, Vec::new());
                }
                let mut asker = asker;
                if matches!(asker, Asker::Copy { .. } | Asker::Agent { .. }) {
                    let first = self.note_report(node, &body, &asker);
                    if let Asker::Copy { first: it } = &mut asker {
                        *it = first;
                    }
                }
                self.next_request += 1;
                let id = self.next_request;
                self.requests.insert((node, id), asker);
                let process = self.slots[node].process;
                let input = Input::Request {
                    id,
                    interface,
                    method,
                    path,
                    body,
                };
                self.step(node, process, input);
                Ok(())
            }
            Ev::Limits(limits) => {
                self.state.limits = Some(limits);
                Ok(())
            }
            Ev::Answered(asker, node, status, body) => self.answered(asker, node, status, body),
            Ev::WorkerAnswer(machine, flight, node, status, body) => {
                self.worker_answer(&machine, flight, node, status, &body)
            }
            Ev::Copy { body, to_all } => {
                self.copy_arrives(body, to_all);
                Ok(())
            }
            Ev::Look(job) => {
                self.look(&job);
                Ok(())
            }
            Ev::Overtaken(machine, sequence) => {
                let m = self.machine_mut(&machine)?;
                match m.sequence > sequence {
                    true => Ok(()),
                    false => Err(format!("nothing overtook the report of {machine}")),
                }
            }
            Ev::Script(line) => {
                let number = line.number;
                self.script(line).map_err(|e| format!("line {number}: {e}"))
            }
            Ev::StateUp => {
                self.state.recover(self.now);
                Ok(())
            }
            Ev::CloudUp => {
                self.cloud_down = false;
                Ok(())
            }
            Ev::RetrySubmit(job) => {
                self.submit(&job, None);
                Ok(())
            }
            Ev::RetryCancel(job) => {
                self.cancel(&job, None);
                Ok(())
            }
        }
    }
}
