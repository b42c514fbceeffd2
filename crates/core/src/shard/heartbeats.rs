//! Processing of workers' heartbeats, and what each proves about the tasks on a machine.
//!
//! A task that may have been started has ended only if one of these holds:
//!
//! - a heartbeat lists it as exited;
//! - a heartbeat comes from a later incarnation of the worker than the one its start was sent to;
//! - a heartbeat does not list it and echoes a fencing token issued after its start was last sent;
//! - the cloud has confirmed the deletion of the machine.
//!
//! A missing heartbeat proves nothing.

mod task_outcomes;

use crate::context::Context;
use crate::shard::job::{Binding, StartState, Stop};
use crate::shard::machine::{ExitedAttempt, Machine, OrphanTask, TaskAttempt};
use crate::shard::Shard;
use forkshift_sched::Resources;
use forkshift_wire::workers::{TaskStage, TaskStatus, WorkerHeartbeat};
use forkshift_wire::{MachineId, TaskRef};
use std::collections::BTreeMap;

/// Task reports of a heartbeat, by task and attempt number.
type ListedTasks<'a> = BTreeMap<(&'a TaskRef, u64), &'a TaskStatus>;

impl Machine {
    /// Whether a heartbeat is newer than all processed ones. After a confirmed deletion of
    /// the machine every heartbeat is outdated.
    fn is_new_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let newest = (self.incarnation, self.heartbeat_sequence);
        !self.deletion.is_confirmed && (heartbeat.incarnation, heartbeat.sequence) > newest
    }

    /// Updates the machine from the parts of a new heartbeat that do not concern single tasks.
    fn update_from_heartbeat(&mut self, ctx: &mut Context, heartbeat: &WorkerHeartbeat) {
        self.incarnation = heartbeat.incarnation;
        self.heartbeat_sequence = heartbeat.sequence;
        self.acknowledged_token = heartbeat.token;
        self.last_heartbeat_at = Some(ctx.now);
        self.addr.get_or_insert_with(|| heartbeat.addr.clone());
        if let (Some(notice_s), None) = (heartbeat.reclaim_notice_s, self.spot_reclaim_at) {
            log::info!(
                "machine {}: reclaimed by the cloud in {notice_s} s",
                self.id
            );
            self.spot_reclaim_at = Some(ctx.now + crate::seconds_to_ms(notice_s));
        }
        if self.acknowledged_token >= self.token {
            self.has_unanswered_call = false;
            self.token_unacknowledged_since = None;
        } else {
            self.token_unacknowledged_since.get_or_insert(ctx.now);
        }
        self.orphans.clear();
        self.update_held_images(ctx, heartbeat.images.as_ref());
    }

    /// Drops the exited attempts that a heartbeat no longer lists as exited: its worker has
    /// forgotten them.
    fn retain_exited_attempts(&mut self, listed: &ListedTasks) {
        self.exited_attempts.retain(|exited, _| {
            let report = listed.get(&(&exited.task, exited.attempt));
            report.is_some_and(|report| report.stage == TaskStage::Exited)
        });
    }
}

