//! Adding and removing the jobs of a shard, and binding their tasks to machines.
//!
//! A task whose start may have been sent stays bound to its machine, and counts
//! against its team's quota, until there is evidence that the task isn't running.

use super::{RecoveryState, Shard};
use crate::context::Context;
use crate::shard::job::{Binding, Job, StartState, Stop};
use crate::shard::layout::BlockLayout;
use crate::Ms;
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, TaskRef};

impl Shard {
    /// Adds a job, unless the shard has it already, it is known to be finished, or
    /// its team doesn't belong to the shard.
    ///
    /// `layout` is none for a new job without recorded tasks.
    /// `submitted_at_wall_ms` is wall-clock time. `head_version` is the version of
    /// the job's head in the key-value store.
    pub(crate) fn add_job(
        &mut self,
        ctx: &mut Context,
        spec: JobSpec,
        layout: Option<BlockLayout>,
        submitted_at_wall_ms: Ms,
        head_version: u64,
    ) {
        let is_removed = self.jobs_watch.is_removed(&spec.id, head_version);
        if is_removed || self.jobs.contains_key(&spec.id) || !self.teams.contains_key(&spec.team) {
            return;
        }
        let image = ctx.images.intern(&spec.image);
        if self.arrivals_counted_since.is_some() {
            self.count_arrival(&spec, ctx.now);
        }
        let layout = layout.unwrap_or_else(|| new_job_layout(ctx, &spec));
        let mut job = Job::new(spec, image, head_version, layout, ctx.now);
        job.submitted_at_wall_ms = submitted_at_wall_ms;
        job.submission_age.age_when_learned_ms =
            ctx.wall_clock_ms.saturating_sub(submitted_at_wall_ms);
        if ctx.config.wait_objectives.contains_key(&job.spec.class) {
            self.schedule_round_soon(ctx);
        }
        if job.is_blocked() {
            self.new_blocked_jobs.push(job.spec.id.clone());
        }
        self.jobs.insert(job.spec.id.clone(), job);
        self.must_check_cancellations = true;
    }

    /// Handles another controller's message that it has accepted a job of this
    /// shard. Adds the job only if the watch has not yet reached the revision that
    /// created the job. Otherwise the job is known or already finished, and a late
    /// copy of the message must not add it again.
    pub(crate) fn on_job_accepted(
        &mut self,
        ctx: &mut Context,
        spec: JobSpec,
        submitted_at_wall_ms: Ms,
        revision: u64,
    ) {
        if self.recovery_state == RecoveryState::Active && self.jobs_watch.is_behind(revision) {
            self.add_job(ctx, spec, None, submitted_at_wall_ms, revision);
        }
    }

    /// Drops a finished job whose head was removed from the store at a revision.
    pub(crate) fn remove_job(&mut self, id: &JobId, revision: u64) {
        self.jobs.remove(id);
        self.unwritten_jobs.remove(id);
        self.cancelled_jobs.remove(id);
        self.progress_writes.jobs.remove(id);
        self.incomplete_gangs.remove(id);
        self.jobs_watch.record_removal(id, revision);
    }

    /// Binds a task to a machine: the task's resources count as used on the machine
    /// and in its team's quota. A machine that the shard lacks is ignored.
    pub(crate) fn bind(&mut self, id: &JobId, index: u32, binding: Binding) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used += job.task_resources;
            machine.tasks.insert(TaskRef {
                job: id.clone(),
                index,
            });
            machine.mark_image_used(job.image, job.spec.image_gb);
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used += job.task_resources;
        }
        job.bindings.insert(index, binding);
    }

    /// Unbinds a task that has exited or whose start was never sent, and schedules
    /// the write of the change. A gang is marked as incomplete. Returns the removed
    /// binding, or none if the task was not bound.
    pub(crate) fn unbind(&mut self, id: &JobId, index: u32) -> Option<Binding> {
        let job = self.jobs.get_mut(id)?;
        let binding = job.bindings.remove(&index)?;
        let block = job.block_of(index);
        job.mark_block_changed(block);
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used -= job.task_resources;
            machine.tasks.remove(&TaskRef {
                job: id.clone(),
                index,
            });
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used -= job.task_resources;
        }
        if job.is_gang() {
            self.incomplete_gangs.insert(id.clone());
        }
        self.unwritten_jobs.mark_due(id);
        Some(binding)
    }

    /// Stops the remaining tasks of a gang that has lost a task. The next attempt
    /// begins when all of them have exited. Does nothing for other jobs.
    pub(crate) fn stop_incomplete_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_gang() || job.is_complete() {
            return;
        }
        self.stop_remaining_tasks(id);
        self.unbind_unsent_stopped_tasks(id);
    }

    /// Requests the stop of all bound tasks of a job that are not being stopped yet,
    /// without time to save progress.
    pub(crate) fn stop_remaining_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for binding in job.bindings.values_mut() {
            binding.stop.get_or_insert(Stop::with_grace_s(0.0));
            self.machines_to_reconcile.mark_due(&binding.machine);
        }
    }

    /// Unbinds those tasks of a job that are to be stopped and whose start was never
    /// sent: they can't be running, so no evidence of their exit is needed.
    pub(crate) fn unbind_unsent_stopped_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unsent: Vec<u32> = job
            .bindings
            .iter()
            .filter(|(_, b)| b.start == StartState::NotSent && b.stop.is_some())
            .map(|(index, _)| *index)
            .collect();
        for index in unsent {
            self.unbind(id, index);
        }
    }

    /// Stops and unbinds those of the given tasks whose start was never sent, so that
    /// they can be placed elsewhere. The other tasks stay bound.
    pub(crate) fn stop_unsent_tasks(&mut self, tasks: Vec<TaskRef>) {
        for task in tasks {
            let job = self.jobs.get_mut(&task.job);
            let binding = job.and_then(|j| j.bindings.get_mut(&task.index));
            if let Some(binding) = binding.filter(|b| b.start == StartState::NotSent) {
                binding.stop = Some(Stop::with_grace_s(0.0));
                self.unbind_unsent_stopped_tasks(&task.job);
            }
        }
    }

    /// Requests the stop of a task, with the time that its job needs to save a
    /// checkpoint.
    pub(crate) fn stop_task(&mut self, task: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let stop = Stop::with_grace_s(job.spec.checkpoint_save_time_s);
        if let Some(binding) = job.bindings.get_mut(&task.index) {
            binding.stop = Some(stop);
            self.machines_to_reconcile.mark_due(&binding.machine);
        }
    }
}

/// The block layout of a new job. Controllers of the first release can read the
/// implicit layout only, so it is used as long as the finalized format is theirs.
pub(crate) fn new_job_layout(ctx: &Context, spec: &JobSpec) -> BlockLayout {
    let implicit = BlockLayout::implicit(&ctx.config.state_limits);
    if ctx.format.is_first() {
        return implicit;
    }
    implicit.fit_to_limits(&ctx.limits, spec)
}
