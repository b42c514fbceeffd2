//! Responses of the key-value store to writes of jobs, and the reads that resolve
//! failed preconditions.

use crate::api::status_of_stage;
use crate::context::Context;
use crate::io::{Reply, RequestId};
use crate::pending_call::{JobWrite, PendingCall};
use crate::recent_jobs::FinalStages;
use crate::records::{job_key, shard_key, JobRecord, ShardId};
use crate::shard::job::{Job, StartState, StoredBlock};
use crate::shard::{remove_key, Shard};
use crate::store::queue::Urgency;
use crate::Ms;
use forkshift_wire::state::{Item, TransactionReply};
use forkshift_wire::users::JobStage;
use forkshift_wire::JobId;

/// Pause before a failed write is retried, in milliseconds.
const RETRY_PAUSE_MS: Ms = 150;
/// Pause before a write is retried that the store refused as malformed or too large
/// although it keeps to the smallest configured limits, in milliseconds. A retry
/// can't be made any smaller, so it is rarely of use.
const REFUSED_RETRY_PAUSE_MS: Ms = 5_000;

impl Shard {
    /// Marks a write or a read of a job's records as ended, and the job as due for
    /// its next write.
    fn end_record_call(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        job.has_record_call_in_flight = false;
        self.unwritten_jobs.mark_due(id);
        Some(job)
    }

    /// Handles the response to a transaction that writes jobs.
    pub(crate) fn on_jobs_written(
        &mut self,
        ctx: &mut Context,
        final_stages: &mut FinalStages,
        jobs: Vec<JobWrite>,
        status: u16,
        body: &[u8],
    ) {
        let reply: TransactionReply = serde_json::from_slice(body).unwrap_or_default();
        for write in jobs {
            let Some(job) = self.end_record_call(&write.id) else {
                continue;
            };
            if status == 200 {
                self.on_job_written(ctx, final_stages, &write, reply.revision);
                continue;
            }
            job.write_retry_at = ctx.now + retry_pause(ctx, status);
            if status == 503 {
                // The write is retried, but users who wait for the cancellation are
                // told at once to retry their requests.
                for request in std::mem::take(&mut job.cancel_waiters) {
                    ctx.respond(request, Reply::unavailable("not now"));
                }
            }
            // Without a response, the store may have executed the write or may still
            // do so. A retry under the same preconditions is safe in either case. If
            // the precondition on the shard's record failed, no read is needed: the
            // view will show the shard's new holder.
            if status == 409 && !reply.failed.contains(&shard_key(self.id)) {
                self.read_conflicting_blocks(ctx, &write, &reply.failed);
            }
        }
    }

    /// Reads the blocks of a job whose preconditions failed.
    fn read_conflicting_blocks(&mut self, ctx: &mut Context, write: &JobWrite, failed: &[String]) {
        let (shard, epoch) = (self.id, self.epoch);
        let Some(job) = self.jobs.get_mut(&write.id) else {
            return;
        };
        for block in &write.blocks {
            let key = job.block_key(shard, *block);
            if failed.contains(&key) {
                job.has_record_call_in_flight = true;
                let pending = PendingCall::JobBlockRead {
                    shard,
                    epoch,
                    id: write.id.clone(),
                    block: *block,
                };
                ctx.read_store(Urgency::Tasks, format!("/kv/{key}"), pending);
            }
        }
    }

    /// Handles the read of a block whose precondition failed because the store had
    /// executed an earlier write of this controller without a response. Only the
    /// record's version is adopted: no other controller writes the record while this
    /// one holds the shard, so the state in memory is at least as new.
    pub(crate) fn on_block_read(
        &mut self,
        ctx: &mut Context,
        id: &JobId,
        block: u32,
        status: u16,
        body: &[u8],
    ) {
        let Some(job) = self.end_record_call(id) else {
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
                // The job's head is removed: by the final write of this controller,
                // or by that of the shard's next holder, with perhaps another final
                // stage. The permanent record tells which.
                job.has_record_call_in_flight = true;
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
            _ => job.write_retry_at = ctx.now + RETRY_PAUSE_MS,
        }
    }

