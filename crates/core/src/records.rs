//! Records in the key-value store, and the keys under which they are stored.
//!
//! Records that every controller must know have keys with the prefix `c/`, so that a single
//! watch delivers all changes to them in order. Permanent records of jobs are below `job/`,
//! and the state of unfinished jobs below `live/<shard>/`. The serde names are those of
//! earlier releases, whose records must stay readable.

mod cluster;
mod demand;
mod jobs;
mod keys;
mod machines;
mod provisioning;

pub use cluster::{LeaderRecord, NodeRecord, ShardId, ShardRecord};
pub use demand::{DemandRecord, ShapeRecord};
pub use jobs::{JobHeadRecord, JobRecord, TaskBlockRecord};
pub use keys::{
    cancellation_key, demand_key, job_key, machine_key, machine_type_key, node_key,
    provisioning_intent_key, shard_key, unfinished_job_key, unfinished_jobs_prefix, CLUSTER_PREFIX,
    EPOCH_KEY, FINALIZED_FORMAT_KEY, JOB_PREFIX, LEADER_KEY, UNFINISHED_JOBS_PREFIX,
};
pub use machines::{capacity_of, MachineRecord};
pub use provisioning::ProvisioningIntent;

fn is_zero_ms(time_ms: &u64) -> bool {
    *time_ms == 0
}

#[cfg(test)]
mod tests;
