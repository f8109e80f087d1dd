//! The command `grebewood quota`: shows the quotas of the teams and what the teams use.

use crate::store::{self, ReadError};
use grebewood_quota::overview::{Overview, RecordedTask, Records};
use grebewood_quota::{Limits, Resources};
use grebewood_wire::http::{from_value, KeyValue};
use grebewood_wire::records::{
    partition_of_page, AssignmentPageRecord, JobKey, JobRecord, LimitsRecord,
    ASSIGNMENT_PAGE_PREFIX, JOB_PREFIX, QUOTA_LIMITS_KEY, QUOTA_PREFIX,
};
use grebewood_wire::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The team of a job, and the resources that one task of the job counts towards the team's limit.
struct TaskUsage {
    team: String,
    amount: Resources,
}

/// Reads the overview from the key-value store at this address.
pub fn read_overview(store: SocketAddr) -> Result<Overview, ReadError> {
    let mut records = Records {
        leader: store::read_leader(store)?,
        ..Records::default()
    };
    let partitions = store::read_partitions(store)?;
    let held = partitions
        .iter()
        .filter(|(_, partition)| partition.claim.is_some());
    records.held_partitions = held.map(|(id, _)| id).collect();
    for entry in store::list_entries(store, QUOTA_PREFIX)? {
        add_quota_record(&mut records, &entry);
    }
    let pages = store::list_entries(store, ASSIGNMENT_PAGE_PREFIX)?;
    let jobs = task_usage_by_job(&store::list_entries(store, JOB_PREFIX)?);
    for page in &pages {
        add_assignments(&mut records, &jobs, page);
    }
    Ok(Overview::of(&records))
}

fn add_quota_record(records: &mut Records, entry: &KeyValue<Value>) {
    if entry.key == QUOTA_LIMITS_KEY {
        match from_value::<LimitsRecord>(&entry.value) {
            Ok(record) => records.limits = Some(Limits::from_teams(&record.teams)),
            Err(_) => records.limits_unreadable = true,
        }
    } else if let Some(Ok(id)) = entry.key.strip_prefix(QUOTA_PREFIX).map(str::parse) {
        records.grants.insert(id, from_value(&entry.value).ok());
    }
}

fn task_usage_by_job(entries: &[KeyValue<Value>]) -> BTreeMap<String, TaskUsage> {
    let mut jobs = BTreeMap::new();
    for entry in entries {
        let record = from_value::<JobRecord>(&entry.value);
        if let (Some(JobKey::Live(id)), Ok(record)) = (JobKey::parse(&entry.key), record) {
            let task = TaskUsage {
                team: record.spec.team.clone(),
                amount: Resources::of(record.spec.cpus, record.spec.gpus),
            };
            jobs.insert(id.to_string(), task);
        }
    }
    jobs
}

/// Adds the tasks of an assignment page to the records. Tasks of finished jobs are left out, because they have
/// ended or are about to be stopped.
fn add_assignments(
    records: &mut Records,
    jobs: &BTreeMap<String, TaskUsage>,
    entry: &KeyValue<Value>,
) {
    let Ok(page) = from_value::<AssignmentPageRecord>(&entry.value) else {
        records.unreadable_pages.push(entry.key.clone());
        return;
    };
    let number = entry.key.rsplit_once('/').map(|(_, number)| number.parse());
    let partition = number.and_then(Result::ok).and_then(partition_of_page);
    let assignments = page
        .machines
        .iter()
        .flat_map(|machine| &machine.assignments);
    let tasks = assignments.filter_map(|(job, _, _)| jobs.get(job));
    records.tasks.extend(tasks.map(|task| RecordedTask {
        partition,
        team: task.team.clone(),
        amount: task.amount,
    }));
}
