//! Reads and checks the settings file (TOML) and the operators' tuning file (INI).

use grebewood_core::settings::StoreLimits;
use grebewood_core::{micros, Objective, Settings, Sibling, Team, Tuning};
use grebewood_net::Endpoints;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Deserialize)]
struct File {
    member: String,
    domain: String,
    front: String,
    peer_listen: String,
    #[serde(default)]
    siblings: Vec<FileSibling>,
    endpoints: FileEndpoints,
    cluster: FileCluster,
}

#[derive(Deserialize)]
struct FileSibling {
    member: String,
    domain: String,
    addr: String,
}

#[derive(Deserialize)]
struct FileEndpoints {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct FileCluster {
    #[serde(default)]
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: FileWorkers,
    state: FileState,
    cloud: FileCloud,
    #[serde(default)]
    quota: FileQuota,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

/// The limit of a team that has none: more than any fleet holds.
const UNLIMITED: f64 = 1e12;

#[derive(Deserialize)]
struct FileObjective {
    #[serde(default)]
    kind: String,
    #[serde(default)]
    class: String,
    within_s: Option<f64>,
    after_s: Option<f64>,
    worst_s: Option<f64>,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize)]
struct FileWorkers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct FileState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
    next: Option<FileNextState>,
}

/// The limits of the state service after an announced change; what is missing stays as it is.
#[derive(Deserialize)]
struct FileNextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
}

#[derive(Deserialize)]
struct FileCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileQuota {
    #[serde(default = "default_fd_limit")]
    fd_limit: usize,
}

impl Default for FileQuota {
    fn default() -> Self {
        FileQuota {
            fd_limit: default_fd_limit(),
        }
    }
}

fn default_fd_limit() -> usize {
    1_024
}

/// Reads the settings; the error is one line that names the field.
pub fn load(path: &Path) -> Result<(Settings, Endpoints), String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    parse(&text).map_err(|e| format!("{shown}: {e}"))
}

fn address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{field}: {text:?} is not an IP address and port"))
}

fn positive(field: &str, x: f64) -> Result<f64, String> {
    if x.is_finite() && x > 0.0 && x < 1e9 {
        Ok(x)
    } else {
        Err(format!("{field}: {x} is not a positive number"))
    }
}

/// The least that the service can work with: a job's end takes three changes at once, and a job's
/// record some hundred bytes.
const LEAST_TXN_OPS: usize = 3;
const LEAST_VALUE_KB: f64 = 1.0;

/// Checks limits of the state service; `field` is where they stand.
fn state_limits(
    field: &str,
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
) -> Result<StoreLimits, String> {
    if txn_ops < LEAST_TXN_OPS {
        return Err(format!("{field}.txn_ops: less than {LEAST_TXN_OPS}"));
    }
    if positive(&format!("{field}.value_kb"), value_kb)? < LEAST_VALUE_KB {
        return Err(format!("{field}.value_kb: less than {LEAST_VALUE_KB}"));
    }
    Ok(StoreLimits {
        rps: positive(&format!("{field}.rps"), rps)?,
        write_rps: positive(&format!("{field}.write_rps"), write_rps)?,
        value_bytes: (value_kb * 1024.0) as usize,
        transaction_operations: txn_ops,
    })
}

