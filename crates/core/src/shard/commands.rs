//! Commands from the holder of a shard to workers.
//!
//! Start commands are sent only in calls to the worker, whose responses confirm them. They
//! are never part of a response to a heartbeat, because the holder would not learn that the
//! response was lost. Idempotent commands may also be sent in those responses.

mod forget;

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::ShardId;
use crate::shard::job::{Job, StartState, Stop};
use crate::shard::machine::{Machine, TaskAttempt};
use crate::shard::Shard;
use forkshift_links::Decision;
use forkshift_wire::workers::{Command, CommandRequest, Verb, WorkerHeartbeat};
use forkshift_wire::{JobId, MachineId, TaskRef};

/// Upper bound of the commands in one call. It keeps the request, a single line, well below
/// 64 KiB.
const MAX_COMMANDS_PER_CALL: usize = 200;
/// Heartbeat intervals after which a stop command is resent if its task has not exited.
const STOP_RESEND_HEARTBEATS: u64 = 2;

impl Machine {
    /// Whether the worker can be called now and a call might be needed: for commands or to
    /// send the token.
    fn can_be_called(&self, ctx: &Context) -> bool {
        let may_have_commands = self.must_send_token
            || !self.tasks.is_empty()
            || !self.exited_attempts.is_empty()
            || !self.orphans.is_empty()
            || self.pool.membership.is_some();
        let is_callable =
            !self.has_call_in_flight && self.addr.is_some() && ctx.now >= self.call_retry_at;
        may_have_commands && is_callable
    }

    /// Schedules the next call after one that ended without a response.
    fn on_call_unanswered(&mut self, ctx: &Context, had_commands: bool) {
        self.call_retry_at = ctx.now + ctx.config.heartbeat_interval_ms / 2;
        if had_commands {
            // The worker may still execute the commands, until it sees a newer token.
            self.has_unanswered_call = true;
            self.raise_token(ctx.now);
        } else {
            // If heartbeats are missing, the failure detector schedules the next calls at its
            // own interval.
            self.must_send_token = !self.has_missed_heartbeats(ctx);
        }
    }
}

impl Job {
    /// Whether a task's start is durable, was never sent and is still wanted.
    fn is_start_due(&self, index: u32) -> bool {
        !self.is_cancelled
            && self.bindings.get(&index).is_some_and(|binding| {
                binding.start == StartState::NotSent
                    && binding.stop.is_none()
                    && self.is_durable(index, binding.recorded_in_version)
            })
    }
}

impl Shard {
    /// Calls a machine's worker with the commands that are due. At most one call per machine
    /// is in flight.
    pub(crate) fn send_due_commands(&mut self, ctx: &mut Context, id: &MachineId) {
        // A machine that finds no free call is checked again soon, see `needs_polling`.
        let has_free_call = ctx.worker_calls_in_flight < ctx.config.bounds.worker_calls;
        let machine = self.machines.get(id);
        if !has_free_call || !machine.is_some_and(|machine| machine.can_be_called(ctx)) {
            return;
        }
        let mut commands = self.idempotent_commands(ctx, id);
        // Without a valid lease, the shard may have a new holder that has already confirmed a
        // cancellation of the job to a user.
        if ctx.links.allows(Decision::StartTasks) {
            commands.extend(self.due_starts(id));
        }
        let prefetch = self.due_prefetches(ctx, id);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if commands.is_empty() && prefetch.is_empty() && !machine.must_send_token {
            return;
        }
        let Some(addr) = machine.addr.clone() else {
            return;
        };
        // A new holder does not know the incarnation of the worker before the first
        // heartbeat. Most workers are in incarnation 1; the others respond with status 409
        // and a heartbeat that contains their incarnation.
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
        ctx.send_commands(&addr, body, ctx.config.worker_call_timeout_ms(), pending);
    }

    /// Commands that are idempotent and harmless when they arrive late: `forget` for exited
    /// attempts whose outcome is durable, and stops.
    pub(crate) fn idempotent_commands(&mut self, ctx: &Context, id: &MachineId) -> Vec<Command> {
        let mut commands = self.forget_commands(id);
        let Some(machine) = self.machines.get(id) else {
            return commands;
        };
        let resend_ms = ctx.config.heartbeat_interval_ms * STOP_RESEND_HEARTBEATS;
        for task in &machine.tasks {
            if commands.len() >= MAX_COMMANDS_PER_CALL {
                break;
            }
            let job = self.jobs.get_mut(&task.job);
            let Some(binding) = job.and_then(|job| job.bindings.get_mut(&task.index)) else {
                continue;
            };
            if binding.start == StartState::NotSent {
                continue;
            }
            let attempt = binding.attempt;
            let Some(stop) = &mut binding.stop else {
                continue;
            };
            if stop.is_due(ctx.now, resend_ms) {
                stop.last_sent_at = Some(ctx.now);
                commands.push(command(Verb::Stop, task, attempt, Some(stop.grace_s)));
            }
        }
        let remaining = MAX_COMMANDS_PER_CALL - commands.len();
        let orphans = machine.orphans.iter().take(remaining);
        commands.extend(orphans.map(|orphan| {
            let TaskAttempt { task, attempt } = &orphan.attempt;
            command(Verb::Stop, task, *attempt, Some(0.0))
        }));
        commands
    }

