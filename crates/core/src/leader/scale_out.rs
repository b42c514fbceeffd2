//! Renting of machines.
//!
//! An intent is written before its request is sent to the cloud, and the
//! machines that the cloud names are recorded in parts, each on condition of
//! the intent's version. So a new leader can repeat any request, and goes on
//! recording where the last one stopped.

use super::inventory::BOOT_S_UNKNOWN;
use super::Leader;
use crate::context::{revision_of, Context};
use crate::pending_call::PendingCall;
use crate::records::{
    capacity_of, machine_key, provisioning_intent_key, DemandRecord, MachineRecord,
    ProvisioningIntent, ShapeRecord, ShardId,
};
use crate::shard::demand::OVERDUE_BOOTS;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_sched::{plan, Offer, Shape};
use forkshift_wire::cloud::{Machines, Rent, RENT_MOST};
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::MachineId;
use serde_json::to_value;
use std::collections::{BTreeMap, HashMap};

/// Where a machine was overdue, others are asked for only if nothing as good
/// is to be had elsewhere, for this many boots.
const SLOW_ZONE_BOOTS: f64 = 6.0;
/// What an avoided zone counts for: more machines than a shard ever holds.
const SLOW_ZONE_PENALTY_MACHINES: u32 = 1 << 20;

/// What the cloud has answered to a rental request, while it is written.
pub(super) struct ProvisioningResult {
    record: ProvisioningIntent,
    /// Version of the intent's record.
    version: u64,
    machines: Vec<MachineId>,
    /// How many machines have their records once the write that is under way
    /// is carried out. The limits may change before its answer comes.
    is_writing: u32,
}

/// Type and zone, by their numbers in offers, and whether it is a spot machine.
type OfferedKind = (u16, u16, bool);

/// Machines that shards hold, by type and zone.
type HeldMachines<'a> = HashMap<(ShardId, &'a str, &'a str), u32>;

impl Leader {
    /// Turns the unmet demand of shards into rental intents. The cloud takes few calls
    /// a second: no intent is made while others wait to be carried out, so
    /// that what comes up meanwhile is put together in larger ones.
    pub(super) fn scale_out(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) {
        let under_way = view.provisioning_intents.len() + self.intents_being_written.len();
        if under_way as f64 >= ctx.config.cloud_rps.ceil() {
            return;
        }
        for (kind, parts) in self.plan_provisioning(ctx, view, demands) {
            self.write_intent(ctx, view, kind, parts);
        }
    }

    /// What is to be rented, with the shards that it is for.
    fn plan_provisioning(
        &mut self,
        ctx: &Context,
        view: &ClusterView,
        demands: &BTreeMap<ShardId, DemandRecord>,
    ) -> BTreeMap<OfferedKind, Vec<(ShardId, u32)>> {
        let mut held: Option<HeldMachines> = None;
        let mut together: BTreeMap<OfferedKind, Vec<(ShardId, u32)>> = BTreeMap::new();
        for (k, demand) in demands {
            let seen = self.intents_awaited.get(k).copied().unwrap_or(0);
            if demand.shapes.is_empty() || demand.revision < seen {
                continue;
            }
            if held.is_none() {
                self.note_overdue(ctx, view);
            }
            let held = held.get_or_insert_with(|| held_machines(view));
            let offers = self.offers(ctx, view, *k, held);
            let shapes = shapes_to_provision(view, &demand.shapes);
            let anywhere = shapes.iter().all(|s| s.zones.is_none());
            let offers = if anywhere { few_zones(offers) } else { offers };
            for rental in plan(&shapes, &offers, RENT_MOST) {
                let o = &offers[rental.offer];
                let kind = (o.machine_type, o.zone, o.spot);
                together.entry(kind).or_default().push((*k, rental.count));
            }
        }
        together
    }

