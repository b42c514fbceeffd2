//! Taking resources back from guest teams.
//!
//! The low-priority work of a team without a guarantee runs on what others
//! leave unused. As soon as a job within its own team's guarantee, or an urgent
//! one, finds no room, such work is stopped for it: on the machines of the same
//! shard directly, and on those of other shards by giving a whole machine
//! away when the leader asks for it. Without this, one guest team with much
//! idle work filled the fleet, and the jobs of all other teams waited for it.
//!
//! Teams that have a guarantee keep what they use beyond it: tried on them as
//! well, this cost batch work that had no checkpoints more than others won.

use crate::bounds::part_of_machines;
use crate::context::Context;
use crate::shard::job::{Binding, Job, StartState};
use crate::shard::machine::Machine;
use crate::shard::scheduling::is_usable;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{Host, PendingTasks, Quota, Resources, Standing};
use forkshift_wire::users::Priority;
use forkshift_wire::{MachineId, TaskRef};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// One in so many machines of a shard is offered to others at a time, at least sixteen.
const OFFERED_PART: usize = 16;
const OFFERED_LEAST: usize = 16;
/// A guest's job is content with unused machines for this part of the time in
/// which its class should finish, or of its own deadline. With a quarter of the
/// former, a huge array of short tasks came too late.
const PATIENT_OBJECTIVE_PART: f64 = 0.1;
const PATIENT_DEADLINE_PART: f64 = 0.5;
/// One in so many machines of a shard is drained of guests' work in a round, at least
/// four.
const DRAINED_PART: usize = 64;
const DRAINED_LEAST: usize = 4;
/// One of which no task has started waits for no more than this many boots.
const BEGIN_BOOTS: f64 = 2.0;

/// A task that may be stopped to make room for another.
pub(crate) struct Victim {
    /// Which.
    pub(crate) task: TaskRef,
    /// What it uses.
    pub(crate) resources: Resources,
    /// Run time that is lost with it.
    pub(crate) lost: Ms,
}

/// What a machine has free, and what could be freed there.
struct Room {
    machine_type: u16,
    zone: u16,
    spot: bool,
    /// What is free already, or about to be: tasks that are being stopped
    /// count as gone, so that no more is stopped than is needed.
    free: Resources,
    /// In the order in which they should be stopped.
    victims: Vec<Victim>,
}

/// The places found for one job.
#[derive(Default)]
struct ReclaimPlan {
    /// Indices of rooms, with how many of each room's victims must be stopped.
    places: Vec<(usize, usize)>,
    lost: Ms,
}

impl Shard {
    /// Makes room for pending jobs that may reclaim it, the most urgent first.
    pub(crate) fn reclaim(
        &mut self,
        ctx: &Context,
        wants: &[PendingTasks],
        usable: &[MachineId],
        quotas: &[Quota],
    ) {
        let waits = |w: &&PendingTasks| w.reclaim.reclaims() && !w.waiting.is_empty();
        if !self.has_guests() || !wants.iter().any(|w| waits(&w)) {
            return;
        }
        let mut rooms = self.rooms(ctx, usable);
        let mut quotas = quotas.to_vec();
        let mut order: Vec<&PendingTasks> = wants.iter().filter(waits).collect();
        order.sort_by_key(|w| Reverse(w.band));
        for want in order {
            if want.gang {
                let count = want.waiting.len();
                self.reclaim_for(want, count, &mut rooms, &mut quotas);
                continue;
            }
            let mut left = want.waiting.len();
            while left > 0 && self.reclaim_for(want, 1, &mut rooms, &mut quotas) {
                left -= 1;
            }
        }
    }

    /// Stops what is in the way of `count` tasks of a job, if that makes room
    /// for all of them. Returns whether there is, or will be, room.
    fn reclaim_for(
        &mut self,
        want: &PendingTasks,
        count: usize,
        rooms: &mut [Room],
        quotas: &mut [Quota],
    ) -> bool {
        let need = want.task.times(count as i64);
        if !quotas[want.team].allows(&need) {
            return false;
        }
        let Some(plan) = cheapest_plan(want, count, rooms) else {
            return false;
        };
        quotas[want.team].used += need;
        for (index, stopped) in plan.places {
            let room = &mut rooms[index];
            for victim in room.victims.drain(..stopped) {
                room.free += victim.resources;
                log::info!("{}: stopped, its resources are reclaimed", victim.task);
                self.stop_task(&victim.task);
            }
            room.free -= want.task;
        }
        true
    }

    /// Whether a team without a guarantee uses anything.
    fn has_guests(&self) -> bool {
        let borrows = |quota: &Quota| quota.is_guest() && quota.is_borrowing();
        self.quotas.iter().any(borrows)
    }

    fn rooms(&self, ctx: &Context, usable: &[MachineId]) -> Vec<Room> {
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let machines = machines.filter(|m| !m.is_pool_member());
        machines.map(|m| self.room(ctx, m)).collect()
    }

