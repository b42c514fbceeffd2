//! Unmet demand of shards.

use forkshift_sched::Resources;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The unmet demand of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Revision of the state that it is based on.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Tasks without a place even on machines that were requested, and
    /// missing spare places, the most urgent first.
    #[serde(rename = "shapes")]
    pub unmet_shapes: Vec<ShapeRecord>,
    /// Tasks that wait for a place now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "now")]
    pub pending_shapes: Vec<ShapeRecord>,
    /// Empty machines, kept as spare.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "free")]
    pub spare_machines: Vec<MachineId>,
    /// Empty machines that the shard does not need.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "surplus")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines that hold nothing but borrowed low-priority work, those that
    /// lose the least of it first, and machines of warm pools beyond the pools' minimum.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "borrowed")]
    pub reclaimable_machines: Vec<MachineId>,
    /// Machines of warm pools that make up the pools' minimum: for gangs only. Since
    /// format 3.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pooled")]
    pub pool_machines: Vec<MachineId>,
}

impl DemandRecord {
    /// Truncates it to a size in JSON, in bytes. The least important is dropped first:
    /// machines that could be given away, the least useful list first, then what waits
    /// now, then tasks without a place; of each the last, as the most urgent
    /// come first. Messages to the leader hold all of it.
    pub(crate) fn truncated_to(mut self, max_bytes: usize) -> Self {
        let size = |record: &Self| serde_json::to_vec(record).map_or(0, |json| json.len());
        while size(&self) > max_bytes && self.drop_least_important() {}
        self
    }

    /// Drops half of the least important list that is not empty. Returns false if all
    /// are empty.
    fn drop_least_important(&mut self) -> bool {
        fn halve<T>(list: &mut Vec<T>) -> bool {
            let had_entries = !list.is_empty();
            list.truncate(list.len() / 2);
            had_entries
        }
        halve(&mut self.pool_machines)
            || halve(&mut self.reclaimable_machines)
            || halve(&mut self.surplus_machines)
            || halve(&mut self.spare_machines)
            || halve(&mut self.pending_shapes)
            || halve(&mut self.unmet_shapes)
    }

    /// Whether the demand is the same, at whichever revision.
    pub fn has_same_demand(&self, other: &Self) -> bool {
        self.unmet_shapes == other.unmet_shapes
            && self.pending_shapes == other.pending_shapes
            && self.spare_machines == other.spare_machines
            && self.surplus_machines == other.surplus_machines
            && self.reclaimable_machines == other.reclaimable_machines
            && self.pool_machines == other.pool_machines
    }
}

/// Tasks of one shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRecord {
    /// CPUs, GPUs and GB of memory of each task, in thousandths.
    #[serde(rename = "res")]
    pub milli_resources: (i64, i64, i64),
    /// How many tasks.
    #[serde(rename = "n")]
    pub count: u32,
    /// Allowed machine types; none: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Allowed zones; none: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<String>>,
    /// Whether they may use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Whether these are spare places, for which no task waits yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "spare")]
    pub is_spare: bool,
    /// Whether machines with borrowed work may be reclaimed for them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "reclaims")]
    pub may_reclaim: bool,
    /// Borrowed work: it takes machines that no shard needs, and only spot machines
    /// are provisioned for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "borrows")]
    pub is_borrowing: bool,
    /// Whether they are of a gang, which needs all of its places at once. Since format 3.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gang")]
    pub is_gang: bool,
}

impl ShapeRecord {
    /// The resources of each task.
    pub fn resources(&self) -> Resources {
        let (cpus, gpus, memory) = self.milli_resources;
        Resources {
            milli_cpus: cpus,
            milli_gpus: gpus,
            memory_mb: memory,
        }
    }
}
