//! Messages of the state service, a consensus-backed key-value store.
//!
//! The store has one revision, which grows with each change. A record's *version* is the
//! revision of its last change. Writes are compare-and-swap transactions over several keys;
//! a key may be bound to a lease, at whose expiry the store removes it.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Its key; empty in the response to a read of a single key.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of the response to a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there is another page.
    #[serde(rename = "has_next", default)]
    pub has_next: bool,
    /// Revision of the store.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Condition of a transaction on one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Version that the key must have; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change within a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// Lease that the key is bound to.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Write {
    /// A write of a value that is bound to no lease.
    pub fn put(key: String, value: Value) -> Self {
        Self::Put {
            key,
            value,
            lease: None,
        }
    }

    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Remove { key } => key,
        }
    }
}

/// Body of `POST /txn`, a compare-and-swap over several keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    #[serde(rename = "if", default)]
    pub preconditions: Vec<Precondition>,
    /// Changes, applied together or not at all.
    #[serde(rename = "writes", default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// Response to `POST /txn`, and to a read that finds nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Revision of the store.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
    /// Keys whose preconditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /grants`, the request of a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live of the lease without a renewal, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Identifier of the lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// Response to `GET /changes`, the long poll of a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the store.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// All changes since the revision that was requested, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<Change>,
}

/// One change of a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// A value was set.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Remove {
        /// The key.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}
