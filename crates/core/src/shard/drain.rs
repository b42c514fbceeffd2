//! Draining of machines that are hardly used, so that they can be returned.
//!
//! Replicas run until their users cancel them, so a machine that holds a few
//! of them is never idle by itself. A replica is moved when it finds a place
//! at once where its image is; whatever completes by itself is waited for.

use crate::bounds::part_of_machines;
use crate::context::Context;
use crate::records::capacity_of;
use crate::shard::job::Job;
use crate::shard::scheduling::pending_tasks_of;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::{run_round, Host, PendingTasks, Quota, Resources};
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{JobId, MachineId, TaskRef};
use std::collections::BTreeMap;

/// A machine is worth draining if what it holds could be had for no more than
/// this part of its price.
const WORTH_MOST: f64 = 0.75;
/// Tasks are not moved to a dearer machine whose own tasks are worth less than
/// this part of its price: it should be drained itself.
const TARGET_LEAST: f64 = 0.5;
/// A replica is moved only to where its image is, or is fetched within this
/// many reports.
const FETCH_REPORTS: f64 = 1.0;
/// One in so many machines of a shard is drained at a time, and at least three.
const DRAINING_PART: usize = 64;
const DRAINING_LEAST: usize = 3;
/// One in so many machines is tried in a round: each try goes over all of them.
const TRIES_PART: usize = 16;
/// One in so many machines is chosen, and has a replica moved, at a time.
const STEP_PART: usize = 256;
/// Rounds between two moves: each takes a replica down for about a second.
const MOVE_ROUNDS: f64 = 2.0;
/// Pause between two machines, in boots.
const PAUSE_BOOTS: f64 = 0.1;

/// What is the same for all tasks that might be moved in a round.
struct ElsewhereRoom {
    /// What the tasks of every usable machine are worth, as a part of its price.
    worth: Vec<f64>,
    /// The zone of every machine.
    zones: BTreeMap<MachineId, u16>,
}

