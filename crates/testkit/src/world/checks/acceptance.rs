//! Check that no submission is accepted that must be refused.

use super::super::team_limits::RESOURCE_TOLERANCE;
use super::super::World;
use crate::error::{ScenarioError, StepResult};
use grebewood_wire::http::MachineType;
use grebewood_wire::{from_cbor, Value};
use std::collections::BTreeMap;

/// Largest number of tasks of a job.
const MAX_TASKS: i128 = 100_000;

/// Required fields that are texts.
const TEXTS: [&str; 3] = ["uid", "workclass", "bundle"];
/// Required fields that are booleans.
const FLAGS: [&str; 3] = ["one_zone", "spread", "loaner"];
/// Required fields that are non-negative numbers.
const AMOUNTS: [&str; 4] = ["pull_gb", "expected_s", "savepoint_s", "flush_s"];
/// Values of `shape`.
const SHAPES: [&str; 3] = ["batch", "gang", "daemon"];
/// Values of `precedence`.
const PRIORITIES: [&str; 4] = ["prod", "high", "normal", "idle"];

/// Reason why a submission must be refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum RejectionReason {
    #[error("the body is not a map")]
    NotAMap,
    #[error("{0} is missing or invalid")]
    MissingOrInvalid(&'static str),
    #[error("{0} is unknown")]
    Unknown(&'static str),
    #[error("builds is invalid")]
    InvalidMachineTypes,
    #[error("its team is unknown")]
    UnknownTeam,
    #[error("it needs more than its team's limit")]
    BeyondLimit,
    #[error("a task fits no machine type")]
    FitsNoMachineType,
}

/// Fields of a submission as they were sent, by name.
struct Fields(BTreeMap<String, Value>);

impl Fields {
    fn text(&self, key: &'static str) -> Result<&str, RejectionReason> {
        match self.0.get(key) {
            Some(Value::Text(text)) if !text.is_empty() => Ok(text),
            _ => Err(RejectionReason::MissingOrInvalid(key)),
        }
    }

    fn amount(&self, key: &'static str) -> Result<f64, RejectionReason> {
        match self.0.get(key) {
            Some(Value::Integer(number)) if i128::from(*number) >= 0 => {
                Ok(i128::from(*number) as f64)
            }
            Some(Value::Float(number)) if number.is_finite() && *number >= 0.0 => Ok(*number),
            _ => Err(RejectionReason::MissingOrInvalid(key)),
        }
    }

    fn is_absent(&self, key: &str) -> bool {
        matches!(self.0.get(key), None | Some(Value::Null))
    }

    fn optional_text(&self, key: &'static str) -> Result<Option<&str>, RejectionReason> {
        match self.is_absent(key) {
            true => Ok(None),
            false => self.text(key).map(Some),
        }
    }

    /// Returns the text of a field that must be one of these words.
    fn word(&self, key: &'static str, known: &[&str]) -> Result<&str, RejectionReason> {
        let word = self.text(key)?;
        match known.contains(&word) {
            true => Ok(word),
            false => Err(RejectionReason::Unknown(key)),
        }
    }

    fn tasks(&self) -> Result<f64, RejectionReason> {
        match self.0.get("shards") {
            Some(Value::Integer(number)) if (1..=MAX_TASKS).contains(&i128::from(*number)) => {
                Ok(i128::from(*number) as f64)
            }
            _ => Err(RejectionReason::MissingOrInvalid("shards")),
        }
    }

    fn machine_types(&self) -> Result<Option<&Vec<Value>>, RejectionReason> {
        match self.0.get("builds") {
            None | Some(Value::Null) => Ok(None),
            Some(Value::Array(names)) => Ok(Some(names)),
            Some(_) => Err(RejectionReason::InvalidMachineTypes),
        }
    }

    /// Checks the fields that the other checks do not read.
    fn check_independent_fields(&self) -> Result<(), RejectionReason> {
        for key in TEXTS {
            self.text(key)?;
        }
        for key in FLAGS {
            if !matches!(self.0.get(key), Some(Value::Bool(_))) {
                return Err(RejectionReason::MissingOrInvalid(key));
            }
        }
        for key in AMOUNTS {
            self.amount(key)?;
        }
        if !self.is_absent("due_s") {
            self.amount("due_s")?;
        }
        Ok(())
    }
}

/// Resources and placement that each task of a submission needs.
struct TaskNeeds<'a> {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    machine_types: Option<&'a Vec<Value>>,
    zone: Option<&'a str>,
}

impl<'a> TaskNeeds<'a> {
    fn read(fields: &'a Fields) -> Result<TaskNeeds<'a>, RejectionReason> {
        Ok(TaskNeeds {
            cpus: fields.amount("vcpus")?,
            gpus: fields.amount("accelerators")?,
            memory_gb: fields.amount("memory_gb")?,
            machine_types: fields.machine_types()?,
            zone: fields.optional_text("yard")?,
        })
    }

    fn fits(&self, machine_type: &MachineType) -> bool {
        let name = Value::Text(machine_type.name.clone());
        let mut zones = machine_type.zones.iter();
        self.machine_types.is_none_or(|names| names.contains(&name))
            && self
                .zone
                .is_none_or(|wanted| zones.any(|zone| zone == wanted))
            && self.cpus <= machine_type.cpus + RESOURCE_TOLERANCE
            && self.gpus <= machine_type.gpus + RESOURCE_TOLERANCE
            && self.memory_gb <= machine_type.memory_gb + RESOURCE_TOLERANCE
    }
}

impl World {
    /// Checks an accepted submission: it must have all required fields, and be able to run.
    pub(super) fn check_acceptable(&self, body: &[u8]) -> StepResult {
        self.check_submission(body).map_err(|refusal| {
            ScenarioError::Protocol(format!(
                "a submission was accepted that must be refused: {refusal}"
            ))
        })
    }

    /// Checks the fields of a submission under the names that they have in the protocol.
    fn check_submission(&self, body: &[u8]) -> Result<(), RejectionReason> {
        let fields = from_cbor(body).map_err(|_| RejectionReason::NotAMap)?;
        let fields = Fields(fields);
        fields.check_independent_fields()?;
        let shape = fields.word("shape", &SHAPES)?;
        fields.word("precedence", &PRIORITIES)?;
        let tasks = fields.tasks()?;
        let needs = TaskNeeds::read(&fields)?;
        let teams = &self.configuration.settings.teams;
        let team = teams.get(fields.text("owner")?);
        let team = team.ok_or(RejectionReason::UnknownTeam)?;
        let concurrent_tasks = if shape == "batch" { 1.0 } else { tasks };
        let exceeds_limit = needs.cpus * concurrent_tasks > team.cpus_max + RESOURCE_TOLERANCE
            || needs.gpus * concurrent_tasks > team.gpus_max + RESOURCE_TOLERANCE;
        if exceeds_limit {
            return Err(RejectionReason::BeyondLimit);
        }
        let mut machine_types = self.cloud.machine_types.iter();
        match machine_types.any(|machine_type| needs.fits(machine_type)) {
            true => Ok(()),
            false => Err(RejectionReason::FitsNoMachineType),
        }
    }
}
