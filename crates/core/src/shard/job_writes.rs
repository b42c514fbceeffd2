//! Writing jobs: what is decided in memory becomes durable here.
//!
//! A job has at most one write under way. What waits for a write (an answer
//! to a user, a start command, a `forget`) compares the version it needs with
//! the version that is known to be written.

use crate::api::status;
use crate::context::Context;
use crate::io::{Reply, RequestId};
use crate::pending_call::{JobWrite, PendingCall};
use crate::recent_jobs::FinalStages;
use crate::records::{job_key, shard_key, JobRecord};
use crate::shard::job::{Job, StartState};
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Item, Precondition, Transaction, TransactionReply, Write};
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;
use serde_json::to_value;

/// Pause before a write that failed is tried again.
const RETRY_PAUSE: Ms = 150;
/// Pause before a write is tried again that was refused as malformed or too
/// large although it keeps to the smallest limits that are known.
const REFUSED_RETRY: Ms = 5_000;
/// A transaction's share of the 64 KiB that it may have.
const TRANSACTION_BYTES: usize = 40 * 1024;

/// One job's part of a transaction.
struct JobChange {
    write: JobWrite,
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
    bytes: usize,
    urgency: Urgency,
}

impl Shard {
    /// Writes what has changed. Mere progress waits for `progress`, so that a
    /// job is written at most once a round.
    pub(crate) fn write_jobs(&mut self, ctx: &mut Context, progress: bool) {
        if progress {
            for id in std::mem::take(&mut self.progress_writes.jobs) {
                self.unwritten_jobs.touch(&id);
            }
        }
        let mut parts: Vec<JobChange> = Vec::new();
        for id in self.unwritten_jobs.take(ctx.now) {
            ctx.work_units += 1;
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            // What is being written is looked at again when that has ended.
            if job.has_write_in_flight {
                continue;
            }
            if ctx.now < job.retry_at {
                self.unwritten_jobs.wake(&id, job.retry_at);
                continue;
            }
            if job.is_dirty() && !job.is_over() && !job.is_changing_layout {
                self.keep_within_limits(ctx, &id);
            }
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            match job_change(self, job, ctx, progress) {
                Some(part) => parts.push(part),
                None if job.is_dirty() => {
                    self.progress_writes.jobs.insert(id);
                }
                None => {}
            }
        }
        parts.sort_by_key(|p| p.urgency);
        let together_most = ctx.limits.txn_ops.min(ctx.store.batch_limit());
        let mut group: Vec<JobChange> = Vec::new();
        let (mut ops, mut bytes) = (0, 0);
        for part in parts {
            let most = match part.urgency {
                Urgency::Tasks | Urgency::Background => together_most,
                _ => ctx.limits.txn_ops,
            };
            let full = ops + part.writes.len() > most || bytes + part.bytes > TRANSACTION_BYTES;
            let other = group.first().is_some_and(|p| p.urgency != part.urgency);
            if !group.is_empty() && (full || other) {
                self.send_group(ctx, std::mem::take(&mut group));
                (ops, bytes) = (0, 0);
            }
            ops += part.writes.len();
            bytes += part.bytes;
            group.push(part);
        }
        if !group.is_empty() {
            self.send_group(ctx, group);
        }
    }

