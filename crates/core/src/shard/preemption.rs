//! Preemption: stopping work to make room for work of a higher priority.
//!
//! Production work that finds no room preempts at once, and only work at least two
//! priorities below it: what is stopped loses its progress, and a machine for the next
//! priority up is but a boot away. Urgent services preempt once they have waited for a
//! part of a boot: by then no machine is to be had, or theirs comes late.

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

/// Heartbeats between two preemptions: victims must be seen to have exited, and their
/// room be used, before more is stopped.
const PAUSE_HEARTBEATS: u64 = 2;
/// The part of a boot that an urgent service waits first.
const URGENT_WAIT_BOOTS: f64 = 0.25;

/// A machine on which tasks may be stopped.
struct PreemptionCandidate<'a> {
    machine: &'a Machine,
    free: Resources,
    /// What would be free if all victims were stopped.
    max_free: Resources,
    /// Those that ran for the shortest first.
    victims: Vec<Victim>,
}

/// The victims on one machine that make room for a task.
struct PreemptionPlan<'a> {
    /// Run time that is lost with them.
    lost_ms: Ms,
    victims: &'a [Victim],
}

/// What is stopped, and for which job.
struct Preemption {
    beneficiary: JobId,
    victims: Vec<TaskRef>,
}

impl<'a> PreemptionCandidate<'a> {
    /// A machine with its victims, those that ran for the shortest first.
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

    /// The victims that make room for a task of a job. None if no room can be made, or if
    /// there is room already.
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
    /// Makes room for the first task that may preempt and has found none.
    pub(crate) fn preempt(
        &mut self,
        ctx: &Context,
        pending: &PendingJobs,
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        if ctx.now < self.last_preemption_at + ctx.config.heartbeat_interval_ms * PAUSE_HEARTBEATS {
            return;
        }
        let _span = tracing::debug_span!("preempt").entered();
        let urgent_wait_ms = (self.boot_ms() as f64 * URGENT_WAIT_BOOTS).ceil() as Ms;
        let may_preempt = |(id, tasks): &(&JobId, &PendingTasks)| {
            !tasks.waiting.is_empty()
                && !tasks.is_gang
                && quotas[tasks.team].allows(&tasks.task_resources)
                && self.has_preempting_priority(ctx, id, urgent_wait_ms)
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
                "task {victim}: preempted, makes room for {}",
                preemption.beneficiary
            );
            self.stop_task(&victim);
        }
    }

    /// Whether a job's priority lets it preempt now: an urgent one waits for so long first.
    fn has_preempting_priority(&self, ctx: &Context, id: &JobId, urgent_wait_ms: Ms) -> bool {
        self.jobs.get(id).is_some_and(|job| match job.priority() {
            Priority::Production => true,
            Priority::High => job.age(ctx.now) >= urgent_wait_ms,
            _ => false,
        })
    }

    /// The preemption for the first job for a task of which room can be made. Thousands of
    /// replicas may wait: candidates are computed once for all of them, and searched once
    /// for all that have the same requirement.
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
        let mut without_victims = HashSet::new();
        for (id, tasks) in preempting {
            let requirement = PlacementRequirement::new(tasks, &zones);
            let is_known = requirement
                .as_ref()
                .is_some_and(|r| without_victims.contains(r));
            if is_known {
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
            without_victims.extend(requirement);
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

    /// Tasks that may be stopped: those of low or normal priority that have started and
    /// are not of a gang.
    fn victims_per_machine(&self, ctx: &Context) -> BTreeMap<&MachineId, Vec<Victim>> {
        let mut victims: BTreeMap<&MachineId, Vec<Victim>> = BTreeMap::new();
        let is_preemptible = |j: &&Job| j.priority() <= Priority::Normal && !j.is_gang();
        for job in self.jobs.values().filter(is_preemptible) {
            for (index, binding) in &job.bound {
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
                    resources: job.task,
                    lost_ms: ctx.now - binding.running_since.unwrap_or(ctx.now),
                });
            }
        }
        victims
    }
}

#[cfg(test)]
mod tests;
