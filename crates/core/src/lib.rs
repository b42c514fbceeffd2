//! The heart of a forkshift controller: one owner of all state.
//!
//! [`Node`] is a deterministic machine. Batches of inputs go in, effects come
//! out, and time is passed in; it does no I/O, reads no clock, and its random
//! numbers come from a seed. The daemon runs it against the real services,
//! the testkit against stand-ins in virtual time.

mod api;
mod bounds;
pub mod config;
mod context;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod golden;
mod io;
mod leader;
mod membership;
mod names;
mod node;
mod overflow;
mod pending_call;
mod pools;
mod protocol;
mod recent_jobs;
pub mod records;
mod shard;
mod sizing;
mod store;
mod timers;

pub use bounds::Bounds;
pub use config::{Config, Operator, StateLimits};
pub use io::{CallId, Effect, Input, Reply, RequestId, Target};
pub use membership::format::FormatVersion;
pub use node::Node;
pub use shard::epoch_of_token;
pub use sizing::{shortfalls, Shortfall};

/// Milliseconds of a steady clock.
pub type Ms = u64;

/// Seconds as milliseconds.
pub(crate) fn ms(seconds: f64) -> Ms {
    (seconds * 1000.0).max(0.0) as Ms
}