    /// Moves a job to a smaller layout if its records would be too large. The
    /// old release knows one layout only, so nothing is moved for it.
    fn keep_within_limits(&mut self, ctx: &Context, id: &JobId) {
        if ctx.format.is_first() {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let layout = job.layout().within(&ctx.limits, &job.spec);
        if layout != job.layout() {
            job.change_layout(layout, self.id);
        }
    }

    fn send_group(&mut self, ctx: &mut Context, group: Vec<JobChange>) {
        let urgency = group[0].urgency;
        let mut transaction = Transaction {
            preconditions: vec![self.held_precondition()],
            writes: Vec::new(),
        };
        let mut jobs = Vec::new();
        for part in group {
            transaction.preconditions.extend(part.preconditions);
            transaction.writes.extend(part.writes);
            if let Some(job) = self.jobs.get_mut(&part.write.id) {
                job.has_write_in_flight = true;
            }
            jobs.push(part.write);
        }
        let (shard, epoch) = (self.id, self.epoch);
        ctx.transact(
            urgency,
            &transaction,
            PendingCall::JobTransaction { shard, epoch, jobs },
        );
    }

    /// A job that was being written, or its record read, is looked at again.
    fn write_ended(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        job.has_write_in_flight = false;
        self.unwritten_jobs.touch(id);
        Some(job)
    }

    /// A transaction that writes jobs was answered.
    pub(crate) fn on_jobs_written(
        &mut self,
        ctx: &mut Context,
        finals: &mut FinalStages,
        jobs: Vec<JobWrite>,
        status: u16,
        body: &[u8],
    ) {
        let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
        let (shard, epoch) = (self.id, self.epoch);
        for write in jobs {
            let Some(job) = self.write_ended(&write.id) else {
                continue;
            };
            if status == 200 {
                self.written(ctx, finals, &write, reply.revision);
                continue;
            }
            job.retry_at = ctx.now + retry_pause(ctx, status);
            if status == 503 {
                // The write is tried again all the same; whoever waits for it
                // is told at once to come back.
                for request in std::mem::take(&mut job.cancel_waiters) {
                    ctx.respond(request, Reply::later("not now"));
                }
            }
            // Without an answer, perhaps it was carried out, perhaps it will
            // be. Writing again on the same conditions is safe either way. If
            // the shard's record has changed, the view will tell whose it is.
            if status != 409 || reply.failed.contains(&shard_key(shard)) {
                continue;
            }
            for block in &write.blocks {
                let key = job.block_key(shard, *block);
                if reply.failed.contains(&key) {
                    job.has_write_in_flight = true;
                    let (id, block) = (write.id.clone(), *block);
                    let pending = PendingCall::JobBlockRead {
                        shard,
                        epoch,
                        id,
                        block,
                    };
                    ctx.read_store(Urgency::Tasks, format!("/kv/{key}"), pending);
                }
            }
        }
    }

    /// An earlier write of ours, which had no answer, was carried out after
    /// all: its version is taken from the record. Nobody else writes it while
    /// the shard is ours.
    pub(crate) fn on_block_read(
        &mut self,
        ctx: &mut Context,
        id: &JobId,
        block: u32,
        status: u16,
        body: &[u8],
    ) {
        let Some(job) = self.write_ended(id) else {
            return;
        };
        let found: Option<Item> = serde_json::from_slice(body).ok();
        match (status, found) {
            (200, Some(item)) => {
                if let Some(block) = job.blocks.get_mut(&block) {
                    block.record_version = item.version;
                }
            }
            (404, _) if block == 0 => {
                // The job is over, by our own last write or by that of a new
                // holder of the shard, whose outcome may differ from ours.
                job.has_write_in_flight = true;
                let (shard, epoch, id) = (self.id, self.epoch, id.clone());
                let path = format!("/kv/{}", job_key(&id));
                let pending = PendingCall::JobFinalRead { shard, epoch, id };
                ctx.read_store(Urgency::Tasks, path, pending);
            }
            (404, _) => {
                if let Some(block) = job.blocks.get_mut(&block) {
                    block.record_version = 0;
                }
            }
            _ => job.retry_at = ctx.now + RETRY_PAUSE,
        }
    }

    /// What became of a job whose live record is gone.
    pub(crate) fn on_final_read(
        &mut self,
        ctx: &mut Context,
        finals: &mut FinalStages,
        id: &JobId,
        status: u16,
        body: &[u8],
    ) {
        let Some(job) = self.write_ended(id) else {
            return;
        };
        job.retry_at = ctx.now + RETRY_PAUSE;
        let item: Option<Item> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(item) = item else { return };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
            return;
        };
        if !record.stage.is_final() {
            return;
        }
        finals.insert(id.clone(), record.stage);
        let waiters = std::mem::take(&mut job.cancel_waiters);
        answer(ctx, waiters, id, record.stage);
        // The job's record may be older than its head was, which the watch may
        // still show: a job that was over once came back, for ever.
        let revision = job
            .blocks
            .values()
            .map(|b| b.record_version)
            .max()
            .unwrap_or(0);
        let revision = revision.max(item.version);
        self.stop_remaining_tasks(id);
        self.unbind_unsent(id);
        if self.jobs.get(id).is_some_and(|j| j.bound.is_empty()) {
            self.forget_job(id, revision);
        }
    }

