//! Commands to workers.
//!
//! Starts go straight to the worker, whose answer tells at once what became
//! of them. They never ride on the answer to a report: that can be lost
//! without anybody knowing.

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::ShardId;
use crate::shard::job::{StartState, Stop};
use crate::shard::Shard;
use forkshift_links::Decision;
use forkshift_wire::workers::{Command, CommandRequest, Verb, WorkerHeartbeat};
use forkshift_wire::{JobId, MachineId, TaskRef};

/// Most commands in one call, so that no line gets near 64 KiB.
const MAX_COMMANDS: usize = 200;
/// A stop that shows no effect is repeated after this many reports.
const REPEAT_HEARTBEATS: u64 = 2;

impl Shard {
    /// Sends what is due to a machine that has no call under way.
    pub(crate) fn send_due_commands(&mut self, ctx: &mut Context, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let any = m.must_send_token
            || !m.tasks.is_empty()
            || !m.exited.is_empty()
            || !m.orphans.is_empty()
            || m.pool.membership.is_some();
        // What finds no free call is tried again soon: it is busy (`is_busy`).
        let full = ctx.worker_calls >= ctx.config.bounds.worker_calls;
        if m.has_call_in_flight || m.addr.is_none() || ctx.now < m.retry_at || !any || full {
            return;
        }
        let mut commands = self.safe_commands(ctx, id);
        // Without a right somebody else may have confirmed a cancellation.
        if ctx.links.allow(Decision::StartTasks) {
            commands.extend(self.due_starts(id));
        }
        let prefetch = self.prefetch_due(ctx, id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if commands.is_empty() && prefetch.is_empty() && !machine.must_send_token {
            return;
        }
        let Some(addr) = machine.addr.clone() else {
            return;
        };
        // A fresh holder does not know the incarnation yet. Most workers are in
        // their first; the others answer 409 with a report that tells.
        let incarnation = machine.incarnation.max(1);
        let request = CommandRequest {
            token: machine.token,
            incarnation,
            commands,
            prefetch,
        };
        machine.has_call_in_flight = true;
        machine.must_send_token = false;
        let body = serde_json::to_vec(&request).unwrap_or_default();
        let pending = PendingCall::Commands {
            shard: self.id,
            epoch: self.epoch,
            machine: id.clone(),
            token: request.token,
            commands: request.commands,
        };
        ctx.send_commands(&addr, body, ctx.config.call_ms(), pending);
    }

    /// Commands that do no harm however often and late they arrive: `forget`
    /// for what is durable, and stops.
    pub(crate) fn safe_commands(&mut self, ctx: &Context, id: &MachineId) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        // Once a worker has forgotten an attempt, a start that is still on
        // its way would run it anew.
        if !machine.has_unanswered_call && !machine.has_call_in_flight {
            for (task, attempt) in &machine.exited {
                let fate = machine
                    .exit_versions
                    .get(&(task.clone(), *attempt))
                    .copied();
                let job = self.jobs.get(&task.job);
                let bound = job.and_then(|j| j.bound.get(&task.index));
                let still_ours = bound.is_some_and(|b| b.machine == *id && b.attempt == *attempt);
                let durable = job.is_none_or(|j| fate.is_none_or(|v| j.is_durable(task.index, v)));
                if durable && !still_ours && commands.len() < MAX_COMMANDS {
                    commands.push(command(Verb::Forget, task, *attempt, None));
                }
            }
        }
        let again = ctx.config.report_ms * REPEAT_HEARTBEATS;
        for task in &machine.tasks {
            let Some(binding) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|j| j.bound.get_mut(&task.index))
            else {
                continue;
            };
            let attempt = binding.attempt;
            if let (Some(stop), false) = (&mut binding.stop, binding.start == StartState::NotSent) {
                let due = stop.last_sent_at.is_none_or(|t| ctx.now >= t + again);
                if due && commands.len() < MAX_COMMANDS {
                    stop.last_sent_at = Some(ctx.now);
                    commands.push(command(Verb::Stop, task, attempt, Some(stop.grace_s)));
                }
            }
        }
        for (task, attempt, _) in &machine.orphans {
            if commands.len() < MAX_COMMANDS {
                commands.push(command(Verb::Stop, task, *attempt, Some(0.0)));
            }
        }
        commands
    }

    /// Starts that are recorded and were never sent.
    fn due_starts(&mut self, id: &MachineId) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let takes_starts = machine.link.accepts_starts() && machine.is_confirmed();
        if machine.decommission_reason.is_some() || !takes_starts {
            return Vec::new();
        }
        let (token, incarnation) = (machine.token, machine.incarnation);
        let mut commands = Vec::new();
        for task in &machine.tasks {
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            let Some(binding) = job.bound.get(&task.index) else {
                continue;
            };
            let due =
                binding.start == StartState::NotSent && binding.stop.is_none() && !job.is_cancelled;
            if due && job.is_durable(task.index, binding.version) && commands.len() < MAX_COMMANDS {
                commands.push(command(Verb::Start, task, binding.attempt, None));
                if let Some(binding) = job.bound.get_mut(&task.index) {
                    binding.start = StartState::SentByUs { token, incarnation };
                }
            }
        }
        commands
    }

    /// A call to a worker has ended, with or without an answer.
    pub(crate) fn on_commands(
        &mut self,
        ctx: &mut Context,
        id: &MachineId,
        token: u64,
        commands: &[Command],
        status: u16,
        body: &[u8],
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.has_call_in_flight = false;
        let is_answered = matches!(status, 200 | 409);
        let timing = ctx.config.link_timing();
        machine.link.on_call(ctx.now, is_answered, &timing);
        self.recheck.touch(id);
        let heartbeat: Option<WorkerHeartbeat> = serde_json::from_slice(body).ok();
        match (status, heartbeat) {
            (200 | 409, Some(heartbeat)) => {
                if status == 409 {
                    // Nothing was carried out, and this was the only copy.
                    machine.must_send_token = heartbeat.token < machine.token;
                    if heartbeat.token > machine.token {
                        // Somebody newer has the machine. The view will tell;
                        // calls without a pause would only load both ends.
                        machine.retry_at = ctx.now + ctx.config.report_ms;
                    }
                    self.mark_start_unsent(id, token, commands);
                }
                self.on_worker_heartbeat(ctx, &heartbeat);
            }
            _ => {
                log::debug!("machine {id}: commands had no answer ({status})");
                machine.retry_at = ctx.now + ctx.config.report_ms / 2;
                if commands.is_empty() {
                    // An unheard machine is called again at a pace (`find_unheard`).
                    machine.must_send_token = !machine.has_missed_heartbeats(ctx);
                } else {
                    // It may be carried out late, unless a newer token is
                    // there first.
                    machine.has_unanswered_call = true;
                    machine.raise_token(ctx.now);
                }
            }
        }
    }

    fn mark_start_unsent(&mut self, id: &MachineId, token: u64, commands: &[Command]) {
        for command in commands.iter().filter(|o| o.verb == Verb::Start) {
            let binding = self
                .jobs
                .get_mut(&command.task.job)
                .and_then(|j| j.bound.get_mut(&command.task.index));
            let Some(binding) = binding else { continue };
            let ours = matches!(binding.start, StartState::SentByUs { token: t, .. } if t == token);
            if ours && binding.machine == *id && binding.attempt == command.attempt {
                binding.start = StartState::NotSent;
                // What was to be stopped meanwhile needs no evidence any more.
                // Kept, it once held its place for ever: nothing was sent for it.
                if binding.stop.is_some() {
                    self.unbind_unsent(&command.task.job);
                }
            }
        }
    }

    /// Cancels a job. Its user is answered when that is written.
    pub(crate) fn cancel(&mut self, ctx: &Context, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_cancelled || job.is_complete() {
            return;
        }
        job.is_cancelled = true;
        job.cancelled_at_wall_ms = ctx.wall_clock_ms;
        job.cancellation_age.learned_at = ctx.now;
        job.mark_block_changed(0);
        for binding in job.bound.values_mut() {
            binding.stop = Some(Stop::after(0.0));
            self.recheck.touch(&binding.machine);
        }
        self.unwritten_jobs.touch(id);
        self.cancelled_jobs.touch(id);
        self.unbind_unsent(id);
    }

    /// Token for a worker's report, and the commands that may ride on the answer.
    pub(crate) fn report_reply(
        &mut self,
        ctx: &Context,
        id: &MachineId,
    ) -> Option<(u64, Vec<Command>)> {
        let token = self.machines.get(id)?.token;
        Some((token, self.safe_commands(ctx, id)))
    }

    /// The number of the shard.
    pub(crate) fn id(&self) -> ShardId {
        self.id
    }
}

fn command(verb: Verb, task: &TaskRef, attempt: u64, grace_s: Option<f64>) -> Command {
    Command {
        verb,
        task: task.clone(),
        attempt,
        grace_s,
    }
}

#[cfg(test)]
mod tests;
