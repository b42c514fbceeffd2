//! `forget` commands, by which workers drop exited attempts from their heartbeats.
//!
//! A copy of a start may arrive at any time, also after the start was answered. A worker that has
//! forgotten the attempt runs it again, unless it refuses the copy: for its token, if the worker
//! has seen a higher one, or for its incarnation. A `forget` is therefore sent only in a message
//! whose token is higher than that of every start of the attempt. The worker adopts this token
//! before it executes the commands of the message, so that no heartbeat has to echo it first.

use super::{command, MAX_COMMANDS_PER_CALL};
use crate::shard::machine::{ExitedAttempt, Machine, TaskAttempt};
use crate::shard::Shard;
use forkshift_wire::workers::{Command, Verb};
use forkshift_wire::MachineId;

impl Shard {
    /// `forget` commands for exited attempts whose outcome is durable. Raises the machine's token
    /// if it is that of a start of one of them.
    pub(super) fn forget_commands(&mut self, id: &MachineId) -> Vec<Command> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        // A raised token would have the worker refuse the call in flight and its starts. After an
        // unanswered call the worker must first echo the token that was raised for it.
        if machine.has_unanswered_call || machine.has_call_in_flight {
            return Vec::new();
        }
        let exited = machine.exited_attempts.iter();
        let forgets: Vec<(u64, Command)> = exited
            .filter(|(attempt, exited)| self.is_forgettable(machine, attempt, exited))
            .take(MAX_COMMANDS_PER_CALL)
            .map(|(attempt, exited)| {
                let forget = command(Verb::Forget, &attempt.task, attempt.attempt, None);
                (exited.start_token, forget)
            })
            .collect();
        let Some(start_token) = forgets.iter().map(|(token, _)| *token).max() else {
            return Vec::new();
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        machine.raise_token_above(start_token);
        let token = machine.token;
        log::debug!(
            "machine {id}: {} exited attempts to be forgotten under token {token}, started under tokens up to {start_token}",
            forgets.len()
        );
        let fenced = forgets.into_iter().filter(|(start, _)| *start < token);
        fenced.map(|(_, forget)| forget).collect()
    }

    /// Whether the outcome of an exited attempt needs its worker no more: the attempt is no
    /// longer bound, and its outcome is durable.
    fn is_forgettable(
        &self,
        machine: &Machine,
        attempt: &TaskAttempt,
        exited: &ExitedAttempt,
    ) -> bool {
        let Some(job) = self.jobs.get(&attempt.task.job) else {
            return true;
        };
        let index = attempt.task.index;
        let is_bound = job
            .bindings
            .get(&index)
            .is_some_and(|b| b.machine == machine.id && b.attempt == attempt.attempt);
        let version = exited.job_version;
        !is_bound && version.is_none_or(|version| job.is_durable(index, version))
    }
}
