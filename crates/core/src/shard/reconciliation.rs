//! Reconciliation of a shard: brings what machines do in line with what is
//! recorded of jobs, after every batch of messages.

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::shard::job::StartState;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::cloud::DELETE_MOST;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::BTreeSet;

/// A machine that may hold a task of a cancelled job is given up after this
/// part of the time in which the task must be gone.
const DECOMMISSION_PART: f64 = 0.35;
/// By this part of it the machine is given up even if its holder has just
/// learnt of the cancellation.
const LATEST_DECOMMISSION_PART: f64 = 0.5;
/// After this part of it the holder has the machine deleted itself.
const DELETE_PART: f64 = 0.6;
/// Reports that a new holder gives a machine to tell that a task is gone.
const STOP_TRIES: u64 = 2;
/// Looks a report at a machine about which something is under way.
const CHECKS_PER_HEARTBEAT: Ms = 8;

impl Shard {
    /// Does what is due for gangs, cancellations, machines and records.
    pub(crate) fn reconcile(&mut self, ctx: &mut Context, view: &ClusterView) {
        self.stop_broken_gangs();
        self.enforce_cancellations(ctx);
        self.round(ctx, view);
        self.write_pool_rows(ctx);
        for id in self.recheck.take(ctx.now) {
            self.reconcile_machine(ctx, view, &id);
        }
        let progress = ctx.now >= self.progress_writes.next_at;
        if progress {
            self.progress_writes.next_at = ctx.now + crate::ms(ctx.config.ops.round_s);
        }
        self.write_jobs(ctx, progress);
    }

    /// A gang that has lost a task, also one that an earlier holder knew of,
    /// begins anew when the rest is gone.
    fn stop_broken_gangs(&mut self) {
        for id in std::mem::take(&mut self.incomplete_gangs) {
            let broken = self.jobs.get(&id).is_some_and(|j| {
                let there = j.bound.len() as u32;
                there > 0 && there + j.done.len() < j.spec.tasks
            });
            if broken {
                self.on_gang_incomplete(&id);
            }
        }
    }

    /// Whether nothing is under way that a new holder would have to wait for.
    pub(crate) fn is_quiet(&self) -> bool {
        let calling = self.machines.values().any(|m| m.has_call_in_flight);
        let writing = self
            .jobs
            .values()
            .any(|j| j.has_write_in_flight || !j.cancel_waiters.is_empty());
        !calling && !writing
    }

    /// Stops tasks of cancelled jobs, those too that a holder before us did
    /// not stop, and gives up the machines that may still hold one when the
    /// time is nearly up. The time counts from the first request, also when
    /// that came to an earlier holder. If the record of a machine cannot be
    /// written, or the leader does not act on it, we have it deleted ourselves.
    fn enforce_cancellations(&mut self, ctx: &mut Context) {
        let part = |part: f64| (ctx.config.cancel_ms as f64 * part) as Ms;
        let (give_up, patience, evict) = (
            part(DECOMMISSION_PART),
            part(LATEST_DECOMMISSION_PART),
            part(DELETE_PART),
        );
        // Whoever takes a job over tries to stop its tasks first, if there is time.
        let tries = ctx.config.report_ms * STOP_TRIES;
        let mut overdue = BTreeSet::new();
        for id in self.cancelled_jobs.take(ctx.now) {
            self.stop_remaining_tasks(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let age = job.cancel_age(ctx.now);
            let at_least = (job.cancellation_age.when_learned_ms + tries).min(patience);
            let due = give_up.max(at_least);
            let holding: BTreeSet<MachineId> =
                job.bound.values().map(|b| b.machine.clone()).collect();
            if age >= due {
                for machine in &holding {
                    self.decommission(machine, "it may hold a cancelled task");
                }
            }
            if age >= evict {
                overdue.extend(holding);
            }
            let next = ctx.now + ctx.config.report_ms;
            let wake = if age < due && next > ctx.now + due - age {
                ctx.now + due - age
            } else {
                next
            };
            self.cancelled_jobs.wake(&id, wake);
        }
        self.delete_overdue(ctx, overdue);
    }

    /// Has machines deleted without a record that says so. That is always
    /// allowed: it only ends things. None of them is used again: we hold them
    /// as given up until their records say so, and whoever takes over finds
    /// machines with records from which nothing is heard, and starts nothing
    /// there. What they held counts as being there until the cloud has answered
    /// us, or until the record is gone.
    fn delete_overdue(&mut self, ctx: &mut Context, overdue: BTreeSet<MachineId>) {
        let mut due = Vec::new();
        for id in overdue {
            let machine = self.machines.get_mut(&id);
            let Some(m) = machine.filter(|m| !m.is_deleted && ctx.now >= m.next_delete_at) else {
                continue;
            };
            if due.len() < DELETE_MOST {
                m.next_delete_at = ctx.now + ctx.config.report_ms;
                due.push(id);
            }
        }
        if due.is_empty() {
            return;
        }
        log::info!(
            "shard {}: {} machines are returned at once, they may hold cancelled tasks",
            self.id,
            due.len()
        );
        let pending = PendingCall::DeleteOwnMachines {
            shard: self.id,
            epoch: self.epoch,
            machines: due.clone(),
        };
        ctx.delete_machines(due, pending);
    }

    /// What the cloud has answered to a deletion of ours.
    pub(crate) fn on_own_machines_deleted(
        &mut self,
        ctx: &Context,
        machines: &[MachineId],
        status: u16,
    ) {
        for id in machines.iter().filter(|_| status == 200) {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.is_deleted = true;
                machine.orphans.clear();
                machine.exited.clear();
                self.unbind_all(ctx, id);
            }
        }
    }

