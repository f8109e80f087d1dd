//! The plan: which machines to add so that the supply covers the demand.

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

/// Most machines in one provisioning request.
pub(crate) const MAX_MACHINES_PER_REQUEST: u64 = 50;

/// Most machines of one offering in one round of the autoscaler.
const MAX_MACHINES_PER_OFFERING: u64 = 2 * MAX_MACHINES_PER_REQUEST;

/// Most machines that one pass of the autoscaler adds.
const MAX_MACHINES_PER_PASS: usize = 200;

/// An offering is about as cheap as the cheapest if its price per CPU is at most this multiple of it.
const CHEAP_PRICE_FACTOR: f64 = 1.5;

/// How many machines of which offering are to be provisioned.
pub(crate) type ProvisionPlan = BTreeMap<MachineOffering, u64>;

/// An offering that a pass may add machines of.
struct Candidate {
    offering: MachineOffering,
    /// Its price, with the risk of spot reclamation as a factor.
    price: f64,
    /// Computing power of one machine, for each demand.
    power: Vec<f64>,
}

/// The demand that the computing power of the fleet does not cover, while machines are added to the plan.
struct UnmetDemand<'a> {
    demand: &'a [Demand<'a>],
    /// Computing power before the pass, for each demand.
    power: Vec<f64>,
    /// Tasks of each demand that are not covered yet.
    gap: Vec<f64>,
    /// The part of a machine's power that has to close gaps before the machine is worth its price.
    least_use: f64,
}

impl<'a> UnmetDemand<'a> {
    fn new(demand: &'a [Demand<'a>], power: Vec<f64>, least_use: f64) -> Self {
        let gap = demand
            .iter()
            .zip(&power)
            .map(|(d, power)| (d.tasks - power).max(0.0))
            .collect();
        UnmetDemand {
            demand,
            power,
            gap,
            least_use,
        }
    }

    /// Whether demand that nothing covers would get its first machine. Tasks that no machine can take get one
    /// however little they fill, and so do tasks that each need a slot now: a gang that lacked one slot once
    /// waited for good.
    fn serves_stranded_tasks(&self, power: &[f64]) -> bool {
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

    /// The price of a machine per second of missing run time that it adds; `None`: it is not worth adding.
    fn cost(&self, candidate: &Candidate, backlog_exceeded: bool) -> Option<f64> {
        let power = &candidate.power;
        // Seconds of run time that the machine can take, and those of them that are missing.
        let capacity: f64 = power
            .iter()
            .zip(self.demand)
            .map(|(power, d)| power * d.run_s)
            .sum();
        let closes: f64 = power
            .iter()
            .zip(&self.gap)
            .zip(self.demand)
            .map(|((power, gap), d)| power.min(*gap) * d.run_s)
            .sum();
        let worth_it = backlog_exceeded || self.serves_stranded_tasks(power);
        let closes = match backlog_exceeded {
            true => closes.max(RESOURCE_TOLERANCE),
            false => closes,
        };
        if capacity <= 0.0 || closes <= 0.0 || (!worth_it && closes < capacity * self.least_use) {
            return None;
        }
        Some(candidate.price / closes)
    }

    /// The candidate with the lowest price per second of missing run time.
    fn cheapest<'c>(
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

    /// A machine of this power is added.
    fn close(&mut self, power: &[f64]) {
        for (gap, power) in self.gap.iter_mut().zip(power) {
            *gap = (*gap - power).max(0.0);
        }
    }
}

/// The price of a machine of the type; `None`: there are no spot machines of it.
fn price_of(machine_type: &MachineType, spot: bool) -> Option<f64> {
    match spot {
        true => machine_type.spot_price,
        false => Some(machine_type.price),
    }
}

fn price_per_cpu(machine_type: &MachineType, price: f64) -> f64 {
    price / machine_type.cpus.max(RESOURCE_TOLERANCE)
}

fn lowest_price_per_cpu(catalogue: &[MachineType]) -> f64 {
    let lowest = |t: &MachineType| t.spot_price.unwrap_or(t.price).min(t.price);
    catalogue
        .iter()
        .map(|t| price_per_cpu(t, lowest(t)))
        .fold(f64::MAX, f64::min)
}

