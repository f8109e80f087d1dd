//! Frozen definitions of the records and peer messages of the version in production.
//!
//! During an upgrade two versions run side by side, and each reads what the other wrote. So the version in
//! production must be able to read every record that the current version writes to the key-value store and the
//! messages that it sends to other controllers, and must not mistake a key for that of a record of another kind.
//! The simulated world checks each transaction and peer message of each scenario against these definitions, except
//! partition orders, which a previous version refuses. The definitions are those of the version that
//! `deploy/service.toml` names; they change only when it names another version.

use grebewood_wire::{from_cbor, from_peer, to_cbor, to_peer, DecodeError, Value};
use serde::{Deserialize, Serialize};

/// The description of a job in its record.
#[derive(Deserialize)]
pub struct Spec {
    /// The job's id.
    pub uid: String,
    workclass: String,
    owner: String,
    shape: String,
    precedence: Precedence,
    /// The number of the job's tasks.
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

/// Prefixes under which the version in production lists keys. It would read an unknown key there as one of its
/// own records.
const LISTED_PREFIXES: [&str; 2] = ["cancel/", "page/"];
/// The largest number of machines in a provision request.
const MAX_PROVISIONED_MACHINES: u64 = 50;
/// The largest number of hexadecimal digits in the bit set of the completed tasks of a job.
const MAX_COMPLETED_DIGITS: usize = 512;

/// The reason why the version in production cannot read a record or message, or misinterprets it.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// A record cannot be decoded.
    #[error("{key}: {reason}")]
    Record {
        /// The key of the record.
        key: String,
        /// The decoding error.
        reason: DecodeError,
    },
    /// A record can be decoded, but its values are not possible for a record of its kind.
    #[error("{0}: decoded, but with values that are not possible")]
    Implausible(String),
    /// The version in production mistakes a key for that of a record of another kind.
    #[error("{0}: mistaken for a record of another kind")]
    ForeignKey(String),
    /// A message cannot be decoded.
    #[error("{0}")]
    Message(DecodeError),
    /// A request has no sender, or is a progress request without a fencing token.
    #[error("peer request without a sender or a fencing token")]
    NoSender,
    /// A request reports the progress of a job without an id.
    #[error("peer request with progress of a job that has no id")]
    NamelessJob,
    /// A response does not name the member that sent it.
    #[error("peer response without a member name")]
    NamelessAnswer,
}

/// Reads a record as the version in production does. Fails if that version could not read it or would
/// misinterpret it.
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

/// Returns whether the values of a record are possible, or `None` if the version in production knows no records of
/// this kind.
fn is_plausible(key: &str, bytes: &[u8]) -> Result<Option<bool>, DecodeError> {
    let is_plausible = if let Some(rest) = key.strip_prefix("job/") {
        // The version in production reads every other key with this prefix as a job.
        match rest.strip_suffix("/cancel") {
            Some(id) => is_plausible_cancel(id, &from_cbor(bytes)?),
            None => is_plausible_job(rest, from_cbor(bytes)?),
        }
    } else if let Some(id) = key.strip_prefix("past/") {
        is_plausible_past(id, &from_cbor(bytes)?)
    } else if let Some(page) = key.strip_prefix("done/") {
        is_plausible_done(page, &from_cbor(bytes)?)
    } else if let Some(page) = key.strip_prefix("page/0/") {
        is_plausible_page(page, &from_cbor(bytes)?)
    } else if key.starts_with("hire/") {
        is_plausible_hire(&from_cbor(bytes)?)
    } else {
        match key {
            "stats" => is_plausible_stats(&from_cbor(bytes)?),
            "leader" => is_plausible_leader(&from_cbor(bytes)?),
            "catalogue" => is_plausible_catalogue(&from_cbor(bytes)?),
            _ => return Ok(None),
        }
    };
    Ok(Some(is_plausible))
}

fn is_plausible_cancel(id: &str, record: &Cancel) -> bool {
    record.cancelled_us > 0 && !id.contains('/')
}

