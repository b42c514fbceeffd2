//! The unmet demand of a shard: what found no room on machines that are there or
//! to come, and spare places that are missing. The leader is told of it.

use crate::context::Context;
use crate::overflow::Overflow;
use crate::pending_call::PendingCall;
use crate::pools::{open_reservations, ExpectedMachines};
use crate::records::{capacity_of, demand_key, DemandRecord, ShapeRecord};
use crate::shard::machine::Machine;
use crate::shard::scheduling::{host, names};
use crate::shard::Shard;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_sched::{run_round, Host, PendingTasks, Quota, Resources, Shortfall};
use forkshift_wire::peer::Body;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::users::JobKind;
use forkshift_wire::{MachineId, TaskRef};
use serde_json::to_value;
use std::collections::{BTreeMap, BTreeSet};

/// A running task that should end within this many boots leaves a spare place.
const SOON_BOOTS: f64 = 0.8;

/// A machine that is not up after this many boots is overdue: it is not waited
/// for, and its shard asks for another one.
pub(crate) const OVERDUE_BOOTS: f64 = 1.5;

/// The part of the changes at the state service that goes into records of unmet demand.
const DEMAND_PART: f64 = 0.05;

impl Shard {
    /// Books what found no room on machines that are still to come; what is
    /// left then, and spare places, are the shard's unmet demand.
    pub(crate) fn compute_unmet_demand(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        usable: &[MachineId],
        mut hosts: Vec<Host>,
        mut wants: Vec<PendingTasks>,
        mut quotas: Vec<Quota>,
    ) {
        let _span = tracing::debug_span!("unmet_demand").entered();
        wants.sort_by(PendingTasks::by_claim);
        self.leave_out_faulty(ctx, usable, &mut hosts);
        let now = self.shapes_of(ctx, view, &wants, &mut quotas.clone());
        // What guest teams use here counts as room for all others: it can be
        // reclaimed at once. Their tasks fill spare places as soon as these are
        // free; when they counted as taken, machine after machine was rented.
        let (mut guests, mut wants): (Vec<PendingTasks>, Vec<PendingTasks>) =
            wants.into_iter().partition(|w| w.standing.is_guest());
        let reclaimable = usable.iter().map(|id| self.reclaimable_on(ctx, id));
        let reclaimable: Vec<Resources> = reclaimable.collect();
        for (host, more) in hosts.iter_mut().zip(&reclaimable) {
            host.free += *more;
        }
        let draining = self.add_draining_machines(&mut hosts);
        let booting = self.add_booting_machines(ctx, &mut hosts);
        self.add_provisioning_intents(ctx, view, &mut hosts);
        for want in &mut wants {
            want.avoid.clear();
        }
        let weights = ctx.config.ops.weights;
        let booked = run_round(&mut wants, &mut hosts, &mut quotas, &weights);
        for (i, id) in draining.iter().enumerate() {
            // What is needed again is not drained any further.
            if booked.iter().any(|b| b.host == usable.len() + i) {
                self.stop_draining(id);
            }
        }
        wants.sort_by(PendingTasks::by_claim);
        let mut shapes = self.shapes_of(ctx, view, &wants, &mut quotas);
        shapes.extend(self.book_spare_places(ctx, usable, &mut hosts));
        self.drain_guests(ctx, usable, &hosts);
        for (host, more) in hosts.iter_mut().zip(&reclaimable) {
            host.free = host.free.saturating_sub(more);
        }
        run_round(&mut guests, &mut hosts, &mut quotas, &weights);
        shapes.extend(self.shapes_of(ctx, view, &guests, &mut quotas));
        self.note_idle(ctx, usable, &hosts);
        let coming = ExpectedMachines {
            usable,
            draining: draining.len(),
            booting: &booting,
        };
        let for_pools = self.keep_pools(ctx, view, &coming, &hosts);
        // A missing spare place fits on no machine that is here, or it
        // would have been booked there; only what waits speaks against it.
        if shapes.iter().all(|s| s.is_spare || s.is_borrowing) {
            hosts.truncate(usable.len());
            self.drain(ctx, view, usable, &mut hosts);
        }
        // After everything that waits for room.
        shapes.extend(for_pools);
        let (free, surplus) = self.empty_machines(usable);
        let record = DemandRecord {
            revision: view.revision,
            shapes,
            waiting: now,
            spare_machines: free,
            surplus_machines: surplus,
            reclaimable_machines: self.borrowed_machines(ctx, usable),
            pool_machines: Vec::new(),
        };
        let record = self.with_offered_members(ctx, record);
        self.write_demand(ctx, view, record);
    }

