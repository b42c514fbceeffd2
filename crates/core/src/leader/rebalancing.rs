//! Moves free machines between shards, to where tasks wait.

use super::{capacity_of_type, Leader};
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{machine_key, DemandRecord, MachineRecord, ShapeRecord, ShardId};
use crate::store::queue::Urgency;
use crate::store::view::{ClusterView, Versioned};
use crate::Ms;
use forkshift_sched::Resources;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;
use std::collections::BTreeMap;

/// A demand that a holder reported counts for this many rounds.
const REPORT_ROUNDS: f64 = 4.0;

impl Leader {
    /// A holder reports the unmet demand of its shard.
    pub(crate) fn on_demand(&mut self, now: Ms, k: ShardId, epoch: u64, record: DemandRecord) {
        if self
            .reported_demands
            .get(&k)
            .is_none_or(|(e, _, _)| epoch >= *e)
        {
            self.reported_demands.insert(k, (epoch, now, record));
            self.has_new_demands = true;
        }
    }

    /// Unmet demand: what holders reported lately, or else have written.
    pub(super) fn demands(
        &self,
        ctx: &Context,
        view: &ClusterView,
    ) -> BTreeMap<ShardId, DemandRecord> {
        let valid = crate::ms(ctx.config.ops.round_s * REPORT_ROUNDS);
        let written = view.demands.iter().map(|(k, d)| (*k, d.record.clone()));
        let mut demands: BTreeMap<ShardId, DemandRecord> = written.collect();
        for (k, (epoch, at, record)) in &self.reported_demands {
            let current = view.shards.get(k).is_some_and(|s| s.record.epoch == *epoch);
            if current && ctx.now <= at + valid {
                demands.insert(*k, record.clone());
            }
        }
        demands
    }

    /// Moves free machines to shards with waiting tasks: what waits takes any
    /// that is free, and spare places take what nobody else needs.
    pub(super) fn rebalance(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) {
        self.machines_requested
            .retain(|id, v| view.machines.get(id).is_some_and(|m| m.version <= *v));
        for (k, demand) in demands {
            let spare = demand.shapes.iter().filter(|s| s.is_spare);
            // Borrowed work takes only what nobody needs.
            let wanted = demand.waiting.iter().map(|s| (s, !s.is_borrowing));
            let wanted: Vec<(&ShapeRecord, bool)> =
                wanted.chain(spare.map(|s| (s, false))).collect();
            let mut coming: Vec<Resources> = self
                .machines_requested
                .keys()
                .filter_map(|id| view.machines.get(id))
                .filter(|m| m.record.reassign_to == Some(*k))
                .filter_map(|m| capacity_of_type(view, &m.record.machine_type))
                .collect();
            for (shape, waits) in wanted {
                let task = shape.resources();
                let mut left = shape.count;
                for room in &mut coming {
                    left -= book(room, &task, left);
                }
                while left > 0 {
                    let free = self.transferable_machines(view, demands, *k, shape, waits);
                    let found =
                        free.or_else(|| self.reclaimable_machines(view, demands, *k, shape));
                    let Some(id) = found else {
                        break;
                    };
                    let Some(machine) = view.machines.get(&id) else {
                        break;
                    };
                    let mut room =
                        capacity_of_type(view, &machine.record.machine_type).unwrap_or_default();
                    left -= book(&mut room, &task, left);
                    coming.push(room);
                    self.request_machine(ctx, view, id, machine, *k);
                }
            }
        }
    }

    /// Asks the holder of a machine to hand it over to another shard.
    fn request_machine(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        id: MachineId,
        machine: &Versioned<MachineRecord>,
        to: ShardId,
    ) {
        let from = machine.record.shard;
        log::info!("machine {id}: asked of shard {from} for shard {to}");
        let mut record = machine.record.clone();
        record.reassign_to = Some(to);
        let key = machine_key(&id);
        let transaction = Transaction {
            preconditions: self.preconditions(view, key.clone(), machine.version),
            writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
        };
        self.machines_requested.insert(id, machine.version);
        ctx.transact(Urgency::Tasks, &transaction, PendingCall::Housekeeping);
    }

    /// A free machine of another shard that a shape may use.
    fn transferable_machines(
        &self,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
        k: ShardId,
        shape: &ShapeRecord,
        waits: bool,
    ) -> Option<MachineId> {
        let others = demands.iter().filter(|(j, _)| **j != k);
        let lists = others.flat_map(|(j, d)| {
            // A shard that has waiting tasks itself gives nothing away.
            let keeps = waits && !d.waiting.is_empty();
            let free = d.spare_machines.iter().filter(move |_| waits && !keeps);
            d.surplus_machines.iter().chain(free).map(move |id| (j, id))
        });
        lists
            .filter(|(j, id)| self.may_move(view, **j, id, shape))
            .map(|(_, id)| id.clone())
            .next()
    }

    /// A machine of another shard that holds nothing but borrowed work, for a
    /// shape that may have it given back.
    fn reclaimable_machines(
        &self,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
        k: ShardId,
        shape: &ShapeRecord,
    ) -> Option<MachineId> {
        if !shape.may_reclaim {
            return None;
        }
        let others = demands.iter().filter(|(j, _)| **j != k);
        let is_gang = shape.is_gang;
        others
            .flat_map(|(j, d)| {
                let pooled = d.pool_machines.iter().filter(move |_| is_gang);
                d.reclaimable_machines
                    .iter()
                    .chain(pooled)
                    .map(move |id| (j, id))
            })
            .find(|(j, id)| self.may_move(view, **j, id, shape))
            .map(|(_, id)| id.clone())
    }

    /// Whether a shard may be asked for a machine that suits a shape.
    fn may_move(
        &self,
        view: &ClusterView,
        from: ShardId,
        id: &MachineId,
        shape: &ShapeRecord,
    ) -> bool {
        let Some(record) = view.machines.get(id).map(|m| &m.record) else {
            return false;
        };
        let types = shape.types.as_ref();
        record.shard == from
            && record.reassign_to.is_none()
            && record.decommission_reason.is_none()
            && !self.machines_requested.contains_key(id)
            && (shape.spot || !record.spot)
            && types.is_none_or(|t| t.contains(&record.machine_type))
            && shape
                .zones
                .as_ref()
                .is_none_or(|z| z.contains(&record.zone))
            && capacity_of_type(view, &record.machine_type)
                .is_some_and(|total| shape.resources().fits(&total))
    }
}

/// Books up to `most` tasks, and says how many.
fn book(room: &mut Resources, task: &Resources, most: u32) -> u32 {
    let mut n = 0;
    while n < most && task.fits(room) && !task.is_zero() {
        *room -= *task;
        n += 1;
    }
    n
}
