//! Membership: this controller's lease and part in elections, the confirmations of other
//! controllers, failure detection, and the versions of formats.
//!
//! This module owns the lease at the key-value store, the records on that lease, and the
//! conclusions about which controllers, zones and machines are reachable. It reads the
//! cluster view. It must not assign shards or call workers: `Node` sends the messages and
//! calls that result from its conclusions.

pub(crate) mod failure_detector;
pub(crate) mod format;
pub(crate) mod lease;
pub(crate) mod peer_confirmations;
pub(crate) mod peers;
