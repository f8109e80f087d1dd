//! The settings that the platform hands over ([`Settings`]) and those that operators may tune ([`Tuning`]).

use crate::{Micros, MILLI, SECOND};
use grebewood_quota::{Resources, TeamQuota};
use std::collections::BTreeMap;
use thiserror::Error;

/// A team's quota: guaranteed share and limit. A limit of 0 means none of that resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Team {
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Most CPUs.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Most GPUs.
    pub gpus_max: f64,
}

impl Team {
    /// Returns the quota in exact amounts.
    pub fn quota(&self) -> TeamQuota {
        TeamQuota {
            guarantee: Resources::of(self.cpus, self.gpus),
            limit: Resources::of(self.cpus_max, self.gpus_max),
        }
    }
}

/// Another controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Sibling {
    /// Member name of the other controller.
    pub member: String,
    /// The zone that the other controller runs in.
    pub zone: String,
}

/// Kind of the objectives that measure how soon tasks start.
pub const WAIT: &str = "wait";

/// Kind of the objectives that measure how soon tasks within a team's guaranteed share start.
pub const GUARANTEE: &str = "guarantee";

/// A service-level objective, with the fields that the scheduler uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// Kind of measurement, such as [`WAIT`] or [`GUARANTEE`].
    pub kind: String,
    /// Class of the jobs that it applies to.
    pub class: String,
    /// Time within which it is to be met, in microseconds.
    pub within: Option<Micros>,
    /// Share of the cases in which it is to be met.
    pub share: f64,
    /// For an `up` objective: time from which on a service is to be up, in microseconds.
    pub after: Option<Micros>,
    /// For an `up` objective: length of the windows of which the worst one counts, in microseconds. `None`: the whole
    /// day counts.
    pub worst_window: Option<Micros>,
}

/// The limits of the key-value store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Most bytes of a value.
    pub value_bytes: usize,
    /// Most puts and deletes of a transaction.
    pub transaction_operations: usize,
}

impl StoreLimits {
    /// Returns the smaller of each limit, so that both are kept: the time at which limits change is not announced.
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
    /// This controller's member name.
    pub member: String,
    /// The zone that this controller runs in.
    pub zone: String,
    /// The other controllers.
    pub siblings: Vec<Sibling>,
    /// The teams' quotas, by team.
    pub teams: BTreeMap<String, Team>,
    /// The service-level objectives.
    pub objectives: Vec<Objective>,
    /// Between two heartbeats of an agent, in microseconds.
    pub heartbeat_interval: Micros,
    /// Agents' lease: how long an agent keeps its tasks running without a response to its heartbeats, in microseconds.
    pub agent_lease: Micros,
    /// Time after a confirmed cancellation by which no task of the job may run any more, in microseconds.
    pub cancel_timeout: Micros,
    /// The store's limits: the smaller of the present ones and those after an announced change.
    pub store: StoreLimits,
    /// Requests a second that the cloud takes.
    pub cloud_rps: f64,
    /// Largest age of the cloud's machine list, in microseconds.
    pub machine_list_lag: Micros,
    /// Most sockets that this process may have.
    pub max_sockets: usize,
}

impl Default for Settings {
    /// Returns the settings of a single controller with the example values of the deploy file, without teams or
    /// objectives.
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
            machine_list_lag: 3 * SECOND,
            max_sockets: 1_024,
        }
    }
}

/// Number of heartbeat intervals without contact after which a machine takes no tasks.
const MISSED_HEARTBEATS: Micros = 3;

impl Settings {
    /// Returns how long a machine may be without contact and still take tasks, in microseconds.
    pub fn heartbeat_timeout(&self) -> Micros {
        MISSED_HEARTBEATS * self.heartbeat_interval
    }

    /// Returns whether an objective measures how soon tasks within a guaranteed share start.
    pub fn has_guarantee_objective(&self) -> bool {
        self.objectives
            .iter()
            .any(|objective| objective.kind == GUARANTEE)
    }

    /// Returns the longest time within which an objective requires tasks to start, among those that are longer than
    /// `boot` (in microseconds): a shorter one cannot be met by provisioning machines.
    pub fn longest_start_objective(&self, boot: Micros) -> Option<Micros> {
        let starts = self
            .objectives
            .iter()
            .filter(|objective| objective.kind == WAIT);
        starts
            .filter_map(|objective| objective.within)
            .filter(|within| *within > boot)
            .max()
    }

    /// Returns whether an objective measures how soon tasks of the class start.
    pub fn has_start_objective(&self, class: &str) -> bool {
        self.objectives
            .iter()
            .any(|objective| objective.class == class && objective.kind == WAIT)
    }
}

