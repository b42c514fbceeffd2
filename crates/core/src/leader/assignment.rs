//! Assignment of shares: every share has a live holder, and controllers that
//! came back get their part again.

use super::Leader;
use crate::context::Context;
use crate::pending::Pending;
use crate::records::{share_key, ShareId};
use crate::share::hand_over;
use crate::store::Urgency;
use crate::view::View;
use forkshift_wire::state::{Txn, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;
use std::collections::BTreeMap;

/// A controller that came back is given a share after this many of its leases.
const STEADY_LEASES: u64 = 4;

impl Leader {
    /// Gives every share a holder that is alive, and brings shares back to
    /// controllers that have none.
    pub(super) fn assign(&mut self, ctx: &mut Context, view: &View) {
        // Who hears no worker is given nothing, as long as there are others.
        let all_blind = view.are_all_blind();
        let blind = |n: &NodeName| !all_blind && view.nodes.get(n).is_some_and(|n| n.rec.blind);
        let able = view.nodes.keys().filter(|n| !blind(n));
        let able = able.filter(|n| Self::may_hold_shares(view, n));
        let mut load: BTreeMap<&NodeName, u32> = able.map(|n| (n, 0)).collect();
        let mut free = Vec::new();
        for k in (0..ctx.cfg.shares()).map(ShareId) {
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
        // left with what remains of their leases. Each share takes a value of
        // the epoch counter, which is written once.
        let home = |k: &ShareId| ctx.cfg.nodes.get(k.0 as usize);
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
            log::info!("share {k}: to {to}");
            given.push((k, (*to).clone()));
        }
        if given.is_empty() {
            self.balance(ctx, view, &load);
        } else if self.assigning.is_empty() {
            self.assigning.extend(given.iter().map(|(k, _)| *k));
            hand_over(ctx, view, &given);
        }
    }

    /// Keeps of the free shares those that can be given now. When all
    /// controllers start at once, the leader waits a little for those that are
    /// not there yet, lest the first one be given everything. Where one has
    /// stayed, shares are not kept waiting for those that may return.
    fn retain_assignable(&self, ctx: &Context, view: &View, free: &mut Vec<ShareId>) {
        let all_free = free.len() == ctx.cfg.shares() as usize;
        let early = all_free && ctx.now < self.active_since + ctx.cfg.node_lease_ms() / 2;
        free.retain(|k| {
            let home = ctx.cfg.nodes.get(k.0 as usize);
            let there = home.is_some_and(|n| view.nodes.contains_key(n));
            !self.assigning.contains(k) && (there || !early)
        });
    }

    /// Asks for one share at a time from the controller that holds most, for the
    /// one that holds least, if the difference is more than one share.
    fn balance(&mut self, ctx: &mut Context, view: &View, load: &BTreeMap<&NodeName, u32>) {
        let steady = ctx.cfg.node_lease_ms() * STEADY_LEASES;
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
        let moving = view.shares.values().any(|s| {
            let want = s.rec.want.as_ref();
            want.is_some_and(|n| view.nodes.contains_key(n))
        });
        if *most < least + 2 || moving {
            return;
        }
        let of = view.shares.iter().filter(|(_, s)| s.rec.holder == **from);
        let home = |k: ShareId| ctx.cfg.nodes.get(k.0 as usize) == Some(*to);
        let Some((k, share)) = of.max_by_key(|(k, _)| home(**k)) else {
            return;
        };
        log::info!("share {k}: {from} is asked to hand it over to {to}");
        let mut rec = share.rec.clone();
        rec.want = Some((*to).clone());
        let txn = Txn {
            conds: self.conds(view, share_key(*k), share.version),
            writes: vec![Write::put(share_key(*k), to_value(rec).unwrap_or_default())],
        };
        self.assigning.insert(*k);
        ctx.txn(Urgency::Member, &txn, Pending::SharePut(vec![*k]));
    }

    /// The write of assignments was answered, whatever the answer.
    pub(crate) fn on_share_put(&mut self, shares: &[ShareId]) {
        self.assigning.retain(|k| !shares.contains(k));
    }
}
