//! When the catalogue of machine types is read next, and where.

use crate::calls::CatalogueSource;
use crate::Micros;

/// How the catalogue is read until it is known.
#[derive(Debug, Default)]
pub(crate) struct CatalogueReader {
    /// When the catalogue is asked for next, in microseconds of the steady clock.
    pub(crate) next_attempt: Micros,
    /// Whom it is asked of.
    pub(crate) source: CatalogueSource,
}
