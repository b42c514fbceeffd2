//! Moves free machines between shards, to where tasks wait.

use super::transactions::put_if_unchanged;
use super::{capacity_of_type, Leader};
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{machine_key, DemandRecord, MachineRecord, ShapeRecord, ShardId};
use crate::store::queue::Urgency;
use crate::store::view::{ClusterView, Versioned};
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::MachineId;
use std::collections::BTreeMap;

/// A demand that a holder has sent counts for this many rounds.
const REPORTED_DEMAND_ROUNDS: f64 = 4.0;

/// A demand that the holder of a shard has sent to the leader.
struct ReportedDemand {
    /// The epoch under which it held the shard.
    epoch: u64,
    received_at: Ms,
    record: DemandRecord,
}

/// State of the rebalancing of machines between shards.
#[derive(Default)]
pub(super) struct RebalancingState {
    /// Machines whose move was requested, with the version of the record at which
    /// it was.
    machines_requested: BTreeMap<MachineId, u64>,
    /// The revision at which rebalancing was last considered.
    considered_revision: u64,
    reported_demands: BTreeMap<ShardId, ReportedDemand>,
    /// Whether a demand was received since rebalancing was last considered.
    has_new_demands: bool,
}

impl RebalancingState {
    /// Unmet demand of each shard: what its holder sent lately, or else has written.
    pub(super) fn demands(
        &self,
        ctx: &Context,
        view: &ClusterView,
    ) -> BTreeMap<ShardId, DemandRecord> {
        let ttl = crate::ms(ctx.config.operator.round_interval_s * REPORTED_DEMAND_ROUNDS);
        let written = view
            .demands
            .iter()
            .map(|(shard_id, demand)| (*shard_id, demand.record.clone()));
        let mut demands: BTreeMap<ShardId, DemandRecord> = written.collect();
        for (shard_id, reported) in &self.reported_demands {
            let shard = view.shards.get(shard_id);
            let is_current = shard.is_some_and(|shard| shard.record.epoch == reported.epoch);
            if is_current && ctx.now <= reported.received_at + ttl {
                demands.insert(*shard_id, reported.record.clone());
            }
        }
        demands
    }

    /// Whether the view or a demand has changed since the last call.
    pub(super) fn take_changed(&mut self, revision: u64) -> bool {
        let has_changed = revision > self.considered_revision || self.has_new_demands;
        if has_changed {
            self.considered_revision = revision;
            self.has_new_demands = false;
        }
        has_changed
    }

    /// Drops requests that the view shows to be carried out or refused.
    fn drop_completed_requests(&mut self, view: &ClusterView) {
        self.machines_requested.retain(|id, requested_version| {
            let machine = view.machines.get(id);
            machine.is_some_and(|machine| machine.version <= *requested_version)
        });
    }

    /// Capacities of the machines that a shard is about to be given.
    fn requested_capacities(&self, view: &ClusterView, shard_id: ShardId) -> Vec<Resources> {
        self.machines_requested
            .keys()
            .filter_map(|id| view.machines.get(id))
            .filter(|machine| machine.record.reassign_to == Some(shard_id))
            .filter_map(|machine| capacity_of_type(view, &machine.record.machine_type))
            .collect()
    }
}

/// Tasks for which machines may be moved.
struct Request<'a> {
    /// The shard that needs them.
    shard_id: ShardId,
    shape: &'a ShapeRecord,
    /// Whether it may take spare machines of other shards, beside surplus ones.
    may_take_spares: bool,
}

impl Leader {
    /// A holder has sent the unmet demand of its shard.
    pub(crate) fn on_demand_received(
        &mut self,
        now: Ms,
        shard_id: ShardId,
        epoch: u64,
        record: DemandRecord,
    ) {
        let rebalancing = &mut self.rebalancing;
        let known = rebalancing.reported_demands.get(&shard_id);
        if known.is_some_and(|known| epoch < known.epoch) {
            return;
        }
        let reported = ReportedDemand {
            epoch,
            received_at: now,
            record,
        };
        rebalancing.reported_demands.insert(shard_id, reported);
        rebalancing.has_new_demands = true;
    }

    /// Moves free machines to shards with waiting tasks: what waits takes any
    /// that is free, and spare places take what no other shard needs.
    pub(super) fn rebalance(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) {
        self.rebalancing.drop_completed_requests(view);
        for (shard_id, demand) in demands {
            let mut rooms = self.rebalancing.requested_capacities(view, *shard_id);
            for request in requests_of(*shard_id, demand) {
                self.request_machines(ctx, view, demands, &request, &mut rooms);
            }
        }
    }

    /// Requests machines of other shards until all tasks of a shape have room.
    /// `rooms` is what is left of the machines that were requested for the shard.
    fn request_machines(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
        request: &Request,
        rooms: &mut Vec<Resources>,
    ) {
        let task = request.shape.resources();
        let mut remaining = request.shape.count;
        for room in rooms.iter_mut() {
            remaining -= reserve(room, &task, remaining);
        }
        while remaining > 0 {
            let found = self
                .find_transferable(view, demands, request)
                .or_else(|| self.find_reclaimable(view, demands, request));
            let Some((id, machine)) = found.and_then(|id| Some((id, view.machines.get(id)?)))
            else {
                return;
            };
            let capacity = capacity_of_type(view, &machine.record.machine_type);
            let mut room = capacity.unwrap_or_default();
            remaining -= reserve(&mut room, &task, remaining);
            rooms.push(room);
            self.request_machine(ctx, view, id, machine, request.shard_id);
        }
    }

