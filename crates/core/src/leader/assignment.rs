//! Assignment of shards to controllers: shards whose holder is not registered are
//! reassigned, and shards are moved to controllers that hold too few of them, such
//! as those that have restarted.

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

/// A controller receives shards of other controllers once it has been registered
/// for this many controller leases.
const MIN_UPTIME_LEASES: u64 = 4;
/// Smallest difference between the shard counts of two controllers at which a
/// shard is moved from one to the other.
const MIN_IMBALANCE: u32 = 2;

/// State of the assignment of shards.
#[derive(Default)]
pub(super) struct AssignmentState {
    /// When the periodic tasks of the leader run next.
    pub(super) next_check_at: Ms,
    /// Shards with an assignment or a handover request in flight to the store.
    writes_in_flight: BTreeSet<ShardId>,
}

/// Number of shards per controller, of the controllers that may hold shards.
type ShardCounts<'a> = BTreeMap<&'a NodeName, u32>;

impl Leader {
    /// Assigns the shards that have no registered holder. If there are none,
    /// balances the number of shards per controller.
    pub(super) fn assign_shards(&mut self, ctx: &mut Context, view: &ClusterView) {
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
            self.balance_shards(ctx, view, &counts);
        } else if self.assignment.writes_in_flight.is_empty() {
            let shards = assignments.iter().map(|(shard_id, _)| *shard_id);
            self.assignment.writes_in_flight.extend(shards);
            hand_over_shards(ctx, view, &assignments);
        }
    }

    /// Retains the unassigned shards that can be assigned now.
    ///
    /// If no shard has a holder, all controllers are starting. For half a controller
    /// lease after the election, a shard is then assigned only if its preferred
    /// controller is registered; without this delay the first controller to register
    /// would receive all shards. If any controller still holds a shard, the other
    /// shards are assigned without the delay.
    fn retain_assignable(&self, ctx: &Context, view: &ClusterView, unassigned: &mut Vec<ShardId>) {
        let is_cluster_start = unassigned.len() == ctx.config.shard_count() as usize;
        let registration_ends_at = self.elected_at + ctx.config.node_lease_ms() / 2;
        let may_more_nodes_register = is_cluster_start && ctx.now < registration_ends_at;
        unassigned.retain(|shard_id| {
            let preferred = preferred_node(ctx, *shard_id);
            let is_preferred_node_registered =
                preferred.is_some_and(|node| view.nodes.contains_key(node));
            !self.assignment.writes_in_flight.contains(shard_id)
                && (is_preferred_node_registered || !may_more_nodes_register)
        });
    }

    /// Requests the handover of one shard from the controller with the most shards
    /// to the stable controller with the fewest. One handover is requested at a time.
    fn balance_shards(&mut self, ctx: &mut Context, view: &ClusterView, counts: &ShardCounts) {
        let largest = counts.iter().max_by_key(|(_, count)| **count);
        let smallest = counts
            .iter()
            .filter(|(node, _)| self.is_stable(ctx, node))
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
        let is_preferred = |shard_id: ShardId| preferred_node(ctx, shard_id) == Some(*to);
        let Some((shard_id, shard)) = candidates.max_by_key(|(id, _)| is_preferred(**id)) else {
            return;
        };
        log::info!("shard {shard_id}: handover requested, from {from} to {to}");
        let mut record = shard.record.clone();
        record.handover_to = Some((*to).clone());
        let transaction = put_if_unchanged(view, shard_key(*shard_id), shard.version, &record);
        self.assignment.writes_in_flight.insert(*shard_id);
        ctx.transact(
            Urgency::Membership,
            &transaction,
            PendingCall::ShardHandover(vec![*shard_id]),
        );
    }

    /// Whether a controller has been registered for long enough to receive shards
    /// of other controllers.
    fn is_stable(&self, ctx: &Context, node: &NodeName) -> bool {
        let min_age = ctx.config.node_lease_ms() * MIN_UPTIME_LEASES;
        let registered = self.nodes.get(node);
        registered.is_some_and(|node| ctx.now >= node.registered_at + min_age)
    }

    /// Handles the response to an assignment or a handover request, whatever its
    /// status.
    pub(crate) fn on_shard_record_written(&mut self, shards: &[ShardId]) {
        self.assignment
            .writes_in_flight
            .retain(|shard_id| !shards.contains(shard_id));
    }
}

/// The controllers that may hold shards, each with a count of 0. A controller that
/// receives no worker heartbeats is excluded, unless this holds for all controllers.
fn eligible_nodes(view: &ClusterView) -> ShardCounts<'_> {
    let are_all_isolated = view.are_all_nodes_isolated();
    view.nodes
        .iter()
        .filter(|(_, node)| are_all_isolated || !node.record.receives_no_heartbeats)
        .map(|(name, _)| name)
        .filter(|name| Leader::may_hold_shards(view, name))
        .map(|name| (name, 0))
        .collect()
}

/// Chooses a holder for each unassigned shard: the controller with the fewest
/// shards, and the shard's preferred controller if several have equally few. None
/// if no controller may hold shards.
///
/// All shards are assigned in one transaction, up to its limit on writes: after a
/// crash of most controllers, the workers need a new holder before their leases
/// expire. Each shard takes a new value of the epoch counter; one write of the
/// transaction updates the counter.
fn choose_holders(
    ctx: &Context,
    unassigned: Vec<ShardId>,
    counts: &mut ShardCounts,
) -> Option<Vec<(ShardId, NodeName)>> {
    let max_shards = ctx.limits.txn_ops - 1;
    let mut assignments = Vec::new();
    for shard_id in unassigned.into_iter().take(max_shards) {
        let preferred = preferred_node(ctx, shard_id);
        let (node, count) = counts
            .iter_mut()
            .min_by_key(|(node, count)| (**count, Some(**node) != preferred))?;
        *count += 1;
        log::info!("shard {shard_id}: assigned, to {node}");
        assignments.push((shard_id, (*node).clone()));
    }
    Some(assignments)
}

/// The controller that a shard is assigned to while all controllers are
/// registered. None if there are more shards than configured controllers.
fn preferred_node(ctx: &Context, shard_id: ShardId) -> Option<&NodeName> {
    ctx.config.nodes.get(shard_id.0 as usize)
}

/// Whether a handover to a registered controller is pending. A handover to a
/// controller that is no longer registered doesn't block others.
fn is_handover_requested(view: &ClusterView) -> bool {
    view.shards.values().any(|shard| {
        let target = shard.record.handover_to.as_ref();
        target.is_some_and(|node| view.nodes.contains_key(node))
    })
}
