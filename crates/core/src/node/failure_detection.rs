//! Runs the failure detector: counts machines without heartbeats by zone, records which links
//! of this controller are up, and selects the controller that an isolated controller hands
//! its shards over to.

use super::Node;
use crate::context::Context;
use crate::membership::failure_detector::{
    can_zone_keep_leases, configured_silence_ms, reconnect_ms, MachineCounts, Observations,
    MIN_CALL_SAMPLE_MACHINES,
};
use crate::shard::machine::Machine;
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, LinkTiming};
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// How long the record of an isolated controller states that it receives no heartbeats, and
/// so prevents assignments to it, in worker leases after it was last isolated.
const ISOLATION_RECORD_LEASES: Ms = 2;

impl Node {
    /// Updates the validity of the lease. Once in a heartbeat interval, also sends heartbeats
    /// and relay requests to the other controllers and updates the failure detector.
    pub(crate) fn run_failure_detector(&mut self) {
        self.update_lease_validity();
        if self.ctx.now < self.next_failure_detection_at {
            return;
        }
        self.next_failure_detection_at = self.ctx.now + self.ctx.heartbeat_interval_ms();
        self.send_heartbeats();
        self.request_relays();
        let zones = self.machine_counts();
        let total = zones
            .values()
            .fold(MachineCounts::default(), |sum, counts| sum + *counts);
        self.set_link(Link::Heartbeats, !total.lacks_heartbeats());
        self.set_link(Link::WorkerCalls, !total.lacks_answers());
        if total.needs_more_calls() {
            self.call_uncalled_machines();
        }
        self.update_failure_detector(&zones, &total);
    }

    /// Recomputes whether the lease is valid, and publishes the result to the context, the link
    /// states and the peer confirmations, on which decisions depend.
    fn update_lease_validity(&mut self) {
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        self.set_link(Link::Store, self.ctx.has_valid_lease);
        if self.ctx.has_valid_lease {
            self.ctx
                .peer_confirmations
                .extend_lease_validity(self.membership.lease_valid_until(&self.ctx));
        }
    }

    /// Counts the machines of the active shards by zone.
    fn machine_counts(&self) -> BTreeMap<u16, MachineCounts> {
        let mut zones = BTreeMap::new();
        for shard in self
            .shards
            .values()
            .filter(|s| s.recovery_state == RecoveryState::Active)
        {
            count_machines(shard, &self.ctx, &mut zones);
        }
        zones
    }

    /// Updates the failure detector from the counts and the links. While this controller is
    /// isolated, and for a time after, its record states that it receives no heartbeats.
    fn update_failure_detector(
        &mut self,
        zones: &BTreeMap<u16, MachineCounts>,
        total: &MachineCounts,
    ) {
        let ctx = &mut self.ctx;
        let is_isolated = ctx.has_valid_lease && !ctx.links.allows(Decision::HoldShards);
        if is_isolated && !ctx.failure_detector.is_isolated() {
            log::info!(
                "failure detector: isolated, {} of {} machines without heartbeats, {} without answers to calls",
                total.without_heartbeats,
                total.all,
                total.unanswering
            );
        }
        let observations = Observations {
            now: ctx.now,
            reconnect_ms: reconnect_ms(&ctx.config),
            zones,
            receives_heartbeats: ctx.links.is_up(Link::Heartbeats),
            is_isolated,
            are_all_isolated: is_isolated && self.view.are_all_nodes_isolated(),
        };
        let (config, types_and_zones) = (&ctx.config, &ctx.types_and_zones);
        ctx.failure_detector.update(&observations, |zone| {
            can_zone_keep_leases(config, types_and_zones.name(zone).unwrap_or_default())
        });
        if is_isolated {
            ctx.reports_no_heartbeats_until =
                ctx.now + ctx.config.lease_ms * ISOLATION_RECORD_LEASES;
        }
    }