    fn room(&self, ctx: &Context, machine: &Machine) -> Room {
        let mut free = machine.free();
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
                    lost: lost_with(ctx, job, binding),
                });
            }
        }
        victims.sort_by_key(|v| v.lost);
        Room {
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            free,
            victims,
        }
    }

    fn binding(&self, task: &TaskRef) -> Option<(&Job, &Binding)> {
        let job = self.jobs.get(&task.job)?;
        Some((job, job.bound.get(&task.index)?))
    }

    /// Whether a task runs on borrowed resources and may be stopped to give
    /// them back. A gang would be lost whole with one of its tasks.
    pub(crate) fn is_reclaimable(&self, ctx: &Context, job: &Job, binding: &Binding) -> bool {
        self.is_guest_work(ctx, job) && !job.is_gang() && binding.start != StartState::NotSent
    }

    /// Whether a job is the low-priority work of a team without a guarantee.
    /// Where no team has one, none is a guest.
    pub(crate) fn is_guest_work(&self, ctx: &Context, job: &Job) -> bool {
        let team = self.teams.get(&job.spec.team);
        let of_guest = team.is_some_and(|team| self.quotas[*team].is_guest());
        ctx.config.has_guests && of_guest && job.priority() == Priority::Low
    }

    /// Whether a job runs on what others leave unused, and whether it is content
    /// with that, where machines boot for so long.
    pub(crate) fn is_running_service(&self, ctx: &Context, job: &Job, boot_ms: Ms) -> Standing {
        match self.is_guest_work(ctx, job) {
            true if is_patient(ctx, job, boot_ms) => Standing::PatientGuest,
            true => Standing::Guest,
            false => Standing::Ordinary,
        }
    }

    /// What could be reclaimed on a machine.
    pub(crate) fn reclaimable_on(&self, ctx: &Context, id: &MachineId) -> Resources {
        let mut sum = Resources::default();
        let Some(machine) = self.machines.get(id).filter(|_| self.has_guests()) else {
            return sum;
        };
        for task in &machine.tasks {
            if let Some((job, binding)) = self.binding(task) {
                let stops = binding.stop.is_some();
                if stops || self.is_reclaimable(ctx, job, binding) {
                    sum += job.task;
                }
            }
        }
        sum
    }

    /// Whether a machine is ordinary and runs nothing but work that is content
    /// with unused machines.
    fn is_kept_by_guests(&self, ctx: &Context, machine: &Machine, boot_ms: Ms) -> bool {
        let of_patient_guest = |task: &TaskRef| {
            let found = self.binding(task);
            found.is_some_and(|(job, binding)| {
                self.is_reclaimable(ctx, job, binding) && is_patient(ctx, job, boot_ms)
            })
        };
        !machine.spot && !machine.tasks.is_empty() && machine.tasks.iter().all(of_patient_guest)
    }

    /// Drains ordinary machines that nobody but guests needs: guests fill what
    /// becomes free at once, and no machine would ever be returned. `hosts`
    /// shows what is left of the usable machines once all other work and the
    /// spare places are booked, with the guests' tasks counted as gone.
    pub(crate) fn drain_guests(&mut self, ctx: &Context, usable: &[MachineId], hosts: &[Host]) {
        if !self.has_guests() {
            return;
        }
        let boot_ms = self.boot_ms();
        let most = part_of_machines(self.machines.len(), DRAINED_PART, DRAINED_LEAST);
        let unneeded = usable
            .iter()
            .zip(hosts)
            .filter(|(_, host)| host.free == host.total);
        let drained: Vec<MachineId> = unneeded
            .filter_map(|(id, _)| self.machines.get(id))
            .filter(|machine| self.is_kept_by_guests(ctx, machine, boot_ms))
            .map(|machine| machine.id.clone())
            .take(most)
            .collect();
        for id in drained {
            log::info!("machine {id}: to be drained, only guests use it");
            let tasks = self.machines.get(&id).map(|m| m.tasks.clone());
            for task in tasks.into_iter().flatten() {
                self.stop_task(&task);
            }
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.is_draining = true;
            }
        }
    }

    /// Machines on which nothing but borrowed work runs, those first that lose
    /// the least of it. Others may ask for them.
    pub(crate) fn borrowed_machines(&self, ctx: &Context, usable: &[MachineId]) -> Vec<MachineId> {
        if !self.has_guests() {
            return Vec::new();
        }
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let mut offered: Vec<(Ms, &MachineId)> = machines
            .filter_map(|m| Some((self.lost_if_given_away(ctx, m)?, &m.id)))
            .collect();
        offered.sort();
        let most = part_of_machines(self.machines.len(), OFFERED_PART, OFFERED_LEAST);
        offered.truncate(most);
        offered.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Run time that is lost if all tasks of a machine are stopped; none if
    /// one of them must not be, or there are none.
    fn lost_if_given_away(&self, ctx: &Context, machine: &Machine) -> Option<Ms> {
        if machine.tasks.is_empty() || !machine.orphans.is_empty() {
            return None;
        }
        let mut lost = 0;
        for task in &machine.tasks {
            let (job, binding) = self.binding(task)?;
            if binding.stop.is_some() {
                continue;
            }
            if !self.is_reclaimable(ctx, job, binding) {
                return None;
            }
            lost += lost_with(ctx, job, binding);
        }
        Some(lost)
    }

    /// Stops the borrowed work on a machine that another shard has asked for.
    /// Returns whether the machine will be free for it.
    pub(crate) fn vacate(&mut self, ctx: &Context, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get(id) else {
            return false;
        };
        let offered = machine.decommission_reason.is_none()
            && (machine.is_vacating || is_usable(machine, ctx));
        if !offered || self.lost_if_given_away(ctx, machine).is_none() {
            return false;
        }
        let running = |task: &&TaskRef| self.binding(task).is_some_and(|(_, b)| b.stop.is_none());
        let tasks: BTreeSet<TaskRef> = machine.tasks.iter().filter(running).cloned().collect();
        for task in &tasks {
            self.stop_task(task);
        }
        if let Some(machine) = self.machines.get_mut(id) {
            machine.is_vacating = true;
        }
        true
    }
}

