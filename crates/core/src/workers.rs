//! Machines as their workers report them, and what is known to be on them.

use crate::jobs::{error_backoff, parse_task, Job, JobIx, Jobs, EPS};
use crate::leadership::Lead;
use crate::ledger::Rec;
use crate::node::{Ctx, LeadCall, Node};
use crate::placement::{permits, slots};
use crate::{micros, Micros, Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{
    CheckinAnswer, DirectOrders, MachineType, Order, Redirect, Report, ShardReport, Submission,
};
use grebewood_wire::records::DONE_SPAN;
use log::{error, info, warn};
use std::collections::VecDeque;

mod checkins;
mod exits;
mod held;
mod machine;
mod reports;
mod silence;
mod stops;

pub use held::{Held, Parked};
use machine::Blame;
pub use machine::{Assignment, Machine, Reap, Seen, Stop};

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
const MOST_ORDERS: usize = 300;

/// Most machines that are returned because the tasks of one job alone failed there.
const MOST_BLAMED_BY_ONE_JOB: u32 = 2;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A check-in: a worker has only one in flight, and carries out no answer to an earlier one.
    Checkin,
    /// The answer to a direct command, which may overtake the answer to a check-in.
    Direct,
}

impl Lead {
    /// A machine known only from assignments on record.
    pub(crate) fn recovered_machine(
        &mut self,
        cx: &Ctx,
        name: &str,
        zone: &str,
        tenure: u64,
    ) -> &mut Machine {
        let machine = self.machines.entry(name.to_string()).or_insert_with(|| {
            let report = Report {
                perch: name.to_string(),
                endpoint: String::new(),
                build: String::new(),
                yard: zone.to_string(),
                loaner: true,
                tenure,
                tally: 0,
                warrant: 0,
                recall_s: None,
                shards: Vec::new(),
            };
            Machine::new(&report, None, cx.now.steady)
        });
        // Reports of earlier sessions are older than what is on record.
        machine.tenure = machine.tenure.max(tenure);
        machine
    }

    fn position(&self, machine: &str, test: impl Fn(&Assignment) -> bool) -> Option<usize> {
        self.machines
            .get(machine)?
            .assignments
            .iter()
            .position(test)
    }

    /// Puts an assignment on a machine, and counts it until its proof of absence.
    pub(crate) fn hold(&mut self, name: &str, a: Assignment) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let used = self.usage.entry(a.team.clone()).or_insert((0.0, 0.0));
        *used = (used.0 + a.cpus, used.1 + a.gpus);
        let (ix, seen) = (a.job, a.seen);
        let at = a.decided;
        m.assignments.push(a);
        m.recount();
        self.count_running(at, ix, Seen::Never, seen);
    }

    /// Removes an assignment of which it is proven that its task is not on the machine and will
    /// not come there.
    pub(crate) fn free(&mut self, cx: &mut Ctx, name: &str, at: usize) {
        let now = cx.now.steady;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let a = m.assignments.remove(at);
        m.recount();
        m.idle_since = now;
        if let Some(used) = self.usage.get_mut(&a.team) {
            *used = (used.0 - a.cpus, used.1 - a.gpus);
        }
        self.count_running(now, a.job, a.seen, Seen::Never);
        self.page_mut(a.page).remove(name, &a);
        // Every page loses something all the time: with many pages the writes must be further apart.
        let pages = self.pages.len() as f64 / (cx.settings.state.write_rps * FREE_WRITES);
        let delay = FREE_DELAY.max((pages * 1e6) as Micros);
        self.ledger.touch_lazily(Rec::Page(a.page), now + delay);
        if let Some(job) = self.jobs.get_mut(a.job) {
            job.give_back(a.task);
            if let Some(n) = job.zones.get_mut(&a.zone) {
                *n = n.saturating_sub(1);
            }
            if job.waiting() > 0 && job.waiting_since.is_none() {
                job.waiting_since = Some(now);
            }
        }
        self.placement.want(cx.now.steady);
        self.end_if_over(cx, a.job);
    }
}

/// Whether failures of the job's tasks say nothing of a machine; of a job that is over nothing is known.
fn is_suspect(jobs: &Jobs, id: &str) -> bool {
    let job = jobs.find(id).and_then(|ix| jobs.get(ix));
    job.is_none_or(Job::is_suspect)
}

/// Stops for the tasks on a machine whose jobs are known to be cancelled.
fn cancelled_here(cx: &Ctx, report: &Report) -> Vec<Order> {
    let live = report.shards.iter().filter(|s| s.status != "exited");
    live.filter_map(|s| {
        let (job, task) = parse_task(&s.shard)?;
        cx.cancellations.get(job)?;
        Some(stop_order(job, task, s.attempt, 0))
    })
    .take(MOST_ORDERS)
    .collect()
}

/// When a worker's lease has certainly run out after our last answer: with drift, and a little for
/// the answer's own time.
fn lapse(lease: Micros) -> Micros {
    lease + lease / 500 + 1_500 * MILLI
}

/// How long a machine may be silent before it is released.
pub(crate) fn silent_release(lease: Micros) -> Micros {
    lapse(lease) + 12 * SECOND
}

/// Leeway for a task that needs `flush` to save.
pub(crate) fn leeway(flush: Micros) -> Micros {
    flush + flush / 2 + SECOND
}

fn stop_order(job: &str, task: u64, attempt: u64, leeway: Micros) -> Order {
    Order {
        verb: "stop".into(),
        shard: format!("{job}/{task}"),
        attempt,
        leeway_s: Some(leeway as f64 / SECOND as f64),
    }
}