    fn written(
        &mut self,
        ctx: &mut Context,
        finals: &mut FinalStages,
        write: &JobWrite,
        revision: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&write.id) else {
            return;
        };
        for block in &write.blocks {
            let is_staged = job.is_changing_layout && *block > 0;
            if let Some(block) = job.blocks.get_mut(block) {
                block.record_version = revision;
                if is_staged {
                    block.staged = block.staged.max(write.version);
                } else {
                    block.committed = block.committed.max(write.version);
                }
            }
        }
        let is_moved = job.is_changing_layout && write.blocks.contains(&0) && !write.is_final;
        let left_over = if is_moved {
            job.finish_layout_change()
        } else {
            Vec::new()
        };
        for (key, version) in left_over {
            crate::shard::remove_key(ctx, key, version);
        }
        if write.records_cancellation {
            job.is_cancellation_durable = true;
        }
        // What was recorded may be started now.
        for binding in job
            .bound
            .values()
            .filter(|b| b.start == StartState::NotSent)
        {
            self.recheck.touch(&binding.machine);
        }
        let stage = job.final_stage();
        if write.is_final || write.records_cancellation {
            finals.insert_written(write.id.clone(), stage);
            let waiters = std::mem::take(&mut job.cancel_waiters);
            answer(ctx, waiters, &write.id, stage);
        }
        if write.is_final {
            log::info!(
                "job {}: {stage:?} after {} ms",
                write.id,
                ctx.now - job.learnt_at
            );
            let rest: Vec<(String, u64)> = job
                .blocks
                .iter()
                .filter(|(b, block)| **b > 0 && block.record_version > 0)
                .map(|(b, block)| (job.block_key(self.id, *b), block.record_version))
                .chain(job.old_blocks.iter().cloned())
                .collect();
            for (key, version) in rest {
                crate::shard::remove_key(ctx, key, version);
            }
            self.forget_job(&write.id, revision);
        }
    }
}

/// Pause before a write is tried again. One that is too large is cut to smaller
/// limits next time, if there are any.
fn retry_pause(ctx: &Context, status: u16) -> Ms {
    let is_cut = ctx.limits == ctx.config.least_state_limits;
    if status == 400 && is_cut {
        REFUSED_RETRY
    } else {
        RETRY_PAUSE
    }
}

/// Tells users who wait for a cancellation how the job ended.
fn answer(ctx: &mut Context, waiters: Vec<RequestId>, id: &JobId, stage: JobStage) {
    for request in waiters {
        ctx.respond(request, Reply::json(200, &status(id, stage)));
    }
}

/// A job's part of the next transaction, if it has any.
fn job_change(shard: &Shard, job: &Job, ctx: &Context, progress: bool) -> Option<JobChange> {
    let id = &job.spec.id;
    let last = job.is_over();
    let cancel = job.is_cancelled && !job.is_cancellation_durable;
    let unsent = job
        .bound
        .values()
        .any(|b| b.start == StartState::NotSent && b.stop.is_none());
    let urgency = if last || cancel {
        Urgency::User
    } else if unsent {
        Urgency::Tasks
    } else if progress {
        Urgency::Background
    } else {
        return None;
    };
    let mut preconditions = Vec::new();
    let mut writes = Vec::new();
    let mut blocks = Vec::new();
    let mut bytes = 0;
    if last {
        let block = &job.blocks[&0];
        let key = job.block_key(shard.id, 0);
        preconditions.push(Precondition {
            key: key.clone(),
            version: block.record_version,
        });
        writes.push(Write::Remove { remove: key });
        blocks.push(0);
    } else {
        // While the job is moved to another layout its head goes last.
        let head = job.blocks.get_key_value(&0);
        let (first, last) = if job.is_changing_layout {
            (None, head)
        } else {
            (head, None)
        };
        let others = job.blocks.range(1..);
        for (b, block) in first.into_iter().chain(others).chain(last) {
            // A cancellation is kept in the head, so the head goes with it.
            if !(block.is_dirty() || (cancel && *b == 0)) {
                continue;
            }
            if writes.len() + 2 > ctx.limits.txn_ops {
                break;
            }
            let key = job.block_key(shard.id, *b);
            let value = match b {
                0 => to_value(job.head_record()),
                _ => to_value(job.block_record(*b)),
            };
            let value = value.unwrap_or_default();
            bytes += value.to_string().len() + key.len() * 2;
            preconditions.push(Precondition {
                key: key.clone(),
                version: block.record_version,
            });
            writes.push(Write::put(key, value));
            blocks.push(*b);
        }
    }
    if writes.is_empty() {
        return None;
    }
    let cancel = cancel && blocks.contains(&0);
    if cancel || (last && !job.is_cancelled) {
        let record = JobRecord {
            spec: (*job.spec).clone(),
            shard: shard.id,
            stage: job.final_stage(),
        };
        bytes += 700;
        writes.push(Write::put(
            job_key(id),
            to_value(record).unwrap_or_default(),
        ));
    }
    Some(JobChange {
        write: JobWrite {
            id: id.clone(),
            version: job.version,
            blocks,
            is_final: last,
            records_cancellation: cancel,
        },
        preconditions,
        writes,
        bytes,
        urgency,
    })
}

#[cfg(test)]
mod tests;
