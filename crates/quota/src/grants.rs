//! The leader's bookkeeping of the parts of each team's limit that it has granted to each partition.
//!
//! A grant grows when the leader delegates a task to the partition's holder that does not fit into the grant. The
//! additional amount may be used once it is recorded in the key-value store. A grant shrinks in three steps: the
//! leader sends the holder a lower amount, the holder answers with an upper bound of its future use, and the
//! leader rewrites the record. Until then the whole earlier amount is charged against the team's limit.
//!
//! A holder may reuse the resources of a task that has ended for the next task without asking. So the tasks that
//! the leader knows to be placed and those that it has queued at the holder may together need more than the grant
//! for a moment. The grant does not grow for this, and the tasks that do not fit wait.

use crate::partition_grant::{GrantReduction, PartitionGrant};
use crate::resources::{amount_of, from_list};
use crate::{Micros, PartitionId, Resources, TeamAmounts};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Error: the requested quota grant of a partition exceeds the amount that the team may still use.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the team's limit leaves no room for the requested quota grant")]
pub struct OverLimit;

/// Quota grants of all partitions.
#[derive(Clone, Debug, Default)]
pub struct QuotaGrants {
    partitions: BTreeMap<PartitionId, PartitionGrant>,
    /// Amounts charged against each team's limit, over all partitions.
    totals: TeamAmounts,
}

impl QuotaGrants {
    /// Changes the grant of a partition and updates the totals of these teams.
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

    /// Loads a grant from the record that an earlier leader wrote.
    pub fn load(&mut self, partition: PartitionId, record: &QuotaGrantRecord) {
        let amounts = from_list(&record.teams);
        self.load_amounts(partition, record.version, amounts);
    }

    /// Loads a grant whose record cannot be decoded. It may have covered the whole of each team's limit, so that
    /// much is charged.
    pub fn load_unreadable(&mut self, partition: PartitionId, limits: TeamAmounts) {
        self.load_amounts(partition, 0, limits);
    }

    fn load_amounts(&mut self, partition: PartitionId, record_version: u64, amounts: TeamAmounts) {
        let teams: Vec<String> = amounts.keys().cloned().collect();
        self.update(partition, teams.iter().map(String::as_str), |grant| {
            grant.load(record_version, amounts);
        });
    }

    /// Returns the amount that is charged against a team's limit, over all partitions.
    pub fn total_charged(&self, team: &str) -> Resources {
        amount_of(&self.totals, team)
    }

    /// Returns the amount that a team's tasks need that partition holders have placed or are to place.
    pub fn needed(&self, team: &str) -> Resources {
        let partitions = self.partitions.values();
        partitions.fold(Resources::ZERO, |sum, grant| {
            sum.saturating_add(grant.needed(team))
        })
    }

    /// Returns the part of a partition's grant of a team's limit that no task needs.
    pub fn slack(&self, partition: PartitionId, team: &str) -> Resources {
        let grant = self.partitions.get(&partition);
        let team = grant.and_then(|grant| grant.team(team));
        team.map_or(Resources::ZERO, |team| {
            team.granted.saturating_sub(team.needed())
        })
    }

    /// Charges a task of the team that the partition's holder is to place. The grant grows if it has to. `room` is
    /// the amount that is left of the team's limit, and `promised` is the part of the grant that is kept for tasks
    /// that wait at the holder.
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

    /// Removes a task of the team from those queued at the partition's holder, because the holder has placed the task
    /// or will not place it.
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

    /// Counts a task of the team that the partition's holder has placed.
    pub fn add_placed(&mut self, partition: PartitionId, team: &str, amount: Resources) {
        self.update(partition, [team], |grant| {
            let grant = grant.team_mut(team);
            grant.placed = grant.placed.saturating_add(amount);
        });
    }

    /// Removes a task of the team from those placed on the partition, because the task is proven absent from its
    /// machine.
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

    /// Cancels growth of the team's grants that is not certainly recorded, so that it is no longer written. Called
    /// after the team's limit is lowered.
    pub fn cancel_unrecorded_growth(&mut self, team: &str) {
        for partition in self.partitions() {
            self.update(partition, [team], |grant| {
                grant.cancel_unrecorded_growth(team);
            });
        }
    }

    /// Returns the amounts that the partition's holder is told that it may use: at most the recorded ones, less
    /// what this reduction revokes.
    pub fn usable(
        &mut self,
        partition: PartitionId,
        now: Micros,
        reduction: impl Fn(&str) -> GrantReduction,
    ) -> Vec<TeamAmount> {
        let grant = self.partitions.get_mut(&partition);
        grant.map_or_else(Vec::new, |grant| grant.usable(now, reduction))
    }

    /// Applies the answer of a partition's holder to the last message with usable amounts. The holder will use at
    /// most `bounds` until it is granted more.
    pub fn on_usage_bound(&mut self, partition: PartitionId, bounds: &[TeamAmount], now: Micros) {
        let bounds = from_list(bounds);
        let Some(grant) = self.partitions.get(&partition) else {
            return;
        };
        let mut teams = grant.team_names();
        teams.extend(bounds.keys().cloned());
        self.update(partition, teams.iter().map(String::as_str), |grant| {
            for team in &teams {
                grant.on_usage_bound(team, amount_of(&bounds, team), now);
            }
        });
    }

    /// Returns whether the partition's record has to be written to match the amounts that the leader has granted.
    pub fn differs_from_record(&self, partition: PartitionId) -> bool {
        let grant = self.partitions.get(&partition);
        grant.is_some_and(PartitionGrant::differs_from_record)
    }

    /// Builds the partition's record, which the leader is to write now. `claim` is the fencing token of the
    /// partition's claim.
    pub fn build_record(&mut self, partition: PartitionId, claim: u64) -> QuotaGrantRecord {
        let teams = self.team_names(partition);
        let teams = teams.iter().map(String::as_str);
        self.update(partition, teams, |grant| grant.build_record(claim))
    }

    /// Notes that the record built last is in the store and that no earlier write can take effect any more.
    pub fn on_record_written(&mut self, partition: PartitionId) {
        if !self.partitions.contains_key(&partition) {
            return;
        }
        let teams = self.team_names(partition);
        let teams = teams.iter().map(String::as_str);
        self.update(partition, teams, PartitionGrant::on_record_written);
    }

    /// Returns the teams that have, or had, a part of the partition's grant.
    fn team_names(&self, partition: PartitionId) -> BTreeSet<String> {
        let grant = self.partitions.get(&partition);
        grant.map_or_else(BTreeSet::new, PartitionGrant::team_names)
    }

    /// Returns the version of the record that was last loaded or built for the partition; 0: there is none, or it
    /// cannot be decoded.
    pub fn record_version(&self, partition: PartitionId) -> u64 {
        let grant = self.partitions.get(&partition);
        grant.map_or(0, |grant| grant.record_version)
    }

    /// Returns the partitions that have, or had, a grant.
    pub fn partitions(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }
}
