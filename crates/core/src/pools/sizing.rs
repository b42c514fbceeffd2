//! How many machines a pool has: which join and leave, and what is asked of the leader.
//!
//! This comes at the end of a round, behind everything that waits for room and behind
//! spare places: a pool takes only machines that nothing needs, and rents only after all
//! else.

use crate::context::Context;
use crate::membership::format::FormatVersion;
use crate::records::{capacity_of, ShapeRecord};
use crate::shard::demand::OVERDUE_BOOTS;
use crate::shard::machine::Machine;
use crate::shard::Shard;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_pools::choice::{affordable, joining, leaving, target, Candidate};
use forkshift_pools::{Pool, PoolName};
use forkshift_sched::{Host, Resources};
use forkshift_wire::cloud::MachineType;
use forkshift_wire::MachineId;
use std::collections::BTreeSet;

/// Which machines the hosts at the end of a round are: those that are usable, then those
/// that are drained, those that boot, and those of rentals under way.
pub(crate) struct ExpectedMachines<'a> {
    /// Machines on which tasks may be placed.
    pub(crate) usable: &'a [MachineId],
    /// How many are being drained.
    pub(crate) draining: usize,
    /// Machines that boot.
    pub(crate) booting: &'a [MachineId],
}

impl ExpectedMachines<'_> {
    /// The machine behind a host, if it may join a pool.
    fn machine(&self, host: usize) -> Option<&MachineId> {
        let booting = self.usable.len() + self.draining;
        match host {
            _ if host < self.usable.len() => self.usable.get(host),
            _ if host >= booting => self.booting.get(host - booting),
            _ => None,
        }
    }

    /// Where hosts of rentals under way begin.
    fn rentals(&self) -> usize {
        self.usable.len() + self.draining + self.booting.len()
    }
}

/// What nothing needs, for pools to take in turn.
struct SurplusMachines {
    machines: BTreeSet<MachineId>,
    /// Machines that are being rented: type, zone, kind.
    rentals: Vec<(u16, u16, bool)>,
}

impl Shard {
    /// Lets machines join and leave the shard's pools, and returns what is to be rented
    /// for them. `hosts` shows what is left of machines once everything is booked.
    pub(crate) fn keep_pools(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        coming: &ExpectedMachines,
        hosts: &[Host],
    ) -> Vec<ShapeRecord> {
        if ctx.format < FormatVersion::POOLS {
            return Vec::new();
        }
        self.note_withdrawn(ctx);
        let ours = ctx.config.ops.pools.iter();
        let ours = ours.filter(|pool| self.teams.contains_key(&pool.team));
        let pools: Vec<Pool> = ours.cloned().collect();
        if pools.is_empty() {
            return Vec::new();
        }
        let members = self.members();
        let mut unneeded = self.unneeded(view, coming, hosts);
        let catalog: Vec<MachineType> = view
            .machine_types
            .values()
            .map(|t| t.record.clone())
            .collect();
        let mut shapes = Vec::new();
        for pool in &pools {
            let ids = members.get(&pool.name).map_or(&[][..], Vec::as_slice);
            let machines = self.size_of(ctx, pool, &catalog);
            self.note_asked(ctx, pool, machines);
            shapes.extend(self.keep_pool(ctx, pool, machines, ids, &mut unneeded, &catalog));
        }
        shapes
    }

    /// How many machines a pool should have now. It is ready when its window begins, and
    /// has none as long as the catalogue speaks against it.
    fn size_of(&mut self, ctx: &Context, pool: &Pool, catalog: &[MachineType]) -> u32 {
        match pool.check_catalog(catalog) {
            Ok(()) => drop(self.pools.problems.remove(&pool.name)),
            Err(problem) => {
                let known = self
                    .pools
                    .problems
                    .insert(pool.name.clone(), problem.clone());
                if known.as_ref() != Some(&problem) {
                    log::error!("{problem}: it gets no machine");
                }
                return 0;
            }
        }
        let lead = ready_ms(pool, catalog);
        let size = pool
            .calendar
            .size_within(ctx.wall_clock_ms, ctx.wall_clock_ms + lead);
        let handed_out = self.pools.handed_out_within(&pool.name, ctx.now, lead);
        target(size, handed_out)
    }

