//! Heartbeats between controllers: what this one states in its own, what it records of
//! others', and which workers it may answer on their confirmations.

use super::Node;
use crate::bounds::encoded_name_bytes;
use crate::overflow::Overflow;
use crate::records::ShardId;
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_wire::peer::{Body, PeerHeartbeat, SettledShard};
use forkshift_wire::{MachineId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// A worker of another holder's shard is answered only after this part of a controller's
/// lease without a renewal, as a fraction.
const CUT_OFF_LEASE_NUMERATOR: Ms = 6;
const CUT_OFF_LEASE_DENOMINATOR: Ms = 10;

impl Node {
    /// Notes that a message of a peer was received.
    pub(crate) fn record_peer_message(&mut self, from: &NodeName, incarnation: u64) {
        let now = self.ctx.now;
        self.ctx.peers.record_message(from, incarnation, now);
    }

    /// Sends a heartbeat to each peer, with what the peer may rely on.
    pub(super) fn send_heartbeats(&mut self) {
        let config = self.ctx.config.clone();
        let epochs = self.view.shard_epochs();
        let store_out_since = self.ctx.store.out_since();
        let store_refused_for_ms = store_out_since.map(|t| self.ctx.now.saturating_sub(t));
        let settled_shards = self.settled_shards();
        for node in config.other_nodes() {
            let body = Body::Heartbeat(PeerHeartbeat {
                sent_at: self.ctx.now,
                acknowledged: self.ctx.peers.acknowledgement(node),
                epochs: epochs.clone(),
                store_refused_for_ms,
                settled_shards: settled_shards.clone(),
            });
            self.ctx.send_to_peer(node, 0, body);
        }
    }

    /// The statements about machines of the shards held here, as far as a heartbeat has room
    /// for them. None are made without a valid lease: only with one is it certain that no
    /// other controller has confirmed a cancellation that is not known here.
    fn settled_shards(&mut self) -> Vec<SettledShard> {
        if !self.ctx.has_valid_lease {
            return Vec::new();
        }
        let shards = self.shards.values();
        let mut settled: Vec<SettledShard> = shards.filter_map(settled_statement).collect();
        let room = self.ctx.config.bounds.list_bytes;
        if retain_shortest_within(&mut settled, room) > 0 {
            let now = self.ctx.now;
            self.ctx.overflows.record(now, Overflow::UnsettledMachines);
        }
        settled
    }

    /// Handles a peer's heartbeat. It counts whether or not the peer's lease is valid: in an
    /// outage of the store that cannot be known.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        heartbeat: PeerHeartbeat,
    ) {
        self.ctx
            .peers
            .record_heartbeat(from, incarnation, heartbeat.sent_at);
        self.mark_superseded_shards(from, &heartbeat);
        // An acknowledgement of an earlier incarnation is not of this clock.
        let acknowledged = heartbeat
            .acknowledged
            .as_ref()
            .filter(|ack| ack.incarnation == self.ctx.incarnation);
        let now = self.ctx.now;
        if let Some(as_of) = acknowledged.map(|ack| ack.sent_at.min(now)) {
            let confirmations = &mut self.ctx.peer_confirmations;
            confirmations.record(from, as_of, now, &heartbeat);
        }
    }

    /// Marks the shards of which a peer has seen a higher epoch.
    fn mark_superseded_shards(&mut self, from: &NodeName, heartbeat: &PeerHeartbeat) {
        let epochs = heartbeat.epochs.iter().flatten().copied();
        let epochs: BTreeMap<u32, u64> = epochs.collect();
        for (id, epoch) in epochs {
            let shard = self.shards.get_mut(&ShardId(id));
            if let Some(shard) = shard.filter(|shard| shard.epoch < epoch) {
                shard.mark_superseded(&format!("{from} has seen epoch {epoch}"));
            }
        }
    }

    /// Whether workers of a shard held here are answered although the lease has expired.
    /// From then on another controller may be assigned the shard and confirm cancellations
    /// that are not known here.
    pub(crate) fn may_answer_without_lease(&self, shard: &Shard) -> bool {
        let until = self.ctx.peer_confirmations.no_foreign_cancellation_before(
            &self.ctx.config,
            self.ctx.store.out_since(),
            shard.id,
            shard.epoch,
        );
        !shard.is_superseded && self.ctx.now < until.saturating_add(self.ctx.config.grace_ms())
    }

    /// Whether a worker may be answered by a controller that does not know which of its tasks
    /// are cancelled: the last holder with a valid lease has confirmed that it had no task
    /// with an earlier cancellation.
    fn is_machine_settled(&self, shard_id: ShardId, machine: &MachineId) -> bool {
        let confirmations = &self.ctx.peer_confirmations;
        let until = confirmations.settled_as_of(shard_id, machine);
        until.is_some_and(|until| self.ctx.now < until + self.ctx.config.grace_ms())
    }

    /// Whether a worker of a shard that is still being loaded is answered. Cancellations that
    /// an earlier holder confirmed and could not carry out are not known yet. The worker's
    /// last answer from that holder came before the confirmation, else it would have
    /// carried the command to stop; it is less than a lease old, or the worker's
    /// incarnation would have ended.
    pub(crate) fn may_answer_while_loading(&self, shard: &Shard, machine: &MachineId) -> bool {
        self.ctx.now < shard.active_since + self.ctx.config.recovery_grace_ms()
            || self.is_machine_settled(shard.id, machine)
    }

    /// Whether the lease of a worker in another holder's shard is kept alive: this controller
    /// is cut off from the store and from that holder, and so, presumably, is the worker. It
    /// gets no commands, and its own token back.
    pub(crate) fn may_keep_worker_alive(&self, shard_id: ShardId, machine: &MachineId) -> bool {
        let Some(shard) = self.view.shards.get(&shard_id) else {
            return false;
        };
        let lease_ms = self.ctx.config.node_lease_ms();
        let cut_off_ms = lease_ms * CUT_OFF_LEASE_NUMERATOR / CUT_OFF_LEASE_DENOMINATOR;
        let record = &shard.record;
        self.ctx.now > self.membership.last_renewal_sent_at() + cut_off_ms
            && !self
                .ctx
                .is_peer_alive(&record.holder, record.holder_incarnation)
            && self.is_machine_settled(shard_id, machine)
    }
}