/// Run time that a task loses if it is stopped now: all of it, or less than
/// the interval of its checkpoints.
fn lost_with(ctx: &Context, job: &Job, binding: &Binding) -> Ms {
    let ran = ctx.now - binding.running_since.unwrap_or(ctx.now).min(ctx.now);
    let checkpoint = crate::ms(job.spec.checkpoint_s);
    if checkpoint > 0 {
        ran.min(checkpoint)
    } else {
        ran
    }
}

/// The places for `count` tasks with which the least run time is lost; all of
/// them in one zone if the job needs that.
fn cheapest_plan(want: &PendingTasks, count: usize, rooms: &[Room]) -> Option<ReclaimPlan> {
    if !want.one_zone || count == 1 {
        return plan_in(want, count, rooms, None);
    }
    let zones: BTreeSet<u16> = rooms.iter().map(|r| r.zone).collect();
    let plans = zones
        .into_iter()
        .filter_map(|zone| plan_in(want, count, rooms, Some(zone)));
    plans.min_by_key(|plan| plan.lost)
}

fn plan_in(
    want: &PendingTasks,
    count: usize,
    rooms: &[Room],
    zone: Option<u16>,
) -> Option<ReclaimPlan> {
    let mut options: Vec<(Ms, usize, usize)> = Vec::new();
    for (index, room) in rooms.iter().enumerate() {
        let allowed = zone.is_none_or(|z| z == room.zone)
            && want.allowed(room.machine_type, room.zone, room.spot);
        if !allowed {
            continue;
        }
        if let Some((lost, stopped)) = cost_of_place(want, room) {
            options.push((lost, index, stopped));
        }
    }
    options.sort_unstable();
    if options.len() < count {
        return None;
    }
    let mut plan = ReclaimPlan::default();
    for (lost, index, stopped) in options.into_iter().take(count) {
        plan.lost += lost;
        plan.places.push((index, stopped));
    }
    Some(plan)
}

/// How many of a room's victims must be stopped for one task, and what is lost
/// with them.
fn cost_of_place(want: &PendingTasks, room: &Room) -> Option<(Ms, usize)> {
    let mut free = room.free;
    let mut lost = 0;
    for (stopped, victim) in room.victims.iter().enumerate() {
        if want.task.fits(&free) {
            return Some((lost, stopped));
        }
        free += victim.resources;
        lost += victim.lost;
    }
    want.task.fits(&free).then_some((lost, room.victims.len()))
}

/// Whether a guest's job is content with what others leave unused, so that no
/// ordinary machine is rented for it: it has begun, or came lately, and there is
/// time until it should be complete.
fn is_patient(ctx: &Context, job: &Job, boot_ms: Ms) -> bool {
    let spec = &job.spec;
    let objective = ctx.config.finishes.get(&spec.class);
    let by_objective = objective.map(|s| s * PATIENT_OBJECTIVE_PART);
    let by_deadline = spec.deadline_s.map(|s| s * PATIENT_DEADLINE_PART);
    let ends = by_objective.into_iter().chain(by_deadline);
    let patience = ends.fold(f64::INFINITY, f64::min);
    let age = job.age(ctx.now) as f64 / 1000.0;
    let has_begun = !job.bound.is_empty() || job.done.len() > 0;
    let boots = boot_ms as f64 / 1000.0 * BEGIN_BOOTS;
    age < patience && (has_begun || age < boots)
}

#[cfg(test)]
mod tests;
