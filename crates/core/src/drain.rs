//! Draining of machines that are hardly used, so that they can be returned.
//!
//! Replicas run until their users cancel them, so a machine that holds a few
//! of them is never idle by itself. A replica is moved when it finds a place
//! at once where its image is; whatever completes by itself is waited for.

use crate::context::Context;
use crate::job::Job;
use crate::records::total_of;
use crate::rounds::pending_tasks_of;
use crate::share::Share;
use crate::view::View;
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
/// Machines that are drained at a time.
const DRAINING_MOST: usize = 3;
/// One in so many machines is tried in a round: each try goes over all of them.
const TRIES_PART: usize = 16;
/// Rounds between two moves: each takes a replica down for about a second.
const MOVE_ROUNDS: f64 = 2.0;
/// Pause between two machines, in boots.
const PAUSE_BOOTS: f64 = 0.1;

/// What is the same for all tasks that might be moved in a round.
struct Places {
    /// What the tasks of every usable machine are worth, as a part of its price.
    worth: Vec<f64>,
    /// The zone of every machine.
    zones: BTreeMap<MachineId, u16>,
}

impl Share {
    /// Drains the machine that wastes most, if its tasks fit elsewhere.
    /// `hosts` shows what is left of the usable machines once everything
    /// that waits, and the spare places, are booked.
    pub(crate) fn drain(
        &mut self,
        ctx: &mut Context,
        view: &View,
        usable: &[MachineId],
        hosts: &mut [Host],
    ) {
        let places = Places {
            worth: self.worths(view, usable),
            zones: self.zones(),
        };
        let draining: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.draining && m.condemned.is_none())
            .map(|m| m.id.clone())
            .collect();
        if draining.len() < DRAINING_MOST {
            self.choose_drain(ctx, usable, hosts, &places);
        }
        let pause = crate::ms(ctx.cfg.ops.round_s * MOVE_ROUNDS);
        if ctx.now < self.moved_at + pause {
            return;
        }
        for id in draining {
            if self.move_one(ctx, &id, hosts, &places) {
                self.moved_at = ctx.now;
                return;
            }
        }
    }

    pub(crate) fn stop_draining(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            log::info!("machine {id}: needed again");
            machine.draining = false;
            machine.idle_since = None;
        }
    }

    /// What the tasks of every usable machine are worth: the least that their
    /// parts of machines cost, as a part of its own price. GPUs that stand
    /// idle below replicas without any make a dear machine worth little.
    fn worths(&self, view: &View, usable: &[MachineId]) -> Vec<f64> {
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

    fn choose_drain(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [Host],
        places: &Places,
    ) {
        let boot_ms = self.boot_ms();
        let pause = (boot_ms as f64 * PAUSE_BOOTS) as Ms;
        if ctx.now < self.drained_at + pause || ctx.now < self.active_since + boot_ms {
            return;
        }
        let mut candidates: Vec<(f64, usize)> = usable
            .iter()
            .enumerate()
            .filter_map(|(i, id)| {
                let m = self.machines.get(id)?;
                let worth_it = !m.tasks.is_empty() && places.worth[i] <= WORTH_MOST;
                let old = ctx.now > m.since + boot_ms * 2;
                (worth_it && old && ctx.now >= m.full_house_until)
                    .then_some((m.price * (1.0 - places.worth[i]), i))
            })
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        let tries = (hosts.len() / TRIES_PART).max(DRAINING_MOST);
        for (_, i) in candidates.into_iter().take(tries) {
            let tasks: Vec<TaskRef> = self.machines[&usable[i]].tasks.iter().cloned().collect();
            let free = std::mem::take(&mut hosts[i].free);
            let from = hosts[i].price;
            let mut booked = Vec::new();
            let fits = tasks.iter().all(|t| {
                let place = self.fits_elsewhere(ctx, t, hosts, from, places);
                booked.extend(place);
                place.is_some()
            });
            if !fits {
                hosts[i].free = free;
                for (host, task) in booked {
                    hosts[host].free += task;
                }
                if let Some(m) = self.machines.get_mut(&usable[i]) {
                    m.full_house_until = ctx.now + pause;
                }
                continue;
            }
            log::info!(
                "machine {}: to be drained, {} tasks",
                usable[i],
                tasks.len()
            );
            self.drained_at = ctx.now;
            if let Some(m) = self.machines.get_mut(&usable[i]) {
                m.draining = true;
            }
            return;
        }
    }

    /// Books a place for one task of another machine, and says where and how much.
    fn fits_elsewhere(
        &self,
        ctx: &mut Context,
        task: &TaskRef,
        hosts: &mut [Host],
        from: f64,
        places: &Places,
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
            let most = ctx.cfg.report_ms as f64 / 1000.0 * FETCH_REPORTS;
            let slow =
                |h: &Host| !h.images.contains(&want.image) && want.image_gb > most * h.fetch_rate;
            let slow: Vec<usize> = (0..hosts.len()).filter(|i| slow(&hosts[*i])).collect();
            want.avoid.extend(slow);
        }
        let waste = |i: &usize| hosts[*i].price > from * 1.001 && places.worth[*i] < TARGET_LEAST;
        want.avoid.extend((0..hosts.len()).filter(waste));
        let mut quota = [Quota::default()];
        let weights = ctx.cfg.ops.weights;
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
        places: &Places,
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
fn cheapest(job: &Job, view: &View) -> f64 {
    let spec = &job.spec;
    let types = view.types.values().map(|t| &t.rec);
    types
        .filter(|t| {
            spec.types
                .as_ref()
                .is_none_or(|names| names.contains(&t.name))
        })
        .filter_map(|t| {
            let total = total_of(t);
            let price = t.spot_price.filter(|_| spec.spot).unwrap_or(t.price);
            let fits = job.task.fits(&total);
            fits.then(|| job.task.largest_share(&total) * price)
        })
        .fold(f64::INFINITY, f64::min)
        .min(1e9)
}
