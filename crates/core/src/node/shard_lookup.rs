//! Lookup of the active shard that contains an unfinished job.

use super::Node;
use crate::records::ShardId;
use crate::shard::job::Job;
use crate::shard::{RecoveryState, Shard};
use forkshift_wire::JobId;
use std::collections::BTreeMap;

impl Node {
    /// The active shard held here that contains an unfinished job, if there is one.
    pub(crate) fn active_shard_of_mut(&mut self, id: &JobId) -> Option<&mut Shard> {
        active_shard_of_mut(&mut self.shards, id)
    }

    /// An unfinished job of an active shard held here, if it is one.
    pub(crate) fn held_job(&self, id: &JobId) -> Option<&Job> {
        active_shard_of(&self.shards, id).and_then(|shard| shard.jobs.get(id))
    }
}

/// The active shard that contains an unfinished job. Shards that are still loading are
/// skipped, as their set of jobs is incomplete.
pub(crate) fn active_shard_of<'a>(
    shards: &'a BTreeMap<ShardId, Shard>,
    id: &JobId,
) -> Option<&'a Shard> {
    let mut active = shards
        .values()
        .filter(|shard| shard.recovery_state == RecoveryState::Active);
    active.find(|shard| shard.jobs.contains_key(id))
}

/// Like [`active_shard_of`], with mutable access.
pub(crate) fn active_shard_of_mut<'a>(
    shards: &'a mut BTreeMap<ShardId, Shard>,
    id: &JobId,
) -> Option<&'a mut Shard> {
    let mut active = shards
        .values_mut()
        .filter(|shard| shard.recovery_state == RecoveryState::Active);
    active.find(|shard| shard.jobs.contains_key(id))
}
