//! Handover of shards between controllers, by a transaction on the shards' records.

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{node_key, shard_key, ShardId, ShardRecord, EPOCH_KEY};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;
use std::collections::BTreeMap;

/// Requests the handover of shards to the current incarnations of controllers, each
/// shard under a new epoch. A shard whose new holder the view lacks is skipped.
///
/// The transaction requires that the records of the shards and of their old and new
/// holders are still as the view shows them. The caller has seen there that each old
/// holder was removed, was restarted, or offers the shard.
pub(crate) fn hand_over_shards(
    ctx: &mut Context,
    view: &ClusterView,
    assignments: &[(ShardId, NodeName)],
) {
    let (epoch_version, mut epoch) = view.epoch_counter();
    let mut preconditions = BTreeMap::from([(EPOCH_KEY.to_owned(), epoch_version)]);
    let mut writes = Vec::new();
    let mut shards = Vec::new();
    for (shard_id, new_holder) in assignments {
        let Some(node) = view.nodes.get(new_holder) else {
            continue;
        };
        epoch += 1;
        let record = ShardRecord {
            holder: new_holder.clone(),
            holder_incarnation: node.record.incarnation,
            epoch,
            handover_to: None,
        };
        let shard = view.shards.get(shard_id);
        let key = shard_key(*shard_id);
        preconditions.insert(key.clone(), shard.map_or(0, |s| s.version));
        preconditions.insert(node_key(new_holder), node.version);
        if let Some(old_holder) = shard.map(|s| &s.record.holder) {
            let version = view.nodes.get(old_holder).map_or(0, |n| n.version);
            preconditions.insert(node_key(old_holder), version);
        }
        writes.push(Write::put(key, to_value(record).unwrap_or_default()));
        shards.push(*shard_id);
    }
    if shards.is_empty() {
        return;
    }
    writes.push(Write::put(EPOCH_KEY.to_owned(), epoch.into()));
    let preconditions = preconditions
        .into_iter()
        .map(|(key, version)| Precondition { key, version })
        .collect();
    let transaction = Transaction {
        preconditions,
        writes,
    };
    let pending = PendingCall::ShardHandover(shards);
    ctx.transact(Urgency::Membership, &transaction, pending);
}
