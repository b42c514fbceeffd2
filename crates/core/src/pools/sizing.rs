//! Sizing of warm pools: which machines join and leave, and which the leader must provision.
//!
//! Pools are resized at the end of a scheduling round, after the placement of pending tasks and
//! headroom. A pool therefore gets only machines that nothing else needs, and its demand for
//! new machines has the lowest urgency.

use super::membership::{is_requested_by_other_shard, pool_allows_machine};
use super::prefetch::MIN_FETCH_RATE;
use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::records::{capacity_of, ShapeRecord};
use crate::shard::demand::{overdue_at, ExpectedMachines};
use crate::shard::machine::Machine;
use crate::shard::scheduling::SECONDS_PER_HOUR;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_pools::scaling::{
    affordable_machines, candidates_to_add, members_to_remove, target_size, PoolCandidate,
};
use forkshift_pools::{Pool, PoolName};
use forkshift_sched::{MachineSnapshot, Resources};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// A machine that is being provisioned and that neither pending tasks nor headroom need.
struct ProvisionedMachine {
    machine_type: u16,
    zone: u16,
    spot: bool,
}

impl From<&MachineSnapshot> for ProvisionedMachine {
    fn from(host: &MachineSnapshot) -> Self {
        Self {
            machine_type: host.machine_type,
            zone: host.zone,
            spot: host.is_spot,
        }
    }
}

/// Machines that neither tasks nor headroom need. The pools choose from them in the order of
/// their declaration.
struct SurplusMachines {
    /// Existing machines.
    machines: BTreeSet<MachineId>,
    /// Machines that are being provisioned.
    provisioned: Vec<ProvisionedMachine>,
}

impl SurplusMachines {
    /// Assigns up to `max` machines that are being provisioned to a pool that allows them.
    /// Returns their number.
    fn claim_provisioned(&mut self, ctx: &Context, pool: &Pool, max: u32) -> u32 {
        let mut taken = 0;
        self.provisioned.retain(|machine| {
            let machine_type = ctx
                .types_and_zones
                .name(machine.machine_type)
                .unwrap_or_default();
            let zone = ctx.types_and_zones.name(machine.zone).unwrap_or_default();
            let takes = taken < max && pool.allows(machine_type, zone, machine.spot);
            taken += u32::from(takes);
            !takes
        });
        taken
    }
}

impl Shard {
    /// Chooses the machines that join and leave the shard's pools, and returns the unmet demand
    /// of the pools. `hosts` shows the free capacity after the placement of pending tasks and
    /// headroom.
    pub(crate) fn resize_pools(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        expected: &ExpectedMachines,
        hosts: &[MachineSnapshot],
    ) -> Vec<ShapeRecord> {
        if ctx.format < FormatVersion::POOLS {
            return Vec::new();
        }
        self.withdraw_undeclared_pools(ctx);
        let declared = ctx.config.operator.pools.iter();
        let own = declared.filter(|pool| self.teams.contains_key(&pool.team));
        let pools: Vec<Pool> = own.cloned().collect();
        if pools.is_empty() {
            return Vec::new();
        }
        let members = self.unused_pool_members();
        let mut surplus = self.surplus_machines(view, expected, hosts);
        let types = view.machine_types.values();
        let catalog: Vec<MachineType> = types.map(|t| t.record.clone()).collect();
        let mut shapes = Vec::new();
        for pool in &pools {
            let ids = members.get(&pool.name).map_or(&[][..], Vec::as_slice);
            let target_size = self.target_size(ctx, pool, &catalog);
            self.record_request(ctx, pool, target_size);
            shapes.extend(self.resize_pool(ctx, pool, target_size, ids, &mut surplus, &catalog));
        }
        shapes
    }

    /// The number of machines that a pool should have now. Machines are requested ahead of the
    /// pool's window, so that they are ready when the window opens. The size is 0 while the
    /// cloud's catalog has no machine type for the pool.
    fn target_size(&mut self, ctx: &Context, pool: &Pool, catalog: &[MachineType]) -> u32 {
        if !self.is_in_catalog(pool, catalog) {
            return 0;
        }
        let lead_time_ms = max_startup_ms(pool, catalog);
        let size = pool
            .calendar
            .size_within(ctx.wall_clock_ms, ctx.wall_clock_ms + lead_time_ms);
        let allocated = self
            .pools
            .allocations_within(&pool.name, ctx.now, lead_time_ms);
        target_size(size, allocated)
    }

