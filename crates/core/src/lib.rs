//! The heart of a forkshift controller: one owner of all state.
//!
//! [`Node`] is a deterministic machine. Batches of inputs go in, effects come
//! out, and time is passed in; it does no I/O, reads no clock, and its random
//! numbers come from a seed. The daemon runs it against the real services,
//! the testkit against stand-ins in virtual time.

mod admission;
mod api;
mod attestation;
mod blame;
mod bounds;
mod budget;
mod commands;
mod commit;
pub mod config;
mod context;
mod demand;
mod dependencies;
mod drain;
mod evidence;
mod failure_detector;
#[cfg(test)]
mod fixture;
mod format;
mod forward;
#[cfg(test)]
mod golden;
mod io;
mod job;
mod known_jobs;
mod layout;
mod leader;
mod machine;
mod member;
mod names;
mod node;
mod overflow;
mod peers;
mod pending;
mod pools;
mod preempt;
mod ranges;
mod reclaim;
mod reconcile;
pub mod records;
mod relay;
mod rounds;
mod shard;
mod sizing;
mod store;
mod timers;
mod view;

pub use bounds::Bounds;
pub use config::{Config, Operator, StateLimits};
pub use format::FormatVersion;
pub use io::{CallId, Effect, Input, Reply, RequestId, Target};
pub use node::Node;
pub use shard::epoch_of_token;
pub use sizing::{shortfalls, Shortfall};

/// Milliseconds of a steady clock.
pub type Ms = u64;

/// Seconds as milliseconds.
pub(crate) fn ms(seconds: f64) -> Ms {
    (seconds * 1000.0).max(0.0) as Ms
}
