//! What an operator is shown of the teams' limits, from the records in the state service alone.

use crate::{Limits, Resources, TeamAmounts};
use grebewood_wire::records::{quota_grant_key, QuotaGrantRecord, LIMITS};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Number of a partition.
type PartitionId = u64;

/// A task on a page of assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedTask {
    /// The partition whose holder placed it; `None`: the leader did.
    pub partition: Option<PartitionId>,
    /// Its team.
    pub team: String,
    /// What it needs.
    pub amount: Resources,
}

/// What is read from the state service.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Who leads, if anybody does.
    pub leader: Option<String>,
    /// The limits in force; `None`: none are on record.
    pub limits: Option<Limits>,
    /// Whether the limits cannot be read.
    pub limits_unreadable: bool,
    /// The allotments; `None`: the record cannot be read.
    pub allotments: BTreeMap<PartitionId, Option<QuotaGrantRecord>>,
    /// Partitions that somebody holds.
    pub held: BTreeSet<PartitionId>,
    /// All tasks that may be on machines.
    pub tasks: Vec<RecordedTask>,
    /// Keys of pages of assignments that cannot be read: what is on them is not known.
    pub unreadable_pages: Vec<String>,
}

/// A team's limits and what of them is used, in CPUs and accelerators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The team.
    pub team: String,
    /// What is guaranteed to it.
    pub guarantee: Amount,
    /// What it may use at most.
    #[serde(rename = "ceiling")]
    pub limit: Amount,
    /// What of that is allotted to holders of partitions.
    #[serde(rename = "allotted")]
    pub granted: Amount,
    /// What its tasks use that are on record.
    pub used: Amount,
    /// What of all this nobody can tell now whether it is used.
    pub in_doubt: Amount,
    /// Why.
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

/// The overview.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Who leads, if anybody does.
    pub leader: Option<String>,
    /// The teams.
    pub teams: Vec<Row>,
    /// Keys whose value cannot be read.
    pub unreadable: Vec<String>,
}

impl Records {
    fn used(&self, team: &str, partition: Option<PartitionId>) -> Resources {
        let theirs = self.tasks.iter();
        let theirs = theirs.filter(|task| task.team == team && task.partition == partition);
        theirs.fold(Resources::ZERO, |sum, task| sum.plus(task.amount))
    }

    fn granted(&self, team: &str, partition: PartitionId, limit: Resources) -> Resources {
        match self.allotments.get(&partition) {
            None => Resources::ZERO,
            // It may have been all of it.
            Some(None) => limit,
            Some(Some(record)) => {
                let amounts: TeamAmounts = crate::resources::from_list(&record.teams);
                crate::resources::amount_of(&amounts, team)
            }
        }
    }

    fn row(&self, team: &str, limits: &Limits) -> Row {
        let limit = limits.get(team).unwrap_or_default();
        let with_tasks = self.tasks.iter().filter_map(|task| task.partition);
        let partitions: BTreeSet<PartitionId> =
            self.allotments.keys().copied().chain(with_tasks).collect();
        let mut used = self.used(team, None);
        let (mut granted, mut in_doubt) = (Resources::ZERO, Resources::ZERO);
        let mut reasons = Vec::new();
        for partition in partitions {
            let share = self.granted(team, partition, limit.limit);
            let by_tasks = self.used(team, Some(partition));
            granted = granted.plus(share);
            used = used.plus(by_tasks);
            let most = share.max(by_tasks);
            if most.is_zero() {
                continue;
            }
            if matches!(self.allotments.get(&partition), Some(None)) {
                reasons.push(format!("{} cannot be read", quota_grant_key(partition)));
                in_doubt = in_doubt.plus(most);
            } else if !self.held.contains(&partition) {
                reasons.push(format!("partition {partition} has no holder"));
                in_doubt = in_doubt.plus(most);
            }
        }
        Row {
            team: team.to_string(),
            guarantee: limit.guarantee.into(),
            limit: limit.limit.into(),
            granted: granted.into(),
            used: used.into(),
            in_doubt: in_doubt.into(),
            reasons,
        }
    }
}

impl Overview {
    /// The overview of these records.
    pub fn of(records: &Records) -> Overview {
        let none = Limits::default();
        let limits = records.limits.as_ref().unwrap_or(&none);
        let of_tasks = records.tasks.iter().map(|task| task.team.as_str());
        let teams: BTreeSet<&str> = limits
            .iter()
            .map(|(team, _)| team)
            .chain(of_tasks)
            .collect();
        let rows = teams.into_iter().map(|team| records.row(team, limits));
        let mut unreadable: Vec<String> = Vec::new();
        unreadable.extend(records.limits_unreadable.then(|| LIMITS.to_string()));
        let allotments = records.allotments.iter();
        let broken = allotments.filter(|(_, record)| record.is_none());
        unreadable.extend(broken.map(|(partition, _)| quota_grant_key(*partition)));
        unreadable.extend(records.unreadable_pages.iter().cloned());
        Overview {
            leader: records.leader.clone(),
            teams: rows.collect(),
            unreadable,
        }
    }

    /// The overview as a table.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let leader = self.leader.as_deref().unwrap_or("nobody");
        // Writing to a string does not fail.
        let _ = writeln!(text, "leader: {leader}");
        if self.teams.is_empty() {
            let _ = writeln!(
                text,
                "no limits on record: holders of partitions place nothing"
            );
        } else {
            let _ = writeln!(
                text,
                "{:<20} {:>12} {:>12} {:>12} {:>12} {:>12}",
                "team (CPUs/GPUs)", "guarantee", "ceiling", "allotted", "used", "in doubt"
            );
        }
        for row in &self.teams {
            let _ = write!(text, "{:<20}", row.team);
            for amount in [
                row.guarantee,
                row.limit,
                row.granted,
                row.used,
                row.in_doubt,
            ] {
                let _ = write!(text, " {:>12}", shown(amount));
            }
            match row.reasons.is_empty() {
                true => text.push('\n'),
                false => {
                    let _ = writeln!(text, "  {}", row.reasons.join("; "));
                }
            }
        }
        for key in &self.unreadable {
            let _ = writeln!(text, "unreadable: {key}");
        }
        text
    }
}

/// A figure beyond this one stands for no limit.
const NO_LIMIT: f64 = 1e11;

fn shown(amount: Amount) -> String {
    let number = |figure: f64| match figure < NO_LIMIT {
        true => format!("{}", (figure * 100.0).round() / 100.0),
        false => "no limit".to_string(),
    };
    match amount.gpus > 0.0 {
        true => format!("{}/{}", number(amount.cpus), number(amount.gpus)),
        false => number(amount.cpus),
    }
}
