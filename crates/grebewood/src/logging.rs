//! The logger, which writes each record as one line on standard error: `LEVEL target: message key=value ...`.

use env_logger::Target;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::io::{self, Write};

/// Environment variable that sets the log level.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";
/// Prefix of the package names of this workspace, which is omitted from the targets of log lines.
const PACKAGE_PREFIX: &str = "grebewood_";

/// Installs the logger.
pub fn init() {
    let variable = std::env::var(LEVEL_VARIABLE).ok();
    env_logger::Builder::new()
        .filter_level(parse_level(variable.as_deref()))
        .format(write_record)
        .target(Target::Stderr)
        .init();
}

/// Returns the log level for a value of [`LEVEL_VARIABLE`].
fn parse_level(variable: Option<&str>) -> LevelFilter {
    match variable {
        Some("debug") => LevelFilter::Debug,
        Some("info") => LevelFilter::Info,
        Some("error") => LevelFilter::Error,
        _ => LevelFilter::Warn,
    }
}

/// Writes a record as one line, with its key-value fields after the message.
fn write_record(out: &mut impl Write, record: &Record) -> io::Result<()> {
    let target = record.target().trim_start_matches(PACKAGE_PREFIX);
    write!(out, "{:<5} {target}: {}", record.level(), record.args())?;
    let mut fields = FieldWriter { out };
    record
        .key_values()
        .visit(&mut fields)
        .map_err(io::Error::other)?;
    writeln!(out)
}

/// Writes fields as ` key=value`, and quotes values that are not one word.
struct FieldWriter<'a, W: Write> {
    out: &'a mut W,
}

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if is_one_word(&text) {
            write!(self.out, " {key}={text}")?;
        } else {
            write!(self.out, " {key}={text:?}")?;
        }
        Ok(())
    }
}

fn is_one_word(text: &str) -> bool {
    let is_separator = |c: char| c.is_whitespace() || c.is_control() || c == '"';
    !text.is_empty() && !text.contains(is_separator)
}

#[cfg(test)]
mod tests;
