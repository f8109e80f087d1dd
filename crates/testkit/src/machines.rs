//! Simulated machines of the cloud and their agents.

use crate::time::{from_seconds, Micros, MILLISECOND};
use grebewood_wire::http::{Command, ExitCause, Heartbeat, MachineType, ReportedTask};
use std::collections::BTreeMap;

/// The time that an agent takes to fetch the image of a task.
const FETCH_TIME_US: Micros = 500 * MILLISECOND;
/// The tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// The state of a task on an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskStatus {
    /// The agent fetches the task's image.
    Fetching,
    /// The task runs.
    Running,
    /// The task writes a checkpoint before it stops.
    Checkpointing,
    /// The task has ended, and no controller has acknowledged its exit yet.
    Exited,
}

impl TaskStatus {
    /// All states.
    pub const ALL: [TaskStatus; 4] = [
        TaskStatus::Fetching,
        TaskStatus::Running,
        TaskStatus::Checkpointing,
        TaskStatus::Exited,
    ];

    /// Returns the name of the state in heartbeats.
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
    /// The job's id and the number of the task in its job, `JOB/N`.
    pub task_name: String,
    /// The number of the attempt, which identifies the task together with its name.
    pub attempt: u64,
    /// The current state.
    pub status: TaskStatus,
    /// The exit cause by its name in heartbeats, once the task has ended.
    pub cause: Option<&'static str>,
    /// Whether the task wrote a checkpoint before it ended.
    pub checkpointed: bool,
    /// When the current state ends.
    pub state_ends_at: Micros,
    /// The CPUs that the task uses.
    pub cpus: f64,
}

impl Task {
    /// Returns whether a command is for this attempt.
    fn is_target_of(&self, command: &Command) -> bool {
        self.task_name == command.task_name && self.attempt == command.attempt
    }

    fn exit(&mut self, cause: &'static str) {
        self.status = TaskStatus::Exited;
        self.cause = Some(cause);
    }
}

/// The properties of a job that a simulated agent needs to run its tasks.
#[derive(Clone, Debug)]
pub struct JobFacts {
    /// The CPUs that each task uses.
    pub cpus: f64,
    /// How long a task runs, in microseconds.
    pub run_time: Micros,
    /// How long a task takes to write a checkpoint, in microseconds.
    pub checkpoint_time: Micros,
    /// Whether the job's tasks write checkpoints when they are stopped.
    pub writes_checkpoints: bool,
    /// Whether the job's tasks fail on every machine.
    pub always_fails: bool,
}

/// A heartbeat that an agent has sent and that has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightHeartbeat {
    /// The id of the heartbeat.
    pub id: u64,
    /// When the heartbeat was sent.
    pub sent_at: Micros,
    /// The incarnation of the agent that sent it.
    pub incarnation: u64,
}

/// A machine with its agent. Times are in microseconds since the start of the scenario or of the loopback cluster.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The name of the machine, which is also its id in the cloud.
    pub name: String,
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// The CPUs of the machine.
    pub cpus: f64,
    /// When the machine was provisioned.
    pub provisioned_at: Micros,
    /// When the machine comes up; `None` if its boot fails.
    pub boots_at: Option<Micros>,
    /// Whether the machine has come up.
    pub is_up: bool,
    /// Whether the machine was terminated, reclaimed or lost.
    pub is_gone: bool,
    /// The end of a hang, during which neither the agent nor the tasks make progress.
    pub hangs_until: Micros,
    /// The end of a fault in which heartbeats reach controllers, but no response or command reaches the agent.
    pub inbound_dropped_until: Micros,
    /// The end of a fault in which no message passes in either direction, while the tasks continue.
    pub disconnected_until: Micros,
    /// The end of a fault in which the agent reaches no controller, while direct commands reach the agent.
    pub heartbeats_dropped_until: Micros,
    /// Whether the tasks on this machine fail.
    pub is_faulty: bool,
    /// When the cloud reclaims the machine.
    pub reclaim_at: Option<Micros>,
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The sequence number of the last heartbeat of this incarnation.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub token: u64,
    /// The start of the agent's lease: when the last heartbeat with a response was sent, or the incarnation began.
    pub lease_start: Micros,
    /// The tasks on the machine, with those that have ended and are not acknowledged.
    pub tasks: Vec<Task>,
    /// The index of the controller to which the agent sends heartbeats.
    pub controller: usize,
    /// The heartbeat whose response the agent waits for.
    pub in_flight: Option<InFlightHeartbeat>,
    /// When the agent sends the next heartbeat.
    pub next_heartbeat: Micros,
    /// When the agent sent the last heartbeat.
    pub last_contact_at: Micros,
    /// The highest fencing token that the agent has reported.
    pub reported_token: u64,
    /// When a higher fencing token last made the agent send a heartbeat early.
    pub token_reported_at: Option<Micros>,
}

