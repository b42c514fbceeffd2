//! Users and controllers: submissions and questions about them.

use crate::ids::JobId;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by its user.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Class of jobs that it belongs to.
    #[serde(rename = "roster")]
    pub class: String,
    /// Team that pays.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its priority.
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
    /// Memory of each task.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// The image that a machine needs first.
    #[serde(rename = "kit")]
    pub image: String,
    /// The image's size.
    pub image_gb: f64,
    /// Allowed machine types; none: any.
    #[serde(rename = "rigs", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expect_s")]
    pub estimate_s: f64,
    /// Progress after which a running task saves by itself; 0: never.
    #[serde(rename = "bookmark_s")]
    pub checkpoint_s: f64,
    /// Time a task needs for saving when it is stopped.
    #[serde(rename = "stow_s")]
    pub save_s: f64,
    /// When the job should be complete, from its submission on.
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

fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    let list: Option<Vec<JobId>> = Option::deserialize(deserializer)?;
    Ok(list.unwrap_or_default())
}

/// The kinds of jobs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time, or none does.
    #[serde(rename = "group")]
    Gang,
    /// Tasks run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priorities, the highest last.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Priority {
    /// Waits for everything else.
    #[serde(rename = "idle")]
    Low,
    /// The usual one.
    #[serde(rename = "standard")]
    Normal,
    /// Before the usual one.
    #[serde(rename = "urgent")]
    High,
    /// Before everything else.
    #[serde(rename = "production")]
    Production,
}

/// The most tasks that a job may have.
pub const TASKS_MOST: u32 = 100_000;

/// What a submission cannot be read for.
#[derive(Debug, thiserror::Error)]
pub enum BadSubmission {
    /// Not the JSON that is expected.
    #[error("not a submission: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is out of its range.
    #[error("`{0}` is out of its range")]
    Range(&'static str),
}

impl JobSpec {
    /// Reads a submission and checks every field. A dependency that is named
    /// several times counts once.
    pub fn parse(body: &[u8]) -> Result<Self, BadSubmission> {
        let mut spec: Self = serde_json::from_slice(body)?;
        spec.check()?;
        let mut seen = BTreeSet::new();
        spec.dependencies.retain(|id| seen.insert(id.clone()));
        Ok(spec)
    }

    fn check(&self) -> Result<(), BadSubmission> {
        let amount = |x: f64| x.is_finite() && (0.0..1e9).contains(&x);
        let text = |s: &str| !s.is_empty() && s.len() <= 200;
        let is_id = |id: &JobId| JobId::parse(id.as_str()).is_some();
        let rules: [(&'static str, bool); 15] = [
            ("uid", is_id(&self.id)),
            ("awaits", self.dependencies.iter().all(is_id)),
            ("roster", text(&self.class)),
            ("crew", text(&self.team)),
            ("shifts", (1..=TASKS_MOST).contains(&self.tasks)),
            ("cpus", amount(self.cpus)),
            ("accelerators", amount(self.gpus)),
            ("mem_gb", amount(self.memory_gb)),
            ("kit", text(&self.image)),
            ("image_gb", amount(self.image_gb)),
            ("expect_s", amount(self.estimate_s)),
            ("bookmark_s", amount(self.checkpoint_s)),
            ("stow_s", amount(self.save_s)),
            ("due_s", self.deadline_s.is_none_or(amount)),
            (
                "rigs",
                self.types
                    .as_ref()
                    .is_none_or(|t| !t.is_empty() && t.iter().all(|n| text(n))),
            ),
        ];
        match rules.iter().find(|(_, good)| !good) {
            Some((field, _)) => Err(BadSubmission::Range(field)),
            None => Ok(()),
        }
    }
}

/// Where a job stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum JobStage {
    /// Accepted; no task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Some task runs.
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
    /// Whether this is the job's last stage.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }
}

/// Answer about a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// Where it stands.
    pub stage: JobStage,
    /// Tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Tasks that run.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

/// Body of an answer that refuses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub error: String,
}

#[cfg(test)]
mod tests;
