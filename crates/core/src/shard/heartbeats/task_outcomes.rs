//! Outcomes of tasks: exits and long runs, and whether a failure counts against
//! the machine or the job.

use crate::context::Context;
use crate::shard::failure_attribution::min_healthy_run_ms;
use crate::shard::job::Binding;
use crate::shard::machine::TaskAttempt;
use crate::shard::Shard;
use crate::Ms;
use forkshift_wire::workers::{ExitCause, TaskStatus};
use forkshift_wire::{JobId, MachineId, TaskRef};

/// Pause before a start that its worker refused is tried again, in
/// milliseconds.
const REFUSED_START_BACKOFF_MS: Ms = 2_000;
/// Heartbeat intervals for which nothing is placed on a machine whose worker
/// had no room for a task.
const PLACEMENT_BLOCK_HEARTBEATS: Ms = 2;

impl Shard {
    /// Handles the exit of a bound task.
    pub(super) fn on_task_exited(
        &mut self,
        ctx: &mut Context,
        machine_id: &MachineId,
        task: &TaskRef,
        report: &TaskStatus,
    ) {
        let Some(binding) = self.unbind(&task.job, task.index) else {
            return;
        };
        let cause = report.cause.unwrap_or(ExitCause::Error);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if cause == ExitCause::Done {
            job.done.insert(task.index);
            job.last_completion_at = Some(ctx.now);
        }
        let version = job.version;
        if let Some(machine) = self.machines.get_mut(machine_id) {
            let attempt = TaskAttempt {
                task: task.clone(),
                attempt: report.attempt,
            };
            machine.exit_versions.insert(attempt.clone(), version);
            machine.exited.push(attempt);
        }
        if cause != ExitCause::Done {
            log::debug!(
                "task {task}: exited on {machine_id}, {cause:?}, after {} ms",
                ctx.now - binding.bound_at
            );
        }
        self.on_exit_cause(ctx, machine_id, &task.job, &binding, cause);
        self.schedule_round_soon(ctx);
    }

    /// Draws the conclusions from the cause of an exit.
    fn on_exit_cause(
        &mut self,
        ctx: &Context,
        machine_id: &MachineId,
        job_id: &JobId,
        binding: &Binding,
        cause: ExitCause,
    ) {
        match cause {
            ExitCause::Done => {
                let began = binding.running_since.unwrap_or(binding.bound_at);
                self.on_healthy_run(machine_id, job_id, began);
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.failures.reset();
                }
            }
            ExitCause::Error => self.on_task_failed(ctx, machine_id, job_id, binding),
            ExitCause::InsufficientResources => {
                // The accounts of the shard and the worker differ for a while.
                if let Some(machine) = self.machines.get_mut(machine_id) {
                    machine.placement_blocked_until =
                        ctx.now + ctx.config.heartbeat_interval_ms * PLACEMENT_BLOCK_HEARTBEATS;
                }
            }
            ExitCause::OtherAttemptPresent | ExitCause::UnknownTask => {
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.not_before = job.not_before.max(ctx.now + REFUSED_START_BACKOFF_MS);
                }
            }
            ExitCause::Stopped | ExitCause::GangMemberLost | ExitCause::GangTimeout => {}
        }
    }

    /// Attributes a task's failure to its machine or to its job.
    fn on_task_failed(
        &mut self,
        ctx: &Context,
        machine_id: &MachineId,
        job_id: &JobId,
        binding: &Binding,
    ) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let ran_ms = binding.running_since.map_or(0, |since| ctx.now - since);
        job.failures
            .add(machine_id, binding.bound_at, ran_ms, ctx.now);
        job.not_before = job
            .not_before
            .max(ctx.now + job.failures.retry_backoff_ms());
        // It fails on every machine, so it counts against none of them.
        if job.failures.is_job_at_fault() {
            for blamed in job.failures.machines() {
                if let Some(machine) = self.machines.get_mut(&blamed) {
                    machine.failures.remove(job_id);
                }
            }
        } else if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.add(job_id, ran_ms, ctx.now);
        }
    }

    /// Clears the failures of a task's job and machine if it has been running for
    /// long enough.
    pub(super) fn clear_failures_if_healthy(
        &mut self,
        ctx: &Context,
        machine_id: &MachineId,
        job_id: &JobId,
        began: Ms,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get(job_id), self.machines.get(machine_id))
        else {
            return;
        };
        if !job.failures.is_suspect() && machine.failures.is_empty() {
            return;
        }
        let longest_run = job
            .failures
            .longest_failed_run_ms
            .max(machine.failures.longest_failed_run_ms);
        if ctx.now >= began + min_healthy_run_ms(longest_run, ctx.config.heartbeat_interval_ms) {
            self.on_healthy_run(machine_id, job_id, began);
        }
    }

    /// Notes that a task has run well: failures of its job count against the
    /// machines on which they happened.
    fn on_healthy_run(&mut self, machine_id: &MachineId, job_id: &JobId, began: Ms) {
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.record_healthy_run(began);
        }
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        for failed_on in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(&failed_on) {
                machine.failures.mark_job_healthy_elsewhere(job_id);
                self.recheck.mark_due(&failed_on);
            }
        }
        job.failures.record_healthy_run(began);
    }
}
