//! Scenarios that fail for a real fault which is still to be mended: the file `KNOWN-RED.txt` at the
//! root lists them, three at most, and is absent while there are none. A line each:
//!
//! ```text
//! # What begins so is a comment.
//! NAME: CAUSE: issue NUMBER
//! ```
//!
//! They are played as all others are; only their failure is passed over, and it is printed. One
//! that passes fails the run, so that no line outlives its fault; and so does any line that does
//! not say exactly what it is about.

mod tests;

use std::io::ErrorKind;
use std::path::Path;

/// Most scenarios that may be known red.
const MAX_KNOWN_RED: usize = 3;

/// What to make of the scenarios' outcomes.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// What failed and is passed over, to be printed.
    pub known_red: Vec<String>,
    /// What fails the run.
    pub faults: Vec<String>,
}

/// The list's text; none if there is no such file.
pub fn read(path: &Path) -> Result<Option<String>, String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

/// Judges the `outcomes` of the scenarios that were played. `names` are those of all scenarios,
/// since not all need have been played.
pub fn judge(
    list: Option<&str>,
    names: &[String],
    outcomes: &[(String, Result<(), String>)],
) -> Verdict {
    let mut verdict = Verdict::default();
    let mut listed: Vec<&str> = Vec::new();
    for (at, line) in list.unwrap_or_default().lines().enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let fault = match scenario_of(line) {
            None => "not of the form `NAME: CAUSE: issue NUMBER`",
            Some(name) if !names.iter().any(|n| n == name) => "no such scenario",
            Some(name) if listed.contains(&name) => "listed twice",
            Some(_) if listed.len() == MAX_KNOWN_RED => "more than three",
            Some(name) => {
                listed.push(name);
                continue;
            }
        };
        let fault = format!("KNOWN-RED.txt, line {}: {fault}: {line}", at + 1);
        verdict.faults.push(fault);
    }
    if list.is_some() && listed.is_empty() && verdict.faults.is_empty() {
        let fault = "KNOWN-RED.txt lists nothing: it is to be removed";
        verdict.faults.push(fault.into());
    }
    for (name, outcome) in outcomes {
        match (outcome, listed.contains(&name.as_str())) {
            (Ok(()), false) => {}
            (Ok(()), true) => {
                let fault = format!("{name}: passes, although KNOWN-RED.txt lists it");
                verdict.faults.push(fault);
            }
            (Err(e), true) => verdict.known_red.push(format!("known red: {name}: {e}")),
            (Err(e), false) => verdict.faults.push(format!("{name}: {e}")),
        }
    }
    verdict
}

/// The scenario that a line of the list names, if the line is whole.
fn scenario_of(line: &str) -> Option<&str> {
    let parts: Vec<&str> = line.split(": ").collect();
    let [name, cause, issue] = parts[..] else {
        return None;
    };
    let number = issue.strip_prefix("issue ")?;
    let whole = !name.is_empty()
        && !name.contains(char::is_whitespace)
        && !cause.is_empty()
        && cause.trim() == cause
        && !number.is_empty()
        && !number.starts_with('0')
        && number.bytes().all(|b| b.is_ascii_digit());
    whole.then_some(name)
}
