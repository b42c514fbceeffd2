//! Runs the failure detector: counts machines without heartbeats, notes which links are up,
//! and names the controller that should take this one's shards over.

use super::Node;
use crate::context::Context;
use crate::membership::failure_detector::{
    configured_silence_ms, is_zone_worth_waiting, reconnect_ms, MachineCounts, Observations,
    MIN_CALLED_MACHINES,
};
use crate::shard::machine::Machine;
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_links::{Decision, Link, LinkTiming};
use forkshift_wire::NodeName;
use std::collections::BTreeMap;

/// How long an isolated controller is assigned nothing, in leases of a worker.
const ISOLATED_LEASES: Ms = 2;

impl Node {
    /// Updates the validity of the lease; once in a heartbeat interval, sends heartbeats to
    /// peers and runs the failure detector.
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

    /// Recomputes whether the lease is valid, and notes it where decisions rest on it.
    fn update_lease_validity(&mut self) {
        self.ctx.has_valid_lease = self.membership.has_valid_lease(&self.ctx, &self.view);
        self.set_link(Link::Store, self.ctx.has_valid_lease);
        if self.ctx.has_valid_lease {
            self.ctx
                .peer_confirmations
                .note_lease_valid_until(self.membership.lease_valid_until(&self.ctx));
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

    /// Updates the failure detector from the counts and the links. An isolated controller
    /// records that it receives no heartbeats for a while.
    fn update_failure_detector(
        &mut self,
        zones: &BTreeMap<u16, MachineCounts>,
        total: &MachineCounts,
    ) {
        let ctx = &mut self.ctx;
        let is_isolated = ctx.has_valid_lease && !ctx.links.allows(Decision::HoldShards);
        if is_isolated && !ctx.failure_detector.is_isolated() {
            log::info!(
                "failure detector: isolated, {} of {} machines silent, {} without answer to calls",
                total.unheard,
                total.all,
                total.uncallable
            );
        }
        let observations = Observations {
            now: ctx.now,
            reconnect_ms: reconnect_ms(&ctx.config),
            zones,
            receives_heartbeats: ctx.links.is_up(Link::Heartbeats),
            is_isolated,
            are_all_isolated: is_isolated && self.view.has_no_node_with_heartbeats(),
        };
        let (config, places) = (&ctx.config, &ctx.places);
        ctx.failure_detector.update(&observations, |zone| {
            is_zone_worth_waiting(config, places.name(zone).unwrap_or_default())
        });
        if is_isolated {
            ctx.reports_no_heartbeats_until = ctx.now + ctx.config.lease_ms * ISOLATED_LEASES;
        }
    }

    /// Calls some machines that were not called recently. Where few are called, a failed
    /// machine cannot be told from a controller whose calls fail.
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
            for machine in uncalled.take(MIN_CALLED_MACHINES as usize) {
                machine.must_send_token = true;
                machines_to_reconcile.mark_due(&machine.id);
            }
        }
    }

    /// The controller that should hold the shards while this one is isolated and its record
    /// says so: the one with the fewest shards of those that are alive and not known to be
    /// isolated themselves.
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

    /// How many shards a controller holds according to the view.
    fn held_shard_count(&self, node: &NodeName) -> usize {
        let shards = self.view.shards.values();
        shards.filter(|s| s.record.holder == *node).count()
    }
}

/// Counts a shard's machines that should send heartbeats, by zone.
fn count_machines(shard: &Shard, ctx: &Context, zones: &mut BTreeMap<u16, MachineCounts>) {
    let machines = shard.machines.values();
    for machine in machines.filter(|m| m.decommission_reason.is_none()) {
        if let Some(counts) = count_machine(machine, ctx) {
            let zone = zones.entry(machine.zone).or_default();
            *zone = *zone + counts;
        }
    }
}

/// The counts for a single machine; none if no heartbeat of it is due yet.
fn count_machine(machine: &Machine, ctx: &Context) -> Option<MachineCounts> {
    if machine.addr.is_none() && machine.last_heartbeat_at.is_none() {
        return None;
    }
    let quiet_ms =
        (configured_silence_ms(&ctx.config) / 2).max(ctx.config.max_heartbeat_interval_ms());
    let is_silent = ctx.now > machine.last_sign_of_life(ctx.resumed_at) + quiet_ms;
    // A machine of a shard that has just been recovered has not reported here yet. Counted
    // as heard, such machines would hide that a zone is partitioned.
    if machine.last_heartbeat_at.is_none() && !is_silent {
        return None;
    }
    // A worker that has never reported here may take a lease to find this controller.
    let timing = LinkTiming {
        heartbeat_timeout_ms: quiet_ms,
        lease_ms: ctx.config.lease_ms * 2,
    };
    let since = machine.known_since.max(ctx.resumed_at);
    let has_missed_heartbeats = machine.link.has_missed_heartbeats(ctx.now, since, &timing);
    // Failed calls to a machine without heartbeats prove nothing more. Counted, the machines
    // of a partitioned zone would have their holder hand its shards over.
    if is_silent || has_missed_heartbeats {
        return Some(MachineCounts {
            all: 1,
            silent: u32::from(is_silent),
            unheard: 1,
            ..MachineCounts::default()
        });
    }
    Some(MachineCounts {
        all: 1,
        called: u32::from(machine.link.has_recent_call(ctx.now, &timing)),
        uncallable: u32::from(!machine.link.is_reachable()),
        ..MachineCounts::default()
    })
}
