//! Stops tasks: stop commands, direct commands, and evictions from machines that will be reclaimed.

use crate::calls::SchedulerCall;
use crate::context::Context;
use crate::scheduler::agents::heartbeats::{grace, stop_command, MAX_COMMANDS};
use crate::scheduler::agents::Source;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit};
use crate::state::jobs::JobIndex;
use crate::state::machine::{Assignment, Machine, ObservedStatus, Stop, TaskOnMachine};
use crate::state::write_buffer::RecordId;
use crate::{micros, Micros, Outcome, Target, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{DirectCommands, Heartbeat, ReportedTask, Submission};
use grebewood_wire::peer::{PlacedTask, TaskAttempt};
use log::{error, warn};

/// A replica leaves a machine so long before the cloud takes it, wherever it is to go.
const LAST_MOVE: Micros = 4 * SECOND;

/// Between two direct commands to one machine.
const DIRECT_INTERVAL: Micros = 2 * SECOND;

impl Scheduler {
    /// A worker has a task that is on no page of ours. It is stopped, and counts as taken until
    /// it is proven gone.
    pub(crate) fn stop_unrecorded(
        &mut self,
        context: &mut Context,
        report: &Heartbeat,
        job_id: &str,
        task: u64,
        s: &ReportedTask,
    ) {
        let now = context.now.steady;
        error!(
            "{}: has {}, which is not on record",
            report.machine, s.task_name
        );
        let index = self.jobs.find(job_id);
        if let Some(job) = index.and_then(|index| self.jobs.get_mut(index)) {
            job.take(task);
            *job.zones.entry(report.zone.clone()).or_insert(0) += 1;
        }
        let spec = index
            .and_then(|index| self.jobs.get(index))
            .map(|j| j.spec.clone());
        let page = match self.is_holder() {
            true => 0,
            false => self.page_with_room(),
        };
        let task = PlacedTask {
            machine: report.machine.clone(),
            incarnation: report.incarnation,
            job: job_id.to_string(),
            task,
            attempt: s.attempt,
            expected_us: SECOND,
        };
        let assignment = Assignment {
            page,
            launched: Some((report.incarnation, report.sequence)),
            seen: ObservedStatus::Running,
            started: Some(now),
            stop: Some(Stop {
                grace: 0,
                since: now,
                sent: None,
            }),
            ..Assignment::new(TaskOnMachine {
                task: &task,
                job: index,
                spec: spec.as_ref(),
                zone: report.zone.clone(),
                now,
            })
        };
        if !self.is_holder() {
            self.page_mut(page).add(&report.machine, &assignment);
            self.write_buffer.mark_dirty(RecordId::Page(page), now);
        }
        self.add_assignment(&report.machine, assignment);
        self.send_direct(context, &report.machine);
    }

    /// Stops whatever may run of a job.
    pub(crate) fn stop_job(&mut self, context: &mut Context, index: JobIndex) {
        let names: Vec<String> = self
            .machines
            .iter()
            .filter(|(_, m)| m.assignments.iter().any(|a| a.job == index))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.stop_on(context, &name, 0, |a| a.job == index);
        }
    }

    /// Stops the assignments of a machine that pass the test. Those never launched are freed at
    /// once.
    pub(crate) fn stop_on(
        &mut self,
        context: &mut Context,
        name: &str,
        grace: Micros,
        test: impl Fn(&Assignment) -> bool,
    ) {
        let now = context.now.steady;
        while let Some(at) = self.position(name, |a| test(a) && !a.may_exist()) {
            self.remove_assignment(context, name, at);
        }
        let mut any = false;
        if let Some(m) = self.machines.get_mut(name) {
            for a in m.assignments.iter_mut().filter(|a| test(a)) {
                // A stop without leeway ends a task that is saving.
                if a.stop.is_none_or(|s| grace == 0 && s.grace > 0) {
                    a.stop = Some(Stop {
                        grace,
                        since: now,
                        sent: None,
                    });
                    any = true;
                }
            }
        }
        if any {
            self.send_direct(context, name);
        }
    }

    /// Stops an attempt of a task, wherever it is.
    pub(crate) fn stop_attempt(
        &mut self,
        context: &mut Context,
        attempt: TaskAttempt,
        grace: Micros,
    ) {
        let holds = |m: &&Machine| m.assignments.iter().any(|a| a.id() == attempt);
        let machine = self.machines.values().find(holds).map(|m| m.name.clone());
        if let Some(name) = machine {
            self.stop_on(context, &name, grace, |a| a.id() == attempt);
        }
    }

    /// Sends the stops of a machine straight to it.
    pub(crate) fn send_direct(&mut self, context: &mut Context, name: &str) {
        self.send_commands(context, name, false);
    }

    /// Sends stops that are due; with `ask` the command goes out even if there are none: its answer
    /// shows that the machine hears us.
    pub(crate) fn send_commands(&mut self, context: &mut Context, name: &str, ask: bool) {
        let now = context.now.steady;
        if self.uncertain() || self.direct.contains_key(name) {
            return;
        }
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        // The holder of its partition sends commands there.
        if m.address.is_empty() || m.partition.is_some() {
            return;
        }
        let mut commands = Vec::new();
        for a in m.assignments.iter_mut().filter(|a| a.launched.is_some()) {
            if let Some(stop) = &mut a.stop {
                if commands.len() < MAX_COMMANDS
                    && stop.sent.is_none_or(|at| now >= at + DIRECT_INTERVAL)
                {
                    stop.sent = Some(now);
                    commands.push(stop_command(&a.job_id, a.task, a.attempt, stop.grace));
                }
            }
        }
        if commands.is_empty() && !ask {
            return;
        }
        let body = DirectCommands {
            token: self.token,
            incarnation: m.incarnation,
            commands,
        };
        let address = m.address.clone();
        self.direct.insert(name.to_string(), now);
        let pending = self.pending(SchedulerCall::Direct {
            machine: name.to_string(),
        });
        context.call(
            Target::Agent(address),
            "POST",
            "/do".into(),
            wire::to_cbor(&body),
            2 * SECOND,
            pending,
        );
    }

    pub(crate) fn on_direct(&mut self, context: &mut Context, name: &str, outcome: Outcome) {
        self.direct.remove(name);
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if status != 200 && status != 409 {
            return warn!("{name}: direct command got {status}");
        }
        match wire::from_cbor::<Heartbeat>(&body) {
            Ok(report) if report.machine == name && self.is_own_machine(name) => {
                self.apply_heartbeat(context, report, Source::Direct);
                // It came within the call's time: commands reach this session now.
                if let (200, Some(m)) = (status, self.machines.get_mut(name)) {
                    m.receives_responses = true;
                    m.unreachable_since = None;
                    self.placement.request_round(context.now.steady);
                }
            }
            Ok(report) if report.machine == name => {}
            Ok(_) => warn!("{name}: another worker answers at its address"),
            Err(e) => warn!("{name}: {e}"),
        }
    }

    /// Whether this node looks after the machine itself, and knows it.
    fn is_own_machine(&self, name: &str) -> bool {
        self.machines
            .get(name)
            .is_some_and(|m| m.partition.is_none())
    }

    /// Stops what cannot finish before the cloud takes the machine.
    pub(crate) fn drain_reclaimed(&mut self, context: &mut Context, name: &str) {
        let now = context.now.steady;
        let Some(m) = self.machines.get(name) else {
            return;
        };
        let Some(left) = m.reclaim_at.map(|at| at.saturating_sub(now)) else {
            return;
        };
        let mut stops: Vec<(u64, Micros)> = Vec::new();
        for a in m.assignments.iter().filter(|a| a.stop.is_none()) {
            let Some(job) = self.jobs.get(a.job) else {
                continue;
            };
            let fetch = m.fetch_time(&job.spec.image, job.spec.image_gb);
            if a.remaining(now, fetch) + SECOND < left {
                continue;
            }
            let flush = micros(job.spec.checkpoint_duration_s);
            if job.is_daemon() {
                // It serves on until there is room elsewhere, which is rented at once if there is none.
                let saves = job.spec.checkpoint_interval_s > 0.0;
                let last = if saves { grace(flush) } else { 0 } + LAST_MOVE;
                if left < last {
                    stops.push((a.attempt, if saves { grace(flush) } else { 0 }));
                }
            } else if job.spec.checkpoint_interval_s > 0.0 {
                if left < flush + 5 * SECOND {
                    stops.push((a.attempt, grace(flush)));
                }
            } else {
                stops.push((a.attempt, 0));
            }
        }
        for (attempt, grace) in stops {
            self.stop_on(context, name, grace, |a| a.attempt == attempt);
        }
    }

    /// Replicas on a machine that is to be returned, or that the cloud takes, never end by themselves:
    /// they are stopped once there is room for them elsewhere.
    pub(crate) fn move_replicas(&mut self, context: &mut Context, name: &str) {
        let going = |m: &&Machine| m.cordoned || m.reclaim_at.is_some();
        let Some(m) = self.machines.get(name).filter(going) else {
            return;
        };
        let mut moves: Vec<(u64, Micros)> = Vec::new();
        for a in m.assignments.iter().filter(|a| a.stop.is_none()) {
            let Some(job) = self.jobs.get(a.job).filter(|j| j.is_daemon()) else {
                continue;
            };
            let grace = match job.spec.checkpoint_interval_s > 0.0 {
                true => grace(micros(job.spec.checkpoint_duration_s)),
                false => 0,
            };
            // Those that move already mean the same room.
            if self.room_elsewhere(context, &a.zone, &job.spec) > moves.len() as u64 {
                moves.push((a.attempt, grace));
            }
        }
        for (attempt, grace) in moves {
            self.stop_on(context, name, grace, |a| a.attempt == attempt);
        }
    }

    /// How many tasks of the job the machines of a zone have room for.
    pub(crate) fn room_elsewhere(&self, context: &Context, zone: &str, spec: &Submission) -> u64 {
        let (now, silence) = (context.now.steady, 3 * context.settings.heartbeat_interval);
        self.machines
            .values()
            .filter(|m| m.zone == zone && m.usable(now, silence))
            .filter(|m| permits(context, spec, &m.machine_type, &m.zone, m.spot))
            .map(|m| tasks_that_fit(m.free(), spec))
            .sum()
    }
}
