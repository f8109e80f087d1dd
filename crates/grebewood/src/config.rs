//! Reads and checks the settings file (TOML) and the operators' tuning file (INI).

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

#[derive(Deserialize)]
struct FileObjective {
    #[serde(default)]
    kind: String,
    #[serde(default)]
    class: String,
    within_s: Option<f64>,
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
            cpus_max: t.cpus_max,
            gpus: t.gpus,
            gpus_max: t.gpus_max,
        };
        if teams.insert(t.name.clone(), team).is_some() {
            return Err(format!("cluster.teams.name: {:?} occurs twice", t.name));
        }
    }
    let mut objectives = Vec::new();
    for o in c.objectives {
        let within = match o.within_s {
            Some(s) => Some(micros(positive("cluster.objectives.within_s", s)?)),
            None => None,
        };
        objectives.push(Objective {
            kind: o.kind,
            class: o.class,
            within,
            share: o.share,
        });
    }
    if c.state.txn_ops < 4 {
        return Err("cluster.state.txn_ops: less than 4".into());
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
        state: address("endpoints.state", &file.endpoints.state)?,
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
        report: micros(positive("cluster.workers.report_s", c.workers.report_s)?),
        lease: micros(positive("cluster.workers.lease_s", c.workers.lease_s)?),
        cancel: micros(positive("cluster.workers.cancel_s", c.workers.cancel_s)?),
        state_rps: positive("cluster.state.rps", c.state.rps)?,
        state_write_rps: positive("cluster.state.write_rps", c.state.write_rps)?,
        value_bytes: (positive("cluster.state.value_kb", c.state.value_kb)? * 1024.0) as usize,
        txn_ops: c.state.txn_ops,
        cloud_rps: positive("cluster.cloud.rps", c.cloud.rps)?,
        list_lag: micros(positive("cluster.cloud.list_lag_s", c.cloud.list_lag_s)?),
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
mod tests {
    use super::*;

    const GOOD: &str = r#"
member = "a"
domain = "z"
front = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
surprise = 1
[endpoints]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
[[cluster.teams]]
name = "t"
cpus = 1.0
cpus_max = 2.0
[cluster.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[cluster.state]
rps = 100.0
write_rps = 15.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0
"#;

    #[test]
    fn settings_are_read_and_unknown_fields_ignored() {
        let (settings, endpoints) = parse(GOOD).expect("good settings");
        assert_eq!(settings.lease, 10_000_000);
        assert_eq!(settings.value_bytes, 8192);
        assert_eq!(endpoints.socket_limit, 1_024);
    }

    #[test]
    fn a_bad_field_is_named() {
        for (from, to, field) in [
            (
                "lease_s = 10.0",
                "lease_s = -1.0",
                "cluster.workers.lease_s",
            ),
            ("lease_s = 10.0", "", "lease_s"),
            ("127.0.0.1:4", "state.example:4", "endpoints.state"),
            ("cpus = 1.0", "cpus = -1.0", "cluster.teams.cpus"),
            ("txn_ops = 8", "txn_ops = 2", "cluster.state.txn_ops"),
        ] {
            let error = parse(&GOOD.replace(from, to)).expect_err(field);
            assert!(error.contains(field), "{error}");
            assert!(!error.contains('\n'), "{error}");
        }
    }

    #[test]
    fn tuning_keys_are_checked() {
        let mut t = Tuning::default();
        assert!(t.set("idle_hold_us", "5000000").is_ok());
        assert_eq!(t.idle_hold_us, 5_000_000);
        assert!(t.set("idle_hold_us", "soon").is_err());
        assert!(t.set("deadline_share", "7").is_err());
        assert!(t.set("no_such_key", "1").is_err());
    }
}
