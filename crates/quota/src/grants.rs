//! The leader's books: what of each team's ceiling is allotted to which partition.
//!
//! A share grows when the leader gives the partition's holder a task that does not fit into it, and may be
//! used once it is on record. It shrinks in three steps: the leader tells the holder a lower figure, the
//! holder answers what it will use at most, and the record is written anew. Until then all of it counts.
//!
//! A holder may use what one task leaves for the next without a word. So what the leader knows to be placed
//! and what it has queued there may together be more than the share for a moment: the share does not grow
//! for it, and what does not fit waits.

use crate::resources::{amount_of, from_list, to_list};
use crate::{Micros, Resources, TeamAmounts};
use grebewood_wire::records::{QuotaGrantRecord, TeamAmount};
use std::collections::{BTreeMap, BTreeSet};

/// Number of a partition.
pub type PartitionId = u64;

/// How long a share may be larger than what it is needed for before the rest is asked back.
const SLACK_FOR: Micros = 2_000_000;

/// What of one team's ceiling a partition has.
#[derive(Clone, Debug, Default)]
struct Share {
    /// What its holder may use, as far as this leader has decided.
    granted: Resources,
    /// What the tasks take that are known to be placed.
    placed: Resources,
    /// What the tasks take that are to be placed, and for which there is room.
    queued: Resources,
    /// Since when more is allotted than is needed.
    slack_since: Option<Micros>,
}

impl Share {
    fn needed(&self) -> Resources {
        self.placed.plus(self.queued)
    }

    fn note_slack(&mut self, now: Micros) {
        match self.granted.fits(self.needed()) {
            true => self.slack_since = None,
            false => {
                self.slack_since.get_or_insert(now);
            }
        }
    }
}

/// What a partition has.
#[derive(Clone, Debug, Default)]
struct PartitionGrant {
    number: u64,
    shares: BTreeMap<String, Share>,
    /// What is on record whatever becomes of the writes under way: a holder may be told of no more.
    certain: TeamAmounts,
    /// What may be on record, or may come on record late.
    possible: TeamAmounts,
    /// What was last rendered for a write.
    rendered: TeamAmounts,
}

impl PartitionGrant {
    fn share(&mut self, team: &str) -> &mut Share {
        self.shares.entry(team.to_string()).or_default()
    }

    /// What counts against the team's ceiling.
    fn counted(&self, team: &str) -> Resources {
        let share = self.shares.get(team);
        let known = share.map(|share| share.granted.max(share.placed));
        let possible = amount_of(&self.possible, team);
        known.unwrap_or_default().max(possible)
    }

    fn needed(&self, team: &str) -> Resources {
        let share = self.shares.get(team);
        share.map_or(Resources::ZERO, Share::needed)
    }

    fn granted(&self) -> TeamAmounts {
        let shares = self.shares.iter();
        let some = shares.filter(|(_, share)| !share.granted.is_zero());
        some.map(|(team, share)| (team.clone(), share.granted))
            .collect()
    }

    /// The teams that have or had a share, each once.
    fn teams(&self) -> Vec<String> {
        let teams = self.shares.keys().chain(self.possible.keys());
        let teams: BTreeSet<&String> = teams.collect();
        teams.into_iter().cloned().collect()
    }
}

/// What is asked back from the holders of a team's shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantReduction {
    /// What was needed for nothing for a while.
    OldSlack,
    /// What is needed for nothing: others of the team need it.
    Slack,
    /// All of it: the team is above its ceiling, and nothing more may start, not even where a task ends.
    Everything,
}

/// What was asked for exceeds what the team may still use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit;

/// The allotments of all partitions.
#[derive(Clone, Debug, Default)]
pub struct QuotaGrants {
    partitions: BTreeMap<PartitionId, PartitionGrant>,
    /// What counts against each team's ceiling, over all partitions.
    totals: TeamAmounts,
}

