//! The plan: decides which machines to add so that the supply covers the demand.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::{
    total_run_s, Demand, PlanningPass, MICROS_PER_SECOND,
};
use crate::scheduler::leader::fleet::autoscaler::supply::{computing_power, Supply};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::{tasks_that_fit, MachineResources};
use crate::state::fleet::MachineOffering;
use crate::state::jobs::{task_fits_machine_type, RESOURCE_TOLERANCE};
use crate::Micros;
use grebewood_wire::http::MachineType;
use std::collections::BTreeMap;

/// Maximum number of machines in one provisioning request.
pub(crate) const MAX_MACHINES_PER_REQUEST: u64 = 50;

/// Maximum number of machines of one offering that one round of the autoscaler adds.
const MAX_MACHINES_PER_OFFERING: u64 = 2 * MAX_MACHINES_PER_REQUEST;

/// Maximum number of machines that one planning pass adds to the plan.
const MAX_MACHINES_PER_PASS: usize = 200;

/// An offering counts as cheap if its price per CPU is at most this multiple of the lowest price per CPU.
const CHEAP_PRICE_FACTOR: f64 = 1.5;

/// Number of machines to provision, by offering.
pub(crate) type ProvisionPlan = BTreeMap<MachineOffering, u64>;

/// An offering of which a planning pass may add machines.
struct Candidate {
    offering: MachineOffering,
    /// Price of one machine, multiplied by a risk factor for spot machines, which the cloud may reclaim.
    price: f64,
    /// Computing power of one machine, for each demand.
    power: Vec<f64>,
}

/// Demand that the computing power of the fleet does not cover, updated as machines are added to the plan.
struct UnmetDemand<'a> {
    demand: &'a [Demand<'a>],
    /// Computing power for each demand, as a number of tasks: that of the fleet, with machines that are booting or
    /// requested, and that of the machines that an earlier pass added to the plan.
    power: Vec<f64>,
    /// Number of tasks of each demand that are not covered yet.
    gap: Vec<f64>,
    /// Fraction of a machine's computing power that must close gaps before the machine is added.
    min_useful_fraction: f64,
}

impl<'a> UnmetDemand<'a> {
    fn new(demand: &'a [Demand<'a>], power: Vec<f64>, min_useful_fraction: f64) -> Self {
        let gap = demand
            .iter()
            .zip(&power)
            .map(|(d, power)| (d.tasks - power).max(0.0))
            .collect();
        UnmetDemand {
            demand,
            power,
            gap,
            min_useful_fraction,
        }
    }

    /// Returns whether a machine with this computing power for each demand serves tasks that must get a machine
    /// however little of it they use: batch tasks for which the fleet has no computing power and the plan has added
    /// none, and tasks of gangs and services that lack a slot, which is free resources for one task on a machine.
    /// Without this rule, a gang that lacks one slot would wait forever.
    fn serves_uncovered_tasks(&self, power: &[f64]) -> bool {
        let mut demand = self.demand.iter().enumerate();
        demand.any(|(i, d)| match d.is_batch() {
            true => {
                self.power[i] <= RESOURCE_TOLERANCE
                    && power[i] > 0.0
                    && self.gap[i] >= d.tasks - RESOURCE_TOLERANCE
            }
            false => self.gap[i] > RESOURCE_TOLERANCE && power[i] > 0.0,
        })
    }

    /// Returns the price of a machine per second of missing run time that it adds, or `None` if it is not worth
    /// adding.
    fn cost(&self, candidate: &Candidate, backlog_exceeded: bool) -> Option<f64> {
        let power = &candidate.power;
        // Seconds of run time that the machine can take, and how many of those seconds close a gap.
        let capacity_s: f64 = power
            .iter()
            .zip(self.demand)
            .map(|(power, d)| power * d.run_s)
            .sum();
        let closed_s: f64 = power
            .iter()
            .zip(&self.gap)
            .zip(self.demand)
            .map(|((power, gap), d)| power.min(*gap) * d.run_s)
            .sum();
        let is_threshold_waived = backlog_exceeded || self.serves_uncovered_tasks(power);
        let closed_s = match backlog_exceeded {
            true => closed_s.max(RESOURCE_TOLERANCE),
            false => closed_s,
        };
        if capacity_s <= 0.0
            || closed_s <= 0.0
            || (!is_threshold_waived && closed_s < capacity_s * self.min_useful_fraction)
        {
            return None;
        }
        Some(candidate.price / closed_s)
    }

    /// Returns the candidate with the lowest price per second of missing run time.
    fn cheapest_candidate<'c>(
        &self,
        candidates: &'c [Candidate],
        plan: &ProvisionPlan,
        backlog_exceeded: bool,
    ) -> Option<&'c Candidate> {
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in candidates {
            let planned = plan.get(&candidate.offering).copied().unwrap_or(0);
            if planned >= MAX_MACHINES_PER_OFFERING {
                continue;
            }
            let Some(cost) = self.cost(candidate, backlog_exceeded) else {
                continue;
            };
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Reduces the gaps by the computing power of a machine that is added to the plan.
    fn close_gaps(&mut self, power: &[f64]) {
        for (gap, power) in self.gap.iter_mut().zip(power) {
            *gap = (*gap - power).max(0.0);
        }
    }
}

