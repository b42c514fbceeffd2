//! What is kept in the state service.
//!
//! Everything that all controllers must know lives below `c/`, so that one
//! watch shows all of it, in order. Jobs live below `job/` for ever, and
//! below `live/<shard>/` while they are unfinished.

use crate::membership::format::FormatVersion;
use forkshift_pools::account::MachineFacts;
use forkshift_pools::{Ended, Interval, Membership, PoolState};
use forkshift_sched::Resources;
use forkshift_wire::cloud::MachineType;
use forkshift_wire::users::{JobSpec, JobStage};
use forkshift_wire::{JobId, MachineId, NodeName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Prefix of all that every controller watches.
pub const CLUSTER: &str = "c/";
/// The counter that epochs come from.
pub const EPOCH: &str = "c/epoch";
/// The format that all controllers know, once that is certain.
pub const FINALIZED_FORMAT: &str = "c/format";
/// The leader's key.
pub const LEADER: &str = "c/leader";

/// A shard: a set of teams and a set of machines.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a machine of a type has.
pub fn capacity_of(t: &MachineType) -> Resources {
    Resources::new(t.cpus, t.gpus, t.memory_gb)
}

/// Key of a shard's record.
pub fn shard_key(k: ShardId) -> String {
    format!("c/share/{k}")
}

/// Key of a controller's record.
pub fn node_key(node: &NodeName) -> String {
    format!("c/node/{node}")
}

/// Key of a machine's record.
pub fn machine_key(id: &MachineId) -> String {
    format!("c/machine/{id}")
}

/// Key of a rental intent.
pub fn provisioning_intent_key(request: &str) -> String {
    format!("c/charter/{request}")
}

/// Key of a machine type.
pub fn type_key(name: &str) -> String {
    format!("c/rig/{name}")
}

/// Key of a shard's unmet demand.
pub fn demand_key(k: ShardId) -> String {
    format!("c/demand/{k}")
}

/// Key of a cancellation that waits for its shard's holder.
pub fn cancellation_key(id: &JobId) -> String {
    format!("c/abort/{id}")
}

/// Key of a job's lasting record.
pub fn job_key(id: &JobId) -> String {
    format!("job/{id}")
}

/// Prefix of a shard's unfinished jobs.
pub fn unfinished_prefix(k: ShardId) -> String {
    format!("live/{k}/")
}

/// Key of a block of an unfinished job; block 0 lives in its head.
pub fn unfinished_key(k: ShardId, id: &JobId, block: u32) -> String {
    if block == 0 {
        format!("live/{k}/{id}")
    } else {
        format!("live/{k}/{id}/{block}")
    }
}

/// A controller, on its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// This start of it.
    #[serde(rename = "inc")]
    pub incarnation: u64,
    /// It hears no worker, and should be given no shard.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "blind")]
    pub receives_no_heartbeats: bool,
    /// The newest format that it reads and writes.
    #[serde(default, skip_serializing_if = "FormatVersion::is_first")]
    pub format: FormatVersion,
}

/// The leader, on its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: NodeName,
    /// Its start.
    #[serde(rename = "inc")]
    pub incarnation: u64,
}

/// Who holds a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller.
    pub holder: NodeName,
    /// Its start.
    #[serde(rename = "inc")]
    pub holder_incarnation: u64,
    /// Grows with every change of hands.
    pub epoch: u64,
    /// To whom the holder should hand it over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub handover_to: Option<NodeName>,
}

/// A rented machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The shard that it works for.
    #[serde(rename = "share")]
    pub shard: ShardId,
    /// Type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Its worker, once it was heard of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// It is to be returned, and never used again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "condemned")]
    pub decommission_reason: Option<String>,
    /// The shard that it should go to, if it is free.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "want")]
    pub reassign_to: Option<ShardId>,
    /// Tokens of its present shard are above this.
    #[serde(default)]
    #[serde(rename = "floor")]
    pub token_floor: u64,
    /// Images that were there when it last changed shards, with their sizes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<(String, f64)>,
    /// Its membership in a warm pool. Since format 3.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Membership>,
    /// Until when pools were charged for it, in milliseconds since 1970. Since format 3.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    pub charged_until_ms: u64,
}

impl MachineRecord {
    /// The record of a machine that was just provisioned.
    pub(crate) fn new(shard: ShardId, machine_type: &str, zone: &str, spot: bool) -> Self {
        Self {
            shard,
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            addr: None,
            decommission_reason: None,
            reassign_to: None,
            token_floor: 0,
            images: Vec::new(),
            pool: None,
            charged_until_ms: 0,
        }
    }

    /// Ends the time of its membership up to now; what follows is `next`. Returns the
    /// row of the pool's account that must be written with it.
    pub(crate) fn close_membership(
        &mut self,
        id: &MachineId,
        at_ms: u64,
        next: Result<PoolState, Ended>,
    ) -> Option<Interval> {
        let membership = self.pool.take()?;
        let machine = MachineFacts {
            id: id.clone(),
            machine_type: self.machine_type.clone(),
            spot: self.spot,
        };
        let interval = membership.close(&machine, at_ms, next.err());
        self.charged_until_ms = interval.to_ms;
        self.pool = next.ok().map(|state| Membership {
            state,
            since_ms: interval.to_ms,
            ..membership
        });
        Some(interval)
    }
}