fn parse(text: &str) -> Result<(Settings, Endpoints), String> {
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |s| {
            text[..s.start.min(text.len())].matches('\n').count() + 1
        });
        format!("line {line}: {}", e.message().replace('\n', " "))
    })?;
    if file.member.is_empty() {
        return Err("member: empty".into());
    }
    let mut teams = BTreeMap::new();
    let c = file.cluster;
    for t in c.teams {
        for (field, x) in [
            ("cpus", t.cpus),
            ("cpus_max", t.cpus_max),
            ("gpus", t.gpus),
            ("gpus_max", t.gpus_max),
        ] {
            if !x.is_finite() || x < 0.0 {
                return Err(format!(
                    "cluster.teams.{field}: {x} of {} is negative or not finite",
                    t.name
                ));
            }
        }
        let team = Team {
            cpus: t.cpus,
            // A value of 0 means none: no guarantee, and no limit, as for a guest. A team that may
            // use no CPU at all could run nothing.
            cpus_max: match t.cpus_max {
                0.0 => UNLIMITED,
                limit => limit,
            },
            gpus: t.gpus,
            gpus_max: t.gpus_max,
        };
        for (field, most, guaranteed) in [
            ("cpus_max", team.cpus_max, team.cpus),
            ("gpus_max", team.gpus_max, team.gpus),
        ] {
            if most < guaranteed {
                return Err(format!(
                    "cluster.teams.{field}: {most} of {} is less than the {guaranteed} guaranteed",
                    t.name
                ));
            }
        }
        if teams.insert(t.name.clone(), team).is_some() {
            return Err(format!("cluster.teams.name: {:?} occurs twice", t.name));
        }
    }
    let mut objectives = Vec::new();
    for o in c.objectives {
        let time = |field: &str, s: Option<f64>| {
            let field = format!("cluster.objectives.{field}");
            s.map(|s| positive(&field, s).map(micros)).transpose()
        };
        let within = time("within_s", o.within_s)?;
        let (after, worst) = match o.kind.as_str() {
            "up" => (
                time("after_s", o.after_s.filter(|s| *s != 0.0))?,
                time("worst_s", o.worst_s)?,
            ),
            _ => (None, None),
        };
        objectives.push(Objective {
            kind: o.kind,
            class: o.class,
            within,
            share: o.share,
            after,
            worst,
        });
    }
    let s = c.state;
    let mut state = state_limits("cluster.state", s.rps, s.write_rps, s.value_kb, s.txn_ops)?;
    if let Some(next) = s.next {
        state = state.smaller_of(state_limits(
            "cluster.state.next",
            next.rps.unwrap_or(s.rps),
            next.write_rps.unwrap_or(s.write_rps),
            next.value_kb.unwrap_or(s.value_kb),
            next.txn_ops.unwrap_or(s.txn_ops),
        )?);
    }
    let mut siblings = Vec::new();
    let mut peers = Vec::new();
    for s in file.siblings {
        peers.push(address("siblings.addr", &s.addr)?);
        siblings.push(Sibling {
            member: s.member,
            zone: s.domain,
        });
    }
    let endpoints = Endpoints {
        front: address("front", &file.front)?,
        peer_listen: address("peer_listen", &file.peer_listen)?,
        store: address("endpoints.state", &file.endpoints.state)?,
        cloud: address("endpoints.cloud", &file.endpoints.cloud)?,
        peers,
        socket_limit: c.quota.fd_limit.max(32),
    };
    let settings = Settings {
        member: file.member,
        zone: file.domain,
        siblings,
        teams,
        objectives,
        heartbeat_interval: micros(positive("cluster.workers.report_s", c.workers.report_s)?),
        agent_lease: micros(positive("cluster.workers.lease_s", c.workers.lease_s)?),
        cancel_timeout: micros(positive("cluster.workers.cancel_s", c.workers.cancel_s)?),
        store: state,
        cloud_rps: positive("cluster.cloud.rps", c.cloud.rps)?,
        list_lag: micros(positive("cluster.cloud.list_lag_s", c.cloud.list_lag_s)?),
        sockets: endpoints.socket_limit,
    };
    Ok((settings, endpoints))
}

/// Reads the operators' settings, every key of which has a default.
pub fn load_tuning(path: Option<&Path>) -> Result<Tuning, String> {
    let mut tuning = Tuning::default();
    let Some(path) = path else {
        return Ok(tuning);
    };
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let ini = ini::Ini::load_from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    for (section, properties) in ini.iter() {
        if !matches!(section, None | Some("grebewood")) {
            return Err(format!(
                "{shown}: [{}]: no such section",
                section.unwrap_or("")
            ));
        }
        for (key, value) in properties.iter() {
            tuning
                .set(key, value)
                .map_err(|e| format!("{shown}: {e}"))?;
        }
    }
    Ok(tuning)
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
