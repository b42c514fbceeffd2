//! The logic of a forkshift controller, without I/O.
//!
//! [`Node`] is a deterministic state machine. It processes batches of [`Input`]s and returns
//! [`Effect`]s. The caller passes in the time, and all random numbers come from a seed. The
//! daemon runs the state machine against the real services, the testkit against simulated
//! services in virtual time.
//!
//! | module | concern |
//! | --- | --- |
//! | `node` | the step: dispatch of inputs and responses, shard ownership, syncing of the view |
//! | `membership` | leases, leader election, failure detection, confirmations by peers |
//! | `store` | queue, rate limits and budget of store calls, local view of the records |
//! | `shard` | scheduling and state of a shard's jobs and machines |
//! | `job_feed` | changes of the jobs' permanent records |
//! | `leader` | shard assignment, scale-out and scale-in, rebalancing, format finalization |
//! | `api` | HTTP requests of users, heartbeats of workers |
//! | `protocol` | messages between controllers, request forwarding, heartbeat relays |
//! | `pools` | warm pools of a shard's teams |
//! | [`records`] | keys and records in the key-value store |
//! | [`config`] | settings in the form that the core uses |
//!
//! `docs/architecture.md` describes which module owns which state, and the path of a request.

mod api;
mod bounds;
pub mod config;
mod context;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod golden;
mod io;
mod job_feed;
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

/// A time of the monotonic clock, or a duration, in milliseconds.
pub type Ms = u64;

/// Converts seconds to milliseconds. Negative values become 0.
pub(crate) fn seconds_to_ms(seconds: f64) -> Ms {
    (seconds * 1000.0).max(0.0) as Ms
}
