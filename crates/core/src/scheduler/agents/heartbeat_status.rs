//! Applies the status in a heartbeat to what is known of the machine and of the tasks on it.

use crate::context::Context;
use crate::scheduler::agents::Source;
use crate::scheduler::Scheduler;
use crate::state::jobs::{parse_task, JobIndex};
use crate::state::machine::{Machine, ObservedStatus, ANSWER_TIME};
use crate::{micros, Micros};
use grebewood_wire::http::{ExitCause, Heartbeat, TaskStatus};
use log::{info, warn};

/// An exit without a cause says nothing.
static NO_CAUSE: ExitCause = ExitCause::Unknown(String::new());

impl Scheduler {
    /// Takes in a report. Returns false if a newer one is known already.
    pub(crate) fn apply_heartbeat(
        &mut self,
        context: &mut Context,
        report: Heartbeat,
        source: Source,
    ) -> bool {
        let now = context.now.steady;
        let name = report.machine.clone();
        if !self.machines.contains_key(&name) {
            let mut machine =
                Machine::new(&report, context.machine_type(&report.machine_type), now);
            // One that we wait for gets work at once; of others it must be seen first that our
            // answers reach them.
            machine.receives_responses = self.fleet.is_booting(&name);
            self.machines.insert(name.clone(), machine);
        }
        self.machine_is_up(context, &report);
        let Some(m) = self.machines.get_mut(&name) else {
            return false;
        };
        if (report.incarnation, report.sequence) <= (m.incarnation, m.sequence) {
            return false;
        }
        if m.address.is_empty() || m.cpus <= 0.0 {
            m.describe(&report, context.machine_type(&report.machine_type), now);
        }
        m.address = report.address.clone();
        m.last_contact_at = now;
        m.reclaim_at = report.reclaim_s.map(|s| now + micros(s));
        let new_session = report.incarnation > m.incarnation;
        m.incarnation = report.incarnation;
        m.sequence = report.sequence;
        if source == Source::Heartbeat {
            m.heartbeat = (report.incarnation, report.sequence);
            m.last_heartbeat = now;
        }
        if report.token == self.token {
            // Until it saw our token, answers of an earlier leader that does not know of its end
            // renewed its lease; a check-in's own answer is yet to come.
            if !m.knows_token && source == Source::Direct {
                m.last_response = now;
            }
            m.knows_token = true;
        }
        // A worker that has our answer reports here again well before the time after which one
        // without an answer gives up and goes elsewhere.
        let in_time = now.saturating_sub(m.last_response) < ANSWER_TIME;
        if source == Source::Heartbeat && m.knows_token && in_time && !new_session {
            m.receives_responses = true;
            m.unreachable_since = None;
        }
        if new_session && report.incarnation > 1 {
            m.receives_responses = false;
        }
        if new_session {
            m.exited_attempts.clear();
            // A new session: the worker has killed and forgotten every task of the earlier ones.
            while let Some(at) = self.position(&name, |a| a.incarnation < report.incarnation) {
                self.remove_assignment(context, &name, at);
            }
        }
        if report.token == self.token {
            self.take_tasks(context, &report, source);
        }
        if report.reclaim_s.is_some() {
            // Nothing is launched here any more: what waited for its record once waited on until
            // the machine was gone.
            self.free_unlaunched(context, &name);
            self.drain_reclaimed(context, &name);
            self.move_replicas(context, &name);
        }
        let mut deaf = false;
        if let Some(m) = self.machines.get_mut(&name) {
            if !m.assignments.is_empty() {
                m.idle_since = now;
            }
            if !m.receives_responses {
                deaf = true;
                let since = *m.unreachable_since.get_or_insert(now);
                if now.saturating_sub(since) > 2 * context.settings.agent_lease && !m.cordoned {
                    info!("{name}: reports, but no answer reaches it; to be returned");
                    m.cordoned = true;
                    self.fleet.terminate(&name, now);
                }
            }
        }
        if deaf {
            self.free_unlaunched(context, &name);
        }
        true
    }