impl Shard {
    /// Drains the machine that wastes most, if its tasks fit elsewhere.
    /// `hosts` shows what is left of the usable machines once everything
    /// that waits, and the spare places, are booked.
    pub(crate) fn drain(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &[MachineId],
        hosts: &mut [Host],
    ) {
        let places = ElsewhereRoom {
            worth: self.machine_worths(view, usable),
            zones: self.zones(),
        };
        let draining: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.is_draining && m.decommission_reason.is_none())
            .map(|m| m.id.clone())
            .collect();
        let most = self.drain_limit(DRAINING_PART, DRAINING_LEAST);
        let more = most.saturating_sub(draining.len());
        self.choose_drains(ctx, usable, hosts, &places, more);
        let pause = crate::ms(ctx.config.ops.round_s * MOVE_ROUNDS);
        if ctx.now < self.last_replica_move_at + pause {
            return;
        }
        let mut moves = self.drain_limit(STEP_PART, 1);
        for id in draining {
            if moves > 0 && self.move_one(ctx, &id, hosts, &places) {
                self.last_replica_move_at = ctx.now;
                moves -= 1;
            }
        }
    }

    /// One in so many of the shard's machines.
    fn drain_limit(&self, part: usize, least: usize) -> usize {
        part_of_machines(self.machines.len(), part, least)
    }

    pub(crate) fn stop_draining(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            log::info!("machine {id}: needed again");
            machine.is_draining = false;
            machine.idle_since = None;
        }
    }

    /// What the tasks of every usable machine are worth: the least that their
    /// parts of machines cost, as a part of its own price. GPUs that stand
    /// idle below replicas without any make a dear machine worth little.
    fn machine_worths(&self, view: &ClusterView, usable: &[MachineId]) -> Vec<f64> {
        let mut of_job: BTreeMap<&JobId, f64> = BTreeMap::new();
        let mut worths = Vec::new();
        for id in usable {
            let Some(machine) = self.machines.get(id) else {
                worths.push(1.0);
                continue;
            };
            let mut sum = 0.0;
            for task in &machine.tasks {
                let worth = of_job.entry(&task.job).or_insert_with(|| {
                    let job = self.jobs.get(&task.job);
                    job.map_or(0.0, |j| cheapest(j, view) / 3600.0)
                });
                sum += *worth;
            }
            worths.push(sum / machine.price.max(1e-12));
        }
        worths
    }

    /// Chooses machines to be drained, up to `most`, if it is time to.
    fn choose_drains(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [Host],
        places: &ElsewhereRoom,
        most: usize,
    ) {
        let boot_ms = self.boot_ms();
        let pause = (boot_ms as f64 * PAUSE_BOOTS) as Ms;
        if ctx.now < self.last_drain_at + pause || ctx.now < self.active_since + boot_ms {
            return;
        }
        let mut left = most.min(self.drain_limit(STEP_PART, 1));
        let tries = (hosts.len() / TRIES_PART).max(DRAINING_LEAST);
        for host in self
            .is_wasteful(ctx, usable, places)
            .into_iter()
            .take(tries)
        {
            if left == 0 {
                return;
            }
            let id = &usable[host];
            if !self.book_elsewhere(ctx, id, host, hosts, places) {
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.drain_retry_at = ctx.now + pause;
                }
                continue;
            }
            self.last_drain_at = ctx.now;
            left -= 1;
            if let Some(machine) = self.machines.get_mut(id) {
                log::info!("machine {id}: to be drained, {} tasks", machine.tasks.len());
                machine.is_draining = true;
            }
        }
    }

    /// Machines that are worth draining, as indices of hosts, the one that wastes most
    /// first.
    fn is_wasteful(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        places: &ElsewhereRoom,
    ) -> Vec<usize> {
        let boot_ms = self.boot_ms();
        let waste_of = |(host, id): (usize, &MachineId)| {
            let machine = self.machines.get(id)?;
            let worth_it = !machine.tasks.is_empty() && places.worth[host] <= WORTH_MOST;
            let is_old = ctx.now > machine.known_since + boot_ms * 2;
            (worth_it && is_old && ctx.now >= machine.drain_retry_at)
                .then_some((machine.price * (1.0 - places.worth[host]), host))
        };
        let mut candidates: Vec<(f64, usize)> =
            usable.iter().enumerate().filter_map(waste_of).collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        candidates.into_iter().map(|(_, host)| host).collect()
    }

    /// Books places on other machines for all tasks of one, or for none. Returns
    /// whether all have one.
    fn book_elsewhere(
        &self,
        ctx: &mut Context,
        id: &MachineId,
        host: usize,
        hosts: &mut [Host],
        places: &ElsewhereRoom,
    ) -> bool {
        let free = std::mem::take(&mut hosts[host].free);
        let price = hosts[host].price;
        let mut booked = Vec::new();
        let all_fit = self.machines[id].tasks.iter().all(|task| {
            let place = self.fits_elsewhere(ctx, task, hosts, price, places);
            booked.extend(place);
            place.is_some()
        });
        if !all_fit {
            hosts[host].free = free;
            for (host, task) in booked {
                hosts[host].free += task;
            }
        }
        all_fit
    }

    /// Books a place for one task of another machine, and says where and how much.
    fn fits_elsewhere(
        &self,
        ctx: &mut Context,
        task: &TaskRef,
        hosts: &mut [Host],
        from: f64,
        places: &ElsewhereRoom,
    ) -> Option<(usize, Resources)> {
        let job = self.jobs.get(&task.job)?;
        let binding = job.bound.get(&task.index)?;
        let mut want: PendingTasks = pending_tasks_of(ctx, job, 0, &places.zones);
        if let Some(n) = places
            .zones
            .get(&binding.machine)
            .and_then(|z| want.zones.get_mut(z))
        {
            *n -= 1;
        }
        want.gang = false;
        want.waiting = vec![task.index];
        if job.spec.kind == JobKind::Service {
            let most = ctx.config.report_ms as f64 / 1000.0 * FETCH_REPORTS;
            let slow =
                |h: &Host| !h.images.contains(&want.image) && want.image_gb > most * h.fetch_rate;
            let slow: Vec<usize> = (0..hosts.len()).filter(|i| slow(&hosts[*i])).collect();
            want.avoid.extend(slow);
        }
        let waste = |i: &usize| hosts[*i].price > from * 1.001 && places.worth[*i] < TARGET_LEAST;
        want.avoid.extend((0..hosts.len()).filter(waste));
        let mut quota = [Quota::default()];
        let weights = ctx.config.ops.weights;
        let wants = std::slice::from_mut(&mut want);
        let placed = run_round(wants, hosts, &mut quota, &weights);
        Some((placed.first()?.host, job.task))
    }

    /// Moves one replica at a time, so that no service is thinned out.
    fn move_one(
        &mut self,
        ctx: &mut Context,
        id: &MachineId,
        hosts: &mut [Host],
        places: &ElsewhereRoom,
    ) -> bool {
        let from = self.machines[id].price;
        let tasks: Vec<TaskRef> = self.machines[id].tasks.iter().cloned().collect();
        let moving = tasks.iter().any(|t| {
            let binding = self.jobs.get(&t.job).and_then(|j| j.bound.get(&t.index));
            binding.is_some_and(|b| b.stop.is_some())
        });
        if moving {
            return false;
        }
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let runs = job
                .bound
                .get(&task.index)
                .is_some_and(|b| b.stage == Some(TaskStage::Running));
            let whole = job.bound.len() as u32 == job.spec.tasks;
            if job.spec.kind != JobKind::Service || !runs || !whole {
                continue;
            }
            let place = self.fits_elsewhere(ctx, &task, hosts, from, places);
            if place.is_some() {
                self.stop_task(&task);
                return true;
            }
        }
        false
    }
}

/// The least that a task's part of a machine costs an hour.
fn cheapest(job: &Job, view: &ClusterView) -> f64 {
    let spec = &job.spec;
    let types = view.machine_types.values().map(|t| &t.record);
    types
        .filter(|t| {
            spec.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        })
        .filter_map(|t| {
            let total = capacity_of(t);
            let price = t.spot_price.filter(|_| spec.spot).unwrap_or(t.price);
            let fits = job.task.fits(&total);
            fits.then(|| job.task.largest_share(&total) * price)
        })
        .fold(f64::INFINITY, f64::min)
        .min(1e9)
}
