//! The logic of a forkshift controller, without I/O.
//!
//! [`Node`] is a deterministic state machine. It handles batches of [`Input`]s and returns
//! [`Effect`]s; time is passed in, and its random numbers come from a seed. The daemon runs
//! it against the real services, the testkit against simulated ones in virtual time.
//!
//! | module | concern |
//! | --- | --- |
//! | `node` | the step: dispatch of inputs and responses, shard ownership, keeping the view |
//! | `membership` | lease, election, failure detection, what peers confirm |
//! | `store` | queue, rates, budget and local view of the key-value store |
//! | `shard` | jobs and machines of a shard |
//! | `leader` | assignment of shards, scale-out and scale-in, rebalancing, finalization |
//! | `api` | requests of users, heartbeats of workers |
//! | `protocol` | messages between controllers, forwarding, relays |
//! | `pools` | warm pools of a shard's teams |
//! | [`records`] | keys and records at the key-value store |
//! | [`config`] | settings in the form that the core uses |
//!
//! `docs/architecture.md` shows who owns which state and the path of a request.

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

/// A time of the steady clock, or a duration, in milliseconds.
pub type Ms = u64;

/// Seconds in milliseconds; 0 for negative ones.
pub(crate) fn seconds_to_ms(seconds: f64) -> Ms {
    (seconds * 1000.0).max(0.0) as Ms
}
