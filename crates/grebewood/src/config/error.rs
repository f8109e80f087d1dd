//! Errors of reading the settings and tuning files. A message is one line; together with its causes, it names the
//! file and the field or key.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Reasons why a settings or tuning file cannot be loaded.
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
    /// The content of the settings file is invalid.
    #[error("invalid settings file {}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: SettingsError,
    },
    /// The content of the tuning file is invalid.
    #[error("invalid tuning file {}", path.display())]
    Tuning {
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: TuningError,
    },
}

/// Reasons why the content of the settings file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is not valid TOML, or a field is missing or of the wrong type.
    #[error("line {line}: {reason}")]
    Parse {
        /// Line number, from 1; 0 if the line is not known.
        line: usize,
        /// Message of the TOML parser.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// Why the value of the field is invalid.
        reason: InvalidValue,
    },
}

/// Reasons why the value of a field of the settings file is invalid. The text follows the path of the field.
#[derive(Debug, Error)]
pub enum InvalidValue {
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// The text is not a socket address.
    #[error("{0:?} is not an IP address and port")]
    NotAnAddress(String),
    /// The number is not positive, or is not below the upper bound of times, rates and sizes.
    #[error("{0} is not a positive number or is too large")]
    NotPositive(f64),
    /// The value is less than this minimum, which the controller needs.
    #[error("must be at least {0}")]
    BelowMinimum(f64),
    /// A team's guaranteed share or limit of CPUs or GPUs is negative or not finite.
    #[error("{amount} of team {team} is negative or not finite")]
    InvalidAmount {
        /// The number of CPUs or GPUs in the settings file.
        amount: f64,
        /// The team.
        team: String,
    },
    /// A team's limit is less than its guaranteed share.
    #[error("{limit} of team {team} is less than its guaranteed share of {guaranteed}")]
    LimitBelowGuarantee {
        /// The limit, in CPUs or GPUs.
        limit: f64,
        /// The guaranteed share, in CPUs or GPUs.
        guaranteed: f64,
        /// The team.
        team: String,
    },
    /// A name that must be unique occurs twice.
    #[error("{0:?} occurs twice")]
    Duplicate(String),
}

/// Reasons why the content of the tuning file is invalid.
#[derive(Debug, Error)]
pub enum TuningError {
    /// The file is not valid INI.
    #[error("the tuning file is not valid INI")]
    Parse(#[from] ini::ParseError),
    /// The file has an unknown section.
    #[error("unknown section [{0}]")]
    UnknownSection(String),
    /// A key is unknown, or its value is invalid.
    #[error("{0}")]
    Key(String),
}
