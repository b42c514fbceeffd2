//! What a worker's message proves.
//!
//! A task that may have been started is gone only if a message says that it
//! exited; if the message is from a later incarnation of the worker; if it echoes
//! a token minted after the start was last sent, and does not list the task;
//! or if the machine's deletion was answered. Silence proves nothing.

use crate::context::Context;
use crate::shard::failure_attribution::well_after;
use crate::shard::job::{Binding, StartState, Stop};
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::workers::{ExitCause, TaskReport, TaskStage, WorkerHeartbeat};
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::BTreeMap;

/// Pause before a start that was refused for another reason is tried again.
const REFUSED_PAUSE: Ms = 2_000;

impl Shard {
    /// Takes in a message. Returns false if it is an old copy, or is not
    /// about a machine of this shard.
    pub(crate) fn on_worker_heartbeat(
        &mut self,
        ctx: &mut Context,
        heartbeat: &WorkerHeartbeat,
    ) -> bool {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return false;
        };
        // What comes from a machine after its deletion was answered is old.
        if machine.is_deleted
            || (heartbeat.incarnation, heartbeat.sequence)
                <= (machine.incarnation, machine.heartbeat_sequence)
        {
            return false;
        }
        if machine.last_heartbeat_at.is_none() {
            log::info!(
                "machine {}: up after {} ms",
                machine.id,
                ctx.now - machine.known_since
            );
            self.next_round_at = self.next_round_at.min(ctx.now);
        }
        machine.incarnation = heartbeat.incarnation;
        machine.heartbeat_sequence = heartbeat.sequence;
        machine.acknowledged_token = heartbeat.token;
        machine.last_heartbeat_at = Some(ctx.now);
        machine.addr.get_or_insert_with(|| heartbeat.addr.clone());
        machine.reclaimed_at = match (heartbeat.notice_s, machine.reclaimed_at) {
            (Some(s), None) => {
                log::info!("machine {}: taken in {s} s", machine.id);
                Some(ctx.now + crate::ms(s))
            }
            (_, known) => known,
        };
        if machine.acknowledged_token >= machine.token {
            machine.has_unanswered_call = false;
            machine.unacknowledged_since = None;
        } else {
            machine.unacknowledged_since.get_or_insert(ctx.now);
        }
        machine.exited.clear();
        machine.orphans.clear();
        machine.note_images(ctx, heartbeat.images.as_ref());

