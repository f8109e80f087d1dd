//! Output of `grebewood quota`: the teams' quotas, from the records in the key-value store alone.

use crate::resources::{amount_of, from_list};
use crate::{Limits, PartitionId, Resources, TeamQuota};
use grebewood_wire::records::{quota_grant_key, QuotaGrantRecord, QUOTA_LIMITS_KEY};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Task on a page of assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedTask {
    /// Partition whose holder placed the task; `None`: the leader placed it.
    pub partition: Option<PartitionId>,
    /// Team of the task.
    pub team: String,
    /// Resources that the task needs.
    pub amount: Resources,
}

/// Content of the records in the key-value store from which the overview of the quotas is computed.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Name of the leader, if any.
    pub leader: Option<String>,
    /// Quotas in force; `None`: there is no readable record of them.
    pub limits: Option<Limits>,
    /// Whether the record of the quotas in force cannot be decoded.
    pub limits_unreadable: bool,
    /// Quota grants by partition; `None`: the record cannot be decoded.
    pub grants: BTreeMap<PartitionId, Option<QuotaGrantRecord>>,
    /// Partitions that have a holder.
    pub held_partitions: BTreeSet<PartitionId>,
    /// All tasks that may be on machines.
    pub tasks: Vec<RecordedTask>,
    /// Keys of pages of assignments that cannot be decoded, so that their tasks are not known.
    pub unreadable_pages: Vec<String>,
}

/// Row of the overview: quota and usage of one team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamRow {
    /// Name of the team.
    pub team: String,
    /// Guaranteed share.
    pub guarantee: Amount,
    /// Limit of the team. Operators' scripts read this field by its earlier name.
    #[serde(rename = "ceiling")]
    pub limit: Amount,
    /// Part of the limit that is granted to partition holders. Operators' scripts read this field by its earlier
    /// name.
    #[serde(rename = "allotted")]
    pub granted: Amount,
    /// Amount that the team's recorded tasks use.
    pub used: Amount,
    /// Part of the granted and used amounts of which it is not known whether it is in use now.
    pub in_doubt: Amount,
    /// Reasons why an amount is in doubt, one for each partition concerned.
    pub reasons: Vec<String>,
}

/// Amount of CPUs and accelerators, in whole units and fractions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Amount {
    /// CPUs.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Amount {
        Amount {
            cpus: resources.cpus(),
            gpus: resources.gpus(),
        }
    }
}

/// Overview of all teams' quotas.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Name of the leader, if any.
    pub leader: Option<String>,
    /// Teams, ordered by name.
    pub teams: Vec<TeamRow>,
    /// Keys in the key-value store whose value cannot be decoded.
    pub unreadable: Vec<String>,
}

impl Records {
    /// Returns the amount that the team's tasks use that the partition's holder has placed, or the leader
    /// (`None`).
    fn used(&self, team: &str, partition: Option<PartitionId>) -> Resources {
        let tasks = self.tasks.iter();
        let matching = tasks.filter(|task| task.team == team && task.partition == partition);
        matching.fold(Resources::ZERO, |sum, task| sum.saturating_add(task.amount))
    }

    /// Returns the part of the team's limit that the partition is granted.
    fn granted(&self, team: &str, partition: PartitionId, limit: Resources) -> Resources {
        match self.grants.get(&partition) {
            None => Resources::ZERO,
            // The unreadable grant may cover the whole limit.
            Some(None) => limit,
            Some(Some(record)) => amount_of(&from_list(&record.teams), team),
        }
    }

    /// Returns the partitions that have a quota grant or tasks.
    fn partitions(&self) -> BTreeSet<PartitionId> {
        let with_tasks = self.tasks.iter().filter_map(|task| task.partition);
        self.grants.keys().copied().chain(with_tasks).collect()
    }

    /// Returns the reason why it is not known whether the partition's quota grant is in use; `None`: it is known.
    fn reason_for_doubt(&self, partition: PartitionId) -> Option<String> {
        if matches!(self.grants.get(&partition), Some(None)) {
            return Some(format!("{} cannot be read", quota_grant_key(partition)));
        }
        let held = self.held_partitions.contains(&partition);
        (!held).then(|| format!("partition {partition} has no holder"))
    }

