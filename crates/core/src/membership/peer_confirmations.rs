//! Attestations of other controllers, and for how long workers may be answered
//! on them without a valid lease.
//!
//! Whoever answers a worker's report keeps its lease alive, and with it a task
//! whose cancellation another controller may have confirmed. By `cancel_ms`
//! after that the task must be gone, whatever else fails: so the last answer
//! that carries no command to stop it must come `cancel_ms` less a worker's lease
//! after the confirmation at the latest (`Config::grace_ms`). All bounds here
//! have this form: nothing can have been confirmed before some moment, and
//! workers are answered until that moment and the grace. Only the moment moves.
//!
//! It moves on evidence alone. Heartbeats carry the time at which they were
//! sent, and echo the receiver's last one: a statement is true as of the
//! moment at which the heartbeat that it echoes was *sent*, by the receiver's
//! own clock. However late it comes, it proves nothing about a later time, and
//! no two clocks are compared.

use crate::bounds::listed_bytes;
use crate::context::Context;
use crate::node::Node;
use crate::overflow::Overflow;
use crate::records::ShardId;
use crate::shard::{Phase, Shard};
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::peer::{Body, HeartbeatAck, PeerHeartbeat, SettledShard};
use forkshift_wire::{MachineId, NodeName};
use std::collections::{BTreeMap, BTreeSet};

/// A controller that was heard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// This start of it.
    pub(crate) incarnation: u64,
    /// When it was heard last.
    pub(crate) last_message_at: Ms,
    /// Its clock when it sent its last heartbeat.
    pub(crate) last_heartbeat_sent_at: Option<u64>,
}

/// Which epochs a controller had seen, as of some moment or later.
#[derive(Debug)]
struct SeenEpochs {
    as_of: Ms,
    epochs: BTreeMap<ShardId, u64>,
}

/// Since when the state service has refused a controller, at the latest, as
/// of some moment or later; none: it was served last.
#[derive(Clone, Copy, Debug)]
struct StoreRefusal {
    as_of: Ms,
    refused_since: Option<Ms>,
}

/// Machines of a shard that may hold a task of a job whose cancellation was
/// confirmed before some moment; no other machine of it does.
#[derive(Debug)]
struct UnsettledMachines {
    as_of: Ms,
    machines: BTreeSet<MachineId>,
}

/// What other controllers have attested, each as of some moment.
#[derive(Debug, Default)]
pub(crate) struct PeerConfirmations {
    seen_epochs: BTreeMap<NodeName, SeenEpochs>,
    store_refusals: BTreeMap<NodeName, StoreRefusal>,
    unsettled_machines: BTreeMap<ShardId, UnsettledMachines>,
    /// Until then nobody can have been given our shards, by our own lease.
    lease_valid_until: Ms,
}

impl PeerConfirmations {
    /// We have a right until then.
    pub(crate) fn note_lease_valid_until(&mut self, until: Ms) {
        self.lease_valid_until = self.lease_valid_until.max(until);
    }

    /// As of which moment a peer was there: when the heartbeat of ours was sent that its
    /// last one answers. One that was held up on the way proves nothing about now.
    pub(crate) fn alive_as_of(&self, node: &NodeName) -> Option<Ms> {
        self.store_refusals.get(node).map(|r| r.as_of)
    }

    /// Before this moment nobody can have confirmed a cancellation in our
    /// stead. Only a holder of the shard under a higher epoch can, once it has
    /// seen that epoch in its view. As long as every other controller
    /// attests that it has not seen one, nobody has. A controller that is not heard
    /// attests nothing, nor does one that has restarted and was not served
    /// since. One whose view is complete has read it after its start, so it
    /// attests this for its earlier starts as well.
    fn unclaimed_until(&self, ctx: &Context, shard: &Shard) -> Ms {
        let config = &ctx.config;
        let others = config.other_nodes();
        let attested = others.map(|n| {
            let seen = self.seen_epochs.get(n);
            let unclaimed = seen.filter(|s| {
                let epoch = s.epochs.get(&shard.id).copied().unwrap_or(0);
                epoch <= shard.epoch
            });
            unclaimed.map_or(0, |s| s.as_of)
        });
        let attested = attested.min().unwrap_or(Ms::MAX);
        self.lease_valid_until
            .max(attested)
            .max(self.store_outage_confirmed_until(ctx))
    }

