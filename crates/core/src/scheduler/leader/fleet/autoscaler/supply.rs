//! Supply: what the machines that are up or booting can complete of the demand in time.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::{total_run_s, Demand, MICROS_PER_SECOND};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::permits;
use crate::state::fleet::MachineOffering;
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::{micros, Micros};
use grebewood_wire::http::MachineType;
use std::collections::BTreeMap;

/// Tasks of each demand that a machine with `slots` for them completes in time: the paper's computing power
/// `P`, times the slots. `boot_delay_s` is what remains of the boot, in seconds, of a machine that is not up.
/// Gangs and services need a slot each now, and come before batch tasks: they share the slots among themselves.
/// As a part of all demand they once seemed to get next to nothing of a machine, and dozens were provisioned
/// for a few replicas.
pub(crate) fn computing_power(
    demand: &[Demand],
    total_run_s: f64,
    boot_delay_s: Option<f64>,
    slots: impl Fn(&Demand) -> f64,
) -> Vec<f64> {
    let slots: Vec<f64> = demand.iter().map(slots).collect();
    let needed_now: f64 = demand
        .iter()
        .zip(&slots)
        .filter(|(d, slots)| !d.is_batch() && **slots > 0.0)
        .map(|(d, _)| d.tasks)
        .sum();
    demand
        .iter()
        .zip(slots)
        .map(|(d, slots)| {
            if !d.is_batch() {
                return slots * d.tasks / needed_now.max(RESOURCE_TOLERANCE);
            }
            let time_left_s = match boot_delay_s {
                None => d.time_left_s,
                Some(delay) => (d.time_left_booting_s - delay).max(0.0),
            };
            if total_run_s <= 0.0 {
                0.0
            } else {
                time_left_s * d.tasks / total_run_s * slots
            }
        })
        .collect()
}

/// A task on a machine that is up, as the supply sums it up.
struct RunningTask {
    /// Time that it will still take, in seconds.
    remaining_s: f64,
    /// The part of a machine that it takes; after summing up, that of this and all later tasks.
    machine_part: f64,
    /// The sum of the products of both, up to this task.
    machine_seconds: f64,
}

/// Machines of one offering that are up, with what is taken of them.
pub(crate) struct Supply {
    /// What they are.
    offering: MachineOffering,
    /// How many there are.
    pub(crate) machines: f64,
    /// Their tasks, by the time that these still take.
    running: Vec<RunningTask>,
}

impl Supply {
    fn sum_up(&mut self) {
        self.running
            .sort_by(|a, b| a.remaining_s.total_cmp(&b.remaining_s));
        let mut machine_seconds = 0.0;
        for task in &mut self.running {
            machine_seconds += task.remaining_s * task.machine_part;
            task.machine_seconds = machine_seconds;
        }
        // The sum of the parts from each task on is needed as often as that of the products.
        let mut machine_part = 0.0;
        for task in self.running.iter_mut().rev() {
            machine_part += task.machine_part;
            task.machine_part = machine_part;
        }
    }

    /// How many machines are free on average over the next `seconds`: a task that ends before leaves its
    /// resources for the rest of the time.
    fn free_within(&self, seconds: f64) -> f64 {
        let at = self
            .running
            .partition_point(|task| task.remaining_s < seconds);
        let ending = match at {
            0 => 0.0,
            _ => self.running[at - 1].machine_seconds / seconds.max(RESOURCE_TOLERANCE),
        };
        let staying = self.running.get(at).map_or(0.0, |task| task.machine_part);
        (self.machines - ending - staying).max(0.0)
    }
}

/// Adds the computing power of a machine to a sum.
fn add_power(sum: &mut [f64], power: Vec<f64>) {
    for (sum, power) in sum.iter_mut().zip(power) {
        *sum += power;
    }
}

impl Scheduler {
    /// The machines that are up, by offering.
    pub(crate) fn supply(&self, context: &Context) -> Vec<Supply> {
        let now = context.now.steady;
        let heartbeat_timeout = context.settings.heartbeat_timeout();
        let mut by_offering: BTreeMap<(&str, &str, bool), Supply> = BTreeMap::new();
        for machine in self.machines.values() {
            if !machine.counts_as_capacity(now, heartbeat_timeout) || machine.cpus <= 0.0 {
                continue;
            }
            let supply = by_offering
                .entry((&machine.machine_type, &machine.zone, machine.spot))
                .or_insert_with(|| Supply {
                    offering: MachineOffering::new(
                        &machine.machine_type,
                        &machine.zone,
                        machine.spot,
                    ),
                    machines: 0.0,
                    running: Vec::new(),
                });
            supply.machines += 1.0;
            for task in &machine.assignments {
                let cpu_part = task.cpus / machine.cpus;
                supply.running.push(RunningTask {
                    remaining_s: task.remaining_time(now, 0) as f64 / MICROS_PER_SECOND,
                    machine_part: cpu_part
                        .max(task.memory_gb / machine.memory_gb.max(RESOURCE_TOLERANCE)),
                    machine_seconds: 0.0,
                });
            }
        }
        let mut supply: Vec<Supply> = by_offering.into_values().collect();
        for of_offering in &mut supply {
            of_offering.sum_up();
        }
        supply
    }

