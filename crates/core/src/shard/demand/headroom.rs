//! Headroom: free capacity that is kept for job classes whose tasks must start sooner
//! than a machine boots.

use crate::context::Context;
use crate::pools::open_reservations;
use crate::records::ShapeRecord;
use crate::shard::demand::shapes::add_shape;
use crate::shard::scheduling::type_numbers;
use crate::shard::Shard;
use crate::Ms;
use forkshift_sched::{MachineSnapshot, Resources};
use forkshift_wire::users::JobKind;
use forkshift_wire::{MachineId, TaskRef};
use std::collections::BTreeSet;

/// A running task that should end within this many boot times counts as headroom. The
/// value is below 1, so that the capacity is free before a new machine would be up.
const RELEASE_HORIZON_BOOTS: f64 = 0.8;

/// A job class that needs headroom.
struct HeadroomClass {
    /// The class's objective for the wait of a task, in seconds.
    max_wait_s: f64,
    /// Requirements of one task, from the class's last arrival.
    shape: ShapeRecord,
    /// Tasks that arrive in a second.
    arrival_rate: f64,
    /// Reservations of warm pools' machines that the class may use.
    open_reservations: BTreeSet<u32>,
}

impl Shard {
    /// Places headroom tentatively on free capacity and on capacity that running tasks
    /// release soon. Returns the headroom that fits on no machine.
    pub(super) fn place_headroom(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) -> Vec<ShapeRecord> {
        let mut hosts_with_releases = hosts.to_vec();
        for (id, host) in usable.iter().zip(&mut hosts_with_releases) {
            host.free += self.resources_released_soon(ctx, id);
        }
        let missing = self.place_headroom_classes(ctx, &mut hosts_with_releases);
        for (host, remaining) in hosts.iter_mut().zip(&hosts_with_releases) {
            host.free = host.free.component_min(&remaining.free);
        }
        missing
    }

    /// Places the headroom of all classes, the shortest wait objective first. Returns the
    /// headroom that fits on no machine.
    fn place_headroom_classes(
        &mut self,
        ctx: &mut Context,
        hosts: &mut [MachineSnapshot],
    ) -> Vec<ShapeRecord> {
        let boot_s = self.max_boot_ms() as f64 / 1000.0;
        let factor = ctx.config.operator.headroom_ratio;
        let mut missing = Vec::new();
        for class in self.headroom_classes(ctx, boot_s) {
            // Tasks that are expected to arrive during a boot, scaled by the ratio in the
            // settings, plus their standard deviation if arrivals are a Poisson process.
            // A ratio below 1 reduces this margin further.
            let arrivals = class.arrival_rate * boot_s * factor;
            let target = (arrivals + arrivals.sqrt() * factor.min(1.0)).ceil() as u32;
            let unplaced = class.place_tasks(ctx, target, hosts);
            if unplaced > 0 {
                let shape = ShapeRecord {
                    count: unplaced,
                    ..class.shape
                };
                add_shape(&mut missing, shape);
            }
        }
        missing
    }

    /// The job classes whose wait objective is shorter than a boot time, the shortest
    /// first.
    fn headroom_classes(&mut self, ctx: &Context, boot_s: f64) -> Vec<HeadroomClass> {
        let counted_period_ms = self.arrivals_counted_for(ctx.now);
        let mut classes: Vec<HeadroomClass> = Vec::new();
        for (name, stats) in &mut self.arrivals_by_class {
            let Some(max_wait_s) = ctx.config.wait_objectives.get(name) else {
                continue;
            };
            if *max_wait_s < boot_s {
                classes.push(HeadroomClass {
                    max_wait_s: *max_wait_s,
                    shape: stats.last_shape.clone(),
                    arrival_rate: stats.rate(ctx.now, counted_period_ms),
                    open_reservations: open_reservations(ctx, &stats.last_team, &stats.last_image),
                });
            }
        }
        classes.sort_by(|a, b| a.max_wait_s.total_cmp(&b.max_wait_s));
        classes
    }

    /// For how long arrivals have been counted, in milliseconds. Counting starts once the
    /// shard's first machine has reported.
    fn arrivals_counted_for(&mut self, now: Ms) -> Ms {
        let mut machines = self.machines.values();
        let has_machine = machines.any(|m| m.last_heartbeat_at.is_some());
        if self.arrivals_counted_since.is_none() && has_machine {
            self.arrivals_counted_since = Some(now);
        }
        self.arrivals_counted_since.map_or(0, |since| now - since)
    }

    /// Resources that running tasks on a machine should release, by their estimated run
    /// times, before a new machine could be up. They serve as headroom as well as a new
    /// machine would. Reclaimable tasks are left out: their resources already count as
    /// free.
    fn resources_released_soon(&self, ctx: &Context, id: &MachineId) -> Resources {
        let Some(machine) = self.machines.get(id) else {
            return Resources::default();
        };
        let horizon = ctx.now + (machine.boot_ms as f64 * RELEASE_HORIZON_BOOTS) as Ms;
        let released = |task: &TaskRef| {
            let (job, binding) = self.binding(task)?;
            let end = binding.running_since? + crate::seconds_to_ms(job.spec.estimated_run_time_s);
            let ends_soon = job.spec.kind != JobKind::Service && end < horizon;
            (ends_soon && !self.is_reclaimable(ctx, job, binding)).then_some(job.task_resources)
        };
        let tasks = machine.tasks.iter();
        tasks
            .filter_map(released)
            .fold(Resources::default(), |sum, r| sum + r)
    }
}

impl HeadroomClass {
    /// Places headroom for `count` tasks tentatively. Returns for how many there is no
    /// capacity.
    fn place_tasks(&self, ctx: &mut Context, count: u32, hosts: &mut [MachineSnapshot]) -> u32 {
        let task = self.shape.resources();
        let types = type_numbers(ctx, self.shape.types.as_deref());
        let mut unplaced = count;
        for host in hosts.iter_mut() {
            let is_allowed = self.may_use(host, types.as_deref());
            while unplaced > 0 && is_allowed && task.fits_in(&host.free) {
                host.free -= task;
                unplaced -= 1;
            }
        }
        unplaced
    }

    /// Whether headroom of this class may be on a host. Machines of warm pools that are
    /// open to the class count, because arrivals that run there need no headroom
    /// elsewhere.
    fn may_use(&self, host: &MachineSnapshot, types: Option<&[u16]>) -> bool {
        let is_open = host
            .reserved_for
            .is_none_or(|number| self.open_reservations.contains(&number));
        is_open
            && (self.shape.spot || !host.is_spot)
            && types.is_none_or(|t| t.contains(&host.machine_type))
    }
}
