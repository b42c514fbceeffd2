//! Determines which work is borrowed, and drains the machines that run nothing else.

use crate::bounds::fraction_of_machines;
use crate::context::Context;
use crate::shard::job::{Binding, Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{CapacityClass, MachineSnapshot, Quota};
use forkshift_wire::users::Priority;
use forkshift_wire::{MachineId, TaskRef};

/// A borrower's job uses idle capacity only until its age reaches this fraction of its
/// class's completion objective. With a quarter, a huge array of short tasks finished too
/// late.
const IDLE_ONLY_OBJECTIVE_FRACTION: f64 = 0.1;
/// The same limit as a fraction of the job's own deadline.
const IDLE_ONLY_DEADLINE_FRACTION: f64 = 0.5;

/// A borrower's job of which no task has been placed uses idle capacity only for at most
/// this many boot times after its submission.
const IDLE_ONLY_START_BOOTS: f64 = 2.0;

/// One in this many machines of a shard is drained of borrowed work in a round.
const DRAINED_MACHINES_DIVISOR: usize = 64;
/// Lower bound on the number of machines that are drained in a round.
const MIN_DRAINED_MACHINES: usize = 4;

impl Shard {
    /// Whether any team without a guarantee uses resources.
    pub(super) fn has_borrowers(&self) -> bool {
        let borrows = |quota: &Quota| quota.has_no_guarantee() && quota.is_borrowing();
        self.quotas.iter().any(borrows)
    }

    /// Whether a job is the low-priority work of a team without a guarantee. Where no
    /// team has a guarantee, no team is a borrower.
    fn is_borrowed_work(&self, ctx: &Context, job: &Job) -> bool {
        let team = self.teams.get(&job.spec.team);
        let has_no_guarantee = team.is_some_and(|team| self.quotas[*team].has_no_guarantee());
        ctx.config.allows_borrowing && has_no_guarantee && job.priority() == Priority::Low
    }

    /// Whether a task is borrowed work that may be stopped. Tasks of gangs may not,
    /// because the whole gang would be lost with one of its tasks.
    pub(crate) fn is_reclaimable(&self, ctx: &Context, job: &Job, binding: &Binding) -> bool {
        let has_started = binding.start != StartState::NotSent;
        self.is_borrowed_work(ctx, job) && !job.is_gang() && has_started
    }

    /// Whether a job is ordinary or borrowed work, and whether borrowed work uses idle
    /// capacity only. `boot_ms` is the longest boot time of the shard's machines.
    pub(crate) fn capacity_class_of(&self, ctx: &Context, job: &Job, boot_ms: Ms) -> CapacityClass {
        match self.is_borrowed_work(ctx, job) {
            true if uses_idle_capacity_only(ctx, job, boot_ms) => CapacityClass::IdleOnlyBorrower,
            true => CapacityClass::Borrower,
            false => CapacityClass::Ordinary,
        }
    }

    /// Drains on-demand machines that run nothing but borrowed work. Borrowers fill
    /// capacity as soon as it is free, so without this no such machine would ever be
    /// released. `hosts` shows the free capacity of the usable machines once all other
    /// work and the headroom are placed, with borrowed work counted as stopped.
    pub(crate) fn drain_machines_with_only_borrowed_work(
        &mut self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &[MachineSnapshot],
    ) {
        if !self.has_borrowers() {
            return;
        }
        let boot_ms = self.max_boot_ms();
        let max_drained = fraction_of_machines(
            self.machines.len(),
            DRAINED_MACHINES_DIVISOR,
            MIN_DRAINED_MACHINES,
        );
        let unneeded = usable
            .iter()
            .zip(hosts)
            .filter(|(_, host)| host.free == host.total);
        let drained: Vec<MachineId> = unneeded
            .filter_map(|(id, _)| self.machines.get(id))
            .filter(|machine| self.runs_only_idle_capacity_work(ctx, machine, boot_ms))
            .map(|machine| machine.id.clone())
            .take(max_drained)
            .collect();
        for id in drained {
            self.drain_borrowed_work(&id);
        }
    }

    /// Starts to drain a machine and stops all of its tasks.
    fn drain_borrowed_work(&mut self, id: &MachineId) {
        log::info!("machine {id}: draining started, runs only borrowed work");
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.stop_task(&task);
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.is_draining = true;
        }
    }

    /// Whether a machine is on-demand and runs nothing but borrowed work that uses idle
    /// capacity only.
    fn runs_only_idle_capacity_work(&self, ctx: &Context, machine: &Machine, boot_ms: Ms) -> bool {
        let is_idle_capacity_work = |task: &TaskRef| {
            let found = self.binding(task);
            found.is_some_and(|(job, binding)| {
                self.is_reclaimable(ctx, job, binding) && uses_idle_capacity_only(ctx, job, boot_ms)
            })
        };
        !machine.is_spot
            && !machine.tasks.is_empty()
            && machine.tasks.iter().all(is_idle_capacity_work)
    }
}

/// Whether a borrower's job uses idle capacity only, so that no on-demand machine is
/// provisioned for it: the job has started or was submitted recently, and there is time
/// until it should be complete.
fn uses_idle_capacity_only(ctx: &Context, job: &Job, boot_ms: Ms) -> bool {
    let spec = &job.spec;
    let objective_s = ctx.config.completion_objectives.get(&spec.class);
    let objective_limit_s = objective_s.map(|s| s * IDLE_ONLY_OBJECTIVE_FRACTION);
    let deadline_limit_s = spec.deadline_s.map(|s| s * IDLE_ONLY_DEADLINE_FRACTION);
    let limits_s = objective_limit_s.into_iter().chain(deadline_limit_s);
    let idle_only_until_age_s = limits_s.fold(f64::INFINITY, f64::min);
    let age_s = job.age_ms(ctx.now) as f64 / 1000.0;
    let has_started = !job.bindings.is_empty() || job.completed.len() > 0;
    let idle_only_start_s = boot_ms as f64 / 1000.0 * IDLE_ONLY_START_BOOTS;
    age_s < idle_only_until_age_s && (has_started || age_s < idle_only_start_s)
}
