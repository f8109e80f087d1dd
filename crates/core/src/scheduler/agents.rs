//! Machines as their agents report them: assignments on a machine, from the decision until they are proven gone.

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

/// How long the removal of an assignment may wait to be written: until then its page lists a task
/// that is gone, which the next leader finds out from the worker's first report.
const FREE_DELAY: Micros = 8 * SECOND;

/// The part of the write rate that such removals may take.
const FREE_WRITES: f64 = 0.2;

/// How a report came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
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
    pub(crate) fn add_assignment(&mut self, name: &str, a: Assignment) {
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
    pub(crate) fn remove_assignment(&mut self, context: &mut Context, name: &str, at: usize) {
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
        self.placement.request_round(context.now.steady);
        self.end_if_over(context, a.job);
    }
}
