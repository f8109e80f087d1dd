//! Supply: how many of the waiting tasks the machines that are up, booting or requested can complete in time. "The
//! paper" is the one that the [autoscaler](super) follows.

use crate::context::Context;
use crate::scheduler::leader::fleet::autoscaler::demand::{total_run_s, Demand, MICROS_PER_SECOND};
use crate::scheduler::Scheduler;
use crate::state::bin_packing::permits;
use crate::state::fleet::MachineOffering;
use crate::state::jobs::RESOURCE_TOLERANCE;
use crate::{micros, Micros};
use grebewood_wire::http::MachineType;
use std::collections::BTreeMap;

/// Returns, for each demand, how many of its tasks a machine completes in time: the paper's computing power `P`,
/// multiplied by the number of `slots`: how many tasks of that demand fit on the machine at the same time.
/// `boot_delay_s` is the remaining boot time, in seconds, of a machine that is not up yet.
///
/// Each task of a gang or service needs a slot immediately and takes precedence over batch tasks, so gangs and
/// services share the slots only among themselves. If they shared the slots with all demand, they would be
/// credited with almost nothing of a machine, and dozens of machines would be provisioned for a few replicas.
pub(crate) fn computing_power(
    demand: &[Demand],
    total_run_s: f64,
    boot_delay_s: Option<f64>,
    slots: impl Fn(&Demand) -> f64,
) -> Vec<f64> {
    let slots: Vec<f64> = demand.iter().map(slots).collect();
    let tasks_needing_slots: f64 = demand
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
                return slots * d.tasks / tasks_needing_slots.max(RESOURCE_TOLERANCE);
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

/// A task on a machine that is up, with the sums that [`Supply::compute_sums`] stores in it.
struct RunningTask {
    /// Remaining run time, in seconds.
    remaining_s: f64,
    /// Fraction of a machine that the task uses. After [`Supply::compute_sums`]: the sum of this fraction over
    /// this and all later tasks.
    machine_fraction: f64,
    /// Sum of remaining run time times fraction of a machine, over all tasks up to and including this one.
    machine_seconds: f64,
}

/// Machines of one offering that are up, with the tasks on them.
pub(crate) struct Supply {
    /// Offering of the machines.
    offering: MachineOffering,
    /// Number of machines.
    pub(crate) machines: f64,
    /// Tasks on the machines, sorted by remaining run time once [`Supply::compute_sums`] has run.
    running: Vec<RunningTask>,
}

impl Supply {
    /// Sorts the tasks by remaining run time and stores the running sums in them.
    fn compute_sums(&mut self) {
        self.running
            .sort_by(|a, b| a.remaining_s.total_cmp(&b.remaining_s));
        let mut machine_seconds = 0.0;
        for task in &mut self.running {
            machine_seconds += task.remaining_s * task.machine_fraction;
            task.machine_seconds = machine_seconds;
        }
        // `average_free_machines` needs the sum of the fractions from a given task on.
        let mut machine_fraction = 0.0;
        for task in self.running.iter_mut().rev() {
            machine_fraction += task.machine_fraction;
            task.machine_fraction = machine_fraction;
        }
    }

    /// Returns how many machines are free on average over the next `seconds`. A task that ends earlier frees its
    /// resources for the rest of that time.
    fn average_free_machines(&self, seconds: f64) -> f64 {
        let first_staying = self
            .running
            .partition_point(|task| task.remaining_s < seconds);
        let ending_machines = match first_staying {
            0 => 0.0,
            _ => self.running[first_staying - 1].machine_seconds / seconds.max(RESOURCE_TOLERANCE),
        };
        let staying_machines = self
            .running
            .get(first_staying)
            .map_or(0.0, |task| task.machine_fraction);
        (self.machines - ending_machines - staying_machines).max(0.0)
    }
}

/// Adds computing power, demand by demand, to the sums.
fn add_power(total_power: &mut [f64], power: Vec<f64>) {
    for (sum, power) in total_power.iter_mut().zip(power) {
        *sum += power;
    }
}

impl Scheduler {
    /// Returns the machines that are up, grouped by offering.
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
                let cpu_fraction = task.cpus / machine.cpus;
                supply.running.push(RunningTask {
                    remaining_s: task.remaining_time(now, 0) as f64 / MICROS_PER_SECOND,
                    machine_fraction: cpu_fraction
                        .max(task.memory_gb / machine.memory_gb.max(RESOURCE_TOLERANCE)),
                    machine_seconds: 0.0,
                });
            }
        }
        let mut supply: Vec<Supply> = by_offering.into_values().collect();
        for offering_supply in &mut supply {
            offering_supply.compute_sums();
        }
        supply
    }

    /// Returns the computing power of all machines that are up, booting or requested, for each demand.
    pub(crate) fn power_of_fleet(
        &self,
        context: &Context,
        supply: &[Supply],
        demand: &[Demand],
    ) -> Vec<f64> {
        let total_run_s = total_run_s(demand);
        let mut total_power = vec![0.0; demand.len()];
        self.add_power_of_supply(context, supply, demand, total_run_s, &mut total_power);
        self.add_power_of_booting(context, demand, total_run_s, &mut total_power);
        self.add_power_of_requested(context, demand, total_run_s, &mut total_power);
        total_power
    }

    /// Adds the computing power of the machines that are up.
    fn add_power_of_supply(
        &self,
        context: &Context,
        supply: &[Supply],
        demand: &[Demand],
        total_run_s: f64,
        total_power: &mut [f64],
    ) {
        for offering_supply in supply {
            let MachineOffering {
                machine_type,
                zone,
                spot,
            } = &offering_supply.offering;
            let Some(machine_type) = context.machine_type(machine_type) else {
                continue;
            };
            let headroom =
                self.machines_for_headroom(context, machine_type, &offering_supply.offering);
            // Resources that are free now count fully. Resources that a task frees within the time left count for
            // the fraction of that time that is left then.
            let power = computing_power(demand, total_run_s, None, |d| {
                // Gangs and services need their slots now, so only resources that are free now count.
                let free = match d.is_batch() {
                    true => {
                        (offering_supply.average_free_machines(d.time_left_s) - headroom).max(0.0)
                    }
                    false => offering_supply.average_free_machines(0.0),
                };
                d.slots_per_machine(machine_type, zone, *spot) * free
            });
            add_power(total_power, power);
        }
    }

    /// Returns how many machines of the offering, as a fractional number, the headroom for services uses. Headroom
    /// is not available to batch tasks. If it counted as free for them, nothing would be provisioned for the other
    /// jobs of a small fleet, and they would wait forever.
    fn machines_for_headroom(
        &self,
        context: &Context,
        machine_type: &MachineType,
        offering: &MachineOffering,
    ) -> f64 {
        let (name, zone) = (&offering.machine_type, &offering.zone);
        match self.headroom.target() {
            Some((spec, replicas)) if permits(context, spec, name, zone, offering.spot) => {
                let cpu_fraction = spec.cpus / machine_type.cpus.max(RESOURCE_TOLERANCE);
                let machine_fraction = cpu_fraction
                    .max(spec.memory_gb / machine_type.memory_gb.max(RESOURCE_TOLERANCE));
                machine_fraction * replicas as f64
            }
            _ => 0.0,
        }
    }

    /// Adds the computing power of the machines that are booting.
    fn add_power_of_booting(
        &self,
        context: &Context,
        demand: &[Demand],
        total_run_s: f64,
        total_power: &mut [f64],
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
            let elapsed = now.saturating_sub(booting.requested_at);
            if !booting.listed_as_running && elapsed > self.boot_timeout(context, name) {
                // An overdue boot counts as no computing power, so that a replacement is provisioned.
                continue;
            }
            let delay_s = match booting.listed_as_running {
                true => 0.0,
                false => {
                    let boot_time = self.expected_boot_time(machine_type);
                    boot_time.saturating_sub(elapsed) as f64 / MICROS_PER_SECOND
                }
            };
            let power = computing_power(demand, total_run_s, Some(delay_s), |d| {
                d.slots_per_machine(machine_type, zone, *spot)
            });
            add_power(total_power, power);
        }
    }

    /// Adds the computing power of the machines in provisioning requests that are not answered yet.
    fn add_power_of_requested(
        &self,
        context: &Context,
        demand: &[Demand],
        total_run_s: f64,
        total_power: &mut [f64],
    ) {
        for provision in self.fleet.unanswered_provisions() {
            let record = &provision.record;
            let Some(machine_type) = context.machine_type(&record.machine_type) else {
                continue;
            };
            let boot_s = self.expected_boot_time(machine_type) as f64 / MICROS_PER_SECOND;
            let power = computing_power(demand, total_run_s, Some(boot_s), |d| {
                record.number as f64 * d.slots_per_machine(machine_type, &record.zone, record.spot)
            });
            add_power(total_power, power);
        }
    }

    /// Returns the average boot time of the machine type, in microseconds.
    pub(crate) fn expected_boot_time(&self, machine_type: &MachineType) -> Micros {
        let declared = micros(machine_type.boot_s);
        self.stats.boot_time(&machine_type.name, declared)
    }
}
