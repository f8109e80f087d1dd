//! Check-ins: who may answer them, and the commands that the answers carry.

use super::{
    stop_command, stop_commands_for_cancelled, HeldHeartbeat, Source, HOLD, MOST_COMMANDS,
};
use crate::context::Context;
use crate::controller::Controller;
use crate::jobs::{JobIndex, EPS};
use crate::scheduler::Scheduler;
use crate::write_buffer::RecordId;
use grebewood_partition::PartitionId;
use grebewood_wire as wire;
use grebewood_wire::http::{Command, Heartbeat, HeartbeatResponse, Redirect, Verb};

impl Scheduler {
    pub(super) fn on_heartbeat(&mut self, context: &mut Context, request: u64, report: Heartbeat) {
        let now = context.now.steady;
        self.holder_state.heartbeats += 1;
        if !self.loaded() {
            self.heard_at = now;
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
        self.heard_at = now;
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
        // Room that jobs wait for: the answer waits for the next round of placement.
        if self.placement.backlog
            && m.free().0 > EPS
            && m.usable(now, 3 * context.settings.heartbeat_interval)
        {
            self.placement.want(now);
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

    pub(super) fn answer_heartbeat(
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
            if commands.len() < MOST_COMMANDS && settled {
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
            if commands.len() >= MOST_COMMANDS {
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

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, id: u64, body: &[u8]) {
        let report: Heartbeat = match wire::from_cbor(body) {
            Ok(r) => r,
            Err(e) => return self.context.refuse(id, 400, &e.to_string()),
        };
        if let Some(why) = report.invalid_field() {
            return self.context.refuse(id, 400, why);
        }
        self.context.token = self.context.token.max(report.token);
        if let Some(partition) = self.partition_to_report_to(&report) {
            return self.on_partition_heartbeat(id, partition, report);
        }
        let me = self.context.settings.member.clone();
        let unread = self.leader.as_ref().is_some_and(|l| !l.loaded());
        let blind = unread && !self.may_renew();
        match &mut self.leader {
            // It may have come in during the standstill, and the grant may have run out.
            Some(leader) if leader.doubtful() => {
                self.context.refuse(id, 503, "it is not certain who leads");
            }
            // Its machine may be in a partition: an answer would take it from its holder.
            Some(leader) if !leader.knows_partitions(&self.context) => {
                self.context.refuse(id, 503, "partitions are not known yet");
            }
            // Before state is read only the node's own knowledge of cancellations stops tasks.
            Some(_) if blind => {
                self.context
                    .refuse(id, 503, "cancellations are not known yet");
            }
            Some(leader) if report.token <= leader.token => {
                leader.on_heartbeat(&mut self.context, id, report)
            }
            // Somebody with a higher token acts for the controllers: not us, and it is not known
            // here who.
            Some(_) => self.context.answer(id, 421, &Redirect { leader: None }),
            None => {
                let leader = self
                    .election
                    .leader()
                    .filter(|l| *l != me)
                    .map(str::to_string);
                self.context.answer(id, 421, &Redirect { leader });
            }
        }
    }

    /// The partition of a reporting machine. The leader goes by what it read under its grant, other
    /// nodes by their copy of the map: that only decides where a worker is sent.
    fn partition_to_report_to(&self, report: &Heartbeat) -> Option<PartitionId> {
        match &self.leader {
            Some(leader) => leader
                .remote_partitions
                .partition_of(&report.zone, &report.machine),
            None => self.partitions.map.find(&report.zone, &report.machine),
        }
    }

    /// A check-in of a machine that is in a partition: its holder answers it, others lead it there.
    fn on_partition_heartbeat(&mut self, id: u64, partition: PartitionId, report: Heartbeat) {
        let may_renew = self.may_renew();
        let Some(holder) = self.partitions.holders.get_mut(&partition) else {
            return match self.holder_to_report_to(partition) {
                Some(leader) => self.context.answer(
                    id,
                    421,
                    &Redirect {
                        leader: Some(leader),
                    },
                ),
                None => self
                    .context
                    .refuse(id, 503, "its partition is not held yet"),
            };
        };
        if holder.doubtful() {
            return self
                .context
                .refuse(id, 503, "it is not certain who holds it");
        }
        if !holder.loaded() && !may_renew {
            return self
                .context
                .refuse(id, 503, "cancellations are not known yet");
        }
        match report.token <= holder.token {
            true => holder.on_heartbeat(&mut self.context, id, report),
            false => self.context.answer(id, 421, &Redirect { leader: None }),
        }
    }
}