    /// Counts on nothing from machines that may be faulty: they are tried with
    /// little, and may be given up.
    fn leave_out_faulty(&self, ctx: &Context, usable: &[MachineId], hosts: &mut [Host]) {
        for (id, host) in usable.iter().zip(hosts) {
            host.held = false;
            if self.newly_quarantined(ctx, id) {
                host.free = Resources::default();
            }
        }
    }

    /// Adds the machines that are being drained, and names them.
    fn add_draining_machines(&self, hosts: &mut Vec<Host>) -> Vec<MachineId> {
        let draining = self.machines.values().filter(|m| m.is_draining);
        let mut ids = Vec::new();
        for machine in draining {
            ids.push(machine.id.clone());
            hosts.push(host(machine));
        }
        ids
    }

    /// Adds the machines that boot, and names them. One that is overdue may come much later, or
    /// never.
    fn add_booting_machines(&self, ctx: &Context, hosts: &mut Vec<Host>) -> Vec<MachineId> {
        let mut ids = Vec::new();
        for machine in self.machines.values() {
            let overdue = (machine.boot_ms as f64 * OVERDUE_BOOTS) as Ms;
            let due = ctx.now < machine.known_since + overdue;
            if machine.last_heartbeat_at.is_none() && machine.decommission_reason.is_none() && due {
                hosts.push(expected_machines(machine.total, machine, ctx.now));
                ids.push(machine.id.clone());
            }
        }
        ids
    }

    /// Books spare places, also on what comes free soon, and returns those that
    /// are missing.
    fn book_spare_places(
        &mut self,
        ctx: &mut Context,
        usable: &[MachineId],
        hosts: &mut [Host],
    ) -> Vec<ShapeRecord> {
        let mut soon = hosts.to_vec();
        for (id, host) in usable.iter().zip(&mut soon) {
            host.free += self.free_soon(ctx, id);
        }
        let missing = self.spare_shapes(ctx, &mut soon);
        for (host, after) in hosts.iter_mut().zip(&soon) {
            host.free = host.free.least(&after.free);
        }
        missing
    }

    /// Empty machines that are kept as spare, and those that nothing needs.
    fn empty_machines(&self, usable: &[MachineId]) -> (Vec<MachineId>, Vec<MachineId>) {
        let empty = usable.iter().filter_map(|id| self.machines.get(id));
        let is_empty = |m: &&Machine| {
            m.tasks.is_empty()
                && !m.has_call_in_flight
                && m.exited.is_empty()
                && !m.is_pool_member()
        };
        let empty = empty.filter(is_empty);
        let (surplus, free): (Vec<&Machine>, Vec<&Machine>) =
            empty.partition(|m| m.idle_since.is_some());
        let ids = |list: Vec<&Machine>| list.into_iter().map(|m| m.id.clone()).collect();
        (ids(free), ids(surplus))
    }

    /// The tasks that wait, as shapes, as far as the quotas allow.
    fn shapes_of(
        &self,
        ctx: &mut Context,
        view: &ClusterView,
        wants: &[PendingTasks],
        quotas: &mut [Quota],
    ) -> Vec<ShapeRecord> {
        let mut shapes: Vec<ShapeRecord> = Vec::new();
        let names: BTreeMap<u16, String> = type_names(ctx, view);
        let zone_names: BTreeMap<u16, String> = view
            .zones()
            .into_iter()
            .map(|z| (ctx.places.number(z), z.to_owned()))
            .collect();
        let mut held: BTreeMap<usize, Shortfall> = BTreeMap::new();
        for want in wants {
            // What a round keeps from being placed needs no machine either.
            if held.get(&want.team).is_some_and(|s| s.concerns(&want.task)) {
                continue;
            }
            if want.reservation.reserves() && !want.waiting.is_empty() {
                let short = held.entry(want.team).or_default();
                *short = short.or(&quotas[want.team].shortfall(&want.task));
            }
            let mut n = 0;
            while n < want.waiting.len() && quotas[want.team].allows(&want.task) {
                quotas[want.team].used += want.task;
                n += 1;
            }
            if n == 0 || (want.gang && n < want.waiting.len()) {
                continue;
            }
            let allowed = zone_names.iter().filter(|(z, _)| want.zone_allowed(**z));
            let allowed: Vec<String> = allowed.map(|(_, name)| name.clone()).collect();
            let types = want.types.as_ref();
            add_shape(
                &mut shapes,
                ShapeRecord {
                    milli_resources: (want.task.cpus, want.task.gpus, want.task.memory),
                    count: n as u32,
                    types: types.map(|t| t.iter().filter_map(|t| names.get(t).cloned()).collect()),
                    zones: (allowed.len() < zone_names.len()).then_some(allowed),
                    spot: want.spot,
                    is_spare: false,
                    may_reclaim: want.reclaim.reclaims_machines(),
                    is_borrowing: want.standing.borrows(),
                    is_gang: want.gang && ctx.has_pools(),
                },
            );
        }
        shapes
    }

