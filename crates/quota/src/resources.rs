//! Amounts of CPUs and accelerators in whole millionths, so that sums stay exact however many tasks are added and
//! removed.

use grebewood_wire::records::TeamAmount;
use serde::Serialize;
use std::collections::BTreeMap;

/// Amount of CPUs and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Resources {
    /// CPUs, in millionths.
    pub cpus: u64,
    /// Accelerators, in millionths.
    pub gpus: u64,
}

/// Amounts by team. The amount of a team that is not listed is zero.
pub type TeamAmounts = BTreeMap<String, Resources>;

/// Number of millionths in one CPU or accelerator.
const MILLIONTHS_PER_UNIT: f64 = 1e6;
/// Largest amount by which the floating-point product of a decimal number and the number of millionths in a unit
/// may be too large, in millionths.
const ROUNDING_ERROR_MILLIONTHS: f64 = 1e-3;

impl Resources {
    /// No CPUs and no accelerators.
    pub const ZERO: Resources = Resources { cpus: 0, gpus: 0 };

    /// Returns an amount of CPUs and accelerators, rounded up to whole millionths. Negative amounts count as zero.
    pub fn of(cpus: f64, gpus: f64) -> Resources {
        // The conversion saturates, so a team without a limit gets an amount larger than any fleet.
        let millionths = |amount: f64| {
            (amount.max(0.0) * MILLIONTHS_PER_UNIT - ROUNDING_ERROR_MILLIONTHS).ceil() as u64
        };
        Resources {
            cpus: millionths(cpus),
            gpus: millionths(gpus),
        }
    }

    /// Returns the number of CPUs, with fractions.
    pub fn cpus(self) -> f64 {
        self.cpus as f64 / MILLIONTHS_PER_UNIT
    }

    /// Returns the number of accelerators, with fractions.
    pub fn gpus(self) -> f64 {
        self.gpus as f64 / MILLIONTHS_PER_UNIT
    }

    /// Returns the sum of the two amounts, saturating.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns this amount minus `other`, at least zero for each resource.
    pub fn saturating_sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Returns this amount multiplied by `factor`, saturating.
    pub fn times(self, factor: u64) -> Resources {
        Resources {
            cpus: self.cpus.saturating_mul(factor),
            gpus: self.gpus.saturating_mul(factor),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the smaller amount of each resource.
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns whether this amount is at most `other` in both resources.
    pub fn fits(self, other: Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus
    }

    /// Returns whether this amount is zero in both resources.
    pub fn is_zero(self) -> bool {
        self == Resources::ZERO
    }
}

/// Converts amounts by team to the form in records and messages, without amounts that are zero.
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

/// Converts the amounts in a record or message to amounts by team.
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

/// Returns the amount of a team, zero if it is not listed.
pub fn amount_of(amounts: &TeamAmounts, team: &str) -> Resources {
    amounts.get(team).copied().unwrap_or_default()
}
