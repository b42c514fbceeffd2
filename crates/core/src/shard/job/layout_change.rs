//! Moves of a job to another layout.
//!
//! The new blocks are written first. The head, which then names the layout, is
//! the point of commitment; the old blocks are removed after it. A holder that
//! recovers the job in between finds the old head with its old blocks.

use super::{Block, Job};
use crate::records::ShardId;
use crate::shard::layout::BlockLayout;

/// The stored record of a block.
#[derive(Clone, Debug)]
pub(crate) struct StoredBlock {
    /// Key of the record.
    pub(crate) key: String,
    /// Version of the record.
    pub(crate) version: u64,
}

impl Job {
    /// Begins to move the job to another layout.
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
            if number == 0 || old_block.next_attempt > 0 {
                self.move_block(old_layout, number, &old_block);
            }
        }
    }

    /// Marks the blocks of the new layout that hold the tasks of an old block.
    fn move_block(&mut self, old_layout: BlockLayout, number: u32, old_block: &Block) {
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
            block.next_attempt = block.next_attempt.max(old_block.next_attempt);
            if new_number == 0 {
                block.record_version = block.record_version.max(head_version);
            }
        }
    }

    /// Ends the move, as the written head names the new layout: what was written
    /// under it counts. Returns the records of the old blocks, to be removed.
    pub(crate) fn finish_layout_change(&mut self) -> Vec<StoredBlock> {
        self.is_changing_layout = false;
        for block in self.blocks.values_mut() {
            block.committed_version = block.committed_version.max(block.staged_version);
        }
        std::mem::take(&mut self.obsolete_blocks)
    }
}
