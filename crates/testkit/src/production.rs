//! What the version in production reads: its definitions of records and peer messages, frozen.
//!
//! Two versions serve side by side during an upgrade, each on what the other wrote. So whatever the
//! present version writes to the state service, or sends to another controller, must be what these
//! definitions read, and under a key that the version in production takes for what it is. The world
//! checks every write and every peer message of every scenario. These definitions are of the version
//! that `deploy/service.toml` names; they change only when it names another.

use grebewood_wire::{from_cbor, from_peer, to_cbor, to_peer, DecodeError, Value};
use serde::{Deserialize, Serialize};

/// A job's description, as it is part of its record.
#[derive(Deserialize)]
pub struct Spec {
    pub uid: String,
    workclass: String,
    owner: String,
    shape: String,
    precedence: Precedence,
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

/// Reads a record as the version in production does; the error says what it would make of it.
pub fn check_record(key: &str, value: &Value) -> Result<(), String> {
    let bytes = to_cbor(value);
    let named = |e: grebewood_wire::DecodeError| format!("{key}: {e}");
    let sane = |ok: bool| match ok {
        true => Ok(()),
        false => Err(format!("{key}: read, but it says something else")),
    };
    if let Some(rest) = key.strip_prefix("job/") {
        if let Some(id) = rest.strip_suffix("/cancel") {
            let r: Cancel = from_cbor(&bytes).map_err(named)?;
            return sane(r.cancelled_us > 0 && !id.contains('/'));
        }
        // Whatever else is under this prefix is a job to it.
        let r: Job = from_cbor(&bytes).map_err(named)?;
        let s = r.spec;
        let names = [&s.workclass, &s.owner, &s.bundle];
        let amounts = [s.vcpus, s.accelerators, s.memory_gb, s.pull_gb];
        let times = [s.expected_s, s.savepoint_s, s.flush_s];
        let shape = matches!(s.shape.as_str(), "batch" | "gang" | "daemon");
        let _ = (s.precedence, s.builds, s.yard, s.due_s);
        let _ = (s.one_zone, s.spread, s.loaner);
        return sane(
            s.uid == rest
                && r.accepted_us > 0
                && s.shards > 0
                && shape
                && names.iter().all(|n| !n.is_empty())
                && amounts.iter().chain(&times).all(|x| *x >= 0.0),
        );
    }
    if let Some(id) = key.strip_prefix("past/") {
        let r: Past = from_cbor(&bytes).map_err(named)?;
        let status = matches!(r.status.as_str(), "done" | "aborted");
        return sane(status && r.shards > 0 && !id.contains('/'));
    }
    if let Some(page) = key.strip_prefix("done/") {
        let r: Done = from_cbor(&bytes).map_err(named)?;
        let entries = r.jobs.iter().all(|(id, _, bits)| {
            !id.is_empty() && bits.len() <= 512 && bits.chars().all(|c| c.is_ascii_hexdigit())
        });
        return sane(page.parse::<u64>().is_ok() && entries);
    }
    if let Some(page) = key.strip_prefix("page/0/") {
        let r: Page = from_cbor(&bytes).map_err(named)?;
        let entries = r.machines.iter().all(|m| {
            let tasks =
                m.t.iter()
                    .all(|(id, _, attempt)| !id.is_empty() && *attempt > 0);
            !m.m.is_empty() && !m.zone.is_empty() && m.tenure > 0 && tasks
        });
        return sane(page.parse::<u64>().is_ok() && entries);
    }
    if key.starts_with("hire/") {
        let r: Hire = from_cbor(&bytes).map_err(named)?;
        let _ = r.spot;
        return sane(
            !r.machine_type.is_empty()
                && !r.zone.is_empty()
                && (1..=50).contains(&r.number)
                && r.requested_us > 0,
        );
    }
    match key {
        "stats" => {
            let r: Stats = from_cbor(&bytes).map_err(named)?;
            let values = r.runs.iter().map(|r| r.3);
            let values = values.chain(r.boots.iter().map(|b| b.2));
            let mut values = values.chain(r.ratios.iter().map(|r| r.1 * r.2));
            sane(values.all(|x| x.is_finite() && x >= 0.0))
        }
        "leader" => {
            let r: Leader = from_cbor(&bytes).map_err(named)?;
            let _ = r.incarnation;
            sane(!r.member.is_empty())
        }
        "catalogue" => {
            let r: Catalogue = from_cbor(&bytes).map_err(named)?;
            sane(r.builds.iter().all(|b| {
                let amounts = [b.vcpus, b.memory_gb, b.price, b.startup_s];
                !b.name.is_empty() && !b.yards.is_empty() && amounts.iter().all(|x| *x >= 0.0)
            }))
        }
        // The prefixes under which it lists keys; it would take this one for one of its own.
        _ if ["cancel/", "page/"].iter().any(|p| key.starts_with(p)) => {
            Err(format!("{key}: taken for something else"))
        }
        _ => Ok(()),
    }
}

/// Reads a message to another controller as the version in production does.
pub fn check_peer_request(body: &[u8]) -> Result<(), String> {
    match from_peer::<PeerRequest>(body).map_err(|e| e.to_string())? {
        PeerRequest::Contact { from } if !from.is_empty() => Ok(()),
        PeerRequest::Progress { from, token, jobs } if !from.is_empty() && token > 0 => {
            match jobs.iter().all(|(id, _, _)| !id.is_empty()) {
                true => Ok(()),
                false => Err("progress of a job without a name".into()),
            }
        }
        _ => Err("a peer message without a sender".into()),
    }
}

/// Reads the answer to such a message as the version in production does.
pub fn check_peer_answer(body: &[u8]) -> Result<(), String> {
    let answer: PeerAnswer = from_peer(body).map_err(|e| e.to_string())?;
    let _ = (answer.state_contact_age_us, answer.token);
    match answer.member.is_empty() {
        true => Err("an answer without a name".into()),
        false => Ok(()),
    }
}

/// What of a message to another controller the version in production knows; the rest is lost.
pub fn known_of_peer_request(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerRequest>(body).map(|known| to_peer(&known))
}

/// What of the answer to such a message the version in production knows.
pub fn known_of_peer_answer(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    from_peer::<PeerAnswer>(body).map(|known| to_peer(&known))
}

#[cfg(test)]
mod tests;