    /// Whether the cloud's catalog has a machine type for a pool. If not, the reason is logged
    /// once.
    fn is_in_catalog(&mut self, pool: &Pool, catalog: &[MachineType]) -> bool {
        let errors = &mut self.pools.catalog_errors;
        let Err(error) = pool.check_catalog(catalog) else {
            errors.remove(&pool.name);
            return true;
        };
        let logged = errors.insert(pool.name.clone(), error.clone());
        if logged.as_ref() != Some(&error) {
            log::error!("{error}, no machines are provisioned for the pool");
        }
        false
    }

    /// Chooses the machines that join and leave one pool, and returns the pool's unmet demand.
    /// `ids` are the unused members of the pool.
    fn resize_pool(
        &mut self,
        ctx: &mut Context,
        pool: &Pool,
        target_size: u32,
        ids: &[MachineId],
        surplus: &mut SurplusMachines,
        catalog: &[MachineType],
    ) -> Option<ShapeRecord> {
        let (overdue, ids): (Vec<&MachineId>, Vec<&MachineId>) =
            ids.iter().partition(|id| self.is_overdue(ctx, id));
        let members = self.to_pool_members(pool, &ids);
        let leaving = members_to_remove(&members, target_size, pool.max_cost_per_hour);
        self.mark_surplus_members(&ids, &leaving);
        let joining = self.joining_machines(&pool.name);
        let staying = ids.len() - leaving.len() + joining.len();
        let mut missing = target_size.saturating_sub(staying as u32);
        let mut cost = self.cost_per_hour(ids.iter().copied());
        cost -= self.cost_per_hour(leaving.iter().map(|member| ids[*member]));
        cost += self.cost_per_hour(overdue) + self.cost_per_hour(&joining);
        let mut budget = pool.max_cost_per_hour.map(|max| max - cost);
        let joined = self.choose_joining(ctx, pool, missing, budget, surplus);
        missing -= joined.len() as u32;
        budget = budget.map(|budget| budget - self.cost_per_hour(&joined));
        missing -= surplus.claim_provisioned(ctx, pool, missing);
        missing_shape(pool, missing, budget, catalog)
    }

    /// Marks the members whose indices are in `leaving` as surplus, and the others as needed.
    fn mark_surplus_members(&mut self, ids: &[&MachineId], leaving: &[usize]) {
        for (member, id) in ids.iter().enumerate() {
            if let Some(machine) = self.machines.get_mut(*id) {
                machine.pool.is_surplus = leaving.contains(&member);
                if machine.pool.is_surplus {
                    self.machines_to_reconcile.mark_due(id);
                }
            }
        }
    }

    /// Whether a machine should have sent its first heartbeat by now. It may start much later or
    /// never, so a replacement is requested. If the machine starts after all, the pool has a
    /// surplus and one machine leaves.
    fn is_overdue(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| m.last_heartbeat_at.is_none() && ctx.now >= overdue_at(m))
    }

    /// Machines that were chosen for a pool and are not yet recorded as its members.
    fn joining_machines(&self, pool: &PoolName) -> Vec<MachineId> {
        let machines = self.machines.values();
        let chosen = machines
            .filter(|m| m.pool.membership.is_none() && m.pool.joining.as_ref() == Some(pool));
        chosen.map(|m| m.id.clone()).collect()
    }

    /// The total price of machines per hour.
    fn cost_per_hour<'a>(&self, ids: impl IntoIterator<Item = &'a MachineId>) -> f64 {
        let machines = ids.into_iter().filter_map(|id| self.machines.get(id));
        machines.map(price_per_hour).sum()
    }

    /// Chooses up to `missing` surplus machines within the budget to join a pool. `budget` is a
    /// price per hour; `None` means no limit.
    fn choose_joining(
        &mut self,
        ctx: &mut Context,
        pool: &Pool,
        missing: u32,
        budget: Option<f64>,
        surplus: &mut SurplusMachines,
    ) -> Vec<MachineId> {
        let image = ctx.images.intern(&pool.image);
        let may_join =
            |m: &&Machine| pool_allows_machine(ctx, pool, m) && m.cache_gb >= pool.image_gb;
        let machines = surplus.machines.iter();
        let machines = machines.filter_map(|id| self.machines.get(id));
        let allowed: Vec<&Machine> = machines.filter(may_join).collect();
        let candidate = |machine: &&Machine| PoolCandidate {
            has_image: machine.cached_images.iter().any(|(held, _)| *held == image),
            is_up: machine.last_heartbeat_at.is_some(),
            price_per_hour: price_per_hour(machine),
        };
        let candidates: Vec<PoolCandidate> = allowed.iter().map(candidate).collect();
        let chosen = candidates_to_add(&candidates, missing, budget).into_iter();
        let chosen: Vec<MachineId> = chosen.map(|i| allowed[i].id.clone()).collect();
        for id in &chosen {
            surplus.machines.remove(id);
            if let Some(machine) = self.machines.get_mut(id) {
                machine.pool.joining = Some(pool.name.clone());
                machine.idle_since = None;
                self.machines_to_reconcile.mark_due(id);
            }
        }
        chosen
    }

    /// The existing machines and the machines being provisioned that nothing needs.
    fn surplus_machines(
        &self,
        view: &ClusterView,
        expected: &ExpectedMachines,
        hosts: &[MachineSnapshot],
    ) -> SurplusMachines {
        let is_unused =
            |host: &MachineSnapshot| host.free == host.total && !host.is_held_for_aged_job;
        let may_join = |id: &&MachineId| {
            let machine = self.machines.get(*id);
            !is_requested_by_other_shard(view, id) && machine.is_some_and(is_unneeded)
        };
        let unused = hosts.iter().enumerate().filter(|(_, h)| is_unused(h));
        let machines = unused.filter_map(|(host, _)| expected.pool_candidate(host));
        let provisioned = hosts.iter().skip(expected.first_provisioned_host());
        SurplusMachines {
            machines: machines.filter(may_join).cloned().collect(),
            provisioned: provisioned
                .filter(|host| is_unused(host))
                .map(ProvisionedMachine::from)
                .collect(),
        }
    }
}

