//! Moves of tasks to other machines: places are booked first, and replicas are stopped
//! one at a time, so that a round can place them there.

use crate::context::Context;
use crate::shard::drain::MoveContext;
use crate::shard::job::Job;
use crate::shard::scheduling::pending_tasks_of;
use crate::shard::Shard;
use forkshift_sched::{run_round, MachineSnapshot, PendingTasks, Quota, Resources};
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{MachineId, TaskRef};

/// Tasks are not moved to a costlier machine if the value of its own tasks is less than
/// this part of its price: it should be drained itself.
const MIN_TARGET_VALUE_RATIO: f64 = 0.5;
/// A machine is costlier than another if its price is more than so many times as high.
const COSTLIER_FACTOR: f64 = 1.001;
/// A replica is moved only to where its image is, or is fetched within this many
/// heartbeats.
const MAX_FETCH_HEARTBEATS: f64 = 1.0;

/// A place that is booked for a task.
#[derive(Clone, Copy)]
struct Booking {
    /// Index of the host.
    host: usize,
    /// What is booked there.
    resources: Resources,
}

impl Shard {
    /// Books places on other machines for all tasks of one, or for none. Returns whether
    /// all have one.
    pub(super) fn book_all_elsewhere(
        &self,
        ctx: &mut Context,
        id: &MachineId,
        host: usize,
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
    ) -> bool {
        let free = std::mem::take(&mut hosts[host].free);
        let price = hosts[host].price_per_s;
        let mut bookings = Vec::new();
        let all_fit = self.machines[id].tasks.iter().all(|task| {
            let booking = self.book_elsewhere(ctx, task, hosts, price, context);
            bookings.extend(booking);
            booking.is_some()
        });
        if !all_fit {
            hosts[host].free = free;
            for booking in bookings {
                hosts[booking.host].free += booking.resources;
            }
        }
        all_fit
    }

    /// Books a place for one task of another machine, which costs `source_price` a second.
    fn book_elsewhere(
        &self,
        ctx: &mut Context,
        task: &TaskRef,
        hosts: &mut [MachineSnapshot],
        source_price: f64,
        context: &MoveContext,
    ) -> Option<Booking> {
        let (job, binding) = self.binding(task)?;
        let mut pending = pending_tasks_of(ctx, job, 0, &context.zones);
        let zone = context.zones.get(&binding.machine);
        if let Some(count) = zone.and_then(|z| pending.tasks_by_zone.get_mut(z)) {
            *count -= 1;
        }
        pending.is_gang = false;
        pending.waiting = vec![task.index];
        if job.spec.kind == JobKind::Service {
            let max_fetch_s =
                ctx.config.heartbeat_interval_ms as f64 / 1000.0 * MAX_FETCH_HEARTBEATS;
            let slow = slow_hosts(hosts, &pending, max_fetch_s);
            pending.excluded_machines.extend(slow);
        }
        pending
            .excluded_machines
            .extend(context.wasteful_targets(hosts, source_price));
        let weights = ctx.config.operator.weights;
        let unlimited = &mut [Quota::default()];
        let placements = run_round(
            std::slice::from_mut(&mut pending),
            hosts,
            unlimited,
            &weights,
        );
        Some(Booking {
            host: placements.first()?.machine,
            resources: job.task,
        })
    }

    /// Moves one replica of a machine. Returns whether one was: not while another one
    /// moves, so that no service is thinned out.
    pub(super) fn move_one_replica(
        &mut self,
        ctx: &mut Context,
        id: &MachineId,
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
    ) -> bool {
        let price = self.machines[id].price_per_second;
        let tasks: Vec<TaskRef> = self.machines[id].tasks.iter().cloned().collect();
        let is_stopping =
            |task: &TaskRef| self.binding(task).is_some_and(|(_, b)| b.stop.is_some());
        if tasks.iter().any(is_stopping) {
            return false;
        }
        for task in tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if !may_move(job, task.index) {
                continue;
            }
            let booking = self.book_elsewhere(ctx, &task, hosts, price, context);
            if booking.is_some() {
                self.stop_task(&task);
                return true;
            }
        }
        false
    }
}

impl MoveContext {
    /// Costlier hosts that should rather be drained themselves.
    fn wasteful_targets(&self, hosts: &[MachineSnapshot], source_price: f64) -> Vec<usize> {
        let is_wasteful = |(index, host): &(usize, &MachineSnapshot)| {
            host.price_per_s > source_price * COSTLIER_FACTOR
                && self.value_ratios[*index] < MIN_TARGET_VALUE_RATIO
        };
        let wasteful = hosts.iter().enumerate().filter(is_wasteful);
        wasteful.map(|(index, _)| index).collect()
    }
}

/// Hosts that don't have an image and would take longer to fetch it.
fn slow_hosts(hosts: &[MachineSnapshot], pending: &PendingTasks, max_fetch_s: f64) -> Vec<usize> {
    let is_slow = |(_, host): &(usize, &MachineSnapshot)| {
        !host.images.contains(&pending.image)
            && pending.image_gb > max_fetch_s * host.fetch_gb_per_s
    };
    let slow = hosts.iter().enumerate().filter(is_slow);
    slow.map(|(index, _)| index).collect()
}

/// Whether a task is a running replica of a service that has all of its replicas.
fn may_move(job: &Job, index: u32) -> bool {
    let binding = job.bound.get(&index);
    let is_running = binding.is_some_and(|b| b.stage == Some(TaskStage::Running));
    let is_complete = job.bound.len() as u32 == job.spec.tasks;
    job.spec.kind == JobKind::Service && is_running && is_complete
}
