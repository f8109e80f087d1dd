//! Tracks machines through the heartbeats of their agents, and the assignments on each machine from the placement
//! decision until the task is proven gone.

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

/// Minimum delay of the write of a page after an assignment was removed. Until then the page lists a task that is
/// gone; a leader that takes over learns this from the first heartbeat of the agent.
const REMOVAL_WRITE_DELAY_US: Micros = 8 * SECOND;

/// Share of the configured write rate of the store that removals of assignments may use.
const REMOVAL_WRITE_SHARE: f64 = 0.2;

/// Kind of message that carried the status of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusSource {
    /// A heartbeat. An agent has only one in flight, and ignores the response to an earlier one.
    Heartbeat,
    /// The response to a direct command, which may overtake the response to a heartbeat.
    DirectCommand,
}

impl Scheduler {
    /// Returns the machine of an assignment that was read from a record or received from another controller, and
    /// adds it if it is unknown.
    pub(crate) fn recover_machine(
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
        // Heartbeats of an earlier incarnation than that of the record are out of date.
        machine.incarnation = machine.incarnation.max(incarnation);
        machine
    }

    /// Iterates over the assignments on all machines.
    pub(crate) fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.machines
            .values()
            .flat_map(|machine| &machine.assignments)
    }

    /// Returns the index of the first assignment of a machine that passes the test.
    pub(crate) fn assignment_index(
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

    /// Adds an assignment to a machine. It counts against the quota of its team until the task is proven gone.
    pub(crate) fn add_assignment(&mut self, name: &str, assignment: Assignment) {
        if !self.machines.contains_key(name) {
            return;
        }
        self.charge_quota(&assignment);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let (job, seen) = (assignment.job, assignment.observed_status);
        let decided = assignment.decided_at;
        machine.assignments.push(assignment);
        machine.recompute_used();
        self.update_running_count(decided, job, ObservedStatus::Never, seen);
    }

    /// Removes an assignment whose task is proven to be absent from the machine and unable to start there later.
    pub(crate) fn remove_assignment(
        &mut self,
        context: &mut Context,
        name: &str,
        assignment_index: usize,
    ) {
        let now = context.now.steady;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let assignment = machine.assignments.remove(assignment_index);
        machine.recompute_used();
        machine.idle_since = now;
        self.release_quota(context, name, &assignment);
        self.update_running_count(
            now,
            assignment.job,
            assignment.observed_status,
            ObservedStatus::Never,
        );
        if self.is_holder() {
            self.report_attempt_end(name, &assignment, TaskEnd::Gone);
        }
        // Each page is written by the controller that placed the assignments on it.
        if assignment.placed_by_holder == self.is_holder() {
            self.remove_from_page(context, name, &assignment);
        }
        if let Some(job) = self.jobs.get_mut(assignment.job) {
            job.record_assignment_removed(assignment.task, &assignment.zone, now);
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
        while let Some(assignment_index) = self.assignment_index(name, &test) {
            self.remove_assignment(context, name, assignment_index);
        }
    }

    /// Removes an assignment from its page, and schedules a delayed write of the page.
    fn remove_from_page(&mut self, context: &Context, name: &str, assignment: &Assignment) {
        self.page_mut(assignment.page).remove(name, assignment);
        // Removals affect every page all the time: the delay grows with the number of pages, so that the writes of
        // all pages stay within their share of the write rate.
        let writes_per_second = context.settings.store.write_rps * REMOVAL_WRITE_SHARE;
        let seconds_for_all_pages = self.pages.len() as f64 / writes_per_second;
        let delay = REMOVAL_WRITE_DELAY_US.max((seconds_for_all_pages * 1e6) as Micros);
        let page = RecordId::AssignmentPage(assignment.page);
        self.write_buffer
            .mark_dirty_lazily(page, context.now.steady + delay);
    }
}

/// Returns a placeholder for the heartbeat of a machine that has not sent one yet.
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
