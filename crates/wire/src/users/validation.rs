//! Validation of the fields of a submission.

use super::{JobSpec, SubmissionError};
use crate::ids::JobId;

/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;
/// Exclusive upper bound of resources, sizes and times, in the unit of the field.
const AMOUNT_LIMIT: f64 = 1e9;
/// Maximum length of the name of a class, a team, an image or a machine type, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// The result of validating one field.
struct FieldCheck {
    /// Name of the field on the wire.
    field: &'static str,
    is_valid: bool,
}

/// Validates all fields.
///
/// # Errors
///
/// [`SubmissionError::OutOfRange`], for the first field that is out of its range, in the order
/// of [`field_checks`].
pub(super) fn validate(spec: &JobSpec) -> Result<(), SubmissionError> {
    let checks = field_checks(spec);
    match checks.into_iter().find(|check| !check.is_valid) {
        Some(FieldCheck { field, .. }) => Err(SubmissionError::OutOfRange { field }),
        None => Ok(()),
    }
}

fn field_checks(spec: &JobSpec) -> [FieldCheck; 15] {
    let check = |field, is_valid| FieldCheck { field, is_valid };
    [
        check("uid", is_job_id(&spec.id)),
        check("awaits", spec.dependencies.iter().all(is_job_id)),
        check("roster", is_name(&spec.class)),
        check("crew", is_name(&spec.team)),
        check("shifts", (1..=MAX_TASKS_PER_JOB).contains(&spec.tasks)),
        check("cpus", is_amount(spec.cpus)),
        check("accelerators", is_amount(spec.gpus)),
        check("mem_gb", is_amount(spec.memory_gb)),
        check("kit", is_name(&spec.image)),
        check("image_gb", is_amount(spec.image_gb)),
        check("expect_s", is_amount(spec.estimated_run_time_s)),
        check("bookmark_s", is_amount(spec.checkpoint_interval_s)),
        check("stow_s", is_amount(spec.checkpoint_save_time_s)),
        check("due_s", spec.deadline_s.is_none_or(is_amount)),
        check("rigs", spec.machine_types.as_deref().is_none_or(are_names)),
    ]
}

fn is_job_id(id: &JobId) -> bool {
    JobId::parse(id.as_str()).is_some()
}

fn is_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..AMOUNT_LIMIT).contains(&amount)
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn are_names(names: &[String]) -> bool {
    !names.is_empty() && names.iter().all(|name| is_name(name))
}
