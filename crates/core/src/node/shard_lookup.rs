//! Finds the shard that holds a job.

use super::Node;
use crate::records::ShardId;
use crate::shard::{RecoveryState, Shard};
use forkshift_wire::JobId;
use std::collections::BTreeMap;

impl Node {
    /// The active shard that holds an unfinished job, if it is held here.
    pub(crate) fn active_shard_of_mut(&mut self, id: &JobId) -> Option<&mut Shard> {
        active_shard_of_mut(&mut self.shards, id)
    }
}

/// The active shard that holds an unfinished job.
pub(crate) fn active_shard_of<'a>(
    shards: &'a BTreeMap<ShardId, Shard>,
    id: &JobId,
) -> Option<&'a Shard> {
    let mut active = shards
        .values()
        .filter(|shard| shard.recovery_state == RecoveryState::Active);
    active.find(|shard| shard.jobs.contains_key(id))
}

/// The active shard that holds an unfinished job, to be changed.
pub(crate) fn active_shard_of_mut<'a>(
    shards: &'a mut BTreeMap<ShardId, Shard>,
    id: &JobId,
) -> Option<&'a mut Shard> {
    let mut active = shards
        .values_mut()
        .filter(|shard| shard.recovery_state == RecoveryState::Active);
    active.find(|shard| shard.jobs.contains_key(id))
}
