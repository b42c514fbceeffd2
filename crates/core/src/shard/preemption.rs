//! Preemption: stops running tasks so that pending tasks of a higher priority can be
//! placed.
//!
//! Only tasks of low or normal priority are stopped, and only for jobs without gang
//! scheduling, for one pending task at a time.
//!
//! Production jobs preempt at once, and only work at least two priorities below them: a
//! stopped task loses its progress, which a smaller difference in priority does not
//! justify while a new machine is only a boot time away. High-priority jobs preempt after
//! they have waited for a fraction of a boot time: by then either no machine is available
//! or theirs is late.

use crate::context::Context;
use crate::shard::job::{Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::reclaim::Victim;
use crate::shard::scheduling::PendingJobs;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{PendingTasks, PlacementRequirement, Quota, Resources};
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, HashSet};

/// Minimum interval between two preemptions, in heartbeat intervals. The controller must
/// first see that the victims have exited, and use the freed capacity, before it stops
/// more tasks.
const MIN_INTERVAL_HEARTBEATS: u64 = 2;
/// Fraction of the longest boot time for which a high-priority job waits before it
/// preempts.
const HIGH_PRIORITY_WAIT_BOOTS: f64 = 0.25;

/// A machine with tasks that may be stopped.
struct PreemptionCandidate<'a> {
    machine: &'a Machine,
    free: Resources,
    /// Resources that would be free if all victims were stopped.
    max_free: Resources,
    /// Tasks that may be stopped, the one that has run for the shortest time first.
    victims: Vec<Victim>,
}

/// The victims on one machine whose resources are enough for a task.
struct PreemptionPlan<'a> {
    /// Run time that is lost if the victims are stopped, in milliseconds.
    lost_ms: Ms,
    victims: &'a [Victim],
}

/// Tasks to be stopped, and the job that gets their resources.
struct Preemption {
    beneficiary: JobId,
    victims: Vec<TaskRef>,
}

impl<'a> PreemptionCandidate<'a> {
    /// Sorts the victims on a machine by run time, the shortest first. Victims that are
    /// not among the machine's tasks are left out.
    fn new(machine: &'a Machine, mut victims: Vec<Victim>) -> Self {
        victims.retain(|v| machine.tasks.contains(&v.task));
        victims.sort_by_key(|v| v.lost_ms);
        let free = machine.free_capacity();
        let max_free = victims.iter().fold(free, |sum, v| sum + v.resources);
        Self {
            machine,
            free,
            max_free,
            victims,
        }
    }

    /// The victims whose resources are enough for a task of a job. `None` if the task
    /// does not fit even if all victims are stopped, or if it fits without preemption.
    fn plan_for(&self, pending: &PendingTasks) -> Option<PreemptionPlan<'_>> {
        let machine = self.machine;
        let may_fit = pending.allows_machine(machine.machine_type, machine.zone, machine.is_spot)
            && pending.task_resources.fits_in(&machine.capacity)
            && pending.task_resources.fits_in(&self.max_free);
        if !may_fit || pending.task_resources.fits_in(&self.free) {
            return None;
        }
        let mut free = self.free;
        let mut lost_ms = 0;
        for (i, victim) in self.victims.iter().enumerate() {
            free += victim.resources;
            lost_ms += victim.lost_ms;
            if pending.task_resources.fits_in(&free) {
                return Some(PreemptionPlan {
                    lost_ms,
                    victims: &self.victims[..=i],
                });
            }
        }
        None
    }
}

