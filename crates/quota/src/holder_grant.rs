//! A holder's books: what it may use of each team's ceiling, and what its tasks use.

use crate::resources::{amount_of, from_list, to_list};
use crate::{Resources, TeamAmounts};
use grebewood_wire::records::TeamAmount;

/// The allotment of a partition, as its holder has it.
#[derive(Clone, Debug, Default)]
pub struct HolderGrant {
    /// What may be used.
    granted: TeamAmounts,
    /// What tasks use, from their choice to the proof that they are gone.
    used: TeamAmounts,
}

impl HolderGrant {
    /// Takes in what may be used from now on. Messages must be taken in the order in which they were sent.
    pub fn adopt(&mut self, amounts: &[TeamAmount]) {
        self.granted = from_list(amounts);
    }

    /// Nothing more may be used, until something is granted anew.
    pub fn suspend(&mut self) {
        self.granted.clear();
    }

    /// Whether a task of the team that needs so much may be started.
    pub fn may_use(&self, team: &str, amount: Resources) -> bool {
        let used = amount_of(&self.used, team).plus(amount);
        used.fits(amount_of(&self.granted, team))
    }

    /// A task of the team may be on a machine from now on.
    pub fn take(&mut self, team: &str, amount: Resources) {
        let used = self.used.entry(team.to_string()).or_default();
        *used = used.plus(amount);
    }

    /// A task of the team is proven gone, or was never on record.
    pub fn give_back(&mut self, team: &str, amount: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.minus(amount);
        }
    }

    /// What is used at most until more is granted: what the leader may count on.
    pub fn held(&self) -> Vec<TeamAmount> {
        let mut held = self.granted.clone();
        for (team, used) in &self.used {
            let most = held.entry(team.clone()).or_default();
            *most = most.max(*used);
        }
        to_list(&held)
    }
}
