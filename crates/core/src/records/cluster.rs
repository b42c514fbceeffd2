//! Shards and the controllers that hold them.

use crate::membership::format::FormatVersion;
use forkshift_wire::NodeName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of a shard, which is a set of teams and a set of machines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A controller that is alive; the record is bound to its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its incarnation, which differs with every start.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// It receives no heartbeats of workers, and should be assigned no shard.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "blind")]
    pub receives_no_heartbeats: bool,
    /// The newest format that it reads and writes.
    #[serde(default, skip_serializing_if = "FormatVersion::is_first")]
    pub format: FormatVersion,
}

/// The leader; the record is bound to its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: NodeName,
    /// The controller's incarnation.
    #[serde(rename = "inc")]
    pub incarnation: u64,
}

/// The holder of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller.
    pub holder: NodeName,
    /// The controller's incarnation.
    #[serde(rename = "inc")]
    pub holder_incarnation: u64,
    /// Grows whenever the holder changes.
    pub epoch: u64,
    /// The controller that the holder should hand it over to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub handover_to: Option<NodeName>,
}
