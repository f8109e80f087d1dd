//! Consolidation: drains machines whose tasks fit on others, so that they can be terminated.

use crate::context::Context;
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{permits, tasks_that_fit, MachineResources};
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::machine::{Assignment, Machine};
use crate::{Micros, SECOND};
use log::info;

/// Besides one, one of so many machines may be drained at a time.
const MACHINES_PER_DRAIN: usize = 20;

/// How many candidates are tried for each machine that may be drained; the others come next time.
const CANDIDATES_PER_DRAIN: usize = 8;

/// Machines are drained no further once tasks have waited so long for free resources, in microseconds.
const MAX_WAIT: Micros = 20 * SECOND;

/// Part of its CPUs that must be free on a machine before it is drained.
const LEAST_FREE_PART: f64 = 0.25;

/// The free CPUs of the fleet must be this multiple of the machine's own before it is drained: as many are left
/// over for what comes next.
const LEAST_FREE_MACHINES: f64 = 2.0;

/// Tasks that end sooner than this are not moved, in microseconds.
const LEAST_REMAINING: Micros = 20 * SECOND;

/// A machine that may take tasks of drained ones.
#[derive(Clone)]
struct TargetMachine<'a> {
    machine: &'a Machine,
    free: MachineResources,
}

/// A task that is stopped with a checkpoint, to go on elsewhere.
struct TaskMove {
    attempt: u64,
    /// Time for the checkpoint, in microseconds.
    grace: Micros,
}

/// A machine to be drained.
struct Drain {
    machine: String,
    moves: Vec<TaskMove>,
}

impl Scheduler {
    /// Drains machines whose tasks fit elsewhere while nothing waits for free resources, so that they can be
    /// terminated: tasks with checkpoints move, the others run to their end. On-demand machines go first, then
    /// the emptiest. A machine's worth of free resources is left over for what comes next.
    pub(crate) fn consolidate(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let longest_wait = self.longest_wait(context);
        if longest_wait.is_some_and(|wait| wait > MAX_WAIT) {
            self.stop_draining(now);
        }
        let hold = context.tuning.idle_hold_us;
        if longest_wait.is_some() || now.saturating_sub(self.loaded_at) < hold {
            return;
        }
        for Drain { machine, moves } in self.choose_drains(context) {
            info!(machine = machine, tasks = moves.len(); "draining a machine");
            if let Some(machine) = self.machines.get_mut(&machine) {
                machine.cordoned = true;
                machine.draining = true;
            }
            for TaskMove { attempt, grace } in moves {
                self.stop_assignments(context, &machine, grace, |a| a.attempt == attempt);
            }
        }
    }

    /// How long the first of the waiting jobs has waited, in microseconds. Tasks that wait for their team's
    /// limit need no free resources.
    fn longest_wait(&self, context: &Context) -> Option<Micros> {
        let now = context.now.steady;
        self.jobs
            .iter()
            .filter(|(index, job)| job.placeable_count(now) > 0 && self.has_quota(context, *index))
            .map(|(_, job)| now.saturating_sub(job.waiting_since.unwrap_or(now)))
            .max()
    }

    /// Tasks have waited long, and the other machines have no free resources for them: machines that are being
    /// drained take tasks again. They once stood half empty for as long as their last tasks took, while jobs
    /// waited and nothing could be provisioned.
    fn stop_draining(&mut self, now: Micros) {
        for machine in self.machines.values_mut().filter(|m| m.draining) {
            if machine.assignments.is_empty() || self.fleet.is_terminating(&machine.name) {
                continue;
            }
            info!(machine = machine.name; "draining stopped, tasks wait for free resources");
            machine.draining = false;
            machine.cordoned = false;
            self.placement.request_round(now);
        }
    }

    /// How many more machines may be drained now.
    fn drains_left(&self, usable: usize) -> usize {
        let draining = |m: &&Machine| m.cordoned && !m.assignments.is_empty();
        let under_way = self.machines.values().filter(draining).count();
        (1 + usable / MACHINES_PER_DRAIN).saturating_sub(under_way)
    }

    fn choose_drains(&self, context: &Context) -> Vec<Drain> {
        let usable: Vec<&Machine> = self.usable_machines(context).collect();
        let most = self.drains_left(usable.len());
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
        for machine in candidates.take(CANDIDATES_PER_DRAIN * most) {
            if drains.len() >= most || free_cpus < LEAST_FREE_MACHINES * machine.cpus {
                break;
            }
            let mut targets_left = targets.clone();
            targets_left.retain(|target| target.machine.name != machine.name);
            let moves = self.move_tasks(context, machine, &mut targets_left);
            // Without a task to move it would be empty as soon by itself.
            if let Some(moves) = moves.filter(|moves| !moves.is_empty()) {
                free_cpus -= machine.cpus;
                targets = targets_left;
                let machine = machine.name.clone();
                drains.push(Drain { machine, moves });
            }
        }
        drains
    }

    /// Takes the resources for the machine's tasks on other machines; `None`: some of them fit nowhere else or
    /// are not to be moved.
    fn move_tasks(
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
            // A move is a gap in what it serves.
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

fn is_worth_moving(assignment: &Assignment, context: &Context) -> bool {
    assignment.remaining_time(context.now.steady, 0) > LEAST_REMAINING
}

/// Machines that may be drained, the first to be drained first.
fn drain_candidates(usable: Vec<&Machine>) -> Vec<&Machine> {
    let mut candidates = usable;
    candidates.retain(|m| !m.assignments.is_empty() && m.free().cpus > m.cpus * LEAST_FREE_PART);
    candidates.sort_by_cached_key(|m| {
        let free_milli_cpus = (m.free().cpus * 1e3) as i64;
        (m.spot, -free_milli_cpus, m.name.as_str())
    });
    candidates
}