    /// Until then the state service was out for everybody, and has been since
    /// before our right ended: our lease has not run out, so nobody has our
    /// shards, whoever is not heard. The service refuses a single controller
    /// alone, so two that are refused at a time would do; a majority is asked
    /// for, and that nobody says otherwise.
    fn store_outage_confirmed_until(&self, ctx: &Context) -> Ms {
        let in_time = |from: Option<Ms>| from.is_some_and(|t| t < self.lease_valid_until);
        let served =
            |r: &StoreRefusal| r.refused_since.is_none() && r.as_of > self.lease_valid_until;
        if !in_time(ctx.store.out_since()) || self.store_refusals.values().any(served) {
            return 0;
        }
        let refused = self
            .store_refusals
            .values()
            .filter(|r| in_time(r.refused_since));
        let mut since: Vec<Ms> = refused.map(|r| r.as_of).collect();
        since.sort_unstable_by(|a, b| b.cmp(a));
        // With us they are a majority.
        let others = ctx.config.nodes.len() / 2;
        let last = others.checked_sub(1).and_then(|n| since.get(n));
        last.copied().unwrap_or(0)
    }

    /// Before this moment no cancellation can have been confirmed of a task
    /// that may still be on a machine.
    fn settled_until(&self, shard: ShardId, machine: &MachineId) -> Option<Ms> {
        let settled = self.unsettled_machines.get(&shard);
        let settled = settled.filter(|u| !u.machines.contains(machine));
        settled.map(|u| u.as_of)
    }
}

impl Shard {
    /// Machines that may hold a task of a cancelled job, or something that
    /// is not known here.
    fn unsettled(&self) -> BTreeSet<&MachineId> {
        let cancelled = self.jobs.values().filter(|j| j.is_cancelled);
        let holding = cancelled.flat_map(|j| j.bound.values().map(|b| &b.machine));
        let strays = self.machines.values().filter(|m| !m.orphans.is_empty());
        holding.chain(strays.map(|m| &m.id)).collect()
    }

    fn settled(&self) -> Option<SettledShard> {
        (self.phase == Phase::Active).then(|| SettledShard {
            shard: self.id.0,
            unsettled_machines: self.unsettled().iter().map(ToString::to_string).collect(),
        })
    }
}

/// Keeps the statements that have room in a heartbeat, the shortest first. A shard
/// whose statement has none makes no statement about any of its machines. Returns
/// how many were left out.
fn keep_shortest_within(settled: &mut Vec<SettledShard>, mut room: usize) -> usize {
    let bytes = |s: &SettledShard| -> usize {
        let names = s.unsettled_machines.iter();
        names.map(|name| listed_bytes(name)).sum()
    };
    let all = settled.len();
    settled.sort_by_key(|s| (bytes(s), s.shard));
    settled.retain(|s| {
        let fits = bytes(s) <= room;
        room = room.saturating_sub(bytes(s));
        fits
    });
    settled.sort_by_key(|s| s.shard);
    all - settled.len()
}

impl ClusterView {
    /// The epochs that were seen; none while the view is not complete.
    fn epochs(&self) -> Option<Vec<(u32, u64)>> {
        let shards = self.shards.iter();
        let epochs = || shards.map(|(k, s)| (k.0, s.record.epoch)).collect();
        self.is_complete.then(epochs)
    }
}

impl Node {
    /// Notes that a peer is there.
    pub(crate) fn note_peer_alive(&mut self, from: &NodeName, incarnation: u64) {
        let heard = self.ctx.now;
        let known = self
            .ctx
            .peers
            .get(from)
            .filter(|p| p.incarnation == incarnation);
        let sent = known.and_then(|p| p.last_heartbeat_sent_at);
        self.ctx.peers.insert(
            from.clone(),
            Peer {
                incarnation,
                last_message_at: heard,
                last_heartbeat_sent_at: sent,
            },
        );
    }

    /// Tells all peers that we are here, and what they may rely on.
    pub(crate) fn send_heartbeats(&mut self) {
        let config = self.ctx.config.clone();
        let epochs = self.view.epochs();
        // While we have a right nobody else can have confirmed anything, so
        // what we know of our shards is all there is.
        let has_valid_lease = self.ctx.has_valid_lease;
        let shards = self.shards.values().filter(|_| has_valid_lease);
        let refused_for = self.ctx.store.out_since();
        let refused_for = refused_for.map(|t| self.ctx.now.saturating_sub(t));
        let mut settled: Vec<SettledShard> = shards.filter_map(Shard::settled).collect();
        if keep_shortest_within(&mut settled, config.bounds.list_bytes) > 0 {
            let now = self.ctx.now;
            self.ctx.overflows.note(now, Overflow::UnsettledMachines);
        }
        for node in config.other_nodes() {
            let peer = self.ctx.peers.get(node);
            let acknowledged = peer.and_then(|p| {
                p.last_heartbeat_sent_at.map(|sent| HeartbeatAck {
                    incarnation: p.incarnation,
                    sent_at: sent,
                })
            });
            let body = Body::Heartbeat(PeerHeartbeat {
                sent_at: self.ctx.now,
                acknowledged,
                epochs: epochs.clone(),
                store_refused_for_ms: refused_for,
                settled_shards: settled.clone(),
            });
            self.ctx.send_to_peer(node, 0, body);
        }
    }