    /// Requests the move of a machine to another shard from its holder.
    fn request_machine(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: &MachineId,
        machine: &Versioned<MachineRecord>,
        to: ShardId,
    ) {
        let from = machine.record.shard;
        log::info!("machine {id}: move requested, from shard {from} to shard {to}");
        let mut record = machine.record.clone();
        record.reassign_to = Some(to);
        let transaction = put_if_unchanged(view, machine_key(id), machine.version, &record);
        self.rebalancing
            .machines_requested
            .insert(id.clone(), machine.version);
        ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
    }

    /// A free machine of another shard that a shape may use.
    fn find_transferable<'a>(
        &self,
        view: &ClusterView,
        demands: &'a BTreeMap<ShardId, DemandRecord>,
        request: &Request,
    ) -> Option<&'a MachineId> {
        let candidates = demands.iter().flat_map(|(owner, demand)| {
            // A shard that has waiting tasks itself gives no spare machines away.
            let gives_spares = request.may_take_spares && demand.pending_shapes.is_empty();
            let spares = demand.spare_machines.iter().filter(move |_| gives_spares);
            let machines = demand.surplus_machines.iter().chain(spares);
            machines.map(move |id| (*owner, id))
        });
        self.find_movable(view, request, candidates)
    }

    /// A machine of another shard that holds nothing but borrowed work, for a
    /// shape that may have it given back.
    fn find_reclaimable<'a>(
        &self,
        view: &ClusterView,
        demands: &'a BTreeMap<ShardId, DemandRecord>,
        request: &Request,
    ) -> Option<&'a MachineId> {
        if !request.shape.may_reclaim {
            return None;
        }
        let is_gang = request.shape.is_gang;
        let candidates = demands.iter().flat_map(|(owner, demand)| {
            let pooled = demand.pool_machines.iter().filter(move |_| is_gang);
            let machines = demand.reclaimable_machines.iter().chain(pooled);
            machines.map(move |id| (*owner, id))
        });
        self.find_movable(view, request, candidates)
    }

    /// The first of some machines, each named with its shard, that may be moved.
    fn find_movable<'a>(
        &self,
        view: &ClusterView,
        request: &Request,
        mut candidates: impl Iterator<Item = (ShardId, &'a MachineId)>,
    ) -> Option<&'a MachineId> {
        candidates
            .find(|(owner, id)| {
                *owner != request.shard_id && self.may_move(view, *owner, id, request.shape)
            })
            .map(|(_, id)| id)
    }

    /// Whether a machine of a shard suits a shape and may be requested.
    fn may_move(
        &self,
        view: &ClusterView,
        from: ShardId,
        id: &MachineId,
        shape: &ShapeRecord,
    ) -> bool {
        let Some(record) = view.machines.get(id).map(|machine| &machine.record) else {
            return false;
        };
        let is_available = record.shard == from
            && record.reassign_to.is_none()
            && record.decommission_reason.is_none()
            && !self.rebalancing.machines_requested.contains_key(id);
        is_available && allows(shape, record) && fits(view, shape, record)
    }
}

/// What a shard's demand requests, in order: first for waiting tasks, then for
/// spare places. Borrowed work takes only what no shard needs.
fn requests_of(shard_id: ShardId, demand: &DemandRecord) -> Vec<Request<'_>> {
    let waiting = demand.pending_shapes.iter().map(|shape| Request {
        shard_id,
        shape,
        may_take_spares: !shape.is_borrowing,
    });
    let spare_shapes = demand.unmet_shapes.iter().filter(|shape| shape.is_spare);
    let spare_places = spare_shapes.map(|shape| Request {
        shard_id,
        shape,
        may_take_spares: false,
    });
    waiting.chain(spare_places).collect()
}

/// Whether a shape's constraints allow a machine.
fn allows(shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let (types, zones) = (shape.types.as_ref(), shape.zones.as_ref());
    (shape.spot || !record.spot)
        && types.is_none_or(|types| types.contains(&record.machine_type))
        && zones.is_none_or(|zones| zones.contains(&record.zone))
}

/// Whether a task of a shape fits an empty machine.
fn fits(view: &ClusterView, shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let capacity = capacity_of_type(view, &record.machine_type);
    capacity.is_some_and(|capacity| shape.resources().fits_in(&capacity))
}

/// Reserves room for up to `max_tasks` tasks, and returns for how many.
fn reserve(room: &mut Resources, task: &Resources, max_tasks: u32) -> u32 {
    let mut reserved = 0;
    while reserved < max_tasks && task.fits_in(room) && !task.is_zero() {
        *room -= *task;
        reserved += 1;
    }
    reserved
}
