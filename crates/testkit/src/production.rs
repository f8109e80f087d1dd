//! What the version in production reads: its definitions of records and peer messages, frozen.
//!
//! Two versions serve side by side during an upgrade, each on what the other wrote. So whatever the
//! present version writes to the key-value store, or sends to another controller, must be what these
//! definitions read, and under a key that the version in production takes for what it is. The world
//! checks every write and every peer message of every scenario. These definitions are of the version
//! that `deploy/service.toml` names; they change only when it names another.

use grebewood_wire::{from_cbor, from_peer, to_cbor, to_peer, DecodeError, Value};
use serde::{Deserialize, Serialize};

/// A job's description, as it is part of its record.
#[derive(Deserialize)]
pub struct Spec {
    /// The job's id.
    pub uid: String,
    workclass: String,
    owner: String,
    shape: String,
    precedence: Precedence,
    /// Number of its tasks.
    pub shards: u64,
    vcpus: f64,
    accelerators: f64,
    memory_gb: f64,
    bundle: String,
    pull_gb: f64,
    #[serde(default)]
    builds: Option<Vec<String>>,
    #[serde(default)]
    yard: Option<String>,
    one_zone: bool,
    spread: bool,
    loaner: bool,
    expected_s: f64,
    savepoint_s: f64,
    flush_s: f64,
    #[serde(default)]
    due_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Precedence {
    Idle,
    Normal,
    High,
    Prod,
}

#[derive(Deserialize)]
struct Job {
    spec: Spec,
    accepted_us: u64,
}

#[derive(Deserialize)]
struct Cancel {
    cancelled_us: u64,
}

#[derive(Deserialize)]
struct Past {
    status: String,
    shards: u64,
}

#[derive(Deserialize)]
struct Done {
    jobs: Vec<(String, u64, String)>,
}

#[derive(Deserialize)]
struct Page {
    machines: Vec<Assignments>,
}

#[derive(Deserialize)]
struct Assignments {
    m: String,
    tenure: u64,
    zone: String,
    t: Vec<(String, u64, u64)>,
}

#[derive(Deserialize)]
struct Hire {
    machine_type: String,
    zone: String,
    spot: bool,
    number: u64,
    requested_us: u64,
}

#[derive(Deserialize)]
struct Stats {
    runs: Vec<(String, String, u64, f64)>,
    boots: Vec<(String, u64, f64)>,
    ratios: Vec<(String, f64, f64)>,
}

#[derive(Deserialize)]
struct Leader {
    member: String,
    incarnation: u64,
}

#[derive(Deserialize)]
struct Catalogue {
    builds: Vec<Build>,
}

#[derive(Deserialize)]
struct Build {
    name: String,
    vcpus: f64,
    memory_gb: f64,
    price: f64,
    startup_s: f64,
    yards: Vec<String>,
}

#[derive(Deserialize, Serialize)]
enum PeerRequest {
    Contact {
        from: String,
    },
    Progress {
        from: String,
        token: u64,
        jobs: Vec<(String, u64, u64)>,
    },
}

#[derive(Deserialize, Serialize)]
struct PeerAnswer {
    member: String,
    state_contact_age_us: Option<u64>,
    token: u64,
}

/// Prefixes under which the version in production lists keys: it would take a key that no other rule
/// concerns for one of its own.
const LISTED_PREFIXES: [&str; 2] = ["cancel/", "page/"];
/// The most machines that are provisioned at once.
const MAX_PROVISIONED: u64 = 50;
/// The most hexadecimal digits that say which tasks of a job completed.
const MAX_COMPLETED_DIGITS: usize = 512;

/// Why the version in production cannot read something, or takes it for something else.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// A record cannot be read.
    #[error("{key}: {reason}")]
    Record {
        /// Its key.
        key: String,
        /// Why.
        reason: DecodeError,
    },
    /// A record can be read, but what it says is not possible.
    #[error("{0}: read, but it says something else")]
    Implausible(String),
    /// A key is taken for that of another record.
    #[error("{0}: taken for something else")]
    ForeignKey(String),
    /// A message cannot be read.
    #[error("{0}")]
    Message(DecodeError),
    /// A message does not say from whom it is.
    #[error("a peer message without a sender")]
    NoSender,
    /// A message has progress of a job without a name.
    #[error("progress of a job without a name")]
    NamelessJob,
    /// An answer does not say from whom it is.
    #[error("an answer without a name")]
    NamelessAnswer,
}

/// Reads a record as the version in production does; the error says what it would make of it.
pub fn check_record(key: &str, value: &Value) -> Result<(), FormatError> {
    let listed = |prefix: &&str| key.starts_with(*prefix);
    match is_plausible(key, &to_cbor(value)) {
        Ok(Some(true)) => Ok(()),
        Ok(Some(false)) => Err(FormatError::Implausible(key.to_string())),
        Ok(None) if LISTED_PREFIXES.iter().any(listed) => {
            Err(FormatError::ForeignKey(key.to_string()))
        }
        Ok(None) => Ok(()),
        Err(reason) => Err(FormatError::Record {
            key: key.to_string(),
            reason,
        }),
    }
}

