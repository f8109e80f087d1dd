//! Reads the catalogue of machine types after the start: from the store, or from the cloud if the store has none yet.

use crate::calls::{CallPurpose, CatalogueSource};
use crate::controller::Controller;
use crate::{Micros, Outcome, Target, MILLI, SECOND};
use grebewood_wire as wire;
use grebewood_wire::http::{Catalogue, KeyValue};
use grebewood_wire::records::CATALOGUE_KEY;
use log::warn;

/// Interval between two attempts to read the catalogue.
const RETRY_INTERVAL_US: Micros = 500 * MILLI;

/// Timeout of a request to the cloud for the machine types.
const CLOUD_TIMEOUT_US: Micros = 3 * SECOND;

impl Controller {
    /// Requests the catalogue if it is not known and an attempt is due.
    pub(crate) fn run_catalogue(&mut self) {
        let now = self.context.now.steady;
        if self.context.catalogue.is_some() || now < self.catalogue_reader.next_attempt {
            return;
        }
        self.catalogue_reader.next_attempt = now + RETRY_INTERVAL_US;
        match self.catalogue_reader.source {
            CatalogueSource::Store => {
                let purpose = CallPurpose::Catalogue(CatalogueSource::Store);
                self.context.read_key(CATALOGUE_KEY, purpose);
            }
            CatalogueSource::Cloud => {
                if self.context.cloud_requests.try_acquire(now, 1.0) {
                    self.context.call(
                        Target::Cloud,
                        "GET",
                        "/machine_types".into(),
                        Vec::new(),
                        CLOUD_TIMEOUT_US,
                        CallPurpose::Catalogue(CatalogueSource::Cloud),
                    );
                }
            }
        }
    }

    /// Handles the reply to a request for the catalogue.
    pub(crate) fn on_catalogue_reply(&mut self, source: CatalogueSource, outcome: Outcome) {
        // The sources are asked in turn until one of them returns a catalogue.
        let other_source = source.other();
        let Outcome::Answer { status: 200, body } = outcome else {
            self.catalogue_reader.source = other_source;
            return;
        };
        let catalogue = match source {
            CatalogueSource::Store => {
                wire::from_cbor::<KeyValue<Catalogue>>(&body).map(|entry| entry.value)
            }
            CatalogueSource::Cloud => wire::from_cbor::<Catalogue>(&body),
        };
        match catalogue {
            Ok(catalogue) if !catalogue.machine_types.is_empty() => {
                self.context.catalogue = Some(catalogue.machine_types);
            }
            Ok(_) => self.catalogue_reader.source = other_source,
            Err(e) => {
                warn!(error:% = e; "cannot decode the catalogue of machine types");
                self.catalogue_reader.source = other_source;
            }
        }
    }
}
