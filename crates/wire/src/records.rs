//! Records that controllers keep in the key-value store.
//!
//! | key | written by | content |
//! | --- | --- | --- |
//! | `leader` | a candidate, under a lease | [`LeaderRecord`]; its `mod_revision` is the fencing token |
//! | `job/<id>` | the controller that accepts the job, once | [`JobRecord`] of a job that is not finished |
//! | `job/<id>/cancel` | the controller that accepts the cancellation, once | [`CancelRecord`] |
//! | `past/<id>` | the leader, once | [`FinishedJobRecord`] of a finished job; kept forever |
//! | `done/<n>` | the leader | [`CompletedTasksPageRecord`]: completed tasks of many jobs |
//! | `page/<block>/<n>` | the block's holder | [`AssignmentPageRecord`]: assignments |
//! | `hire/<name>` | the leader | [`ProvisionRecord`]: machines to provision, before they are requested |
//! | `stats` | the leader | [`StatsRecord`]: averages of run and boot times |
//! | `catalogue` | the leader | machine types that the cloud listed last |
//! | `partition/<n>` | the leader | [`PartitionRecord`]: its machines and its assigned holder |
//! | `partition/<n>/claim` | its holder, under a lease | [`PartitionClaim`]; its `mod_revision` is the fencing token |
//! | `quota/limits` | the leader | [`LimitsRecord`]: the teams' guaranteed shares and limits in force |
//! | `quota/<n>` | the leader | [`QuotaGrantRecord`]: the parts of the limits granted to partition `n` |
//!
//! The holder of a partition is the controller that has claimed it. A page is a record with the assignments of many
//! tasks to machines.
//!
//! An earlier version wrote `cancel/<id>` for a cancellation and `done/<id>/<n>` ([`LegacyCompletedTasksRecord`])
//! for completed tasks. Both are still read, and they are removed with their job.

use crate::http::Submission;
use serde::{Deserialize, Serialize};

/// Key of the [`LeaderRecord`].
pub const LEADER_KEY: &str = "leader";
/// Prefix of the keys of jobs that are not finished.
pub const JOB_PREFIX: &str = "job/";
/// Suffix of the key of a cancellation, after the key of its job.
pub const CANCEL_SUFFIX: &str = "/cancel";
/// Prefix of the keys of cancellations in the format of an earlier version.
pub const LEGACY_CANCEL_PREFIX: &str = "cancel/";
/// Prefix of the keys of finished jobs.
pub const FINISHED_PREFIX: &str = "past/";
/// Prefix of the keys of completed tasks.
pub const COMPLETED_TASKS_PREFIX: &str = "done/";
/// Prefix of the keys of pages of assignments.
pub const ASSIGNMENT_PAGE_PREFIX: &str = "page/";
/// Prefix of the keys of requests to provision machines.
pub const PROVISION_PREFIX: &str = "hire/";
/// Key of the [`StatsRecord`].
pub const STATS_KEY: &str = "stats";
/// Key of the machine types.
pub const CATALOGUE_KEY: &str = "catalogue";

/// Prefix of the keys of partitions and their claims.
pub const PARTITION_PREFIX: &str = "partition/";
/// Suffix of the key of a claim, after the key of its partition.
pub const CLAIM_SUFFIX: &str = "/claim";

/// Prefix of the keys of the teams' limits and of quota grants.
pub const QUOTA_PREFIX: &str = "quota/";
/// Key of the [`LimitsRecord`].
pub const QUOTA_LIMITS_KEY: &str = "quota/limits";

/// Returns the key of a partition's quota grant.
pub fn quota_grant_key(partition: u64) -> String {
    format!("{QUOTA_PREFIX}{partition}")
}

/// Number of the first page of assignments that belongs to a partition holder. Pages with lower numbers are the
/// leader's.
const HOLDER_PAGES_FROM: u64 = PAGES_PER_PARTITION;
/// Number after the last page that belongs to a partition holder. Pages from this number on are the leader's.
pub const HOLDER_PAGES_END: u64 = 96_000;
/// Number of pages that belong to the holder of each partition. They start at the partition's number times this
/// value. An earlier version reads a page with a number of up to 100,000 as its own, whichever controller wrote
/// it.
pub const PAGES_PER_PARTITION: u64 = 1_000;

