//! Reconciliation of a shard, run after every batch of messages: it brings the state of
//! machines in line with the recorded state of jobs and machines.

mod cancellations;

use crate::context::Context;
use crate::shard::job::StartState;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::{MachineId, TaskRef};

/// Number of checks per heartbeat interval for a machine with an operation in progress.
const CHECKS_PER_HEARTBEAT: Ms = 8;
/// Heartbeat intervals until a reclaimed spot instance is decommissioned, counted from the
/// announced reclaim time or from the last heartbeat if that is later.
const RECLAIM_GRACE_HEARTBEATS: Ms = 2;
/// A machine that does not acknowledge the fencing token is decommissioned after this
/// multiple of the longest silence that is tolerated for a single machine.
const UNACKNOWLEDGED_TOKEN_TIMEOUTS: Ms = 2;

impl Shard {
    /// Performs the due steps for gangs, cancellations, scheduling, warm pools, machines and
    /// job records.
    pub(crate) fn reconcile(&mut self, ctx: &mut Context, view: &ClusterView) {
        self.stop_incomplete_gangs();
        self.enforce_cancellations(ctx);
        self.run_scheduling_round(ctx, view);
        self.sync_pool_records(ctx);
        for id in self.machines_to_reconcile.pop_due(ctx.now) {
            self.reconcile_machine(ctx, view, &id);
        }
        let writes_progress = ctx.now >= self.progress_writes.next_at;
        if writes_progress {
            self.progress_writes.next_at =
                ctx.now + crate::seconds_to_ms(ctx.config.operator.round_interval_s);
        }
        self.write_jobs(ctx, writes_progress);
    }

    /// Stops the remaining tasks of gangs that have lost a task, under this or an earlier
    /// holder. The next attempt of a gang starts once all its tasks have exited.
    fn stop_incomplete_gangs(&mut self) {
        for id in std::mem::take(&mut self.incomplete_gangs) {
            let has_lost_task = self.jobs.get(&id).is_some_and(|job| {
                let bound = job.bindings.len() as u32;
                bound > 0 && bound + job.completed.len() < job.spec.tasks
            });
            if has_lost_task {
                self.stop_incomplete_gang(&id);
            }
        }
    }

    /// Whether no call to a worker, write of a job or response to a cancellation is
    /// outstanding. A new holder would have to wait for these.
    pub(crate) fn has_no_calls_in_flight(&self) -> bool {
        let has_worker_call = self.machines.values().any(|m| m.has_call_in_flight);
        let has_job_write = self
            .jobs
            .values()
            .any(|j| j.has_record_call_in_flight || !j.cancel_waiters.is_empty());
        !has_worker_call && !has_job_write
    }

    /// Performs the due steps for a machine: decommissions it, writes its record, transfers
    /// it and sends commands. The machine is checked again when one of its deadlines passes
    /// or a change marks it as due.
    fn reconcile_machine(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        ctx.work_units += 1;
        let deadline = decommission_deadline(ctx, machine).unwrap_or_else(|reason| {
            self.decommission(id, reason);
            Ms::MAX
        });
        self.record_decommission(ctx, view, id);
        self.unbind_unsent_tasks_if_unreachable(ctx, id);
        self.record_worker_address(ctx, view, id);
        self.reconcile_membership(ctx, view, id);
        self.transfer_machine_if_requested(ctx, view, id);
        self.send_due_commands(ctx, id);
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let next_check = if self.needs_polling(view, machine) {
            let poll_at =
                ctx.now + (ctx.config.heartbeat_interval_ms / CHECKS_PER_HEARTBEAT).max(1);
            poll_at.max(machine.call_retry_at)
        } else {
            ctx.now + ctx.config.lease_ms
        };
        self.machines_to_reconcile
            .set_deadline(id, next_check.min(deadline).max(ctx.now + 1));
    }

    /// Unbinds tasks whose start was never sent from a machine that misses heartbeats or
    /// cannot be called. Such tasks need no evidence of their exit, and the machine may stay
    /// unreachable for a long time.
    fn unbind_unsent_tasks_if_unreachable(&mut self, ctx: &Context, id: &MachineId) {
        let is_unreachable = |m: &&Machine| {
            let is_silent = m.last_heartbeat_at.is_some() && !m.has_recent_heartbeat(ctx);
            is_silent || !m.link.can_start_tasks()
        };
        if let Some(machine) = self.machines.get(id).filter(is_unreachable) {
            let tasks: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
            self.stop_unsent_tasks(tasks);
        }
    }

