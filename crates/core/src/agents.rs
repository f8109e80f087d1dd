//! Machines as their workers report them, and what is known to be on them.

use crate::context::Context;
use crate::jobs::parse_task;
use crate::scheduler::Scheduler;
use crate::write_buffer::RecordId;
use crate::{Micros, MILLI, SECOND};
use grebewood_wire::http::{Command, ExitCause, Heartbeat, TaskStatus, Verb};
use grebewood_wire::peer::TaskEnd;

mod exits;
mod heartbeat_status;
mod heartbeats;
mod held_heartbeats;
mod machine;
mod stops;
mod unreachable;

pub use held_heartbeats::{HeldHeartbeat, LongPolls};
pub(crate) use machine::TaskOnMachine;
pub use machine::{Assignment, ExitedAttempt, Machine, ObservedStatus, PlannedTask, Stop};

/// How long a check-in may wait for a flush before it is answered with what there is.
const HOLD: Micros = 500 * MILLI;
/// How long the end of a task may wait to be written.
const DONE_DELAY: Micros = 2 * SECOND;
/// How long the removal of an assignment may wait to be written: until then its page lists a task
/// that is gone, which the next leader finds out from the worker's first report.
const FREE_DELAY: Micros = 8 * SECOND;
/// The part of the write rate that such removals may take.
const FREE_WRITES: f64 = 0.2;
/// A replica leaves a machine so long before the cloud takes it, wherever it is to go.
const LAST_MOVE: Micros = 4 * SECOND;
/// How long a replica of an earlier leader has run at least, as far as can be told.
const LEAST_STAY: Micros = 30 * SECOND;
/// A worker waits so long for an answer to its report before it goes to another node.
const ANSWER_TIME: Micros = 4 * SECOND;
/// A worker that has our answer tells so soon, because the token was news to it; one that does not
/// is asked directly whether it hears us.
const ASK_AFTER: Micros = SECOND;
/// If more than this part of the machines is silent, they are cut off rather than gone.
const MOST_SILENT_PART: usize = 20;
/// Most machines that are asked so at once.
const MOST_ASKED: usize = 100;
/// Between two direct commands to one machine.
const DIRECT_INTERVAL: Micros = 2 * SECOND;
/// Most commands in one answer, so that it stays below the size limit.
const MOST_COMMANDS: usize = 300;

/// Most machines that are returned because the tasks of one job alone failed there.
const MOST_BLAMED_BY_ONE_JOB: u32 = 2;

/// An exit without a cause says nothing.
static NO_CAUSE: ExitCause = ExitCause::Unknown(String::new());

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A check-in: a worker has only one in flight, and carries out no answer to an earlier one.
    Heartbeat,
    /// The answer to a direct command, which may overtake the answer to a check-in.
    Direct,
}

impl Scheduler {
    /// A machine known only from assignments on record.
    pub(crate) fn recovered_machine(
        &mut self,
        context: &Context,
        name: &str,
        zone: &str,
        incarnation: u64,
    ) -> &mut Machine {
        let machine = self.machines.entry(name.to_string()).or_insert_with(|| {
            let report = Heartbeat {
                machine: name.to_string(),
                address: String::new(),
                machine_type: String::new(),
                zone: zone.to_string(),
                spot: true,
                incarnation,
                sequence: 0,
                token: 0,
                reclaim_s: None,
                tasks: Vec::new(),
            };
            Machine::new(&report, None, context.now.steady)
        });
        machine.partition = self.remote_partitions.partition_of(&machine.zone, name);
        // Reports of earlier sessions are older than what is on record.
        machine.incarnation = machine.incarnation.max(incarnation);
        machine
    }

    /// All assignments, on whatever machine.
    pub(crate) fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.machines.values().flat_map(|m| &m.assignments)
    }

    pub(crate) fn position(
        &self,
        machine: &str,
        test: impl Fn(&Assignment) -> bool,
    ) -> Option<usize> {
        self.machines
            .get(machine)?
            .assignments
            .iter()
            .position(test)
    }

    /// Puts an assignment on a machine, and counts it until its proof of absence.
    pub(crate) fn hold(&mut self, name: &str, a: Assignment) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.count_assignment(&a);
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let (index, seen) = (a.job, a.seen);
        let at = a.decided;
        m.assignments.push(a);
        m.recount();
        self.count_running(at, index, ObservedStatus::Never, seen);
    }

    /// The assignment's page will be written without it.
    fn remove_from_page(&mut self, context: &Context, name: &str, a: &Assignment) {
        self.page_mut(a.page).remove(name, a);
        // Every page loses something all the time: with many pages the writes must be further apart.
        let pages = self.pages.len() as f64 / (context.settings.store.write_rps * FREE_WRITES);
        let delay = FREE_DELAY.max((pages * 1e6) as Micros);
        self.write_buffer
            .mark_dirty_lazily(RecordId::Page(a.page), context.now.steady + delay);
    }

    /// Removes an assignment of which it is proven that its task is not on the machine and will
    /// not come there.
    pub(crate) fn free(&mut self, context: &mut Context, name: &str, at: usize) {
        let now = context.now.steady;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let a = m.assignments.remove(at);
        m.recount();
        m.idle_since = now;
        self.discount_assignment(context, name, &a);
        self.count_running(now, a.job, a.seen, ObservedStatus::Never);
        if self.is_holder() {
            self.note_end(name, &a, TaskEnd::Gone);
        }
        // A page is written by whoever placed what is on it.
        if a.by_holder == self.is_holder() {
            self.remove_from_page(context, name, &a);
        }
        if let Some(job) = self.jobs.get_mut(a.job) {
            job.give_back(a.task);
            if let Some(n) = job.zones.get_mut(&a.zone) {
                *n = n.saturating_sub(1);
            }
            if job.waiting() > 0 && job.waiting_since.is_none() {
                job.waiting_since = Some(now);
            }
        }
        self.placement.want(context.now.steady);
        self.end_if_over(context, a.job);
    }
}

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
    .take(MOST_COMMANDS)
    .collect()
}

/// When a worker's lease has certainly run out after our last answer: with drift, and a little for
/// the answer's own time.
fn lease_end(lease: Micros) -> Micros {
    lease + lease / 500 + 1_500 * MILLI
}

/// How long a machine may be silent before it is released.
pub(crate) fn silent_release(lease: Micros) -> Micros {
    lease_end(lease) + 12 * SECOND
}

/// Leeway for a task that needs `flush` to save.
pub(crate) fn grace(flush: Micros) -> Micros {
    flush + flush / 2 + SECOND
}

fn stop_command(job: &str, task: u64, attempt: u64, grace: Micros) -> Command {
    Command {
        verb: Verb::Stop,
        task_name: format!("{job}/{task}"),
        attempt,
        grace_s: Some(grace as f64 / SECOND as f64),
    }
}