/// Returns the partition whose holder writes the page with this number; `None`: the leader writes it.
pub fn partition_of_page(page: u64) -> Option<u64> {
    let is_holder_page = (HOLDER_PAGES_FROM..HOLDER_PAGES_END).contains(&page);
    is_holder_page.then_some(page / PAGES_PER_PARTITION)
}

/// Returns the numbers of the pages that the holder of a partition writes; `None`: the partition's number is too
/// high for pages of its own.
pub fn pages_of_partition(partition: u64) -> Option<std::ops::Range<u64>> {
    let first = partition.checked_mul(PAGES_PER_PARTITION)?;
    let has_pages = partition_of_page(first) == Some(partition);
    has_pages.then_some(first..first + PAGES_PER_PARTITION)
}

/// Returns the key of a partition.
pub fn partition_key(id: u64) -> String {
    format!("{PARTITION_PREFIX}{id}")
}

/// Returns the key of a partition's claim.
pub fn claim_key(id: u64) -> String {
    format!("{PARTITION_PREFIX}{id}{CLAIM_SUFFIX}")
}

/// Key under [`PARTITION_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKey {
    /// Key of the record of the partition with this number.
    Record(u64),
    /// Key of the claim on the partition with this number.
    Claim(u64),
}

impl PartitionKey {
    /// Parses a key; `None`: the key is of neither kind.
    pub fn parse(key: &str) -> Option<PartitionKey> {
        let rest = key.strip_prefix(PARTITION_PREFIX)?;
        match rest.strip_suffix(CLAIM_SUFFIX) {
            Some(id) => Some(PartitionKey::Claim(id.parse().ok()?)),
            None => Some(PartitionKey::Record(rest.parse().ok()?)),
        }
    }
}

/// Returns the key of a job that is not finished.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's cancellation.
pub fn cancel_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}{CANCEL_SUFFIX}")
}

/// Key that belongs to a job that is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey<'a> {
    /// Key of the record of the job with this id.
    Live(&'a str),
    /// Key of the cancellation of the job with this id.
    Cancelled(&'a str),
}

impl<'a> JobKey<'a> {
    /// Parses a key; `None`: the key belongs to no such job.
    pub fn parse(key: &'a str) -> Option<JobKey<'a>> {
        if let Some(id) = key.strip_prefix(LEGACY_CANCEL_PREFIX) {
            return Some(JobKey::Cancelled(id));
        }
        let rest = key.strip_prefix(JOB_PREFIX)?;
        match rest.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => Some(JobKey::Cancelled(id)),
            None => Some(JobKey::Live(rest)),
        }
    }
}

/// Number of tasks in one [`LegacyCompletedTasksRecord`].
pub const TASKS_PER_LEGACY_RECORD: u64 = 2048;

/// Elected leader. The `mod_revision` of this record is the leader's fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub member: String,
    /// Incarnation of the leader's process, which distinguishes it from an earlier process of the same member.
    pub incarnation: u64,
    /// Whether the leader supports partitions. Under a leader that does not, no member may hold a partition.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "partitions")]
    pub supports_partitions: bool,
    /// Whether the leader grants quota. Under a leader that does not, no partition holder writes assignments.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "allotments")]
    pub grants_quota: bool,
}

/// Partition: machines of one zone that are managed by one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Zone of the machines.
    pub zone: String,
    /// First hash slot of the machines.
    pub first_slot: u16,
    /// Hash slot after the last one of the machines. Neither bound changes while the partition exists.
    pub end_slot: u16,
    /// Name of the controller that is assigned to hold the partition.
    pub holder: String,
    /// Time of the assignment to this controller, in microseconds since the Unix epoch.
    pub assigned_us: u64,
    /// Reason for the assignment to this controller, for operators.
    pub reason: String,
}

/// Claim of a controller on a partition. The `mod_revision` of this record is the fencing token of the partition's
/// machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionClaim {
    /// Name of the controller that holds the partition.
    pub member: String,
    /// Incarnation of the controller's process, which distinguishes it from an earlier process of the same member.
    pub incarnation: u64,
    /// Time of the claim, in microseconds since the Unix epoch.
    pub claimed_us: u64,
}

