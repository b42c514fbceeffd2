//! Computes the unmet demand of a shard: pending tasks that fit on no existing or
//! expected machine, and missing headroom.
//!
//! Headroom is capacity that is kept free for job classes whose tasks must start sooner
//! than a machine boots. The demand is sent to the leader, which provisions machines for
//! it.
//!
//! All placements in this module are tentative: they reduce the free capacity of the
//! round's hosts and, for pending tasks, the remaining quotas, but bind no task.

mod expected_machines;
mod headroom;
mod publication;
mod shapes;

pub(crate) use expected_machines::{overdue_at, ExpectedMachines, OVERDUE_BOOTS};

use crate::context::Context;
use crate::records::{DemandRecord, ShapeRecord};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use forkshift_sched::{run_round, MachineSnapshot, PendingTasks, Placement, Quota, Resources};
use forkshift_wire::MachineId;
use shapes::shapes_of;

/// Free capacity and quotas that a scheduling round has left.
pub(crate) struct RemainingCapacity {
    /// Snapshots of the usable machines. While the demand is computed, those of expected
    /// machines follow.
    pub(crate) hosts: Vec<MachineSnapshot>,
    /// Quotas of the shard's teams, charged for all placements so far.
    pub(crate) quotas: Vec<Quota>,
}

impl RemainingCapacity {
    /// Places tentatively the tasks that fit, and removes them from `pending`.
    fn place_tentatively(&mut self, ctx: &Context, pending: &mut [PendingTasks]) -> Vec<Placement> {
        let weights = &ctx.config.operator.weights;
        run_round(pending, &mut self.hosts, &mut self.quotas, weights)
    }
}

/// Usable machines without tasks, warm pools excepted.
#[derive(Default)]
struct EmptyMachines {
    /// Machines that headroom or pending tasks need.
    needed: Vec<MachineId>,
    /// Machines that nothing needs.
    surplus: Vec<MachineId>,
}

/// Result of the tentative placement on existing and expected machines.
struct ExpectedPlacement<'a> {
    /// Tasks and headroom that fit on no machine, merged by requirements.
    shapes: Vec<ShapeRecord>,
    /// The machine that each host stands for.
    expected: ExpectedMachines<'a>,
}

impl Shard {
    /// Places pending tasks tentatively on existing and expected machines, then headroom
    /// and the machines of warm pools. What fits on none is published as the shard's
    /// unmet demand. Machines that this shows to be underused are drained.
    pub(crate) fn compute_unmet_demand(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &[MachineId],
        mut remaining: RemainingCapacity,
        mut pending: Vec<PendingTasks>,
    ) {
        let _span = tracing::debug_span!("unmet_demand").entered();
        pending.sort_by(PendingTasks::precedence_order);
        self.exclude_newly_quarantined(ctx, usable, &mut remaining.hosts);
        let pending_shapes = shapes_of(ctx, view, &pending, &mut remaining.quotas.clone());
        let ExpectedPlacement {
            shapes: mut unmet_shapes,
            expected,
        } = self.place_on_expected_machines(ctx, view, usable, &mut remaining, pending);
        self.update_idle_times(ctx, usable, &remaining.hosts);
        let pool_shapes = self.resize_pools(ctx, view, &expected, &remaining.hosts);
        // Unmet demand does not prevent draining if it is headroom or work that uses idle
        // capacity only. Headroom that fitted on an existing machine would have been
        // placed there.
        if unmet_shapes.iter().all(|s| s.is_headroom || s.is_borrowing) {
            remaining.hosts.truncate(usable.len());
            self.drain_underused_machines(ctx, view, usable, &mut remaining.hosts);
        }
        // The demand is in order of urgency: pools come after pending tasks and headroom.
        unmet_shapes.extend(pool_shapes);
        let empty = self.empty_machines(usable);
        let record = DemandRecord {
            revision: view.revision,
            unmet_shapes,
            pending_shapes,
            headroom_machines: empty.needed,
            surplus_machines: empty.surplus,
            reclaimable_machines: self.reclaimable_machines(ctx, usable),
            pool_machines: Vec::new(),
        };
        let record = self.with_offered_pool_machines(ctx, record);
        self.publish_demand(ctx, view, record);
    }

