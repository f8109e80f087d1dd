//! Amounts of CPUs and accelerators in whole millionths, so that sums stay exact however many tasks are
//! added and removed.

use grebewood_wire::records::TeamAmount;
use serde::Serialize;
use std::collections::BTreeMap;

/// CPUs and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Resources {
    /// Millionths of a CPU.
    pub cpus: u64,
    /// Millionths of an accelerator.
    pub gpus: u64,
}

/// Amounts by team. Teams that are not listed have none.
pub type TeamAmounts = BTreeMap<String, Resources>;

const MILLION: f64 = 1e6;
/// By how much the floating-point product of a decimal number may be too large, in millionths.
const ROUNDING_ERROR: f64 = 1e-3;

impl Resources {
    /// None of either.
    pub const ZERO: Resources = Resources { cpus: 0, gpus: 0 };

    /// An amount in CPUs and accelerators, rounded up to whole millionths. Negative amounts count as none.
    pub fn of(cpus: f64, gpus: f64) -> Resources {
        // The conversion saturates: a team without a limit has more than any fleet.
        let millionths = |amount: f64| (amount.max(0.0) * MILLION - ROUNDING_ERROR).ceil() as u64;
        Resources {
            cpus: millionths(cpus),
            gpus: millionths(gpus),
        }
    }

    /// The CPUs, in whole ones and fractions.
    pub fn cpus(self) -> f64 {
        self.cpus as f64 / MILLION
    }

    /// The accelerators, in whole ones and fractions.
    pub fn gpus(self) -> f64 {
        self.gpus as f64 / MILLION
    }

    /// The sum of both, saturating.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// What is left when `other` is subtracted, zero at least for each resource.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// This amount `factor` times, saturating.
    pub fn times(self, factor: u64) -> Resources {
        Resources {
            cpus: self.cpus.saturating_mul(factor),
            gpus: self.gpus.saturating_mul(factor),
        }
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// The smaller amount of each resource.
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Whether it is no more than `other` in either resource.
    pub fn fits(self, other: Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// Whether it is none of either.
    pub fn is_zero(self) -> bool {
        self == Resources::ZERO
    }
}

/// Amounts by team as they are written and sent.
pub fn to_list(amounts: &TeamAmounts) -> Vec<TeamAmount> {
    let non_zero = amounts.iter().filter(|(_, amount)| !amount.is_zero());
    non_zero
        .map(|(team, amount)| TeamAmount {
            team: team.clone(),
            cpus: amount.cpus,
            gpus: amount.gpus,
        })
        .collect()
}

/// Amounts by team, from a record or a message.
pub fn from_list(list: &[TeamAmount]) -> TeamAmounts {
    let mut amounts = TeamAmounts::new();
    for TeamAmount { team, cpus, gpus } in list {
        let amount = amounts.entry(team.clone()).or_default();
        *amount = amount.saturating_add(Resources {
            cpus: *cpus,
            gpus: *gpus,
        });
    }
    amounts
}

/// The amount of a team.
pub fn amount_of(amounts: &TeamAmounts, team: &str) -> Resources {
    amounts.get(team).copied().unwrap_or_default()
}
