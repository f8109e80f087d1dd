//! Checks the settings file and converts it to what the controller and its event loop take.

use super::error::{InvalidValue, SettingsError};
use super::file::{
    ObjectiveEntry, SettingsFile, SiblingEntry, StoreLimitsEntry, StoreSection, TeamEntry,
};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{micros, Micros, Objective, Settings, Sibling, Team};
use grebewood_net::Endpoints;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The limit of a team that has none: more than any fleet has.
const UNLIMITED: f64 = 1e12;
/// No time, rate or size in the file is as large as this.
const UPPER_BOUND: f64 = 1e9;
/// Least operations of a transaction: finishing a job changes three keys at once.
const MIN_TRANSACTION_OPERATIONS: usize = 3;
/// Least size of a value, in units of 1024 bytes: a job's record takes some hundred bytes.
const MIN_VALUE_KB: f64 = 1.0;
/// Fewest sockets that the event loop plans with.
const MIN_SOCKETS: usize = 32;
/// The kind of objectives that state how soon a service is restored.
const AVAILABILITY_OBJECTIVE: &str = "up";

fn invalid(field: impl Into<String>, reason: InvalidValue) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        reason,
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| invalid(field, InvalidValue::NotAnAddress(text.into())))
}

fn positive(field: &str, number: f64) -> Result<f64, SettingsError> {
    if number.is_finite() && number > 0.0 && number < UPPER_BOUND {
        Ok(number)
    } else {
        Err(invalid(field, InvalidValue::NotPositive(number)))
    }
}

fn positive_time(field: &str, seconds: f64) -> Result<Micros, SettingsError> {
    positive(field, seconds).map(micros)
}

/// Checks and converts the whole file.
pub(super) fn convert(file: SettingsFile) -> Result<(Settings, Endpoints), SettingsError> {
    if file.member.is_empty() {
        return Err(invalid("member", InvalidValue::Empty));
    }
    let teams = convert_teams(&file.cluster.teams)?;
    let objectives = file.cluster.objectives.iter().map(convert_objective);
    let objectives = objectives.collect::<Result<_, _>>()?;
    let store = convert_store_limits(&file.cluster.store)?;
    let endpoints = convert_endpoints(&file)?;
    let agents = &file.cluster.agents;
    let cloud = &file.cluster.cloud;
    let settings = Settings {
        siblings: file.siblings.iter().map(convert_sibling).collect(),
        teams,
        objectives,
        heartbeat_interval: positive_time("cluster.workers.report_s", agents.heartbeat_interval_s)?,
        agent_lease: positive_time("cluster.workers.lease_s", agents.lease_s)?,
        cancel_timeout: positive_time("cluster.workers.cancel_s", agents.cancel_timeout_s)?,
        store,
        cloud_rps: positive("cluster.cloud.rps", cloud.rps)?,
        machine_list_lag: positive_time("cluster.cloud.list_lag_s", cloud.list_lag_s)?,
        max_sockets: endpoints.socket_limit,
        member: file.member,
        zone: file.zone,
    };
    Ok((settings, endpoints))
}

fn convert_endpoints(file: &SettingsFile) -> Result<Endpoints, SettingsError> {
    let peer = |sibling: &SiblingEntry| address("siblings.addr", &sibling.address);
    let peers = file.siblings.iter().map(peer).collect::<Result<_, _>>()?;
    Ok(Endpoints {
        front: address("front", &file.front)?,
        peer_listen: address("peer_listen", &file.peer_listen)?,
        store: address("endpoints.state", &file.endpoints.store)?,
        cloud: address("endpoints.cloud", &file.endpoints.cloud)?,
        peers,
        socket_limit: file.cluster.process.fd_limit.max(MIN_SOCKETS),
    })
}

fn convert_sibling(entry: &SiblingEntry) -> Sibling {
    Sibling {
        member: entry.member.clone(),
        zone: entry.zone.clone(),
    }
}

fn convert_teams(entries: &[TeamEntry]) -> Result<BTreeMap<String, Team>, SettingsError> {
    let mut teams = BTreeMap::new();
    for entry in entries {
        let team = convert_team(entry)?;
        if teams.insert(entry.name.clone(), team).is_some() {
            let reason = InvalidValue::Duplicate(entry.name.clone());
            return Err(invalid("cluster.teams.name", reason));
        }
    }
    Ok(teams)
}

