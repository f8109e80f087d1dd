//! How far the controller's copy of the partition map has been read.

use crate::Micros;

/// A list of the map that is read page by page.
#[derive(Clone, Debug)]
pub(crate) struct MapListing {
    /// The store's revision at the first page.
    pub(crate) revision: u64,
    /// The last key that was read.
    pub(crate) last_key: String,
}

/// Keeps the controller's copy of the map up to date.
#[derive(Clone, Debug, Default)]
pub(crate) struct MapReader {
    /// The copy is up to date as of this revision; `None` while the map is listed.
    pub(crate) revision: Option<u64>,
    /// A list under way, after its first page.
    pub(crate) listing: Option<MapListing>,
    /// Whether a read is under way.
    pub(crate) request_in_flight: bool,
    /// When the next read is due, in microseconds of the steady clock.
    pub(crate) next_read: Micros,
}

impl MapReader {
    /// Whether the whole map has been read, and changes are followed since.
    pub(crate) fn has_read_map(&self) -> bool {
        self.revision.is_some()
    }
}
