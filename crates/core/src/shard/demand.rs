//! The unmet demand of a shard: tasks that found no room on existing or expected
//! machines, and spare places that are missing.
//!
//! The demand is sent to the leader, which provisions machines for it.

mod expected_machines;
mod publication;
mod shapes;
mod spare_places;

pub(crate) use expected_machines::{overdue_at, ExpectedMachines, OVERDUE_BOOTS};

use crate::context::Context;
use crate::records::{DemandRecord, ShapeRecord};
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use forkshift_sched::{run_round, MachineSnapshot, PendingTasks, Placement, Quota, Resources};
use forkshift_wire::MachineId;
use shapes::shapes_of;

/// What a round has left of machines and quotas.
pub(crate) struct RemainingCapacity {
    /// The usable machines; while the demand is computed, expected ones follow.
    pub(crate) hosts: Vec<MachineSnapshot>,
    /// The quotas of the shard's teams.
    pub(crate) quotas: Vec<Quota>,
}

impl RemainingCapacity {
    /// Books what fits, and removes it from the waiting tasks.
    fn book(&mut self, ctx: &Context, pending: &mut [PendingTasks]) -> Vec<Placement> {
        let weights = &ctx.config.operator.weights;
        run_round(pending, &mut self.hosts, &mut self.quotas, weights)
    }
}

/// Usable machines without tasks.
#[derive(Default)]
struct EmptyMachines {
    /// Those that spare places need.
    spare: Vec<MachineId>,
    /// Those that nothing needs.
    surplus: Vec<MachineId>,
}

/// Where the waiting tasks of a round were booked.
struct BookedDemand<'a> {
    /// What found no room.
    shapes: Vec<ShapeRecord>,
    /// The machines behind the hosts.
    expected: ExpectedMachines<'a>,
}

impl Shard {
    /// Books waiting tasks on expected machines, then spare places and the machines of
    /// pools. What found no room is published as the shard's unmet demand.
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
        let waiting = shapes_of(ctx, view, &pending, &mut remaining.quotas.clone());
        let BookedDemand {
            mut shapes,
            expected,
        } = self.book_waiting_tasks(ctx, view, usable, &mut remaining, pending);
        self.note_idle(ctx, usable, &remaining.hosts);
        let pool_shapes = self.keep_pools(ctx, view, &expected, &remaining.hosts);
        // A missing spare place fits on no existing machine, or it would have been
        // booked there: only waiting tasks keep machines from being drained.
        if shapes.iter().all(|s| s.is_spare || s.is_borrowing) {
            remaining.hosts.truncate(usable.len());
            self.drain(ctx, view, usable, &mut remaining.hosts);
        }
        // After everything that waits for room.
        shapes.extend(pool_shapes);
        let empty = self.empty_machines(usable);
        let record = DemandRecord {
            revision: view.revision,
            unmet_shapes: shapes,
            pending_shapes: waiting,
            spare_machines: empty.spare,
            surplus_machines: empty.surplus,
            reclaimable_machines: self.reclaimable_machines(ctx, usable),
            pool_machines: Vec::new(),
        };
        let record = self.with_offered_members(ctx, record);
        self.publish_demand(ctx, view, record);
    }

    /// Books waiting tasks and spare places on existing and expected machines.
    ///
    /// What borrowers use here counts as room for all other jobs, as it can be reclaimed
    /// at once. Their tasks fill spare places as soon as these are free: if they counted
    /// as taken, machine after machine would be provisioned.
    fn book_waiting_tasks<'a>(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &'a [MachineId],
        remaining: &mut RemainingCapacity,
        pending: Vec<PendingTasks>,
    ) -> BookedDemand<'a> {
        let (mut borrowers, mut owners): (Vec<PendingTasks>, Vec<PendingTasks>) = pending
            .into_iter()
            .partition(|tasks| tasks.capacity_class.is_borrower());
        let reclaimable = usable.iter().map(|id| self.reclaimable_on(ctx, id));
        let reclaimable: Vec<Resources> = reclaimable.collect();
        for (host, more) in remaining.hosts.iter_mut().zip(&reclaimable) {
            host.free += *more;
        }
        let expected = self.add_expected_machines(ctx, view, usable, &mut remaining.hosts);
        let mut shapes = self.book_owners(ctx, view, &expected, remaining, &mut owners);
        shapes.extend(self.book_spare_places(ctx, usable, &mut remaining.hosts));
        self.drain_borrowers(ctx, usable, &remaining.hosts);
        for (host, more) in remaining.hosts.iter_mut().zip(&reclaimable) {
            host.free = host.free.saturating_sub(more);
        }
        remaining.book(ctx, &mut borrowers);
        shapes.extend(shapes_of(ctx, view, &borrowers, &mut remaining.quotas));
        BookedDemand { shapes, expected }
    }

    /// Books the tasks that run on their own teams' quotas. Draining ends on machines that
    /// are needed for them. Returns what found no room.
    fn book_owners(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        expected: &ExpectedMachines,
        remaining: &mut RemainingCapacity,
        owners: &mut [PendingTasks],
    ) -> Vec<ShapeRecord> {
        for tasks in owners.iter_mut() {
            tasks.excluded_machines.clear();
        }
        let booked = remaining.book(ctx, owners);
        for (i, id) in expected.draining.iter().enumerate() {
            let host = expected.usable.len() + i;
            if booked.iter().any(|b| b.machine == host) {
                self.stop_draining(id);
            }
        }
        owners.sort_by(PendingTasks::precedence_order);
        shapes_of(ctx, view, owners, &mut remaining.quotas)
    }

    /// Makes hosts that have been in quarantine for less than a boot count for nothing:
    /// they are probed with few tasks, and may be decommissioned. Nothing is held any more.
    fn exclude_newly_quarantined(
        &self,
        ctx: &Context,
        usable: &[MachineId],
        hosts: &mut [MachineSnapshot],
    ) {
        for (id, host) in usable.iter().zip(hosts) {
            host.is_held = false;
            if self.is_newly_quarantined(ctx, id) {
                host.free = Resources::default();
            }
        }
    }

    /// The usable machines without tasks; pools' machines aside.
    fn empty_machines(&self, usable: &[MachineId]) -> EmptyMachines {
        let is_empty = |machine: &&Machine| {
            machine.tasks.is_empty()
                && !machine.has_call_in_flight
                && machine.exited.is_empty()
                && !machine.is_pool_member()
        };
        let machines = usable.iter().filter_map(|id| self.machines.get(id));
        let mut empty = EmptyMachines::default();
        for machine in machines.filter(is_empty) {
            let list = match machine.idle_since {
                Some(_) => &mut empty.surplus,
                None => &mut empty.spare,
            };
            list.push(machine.id.clone());
        }
        empty
    }

    /// Records since when each machine has been idle. `hosts` shows what is free once all
    /// tasks and spare places are booked.
    fn note_idle(&mut self, ctx: &Context, usable: &[MachineId], hosts: &[MachineSnapshot]) {
        for machine in self.machines.values_mut().filter(|m| m.is_draining) {
            if machine.update_idle_since(machine.tasks.is_empty(), ctx.now) {
                self.recheck.mark_due(&machine.id);
            }
        }
        for (id, host) in usable.iter().zip(hosts) {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            let is_idle =
                machine.tasks.is_empty() && host.free == machine.total && !machine.is_pool_member();
            if machine.update_idle_since(is_idle, ctx.now) {
                self.recheck.mark_due(id);
            }
        }
    }
}
