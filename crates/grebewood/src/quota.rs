//! `grebewood quota`: what the teams may use, and what they do.

use crate::store::{self, ReadError};
use grebewood_quota::overview::{Overview, RecordedTask, Records};
use grebewood_quota::{Limits, Resources};
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{
    partition_of_page, JobKey, JobRecord, LimitsRecord, PageRecord, JOB, LIMITS, PAGE, QUOTA,
};
use grebewood_wire::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What one task of a job takes, and of whose limit.
#[derive(Clone)]
struct TaskOf {
    team: String,
    amount: Resources,
}

/// Reads the overview.
pub fn read(server: SocketAddr) -> Result<Overview, ReadError> {
    let mut records = Records {
        leader: store::leader(server)?,
        ..Records::default()
    };
    let map = store::partitions(server)?;
    let held = map
        .iter()
        .filter(|(_, partition)| partition.claim.is_some());
    records.held = held.map(|(id, _)| id).collect();
    for entry in store::list(server, QUOTA)? {
        take_quota(&mut records, &entry);
    }
    let pages = store::list(server, PAGE)?;
    let jobs = tasks_of_jobs(&store::list(server, JOB)?);
    for page in &pages {
        take_page(&mut records, &jobs, page);
    }
    Ok(Overview::of(&records))
}

fn take_quota(records: &mut Records, entry: &KeyValue<Value>) {
    if entry.key == LIMITS {
        match from_value::<LimitsRecord>(&entry.value) {
            Ok(record) => records.limits = Some(Limits::from_teams(&record.teams)),
            Err(_) => records.limits_unreadable = true,
        }
    } else if let Some(Ok(id)) = entry.key.strip_prefix(QUOTA).map(str::parse) {
        records.allotments.insert(id, from_value(&entry.value).ok());
    }
}

fn tasks_of_jobs(entries: &[KeyValue<Value>]) -> BTreeMap<String, TaskOf> {
    let mut jobs = BTreeMap::new();
    for entry in entries {
        let record = from_value::<JobRecord>(&entry.value);
        if let (Some(JobKey::Live(id)), Ok(record)) = (JobKey::parse(&entry.key), record) {
            let task = TaskOf {
                team: record.spec.team.clone(),
                amount: Resources::of(record.spec.cpus, record.spec.gpus),
            };
            jobs.insert(id.to_string(), task);
        }
    }
    jobs
}

/// Tasks of jobs that are over are gone, or about to be.
fn take_page(records: &mut Records, jobs: &BTreeMap<String, TaskOf>, entry: &KeyValue<Value>) {
    let Ok(page) = from_value::<PageRecord>(&entry.value) else {
        records.unreadable_pages.push(entry.key.clone());
        return;
    };
    let number = entry.key.rsplit_once('/').map(|(_, number)| number.parse());
    let partition = number.and_then(Result::ok).and_then(partition_of_page);
    let assignments = page.machines.iter().flat_map(|m| &m.assignments);
    let tasks = assignments.filter_map(|(job, _, _)| jobs.get(job));
    records.tasks.extend(tasks.map(|task| RecordedTask {
        partition,
        team: task.team.clone(),
        amount: task.amount,
    }));
}