/// Returns the price of a spot or on-demand machine of the type, or `None` if the type has no spot machines.
fn price_of(machine_type: &MachineType, spot: bool) -> Option<f64> {
    match spot {
        true => machine_type.spot_price,
        false => Some(machine_type.price),
    }
}

fn price_per_cpu(machine_type: &MachineType, price: f64) -> f64 {
    price / machine_type.cpus.max(RESOURCE_TOLERANCE)
}

/// Returns the lowest price per CPU of all offerings.
fn lowest_price_per_cpu(catalogue: &[MachineType]) -> f64 {
    let lowest = |t: &MachineType| t.spot_price.unwrap_or(t.price).min(t.price);
    catalogue
        .iter()
        .map(|t| price_per_cpu(t, lowest(t)))
        .fold(f64::MAX, f64::min)
}

/// Returns how many seconds one machine takes to run all waiting batch tasks, if it is for each job of the type with
/// the most slots.
fn batch_backlog_s(catalogue: &[MachineType], demand: &[Demand]) -> f64 {
    let max_slots = |d: &Demand| {
        catalogue
            .iter()
            .filter(|t| task_fits_machine_type(d.spec, t))
            .map(|t| tasks_that_fit(MachineResources::of_type(t), d.spec) as f64)
            .fold(1.0, f64::max)
    };
    demand
        .iter()
        .filter(|d| d.is_batch())
        .map(|d| d.tasks * d.run_s / max_slots(d))
        .sum()
}

impl Scheduler {
    /// Adds machines to the plan while the demand exceeds the computing power, the lowest price per unit of the gap
    /// first.
    pub(crate) fn add_to_plan(
        &self,
        context: &Context,
        catalogue: &[MachineType],
        supply: &[Supply],
        pass: PlanningPass,
        plan: &mut ProvisionPlan,
    ) {
        let demand = self.demand(context, pass);
        if demand.is_empty() {
            return;
        }
        let mut power = self.power_of_fleet(context, supply, &demand);
        self.add_power_of_plan(catalogue, &demand, plan, &mut power);
        let mut unmet = UnmetDemand::new(&demand, power, context.tuning.rent_threshold);
        let candidates = self.candidate_offerings(context, catalogue, &demand, pass);
        let backlog_s = batch_backlog_s(catalogue, &demand);
        let backlog_limit_s = self.backlog_limit_s(context);
        let machines_up: f64 = supply.iter().map(|s| s.machines).sum();
        let planned = plan.values().sum::<u64>() as usize;
        let booting = self.fleet.booting_count() + planned;
        let fleet_max = context.tuning.fleet_max as usize;
        let max_added = fleet_max.saturating_sub(self.machines.len() + booting);
        for added in 0..max_added.min(MAX_MACHINES_PER_PASS) {
            // With distant deadlines, the computing power covers almost any demand in the calculation. Without a
            // limit on the backlog, a few machines would work through a growing queue for a whole day.
            let machines = machines_up + (booting + added) as f64;
            let backlog_exceeded = backlog_s > machines * backlog_limit_s;
            let Some(best) = unmet.cheapest_candidate(&candidates, plan, backlog_exceeded) else {
                break;
            };
            unmet.close_gaps(&best.power);
            *plan.entry(best.offering.clone()).or_insert(0) += 1;
        }
    }