/// Seconds that one machine would take for all waiting batch tasks.
fn batch_backlog_s(catalogue: &[MachineType], demand: &[Demand]) -> f64 {
    let most_slots = |d: &Demand| {
        catalogue
            .iter()
            .filter(|t| task_fits_machine_type(d.spec, t))
            .map(|t| tasks_that_fit(MachineResources::of_type(t), d.spec) as f64)
            .fold(1.0, f64::max)
    };
    demand
        .iter()
        .filter(|d| d.is_batch())
        .map(|d| d.tasks * d.run_s / most_slots(d))
        .sum()
}

impl Scheduler {
    /// Adds machines to the plan while the demand exceeds the computing power, by price per unit of the gap.
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
        let ready: f64 = supply.iter().map(|s| s.machines).sum();
        let planned = plan.values().sum::<u64>() as usize;
        let booting = self.fleet.booting_count() + planned;
        let fleet_max = context.tuning.fleet_max as usize;
        let most = fleet_max.saturating_sub(self.machines.len() + booting);
        for added in 0..most.min(MAX_MACHINES_PER_PASS) {
            // Far deadlines let the computing power cover any demand on paper: a few machines once worked off
            // a growing queue for a whole day.
            let machines = ready + (booting + added) as f64;
            let backlog_exceeded = backlog_s > machines * backlog_limit_s;
            let Some(best) = unmet.cheapest(&candidates, plan, backlog_exceeded) else {
                break;
            };
            unmet.close(&best.power);
            *plan.entry(best.offering.clone()).or_insert(0) += 1;
        }
    }

    /// Computing power of a machine that is provisioned now, for each demand.
    fn power_of_new_machine(
        &self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        demand: &[Demand],
    ) -> Vec<f64> {
        let boot_s = self.expected_boot_time(machine_type) as f64 / MICROS_PER_SECOND;
        computing_power(demand, total_run_s(demand), Some(boot_s), |d| {
            d.slots(machine_type, zone, spot)
        })
    }

    fn add_power_of_plan(
        &self,
        catalogue: &[MachineType],
        demand: &[Demand],
        plan: &ProvisionPlan,
        sum: &mut [f64],
    ) {
        for (offering, number) in plan {
            let mut types = catalogue.iter();
            let Some(machine_type) = types.find(|t| t.name == offering.machine_type) else {
                continue;
            };
            let power =
                self.power_of_new_machine(machine_type, &offering.zone, offering.spot, demand);
            for (sum, power) in sum.iter_mut().zip(power) {
                *sum += power * *number as f64;
            }
        }
    }

    /// The offerings that machines may be requested of now.
    fn candidate_offerings(
        &self,
        context: &Context,
        catalogue: &[MachineType],
        demand: &[Demand],
        pass: PlanningPass,
    ) -> Vec<Candidate> {
        let lowest = lowest_price_per_cpu(catalogue);
        let mut candidates = Vec::new();
        for machine_type in catalogue {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let Some(price) = price_of(machine_type, spot) else {
                        continue;
                    };
                    let offering = MachineOffering::new(&machine_type.name, zone, spot);
                    let too_expensive = pass == PlanningPass::CheapOfferings
                        && price_per_cpu(machine_type, price) > lowest * CHEAP_PRICE_FACTOR;
                    if too_expensive || !self.may_request(context, &offering) {
                        continue;
                    }
                    let risk = if spot { context.tuning.spot_risk } else { 1.0 };
                    candidates.push(Candidate {
                        offering,
                        price: price * risk,
                        power: self.power_of_new_machine(machine_type, zone, spot, demand),
                    });
                }
            }
        }
        candidates
    }

    /// Whether machines of the offering may be requested: it did not lack capacity lately, and no request
    /// for it is unanswered.
    fn may_request(&self, context: &Context, offering: &MachineOffering) -> bool {
        let mut unanswered = self.fleet.unanswered_provisions();
        !self.fleet.is_unavailable(offering, context.now.steady)
            && !unanswered.any(|provision| provision.offering() == *offering)
    }

    /// Seconds of waiting batch tasks that each machine may have: with more, the last tasks start too late.
    fn backlog_limit_s(&self, context: &Context) -> f64 {
        let boot_time = self.least_boot_time(context);
        let limit = match context.settings.longest_start_objective(boot_time) {
            Some(start) => (start as f64 * context.tuning.backlog_share) as Micros,
            None => Micros::MAX,
        };
        limit.min(context.tuning.backlog_us) as f64 / MICROS_PER_SECOND
    }
}
