//! Handover of shards between controllers.

use crate::context::Context;
use crate::pending_call::PendingCall;
use crate::records::{node_key, shard_key, ShardId, ShardRecord, EPOCH};
use crate::store::queue::Urgency;
use crate::store::view::ClusterView;
use forkshift_wire::state::{Precondition, Transaction, Write};
use forkshift_wire::NodeName;
use serde_json::to_value;
use std::collections::BTreeMap;

/// Hands shards to starts of controllers, each under a new epoch. It takes
/// hold only if the controllers that held them are as the view shows them:
/// gone, or started anew, or willing.
pub(crate) fn hand_over(ctx: &mut Context, view: &ClusterView, given: &[(ShardId, NodeName)]) {
    let (epoch_version, mut epoch) = view.epoch();
    let mut preconditions: BTreeMap<String, u64> =
        BTreeMap::from([(EPOCH.to_owned(), epoch_version)]);
    let mut writes = Vec::new();
    let mut shards = Vec::new();
    for (k, to) in given {
        let Some(node) = view.nodes.get(to) else {
            continue;
        };
        epoch += 1;
        let record = ShardRecord {
            holder: to.clone(),
            holder_incarnation: node.record.incarnation,
            epoch,
            handover_to: None,
        };
        let shard = view.shards.get(k);
        preconditions.insert(shard_key(*k), shard.map_or(0, |s| s.version));
        preconditions.insert(node_key(to), node.version);
        if let Some(old) = shard.map(|s| &s.record.holder) {
            preconditions.insert(node_key(old), view.nodes.get(old).map_or(0, |n| n.version));
        }
        writes.push(Write::put(
            shard_key(*k),
            to_value(record).unwrap_or_default(),
        ));
        shards.push(*k);
    }
    if shards.is_empty() {
        return;
    }
    writes.push(Write::put(EPOCH.to_owned(), epoch.into()));
    let preconditions = preconditions.into_iter();
    let preconditions = preconditions
        .map(|(key, version)| Precondition { key, version })
        .collect();
    ctx.transact(
        Urgency::Membership,
        &Transaction {
            preconditions,
            writes,
        },
        PendingCall::ShardHandover(shards),
    );
}
