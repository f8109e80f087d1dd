//! The report that a partition holder sends to the leader in response to its orders.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::holder::ReportedState;
use crate::state::machine::{Assignment, Machine, ObservedStatus};
use crate::{Micros, SECOND};
use grebewood_wire::http::TaskStatus;
use grebewood_wire::peer::{MachineState, PartitionReport, TaskAttempt, TaskState};

/// Maximum number of attempt outcomes in one report.
const MAX_OUTCOMES: usize = 500;

/// Maximum number of machine states in one report.
const MAX_MACHINE_STATES: usize = 300;

/// Time for which reports list a machine after its termination was confirmed, in microseconds.
const TERMINATED_REPORT_TIME_US: Micros = 60 * SECOND;

impl Scheduler {
    /// Returns the report in response to orders of the leader with this fencing token. `last_known_version`
    /// is the version of the last machine state that the leader knows, and `accepted` lists the launches that were
    /// accepted.
    pub(crate) fn partition_report(
        &mut self,
        context: &Context,
        last_known_version: u64,
        leader_token: u64,
        accepted: Vec<TaskAttempt>,
    ) -> PartitionReport {
        self.update_reported_states(context);
        let changed = self.states_since(last_known_version);
        let version = changed
            .last()
            .map_or(last_known_version, |reported| reported.version);
        let outcomes = self.holder_state.outcomes.values();
        let outcomes = outcomes.filter(|o| !self.holder_quota.is_in_later_report(o.id()));
        PartitionReport {
            claim: self.token,
            synced: self.holder_state.reconciled_leader_token == leader_token,
            accepted,
            outcomes: outcomes.take(MAX_OUTCOMES).cloned().collect(),
            machines: changed
                .into_iter()
                .map(|reported| reported.state.clone())
                .collect(),
            terminated: self
                .fleet
                .terminated_within(context.now.steady, TERMINATED_REPORT_TIME_US),
            version,
            heartbeats: self.holder_state.heartbeats,
            quota: self.quota_report(context),
        }
    }

    /// Returns the machine states with a higher version than this, the lowest versions first, up to the maximum of
    /// one report.
    fn states_since(&self, version: u64) -> Vec<&ReportedState> {
        let states = self.holder_state.reported_states.values();
        let mut changed: Vec<&ReportedState> = states
            .filter(|reported| reported.version > version)
            .collect();
        changed.sort_by_key(|reported| reported.version);
        changed.truncate(MAX_MACHINE_STATES);
        changed
    }

    /// Updates the state to report of each machine whose state has changed, and gives it the next version.
    fn update_reported_states(&mut self, context: &Context) {
        let holder = &mut self.holder_state;
        let machines = &self.machines;
        holder
            .reported_states
            .retain(|name, _| machines.contains_key(name));
        for (name, machine) in machines {
            if machine.address.is_empty() {
                continue;
            }
            let state = machine_state(context, machine);
            let reported = holder.reported_states.get(name);
            if reported.is_some_and(|reported| is_same_state(&reported.state, &state)) {
                continue;
            }
            holder.state_version += 1;
            let reported = ReportedState {
                version: holder.state_version,
                state,
            };
            holder.reported_states.insert(name.clone(), reported);
        }
    }
}

/// Returns whether two states are the same. A different time left to a spot reclamation does not count as a
/// change, since that time decreases by itself.
fn is_same_state(a: &MachineState, b: &MachineState) -> bool {
    a.incarnation == b.incarnation
        && a.counts_as_capacity == b.counts_as_capacity
        && a.receives_responses == b.receives_responses
        && a.cordoned == b.cordoned
        && a.reclaim_us.is_some() == b.reclaim_us.is_some()
        && a.tasks == b.tasks
        && a.address == b.address
}

/// Returns the state of a task as last seen in a heartbeat, or `None` if no heartbeat has shown the task.
fn task_state(assignment: &Assignment) -> Option<TaskState> {
    let status = match assignment.observed_status {
        ObservedStatus::Never => return None,
        ObservedStatus::Fetching => TaskStatus::Fetching,
        ObservedStatus::Running => TaskStatus::Running,
        ObservedStatus::Checkpointing => TaskStatus::Checkpointing,
    };
    Some(TaskState {
        id: assignment.id(),
        status,
    })
}

/// Returns the current state of a machine.
fn machine_state(context: &Context, machine: &Machine) -> MachineState {
    let now = context.now.steady;
    let heartbeat_timeout = context.settings.heartbeat_timeout();
    MachineState {
        machine: machine.name.clone(),
        address: machine.address.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        incarnation: machine.incarnation,
        counts_as_capacity: machine.counts_as_capacity(now, heartbeat_timeout),
        receives_responses: machine.receives_responses,
        cordoned: machine.cordon.is_some(),
        reclaim_us: machine.reclaim_at.map(|at| at.saturating_sub(now)),
        tasks: machine.assignments.iter().filter_map(task_state).collect(),
    }
}
