//! How the tasks of a job are spread over blocks, each a record of its own.
//!
//! A record must stay within the largest value that the state service takes,
//! and block 0 shares its record with the job's submission. The first release
//! computes the size of a block from the settings. When the limit falls, jobs
//! that it recorded are moved to a layout that their heads name: its blocks
//! have keys of their own, so that no task is ever in two blocks that count.

use crate::config::StateLimits;
use crate::records::{unfinished_key, ShardId};
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;

/// Most bytes that one task takes in a record.
pub(crate) const MAX_TASK_RECORD_BYTES: usize = 40;
/// Bytes of a head beside the submission and the tasks.
const HEAD_OVERHEAD_BYTES: usize = 200;

/// How the tasks of a job are spread over blocks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct BlockLayout {
    /// Tasks per block.
    tasks_per_block: u32,
    /// Whether the head and the keys of the blocks name the layout.
    is_explicit: bool,
}

impl BlockLayout {
    /// The layout of a record that names none.
    pub(crate) fn implicit(settings: &StateLimits) -> Self {
        Self {
            tasks_per_block: (settings.value_bytes / 2 / MAX_TASK_RECORD_BYTES).max(1) as u32,
            is_explicit: false,
        }
    }

    /// The layout that a head names, if it names one.
    pub(crate) fn from_head(size: Option<u32>, settings: &StateLimits) -> Self {
        match size {
            Some(size) => Self {
                tasks_per_block: size.max(1),
                is_explicit: true,
            },
            None => Self::implicit(settings),
        }
    }

    /// The layout for a job whose records must fit within limits, given the
    /// one that it has: the same, if all fits.
    pub(crate) fn fit_to_limits(self, limits: &StateLimits, spec: &JobSpec) -> Self {
        let beside_spec = limits.value_bytes.saturating_sub(head_bytes(spec));
        let bytes = beside_spec.min(limits.value_bytes / 2);
        let tasks_per_block = (bytes / MAX_TASK_RECORD_BYTES).max(1) as u32;
        if self.tasks_per_block.min(spec.tasks) <= tasks_per_block {
            return self;
        }
        Self {
            tasks_per_block,
            is_explicit: true,
        }
    }

    /// Tasks per block, as the head records them; none for an unnamed layout.
    pub(crate) fn to_record(self) -> Option<u32> {
        self.is_explicit.then_some(self.tasks_per_block)
    }

    /// The block in which a task is recorded.
    pub(crate) fn block_of(self, index: u32) -> u32 {
        index / self.tasks_per_block
    }

    /// The tasks of a block, as first index and exclusive end.
    pub(crate) fn task_range(self, block: u32) -> (u32, u32) {
        let from = block.saturating_mul(self.tasks_per_block);
        (from, from.saturating_add(self.tasks_per_block))
    }

    /// Key of a block; block 0 is in the job's head.
    pub(crate) fn key(self, shard: ShardId, id: &JobId, block: u32) -> String {
        if block > 0 && self.is_explicit {
            format!(
                "{}/{}-{block}",
                unfinished_key(shard, id, 0),
                self.tasks_per_block
            )
        } else {
            unfinished_key(shard, id, block)
        }
    }

    /// The block that a key of this layout names by its last part. Keys of
    /// other layouts are left over from before the job was moved, or from a
    /// move that was not completed.
    pub(crate) fn parse_block(self, name: &str) -> Option<u32> {
        let number = if self.is_explicit {
            name.strip_prefix(&format!("{}-", self.tasks_per_block))?
        } else {
            name
        };
        number.parse().ok().filter(|block| *block > 0)
    }
}

/// Bytes of a head without any tasks.
fn head_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |json| json.len()) + HEAD_OVERHEAD_BYTES
}

/// Whether a job can be recorded at all within the limits.
pub(crate) fn can_be_recorded(spec: &JobSpec, limits: &StateLimits) -> bool {
    head_bytes(spec) + MAX_TASK_RECORD_BYTES <= limits.value_bytes
}

#[cfg(test)]
mod tests;
