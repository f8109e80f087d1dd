//! The simulated world: plays a script and checks the rules.

use crate::machines::{JobFacts, Machine, Task};
use crate::production;
use crate::script::{Line, Script};
use crate::state::{Reply, StateService};
use grebewood_core::settings::StateLimits;
use grebewood_core::{
    Door, Effect, Input, NoStopwatch, Node, Now, Objective, Outcome, Settings, Sibling, Target,
    Team, Tuning,
};
use grebewood_wire::http::{
    Change, CheckinAnswer, DirectOrders, JobStatus, ListedMachine, MachineList, MachineType, Order,
    Perches, Precedence, Redirect, RentalRequest, Submission, Txn,
};
use grebewood_wire::{from_cbor, to_cbor};
use std::collections::{BTreeMap, BTreeSet};

mod checks;
#[cfg(test)]
mod tests;
mod troubles;

use checks::Checks;
use troubles::Troubles;

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
    Worker {
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
    Worker(Caller, String, Vec<u8>),
    Request {
        node: usize,
        door: Door,
        method: String,
        path: String,
        body: Vec<u8>,
        asker: Asker,
    },
    /// The limits of the state service change.
    Limits(StateLimits),
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
    /// A report of this tally arrives: an answer to a direct command must have overtaken it.
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
    node: Option<Node>,
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
    next_limits: Option<StateLimits>,
    old: BTreeSet<usize>,
    /// Time of day at the start.
    wall: Micros,
    /// When the last trouble of the script is over.
    untroubled: Micros,
    next_ask: Micros,
    state: StateService,
    state_tickets: BTreeMap<u64, Caller>,
    types: Vec<MachineType>,
    capacity: BTreeMap<(String, bool), u64>,
    boot: Micros,
    boots_never: bool,
    cloud_down: bool,
    hires: BTreeMap<String, Vec<String>>,
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
    late_report: BTreeMap<String, Micros>,
    overtake_report: BTreeMap<String, Micros>,
    slow_launch: BTreeMap<String, Micros>,
    lose_answer: BTreeSet<String>,
    expected: u64,
    met: u64,
    /// A rule that was broken within a step.
    broken: Option<String>,
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
fn limits_of(line: &Line, prefix: &str, now: StateLimits) -> Result<StateLimits, String> {
    let number = |key: &str, default| line.number(&format!("{prefix}{key}"), default);
    Ok(StateLimits {
        rps: number("rps", now.rps)?,
        write_rps: number("writes", now.write_rps)?,
        value_bytes: (number("value", now.value_bytes as f64 / 1024.0)? * 1024.0) as usize,
        txn_ops: number("ops", now.txn_ops as f64)? as usize,
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
            member: String::new(),
            zone: "a".into(),
            siblings: Vec::new(),
            teams: BTreeMap::new(),
            objectives: vec![Objective {
                kind: "finished".into(),
                class: "work".into(),
                within: Some(60 * S),
                share: 0.9,
                after: None,
                worst: None,
            }],
            report: 1_500 * MS,
            lease: 10 * S,
            cancel: 30 * S,
            state: StateLimits {
                rps: 100.0,
                write_rps: 20.0,
                value_bytes: 4096,
                txn_ops: 8,
            },
            cloud_rps: 8.0,
            list_lag: 3 * S,
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
            state: StateService::default(),
            state_tickets: BTreeMap::new(),
            types: Vec::new(),
            capacity: BTreeMap::new(),
            boot: 10 * S,
            boots_never: false,
            cloud_down: false,
            hires: BTreeMap::new(),
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
            late_report: BTreeMap::new(),
            overtake_report: BTreeMap::new(),
            slow_launch: BTreeMap::new(),
            lose_answer: BTreeSet::new(),
            expected: 0,
            met: 0,
            broken: None,
        };
        let mut nodes = 3;
        for line in &script.setup {
            w.set_up(line, &mut nodes)?;
        }
        w.state.limits = Some(w.settings.state);
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

    fn set_up(&mut self, line: &Line, nodes: &mut usize) -> Result<(), String> {
        match line.word(0)? {
            "nodes" => {
                *nodes = line
                    .word(1)?
                    .parse()
                    .map_err(|_| format!("line {}: no number", line.number))?;
            }
            "workers" => {
                let s = &mut self.settings;
                s.report = line.time("report", 1.5)?;
                s.lease = line.time("lease", 10.0)?;
                s.cancel = line.time("cancel", 30.0)?;
            }
            "state" => {
                let s = self.settings.state;
                self.settings.state = limits_of(line, "", s)?;
                if line.options.keys().any(|k| k.starts_with("next_")) {
                    self.next_limits = Some(limits_of(line, "next_", self.settings.state)?);
                }
            }
            "tuning" => {
                for (key, value) in &line.options {
                    let set = self.tuning.set(key, value);
                    set.map_err(|e| format!("line {}: {e}", line.number))?;
                }
            }
            "old" => {
                for word in &line.words[1..] {
                    let n = word.parse();
                    self.old
                        .insert(n.map_err(|_| format!("line {}: no node", line.number))?);
                }
            }
            "store" => {
                let name = line.word(1)?;
                let path = format!("{}/data/{name}.txt", env!("CARGO_MANIFEST_DIR"));
                let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
                for (i, line) in text.lines().enumerate() {
                    self.load(line)
                        .map_err(|e| format!("{path}: line {}: {e}", i + 1))?;
                }
                self.wall = WALL + line.time("age", 0.0)?;
            }
            "aim" => {
                let aim = Objective {
                    kind: line.word(1)?.into(),
                    class: line.word(2)?.into(),
                    within: Some(line.time("within", 60.0)?),
                    share: 0.9,
                    after: None,
                    worst: None,
                };
                self.settings.objectives.push(aim);
            }
            "team" => {
                let team = Team {
                    cpus: line.number("cpus", 0.0)?,
                    cpus_max: line.number("max", 0.0)?,
                    gpus: line.number("gpus", 0.0)?,
                    gpus_max: line.number("gmax", 0.0)?,
                };
                self.settings.teams.insert(line.word(1)?.into(), team);
            }
            "type" => {
                let name = line.word(1)?.to_string();
                self.boot = line.time("boot", 10.0)?;
                self.types.push(MachineType {
                    name: name.clone(),
                    vcpus: line.number("cpus", 8.0)?,
                    accelerators: line.number("gpus", 0.0)?,
                    memory_gb: line.number("mem", 32.0)?,
                    local_gb: Some(50.0),
                    fetch_gb_per_s: Some(1.0),
                    price: line.number("price", 1.0)?,
                    spot_price: Some(line.number("spot", 0.3)?),
                    startup_s: line.number("boot", 10.0)?,
                    yards: line
                        .text("zones", "a")
                        .split(',')
                        .map(str::to_string)
                        .collect(),
                });
                self.capacity
                    .insert((name.clone(), false), line.number("cap", 4.0)? as u64);
                self.capacity
                    .insert((name, true), line.number("spotcap", 0.0)? as u64);
            }
            "check" => self.set_up_check(line)?,
            "machines" => {
                for _ in 0..line.number("count", 1.0)? as u64 {
                    let name = self.rent(
                        line.word(1)?,
                        &line.text("zone", "a"),
                        line.yes("spot", false),
                    );
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.up_at = Some(0);
                    }
                }
            }
            other => return Err(format!("line {}: {other}: unknown", line.number)),
        }
        Ok(())
    }

    /// Takes in one line of what an earlier version left.
    fn load(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let word = |at: usize| {
            words
                .get(at)
                .copied()
                .ok_or("a word is missing".to_string())
        };
        let number = |at: usize| {
            word(at).and_then(|w| w.parse::<u64>().map_err(|_| format!("{w}: no number")))
        };
        let option = |key: &str| {
            let found = words
                .iter()
                .find_map(|w| w.strip_prefix(key)?.strip_prefix('='));
            found.ok_or(format!("{key} is missing"))
        };
        match words.first().copied().unwrap_or("#") {
            "record" => {
                let value = from_cbor(&unhex(word(3)?)?).map_err(|e| e.to_string())?;
                self.state.load(word(1)?, value, number(2)?);
            }
            "machine" => {
                let name = self.rent(word(2)?, word(3)?, word(4)? == "yes");
                if name != word(1)? {
                    return Err(format!("{name} is not the next machine"));
                }
                let Some(m) = self.machines.get_mut(&name) else {
                    return Err("no such machine".into());
                };
                m.up_at = Some(if word(5)? == "up" { 0 } else { number(5)? });
                (m.tenure, m.tally, m.warrant) = (number(6)?, number(7)?, number(8)?);
            }
            "task" => {
                let shard = word(2)?.to_string();
                let status = ["fetching", "running", "saving", "exited"];
                let status = status.into_iter().find(|s| word(4) == Ok(s));
                let task = Task {
                    attempt: number(3)?,
                    status: status.ok_or("no such state")?,
                    cause: (word(5)? == "done").then_some("done"),
                    saved: false,
                    ends: number(6)?,
                    cpus: 0.0,
                    shard,
                };
                let m = self.machine_mut(word(1)?)?;
                m.tasks.push(task);
            }
            "hire" => {
                let perches = words[2..].iter().map(|w| w.to_string()).collect();
                self.hires.insert(word(1)?.into(), perches);
            }
            "job" => {
                let yes = |key: &str| option(key).map(|v| v == "true");
                let time = |key: &str| {
                    let text = option(key)?;
                    text.parse::<Micros>()
                        .map_err(|_| format!("{key}: no time"))
                };
                let spec: Submission =
                    from_cbor(&unhex(option("spec")?)?).map_err(|e| e.to_string())?;
                let facts = JobFacts {
                    cpus: spec.vcpus,
                    run: time("run")?,
                    flush: time("flush")?,
                    saves: yes("saves")?,
                    fails: false,
                };
                let tasks = self.machines.values_mut().flat_map(|m| &mut m.tasks);
                let prefix = format!("{}/", spec.uid);
                for t in tasks.filter(|t| t.shard.starts_with(&prefix)) {
                    t.cpus = spec.vcpus;
                }
                self.facts.insert(word(1)?.into(), facts);
                let seen = JobSeen {
                    spec,
                    accepted: yes("accepted")?,
                    cancelled_at: yes("cancelled")?.then_some(0),
                    cancel_asked: yes("cancelled")?.then_some(0),
                    known_at: yes("accepted")?.then_some(0),
                    done: yes("done")?,
                    completed: BTreeSet::new(),
                    starts: 0,
                    last_start: 0,
                    submitted: 0,
                    began: None,
                    answered: 0,
                    completed_at: None,
                };
                self.jobs.insert(word(1)?.into(), seen);
            }
            "completed" => {
                let shard = word(1)?;
                let job = shard.rsplit_once('/').map_or("", |(j, _)| j);
                let seen = self.jobs.get_mut(job).ok_or("no such job")?;
                seen.completed.insert(shard.into());
            }
            "#" | "epoch" | "peer-request" | "peer-answer" => {}
            other => return Err(format!("{other}: unknown")),
        }
        Ok(())
    }

    fn rent(&mut self, machine_type: &str, zone: &str, spot: bool) -> String {
        let name = format!("n-{:06}", self.next_machine);
        self.next_machine += 1;
        let cpus = self
            .types
            .iter()
            .find(|t| t.name == machine_type)
            .map_or(0.0, |t| t.vcpus);
        let up_at = (!self.boots_never).then_some(self.now + self.boot);
        let m = Machine {
            name: name.clone(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            cpus,
            requested: self.now,
            up_at,
            up: false,
            gone: false,
            hangs_until: 0,
            deaf_until: 0,
            cut_until: 0,
            mute_until: 0,
            faulty: false,
            recall_at: None,
            tenure: 1,
            tally: 0,
            warrant: 0,
            lease_from: 0,
            tasks: Vec::new(),
            node: self.next_machine as usize % 3,
            in_flight: None,
            next_report: 0,
            last_report: 0,
            told_warrant: 0,
            token_told: None,
        };
        self.machines.insert(name.clone(), m);
        name
    }

    fn push(&mut self, at: Micros, ev: Ev) {
        self.seq += 1;
        self.queue.insert((at, self.seq), ev);
    }

    /// Plays to the end.
    pub fn run(mut self) -> Result<(), String> {
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
                    settings.state = settings.state.smaller_of(next);
                }
                settings.member = format!("perch-{n}");
                settings.siblings = (0..self.slots.len())
                    .filter(|p| *p != n)
                    .map(|p| Sibling {
                        member: format!("perch-{p}"),
                        zone: "a".into(),
                    })
                    .collect();
                let process = self.seq + 1;
                self.slots[n] = Slot {
                    node: Some(Node::new(settings, self.tuning.clone(), process)),
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
                self.state_request(caller, method, &path, &body);
                Ok(())
            }
            Ev::Cloud(caller, method, path, body) => {
                let (status, body) = self.cloud_request(method, &path, &body);
                self.reply(caller, "cloud", 100 * MS, status, body);
                Ok(())
            }
            Ev::Worker(caller, address, body) => self.direct(caller, &address, &body),
            Ev::Request {
                node,
                door,
                method,
                path,
                body,
                asker,
            } => {
                if self.slots[node].node.is_none() {
                    return self.answered(asker, node, 0, Vec::new());
                }
                let mut asker = asker;
                if matches!(asker, Asker::Copy { .. } | Asker::Worker { .. }) {
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
                    door,
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
            Ev::Overtaken(machine, tally) => {
                let m = self.machine_mut(&machine)?;
                match m.tally > tally {
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

    // ---- controllers ----

    fn step(&mut self, n: usize, process: u64, input: Input) {
        let now = Now {
            steady: self.now,
            wall: self.wall + self.now,
        };
        let slot = &mut self.slots[n];
        if slot.process != process {
            return;
        }
        let Some(node) = &mut slot.node else { return };
        if let Input::Reply { call, .. } = &input {
            if slot.renewals.remove(call) {
                slot.unsure = false;
            }
        }
        let effects = node.step(now, input, &mut NoStopwatch);
        for effect in effects {
            let what = self.on_unsure_grant(n, &effect);
            if let (true, Some(what)) = (self.slots[n].unsure, what) {
                self.broken
                    .get_or_insert(format!("perch-{n}, back from a standstill, {what}"));
            }
            match effect {
                Effect::Answer {
                    id, status, body, ..
                } => {
                    if let Some(asker) = self.requests.remove(&(n, id)) {
                        self.confirmed(n, &asker, status, &status_in(&body));
                        self.push(self.now + MS, Ev::Answered(asker, n, status, body));
                    }
                }
                Effect::Call(call) => {
                    let caller = Caller {
                        node: n,
                        process,
                        call: call.id,
                    };
                    self.open_calls.insert(caller);
                    let unknown = Input::Reply {
                        call: call.id,
                        outcome: Outcome::Unknown,
                    };
                    self.push(self.now + call.timeout, Ev::Input(n, process, unknown));
                    self.send(caller, call);
                }
            }
        }
        self.deliver_kept(n);
    }

    /// A process that has stepped down may become the leader anew.
    fn settle(&mut self, n: usize) {
        if !self.leads(n) {
            self.slots[n].unsure = false;
        }
    }

    /// What of an effect a leader may do only if it is certain of its grant.
    fn on_unsure_grant(&mut self, n: usize, effect: &Effect) -> Option<&'static str> {
        match effect {
            Effect::Answer { id, status, .. } => {
                let asker = self.requests.get(&(n, *id));
                let worker = matches!(asker, Some(Asker::Worker { .. } | Asker::Copy { .. }));
                (worker && *status == 200).then_some("answers a worker")
            }
            Effect::Call(call) if call.path.ends_with("/extend") => {
                self.slots[n].renewals.insert(call.id);
                None
            }
            Effect::Call(call) => match call.target {
                Target::Cloud if call.method == "POST" => Some("rents or releases"),
                Target::Worker(_) => Some("commands a worker"),
                // A leader's writes depend on its grant; any node accepts and cancels.
                Target::State if call.path == "/txn" => String::from_utf8_lossy(&call.body)
                    .contains("leader")
                    .then_some("writes as the leader"),
                _ => None,
            },
        }
    }

    /// When a message over this link arrives: never if the link is cut, late if the cut holds it.
    fn arrival(&self, node: usize, what: &str, delay: Micros) -> Option<Micros> {
        let delay = delay + self.link_delay(what);
        let cut = self
            .cuts
            .iter()
            .find(|c| c.node == node && self.now < c.until && (c.what == what || c.what == "all"));
        match cut {
            None => Some(self.now + delay),
            Some(c) if c.hold => Some(c.until + delay),
            Some(_) => None,
        }
    }

    fn send(&mut self, caller: Caller, call: grebewood_core::Call) {
        let n = caller.node;
        match call.target {
            Target::State => {
                let Some(mut at) = self.arrival(n, "state", 2 * MS) else {
                    return;
                };
                if call.path == "/txn" && self.lose_txn(n, at, &call) {
                    return;
                }
                if call.path == "/txn" && self.leads(n) {
                    let text = String::from_utf8_lossy(&call.body).into_owned();
                    if self.trap_page_write && text.contains("page/") {
                        self.trap_page_write = false;
                        // The write happens, and its writer dies before it learns of it.
                        self.push(at, Ev::State(caller, call.method, call.path, call.body));
                        at += MS;
                        let line = Line {
                            words: vec!["crash".into(), n.to_string()],
                            ..Line::default()
                        };
                        self.push(at, Ev::Script(line));
                        return;
                    }
                }
                self.push(at, Ev::State(caller, call.method, call.path, call.body));
            }
            Target::Cloud => {
                if let Some(at) = self.arrival(n, "cloud", 100 * MS) {
                    self.push(at, Ev::Cloud(caller, call.method, call.path, call.body));
                }
            }
            Target::Worker(address) => {
                if let Some(at) = self.arrival(n, "workers", 2 * MS) {
                    self.push(at, Ev::Worker(caller, address, call.body));
                }
            }
            Target::Peer(p) => {
                if let Err(e) = production::check_peer_request(&call.body) {
                    let e = format!("the version in production cannot read a peer message: {e}");
                    self.broken.get_or_insert(e);
                }
                let to = (0..self.slots.len()).filter(|o| *o != n).nth(p);
                let Some(to) = to else { return };
                // The version before writes and reads what it knows, and nothing else.
                let mut body = call.body;
                if self.old.contains(&n) || self.old.contains(&to) {
                    body = production::known_of_peer_request(&body).unwrap_or(body);
                }
                let ways = (self.arrival(n, "peers", MS), self.arrival(to, "peers", MS));
                if let (Some(out), Some(back)) = ways {
                    let at = out.max(back);
                    let ev = Ev::Request {
                        node: to,
                        door: Door::Peer,
                        method: call.method.into(),
                        path: call.path,
                        body,
                        asker: Asker::Peer(caller),
                    };
                    self.push(at, ev);
                }
            }
        }
    }

    fn reply(&mut self, caller: Caller, what: &str, delay: Micros, status: u16, body: Vec<u8>) {
        let lag = if what == "state" { self.state_lag() } else { 0 };
        if let Some(at) = self.arrival(caller.node, what, delay + lag) {
            let input = Input::Reply {
                call: caller.call,
                outcome: Outcome::Answer { status, body },
            };
            self.push(at, Ev::Input(caller.node, caller.process, input));
        }
    }

    fn leads(&self, n: usize) -> bool {
        self.slots[n]
            .node
            .as_ref()
            .is_some_and(|node| node.lead.is_some())
    }

    fn state_request(&mut self, caller: Caller, method: &str, path: &str, body: &[u8]) {
        let refused = self
            .refused
            .iter()
            .any(|(n, until)| *n == caller.node && self.now < *until);
        if refused {
            if !path.starts_with("/changes") {
                self.reply(caller, "state", 2 * MS, 503, Vec::new());
            }
            return;
        }
        if let Ok(txn) = from_cbor::<Txn>(body) {
            for change in &txn.apply {
                let Change::Put { put, value, .. } = change else {
                    continue;
                };
                if let Err(e) = production::check_record(put, value) {
                    let e = format!("the version in production cannot read a record: {e}");
                    self.broken.get_or_insert(e);
                }
            }
        }
        self.seq += 1;
        let ticket = self.seq;
        let grant = from_cbor::<Txn>(body).is_ok_and(|txn| {
            let puts = |c: &Change| matches!(c, Change::Put { put, .. } if put == "leader");
            txn.apply.iter().any(puts)
        });
        let reply = self.state.request(self.now, ticket, method, path, body);
        if grant && matches!(reply, Reply::Now(200, _)) {
            self.granted();
        }
        match reply {
            Reply::Now(status, body) => {
                self.count_lost(caller, path, status);
                self.reply(caller, "state", 2 * MS, status, body)
            }
            Reply::Later => {
                self.state_tickets.insert(ticket, caller);
            }
        }
    }

    // ---- users ----

    fn up_nodes(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|n| self.slots[*n].node.is_some())
            .collect()
    }

    fn any_node(&mut self) -> usize {
        let up = self.up_nodes();
        self.seq += 1;
        up.get(self.seq as usize % up.len().max(1))
            .copied()
            .unwrap_or(0)
    }

    fn ask(&mut self, node: usize, method: &str, path: String, body: Vec<u8>, asker: Asker) {
        let ev = Ev::Request {
            node,
            door: Door::Front,
            method: method.into(),
            path,
            body,
            asker,
        };
        self.push(self.now + MS, ev);
    }

    fn submit(&mut self, job: &str, node: Option<usize>) {
        let Some(seen) = self.jobs.get(job) else {
            return;
        };
        let body = to_cbor(&seen.spec);
        let node = node.unwrap_or_else(|| self.any_node());
        let asker = Asker::Submit(job.into(), self.now);
        self.ask(node, "POST", "/submissions".into(), body, asker);
    }

    fn cancel(&mut self, job: &str, node: Option<usize>) {
        let node = node.unwrap_or_else(|| self.any_node());
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.cancel_asked.get_or_insert(self.now);
        }
        let asker = Asker::Cancel(job.into(), self.now);
        let path = format!("/submissions/{job}/cancel");
        self.ask(node, "POST", path, Vec::new(), asker);
    }

    /// Users ask about every job, each some node that is up; none may go without an answer for long
    /// once all troubles are over.
    fn ask_about_all(&mut self) -> Result<(), String> {
        let live = |j: &JobSeen| j.accepted && !j.done && j.cancelled_at.is_none();
        let jobs: Vec<(String, Micros)> = self
            .jobs
            .iter()
            .filter(|(_, j)| live(j))
            .map(|(id, j)| (id.clone(), j.answered))
            .collect();
        for (job, answered) in jobs {
            let since = answered.max(self.untroubled);
            if self.now.saturating_sub(since) > FORGOTTEN_AFTER {
                return Err(format!("forgotten: no question about {job} is answered"));
            }
            let node = self.any_node();
            let path = format!("/submissions/{job}");
            let asker = Asker::Poll(job, self.now);
            self.ask(node, "GET", path, Vec::new(), asker);
        }
        self.ask_aside();
        Ok(())
    }

    /// At least half of each class, of each team and of each class's largest jobs must be served, and
    /// the largest must have begun in time. Jobs that came lately or were cancelled do not count.
    fn check_halves(&self) -> Result<(), String> {
        let old = |j: &&JobSeen| j.accepted && self.now > j.submitted + BEGIN_WITHIN;
        let jobs: Vec<&JobSeen> = self
            .jobs
            .values()
            .filter(|j| j.cancelled_at.is_none())
            .filter(old)
            .collect();
        let mut groups: BTreeMap<String, Vec<&JobSeen>> = BTreeMap::new();
        for j in &jobs {
            let (class, team) = (&j.spec.workclass, &j.spec.owner);
            groups.entry(format!("class {class}")).or_default().push(j);
            groups.entry(format!("team {team}")).or_default().push(j);
        }
        let largest: Vec<(String, Vec<&JobSeen>)> = groups
            .iter()
            .filter(|(name, _)| name.starts_with("class"))
            .map(|(name, jobs)| {
                let mut jobs = jobs.clone();
                jobs.sort_by_key(|j| std::cmp::Reverse(j.spec.shards));
                jobs.truncate(jobs.len().div_ceil(10));
                (format!("the largest of {name}"), jobs)
            })
            .collect();
        for (name, jobs) in &largest {
            let late = |j: &&&JobSeen| j.began.is_none_or(|at| at > j.submitted + BEGIN_WITHIN);
            if jobs.iter().filter(late).count() * 2 > jobs.len() {
                return Err(format!("{name} have not begun in time"));
            }
        }
        for (name, jobs) in groups.iter().chain(largest.iter().map(|(n, j)| (n, j))) {
            let serves = |j: &&&JobSeen| match j.spec.shape.as_str() {
                "daemon" => j.began.is_some(),
                _ => j.done || j.completed.len() as u64 == j.spec.shards,
            };
            let served = jobs.iter().filter(serves).count();
            if served * 2 < jobs.len() {
                return Err(format!(
                    "only {served} of {} of {name} are served",
                    jobs.len()
                ));
            }
        }
        match jobs.is_empty() {
            true => Err("no job came early enough to be judged".into()),
            false => Ok(()),
        }
    }

    /// Checks what a user is told about a job.
    fn told(&mut self, job: &str, status: &str) -> Result<(), String> {
        let now = self.now;
        self.known(job);
        let Some(seen) = self.jobs.get_mut(job) else {
            return Err(format!("invented: {job} is said to be {status}"));
        };
        match status {
            "done" => {
                if seen.spec.shape == "daemon" {
                    return Err(format!("not_done: {job} is a daemon and said to be done"));
                }
                if seen.completed.len() as u64 != seen.spec.shards {
                    return Err(format!("not_done: {job} is said to be done"));
                }
                if seen.cancelled_at.is_some() {
                    return Err(format!("went_back: {job} is done after it was cancelled"));
                }
                seen.done = true;
                self.look_after(job, "done");
            }
            "aborted" => {
                if seen.cancel_asked.is_none() {
                    return Err(format!(
                        "went_back: {job} is cancelled, and nobody asked for it"
                    ));
                }
                if seen.done {
                    return Err(format!("went_back: {job} is cancelled after it was done"));
                }
                seen.cancelled_at.get_or_insert(now);
                self.look_after(job, "aborted");
            }
            _ if seen.done || seen.cancelled_at.is_some() => {
                return Err(format!("went_back: {job} is {status} after it was over"));
            }
            _ => {}
        }
        Ok(())
    }

    /// A submission is answered 200 or 201.
    fn accepted(&mut self, job: &str) -> Result<(), String> {
        if let Some(seen) = self.jobs.get_mut(job) {
            seen.accepted = true;
            seen.answered = self.now;
            let body = to_cbor(&seen.spec);
            self.check_acceptable(&body)?;
        }
        self.look_after(job, "accepted");
        Ok(())
    }

    fn answered(
        &mut self,
        asker: Asker,
        node: usize,
        status: u16,
        body: Vec<u8>,
    ) -> Result<(), String> {
        let said = || status_in(&body);
        match asker {
            Asker::Submit(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.told(&job, &said())?;
                }
                400 | 422 => self.denied(&job, sent, status)?,
                _ => self.push(self.now + S, Ev::RetrySubmit(job)),
            },
            Asker::Again(job, sent) => match status {
                200 | 201 => {
                    self.accepted(&job)?;
                    self.told(&job, &said())?;
                }
                400 | 422 => self.denied(&job, sent, status)?,
                _ => {}
            },
            Asker::Poll(job, sent) => {
                self.count_refusal(status);
                if status == 404 {
                    self.denied(&job, sent, status)?;
                }
                if status == 200 {
                    self.told(&job, &said())?;
                    if let Some(seen) = self.jobs.get_mut(&job) {
                        seen.answered = self.now;
                    }
                }
            }
            Asker::Cancel(job, sent) => match status {
                200 => self.told(&job, &said())?,
                404 => self.denied(&job, sent, status)?,
                _ => self.push(self.now + S, Ev::RetryCancel(job)),
            },
            Asker::Expect(job, wanted, line, sent) => {
                if status == 404 {
                    self.denied(&job, sent, status)?;
                }
                let got = if status == 200 {
                    let s: JobStatus =
                        from_cbor(&body).map_err(|e| format!("a poll's answer: {e}"))?;
                    self.told(&job, &s.status)?;
                    s.status
                } else {
                    status.to_string()
                };
                let live = matches!(got.as_str(), "pending" | "running");
                if got != wanted && !(live && wanted == "live") {
                    return Err(format!(
                        "line {line}: perch-{node} says {got} of {job}, not {wanted}"
                    ));
                }
                self.met += 1;
            }
            Asker::Raw {
                wanted,
                line,
                method,
                path,
                body: request,
                sent,
            } => {
                self.raw_answer(&method, &path, &request, sent, status, &body)?;
                if status != wanted {
                    return Err(format!("line {line}: got {status}, not {wanted}"));
                }
                self.met += 1;
            }
            Asker::Copy { first } => {
                let orders = from_cbor::<CheckinAnswer>(&body).map_or(Vec::new(), |a| a.orders);
                // A new leader cannot know that the first report it gets is a copy, and what it answers
                // reaches nobody; but it may not launch before it knows that the machine hears it.
                let some = |o: &Order| !first || o.verb == "launch";
                if status == 200 && orders.iter().any(some) {
                    return Err("the late copy of a report is answered with commands".into());
                }
            }
            Asker::Worker { machine, flight } => {
                let launches = |a: CheckinAnswer| a.orders.iter().any(|o| o.verb == "launch");
                if self.slow_launch.contains_key(&machine)
                    && from_cbor::<CheckinAnswer>(&body).is_ok_and(launches)
                {
                    let late = self.slow_launch.remove(&machine).unwrap_or(0);
                    let ev = Ev::Answered(Asker::Worker { machine, flight }, node, status, body);
                    self.push(self.now + late, ev);
                    return Ok(());
                }
                if let Some(at) = self.arrival(node, "workers", MS) {
                    let slow = self.link_delay("workers");
                    if at > self.now + slow + S {
                        return Ok(()); // the worker drops it
                    }
                    if slow > 0 {
                        let ev = Ev::WorkerAnswer(machine, flight, node, status, body);
                        self.push(at, ev);
                        return Ok(());
                    }
                    return self.worker_answer(&machine, flight, node, status, &body);
                }
            }
            Asker::Peer(caller) => {
                let mut body = body;
                if status == 200 {
                    production::check_peer_answer(&body)?;
                    body = self.forge(body);
                    if self.old.contains(&node) || self.old.contains(&caller.node) {
                        body = production::known_of_peer_answer(&body).unwrap_or(body);
                    }
                }
                if self.arrival(node, "peers", MS).is_some() {
                    self.reply(caller, "peers", MS, status, body);
                }
            }
        }
        Ok(())
    }

    // ---- workers ----

    fn worker_answer(
        &mut self,
        name: &str,
        flight: u64,
        node: usize,
        status: u16,
        body: &[u8],
    ) -> Result<(), String> {
        let now = self.now;
        let nodes = self.slots.len();
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        let Some((id, sent, tenure)) = m.in_flight else {
            return Ok(());
        };
        if id != flight || m.gone || tenure != m.tenure {
            return Ok(());
        }
        if self.lose_answer.remove(name) || now < m.deaf_until.max(m.cut_until) {
            return Ok(());
        }
        m.in_flight = None;
        if now < m.hangs_until {
            return Ok(());
        }
        match status {
            200 => {
                let answer: CheckinAnswer =
                    from_cbor(body).map_err(|e| format!("a check-in's answer: {e}"))?;
                if answer.warrant < m.warrant {
                    return Ok(());
                }
                m.warrant = answer.warrant;
                m.lease_from = sent;
                let came = m.carry_out(now, &answer.orders, &self.facts);
                self.came(name, &came)
            }
            421 => {
                let steward = from_cbor::<Redirect>(body).ok().and_then(|r| r.steward);
                let to = steward
                    .and_then(|s| s.strip_prefix("perch-").and_then(|n| n.parse().ok()))
                    .filter(|n| *n != node && *n < nodes);
                match to {
                    Some(n) => {
                        m.node = n;
                        m.next_report = now + 100 * MS;
                    }
                    None => {
                        m.node = (node + 1) % nodes;
                        m.next_report = now + S;
                    }
                }
                Ok(())
            }
            _ => {
                m.node = (node + 1) % nodes;
                m.next_report = now + S;
                Ok(())
            }
        }
    }

    /// Tasks came onto a machine: checks the rules of starting.
    fn came(&mut self, name: &str, shards: &[String]) -> Result<(), String> {
        let Some(here) = self.machines.get(name) else {
            return Ok(());
        };
        for shard in shards {
            let Some((job, _)) = shard.rsplit_once('/') else {
                continue;
            };
            let live = |m: &&Machine| !m.gone;
            for m in self.machines.values().filter(live) {
                if m.name != name && m.live().any(|t| t.shard == *shard) {
                    return Err(format!("ran_twice: {shard} on {} and {name}", m.name));
                }
            }
            let Some(seen) = self.jobs.get_mut(job) else {
                return Err(format!("{shard} of an unknown job"));
            };
            seen.starts += 1;
            seen.last_start = self.now;
            if seen.cancelled_at.is_some() {
                self.checks.late_starts += 1;
            }
            seen.began.get_or_insert(self.now);
            let spec = &seen.spec;
            if seen
                .cancelled_at
                .is_some_and(|at| self.now > at + self.settings.cancel)
            {
                return Err(format!("ran_cancelled: {shard} starts"));
            }
            let allowed = spec
                .builds
                .as_ref()
                .is_none_or(|b| b.contains(&here.machine_type))
                && spec.yard.as_ref().is_none_or(|y| *y == here.zone)
                && (spec.loaner || !here.spot);
            if !allowed {
                return Err(format!("wrong_place: {shard} on {name}"));
            }
            let prefix = format!("{job}/");
            let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
            for m in self.machines.values().filter(live) {
                let n = m.live().filter(|t| t.shard.starts_with(&prefix)).count();
                if n > 0 {
                    *zones.entry(&m.zone).or_insert(0) += n as u64;
                }
            }
            if spec.one_zone && zones.len() > 1 {
                return Err(format!("wrong_place: {job} in several zones"));
            }
            if spec.spread && zones.values().any(|n| *n > spec.shards.div_ceil(2)) {
                return Err(format!("wrong_place: {job} is not spread"));
            }
        }
        self.check_quota()
    }

    fn direct(&mut self, caller: Caller, address: &str, body: &[u8]) -> Result<(), String> {
        let now = self.now;
        let name = address.trim_start_matches("worker:").to_string();
        let Some(m) = self.machines.get_mut(&name) else {
            return Ok(());
        };
        if m.gone || !m.up || now < m.deaf_until.max(m.cut_until) {
            return Ok(());
        }
        if self.lose_direct(caller, &name, body) {
            return Ok(());
        }
        let Some(m) = self.machines.get_mut(&name) else {
            return Ok(());
        };
        if now < m.hangs_until {
            // Carried out when the machine resumes.
            let at = m.hangs_until + MS;
            self.push(at, Ev::Worker(caller, address.into(), body.to_vec()));
            return Ok(());
        }
        let Ok(orders) = from_cbor::<DirectOrders>(body) else {
            return Ok(());
        };
        let (status, came) = if orders.warrant < m.warrant || orders.tenure != m.tenure {
            (409, Vec::new())
        } else {
            m.warrant = orders.warrant;
            (200, m.carry_out(now, &orders.orders, &self.facts))
        };
        let report = to_cbor(&m.report(now));
        self.reply(caller, "workers", 2 * MS, status, report);
        self.came(&name, &came)
    }

    fn tick(&mut self) -> Result<(), String> {
        let now = self.now;
        self.state.expire(now);
        for (ticket, body) in self.state.ready(now) {
            if let Some(caller) = self.state_tickets.remove(&ticket) {
                // The open watches of a node that is refused wait, as in an outage.
                let refused = self.refused.iter().filter(|(n, _)| *n == caller.node);
                let until = refused.map(|(_, until)| *until).max().unwrap_or(0);
                let wait = until.saturating_sub(now);
                self.reply(caller, "state", wait + 2 * MS, 200, body);
            }
        }
        for n in 0..self.slots.len() {
            let process = self.slots[n].process;
            let due = self.slots[n]
                .node
                .as_ref()
                .is_some_and(|node| node.next_wake() <= now)
                && self.slots[n].frozen_until <= now;
            if due {
                self.step(n, process, Input::Tick);
            }
        }
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            self.tick_machine(&name)?;
        }
        if now >= self.next_ask {
            self.next_ask = now + ASK_EVERY;
            self.ask_about_all()?;
        }
        self.check_moment()
    }

    fn tick_machine(&mut self, name: &str) -> Result<(), String> {
        let now = self.now;
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if !m.up && !m.gone && m.up_at.is_some_and(|at| at <= now) {
            m.up = true;
            m.lease_from = now;
            m.next_report = now;
        }
        if m.recall_at.is_some_and(|at| at <= now) {
            m.gone = true;
        }
        if !m.up || m.gone {
            return Ok(());
        }
        let (done, changed) = m.advance(now, self.settings.lease, &self.facts);
        for shard in done {
            if let Some((job, _)) = shard.rsplit_once('/') {
                if let Some(seen) = self.jobs.get_mut(job) {
                    seen.completed.insert(shard.clone());
                }
                self.job_ends(job);
            }
        }
        let Some(m) = self.machines.get_mut(name) else {
            return Ok(());
        };
        if now < m.hangs_until {
            return Ok(());
        }
        // A higher token counts as a change once in half a lease.
        let rested = m
            .token_told
            .is_none_or(|at| now >= at + self.settings.lease / 2);
        if m.told_warrant < m.warrant && rested && m.in_flight.is_none() {
            m.token_told = Some(now);
            m.told_warrant = m.warrant;
            m.next_report = m.next_report.min((m.last_report + S / 2).max(now));
        }
        if changed {
            m.next_report = m.next_report.min((m.last_report + S / 2).max(now));
        }
        if let Some((_, sent, _)) = m.in_flight {
            if now < sent + 4 * S {
                return Ok(());
            }
            m.in_flight = None;
            m.node = (m.node + 1) % self.slots.len();
            m.next_report = now + S;
        }
        if now < m.next_report {
            return Ok(());
        }
        if now < m.mute_until {
            m.node = (m.node + 1) % self.slots.len();
            m.next_report = now + S;
            return Ok(());
        }
        self.seq += 1;
        let flight = self.seq;
        m.in_flight = Some((flight, now, m.tenure));
        m.last_report = now;
        m.next_report = now + self.settings.report;
        m.told_warrant = m.warrant;
        let body = to_cbor(&m.report(now));
        let (node, cut_until) = (m.node, m.cut_until);
        let asker = Asker::Worker {
            machine: name.into(),
            flight,
        };
        let ev = |body| Ev::Request {
            node,
            door: Door::Front,
            method: "POST".into(),
            path: "/checkin".into(),
            body,
            asker: asker.clone(),
        };
        if let Some(late) = self.late_report.remove(name) {
            let copy = ev(body.clone());
            self.push(now + late, copy);
        }
        self.copy_report(name, &body);
        if now < cut_until {
            return Ok(());
        }
        let slow = self.overtake_report.remove(name);
        if let Some(late) = slow {
            let tally = self.machine_mut(name)?.tally;
            self.push(now + late, Ev::Overtaken(name.into(), tally));
        }
        if let Some(at) = self.arrival(node, "workers", MS + slow.unwrap_or(0)) {
            let ev = ev(body);
            self.push(at, ev);
        }
        Ok(())
    }

    // ---- the cloud ----

    fn cloud_request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let error = |text: &str| to_cbor(&BTreeMap::from([("error", text)]));
        if self.cloud_down {
            return (503, error("trouble"));
        }
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/machine_types") => {
                let builds = self.types.clone();
                (200, to_cbor(&grebewood_wire::http::Catalogue { builds }))
            }
            ("GET", "/rentals") => {
                let lag = 3 * S;
                let perches = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && self.now >= m.requested + lag.min(m.requested))
                    .map(|m| ListedMachine {
                        uid: m.name.clone(),
                        endpoint: Some(format!("worker:{}", m.name)),
                        build: m.machine_type.clone(),
                        yard: m.zone.clone(),
                        loaner: m.spot,
                        status: if m.up { "running" } else { "starting" }.into(),
                        held_s: (self.now - m.requested) as f64 / 1e6,
                    })
                    .collect();
                let list = MachineList {
                    perches,
                    more: false,
                };
                (200, to_cbor(&list))
            }
            ("POST", "/rentals/release") => {
                let names = from_cbor::<Perches>(body).map(|p| p.perches);
                for name in names.unwrap_or_default() {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.gone = true;
                    }
                }
                (200, to_cbor(&BTreeMap::<String, u64>::new()))
            }
            ("POST", "/rentals") => {
                let Ok(r) = from_cbor::<RentalRequest>(body) else {
                    return (400, error("malformed"));
                };
                if let Some(known) = self.hires.get(&r.hire) {
                    let perches = known.clone();
                    return (200, to_cbor(&Perches { perches }));
                }
                let most = self
                    .capacity
                    .get(&(r.build.clone(), r.loaner))
                    .copied()
                    .unwrap_or(0);
                let used = self
                    .machines
                    .values()
                    .filter(|m| !m.gone && m.machine_type == r.build && m.spot == r.loaner)
                    .count() as u64;
                let n = r.number.min(most.saturating_sub(used));
                if n == 0 {
                    return (503, error("no capacity"));
                }
                let perches: Vec<String> = (0..n)
                    .map(|_| self.rent(&r.build, &r.yard, r.loaner))
                    .collect();
                self.hires.insert(r.hire, perches.clone());
                (200, to_cbor(&Perches { perches }))
            }
            _ => (404, Vec::new()),
        }
    }

    // ---- the script ----

    fn node_named(&self, word: &str) -> Result<usize, String> {
        if word == "leader" {
            return (0..self.slots.len())
                .find(|n| self.leads(*n))
                .ok_or("nobody leads".into());
        }
        let n = word.trim_start_matches("perch-").parse::<usize>();
        n.ok()
            .filter(|n| *n < self.slots.len())
            .ok_or(format!("{word}: no such node"))
    }

    fn machine_mut(&mut self, name: &str) -> Result<&mut Machine, String> {
        self.machines
            .get_mut(name)
            .ok_or(format!("{name}: no such machine"))
    }

    fn script(&mut self, line: Line) -> Result<(), String> {
        let now = self.now;
        if self.trouble(&line)? || self.check_line(&line)? {
            return Ok(());
        }
        match line.word(0)? {
            "submit" => {
                let job = line.word(1)?.to_string();
                if !self.jobs.contains_key(&job) {
                    self.add_job(&job, &line)?;
                }
                let node = self.node_asked(&line)?;
                self.submit(&job, node);
            }
            "cancel" => {
                let node = self.node_asked(&line)?;
                self.cancel(line.word(1)?, node);
            }
            "expect" => {
                let (job, status) = (line.word(1)?.to_string(), line.word(2)?.to_string());
                for n in self.up_nodes() {
                    self.expected += 1;
                    let asker = Asker::Expect(job.clone(), status.clone(), line.number, now);
                    self.ask(n, "GET", format!("/submissions/{job}"), Vec::new(), asker);
                }
            }
            "request" => {
                let status = line.word(3)?.parse().map_err(|_| "no status".to_string())?;
                let body = match line.words.get(4) {
                    None => Vec::new(),
                    Some(hex) => unhex(hex)?,
                };
                for n in self.up_nodes() {
                    self.expected += 1;
                    let (method, path) = (line.word(1)?.to_string(), line.word(2)?.to_string());
                    let asker = Asker::Raw {
                        wanted: status,
                        line: line.number,
                        method: method.clone(),
                        path: path.clone(),
                        body: body.clone(),
                        sent: now,
                    };
                    self.ask(n, &method, path, body.clone(), asker);
                }
            }
            "starts" => {
                let got = self.jobs.get(line.word(1)?).map_or(0, |j| j.starts);
                let wanted: u64 = line.word(2)?.parse().map_err(|_| "no number".to_string())?;
                if got != wanted {
                    return Err(format!("{got} starts, not {wanted}"));
                }
            }
            "begun" => {
                if self.jobs.get(line.word(1)?).is_none_or(|j| j.starts == 0) {
                    return Err("it has not begun".into());
                }
            }
            "leaders" => {
                let got = (0..self.slots.len()).filter(|n| self.leads(*n)).count();
                if got.to_string() != line.word(1)? {
                    return Err(format!("{got} nodes lead"));
                }
            }
            "machines" => {
                let got = self.machines.values().filter(|m| !m.gone).count();
                if got.to_string() != line.word(1)? {
                    return Err(format!("{got} machines are rented"));
                }
            }
            "upgrade" => {
                let n = self.node_named(line.word(1)?)?;
                self.old.remove(&n);
                let crash = Line {
                    words: vec!["crash".into(), n.to_string()],
                    ..line
                };
                return self.script(crash);
            }
            "limits" => {
                let limits =
                    limits_of(&line, "", self.state.limits.unwrap_or(self.settings.state))?;
                self.push(now, Ev::Limits(limits));
            }
            "busy" => self.state.busy_until = now + line.time("for", 10.0)?,
            "largest" => {
                let (size, key) = self.state.largest();
                let most = (line.number("most", 2.0)? * 1024.0) as usize;
                if size > most {
                    return Err(format!("{key} has {size} bytes"));
                }
            }
            "refused" => {
                let most = line.number("most", 0.0)? as u64;
                if self.state.refused > most {
                    return Err(format!("{} requests were malformed", self.state.refused));
                }
            }
            "halves" => self.check_halves()?,
            "serving" => {
                let prefix = format!("{}/", line.word(1)?);
                let machines = self.machines.values().filter(|m| !m.gone && m.up);
                let zone = line.options.get("zone");
                let got = machines
                    .filter(|m| zone.is_none_or(|z| *z == m.zone))
                    .flat_map(|m| m.live())
                    .filter(|t| t.status == "running" && t.shard.starts_with(&prefix))
                    .count();
                if got.to_string() != line.word(2)? {
                    return Err(format!("{got} replicas are served"));
                }
            }
            "crash" => {
                let nodes = match line.word(1)? {
                    "all" => (0..self.slots.len()).collect(),
                    word => vec![self.node_named(word)?],
                };
                for n in nodes {
                    self.slots[n].node = None;
                    self.slots[n].process = 0;
                    let lost: Vec<_> = self
                        .requests
                        .keys()
                        .filter(|(node, _)| *node == n)
                        .cloned()
                        .collect();
                    for key in lost {
                        if let Some(asker) = self.requests.remove(&key) {
                            self.push(now + MS, Ev::Answered(asker, n, 0, Vec::new()));
                        }
                    }
                    let back = now + line.time("for", 4.0)?;
                    self.slots[n].down_until = back;
                    self.push(back, Ev::Start(n));
                }
            }
            "cut" => {
                let cut = Cut {
                    node: self.node_named(line.word(1)?)?,
                    what: line.word(2)?.into(),
                    until: now + line.time("for", 10.0)?,
                    hold: line.yes("hold", false),
                };
                self.cuts.push(cut);
            }
            "freeze" => {
                let n = self.node_named(line.word(1)?)?;
                self.slots[n].unsure = true;
                self.slots[n].renewals.clear();
                self.slots[n].frozen_until = now + line.time("for", 30.0)?;
            }
            "refuse" => {
                let n = self.node_named(line.word(1)?)?;
                self.refused.push((n, now + line.time("for", 10.0)?));
            }
            "state" => {
                self.state.down = true;
                self.push(now + line.time("for", 10.0)?, Ev::StateUp);
            }
            "cloud" => {
                self.cloud_down = true;
                self.push(now + line.time("for", 10.0)?, Ev::CloudUp);
            }
            "trap" => self.trap_page_write = true,
            "late" => {
                let name = line.word(2)?.to_string();
                self.late_report.insert(name, line.time("for", 10.0)?);
            }
            "slow" => {
                let late = line.time("for", 1.5)?;
                self.slow_launch.insert(line.word(2)?.into(), late);
            }
            "overtake" => {
                let late = line.time("for", 1.0)?;
                self.overtake_report.insert(line.word(2)?.into(), late);
            }
            "lose" => {
                self.lose_answer.insert(line.word(2)?.into());
            }
            "restart" => {
                // A new session is a change, which is reported at once.
                let m = self.machine_mut(line.word(1)?)?;
                m.new_session(now);
                m.next_report = m.next_report.min(now + S / 2);
            }
            "rented" => {
                let there = self.machines.get(line.word(1)?).is_some_and(|m| !m.gone);
                if there != (line.word(2)? == "yes") {
                    return Err(format!("that it is rented is {there}"));
                }
            }
            "faulty" => self.machine_mut(line.word(1)?)?.faulty = true,
            "kill" => self.machine_mut(line.word(1)?)?.gone = true,
            "recall" => {
                let at = now + line.time("in", 10.0)?;
                self.machine_mut(line.word(1)?)?.recall_at = Some(at);
            }
            "boots" => match line.word(1)?.parse::<f64>() {
                Ok(s) => {
                    self.boots_never = false;
                    self.boot = (s * 1e6) as Micros;
                }
                Err(_) => self.boots_never = true,
            },
            "corrupt" => {
                if !self.state.corrupt(line.word(1)?) {
                    return Err("no such record".into());
                }
            }
            "record" => {
                let there = self.state.has(line.word(1)?);
                if there != (line.word(2)? == "yes") {
                    return Err(format!("the record's presence is {there}"));
                }
            }
            other => return Err(format!("{other}: unknown")),
        }
        Ok(())
    }

    fn add_job(&mut self, job: &str, line: &Line) -> Result<(), String> {
        let run = line.number("run", 5.0)?;
        let precedence = match line.text("prec", "normal").as_str() {
            "idle" => Precedence::Idle,
            "high" => Precedence::High,
            "prod" => Precedence::Prod,
            _ => Precedence::Normal,
        };
        let saves = line.yes("saves", false);
        let spec = Submission {
            uid: job.into(),
            workclass: line.text("class", "work"),
            owner: line.text("owner", "t"),
            shape: line.text("shape", "batch"),
            precedence,
            shards: line.number("tasks", 1.0)? as u64,
            vcpus: line.number("cpus", 2.0)?,
            accelerators: line.number("gpus", 0.0)?,
            memory_gb: line.number("mem", 1.0)?,
            bundle: "img".into(),
            pull_gb: 0.5,
            builds: line.options.get("type").map(|t| vec![t.clone()]),
            yard: line.options.get("zone").cloned(),
            one_zone: line.yes("one_zone", false),
            spread: line.yes("spread", false),
            loaner: line.yes("spot", true),
            expected_s: line.number("expected", run)?,
            savepoint_s: if saves { 10.0 } else { 0.0 },
            flush_s: line.number("flush", 2.0)?,
            due_s: match line.options.contains_key("due") {
                true => Some(line.number("due", 0.0)?),
                false => None,
            },
        };
        let facts = JobFacts {
            cpus: spec.vcpus,
            run: (run * 1e6) as Micros,
            flush: (spec.flush_s * 1e6) as Micros,
            saves,
            fails: line.yes("fails", false),
        };
        self.facts.insert(job.into(), facts);
        let seen = JobSeen {
            spec,
            accepted: false,
            cancelled_at: None,
            cancel_asked: None,
            known_at: None,
            done: false,
            completed: BTreeSet::new(),
            starts: 0,
            last_start: 0,
            submitted: self.now,
            began: None,
            answered: self.now,
            completed_at: None,
        };
        self.jobs.insert(job.into(), seen);
        Ok(())
    }
}
