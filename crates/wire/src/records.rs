//! Records that controllers keep in the key-value store.
//!
//! | key | written by | content |
//! | --- | --- | --- |
//! | `leader` | a candidate, under a lease | [`LeaderRecord`]; its `mod_revision` is the fencing token |
//! | `job/<id>` | the controller that accepts the job, once | [`JobRecord`] of a job that is not over |
//! | `job/<id>/cancel` | the controller that accepts the cancellation, once | [`CancelRecord`] |
//! | `past/<id>` | the leader, once | [`FinishedJobRecord`] of a job that is over; kept forever |
//! | `done/<n>` | the leader | [`CompletedTasksPageRecord`]: completed tasks of many jobs |
//! | `page/<block>/<n>` | the block's holder | [`AssignmentPageRecord`]: assignments |
//! | `hire/<name>` | the leader | [`ProvisionRecord`]: machines to provision, before they are requested |
//! | `stats` | the leader | [`StatsRecord`]: averages of run and boot times |
//! | `catalogue` | the leader | the machine types last seen |
//! | `partition/<n>` | the leader | [`PartitionRecord`]: which machines form it, and who is to hold it |
//! | `partition/<n>/claim` | its holder, under a lease | [`PartitionClaim`]; its `mod_revision` is the fencing token |
//! | `quota/limits` | the leader | [`LimitsRecord`]: the teams' guaranteed shares and limits in force |
//! | `quota/<n>` | the leader | [`QuotaGrantRecord`]: what of them the holder of partition `n` may use |
//!
//! An earlier version wrote `cancel/<id>` for a cancellation and `done/<id>/<n>` ([`LegacyCompletedTasksRecord`])
//! for completed tasks. Both are still read, and removed with their job.

use crate::http::Submission;
use serde::{Deserialize, Serialize};

/// Key of the [`LeaderRecord`].
pub const LEADER_KEY: &str = "leader";
/// Prefix of jobs that are not finished.
pub const JOB_PREFIX: &str = "job/";
/// Suffix that makes a job's key the key of its cancellation.
pub const CANCEL_SUFFIX: &str = "/cancel";
/// Prefix of cancellations in the format of an earlier version.
pub const LEGACY_CANCEL_PREFIX: &str = "cancel/";
/// Prefix of finished jobs.
pub const FINISHED_PREFIX: &str = "past/";
/// Prefix of completed tasks.
pub const COMPLETED_TASKS_PREFIX: &str = "done/";
/// Prefix of pages of assignments.
pub const ASSIGNMENT_PAGE_PREFIX: &str = "page/";
/// Prefix of requests to provision machines.
pub const PROVISION_PREFIX: &str = "hire/";
/// Key of the [`StatsRecord`].
pub const STATS_KEY: &str = "stats";
/// Key of the machine types.
pub const CATALOGUE_KEY: &str = "catalogue";

/// Prefix of partitions and their claims.
pub const PARTITION_PREFIX: &str = "partition/";
/// Suffix that makes a partition's key the key of its claim.
pub const CLAIM_SUFFIX: &str = "/claim";

/// Prefix of the teams' limits and of quota grants.
pub const QUOTA_PREFIX: &str = "quota/";
/// Key of the [`LimitsRecord`].
pub const QUOTA_LIMITS_KEY: &str = "quota/limits";

/// The key of a partition's quota grant.
pub fn quota_grant_key(partition: u64) -> String {
    format!("{QUOTA_PREFIX}{partition}")
}

/// Pages of assignments with a number below this one are the leader's.
const HOLDER_PAGES_FROM: u64 = PAGES_PER_PARTITION;
/// Pages with this number or a higher one are the leader's, too.
pub const HOLDER_PAGES_END: u64 = 96_000;
/// Number of pages that belong to the holder of each partition, from its number times this on.
/// An earlier version reads a page with a number of up to 100,000 as its own, whoever wrote it.
pub const PAGES_PER_PARTITION: u64 = 1_000;

/// The partition whose holder writes the page with this number; `None`: the leader does.
pub fn partition_of_page(page: u64) -> Option<u64> {
    let of_holder = (HOLDER_PAGES_FROM..HOLDER_PAGES_END).contains(&page);
    of_holder.then_some(page / PAGES_PER_PARTITION)
}

/// The numbers of the pages that the holder of a partition writes. Those of partitions with a high
/// number have none.
pub fn pages_of_partition(partition: u64) -> Option<std::ops::Range<u64>> {
    let first = partition.checked_mul(PAGES_PER_PARTITION)?;
    let of_holder = partition_of_page(first) == Some(partition);
    of_holder.then_some(first..first + PAGES_PER_PARTITION)
}

/// The key of a partition.
pub fn partition_key(id: u64) -> String {
    format!("{PARTITION_PREFIX}{id}")
}

/// The key of a partition's claim.
pub fn claim_key(id: u64) -> String {
    format!("{PARTITION_PREFIX}{id}{CLAIM_SUFFIX}")
}

/// A key under [`PARTITION_PREFIX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKey {
    /// The record of the partition with this number.
    Record(u64),
    /// The claim on the partition with this number.
    Claim(u64),
}

impl PartitionKey {
    /// Parses a key; `None` if it is of neither kind.
    pub fn parse(key: &str) -> Option<PartitionKey> {
        let rest = key.strip_prefix(PARTITION_PREFIX)?;
        match rest.strip_suffix(CLAIM_SUFFIX) {
            Some(id) => Some(PartitionKey::Claim(id.parse().ok()?)),
            None => Some(PartitionKey::Record(rest.parse().ok()?)),
        }
    }
}

