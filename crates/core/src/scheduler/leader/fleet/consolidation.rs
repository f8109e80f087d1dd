//! Consolidation: drains machines whose tasks fit on other machines, so that the drained machines can be terminated.
//! A machine that is drained is cordoned, and those of its tasks that write checkpoints and still run long enough are
//! moved.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::machine::{Assignment, Cordon, Machine};
use crate::state::placement::MAX_WAIT_BESIDE_ROOM_US;
use crate::{Micros, SECOND};
use log::info;

/// Number of usable machines for each machine that may be drained at the same time in addition to the first.
const MACHINES_PER_DRAIN: usize = 20;

/// Number of candidates that one round tries for each machine that may be drained.
const CANDIDATES_PER_DRAIN: usize = 8;

/// Once a job has waited longer than this for free resources, machines that are being drained take tasks again, in
/// microseconds.
const MAX_WAIT_US: Micros = 20 * SECOND;

/// Time within which a job is placed once it may use all free resources, in microseconds.
const ROUNDS_TO_PLACE_US: Micros = 3 * SECOND;

/// A machine is drained only if more than this fraction of its CPUs is free.
const MIN_FREE_CPU_FRACTION: f64 = 0.25;

/// A machine is drained only if the fleet's free CPUs are at least this multiple of the machine's CPUs. Then at
/// least one machine's worth of them is left for new tasks.
const MIN_FREE_CPUS_FACTOR: f64 = 2.0;

/// Tasks with at most this much remaining run time are not moved, in microseconds.
const MIN_REMAINING_US: Micros = 20 * SECOND;

/// A machine that may take tasks of drained machines.
#[derive(Clone)]
struct TargetMachine<'a> {
    machine: &'a Machine,
    free: MachineResources,
}

/// A task that is stopped with a checkpoint and resumed on another machine.
struct TaskMove {
    attempt: u64,
    /// Time that the task has for its checkpoint, in microseconds.
    grace: Micros,
}

/// A machine to be drained, and the tasks to be moved off it.
struct Drain {
    machine: String,
    moves: Vec<TaskMove>,
}

