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
const REPORTED_DEMAND_TTL_ROUNDS: f64 = 4.0;

/// A demand that the holder of a shard has sent to the leader.
struct ShardDemandReport {
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
    requested_machines: BTreeMap<MachineId, u64>,
    /// The revision at which rebalancing was last considered.
    last_considered_revision: u64,
    reported_demands: BTreeMap<ShardId, ShardDemandReport>,
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
        let ttl = crate::ms(ctx.config.operator.round_interval_s * REPORTED_DEMAND_TTL_ROUNDS);
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
    pub(super) fn observe_changes(&mut self, revision: u64) -> bool {
        let has_changed = revision > self.last_considered_revision || self.has_new_demands;
        if has_changed {
            self.last_considered_revision = revision;
            self.has_new_demands = false;
        }
        has_changed
    }

    /// Drops requests that the view shows to be carried out or refused.
    fn drop_completed_requests(&mut self, view: &ClusterView) {
        self.requested_machines.retain(|id, requested_version| {
            let machine = view.machines.get(id);
            machine.is_some_and(|machine| machine.version <= *requested_version)
        });
    }

    /// Capacities of the machines that a shard is about to be given.
    fn requested_capacities(&self, view: &ClusterView, shard_id: ShardId) -> Vec<Resources> {
        self.requested_machines
            .keys()
            .filter_map(|id| view.machines.get(id))
            .filter(|machine| machine.record.reassign_to == Some(shard_id))
            .filter_map(|machine| capacity_of_type(view, &machine.record.machine_type))
            .collect()
    }
}

/// Tasks for which machines may be moved.
struct TransferRequest<'a> {
    /// The shard that needs them.
    shard_id: ShardId,
    shape: &'a ShapeRecord,
    /// Whether it may take spare machines of other shards, beside surplus ones.
    may_take_reserved: bool,
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
        let reported = ShardDemandReport {
            epoch,
            received_at: now,
            record,
        };
        rebalancing.reported_demands.insert(shard_id, reported);
        rebalancing.has_new_demands = true;
    }

    /// Moves free machines to shards with waiting tasks: what waits takes any
    /// that is free, and spare places take what no other shard needs.
    pub(super) fn rebalance_machines(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) {
        self.rebalancing.drop_completed_requests(view);
        for (shard_id, demand) in demands {
            let mut free_capacities = self.rebalancing.requested_capacities(view, *shard_id);
            for request in requests_of(*shard_id, demand) {
                self.request_machines(ctx, view, demands, &request, &mut free_capacities);
            }
        }
    }

    /// Requests machines of other shards until all tasks of a shape have free.
    /// `free_capacities` is what is left of the machines that were requested for the shard.
    fn request_machines(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
        request: &TransferRequest,
        free_capacities: &mut Vec<Resources>,
    ) {
        let task = request.shape.resources();
        let mut remaining = request.shape.count;
        for free in free_capacities.iter_mut() {
            remaining -= reserve(free, &task, remaining);
        }
        while remaining > 0 {
            let found = self
                .find_empty_machine(view, demands, request)
                .or_else(|| self.find_reclaimable_machine(view, demands, request));
            let Some((id, machine)) = found.and_then(|id| Some((id, view.machines.get(id)?)))
            else {
                return;
            };
            let capacity = capacity_of_type(view, &machine.record.machine_type);
            let mut free = capacity.unwrap_or_default();
            remaining -= reserve(&mut free, &task, remaining);
            free_capacities.push(free);
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
            .requested_machines
            .insert(id.clone(), machine.version);
        ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
    }

    /// A free machine of another shard that a shape may use.
    fn find_empty_machine<'a>(
        &self,
        view: &ClusterView,
        demands: &'a BTreeMap<ShardId, DemandRecord>,
        request: &TransferRequest,
    ) -> Option<&'a MachineId> {
        let candidates = demands.iter().flat_map(|(owner, demand)| {
            // A shard that has waiting tasks itself gives no spare machines away.
            let offers_reserved = request.may_take_reserved && demand.waiting.is_empty();
            let reserved_machines = demand
                .spare_machines
                .iter()
                .filter(move |_| offers_reserved);
            let machines = demand.surplus_machines.iter().chain(reserved_machines);
            machines.map(move |id| (*owner, id))
        });
        self.find_first_transferable(view, request, candidates)
    }

    /// A machine of another shard that holds nothing but borrowed work, for a
    /// shape that may have it given back.
    fn find_reclaimable_machine<'a>(
        &self,
        view: &ClusterView,
        demands: &'a BTreeMap<ShardId, DemandRecord>,
        request: &TransferRequest,
    ) -> Option<&'a MachineId> {
        if !request.shape.may_reclaim {
            return None;
        }
        let is_gang = request.shape.is_gang;
        let candidates = demands.iter().flat_map(|(owner, demand)| {
            let pool_machines = demand.pool_machines.iter().filter(move |_| is_gang);
            let machines = demand.reclaimable_machines.iter().chain(pool_machines);
            machines.map(move |id| (*owner, id))
        });
        self.find_first_transferable(view, request, candidates)
    }

    /// The first of some machines, each named with its shard, that may be moved.
    fn find_first_transferable<'a>(
        &self,
        view: &ClusterView,
        request: &TransferRequest,
        mut candidates: impl Iterator<Item = (ShardId, &'a MachineId)>,
    ) -> Option<&'a MachineId> {
        candidates
            .find(|(owner, id)| {
                *owner != request.shard_id && self.is_transferable(view, *owner, id, request.shape)
            })
            .map(|(_, id)| id)
    }

    /// Whether a machine of a shard suits a shape and may be requested.
    fn is_transferable(
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
            && !self.rebalancing.requested_machines.contains_key(id);
        is_available && is_allowed(shape, record) && fits_empty_machine(view, shape, record)
    }
}

/// What a shard's demand requests, in order: first for waiting tasks, then for
/// spare places. Borrowed work takes only what no shard needs.
fn requests_of(shard_id: ShardId, demand: &DemandRecord) -> Vec<TransferRequest<'_>> {
    let waiting = demand.waiting.iter().map(|shape| TransferRequest {
        shard_id,
        shape,
        may_take_reserved: !shape.is_borrowing,
    });
    let reserve_shapes = demand.shapes.iter().filter(|shape| shape.is_spare);
    let reserve_requests = reserve_shapes.map(|shape| TransferRequest {
        shard_id,
        shape,
        may_take_reserved: false,
    });
    waiting.chain(reserve_requests).collect()
}

/// Whether a shape's constraints allow a machine.
fn is_allowed(shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let (types, zones) = (shape.types.as_ref(), shape.zones.as_ref());
    (shape.spot || !record.spot)
        && types.is_none_or(|types| types.contains(&record.machine_type))
        && zones.is_none_or(|zones| zones.contains(&record.zone))
}

/// Whether a task of a shape fits_empty_machine an empty machine.
fn fits_empty_machine(view: &ClusterView, shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let capacity = capacity_of_type(view, &record.machine_type);
    capacity.is_some_and(|capacity| shape.resources().fits_in(&capacity))
}

/// Reserves free for up to `max_tasks` tasks, and returns for how many.
fn reserve(free: &mut Resources, task: &Resources, max_tasks: u32) -> u32 {
    let mut placed = 0;
    while placed < max_tasks && task.fits_in(free) && !task.is_zero() {
        *free -= *task;
        placed += 1;
    }
    placed
}
