//! Stand-ins for the cloud's machines and their agents.

use crate::time::{from_seconds, Micros, MILLISECOND};
use grebewood_wire::http::{Command, ExitCause, Heartbeat, MachineType, ReportedTask};
use std::collections::BTreeMap;

/// How long an agent fetches the image of a task.
const FETCH_TIME: Micros = 500 * MILLISECOND;
/// Sums of CPUs that differ by less are the same.
const SLACK: f64 = 1e-6;

/// The state of a task on an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// Its image is fetched.
    Fetching,
    /// It runs.
    Running,
    /// It writes a checkpoint before it stops.
    Checkpointing,
    /// It has ended, and its exit is yet to be acknowledged.
    Exited,
}

impl TaskStatus {
    /// All of them.
    pub const ALL: [TaskStatus; 4] = [
        TaskStatus::Fetching,
        TaskStatus::Running,
        TaskStatus::Checkpointing,
        TaskStatus::Exited,
    ];

    /// The word for it in heartbeats.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskStatus::Fetching => "fetching",
            TaskStatus::Running => "running",
            TaskStatus::Checkpointing => "saving",
            TaskStatus::Exited => "exited",
        }
    }
}

/// A task on an agent.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its job and its number, `JOB/N`.
    pub task_name: String,
    /// The number of the attempt, which is part of a task's identity.
    pub attempt: u64,
    /// Its present state.
    pub status: TaskStatus,
    /// Why it has ended, in the word for it in heartbeats.
    pub cause: Option<&'static str>,
    /// It has written a checkpoint before it ended.
    pub checkpointed: bool,
    /// When its present state ends.
    pub state_ends_at: Micros,
    /// The CPUs that it takes.
    pub cpus: f64,
}

impl Task {
    /// Whether this is the attempt that a command is about.
    fn is_target_of(&self, command: &Command) -> bool {
        self.task_name == command.task_name && self.attempt == command.attempt
    }

    fn exit(&mut self, cause: &'static str) {
        self.status = TaskStatus::Exited;
        self.cause = Some(cause);
    }
}

/// What an agent knows of a job, since it fetches the description on its own.
#[derive(Clone, Debug)]
pub struct JobFacts {
    /// The CPUs that each task takes.
    pub cpus: f64,
    /// How long a task runs, in microseconds.
    pub run_time: Micros,
    /// How long a task takes to write a checkpoint, in microseconds.
    pub checkpoint_time: Micros,
    /// Its tasks write checkpoints.
    pub writes_checkpoints: bool,
    /// Its tasks fail on every machine.
    pub always_fails: bool,
}

/// A heartbeat whose response an agent waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightHeartbeat {
    /// Its number.
    pub id: u64,
    /// When it was sent.
    pub sent_at: Micros,
    /// The incarnation of the agent that sent it.
    pub incarnation: u64,
}

