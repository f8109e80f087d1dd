//! What the platform hands over ([`Settings`]) and what operators may tune ([`Tuning`]).

use crate::{Micros, MILLI, SECOND};
use grebewood_quota::{Resources, TeamQuota};
use std::collections::BTreeMap;

/// A team's guarantee and limit. A limit of 0 means none of that resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Team {
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    /// The same in exact amounts.
    pub fn limit(&self) -> TeamQuota {
        TeamQuota {
            guarantee: Resources::of(self.cpus, self.gpus),
            limit: Resources::of(self.cpus_max, self.gpus_max),
        }
    }
}

/// Another controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Sibling {
    pub member: String,
    pub zone: String,
}

/// An aim of the users, as far as the scheduler can use it.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub kind: String,
    pub class: String,
    pub within: Option<Micros>,
    pub share: f64,
    /// Of an `up` aim: the time from which on a service is to be served.
    pub after: Option<Micros>,
    /// Of an `up` aim: the span whose worst one counts; none: the whole day counts.
    pub worst: Option<Micros>,
}

/// What the state service takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub transaction_operations: usize,
}

impl StoreLimits {
    /// What fits both: limits may be lowered at a moment that nobody announces.
    pub fn smaller_of(self, next: StoreLimits) -> StoreLimits {
        StoreLimits {
            rps: self.rps.min(next.rps),
            write_rps: self.write_rps.min(next.write_rps),
            value_bytes: self.value_bytes.min(next.value_bytes),
            transaction_operations: self.transaction_operations.min(next.transaction_operations),
        }
    }
}

/// The settings of one controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    pub siblings: Vec<Sibling>,
    pub teams: BTreeMap<String, Team>,
    pub objectives: Vec<Objective>,
    pub heartbeat_interval: Micros,
    pub agent_lease: Micros,
    pub cancel_timeout: Micros,
    /// What the state service takes now and after an announced change, whichever is less.
    pub store: StoreLimits,
    pub cloud_rps: f64,
    pub list_lag: Micros,
    /// Most sockets that this process may have.
    pub sockets: usize,
}

impl Default for Settings {
    /// A single controller with the example values of the deploy file, without teams or aims.
    fn default() -> Self {
        Settings {
            member: "perch-0".into(),
            zone: "a".into(),
            siblings: Vec::new(),
            teams: BTreeMap::new(),
            objectives: Vec::new(),
            heartbeat_interval: 1_500 * MILLI,
            agent_lease: 10 * SECOND,
            cancel_timeout: 30 * SECOND,
            store: StoreLimits {
                rps: 100.0,
                write_rps: 20.0,
                value_bytes: 4096,
                transaction_operations: 8,
            },
            cloud_rps: 8.0,
            list_lag: 3 * SECOND,
            sockets: 1_024,
        }
    }
}

impl Settings {
    /// Whether an aim counts how soon work within a guarantee starts.
    pub fn guarantees_count(&self) -> bool {
        self.objectives.iter().any(|o| o.kind == "guarantee")
    }

    /// The longest time that an aim allows any class's tasks to start in, if it is longer than
    /// `boot`: a shorter one cannot be met by renting.
    pub fn longest_start(&self, boot: Micros) -> Option<Micros> {
        let starts = self.objectives.iter().filter(|o| o.kind == "wait");
        starts
            .filter_map(|o| o.within)
            .filter(|within| *within > boot)
            .max()
    }

    /// Whether an aim counts how soon tasks of the class start.
    pub fn starts_count(&self, class: &str) -> bool {
        self.objectives
            .iter()
            .any(|o| o.class == class && o.kind == "wait")
    }
}

impl Tuning {
    /// Whether holders of partitions place tasks out of allotments.
    pub fn grants_quota(&self) -> bool {
        self.allotments > 0 && self.partitions_per_zone > 0
    }
}

