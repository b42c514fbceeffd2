//! The key-value store as a client sees it: the queue of calls, this controller's part
//! of the request budget, and the local copy of what all controllers share.
//!
//! Owns the order and the rate of calls to the store, and [`view::ClusterView`]. What a
//! call is for is known to its [`crate::pending_call::PendingCall`] alone.

pub(crate) mod budget;
pub(crate) mod queue;
pub(crate) mod view;
