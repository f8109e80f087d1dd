//! State of reading the catalogue of machine types.

use crate::calls::CatalogueSource;
use crate::Micros;

/// The time and the source of the next attempt to read the catalogue, until the catalogue is known.
#[derive(Debug, Default)]
pub(crate) struct CatalogueReader {
    /// Time of the next attempt, in microseconds of the steady clock.
    pub(crate) next_attempt: Micros,
    /// Source of the next attempt.
    pub(crate) source: CatalogueSource,
}
