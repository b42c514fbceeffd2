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
    /// Identifier of the job, chosen by its user; it makes a repeated submission idempotent.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Class of the job, to which service-level objectives apply.
    #[serde(rename = "roster")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Scheduling priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
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
    /// Image that a machine must hold before a task runs.
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
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread_over_zones: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "loaner")]
    pub allow_spot: bool,
    /// The owner's estimate of the run time of a task, in seconds.
    #[serde(rename = "expect_s")]
    pub estimated_run_time_s: f64,
    /// Interval between the checkpoints of a running task, in seconds; 0: no checkpoints.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs for saving a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stow_s")]
    pub checkpoint_save_time_s: f64,
    /// Time from the submission until the job should be complete, in seconds.
    #[serde(rename = "due_s", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list for which `null` stands for the empty one.
fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let list: Option<Vec<JobId>> = Option::deserialize(deserializer)?;
    Ok(list.unwrap_or_default())
}

/// Kind of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// Gang scheduling: all tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Scheduling priority; the variants are ordered from the lowest to the highest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Runs when nothing else waits.
    #[serde(rename = "idle")]
    Low,
    /// The default.
    #[serde(rename = "standard")]
    Normal,
    /// Before [`Priority::Normal`].
    #[serde(rename = "urgent")]
    High,
    /// Before all others.
    #[serde(rename = "production")]
    Production,
}

/// Why a submission is refused. The texts are part of the response to the user.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The body is not JSON of the expected form.
    #[error("not a submission: {0}")]
    Json(#[from] serde_json::Error),
    /// The value of a field is outside its range.
    #[error("`{field}` is out of its range")]
    OutOfRange {
        /// Name of the field on the wire.
        field: &'static str,
    },
}

impl JobSpec {
    /// Parses a submission and validates every field. A dependency that is named several
    /// times is kept once.
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
    /// Accepted; no task is running.
    #[serde(rename = "pending")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "aborted")]
    Cancelled,
}

impl JobStage {
    /// Whether the job can't leave this stage any more.
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
    /// Its lifecycle stage.
    pub stage: JobStage,
    /// Number of tasks that are done; absent if not known to the controller.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of tasks that are running; absent likewise.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// Body of a response with an error status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Human-readable reason.
    pub error: String,
}

#[cfg(test)]
mod tests;