/// The key of a job that is not finished.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a job's cancellation.
pub fn cancel_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}{CANCEL_SUFFIX}")
}

/// A key that belongs to a job that is not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey<'a> {
    /// The record of the job with this id.
    Live(&'a str),
    /// The cancellation of the job with this id.
    Cancelled(&'a str),
}

impl<'a> JobKey<'a> {
    /// Parses a key; `None` if it belongs to no such job.
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

/// Tasks in one [`LegacyCompletedTasksRecord`].
pub const TASKS_PER_LEGACY_RECORD: u64 = 2048;

/// The elected leader. The `mod_revision` of this record is the leader's fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub member: String,
    /// Distinguishes this process from an earlier one of the same member.
    pub incarnation: u64,
    /// Whether the leader supports partitions. Under one that does not, nobody may hold a partition.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "partitions")]
    pub supports_partitions: bool,
    /// Whether the leader grants quota. Under one that does not, no partition holder writes assignments.
    #[serde(default, skip_serializing_if = "crate::is_false")]
    #[serde(rename = "allotments")]
    pub grants_quota: bool,
}

/// A partition: machines of one zone that are managed by one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// The zone of its machines.
    pub zone: String,
    /// First hash slot of its machines.
    pub first_slot: u16,
    /// The hash slot after the last one of its machines. Neither bound changes while the partition exists.
    pub end_slot: u16,
    /// Name of the controller that is assigned to hold it.
    pub holder: String,
    /// Time of the assignment to this controller, in microseconds since the Unix epoch.
    pub assigned_us: u64,
    /// Why it was assigned to this controller, for operators.
    pub reason: String,
}

/// A controller's claim on a partition. The `mod_revision` of this record is the fencing token for the
/// partition's machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionClaim {
    /// Name of the controller that holds the partition.
    pub member: String,
    /// Distinguishes this process from an earlier one of the same member.
    pub incarnation: u64,
    /// Time of the claim, in microseconds since the Unix epoch.
    pub claimed_us: u64,
}

/// The quotas of all teams that are in force. No controller acts on higher ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsRecord {
    /// The teams.
    pub teams: Vec<TeamQuotaRecord>,
}

/// A team's quota: guaranteed share and limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamQuotaRecord {
    /// The team.
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

/// A quota grant: what the tasks that a partition holder starts may use of the teams' limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrantRecord {
    /// Number of this version of the grant; it increases with each change.
    #[serde(rename = "number")]
    pub version: u64,
    /// The fencing token of the claim under which it was granted. The next holder of the partition takes the
    /// grant over, together with the tasks that use it.
    pub claim: u64,
    /// What each team may use; teams that are not listed may use nothing.
    pub teams: Vec<TeamAmount>,
}

/// An amount of CPUs and GPUs of a team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAmount {
    /// The team.
    #[serde(rename = "t")]
    pub team: String,
    /// Millionths of a CPU.
    #[serde(rename = "c")]
    pub cpus: u64,
    /// Millionths of a GPU.
    #[serde(rename = "g", default)]
    pub gpus: u64,
}

/// Amounts, which are written as floats and may be read as integers.
mod amount_field {
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(*value)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        crate::amount::required(deserializer)
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    pub spec: Submission,
    /// Time of acceptance, in microseconds since the Unix epoch.
    pub accepted_us: u64,
}

/// A cancellation that a user requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRecord {
    /// Time of the cancellation, in microseconds since the Unix epoch.
    pub cancelled_us: u64,
}

/// A finished job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedJobRecord {
    /// `done` or `aborted`.
    pub status: String,
    /// Number of the job's tasks.
    #[serde(rename = "shards")]
    pub tasks: u64,
}

/// Completed tasks from `n * TASKS_PER_LEGACY_RECORD` on, as hexadecimal digits of four tasks each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LegacyCompletedTasksRecord {
    /// The digits.
    pub bits: String,
}

/// Completed tasks of many jobs: `(job, n, bits)` each, with the bits of a [`LegacyCompletedTasksRecord`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedTasksPageRecord {
    /// The jobs.
    pub jobs: Vec<(String, u64, String)>,
}

/// Assignments, grouped by machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AssignmentPageRecord {
    /// Machines with their assignments.
    pub machines: Vec<MachineAssignments>,
}

/// The assignments of one machine on one page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineAssignments {
    /// The machine's name.
    #[serde(rename = "m")]
    pub machine: String,
    /// The agent's incarnation.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: String,
    /// `(job, task, attempt)` each.
    #[serde(rename = "t")]
    pub assignments: Vec<(String, u64, u64)>,
}

/// A request to provision machines, written before it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRecord {
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines are wanted.
    pub spot: bool,
    /// How many machines are wanted.
    pub number: u64,
    /// Time of the first request, in microseconds since the Unix epoch.
    pub requested_us: u64,
}

/// Observed averages, which the next leader starts with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatsRecord {
    /// `(class, machine type, mean run time in microseconds, weight)`.
    pub runs: Vec<(String, String, u64, f64)>,
    /// `(machine type, mean boot time in microseconds, weight)`.
    pub boots: Vec<(String, u64, f64)>,
    /// `(class, mean ratio of run time to the user's estimate, weight)`.
    pub ratios: Vec<(String, f64, f64)>,
}
