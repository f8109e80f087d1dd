//! Reads from the key-value store for the operators' commands, which work without a leader.

use grebewood_net::blocking;
use grebewood_partition::PartitionMap;
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{LeaderRecord, LEADER_KEY, PARTITION_PREFIX};
use grebewood_wire::{from_cbor, DecodeError, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of keys that one request reads.
const KEYS_PER_PAGE: usize = 200;

/// Reasons why the key-value store cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// No valid HTTP response from the store arrived.
    #[error("cannot read from the key-value store at {address}")]
    Unreachable {
        /// Address of the store.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: blocking::RequestError,
    },
    /// The store answered with an unexpected HTTP status.
    #[error("key-value store answered GET {path} with unexpected status {status}")]
    UnexpectedStatus {
        /// The HTTP status.
        status: u16,
        /// Path of the request.
        path: String,
    },
    /// The body of the store's response cannot be decoded.
    #[error("cannot decode the response of the key-value store to GET {path}")]
    InvalidResponse {
        /// Path of the request.
        path: String,
        /// The cause.
        #[source]
        source: DecodeError,
    },
}

fn get(store: SocketAddr, path: &str) -> Result<blocking::Response, ReadError> {
    blocking::get(store, path).map_err(|source| ReadError::Unreachable {
        address: store,
        source,
    })
}

fn unexpected_status(status: u16, path: &str) -> ReadError {
    let path = path.to_string();
    ReadError::UnexpectedStatus { status, path }
}

fn invalid_response(path: &str) -> impl FnOnce(DecodeError) -> ReadError {
    let path = path.to_string();
    move |source| ReadError::InvalidResponse { path, source }
}

/// Reads all entries whose keys have this prefix, page by page.
pub fn list_entries(store: SocketAddr, prefix: &str) -> Result<Vec<KeyValue<Value>>, ReadError> {
    let mut entries = Vec::new();
    let mut continuation = String::new();
    loop {
        let path = format!("/kv?prefix={prefix}{continuation}&page={KEYS_PER_PAGE}");
        let response = get(store, &path)?;
        if response.status != 200 {
            return Err(unexpected_status(response.status, &path));
        }
        let page: KeyValueList = from_cbor(&response.body).map_err(invalid_response(&path))?;
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        entries.extend(page.entries);
        match last_key {
            Some(key) if page.has_more => continuation = format!("&since={key}"),
            _ => return Ok(entries),
        }
    }
}

/// Reads the name of the leader; returns `None` if there is no leader.
pub fn read_leader(store: SocketAddr) -> Result<Option<String>, ReadError> {
    let path = format!("/kv/{LEADER_KEY}");
    let response = get(store, &path)?;
    match response.status {
        404 => Ok(None),
        200 => {
            let entry: KeyValue<LeaderRecord> =
                from_cbor(&response.body).map_err(invalid_response(&path))?;
            Ok(Some(entry.value.member))
        }
        status => Err(unexpected_status(status, &path)),
    }
}

/// Reads the partitions and their holders.
pub fn read_partitions(store: SocketAddr) -> Result<PartitionMap, ReadError> {
    let mut map = PartitionMap::default();
    for entry in list_entries(store, PARTITION_PREFIX)? {
        // The result is ignored because the map keeps the keys of unreadable records, which the overview shows.
        let _ = map.apply_put(&entry.key, &entry.value, entry.mod_revision);
    }
    Ok(map)
}
