//! Rebalancing of machines: moves empty and reclaimable machines from other shards
//! to shards with pending tasks.

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

/// A demand that a holder has sent is valid for this many scheduling rounds.
const REPORTED_DEMAND_TTL_ROUNDS: f64 = 4.0;

/// The unmet demand of a shard, as its holder sent it to the leader.
struct ShardDemandReport {
    /// The epoch of the shard under which the demand was sent.
    epoch: u64,
    received_at: Ms,
    record: DemandRecord,
}

/// State of the rebalancing of machines between shards.
#[derive(Default)]
pub(super) struct RebalancingState {
    /// Machines whose move was requested, with the version of the machine record
    /// that the request was based on.
    requested_machines: BTreeMap<MachineId, u64>,
    /// Revision of the view at which rebalancing last ran.
    last_considered_revision: u64,
    /// The latest demand that was received for each shard.
    reported_demands: BTreeMap<ShardId, ShardDemandReport>,
    /// Whether a demand was received since rebalancing last ran.
    has_new_demands: bool,
}

impl RebalancingState {
    /// Unmet demand of each shard: the demand that its current holder has sent, if
    /// it is still valid, or else the shard's demand record.
    pub(super) fn demands(
        &self,
        ctx: &Context,
        view: &ClusterView,
    ) -> BTreeMap<ShardId, DemandRecord> {
        let ttl =
            crate::seconds_to_ms(ctx.config.operator.round_interval_s * REPORTED_DEMAND_TTL_ROUNDS);
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

    /// Returns whether the view or a demand has changed since the last call.
    pub(super) fn observe_changes(&mut self, revision: u64) -> bool {
        let has_changed = revision > self.last_considered_revision || self.has_new_demands;
        if has_changed {
            self.last_considered_revision = revision;
            self.has_new_demands = false;
        }
        has_changed
    }

    /// Drops requests whose machine record has changed or was removed since: the
    /// request was carried out or refused.
    fn drop_completed_requests(&mut self, view: &ClusterView) {
        self.requested_machines.retain(|id, requested_version| {
            let machine = view.machines.get(id);
            machine.is_some_and(|machine| machine.version <= *requested_version)
        });
    }

    /// Capacities of the machines whose move to a shard is in progress.
    fn requested_capacities(&self, view: &ClusterView, shard_id: ShardId) -> Vec<Resources> {
        self.requested_machines
            .keys()
            .filter_map(|id| view.machines.get(id))
            .filter(|machine| machine.record.reassign_to == Some(shard_id))
            .filter_map(|machine| capacity_of_type(view, &machine.record.machine_type))
            .collect()
    }
}

/// Tasks of one shape for which machines are moved to a shard.
struct TransferRequest<'a> {
    /// The shard that needs the machines.
    shard_id: ShardId,
    shape: &'a ShapeRecord,
    /// Whether machines that other shards hold in reserve may be taken, in addition
    /// to surplus machines.
    may_take_reserved: bool,
}

impl Leader {
    /// Handles the unmet demand that a holder has sent. A demand under an older
    /// epoch than the last one is ignored.
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

    /// Requests the move of machines to shards with unmet demand. Pending tasks
    /// may take surplus machines and machines held in reserve; missing reserved
    /// capacity takes only surplus machines. Shapes that may reclaim machines take
    /// reclaimable ones if no empty machine is found.
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

    /// Requests machines of other shards until their capacity covers all tasks of
    /// a shape, or no machine is left to request. `free_capacities` is the remaining
    /// capacity of each machine that was already requested for the shard.
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

    /// Writes the shard that a machine is to move to into the machine's record. The
    /// holder of the machine's present shard carries out the move.
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

    /// An empty machine of another shard that suits the request.
    fn find_empty_machine<'a>(
        &self,
        view: &ClusterView,
        demands: &'a BTreeMap<ShardId, DemandRecord>,
        request: &TransferRequest,
    ) -> Option<&'a MachineId> {
        let candidates = demands.iter().flat_map(|(owner, demand)| {
            // A shard with pending tasks of its own needs its reserve itself.
            let offers_reserved = request.may_take_reserved && demand.pending_shapes.is_empty();
            let reserved_machines = demand
                .headroom_machines
                .iter()
                .filter(move |_| offers_reserved);
            let machines = demand.surplus_machines.iter().chain(reserved_machines);
            machines.map(move |id| (*owner, id))
        });
        self.find_first_transferable(view, request, candidates)
    }

    /// A machine of another shard that holds only borrowed work or belongs to a
    /// warm pool, for a shape that may reclaim machines. Machines within a pool's
    /// minimum are for gangs only.
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

    /// The first candidate that may be moved. Each candidate is a machine with the
    /// shard that it belongs to.
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

    /// Whether the move of a machine may be requested for a shape: the machine still
    /// belongs to the shard, is not being moved or decommissioned, and suits the shape.
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

/// The requests that follow from a shard's demand: first those of pending tasks,
/// then those of missing reserved capacity. Borrowed work takes only surplus
/// machines.
fn requests_of(shard_id: ShardId, demand: &DemandRecord) -> Vec<TransferRequest<'_>> {
    let pending_requests = demand.pending_shapes.iter().map(|shape| TransferRequest {
        shard_id,
        shape,
        may_take_reserved: !shape.is_borrowing,
    });
    let reserve_shapes = demand.unmet_shapes.iter().filter(|shape| shape.is_headroom);
    let reserve_requests = reserve_shapes.map(|shape| TransferRequest {
        shard_id,
        shape,
        may_take_reserved: false,
    });
    pending_requests.chain(reserve_requests).collect()
}

/// Whether the constraints of a shape on spot, types and zones allow a machine.
fn is_allowed(shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let (types, zones) = (shape.types.as_ref(), shape.zones.as_ref());
    (shape.spot || !record.spot)
        && types.is_none_or(|types| types.contains(&record.machine_type))
        && zones.is_none_or(|zones| zones.contains(&record.zone))
}

/// Whether a task of this shape fits an empty machine of the type. False if the type
/// has no record.
fn fits_empty_machine(view: &ClusterView, shape: &ShapeRecord, record: &MachineRecord) -> bool {
    let capacity = capacity_of_type(view, &record.machine_type);
    capacity.is_some_and(|capacity| shape.resources().fits_in(&capacity))
}

/// Subtracts up to `max_tasks` tasks from the free capacity of a machine. Returns
/// how many of them fit; 0 for tasks without resources.
fn reserve(free: &mut Resources, task: &Resources, max_tasks: u32) -> u32 {
    let mut placed = 0;
    while placed < max_tasks && task.fits_in(free) && !task.is_zero() {
        *free -= *task;
        placed += 1;
    }
    placed
}
