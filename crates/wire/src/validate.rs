//! Checks of what users and agents send. Errors name the fields by the protocol's words.

use crate::http::{Heartbeat, Shape, Submission};
use thiserror::Error;

/// Most tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;
/// Longest name, in bytes.
const MAX_NAME: usize = 150;
/// Largest amount of anything that is measured.
const MAX_AMOUNT: f64 = 1e9;
/// Most machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Most digits of a job id.
const MAX_ID_DIGITS: usize = 40;

/// A field of a message that has an invalid value. The text is sent in error responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The field's name in the protocol.
    pub field: &'static str,
    /// Why its value is invalid.
    pub reason: &'static str,
}

/// Whether `id` has the form of a job id: `req-` and digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME
}

fn check(valid: bool, field: &'static str, reason: &'static str) -> Result<(), InvalidField> {
    if valid {
        Ok(())
    } else {
        Err(InvalidField { field, reason })
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), InvalidField> {
    check(is_valid_name(name), field, "empty or too long")
}

fn check_amount(field: &'static str, amount: f64) -> Result<(), InvalidField> {
    let valid = (0.0..=MAX_AMOUNT).contains(&amount);
    check(valid, field, "negative or too large")
}

impl Submission {
    /// Checks each field by itself; the error is the first invalid one.
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

    fn check_constraints(&self) -> Result<(), InvalidField> {
        let machine_types = self.machine_types.as_deref().unwrap_or_default();
        let valid = machine_types.len() <= MAX_MACHINE_TYPES
            && machine_types.iter().all(|name| is_valid_name(name));
        check(valid, "builds", "too many or invalid names")?;
        self.zone
            .as_deref()
            .map_or(Ok(()), |zone| check_name("yard", zone))
    }

    /// The text of the error of [`Submission::validate`], if there is one.
    pub fn invalid_field(&self) -> Option<String> {
        self.validate().err().map(|error| error.to_string())
    }
}

impl Heartbeat {
    /// What is wrong with a field, if anything is.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let names = [&self.machine, &self.zone, &self.machine_type];
        let valid = names.iter().all(|name| is_valid_name(name)) && self.incarnation > 0;
        (!valid).then_some("perch, yard, build or tenure is invalid")
    }
}
