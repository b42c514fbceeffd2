//! Reclaims resources from teams that borrow.
//!
//! The low-priority work of a team without a guarantee runs on capacity that other teams
//! leave unused: it is *borrowed work*, and the team is a *borrower*. Borrowed work is
//! stopped as soon as capacity is lacking for a job that is within its own team's
//! guarantee, or that has high or production priority. On machines of the same shard its
//! tasks are stopped directly. From other shards, whole machines are transferred when the
//! leader requests them. Without reclaiming, one borrower with many queued tasks could
//! fill the fleet, and the jobs of all other teams would wait for it.
//!
//! Teams that have a guarantee keep what they use beyond it: reclaiming from them as well
//! cost batch work without checkpoints more than other teams gained.
//!
//! | module | concern |
//! | --- | --- |
//! | [`borrowers`] | which work is borrowed, and which machines run nothing else |
//! | [`offers`] | machines that are offered to other shards, and vacated for them |
//! | [`plan`] | placements for which the least run time is lost |

mod borrowers;
mod offers;
mod plan;

use crate::context::Context;
use crate::shard::job::{Binding, Job};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{PendingTasks, Quota, Resources};
use forkshift_wire::{MachineId, TaskRef};
use plan::{cheapest_plan, ReclaimCandidate};
use std::cmp::Reverse;

/// A running task that may be stopped so that another task can be placed.
pub(crate) struct Victim {
    pub(crate) task: TaskRef,
    pub(crate) resources: Resources,
    /// Run time that is lost if the task is stopped now, in milliseconds.
    pub(crate) lost_ms: Ms,
}

impl Shard {
    /// Reclaims capacity for the pending jobs that may do so, the highest priority band
    /// first. A gang gets capacity for all of its pending tasks or for none.
    pub(crate) fn reclaim_borrowed_capacity(
        &mut self,
        ctx: &Context,
        pending: &[PendingTasks],
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        let may_reclaim = |p: &&PendingTasks| p.reclaim.reclaims() && !p.unplaced_tasks.is_empty();
        let mut reclaiming: Vec<&PendingTasks> = pending.iter().filter(may_reclaim).collect();
        if reclaiming.is_empty() || !self.has_borrowers() {
            return;
        }
        reclaiming.sort_by_key(|p| Reverse(p.priority_band));
        let mut candidates = self.reclaim_candidates(ctx, usable);
        let mut quotas = quotas.to_vec();
        for tasks in reclaiming {
            let waiting = tasks.unplaced_tasks.len();
            if tasks.is_gang {
                self.reclaim_for(tasks, waiting, &mut candidates, &mut quotas);
                continue;
            }
            let mut unplaced = waiting;
            while unplaced > 0 && self.reclaim_for(tasks, 1, &mut candidates, &mut quotas) {
                unplaced -= 1;
            }
        }
    }

    /// Stops borrowed tasks so that `count` tasks of a job fit, if capacity for all of
    /// them can be reclaimed. Returns whether their capacity is free or will be once the
    /// stopped tasks have exited.
    fn reclaim_for(
        &mut self,
        pending: &PendingTasks,
        count: usize,
        candidates: &mut [ReclaimCandidate],
        quotas: &mut [Quota],
    ) -> bool {
        let need = pending.task_resources.scaled_by(count as i64);
        if !quotas[pending.team].allows(&need) {
            return false;
        }
        let Some(plan) = cheapest_plan(pending, count, candidates) else {
            return false;
        };
        quotas[pending.team].used += need;
        for placement in plan.placements {
            let candidate = &mut candidates[placement.candidate];
            for victim in candidate.victims.drain(..placement.victims) {
                candidate.free += victim.resources;
                log::info!(
                    "task {}: stopped, resources reclaimed from borrower",
                    victim.task
                );
                self.stop_task(&victim.task);
            }
            candidate.free -= pending.task_resources;
        }
        true
    }

    fn reclaim_candidates(&self, ctx: &Context, usable: &[MachineId]) -> Vec<ReclaimCandidate> {
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let machines = machines.filter(|m| !m.is_unused_pool_member());
        machines.map(|m| self.reclaim_candidate(ctx, m)).collect()
    }

    fn reclaim_candidate(&self, ctx: &Context, machine: &Machine) -> ReclaimCandidate {
        let mut free = machine.free_capacity();
        let mut victims = Vec::new();
        for task in &machine.tasks {
            let Some((job, binding)) = self.binding(task) else {
                continue;
            };
            if binding.stop.is_some() {
                free += job.task_resources;
            } else if self.is_reclaimable(ctx, job, binding) {
                victims.push(Victim {
                    task: task.clone(),
                    resources: job.task_resources,
                    lost_ms: lost_run_time_ms(ctx, job, binding),
                });
            }
        }
        victims.sort_by_key(|v| v.lost_ms);
        ReclaimCandidate {
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.is_spot,
            free,
            victims,
        }
    }

    /// The job and the binding of a bound task; `None` if the task is not bound.
    pub(super) fn binding(&self, task: &TaskRef) -> Option<(&Job, &Binding)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.bindings.get(&task.index)?))
    }

    /// Resources of the tasks on a machine that could be reclaimed or are being stopped
    /// already.
    pub(crate) fn reclaimable_on(&self, ctx: &Context, id: &MachineId) -> Resources {
        let mut sum = Resources::default();
        let Some(machine) = self.machines.get(id).filter(|_| self.has_borrowers()) else {
            return sum;
        };
        for task in &machine.tasks {
            if let Some((job, binding)) = self.binding(task) {
                let is_stopping = binding.stop.is_some();
                if is_stopping || self.is_reclaimable(ctx, job, binding) {
                    sum += job.task_resources;
                }
            }
        }
        sum
    }
}

/// Run time that a task loses if it is stopped now, in milliseconds: its whole run time,
/// or at most one checkpoint interval if it writes checkpoints.
fn lost_run_time_ms(ctx: &Context, job: &Job, binding: &Binding) -> Ms {
    let run_time = ctx.now - binding.running_since.unwrap_or(ctx.now).min(ctx.now);
    let checkpoint_interval = crate::seconds_to_ms(job.spec.checkpoint_interval_s);
    if checkpoint_interval > 0 {
        run_time.min(checkpoint_interval)
    } else {
        run_time
    }
}

#[cfg(test)]
mod tests;
