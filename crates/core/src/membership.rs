//! Membership: this controller's lease and part in elections, the confirmations of other
//! controllers, failure detection, and the versions of formats.
//!
//! Owns the lease at the key-value store, the records on that lease, and the conclusions
//! about which controllers, zones and machines are reachable. Reads the cluster view. Must
//! not assign shards or call workers; the node sends what follows from its decisions.

pub(crate) mod failure_detector;
pub(crate) mod format;
pub(crate) mod lease;
pub(crate) mod peer_confirmations;
pub(crate) mod peers;
