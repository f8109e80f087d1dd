//! Answers heartbeats: which commands the response carries, and when it may be sent.

use crate::context::Context;
use crate::scheduler::agents::Source;
use crate::scheduler::Scheduler;
use crate::state::jobs::{parse_task, JobIndex, EPS};
use crate::state::long_polls::HeldHeartbeat;
use crate::state::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_wire::http::{Command, Heartbeat, HeartbeatResponse, Redirect, TaskStatus, Verb};

/// How long a check-in may wait for a flush before it is answered with what there is.
pub(crate) const HOLD: Micros = 500 * MILLI;

/// Most commands in one answer, so that it stays below the size limit.
pub(crate) const MAX_COMMANDS: usize = 300;

/// Stops for the tasks on a machine whose jobs are known to be cancelled.
fn stop_commands_for_cancelled(context: &Context, report: &Heartbeat) -> Vec<Command> {
    let live = report
        .tasks
        .iter()
        .filter(|s| s.status != TaskStatus::Exited);
    live.filter_map(|s| {
        let (job, task) = parse_task(&s.task_name)?;
        context.cancellations.get(job)?;
        Some(stop_command(job, task, s.attempt, 0))
    })
    .take(MAX_COMMANDS)
    .collect()
}

/// Leeway for a task that needs `flush` to save.
pub(crate) fn grace(flush: Micros) -> Micros {
    flush + flush / 2 + SECOND
}

pub(crate) fn stop_command(job: &str, task: u64, attempt: u64, grace: Micros) -> Command {
    Command {
        verb: Verb::Stop,
        task_name: format!("{job}/{task}"),
        attempt,
        grace_s: Some(grace as f64 / SECOND as f64),
    }
}

impl Scheduler {
    pub(crate) fn on_heartbeat(&mut self, context: &mut Context, request: u64, report: Heartbeat) {
        let now = context.now.steady;
        self.holder_state.heartbeats += 1;
        if !self.loaded() {
            self.last_heartbeat_at = now;
            // Renews the lease and announces the token while state is still being read, which an
            // outage may make long: cancelled tasks must be gone in time all the same.
            let commands = stop_commands_for_cancelled(context, &report);
            return self.answer_heartbeat(context, request, commands);
        }
        if self.fleet.is_gone(&report.machine) {
            // The machine was deleted: a late copy of a report.
            return context.answer(request, 421, &Redirect { leader: None });
        }
        let (machine, incarnation, sequence) =
            (report.machine.clone(), report.incarnation, report.sequence);
        let fresh = self.apply_heartbeat(context, report, Source::Heartbeat);
        if !fresh {
            // A late copy. It renews no lease, and whatever the answer, nobody takes it. Unless it is a
            // check-in that the answer to a direct command overtook: its worker takes our answer, so
            // its lease began when it sent this. That lease was once taken to have run out by the
            // answer before.
            if let Some(m) = self.machines.get_mut(&machine) {
                if incarnation == m.incarnation && (incarnation, sequence) > m.heartbeat {
                    m.heartbeat = (incarnation, sequence);
                    m.last_response = now;
                }
            }
            return self.answer_heartbeat(context, request, Vec::new());
        }
        self.last_heartbeat_at = now;
        // A worker reports one at a time: the one before was given up.
        self.refuse_held_heartbeats(context, &machine, "overtaken by a later report");
        let Some(m) = self.machines.get_mut(&machine) else {
            return self.answer_heartbeat(context, request, Vec::new());
        };
        m.last_response = now;
        let mut pending = HeldHeartbeat {
            request,
            round: 0,
            machine,
            incarnation,
            sequence,
            until: now + HOLD,
        };
        // MachineResources that jobs wait for: the answer waits for the next round of placement.
        if self.placement.backlog
            && m.free().cpus > EPS
            && m.usable(now, 3 * context.settings.heartbeat_interval)
        {
            self.placement.request_round(now);
            pending.round = self.placement.rounds + 1;
        }
        if self.may_be_answered(context, &pending) {
            let commands = self.commands(context, &pending);
            if commands.is_empty() && self.may_long_poll(context, &pending.machine) {
                return self.hold_long_poll(context, pending);
            }
            return self.answer_heartbeat(context, request, commands);
        }
        if self.held_heartbeats.is_empty() {
            self.held_until = pending.until;
        }
        self.held_heartbeats.push(pending);
    }

    pub(crate) fn answer_heartbeat(
        &self,
        context: &mut Context,
        request: u64,
        commands: Vec<Command>,
    ) {
        let answer = HeartbeatResponse {
            token: self.token,
            commands,
        };
        context.answer(request, 200, &answer);
    }

    pub(crate) fn is_durable(&self, after: &[(RecordId, u64)], job: Option<JobIndex>) -> bool {
        // Once a job is over, its terminal record stands for all of its tasks.
        let over = job.is_some_and(|index| self.jobs.get(index).is_none());
        after.iter().all(|(rec, version)| {
            (over && matches!(rec, RecordId::Done(..)))
                || self.write_buffer.is_durable(rec, *version)
        })
    }

    /// The commands for the answer to a check-in. Launches go only here: such an answer is never
    /// carried out late. Each launched task is on record, each acknowledged outcome too.
    pub(crate) fn commands(&mut self, context: &Context, pending: &HeldHeartbeat) -> Vec<Command> {
        let now = context.now.steady;
        let mut commands = Vec::new();
        let Some(m) = self.machines.get(&pending.machine) else {
            return commands;
        };
        if m.incarnation != pending.incarnation {
            return commands;
        }
        for r in &m.exited_attempts {
            let settled = self.is_durable(&r.after, r.job) && self.holder_state.is_settled(r.id());
            if commands.len() < MAX_COMMANDS && settled {
                commands.push(Command {
                    verb: Verb::Acknowledge,
                    task_name: r.task_name.clone(),
                    attempt: r.attempt,
                    grace_s: None,
                });
            }
        }
        let (write_buffer, jobs) = (&self.write_buffer, &self.jobs);
        let Some(m) = self.machines.get_mut(&pending.machine) else {
            return commands;
        };
        let revoked = m.reclaim_at.is_some();
        for a in &mut m.assignments {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            if let Some(stop) = &mut a.stop {
                if a.launched.is_some() {
                    stop.sent = Some(now);
                    commands.push(stop_command(&a.job_id, a.task, a.attempt, stop.grace));
                }
                continue;
            }
            let alive = jobs
                .get(a.job)
                .is_some_and(|j| j.cancelled.is_none() && !j.is_done(a.task));
            let written = write_buffer.is_durable(&RecordId::Page(a.page), a.written);
            if a.launched.is_none()
                && written
                && alive
                && !revoked
                && a.incarnation == pending.incarnation
            {
                a.launched = Some((pending.incarnation, pending.sequence));
                commands.push(Command {
                    verb: Verb::Launch,
                    task_name: format!("{}/{}", a.job_id, a.task),
                    attempt: a.attempt,
                    grace_s: None,
                });
            }
        }
        commands
    }
}
