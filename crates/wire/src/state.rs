//! Messages between controllers and the state service, a consensus-backed key-value store.
//!
//! The store has one revision number, which grows with each transaction that writes. The
//! *version* of a record is the revision of its last change. Writes are compare-and-swap
//! transactions over several keys. A key may be bound to a lease; when the lease expires, the
//! store removes the key.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record: a key, its value and its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The key; empty in the response to a read of a single key.
    #[serde(default)]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision at which the record was last changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of the response to a request for all records with a key prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Whether further pages follow.
    #[serde(rename = "has_next", default)]
    pub has_next: bool,
    /// Revision of the store.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A precondition of a transaction on the version of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Version that the record must have; 0: the key must not exist.
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
        /// Lease to which the key is bound; none: the key does not expire.
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
    /// A write of a value, without a lease.
    pub fn put(key: String, value: Value) -> Self {
        Self::Put {
            key,
            value,
            lease: None,
        }
    }

    /// The key that this write changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Remove { key } => key,
        }
    }
}

/// Body of `POST /txn`, a compare-and-swap transaction over several keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions. If any does not hold, no write is executed.
    #[serde(rename = "if", default)]
    pub preconditions: Vec<Precondition>,
    /// Writes, executed atomically. Without writes, the transaction only checks its
    /// preconditions.
    #[serde(rename = "writes", default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// Response to `POST /txn`, and to a read of a key that does not exist.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TransactionReply {
    /// Revision of the store.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
    /// Keys whose preconditions did not hold; empty if the transaction succeeded.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /grants`, the request for a new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is renewed, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Response to `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Identifier of the new lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// Response to `GET /changes`, a long poll that watches all keys with a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Changes {
    /// Revision of the store.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// All changes since the revision in the request, in the order of their revisions.
    #[serde(rename = "news", default)]
    pub events: Vec<Change>,
}

/// One change of a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// The value of a key was set.
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
