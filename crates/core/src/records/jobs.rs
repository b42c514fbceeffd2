//! Records of jobs: the permanent record, and the head and task blocks of an unfinished job.

use super::{is_zero_ms, ShardId};
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The permanent record of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification as submitted.
    pub spec: JobSpec,
    /// The shard that the job belongs to.
    #[serde(rename = "share")]
    pub shard: ShardId,
    /// `pending` until the job ends, then its final stage.
    pub stage: JobStage,
}

/// The head of an unfinished job: its specification, its cancellation, and the first block of
/// its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobHeadRecord {
    /// The specification as submitted.
    pub spec: JobSpec,
    /// Whether the job's cancellation was confirmed to its user.
    #[serde(default)]
    pub cancelled: bool,
    /// Time of day at which the cancellation was first requested, in milliseconds since 1970; 0
    /// if it was not. The time is stored because the deadline for stopping the job's tasks
    /// outlives the holder that confirmed the cancellation.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    #[serde(rename = "cancelled_at")]
    pub cancelled_at_ms: u64,
    /// Time of day at which the job was submitted, in milliseconds since 1970.
    #[serde(default)]
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// Number of tasks in a block; if absent, the number that the first release computes from
    /// the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "layout")]
    pub tasks_per_block: Option<u32>,
    /// Block 0, with the job's first tasks.
    #[serde(default)]
    pub block: TaskBlockRecord,
}

/// The state of a block of an unfinished job's tasks. Jobs are divided into blocks because the
/// store limits the size of a value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskBlockRecord {
    /// Highest attempt number that was given to a task of the block; 0 if none was. The next
    /// attempt gets a higher number, so that no number is used twice.
    #[serde(default)]
    #[serde(rename = "next")]
    pub last_attempt: u64,
    /// Completed tasks, as half-open ranges of task indices.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Tasks that are bound to a machine and may run there: task index, attempt, machine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(u32, u64, MachineId)>,
}