    /// Does for a machine what is due: gives it up, has its record written,
    /// sends it commands. Then it is left alone until something happens to it
    /// or one of its deadlines comes.
    fn reconcile_machine(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        ctx.work_units += 1;
        let deadline = removal_deadline(ctx, machine).unwrap_or_else(|why| {
            self.decommission(id, why);
            Ms::MAX
        });
        self.record_decommission(ctx, view, id);
        self.take_back_unsent(ctx, id);
        self.note_address(ctx, view, id);
        self.note_membership(ctx, view, id);
        self.transfer_machine(ctx, view, id);
        self.send_due_commands(ctx, id);
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let again = if self.is_busy(view, machine) {
            let soon = ctx.now + (ctx.config.report_ms / CHECKS_PER_HEARTBEAT).max(1);
            soon.max(machine.retry_at)
        } else {
            ctx.now + ctx.config.lease_ms
        };
        self.recheck.wake(id, again.min(deadline).max(ctx.now + 1));
    }

    /// What was never sent to a machine that is not heard any more, or that no call
    /// reaches, goes elsewhere: it needs no evidence, and the machine may be waited for long.
    fn take_back_unsent(&mut self, ctx: &Context, id: &MachineId) {
        let is_out_of_reach = |m: &&Machine| {
            let is_silent = m.last_heartbeat_at.is_some() && !m.has_recent_heartbeat(ctx);
            is_silent || !m.link.accepts_starts()
        };
        if let Some(machine) = self.machines.get(id).filter(is_out_of_reach) {
            let tasks: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
            self.unbind_unsent_tasks(tasks);
        }
    }

    /// Whether something about a machine is under way that no message may
    /// bring back to mind.
    fn is_busy(&self, view: &ClusterView, m: &Machine) -> bool {
        let record = view.machines.get(&m.id).map(|r| &r.record);
        let unwritten = record.is_some_and(|r| {
            let condemned = m.decommission_reason.is_some() && r.decommission_reason.is_none();
            let addr = m.last_heartbeat_at.is_some()
                && r.addr.is_none()
                && m.decommission_reason.is_none();
            condemned || addr || r.reassign_to.is_some()
        });
        let unwritten = unwritten || m.pool.is_busy();
        let stopping = |t: &TaskRef| {
            let binding = self.jobs.get(&t.job).and_then(|j| j.bound.get(&t.index));
            binding.is_some_and(|b| b.stop.is_some() || b.start == StartState::NotSent)
        };
        unwritten
            || m.must_send_token
            || !m.exited.is_empty()
            || !m.orphans.is_empty()
            || m.tasks.iter().any(stopping)
    }

    fn note_address(&mut self, ctx: &mut Context, view: &ClusterView, id: &MachineId) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let record = view.machines.get(id);
        let unrecorded = record.is_some_and(|r| r.record.addr.is_none());
        let addr = m.addr.clone().filter(|_| m.last_heartbeat_at.is_some());
        if let Some(addr) = addr.filter(|_| unrecorded && m.decommission_reason.is_none()) {
            self.update_machine_record(ctx, view, id, |record| record.addr = Some(addr));
        }
    }
}

/// Until when a machine is kept if nothing happens to it, or why it is given
/// up: it is silent, deaf, faulty, taken or of no use.
fn removal_deadline(ctx: &Context, m: &Machine) -> Result<Ms, &'static str> {
    if m.decommission_reason.is_some() {
        return Ok(Ms::MAX);
    }
    if m.failures.is_faulty() {
        return Err("it fails what it starts");
    }
    let silent = ctx.silent_ms();
    let last = m.last_sign_of_life(ctx.resumed_at);
    let keep = (m.boot_ms as f64 * ctx.config.ops.idle_boots) as Ms;
    // A task is only ever placed where something was heard, by an earlier
    // holder perhaps, who had no time to write the address.
    let known = m.addr.is_some() || m.last_heartbeat_at.is_some() || !m.tasks.is_empty();
    let gone = ctx.config.report_ms * 2;
    let ends = [
        (
            known.then_some(last + ctx.removal_timeout_ms(m)),
            "it is silent",
        ),
        (m.reclaimed_at.map(|t| t.max(last) + gone), "it was taken"),
        (
            m.unacknowledged_since.map(|t| t + silent * 2),
            "our answers do not reach it",
        ),
        (
            m.idle_since.map(|t| (t + keep).saturating_sub(1)),
            "it is not needed",
        ),
    ];
    let mut next = Ms::MAX;
    for (end, why) in ends {
        match end {
            Some(end) if ctx.now > end => return Err(why),
            Some(end) => next = next.min(end + 1),
            None => {}
        }
    }
    Ok(next)
}

#[cfg(test)]
mod tests;
