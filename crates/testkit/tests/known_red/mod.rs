//! Scenarios that fail because of a known fault that is not fixed yet. The file `KNOWN-RED.txt` at the root of the
//! repository lists at most three of them and is absent while there are none. Each has one line:
//!
//! ```text
//! # A comment.
//! NAME: CAUSE: issue NUMBER
//! ```
//!
//! They are played like all others, but their failure is only printed and does not fail the run. A listed scenario
//! that passes fails the run, so that its line is removed with the fault. A line of another form, or with an
//! unknown scenario, also fails the run.

mod tests;

use std::io::ErrorKind;
use std::path::Path;

/// The largest number of scenarios that the list may have.
const MAX_KNOWN_RED: usize = 3;

/// The evaluation of the scenarios' outcomes.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// Failures of listed scenarios, which are printed and do not fail the run.
    pub known_red: Vec<String>,
    /// Failures of other scenarios and faults of the list, which fail the run.
    pub faults: Vec<String>,
}

/// Reads the list. Returns `None` if the file does not exist.
pub fn read(path: &Path) -> Result<Option<String>, String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(format!("{}: {e}", path.display())),
    }
}

/// Compares the outcomes of the scenarios that were played with `list`, the text of `KNOWN-RED.txt`, and returns
/// which failures are known and which fail the run. `names` holds the names of all scenarios, also of those that
/// were not played.
pub fn judge(
    list: Option<&str>,
    names: &[String],
    outcomes: &[(String, Result<(), String>)],
) -> Verdict {
    let mut verdict = Verdict::default();
    let mut listed: Vec<&str> = Vec::new();
    for (index, line) in list.unwrap_or_default().lines().enumerate() {
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
        let fault = format!("KNOWN-RED.txt, line {}: {fault}: {line}", index + 1);
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

/// Returns the scenario that a line of the list names, if the line has the right form.
fn scenario_of(line: &str) -> Option<&str> {
    let parts: Vec<&str> = line.split(": ").collect();
    let [name, cause, issue] = parts[..] else {
        return None;
    };
    let number = issue.strip_prefix("issue ")?;
    let is_well_formed = !name.is_empty()
        && !name.contains(char::is_whitespace)
        && !cause.is_empty()
        && cause.trim() == cause
        && !number.is_empty()
        && !number.starts_with('0')
        && number.bytes().all(|b| b.is_ascii_digit());
    is_well_formed.then_some(name)
}
