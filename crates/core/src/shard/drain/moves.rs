//! Moves tasks to other machines. Capacity elsewhere is reserved tentatively first; then
//! a replica is stopped, so that a scheduling round can place it again.

use crate::context::Context;
use crate::shard::drain::MoveContext;
use crate::shard::job::Job;
use crate::shard::scheduling::pending_tasks_of;
use crate::shard::Shard;
use forkshift_sched::{run_round, MachineSnapshot, PendingTasks, Quota, Resources};
use forkshift_wire::users::JobKind;
use forkshift_wire::workers::TaskStage;
use forkshift_wire::{MachineId, TaskRef};

/// Tasks are not moved to a costlier machine whose value ratio is below this: that
/// machine should be drained itself.
const MIN_TARGET_VALUE_RATIO: f64 = 0.5;
/// A machine is costlier than another if its price is more than this many times as high.
/// The margin absorbs rounding.
const COSTLIER_FACTOR: f64 = 1.001;
/// A replica is moved only to a machine that has its image, or fetches it within this
/// many heartbeat intervals.
const MAX_FETCH_HEARTBEATS: f64 = 1.0;

/// Capacity that is reserved tentatively for a task within one round.
#[derive(Clone, Copy)]
struct TentativePlacement {
    host: usize,
    resources: Resources,
}

impl Shard {
    /// Reserves capacity on other machines for all tasks of one machine, or for none.
    /// Returns whether all tasks fit.
    pub(super) fn place_all_elsewhere(
        &self,
        ctx: &mut Context,
        id: &MachineId,
        host: usize,
        hosts: &mut [MachineSnapshot],
        context: &MoveContext,
    ) -> bool {
        let free = std::mem::take(&mut hosts[host].free);
        let price = hosts[host].price_per_s;
        let mut placements = Vec::new();
        let all_fit = self.machines[id].tasks.iter().all(|task| {
            let placement = self.place_elsewhere(ctx, task, hosts, price, context);
            placements.extend(placement);
            placement.is_some()
        });
        if !all_fit {
            hosts[host].free = free;
            for placement in placements {
                hosts[placement.host].free += placement.resources;
            }
        }
        all_fit
    }

    /// Reserves capacity for one task on another machine. The present machine costs
    /// `source_price` a second. Quotas don't apply, because the task is already charged
    /// to its team.
    fn place_elsewhere(
        &self,
        ctx: &mut Context,
        task: &TaskRef,
        hosts: &mut [MachineSnapshot],
        source_price: f64,
        context: &MoveContext,
    ) -> Option<TentativePlacement> {
        let (job, binding) = self.binding(task)?;
        let mut pending = pending_tasks_of(ctx, job, 0, &context.zones);
        let zone = context.zones.get(&binding.machine);
        if let Some(count) = zone.and_then(|z| pending.tasks_by_zone.get_mut(z)) {
            *count -= 1;
        }
        pending.is_gang = false;
        pending.unplaced_tasks = vec![task.index];
        if job.spec.kind == JobKind::Service {
            let max_fetch_s =
                ctx.config.heartbeat_interval_ms as f64 / 1000.0 * MAX_FETCH_HEARTBEATS;
            let slow = slow_fetch_hosts(hosts, &pending, max_fetch_s);
            pending.excluded_machines.extend(slow);
        }
        pending
            .excluded_machines
            .extend(context.underused_costlier_hosts(hosts, source_price));
        let weights = ctx.config.operator.weights;
        let unlimited = &mut [Quota::default()];
        let placements = run_round(
            std::slice::from_mut(&mut pending),
            hosts,
            unlimited,
            &weights,
        );
        Some(TentativePlacement {
            host: placements.first()?.machine,
            resources: job.task_resources,
        })
    }

    /// Stops one replica of a machine for which another machine has capacity. Returns
    /// whether a replica was stopped. Nothing is stopped while another task of the
    /// machine is stopping, so that no service loses several replicas at once.
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
            if !is_movable_replica(job, task.index) {
                continue;
            }
            let placement = self.place_elsewhere(ctx, &task, hosts, price, context);
            if placement.is_some() {
                self.stop_task(&task);
                return true;
            }
        }
        false
    }
}

impl MoveContext {
    /// Indices of costlier hosts that should be drained themselves.
    fn underused_costlier_hosts(&self, hosts: &[MachineSnapshot], source_price: f64) -> Vec<usize> {
        let is_underused = |(index, host): &(usize, &MachineSnapshot)| {
            host.price_per_s > source_price * COSTLIER_FACTOR
                && self.value_ratios[*index] < MIN_TARGET_VALUE_RATIO
        };
        let underused = hosts.iter().enumerate().filter(is_underused);
        underused.map(|(index, _)| index).collect()
    }
}

/// Indices of the hosts that don't have the image and would take longer than
/// `max_fetch_s` to fetch it.
fn slow_fetch_hosts(
    hosts: &[MachineSnapshot],
    pending: &PendingTasks,
    max_fetch_s: f64,
) -> Vec<usize> {
    let is_slow = |(_, host): &(usize, &MachineSnapshot)| {
        !host.images.contains(&pending.image)
            && pending.image_gb > max_fetch_s * host.fetch_gb_per_s
    };
    let slow = hosts.iter().enumerate().filter(is_slow);
    slow.map(|(index, _)| index).collect()
}

/// Whether a task is a running replica of a service of which all replicas are bound.
fn is_movable_replica(job: &Job, index: u32) -> bool {
    let binding = job.bindings.get(&index);
    let is_running = binding.is_some_and(|b| b.stage == Some(TaskStage::Running));
    let is_complete = job.bindings.len() as u32 == job.spec.tasks;
    job.spec.kind == JobKind::Service && is_running && is_complete
}
