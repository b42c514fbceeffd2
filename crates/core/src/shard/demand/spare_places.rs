//! Spare places: room that is kept free for classes of jobs whose tasks must start
//! sooner than a machine boots.

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

/// A running task that should end within this many boots leaves a spare place.
const SOON_BOOTS: f64 = 0.8;

/// A class of jobs that needs spare places.
struct SpareClass {
    /// How long its tasks may wait, in seconds.
    max_wait_s: f64,
    /// One of its tasks, as a shape.
    shape: ShapeRecord,
    /// Arriving tasks a second.
    arrival_rate: f64,
    /// Reservations of pools' machines that are open to it.
    open_reservations: BTreeSet<u32>,
}

impl Shard {
    /// Books spare places, also on what is released soon, and returns those that are
    /// missing.
    pub(super) fn book_spare_places(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) -> Vec<ShapeRecord> {
        let mut hosts_soon = hosts.to_vec();
        for (id, host) in usable.iter().zip(&mut hosts_soon) {
            host.free += self.released_soon(ctx, id);
        }
        let missing = self.book_spare_classes(ctx, &mut hosts_soon);
        for (host, soon) in hosts.iter_mut().zip(&hosts_soon) {
            host.free = host.free.component_min(&soon.free);
        }
        missing
    }

    /// Books spare places for all classes, the most urgent first, and returns those that
    /// found none.
    fn book_spare_classes(
        &mut self,
        ctx: &mut Context,
        hosts: &mut [MachineSnapshot],
    ) -> Vec<ShapeRecord> {
        let boot_s = self.boot_ms() as f64 / 1000.0;
        let factor = ctx.config.operator.spare_ratio;
        let mut missing = Vec::new();
        for class in self.spare_classes(ctx, boot_s) {
            let arrivals = class.arrival_rate * boot_s * factor;
            let target = (arrivals + arrivals.sqrt() * factor.min(1.0)).ceil() as u32;
            let unbooked = class.book(ctx, target, hosts);
            if unbooked > 0 {
                let shape = ShapeRecord {
                    count: unbooked,
                    ..class.shape
                };
                add_shape(&mut missing, shape);
            }
        }
        missing
    }

    /// The classes whose tasks must start sooner than a machine boots, the most urgent
    /// first.
    fn spare_classes(&mut self, ctx: &Context, boot_s: f64) -> Vec<SpareClass> {
        let elapsed = self.arrivals_counted_for(ctx.now);
        let mut classes: Vec<SpareClass> = Vec::new();
        for (name, stats) in &mut self.arrivals_by_class {
            let Some(max_wait_s) = ctx.config.wait_objectives.get(name) else {
                continue;
            };
            if *max_wait_s < boot_s {
                classes.push(SpareClass {
                    max_wait_s: *max_wait_s,
                    shape: stats.last_shape.clone(),
                    arrival_rate: stats.rate(ctx.now, elapsed),
                    open_reservations: open_reservations(ctx, &stats.last_team, &stats.last_image),
                });
            }
        }
        classes.sort_by(|a, b| a.max_wait_s.total_cmp(&b.max_wait_s));
        classes
    }

    /// For how long arrivals have been counted: since the shard's first machine was up.
    fn arrivals_counted_for(&mut self, now: Ms) -> Ms {
        let mut machines = self.machines.values();
        let has_machine = machines.any(|m| m.last_heartbeat_at.is_some());
        if self.arrivals_counted_since.is_none() && has_machine {
            self.arrivals_counted_since = Some(now);
        }
        self.arrivals_counted_since.map_or(0, |since| now - since)
    }

    /// What running tasks will release on a machine before another one could be up, by
    /// their estimates: it serves as spare as well as a new machine would.
    fn released_soon(&self, ctx: &Context, id: &MachineId) -> Resources {
        let Some(machine) = self.machines.get(id) else {
            return Resources::default();
        };
        let soon = ctx.now + (machine.boot_ms as f64 * SOON_BOOTS) as Ms;
        let released = |task: &TaskRef| {
            let (job, binding) = self.binding(task)?;
            let end = binding.running_since? + crate::ms(job.spec.estimated_run_time_s);
            let ends_soon = job.spec.kind != JobKind::Service && end < soon;
            (ends_soon && !self.is_reclaimable(ctx, job, binding)).then_some(job.task_resources)
        };
        let tasks = machine.tasks.iter();
        tasks
            .filter_map(released)
            .fold(Resources::default(), |sum, r| sum + r)
    }
}

impl SpareClass {
    /// Books up to so many places, and returns how many found no room.
    fn book(&self, ctx: &mut Context, places: u32, hosts: &mut [MachineSnapshot]) -> u32 {
        let task = self.shape.resources();
        let types = type_numbers(ctx, self.shape.types.as_deref());
        let mut unbooked = places;
        for host in hosts.iter_mut() {
            let is_allowed = self.may_use(host, types.as_deref());
            while unbooked > 0 && is_allowed && task.fits_in(&host.free) {
                host.free -= task;
                unbooked -= 1;
            }
        }
        unbooked
    }

    /// Whether a spare place may be on a host. Arrivals that find a pool's machine need no
    /// spare place besides, so machines of open pools count.
    fn may_use(&self, host: &MachineSnapshot, types: Option<&[u16]>) -> bool {
        let is_open = host
            .reserved_for
            .is_none_or(|number| self.open_reservations.contains(&number));
        is_open
            && (self.shape.spot || !host.is_spot)
            && types.is_none_or(|t| t.contains(&host.machine_type))
    }
}
