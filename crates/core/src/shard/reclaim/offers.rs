//! Offers machines that run nothing but borrowed work to other shards, and vacates them
//! if another shard requests them.

use crate::bounds::fraction_of_machines;
use crate::context::Context;
use crate::shard::machine::Machine;
use crate::shard::reclaim::lost_run_time_ms;
use crate::shard::scheduling::is_usable;
use crate::shard::Shard;
use crate::Ms;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::BTreeSet;

/// One in this many machines of a shard is offered to other shards at a time.
const OFFERED_MACHINES_DIVISOR: usize = 16;
/// Lower bound on the number of machines that are offered at a time.
const MIN_OFFERED_MACHINES: usize = 16;

impl Shard {
    /// Machines that run nothing but borrowed work, those with the least run time to lose
    /// first. Other shards may request them.
    pub(crate) fn reclaimable_machines(
        &self,
        ctx: &Context,
        usable: &[MachineId],
    ) -> Vec<MachineId> {
        if !self.has_borrowers() {
            return Vec::new();
        }
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let mut offered: Vec<(Ms, &MachineId)> = machines
            .filter_map(|m| Some((self.run_time_lost_by_vacating_ms(ctx, m)?, &m.id)))
            .collect();
        offered.sort();
        let max_offered = fraction_of_machines(
            self.machines.len(),
            OFFERED_MACHINES_DIVISOR,
            MIN_OFFERED_MACHINES,
        );
        offered.truncate(max_offered);
        offered.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Run time that is lost if all tasks of a machine are stopped, in milliseconds;
    /// `None` if the machine has no tasks, or one that must not be stopped.
    fn run_time_lost_by_vacating_ms(&self, ctx: &Context, machine: &Machine) -> Option<Ms> {
        if machine.tasks.is_empty() || !machine.orphans.is_empty() {
            return None;
        }
        let mut lost_ms = 0;
        for task in &machine.tasks {
            let (job, binding) = self.binding(task)?;
            if binding.stop.is_some() {
                continue;
            }
            if !self.is_reclaimable(ctx, job, binding) {
                return None;
            }
            lost_ms += lost_run_time_ms(ctx, job, binding);
        }
        Some(lost_ms)
    }

    /// Stops the borrowed work on a machine that another shard has requested. Returns
    /// whether the machine will be empty once the stopped tasks have exited.
    pub(crate) fn vacate(&mut self, ctx: &Context, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let is_offered = machine.decommission_reason.is_none()
            && (machine.is_vacating || is_usable(machine, ctx));
        if !is_offered || self.run_time_lost_by_vacating_ms(ctx, machine).is_none() {
            return false;
        }
        let is_running =
            |task: &&TaskRef| self.binding(task).is_some_and(|(_, b)| b.stop.is_none());
        let tasks: BTreeSet<TaskRef> = machine.tasks.iter().filter(is_running).cloned().collect();
        for task in &tasks {
            self.stop_task(task);
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.is_vacating = true;
        }
        true
    }
}