impl Machine {
    /// Returns a machine that has not come up yet.
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
            inbound_dropped_until: 0,
            disconnected_until: 0,
            heartbeats_dropped_until: 0,
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

    /// Returns whether responses and direct commands reach the agent.
    pub fn can_receive(&self, now: Micros) -> bool {
        now >= self.inbound_dropped_until.max(self.disconnected_until)
    }

    /// Returns whether the agent runs and has a connection in both directions.
    pub fn is_reachable(&self, now: Micros) -> bool {
        self.can_receive(now) && now >= self.hangs_until.max(self.heartbeats_dropped_until)
    }

    /// Returns whether a task of this job is on the machine and has not exited.
    pub fn holds_task_of(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        self.live_tasks()
            .any(|task| task.task_name.starts_with(&prefix))
    }

    /// Boots or reclaims the machine if that is due. Returns whether the machine is up and not gone.
    pub fn update_lifecycle(&mut self, now: Micros) -> bool {
        let boot_is_due = self.boots_at.is_some_and(|at| at <= now);
        if boot_is_due && !self.is_up && !self.is_gone {
            self.is_up = true;
            self.lease_start = now;
            self.next_heartbeat = now;
        }
        if self.reclaim_at.is_some_and(|at| at <= now) {
            self.is_gone = true;
        }
        self.is_up && !self.is_gone
    }

    /// Schedules the next heartbeat for this time and directs it to the next controller.
    pub fn try_next_controller(&mut self, at: Micros, controller_count: usize) {
        self.controller = (self.controller + 1) % controller_count;
        self.next_heartbeat = at;
    }

    /// Builds the agent's next heartbeat and advances its sequence number.
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
            tasks: self.tasks.iter().map(reported_task).collect(),
        }
    }

    /// Applies commands. Returns the names of the tasks that were launched.
    pub fn apply_commands(
        &mut self,
        now: Micros,
        commands: &[Command],
        jobs: &BTreeMap<String, JobFacts>,
    ) -> Vec<String> {
        let mut launched = Vec::new();
        for command in commands {
            let job = job_facts(jobs, &command.task_name);
            match command.verb.as_str() {
                "launch" => launched.extend(self.launch(now, command, job)),
                "stop" => self.stop(now, command, job),
                "reap" => self.tasks.retain(|task| {
                    !task.is_target_of(command) || task.status != TaskStatus::Exited
                }),
                _ => {}
            }
        }
        launched
    }

    /// Launches a task, unless the agent has this attempt already. A task that the agent refuses is kept as
    /// exited, with the cause. Returns the task's name if it was launched.
    fn launch(&mut self, now: Micros, command: &Command, job: Option<&JobFacts>) -> Option<String> {
        if self.tasks.iter().any(|task| task.is_target_of(command)) {
            return None;
        }
        let refusal = self.launch_refusal(command, job);
        let mut task = Task {
            task_name: command.task_name.clone(),
            attempt: command.attempt,
            status: TaskStatus::Fetching,
            cause: None,
            checkpointed: false,
            state_ends_at: now + FETCH_TIME_US,
            cpus: job.map_or(0.0, |job| job.cpus),
        };
        if let Some(cause) = refusal {
            task.exit(cause);
        }
        self.tasks.push(task);
        refusal.is_none().then(|| command.task_name.clone())
    }

    /// Returns the exit cause for a task that cannot be launched: its job is unknown, another attempt of it is on
    /// the machine, or there are too few CPUs left.
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
        let used_cpus: f64 = self.live_tasks().map(|task| task.cpus).sum();
        (used_cpus + job.cpus > self.cpus + CPU_TOLERANCE).then_some("no_room")
    }

    /// Stops a task, with a checkpoint if the task runs, its job writes checkpoints and the grace period is long
    /// enough.
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

    /// Returns the tasks on the machine that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.iter();
        tasks.filter(|task| task.status != TaskStatus::Exited)
    }

    /// Restarts the agent with a new incarnation and without its tasks.
    pub fn restart_agent(&mut self, now: Micros) {
        self.tasks.clear();
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_start = now;
        self.in_flight = None;
    }

    /// Moves tasks on whose current state has ended, and restarts the agent, which ends its tasks, if its lease
    /// has expired. Returns the tasks that completed, and whether anything changed.
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

/// Returns the report of a task in a heartbeat.
fn reported_task(task: &Task) -> ReportedTask {
    ReportedTask {
        task_name: task.task_name.clone(),
        attempt: task.attempt,
        status: task.status.as_str().into(),
        cause: task.cause.map(ExitCause::from),
        checkpointed: task.cause.is_some().then_some(task.checkpointed),
    }
}

/// Returns the properties of a task's job, if the agent knows the job.
fn job_facts<'a>(jobs: &'a BTreeMap<String, JobFacts>, task_name: &str) -> Option<&'a JobFacts> {
    let (job, _) = task_name.rsplit_once('/')?;
    jobs.get(job)
}
