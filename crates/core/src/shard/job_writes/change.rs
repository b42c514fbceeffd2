//! The preconditions and writes that one job contributes to a transaction.

use crate::context::Context;
use crate::pending_call::JobWrite;
use crate::records::{job_key, JobRecord, ShardId};
use crate::shard::job::{Job, StartState};
use crate::store::queue::Urgency;
use forkshift_wire::state::{Precondition, Write};
use serde_json::to_value;

/// Estimated size of a job's permanent record without its key, in bytes.
const JOB_RECORD_BYTES: usize = 700;
/// Writes that must be left in a transaction before another block is added: one for
/// the block, and one for the job's permanent record.
const RESERVED_OPERATIONS: usize = 2;

/// The part of a transaction that writes one job.
pub(super) struct JobChange {
    /// Kept with the pending call, to update the job when the store has answered.
    pub(super) write: JobWrite,
    pub(super) preconditions: Vec<Precondition>,
    pub(super) writes: Vec<Write>,
    /// Estimated size of the writes, in bytes.
    pub(super) bytes: usize,
    pub(super) urgency: Urgency,
}

impl JobChange {
    /// The writes that a job needs now, or none. A change that only records progress
    /// counts if `include_progress` is set.
    pub(super) fn for_job(
        shard: ShardId,
        job: &Job,
        ctx: &Context,
        include_progress: bool,
    ) -> Option<Self> {
        let is_final = job.is_finished();
        let needs_cancellation = job.is_cancelled && !job.is_cancellation_durable;
        let mut change = Self {
            write: JobWrite {
                id: job.spec.id.clone(),
                version: job.memory_version,
                blocks: Vec::new(),
                is_final,
                records_cancellation: false,
            },
            preconditions: Vec::new(),
            writes: Vec::new(),
            bytes: 0,
            urgency: urgency(job, include_progress)?,
        };
        if is_final {
            change.remove_head(shard, job);
        } else {
            change.put_blocks(shard, job, ctx.limits.txn_ops, needs_cancellation);
        }
        if change.writes.is_empty() {
            return None;
        }
        let records_cancellation = needs_cancellation && change.write.blocks.contains(&0);
        change.write.records_cancellation = records_cancellation;
        if records_cancellation || (is_final && !job.is_cancelled) {
            change.put_final_stage(shard, job);
        }
        Some(change)
    }

    /// Adds the removal of a finished job's head.
    fn remove_head(&mut self, shard: ShardId, job: &Job) {
        let key = job.block_key(shard, 0);
        self.preconditions.push(Precondition {
            key: key.clone(),
            version: job.blocks[&0].record_version,
        });
        self.writes.push(Write::Remove { key });
        self.write.blocks.push(0);
    }

    /// Adds writes of the changed blocks, as many as fit into a transaction. The
    /// head stores the cancellation, so it is also written if `needs_cancellation`
    /// is set.
    fn put_blocks(
        &mut self,
        shard: ShardId,
        job: &Job,
        max_operations: usize,
        needs_cancellation: bool,
    ) {
        // The head commits a layout change, so it is written after the other blocks.
        let head = job.blocks.get_key_value(&0);
        let (first, last) = if job.is_changing_layout {
            (None, head)
        } else {
            (head, None)
        };
        let others = job.blocks.range(1..);
        for (number, block) in first.into_iter().chain(others).chain(last) {
            if !(block.is_dirty() || (needs_cancellation && *number == 0)) {
                continue;
            }
            if self.writes.len() + RESERVED_OPERATIONS > max_operations {
                break;
            }
            self.put_block(shard, job, *number, block.record_version);
        }
    }

    fn put_block(&mut self, shard: ShardId, job: &Job, number: u32, record_version: u64) {
        let key = job.block_key(shard, number);
        let value = match number {
            0 => to_value(job.head_record()),
            _ => to_value(job.block_record(number)),
        };
        let value = value.unwrap_or_default();
        // The key occurs both in the precondition and in the write.
        self.bytes += value.to_string().len() + key.len() * 2;
        self.preconditions.push(Precondition {
            key: key.clone(),
            version: record_version,
        });
        self.writes.push(Write::put(key, value));
        self.write.blocks.push(number);
    }

    /// Adds the write of the final stage to the job's permanent record.
    fn put_final_stage(&mut self, shard: ShardId, job: &Job) {
        let record = JobRecord {
            spec: (*job.spec).clone(),
            shard,
            stage: job.final_stage(),
        };
        let value = to_value(record).unwrap_or_default();
        self.bytes += JOB_RECORD_BYTES;
        self.writes.push(Write::put(job_key(&job.spec.id), value));
    }
}

/// Urgency of a job's next write; none if the write records only progress and
/// `include_progress` is not set.
fn urgency(job: &Job, include_progress: bool) -> Option<Urgency> {
    let needs_cancellation = job.is_cancelled && !job.is_cancellation_durable;
    if job.is_finished() || needs_cancellation {
        return Some(Urgency::User);
    }
    let mut bindings = job.bindings.values();
    if bindings.any(|b| b.start == StartState::NotSent && b.stop.is_none()) {
        return Some(Urgency::Tasks);
    }
    include_progress.then_some(Urgency::Background)
}
