//! Scale in: terminates machines that are idle, or cordoned and empty.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::{total_run_s, Demand, PlanningPass};
use crate::scheduler::leader::fleet::autoscaler::supply::computing_power;
use crate::scheduler::Scheduler;
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::state::machine::Machine;
use crate::Micros;
use log::info;

/// An idle machine, in the order in which machines are terminated: on-demand machines first, since they cost
/// more, then those that have been idle longest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    spot: bool,
    /// Since when it is idle, in microseconds.
    idle_since: Micros,
    name: String,
}

/// Whether nothing is on the machine, nor to be placed there.
fn is_empty(machine: &Machine) -> bool {
    machine.assignments.is_empty()
        && machine.planned.is_empty()
        && machine.exited_attempts.is_empty()
}

/// Whether the computing power without a machine covers the demand. What the machine can do nothing for may
/// lack power all the same.
fn is_covered_without(demand: &[Demand], power: &[f64], of_machine: &[f64]) -> bool {
    demand
        .iter()
        .zip(power)
        .zip(of_machine)
        .all(|((d, power), own)| {
            *own <= RESOURCE_TOLERANCE || power - own + RESOURCE_TOLERANCE >= d.tasks
        })
}

impl Scheduler {
    /// Terminates machines that have been idle for the hold time, if the computing power without them covers
    /// the demand; and those that are cordoned or about to be reclaimed, once they are empty.
    pub(crate) fn scale_in(&mut self, context: &mut Context) {
        let now = context.now.steady;
        let mut terminate: Vec<String> = Vec::new();
        let mut idle: Vec<IdleMachine> = Vec::new();
        for machine in self.machines.values().filter(|m| is_empty(m)) {
            if machine.cordoned || machine.reclaim_at.is_some() {
                terminate.push(machine.name.clone());
                continue;
            }
            let hold = match machine.spot {
                true => context.tuning.idle_hold_us,
                false => context.tuning.idle_hold_ordinary_us,
            };
            if now.saturating_sub(machine.idle_since) >= hold
                && now.saturating_sub(self.loaded_at) >= hold
            {
                idle.push(IdleMachine {
                    spot: machine.spot,
                    idle_since: machine.idle_since,
                    name: machine.name.clone(),
                });
            }
        }
        for name in self.dispensable(context, idle) {
            info!(machine = name; "terminating an idle machine");
            terminate.push(name);
        }
        for name in terminate {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            machine.cordoned = true;
            let partition = machine.partition;
            if self.may_be_terminated(partition, &name) {
                self.fleet.terminate(&name, now);
            }
        }
    }

    /// Those of the idle machines without which the demand is covered.
    fn dispensable(&self, context: &Context, mut idle: Vec<IdleMachine>) -> Vec<String> {
        if idle.is_empty() {
            return Vec::new();
        }
        idle.sort();
        let demand = self.demand(context, PlanningPass::AllOfferings);
        let total = total_run_s(&demand);
        let mut power = self.power_of_fleet(context, &self.supply(context), &demand);
        let mut dispensable = Vec::new();
        for IdleMachine { name, .. } in idle {
            let Some(machine) = self.machines.get(&name) else {
                continue;
            };
            let Some(machine_type) = context.machine_type(&machine.machine_type) else {
                continue;
            };
            // An empty machine's power, as it is part of the fleet's.
            let of_machine = computing_power(&demand, total, None, |d| {
                d.slots(machine_type, &machine.zone, machine.spot)
            });
            // One that is needed says nothing of the next: an on-demand machine kept free for services once
            // kept all idle spot machines for good.
            if !is_covered_without(&demand, &power, &of_machine) {
                continue;
            }
            for (power, own) in power.iter_mut().zip(&of_machine) {
                *power -= own;
            }
            dispensable.push(name);
        }
        dispensable
    }
}