/// Quotas of all teams that are in force. No controller acts on higher ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsRecord {
    /// Quota of each team.
    pub teams: Vec<TeamQuotaRecord>,
}

/// Quota of a team: guaranteed share and limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamQuotaRecord {
    /// Name of the team.
    pub team: String,
    /// Guaranteed CPUs.
    #[serde(rename = "c", with = "amount_field")]
    pub cpus: f64,
    /// Limit of CPUs.
    #[serde(rename = "cm", with = "amount_field")]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(rename = "g", with = "amount_field")]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(rename = "gm", with = "amount_field")]
    pub gpus_max: f64,
}

/// Quota grant: the parts of the teams' limits that tasks of a partition holder may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrantRecord {
    /// Version of the grant, which increases with each change.
    #[serde(rename = "number")]
    pub version: u64,
    /// Fencing token of the claim under which the quota was granted. The next holder of the partition takes over
    /// the grant together with the tasks that use it.
    pub claim: u64,
    /// Amount that each team may use. A team that is not listed may use nothing.
    pub teams: Vec<TeamAmount>,
}

/// Amount of CPUs and GPUs of a team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAmount {
    /// Name of the team.
    #[serde(rename = "t")]
    pub team: String,
    /// CPUs, in millionths.
    #[serde(rename = "c")]
    pub cpus: u64,
    /// GPUs, in millionths.
    #[serde(rename = "g", default)]
    pub gpus: u64,
}

/// Serialization of amounts, which are written as floats and may be read as integers.
mod amount_field {
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(*value)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        crate::amount::required(deserializer)
    }
}

/// Accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Submission of the job.
    pub spec: Submission,
    /// Time of acceptance, in microseconds since the Unix epoch.
    pub accepted_us: u64,
}

/// Cancellation that a user requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRecord {
    /// Time of the cancellation, in microseconds since the Unix epoch.
    pub cancelled_us: u64,
}

/// Finished job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedJobRecord {
    /// Final status of the job: `done` or `aborted`.
    pub status: String,
    /// Number of the job's tasks.
    #[serde(rename = "shards")]
    pub tasks: u64,
}

/// Completed tasks of a job in the format of an earlier version. The record with number `n` starts at the task
/// with number `n` times [`TASKS_PER_LEGACY_RECORD`]. Each hexadecimal digit stands for four tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LegacyCompletedTasksRecord {
    /// Hexadecimal digits.
    pub bits: String,
}

/// Completed tasks of many jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedTasksPageRecord {
    /// Completed tasks as `(job, n, bits)`, with `n` and `bits` as in a [`LegacyCompletedTasksRecord`].
    pub jobs: Vec<(String, u64, String)>,
}

/// Page of assignments, grouped by machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentPageRecord {
    /// Machines with their assignments.
    pub machines: Vec<MachineAssignments>,
}

/// Assignments of one machine on one page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineAssignments {
    /// Name of the machine.
    #[serde(rename = "m")]
    pub machine: String,
    /// Incarnation of the agent.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Zone of the machine.
    pub zone: String,
    /// Assignments as `(job, task, attempt)`.
    #[serde(rename = "t")]
    pub assignments: Vec<(String, u64, u64)>,
}

/// Request to provision machines, written before it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRecord {
    /// Requested machine type.
    pub machine_type: String,
    /// Requested zone.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// Number of requested machines.
    pub number: u64,
    /// Time of the first request, in microseconds since the Unix epoch.
    pub requested_us: u64,
}

/// Observed averages, which the next leader starts with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatsRecord {
    /// Mean run times as `(class, machine type, mean run time in microseconds, weight)`.
    pub runs: Vec<(String, String, u64, f64)>,
    /// Mean boot times as `(machine type, mean boot time in microseconds, weight)`.
    pub boots: Vec<(String, u64, f64)>,
    /// Mean ratios as `(class, mean ratio of run time to the user's estimate, weight)`.
    pub ratios: Vec<(String, f64, f64)>,
}