    /// Places pending tasks and headroom tentatively on existing and expected machines.
    ///
    /// Capacity that borrowed work uses counts as free for ordinary tasks and headroom,
    /// because it can be reclaimed at once. Borrowed tasks fill the headroom as soon as
    /// it is free: if their capacity counted as used, machine after machine would be
    /// provisioned for headroom.
    fn place_on_expected_machines<'a>(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &'a [MachineId],
        remaining: &mut RemainingCapacity,
        pending: Vec<PendingTasks>,
    ) -> ExpectedPlacement<'a> {
        let (mut borrowers, mut ordinary): (Vec<PendingTasks>, Vec<PendingTasks>) = pending
            .into_iter()
            .partition(|tasks| tasks.capacity_class.is_borrower());
        let reclaimable = usable.iter().map(|id| self.reclaimable_on(ctx, id));
        let reclaimable: Vec<Resources> = reclaimable.collect();
        for (host, amount) in remaining.hosts.iter_mut().zip(&reclaimable) {
            host.free += *amount;
        }
        let expected = self.add_expected_machines(ctx, view, usable, &mut remaining.hosts);
        let mut shapes = self.place_ordinary_tasks(ctx, view, &expected, remaining, &mut ordinary);
        shapes.extend(self.place_headroom(ctx, usable, &mut remaining.hosts));
        self.drain_machines_with_only_borrowed_work(ctx, usable, &remaining.hosts);
        for (host, amount) in remaining.hosts.iter_mut().zip(&reclaimable) {
            host.free = host.free.saturating_sub(amount);
        }
        remaining.place_tentatively(ctx, &mut borrowers);
        shapes.extend(shapes_of(ctx, view, &borrowers, &mut remaining.quotas));
        ExpectedPlacement { shapes, expected }
    }

    /// Places the ordinary tasks tentatively, and returns those that fit on no machine.
    /// Draining ends on machines that the tasks need. Machines that are excluded for a
    /// job count here, because exclusions are temporary.
    fn place_ordinary_tasks(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        expected: &ExpectedMachines,
        remaining: &mut RemainingCapacity,
        ordinary: &mut [PendingTasks],
    ) -> Vec<ShapeRecord> {
        for tasks in ordinary.iter_mut() {
            tasks.excluded_machines.clear();
        }
        let placements = remaining.place_tentatively(ctx, ordinary);
        for (i, id) in expected.draining.iter().enumerate() {
            let host = expected.usable.len() + i;
            if placements.iter().any(|p| p.machine == host) {
                self.cancel_draining(id);
            }
        }
        ordinary.sort_by(PendingTasks::precedence_order);
        shapes_of(ctx, view, ordinary, &mut remaining.quotas)
    }

    /// Sets the free capacity of newly quarantined hosts to zero, because they get few
    /// tasks and may be decommissioned. Reservations of hosts for jobs that waited long
    /// end here: they apply only within the round.
    fn exclude_newly_quarantined(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        for (id, host) in usable.iter().zip(hosts) {
            host.is_held_for_aged_job = false;
            if self.is_newly_quarantined(ctx, id) {
                host.free = Resources::default();
            }
        }
    }

    /// The usable machines without tasks that belong to no warm pool.
    fn empty_machines(&self, usable: &[MachineId]) -> EmptyMachines {
        let is_empty = |machine: &&Machine| {
            machine.tasks.is_empty()
                && !machine.has_call_in_flight
                && machine.exited_attempts.is_empty()
                && !machine.is_unused_pool_member()
        };
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let mut empty = EmptyMachines::default();
        for machine in machines.filter(is_empty) {
            let list = match machine.idle_since {
                Some(_) => &mut empty.surplus,
                None => &mut empty.needed,
            };
            list.push(machine.id.clone());
        }
        empty
    }

    /// Updates since when each machine has been idle. `hosts` shows the free capacity
    /// once all pending tasks and the headroom are placed.
    fn update_idle_times(
        &mut self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &[MachineSnapshot],
    ) {
        for machine in self.machines.values_mut().filter(|m| m.is_draining) {
            if machine.update_idle_since(machine.tasks.is_empty(), ctx.now) {
                self.machines_to_reconcile.mark_due(&machine.id);
            }
        }
        for (id, host) in usable.iter().zip(hosts) {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            let is_idle = machine.tasks.is_empty()
                && host.free == machine.capacity
                && !machine.is_unused_pool_member();
            if machine.update_idle_since(is_idle, ctx.now) {
                self.machines_to_reconcile.mark_due(id);
            }
        }
    }
}
