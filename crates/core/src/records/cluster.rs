//! Records of controllers, the leader, and the assignment of shards to controllers.

use crate::membership::format::FormatVersion;
use forkshift_wire::NodeName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a shard. A shard consists of the jobs of a set of teams and of a set of machines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The registration of a live controller. The store removes the record when the controller's
/// lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Identifies the start of the controller's process; no two starts have the same value.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// Whether the controller receives no heartbeats from workers, so that it should be
    /// assigned no shard.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "blind")]
    pub receives_no_heartbeats: bool,
    /// The newest format that the controller reads and writes.
    #[serde(default, skip_serializing_if = "FormatVersion::is_first")]
    pub format: FormatVersion,
}

/// The elected leader. The store removes the record when the leader's lease expires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that leads.
    pub node: NodeName,
    /// The leader's incarnation. A record of an earlier incarnation may be replaced.
    #[serde(rename = "inc")]
    pub incarnation: u64,
}

/// The assignment of a shard to the controller that holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that holds the shard.
    pub holder: NodeName,
    /// The incarnation of the holder to which the shard is assigned; any other incarnation
    /// must not use the shard.
    #[serde(rename = "inc")]
    pub holder_incarnation: u64,
    /// Increases with every assignment, also to the same holder. Fencing tokens derive from it.
    pub epoch: u64,
    /// The controller to which the holder should hand the shard over; none if no handover is
    /// requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub handover_to: Option<NodeName>,
}
