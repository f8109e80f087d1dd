//! What the leader has granted of each team's limit to which partition.
//!
//! A grant grows when the leader gives the partition's holder a task that does not fit into it, and may be
//! used once it is on record. It shrinks in three steps: the leader tells the holder a lower amount, the
//! holder answers what it will use at most, and the record is written anew. Until then all of it is charged
//! against the team's limit.
//!
//! A holder may reuse what one task leaves for the next without asking. So what the leader knows to be
//! placed and what it has queued there may together be more than the grant for a moment: the grant does not
//! grow for it, and what does not fit waits.

use crate::partition_grant::{GrantReduction, PartitionGrant};
use crate::resources::{amount_of, from_list};
use crate::{Micros, PartitionId, Resources, TeamAmounts};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The requested grant exceeds what the team may still use.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the team's limit leaves no room for the requested grant")]
pub struct OverLimit;

/// The quota grants of all partitions.
#[derive(Clone, Debug, Default)]
pub struct QuotaGrants {
    partitions: BTreeMap<PartitionId, PartitionGrant>,
    /// What is charged against each team's limit, over all partitions.
    totals: TeamAmounts,
}

impl QuotaGrants {
    /// Changes what a partition is granted of these teams' limits, and keeps the totals right.
    fn update<'a, T>(
        &mut self,
        partition: PartitionId,
        teams: impl IntoIterator<Item = &'a str>,
        update: impl FnOnce(&mut PartitionGrant) -> T,
    ) -> T {
        let grant = self.partitions.entry(partition).or_default();
        let teams = teams.into_iter();
        let charged_before: Vec<(&str, Resources)> =
            teams.map(|team| (team, grant.charged(team))).collect();
        let outcome = update(grant);
        for (team, before) in charged_before {
            let total = self.totals.entry(team.to_string()).or_default();
            *total = total
                .saturating_sub(before)
                .saturating_add(grant.charged(team));
        }
        outcome
    }

    /// Loads what an earlier leader wrote.
    pub fn load(&mut self, partition: PartitionId, record: &QuotaGrantRecord) {
        let amounts = from_list(&record.teams);
        self.load_amounts(partition, record.version, amounts);
    }

    /// The partition's record cannot be read: it may have been all of each team's limit.
    pub fn load_unreadable(&mut self, partition: PartitionId, limits: TeamAmounts) {
        self.load_amounts(partition, 0, limits);
    }

    fn load_amounts(&mut self, partition: PartitionId, number: u64, amounts: TeamAmounts) {
        let teams: Vec<String> = amounts.keys().cloned().collect();
        self.update(partition, teams.iter().map(String::as_str), |grant| {
            grant.load(number, amounts);
        });
    }

    /// What is charged against a team's limit, over all partitions.
    pub fn total_charged(&self, team: &str) -> Resources {
        amount_of(&self.totals, team)
    }

    /// What a team's tasks need that are placed by holders or are to be.
    pub fn needed(&self, team: &str) -> Resources {
        let partitions = self.partitions.values();
        partitions.fold(Resources::ZERO, |sum, grant| {
            sum.saturating_add(grant.needed(team))
        })
    }

    /// What no task needs of what a partition is granted of a team's limit.
    pub fn slack(&self, partition: PartitionId, team: &str) -> Resources {
        let grant = self.partitions.get(&partition);
        let team = grant.and_then(|grant| grant.team(team));
        team.map_or(Resources::ZERO, |team| {
            team.granted.saturating_sub(team.needed())
        })
    }

    /// The partition's holder is to place a task of the team; the grant grows if it has to. `room` is what
    /// is left of the team's limit, and `promised` is what of the grant is kept for tasks that wait at the
    /// holder.
    ///
    /// # Errors
    ///
    /// The grant would have to grow by more than `room`.
    pub fn add_queued(
        &mut self,
        partition: PartitionId,
        team: &str,
        amount: Resources,
        promised: Resources,
        room: Resources,
    ) -> Result<(), OverLimit> {
        let grant = self.partitions.entry(partition).or_default();
        let needed = grant
            .needed(team)
            .saturating_add(promised)
            .saturating_add(amount);
        if !needed.saturating_sub(grant.charged(team)).fits(room) {
            return Err(OverLimit);
        }
        self.update(partition, [team], |grant| {
            let grant = grant.team_mut(team);
            grant.queued = grant.queued.saturating_add(amount);
            grant.granted = grant.granted.max(needed);
            grant.slack_since = None;
        });
        Ok(())
    }

    /// A task that was queued is not queued any more: it is placed, or will not be.
    pub fn remove_queued(
        &mut self,
        partition: PartitionId,
        team: &str,
        amount: Resources,
        now: Micros,
    ) {
        if let Some(grant) = self.partitions.get_mut(&partition) {
            let grant = grant.team_mut(team);
            grant.queued = grant.queued.saturating_sub(amount);
            grant.update_slack(now);
        }
    }

    /// The partition's holder has placed a task of the team.
    pub fn add_placed(&mut self, partition: PartitionId, team: &str, amount: Resources) {
        self.update(partition, [team], |grant| {
            let grant = grant.team_mut(team);
            grant.placed = grant.placed.saturating_add(amount);
        });
    }

    /// A task that the partition's holder had placed is proven gone.
    pub fn remove_placed(
        &mut self,
        partition: PartitionId,
        team: &str,
        amount: Resources,
        now: Micros,
    ) {
        self.update(partition, [team], |grant| {
            let grant = grant.team_mut(team);
            grant.placed = grant.placed.saturating_sub(amount);
            grant.update_slack(now);
        });
    }

    /// The team's limit was lowered: growth of its grants that is not on record for certain is not written
    /// any more.
    pub fn cancel_unrecorded_growth(&mut self, team: &str) {
        for partition in self.partitions() {
            self.update(partition, [team], |grant| {
                grant.cancel_unrecorded_growth(team);
            });
        }
    }

    /// What the partition's holder is told that it may use: no more than is on record, and without what is
    /// revoked.
    pub fn usable(
        &mut self,
        partition: PartitionId,
        now: Micros,
        reduction: impl Fn(&str) -> GrantReduction,
    ) -> Vec<TeamAmount> {
        let grant = self.partitions.get_mut(&partition);
        grant.map_or_else(Vec::new, |grant| grant.usable(now, reduction))
    }

    /// The partition's holder has answered the last message that told it what it may use: it will use no
    /// more than `held`.
    pub fn on_usage_bound(&mut self, partition: PartitionId, held: &[TeamAmount], now: Micros) {
        let held = from_list(held);
        let Some(grant) = self.partitions.get(&partition) else {
            return;
        };
        let mut teams = grant.team_names();
        teams.extend(held.keys().cloned());
        self.update(partition, teams.iter().map(String::as_str), |grant| {
            for team in &teams {
                grant.on_usage_bound(team, amount_of(&held, team), now);
            }
        });
    }

    /// Whether the record says something else than what is granted.
    pub fn differs_from_record(&self, partition: PartitionId) -> bool {
        let grant = self.partitions.get(&partition);
        grant.is_some_and(PartitionGrant::differs_from_record)
    }

    /// The record as it is to be written now.
    pub fn build_record(&mut self, partition: PartitionId, claim: u64) -> QuotaGrantRecord {
        let teams = self.team_names(partition);
        let teams = teams.iter().map(String::as_str);
        self.update(partition, teams, |grant| grant.render(claim))
    }

    /// The record that was last rendered is on record, and no earlier one can come on record any more.
    pub fn on_record_written(&mut self, partition: PartitionId) {
        if !self.partitions.contains_key(&partition) {
            return;
        }
        let teams = self.team_names(partition);
        let teams = teams.iter().map(String::as_str);
        self.update(partition, teams, PartitionGrant::written);
    }

    fn team_names(&self, partition: PartitionId) -> BTreeSet<String> {
        let grant = self.partitions.get(&partition);
        grant.map_or_else(BTreeSet::new, PartitionGrant::team_names)
    }

    /// The number of the grant that is on record or about to be.
    pub fn record_version(&self, partition: PartitionId) -> u64 {
        let grant = self.partitions.get(&partition);
        grant.map_or(0, |grant| grant.number)
    }

    /// Partitions that have a grant, or had one.
    pub fn partitions(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }
}
