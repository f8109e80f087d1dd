//! `grebewood partitions`: who holds which machines, read from the state service alone.

use grebewood_net::blocking;
use grebewood_partition::overview::Overview;
use grebewood_partition::PartitionMap;
use grebewood_wire::from_cbor;
use grebewood_wire::http::{Entry, EntryList};
use grebewood_wire::records::{LeaderRecord, LEADER, PARTITION};
use std::fmt;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Why the partitions cannot be shown.
#[derive(Debug)]
pub enum ReadError {
    /// The state service does not answer.
    Unreachable(SocketAddr, std::io::Error),
    /// It refuses.
    Refused(u16),
    /// Its answer cannot be read.
    Unreadable(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Unreachable(server, why) => write!(f, "state service {server}: {why}"),
            ReadError::Refused(status) => write!(f, "the state service answers {status}"),
            ReadError::Unreadable(why) => write!(f, "the state service's answer: {why}"),
        }
    }
}

/// Reads the overview.
pub fn read(state: SocketAddr) -> Result<Overview, ReadError> {
    let map = read_map(state)?;
    let leader = read_leader(state)?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(Overview::of(&map, leader, now.as_micros() as u64))
}

fn get(state: SocketAddr, path: &str) -> Result<blocking::Answer, ReadError> {
    blocking::get(state, path).map_err(|why| ReadError::Unreachable(state, why))
}

fn read_map(state: SocketAddr) -> Result<PartitionMap, ReadError> {
    let mut map = PartitionMap::default();
    let mut after = String::new();
    loop {
        let answer = get(state, &format!("/kv?prefix={PARTITION}{after}&page=200"))?;
        if answer.status != 200 {
            return Err(ReadError::Refused(answer.status));
        }
        let list: EntryList =
            from_cbor(&answer.body).map_err(|e| ReadError::Unreadable(e.to_string()))?;
        for entry in &list.entries {
            // What cannot be read is part of the overview.
            let _ = map.put(&entry.key, &entry.value, entry.stamp);
        }
        match list.entries.last().filter(|_| list.more) {
            Some(last) => after = format!("&since={}", last.key),
            None => return Ok(map),
        }
    }
}

fn read_leader(state: SocketAddr) -> Result<Option<String>, ReadError> {
    let answer = get(state, &format!("/kv/{LEADER}"))?;
    match answer.status {
        404 => Ok(None),
        200 => match from_cbor::<Entry<LeaderRecord>>(&answer.body) {
            Ok(entry) => Ok(Some(entry.value.member)),
            Err(e) => Err(ReadError::Unreadable(e.to_string())),
        },
        status => Err(ReadError::Refused(status)),
    }
}