fn is_plausible_job(id: &str, record: Job) -> bool {
    let spec = record.spec;
    let names = [&spec.workclass, &spec.owner, &spec.bundle];
    let amounts = [spec.vcpus, spec.accelerators, spec.memory_gb, spec.pull_gb];
    let times = [spec.expected_s, spec.savepoint_s, spec.flush_s];
    let is_known_shape = matches!(spec.shape.as_str(), "batch" | "gang" | "daemon");
    let _ = (spec.precedence, spec.builds, spec.yard, spec.due_s);
    let _ = (spec.one_zone, spec.spread, spec.loaner);
    spec.uid == id
        && record.accepted_us > 0
        && spec.shards > 0
        && is_known_shape
        && names.iter().all(|name| !name.is_empty())
        && amounts.iter().chain(&times).all(|amount| *amount >= 0.0)
}

fn is_plausible_past(id: &str, record: &Past) -> bool {
    let is_known_status = matches!(record.status.as_str(), "done" | "aborted");
    is_known_status && record.shards > 0 && !id.contains('/')
}

fn is_plausible_done(page: &str, record: &Done) -> bool {
    let entries_are_plausible = record.jobs.iter().all(|(id, _, digits)| {
        let is_hexadecimal = digits.chars().all(|digit| digit.is_ascii_hexdigit());
        !id.is_empty() && digits.len() <= MAX_COMPLETED_DIGITS && is_hexadecimal
    });
    page.parse::<u64>().is_ok() && entries_are_plausible
}

fn is_plausible_page(page: &str, record: &Page) -> bool {
    let entries_are_plausible = record.machines.iter().all(|machine| {
        let mut tasks = machine.t.iter();
        let tasks_are_plausible = tasks.all(|(id, _, attempt)| !id.is_empty() && *attempt > 0);
        !machine.m.is_empty()
            && !machine.zone.is_empty()
            && machine.tenure > 0
            && tasks_are_plausible
    });
    page.parse::<u64>().is_ok() && entries_are_plausible
}

fn is_plausible_hire(record: &Hire) -> bool {
    let _ = record.spot;
    !record.machine_type.is_empty()
        && !record.zone.is_empty()
        && (1..=MAX_PROVISIONED_MACHINES).contains(&record.number)
        && record.requested_us > 0
}

fn is_plausible_stats(record: &Stats) -> bool {
    let runs = record.runs.iter().map(|run| run.3);
    let boots = record.boots.iter().map(|boot| boot.2);
    let ratios = record.ratios.iter().map(|ratio| ratio.1 * ratio.2);
    let mut values = runs.chain(boots).chain(ratios);
    values.all(|value| value.is_finite() && value >= 0.0)
}

fn is_plausible_leader(record: &Leader) -> bool {
    let _ = record.incarnation;
    !record.member.is_empty()
}

fn is_plausible_catalogue(record: &Catalogue) -> bool {
    record.builds.iter().all(|build| {
        let amounts = [build.vcpus, build.memory_gb, build.price, build.startup_s];
        let has_name_and_zones = !build.name.is_empty() && !build.yards.is_empty();
        has_name_and_zones && amounts.iter().all(|amount| *amount >= 0.0)
    })
}

/// Reads a peer request as the version in production does. Fails if that version could not read it or would
/// refuse it.
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

/// Reads the response to a peer request as the version in production does. Fails if that version could not read
/// it.
pub fn check_peer_answer(body: &[u8]) -> Result<(), FormatError> {
    let answer: PeerAnswer = from_peer(body).map_err(FormatError::Message)?;
    let _ = (answer.state_contact_age_us, answer.token);
    match answer.member.is_empty() {
        true => Err(FormatError::NamelessAnswer),
        false => Ok(()),
    }
}

/// Returns the part of a peer request that the version in production knows.
pub fn known_part_of_peer_request(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerRequest>(body).map(|known| to_peer(&known))
}

/// Returns the part of the response to a peer request that the version in production knows.
pub fn known_part_of_peer_answer(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerAnswer>(body).map(|known| to_peer(&known))
}

#[cfg(test)]
mod tests;