    /// Whether an operation on the machine is in progress whose end may not be signalled by
    /// any message, so that the machine must be checked at short intervals.
    fn needs_polling(&self, view: &ClusterView, machine: &Machine) -> bool {
        let is_pending = |task: &TaskRef| {
            let job = self.jobs.get(&task.job);
            let binding = job.and_then(|job| job.bindings.get(&task.index));
            binding.is_some_and(|b| b.stop.is_some() || b.start == StartState::NotSent)
        };
        is_record_outdated(view, machine)
            || machine.pool.is_pending()
            || machine.must_send_token
            || !machine.exited_attempts.is_empty()
            || !machine.orphans.is_empty()
            || machine.tasks.iter().any(is_pending)
    }

    /// Writes the address of a machine's worker to the record once a heartbeat has given it.
    fn record_worker_address(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let is_recorded = view
            .machines
            .get(id)
            .is_none_or(|versioned| versioned.record.addr.is_some());
        let has_sent_heartbeat = machine.last_heartbeat_at.is_some();
        if is_recorded || !has_sent_heartbeat || machine.decommission_reason.is_some() {
            return;
        }
        if let Some(addr) = machine.addr.clone() {
            self.update_machine_record(ctx, view, id, |record| record.addr = Some(addr));
        }
    }
}

/// Whether a write of the machine's record is due: its decommissioning or address is not
/// recorded, or its transfer is requested.
fn is_record_outdated(view: &ClusterView, machine: &Machine) -> bool {
    let Some(versioned) = view.machines.get(&machine.id) else {
        return false;
    };
    let record = &versioned.record;
    let is_outdated = match machine.decommission_reason {
        Some(_) => record.decommission_reason.is_none(),
        None => record.addr.is_none() && machine.last_heartbeat_at.is_some(),
    };
    is_outdated || record.reassign_to.is_some()
}

/// Time until which the machine is kept if nothing changes, in milliseconds of the steady
/// clock, or as an error the stored reason for decommissioning it now.
fn decommission_deadline(ctx: &Context, machine: &Machine) -> Result<Ms, &'static str> {
    if machine.decommission_reason.is_some() {
        return Ok(Ms::MAX);
    }
    if machine.failures.is_faulty() {
        return Err("it fails what it starts");
    }
    if !machine.has_tokens_left() {
        return Err("its fencing tokens are used up");
    }
    let mut earliest = Ms::MAX;
    for deadline in decommission_deadlines(ctx, machine) {
        match deadline.at {
            Some(at) if ctx.now > at => return Err(deadline.reason),
            Some(at) => earliest = earliest.min(at + 1),
            None => {}
        }
    }
    Ok(earliest)
}

/// A condition under which a machine is decommissioned once a deadline has passed.
struct DecommissionDeadline {
    /// Deadline in milliseconds of the steady clock; none if the condition does not apply.
    at: Option<Ms>,
    /// Text that is stored in the machine's record as its decommission reason.
    reason: &'static str,
}

/// All deadlines of a machine, in order of precedence: if several have passed, the first
/// gives the reason.
fn decommission_deadlines(ctx: &Context, machine: &Machine) -> [DecommissionDeadline; 4] {
    let silent_since = machine.silent_since(ctx.resumed_at);
    let idle_ms = (machine.boot_ms as f64 * ctx.config.operator.idle_boots) as Ms;
    // A machine that never sent a heartbeat may still be booting, so that its silence has no
    // deadline. Tasks are placed only on machines that have sent a heartbeat: if there are
    // tasks but no address, an earlier holder received the heartbeat and did not get to
    // record the address.
    let has_sent_heartbeat =
        machine.addr.is_some() || machine.last_heartbeat_at.is_some() || !machine.tasks.is_empty();
    let reclaim_grace_ms = ctx.config.heartbeat_interval_ms * RECLAIM_GRACE_HEARTBEATS;
    let unacknowledged_ms = ctx.max_silence_ms() * UNACKNOWLEDGED_TOKEN_TIMEOUTS;
    [
        DecommissionDeadline {
            at: has_sent_heartbeat.then_some(silent_since + ctx.decommission_timeout_ms(machine)),
            reason: "it is silent",
        },
        DecommissionDeadline {
            at: machine
                .spot_reclaim_at
                .map(|at| at.max(silent_since) + reclaim_grace_ms),
            reason: "it was taken",
        },
        DecommissionDeadline {
            at: machine
                .token_unacknowledged_since
                .map(|since| since + unacknowledged_ms),
            reason: "our answers do not reach it",
        },
        DecommissionDeadline {
            at: machine
                .idle_since
                .map(|since| (since + idle_ms).saturating_sub(1)),
            reason: "it is not needed",
        },
    ]
}

#[cfg(test)]
mod tests;
