//! Messages between users and controllers: submissions and status queries.

mod validation;

use crate::ids::JobId;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

pub use validation::MAX_TASKS_PER_JOB;

/// A job as its user submits it.
///
/// The name of this type is shown to users: a refusal may contain `expected struct JobSpec`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier of the job, chosen by its user. A repeated submission with the same
    /// identifier is idempotent.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Class of the job. Service-level objectives are declared for classes.
    #[serde(rename = "roster")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// Whether the job is an array, a gang or a service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Scheduling priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`MAX_TASKS_PER_JOB`].
    #[serde(rename = "shifts")]
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// Image that a machine must hold before it runs a task of the job.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "rigs", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; none: any.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "same_place")]
    pub require_same_zone: bool,
    /// Whether the tasks are spread: at most half of them, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread_over_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub allow_spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    #[serde(rename = "expect_s")]
    pub estimated_run_time_s: f64,
    /// Interval between the checkpoints of a running task, in seconds; 0: no checkpoints.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs for saving a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_time_s: f64,
    /// Time from the submission until the job should be complete, in seconds; none: the job has
    /// no deadline.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts. Each job is listed once.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list; `null` is the empty list.
fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let list: Option<Vec<JobId>> = Option::deserialize(deserializer)?;
    Ok(list.unwrap_or_default())
}

/// How the tasks of a job are scheduled.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// The tasks are independent of each other.
    #[serde(rename = "batch")]
    Array,
    /// Gang scheduling: all tasks run at the same time, or none runs.
    #[serde(rename = "group")]
    Gang,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Scheduling priority; the variants are ordered from the lowest to the highest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Below [`Priority::Normal`]: for tasks that run when no others are pending.
    #[serde(rename = "idle")]
    Low,
    /// The usual priority.
    #[serde(rename = "standard")]
    Normal,
    /// Above [`Priority::Normal`].
    #[serde(rename = "urgent")]
    High,
    /// Above all other priorities.
    #[serde(rename = "production")]
    Production,
}

/// Why a submission is refused. The messages are part of the response to the user.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON of the expected form.
    #[error("not a submission: {0}")]
    Json(#[from] serde_json::Error),
    /// The value of a field is outside of its range.
    #[error("`{field}` is out of its range")]
    OutOfRange {
        /// Name of the field on the wire.
        field: &'static str,
    },
}

impl JobSpec {
    /// Parses a submission in JSON and validates all fields. Duplicate dependencies are
    /// removed.
    ///
    /// # Errors
    ///
    /// [`SubmissionError`], for the first field that is refused.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let mut spec: Self = serde_json::from_slice(body)?;
        validation::validate(&spec)?;
        let mut seen = BTreeSet::new();
        spec.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(spec)
    }
}

/// Lifecycle stage of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobStage {
    /// The job was accepted, and no task is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by its user.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobStage {
    /// Whether a job in this stage never changes its stage again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// Response to a status query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Lifecycle stage of the job.
    pub stage: JobStage,
    /// Number of tasks that have completed; none if the controller does not know it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of tasks that are running; none if the controller does not know it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// Body of a response with an error status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable reason for the error.
    pub error: String,
}

#[cfg(test)]
mod tests;
