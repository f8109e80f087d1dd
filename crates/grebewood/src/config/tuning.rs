//! Parses the operators' tuning file (INI).

use super::error::TuningError;
use grebewood_core::Tuning;
use ini::Ini;

/// Name of the only section that the file may have; keys may also precede all sections.
const SECTION: &str = "grebewood";

/// Parses the text of a tuning file. Keys that the text does not set keep their defaults.
pub(super) fn parse(text: &str) -> Result<Tuning, TuningError> {
    let mut tuning = Tuning::default();
    for (section, properties) in &Ini::load_from_str(text)? {
        if !matches!(section, None | Some(SECTION)) {
            let name = section.unwrap_or_default();
            return Err(TuningError::UnknownSection(name.into()));
        }
        for (key, value) in properties {
            tuning
                .set(key, value)
                .map_err(|error| TuningError::Key(error.to_string()))?;
        }
    }
    Ok(tuning)
}
