//! Enforcement of cancellations: all tasks of a cancelled job must have exited within the
//! cancellation timeout of the settings.
//!
//! The timeout runs from the first request, even if an earlier holder of the shard received
//! it. The steps escalate: the tasks are stopped; machines that may still run one of them are
//! decommissioned; finally the holder requests the deletion of these machines from the cloud
//! itself. The last step covers a machine whose record cannot be written, or on whose record
//! the leader does not act.

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::shard::job::Job;
use crate::shard::Shard;
use crate::Ms;
use forkshift_wire::cloud::MAX_DELETION_COUNT;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// Fraction of the cancellation timeout after which machines that may run a task of the
/// cancelled job are decommissioned.
const DECOMMISSION_FRACTION: f64 = 0.35;
/// Fraction of the cancellation timeout after which these machines are decommissioned even if
/// the holder has just learned of the cancellation.
const LATEST_DECOMMISSION_FRACTION: f64 = 0.5;
/// Fraction of the cancellation timeout after which the holder requests the deletion of these
/// machines itself.
const DELETE_FRACTION: f64 = 0.6;
/// Time after a pause in which the lease expired until another holder of the shard is known, in
/// milliseconds: longer than the timeout of a call to the key-value store and the interval of
/// heartbeats between controllers.
const RESUME_DELAY_MS: Ms = 5_000;
/// Heartbeat intervals that a new holder gives a machine to report that a task has been
/// stopped.
const STOP_GRACE_HEARTBEATS: u64 = 2;

/// Ages of a cancellation, in milliseconds, at which the next steps are due.
struct CancellationDeadlines {
    /// Age at which machines that may run a task of the job are decommissioned.
    decommission: Ms,
    /// Age at which the holder requests the deletion of these machines itself.
    delete: Ms,
}

impl CancellationDeadlines {
    fn new(ctx: &Context, job: &Job) -> Self {
        let fraction_ms = |fraction| ctx.config.cancellation_fraction_ms(fraction);
        // A new holder first tries to stop the tasks, if the timeout leaves enough time.
        let stop_ms = ctx.config.heartbeat_interval_ms * STOP_GRACE_HEARTBEATS;
        let after_stop_attempt = job.cancellation_age.age_when_learned_ms + stop_ms;
        let after_stop_attempt = after_stop_attempt.min(fraction_ms(LATEST_DECOMMISSION_FRACTION));
        Self {
            decommission: fraction_ms(DECOMMISSION_FRACTION).max(after_stop_attempt),
            delete: fraction_ms(DELETE_FRACTION),
        }
    }
}

impl Shard {
    /// Stops the tasks of cancelled jobs, and decommissions or deletes machines that may
    /// still run one of them when a deadline has passed.
    pub(super) fn enforce_cancellations(&mut self, ctx: &mut Context) {
        let mut overdue = BTreeSet::new();
        for id in self.cancelled_jobs.pop_due(ctx.now) {
            self.stop_remaining_tasks(&id);
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let age = job.cancellation_age_ms(ctx.now);
            let deadlines = CancellationDeadlines::new(ctx, job);
            let bindings = job.bindings.values();
            let machines: BTreeSet<MachineId> = bindings.map(|b| b.machine.clone()).collect();
            if age >= deadlines.decommission {
                for machine in &machines {
                    self.decommission(machine, "it may hold a cancelled task");
                }
            }
            if age >= deadlines.delete {
                overdue.extend(machines);
            }
            let mut next_check = ctx.now + ctx.config.heartbeat_interval_ms;
            if age < deadlines.decommission {
                next_check = next_check.min(ctx.now + deadlines.decommission - age);
            }
            self.cancelled_jobs.set_deadline(&id, next_check);
        }
        if self.may_delete_machines(ctx) {
            self.delete_overdue_machines(ctx, overdue);
        }
    }

    /// Whether this controller may have machines of the shard deleted. It needs no valid lease,
    /// as the cancelled tasks must be gone in time even in an outage of the key-value store. But
    /// if another controller is known to hold the shard, or may have come to hold it in a pause of
    /// this process, that holder stops the cancelled tasks, and the machines may run others.
    fn may_delete_machines(&self, ctx: &Context) -> bool {
        let resumed_at = ctx.lease_lost_in_pause_at;
        let is_resuming = resumed_at.is_some_and(|at| ctx.now < at + RESUME_DELAY_MS);
        ctx.has_valid_lease || !(self.is_superseded || is_resuming)
    }

    /// Requests the deletion of machines whose records do not show their decommissioning. It
    /// only ends tasks.
    ///
    /// No deleted machine is used again: this holder keeps it decommissioned until the record
    /// shows the reason, and the next holder starts no task on a machine without heartbeats.
    /// The tasks of a deleted machine stay bound until the cloud has confirmed the deletion
    /// or the record is removed.
    fn delete_overdue_machines(&mut self, ctx: &mut Context, overdue: BTreeSet<MachineId>) {
        let mut due = Vec::new();
        for id in overdue {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            let deletion = &mut machine.deletion;
            let is_due = !deletion.is_confirmed && ctx.now >= deletion.next_request_at;
            if is_due && due.len() < MAX_DELETION_COUNT {
                deletion.next_request_at = ctx.now + ctx.config.heartbeat_interval_ms;
                due.push(id);
            }
        }
        if due.is_empty() {
            return;
        }
        log::info!(
            "shard {}: deleting machines that may hold cancelled tasks, {} machines",
            self.id,
            due.len()
        );
        let pending = PendingCall::DeleteShardMachines {
            shard: self.id,
            epoch: self.epoch,
            machines: due.clone(),
        };
        ctx.delete_machines(due, pending);
    }

    /// Processes the cloud's response to a deletion that the holder requested. Any status but
    /// 200 confirms nothing, and the request is repeated.
    pub(crate) fn on_holder_deletion_response(
        &mut self,
        ctx: &Context,
        machines: &[MachineId],
        status: u16,
    ) {
        for id in machines.iter().filter(|_| status == 200) {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion.is_confirmed = true;
                machine.orphans.clear();
                machine.exited_attempts.clear();
                self.unbind_all_tasks(ctx, id);
            }
        }
    }
}
