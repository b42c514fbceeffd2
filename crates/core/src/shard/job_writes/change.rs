//! What a transaction writes of one job.

use crate::context::Context;
use crate::pending_call::JobWrite;
use crate::records::{job_key, JobRecord, ShardId};
use crate::shard::job::{Job, StartState};
use crate::store::queue::Urgency;
use forkshift_wire::state::{Precondition, Write};
use serde_json::to_value;

/// Bytes that a job's lasting record may take besides its key.
const JOB_RECORD_BYTES: usize = 700;
/// Writes that a transaction must have room for beyond those of blocks: one for
/// the block itself, and one for the job's lasting record.
const SPARE_OPERATIONS: usize = 2;

/// One job's part of a transaction.
pub(super) struct JobChange {
    /// What the answer is matched with.
    pub(super) write: JobWrite,
    pub(super) preconditions: Vec<Precondition>,
    pub(super) writes: Vec<Write>,
    /// Estimated size of the writes, in bytes.
    pub(super) bytes: usize,
    pub(super) urgency: Urgency,
}

impl JobChange {
    /// The part of a job in the next transaction, if anything of it is to be
    /// written now.
    pub(super) fn of(
        shard: ShardId,
        job: &Job,
        ctx: &Context,
        writes_progress: bool,
    ) -> Option<Self> {
        let is_final = job.is_over();
        let needs_cancellation = job.is_cancelled && !job.is_cancellation_durable;
        let mut change = Self {
            write: JobWrite {
                id: job.spec.id.clone(),
                version: job.version,
                blocks: Vec::new(),
                is_final,
                records_cancellation: false,
            },
            preconditions: Vec::new(),
            writes: Vec::new(),
            bytes: 0,
            urgency: urgency(job, writes_progress)?,
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

    /// Removes the head of a finished job.
    fn remove_head(&mut self, shard: ShardId, job: &Job) {
        let key = job.block_key(shard, 0);
        self.preconditions.push(Precondition {
            key: key.clone(),
            version: job.blocks[&0].record_version,
        });
        self.writes.push(Write::Remove { key });
        self.write.blocks.push(0);
    }

    /// Writes the changed blocks, as far as they fit. A cancellation is kept in
    /// the head, so the head is written with it.
    fn put_blocks(
        &mut self,
        shard: ShardId,
        job: &Job,
        max_operations: usize,
        needs_cancellation: bool,
    ) {
        // While the job is moved to another layout its head goes last.
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
            if self.writes.len() + SPARE_OPERATIONS > max_operations {
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
        // The key is in the precondition and in the write.
        self.bytes += value.to_string().len() + key.len() * 2;
        self.preconditions.push(Precondition {
            key: key.clone(),
            version: record_version,
        });
        self.writes.push(Write::put(key, value));
        self.write.blocks.push(number);
    }

    /// Writes the stage in which the job ends to its lasting record.
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

/// How urgent the next write of a job is; none if it can wait.
fn urgency(job: &Job, writes_progress: bool) -> Option<Urgency> {
    let needs_cancellation = job.is_cancelled && !job.is_cancellation_durable;
    if job.is_over() || needs_cancellation {
        return Some(Urgency::User);
    }
    let mut bindings = job.bound.values();
    if bindings.any(|b| b.start == StartState::NotSent && b.stop.is_none()) {
        return Some(Urgency::Tasks);
    }
    writes_progress.then_some(Urgency::Background)
}
