//! Jobs.

use super::{is_zero_ms, ShardId};
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The permanent record of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// As it was submitted.
    pub spec: JobSpec,
    /// The shard that it belongs to.
    #[serde(rename = "share")]
    pub shard: ShardId,
    /// `pending`, or its final stage.
    pub stage: JobStage,
}

/// The head of an unfinished job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobHeadRecord {
    /// As it was submitted.
    pub spec: JobSpec,
    /// Whether its cancellation was confirmed to its user.
    #[serde(default)]
    pub cancelled: bool,
    /// Time of day at which the cancellation was first requested, in milliseconds since
    /// 1970: the deadline for its tasks outlives the holder that confirmed it.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    #[serde(rename = "cancelled_at")]
    pub cancelled_at_ms: u64,
    /// Time of day at which it was submitted, in milliseconds since 1970.
    #[serde(default)]
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// Tasks in a block, if that is not the number that the first release
    /// computes from the settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "layout")]
    pub tasks_per_block: Option<u32>,
    /// Its first tasks.
    #[serde(default)]
    pub block: TaskBlockRecord,
}

/// A block of an unfinished job's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskBlockRecord {
    /// Number of the next attempt; none is used twice.
    #[serde(default)]
    #[serde(rename = "next")]
    pub next_attempt: u64,
    /// Completed tasks, as half-open ranges.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Tasks that may be on a machine: task, attempt, machine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(u32, u64, MachineId)>,
}
