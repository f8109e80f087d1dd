//! Errors of reading the settings and tuning files. Each is one line that names the file and the field.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A file could not be read, or its content is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The settings file has an invalid content.
    #[error("settings file {}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: SettingsError,
    },
    /// The tuning file has an invalid content.
    #[error("tuning file {}", path.display())]
    Tuning {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: TuningError,
    },
}

/// What is wrong with the content of the settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It is no TOML, or a field is missing or of the wrong type.
    #[error("line {line}: {reason}")]
    Parse {
        /// The line, from 1 on; 0 if it is not known.
        line: usize,
        /// What the parser expects there.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// Why its value is invalid.
        reason: InvalidValue,
    },
}

/// Why the value of a field is invalid.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// A name is empty.
    #[error("empty")]
    Empty,
    /// Not the text of a socket address.
    #[error("{0:?} is not an IP address and port")]
    NotAnAddress(String),
    /// Not a positive number, or one beyond any sensible value.
    #[error("{0} is not a positive number")]
    NotPositive(f64),
    /// Less than the least value that the controller can work with.
    #[error("less than {0}")]
    BelowMinimum(f64),
    /// A team's amount is negative or not finite.
    #[error("{amount} of {team} is negative or not finite")]
    InvalidAmount {
        /// The amount.
        amount: f64,
        /// The team.
        team: String,
    },
    /// A team's limit is less than its guaranteed share.
    #[error("{limit} of {team} is less than the {guaranteed} guaranteed")]
    LimitBelowGuarantee {
        /// The limit.
        limit: f64,
        /// The guaranteed share.
        guaranteed: f64,
        /// The team.
        team: String,
    },
    /// A name that must be unique occurs twice.
    #[error("{0:?} occurs twice")]
    Duplicate(String),
}

/// What is wrong with the content of the tuning file.
#[derive(Debug, Error)]
pub enum TuningError {
    /// It is no INI file.
    #[error("not an INI file")]
    Parse(#[from] ini::ParseError),
    /// It has a section of another program.
    #[error("[{0}]: no such section")]
    UnknownSection(String),
    /// A key is unknown, or its value invalid.
    #[error("{0}")]
    Key(String),
}