impl Scheduler {
    /// Drains machines whose tasks fit elsewhere, so that they can be terminated, while no job waits for free
    /// resources. Tasks with checkpoints are moved; the other tasks run to their end. On-demand machines are
    /// drained before spot machines, and the emptiest of each first. Free CPUs worth one machine are left for new
    /// tasks.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let longest_wait = self.longest_wait(context);
        if longest_wait.is_some_and(|wait| wait > MAX_WAIT_US) {
            self.end_cordons(now, Cordon::ScaleIn);
        }
        // Jobs that have waited for less may still be placed elsewhere in the next rounds.
        if self.longest_wait_beside_room(now) > MAX_WAIT_BESIDE_ROOM_US + ROUNDS_TO_PLACE_US {
            self.end_cordons(now, Cordon::Faulty);
        }
        let idle_hold = context.tuning.idle_hold_us;
        if longest_wait.is_some() || now.saturating_sub(self.loaded_at) < idle_hold {
            return;
        }
        for Drain { machine, moves } in self.choose_drains(context) {
            info!(machine = machine, tasks = moves.len(); "draining a machine");
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.cordon = Some(Cordon::ScaleIn);
            }
            for TaskMove { attempt, grace } in moves {
                self.stop_assignments(context, &machine, grace, |a| a.attempt == attempt);
            }
        }
    }

    /// Returns the longest time for which a job has waited for free resources, in microseconds. Jobs that wait for
    /// their team's limit do not count, since free resources would not help them.
    fn longest_wait(&self, context: &Context) -> Option<Micros> {
        let now = context.now.steady;
        self.jobs
            .iter()
            .filter(|(index, job)| job.placeable_count(now) > 0 && self.has_quota(context, *index))
            .map(|(_, job)| now.saturating_sub(job.waiting_since.unwrap_or(now)))
            .max()
    }

    /// Lets machines that are cordoned for this reason, not empty and not being terminated take tasks again, after
    /// tasks have waited long because the other machines have no free resources for them. Without this, they would
    /// stay half empty until their last tasks end, while jobs wait and no machines can be provisioned. Replicas never
    /// end.
    fn end_cordons(&mut self, now: Micros, reason: Cordon) {
        let machines = self.machines.values_mut();
        for machine in machines.filter(|machine| machine.cordon == Some(reason)) {
            if machine.assignments.is_empty() || self.fleet.is_terminating(&machine.name) {
                continue;
            }
            machine.uncordon_for_waiting_tasks();
            self.placement.request_round(now);
        }
    }

    /// Returns how many more machines may be drained now.
    fn drains_left(&self, usable: usize) -> usize {
        let is_draining = |m: &&Machine| m.cordon.is_some() && !m.assignments.is_empty();
        let draining_count = self.machines.values().filter(is_draining).count();
        (1 + usable / MACHINES_PER_DRAIN).saturating_sub(draining_count)
    }

    /// Chooses the machines to drain now.
    fn choose_drains(&self, context: &Context) -> Vec<Drain> {
        let usable: Vec<&Machine> = self.usable_machines(context).collect();
        let max_drains = self.drains_left(usable.len());
        let mut free_cpus: f64 = usable.iter().map(|m| m.free().cpus).sum();
        let mut targets: Vec<TargetMachine> = usable
            .iter()
            .map(|machine| TargetMachine {
                machine,
                free: machine.free(),
            })
            .filter(|target| target.free.cpus > RESOURCE_TOLERANCE)
            .collect();
        let mut drains = Vec::new();
        let candidates = drain_candidates(usable).into_iter();
        for machine in candidates.take(CANDIDATES_PER_DRAIN * max_drains) {
            if drains.len() >= max_drains || free_cpus < MIN_FREE_CPUS_FACTOR * machine.cpus {
                break;
            }
            let mut remaining_targets = targets.clone();
            remaining_targets.retain(|target| target.machine.name != machine.name);
            let moves = self.plan_task_moves(context, machine, &mut remaining_targets);
            // A machine with no task to move becomes empty just as soon without being drained.
            if let Some(moves) = moves.filter(|moves| !moves.is_empty()) {
                free_cpus -= machine.cpus;
                targets = remaining_targets;
                let machine = machine.name.clone();
                drains.push(Drain { machine, moves });
            }
        }
        drains
    }

    /// Reserves resources for the machine's tasks on the target machines and returns the tasks to move. Returns
    /// `None` if one of the tasks fits on no target machine or must not be moved.
    fn plan_task_moves(
        &self,
        context: &Context,
        machine: &Machine,
        targets: &mut [TargetMachine],
    ) -> Option<Vec<TaskMove>> {
        let mut moves = Vec::new();
        for assignment in &machine.assignments {
            let Some(job) = self.jobs.get(assignment.job) else {
                continue;
            };
            // Moving a replica would interrupt its service.
            if job.is_daemon() {
                return None;
            }
            let spec = &job.spec;
            let target = targets.iter_mut().find(|target| {
                let other = target.machine;
                (other.spot || !machine.spot)
                    && tasks_that_fit(target.free, spec) > 0
                    && permits(context, spec, &other.machine_type, &other.zone, other.spot)
            })?;
            target.free = target.free - assignment.resources();
            if job.writes_checkpoints() && is_worth_moving(assignment, context) {
                moves.push(TaskMove {
                    attempt: assignment.attempt,
                    grace: job.checkpoint_grace(),
                });
            }
        }
        Some(moves)
    }
}

/// Returns whether the task runs long enough to be moved.
fn is_worth_moving(assignment: &Assignment, context: &Context) -> bool {
    assignment.remaining_time(context.now.steady, 0) > MIN_REMAINING_US
}

/// Returns the machines that may be drained, in the order in which they are to be drained.
fn drain_candidates(usable: Vec<&Machine>) -> Vec<&Machine> {
    let mut candidates = usable;
    candidates
        .retain(|m| !m.assignments.is_empty() && m.free().cpus > m.cpus * MIN_FREE_CPU_FRACTION);
    candidates.sort_by_cached_key(|m| {
        let free_milli_cpus = (m.free().cpus * 1e3) as i64;
        (m.spot, -free_milli_cpus, m.name.as_str())
    });
    candidates
}
