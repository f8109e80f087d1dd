//! The amounts of each team's limit that a partition holder may use, and the amounts that its tasks use.

use crate::resources::{amount_of, from_list, to_list};
use crate::{Resources, TeamAmounts};
use grebewood_wire::records::TeamAmount;

/// Quota grant of a partition, as its holder knows it.
#[derive(Clone, Debug, Default)]
pub struct HolderGrant {
    /// Amounts of each team's limit that tasks on the partition may use.
    granted: TeamAmounts,
    /// Amounts that tasks on the partition use. A task counts from the decision of the holder to place it until the
    /// task is proven absent from its machine.
    used: TeamAmounts,
}

impl HolderGrant {
    /// Replaces the amounts that the holder may use by those in a message from the leader. The messages must be
    /// applied in the order in which the leader sent them.
    pub fn set_granted(&mut self, amounts: &[TeamAmount]) {
        self.granted = from_list(amounts);
    }

    /// Suspends the grant: nothing more may be used until a new amount is granted.
    pub fn suspend(&mut self) {
        self.granted.clear();
    }

    /// Returns whether a task of the team that needs this amount may be started.
    pub fn may_use(&self, team: &str, amount: Resources) -> bool {
        let used = amount_of(&self.used, team).saturating_add(amount);
        used.fits(amount_of(&self.granted, team))
    }

    /// Reserves resources for a task of the team that may be on a machine from now on.
    pub fn reserve(&mut self, team: &str, amount: Resources) {
        let used = self.used.entry(team.to_string()).or_default();
        *used = used.saturating_add(amount);
    }

    /// Releases the resources of a task of the team that is proven absent from its machine, or that was never
    /// recorded.
    pub fn release(&mut self, team: &str, amount: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            *used = used.saturating_sub(amount);
        }
    }

    /// Returns the largest amounts that will be used until more is granted. The leader may rely on this bound.
    pub fn usage_bound(&self) -> Vec<TeamAmount> {
        let mut bounds = self.granted.clone();
        for (team, used) in &self.used {
            let bound = bounds.entry(team.clone()).or_default();
            *bound = bound.max(*used);
        }
        to_list(&bounds)
    }
}
