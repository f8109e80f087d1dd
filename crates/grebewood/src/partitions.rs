//! The command `grebewood partitions`: shows which controller holds which machines.

use crate::store::{self, ReadError};
use grebewood_partition::overview::Overview;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reads the overview from the key-value store at this address.
pub fn read_overview(store: SocketAddr) -> Result<Overview, ReadError> {
    let map = store::read_partitions(store)?;
    let leader = store::read_leader(store)?;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(Overview::of(&map, leader, since_epoch.as_micros() as u64))
}
