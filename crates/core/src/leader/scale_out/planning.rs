//! Planning of scale-out: matches the unmet demand of shards with the kinds of
//! machines that the cloud offers.

use super::{zone_names, MachineKind};
use crate::context::Context;
use crate::leader::Leader;
use crate::records::{capacity_of, DemandRecord, ShapeRecord, ShardId};
use crate::store::view::ClusterView;
use forkshift_sched::{plan_scale_out, MachineOffer, TaskShape};
use forkshift_wire::cloud::{MachineType, MAX_PROVISION_COUNT};
use std::collections::{BTreeMap, HashMap};

/// Number of zones considered per machine type, spot and on-demand each, if no
/// shape is restricted to zones. Two zones suffice for tasks that must be spread,
/// and fewer zones mean fewer calls to the cloud.
const MAX_ZONES_PER_TYPE: u32 = 2;

/// A kind of machine that is offered. `machine_type` is an index into the machine
/// types of the view, and `zone` an index into [`zone_names`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OfferedKind {
    pub(super) machine_type: u16,
    pub(super) zone: u16,
    pub(super) spot: bool,
}

/// Kinds of machines to provision, each with the number of machines per shard.
pub(super) type ProvisioningPlan = BTreeMap<OfferedKind, Vec<(ShardId, u32)>>;

/// A machine type in a zone, of which a shard holds machines.
#[derive(PartialEq, Eq, Hash)]
struct HeldKind<'a> {
    shard_id: ShardId,
    machine_type: &'a str,
    zone: &'a str,
}

/// Number of machines that each shard holds, by type and zone.
type HeldMachines<'a> = HashMap<HeldKind<'a>, u32>;

impl Leader {
    /// Plans the machines to provision for all shards whose demand is current.
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
            let unmet_shapes = shapes_to_provision(view, &demand.unmet_shapes);
            let allow_all_zones = unmet_shapes
                .iter()
                .all(|shape| shape.allowed_zones.is_none());
            let offers = if allow_all_zones {
                limit_zones(offers)
            } else {
                offers
            };
            for part in plan_scale_out(&unmet_shapes, &offers, MAX_PROVISION_COUNT) {
                let kind = kind_of_offer(&offers[part.offer]);
                planned
                    .entry(kind)
                    .or_default()
                    .push((*shard_id, part.count));
            }
        }
        planned
    }

    /// Whether a shard lacks machines and its demand takes into account all intents
    /// that were written for the shard.
    fn is_demand_current(&self, shard_id: ShardId, demand: &DemandRecord) -> bool {
        let min_revision = self.provisioning.min_demand_revisions.get(&shard_id);
        let min_revision = min_revision.copied().unwrap_or(0);
        !demand.unmet_shapes.is_empty() && demand.revision >= min_revision
    }

    /// The kinds of machines to choose from for a shard: all kinds in the catalogue,
    /// except those that the cloud recently lacked.
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

/// The prices per hour of a machine type; true marks the price of a spot machine.
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

/// Converts the shapes of a demand: the names of types and zones are replaced by
/// their indexes. Unknown names are dropped.
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
    let to_task_shape = |shape: &ShapeRecord| TaskShape {
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
    shapes.iter().map(to_task_shape).collect()
}

/// Counts the machines of each shard by type and zone.
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

/// Retains, for each machine type, spot and on-demand each, the offers of the
/// [`MAX_ZONES_PER_TYPE`] zones with the fewest machines.
fn limit_zones(mut offers: Vec<MachineOffer>) -> Vec<MachineOffer> {
    offers.sort_by_key(|offer| (offer.machine_type, offer.is_spot, offer.machines_in_zone));
    let mut zone_counts: BTreeMap<(u16, bool), u32> = BTreeMap::new();
    offers.retain(|offer| {
        let kind = (offer.machine_type, offer.is_spot);
        let zones = zone_counts.entry(kind).or_default();
        *zones += 1;
        *zones <= MAX_ZONES_PER_TYPE
    });
    offers
}
