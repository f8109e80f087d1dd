//! Admission of submissions: checks that the fields are valid, that the job's record fits the key-value store, and
//! that the job can ever run.

use crate::settings::Settings;
use grebewood_wire::http::{to_value, MachineType, Shape, Submission};
use grebewood_wire::json_size;
use grebewood_wire::records::JobRecord;
use thiserror::Error;

/// Tolerance for comparisons of resource amounts.
pub const RESOURCE_TOLERANCE: f64 = 1e-6;

/// Reason for rejecting a submission.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SubmissionRejection {
    /// Invalid field; answered with status 400.
    #[error("{0}")]
    Invalid(String),
    /// Job that can never run; answered with status 422.
    #[error("{0}")]
    Impossible(String),
}

/// Checks a submission's own fields.
pub fn check_fields(submission: &Submission) -> Result<(), SubmissionRejection> {
    match submission.invalid_field() {
        Some(why) => Err(SubmissionRejection::Invalid(why)),
        None => Ok(()),
    }
}

/// Checks that the job's record fits into a value of the key-value store, which holds up to `value_bytes` bytes.
/// Without this check the store would refuse a larger record every time, and each response would ask the user to
/// retry.
pub fn check_size(submission: &Submission, value_bytes: usize) -> Result<(), SubmissionRejection> {
    let record = JobRecord {
        spec: submission.clone(),
        accepted_us: u64::MAX,
    };
    match json_size(&to_value(&record)) > value_bytes {
        true => Err(SubmissionRejection::Invalid(
            "the job is too long to be kept".into(),
        )),
        false => Ok(()),
    }
}

/// Returns whether one task of the job fits the machine type, and whether the job permits the type and one of its
/// zones.
pub fn task_fits_machine_type(submission: &Submission, machine_type: &MachineType) -> bool {
    submission
        .machine_types
        .as_ref()
        .is_none_or(|permitted| permitted.contains(&machine_type.name))
        && submission
            .zone
            .as_ref()
            .is_none_or(|zone| machine_type.zones.contains(zone))
        && submission.cpus <= machine_type.cpus + RESOURCE_TOLERANCE
        && submission.gpus <= machine_type.gpus + RESOURCE_TOLERANCE
        && submission.memory_gb <= machine_type.memory_gb + RESOURCE_TOLERANCE
}

/// Checks whether the job can ever run.
pub fn check_possible(
    submission: &Submission,
    settings: &Settings,
    catalogue: &[MachineType],
) -> Result<(), SubmissionRejection> {
    let impossible = |why: String| Err(SubmissionRejection::Impossible(why));
    let Some(team) = settings.teams.get(&submission.team) else {
        return impossible(format!("owner: no team {:?}", submission.team));
    };
    // Tasks of a batch may run one after the other; those of other shapes run together.
    let concurrent_tasks = match Shape::of(submission) {
        Some(Shape::Batch) => 1.0,
        _ => submission.tasks as f64,
    };
    if submission.cpus * concurrent_tasks > team.cpus_max + RESOURCE_TOLERANCE
        || submission.gpus * concurrent_tasks > team.gpus_max + RESOURCE_TOLERANCE
    {
        return impossible("the job needs more than the team's limit".into());
    }
    if !catalogue
        .iter()
        .any(|of| task_fits_machine_type(submission, of))
    {
        return impossible("a task fits no allowed machine type".into());
    }
    Ok(())
}
