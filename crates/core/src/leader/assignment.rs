//! Assignment of shards: every shard has a live holder, and controllers that
//! came back get their part again.

use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{shard_key, ShardId};
use crate::shard::hand_over;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_wire::state::{Transaction, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;
use std::collections::BTreeMap;

/// A controller that came back is given a shard after this many of its leases.
const STEADY_LEASES: u64 = 4;

impl Leader {
    /// Gives every shard a holder that is alive, and brings shards back to
    /// controllers that have none.
    pub(super) fn assign(&mut self, ctx: &mut Context, view: &ClusterView) {
        // Who hears no worker is given nothing, as long as there are others.
        let are_all_isolated = view.has_no_node_with_heartbeats();
        let is_isolated = |n: &NodeName| {
            !are_all_isolated
                && view
                    .nodes
                    .get(n)
                    .is_some_and(|n| n.record.receives_no_heartbeats)
        };
        let able = view.nodes.keys().filter(|n| !is_isolated(n));
        let able = able.filter(|n| Self::may_hold_shards(view, n));
        let mut load: BTreeMap<&NodeName, u32> = able.map(|n| (n, 0)).collect();
        let mut free = Vec::new();
        for k in (0..ctx.config.shards()).map(ShardId) {
            match view.holder(k) {
                Some(holder) => {
                    if let Some(n) = load.get_mut(holder) {
                        *n += 1;
                    }
                }
                None => free.push(k),
            }
        }
        self.retain_assignable(ctx, view, &mut free);
        // All of them at once: after a crash of most controllers, workers are
        // left with what remains of their leases. Each shard takes a value of
        // the epoch counter, which is written once.
        let home = |k: &ShardId| ctx.config.nodes.get(k.0 as usize);
        let most = ctx.limits.txn_ops - 1;
        let mut given = Vec::new();
        for k in free.into_iter().take(most) {
            let least = load
                .iter_mut()
                .min_by_key(|(n, l)| (**l, Some(**n) != home(&k)));
            let Some((to, n)) = least else {
                return;
            };
            *n += 1;
            log::info!("shard {k}: to {to}");
            given.push((k, (*to).clone()));
        }
        if given.is_empty() {
            self.balance(ctx, view, &load);
        } else if self.shards_being_assigned.is_empty() {
            self.shards_being_assigned
                .extend(given.iter().map(|(k, _)| *k));
            hand_over(ctx, view, &given);
        }
    }

    /// Keeps of the free shards those that can be given now. When all
    /// controllers start at once, the leader waits a little for those that are
    /// not there yet, lest the first one be given everything. Where one has
    /// stayed, shards are not kept waiting for those that may return.
    fn retain_assignable(&self, ctx: &Context, view: &ClusterView, free: &mut Vec<ShardId>) {
        let all_free = free.len() == ctx.config.shards() as usize;
        let early = all_free && ctx.now < self.leader_since + ctx.config.node_lease_ms() / 2;
        free.retain(|k| {
            let home = ctx.config.nodes.get(k.0 as usize);
            let there = home.is_some_and(|n| view.nodes.contains_key(n));
            !self.shards_being_assigned.contains(k) && (there || !early)
        });
    }

    /// Asks for one shard at a time from the controller that holds most, for the
    /// one that holds least, if the difference is more than one shard.
    fn balance(&mut self, ctx: &mut Context, view: &ClusterView, load: &BTreeMap<&NodeName, u32>) {
        let steady = ctx.config.node_lease_ms() * STEADY_LEASES;
        let ready = |n: &NodeName| {
            self.nodes
                .get(n)
                .is_some_and(|(_, t)| ctx.now >= t + steady)
        };
        let from = load.iter().max_by_key(|(_, l)| **l);
        let to = load
            .iter()
            .filter(|(n, _)| ready(n))
            .min_by_key(|(_, l)| **l);
        let (Some((from, most)), Some((to, least))) = (from, to) else {
            return;
        };
        // A wish that names somebody who is gone holds nothing up.
        let moving = view.shards.values().any(|s| {
            let want = s.record.handover_to.as_ref();
            want.is_some_and(|n| view.nodes.contains_key(n))
        });
        if *most < least + 2 || moving {
            return;
        }
        let of = view
            .shards
            .iter()
            .filter(|(_, s)| s.record.holder == **from);
        let home = |k: ShardId| ctx.config.nodes.get(k.0 as usize) == Some(*to);
        let Some((k, shard)) = of.max_by_key(|(k, _)| home(**k)) else {
            return;
        };
        log::info!("shard {k}: {from} is asked to hand it over to {to}");
        let mut record = shard.record.clone();
        record.handover_to = Some((*to).clone());
        let transaction = Transaction {
            preconditions: self.preconditions(view, shard_key(*k), shard.version),
            writes: vec![Write::put(
                shard_key(*k),
                to_value(record).unwrap_or_default(),
            )],
        };
        self.shards_being_assigned.insert(*k);
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::ShardHandover(vec![*k]),
        );
    }

    /// The write of assignments was answered, whatever the answer.
    pub(crate) fn on_shard_record_written(&mut self, shards: &[ShardId]) {
        self.shards_being_assigned.retain(|k| !shards.contains(k));
    }
}
