//! What is provisioned: the unmet demand of shards, matched with what the cloud
//! offers.

use super::{zone_names, MachineKind};
use crate::context::Context;
use crate::leader::Leader;
use crate::records::{capacity_of, DemandRecord, ShapeRecord, ShardId};
use crate::store::view::ClusterView;
use forkshift_sched::{plan_scale_out, MachineOffer, TaskShape};
use forkshift_wire::cloud::{MachineType, MAX_PROVISION_COUNT};
use std::collections::{BTreeMap, HashMap};

/// Zones of a machine type that are considered where tasks may run in any: enough
/// for what must be spread, with few calls to the cloud.
const MAX_ZONES: u32 = 2;

/// A kind of machine, with type and zone by their numbers in offers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OfferedKind {
    pub(super) machine_type: u16,
    pub(super) zone: u16,
    pub(super) spot: bool,
}

/// Kinds of machines to provision, each with the shards and how many each needs.
pub(super) type ProvisioningPlan = BTreeMap<OfferedKind, Vec<(ShardId, u32)>>;

/// Machines of a type that a shard holds in a zone.
#[derive(PartialEq, Eq, Hash)]
struct HeldKind<'a> {
    shard_id: ShardId,
    machine_type: &'a str,
    zone: &'a str,
}

/// Numbers of machines that shards hold.
type HeldMachines<'a> = HashMap<HeldKind<'a>, u32>;

impl Leader {
    /// What is to be provisioned, with the shards that it is for.
    pub(super) fn plan_provisioning(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) -> ProvisioningPlan {
        let mut planned = ProvisioningPlan::new();
        let mut held: Option<HeldMachines> = None;
        for (shard_id, demand) in demands {
            if !self.is_demand_current(*shard_id, demand) {
                continue;
            }
            if held.is_none() {
                let capacity = &mut self.provisioning.capacity;
                capacity.track_overdue(ctx, view, &self.inventory);
            }
            let held = held.get_or_insert_with(|| held_machines(view));
            let offers = self.offers(ctx, view, *shard_id, held);
            let shapes = shapes_to_provision(view, &demand.unmet_shapes);
            let are_zones_free = shapes.iter().all(|shape| shape.allowed_zones.is_none());
            let offers = if are_zones_free {
                limit_zones(offers)
            } else {
                offers
            };
            for part in plan_scale_out(&shapes, &offers, MAX_PROVISION_COUNT) {
                let kind = kind_of_offer(&offers[part.offer]);
                planned
                    .entry(kind)
                    .or_default()
                    .push((*shard_id, part.count));
            }
        }
        planned
    }

    /// Whether a shard lacks machines and its demand takes all intents into account
    /// that were made for it.
    fn is_demand_current(&self, shard_id: ShardId, demand: &DemandRecord) -> bool {
        let min_revision = self.provisioning.min_demand_revisions.get(&shard_id);
        let min_revision = min_revision.copied().unwrap_or(0);
        !demand.unmet_shapes.is_empty() && demand.revision >= min_revision
    }

    /// What may be had for a shard, as far as is known.
    fn offers(
        &self,
        ctx: &Context,
        view: &ClusterView,
        shard_id: ShardId,
        held: &HeldMachines,
    ) -> Vec<MachineOffer> {
        let zones = zone_names(view);
        let capacity = &self.provisioning.capacity;
        let mut offers = Vec::new();
        for (type_number, known) in view.machine_types.values().enumerate() {
            let machine_type = &known.record;
            for zone in &machine_type.zones {
                let zone_number = zones.iter().position(|z| z == zone).unwrap_or(0);
                let held_kind = HeldKind {
                    shard_id,
                    machine_type: &machine_type.name,
                    zone,
                };
                let held_machines = held.get(&held_kind).copied().unwrap_or(0);
                for (spot, price) in prices(machine_type) {
                    let kind = MachineKind {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if capacity.is_out_of_capacity(ctx.now, &kind) {
                        continue;
                    }
                    offers.push(MachineOffer {
                        machine_type: type_number as u16,
                        zone: zone_number as u16,
                        is_spot: spot,
                        total: capacity_of(machine_type),
                        price_per_hour: price,
                        machines_in_zone: held_machines + capacity.penalty_machines(ctx.now, &kind),
                    });
                }
            }
        }
        offers
    }
}

/// Prices of a machine type, each with whether it is that of a spot machine.
fn prices(machine_type: &MachineType) -> impl Iterator<Item = (bool, f64)> {
    let spot_price = machine_type.spot_price_per_hour.map(|price| (true, price));
    std::iter::once((false, machine_type.price_per_hour)).chain(spot_price)
}

fn kind_of_offer(offer: &MachineOffer) -> OfferedKind {
    OfferedKind {
        machine_type: offer.machine_type,
        zone: offer.zone,
        spot: offer.is_spot,
    }
}

/// The shapes of a demand, with types and zones by their numbers in offers.
fn shapes_to_provision(view: &ClusterView, shapes: &[ShapeRecord]) -> Vec<TaskShape> {
    let zones = zone_names(view);
    let type_number = |name: &String| {
        let position = view.machine_types.keys().position(|known| known == name);
        position.map(|number| number as u16)
    };
    let zone_number = |name: &String| {
        let position = zones.iter().position(|known| known == name);
        position.map(|number| number as u16)
    };
    let to_shape = |shape: &ShapeRecord| TaskShape {
        task_resources: shape.resources(),
        count: shape.count,
        allowed_types: shape
            .types
            .as_ref()
            .map(|names| names.iter().filter_map(type_number).collect()),
        allowed_zones: shape
            .zones
            .as_ref()
            .map(|names| names.iter().filter_map(zone_number).collect()),
        allows_spot: shape.spot,
        requires_spot: shape.is_borrowing,
    };
    shapes.iter().map(to_shape).collect()
}

/// Counts the machines that shards hold.
fn held_machines(view: &ClusterView) -> HeldMachines<'_> {
    let mut held = HeldMachines::new();
    for record in view.machines.values().map(|machine| &machine.record) {
        let kind = HeldKind {
            shard_id: record.shard,
            machine_type: &record.machine_type,
            zone: &record.zone,
        };
        *held.entry(kind).or_default() += 1;
    }
    held
}

/// Keeps of each type, spot and not, only the zones where the fewest machines are
/// held.
fn limit_zones(mut offers: Vec<MachineOffer>) -> Vec<MachineOffer> {
    offers.sort_by_key(|offer| (offer.machine_type, offer.is_spot, offer.machines_in_zone));
    let mut zone_counts: BTreeMap<(u16, bool), u32> = BTreeMap::new();
    offers.retain(|offer| {
        let kind = (offer.machine_type, offer.is_spot);
        let zones = zone_counts.entry(kind).or_default();
        *zones += 1;
        *zones <= MAX_ZONES
    });
    offers
}