    /// Chooses who joins and leaves one pool, and returns what is missing.
    fn keep_pool(
        &mut self,
        ctx: &mut Context,
        pool: &Pool,
        machines: u32,
        ids: &[MachineId],
        unneeded: &mut SurplusMachines,
        catalog: &[MachineType],
    ) -> Option<ShapeRecord> {
        let (overdue, ids): (Vec<&MachineId>, Vec<&MachineId>) =
            ids.iter().partition(|id| self.is_overdue(ctx, id));
        let members = self.as_members(pool, &ids);
        let leave = leaving(&members, machines, pool.cost_per_hour_most);
        for (place, id) in ids.iter().enumerate() {
            if let Some(machine) = self.machines.get_mut(*id) {
                machine.pool.is_surplus = leave.contains(&place);
                if machine.pool.is_surplus {
                    self.recheck.touch(id);
                }
            }
        }
        let on_the_way = self.joining(&pool.name);
        let stay = ids.len() - leave.len() + on_the_way.len();
        let mut missing = machines.saturating_sub(stay as u32);
        let mut cost = self.cost_of(ids.iter().copied());
        cost -= self.cost_of(leave.iter().map(|place| ids[*place]));
        cost += self.cost_of(overdue) + self.cost_of(&on_the_way);
        let mut cost_left = pool.cost_per_hour_most.map(|most| most - cost);
        let joined = self.choose_joining(ctx, pool, missing, cost_left, unneeded);
        missing -= joined.len() as u32;
        cost_left = cost_left.map(|left| left - self.cost_of(&joined));
        missing -= unneeded.take_rentals(ctx, pool, missing);
        missing_shape(pool, missing, cost_left, catalog)
    }

    /// Whether a machine should be up by now. It may come much later, or never, so
    /// another one is asked for in its place; if it comes after all, one of them leaves.
    fn is_overdue(&self, ctx: &Context, id: &MachineId) -> bool {
        let machine = self.machines.get(id);
        machine.is_some_and(|m| {
            let due = m.known_since + (m.boot_ms as f64 * OVERDUE_BOOTS) as Ms;
            m.last_heartbeat_at.is_none() && ctx.now >= due
        })
    }

    /// Machines that were chosen for a pool, and are not recorded as its members yet.
    fn joining(&self, pool: &PoolName) -> Vec<MachineId> {
        let machines = self.machines.values();
        let chosen = machines
            .filter(|m| m.pool.membership.is_none() && m.pool.joining.as_ref() == Some(pool));
        chosen.map(|m| m.id.clone()).collect()
    }

    /// What machines cost an hour.
    fn cost_of<'a>(&self, ids: impl IntoIterator<Item = &'a MachineId>) -> f64 {
        let machines = ids.into_iter().filter_map(|id| self.machines.get(id));
        machines.map(hourly).sum()
    }

    /// Chooses machines that nothing needs to join a pool.
    fn choose_joining(
        &mut self,
        ctx: &mut Context,
        pool: &Pool,
        missing: u32,
        cost_left: Option<f64>,
        unneeded: &mut SurplusMachines,
    ) -> Vec<MachineId> {
        let image = ctx.images.number(&pool.image);
        let is_allowed = |machine: &&Machine| {
            let of_type = ctx.places.name(machine.machine_type).unwrap_or_default();
            let zone = ctx.places.name(machine.zone).unwrap_or_default();
            pool.allows(of_type, zone, machine.spot) && machine.cache_gb >= pool.image_gb
        };
        let machines = unneeded.machines.iter();
        let machines = machines.filter_map(|id| self.machines.get(id));
        let allowed: Vec<&Machine> = machines.filter(is_allowed).collect();
        let candidate = |machine: &&Machine| Candidate {
            has_image: machine.images.iter().any(|(held, _)| *held == image),
            is_up: machine.last_heartbeat_at.is_some(),
            price: hourly(machine),
        };
        let candidates: Vec<Candidate> = allowed.iter().map(candidate).collect();
        let chosen = joining(&candidates, missing, cost_left);
        let chosen: Vec<MachineId> = chosen.into_iter().map(|i| allowed[i].id.clone()).collect();
        for id in &chosen {
            unneeded.machines.remove(id);
            if let Some(machine) = self.machines.get_mut(id) {
                machine.pool.joining = Some(pool.name.clone());
                machine.idle_since = None;
                self.recheck.touch(id);
            }
        }
        chosen
    }

    /// Machines that nothing needs, and rentals that nothing waits for.
    fn unneeded(
        &self,
        view: &ClusterView,
        coming: &ExpectedMachines,
        hosts: &[Host],
    ) -> SurplusMachines {
        let is_whole = |host: &Host| host.free == host.total && !host.held;
        let may_join = |id: &&MachineId| {
            let wanted = view
                .machines
                .get(*id)
                .is_some_and(|m| m.record.reassign_to.is_some());
            let machine = self.machines.get(*id);
            !wanted && machine.is_some_and(is_unneeded)
        };
        let whole = hosts.iter().enumerate().filter(|(_, host)| is_whole(host));
        let machines = whole.filter_map(|(i, _)| coming.machine(i));
        let machines = machines.filter(may_join).cloned().collect();
        let rentals = hosts.iter().skip(coming.rentals());
        let rentals = rentals.filter(|host| is_whole(host));
        let kind = |host: &Host| (host.machine_type, host.zone, host.spot);
        SurplusMachines {
            machines,
            rentals: rentals.map(kind).collect(),
        }
    }
}

