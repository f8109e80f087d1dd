//! Validation of messages from users and agents. Error texts name the fields by their names in the protocol.

use crate::http::{Heartbeat, Shape, Submission};
use thiserror::Error;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 150;
/// Maximum of any amount of resources, sizes in gigabytes or durations in seconds.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Maximum number of digits of a job id.
const MAX_ID_DIGITS: usize = 40;

/// Error: a field of a message has an invalid value. The text is sent in error responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// Name of the field in the protocol.
    pub field: &'static str,
    /// Reason why its value is invalid.
    pub reason: &'static str,
}

/// Returns whether `id` has the form of a job id: `req-` followed by digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Returns whether `name` is neither empty nor too long.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

/// Returns an error for the field unless its value is valid.
fn check(is_valid: bool, field: &'static str, reason: &'static str) -> Result<(), InvalidField> {
    if is_valid {
        Ok(())
    } else {
        Err(InvalidField { field, reason })
    }
}

/// Checks a field that holds a name.
fn check_name(field: &'static str, name: &str) -> Result<(), InvalidField> {
    check(is_valid_name(name), field, "empty or too long")
}

/// Checks a field that holds an amount.
fn check_amount(field: &'static str, amount: f64) -> Result<(), InvalidField> {
    let is_valid = (0.0..=MAX_AMOUNT).contains(&amount);
    check(is_valid, field, "negative or too large")
}

impl Submission {
    /// Checks each field by itself and returns the first invalid one as the error.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check(
            is_valid_job_id(&self.id),
            "uid",
            "not of the form req-000000",
        )?;
        check_name("workclass", &self.class)?;
        check_name("owner", &self.team)?;
        check_name("bundle", &self.image)?;
        check(
            Shape::of(self).is_some(),
            "shape",
            "not one of batch, gang and daemon",
        )?;
        check(
            (1..=MAX_TASKS).contains(&self.tasks),
            "shards",
            "not within 1 and 100000",
        )?;
        self.check_amounts()?;
        self.check_constraints()
    }

    /// Checks the fields that hold amounts.
    fn check_amounts(&self) -> Result<(), InvalidField> {
        check_amount("vcpus", self.cpus)?;
        check_amount("accelerators", self.gpus)?;
        check_amount("memory_gb", self.memory_gb)?;
        check_amount("pull_gb", self.image_gb)?;
        check_amount("expected_s", self.expected_s)?;
        check_amount("savepoint_s", self.checkpoint_interval_s)?;
        check_amount("flush_s", self.checkpoint_duration_s)?;
        check_amount("due_s", self.deadline_s.unwrap_or(0.0))
    }

    /// Checks the machine types and the zone that the job is restricted to.
    fn check_constraints(&self) -> Result<(), InvalidField> {
        let machine_types = self.machine_types.as_deref().unwrap_or_default();
        let is_valid = machine_types.len() <= MAX_MACHINE_TYPES
            && machine_types.iter().all(|name| is_valid_name(name));
        check(is_valid, "builds", "too many or invalid names")?;
        self.zone
            .as_deref()
            .map_or(Ok(()), |zone| check_name("yard", zone))
    }

    /// Returns the text of the error of [`Submission::validate`], if there is one.
    pub fn invalid_field(&self) -> Option<String> {
        self.validate().err().map(|error| error.to_string())
    }
}

impl Heartbeat {
    /// Returns the error text for an invalid field, if there is one.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let names = [&self.machine, &self.zone, &self.machine_type];
        let is_valid = names.iter().all(|name| is_valid_name(name)) && self.incarnation > 0;
        (!is_valid).then_some("perch, yard, build or tenure is invalid")
    }
}
