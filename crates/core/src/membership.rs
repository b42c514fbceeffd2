//! Membership: this controller's lease and the election, what the other controllers
//! confirm, failure detection, and the record format that all controllers know.
//!
//! Owns the lease at the key-value store and the record of this controller on it. Reads
//! the cluster view; it assigns no shards and calls no worker on its own account.

pub(crate) mod failure_detector;
pub(crate) mod format;
pub(crate) mod lease;
pub(crate) mod peer_confirmations;