fn convert_team(entry: &TeamEntry) -> Result<Team, SettingsError> {
    check_amount(entry, "cpus", entry.cpus)?;
    check_amount(entry, "cpus_max", entry.cpus_max)?;
    check_amount(entry, "gpus", entry.gpus)?;
    check_amount(entry, "gpus_max", entry.gpus_max)?;
    // A limit of 0 CPUs means no limit, as for a guest: a team that may use no CPU could run nothing.
    let cpus_max = match entry.cpus_max {
        0.0 => UNLIMITED,
        limit => limit,
    };
    check_limit(entry, "cpus_max", cpus_max, entry.cpus)?;
    check_limit(entry, "gpus_max", entry.gpus_max, entry.gpus)?;
    Ok(Team {
        cpus: entry.cpus,
        cpus_max,
        gpus: entry.gpus,
        gpus_max: entry.gpus_max,
    })
}

fn check_amount(team: &TeamEntry, field: &str, amount: f64) -> Result<(), SettingsError> {
    if amount.is_finite() && amount >= 0.0 {
        return Ok(());
    }
    let team = team.name.clone();
    let reason = InvalidValue::InvalidAmount { amount, team };
    Err(invalid(format!("cluster.teams.{field}"), reason))
}

fn check_limit(
    team: &TeamEntry,
    field: &str,
    limit: f64,
    guaranteed: f64,
) -> Result<(), SettingsError> {
    if limit >= guaranteed {
        return Ok(());
    }
    let reason = InvalidValue::LimitBelowGuarantee {
        limit,
        guaranteed,
        team: team.name.clone(),
    };
    Err(invalid(format!("cluster.teams.{field}"), reason))
}

fn convert_objective(entry: &ObjectiveEntry) -> Result<Objective, SettingsError> {
    let time = |field: &str, seconds: Option<f64>| {
        let field = format!("cluster.objectives.{field}");
        seconds.map(|s| positive_time(&field, s)).transpose()
    };
    let within = time("within_s", entry.within_s)?;
    // Other kinds may use these fields for something else.
    let (after, worst_window) = if entry.kind == AVAILABILITY_OBJECTIVE {
        let after_s = entry.after_s.filter(|seconds| *seconds != 0.0);
        (time("after_s", after_s)?, time("worst_s", entry.worst_s)?)
    } else {
        (None, None)
    };
    Ok(Objective {
        kind: entry.kind.clone(),
        class: entry.class.clone(),
        within,
        share: entry.share,
        after,
        worst_window,
    })
}

/// The smaller of the present and the announced limits: nobody says when the change is made.
fn convert_store_limits(section: &StoreSection) -> Result<StoreLimits, SettingsError> {
    let current = section.current();
    let limits = check_store_limits("cluster.state", current)?;
    let Some(next) = &section.next else {
        return Ok(limits);
    };
    let next = check_store_limits("cluster.state.next", next.applied_to(current))?;
    Ok(limits.smaller_of(next))
}

fn check_store_limits(
    section: &str,
    limits: StoreLimitsEntry,
) -> Result<StoreLimits, SettingsError> {
    let field = |name: &str| format!("{section}.{name}");
    if limits.txn_ops < MIN_TRANSACTION_OPERATIONS {
        let reason = InvalidValue::BelowMinimum(MIN_TRANSACTION_OPERATIONS as f64);
        return Err(invalid(field("txn_ops"), reason));
    }
    if positive(&field("value_kb"), limits.value_kb)? < MIN_VALUE_KB {
        let reason = InvalidValue::BelowMinimum(MIN_VALUE_KB);
        return Err(invalid(field("value_kb"), reason));
    }
    Ok(StoreLimits {
        rps: positive(&field("rps"), limits.rps)?,
        write_rps: positive(&field("write_rps"), limits.write_rps)?,
        value_bytes: (limits.value_kb * 1024.0) as usize,
        transaction_operations: limits.txn_ops,
    })
}