impl SurplusMachines {
    /// Counts rentals under way towards a pool, and says how many.
    fn take_rentals(&mut self, ctx: &Context, pool: &Pool, most: u32) -> u32 {
        let mut taken = 0;
        self.rentals.retain(|(machine_type, zone, spot)| {
            let of_type = ctx.places.name(*machine_type).unwrap_or_default();
            let zone = ctx.places.name(*zone).unwrap_or_default();
            let takes = taken < most && pool.allows(of_type, zone, *spot);
            taken += u32::from(takes);
            !takes
        });
        taken
    }
}

/// Whether a machine without tasks is free to join a pool.
fn is_unneeded(machine: &Machine) -> bool {
    machine.tasks.is_empty()
        && machine.orphans.is_empty()
        && machine.decommission_reason.is_none()
        && machine.transfer_version.is_none()
        && machine.reclaimed_at.is_none()
        && !machine.is_vacating
        && !machine.is_draining
        && machine.pool.membership.is_none()
        && machine.pool.joining.is_none()
}

/// Price an hour.
pub(super) fn hourly(machine: &Machine) -> f64 {
    machine.price * 3600.0
}

/// How long a machine takes to be ready, of the slowest type that a pool may use.
fn ready_ms(pool: &Pool, catalog: &[MachineType]) -> Ms {
    let allowed = catalog.iter().filter(|t| pool.price_of(t).is_some());
    let ready_s = allowed.map(|t| t.boot_s + pool.image_gb / t.fetch_gb_per_s.max(1e-9));
    crate::ms(ready_s.fold(0.0, f64::max))
}

/// Machines that are to be rented for a pool: of any type that it may use and afford, as
/// a shape that takes the whole of the smallest of them.
fn missing_shape(
    pool: &Pool,
    missing: u32,
    cost_left: Option<f64>,
    catalog: &[MachineType],
) -> Option<ShapeRecord> {
    let price = |t: &MachineType| {
        pool.price_of(t)
            .filter(|p| affordable(1, *p, cost_left) > 0)
    };
    let types: Vec<&MachineType> = catalog.iter().filter(|t| price(t).is_some()).collect();
    let cheapest = types
        .iter()
        .filter_map(|t| price(t))
        .min_by(f64::total_cmp)?;
    let count = affordable(missing, cheapest, cost_left);
    let totals = types.iter().map(|t| capacity_of(t));
    let smallest: Resources = totals.reduce(|a, b| a.least(&b))?;
    (count > 0).then(|| ShapeRecord {
        milli_resources: (smallest.cpus, smallest.gpus, smallest.memory),
        count,
        types: Some(types.iter().map(|t| t.name.clone()).collect()),
        zones: (!pool.zones.is_empty()).then(|| pool.zones.clone()),
        spot: pool.spot,
        // Machines that other shards don't need serve as well, unless only spot will do.
        is_spare: !pool.spot,
        may_reclaim: false,
        is_borrowing: pool.spot,
        is_gang: false,
    })
}
