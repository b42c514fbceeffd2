//! Confirmations of other controllers, and for how long workers may be answered on them
//! without a valid lease.
//!
//! An answer to a worker's heartbeat keeps the worker's lease alive, and with it a task whose
//! cancellation another controller may have confirmed. Within `cancel_ms` of that
//! confirmation the task must have been stopped, whatever else fails. So the last answer
//! without the command to stop it must come `cancel_ms` less a worker's lease after the
//! confirmation at the latest (`Config::grace_ms`). All bounds here have this form: no
//! cancellation can have been confirmed before some moment, and workers are answered until
//! that moment plus the grace period. Only the moment moves.
//!
//! It moves on evidence alone. Heartbeats carry the time at which they were sent, and
//! acknowledge the receiver's last one: a confirmation holds as of the moment at which the
//! acknowledged heartbeat was *sent*, by the receiver's own clock. However late it arrives,
//! it proves nothing about a later time, and no two clocks are compared.

use crate::config::Config;
use crate::records::ShardId;
use crate::Ms;
use forkshift_wire::peer::{PeerHeartbeat, SettledShard};
use forkshift_wire::{MachineId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// The epochs that a controller had seen, as of some moment or later.
#[derive(Debug)]
struct SeenEpochs {
    as_of: Ms,
    epochs: BTreeMap<ShardId, u64>,
}

/// Whether the store refused a controller's calls, as of some moment or later.
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
/// some moment; no other machine of the shard does.
#[derive(Debug)]
struct UnsettledMachines {
    as_of: Ms,
    machines: BTreeSet<MachineId>,
}

/// What other controllers have confirmed, each as of some moment.
#[derive(Debug, Default)]
pub(crate) struct PeerConfirmations {
    seen_epochs: BTreeMap<NodeName, SeenEpochs>,
    store_refusals: BTreeMap<NodeName, StoreRefusal>,
    unsettled_machines: BTreeMap<ShardId, UnsettledMachines>,
    /// Until then this controller's own lease rules out that its shards were reassigned.
    lease_valid_until: Ms,
}

impl PeerConfirmations {
    /// Extends the time for which this controller's lease is valid.
    pub(crate) fn extend_lease_validity(&mut self, until: Ms) {
        self.lease_valid_until = self.lease_valid_until.max(until);
    }

    /// Records the confirmations in a heartbeat, which hold as of `as_of`. Older ones than
    /// those already known are ignored.
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

    /// A heartbeat without epochs confirms nothing: its sender has no complete view.
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
        // The message was under way for some time, so the refusals began even earlier.
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

    /// As of which moment a peer was alive: when the last heartbeat that it acknowledged was
    /// sent. A delayed acknowledgement proves nothing about the present.
    pub(crate) fn alive_as_of(&self, node: &NodeName) -> Option<Ms> {
        self.store_refusals.get(node).map(|refusal| refusal.as_of)
    }

    /// Before this moment no other controller can have confirmed a cancellation in a shard
    /// that is held here under `epoch`. `store_out_since` is the time since which the store
    /// has refused this controller.
    ///
    /// Only a holder under a higher epoch can confirm one, once it has seen that epoch in
    /// its view. As long as every other controller confirms that it has seen none, nobody
    /// has. A controller without link confirms nothing, nor does one that has restarted and
    /// not been served by the store since. One whose view is complete has read it after its
    /// start, so its confirmation covers its earlier incarnations.
    pub(crate) fn no_foreign_cancellation_before(
        &self,
        config: &Config,
        store_out_since: Option<Ms>,
        shard_id: ShardId,
        epoch: u64,
    ) -> Ms {
        let others = config.other_nodes();
        let confirmed = others.map(|node| self.no_higher_epoch_as_of(node, shard_id, epoch));
        let confirmed = confirmed.min().unwrap_or(Ms::MAX);
        self.lease_valid_until
            .max(confirmed)
            .max(self.store_outage_confirmed_until(config, store_out_since))
    }

    /// As of which moment a controller had seen no higher epoch of a shard; 0 if it has seen
    /// one or confirms nothing.
    fn no_higher_epoch_as_of(&self, node: &NodeName, shard_id: ShardId, epoch: u64) -> Ms {
        let seen = self.seen_epochs.get(node);
        let unclaimed = seen.filter(|seen| {
            let seen_epoch = seen.epochs.get(&shard_id).copied().unwrap_or(0);
            seen_epoch <= epoch
        });
        unclaimed.map_or(0, |seen| seen.as_of)
    }

    /// Until then the store was down for all controllers, and has been since before this
    /// controller's lease ended; 0 if that is not confirmed. In such an outage no lease
    /// expires, so nobody can have been assigned the shards, whichever controllers have no
    /// link. The store refuses at most one controller alone, so two that are refused at a
    /// time would be sufficient evidence; a majority is required, and that no controller has
    /// been served.
    fn store_outage_confirmed_until(&self, config: &Config, store_out_since: Option<Ms>) -> Ms {
        let lease_end = self.lease_valid_until;
        let is_refused_here = store_out_since.is_some_and(|since| since < lease_end);
        let mut refusals = self.store_refusals.values();
        if !is_refused_here || refusals.any(|refusal| refusal.was_served_after(lease_end)) {
            return 0;
        }
        let refusals = self.store_refusals.values();
        let refused = refusals.filter(|refusal| refusal.began_before(lease_end));
        let mut confirmed: Vec<Ms> = refused.map(|refusal| refusal.as_of).collect();
        confirmed.sort_unstable_by(|a, b| b.cmp(a));
        // Together with this controller they are a majority.
        let others_required = config.nodes.len() / 2;
        let last = others_required.checked_sub(1);
        last.and_then(|index| confirmed.get(index))
            .copied()
            .unwrap_or(0)
    }

    /// Before this moment no cancellation can have been confirmed of a task that may still
    /// be on a machine; none if nothing is confirmed about the machine.
    pub(crate) fn settled_as_of(&self, shard_id: ShardId, machine: &MachineId) -> Option<Ms> {
        let settled = self.unsettled_machines.get(&shard_id)?;
        let is_settled = !settled.machines.contains(machine);
        is_settled.then_some(settled.as_of)
    }
}