/// A rental intent, written before the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningIntent {
    /// How many for which shard.
    pub parts: Vec<(ShardId, u32)>,
    /// Type.
    #[serde(rename = "type")]
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether spot machines are meant.
    pub spot: bool,
    /// Machines that have their records by now. A transaction takes few
    /// changes, so the outcome of a large request is written bit by bit, each
    /// together with this count.
    #[serde(default, skip_serializing_if = "is_zero_count")]
    pub placed: u32,
}

fn is_zero_ms(t: &u64) -> bool {
    *t == 0
}

fn is_zero_count(n: &u32) -> bool {
    *n == 0
}

impl ProvisioningIntent {
    /// How many machines it asks for.
    pub fn count(&self) -> u32 {
        self.parts.iter().map(|(_, n)| n).sum()
    }

    /// The shards that get its machines, in turn, each as often as it asked.
    pub fn shards_in_turn(&self) -> Vec<ShardId> {
        let rounds = self.parts.iter().map(|(_, n)| *n).max().unwrap_or(0);
        let one = |i: u32| {
            let some = self.parts.iter().filter(move |(_, n)| i < *n);
            some.map(|(k, _)| *k)
        };
        (0..rounds).flat_map(one).collect()
    }
}

/// The unmet demand of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Revision that the shard's holder had seen.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Tasks without a place even on machines that are to come, and
    /// missing spare places, the most urgent first.
    pub shapes: Vec<ShapeRecord>,
    /// Tasks that wait for a place now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "now")]
    pub waiting: Vec<ShapeRecord>,
    /// Empty machines, kept as spare.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "free")]
    pub spare_machines: Vec<MachineId>,
    /// Empty machines that nothing needs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "surplus")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines that hold nothing but borrowed low-priority work, those that
    /// lose the least of it first, and warm pools' machines beyond the pools' least.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "borrowed")]
    pub reclaimable_machines: Vec<MachineId>,
    /// Warm pools' machines that make up the pools' least: for gangs only. Since format 3.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pooled")]
    pub pool_machines: Vec<MachineId>,
}

impl DemandRecord {
    /// Cuts it down to so many bytes. What is least missed goes first: machines
    /// that could be given away, the least useful list first, then what waits
    /// now, then tasks without a place; of each the last, as the most urgent
    /// come first. Messages to the leader hold all of it.
    pub(crate) fn truncated_to(mut self, bytes: usize) -> Self {
        let size = |record: &Self| serde_json::to_vec(record).map_or(0, |json| json.len());
        while size(&self) > bytes && self.drop_least_important() {}
        self
    }

    /// Drops half of the least important list that is not empty.
    fn drop_least_important(&mut self) -> bool {
        fn halve<T>(list: &mut Vec<T>) -> bool {
            let had = !list.is_empty();
            list.truncate(list.len() / 2);
            had
        }
        halve(&mut self.pool_machines)
            || halve(&mut self.reclaimable_machines)
            || halve(&mut self.surplus_machines)
            || halve(&mut self.spare_machines)
            || halve(&mut self.waiting)
            || halve(&mut self.shapes)
    }

    /// Whether it says the same, whenever it was said.
    pub fn has_same_demand(&self, other: &Self) -> bool {
        self.shapes == other.shapes
            && self.waiting == other.waiting
            && self.spare_machines == other.spare_machines
            && self.surplus_machines == other.surplus_machines
            && self.reclaimable_machines == other.reclaimable_machines
            && self.pool_machines == other.pool_machines
    }
}

/// Tasks of one shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRecord {
    /// CPUs of each, in thousandths; GPUs and memory likewise.
    #[serde(rename = "res")]
    pub milli_resources: (i64, i64, i64),
    /// How many.
    #[serde(rename = "n")]
    pub count: u32,
    /// Allowed types.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Allowed zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<String>>,
    /// May use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Nothing waits for it yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "spare")]
    pub is_spare: bool,
    /// It may have machines of borrowed work given back to it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "reclaims")]
    pub may_reclaim: bool,
    /// Borrowed work: it takes machines that nobody needs, and no ordinary
    /// machine is rented for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "borrows")]
    pub is_borrowing: bool,
    /// It is of a gang, which needs all of its places at once. Since format 3.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gang")]
    pub is_gang: bool,
}

impl ShapeRecord {
    /// What each task takes.
    pub fn resources(&self) -> Resources {
        let (cpus, gpus, memory) = self.milli_resources;
        Resources { cpus, gpus, memory }
    }
}

/// A job, for ever.
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

/// An unfinished job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobHeadRecord {
    /// As it was submitted.
    pub spec: JobSpec,
    /// Its user was told that it is cancelled.
    #[serde(default)]
    pub cancelled: bool,
    /// Time of day at which that was first asked for, in milliseconds: the
    /// deadline for its tasks outlives the holder that told the user.
    #[serde(default, skip_serializing_if = "is_zero_ms")]
    #[serde(rename = "cancelled_at")]
    pub cancelled_at_ms: u64,
    /// Time of day at which it was submitted, in milliseconds.
    #[serde(default)]
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// Tasks a block, where that is not the size that the first release
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
    /// The next attempt's number; none is used twice.
    #[serde(default)]
    #[serde(rename = "next")]
    pub next_attempt: u64,
    /// Completed tasks, as ranges without their ends.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Tasks that may be on a machine: task, attempt, machine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<(u32, u64, MachineId)>,
}

#[cfg(test)]
mod tests;