    /// Frees what was placed on a machine but not launched: it can only be launched by an answer
    /// that reaches the worker.
    pub(crate) fn free_unlaunched(&mut self, context: &mut Context, name: &str) {
        while let Some(at) = self.position(name, |a| a.launched.is_none()) {
            self.remove_assignment(context, name, at);
        }
    }

    /// Compares a report, which has seen our token, with what should be on the machine.
    pub(crate) fn take_tasks(&mut self, context: &mut Context, report: &Heartbeat, source: Source) {
        let now = context.now.steady;
        let name = &report.machine;
        for s in &report.tasks {
            let Some((job_id, task)) = parse_task(&s.task_name) else {
                warn!(
                    "{name}: task {:?} is not of the form job/number",
                    s.task_name
                );
                continue;
            };
            let at = self.position(name, |a| {
                a.attempt == s.attempt && a.task == task && a.job_id == job_id
            });
            let exited = s.status == TaskStatus::Exited;
            match at {
                Some(at) if exited => {
                    let cause = s.cause.as_ref().unwrap_or(&NO_CAUSE);
                    self.exited(context, name, at, cause, &s.task_name)
                }
                Some(at) => {
                    let Some(m) = self.machines.get_mut(name) else {
                        return;
                    };
                    let a = &mut m.assignments[at];
                    let before = a.seen;
                    a.observe(&s.status, now);
                    let (index, seen) = (a.job, a.seen);
                    self.count_running(now, index, before, seen);
                }
                None if exited => self.exited_unknown(context, name, job_id, task, s),
                None => self.stop_unrecorded(context, report, job_id, task, s),
            }
        }
        let listed = |task_name: &str, attempt: u64| {
            report
                .tasks
                .iter()
                .any(|s| s.attempt == attempt && s.task_name == task_name)
        };
        if let Some(m) = self.machines.get_mut(name) {
            m.exited_attempts
                .retain(|r| listed(&r.task_name, r.attempt));
        }
        if source == Source::Direct {
            // The answer to a check-in may still bring a launch: absence proves nothing here.
            return;
        }
        let newest = (report.incarnation, report.sequence);
        let mut lost = false;
        let mut at = 0;
        while let Some(a) = self
            .machines
            .get_mut(name)
            .and_then(|m| m.assignments.get_mut(at))
        {
            let absent = a.launched.is_some_and(|l| l < newest)
                && !listed(&format!("{}/{}", a.job_id, a.task), a.attempt);
            if !absent {
                at += 1;
            } else if a.seen == ObservedStatus::Never && a.stop.is_none() && !a.recovered() {
                // The answer with the launch was lost and is never carried out late: it may be
                // sent again, under the same attempt, once answers arrive.
                a.launched = None;
                lost = true;
                at += 1;
            } else {
                // A later report that has seen our token, without the task: it is gone.
                self.remove_assignment(context, name, at);
            }
        }
        if let (true, Some(m)) = (lost, self.machines.get_mut(name)) {
            m.receives_responses = false;
        }
    }

    /// Counts a task of the job that began or ceased to run, as far as seen.
    pub(crate) fn count_running(
        &mut self,
        at: Micros,
        index: JobIndex,
        before: ObservedStatus,
        now: ObservedStatus,
    ) {
        let (was, is) = (
            before == ObservedStatus::Running,
            now == ObservedStatus::Running,
        );
        if was == is {
            return;
        }
        if let Some(job) = self.jobs.get_mut(index) {
            if is && job.began_at.is_none() {
                job.began_at = Some(job.age(at));
            }
            if is && job.running == 0 {
                job.running_well_since = at;
            }
            job.running = match is {
                true => job.running + 1,
                false => job.running.saturating_sub(1),
            };
            self.progress_dirty.insert(index);
        }
    }
}