/// Whether a machine is unused and in a state that allows it to join a pool.
fn is_unneeded(machine: &Machine) -> bool {
    machine.tasks.is_empty()
        && machine.orphans.is_empty()
        && machine.decommission_reason.is_none()
        && machine.transfer_version.is_none()
        && machine.spot_reclaim_at.is_none()
        && !machine.is_vacating
        && !machine.is_draining
        && machine.pool.membership.is_none()
        && machine.pool.joining.is_none()
}

/// The price of a machine per hour.
pub(super) fn price_per_hour(machine: &Machine) -> f64 {
    machine.price_per_second * SECONDS_PER_HOUR
}

/// Time from the request of a machine until it holds the pool's image, in milliseconds, for the
/// slowest machine type that the pool allows.
fn max_startup_ms(pool: &Pool, catalog: &[MachineType]) -> Ms {
    let allowed = catalog.iter().filter(|t| pool.price_of(t).is_some());
    let ready_s = allowed.map(|t| t.boot_s + pool.image_gb / t.fetch_gb_per_s.max(MIN_FETCH_RATE));
    crate::seconds_to_ms(ready_s.fold(0.0, f64::max))
}

/// The unmet demand of a pool: machines of any type that the pool allows and its budget covers.
/// Each requires the whole capacity of the smallest of these types.
fn missing_shape(
    pool: &Pool,
    missing: u32,
    budget: Option<f64>,
    catalog: &[MachineType],
) -> Option<ShapeRecord> {
    let affordable_price = |t: &&MachineType| {
        pool.price_of(t)
            .filter(|price| affordable_machines(1, *price, budget) > 0)
    };
    let types: Vec<&MachineType> = catalog
        .iter()
        .filter(|t| affordable_price(t).is_some())
        .collect();
    let prices = types.iter().filter_map(affordable_price);
    let min_price = prices.min_by(f64::total_cmp)?;
    let count = affordable_machines(missing, min_price, budget);
    let capacities = types.iter().map(|t| capacity_of(t));
    let smallest: Resources = capacities.reduce(|a, b| a.component_min(&b))?;
    (count > 0).then(|| ShapeRecord {
        milli_resources: (smallest.milli_cpus, smallest.milli_gpus, smallest.memory_mb),
        count,
        types: Some(types.iter().map(|t| t.name.clone()).collect()),
        zones: (!pool.zones.is_empty()).then(|| pool.zones.clone()),
        spot: pool.spot,
        // Machines that other shards do not need also satisfy the demand, unless the pool allows
        // only spot machines.
        is_headroom: !pool.spot,
        may_reclaim: false,
        is_borrowing: pool.spot,
        is_gang: false,
    })
}