    /// Start commands that are durable and were never sent. They are marked as sent.
    fn due_starts(&mut self, id: &MachineId) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let can_start_tasks = machine.link.can_start_tasks()
            && machine.has_acknowledged_holder()
            && !machine.has_unanswered_call;
        if machine.decommission_reason.is_some() || !can_start_tasks {
            return Vec::new();
        }
        let (token, incarnation) = (machine.token, machine.incarnation);
        let mut commands = Vec::new();
        for task in &machine.tasks {
            if commands.len() >= MAX_COMMANDS_PER_CALL {
                break;
            }
            let job = self.jobs.get_mut(&task.job);
            let Some(job) = job.filter(|job| job.is_start_due(task.index)) else {
                continue;
            };
            if let Some(binding) = job.bindings.get_mut(&task.index) {
                commands.push(command(Verb::Start, task, binding.attempt, None));
                binding.start = StartState::SentByThisHolder { token, incarnation };
            }
        }
        if let Some(machine) = self.machines.get_mut(id).filter(|_| !commands.is_empty()) {
            machine.last_start_token = token;
        }
        commands
    }

    /// Processes the end of a call to a worker. A response is a heartbeat, with status 200 if
    /// the commands were executed and 409 if the call was refused; any other status means
    /// that there was no response.
    pub(crate) fn on_command_call_end(
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
        self.machines_to_reconcile.mark_due(id);
        let heartbeat: Option<WorkerHeartbeat> = serde_json::from_slice(body).ok();
        let Some(heartbeat) = heartbeat.filter(|_| is_answered) else {
            log::debug!("machine {id}: no answer to commands, status {status}");
            machine.on_call_unanswered(ctx, !commands.is_empty());
            return;
        };
        if status == 409 {
            // The worker has executed no command of a refused call. It refuses every copy of the
            // call as well, because neither its highest token nor its incarnation ever decreases.
            // Its starts can therefore be sent again.
            machine.must_send_token = heartbeat.token < machine.token;
            if heartbeat.token > machine.token {
                // The machine has a newer holder, as the view will show. Without a backoff
                // both ends would be loaded by calls that are refused again.
                machine.call_retry_at = ctx.now + ctx.config.heartbeat_interval_ms;
            }
            self.mark_starts_unsent(id, token, commands);
        }
        self.on_worker_heartbeat(ctx, &heartbeat);
    }

    /// Marks the starts of a refused call as not sent.
    fn mark_starts_unsent(&mut self, id: &MachineId, token: u64, commands: &[Command]) {
        for command in commands.iter().filter(|c| c.verb == Verb::Start) {
            let job = self.jobs.get_mut(&command.task.job);
            let binding = job.and_then(|job| job.bindings.get_mut(&command.task.index));
            let Some(binding) = binding else { continue };
            let was_sent_by_this_call = matches!(binding.start, StartState::SentByThisHolder { token: t, .. } if t == token);
            if was_sent_by_this_call && binding.machine == *id && binding.attempt == command.attempt
            {
                binding.start = StartState::NotSent;
                // A task that is being stopped and was never started can be unbound at once,
                // without evidence of its exit. It must be, because no stop is sent for a
                // task that was never started, so that its binding would never end.
                if binding.stop.is_some() {
                    self.unbind_unsent_stopped_tasks(&command.task.job);
                }
            }
        }
    }

    /// Cancels a job and stops its tasks. The users that requested it get a response once the
    /// cancellation is durable.
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
        for binding in job.bindings.values_mut() {
            binding.stop = Some(Stop::with_grace_s(0.0));
            self.machines_to_reconcile.mark_due(&binding.machine);
        }
        self.unwritten_jobs.mark_due(id);
        self.cancelled_jobs.mark_due(id);
        self.unbind_unsent_stopped_tasks(id);
    }

    /// Fencing token and idempotent commands for the response to a worker's heartbeat; none
    /// if the machine is not in this shard.
    pub(crate) fn heartbeat_response(
        &mut self,
        ctx: &Context,
        id: &MachineId,
    ) -> Option<(u64, Vec<Command>)> {
        let token = self.machines.get(id)?.token;
        Some((token, self.idempotent_commands(ctx, id)))
    }

    /// Number that identifies the shard.
    pub(crate) fn id(&self) -> ShardId {
        self.id
    }
}

/// Builds a command. `grace_s` is the time that a stopped task has for saving a checkpoint.
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
