//! The key-value store from its client's side: the queue of calls, this controller's part of
//! the request budget, and the local copy of the records that all controllers have in common.
//!
//! Owns the order and the rate of calls to the store, and [`view::ClusterView`]. Must not
//! interpret the answers to calls; those go by [`crate::pending_call::PendingCall`] to
//! whoever made the call.

pub(crate) mod budget;
pub(crate) mod queue;
mod rate;
pub(crate) mod view;
