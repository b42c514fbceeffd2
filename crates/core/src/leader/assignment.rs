//! Assignment of shards: every shard has a live holder, and controllers that
//! restarted get their part of the shards again.

use super::transactions::put_if_unchanged;
use super::Leader;
use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{shard_key, ShardId};
use crate::shard::hand_over_shards;
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use crate::Ms;
use forkshift_wire::NodeName;
use std::collections::{BTreeMap, BTreeSet};

/// A controller that restarted is given a shard after this many of its leases.
const STEADY_LEASES: u64 = 4;
/// Shards are moved between controllers whose numbers of shards differ by this many.
const MIN_IMBALANCE: u32 = 2;

/// State of the assignment of shards.
#[derive(Default)]
pub(super) struct AssignmentState {
    /// When shards are checked next.
    pub(super) next_check_at: Ms,
    /// Shards whose new assignment is being written.
    being_written: BTreeSet<ShardId>,
}

/// How many shards each controller holds, of those that may hold shards.
type ShardCounts<'a> = BTreeMap<&'a NodeName, u32>;

impl Leader {
    /// Gives every shard a holder that is alive, and brings shards back to
    /// controllers that have none.
    pub(super) fn assign(&mut self, ctx: &mut Context, view: &ClusterView) {
        let mut counts = eligible_nodes(view);
        let mut unassigned = Vec::new();
        for shard_id in (0..ctx.config.shard_count()).map(ShardId) {
            match view.holder(shard_id) {
                Some(holder) => {
                    if let Some(count) = counts.get_mut(holder) {
                        *count += 1;
                    }
                }
                None => unassigned.push(shard_id),
            }
        }
        self.retain_assignable(ctx, view, &mut unassigned);
        let Some(assignments) = choose_holders(ctx, unassigned, &mut counts) else {
            return;
        };
        if assignments.is_empty() {
            self.balance(ctx, view, &counts);
        } else if self.assignment.being_written.is_empty() {
            let shards = assignments.iter().map(|(shard_id, _)| *shard_id);
            self.assignment.being_written.extend(shards);
            hand_over_shards(ctx, view, &assignments);
        }
    }

    /// Keeps of the unassigned shards those that can be assigned now. When all
    /// controllers start at once, the leader waits a little for those that have not
    /// registered yet, lest the first one be given everything. Where one has
    /// stayed, shards are not kept waiting for those that may return.
    fn retain_assignable(&self, ctx: &Context, view: &ClusterView, unassigned: &mut Vec<ShardId>) {
        let is_first_start = unassigned.len() == ctx.config.shard_count() as usize;
        let registration_ends_at = self.elected_at + ctx.config.node_lease_ms() / 2;
        let is_early = is_first_start && ctx.now < registration_ends_at;
        unassigned.retain(|shard_id| {
            let home = home_of(ctx, *shard_id);
            let is_home_registered = home.is_some_and(|node| view.nodes.contains_key(node));
            !self.assignment.being_written.contains(shard_id) && (is_home_registered || !is_early)
        });
    }

    /// Requests the handover of one shard at a time from the controller that holds
    /// most to the one that holds least.
    fn balance(&mut self, ctx: &mut Context, view: &ClusterView, counts: &ShardCounts) {
        let largest = counts.iter().max_by_key(|(_, count)| **count);
        let smallest = counts
            .iter()
            .filter(|(node, _)| self.is_steady(ctx, node))
            .min_by_key(|(_, count)| **count);
        let (Some((from, max_count)), Some((to, min_count))) = (largest, smallest) else {
            return;
        };
        if *max_count < min_count + MIN_IMBALANCE || is_handover_requested(view) {
            return;
        }
        let candidates = view
            .shards
            .iter()
            .filter(|(_, shard)| shard.record.holder == **from);
        let is_home = |shard_id: ShardId| home_of(ctx, shard_id) == Some(*to);
        let Some((shard_id, shard)) = candidates.max_by_key(|(id, _)| is_home(**id)) else {
            return;
        };
        log::info!("shard {shard_id}: handover requested, from {from} to {to}");
        let mut record = shard.record.clone();
        record.handover_to = Some((*to).clone());
        let transaction = put_if_unchanged(view, shard_key(*shard_id), shard.version, &record);
        self.assignment.being_written.insert(*shard_id);
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::ShardHandover(vec![*shard_id]),
        );
    }

    /// Whether a controller has been registered for long enough to be given shards
    /// of others.
    fn is_steady(&self, ctx: &Context, node: &NodeName) -> bool {
        let min_age = ctx.config.node_lease_ms() * STEADY_LEASES;
        let presence = self.nodes.get(node);
        presence.is_some_and(|presence| ctx.now >= presence.since + min_age)
    }

    /// The write of assignments was answered, whatever the answer.
    pub(crate) fn on_shard_record_written(&mut self, shards: &[ShardId]) {
        self.assignment
            .being_written
            .retain(|shard_id| !shards.contains(shard_id));
    }
}

/// The controllers that may hold shards, each with a count of 0. One that receives
/// no heartbeats may not, as long as there are others.
fn eligible_nodes(view: &ClusterView) -> ShardCounts<'_> {
    let are_all_isolated = view.has_no_node_with_heartbeats();
    view.nodes
        .iter()
        .filter(|(_, node)| are_all_isolated || !node.record.receives_no_heartbeats)
        .map(|(name, _)| name)
        .filter(|name| Leader::may_hold_shards(view, name))
        .map(|name| (name, 0))
        .collect()
}

/// Chooses a holder for each shard: the controller with the fewest shards, the
/// shard's home among equals. None, if no controller may hold shards.
///
/// All are assigned at once: after a crash of most controllers, workers are left
/// with what remains of their leases. Each shard takes a value of the epoch
/// counter, which is written once.
fn choose_holders(
    ctx: &Context,
    unassigned: Vec<ShardId>,
    counts: &mut ShardCounts,
) -> Option<Vec<(ShardId, NodeName)>> {
    let max_shards = ctx.limits.txn_ops - 1;
    let mut assignments = Vec::new();
    for shard_id in unassigned.into_iter().take(max_shards) {
        let home = home_of(ctx, shard_id);
        let (node, count) = counts
            .iter_mut()
            .min_by_key(|(node, count)| (**count, Some(**node) != home))?;
        *count += 1;
        log::info!("shard {shard_id}: assigned, to {node}");
        assignments.push((shard_id, (*node).clone()));
    }
    Some(assignments)
}

/// The controller that a shard is assigned to while all are alive.
fn home_of(ctx: &Context, shard_id: ShardId) -> Option<&NodeName> {
    ctx.config.nodes.get(shard_id.0 as usize)
}

/// Whether a handover to a controller that is registered has been requested. One
/// to a controller that was removed holds nothing up.
fn is_handover_requested(view: &ClusterView) -> bool {
    view.shards.values().any(|shard| {
        let target = shard.record.handover_to.as_ref();
        target.is_some_and(|node| view.nodes.contains_key(node))
    })
}
