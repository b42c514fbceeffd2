//! Building blocks of the leader's transactions. Each of them has the version of the
//! leader record as a precondition. The version acts as a fencing token: the writes
//! of a deposed leader fail.

use crate::records::LEADER_KEY;
use crate::store::view::ClusterView;
use forkshift_wire::state::{Precondition, Transaction, Write};
use serde::Serialize;
use serde_json::to_value;

/// The precondition that the leader record is unchanged, so that this controller is
/// still the leader.
pub(super) fn leader_precondition(view: &ClusterView) -> Precondition {
    Precondition {
        key: LEADER_KEY.to_owned(),
        version: view.leader.as_ref().map_or(0, |leader| leader.version),
    }
}

/// The preconditions that this controller is still the leader and that a key has
/// this version. Version 0 means that the key doesn't exist.
pub(super) fn preconditions(view: &ClusterView, key: String, version: u64) -> Vec<Precondition> {
    vec![leader_precondition(view), Precondition { key, version }]
}

/// A transaction that writes a record under a key if the key still has this version
/// and this controller is still the leader.
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
