//! Outcomes of tasks: how exits and long runs change the failure records of jobs and
//! machines.

use crate::context::Context;
use crate::shard::failure_attribution::min_healthy_run_ms;
use crate::shard::job::Binding;
use crate::shard::machine::{ExitedAttempt, TaskAttempt};
use crate::shard::Shard;
use crate::Ms;
use forkshift_wire::workers::{ExitCause, TaskStatus};
use forkshift_wire::{JobId, MachineId, TaskRef};

/// Backoff in milliseconds after a worker refused a start because it still has another
/// attempt of the task, or does not know the task.
const REFUSED_START_BACKOFF_MS: Ms = 2_000;
/// Heartbeat intervals for which no task is placed on a machine whose worker refused a task
/// for insufficient resources.
const PLACEMENT_BLOCK_HEARTBEATS: Ms = 2;

impl Shard {
    /// Processes the exit of a bound task: unbinds it, records its completion, and attributes
    /// a failure.
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
            job.completed.insert(task.index);
            job.last_completion_at = Some(ctx.now);
        }
        let version = job.memory_version;
        if let Some(machine) = self.machines.get_mut(machine_id) {
            let attempt = TaskAttempt {
                task: task.clone(),
                attempt: report.attempt,
            };
            let exited = ExitedAttempt {
                start_token: binding.start.max_token(machine.last_start_token),
                job_version: Some(version),
            };
            machine.exited_attempts.insert(attempt, exited);
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

    /// Updates the failure records and backoffs according to the cause of an exit.
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
                let started_at = binding.running_since.unwrap_or(binding.bound_at);
                self.on_healthy_run(machine_id, job_id, started_at);
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.failures.reset();
                }
            }
            ExitCause::Error => self.on_task_failed(ctx, machine_id, job_id, binding),
            ExitCause::InsufficientResources => {
                // The resource accounts of the shard and of the worker may differ for a short
                // time.
                if let Some(machine) = self.machines.get_mut(machine_id) {
                    machine.placement_blocked_until =
                        ctx.now + ctx.config.heartbeat_interval_ms * PLACEMENT_BLOCK_HEARTBEATS;
                }
            }
            ExitCause::OtherAttemptPresent | ExitCause::UnknownTask => {
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.placement_backoff_until = job
                        .placement_backoff_until
                        .max(ctx.now + REFUSED_START_BACKOFF_MS);
                }
            }
            ExitCause::Stopped | ExitCause::GangMemberLost | ExitCause::GangTimeout => {}
        }
    }

    /// Records a task's failure, for its job and for its machine or, if the job is at fault,
    /// for the job alone.
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
        job.placement_backoff_until = job
            .placement_backoff_until
            .max(ctx.now + job.failures.retry_backoff_ms());
        // The job fails on every machine, so its failures are removed from all of them.
        if job.failures.is_job_at_fault() {
            for failed_on in job.failures.machines() {
                if let Some(machine) = self.machines.get_mut(&failed_on) {
                    machine.failures.remove(job_id);
                }
            }
        } else if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.add(job_id, ran_ms, ctx.now);
        }
    }

    /// Clears the failures of a running task's job and machine if the task has run long
    /// enough to count as a healthy run.
    pub(super) fn clear_failures_if_healthy(
        &mut self,
        ctx: &Context,
        machine_id: &MachineId,
        job_id: &JobId,
        started_at: Ms,
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
        if ctx.now >= started_at + min_healthy_run_ms(longest_run, ctx.config.heartbeat_interval_ms)
        {
            self.on_healthy_run(machine_id, job_id, started_at);
        }
    }

    /// Processes a healthy run of a task. Earlier failures of its job now count against the
    /// machines on which they happened, because the job runs without failure.
    fn on_healthy_run(&mut self, machine_id: &MachineId, job_id: &JobId, started_at: Ms) {
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.record_healthy_run(started_at);
        }
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        for failed_on in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(&failed_on) {
                machine.failures.mark_job_healthy_elsewhere(job_id);
                self.machines_to_reconcile.mark_due(&failed_on);
            }
        }
        job.failures.record_healthy_run(started_at);
    }
}
