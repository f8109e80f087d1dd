//! Amounts of CPUs and accelerators, in whole millionths: sums of them are exact, however long tasks come
//! and go.

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
/// What the product of a decimal number may be too large by, in millionths.
const ROUNDING: f64 = 1e-3;

impl Resources {
    /// None of either.
    pub const ZERO: Resources = Resources { cpus: 0, gpus: 0 };

    /// An amount in CPUs and accelerators, rounded up to whole millionths. Negative ones count as none.
    pub fn of(cpus: f64, gpus: f64) -> Resources {
        // Conversion saturates: a team without a limit has more than any fleet.
        let millionths = |amount: f64| (amount.max(0.0) * MILLION - ROUNDING).ceil() as u64;
        Resources {
            cpus: millionths(cpus),
            gpus: millionths(gpus),
        }
    }

    /// In CPUs.
    pub fn cpus(self) -> f64 {
        self.cpus as f64 / MILLION
    }

    /// In accelerators.
    pub fn gpus(self) -> f64 {
        self.gpus as f64 / MILLION
    }

    /// Both together.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// What is left when `other` is taken away, of each resource none at least.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// So many times as much.
    pub fn times(self, n: u64) -> Resources {
        Resources {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }

    /// The larger one of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// The smaller one of each resource.
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Whether it is no more than `other` of either resource.
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
    let some = amounts.iter().filter(|(_, amount)| !amount.is_zero());
    some.map(|(team, amount)| TeamAmount {
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
        *amount = amount.plus(Resources {
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
