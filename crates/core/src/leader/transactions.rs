//! Transactions of the leader: each is conditional on its own record.

use crate::records::LEADER_KEY;
use crate::store::view::ClusterView;
use forkshift_wire::state::{Precondition, Transaction, Write};
use serde::Serialize;
use serde_json::to_value;

/// The condition that this controller still leads.
pub(super) fn leader_precondition(view: &ClusterView) -> Precondition {
    Precondition {
        key: LEADER_KEY.to_owned(),
        version: view.leader.as_ref().map_or(0, |leader| leader.version),
    }
}

/// The conditions that this controller still leads and that a key has a version;
/// version 0: that the key does not exist.
pub(super) fn preconditions(view: &ClusterView, key: String, version: u64) -> Vec<Precondition> {
    vec![leader_precondition(view), Precondition { key, version }]
}

/// Writes a record under a key, if the key still has a version.
pub(super) fn put_if_unchanged(
    view: &ClusterView,
    key: String,
    version: u64,
    record: &impl Serialize,
) -> Transaction {
    Transaction {
        preconditions: preconditions(view, key.clone(), version),
        writes: vec![Write::put(key, to_value(record).unwrap_or_default())],
    }
}
