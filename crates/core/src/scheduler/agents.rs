//! Machines by the heartbeats of their agents: the assignments on a machine, from the decision until they are
//! proven gone.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::machine::{Assignment, Machine, ObservedStatus};
use crate::state::write_buffer::RecordId;
use crate::{Micros, SECOND};
use grebewood_wire::http::Heartbeat;
use grebewood_wire::peer::TaskEnd;

pub(crate) mod exits;
pub(crate) mod heartbeat_status;
pub(crate) mod heartbeats;
pub(crate) mod held_heartbeats;
pub(crate) mod stops;
pub(crate) mod unreachable;

/// How long the write of a removed assignment may be delayed, in microseconds. Until then its page lists a task
/// that is gone, which the next leader learns from the agent's first heartbeat.
const REMOVAL_WRITE_DELAY: Micros = 8 * SECOND;

/// The share of the store's write rate that removals of assignments may take.
const REMOVAL_WRITE_SHARE: f64 = 0.2;

/// Which message carried the status of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusSource {
    /// A heartbeat. An agent has only one in flight, and ignores a late response to an earlier one.
    Heartbeat,
    /// The response to a direct command, which may overtake the response to a heartbeat.
    DirectCommand,
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
            let heartbeat = placeholder_heartbeat(name, zone, incarnation);
            Machine::new(&heartbeat, None, context.now.steady)
        });
        machine.partition = self.remote_partitions.partition_of(&machine.zone, name);
        // Heartbeats of earlier incarnations are older than what is on record.
        machine.incarnation = machine.incarnation.max(incarnation);
        machine
    }

    /// All assignments, on whatever machine.
    pub(crate) fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.machines
            .values()
            .flat_map(|machine| &machine.assignments)
    }

    /// The index of the first assignment of a machine that passes the test.
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

    /// Puts an assignment on a machine. It counts against quotas until it is proven absent.
    pub(crate) fn add_assignment(&mut self, name: &str, assignment: Assignment) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.count_assignment(&assignment);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let (job, seen) = (assignment.job, assignment.seen);
        let decided = assignment.decided;
        machine.assignments.push(assignment);
        machine.recount();
        self.count_running(decided, job, ObservedStatus::Never, seen);
    }

    /// Removes an assignment whose task is proven not to be on the machine, nor to start there later.
    pub(crate) fn remove_assignment(&mut self, context: &mut Context, name: &str, position: usize) {
        let now = context.now.steady;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = machine.assignments.remove(position);
        machine.recount();
        machine.idle_since = now;
        self.discount_assignment(context, name, &assignment);
        self.count_running(now, assignment.job, assignment.seen, ObservedStatus::Never);
        if self.is_holder() {
            self.report_attempt_end(name, &assignment, TaskEnd::Gone);
        }
        // A page is written by whoever placed what is on it.
        if assignment.by_holder == self.is_holder() {
            self.remove_from_page(context, name, &assignment);
        }
        if let Some(job) = self.jobs.get_mut(assignment.job) {
            job.note_assignment_removed(assignment.task, &assignment.zone, now);
        }
        self.placement.request_round(now);
        self.end_if_over(context, assignment.job);
    }

    /// Removes every assignment of a machine that passes the test.
    pub(crate) fn remove_assignments(
        &mut self,
        context: &mut Context,
        name: &str,
        test: impl Fn(&Assignment) -> bool,
    ) {
        while let Some(position) = self.position(name, &test) {
            self.remove_assignment(context, name, position);
        }
    }

    /// Removes an assignment from its page, which is written some time later.
    fn remove_from_page(&mut self, context: &Context, name: &str, assignment: &Assignment) {
        self.page_mut(assignment.page).remove(name, assignment);
        // Every page has removals all the time: the more pages, the longer the time between two writes of one.
        let writes_per_second = context.settings.store.write_rps * REMOVAL_WRITE_SHARE;
        let seconds_for_all_pages = self.pages.len() as f64 / writes_per_second;
        let delay = REMOVAL_WRITE_DELAY.max((seconds_for_all_pages * 1e6) as Micros);
        let page = RecordId::Page(assignment.page);
        self.write_buffer
            .mark_dirty_lazily(page, context.now.steady + delay);
    }
}

/// What stands for the heartbeat of a machine that has sent none yet.
fn placeholder_heartbeat(name: &str, zone: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
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
    }
}
