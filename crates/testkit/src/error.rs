//! Why a scenario cannot be read, or does not hold.

use crate::time::{as_seconds, Micros};
use std::fmt;

/// Why a script, or a part of it, cannot be carried out as it is written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScriptError {
    /// A line ends too early.
    #[error("a word is missing")]
    MissingWord,
    /// An option that must be given is not.
    #[error("{0} is missing")]
    MissingOption(String),
    /// The value of an option is no number.
    #[error("{key}={text} is no number")]
    OptionIsNoNumber {
        /// The option.
        key: String,
        /// Its value.
        text: String,
    },
    /// A word is no number.
    #[error("{0}: no number")]
    NotANumber(String),
    /// A word is no time in seconds.
    #[error("{0} is no time")]
    NotATime(String),
    /// Bytes are not written as pairs of hexadecimal digits.
    #[error("{0}: no hexadecimal digits")]
    NotHexadecimal(String),
    /// A directive, or a word of one, that does not exist.
    #[error("{0}: unknown")]
    Unknown(String),
    /// There is no such controller, machine, team, job, or record; or none in the state that is needed.
    #[error("{name}: no such {kind}")]
    NotFound {
        /// What was looked for.
        kind: &'static str,
        /// The name under which it was looked for.
        name: String,
    },
    /// An operators' setting cannot be set.
    #[error("{0}")]
    Setting(String),
    /// A data file, or a value in it, cannot be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The file, or what the value stands for.
        file: String,
        /// Why.
        reason: String,
    },
    /// There is no `end`.
    #[error("the scenario has no end")]
    NoEnd,
}

/// A rule that the world checks at every step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A task is on at most one machine.
    RanTwice,
    /// A task of a job that is cancelled for long is on no machine.
    RanCancelled,
    /// A team stays within its limit.
    Quota,
    /// A task runs only where its job permits.
    WrongPlace,
    /// No job waits for long while a machine has room for it.
    Waits,
    /// An accepted job stays known, and questions about it are answered.
    Forgotten,
    /// What users are told about a job never goes back.
    WentBack,
    /// A job that is said to be done is done.
    NotDone,
    /// Nothing is said of a job that nobody submitted.
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

/// Why a scenario fails.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The script cannot be carried out.
    #[error(transparent)]
    Script(#[from] ScriptError),
    /// A rule that has a name is broken.
    #[error("{rule}: {detail}")]
    RuleBroken {
        /// The rule.
        rule: Rule,
        /// What broke it.
        detail: String,
    },
    /// A controller did what the protocol, or the version in production, does not allow.
    #[error("{0}")]
    Protocol(String),
    /// What the script expects is not so.
    #[error("{0}")]
    Unmet(String),
    /// The cause lies in a line of the script.
    #[error("line {line}: {source}")]
    AtLine {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong.
        source: Box<ScenarioError>,
    },
    /// It came up while the scenario was played.
    #[error("at {:.3} s: {source}", as_seconds(*.time))]
    AtTime {
        /// The simulated time, in microseconds.
        time: Micros,
        /// What went wrong.
        source: Box<ScenarioError>,
    },
}

impl ScenarioError {
    /// A named rule is broken.
    pub(crate) fn rule(rule: Rule, detail: impl Into<String>) -> ScenarioError {
        let detail = detail.into();
        ScenarioError::RuleBroken { rule, detail }
    }

    /// An expectation of the script is not met.
    pub(crate) fn unmet(detail: impl Into<String>) -> ScenarioError {
        ScenarioError::Unmet(detail.into())
    }

    /// Adds the line of the script in which the cause lies.
    pub(crate) fn at_line(self, line: usize) -> ScenarioError {
        let source = Box::new(self);
        ScenarioError::AtLine { line, source }
    }

    /// Adds the simulated time.
    pub(crate) fn at_time(self, time: Micros) -> ScenarioError {
        let source = Box::new(self);
        ScenarioError::AtTime { time, source }
    }
}

/// The outcome of a step of a scenario.
pub(crate) type StepResult<T = ()> = Result<T, ScenarioError>;