macro_rules! tuning {
    ($($(#[doc = $doc:literal])+ $name:ident : $kind:ident = $default:expr, $low:expr, $high:expr;)*) => {
        /// Operators' settings, from the INI file given with `--tuning`.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Tuning { $($(#[doc = $doc])+ pub $name: $kind,)* }

        impl Default for Tuning {
            fn default() -> Self {
                Tuning { $($name: $default,)* }
            }
        }

        impl Tuning {
            /// Every key with its description, default, lowest and highest value.
            pub const KEYS: &'static [(&'static str, &'static str, f64, f64, f64)] =
                &[$((stringify!($name), concat!($($doc),+), $default as f64, $low as f64, $high as f64),)*];

            /// Sets one key; the error says what is wrong with it.
            pub fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
                match key {
                    $(stringify!($name) => {
                        let parsed: $kind = value
                            .trim()
                            .parse()
                            .map_err(|_| format!("{key}: {value:?} is not a number"))?;
                        if !(($low as f64)..=($high as f64)).contains(&(parsed as f64)) {
                            return Err(format!("{key}: {value} is not within {} and {}", $low, $high));
                        }
                        self.$name = parsed;
                        Ok(())
                    })*
                    _ => Err(format!("{key}: no such key")),
                }
            }
        }
    };
}

tuning! {
    /// How long the leader's lease lasts without a renewal, in microseconds.
    leader_lease_us: u64 = 5 * SECOND / 2, SECOND, 60 * SECOND;
    /// Shortest time between two writes of the ledger, in microseconds.
    flush_interval_us: u64 = 60_000, 1_000, SECOND;
    /// Time between two rounds of placement, in microseconds.
    placement_interval_us: u64 = 100_000, 10_000, 10 * SECOND;
    /// Time budget of one round of placement, in microseconds.
    placement_budget_us: u64 = 4_000, 100, SECOND;
    /// Time between two rounds of the fleet's decider, in microseconds.
    decider_interval_us: u64 = 3 * SECOND, 100_000, 600 * SECOND;
    /// How long a machine stays idle before it may be returned, in microseconds.
    idle_hold_us: u64 = 5 * SECOND, 0, 3_600 * SECOND;
    /// The same for an ordinary machine, in microseconds.
    idle_hold_ordinary_us: u64 = 2 * SECOND, 0, 3_600 * SECOND;
    /// Time to finish in for a job that is late for every aim, in microseconds.
    late_deadline_us: u64 = 300 * SECOND, SECOND, 86_400 * SECOND;
    /// The same for machines that are about as cheap as the cheapest, in microseconds.
    late_deadline_cheap_us: u64 = 40 * SECOND, SECOND, 86_400 * SECOND;
    /// Time to finish in for a class that has neither deadline nor objective, in microseconds.
    default_deadline_us: u64 = 3_600 * SECOND, SECOND, 86_400 * SECOND;
    /// Share of the time to a deadline that the decider plans with.
    deadline_share: f64 = 0.4, 0.05, 1.0;
    /// The same for machines that are about as cheap as the cheapest.
    deadline_share_cheap: f64 = 0.15, 0.05, 1.0;
    /// Tasks that a slot of a ready machine is expected to run one after the other at least,
    /// however close the deadline.
    least_rounds: f64 = 1.0, 0.5, 10.0;
    /// Part of a machine that the unmet work must fill before one more is rented.
    rent_threshold: f64 = 0.3, 0.0, 1.0;
    /// Longest time that the waiting work may take all machines, however late it may be finished,
    /// in microseconds; beyond it more are rented.
    backlog_us: u64 = 240 * SECOND, SECOND, 86_400 * SECOND;
    /// The same as a share of the longest time that an aim allows tasks to start in, where there is
    /// such an aim that is longer than a boot.
    backlog_share: f64 = 0.5, 0.05, 10.0;
    /// Room kept free in each zone as long as there are services, in jobs of the largest one seen.
    standby_jobs: f64 = 3.0, 0.0, 100.0;
    /// What the risk of losing a spot machine adds to its price, as a factor.
    spot_risk: f64 = 1.25, 1.0, 10.0;
    /// How late a boot may be, as a multiple of the average, before it counts as overdue.
    boot_overdue: f64 = 2.0, 1.0, 100.0;
    /// Shortest wait before a task may preempt others, in microseconds.
    preempt_after_us: u64 = SECOND / 2, 0, 600 * SECOND;
    /// Time between two reads of the cloud's machine list, in microseconds.
    list_interval_us: u64 = 3 * SECOND, 100_000, 600 * SECOND;
    /// Partitions of each zone, which the controllers share; 0: the leader looks after all machines.
    partitions_per_zone: u64 = 0, 0, 64;
    /// Time between two messages to the holder of a partition, in microseconds.
    partition_poll_us: u64 = SECOND / 10, 10_000, 10 * SECOND;
    /// Least time between two moves of partitions for the sake of balance, in microseconds.
    partition_move_interval_us: u64 = 30 * SECOND, SECOND, 86_400 * SECOND;
    /// Part of the mean load by which a controller must lie above it before it gives a partition away.
    partition_hysteresis: f64 = 0.25, 0.01, 10.0;
    /// 1: no partition is moved for the sake of balance.
    partition_moves_paused: u64 = 0, 0, 1;
    /// 1: the controllers that hold partitions place tasks themselves, out of allotments of each team's
    /// ceiling; 0: the leader places all. Without partitions it has no effect.
    allotments: u64 = 0, 0, 1;
    /// Largest number of machines rented at once, booting ones included.
    fleet_max: u64 = 20_000, 1, 100_000;
}
