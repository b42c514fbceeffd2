//! Scheduling rules for machines and jobs that may be faulty: both get few tasks, as
//! probes, until one of these runs for long enough.

use crate::context::Context;
use crate::shard::machine::Machine;
use crate::shard::scheduling::PendingJobs;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::PendingTasks;
use forkshift_wire::{JobId, MachineId, TaskRef};

/// For this long after its backoff, no machine is provisioned and no task is stopped for
/// a job that failed repeatedly, unless its tasks fit on no machine of the shard.
const FAILING_JOB_NO_PROVISIONING_MS: Ms = 60_000;

impl Shard {
    /// Whether a machine is in quarantine because several jobs failed on it.
    pub(super) fn is_quarantined(&self, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| m.failures.is_quarantined())
    }

    /// Whether a machine is in quarantine and its last failure is more recent than one
    /// boot time. After that time the machine is scheduled with fewer restrictions: it
    /// may be healthy, and a replacement may never come.
    pub(crate) fn is_newly_quarantined(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| {
            m.failures.is_quarantined() && m.failures.has_failed_within(ctx.now, m.boot_ms)
        })
    }

    /// Whether a quarantined machine may get one more task as a probe: its retry is due,
    /// and no task on it is still starting.
    pub(super) fn may_start_probe(&self, ctx: &Context, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let is_starting = |task: &TaskRef| {
            let found = self.binding(task);
            found.is_some_and(|(_, binding)| binding.running_since.is_none())
        };
        let is_due = machine.failures.is_retry_due(
            ctx.now,
            ctx.config.heartbeat_interval_ms,
            machine.boot_ms,
        );
        is_due && !machine.tasks.iter().any(is_starting)
    }

    /// Removes the pending tasks of jobs that recently failed repeatedly, so that nothing
    /// is stopped and no machine is provisioned for them. Jobs whose tasks fit on no
    /// existing machine stay.
    pub(super) fn skip_recently_failing_jobs(&self, ctx: &Context, pending: &mut PendingJobs) {
        for (id, tasks) in pending.ids.iter().zip(&mut pending.tasks) {
            if self.has_recently_failed(ctx, id) && self.fits_some_machine(tasks) {
                tasks.unplaced_tasks.clear();
            }
        }
    }

    fn has_recently_failed(&self, ctx: &Context, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            job.failures.is_limited_to_one_task()
                && ctx.now < job.placement_backoff_until + FAILING_JOB_NO_PROVISIONING_MS
        })
    }

    /// Whether a task would fit on some machine of the shard if the machine ran nothing
    /// else.
    fn fits_some_machine(&self, pending: &PendingTasks) -> bool {
        let fits = |machine: &Machine| {
            machine.decommission_reason.is_none()
                && pending.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
                && pending.task_resources.fits_in(&machine.capacity)
        };
        self.machines.values().any(fits)
    }
}
