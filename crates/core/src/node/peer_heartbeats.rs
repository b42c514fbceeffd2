//! Heartbeats between controllers: the contents of this controller's heartbeats, the
//! processing of received ones, and the decisions which workers may be answered on the
//! confirmations in them.

use super::Node;
use crate::bounds::encoded_name_bytes;
use crate::overflow::Overflow;
use crate::records::ShardId;
use crate::shard::{RecoveryState, Shard};
use crate::Ms;
use forkshift_wire::peer::{Body, PeerHeartbeat, SettledShard};
use forkshift_wire::{MachineId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of a controller's lease that must have passed since the last successful renewal
/// before the controller answers workers of other holders' shards.
const CUT_OFF_LEASE_NUMERATOR: Ms = 6;
const CUT_OFF_LEASE_DENOMINATOR: Ms = 10;

impl Node {
    /// Records the receipt of a message from another controller, as a sign of life.
    pub(crate) fn record_peer_message(&mut self, from: &NodeName, incarnation: u64) {
        let now = self.ctx.now;
        self.ctx.peers.record_message(from, incarnation, now);
    }

    /// Sends a heartbeat to every other controller. It acknowledges the receiver's last
    /// heartbeat and confirms the epochs seen, refusals by the store, and settled shards.
    pub(super) fn send_heartbeats(&mut self) {
        let config = self.ctx.config.clone();
        let epochs = self.view.shard_epochs();
        let store_unavailable_since = self.ctx.store.refusing_since();
        let store_refused_for_ms = store_unavailable_since.map(|t| self.ctx.now.saturating_sub(t));
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

    /// The statements about the machines of the shards held here, as many as fit into the size
    /// limit of a heartbeat. The list is empty without a valid lease: another controller may
    /// then have confirmed a cancellation that is not known here.
    fn settled_shards(&mut self) -> Vec<SettledShard> {
        if !self.ctx.has_valid_lease {
            return Vec::new();
        }
        let shards = self.shards.values();
        let mut settled: Vec<SettledShard> = shards.filter_map(settled_statement).collect();
        let max_bytes = self.ctx.config.bounds.list_bytes;
        if retain_shortest_within(&mut settled, max_bytes) > 0 {
            let now = self.ctx.now;
            self.ctx.overflows.record(now, Overflow::UnsettledMachines);
        }
        settled
    }

    /// Processes a heartbeat from another controller. It is accepted whether or not the sender
    /// has a valid lease, as that cannot be determined during an outage of the store.
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
        // An acknowledgement to an earlier incarnation carries a time of another clock.
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

    /// Marks the shards held here for which another controller has seen a higher epoch.
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

    /// Whether workers of a shard held here may be answered although this controller's lease
    /// has expired. After the expiry another controller may be assigned the shard and confirm
    /// cancellations that are not known here, so the permission is limited to the grace period
    /// after the time up to which that is ruled out.
    pub(crate) fn may_answer_without_lease(&self, shard: &Shard) -> bool {
        let until = self.ctx.peer_confirmations.no_foreign_cancellation_before(
            &self.ctx.config,
            self.ctx.store.refusing_since(),
            shard.id,
            shard.epoch,
        );
        !shard.is_superseded && self.ctx.now < until.saturating_add(self.ctx.config.grace_ms())
    }

    /// Whether a worker may be answered by a controller that does not know which of its tasks
    /// are cancelled: within the grace period before now, a holder with a valid lease has
    /// confirmed that the machine held no task of a cancelled job.
    fn is_machine_settled(&self, shard_id: ShardId, machine: &MachineId) -> bool {
        let confirmations = &self.ctx.peer_confirmations;
        let until = confirmations.settled_as_of(shard_id, machine);
        until.is_some_and(|until| self.ctx.now < until + self.ctx.config.grace_ms())
    }

    /// Whether a worker of a shard that is still being loaded may be answered. Cancellations
    /// that an earlier holder confirmed but did not complete are not known here yet. The
    /// worker's last answer from that holder was sent before the confirmation, or it would
    /// have carried the command to stop. That answer is less than a worker's lease old, or the
    /// worker's incarnation would have ended. The permission therefore lasts for
    /// `Config::recovery_grace_ms`, which takes that lease into account.
    pub(crate) fn may_answer_while_loading(&self, shard: &Shard, machine: &MachineId) -> bool {
        self.ctx.now < shard.active_since + self.ctx.config.recovery_grace_ms()
            || self.is_machine_settled(shard.id, machine)
    }

    /// Whether the lease of a worker in another holder's shard is renewed by this controller.
    /// That is the case if this controller is cut off from the store and from that holder, as
    /// the worker presumably is too, and the machine is settled. The answer contains no
    /// commands and returns the worker's own token.
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

/// Machines of a shard that may hold a task of a cancelled job, or a task that this controller
/// does not know.
fn unsettled_machines(shard: &Shard) -> BTreeSet<&MachineId> {
    let cancelled = shard.jobs.values().filter(|job| job.is_cancelled);
    let holding = cancelled.flat_map(|job| job.bindings.values().map(|binding| &binding.machine));
    let machines = shard.machines.values();
    let with_orphans = machines.filter(|machine| !machine.orphans.is_empty());
    holding
        .chain(with_orphans.map(|machine| &machine.id))
        .collect()
}

/// The statement which machines of a shard are unsettled; none while the shard is not active,
/// as its jobs are not known completely.
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

/// Drops the longest statements until the others fit into `max_bytes` when encoded, and sorts
/// the others by shard. A shard without a statement confirms nothing about any of its
/// machines. Returns the number of dropped statements.
fn retain_shortest_within(settled: &mut Vec<SettledShard>, max_bytes: usize) -> usize {
    let bytes = |statement: &SettledShard| -> usize {
        let names = statement.unsettled_machines.iter();
        names.map(|name| encoded_name_bytes(name)).sum()
    };
    let count = settled.len();
    let mut remaining_bytes = max_bytes;
    settled.sort_by_key(|statement| (bytes(statement), statement.shard));
    settled.retain(|statement| {
        let fits = bytes(statement) <= remaining_bytes;
        remaining_bytes = remaining_bytes.saturating_sub(bytes(statement));
        fits
    });
    settled.sort_by_key(|statement| statement.shard);
    count - settled.len()
}

#[cfg(test)]
mod tests;
