//! Reads the operators' tuning file (INI).

use super::error::TuningError;
use grebewood_core::Tuning;
use ini::Ini;

/// The only section that the file may have; keys may also stand before any section.
const SECTION: &str = "grebewood";

/// Parses the file; keys that it does not have keep their defaults.
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
