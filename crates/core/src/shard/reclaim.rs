//! Reclaiming of resources from teams that borrow.
//!
//! The low-priority work of a team without a guarantee runs on what others leave
//! unused: it is *borrowed work*, and the team a *borrower*. As soon as a job within its
//! own team's guarantee, or an urgent one, finds no room, borrowed work is stopped for
//! it: on the machines of the same shard directly, and on those of other shards by
//! giving a whole machine away when the leader requests it. Without this, one borrower
//! with much queued work could fill the fleet, and the jobs of all other teams would
//! wait for it.
//!
//! Teams that have a guarantee keep what they use beyond it: reclaiming from them as
//! well cost batch work without checkpoints more than others won.
//!
//! | module | concern |
//! | --- | --- |
//! | [`borrowers`] | which work is borrowed, and which machines it alone keeps up |
//! | [`offers`] | machines that are offered to other shards, and vacated for them |
//! | [`plan`] | where the least run time is lost |

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

/// A task that may be stopped to make room for another.
pub(crate) struct Victim {
    /// The task.
    pub(crate) task: TaskRef,
    /// What it uses.
    pub(crate) resources: Resources,
    /// Run time that is lost with it.
    pub(crate) lost_ms: Ms,
}

impl Shard {
    /// Makes room for pending jobs that may reclaim it, the most urgent first.
    pub(crate) fn reclaim(
        &mut self,
        ctx: &Context,
        pending: &[PendingTasks],
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        let may_reclaim = |p: &&PendingTasks| p.reclaim.reclaims() && !p.waiting.is_empty();
        let mut reclaiming: Vec<&PendingTasks> = pending.iter().filter(may_reclaim).collect();
        if reclaiming.is_empty() || !self.has_borrowers() {
            return;
        }
        reclaiming.sort_by_key(|p| Reverse(p.priority_band));
        let mut candidates = self.reclaim_candidates(ctx, usable);
        let mut quotas = quotas.to_vec();
        for tasks in reclaiming {
            let waiting = tasks.waiting.len();
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

    /// Stops what is in the way of `count` tasks of a job, if that makes room for all of
    /// them. Returns whether there is, or will be, room.
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
        for place in plan.places {
            let candidate = &mut candidates[place.candidate];
            for victim in candidate.victims.drain(..place.victims) {
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
        let machines = machines.filter(|m| !m.is_pool_member());
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
                free += job.task;
            } else if self.is_reclaimable(ctx, job, binding) {
                victims.push(Victim {
                    task: task.clone(),
                    resources: job.task,
                    lost_ms: lost_run_time(ctx, job, binding),
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

    /// A bound task's job and binding.
    pub(super) fn binding(&self, task: &TaskRef) -> Option<(&Job, &Binding)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.bound.get(&task.index)?))
    }

    /// What could be reclaimed on a machine, or is being stopped there already.
    pub(crate) fn reclaimable_on(&self, ctx: &Context, id: &MachineId) -> Resources {
        let mut sum = Resources::default();
        let Some(machine) = self.machines.get(id).filter(|_| self.has_borrowers()) else {
            return sum;
        };
        for task in &machine.tasks {
            if let Some((job, binding)) = self.binding(task) {
                let is_stopping = binding.stop.is_some();
                if is_stopping || self.is_reclaimable(ctx, job, binding) {
                    sum += job.task;
                }
            }
        }
        sum
    }
}

/// Run time that a task loses if it is stopped now: all of it, or at most the interval
/// between its checkpoints.
fn lost_run_time(ctx: &Context, job: &Job, binding: &Binding) -> Ms {
    let run_time = ctx.now - binding.running_since.unwrap_or(ctx.now).min(ctx.now);
    let checkpoint_interval = crate::ms(job.spec.checkpoint_interval_s);
    if checkpoint_interval > 0 {
        run_time.min(checkpoint_interval)
    } else {
        run_time
    }
}

#[cfg(test)]
mod tests;
