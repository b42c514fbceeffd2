//! Stopping work to make room for work of a higher priority.
//!
//! Production work that finds no room does this at once, and only to work at
//! least two priorities below it: what is stopped has lost its progress, and
//! a machine for the next priority up is but a boot away. Urgent services do
//! so once they have waited for a part of a boot: by then no machine is to be
//! had, or theirs is long in coming.

use crate::context::Context;
use crate::job::Sent;
use crate::share::Share;
use forkshift_sched::{PendingTasks, Quota, Resources};
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, MachineId, TaskRef};

/// Reports between two times that work is stopped: what was stopped must be
/// seen to be gone, and its room be used, before more is.
const PAUSE_REPORTS: u64 = 2;
/// The part of a boot that an urgent service waits first.
const URGENT_BOOTS: f64 = 0.25;

impl Share {
    /// Makes room for the first production task that has found none.
    pub(crate) fn preempt(
        &mut self,
        ctx: &Context,
        ids: &[JobId],
        wants: &[PendingTasks],
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        if ctx.now < self.preempted_at + ctx.cfg.report_ms * PAUSE_REPORTS {
            return;
        }
        let boot_ms = self.boot_ms();
        for (id, want) in ids.iter().zip(wants) {
            let may = self.jobs.get(id).is_some_and(|j| match j.priority() {
                Priority::Production => true,
                Priority::High => j.age(ctx.now) as f64 >= boot_ms as f64 * URGENT_BOOTS,
                _ => false,
            });
            let waits = !want.waiting.is_empty() && !want.gang;
            if !may || !waits || !quotas[want.team].allows(&want.task) {
                continue;
            }
            let best = usable
                .iter()
                .filter_map(|m| self.victims(ctx, want, m))
                .min_by_key(|(lost, _)| *lost);
            let Some((_, victims)) = best else { continue };
            self.preempted_at = ctx.now;
            for victim in victims {
                log::info!("{victim}: stopped to make room for {id}");
                self.stop_task(&victim);
            }
            return;
        }
    }

    /// The tasks to be stopped on a machine for a place for one task, those
    /// that ran for the shortest first, and the time that is lost with them.
    fn victims(
        &self,
        ctx: &Context,
        want: &PendingTasks,
        id: &MachineId,
    ) -> Option<(u64, Vec<TaskRef>)> {
        let machine = self.machines.get(id)?;
        let fits = want.allowed(machine.machine_type, machine.zone, machine.spot)
            && want.task.fits(&machine.total);
        if !fits {
            return None;
        }
        let mut low: Vec<(u64, Resources, &TaskRef)> = machine
            .tasks
            .iter()
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let binding = job.bound.get(&task.index)?;
                let stoppable = job.priority() <= Priority::Normal
                    && !job.is_gang()
                    && binding.sent != Sent::No
                    && binding.stop.is_none();
                let ran = ctx.now - binding.running_since.unwrap_or(ctx.now);
                stoppable.then_some((ran, job.task, task))
            })
            .collect();
        low.sort_by_key(|(ran, _, _)| *ran);
        let mut free = machine.free();
        let mut lost = 0;
        let mut victims = Vec::new();
        for (ran, res, task) in low {
            if want.task.fits(&free) {
                break;
            }
            free += res;
            lost += ran;
            victims.push(task.clone());
        }
        (want.task.fits(&free) && !victims.is_empty()).then_some((lost, victims))
    }
}
