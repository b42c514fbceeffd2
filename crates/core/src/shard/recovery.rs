//! Recovery of a shard after a change of its holder: the jobs are restored from the
//! records that earlier holders wrote.
//!
//! The shard becomes active only when the view has reached the revision of the
//! records that were read. From then on, a machine that a record names and the view
//! lacks is known to be deleted.

use super::{remove_key, RecoveryState, Shard};
use crate::context::Context;
use crate::records::{unfinished_jobs_prefix, JobHeadRecord, TaskBlockRecord};
use crate::shard::job::EventAge;
use crate::shard::layout::BlockLayout;
use crate::store::view::{ChangedMachines, ClusterView};
use forkshift_wire::JobId;
use serde_json::{from_value, Value};

impl Shard {
    /// Restores the shard's machines and jobs, and makes the shard active. The caller
    /// ensures that the view has reached the revision of the records that were read.
    ///
    /// Does nothing while the type of one of the machines is unknown; the caller tries
    /// again in its next step.
    pub(crate) fn activate(&mut self, ctx: &mut Context, view: &ClusterView) {
        if !self.are_machine_types_known(view) {
            log::error!(
                "shard {}: not recovered, unknown machine type; retrying",
                self.id
            );
            return;
        }
        self.recovery_state = RecoveryState::Active;
        self.active_since = ctx.now;
        self.sync_machine_records(ctx, view, &ChangedMachines::all_machines());
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

    /// Whether the view contains the types of all machines of the shard. A machine of
    /// an unknown type would be treated as deleted, and its tasks as not running.
    fn are_machine_types_known(&self, view: &ClusterView) -> bool {
        view.machines
            .values()
            .filter(|m| m.record.shard == self.id)
            .all(|m| view.machine_types.contains_key(&m.record.machine_type))
    }

    /// Restores the jobs from the listed records: first all heads, then the other
    /// blocks. A block that has no head, is unreadable, or belongs to another layout
    /// is removed from the store.
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

    /// Restores a job from its head, which also contains block 0. An unreadable head
    /// is logged and skipped.
    fn restore_head(&mut self, ctx: &mut Context, value: Value, version: u64) {
        let head: JobHeadRecord = match from_value(value) {
            Ok(head) => head,
            Err(error) => {
                log::error!("shard {}: unreadable job record skipped, {error}", self.id);
                return;
            }
        };
        let id = head.spec.id.clone();
        let layout = BlockLayout::from_head(head.tasks_per_block, &ctx.config.state_limits);
        self.add_job(ctx, head.spec, Some(layout), head.submitted_at_ms, version);
        self.restore_block(ctx, &id, 0, head.block, version);
        if head.cancelled {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_cancelled = true;
                job.is_cancellation_durable = true;
                job.cancelled_at_wall_ms = head.cancelled_at_ms;
                job.cancellation_age = EventAge {
                    age_when_learned_ms: ctx.max_age_ms(head.cancelled_at_ms),
                    learned_at: ctx.now,
                };
                self.cancelled_jobs.mark_due(&id);
            }
        }
    }

    /// Restores the completed tasks and the bindings of one block of a job.
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
        for (index, binding) in job.restore_block(block, record, version, ctx.now) {
            if self.machines.contains_key(&binding.machine) {
                self.bind(id, index, binding);
            } else if let Some(job) = self.jobs.get_mut(id) {
                // The machine's record was removed, so the machine is deleted and the
                // task isn't running. The block is written without the binding.
                let block = job.block_of(index);
                job.mark_block_changed(block);
            }
        }
    }
}
