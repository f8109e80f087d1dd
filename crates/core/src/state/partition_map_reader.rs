//! How far the controller's copy of the partition map has been read.

use crate::Micros;

/// Keeps the map up to date.
#[derive(Clone, Debug, Default)]
pub(crate) struct MapReader {
    /// Up to date as of this revision; `None` while it is listed.
    pub(crate) since: Option<u64>,
    /// The revision of the first page of a list under way, and the last key read.
    pub(crate) listing: Option<(u64, String)>,
    pub(crate) busy: bool,
    pub(crate) next_at: Micros,
}
