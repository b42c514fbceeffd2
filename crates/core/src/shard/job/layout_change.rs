//! Change of a job's block layout.
//!
//! The blocks of the new layout are written first. The write of the head, which
//! then names the new layout, commits the change; the blocks of the old layout are
//! removed afterwards. A controller that recovers the job before the commit finds
//! the old head and the old blocks.

use super::{Block, Job};
use crate::records::ShardId;
use crate::shard::layout::BlockLayout;

/// A stored record of a block, as needed to remove it.
#[derive(Clone, Debug)]
pub(crate) struct StoredBlock {
    pub(crate) key: String,
    /// Version of the record, which the removal requires as a precondition.
    pub(crate) version: u64,
}

impl Job {
    /// Starts the change to another layout: marks the new blocks as changed and
    /// collects the stored old blocks for later removal.
    pub(crate) fn change_layout(&mut self, layout: BlockLayout, shard: ShardId) {
        let old_layout = self.layout;
        let old_blocks = std::mem::take(&mut self.blocks);
        self.memory_version += 1;
        self.layout = layout;
        self.is_changing_layout = true;
        for (number, old_block) in old_blocks {
            let has_record = old_block.record_version > 0;
            if number > 0 && has_record {
                self.obsolete_blocks.push(StoredBlock {
                    key: old_layout.key(shard, &self.spec.id, number),
                    version: old_block.record_version,
                });
            }
            if number == 0 || old_block.last_attempt > 0 {
                self.mark_new_blocks(old_layout, number, &old_block);
            }
        }
    }

    /// Marks as changed the blocks of the new layout that hold tasks of an old
    /// block. They inherit its attempt number, so that no attempt number is reused,
    /// and block 0 keeps the head's record version.
    fn mark_new_blocks(&mut self, old_layout: BlockLayout, number: u32, old_block: &Block) {
        let head_version = if number == 0 {
            old_block.record_version
        } else {
            0
        };
        let (from, to) = old_layout.task_range(number);
        let last = to.min(self.spec.tasks).saturating_sub(1);
        for new_number in self.layout.block_of(from)..=self.layout.block_of(last) {
            let block = self.blocks.entry(new_number).or_default();
            block.changed_version = self.memory_version;
            block.last_attempt = block.last_attempt.max(old_block.last_attempt);
            if new_number == 0 {
                block.record_version = block.record_version.max(head_version);
            }
        }
    }

    /// Completes the change after the head that names the new layout was written:
    /// staged writes become durable. Returns the old blocks' records, which the
    /// caller must remove.
    pub(crate) fn finish_layout_change(&mut self) -> Vec<StoredBlock> {
        self.is_changing_layout = false;
        for block in self.blocks.values_mut() {
            block.committed_version = block.committed_version.max(block.staged_version);
        }
        std::mem::take(&mut self.obsolete_blocks)
    }
}
