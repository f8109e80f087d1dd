//! State of the reads that keep the controller's copy of the partition map up to date.

use crate::Micros;

/// Listing of the partition map that is read page by page.
#[derive(Clone, Debug)]
pub(crate) struct MapListing {
    /// Revision of the key-value store at the first page.
    pub(crate) revision: u64,
    /// Last key that was read.
    pub(crate) last_key: String,
}

/// Progress of the reads of the partition map.
#[derive(Clone, Debug, Default)]
pub(crate) struct MapReader {
    /// Revision up to which the copy is up to date; `None` while the map is being listed.
    pub(crate) revision: Option<u64>,
    /// Listing in progress, once its first page has been read.
    pub(crate) listing: Option<MapListing>,
    /// Whether a read is in flight.
    pub(crate) request_in_flight: bool,
    /// Time at which the next read is due, in microseconds of the steady clock.
    pub(crate) next_read: Micros,
}

impl MapReader {
    /// Returns whether the whole map has been read, so that only changes are read from then on.
    pub(crate) fn has_read_map(&self) -> bool {
        self.revision.is_some()
    }
}