    /// Writes one intent. The name of its request is never used again.
    fn write_intent(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        (machine_type, zone, spot): OfferedKind,
        parts: Vec<(ShardId, u32)>,
    ) {
        let type_names: Vec<&String> = view.machine_types.keys().collect();
        let record = ProvisioningIntent {
            parts: limit_to_request(parts, RENT_MOST),
            machine_type: type_names[machine_type as usize].clone(),
            zone: zone_names(view)[zone as usize].clone(),
            spot,
            placed: 0,
        };
        self.intents_written += 1;
        let request = format!("r-{:x}-{}", ctx.incarnation, self.intents_written);
        let key = provisioning_intent_key(&request);
        let transaction = Transaction {
            preconditions: self.preconditions(view, key.clone(), 0),
            writes: vec![Write::put(key, to_value(&record).unwrap_or_default())],
        };
        let shards = record.parts.iter().map(|(k, _)| *k).collect();
        self.intents_being_written.insert(request.clone(), shards);
        ctx.transact(
            Urgency::Leadership,
            &transaction,
            PendingCall::ProvisioningIntentWrite { request },
        );
    }

    /// Notes of which kinds machines are overdue.
    fn note_overdue(&mut self, ctx: &Context, view: &ClusterView) {
        for (id, machine) in &view.machines {
            let record = &machine.record;
            if record.addr.is_some() {
                continue;
            }
            let known_for = ctx.now - self.first_seen_at.get(id).copied().unwrap_or(ctx.now);
            let machine_type = view.machine_types.get(&record.machine_type);
            let boot = machine_type.map_or(BOOT_S_UNKNOWN, |t| t.record.boot_s);
            if known_for > crate::ms(boot * OVERDUE_BOOTS) {
                let kind = (
                    record.machine_type.clone(),
                    record.zone.clone(),
                    record.spot,
                );
                let until = ctx.now + crate::ms(boot * SLOW_ZONE_BOOTS);
                self.slow_to_boot.insert(kind, until);
            }
        }
    }

    /// What may be had, as far as is known.
    fn offers(
        &self,
        ctx: &Context,
        view: &ClusterView,
        k: ShardId,
        held: &HeldMachines,
    ) -> Vec<Offer> {
        let zones = zone_names(view);
        let mut offers = Vec::new();
        for (i, t) in view.machine_types.values().map(|t| &t.record).enumerate() {
            for zone in &t.zones {
                for spot in [false, true] {
                    let price = match (spot, t.spot_price) {
                        (false, _) => t.price,
                        (true, Some(price)) => price,
                        (true, None) => continue,
                    };
                    let kind = (t.name.clone(), zone.clone(), spot);
                    if self
                        .out_of_capacity
                        .get(&kind)
                        .is_some_and(|(until, _)| ctx.now < *until)
                    {
                        continue;
                    }
                    let held = held.get(&(k, t.name.as_str(), zone.as_str()));
                    let avoided = self.slow_to_boot.get(&kind).is_some_and(|t| ctx.now < *t);
                    let held = held.copied().unwrap_or(0)
                        + if avoided {
                            SLOW_ZONE_PENALTY_MACHINES
                        } else {
                            0
                        };
                    offers.push(Offer {
                        machine_type: i as u16,
                        zone: zones.iter().position(|z| z == zone).unwrap_or(0) as u16,
                        spot,
                        total: capacity_of(t),
                        price,
                        held,
                    });
                }
            }
        }
        offers
    }

    /// The write of an intent was answered.
    pub(crate) fn on_intent_written(&mut self, request: &str, body: &[u8]) {
        let shards = self
            .intents_being_written
            .remove(request)
            .unwrap_or_default();
        // A demand counts again once it was made in sight of this intent.
        let revision = revision_of(body);
        for k in shards {
            let acted = self.intents_awaited.entry(k).or_default();
            *acted = (*acted).max(revision);
        }
    }

