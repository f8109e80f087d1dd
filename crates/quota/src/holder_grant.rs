//! What a partition holder may use of each team's limit, and what its tasks use.

use crate::resources::{amount_of, from_list, to_list};
use crate::{Resources, TeamAmounts};
use grebewood_wire::records::TeamAmount;

/// The quota grant of a partition, as its holder has it.
#[derive(Clone, Debug, Default)]
pub struct HolderGrant {
    /// What may be used.
    granted: TeamAmounts,
    /// What tasks use, from the moment at which they are chosen to the proof that they are gone.
    used: TeamAmounts,
}

impl HolderGrant {
    /// Replaces what may be used. Messages must be applied in the order in which they were sent.
    pub fn set_granted(&mut self, amounts: &[TeamAmount]) {
        self.granted = from_list(amounts);
    }

    /// Nothing more may be used until something is granted anew.
    pub fn suspend(&mut self) {
        self.granted.clear();
    }

    /// Whether a task of the team that needs this amount may be started.
    pub fn may_use(&self, team: &str, amount: Resources) -> bool {
        let used = amount_of(&self.used, team).saturating_add(amount);
        used.fits(amount_of(&self.granted, team))
    }

    /// A task of the team may be on a machine from now on.
    pub fn reserve(&mut self, team: &str, amount: Resources) {
        let used = self.used.entry(team.to_string()).or_default();
        *used = used.saturating_add(amount);
    }

    /// A task of the team is proven gone, or was never on record.
    pub fn release(&mut self, team: &str, amount: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.saturating_sub(amount);
        }
    }

    /// What is used at most until more is granted: what the leader may count on.
    pub fn usage_bound(&self) -> Vec<TeamAmount> {
        let mut held = self.granted.clone();
        for (team, used) in &self.used {
            let bound = held.entry(team.clone()).or_default();
            *bound = bound.max(*used);
        }
        to_list(&held)
    }
}
