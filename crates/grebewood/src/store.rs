//! What the commands for operators read from the state service, which needs no leader.

use grebewood_net::blocking;
use grebewood_partition::PartitionMap;
use grebewood_wire::from_cbor;
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{LeaderRecord, LEADER, PARTITION};
use grebewood_wire::Value;
use std::fmt;
use std::net::SocketAddr;

/// Why something cannot be shown.
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

fn get(state: SocketAddr, path: &str) -> Result<blocking::Answer, ReadError> {
    blocking::get(state, path).map_err(|why| ReadError::Unreachable(state, why))
}

/// All keys with this prefix, page by page.
pub fn list(state: SocketAddr, prefix: &str) -> Result<Vec<KeyValue<Value>>, ReadError> {
    let mut entries = Vec::new();
    let mut after = String::new();
    loop {
        let answer = get(state, &format!("/kv?prefix={prefix}{after}&page=200"))?;
        if answer.status != 200 {
            return Err(ReadError::Refused(answer.status));
        }
        let list: KeyValueList =
            from_cbor(&answer.body).map_err(|e| ReadError::Unreadable(e.to_string()))?;
        let last = list.entries.last().map(|entry| entry.key.clone());
        entries.extend(list.entries);
        match last.filter(|_| list.more) {
            Some(last) => after = format!("&since={last}"),
            None => return Ok(entries),
        }
    }
}

/// Who leads, if anybody does.
pub fn leader(state: SocketAddr) -> Result<Option<String>, ReadError> {
    let answer = get(state, &format!("/kv/{LEADER}"))?;
    match answer.status {
        404 => Ok(None),
        200 => match from_cbor::<KeyValue<LeaderRecord>>(&answer.body) {
            Ok(entry) => Ok(Some(entry.value.member)),
            Err(e) => Err(ReadError::Unreadable(e.to_string())),
        },
        status => Err(ReadError::Refused(status)),
    }
}

/// The partitions and who holds them.
pub fn partitions(state: SocketAddr) -> Result<PartitionMap, ReadError> {
    let mut map = PartitionMap::default();
    for entry in list(state, PARTITION)? {
        // What cannot be read is part of what is shown.
        let _ = map.put(&entry.key, &entry.value, entry.mod_revision);
    }
    Ok(map)
}
