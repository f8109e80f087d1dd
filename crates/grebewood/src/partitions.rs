//! `grebewood partitions`: who holds which machines.

use crate::store::{self, ReadError};
use grebewood_partition::overview::Overview;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the overview.
pub fn read(server: SocketAddr) -> Result<Overview, ReadError> {
    let map = store::partitions(server)?;
    let leader = store::leader(server)?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(Overview::of(&map, leader, now.as_micros() as u64))
}
