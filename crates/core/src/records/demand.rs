//! Unmet demand of shards, which the leader provisions and reassigns machines for.

use forkshift_sched::Resources;
use forkshift_wire::MachineId;
use serde::{Deserialize, Serialize};

/// The unmet demand of a shard, and the machines that it could give to other shards.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Revision of the cluster view on which the demand is based.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Tasks that are unschedulable even on machines that were requested and do not run yet,
    /// and missing reserved capacity, the most urgent first.
    #[serde(rename = "shapes")]
    pub unmet_shapes: Vec<ShapeRecord>,
    /// Tasks that are pending now, whether or not requested machines will have capacity for
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "now")]
    pub pending_shapes: Vec<ShapeRecord>,
    /// Empty machines that the shard keeps as reserved capacity.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "free")]
    pub headroom_machines: Vec<MachineId>,
    /// Empty machines that the shard does not need.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "surplus")]
    pub surplus_machines: Vec<MachineId>,
    /// Machines that run only borrowed low-priority work, those whose reclaim loses the least
    /// of it first, and machines of warm pools in excess of the pools' minimum.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "borrowed")]
    pub reclaimable_machines: Vec<MachineId>,
    /// Machines of warm pools within the pools' minimum, which may be given away to gangs only.
    /// Since format 3.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "pooled")]
    pub pool_machines: Vec<MachineId>,
}

impl DemandRecord {
    /// Truncates the record to a size of `max_bytes` in JSON, as far as its lists allow. The
    /// least important entries are dropped first: machines that could be given away, in the
    /// order of the lists' usefulness, then pending tasks, then unschedulable tasks. Within a
    /// list the last entries are dropped, as the most urgent come first. Messages to the
    /// leader have a larger limit than records.
    pub(crate) fn truncated_to(mut self, max_bytes: usize) -> Self {
        let size = |record: &Self| serde_json::to_vec(record).map_or(0, |json| json.len());
        while size(&self) > max_bytes && self.drop_least_important() {}
        self
    }

    /// Drops the second half of the least important list that is not empty. Returns false if
    /// all lists are empty.
    fn drop_least_important(&mut self) -> bool {
        fn halve<T>(list: &mut Vec<T>) -> bool {
            let had_entries = !list.is_empty();
            list.truncate(list.len() / 2);
            had_entries
        }
        halve(&mut self.pool_machines)
            || halve(&mut self.reclaimable_machines)
            || halve(&mut self.surplus_machines)
            || halve(&mut self.headroom_machines)
            || halve(&mut self.pending_shapes)
            || halve(&mut self.unmet_shapes)
    }

    /// Whether the demand is the same, regardless of the revisions.
    pub fn has_same_demand(&self, other: &Self) -> bool {
        self.unmet_shapes == other.unmet_shapes
            && self.pending_shapes == other.pending_shapes
            && self.headroom_machines == other.headroom_machines
            && self.surplus_machines == other.surplus_machines
            && self.reclaimable_machines == other.reclaimable_machines
            && self.pool_machines == other.pool_machines
    }
}

/// Tasks with the same resource requirements and constraints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRecord {
    /// CPUs, GPUs and GB of memory that each task requires, in thousandths.
    #[serde(rename = "res")]
    pub milli_resources: (i64, i64, i64),
    /// Number of tasks.
    #[serde(rename = "n")]
    pub count: u32,
    /// Allowed machine types; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Allowed zones; all if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<String>>,
    /// Whether the tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Whether this is reserved capacity, for which no task is pending yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "spare")]
    pub is_headroom: bool,
    /// Whether machines that run borrowed work may be reclaimed for these tasks.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "reclaims")]
    pub may_reclaim: bool,
    /// Whether this is borrowed work, which runs on machines that no shard needs. Only spot
    /// machines are provisioned for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "borrows")]
    pub is_borrowing: bool,
    /// Whether the tasks form a gang, which starts only when all of its tasks can run at the
    /// same time. Since format 3.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gang")]
    pub is_gang: bool,
}

impl ShapeRecord {
    /// The resources that each task requires.
    pub fn resources(&self) -> Resources {
        let (cpus, gpus, memory) = self.milli_resources;
        Resources {
            milli_cpus: cpus,
            milli_gpus: gpus,
            memory_mb: memory,
        }
    }
}
