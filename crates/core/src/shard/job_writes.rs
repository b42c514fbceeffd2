//! Writes of changed jobs to the key-value store.
//!
//! The scheduler changes jobs in memory; this module makes the changes durable. A
//! job has at most one write in flight, and the changes of several jobs share a
//! transaction. An action that requires a durable change (a reply to a user, a start
//! command, a `forget` command) is held back until the block's committed version
//! has reached the `memory_version` of the change.

mod change;
mod responses;

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::shard::Shard;
use crate::store::queue::Urgency;
use change::JobChange;
use forkshift_wire::state::Transaction;
use forkshift_wire::JobId;

/// Upper bound on the estimated size of the jobs' records in one transaction, in
/// bytes. The rest of the store's limit of 64 KiB is left for preconditions and JSON
/// syntax.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;

/// Changes of several jobs that share one transaction. All have the same urgency.
#[derive(Default)]
struct TransactionBatch {
    changes: Vec<JobChange>,
    /// Number of writes in all changes.
    operations: usize,
    /// Estimated size of all changes, in bytes.
    bytes: usize,
}

impl TransactionBatch {
    /// Whether a change can be added within the limits on writes and bytes. An empty
    /// batch accepts any change.
    fn accepts(&self, change: &JobChange, max_operations: usize) -> bool {
        let Some(first) = self.changes.first() else {
            return true;
        };
        first.urgency == change.urgency
            && self.operations + change.writes.len() <= max_operations
            && self.bytes + change.bytes <= MAX_TRANSACTION_BYTES
    }

    fn push(&mut self, change: JobChange) {
        self.operations += change.writes.len();
        self.bytes += change.bytes;
        self.changes.push(change);
    }
}

impl Shard {
    /// Writes the changed jobs that are due. Changes that only record task progress
    /// are written if `include_progress` is set, which the caller does at most once a
    /// scheduling round.
    pub(crate) fn write_jobs(&mut self, ctx: &mut Context, include_progress: bool) {
        if include_progress {
            for id in std::mem::take(&mut self.progress_writes.jobs) {
                self.unwritten_jobs.mark_due(&id);
            }
        }
        let mut changes: Vec<JobChange> = Vec::new();
        for id in self.unwritten_jobs.pop_due(ctx.now) {
            ctx.work_units += 1;
            changes.extend(self.due_change(ctx, id, include_progress));
        }
        changes.sort_by_key(|change| change.urgency);
        self.send_changes(ctx, changes);
    }

    /// The change of a job to be written now; none if the job is unchanged, has a
    /// call in flight, is paused after a failed write, or has only progress to record.
    fn due_change(
        &mut self,
        ctx: &Context,
        id: JobId,
        include_progress: bool,
    ) -> Option<JobChange> {
        let job = self.jobs.get(&id)?;
        // The job becomes due again when its call in flight has ended.
        if job.has_record_call_in_flight {
            return None;
        }
        if ctx.now < job.write_retry_at {
            self.unwritten_jobs.set_deadline(&id, job.write_retry_at);
            return None;
        }
        if job.is_dirty() && !job.is_finished() && !job.is_changing_layout {
            self.change_layout_if_too_large(ctx, &id);
        }
        let job = self.jobs.get(&id)?;
        let change = JobChange::for_job(self.id, job, ctx, include_progress);
        if change.is_none() && job.is_dirty() {
            self.progress_writes.jobs.insert(id);
        }
        change
    }

    /// Sends changes, which are sorted by urgency, in as few transactions as the
    /// limits of the store and of the call queue allow.
    fn send_changes(&mut self, ctx: &mut Context, changes: Vec<JobChange>) {
        let max_batch = ctx.limits.txn_ops.min(ctx.store.max_writes_per_batch());
        let mut batch = TransactionBatch::default();
        for change in changes {
            let max_operations = match change.urgency {
                Urgency::Tasks | Urgency::Background => max_batch,
                _ => ctx.limits.txn_ops,
            };
            if !batch.accepts(&change, max_operations) {
                self.send_batch(ctx, std::mem::take(&mut batch));
            }
            batch.push(change);
        }
        self.send_batch(ctx, batch);
    }

    /// Moves a job to a layout with smaller blocks if its records would exceed the
    /// store's limits. Controllers of the first release can't read explicit layouts,
    /// so no job is moved while the finalized format is that of the first release.
    fn change_layout_if_too_large(&mut self, ctx: &Context, id: &JobId) {
        if ctx.format.is_first() {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let layout = job.layout().fit_to_limits(&ctx.limits, &job.spec);
        if layout != job.layout() {
            job.change_layout(layout, self.id);
        }
    }

    /// Sends a batch as one transaction, unless the batch is empty. The transaction
    /// requires that the shard is still held under this epoch.
    fn send_batch(&mut self, ctx: &mut Context, batch: TransactionBatch) {
        let Some(urgency) = batch.changes.first().map(|change| change.urgency) else {
            return;
        };
        let mut transaction = Transaction {
            preconditions: vec![self.fencing_precondition()],
            writes: Vec::new(),
        };
        let mut jobs = Vec::new();
        for change in batch.changes {
            transaction.preconditions.extend(change.preconditions);
            transaction.writes.extend(change.writes);
            if let Some(job) = self.jobs.get_mut(&change.write.id) {
                job.has_record_call_in_flight = true;
            }
            jobs.push(change.write);
        }
        let (shard, epoch) = (self.id, self.epoch);
        let pending = PendingCall::JobTransaction { shard, epoch, jobs };
        ctx.transact(urgency, &transaction, pending);
    }
}

#[cfg(test)]
mod tests;