impl QuotaGrants {
    /// Changes a partition's allotment and keeps the totals right.
    fn change<T>(
        &mut self,
        partition: PartitionId,
        teams: &[String],
        change: impl FnOnce(&mut PartitionGrant) -> T,
    ) -> T {
        let entry = self.partitions.entry(partition).or_default();
        let before: Vec<Resources> = teams.iter().map(|team| entry.counted(team)).collect();
        let outcome = change(entry);
        for (team, before) in teams.iter().zip(before) {
            let total = self.totals.entry(team.clone()).or_default();
            *total = total.minus(before).plus(entry.counted(team));
        }
        outcome
    }

    /// Takes over what an earlier leader wrote.
    pub fn load(&mut self, partition: PartitionId, record: &QuotaGrantRecord) {
        let amounts = from_list(&record.teams);
        self.load_amounts(partition, record.number, amounts);
    }

    /// The partition's record cannot be read: it may have been all of each team's ceiling.
    pub fn load_unreadable(&mut self, partition: PartitionId, ceilings: TeamAmounts) {
        self.load_amounts(partition, 0, ceilings);
    }

    fn load_amounts(&mut self, partition: PartitionId, number: u64, amounts: TeamAmounts) {
        let teams: Vec<String> = amounts.keys().cloned().collect();
        self.change(partition, &teams, |entry| {
            entry.number = number;
            for (team, amount) in &amounts {
                entry.share(team).granted = *amount;
            }
            entry.certain = amounts.clone();
            entry.possible = amounts;
        });
    }

    /// Forgets a partition that is there no more.
    pub fn remove(&mut self, partition: PartitionId) {
        let teams = self.partitions.get(&partition).map(|entry| entry.teams());
        self.change(partition, &teams.unwrap_or_default(), |entry| {
            *entry = PartitionGrant::default();
        });
        self.partitions.remove(&partition);
    }

    /// What counts against a team's ceiling, over all partitions.
    pub fn total(&self, team: &str) -> Resources {
        amount_of(&self.totals, team)
    }

    /// What a team's tasks need that are placed by holders or are to be.
    pub fn needed(&self, team: &str) -> Resources {
        let partitions = self.partitions.values();
        partitions.fold(Resources::ZERO, |sum, entry| sum.plus(entry.needed(team)))
    }

    /// What of a partition's share nothing needs.
    pub fn slack(&self, partition: PartitionId, team: &str) -> Resources {
        let entry = self.partitions.get(&partition);
        entry.map_or(Resources::ZERO, |entry| {
            let granted = entry.shares.get(team).map(|share| share.granted);
            granted.unwrap_or_default().minus(entry.needed(team))
        })
    }

    /// The partition's holder is to place a task of the team, for which there is room; `room` is what of the
    /// team's ceiling is left. What is `promised` of the share to tasks that wait there is not free. The
    /// share grows if it has to.
    pub fn queue(
        &mut self,
        partition: PartitionId,
        team: &str,
        amount: Resources,
        promised: Resources,
        room: Resources,
    ) -> Result<(), OverLimit> {
        let entry = self.partitions.entry(partition).or_default();
        let needed = entry.needed(team).plus(promised).plus(amount);
        if !needed.minus(entry.counted(team)).fits(room) {
            return Err(OverLimit);
        }
        self.change(partition, &[team.to_string()], |entry| {
            let share = entry.share(team);
            share.queued = share.queued.plus(amount);
            share.granted = share.granted.max(needed);
            share.slack_since = None;
        });
        Ok(())
    }

    /// A task that was queued is not queued any more: it is placed, or will not be.
    pub fn unqueue(&mut self, partition: PartitionId, team: &str, amount: Resources, now: Micros) {
        if let Some(entry) = self.partitions.get_mut(&partition) {
            let share = entry.share(team);
            share.queued = share.queued.minus(amount);
            share.note_slack(now);
        }
    }

