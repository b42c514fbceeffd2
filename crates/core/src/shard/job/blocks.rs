//! Blocks of a job: which of its changes are written, and the records that hold
//! them.

use super::{Binding, Job};
use crate::records::{JobHeadRecord, ShardId, TaskBlockRecord};
use crate::shard::layout::BlockLayout;
use crate::Ms;

/// Write state of a block: the tasks that share one record.
///
/// The versions of the job count its changes in this holder's memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Block {
    /// Version of the stored record; 0: there is none.
    pub(crate) record_version: u64,
    /// The job's version that last changed it.
    pub(crate) changed_version: u64,
    /// The newest version of the job that is known to be written.
    pub(crate) committed_version: u64,
    /// The newest version that is written under the layout to which the job is
    /// being moved: it counts once the head names that layout.
    pub(crate) staged_version: u64,
    /// Highest attempt number that was given to a task of the block.
    pub(crate) next_attempt: u64,
}

impl Block {
    /// Whether something has changed that is not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.changed_version > self.committed_version.max(self.staged_version)
    }
}

impl Job {
    /// Restores a block that an earlier holder wrote. Returns the tasks that it
    /// binds, by index, for the shard to bind.
    pub(crate) fn restore_block(
        &mut self,
        block: u32,
        record: TaskBlockRecord,
        record_version: u64,
        now: Ms,
    ) -> Vec<(u32, Binding)> {
        let entry = self.blocks.entry(block).or_default();
        entry.record_version = record_version;
        entry.next_attempt = record.next_attempt;
        // The job has begun, so all its dependencies are done.
        if record.next_attempt > 0 {
            self.unresolved_dependencies.clear();
        }
        for (from, to) in record.done {
            self.completed.insert_range(from, to.min(self.spec.tasks));
            self.last_completion_at = Some(now);
        }
        record
            .bound
            .into_iter()
            .map(|(index, attempt, machine)| (index, Binding::restored(machine, attempt, now)))
            .collect()
    }

    /// How its tasks are spread over blocks.
    pub(crate) fn layout(&self) -> BlockLayout {
        self.layout
    }

    /// Key of a block.
    pub(crate) fn block_key(&self, shard: ShardId, block: u32) -> String {
        self.layout.key(shard, &self.spec.id, block)
    }

    /// The block in which a task is recorded.
    pub(crate) fn block_of(&self, index: u32) -> u32 {
        self.layout.block_of(index)
    }

    /// Marks a block as changed, and returns the new version of the job.
    pub(crate) fn mark_block_changed(&mut self, block: u32) -> u64 {
        self.memory_version += 1;
        self.blocks.entry(block).or_default().changed_version = self.memory_version;
        self.memory_version
    }

    /// Whether what a version of the job says of a task is written.
    pub(crate) fn is_durable(&self, index: u32, version: u64) -> bool {
        let block = self.blocks.get(&self.block_of(index));
        version == 0 || block.is_some_and(|block| block.committed_version >= version)
    }

    /// A number for the next attempt at a task, that was never used before.
    pub(crate) fn next_attempt(&mut self, index: u32) -> u64 {
        let block = self.block_of(index);
        let block = self.blocks.entry(block).or_default();
        block.next_attempt += 1;
        block.next_attempt
    }

    /// A number for the next attempt of the whole gang.
    pub(crate) fn next_gang_attempt(&mut self) -> u64 {
        let attempts = self.blocks.values().map(|block| block.next_attempt);
        let next = 1 + attempts.max().unwrap_or(0);
        for block in 0..=self.block_of(self.spec.tasks - 1) {
            self.blocks.entry(block).or_default().next_attempt = next;
        }
        next
    }

    /// Whether something has changed that is not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.blocks.values().any(Block::is_dirty)
    }

    /// A block as it is to be written.
    pub(crate) fn block_record(&self, block: u32) -> TaskBlockRecord {
        let (from, to) = self.layout.task_range(block);
        let bound = self.bindings.range(from..to);
        TaskBlockRecord {
            next_attempt: self
                .blocks
                .get(&block)
                .map_or(0, |state| state.next_attempt),
            done: self.completed.within(from, to),
            bound: bound
                .map(|(index, binding)| (*index, binding.attempt, binding.machine.clone()))
                .collect(),
        }
    }

    /// The head as it is to be written.
    pub(crate) fn head_record(&self) -> JobHeadRecord {
        JobHeadRecord {
            spec: (*self.spec).clone(),
            cancelled: self.is_cancelled,
            cancelled_at_ms: self.cancelled_at_wall_ms,
            submitted_at_ms: self.submitted_at_wall_ms,
            tasks_per_block: self.layout.to_record(),
            block: self.block_record(0),
        }
    }
}