/// Machines of a shard that may hold a task of a cancelled job, or one that is not known
/// here.
fn unsettled_machines(shard: &Shard) -> BTreeSet<&MachineId> {
    let cancelled = shard.jobs.values().filter(|job| job.is_cancelled);
    let holding = cancelled.flat_map(|job| job.bound.values().map(|binding| &binding.machine));
    let machines = shard.machines.values();
    let with_orphans = machines.filter(|machine| !machine.orphans.is_empty());
    holding
        .chain(with_orphans.map(|machine| &machine.id))
        .collect()
}

/// The statement about the machines of a shard; none while the shard is not active.
fn settled_statement(shard: &Shard) -> Option<SettledShard> {
    let statement = || SettledShard {
        shard: shard.id.0,
        unsettled_machines: unsettled_machines(shard)
            .iter()
            .map(ToString::to_string)
            .collect(),
    };
    (shard.recovery_state == RecoveryState::Active).then(statement)
}

/// Keeps the statements that fit into `room` bytes, the shortest first, in the order of
/// shards. A shard whose statement is left out confirms nothing about any of its machines.
/// Returns how many were left out.
fn retain_shortest_within(settled: &mut Vec<SettledShard>, mut room: usize) -> usize {
    let bytes = |statement: &SettledShard| -> usize {
        let names = statement.unsettled_machines.iter();
        names.map(|name| encoded_name_bytes(name)).sum()
    };
    let count = settled.len();
    settled.sort_by_key(|statement| (bytes(statement), statement.shard));
    settled.retain(|statement| {
        let fits = bytes(statement) <= room;
        room = room.saturating_sub(bytes(statement));
        fits
    });
    settled.sort_by_key(|statement| statement.shard);
    count - settled.len()
}

#[cfg(test)]
mod tests;