/// A machine with its agent. Times are simulated ones, in microseconds.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name, which is its id in the cloud, too.
    pub name: String,
    /// The name of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// Its CPUs.
    pub cpus: f64,
    /// When it was provisioned.
    pub provisioned_at: Micros,
    /// When it is up; never for a boot that fails.
    pub boots_at: Option<Micros>,
    /// It has come up.
    pub is_up: bool,
    /// It was terminated, reclaimed or lost.
    pub is_gone: bool,
    /// Until then neither its agent nor its tasks do anything.
    pub hangs_until: Micros,
    /// Until then its heartbeats arrive, but responses and commands do not reach it.
    pub deaf_until: Micros,
    /// Until then nothing reaches it or comes from it, while its tasks go on.
    pub unplugged_until: Micros,
    /// Until then it reaches no controller, while direct commands reach it.
    pub mute_until: Micros,
    /// Tasks fail on it.
    pub is_faulty: bool,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Micros>,
    /// The incarnation of its agent.
    pub incarnation: u64,
    /// The number of the last heartbeat of this incarnation.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub token: u64,
    /// When the last answered heartbeat was sent, or the incarnation began.
    pub lease_start: Micros,
    /// The tasks on it, with those that have ended and are not acknowledged.
    pub tasks: Vec<Task>,
    /// The index of the controller to which its agent sends heartbeats.
    pub controller: usize,
    /// The heartbeat whose response its agent waits for.
    pub in_flight: Option<InFlightHeartbeat>,
    /// When its agent sends the next heartbeat.
    pub next_heartbeat: Micros,
    /// When its agent sent the last heartbeat.
    pub last_contact_at: Micros,
    /// The highest token that its agent has reported.
    pub reported_token: u64,
    /// When a higher token last made it send a heartbeat at once.
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
            provisioned_at: 0,
            boots_at: None,
            is_up: false,
            is_gone: false,
            hangs_until: 0,
            deaf_until: 0,
            unplugged_until: 0,
            mute_until: 0,
            is_faulty: false,
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

    /// Whether responses and direct commands reach its agent.
    pub fn can_receive(&self, now: Micros) -> bool {
        now >= self.deaf_until.max(self.unplugged_until)
    }

    /// Whether its agent runs, and is connected both ways.
    pub fn is_reachable(&self, now: Micros) -> bool {
        self.can_receive(now) && now >= self.hangs_until.max(self.mute_until)
    }

    /// Whether a task of this job is on it.
    pub fn holds_task_of(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        self.live_tasks()
            .any(|task| task.task_name.starts_with(&prefix))
    }

    /// It comes up, or is reclaimed, if it is time. The result is whether it is up.
    pub fn update_lifecycle(&mut self, now: Micros) -> bool {
        let boots = self.boots_at.is_some_and(|at| at <= now);
        if boots && !self.is_up && !self.is_gone {
            self.is_up = true;
            self.lease_start = now;
            self.next_heartbeat = now;
        }
        if self.reclaim_at.is_some_and(|at| at <= now) {
            self.is_gone = true;
        }
        self.is_up && !self.is_gone
    }

    /// Its agent sends the next heartbeat to the next one of so many controllers, at this time.
    pub fn try_next_controller(&mut self, at: Micros, controllers: usize) {
        self.controller = (self.controller + 1) % controllers;
        self.next_heartbeat = at;
    }

    /// The agent's next heartbeat.
    pub fn build_heartbeat(&mut self, now: Micros) -> Heartbeat {
        self.sequence += 1;
        let reclaimed_in = self.reclaim_at.map(|at| at.saturating_sub(now));
        Heartbeat {
            machine: self.name.clone(),
            address: format!("worker:{}", self.name),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_s: reclaimed_in.map(|span| span as f64 / 1e6),
            tasks: self.tasks.iter().map(reported).collect(),
        }
    }

    /// Carries out commands. The result names the tasks that came onto the machine.
    pub fn apply_commands(
        &mut self,
        now: Micros,
        commands: &[Command],
        jobs: &BTreeMap<String, JobFacts>,
    ) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            let job = job_facts(jobs, &command.task_name);
            match command.verb.as_str() {
                "launch" => started.extend(self.launch(now, command, job)),
                "stop" => self.stop(now, command, job),
                "reap" => self.tasks.retain(|task| {
                    !task.is_target_of(command) || task.status != TaskStatus::Exited
                }),
                _ => {}
            }
        }
        started
    }

    /// Launches a task, unless it is there already. The result is its name if it came onto the machine.
    fn launch(&mut self, now: Micros, command: &Command, job: Option<&JobFacts>) -> Option<String> {
        if self.tasks.iter().any(|task| task.is_target_of(command)) {
            return None;
        }
        let refused = self.launch_refusal(command, job);
        let mut task = Task {
            task_name: command.task_name.clone(),
            attempt: command.attempt,
            status: TaskStatus::Fetching,
            cause: None,
            checkpointed: false,
            state_ends_at: now + FETCH_TIME,
            cpus: job.map_or(0.0, |job| job.cpus),
        };
        if let Some(cause) = refused {
            task.exit(cause);
        }
        self.tasks.push(task);
        refused.is_none().then(|| command.task_name.clone())
    }

    /// Why a task cannot be launched.
    fn launch_refusal(&self, command: &Command, job: Option<&JobFacts>) -> Option<&'static str> {
        let Some(job) = job else {
            return Some("unknown");
        };
        if self
            .live_tasks()
            .any(|task| task.task_name == command.task_name)
        {
            return Some("busy");
        }
        let used: f64 = self.live_tasks().map(|task| task.cpus).sum();
        (used + job.cpus > self.cpus + SLACK).then_some("no_room")
    }

    /// Stops a task: with a checkpoint if its job writes any and the grace period is long enough.
    fn stop(&mut self, now: Micros, command: &Command, job: Option<&JobFacts>) {
        let grace = from_seconds(command.grace_s.unwrap_or(0.0));
        let checkpoint = job.filter(|job| job.writes_checkpoints && grace >= job.checkpoint_time);
        let tasks = self.tasks.iter_mut();
        for task in tasks.filter(|task| task.is_target_of(command)) {
            match (task.status, checkpoint) {
                (TaskStatus::Exited, _) => {}
                (TaskStatus::Running, Some(job)) => {
                    task.status = TaskStatus::Checkpointing;
                    task.state_ends_at = now + job.checkpoint_time;
                }
                (TaskStatus::Checkpointing, _) if grace > 0 => {}
                _ => task.exit("stopped"),
            }
        }
    }

    /// Tasks that are on the machine.
    pub fn live_tasks(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.iter();
        tasks.filter(|task| task.status != TaskStatus::Exited)
    }

    /// Its agent starts anew: the tasks are killed and forgotten.
    pub fn restart_agent(&mut self, now: Micros) {
        self.tasks.clear();
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_start = now;
        self.in_flight = None;
    }

    /// Lets time pass for the tasks, which end with the agent's lease. Returns the tasks that completed,
    /// and whether anything changed.
    pub fn advance(
        &mut self,
        now: Micros,
        lease: Micros,
        jobs: &BTreeMap<String, JobFacts>,
    ) -> (Vec<String>, bool) {
        let mut completed = Vec::new();
        let mut changed = false;
        if !self.is_up || self.is_gone || now < self.hangs_until {
            return (completed, changed);
        }
        if now > self.lease_start + lease {
            self.restart_agent(now);
            changed = true;
        }
        let faulty = self.is_faulty;
        let tasks = self.tasks.iter_mut();
        for task in
            tasks.filter(|task| task.status != TaskStatus::Exited && now >= task.state_ends_at)
        {
            changed = true;
            let job = job_facts(jobs, &task.task_name);
            match task.status {
                TaskStatus::Fetching => {
                    task.status = TaskStatus::Running;
                    task.state_ends_at = now + job.map_or(0, |job| job.run_time);
                }
                TaskStatus::Checkpointing => {
                    task.exit("stopped");
                    task.checkpointed = true;
                }
                _ if faulty || job.is_some_and(|job| job.always_fails) => task.exit("error"),
                _ => {
                    task.exit("done");
                    completed.push(task.task_name.clone());
                }
            }
        }
        (completed, changed)
    }
}

/// A task as heartbeats report it.
fn reported(task: &Task) -> ReportedTask {
    ReportedTask {
        task_name: task.task_name.clone(),
        attempt: task.attempt,
        status: task.status.as_str().into(),
        cause: task.cause.map(ExitCause::from),
        checkpointed: task.cause.is_some().then_some(task.checkpointed),
    }
}

/// What is known of the job of a task.
fn job_facts<'a>(jobs: &'a BTreeMap<String, JobFacts>, task_name: &str) -> Option<&'a JobFacts> {
    let (job, _) = task_name.rsplit_once('/')?;
    jobs.get(job)
}
