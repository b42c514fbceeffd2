//! The jobs of a shard, and which of their tasks are bound to which machine.
//!
//! A task that may have been started stays bound to its machine and counts
//! against its team's quota until there is evidence that it is not running.

use super::{RecoveryState, Shard};
use crate::context::Context;
use crate::shard::job::{Binding, Job, StartState, Stop};
use crate::shard::layout::Layout;
use crate::Ms;
use forkshift_wire::users::JobSpec;
use forkshift_wire::{JobId, TaskRef};

impl Shard {
    /// Adds a job, unless it is known or finished. `layout` is none for a job of
    /// which nothing is recorded but its submission; `submitted_at_wall_ms` is
    /// wall-clock time.
    pub(crate) fn add_job(
        &mut self,
        ctx: &mut Context,
        spec: JobSpec,
        layout: Option<Layout>,
        submitted_at_wall_ms: Ms,
        head_version: u64,
    ) {
        let is_removed = self.jobs_watch.is_removed(&spec.id, head_version);
        if is_removed || self.jobs.contains_key(&spec.id) || !self.teams.contains_key(&spec.team) {
            return;
        }
        let image = ctx.images.number(&spec.image);
        if self.arrivals_counted_since.is_some() {
            self.count_arrival(&spec, ctx.now);
        }
        let layout = layout.unwrap_or_else(|| new_layout(ctx, &spec));
        let mut job = Job::new(spec, image, head_version, layout, ctx.now);
        job.submitted_at_wall_ms = submitted_at_wall_ms;
        job.submission_age.when_learned_ms = ctx.wall_clock_ms.saturating_sub(submitted_at_wall_ms);
        if ctx.config.wait_objectives.contains_key(&job.spec.class) {
            self.schedule_round_soon(ctx);
        }
        if job.is_blocked() {
            self.new_blocked_jobs.push(job.spec.id.clone());
        }
        self.jobs.insert(job.spec.id.clone(), job);
        self.must_check_cancellations = true;
    }

    /// Adds a job that another controller has accepted, if the watch is behind
    /// the revision of its creation. Otherwise the job is known or finished, and
    /// a late copy of the message must not add it again.
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

    /// Drops a finished job whose head was removed at a revision.
    pub(crate) fn forget_job(&mut self, id: &JobId, revision: u64) {
        self.jobs.remove(id);
        self.unwritten_jobs.remove(id);
        self.cancelled_jobs.remove(id);
        self.progress_writes.jobs.remove(id);
        self.incomplete_gangs.remove(id);
        self.jobs_watch.note_removed(id, revision);
    }

    /// Binds a task to a machine: it takes resources there and of its team's
    /// quota.
    pub(crate) fn bind(&mut self, id: &JobId, index: u32, binding: Binding) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used += job.task;
            machine.tasks.insert(TaskRef {
                job: id.clone(),
                index,
            });
            machine.mark_image_used(job.image, job.spec.image_gb);
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used += job.task;
        }
        job.bound.insert(index, binding);
    }

    /// Unbinds a task, which has exited or was never started, and schedules the
    /// write of the change.
    pub(crate) fn unbind(&mut self, id: &JobId, index: u32) -> Option<Binding> {
        let job = self.jobs.get_mut(id)?;
        let binding = job.bound.remove(&index)?;
        let block = job.block_of(index);
        job.mark_block_changed(block);
        if let Some(machine) = self.machines.get_mut(&binding.machine) {
            machine.used -= job.task;
            machine.tasks.remove(&TaskRef {
                job: id.clone(),
                index,
            });
        }
        if let Some(team) = self.teams.get(&job.spec.team) {
            self.quotas[*team].used -= job.task;
        }
        if job.is_gang() {
            self.incomplete_gangs.insert(id.clone());
        }
        self.unwritten_jobs.mark_due(id);
        Some(binding)
    }

    /// Stops the remaining tasks of a gang's attempt: the next attempt begins
    /// when all of them have exited.
    pub(crate) fn on_gang_incomplete(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_gang() || job.is_complete() {
            return;
        }
        self.stop_remaining_tasks(id);
        self.unbind_unsent(id);
    }

    /// Stops every task of a job that is not being stopped yet.
    pub(crate) fn stop_remaining_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for binding in job.bound.values_mut() {
            binding.stop.get_or_insert(Stop::after(0.0));
            self.recheck.mark_due(&binding.machine);
        }
    }

    /// Unbinds the tasks of a job that are to be stopped and whose start was
    /// never sent: no evidence of their exit is needed.
    pub(crate) fn unbind_unsent(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unsent: Vec<u32> = job
            .bound
            .iter()
            .filter(|(_, b)| b.start == StartState::NotSent && b.stop.is_some())
            .map(|(index, _)| *index)
            .collect();
        for index in unsent {
            self.unbind(id, index);
        }
    }

    /// Unbinds those of the tasks whose start was never sent.
    pub(crate) fn unbind_unsent_tasks(&mut self, tasks: Vec<TaskRef>) {
        for task in tasks {
            let job = self.jobs.get_mut(&task.job);
            let binding = job.and_then(|j| j.bound.get_mut(&task.index));
            if let Some(binding) = binding.filter(|b| b.start == StartState::NotSent) {
                binding.stop = Some(Stop::after(0.0));
                self.unbind_unsent(&task.job);
            }
        }
    }

    /// Stops a task, with the time that it needs to save its progress.
    pub(crate) fn stop_task(&mut self, task: &TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let stop = Stop::after(job.spec.checkpoint_save_time_s);
        if let Some(binding) = job.bound.get_mut(&task.index) {
            binding.stop = Some(stop);
            self.recheck.mark_due(&binding.machine);
        }
    }
}

/// The layout of a new job. The first release knows one layout only.
pub(crate) fn new_layout(ctx: &Context, spec: &JobSpec) -> Layout {
    let unnamed = Layout::unnamed(&ctx.config.state_limits);
    if ctx.format.is_first() {
        return unnamed;
    }
    unnamed.within(&ctx.limits, spec)
}