    /// Handles the read of the permanent record of a job whose head is removed.
    /// Stops the job's tasks, and drops the job if no task is bound any more.
    pub(crate) fn on_final_read(
        &mut self,
        ctx: &mut Context,
        final_stages: &mut FinalStages,
        id: &JobId,
        status: u16,
        body: &[u8],
    ) {
        let Some(job) = self.end_record_call(id) else {
            return;
        };
        job.write_retry_at = ctx.now + RETRY_PAUSE_MS;
        let item: Option<Item> = serde_json::from_slice(body).ok().filter(|_| status == 200);
        let Some(item) = item else { return };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
            return;
        };
        if !record.stage.is_final() {
            return;
        }
        final_stages.insert(id.clone(), record.stage);
        let waiters = std::mem::take(&mut job.cancel_waiters);
        answer_waiters(ctx, waiters, id, record.stage);
        // The watch may still show versions of the head up to its last one, which
        // may be newer than the permanent record. If only the record's version
        // counted, such an event would add the finished job again, and the job would
        // never finish.
        let block_versions = job.blocks.values().map(|block| block.record_version);
        let revision = block_versions.fold(item.version, u64::max);
        self.stop_remaining_tasks(id);
        self.unbind_unsent_stopped_tasks(id);
        if self.jobs.get(id).is_some_and(|j| j.bindings.is_empty()) {
            self.remove_job(id, revision);
        }
    }

    /// Handles a job's part of a transaction that the store has executed.
    fn on_job_written(
        &mut self,
        ctx: &mut Context,
        final_stages: &mut FinalStages,
        write: &JobWrite,
        revision: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&write.id) else {
            return;
        };
        job.mark_written(write, revision);
        let names_layout = write.blocks.contains(&0) && !write.is_final;
        if job.is_changing_layout && names_layout {
            for old_block in job.finish_layout_change() {
                remove_key(ctx, old_block.key, old_block.version);
            }
        }
        if write.records_cancellation {
            job.is_cancellation_durable = true;
        }
        // A task may be started once its binding is durable.
        let bindings = job.bindings.values();
        for binding in bindings.filter(|b| b.start == StartState::NotSent) {
            self.machines_to_reconcile.mark_due(&binding.machine);
        }
        let stage = job.final_stage();
        if write.is_final || write.records_cancellation {
            final_stages.insert_written(write.id.clone(), stage);
            let waiters = std::mem::take(&mut job.cancel_waiters);
            answer_waiters(ctx, waiters, &write.id, stage);
        }
        if write.is_final {
            self.on_job_finished(ctx, &write.id, revision);
        }
    }

    /// Drops a job whose final write was executed, and removes its remaining blocks
    /// from the store.
    fn on_job_finished(&mut self, ctx: &mut Context, id: &JobId, revision: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        log::info!(
            "job {id}: {:?}, {} ms after its submission, recovery or last dependency",
            job.final_stage(),
            ctx.now - job.submission_age.learned_at
        );
        for block in job.stored_blocks(self.id) {
            remove_key(ctx, block.key, block.version);
        }
        self.remove_job(id, revision);
    }
}

impl Job {
    /// Marks the blocks of a write as written at a revision: staged while the layout
    /// is being changed, otherwise committed.
    fn mark_written(&mut self, write: &JobWrite, revision: u64) {
        for number in &write.blocks {
            let is_staged = self.is_changing_layout && *number > 0;
            let Some(block) = self.blocks.get_mut(number) else {
                continue;
            };
            block.record_version = revision;
            if is_staged {
                block.staged_version = block.staged_version.max(write.version);
            } else {
                block.committed_version = block.committed_version.max(write.version);
            }
        }
    }

    /// The stored blocks without the head, those of the previous layout last.
    fn stored_blocks(&self, shard: ShardId) -> Vec<StoredBlock> {
        self.blocks
            .iter()
            .filter(|(number, block)| **number > 0 && block.record_version > 0)
            .map(|(number, block)| StoredBlock {
                key: self.block_key(shard, *number),
                version: block.record_version,
            })
            .chain(self.obsolete_blocks.iter().cloned())
            .collect()
    }
}

/// Pause before a failed write is retried, in milliseconds. After a refusal
/// as malformed or too large (status 400), the write is built again within smaller
/// limits; the pause is long if the smallest configured limits were in force already.
fn retry_pause(ctx: &Context, status: u16) -> Ms {
    let has_least_limits = ctx.limits == ctx.config.min_state_limits;
    if status == 400 && has_least_limits {
        REFUSED_RETRY_PAUSE_MS
    } else {
        RETRY_PAUSE_MS
    }
}

/// Answers users who wait for a cancellation with the job's final stage.
fn answer_waiters(ctx: &mut Context, waiters: Vec<RequestId>, id: &JobId, stage: JobStage) {
    for request in waiters {
        ctx.respond(request, Reply::json(200, &status_of_stage(id, stage)));
    }
}
