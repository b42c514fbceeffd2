//! Keys under which records are stored.

use super::ShardId;
use forkshift_wire::{JobId, MachineId, NodeName};

/// Prefix of the keys that every controller watches.
pub const CLUSTER: &str = "c/";
/// Key of the counter that epochs come from.
pub const EPOCH_KEY: &str = "c/epoch";
/// Key of the format that all controllers know, once that is certain.
pub const FINALIZED_FORMAT_KEY: &str = "c/format";
/// Key of the leader's record.
pub const LEADER_KEY: &str = "c/leader";

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

/// Key of a provisioning intent, by the name of its request.
pub fn provisioning_intent_key(request: &str) -> String {
    format!("c/charter/{request}")
}

/// Key of a machine type.
pub fn machine_type_key(name: &str) -> String {
    format!("c/rig/{name}")
}

/// Key of a shard's unmet demand.
pub fn demand_key(shard_id: ShardId) -> String {
    format!("c/demand/{shard_id}")
}

/// Key of a cancellation that waits for its shard's holder.
pub fn cancellation_key(id: &JobId) -> String {
    format!("c/abort/{id}")
}

/// Key of a job's permanent record.
pub fn job_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// Prefix of a shard's unfinished jobs.
pub fn unfinished_jobs_prefix(shard_id: ShardId) -> String {
    format!("live/{shard_id}/")
}

/// Key of a block of an unfinished job; block 0 is part of its head.
pub fn unfinished_job_key(shard_id: ShardId, id: &JobId, block: u32) -> String {
    if block == 0 {
        format!("live/{shard_id}/{id}")
    } else {
        format!("live/{shard_id}/{id}/{block}")
    }
}
