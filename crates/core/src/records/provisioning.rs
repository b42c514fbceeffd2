//! Intents to provision machines.

use super::ShardId;
use serde::{Deserialize, Serialize};

/// An intent to provision machines, written before the request to the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningIntent {
    /// Shards, and how many machines each of them needs.
    #[serde(rename = "parts")]
    pub machines_per_shard: Vec<(ShardId, u32)>,
    /// Machine type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// Machines that have their records by now. A transaction takes few
    /// changes, so the result of a large request is written in parts, each
    /// together with this count.
    #[serde(default, skip_serializing_if = "is_zero_count")]
    #[serde(rename = "placed")]
    pub recorded_count: u32,
}

impl ProvisioningIntent {
    /// How many machines it requests.
    pub fn count(&self) -> u32 {
        self.machines_per_shard.iter().map(|(_, count)| count).sum()
    }

    /// The shards that get its machines, in turn, each as often as it needs one.
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
