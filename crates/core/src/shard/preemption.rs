//! Stopping work to make room for work of a higher priority.
//!
//! Production work that finds no room does this at once, and only to work at
//! least two priorities below it: what is stopped has lost its progress, and
//! a machine for the next priority up is but a boot away. Urgent services do
//! so once they have waited for a part of a boot: by then no machine is to be
//! had, or theirs is long in coming.

use crate::context::Context;
use crate::shard::job::{Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::reclaim::Victim;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{PendingTasks, Quota, Requirement, Resources};
use forkshift_wire::users::Priority;
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::{BTreeMap, HashSet};

/// Reports between two times that work is stopped: what was stopped must be
/// seen to be gone, and its room be used, before more is.
const PAUSE_REPORTS: u64 = 2;
/// The part of a boot that an urgent service waits first.
const URGENT_BOOTS: f64 = 0.25;

/// A machine on which there is something to be stopped.
struct Room<'a> {
    machine: &'a Machine,
    free: Resources,
    /// What would be free if all victims were stopped.
    most: Resources,
    /// Those that ran for the shortest first.
    victims: Vec<Victim>,
}

impl Room<'_> {
    /// The victims that make room for a task of a job, and the time that is lost
    /// with them.
    fn stopped_for(&self, want: &PendingTasks) -> Option<(Ms, &[Victim])> {
        let m = self.machine;
        let could = want.allowed(m.machine_type, m.zone, m.spot)
            && want.task.fits(&m.total)
            && want.task.fits(&self.most);
        // What has room already needs nothing stopped.
        if !could || want.task.fits(&self.free) {
            return None;
        }
        let mut free = self.free;
        let mut lost = 0;
        for (i, victim) in self.victims.iter().enumerate() {
            free += victim.resources;
            lost += victim.lost;
            if want.task.fits(&free) {
                return Some((lost, &self.victims[..=i]));
            }
        }
        None
    }
}

impl Shard {
    /// Makes room for the first production task that has found none.
    pub(crate) fn preempt(
        &mut self,
        ctx: &Context,
        ids: &[JobId],
        wants: &[PendingTasks],
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        if ctx.now < self.last_preemption_at + ctx.config.report_ms * PAUSE_REPORTS {
            return;
        }
        let _span = tracing::debug_span!("preempt").entered();
        let urgent_ms = (self.boot_ms() as f64 * URGENT_BOOTS).ceil() as Ms;
        let waits = |w: &PendingTasks| !w.waiting.is_empty() && !w.gang;
        let may = |(id, want): &(&JobId, &PendingTasks)| {
            waits(want)
                && quotas[want.team].allows(&want.task)
                && self.may_preempt(ctx, id, urgent_ms)
        };
        let mut preempting = ids.iter().zip(wants).filter(may).peekable();
        if preempting.peek().is_none() {
            return;
        }
        let Some((id, victims)) = self.first_with_victims(ctx, preempting, usable) else {
            return;
        };
        self.last_preemption_at = ctx.now;
        for victim in victims {
            log::info!("{victim}: stopped to make room for {id}");
            self.stop_task(&victim);
        }
    }

    /// Whether work may be stopped for a job by its priority, now: an urgent one
    /// waits for so long first.
    fn may_preempt(&self, ctx: &Context, id: &JobId, urgent_ms: Ms) -> bool {
        self.jobs.get(id).is_some_and(|j| match j.priority() {
            Priority::Production => true,
            Priority::High => j.age(ctx.now) >= urgent_ms,
            _ => false,
        })
    }

    /// The first job for a task of which room can be made, and what is stopped for
    /// it. Thousands of replicas may wait: machines are looked at once for all of
    /// them, and once for all that need the same.
    fn first_with_victims<'a>(
        &self,
        ctx: &Context,
        preempting: impl Iterator<Item = (&'a JobId, &'a PendingTasks)>,
        usable: &[MachineId],
    ) -> Option<(JobId, Vec<TaskRef>)> {
        let rooms = self.rooms_with_victims(ctx, usable);
        let mut zones: Vec<u16> = rooms.iter().map(|r| r.machine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut hopeless = HashSet::new();
        for (id, want) in preempting {
            let requirement = Requirement::new(want, &zones);
            if requirement.as_ref().is_some_and(|r| hopeless.contains(r)) {
                continue;
            }
            let plans = rooms.iter().filter_map(|room| room.stopped_for(want));
            if let Some((_, victims)) = plans.min_by_key(|(lost, _)| *lost) {
                let tasks = victims.iter().map(|v| v.task.clone());
                return Some((id.clone(), tasks.collect()));
            }
            hopeless.extend(requirement);
        }
        None
    }

    /// The usable machines with tasks that may be stopped: running ones of low or
    /// normal priority that are not of a gang.
    fn rooms_with_victims(&self, ctx: &Context, usable: &[MachineId]) -> Vec<Room<'_>> {
        let mut victims: BTreeMap<&MachineId, Vec<Victim>> = BTreeMap::new();
        let stoppable = |j: &&Job| j.priority() <= Priority::Normal && !j.is_gang();
        for job in self.jobs.values().filter(stoppable) {
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
                    lost: ctx.now - binding.running_since.unwrap_or(ctx.now),
                });
            }
        }
        let rooms = usable.iter().filter_map(|id| {
            let machine = self.machines.get(id)?;
            let mut victims = victims.remove(id)?;
            victims.retain(|v| machine.tasks.contains(&v.task));
            victims.sort_by_key(|v| v.lost);
            let free = machine.free();
            let most = victims.iter().fold(free, |sum, v| sum + v.resources);
            Some(Room {
                machine,
                free,
                most,
                victims,
            })
        });
        rooms.collect()
    }
}

#[cfg(test)]
mod tests;
