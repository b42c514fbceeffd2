//! Borrowed work: which it is, and the machines that only it keeps up.

use crate::bounds::part_of_machines;
use crate::context::Context;
use crate::shard::job::{Binding, Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{CapacityClass, MachineSnapshot, Quota};
use forkshift_wire::users::Priority;
use forkshift_wire::{MachineId, TaskRef};

/// A borrower's job is content with unused machines for this part of the time in which
/// its class should finish. With a quarter, a huge array of short tasks came too late.
const PATIENT_OBJECTIVE_PART: f64 = 0.1;
/// The same, as a part of the job's own deadline.
const PATIENT_DEADLINE_PART: f64 = 0.5;

/// A job of which no task has started is content for no more than this many boots.
const PATIENT_START_BOOTS: f64 = 2.0;

/// One in so many machines of a shard is drained of borrowed work in a round.
const DRAINED_PART: usize = 64;
/// At least this many are.
const MIN_DRAINED: usize = 4;

impl Shard {
    /// Whether a team without a guarantee uses anything.
    pub(super) fn has_borrowers(&self) -> bool {
        let borrows = |quota: &Quota| quota.has_no_guarantee() && quota.is_borrowing();
        self.quotas.iter().any(borrows)
    }

    /// Whether a job is the low-priority work of a team without a guarantee. Where no team
    /// has one, none borrows.
    fn is_borrowed_work(&self, ctx: &Context, job: &Job) -> bool {
        let team = self.teams.get(&job.spec.team);
        let has_no_guarantee = team.is_some_and(|team| self.quotas[*team].has_no_guarantee());
        ctx.config.has_borrowers && has_no_guarantee && job.priority() == Priority::Low
    }

    /// Whether a task runs on borrowed resources and may be stopped to give them back. A
    /// gang would be lost whole with one of its tasks.
    pub(crate) fn is_reclaimable(&self, ctx: &Context, job: &Job, binding: &Binding) -> bool {
        let has_started = binding.start != StartState::NotSent;
        self.is_borrowed_work(ctx, job) && !job.is_gang() && has_started
    }

    /// Whether a job is borrowed work, and whether it is content with unused machines,
    /// where machines take `boot_ms` to boot.
    pub(crate) fn standing_of(&self, ctx: &Context, job: &Job, boot_ms: Ms) -> CapacityClass {
        match self.is_borrowed_work(ctx, job) {
            true if is_patient(ctx, job, boot_ms) => CapacityClass::PatientBorrower,
            true => CapacityClass::Borrower,
            false => CapacityClass::Ordinary,
        }
    }

    /// Drains on-demand machines that only borrowers use: these fill what becomes free at
    /// once, so no machine would ever be released otherwise. `hosts` shows what is free on
    /// the usable machines once all other work and the spare places are booked, with
    /// borrowed work counted as stopped.
    pub(crate) fn drain_borrowers(
        &mut self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &[MachineSnapshot],
    ) {
        if !self.has_borrowers() {
            return;
        }
        let boot_ms = self.boot_ms();
        let max_drained = part_of_machines(self.machines.len(), DRAINED_PART, MIN_DRAINED);
        let unneeded = usable
            .iter()
            .zip(hosts)
            .filter(|(_, host)| host.free == host.total);
        let drained: Vec<MachineId> = unneeded
            .filter_map(|(id, _)| self.machines.get(id))
            .filter(|machine| self.is_kept_by_borrowers(ctx, machine, boot_ms))
            .map(|machine| machine.id.clone())
            .take(max_drained)
            .collect();
        for id in drained {
            self.drain_borrowed_work(&id);
        }
    }

    /// Stops all tasks of a machine that is to be released.
    fn drain_borrowed_work(&mut self, id: &MachineId) {
        log::info!("machine {id}: draining started, only borrowers use it");
        let tasks = self.machines.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            self.stop_task(&task);
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.is_draining = true;
        }
    }

    /// Whether a machine is on-demand and runs nothing but work that is content with
    /// unused machines.
    fn is_kept_by_borrowers(&self, ctx: &Context, machine: &Machine, boot_ms: Ms) -> bool {
        let is_patient_borrower = |task: &TaskRef| {
            let found = self.binding(task);
            found.is_some_and(|(job, binding)| {
                self.is_reclaimable(ctx, job, binding) && is_patient(ctx, job, boot_ms)
            })
        };
        !machine.is_spot
            && !machine.tasks.is_empty()
            && machine.tasks.iter().all(is_patient_borrower)
    }
}

/// Whether a borrower's job is content with what others leave unused, so that no
/// on-demand machine is provisioned for it: it has begun, or came lately, and there is
/// time until it should be complete.
fn is_patient(ctx: &Context, job: &Job, boot_ms: Ms) -> bool {
    let spec = &job.spec;
    let objective_s = ctx.config.completion_objectives.get(&spec.class);
    let by_objective = objective_s.map(|s| s * PATIENT_OBJECTIVE_PART);
    let by_deadline = spec.deadline_s.map(|s| s * PATIENT_DEADLINE_PART);
    let ends = by_objective.into_iter().chain(by_deadline);
    let patience_s = ends.fold(f64::INFINITY, f64::min);
    let age_s = job.age_ms(ctx.now) as f64 / 1000.0;
    let has_begun = !job.bindings.is_empty() || job.completed.len() > 0;
    let start_patience_s = boot_ms as f64 / 1000.0 * PATIENT_START_BOOTS;
    age_s < patience_s && (has_begun || age_s < start_patience_s)
}
