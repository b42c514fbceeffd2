//! Confirmations from other controllers, and how long they allow this controller to answer
//! workers without a valid lease.
//!
//! An answer to a worker's heartbeat renews the worker's lease, and so keeps alive a task
//! whose cancellation another controller may have confirmed. The task must have been stopped
//! within the configured cancellation timeout after the confirmation, whatever else fails.
//! The last answer without the command to stop the task must therefore be sent no later than
//! a grace period after the confirmation: the cancellation timeout less a margin for clock
//! drift and less a worker's lease (`Config::grace_ms`). All bounds in this module have the
//! same form: no cancellation can have been confirmed before a certain time, and workers are
//! answered until that time plus the grace period.
//!
//! Only evidence advances that time: this controller's own lease, and confirmations. A
//! heartbeat between controllers carries its send time and acknowledges the last heartbeat of
//! its receiver. A confirmation holds as of the time at which the acknowledged heartbeat was
//! *sent*, by the clock of the controller that sent it and now evaluates the confirmation. A
//! delayed confirmation therefore proves nothing about a later time, and times of different
//! clocks are never compared.

use crate::config::Config;
use crate::records::ShardId;
use crate::Ms;
use forkshift_wire::peer::{PeerHeartbeat, SettledShard};
use forkshift_wire::{MachineId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// The epochs of shards that a controller had seen. `as_of` is a lower bound on the time of
/// this state, by this controller's clock.
#[derive(Debug)]
struct SeenEpochs {
    as_of: Ms,
    epochs: BTreeMap<ShardId, u64>,
}

/// Whether the store refused a controller's calls. `as_of` is a lower bound on the time of
/// this state, by this controller's clock.
#[derive(Clone, Copy, Debug)]
struct StoreRefusal {
    as_of: Ms,
    /// The latest time at which the refusals can have begun; none if the store served the
    /// controller's last call.
    refused_since: Option<Ms>,
}

impl StoreRefusal {
    fn began_before(&self, time: Ms) -> bool {
        self.refused_since.is_some_and(|since| since < time)
    }

    fn was_served_after(&self, time: Ms) -> bool {
        self.refused_since.is_none() && self.as_of > time
    }
}

/// Machines of a shard that may hold a task of a job whose cancellation was confirmed before
/// `as_of`. No other machine of the shard holds such a task.
#[derive(Debug)]
struct UnsettledMachines {
    as_of: Ms,
    machines: BTreeSet<MachineId>,
}

/// The latest confirmations from other controllers, and the validity of this controller's
/// lease.
#[derive(Debug, Default)]
pub(crate) struct PeerConfirmations {
    seen_epochs: BTreeMap<NodeName, SeenEpochs>,
    store_refusals: BTreeMap<NodeName, StoreRefusal>,
    unsettled_machines: BTreeMap<ShardId, UnsettledMachines>,
    /// Until when this controller's own lease guarantees that its shards are not reassigned.
    lease_valid_until: Ms,
}

impl PeerConfirmations {
    /// Extends the time for which this controller's lease is valid.
    pub(crate) fn extend_lease_validity(&mut self, until: Ms) {
        self.lease_valid_until = self.lease_valid_until.max(until);
    }

    /// Records the confirmations in a heartbeat, which hold as of `as_of`. Confirmations that
    /// are older than the recorded ones are ignored.
    pub(crate) fn record(
        &mut self,
        from: &NodeName,
        as_of: Ms,
        now: Ms,
        heartbeat: &PeerHeartbeat,
    ) {
        self.record_seen_epochs(from, as_of, heartbeat);
        self.record_store_refusal(from, as_of, now, heartbeat);
        for settled in &heartbeat.settled_shards {
            self.record_settled_shard(as_of, settled);
        }
    }

    /// Records the epochs that a controller has seen. A heartbeat without epochs confirms
    /// nothing, as its sender has no complete view.
    fn record_seen_epochs(&mut self, from: &NodeName, as_of: Ms, heartbeat: &PeerHeartbeat) {
        let Some(epochs) = &heartbeat.epochs else {
            return;
        };
        let known = self.seen_epochs.get(from);
        if known.is_some_and(|known| as_of <= known.as_of) {
            return;
        }
        let epochs = epochs.iter().map(|(id, epoch)| (ShardId(*id), *epoch));
        let epochs = epochs.collect();
        let seen = SeenEpochs { as_of, epochs };
        self.seen_epochs.insert(from.clone(), seen);
    }

    fn record_store_refusal(
        &mut self,
        from: &NodeName,
        as_of: Ms,
        now: Ms,
        heartbeat: &PeerHeartbeat,
    ) {
        let known = self.store_refusals.get(from);
        if known.is_some_and(|known| as_of <= known.as_of) {
            return;
        }
        // The duration is as of the send time, so the refusals began no later than this.
        let refused_for_ms = heartbeat.store_refused_for_ms;
        let refusal = StoreRefusal {
            as_of,
            refused_since: refused_for_ms.map(|duration| now.saturating_sub(duration)),
        };
        self.store_refusals.insert(from.clone(), refusal);
    }

    fn record_settled_shard(&mut self, as_of: Ms, settled: &SettledShard) {
        let shard_id = ShardId(settled.shard);
        let known = self.unsettled_machines.get(&shard_id);
        if known.is_some_and(|known| as_of <= known.as_of) {
            return;
        }
        let names = settled.unsettled_machines.iter();
        let machines = names.map(|name| MachineId::new(name)).collect();
        let unsettled = UnsettledMachines { as_of, machines };
        self.unsettled_machines.insert(shard_id, unsettled);
    }

    /// The latest time at which a peer is known to have been alive: the send time of the last
    /// heartbeat that it acknowledged, as a delayed acknowledgement proves nothing about the
    /// present. None if it has acknowledged none.
    pub(crate) fn alive_as_of(&self, node: &NodeName) -> Option<Ms> {
        self.store_refusals.get(node).map(|refusal| refusal.as_of)
    }

    /// The time before which no other controller can have confirmed a cancellation in a shard
    /// that is held here under `epoch`. `store_unavailable_since` is the time since which the
    /// store has refused this controller's calls; none if the store serves them.
    ///
    /// Only a holder under a higher epoch can confirm a cancellation, once it has seen that
    /// epoch in its view. While every other controller confirms that it has seen no higher
    /// epoch, there is no such holder. A controller without a link to this one confirms
    /// nothing, and neither does a controller that has restarted and has not been served by
    /// the store since. A controller with a complete view has read the view after its start,
    /// so its confirmation covers its earlier incarnations.
    pub(crate) fn no_foreign_cancellation_before(
        &self,
        config: &Config,
        store_unavailable_since: Option<Ms>,
        shard_id: ShardId,
        epoch: u64,
    ) -> Ms {
        let others = config.other_nodes();
        let confirmed = others.map(|node| self.no_higher_epoch_as_of(node, shard_id, epoch));
        let confirmed = confirmed.min().unwrap_or(Ms::MAX);
        self.lease_valid_until
            .max(confirmed)
            .max(self.store_outage_confirmed_until(config, store_unavailable_since))
    }

    /// The latest time at which a controller is known to have seen no higher epoch of a shard;
    /// 0 if it has seen a higher epoch or confirms nothing.
    fn no_higher_epoch_as_of(&self, node: &NodeName, shard_id: ShardId, epoch: u64) -> Ms {
        let seen = self.seen_epochs.get(node);
        let unclaimed = seen.filter(|seen| {
            let seen_epoch = seen.epochs.get(&shard_id).copied().unwrap_or(0);
            seen_epoch <= epoch
        });
        unclaimed.map_or(0, |seen| seen.as_of)
    }

    /// The latest time at which the store is confirmed to have been down for all controllers
    /// without interruption since before this controller's lease expired; 0 if that is not
    /// confirmed. During such an outage no lease expires, so no shard can have been
    /// reassigned, even to a controller that sends no confirmation.
    ///
    /// The store refuses at most one controller individually, so two controllers that are
    /// refused at the same time would be sufficient evidence. This check requires a majority,
    /// and that the store is not known to have served any other controller since.
    fn store_outage_confirmed_until(
        &self,
        config: &Config,
        store_unavailable_since: Option<Ms>,
    ) -> Ms {
        let lease_end = self.lease_valid_until;
        let is_refused_here = store_unavailable_since.is_some_and(|since| since < lease_end);
        let mut refusals = self.store_refusals.values();
        if !is_refused_here || refusals.any(|refusal| refusal.was_served_after(lease_end)) {
            return 0;
        }
        let refusals = self.store_refusals.values();
        let refused = refusals.filter(|refusal| refusal.began_before(lease_end));
        let mut confirmed: Vec<Ms> = refused.map(|refusal| refusal.as_of).collect();
        confirmed.sort_unstable_by(|a, b| b.cmp(a));
        // Together with this controller, this number of others is a majority.
        let others_required = config.nodes.len() / 2;
        let last = others_required.checked_sub(1);
        last.and_then(|index| confirmed.get(index))
            .copied()
            .unwrap_or(0)
    }

    /// The time before which no cancellation can have been confirmed for a task that may still
    /// be on a machine; none if nothing is confirmed about the machine.
    pub(crate) fn settled_as_of(&self, shard_id: ShardId, machine: &MachineId) -> Option<Ms> {
        let settled = self.unsettled_machines.get(&shard_id)?;
        let is_settled = !settled.machines.contains(machine);
        is_settled.then_some(settled.as_of)
    }
}
