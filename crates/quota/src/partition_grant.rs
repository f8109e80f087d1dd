//! The quota grant of one partition, as the leader keeps it.

use crate::resources::{amount_of, to_list};
use crate::{Micros, Resources, TeamAmounts};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};

/// How long more may be granted than is needed before the rest is revoked, in microseconds.
const SLACK_TIMEOUT: Micros = 2_000_000;

/// How much of a team's quota grants is revoked from the holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReduction {
    /// What no task has needed for a while.
    IdleSlack,
    /// What no task needs: others of the team need it.
    Slack,
    /// All of it: the team is above its limit, and nothing more may start, not even where a task ends.
    All,
}

/// What of one team's limit a partition has.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamGrant {
    /// What the holder may use, as far as this leader has decided.
    pub(crate) granted: Resources,
    /// What the tasks take that are known to be placed.
    pub(crate) placed: Resources,
    /// What the tasks take that are to be placed, and for which there is room.
    pub(crate) queued: Resources,
    /// Since when more is granted than is needed.
    pub(crate) slack_since: Option<Micros>,
}

impl TeamGrant {
    pub(crate) fn needed(&self) -> Resources {
        self.placed.saturating_add(self.queued)
    }

    pub(crate) fn update_slack(&mut self, now: Micros) {
        if self.granted.fits(self.needed()) {
            self.slack_since = None;
        } else {
            self.slack_since.get_or_insert(now);
        }
    }

    /// What the holder may keep after this reduction.
    fn reduced(&self, reduction: GrantReduction, now: Micros) -> Resources {
        let slack_timed_out = self
            .slack_since
            .is_some_and(|since| now.saturating_sub(since) >= SLACK_TIMEOUT);
        let kept = match reduction {
            GrantReduction::All => Resources::ZERO,
            GrantReduction::Slack => self.needed(),
            GrantReduction::IdleSlack if slack_timed_out => self.needed(),
            GrantReduction::IdleSlack => self.granted,
        };
        kept.min(self.granted)
    }
}

/// What a partition has of all teams' limits.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartitionGrant {
    /// Number of the record that was last rendered.
    pub(crate) number: u64,
    teams: BTreeMap<String, TeamGrant>,
    /// What is on record whatever becomes of the writes in flight: a holder may be told of no more.
    certain: TeamAmounts,
    /// What may be on record, or may come on record late.
    possible: TeamAmounts,
    /// What was last rendered for a write.
    rendered: TeamAmounts,
}

impl PartitionGrant {
    /// The grant that an earlier leader wrote.
    pub(crate) fn load(&mut self, number: u64, amounts: TeamAmounts) {
        self.number = number;
        for (team, amount) in &amounts {
            self.team_mut(team).granted = *amount;
        }
        self.certain = amounts.clone();
        self.possible = amounts;
    }

    pub(crate) fn team(&self, team: &str) -> Option<&TeamGrant> {
        self.teams.get(team)
    }

    pub(crate) fn team_mut(&mut self, team: &str) -> &mut TeamGrant {
        self.teams.entry(team.to_string()).or_default()
    }

    /// What is charged against the team's limit.
    pub(crate) fn charged(&self, team: &str) -> Resources {
        let known = self.team(team).map(|grant| grant.granted.max(grant.placed));
        let possible = amount_of(&self.possible, team);
        known.unwrap_or_default().max(possible)
    }

    pub(crate) fn needed(&self, team: &str) -> Resources {
        self.team(team).map_or(Resources::ZERO, TeamGrant::needed)
    }

    fn granted(&self) -> TeamAmounts {
        let teams = self.teams.iter();
        let non_empty = teams.filter(|(_, grant)| !grant.granted.is_zero());
        non_empty
            .map(|(team, grant)| (team.clone(), grant.granted))
            .collect()
    }

    /// The teams that have or had something granted, each once.
    pub(crate) fn team_names(&self) -> BTreeSet<String> {
        let names = self.teams.keys().chain(self.possible.keys());
        names.cloned().collect()
    }

    /// Takes back the growth of the team's grant that is not on record for certain.
    pub(crate) fn cancel_unrecorded_growth(&mut self, team: &str) {
        let certain = amount_of(&self.certain, team);
        let grant = self.team_mut(team);
        grant.granted = grant.granted.min(certain);
    }

    /// What the holder is told that it may use after these reductions, by team.
    pub(crate) fn usable(
        &mut self,
        now: Micros,
        reduction: impl Fn(&str) -> GrantReduction,
    ) -> Vec<TeamAmount> {
        let mut usable = TeamAmounts::new();
        for (team, grant) in &mut self.teams {
            grant.update_slack(now);
            let kept = grant.reduced(reduction(team), now);
            let certain = amount_of(&self.certain, team);
            usable.insert(team.clone(), kept.min(certain));
        }
        to_list(&usable)
    }

    /// The holder will use no more of the team's limit than this.
    pub(crate) fn on_usage_bound(&mut self, team: &str, bound: Resources, now: Micros) {
        let grant = self.team_mut(team);
        let needed = grant.needed().min(grant.granted);
        grant.granted = bound.max(needed);
        grant.update_slack(now);
    }

    pub(crate) fn differs_from_record(&self) -> bool {
        let granted = self.granted();
        granted != self.certain || granted != self.possible
    }

    /// The record as it is to be written now.
    pub(crate) fn render(&mut self, claim: u64) -> QuotaGrantRecord {
        self.number += 1;
        self.rendered = self.granted();
        for (team, amount) in &self.rendered {
            let possible = self.possible.entry(team.clone()).or_default();
            *possible = possible.max(*amount);
        }
        for (team, certain) in &mut self.certain {
            *certain = certain.min(amount_of(&self.rendered, team));
        }
        self.certain.retain(|_, amount| !amount.is_zero());
        QuotaGrantRecord {
            version: self.number,
            claim,
            teams: to_list(&self.rendered),
        }
    }

    /// The record that was last rendered is on record, and no earlier one can come on record any more.
    pub(crate) fn written(&mut self) {
        self.certain = self.rendered.clone();
        self.possible = self.rendered.clone();
        let on_record = &self.certain;
        self.teams.retain(|team, grant| {
            let in_use = !grant.granted.is_zero() || !grant.needed().is_zero();
            in_use || on_record.contains_key(team)
        });
    }
}