    /// The partition's holder has placed a task of the team.
    pub fn place(&mut self, partition: PartitionId, team: &str, amount: Resources) {
        self.change(partition, &[team.to_string()], |entry| {
            let share = entry.share(team);
            share.placed = share.placed.plus(amount);
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
        self.change(partition, &[team.to_string()], |entry| {
            let share = entry.share(team);
            share.placed = share.placed.minus(amount);
            share.note_slack(now);
        });
    }

    /// The team's ceiling was lowered: what its shares were to grow by, and is not on record for certain, is
    /// not written any more.
    pub fn drop_growth(&mut self, team: &str) {
        for partition in self.partitions() {
            self.change(partition, &[team.to_string()], |entry| {
                let certain = amount_of(&entry.certain, team);
                let share = entry.share(team);
                share.granted = share.granted.min(certain);
            });
        }
    }

    /// What the partition's holder is told that it may use: no more than is on record, and without what is
    /// asked back.
    pub fn to_tell(
        &mut self,
        partition: PartitionId,
        now: Micros,
        ask_back: impl Fn(&str) -> GrantReduction,
    ) -> Vec<TeamAmount> {
        let Some(entry) = self.partitions.get_mut(&partition) else {
            return Vec::new();
        };
        let mut told = TeamAmounts::new();
        for (team, share) in &mut entry.shares {
            share.note_slack(now);
            let idle = share.slack_since;
            let idle = idle.is_some_and(|since| now.saturating_sub(since) >= SLACK_FOR);
            let target = match ask_back(team) {
                GrantReduction::Everything => Resources::ZERO,
                GrantReduction::Slack => share.needed(),
                GrantReduction::OldSlack if idle => share.needed(),
                GrantReduction::OldSlack => share.granted,
            };
            let target = target.min(share.granted);
            let certain = amount_of(&entry.certain, team);
            told.insert(team.clone(), target.min(certain));
        }
        to_list(&told)
    }

    /// The partition's holder has answered the last message that told it what it may use: it will use no
    /// more than this.
    pub fn on_held(&mut self, partition: PartitionId, held: &[TeamAmount], now: Micros) {
        let held = from_list(held);
        let Some(entry) = self.partitions.get(&partition) else {
            return;
        };
        let mut teams = entry.teams();
        teams.extend(held.keys().cloned());
        teams.sort();
        teams.dedup();
        self.change(partition, &teams, |entry| {
            for team in &teams {
                let most = amount_of(&held, team);
                let share = entry.share(team);
                let needed = share.needed().min(share.granted);
                share.granted = most.max(needed);
                share.note_slack(now);
            }
        });
    }

    /// Whether the record says something else than what is allotted.
    pub fn differs_from_record(&self, partition: PartitionId) -> bool {
        let entry = self.partitions.get(&partition);
        entry.is_some_and(|entry| {
            let granted = entry.granted();
            granted != entry.certain || granted != entry.possible
        })
    }

    /// The record as it is to be written now.
    pub fn render(&mut self, partition: PartitionId, claim: u64) -> QuotaGrantRecord {
        let teams = self.partitions.get(&partition).map(|entry| entry.teams());
        self.change(partition, &teams.unwrap_or_default(), |entry| {
            entry.number += 1;
            entry.rendered = entry.granted();
            for (team, amount) in &entry.rendered {
                let possible = entry.possible.entry(team.clone()).or_default();
                *possible = possible.max(*amount);
            }
            let rendered = &entry.rendered;
            for (team, certain) in &mut entry.certain {
                *certain = certain.min(amount_of(rendered, team));
            }
            entry.certain.retain(|_, amount| !amount.is_zero());
            QuotaGrantRecord {
                number: entry.number,
                claim,
                teams: to_list(&entry.rendered),
            }
        })
    }

    /// The record that was last rendered is on record, and no earlier one can come on record any more.
    pub fn written(&mut self, partition: PartitionId) {
        let Some(entry) = self.partitions.get(&partition) else {
            return;
        };
        let teams = entry.teams();
        self.change(partition, &teams, |entry| {
            entry.certain = entry.rendered.clone();
            entry.possible = entry.rendered.clone();
            let on_record = &entry.certain;
            entry.shares.retain(|team, share| {
                let used = !share.granted.is_zero() || !share.needed().is_zero();
                used || on_record.contains_key(team)
            });
        });
    }

    /// The number of the allotment that is on record or about to be.
    pub fn number(&self, partition: PartitionId) -> u64 {
        self.partitions
            .get(&partition)
            .map_or(0, |entry| entry.number)
    }

    /// Partitions that have an allotment, or had one.
    pub fn partitions(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }
}
