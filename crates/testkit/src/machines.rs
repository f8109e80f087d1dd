//! Stand-ins for the cloud's machines and their agents.

use grebewood_wire::http::{Command, ExitCause, Heartbeat, MachineType, ReportedTask};
use std::collections::BTreeMap;

type Micros = u64;

/// A task on an agent.
#[derive(Clone, Debug)]
pub struct Task {
    pub task_name: String,
    pub attempt: u64,
    pub status: &'static str,
    pub cause: Option<&'static str>,
    pub checkpointed: bool,
    /// When its present state ends.
    pub ends: Micros,
    pub cpus: f64,
}

/// What an agent knows of a job, since it fetches the description on its own.
#[derive(Clone, Debug)]
pub struct JobFacts {
    pub cpus: f64,
    pub run: Micros,
    pub flush: Micros,
    pub saves: bool,
    pub fails: bool,
}

/// A machine with its agent.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub requested: Micros,
    /// When it is up; never for a boot that fails.
    pub boots_at: Option<Micros>,
    pub up: bool,
    pub gone: bool,
    pub hangs_until: Micros,
    /// Until then its heartbeats arrive, but answers and commands do not reach it.
    pub deaf_until: Micros,
    /// Until then nothing reaches it or comes from it, while its tasks go on.
    pub unplugged_until: Micros,
    /// Until then it reaches no controller, while direct commands reach it.
    pub mute_until: Micros,
    pub faulty: bool,
    pub reclaim_at: Option<Micros>,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    /// When the last answered heartbeat was sent, or the incarnation began.
    pub lease_start: Micros,
    pub tasks: Vec<Task>,
    /// The controller it heartbeats to.
    pub controller: usize,
    /// The heartbeat in flight: when it was sent, and its incarnation.
    pub in_flight: Option<(u64, Micros, u64)>,
    pub next_heartbeat: Micros,
    pub last_contact_at: Micros,
    pub reported_token: u64,
    /// When a higher token last made it heartbeat at once.
    pub token_reported_at: Option<Micros>,
}

impl Machine {
    /// A machine that has yet to come up.
    pub fn new(name: &str, machine_type: &MachineType, zone: &str) -> Machine {
        Machine {
            name: name.into(),
            machine_type: machine_type.name.clone(),
            zone: zone.into(),
            spot: false,
            cpus: machine_type.cpus,
            requested: 0,
            boots_at: None,
            up: false,
            gone: false,
            hangs_until: 0,
            deaf_until: 0,
            unplugged_until: 0,
            mute_until: 0,
            faulty: false,
            reclaim_at: None,
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease_start: 0,
            tasks: Vec::new(),
            controller: 0,
            in_flight: None,
            next_heartbeat: 0,
            last_contact_at: 0,
            reported_token: 0,
            token_reported_at: None,
        }
    }

    pub fn report(&mut self, now: Micros) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: format!("worker:{}", self.name),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_s: self
                .reclaim_at
                .map(|at| at.saturating_sub(now) as f64 / 1e6),
            tasks: self
                .tasks
                .iter()
                .map(|t| ReportedTask {
                    task_name: t.task_name.clone(),
                    attempt: t.attempt,
                    status: t.status.into(),
                    cause: t.cause.map(ExitCause::from),
                    checkpointed: t.cause.is_some().then_some(t.checkpointed),
                })
                .collect(),
        }
    }

    /// Carries out commands. The result names the tasks that came onto the machine.
    pub fn carry_out(
        &mut self,
        now: Micros,
        commands: &[Command],
        jobs: &BTreeMap<String, JobFacts>,
    ) -> Vec<String> {
        let mut started = Vec::new();
        for o in commands {
            match o.verb.as_str() {
                "launch" => {
                    if self
                        .tasks
                        .iter()
                        .any(|t| t.task_name == o.task_name && t.attempt == o.attempt)
                    {
                        continue;
                    }
                    let job = o.task_name.rsplit_once('/').and_then(|(j, _)| jobs.get(j));
                    let used: f64 = self.live().map(|t| t.cpus).sum();
                    let busy = self.live().any(|t| t.task_name == o.task_name);
                    let refused = match job {
                        None => Some("unknown"),
                        Some(_) if busy => Some("busy"),
                        Some(j) if used + j.cpus > self.cpus + 1e-6 => Some("no_room"),
                        Some(_) => None,
                    };
                    let mut task = Task {
                        task_name: o.task_name.clone(),
                        attempt: o.attempt,
                        status: "fetching",
                        cause: None,
                        checkpointed: false,
                        ends: now + 500_000,
                        cpus: job.map_or(0.0, |j| j.cpus),
                    };
                    if refused.is_some() {
                        task.status = "exited";
                        task.cause = refused;
                    } else {
                        started.push(o.task_name.clone());
                    }
                    self.tasks.push(task);
                }
                "stop" => {
                    let grace = (o.grace_s.unwrap_or(0.0) * 1e6) as Micros;
                    let job = o.task_name.rsplit_once('/').and_then(|(j, _)| jobs.get(j));
                    for t in self
                        .tasks
                        .iter_mut()
                        .filter(|t| t.task_name == o.task_name && t.attempt == o.attempt)
                    {
                        let saves = job.is_some_and(|j| j.saves && grace >= j.flush);
                        match t.status {
                            "exited" => {}
                            "running" if saves => {
                                t.status = "saving";
                                t.ends = now + job.map_or(0, |j| j.flush);
                            }
                            "saving" if grace > 0 => {}
                            _ => {
                                t.status = "exited";
                                t.cause = Some("stopped");
                            }
                        }
                    }
                }
                "reap" => self.tasks.retain(|t| {
                    t.task_name != o.task_name || t.attempt != o.attempt || t.status != "exited"
                }),
                _ => {}
            }
        }
        started
    }

    /// Tasks that are on the machine.
    pub fn live(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(|t| t.status != "exited")
    }

    /// Its tasks are killed and forgotten.
    pub fn restart_agent(&mut self, now: Micros) {
        self.tasks.clear();
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_start = now;
        self.in_flight = None;
    }

    /// Lets time pass for the tasks. Returns the tasks that completed, and whether anything
    /// changed.
    pub fn advance(
        &mut self,
        now: Micros,
        lease: Micros,
        jobs: &BTreeMap<String, JobFacts>,
    ) -> (Vec<String>, bool) {
        let mut done = Vec::new();
        let mut changed = false;
        if !self.up || self.gone || now < self.hangs_until {
            return (done, changed);
        }
        if now > self.lease_start + lease {
            self.restart_agent(now);
            changed = true;
        }
        let faulty = self.faulty;
        for t in &mut self.tasks {
            if t.status == "exited" || now < t.ends {
                continue;
            }
            changed = true;
            let job = t.task_name.rsplit_once('/').and_then(|(j, _)| jobs.get(j));
            match t.status {
                "fetching" => {
                    t.status = "running";
                    t.ends = now + job.map_or(0, |j| j.run);
                }
                "saving" => {
                    t.status = "exited";
                    t.cause = Some("stopped");
                    t.checkpointed = true;
                }
                _ => {
                    t.status = "exited";
                    if faulty || job.is_some_and(|j| j.fails) {
                        t.cause = Some("error");
                    } else {
                        t.cause = Some("done");
                        done.push(t.task_name.clone());
                    }
                }
            }
        }
        (done, changed)
    }
}