    /// Carries intents out, those of an earlier leader too: a request that
    /// had an answer before gets the same one again and rents nothing.
    pub(super) fn send_intents(&mut self, ctx: &mut Context, view: &ClusterView) {
        for (request, intent) in &view.provisioning_intents {
            if self.requests_in_flight.contains(request) || !self.may_call(ctx) {
                continue;
            }
            let record = &intent.record;
            let body = Rent {
                request: request.clone(),
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                count: record.count(),
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            self.requests_in_flight.insert(request.clone());
            let request = request.clone();
            ctx.call_cloud(
                "POST",
                "/machines".to_owned(),
                Some(body),
                PendingCall::Provision { request },
            );
        }
    }

    /// The cloud has answered a rental request.
    pub(crate) fn on_provisioned(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(intent) = view.provisioning_intents.get(request).cloned() else {
            self.requests_in_flight.remove(request);
            return;
        };
        if self.cloud_unavailable(ctx, status, body) {
            self.requests_in_flight.remove(request);
            return;
        }
        let record = intent.record;
        let rented: Machines = serde_json::from_slice(body).unwrap_or_default();
        let machines = if status == 200 {
            rented.machines
        } else {
            Vec::new()
        };
        let kind = (
            record.machine_type.clone(),
            record.zone.clone(),
            record.spot,
        );
        if (machines.len() as u32) < record.count() {
            // The pause grows while there is none, up to some boots.
            let boot = view
                .machine_types
                .get(&record.machine_type)
                .map_or(BOOT_S_UNKNOWN, |t| t.record.boot_s);
            let (_, last) = self.out_of_capacity.get(&kind).copied().unwrap_or((0, 0));
            let least = crate::ms(boot / 5.0).max(1);
            let pause = (last * 2).clamp(least, crate::ms(boot).max(least));
            self.out_of_capacity.insert(kind, (ctx.now + pause, pause));
        } else {
            self.out_of_capacity.remove(&kind);
        }
        log::info!(
            "{} of {} {} rented in {}{}",
            machines.len(),
            record.count(),
            record.machine_type,
            record.zone,
            if record.spot { ", spot" } else { "" }
        );
        let outcome = ProvisioningResult {
            record,
            version: intent.version,
            machines,
            is_writing: 0,
        };
        self.outcomes.insert(request.to_owned(), outcome);
        self.record_result(ctx, view, request);
    }

    /// Writes the next part of an outcome: records of machines, and how far
    /// the intent has been carried out. The last part removes the intent.
    fn record_result(&mut self, ctx: &mut Context, view: &ClusterView, request: &str) {
        let Some(outcome) = self.outcomes.get_mut(request) else {
            return;
        };
        let from = outcome.record.placed as usize;
        let to = outcome.machines.len().min(from + ctx.limits.txn_ops - 1);
        outcome.is_writing = to as u32;
        let Some(outcome) = self.outcomes.get(request) else {
            return;
        };
        let record = &outcome.record;
        let key = provisioning_intent_key(request);
        let mut transaction = Transaction {
            preconditions: self.preconditions(view, key.clone(), outcome.version),
            writes: Vec::new(),
        };
        let shards = record.shards_in_turn();
        for (id, shard) in outcome.machines.iter().zip(shards).take(to).skip(from) {
            let key = machine_key(id);
            let machine = MachineRecord {
                shard,
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                addr: None,
                decommission_reason: None,
                reassign_to: None,
                token_floor: 0,
                images: Vec::new(),
                pool: None,
                charged_until_ms: 0,
            };
            transaction.preconditions.push(Precondition {
                key: key.clone(),
                version: 0,
            });
            transaction
                .writes
                .push(Write::put(key, to_value(machine).unwrap_or_default()));
        }
        transaction.writes.push(if to < outcome.machines.len() {
            let record = ProvisioningIntent {
                placed: to as u32,
                ..record.clone()
            };
            Write::put(key, to_value(record).unwrap_or_default())
        } else {
            Write::Remove { remove: key }
        });
        let request = request.to_owned();
        ctx.transact(
            Urgency::Leadership,
            &transaction,
            PendingCall::ProvisionedRecordsWrite { request },
        );
    }

    /// The write of a part of an outcome was answered.
    pub(crate) fn on_result_recorded(
        &mut self,
        ctx: &mut Context,
        view: &ClusterView,
        request: &str,
        status: u16,
        body: &[u8],
    ) {
        let Some(outcome) = self.outcomes.get_mut(request) else {
            return;
        };
        match status {
            200 => {
                outcome.version = revision_of(body);
                outcome.record.placed = outcome.is_writing;
                if (outcome.record.placed as usize) < outcome.machines.len() {
                    self.record_result(ctx, view, request);
                } else {
                    // The name is done with. It must not be used again while
                    // the view still shows it.
                    self.outcomes.remove(request);
                }
            }
            // Writing again on the same conditions is safe: if an earlier
            // copy was carried out, this one fails.
            0 | 429 | 503 if Self::is_leader(ctx, view) => self.record_result(ctx, view, request),
            // The record is not as we know it: the request is repeated, the
            // cloud gives the same answer, and the view tells how far we are.
            _ => {
                self.outcomes.remove(request);
                self.requests_in_flight.remove(request);
            }
        }
    }
}

/// The shapes of a demand, with types and zones by their numbers in offers.
fn shapes_to_provision(view: &ClusterView, shapes: &[ShapeRecord]) -> Vec<Shape> {
    let zones = zone_names(view);
    let type_no = |name: &String| {
        view.machine_types
            .keys()
            .position(|t| t == name)
            .map(|i| i as u16)
    };
    let zone_no = |name: &String| zones.iter().position(|z| z == name).map(|i| i as u16);
    let numbers_of = |names: &Vec<String>, no: &dyn Fn(&String) -> Option<u16>| {
        names.iter().filter_map(no).collect()
    };
    let shape = |s: &ShapeRecord| Shape {
        task: s.resources(),
        count: s.count,
        types: s.types.as_ref().map(|t| numbers_of(t, &type_no)),
        zones: s.zones.as_ref().map(|z| numbers_of(z, &zone_no)),
        spot: s.spot,
        spot_only: s.is_borrowing,
    };
    shapes.iter().map(shape).collect()
}

/// Counts the machines that shards hold.
fn held_machines(view: &ClusterView) -> HeldMachines<'_> {
    let mut held = HeldMachines::new();
    for record in view.machines.values().map(|m| &m.record) {
        let kind = (
            record.shard,
            record.machine_type.as_str(),
            record.zone.as_str(),
        );
        *held.entry(kind).or_default() += 1;
    }
    held
}

/// Keeps of each type and kind only the two zones where the fewest machines
/// are held: two are enough for what must be spread, and few calls are made.
fn few_zones(mut offers: Vec<Offer>) -> Vec<Offer> {
    offers.sort_by_key(|o| (o.machine_type, o.spot, o.held));
    let mut seen: BTreeMap<(u16, bool), u32> = BTreeMap::new();
    offers.retain(|o| {
        let n = seen.entry((o.machine_type, o.spot)).or_default();
        *n += 1;
        *n <= 2
    });
    offers
}

/// Cuts parts down to `most` in all, evenly.
fn limit_to_request(mut parts: Vec<(ShardId, u32)>, most: u32) -> Vec<(ShardId, u32)> {
    while parts.iter().map(|(_, n)| n).sum::<u32>() > most {
        if let Some((_, n)) = parts.iter_mut().max_by_key(|(_, n)| *n) {
            *n -= 1;
        }
    }
    parts
}

/// Names of all zones, in the order of their numbers in offers.
fn zone_names(view: &ClusterView) -> Vec<String> {
    view.zones().into_iter().map(str::to_owned).collect()
}

#[cfg(test)]
mod tests;