/// Whether what a record says is possible; `None` if it is of no kind that the version in production knows.
fn is_plausible(key: &str, bytes: &[u8]) -> Result<Option<bool>, DecodeError> {
    let plausible = if let Some(rest) = key.strip_prefix("job/") {
        // Whatever else is under this prefix is a job to it.
        match rest.strip_suffix("/cancel") {
            Some(id) => plausible_cancel(id, &from_cbor(bytes)?),
            None => plausible_job(rest, from_cbor(bytes)?),
        }
    } else if let Some(id) = key.strip_prefix("past/") {
        plausible_past(id, &from_cbor(bytes)?)
    } else if let Some(page) = key.strip_prefix("done/") {
        plausible_done(page, &from_cbor(bytes)?)
    } else if let Some(page) = key.strip_prefix("page/0/") {
        plausible_page(page, &from_cbor(bytes)?)
    } else if key.starts_with("hire/") {
        plausible_hire(&from_cbor(bytes)?)
    } else {
        match key {
            "stats" => plausible_stats(&from_cbor(bytes)?),
            "leader" => plausible_leader(&from_cbor(bytes)?),
            "catalogue" => plausible_catalogue(&from_cbor(bytes)?),
            _ => return Ok(None),
        }
    };
    Ok(Some(plausible))
}

fn plausible_cancel(id: &str, record: &Cancel) -> bool {
    record.cancelled_us > 0 && !id.contains('/')
}

fn plausible_job(id: &str, record: Job) -> bool {
    let spec = record.spec;
    let names = [&spec.workclass, &spec.owner, &spec.bundle];
    let amounts = [spec.vcpus, spec.accelerators, spec.memory_gb, spec.pull_gb];
    let times = [spec.expected_s, spec.savepoint_s, spec.flush_s];
    let shape = matches!(spec.shape.as_str(), "batch" | "gang" | "daemon");
    let _ = (spec.precedence, spec.builds, spec.yard, spec.due_s);
    let _ = (spec.one_zone, spec.spread, spec.loaner);
    spec.uid == id
        && record.accepted_us > 0
        && spec.shards > 0
        && shape
        && names.iter().all(|name| !name.is_empty())
        && amounts.iter().chain(&times).all(|amount| *amount >= 0.0)
}

fn plausible_past(id: &str, record: &Past) -> bool {
    let status = matches!(record.status.as_str(), "done" | "aborted");
    status && record.shards > 0 && !id.contains('/')
}

fn plausible_done(page: &str, record: &Done) -> bool {
    let entries = record.jobs.iter().all(|(id, _, digits)| {
        let hexadecimal = digits.chars().all(|digit| digit.is_ascii_hexdigit());
        !id.is_empty() && digits.len() <= MAX_COMPLETED_DIGITS && hexadecimal
    });
    page.parse::<u64>().is_ok() && entries
}

fn plausible_page(page: &str, record: &Page) -> bool {
    let entries = record.machines.iter().all(|machine| {
        let mut tasks = machine.t.iter();
        let tasks = tasks.all(|(id, _, attempt)| !id.is_empty() && *attempt > 0);
        !machine.m.is_empty() && !machine.zone.is_empty() && machine.tenure > 0 && tasks
    });
    page.parse::<u64>().is_ok() && entries
}

fn plausible_hire(record: &Hire) -> bool {
    let _ = record.spot;
    !record.machine_type.is_empty()
        && !record.zone.is_empty()
        && (1..=MAX_PROVISIONED).contains(&record.number)
        && record.requested_us > 0
}

fn plausible_stats(record: &Stats) -> bool {
    let runs = record.runs.iter().map(|run| run.3);
    let boots = record.boots.iter().map(|boot| boot.2);
    let ratios = record.ratios.iter().map(|ratio| ratio.1 * ratio.2);
    let mut values = runs.chain(boots).chain(ratios);
    values.all(|value| value.is_finite() && value >= 0.0)
}

fn plausible_leader(record: &Leader) -> bool {
    let _ = record.incarnation;
    !record.member.is_empty()
}

fn plausible_catalogue(record: &Catalogue) -> bool {
    record.builds.iter().all(|build| {
        let amounts = [build.vcpus, build.memory_gb, build.price, build.startup_s];
        let named = !build.name.is_empty() && !build.yards.is_empty();
        named && amounts.iter().all(|amount| *amount >= 0.0)
    })
}

/// Reads a message to another controller as the version in production does.
pub fn check_peer_request(body: &[u8]) -> Result<(), FormatError> {
    match from_peer::<PeerRequest>(body).map_err(FormatError::Message)? {
        PeerRequest::Contact { from } if !from.is_empty() => Ok(()),
        PeerRequest::Progress { from, token, jobs } if !from.is_empty() && token > 0 => {
            match jobs.iter().all(|(id, _, _)| !id.is_empty()) {
                true => Ok(()),
                false => Err(FormatError::NamelessJob),
            }
        }
        _ => Err(FormatError::NoSender),
    }
}

/// Reads the answer to such a message as the version in production does.
pub fn check_peer_answer(body: &[u8]) -> Result<(), FormatError> {
    let answer: PeerAnswer = from_peer(body).map_err(FormatError::Message)?;
    let _ = (answer.state_contact_age_us, answer.token);
    match answer.member.is_empty() {
        true => Err(FormatError::NamelessAnswer),
        false => Ok(()),
    }
}

/// What of a message to another controller the version in production knows; the rest is lost.
pub fn known_part_of_peer_request(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerRequest>(body).map(|known| to_peer(&known))
}

/// What of the answer to such a message the version in production knows.
pub fn known_part_of_peer_answer(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerAnswer>(body).map(|known| to_peer(&known))
}

#[cfg(test)]
mod tests;
