//! What the commands for operators read from the key-value store, which needs no leader.

use grebewood_net::blocking;
use grebewood_partition::PartitionMap;
use grebewood_wire::http::{KeyValue, KeyValueList};
use grebewood_wire::records::{LeaderRecord, LEADER_KEY, PARTITION_PREFIX};
use grebewood_wire::{from_cbor, DecodeError, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// Keys that are read with one request.
const PAGE_SIZE: usize = 200;

/// The store could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The store does not answer.
    #[error("key-value store {address}")]
    Unreachable {
        /// Address of the store.
        address: SocketAddr,
        /// The cause.
        #[source]
        source: blocking::RequestError,
    },
    /// The store answers with an HTTP status that is not expected.
    #[error("the key-value store answers {status} to GET {path}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What was to be read.
        path: String,
    },
    /// The store's response cannot be decoded.
    #[error("response of the key-value store to GET {path}")]
    Unreadable {
        /// What was to be read.
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

fn refused(status: u16, path: &str) -> ReadError {
    let path = path.to_string();
    ReadError::Refused { status, path }
}

fn unreadable(path: &str) -> impl FnOnce(DecodeError) -> ReadError {
    let path = path.to_string();
    move |source| ReadError::Unreadable { path, source }
}

/// Reads all keys with this prefix, page by page.
pub fn list(store: SocketAddr, prefix: &str) -> Result<Vec<KeyValue<Value>>, ReadError> {
    let mut entries = Vec::new();
    let mut continuation = String::new();
    loop {
        let path = format!("/kv?prefix={prefix}{continuation}&page={PAGE_SIZE}");
        let response = get(store, &path)?;
        if response.status != 200 {
            return Err(refused(response.status, &path));
        }
        let page: KeyValueList = from_cbor(&response.body).map_err(unreadable(&path))?;
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        entries.extend(page.entries);
        match last_key {
            Some(key) if page.has_more => continuation = format!("&since={key}"),
            _ => return Ok(entries),
        }
    }
}

/// The name of the leader, if there is one.
pub fn leader(store: SocketAddr) -> Result<Option<String>, ReadError> {
    let path = format!("/kv/{LEADER_KEY}");
    let response = get(store, &path)?;
    match response.status {
        404 => Ok(None),
        200 => {
            let entry: KeyValue<LeaderRecord> =
                from_cbor(&response.body).map_err(unreadable(&path))?;
            Ok(Some(entry.value.member))
        }
        status => Err(refused(status, &path)),
    }
}

/// The partitions and their holders.
pub fn partitions(store: SocketAddr) -> Result<PartitionMap, ReadError> {
    let mut map = PartitionMap::default();
    for entry in list(store, PARTITION_PREFIX)? {
        // The map remembers the keys of unreadable records, which the overview shows.
        let _ = map.apply_put(&entry.key, &entry.value, entry.mod_revision);
    }
    Ok(map)
}