impl Shard {
    /// Preempts tasks for the first pending task that may preempt and for which this
    /// frees enough capacity.
    pub(crate) fn preempt(
        &mut self,
        ctx: &Context,
        pending: &PendingJobs,
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        if ctx.now
            < self.last_preemption_at + ctx.config.heartbeat_interval_ms * MIN_INTERVAL_HEARTBEATS
        {
            return;
        }
        let _span = tracing::debug_span!("preempt").entered();
        let high_priority_wait_ms =
            (self.max_boot_ms() as f64 * HIGH_PRIORITY_WAIT_BOOTS).ceil() as Ms;
        let may_preempt = |(id, tasks): &(&JobId, &PendingTasks)| {
            !tasks.unplaced_tasks.is_empty()
                && !tasks.is_gang
                && quotas[tasks.team].allows(&tasks.task_resources)
                && self.has_preempting_priority(ctx, id, high_priority_wait_ms)
        };
        let mut preempting = pending.iter().filter(may_preempt).peekable();
        if preempting.peek().is_none() {
            return;
        }
        let Some(preemption) = self.first_preemption(ctx, preempting, usable) else {
            return;
        };
        self.last_preemption_at = ctx.now;
        for victim in preemption.victims {
            log::info!(
                "task {victim}: preempted, resources needed by job {}",
                preemption.beneficiary
            );
            self.stop_task(&victim);
        }
    }

    /// Whether a job's priority lets it preempt now. A high-priority job must have waited
    /// for `high_priority_wait_ms`.
    fn has_preempting_priority(
        &self,
        ctx: &Context,
        id: &JobId,
        high_priority_wait_ms: Ms,
    ) -> bool {
        self.jobs.get(id).is_some_and(|job| match job.priority() {
            Priority::Production => true,
            Priority::High => job.age_ms(ctx.now) >= high_priority_wait_ms,
            _ => false,
        })
    }

    /// The preemption for the first job of which a task can be placed by stopping others.
    /// Thousands of replicas may be pending, so the candidates are computed once for all
    /// jobs, and searched once for all jobs with the same requirement.
    fn first_preemption<'a>(
        &self,
        ctx: &Context,
        preempting: impl Iterator<Item = (&'a JobId, &'a PendingTasks)>,
        usable: &[MachineId],
    ) -> Option<Preemption> {
        let candidates = self.preemption_candidates(ctx, usable);
        let mut zones: Vec<u16> = candidates.iter().map(|c| c.machine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut infeasible_requirements = HashSet::new();
        for (id, tasks) in preempting {
            let requirement = PlacementRequirement::new(tasks, &zones);
            let is_known_infeasible = requirement
                .as_ref()
                .is_some_and(|r| infeasible_requirements.contains(r));
            if is_known_infeasible {
                continue;
            }
            let plans = candidates.iter().filter_map(|c| c.plan_for(tasks));
            if let Some(plan) = plans.min_by_key(|plan| plan.lost_ms) {
                let victims = plan.victims.iter().map(|v| v.task.clone());
                return Some(Preemption {
                    beneficiary: id.clone(),
                    victims: victims.collect(),
                });
            }
            infeasible_requirements.extend(requirement);
        }
        None
    }

    /// The usable machines with tasks that may be stopped.
    fn preemption_candidates(
        &self,
        ctx: &Context,
        usable: &[MachineId],
    ) -> Vec<PreemptionCandidate<'_>> {
        let mut victims = self.victims_per_machine(ctx);
        let candidates = usable.iter().filter_map(|id| {
            let machine = self.machines.get(id)?;
            Some(PreemptionCandidate::new(machine, victims.remove(id)?))
        });
        candidates.collect()
    }

    /// Tasks that may be stopped, by machine: tasks of low or normal priority whose start
    /// has been sent, except those of gangs.
    fn victims_per_machine(&self, ctx: &Context) -> BTreeMap<&MachineId, Vec<Victim>> {
        let mut victims: BTreeMap<&MachineId, Vec<Victim>> = BTreeMap::new();
        let is_preemptible = |j: &&Job| j.priority() <= Priority::Normal && !j.is_gang();
        for job in self.jobs.values().filter(is_preemptible) {
            for (index, binding) in &job.bindings {
                if binding.start == StartState::NotSent || binding.stop.is_some() {
                    continue;
                }
                let task = TaskRef {
                    job: job.spec.id.clone(),
                    index: *index,
                };
                let on_machine = victims.entry(&binding.machine).or_default();
                on_machine.push(Victim {
                    task,
                    resources: job.task_resources,
                    lost_ms: ctx.now - binding.running_since.unwrap_or(ctx.now),
                });
            }
        }
        victims
    }
}

#[cfg(test)]
mod tests;
