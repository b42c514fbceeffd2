//! Rounds on machines and jobs that may be faulty: both are probed with few tasks.

use crate::context::Context;
use crate::shard::machine::Machine;
use crate::shard::scheduling::PendingJobs;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::PendingTasks;
use forkshift_wire::{JobId, MachineId, TaskRef};

/// For this long after its back-off, a job that failed repeatedly waits for room on
/// existing machines: none is provisioned for it.
const FAILING_JOB_WAIT_MS: Ms = 60_000;

impl Shard {
    /// Whether a machine is in quarantine, as it may be faulty.
    pub(super) fn is_quarantined(&self, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| m.failures.is_quarantined())
    }

    /// Whether a machine has been in quarantine for less than a boot. After that it is
    /// used for more: it may be well, and another one may never come.
    pub(crate) fn is_newly_quarantined(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| {
            m.failures.is_quarantined() && m.failures.has_failed_within(ctx.now, m.boot_ms)
        })
    }

    /// Whether a quarantined machine may be probed with one more task now.
    pub(super) fn may_probe(&self, ctx: &Context, id: &MachineId) -> bool {
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

    /// Removes the waiting tasks of jobs that failed repeatedly, of late: nothing is
    /// stopped and no machine is provisioned for them, as long as they fit on one that
    /// exists.
    pub(super) fn skip_recently_failing_jobs(&self, ctx: &Context, pending: &mut PendingJobs) {
        for (id, tasks) in pending.ids.iter().zip(&mut pending.tasks) {
            if self.has_recently_failed(ctx, id) && self.fits_some_machine(tasks) {
                tasks.waiting.clear();
            }
        }
    }

    fn has_recently_failed(&self, ctx: &Context, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            job.failures.is_limited_to_one_task() && ctx.now < job.not_before + FAILING_JOB_WAIT_MS
        })
    }

    /// Whether a task would fit on some machine of the shard if that were empty.
    fn fits_some_machine(&self, pending: &PendingTasks) -> bool {
        let fits = |machine: &Machine| {
            machine.decommission_reason.is_none()
                && pending.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
                && pending.task_resources.fits_in(&machine.capacity)
        };
        self.machines.values().any(fits)
    }
}