    /// Returns the computing power of a machine that is provisioned now, for each demand.
    fn power_of_new_machine(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        demand: &[Demand],
    ) -> Vec<f64> {
        let boot_s = self.expected_boot_time(machine_type) as f64 / MICROS_PER_SECOND;
        computing_power(demand, total_run_s(demand), Some(boot_s), |d| {
            d.slots_per_machine(machine_type, zone, spot)
        })
    }

    /// Adds the computing power of the machines that are in the plan already.
    fn add_power_of_plan(
        &self,
        catalogue: &[MachineType],
        demand: &[Demand],
        plan: &ProvisionPlan,
        total_power: &mut [f64],
    ) {
        for (offering, number) in plan {
            let mut types = catalogue.iter();
            let Some(machine_type) = types.find(|t| t.name == offering.machine_type) else {
                continue;
            };
            let power =
                self.power_of_new_machine(machine_type, &offering.zone, offering.spot, demand);
            for (sum, power) in total_power.iter_mut().zip(power) {
                *sum += power * *number as f64;
            }
        }
    }

    /// Returns the offerings of which machines may be requested now.
    fn candidate_offerings(
        &self,
        context: &Context,
        catalogue: &[MachineType],
        demand: &[Demand],
        pass: PlanningPass,
    ) -> Vec<Candidate> {
        let lowest_price = lowest_price_per_cpu(catalogue);
        let mut candidates = Vec::new();
        for machine_type in catalogue {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let Some(price) = price_of(machine_type, spot) else {
                        continue;
                    };
                    let offering = MachineOffering::new(&machine_type.name, zone, spot);
                    let is_too_expensive = pass == PlanningPass::CheapOfferings
                        && price_per_cpu(machine_type, price) > lowest_price * CHEAP_PRICE_FACTOR;
                    if is_too_expensive || !self.may_request(context, &offering) {
                        continue;
                    }
                    let risk_factor = if spot { context.tuning.spot_risk } else { 1.0 };
                    candidates.push(Candidate {
                        offering,
                        price: price * risk_factor,
                        power: self.power_of_new_machine(machine_type, zone, spot, demand),
                    });
                }
            }
        }
        candidates
    }

    /// Returns whether machines of the offering may be requested: the offering did not lack capacity recently,
    /// and no provisioning request for it is unanswered.
    fn may_request(&self, context: &Context, offering: &MachineOffering) -> bool {
        let mut unanswered = self.fleet.unanswered_provisions();
        !self.fleet.is_unavailable(offering, context.now.steady)
            && !unanswered.any(|provision| provision.offering() == *offering)
    }

    /// Returns the maximum backlog of batch tasks per machine, in seconds. With a larger backlog, the last tasks
    /// start too late.
    fn backlog_limit_s(&self, context: &Context) -> f64 {
        let boot_time = self.shortest_boot_time(context);
        let limit = match context.settings.longest_start_objective(boot_time) {
            Some(start) => (start as f64 * context.tuning.backlog_share) as Micros,
            None => Micros::MAX,
        };
        limit.min(context.tuning.backlog_us) as f64 / MICROS_PER_SECOND
    }
}
