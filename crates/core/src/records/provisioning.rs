//! Records of intents to provision machines.

use super::ShardId;
use serde::{Deserialize, Serialize};

/// An intent to provision machines. It is written before the request to the cloud, so that a new
/// leader can repeat the request and continue to record its result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningIntent {
    /// The number of machines that each shard needs.
    #[serde(rename = "parts")]
    pub machines_per_shard: Vec<(ShardId, u32)>,
    /// Name of the requested machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Name of the requested zone.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// Number of provisioned machines whose records are written. The store limits the writes
    /// in a transaction, so the result of a large request is written in several transactions,
    /// each of which updates this count.
    #[serde(default, skip_serializing_if = "is_zero_count")]
    #[serde(rename = "placed")]
    pub recorded_count: u32,
}

impl ProvisioningIntent {
    /// The total number of machines requested.
    pub fn count(&self) -> u32 {
        self.machines_per_shard.iter().map(|(_, count)| count).sum()
    }

    /// The shard of each requested machine, in round-robin order: every shard occurs as often
    /// as it needs machines.
    pub fn shards_in_turn(&self) -> Vec<ShardId> {
        let rounds = self
            .machines_per_shard
            .iter()
            .map(|(_, count)| *count)
            .max();
        let shards_of_round = |round: u32| {
            let remaining = self
                .machines_per_shard
                .iter()
                .filter(move |(_, count)| round < *count);
            remaining.map(|(shard_id, _)| *shard_id)
        };
        (0..rounds.unwrap_or(0)).flat_map(shards_of_round).collect()
    }
}

fn is_zero_count(count: &u32) -> bool {
    *count == 0
}
