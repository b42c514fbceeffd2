//! The client side of the key-value store: the queue of calls, this controller's share of
//! the request budget, and the local copy of the records that all controllers share.
//!
//! This module decides the order and the rate of calls to the store, and maintains
//! [`view::ClusterView`]. It must not interpret responses beyond their status:
//! [`crate::pending_call::PendingCall`] routes each response to the caller.

pub(crate) mod budget;
pub(crate) mod queue;
mod rate;
pub(crate) mod view;