    fn add_provisioning_intents(
        &self,
        ctx: &mut Context,
        view: &ClusterView,
        hosts: &mut Vec<Host>,
    ) {
        for intent in view.provisioning_intents.values().map(|c| &c.record) {
            let Some(of_type) = view.machine_types.get(&intent.machine_type) else {
                continue;
            };
            let left = intent
                .shards_in_turn()
                .into_iter()
                .skip(intent.placed as usize);
            let t = &of_type.record;
            for _ in left.filter(|k| *k == self.id) {
                hosts.push(Host {
                    free: capacity_of(t),
                    total: capacity_of(t),
                    machine_type: ctx.places.number(&intent.machine_type),
                    zone: ctx.places.number(&intent.zone),
                    spot: intent.spot,
                    price: t.price / 3600.0,
                    fetch_rate: t.fetch_gb_per_s,
                    images: BTreeSet::new(),
                    held: false,
                    delay: t.boot_s,
                    reserved_for: None,
                });
            }
        }
    }

    /// Books spare places for classes whose tasks must start sooner than a
    /// machine boots, and returns those that found none.
    fn spare_shapes(&mut self, ctx: &mut Context, hosts: &mut [Host]) -> Vec<ShapeRecord> {
        let boot_s = self.boot_ms() as f64 / 1000.0;
        let mut missing = Vec::new();
        let now = ctx.now;
        let factor = ctx.config.ops.spare;
        if self.arrivals_counted_since.is_none()
            && self
                .machines
                .values()
                .any(|m| m.last_heartbeat_at.is_some())
        {
            self.arrivals_counted_since = Some(now);
        }
        let elapsed = self.arrivals_counted_since.map_or(0, |t| now - t);
        let mut classes: Vec<(f64, ShapeRecord, f64, BTreeSet<u32>)> = Vec::new();
        for (class, stats) in &mut self.classes {
            let Some(wait) = ctx.config.waits.get(class) else {
                continue;
            };
            if *wait < boot_s {
                let open = open_reservations(ctx, &stats.last_team, &stats.last_image);
                classes.push((*wait, stats.last.clone(), stats.rate(now, elapsed), open));
            }
        }
        classes.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, shape, rate, open) in classes {
            let arrive = rate * boot_s * factor;
            let target = (arrive + arrive.sqrt() * factor.min(1.0)).ceil() as u32;
            let task = shape.resources();
            let types = names(ctx, shape.types.as_deref());
            let mut left = target;
            for host in hosts.iter_mut() {
                // Arrivals that find a pool's machine need no spare place besides.
                let is_open = host
                    .reserved_for
                    .is_none_or(|number| open.contains(&number));
                let allowed = is_open
                    && (shape.spot || !host.spot)
                    && types
                        .as_ref()
                        .is_none_or(|t| t.contains(&host.machine_type));
                while left > 0 && allowed && task.fits(&host.free) {
                    host.free -= task;
                    left -= 1;
                }
            }
            if left > 0 {
                add_shape(
                    &mut missing,
                    ShapeRecord {
                        count: left,
                        ..shape
                    },
                );
            }
        }
        missing
    }

    /// What will be free on a machine before another could be up, as far as
    /// estimates tell: it serves as spare as well as a new machine would.
    fn free_soon(&self, ctx: &Context, id: &MachineId) -> Resources {
        let Some(machine) = self.machines.get(id) else {
            return Resources::default();
        };
        let by = ctx.now + (machine.boot_ms as f64 * SOON_BOOTS) as Ms;
        let ends = |task: &&TaskRef| {
            let job = self.jobs.get(&task.job)?;
            let binding = job.bound.get(&task.index)?;
            let end = binding.running_since? + crate::ms(job.spec.estimate_s);
            let ends_soon = job.spec.kind != JobKind::Service && end < by;
            (ends_soon && !self.is_reclaimable(ctx, job, binding)).then_some(job.task)
        };
        let tasks = machine.tasks.iter();
        tasks
            .filter_map(|t| ends(&t))
            .fold(Resources::default(), |sum, r| sum + r)
    }

    /// Notes since when a machine has been of no use.
    fn note_idle(&mut self, ctx: &Context, usable: &[MachineId], hosts: &[Host]) {
        for machine in self.machines.values_mut().filter(|m| m.is_draining) {
            if machine.note_empty(machine.tasks.is_empty(), ctx.now) {
                self.recheck.touch(&machine.id);
            }
        }
        for (id, host) in usable.iter().zip(hosts) {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            let empty =
                machine.tasks.is_empty() && host.free == machine.total && !machine.is_pool_member();
            if machine.note_empty(empty, ctx.now) {
                self.recheck.touch(id);
            }
        }
    }

    /// Tells the leader the unmet demand, whenever that changes, and now and
    /// then that it has not.
    fn send_demand(&mut self, ctx: &mut Context, view: &ClusterView, record: &DemandRecord) {
        let Some(leader) = view.leader.as_ref().map(|l| l.record.clone()) else {
            return;
        };
        let refresh = crate::ms(ctx.config.ops.round_s);
        if record.has_same_demand(&self.last_demand_sent)
            && ctx.now < self.last_demand_sent_at + refresh
        {
            return;
        }
        self.last_demand_sent = record.clone();
        self.last_demand_sent_at = ctx.now;
        if leader.node == ctx.config.node {
            ctx.unmet_demand.push((self.id, self.epoch, record.clone()));
            return;
        }
        let cut = record.clone().truncated_to(ctx.config.bounds.list_bytes);
        if !cut.has_same_demand(record) {
            ctx.overflows.note(ctx.now, Overflow::Demand);
        }
        let body = Body::UnmetDemand {
            shard: self.id.0,
            demand: serde_json::to_string(&cut).unwrap_or_default(),
        };
        ctx.send_to_peer(&leader.node, self.epoch, body);
    }

    fn write_demand(&mut self, ctx: &mut Context, view: &ClusterView, record: DemandRecord) {
        self.send_demand(ctx, view, &record);
        // The record is for a leader that our messages do not reach.
        let shards = f64::from(ctx.config.shards());
        let pause = crate::ms(shards / (ctx.limits.write_rps * DEMAND_PART)).max(1_500);
        let unseen = self.is_writing_demand || view.revision < self.demand_required_revision;
        if unseen || ctx.now < self.last_demand_write_at + pause {
            return;
        }
        let record = record.truncated_to(ctx.limits.value_bytes);
        let none = DemandRecord::default();
        let shown = view.demands.get(&self.id).map_or(&none, |d| &d.record);
        let stale = !record.shapes.is_empty() && shown.revision < view.revision;
        let changed = !record.has_same_demand(shown);
        if !(changed || stale) {
            return;
        }
        self.is_writing_demand = true;
        self.last_demand_write_at = ctx.now;
        log::debug!(
            "shard {}: unmet demand {:?}, {:?} wait now",
            self.id,
            record.shapes,
            record.waiting
        );
        let transaction = Transaction {
            preconditions: vec![self.held_precondition()],
            writes: vec![Write::put(
                demand_key(self.id),
                to_value(record).unwrap_or_default(),
            )],
        };
        let shard = self.id;
        ctx.transact(
            Urgency::Background,
            &transaction,
            PendingCall::DemandWrite { shard },
        );
    }
}

fn add_shape(shapes: &mut Vec<ShapeRecord>, shape: ShapeRecord) {
    let same = |s: &&mut ShapeRecord| {
        s.milli_resources == shape.milli_resources
            && s.types == shape.types
            && s.zones == shape.zones
            && s.spot == shape.spot
            && s.may_reclaim == shape.may_reclaim
            && s.is_borrowing == shape.is_borrowing
            && s.is_gang == shape.is_gang
    };
    match shapes.iter_mut().find(same) {
        Some(known) => known.count += shape.count,
        None => shapes.push(shape),
    }
}

fn type_names(ctx: &mut Context, view: &ClusterView) -> BTreeMap<u16, String> {
    let types = view.machine_types.keys();
    types.map(|t| (ctx.places.number(t), t.clone())).collect()
}

fn expected_machines(free: Resources, m: &Machine, now: Ms) -> Host {
    let left = m.boot_ms.saturating_sub(now.saturating_sub(m.known_since));
    Host {
        free,
        delay: left as f64 / 1000.0,
        ..host(m)
    }
}
