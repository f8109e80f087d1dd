//! The leader's state of the quota grant of one partition.

use crate::resources::{amount_of, to_list};
use crate::{Micros, Resources, TeamAmounts};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which granted resources that no task needs are revoked, in microseconds.
const SLACK_TIMEOUT_US: Micros = 2_000_000;

/// Part of a team's quota grants that the leader revokes from partition holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReduction {
    /// The amount that no task on the partition has needed for some time.
    IdleSlack,
    /// The amount that no task on the partition needs now, because other tasks of the team need it.
    Slack,
    /// The whole amount, because the team is above its limit. Nothing more may start, even after a task has ended.
    All,
}

/// Part of one team's limit that a partition is granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamGrant {
    /// Amount that the holder may use, as far as this leader has decided.
    pub(crate) granted: Resources,
    /// Amount that is used by the tasks that the leader knows to be placed on the partition.
    pub(crate) placed: Resources,
    /// Amount that is needed by the tasks that are charged to the grant and that the holder has yet to place.
    pub(crate) queued: Resources,
    /// Time since which the partition is granted more of the team's limit than its tasks need.
    pub(crate) slack_since: Option<Micros>,
}

impl TeamGrant {
    /// Returns the amount that placed and queued tasks need.
    pub(crate) fn needed(&self) -> Resources {
        self.placed.saturating_add(self.queued)
    }

    /// Updates the time since which the partition is granted more of the team's limit than its tasks need.
    pub(crate) fn update_slack(&mut self, now: Micros) {
        if self.granted.fits(self.needed()) {
            self.slack_since = None;
        } else {
            self.slack_since.get_or_insert(now);
        }
    }

    /// Returns the amount that the holder may keep after this reduction.
    fn kept_after(&self, reduction: GrantReduction, now: Micros) -> Resources {
        let is_slack_idle = self
            .slack_since
            .is_some_and(|since| now.saturating_sub(since) >= SLACK_TIMEOUT_US);
        let kept = match reduction {
            GrantReduction::All => Resources::ZERO,
            GrantReduction::Slack => self.needed(),
            GrantReduction::IdleSlack if is_slack_idle => self.needed(),
            GrantReduction::IdleSlack => self.granted,
        };
        kept.min(self.granted)
    }
}

/// Parts of all teams' limits that a partition is granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartitionGrant {
    /// Version of the partition's quota grant record that the leader last loaded or built.
    pub(crate) record_version: u64,
    teams: BTreeMap<String, TeamGrant>,
    /// Amounts that the record holds at least, whatever becomes of the writes in flight. The holder may not be
    /// told more.
    recorded_at_least: TeamAmounts,
    /// Amounts that the record holds at most, now or after a late write.
    recorded_at_most: TeamAmounts,
    /// Amounts in the record that the leader built last.
    last_built: TeamAmounts,
}

impl PartitionGrant {
    /// Loads the grant that an earlier leader wrote.
    pub(crate) fn load(&mut self, record_version: u64, amounts: TeamAmounts) {
        self.record_version = record_version;
        for (team, amount) in &amounts {
            self.team_mut(team).granted = *amount;
        }
        self.recorded_at_least = amounts.clone();
        self.recorded_at_most = amounts;
    }

    /// Returns the part of a team's limit that the partition is granted, if it is known.
    pub(crate) fn team(&self, team: &str) -> Option<&TeamGrant> {
        self.teams.get(team)
    }

    /// Returns the part of a team's limit that the partition is granted, creating it if necessary.
    pub(crate) fn team_mut(&mut self, team: &str) -> &mut TeamGrant {
        self.teams.entry(team.to_string()).or_default()
    }

    /// Returns the amount that this partition's grant charges against the team's limit.
    pub(crate) fn charged(&self, team: &str) -> Resources {
        let known = self.team(team).map(|grant| grant.granted.max(grant.placed));
        let recorded_at_most = amount_of(&self.recorded_at_most, team);
        known.unwrap_or_default().max(recorded_at_most)
    }

    /// Returns the amount that the team's placed and queued tasks on this partition need.
    pub(crate) fn needed(&self, team: &str) -> Resources {
        self.team(team).map_or(Resources::ZERO, TeamGrant::needed)
    }

    /// Returns the amounts that the leader has granted to the partition for each team, without those that are zero.
    fn granted(&self) -> TeamAmounts {
        let teams = self.teams.iter();
        let non_empty = teams.filter(|(_, grant)| !grant.granted.is_zero());
        non_empty
            .map(|(team, grant)| (team.clone(), grant.granted))
            .collect()
    }

    /// Returns the teams that have, or had, a part of the grant.
    pub(crate) fn team_names(&self) -> BTreeSet<String> {
        let names = self.teams.keys().chain(self.recorded_at_most.keys());
        names.cloned().collect()
    }

    /// Cancels growth of the team's grant that is not certainly recorded.
    pub(crate) fn cancel_unrecorded_growth(&mut self, team: &str) {
        let recorded_at_least = amount_of(&self.recorded_at_least, team);
        let grant = self.team_mut(team);
        grant.granted = grant.granted.min(recorded_at_least);
    }

    /// Returns the amounts that the leader tells the partition's holder it may use after these reductions.
    pub(crate) fn usable(
        &mut self,
        now: Micros,
        reduction: impl Fn(&str) -> GrantReduction,
    ) -> Vec<TeamAmount> {
        let mut usable = TeamAmounts::new();
        for (team, grant) in &mut self.teams {
            grant.update_slack(now);
            let kept = grant.kept_after(reduction(team), now);
            let recorded_at_least = amount_of(&self.recorded_at_least, team);
            usable.insert(team.clone(), kept.min(recorded_at_least));
        }
        to_list(&usable)
    }

    /// Applies the answer of the partition's holder that it will use at most `bound` of the team's limit.
    pub(crate) fn on_usage_bound(&mut self, team: &str, bound: Resources, now: Micros) {
        let grant = self.team_mut(team);
        let needed = grant.needed().min(grant.granted);
        grant.granted = bound.max(needed);
        grant.update_slack(now);
    }

    /// Returns whether the record has to be written to match the granted amounts.
    pub(crate) fn differs_from_record(&self) -> bool {
        let granted = self.granted();
        granted != self.recorded_at_least || granted != self.recorded_at_most
    }

    /// Returns the record to write now. `claim` is the fencing token of the partition's claim.
    pub(crate) fn build_record(&mut self, claim: u64) -> QuotaGrantRecord {
        self.record_version += 1;
        self.last_built = self.granted();
        for (team, amount) in &self.last_built {
            let recorded_at_most = self.recorded_at_most.entry(team.clone()).or_default();
            *recorded_at_most = recorded_at_most.max(*amount);
        }
        for (team, recorded_at_least) in &mut self.recorded_at_least {
            *recorded_at_least = recorded_at_least.min(amount_of(&self.last_built, team));
        }
        self.recorded_at_least.retain(|_, amount| !amount.is_zero());
        QuotaGrantRecord {
            version: self.record_version,
            claim,
            teams: to_list(&self.last_built),
        }
    }

    /// Notes that the record built last is in the store and that no earlier write can take effect any more.
    pub(crate) fn on_record_written(&mut self) {
        self.recorded_at_least = self.last_built.clone();
        self.recorded_at_most = self.last_built.clone();
        let recorded = &self.recorded_at_least;
        self.teams.retain(|team, grant| {
            let in_use = !grant.granted.is_zero() || !grant.needed().is_zero();
            in_use || recorded.contains_key(team)
        });
    }
}
