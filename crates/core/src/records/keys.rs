//! Keys of the records in the key-value store.

use super::ShardId;
use forkshift_wire::{JobId, MachineId, NodeName};

/// Prefix of the keys of cluster records, which every controller watches.
pub const CLUSTER_PREFIX: &str = "c/";
/// Key of the counter from which the epochs of shards are drawn.
pub const EPOCH_KEY: &str = "c/epoch";
/// Key of the finalized format version, which every configured controller supports. Absent
/// until the first finalization.
pub const FINALIZED_FORMAT_KEY: &str = "c/format";
/// Key of the leader's record.
pub const LEADER_KEY: &str = "c/leader";
/// Prefix of the keys of the jobs' permanent records.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of the unfinished jobs of all shards.
pub const UNFINISHED_JOBS_PREFIX: &str = "live/";

/// Key of a shard's record.
pub fn shard_key(shard_id: ShardId) -> String {
    format!("c/share/{shard_id}")
}

/// Key of a controller's record.
pub fn node_key(node: &NodeName) -> String {
    format!("c/node/{node}")
}

/// Key of a machine's record.
pub fn machine_key(id: &MachineId) -> String {
    format!("c/machine/{id}")
}

/// Key of a provisioning intent. `request` is the name that identifies its request to the cloud.
pub fn provisioning_intent_key(request: &str) -> String {
    format!("c/charter/{request}")
}

/// Key of a machine type's record.
pub fn machine_type_key(name: &str) -> String {
    format!("c/rig/{name}")
}

/// Key of a shard's unmet demand.
pub fn demand_key(shard_id: ShardId) -> String {
    format!("c/demand/{shard_id}")
}

/// Key of a requested cancellation that the holder of the job's shard has not processed yet.
pub fn cancellation_key(id: &JobId) -> String {
    format!("c/abort/{id}")
}

/// Key of a job's permanent record.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Prefix of the keys of a shard's unfinished jobs.
pub fn unfinished_jobs_prefix(shard_id: ShardId) -> String {
    format!("{UNFINISHED_JOBS_PREFIX}{shard_id}/")
}

/// Key of a block of an unfinished job. Block 0 is stored in the job's head, which has the key
/// without a block number.
pub fn unfinished_job_key(shard_id: ShardId, id: &JobId, block: u32) -> String {
    if block == 0 {
        format!("{UNFINISHED_JOBS_PREFIX}{shard_id}/{id}")
    } else {
        format!("{UNFINISHED_JOBS_PREFIX}{shard_id}/{id}/{block}")
    }
}