    /// Computing power of the machines that are up, booting or requested, for each demand.
    pub(crate) fn power_of_fleet(
        &self,
        context: &Context,
        supply: &[Supply],
        demand: &[Demand],
    ) -> Vec<f64> {
        let total = total_run_s(demand);
        let mut sum = vec![0.0; demand.len()];
        self.add_power_of_supply(context, supply, demand, total, &mut sum);
        self.add_power_of_booting(context, demand, total, &mut sum);
        self.add_power_of_requested(context, demand, total, &mut sum);
        sum
    }

    fn add_power_of_supply(
        &self,
        context: &Context,
        supply: &[Supply],
        demand: &[Demand],
        total: f64,
        sum: &mut [f64],
    ) {
        for of_offering in supply {
            let MachineOffering {
                machine_type,
                zone,
                spot,
            } = &of_offering.offering;
            let Some(machine_type) = context.machine_type(machine_type) else {
                continue;
            };
            let headroom = self.headroom_machines(context, machine_type, &of_offering.offering);
            // What is free now counts whole, what is freed within the time left by the part of it that is
            // left then.
            let power = computing_power(demand, total, None, |d| {
                // What needs its slots now does not wait for others to end.
                let free = match d.is_batch() {
                    true => (of_offering.free_within(d.time_left_s) - headroom).max(0.0),
                    false => of_offering.free_within(0.0),
                };
                d.slots(machine_type, zone, *spot) * free
            });
            add_power(sum, power);
        }
    }

    /// How many machines of the offering the headroom takes, as a fraction. Headroom for services is not free
    /// for batch tasks: counted as such, it once kept all other jobs of a small fleet waiting for good, since
    /// nothing was provisioned for them.
    fn headroom_machines(
        &self,
        context: &Context,
        machine_type: &MachineType,
        offering: &MachineOffering,
    ) -> f64 {
        let (name, zone) = (&offering.machine_type, &offering.zone);
        match self.headroom.wanted() {
            Some((spec, replicas)) if permits(context, spec, name, zone, offering.spot) => {
                let cpu_part = spec.cpus / machine_type.cpus.max(RESOURCE_TOLERANCE);
                let part =
                    cpu_part.max(spec.memory_gb / machine_type.memory_gb.max(RESOURCE_TOLERANCE));
                part * replicas as f64
            }
            _ => 0.0,
        }
    }

    fn add_power_of_booting(
        &self,
        context: &Context,
        demand: &[Demand],
        total: f64,
        sum: &mut [f64],
    ) {
        let now = context.now.steady;
        for booting in self.fleet.booting_machines.values() {
            let MachineOffering {
                machine_type: name,
                zone,
                spot,
            } = &booting.offering;
            let Some(machine_type) = context.machine_type(name) else {
                continue;
            };
            let spent = now.saturating_sub(booting.requested_at);
            if !booting.running && spent > self.boot_timeout(context, name) {
                // Overdue boots lose their power and are replaced.
                continue;
            }
            let delay_s = match booting.running {
                true => 0.0,
                false => {
                    let boot = self.expected_boot_time(machine_type);
                    boot.saturating_sub(spent) as f64 / MICROS_PER_SECOND
                }
            };
            let power = computing_power(demand, total, Some(delay_s), |d| {
                d.slots(machine_type, zone, *spot)
            });
            add_power(sum, power);
        }
    }

    fn add_power_of_requested(
        &self,
        context: &Context,
        demand: &[Demand],
        total: f64,
        sum: &mut [f64],
    ) {
        for provision in self.fleet.unanswered_provisions() {
            let record = &provision.record;
            let Some(machine_type) = context.machine_type(&record.machine_type) else {
                continue;
            };
            let boot_s = self.expected_boot_time(machine_type) as f64 / MICROS_PER_SECOND;
            let power = computing_power(demand, total, Some(boot_s), |d| {
                record.number as f64 * d.slots(machine_type, &record.zone, record.spot)
            });
            add_power(sum, power);
        }
    }

    /// How long a machine of the type takes to boot on average, in microseconds.
    pub(crate) fn expected_boot_time(&self, machine_type: &MachineType) -> Micros {
        let declared = micros(machine_type.boot_s);
        self.stats.boot_time(&machine_type.name, declared)
    }
}
