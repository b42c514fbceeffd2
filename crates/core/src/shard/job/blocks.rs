//! Blocks of a job: the tasks that share a record, and which changes are durable.
//!
//! Each change to a job increments its `memory_version`. A block stores the
//! version that last changed it and the newest version that is written, so that a
//! caller can tell whether a particular change is durable.

use super::{Binding, Job};
use crate::records::{JobHeadRecord, ShardId, TaskBlockRecord};
use crate::shard::layout::BlockLayout;
use crate::Ms;

/// Write state of a block.
///
/// All versions except `record_version` are values of [`Job::memory_version`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Block {
    /// Version of the stored record in the key-value store; 0 if there is none.
    pub(crate) record_version: u64,
    /// The version that last changed the block.
    pub(crate) changed_version: u64,
    /// The newest version that is known to be durable.
    pub(crate) committed_version: u64,
    /// The newest version that is written under a new layout that the head does
    /// not name yet. It becomes durable when the head names the layout.
    pub(crate) staged_version: u64,
    /// Highest attempt number that was given to a task of the block; 0 if no task
    /// was ever placed.
    pub(crate) last_attempt: u64,
}

impl Block {
    /// Whether the block has changes that are not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.changed_version > self.committed_version.max(self.staged_version)
    }
}

impl Job {
    /// Restores a block from the record that an earlier holder wrote. Returns the
    /// recorded bindings by task index; the shard must bind them.
    pub(crate) fn restore_block(
        &mut self,
        block: u32,
        record: TaskBlockRecord,
        record_version: u64,
        now: Ms,
    ) -> Vec<(u32, Binding)> {
        let entry = self.blocks.entry(block).or_default();
        entry.record_version = record_version;
        entry.last_attempt = record.last_attempt;
        // A task was placed, which happens only after all dependencies are done.
        if record.last_attempt > 0 {
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

    /// Assignment of task indices to blocks.
    pub(crate) fn layout(&self) -> BlockLayout {
        self.layout
    }

    /// Key of a block's record in the key-value store.
    pub(crate) fn block_key(&self, shard: ShardId, block: u32) -> String {
        self.layout.key(shard, &self.spec.id, block)
    }

    /// Number of the block that records a task.
    pub(crate) fn block_of(&self, index: u32) -> u32 {
        self.layout.block_of(index)
    }

    /// Marks a block as changed, and returns the job's new `memory_version`.
    pub(crate) fn mark_block_changed(&mut self, block: u32) -> u64 {
        self.memory_version += 1;
        self.blocks.entry(block).or_default().changed_version = self.memory_version;
        self.memory_version
    }

    /// Whether the state of a task at a `memory_version` is durable. Version 0 is
    /// the state that an earlier holder recorded, so it is always durable.
    pub(crate) fn is_durable(&self, index: u32, version: u64) -> bool {
        let block = self.blocks.get(&self.block_of(index));
        version == 0 || block.is_some_and(|block| block.committed_version >= version)
    }

    /// Allocates a number for the next attempt at a task, above all earlier ones of
    /// the task's block.
    pub(crate) fn allocate_attempt(&mut self, index: u32) -> u64 {
        let block = self.block_of(index);
        let block = self.blocks.entry(block).or_default();
        block.last_attempt += 1;
        block.last_attempt
    }

    /// Allocates one number for the next attempt of all tasks of a gang, above all
    /// earlier ones.
    pub(crate) fn allocate_gang_attempt(&mut self) -> u64 {
        let attempts = self.blocks.values().map(|block| block.last_attempt);
        let next = 1 + attempts.max().unwrap_or(0);
        for block in 0..=self.block_of(self.spec.tasks - 1) {
            self.blocks.entry(block).or_default().last_attempt = next;
        }
        next
    }

    /// Whether any block has changes that are not known to be written.
    pub(crate) fn is_dirty(&self) -> bool {
        self.blocks.values().any(Block::is_dirty)
    }

    /// The record of a block with its current state.
    pub(crate) fn block_record(&self, block: u32) -> TaskBlockRecord {
        let (from, to) = self.layout.task_range(block);
        let bound = self.bindings.range(from..to);
        TaskBlockRecord {
            last_attempt: self
                .blocks
                .get(&block)
                .map_or(0, |state| state.last_attempt),
            done: self.completed.ranges_within(from, to),
            bound: bound
                .map(|(index, binding)| (*index, binding.attempt, binding.machine.clone()))
                .collect(),
        }
    }

    /// The head record with the job's current state, including block 0.
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
