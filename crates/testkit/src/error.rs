//! Errors of scenarios that cannot be read or that fail.

use crate::time::{as_seconds, Micros};
use std::fmt;

/// The reason why a scenario script cannot be executed as it is written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// A line of a scenario or of a snapshot has too few words.
    #[error("a word of the line is missing")]
    MissingWord,
    /// A required option of a line is missing.
    #[error("option {0} is missing")]
    MissingOption(String),
    /// The value of an option is not a number.
    #[error("{key}={text} is not a number")]
    OptionIsNoNumber {
        /// The name of the option.
        key: String,
        /// The value of the option.
        text: String,
    },
    /// A word of a line is not a number.
    #[error("{0} is not a number")]
    NotANumber(String),
    /// A word of a line is not a time in seconds.
    #[error("{0} is not a time in seconds")]
    NotATime(String),
    /// A text does not consist of pairs of hexadecimal digits.
    #[error("{0}: not pairs of hexadecimal digits")]
    NotHexadecimal(String),
    /// A directive, or a word in one, does not exist.
    #[error("unknown directive or word: {0}")]
    Unknown(String),
    /// A controller, machine, team, job or record does not exist, or none is in the required state.
    #[error("{name}: no such {kind}")]
    NotFound {
        /// The kind of object.
        kind: &'static str,
        /// The name in the script.
        name: String,
    },
    /// A setting of the service cannot be applied.
    #[error("{0}")]
    Setting(String),
    /// A data file, or a value in it, cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The name of the file, or the kind of value.
        file: String,
        /// The cause.
        reason: String,
    },
    /// The script has no `end` line.
    #[error("the scenario has no end")]
    NoEnd,
}

/// A rule that the simulated world checks while it plays a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A task is on at most one machine at a time.
    RanTwice,
    /// No task of a job runs after the cancellation timeout of the job has passed.
    RanCancelled,
    /// The tasks of a team stay within its limit.
    Quota,
    /// A task runs only on machines that its job permits.
    WrongPlace,
    /// No job waits for long while a machine has enough free resources for it.
    Waits,
    /// An accepted job stays known, and requests for its status are answered.
    Forgotten,
    /// The status of a job that users are given never goes backwards.
    WentBack,
    /// A job is reported as done only if it is done.
    NotDone,
    /// No status is reported for a job that nobody submitted.
    Invented,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::RanTwice => "ran_twice",
            Rule::RanCancelled => "ran_cancelled",
            Rule::Quota => "quota",
            Rule::WrongPlace => "wrong_place",
            Rule::Waits => "waits",
            Rule::Forgotten => "forgotten",
            Rule::WentBack => "went_back",
            Rule::NotDone => "not_done",
            Rule::Invented => "invented",
        })
    }
}

/// The reason why a scenario fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The script cannot be executed.
    #[error(transparent)]
    Script(#[from] ScriptError),
    /// A rule is broken.
    #[error("broken rule {rule}: {detail}")]
    RuleBroken {
        /// The broken rule.
        rule: Rule,
        /// The objects and values that break the rule.
        detail: String,
    },
    /// A controller did something that the protocol does not allow or that the version in production cannot read.
    #[error("{0}")]
    Protocol(String),
    /// An expectation of the script is not met.
    #[error("{0}")]
    Unmet(String),
    /// An error with the line of the script that caused it.
    #[error("line {line}: {source}")]
    AtLine {
        /// The number of the line, from 1.
        line: usize,
        /// The error.
        source: Box<ScenarioError>,
    },
    /// An error with the simulated time at which it occurred.
    #[error("at {:.3} s: {source}", as_seconds(*.time))]
    AtTime {
        /// The simulated time, in microseconds.
        time: Micros,
        /// The error.
        source: Box<ScenarioError>,
    },
}

impl ScenarioError {
    /// Returns the error for a broken rule.
    pub(crate) fn rule(rule: Rule, detail: impl Into<String>) -> ScenarioError {
        let detail = detail.into();
        ScenarioError::RuleBroken { rule, detail }
    }

    /// Returns the error for an expectation of the script that is not met.
    pub(crate) fn unmet(detail: impl Into<String>) -> ScenarioError {
        ScenarioError::Unmet(detail.into())
    }

    /// Adds the number of the line of the script that caused the error.
    pub(crate) fn at_line(self, line: usize) -> ScenarioError {
        let source = Box::new(self);
        ScenarioError::AtLine { line, source }
    }

    /// Adds the simulated time at which the error occurred.
    pub(crate) fn at_time(self, time: Micros) -> ScenarioError {
        let source = Box::new(self);
        ScenarioError::AtTime { time, source }
    }
}

/// The result of a step of a scenario.
pub(crate) type StepResult<T = ()> = Result<T, ScenarioError>;
