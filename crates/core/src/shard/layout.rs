//! How the tasks of a job are spread over blocks, each a record of its own.
//!
//! A record must stay within the largest value that the state service takes,
//! and block 0 shares its record with the job's submission. The first release
//! computes the size of a block from the settings. When the limit falls, jobs
//! that it recorded are moved to a layout that their heads name: its blocks
//! have keys of their own, so that no task is ever in two blocks that count.

use crate::config::StateLimits;
use crate::records::{unfinished_job_key, ShardId};
use forkshift_wire::users::JobSpec;
use forkshift_wire::JobId;

/// Most bytes that one task takes in a record.
pub(crate) const TASK_BYTES: usize = 40;
/// Bytes of a head beside the submission and the tasks.
const HEAD_BYTES: usize = 200;

/// How the tasks of a job are spread over blocks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Layout {
    /// Tasks per block.
    size: u32,
    /// Whether the head and the keys of the blocks name the layout.
    is_named: bool,
}

impl Layout {
    /// The layout of a record that names none.
    pub(crate) fn unnamed(settings: &StateLimits) -> Self {
        Self {
            size: (settings.value_bytes / 2 / TASK_BYTES).max(1) as u32,
            is_named: false,
        }
    }

    /// The layout that a head names, if it names one.
    pub(crate) fn recorded(size: Option<u32>, settings: &StateLimits) -> Self {
        match size {
            Some(size) => Self {
                size: size.max(1),
                is_named: true,
            },
            None => Self::unnamed(settings),
        }
    }

    /// The layout for a job whose records must fit within limits, given the
    /// one that it has: the same, if all fits.
    pub(crate) fn within(self, limits: &StateLimits, spec: &JobSpec) -> Self {
        let beside_spec = limits.value_bytes.saturating_sub(head_bytes(spec));
        let bytes = beside_spec.min(limits.value_bytes / 2);
        let size = (bytes / TASK_BYTES).max(1) as u32;
        if self.size.min(spec.tasks) <= size {
            return self;
        }
        Self {
            size,
            is_named: true,
        }
    }

    /// Tasks per block, as the head records them; none for an unnamed layout.
    pub(crate) fn to_record(self) -> Option<u32> {
        self.is_named.then_some(self.size)
    }

    /// The block in which a task is recorded.
    pub(crate) fn block_of(self, index: u32) -> u32 {
        index / self.size
    }

    /// The tasks of a block, as first index and exclusive end.
    pub(crate) fn tasks_of(self, block: u32) -> (u32, u32) {
        let from = block.saturating_mul(self.size);
        (from, from.saturating_add(self.size))
    }

    /// Key of a block; block 0 is in the job's head.
    pub(crate) fn key(self, shard: ShardId, id: &JobId, block: u32) -> String {
        if block > 0 && self.is_named {
            format!("{}/{}-{block}", unfinished_job_key(shard, id, 0), self.size)
        } else {
            unfinished_job_key(shard, id, block)
        }
    }

    /// The block that a key of this layout names by its last part. Keys of
    /// other layouts are left over from before the job was moved, or from a
    /// move that was not completed.
    pub(crate) fn parse_block(self, name: &str) -> Option<u32> {
        let number = if self.is_named {
            name.strip_prefix(&format!("{}-", self.size))?
        } else {
            name
        };
        number.parse().ok().filter(|block| *block > 0)
    }
}

/// Bytes of a head without any tasks.
fn head_bytes(spec: &JobSpec) -> usize {
    serde_json::to_vec(spec).map_or(0, |json| json.len()) + HEAD_BYTES
}

/// Whether a job can be recorded at all within the limits.
pub(crate) fn can_be_recorded(spec: &JobSpec, limits: &StateLimits) -> bool {
    head_bytes(spec) + TASK_BYTES <= limits.value_bytes
}

#[cfg(test)]
mod tests;