        let mut listed: BTreeMap<(&TaskRef, u64), &TaskReport> = BTreeMap::new();
        for task in &heartbeat.tasks {
            listed.insert((&task.task, task.attempt), task);
        }
        let bound: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        for task in bound {
            self.apply_bound_task(ctx, heartbeat, &task, &listed);
        }
        for task in &heartbeat.tasks {
            self.apply_unbound_task(ctx, &heartbeat.machine, task);
        }
        ctx.work_units += 1 + heartbeat.tasks.len() as u64;
        self.recheck.touch(&heartbeat.machine);
        true
    }

    /// Decides what a message says about a task that may be on the machine.
    fn apply_bound_task(
        &mut self,
        ctx: &mut Context,
        heartbeat: &WorkerHeartbeat,
        task: &TaskRef,
        listed: &BTreeMap<(&TaskRef, u64), &TaskReport>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(binding) = job.bound.get_mut(&task.index) else {
            return;
        };
        if let Some(found) = listed.get(&(task, binding.attempt)) {
            if found.stage == TaskStage::Exited {
                self.on_task_exited(ctx, &heartbeat.machine, task, found);
                return;
            }
            if found.stage == TaskStage::Running && binding.running_since.is_none() {
                binding.running_since = Some(ctx.now);
                if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
                    if !job.failures.is_suspect() {
                        machine.failures.note_start(ctx.now);
                    }
                }
            }
            binding.stage = Some(found.stage);
            if binding.start == StartState::NotSent {
                // Listed although we never sent it: an earlier copy did arrive.
                if let Some(machine) = self.machines.get(&heartbeat.machine) {
                    binding.start = StartState::SentByUs {
                        token: machine.token,
                        incarnation: heartbeat.incarnation,
                    };
                }
            }
            let running = found.stage == TaskStage::Running;
            if let Some(began) = binding.running_since.filter(|_| running) {
                self.on_task_running(ctx, &heartbeat.machine, &task.job, began);
            }
            return;
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let gone = match binding.start {
            StartState::NotSent => return,
            StartState::SentByUs { token, incarnation } => {
                heartbeat.incarnation > incarnation || heartbeat.token > token
            }
            // Every token of ours is newer than those of earlier holders.
            StartState::Unknown => heartbeat.token >= machine.token,
        };
        if gone {
            log::debug!("{task}: not on {} any more", heartbeat.machine);
            self.unbind(&task.job, task.index);
            self.schedule_round_soon(ctx);
        } else if !machine.has_call_in_flight && heartbeat.token >= machine.token {
            // It was told, or should have been, and is not there: a newer
            // token settles whether it can still come.
            machine.raise_token(ctx.now);
        }
    }

    fn on_task_exited(
        &mut self,
        ctx: &mut Context,
        machine: &MachineId,
        task: &TaskRef,
        found: &TaskReport,
    ) {
        let Some(binding) = self.unbind(&task.job, task.index) else {
            return;
        };
        let cause = found.cause.unwrap_or(ExitCause::Error);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if cause == ExitCause::Done {
            job.done.insert(task.index);
            job.last_completion_at = Some(ctx.now);
        }
        let version = job.version;
        if let Some(machine) = self.machines.get_mut(machine) {
            machine
                .exit_versions
                .insert((task.clone(), found.attempt), version);
            machine.exited.push((task.clone(), found.attempt));
        }
        match cause {
            ExitCause::Done => {
                let began = binding.running_since.unwrap_or(binding.since);
                self.on_task_ran_well(machine, &task.job, began);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.failures.reset();
                }
            }
            ExitCause::Error => self.on_task_failed(ctx, machine, &task.job, &binding),
            ExitCause::NoRoom => {
                // Our booking and the worker's differ; it will settle.
                if let Some(machine) = self.machines.get_mut(machine) {
                    machine.full_until = ctx.now + ctx.config.report_ms * 2;
                }
            }
            ExitCause::InUse | ExitCause::UnknownTask => {
                job.not_before = job.not_before.max(ctx.now + REFUSED_PAUSE);
            }
            ExitCause::Stopped | ExitCause::GangMemberLost | ExitCause::GangTimeout => {}
        }
        if cause != ExitCause::Done {
            log::debug!(
                "{task}: {cause:?} on {machine} after {} ms",
                ctx.now - binding.since
            );
        }
        self.schedule_round_soon(ctx);
    }

    /// A task failed: is it the machine, or the job?
    fn on_task_failed(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        id: &JobId,
        binding: &Binding,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let ran = binding.running_since.map_or(0, |t| ctx.now - t);
        job.failures.add(machine, binding.since, ran, ctx.now);
        job.not_before = job.not_before.max(ctx.now + job.failures.pause());
        // It fails wherever it goes: the machines are not held to account.
        if job.failures.is_blamed() {
            for blamed in job.failures.machines() {
                if let Some(machine) = self.machines.get_mut(&blamed) {
                    machine.failures.remove(id);
                }
            }
        } else if let Some(machine) = self.machines.get_mut(machine) {
            machine.failures.add(id, ran, ctx.now);
        }
    }

    /// A task is running: for long enough to tell for its job and its machine?
    fn on_task_running(&mut self, ctx: &Context, machine: &MachineId, id: &JobId, began: Ms) {
        let (Some(job), Some(m)) = (self.jobs.get(id), self.machines.get(machine)) else {
            return;
        };
        if !job.failures.is_suspect() && m.failures.is_empty() {
            return;
        }
        let longest = job.failures.longest_run.max(m.failures.longest_run);
        if ctx.now >= began + well_after(longest, ctx.config.report_ms) {
            self.on_task_ran_well(machine, id, began);
        }
    }

    /// A task has run well: where its job failed, the machine is to blame.
    fn on_task_ran_well(&mut self, machine: &MachineId, id: &JobId, began: Ms) {
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.failures.ran_well(began);
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for failed_on in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(&failed_on) {
                machine.failures.job_is_well(id);
                self.recheck.touch(&failed_on);
            }
        }
        job.failures.ran_well(began);
    }

    /// Stops what is left of a gang's attempt: the next one begins when all
    /// of it is gone.
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

    /// Has every task of a job stopped that is not being stopped yet.
    pub(crate) fn stop_remaining_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for binding in job.bound.values_mut() {
            binding.stop.get_or_insert(Stop::after(0.0));
            self.recheck.touch(&binding.machine);
        }
    }

    /// Tasks whose start was never sent need no evidence.
    pub(crate) fn unbind_unsent(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unsent: Vec<u32> = job
            .bound
            .iter()
            .filter(|(_, b)| b.start == StartState::NotSent && b.stop.is_some())
            .map(|(i, _)| *i)
            .collect();
        for index in unsent {
            self.unbind(id, index);
        }
    }

    /// A task that the machine reports and that is not bound to it in this attempt.
    fn apply_unbound_task(&mut self, ctx: &Context, id: &MachineId, found: &TaskReport) {
        let task = &found.task;
        let job = self.jobs.get(&task.job);
        let known = job.and_then(|j| j.bound.get(&task.index));
        if known.is_some_and(|b| b.attempt == found.attempt && b.machine == *id) {
            return;
        }
        let res = job.map_or(Resources::default(), |j| j.task);
        let free_to_adopt = job.is_some_and(|j| {
            known.is_none()
                && !j.done.contains(task.index)
                && task.index < j.spec.tasks
                && !j.is_over()
        });
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if found.stage == TaskStage::Exited {
            let entry = (task.clone(), found.attempt);
            if !machine.exited.contains(&entry) {
                machine.exited.push(entry);
            }
            return;
        }
        log::info!("{task}: unexpected on {id}, to be stopped");
        if !free_to_adopt {
            machine.orphans.push((task.clone(), found.attempt, res));
            return;
        }
        let (token, incarnation) = (machine.token, machine.incarnation);
        // It must be gone before the task is started elsewhere, so it is
        // kept account of like one of ours.
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let block = job.block_of(task.index);
            let version = job.mark_block_changed(block);
            let binding = Binding {
                machine: id.clone(),
                attempt: found.attempt,
                version,
                start: StartState::SentByUs { token, incarnation },
                stage: Some(found.stage),
                stop: Some(Stop::after(0.0)),
                since: ctx.now,
                running_since: None,
            };
            self.bind(&task.job, task.index, binding);
            self.unwritten_jobs.touch(&task.job);
        }
    }
}

#[cfg(test)]
mod tests;
