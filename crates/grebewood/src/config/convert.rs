//! Validates the settings file and converts it to the settings of the controller and of the event loop.

use super::error::{InvalidValue, SettingsError};
use super::file::{
    ObjectiveEntry, SettingsFile, SiblingEntry, StoreLimitsEntry, StoreSection, TeamEntry,
};
use grebewood_core::settings::StoreLimits;
use grebewood_core::{micros, Micros, Objective, Settings, Sibling, Team};
use grebewood_net::Endpoints;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// CPU limit that stands for no limit: more CPUs than any cluster has.
const UNLIMITED_CPUS: f64 = 1e12;
/// Exclusive upper bound of all times, rates and sizes in the file.
const UPPER_BOUND: f64 = 1e9;
/// Lower bound of the operation limit of transactions: finishing a job changes three keys in one transaction.
const MIN_TRANSACTION_OPERATIONS: usize = 3;
/// Lower bound of the size limit of values, in units of 1024 bytes: the record of a job takes some hundred bytes.
const MIN_VALUE_KB: f64 = 1.0;
/// Lower bound of the socket limit that is passed to the event loop.
const MIN_SOCKETS: usize = 32;
/// Kind of the availability objectives, which state how soon a service must be restored.
const AVAILABILITY_OBJECTIVE: &str = "up";

fn invalid_field(field: impl Into<String>, reason: InvalidValue) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        reason,
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .map_err(|_| invalid_field(field, InvalidValue::NotAnAddress(text.into())))
}

fn check_positive(field: &str, number: f64) -> Result<f64, SettingsError> {
    if number.is_finite() && number > 0.0 && number < UPPER_BOUND {
        Ok(number)
    } else {
        Err(invalid_field(field, InvalidValue::NotPositive(number)))
    }
}

fn convert_time(field: &str, seconds: f64) -> Result<Micros, SettingsError> {
    check_positive(field, seconds).map(micros)
}

/// Validates and converts the whole file.
pub(super) fn convert(file: SettingsFile) -> Result<(Settings, Endpoints), SettingsError> {
    if file.member.is_empty() {
        return Err(invalid_field("member", InvalidValue::Empty));
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
        heartbeat_interval: convert_time("cluster.workers.report_s", agents.heartbeat_interval_s)?,
        agent_lease: convert_time("cluster.workers.lease_s", agents.lease_s)?,
        cancel_timeout: convert_time("cluster.workers.cancel_s", agents.cancel_timeout_s)?,
        store,
        cloud_rps: check_positive("cluster.cloud.rps", cloud.rps)?,
        machine_list_lag: convert_time("cluster.cloud.list_lag_s", cloud.list_lag_s)?,
        max_sockets: endpoints.socket_limit,
        member: file.member,
        zone: file.zone,
    };
    Ok((settings, endpoints))
}

fn convert_endpoints(file: &SettingsFile) -> Result<Endpoints, SettingsError> {
    let peer_address = |sibling: &SiblingEntry| parse_address("siblings.addr", &sibling.address);
    let peers = file
        .siblings
        .iter()
        .map(peer_address)
        .collect::<Result<_, _>>()?;
    Ok(Endpoints {
        front: parse_address("front", &file.front)?,
        peer_listen: parse_address("peer_listen", &file.peer_listen)?,
        store: parse_address("endpoints.state", &file.endpoints.store)?,
        cloud: parse_address("endpoints.cloud", &file.endpoints.cloud)?,
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
            return Err(invalid_field("cluster.teams.name", reason));
        }
    }
    Ok(teams)
}

fn convert_team(entry: &TeamEntry) -> Result<Team, SettingsError> {
    check_amount(entry, "cpus", entry.cpus)?;
    check_amount(entry, "cpus_max", entry.cpus_max)?;
    check_amount(entry, "gpus", entry.gpus)?;
    check_amount(entry, "gpus_max", entry.gpus_max)?;
    // A CPU limit of 0, as guest teams have it, means no limit: a team that may use no CPU could run nothing.
    let cpus_max = match entry.cpus_max {
        0.0 => UNLIMITED_CPUS,
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
    Err(invalid_field(format!("cluster.teams.{field}"), reason))
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
    Err(invalid_field(format!("cluster.teams.{field}"), reason))
}

fn convert_objective(entry: &ObjectiveEntry) -> Result<Objective, SettingsError> {
    let convert_optional_time = |field: &str, seconds: Option<f64>| {
        let field = format!("cluster.objectives.{field}");
        seconds.map(|s| convert_time(&field, s)).transpose()
    };
    let within = convert_optional_time("within_s", entry.within_s)?;
    // Objectives of other kinds may use these fields with another meaning.
    let (after, worst_window) = if entry.kind == AVAILABILITY_OBJECTIVE {
        let after_s = entry.after_s.filter(|seconds| *seconds != 0.0);
        (
            convert_optional_time("after_s", after_s)?,
            convert_optional_time("worst_s", entry.worst_s)?,
        )
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

/// Returns the smaller of the current and the announced limits, because the time of the change is not known.
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
        return Err(invalid_field(field("txn_ops"), reason));
    }
    if check_positive(&field("value_kb"), limits.value_kb)? < MIN_VALUE_KB {
        let reason = InvalidValue::BelowMinimum(MIN_VALUE_KB);
        return Err(invalid_field(field("value_kb"), reason));
    }
    Ok(StoreLimits {
        rps: check_positive(&field("rps"), limits.rps)?,
        write_rps: check_positive(&field("write_rps"), limits.write_rps)?,
        value_bytes: (limits.value_kb * 1024.0) as usize,
        transaction_operations: limits.txn_ops,
    })
}
