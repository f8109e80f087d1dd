//! What `grebewood quota` shows of the teams' quotas, from the records in the key-value store alone.

use crate::resources::{amount_of, from_list};
use crate::{Limits, PartitionId, Resources, TeamQuota};
use grebewood_wire::records::{quota_grant_key, QuotaGrantRecord, LIMITS};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A task on a page of assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedTask {
    /// The partition whose holder placed it; `None`: the leader did.
    pub partition: Option<PartitionId>,
    /// The task's team.
    pub team: String,
    /// What the task needs.
    pub amount: Resources,
}

/// What is read from the store.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The member that leads, if any.
    pub leader: Option<String>,
    /// The quotas in force; `None`: none are on record.
    pub limits: Option<Limits>,
    /// Whether the record of the quotas in force cannot be read.
    pub limits_unreadable: bool,
    /// The quota grants by partition; `None`: the record cannot be read.
    pub grants: BTreeMap<PartitionId, Option<QuotaGrantRecord>>,
    /// Partitions that are held.
    pub held_partitions: BTreeSet<PartitionId>,
    /// All tasks that may be on machines.
    pub tasks: Vec<RecordedTask>,
    /// Keys of pages of assignments that cannot be read: what is on them is not known.
    pub unreadable_pages: Vec<String>,
}

/// A team's quota and what of it is used.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamRow {
    /// The team.
    pub team: String,
    /// The guaranteed share.
    pub guarantee: Amount,
    /// The limit. Operators' scripts read it by its old name.
    #[serde(rename = "ceiling")]
    pub limit: Amount,
    /// What of the limit is granted to partition holders. Operators' scripts read it by its old name.
    #[serde(rename = "allotted")]
    pub granted: Amount,
    /// What the team's tasks use that are on record.
    pub used: Amount,
    /// What of all this may or may not be in use now.
    pub in_doubt: Amount,
    /// Why it is in doubt, one reason for each partition concerned.
    pub reasons: Vec<String>,
}

/// CPUs and accelerators, as an operator reads them.
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

/// The overview of all teams' quotas.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// The member that leads, if any.
    pub leader: Option<String>,
    /// The teams, by name.
    pub teams: Vec<TeamRow>,
    /// Keys of the store whose value cannot be read.
    pub unreadable: Vec<String>,
}

impl Records {
    /// What the team's tasks use that the partition's holder has placed, or the leader itself (`None`).
    fn used(&self, team: &str, partition: Option<PartitionId>) -> Resources {
        let tasks = self.tasks.iter();
        let matching = tasks.filter(|task| task.team == team && task.partition == partition);
        matching.fold(Resources::ZERO, |sum, task| sum.saturating_add(task.amount))
    }

    /// What the partition is granted of the team's limit.
    fn granted(&self, team: &str, partition: PartitionId, limit: Resources) -> Resources {
        match self.grants.get(&partition) {
            None => Resources::ZERO,
            // It may have been all of it.
            Some(None) => limit,
            Some(Some(record)) => amount_of(&from_list(&record.teams), team),
        }
    }

    /// Partitions that have a quota grant or tasks.
    fn partitions(&self) -> BTreeSet<PartitionId> {
        let with_tasks = self.tasks.iter().filter_map(|task| task.partition);
        self.grants.keys().copied().chain(with_tasks).collect()
    }

    /// Why it is in doubt whether the partition's grant is used; `None` if it is not in doubt.
    fn reason_for_doubt(&self, partition: PartitionId) -> Option<String> {
        if matches!(self.grants.get(&partition), Some(None)) {
            return Some(format!("{} cannot be read", quota_grant_key(partition)));
        }
        let held = self.held_partitions.contains(&partition);
        (!held).then(|| format!("partition {partition} has no holder"))
    }

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

    fn unreadable_keys(&self) -> Vec<String> {
        let mut keys = Vec::new();
        keys.extend(self.limits_unreadable.then(|| LIMITS.to_string()));
        let grants = self.grants.iter();
        let unreadable = grants.filter(|(_, record)| record.is_none());
        keys.extend(unreadable.map(|(partition, _)| quota_grant_key(*partition)));
        keys.extend(self.unreadable_pages.iter().cloned());
        keys
    }
}

impl Overview {
    /// The overview of these records.
    pub fn of(records: &Records) -> Overview {
        Overview {
            leader: records.leader.clone(),
            teams: records.team_rows(),
            unreadable: records.unreadable_keys(),
        }
    }

    /// The overview as a table.
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

/// An amount beyond this one stands for no limit.
const NO_LIMIT: f64 = 1e11;

/// A number with two decimals at most, as operators read it.
fn number_to_text(number: f64) -> String {
    if number < NO_LIMIT {
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