impl Shard {
    /// Processes a heartbeat. Returns false if the heartbeat is outdated or its machine is
    /// not in this shard.
    pub(crate) fn on_worker_heartbeat(
        &mut self,
        ctx: &mut Context,
        heartbeat: &WorkerHeartbeat,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return false;
        };
        if !machine.is_new_heartbeat(heartbeat) {
            return false;
        }
        if machine.last_heartbeat_at.is_none() {
            let age_ms = ctx.now - machine.known_since;
            log::info!("machine {}: first heartbeat after {age_ms} ms", machine.id);
            self.next_round_at = self.next_round_at.min(ctx.now);
        }
        machine.update_from_heartbeat(ctx, heartbeat);
        self.reconcile_listed_tasks(ctx, heartbeat);
        ctx.work_units += 1 + heartbeat.tasks.len() as u64;
        self.machines_to_reconcile.mark_due(&heartbeat.machine);
        true
    }

    /// Reconciles the tasks that a heartbeat lists with those that are bound to its machine.
    fn reconcile_listed_tasks(&mut self, ctx: &mut Context, heartbeat: &WorkerHeartbeat) {
        let reports = heartbeat.tasks.iter();
        let listed: ListedTasks = reports
            .map(|report| ((&report.task, report.attempt), report))
            .collect();
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        machine.retain_exited_attempts(&listed);
        for task in machine.tasks.clone() {
            self.reconcile_bound_task(ctx, heartbeat, &task, &listed);
        }
        for report in &heartbeat.tasks {
            self.reconcile_unbound_task(ctx, &heartbeat.machine, report);
        }
    }

    /// Reconciles one task that is bound to the machine of a heartbeat.
    fn reconcile_bound_task(
        &mut self,
        ctx: &mut Context,
        heartbeat: &WorkerHeartbeat,
        task: &TaskRef,
        listed: &ListedTasks,
    ) {
        let job = self.jobs.get(&task.job);
        let Some(binding) = job.and_then(|job| job.bindings.get(&task.index)) else {
            return;
        };
        match listed.get(&(task, binding.attempt)) {
            Some(report) if report.stage == TaskStage::Exited => {
                self.on_task_exited(ctx, &heartbeat.machine, task, report);
            }
            Some(report) => self.on_task_listed(ctx, heartbeat, task, report),
            None => self.on_task_not_listed(ctx, heartbeat, task),
        }
    }

    /// Updates the binding of a task that its machine lists and that has not exited.
    fn on_task_listed(
        &mut self,
        ctx: &Context,
        heartbeat: &WorkerHeartbeat,
        task: &TaskRef,
        report: &TaskStatus,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(binding) = job.bindings.get_mut(&task.index) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let is_running = report.stage == TaskStage::Running;
        if is_running && binding.running_since.is_none() {
            binding.running_since = Some(ctx.now);
            if !job.failures.is_suspect() {
                machine.failures.record_task_start(ctx.now);
            }
        }
        binding.stage = Some(report.stage);
        if binding.start == StartState::NotSent {
            // A delayed copy of an earlier call with this start has reached the worker.
            binding.start = StartState::SentByThisHolder {
                token: machine.last_start_token,
                incarnation: heartbeat.incarnation,
            };
        }
        if let Some(started_at) = binding.running_since.filter(|_| is_running) {
            self.clear_failures_if_healthy(ctx, &heartbeat.machine, &task.job, started_at);
        }
    }

    /// Processes a bound task that a heartbeat does not list. The task is unbound if the
    /// heartbeat proves that it is not on the machine and that no start in flight can put it
    /// there.
    fn on_task_not_listed(&mut self, ctx: &Context, heartbeat: &WorkerHeartbeat, task: &TaskRef) {
        let job = self.jobs.get(&task.job);
        let Some(binding) = job.and_then(|job| job.bindings.get(&task.index)) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let has_ended = match binding.start {
            StartState::NotSent => return,
            StartState::SentByThisHolder { token, incarnation } => {
                heartbeat.incarnation > incarnation || heartbeat.token > token
            }
            // The tokens of this holder are higher than those of all earlier holders.
            StartState::Unknown => heartbeat.token >= machine.first_token,
        };
        if has_ended {
            log::debug!("task {task}: unbound, not on {}", heartbeat.machine);
            self.unbind(&task.job, task.index);
            self.schedule_round_soon(ctx);
        } else if !machine.has_call_in_flight && heartbeat.token >= machine.token {
            // The start was sent in a call that has ended, yet the task is not on the
            // machine. Once a heartbeat echoes the raised token, no start under the old token
            // can be executed any more.
            machine.raise_token(ctx.now);
        }
    }

    /// Processes a task attempt that a machine lists and that is not bound to it. An exited
    /// attempt is kept until the worker may forget it. A running one is stopped.
    fn reconcile_unbound_task(&mut self, ctx: &Context, id: &MachineId, report: &TaskStatus) {
        let task = &report.task;
        let job = self.jobs.get(&task.job);
        let binding = job.and_then(|job| job.bindings.get(&task.index));
        if binding.is_some_and(|b| b.attempt == report.attempt && b.machine == *id) {
            return;
        }
        let resources = job.map_or(Resources::default(), |job| job.task_resources);
        let can_be_bound = job.is_some_and(|job| {
            binding.is_none()
                && !job.completed.contains(task.index)
                && task.index < job.spec.tasks
                && !job.is_finished()
        });
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let attempt = TaskAttempt {
            task: task.clone(),
            attempt: report.attempt,
        };
        if report.stage == TaskStage::Exited {
            let exited = ExitedAttempt {
                start_token: machine.last_start_token,
                job_version: None,
            };
            machine.exited_attempts.entry(attempt).or_insert(exited);
            return;
        }
        log::info!("task {task}: unexpected on {id}, to be stopped");
        if can_be_bound {
            self.bind_unexpected_task(ctx, id, report);
        } else {
            machine.orphans.push(OrphanTask { attempt, resources });
        }
    }

    /// Binds an unexpected task to the machine and stops it. Its binding prevents a start on
    /// another machine before the attempt has exited.
    fn bind_unexpected_task(&mut self, ctx: &Context, id: &MachineId, report: &TaskStatus) {
        let task = &report.task;
        let (Some(machine), Some(job)) = (self.machines.get(id), self.jobs.get_mut(&task.job))
        else {
            return;
        };
        let block = job.block_of(task.index);
        let binding = Binding {
            machine: id.clone(),
            attempt: report.attempt,
            recorded_in_version: job.mark_block_changed(block),
            start: StartState::SentByThisHolder {
                token: machine.last_start_token,
                incarnation: machine.incarnation,
            },
            stage: Some(report.stage),
            stop: Some(Stop::with_grace_s(0.0)),
            bound_at: ctx.now,
            running_since: None,
        };
        self.bind(&task.job, task.index, binding);
        self.unwritten_jobs.mark_due(&task.job);
    }
}

#[cfg(test)]
mod tests;
