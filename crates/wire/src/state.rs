//! The state service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Its key; absent where one key was asked for.
    #[serde(default)]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer of a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there is another page.
    #[serde(rename = "has_next", default)]
    pub has_next: bool,
    /// The store's revision.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The version it must have; 0: it must not exist.
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
        put: String,
        /// The value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease that the key lives on.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Removes a key.
    Remove {
        /// The key.
        remove: String,
    },
}

impl Write {
    /// Sets a value that lives on no lease.
    pub fn put(key: String, value: Value) -> Self {
        Self::Put {
            put: key,
            value,
            lease: None,
        }
    }

    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { put, .. } => put,
            Self::Remove { remove } => remove,
        }
    }
}

/// Body of `POST /txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    #[serde(rename = "if", default)]
    pub preconditions: Vec<Precondition>,
    /// Carried out together.
    #[serde(rename = "writes", default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// Answer of `POST /txn`, and of a read that finds nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TransactionReply {
    /// The store's revision.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Body of `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lives without an extension.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Answer of `POST /grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The lease.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// Answer of `GET /changes`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// All changes since the revision that was asked for.
    #[serde(rename = "news", default)]
    pub events: Vec<Change>,
}

/// One change.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// A value was set.
    Put {
        /// The key.
        put: String,
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
        remove: String,
        /// Revision of the change.
        #[serde(rename = "stamp")]
        version: u64,
    },
}
