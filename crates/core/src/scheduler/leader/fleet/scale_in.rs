//! Scale-in: terminates machines that are idle, and empty machines that are cordoned or about to be reclaimed.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::{total_run_s, Demand, PlanningPass};
use crate::scheduler::leader::fleet::autoscaler::supply::computing_power;
use crate::scheduler::Scheduler;
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::machine::{Cordon, Machine};
use crate::Micros;
use log::info;

/// An idle machine. The order of the fields is the order in which machines are terminated: on-demand machines
/// first, since they cost more, then the machines that have been idle longest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    spot: bool,
    /// Time since when the machine has been idle, in microseconds.
    idle_since: Micros,
    name: String,
}

/// Returns whether the machine has no assignments, no planned tasks and no exits that are not acknowledged yet.
fn is_empty(machine: &Machine) -> bool {
    machine.assignments.is_empty()
        && machine.planned.is_empty()
        && machine.exited_attempts.is_empty()
}

/// Returns whether the fleet covers the demand without a machine. Demand to which the machine contributes no
/// computing power is not checked, so it may be uncovered.
fn is_covered_without(demand: &[Demand], power: &[f64], machine_power: &[f64]) -> bool {
    demand
        .iter()
        .zip(power)
        .zip(machine_power)
        .all(|((d, power), own)| {
            *own <= RESOURCE_TOLERANCE || power - own + RESOURCE_TOLERANCE >= d.tasks
        })
}

impl Scheduler {
    /// Terminates machines that have been idle for the hold time if the computing power without them covers the
    /// demand, and machines that are cordoned or about to be reclaimed once they are empty.
    pub(crate) fn scale_in(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let mut to_terminate: Vec<String> = Vec::new();
        let mut idle_machines: Vec<IdleMachine> = Vec::new();
        for machine in self.machines.values().filter(|m| is_empty(m)) {
            if machine.cordon.is_some() || machine.reclaim_at.is_some() {
                to_terminate.push(machine.name.clone());
                continue;
            }
            let idle_hold = match machine.spot {
                true => context.tuning.idle_hold_us,
                false => context.tuning.idle_hold_ordinary_us,
            };
            if now.saturating_sub(machine.idle_since) >= idle_hold
                && now.saturating_sub(self.loaded_at) >= idle_hold
            {
                idle_machines.push(IdleMachine {
                    spot: machine.spot,
                    idle_since: machine.idle_since,
                    name: machine.name.clone(),
                });
            }
        }
        for name in self.dispensable_machines(context, idle_machines) {
            info!(machine = name; "terminating an idle machine");
            to_terminate.push(name);
        }
        for name in to_terminate {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            machine.cordon.get_or_insert(Cordon::ScaleIn);
            let partition = machine.partition;
            if self.may_be_terminated(partition, &name) {
                self.fleet.terminate(&name, now);
            }
        }
    }

    /// Returns the idle machines without which the demand is still covered.
    fn dispensable_machines(
        &self,
        context: &Context,
        mut idle_machines: Vec<IdleMachine>,
    ) -> Vec<String> {
        if idle_machines.is_empty() {
            return Vec::new();
        }
        idle_machines.sort();
        let demand = self.demand(context, PlanningPass::AllOfferings);
        let total_run_s = total_run_s(&demand);
        let mut power = self.power_of_fleet(context, &self.supply(context), &demand);
        let mut dispensable_machines = Vec::new();
        for IdleMachine { name, .. } in idle_machines {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            let Some(machine_type) = context.machine_type(&machine.machine_type) else {
                continue;
            };
            // The computing power of an empty machine, as it is included in the power of the fleet.
            let machine_power = computing_power(&demand, total_run_s, None, |d| {
                d.slots_per_machine(machine_type, &machine.zone, machine.spot)
            });
            // The next machines may be dispensable even if this one is needed. If the search ended here, one
            // on-demand machine kept free for services would keep all idle spot machines from being terminated.
            if !is_covered_without(&demand, &power, &machine_power) {
                continue;
            }
            for (power, own) in power.iter_mut().zip(&machine_power) {
                *power -= own;
            }
            dispensable_machines.push(name);
        }
        dispensable_machines
    }
}