/// Why a tuning key cannot be set.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum TuningError {
    /// The value is not a number of the key's kind.
    #[error("{key}: {value:?} is not a number")]
    NotANumber {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// The value is too low or too high.
    #[error("{key}: {value} is not within {lowest} and {highest}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The lowest value of the key.
        lowest: f64,
        /// The highest value of the key.
        highest: f64,
    },
    /// There is no such key.
    #[error("{key}: no such key")]
    UnknownKey {
        /// The key.
        key: String,
    },
}

impl Tuning {
    /// Returns whether the leader grants quota to partition holders, which place tasks under it.
    pub fn grants_quota(&self) -> bool {
        self.allotments > 0 && self.partitions_per_zone > 0
    }
}

fn not_a_number(key: &str, value: &str) -> TuningError {
    TuningError::NotANumber {
        key: key.to_string(),
        value: value.to_string(),
    }
}

fn check_range(
    key: &str,
    value: &str,
    parsed: f64,
    lowest: f64,
    highest: f64,
) -> Result<(), TuningError> {
    if (lowest..=highest).contains(&parsed) {
        return Ok(());
    }
    Err(TuningError::OutOfRange {
        key: key.to_string(),
        value: value.to_string(),
        lowest,
        highest,
    })
}

/// Declares [`Tuning`] from one line for each key: its description, name, type, default, lowest and highest value.
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

            /// Sets one key from its text.
            pub fn set(&mut self, key: &str, value: &str) -> Result<(), TuningError> {
                match key {
                    $(stringify!($name) => {
                        let parsed: $kind = value.trim().parse().map_err(|_| not_a_number(key, value))?;
                        check_range(key, value, parsed as f64, $low as f64, $high as f64)?;
                        self.$name = parsed;
                        Ok(())
                    })*
                    _ => Err(TuningError::UnknownKey { key: key.to_string() }),
                }
            }
        }
    };
}

tuning! {
    /// How long the leader's lease lasts without a renewal, in microseconds.
    leader_lease_us: u64 = 5 * SECOND / 2, SECOND, 60 * SECOND;
    /// Shortest time between two flushes of the write buffer, in microseconds.
    flush_interval_us: u64 = 60_000, 1_000, SECOND;
    /// Time between two rounds of placement, in microseconds.
    placement_interval_us: u64 = 100_000, 10_000, 10 * SECOND;
    /// Time budget of one round of placement, in microseconds.
    placement_budget_us: u64 = 4_000, 100, SECOND;
    /// Time between two rounds of the autoscaler, in microseconds.
    decider_interval_us: u64 = 3 * SECOND, 100_000, 600 * SECOND;
    /// How long a machine stays idle before it may be terminated, in microseconds.
    idle_hold_us: u64 = 5 * SECOND, 0, 3_600 * SECOND;
    /// The same for an ordinary machine, in microseconds.
    idle_hold_ordinary_us: u64 = 2 * SECOND, 0, 3_600 * SECOND;
    /// Time to finish in for a job that is late for every objective, in microseconds.
    late_deadline_us: u64 = 300 * SECOND, SECOND, 86_400 * SECOND;
    /// The same for machines that are about as cheap as the cheapest, in microseconds.
    late_deadline_cheap_us: u64 = 40 * SECOND, SECOND, 86_400 * SECOND;
    /// Time to finish in for a class that has neither deadline nor objective, in microseconds.
    default_deadline_us: u64 = 3_600 * SECOND, SECOND, 86_400 * SECOND;
    /// Share of the time to a deadline that the autoscaler plans with.
    deadline_share: f64 = 0.4, 0.05, 1.0;
    /// The same for machines that are about as cheap as the cheapest.
    deadline_share_cheap: f64 = 0.15, 0.05, 1.0;
    /// Tasks that a slot of a ready machine is expected to run one after the other at least,
    /// however close the deadline.
    least_rounds: f64 = 1.0, 0.5, 10.0;
    /// Part of a machine that the unmet work must fill before one more is provisioned.
    rent_threshold: f64 = 0.3, 0.0, 1.0;
    /// Longest time that the waiting work may take all machines, however late it may be finished,
    /// in microseconds; beyond it more are provisioned.
    backlog_us: u64 = 240 * SECOND, SECOND, 86_400 * SECOND;
    /// The same as a share of the longest time that an objective allows tasks to start in, where there is
    /// such an objective that is longer than a boot.
    backlog_share: f64 = 0.5, 0.05, 10.0;
    /// Headroom in each zone as long as there are services, in jobs of the largest one seen.
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
    /// 1: the controllers that hold partitions place tasks themselves, out of quota grants of each team's
    /// limit; 0: the leader places all. Without partitions it has no effect.
    allotments: u64 = 0, 0, 1;
    /// Largest number of machines provisioned at once, booting ones included.
    fleet_max: u64 = 20_000, 1, 100_000;
}