    /// Takes in what a peer states. Whether its lease lives does not matter:
    /// in an outage nobody can know.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: &NodeName,
        incarnation: u64,
        heartbeat: PeerHeartbeat,
    ) {
        if let Some(peer) = self
            .ctx
            .peers
            .get_mut(from)
            .filter(|p| p.incarnation == incarnation)
        {
            peer.last_heartbeat_sent_at = peer.last_heartbeat_sent_at.max(Some(heartbeat.sent_at));
        }
        let epochs = heartbeat.epochs.iter().flatten();
        let epochs: BTreeMap<ShardId, u64> = epochs.map(|(k, e)| (ShardId(*k), *e)).collect();
        for (k, epoch) in &epochs {
            if let Some(shard) = self.shards.get_mut(k).filter(|s| s.epoch < *epoch) {
                shard.mark_superseded(&format!("{from} has seen epoch {epoch}"));
            }
        }
        // An echo of an earlier start of ours is not of our clock.
        let acknowledged = heartbeat
            .acknowledged
            .filter(|e| e.incarnation == self.ctx.incarnation);
        let Some(since) = acknowledged.map(|e| e.sent_at.min(self.ctx.now)) else {
            return;
        };
        let attestations = &mut self.ctx.peer_confirmations;
        let newer = attestations
            .seen_epochs
            .get(from)
            .is_none_or(|s| since > s.as_of);
        if heartbeat.epochs.is_some() && newer {
            attestations.seen_epochs.insert(
                from.clone(),
                SeenEpochs {
                    as_of: since,
                    epochs,
                },
            );
        }
        if attestations
            .store_refusals
            .get(from)
            .is_none_or(|r| since > r.as_of)
        {
            // The message took some time, so it began before that.
            let from_when = heartbeat
                .store_refused_for_ms
                .map(|t| self.ctx.now.saturating_sub(t));
            let refused = StoreRefusal {
                as_of: since,
                refused_since: from_when,
            };
            attestations.store_refusals.insert(from.clone(), refused);
        }
        for settled in heartbeat.settled_shards {
            let k = ShardId(settled.shard);
            let machines = settled.unsettled_machines.iter().map(|m| MachineId::new(m));
            let machines = machines.collect();
            if attestations
                .unsettled_machines
                .get(&k)
                .is_none_or(|u| since > u.as_of)
            {
                attestations.unsettled_machines.insert(
                    k,
                    UnsettledMachines {
                        as_of: since,
                        machines,
                    },
                );
            }
        }
    }

    /// Whether we answer workers of a shard of ours although we have no right
    /// any more. Once our lease has run out another controller may be given the
    /// shard and confirm cancellations that we never hear of.
    pub(crate) fn may_answer_without_lease(&self, shard: &Shard) -> bool {
        let until = self
            .ctx
            .peer_confirmations
            .unclaimed_until(&self.ctx, shard);
        !shard.is_superseded && self.ctx.now < until.saturating_add(self.ctx.config.grace_ms())
    }

    /// Whether a worker may be answered by somebody who does not know which of
    /// its tasks are cancelled: the last holder that had a right has stated that
    /// none is that was cancelled before.
    fn is_settled(&self, shard: ShardId, machine: &MachineId) -> bool {
        let until = self.ctx.peer_confirmations.settled_until(shard, machine);
        until.is_some_and(|t| self.ctx.now < t + self.ctx.config.grace_ms())
    }

    /// Whether a worker of a shard that we are still loading is answered. What
    /// an earlier holder confirmed and could not carry out is not known yet.
    /// The worker's last answer from that holder came before the
    /// confirmation, else it would have carried the command to stop; it is less
    /// than a lease old, or the worker's incarnation would be over.
    pub(crate) fn may_answer_while_loading(&self, shard: &Shard, machine: &MachineId) -> bool {
        self.ctx.now < shard.active_since + self.ctx.config.loading_grace_ms()
            || self.is_settled(shard.id, machine)
    }

    /// Whether we keep the lease of a worker alive that another controller
    /// holds: we are cut off from the state service and from that controller,
    /// and so, it seems, is the worker. It is given no commands, and its own
    /// token back.
    pub(crate) fn may_keep_worker_alive(&self, shard: ShardId, machine: &MachineId) -> bool {
        let Some(holder) = self.view.shards.get(&shard).map(|s| &s.record) else {
            return false;
        };
        let lease = self.ctx.config.node_lease_ms();
        self.ctx.now > self.membership.last_renewal_sent_at() + lease * 6 / 10
            && !self
                .ctx
                .is_peer_alive(&holder.holder, holder.holder_incarnation)
            && self.is_settled(shard, machine)
    }
}

#[cfg(test)]
mod tests;
