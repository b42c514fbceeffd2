//! Recovery of a shard after its holder changed: its jobs are restored from the
//! records that earlier holders wrote.
//!
//! A shard is active only once the view is as new as the records that were
//! read: then a machine that the view lacks is known to be deleted.

use super::{remove_key, RecoveryState, Shard};
use crate::context::Context;
use crate::records::{unfinished_jobs_prefix, JobHeadRecord, TaskBlockRecord};
use crate::shard::job::EventAge;
use crate::shard::layout::Layout;
use crate::store::view::{ChangedMachines, ClusterView};
use forkshift_wire::JobId;
use serde_json::{from_value, Value};

impl Shard {
    /// Makes the shard active, once the view is as new as the records that were
    /// read: only then is a machine that the view lacks known to be deleted.
    pub(crate) fn activate(&mut self, ctx: &mut Context, view: &ClusterView) {
        if !self.are_machine_types_known(view) {
            log::error!("shard {}: not recovered, unknown machine type", self.id);
            return;
        }
        self.recovery_state = RecoveryState::Active;
        self.active_since = ctx.now;
        self.apply_machine_records(ctx, view, &ChangedMachines::everything());
        self.restore_jobs(ctx);
        for (id, job) in &self.jobs {
            self.unwritten_jobs.mark_due(id);
            if job.is_gang() {
                self.incomplete_gangs.insert(id.clone());
            }
        }
        log::info!(
            "shard {}: recovered, {} jobs, {} machines",
            self.id,
            self.jobs.len(),
            self.machines.len()
        );
    }

    /// Whether the view knows the types of all machines of the shard. A machine
    /// of an unknown type would be taken for a deleted one.
    fn are_machine_types_known(&self, view: &ClusterView) -> bool {
        view.machines
            .values()
            .filter(|m| m.record.shard == self.id)
            .all(|m| view.machine_types.contains_key(&m.record.machine_type))
    }

    /// Restores jobs from the records that were read: first the heads, then the
    /// blocks. Blocks without a head, or of another layout, are removed.
    fn restore_jobs(&mut self, ctx: &mut Context) {
        let prefix = unfinished_jobs_prefix(self.id);
        let mut blocks = Vec::new();
        for item in self.jobs_watch.take_loaded_items() {
            let name = item.key.strip_prefix(&prefix).unwrap_or_default();
            match name.split_once('/') {
                None => self.restore_head(ctx, item.value, item.version),
                Some((id, block)) => blocks.push((JobId::new(id), block.to_owned(), item)),
            }
        }
        for (id, block, item) in blocks {
            let job = self.jobs.get(&id);
            let block = job.and_then(|job| job.layout().parse_block(&block));
            match (block, from_value::<TaskBlockRecord>(item.value)) {
                (Some(block), Ok(record)) => {
                    self.restore_block(ctx, &id, block, record, item.version);
                }
                _ => remove_key(ctx, item.key, item.version),
            }
        }
    }

    /// Restores a job from its head, which holds block 0 too.
    fn restore_head(&mut self, ctx: &mut Context, value: Value, version: u64) {
        let head: JobHeadRecord = match from_value(value) {
            Ok(head) => head,
            Err(error) => {
                log::error!("shard {}: unreadable job record, {error}", self.id);
                return;
            }
        };
        let id = head.spec.id.clone();
        let layout = Layout::recorded(head.tasks_per_block, &ctx.config.state_limits);
        self.add_job(ctx, head.spec, Some(layout), head.submitted_at_ms, version);
        self.restore_block(ctx, &id, 0, head.block, version);
        if head.cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_cancelled = true;
                job.is_cancellation_durable = true;
                job.cancelled_at_wall_ms = head.cancelled_at_ms;
                job.cancellation_age = EventAge {
                    when_learned_ms: ctx.max_age_ms(head.cancelled_at_ms),
                    learned_at: ctx.now,
                };
                self.cancelled_jobs.mark_due(&id);
            }
        }
    }

    /// Restores a block of a job's tasks.
    fn restore_block(
        &mut self,
        ctx: &Context,
        id: &JobId,
        block: u32,
        record: TaskBlockRecord,
        version: u64,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (index, binding) in job.restore(block, record, version, ctx.now) {
            if self.machines.contains_key(&binding.machine) {
                self.bind(id, index, binding);
            } else if let Some(job) = self.jobs.get_mut(id) {
                // Its machine's record is removed, so the machine is deleted.
                let block = job.block_of(index);
                job.mark_block_changed(block);
            }
        }
    }
}
