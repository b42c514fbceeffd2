//! Assignment of a job's tasks to blocks, each stored in a record of its own.
//!
//! A record must stay within the value size limit of the key-value store, and
//! block 0 shares its record, the head, with the job's submission.
//!
//! In the implicit layout, which the first release uses for all jobs, the number
//! of tasks per block follows from the settings. An explicit layout is recorded in
//! the job's head. When the store's limit falls, a job whose records would exceed
//! it is moved to an explicit layout at its next change. The keys of the new blocks
//! contain the number of tasks per block. So no two layouts share a key, except that
//! of the head, and only the blocks of the layout that the head names are valid.

use crate::config::StateLimits;
use crate::records::{unfinished_job_key, ShardId};
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;

/// Upper bound on the size of one task in a record, in bytes.
pub(crate) const MAX_TASK_RECORD_BYTES: usize = 40;
/// Upper bound on the size of a head without its submission and tasks, in bytes.
const HEAD_OVERHEAD_BYTES: usize = 200;

/// Assignment of a job's task indices to blocks of equal size.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct BlockLayout {
    /// At least 1.
    tasks_per_block: u32,
    /// Whether the head and the keys of the blocks contain `tasks_per_block`.
    is_explicit: bool,
}

impl BlockLayout {
    /// The layout of a job whose head names none. Tasks take at most half of the
    /// value size limit in the settings; all releases must compute the same size.
    pub(crate) fn implicit(settings: &StateLimits) -> Self {
        Self {
            tasks_per_block: (settings.value_bytes / 2 / MAX_TASK_RECORD_BYTES).max(1) as u32,
            is_explicit: false,
        }
    }

    /// The layout of a stored job: explicit if its head names a number of tasks per
    /// block, else implicit.
    pub(crate) fn from_head(tasks_per_block: Option<u32>, settings: &StateLimits) -> Self {
        match tasks_per_block {
            Some(tasks_per_block) => Self {
                tasks_per_block: tasks_per_block.max(1),
                is_explicit: true,
            },
            None => Self::implicit(settings),
        }
    }

    /// A layout with which all records of a job fit the store's limits: this one
    /// if the records fit already, else an explicit one with smaller blocks.
    pub(crate) fn fit_to_limits(self, limits: &StateLimits, spec: &JobSpec) -> Self {
        let bytes_beside_spec = limits.value_bytes.saturating_sub(head_bytes(spec));
        let bytes = bytes_beside_spec.min(limits.value_bytes / 2);
        let tasks_per_block = (bytes / MAX_TASK_RECORD_BYTES).max(1) as u32;
        if self.tasks_per_block.min(spec.tasks) <= tasks_per_block {
            return self;
        }
        Self {
            tasks_per_block,
            is_explicit: true,
        }
    }

    /// Tasks per block, as the head records them; none for the implicit layout.
    pub(crate) fn to_record(self) -> Option<u32> {
        self.is_explicit.then_some(self.tasks_per_block)
    }

    /// Number of the block that records a task.
    pub(crate) fn block_of(self, index: u32) -> u32 {
        index / self.tasks_per_block
    }

    /// Task indices of a block, as first index and exclusive end. The end may lie
    /// beyond the job's last task.
    pub(crate) fn task_range(self, block: u32) -> (u32, u32) {
        let from = block.saturating_mul(self.tasks_per_block);
        (from, from.saturating_add(self.tasks_per_block))
    }

    /// Key of a block's record. Block 0 has the key of the job's head.
    pub(crate) fn key(self, shard: ShardId, id: &JobId, block: u32) -> String {
        if block > 0 && self.is_explicit {
            format!(
                "{}/{}-{block}",
                unfinished_job_key(shard, id, 0),
                self.tasks_per_block
            )
        } else {
            unfinished_job_key(shard, id, block)
        }
    }

    /// Number of the block whose key ends in `name`, or none if the key does not
    /// belong to this layout. Such a key is left over from the layout before a
    /// change, or from a change that was not committed.
    pub(crate) fn parse_block(self, name: &str) -> Option<u32> {
        let number = if self.is_explicit {
            name.strip_prefix(&format!("{}-", self.tasks_per_block))?
        } else {
            name
        };
        number.parse().ok().filter(|block| *block > 0)
    }
}

/// Estimated size of a head without tasks, in bytes.
fn head_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |json| json.len()) + HEAD_OVERHEAD_BYTES
}

/// Whether the head of a job fits the store's value size limit with at least one
/// task. Otherwise no layout can record the job.
pub(crate) fn can_be_recorded(spec: &JobSpec, limits: &StateLimits) -> bool {
    head_bytes(spec) + MAX_TASK_RECORD_BYTES <= limits.value_bytes
}

#[cfg(test)]
mod tests;