    /// Schedules calls to some machines in each shard that were not called recently. If only
    /// few machines are called, a failed machine cannot be told from a controller whose calls
    /// fail.
    fn call_uncalled_machines(&mut self) {
        let timing = self.ctx.config.link_timing();
        let now = self.ctx.now;
        let shards = self.shards.values_mut();
        for shard in shards.filter(|s| s.recovery_state == RecoveryState::Active) {
            let Shard {
                machines,
                machines_to_reconcile,
                ..
            } = shard;
            let uncalled = machines.values_mut().filter(|machine| {
                machine.last_heartbeat_at.is_some()
                    && !machine.has_call_in_flight
                    && !machine.link.has_recent_call(now, &timing)
            });
            for machine in uncalled.take(MIN_CALL_SAMPLE_MACHINES as usize) {
                machine.must_send_token = true;
                machines_to_reconcile.mark_due(&machine.id);
            }
        }
    }

    /// The controller to hand all shards over to, if this controller is isolated and its record
    /// states so: of the other live controllers whose records do not state the same, the one
    /// with the fewest shards. None if there is no such controller.
    pub(super) fn handover_target(&self) -> Option<NodeName> {
        let own_name = &self.ctx.config.node;
        let own_record = self.view.nodes.get(own_name);
        let is_recorded = own_record.is_some_and(|n| n.record.receives_no_heartbeats);
        if !self.ctx.failure_detector.is_isolated() || !is_recorded {
            return None;
        }
        let candidates = self.view.nodes.iter().filter(|(name, node)| {
            *name != own_name
                && !node.record.receives_no_heartbeats
                && self.ctx.is_peer_alive(name, node.record.incarnation)
        });
        let least_loaded = candidates.min_by_key(|(name, _)| self.held_shard_count(name));
        least_loaded.map(|(name, _)| name.clone())
    }

    /// The number of shards that a controller holds according to the view.
    fn held_shard_count(&self, node: &NodeName) -> usize {
        let shards = self.view.shards.values();
        shards.filter(|s| s.record.holder == *node).count()
    }
}

/// Adds a shard's machines of which heartbeats are due to the counts by zone.
fn count_machines(shard: &Shard, ctx: &Context, zones: &mut BTreeMap<u16, MachineCounts>) {
    let machines = shard.machines.values();
    for machine in machines.filter(|m| m.decommission_reason.is_none()) {
        if let Some(counts) = count_machine(machine, ctx) {
            let zone = zones.entry(machine.zone).or_default();
            *zone = *zone + counts;
        }
    }
}

/// The counts for a single machine; none if no heartbeat from it is due yet.
fn count_machine(machine: &Machine, ctx: &Context) -> Option<MachineCounts> {
    if machine.addr.is_none() && machine.last_heartbeat_at.is_none() {
        return None;
    }
    let silence_ms =
        (configured_silence_ms(&ctx.config) / 2).max(ctx.config.max_heartbeat_interval_ms());
    let is_silent = ctx.now > machine.silent_since(ctx.resumed_at) + silence_ms;
    // A machine of a shard that has just been recovered has not sent a heartbeat here yet. If
    // it were counted as not silent, it would hide a partition of its zone.
    if machine.last_heartbeat_at.is_none() && !is_silent {
        return None;
    }
    // A worker that has never sent a heartbeat here may need a lease's length to find this
    // controller. `has_missed_heartbeats` grants half of `lease_ms`, so it is doubled here.
    let timing = LinkTiming {
        heartbeat_timeout_ms: silence_ms,
        lease_ms: ctx.config.lease_ms * 2,
    };
    let since = machine.known_since.max(ctx.resumed_at);
    let has_missed_heartbeats = machine.link.has_missed_heartbeats(ctx.now, since, &timing);
    // Failed calls to a machine without heartbeats are not further evidence. If they were
    // counted, the machines of a partitioned zone would make their holder hand its shards
    // over as isolated.
    if is_silent || has_missed_heartbeats {
        return Some(MachineCounts {
            all: 1,
            silent: u32::from(is_silent),
            without_heartbeats: 1,
            ..MachineCounts::default()
        });
    }
    Some(MachineCounts {
        all: 1,
        called: u32::from(machine.link.has_recent_call(ctx.now, &timing)),
        unanswering: u32::from(!machine.link.is_reachable()),
        ..MachineCounts::default()
    })
}