    /// Returns the row of a team.
    fn team_row(&self, team: &str, quota: TeamQuota) -> TeamRow {
        let mut used = self.used(team, None);
        let mut granted = Resources::ZERO;
        let mut in_doubt = Resources::ZERO;
        let mut reasons = Vec::new();
        for partition in self.partitions() {
            let granted_here = self.granted(team, partition, quota.limit);
            let used_here = self.used(team, Some(partition));
            granted = granted.saturating_add(granted_here);
            used = used.saturating_add(used_here);
            let charged_here = granted_here.max(used_here);
            if charged_here.is_zero() {
                continue;
            }
            if let Some(reason) = self.reason_for_doubt(partition) {
                reasons.push(reason);
                in_doubt = in_doubt.saturating_add(charged_here);
            }
        }
        TeamRow {
            team: team.to_string(),
            guarantee: quota.guarantee.into(),
            limit: quota.limit.into(),
            granted: granted.into(),
            used: used.into(),
            in_doubt: in_doubt.into(),
            reasons,
        }
    }

    /// Returns the rows of all teams that have a quota or tasks.
    fn team_rows(&self) -> Vec<TeamRow> {
        let none = Limits::default();
        let limits = self.limits.as_ref().unwrap_or(&none);
        let with_quota = limits.iter().map(|(team, _)| team);
        let with_tasks = self.tasks.iter().map(|task| task.team.as_str());
        let teams: BTreeSet<&str> = with_quota.chain(with_tasks).collect();
        teams
            .into_iter()
            .map(|team| self.team_row(team, limits.get(team).unwrap_or_default()))
            .collect()
    }

    /// Returns the keys of all records that cannot be decoded.
    fn unreadable_keys(&self) -> Vec<String> {
        let mut keys = Vec::new();
        keys.extend(self.limits_unreadable.then(|| QUOTA_LIMITS_KEY.to_string()));
        let grants = self.grants.iter();
        let unreadable = grants.filter(|(_, record)| record.is_none());
        keys.extend(unreadable.map(|(partition, _)| quota_grant_key(*partition)));
        keys.extend(self.unreadable_pages.iter().cloned());
        keys
    }
}

impl Overview {
    /// Builds the quota overview from the records in the key-value store.
    pub fn of(records: &Records) -> Overview {
        Overview {
            leader: records.leader.clone(),
            teams: records.team_rows(),
            unreadable: records.unreadable_keys(),
        }
    }

    /// Returns the overview as a table.
    pub fn to_text(&self) -> String {
        let leader = self.leader.as_deref().unwrap_or("nobody");
        let mut text = format!("leader: {leader}\n");
        text.push_str(&self.heading());
        for row in &self.teams {
            text.push_str(&row.to_text());
        }
        for key in &self.unreadable {
            // Writing to a string does not fail.
            let _ = writeln!(text, "unreadable: {key}");
        }
        text
    }

    /// Returns the heading of the table, or a note that there is nothing to list.
    fn heading(&self) -> String {
        if self.teams.is_empty() {
            return "no limits on record: holders of partitions place nothing\n".to_string();
        }
        format!(
            "{:<20} {:>12} {:>12} {:>12} {:>12} {:>12}\n",
            "team (CPUs/GPUs)", "guarantee", "ceiling", "allotted", "used", "in doubt"
        )
    }
}

impl TeamRow {
    fn to_text(&self) -> String {
        let amounts = [
            self.guarantee,
            self.limit,
            self.granted,
            self.used,
            self.in_doubt,
        ];
        let mut text = format!("{:<20}", self.team);
        for amount in amounts {
            // Writing to a string does not fail.
            let _ = write!(text, " {:>12}", amount.to_text());
        }
        if !self.reasons.is_empty() {
            let _ = write!(text, "  {}", self.reasons.join("; "));
        }
        text.push('\n');
        text
    }
}

/// Number of CPUs or accelerators from which on an amount is shown as "no limit".
const NO_LIMIT_FROM: f64 = 1e11;

/// Returns the number with at most two decimals.
fn number_to_text(number: f64) -> String {
    if number < NO_LIMIT_FROM {
        format!("{}", (number * 100.0).round() / 100.0)
    } else {
        "no limit".to_string()
    }
}

impl Amount {
    fn to_text(self) -> String {
        let cpus = number_to_text(self.cpus);
        if self.gpus > 0.0 {
            format!("{cpus}/{}", number_to_text(self.gpus))
        } else {
            cpus
        }
    }
}
