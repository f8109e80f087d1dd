//! Reads and validates the settings file (TOML) and the operators' tuning file (INI).

mod convert;
mod error;
mod file;
mod tuning;

pub use error::ConfigError;

use error::SettingsError;
use file::SettingsFile;
use grebewood_core::{Settings, Tuning};
use grebewood_net::Endpoints;
use std::path::Path;

/// Reads and validates the settings file.
pub fn load_settings(path: &Path) -> Result<(Settings, Endpoints), ConfigError> {
    parse(&read_file(path)?).map_err(|source| ConfigError::Settings {
        path: path.into(),
        source,
    })
}

/// Reads the tuning file. Keys that the file does not set have their defaults; without a file, all keys have
/// their defaults.
pub fn load_tuning(path: Option<&Path>) -> Result<Tuning, ConfigError> {
    let Some(path) = path else {
        return Ok(Tuning::default());
    };
    tuning::parse(&read_file(path)?).map_err(|source| ConfigError::Tuning {
        path: path.into(),
        source,
    })
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
        path: path.into(),
        source,
    })
}

fn parse(text: &str) -> Result<(Settings, Endpoints), SettingsError> {
    let file: SettingsFile = toml::from_str(text).map_err(|error| SettingsError::Parse {
        line: error.span().map_or(0, |span| line_at(text, span.start)),
        reason: error.message().replace('\n', " "),
    })?;
    convert::convert(file)
}

/// Returns the number, from 1, of the line that contains the byte at this offset.
fn line_at(text: &str, offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    before.matches('\n').count() + 1
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
