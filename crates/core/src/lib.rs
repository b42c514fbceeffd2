//! The heart of a forkshift controller: one owner of all state.
//!
//! [`Node`] is a deterministic machine. Batches of inputs go in, effects come
//! out, and time is passed in; it does no I/O, reads no clock, and its random
//! numbers come from a seed. The daemon runs it against the real services,
//! the testkit against stand-ins in virtual time.

mod agenda;
mod api;
mod budget;
mod commit;
pub mod config;
mod ctx;
mod drain;
mod evidence;
#[cfg(test)]
mod fixture;
mod forward;
mod job;
mod leader;
mod machine;
mod member;
mod node;
mod orders;
mod peers;
mod preempt;
mod ranges;
mod reclaim;
pub mod records;
mod rounds;
mod share;
mod silence;
mod store;
mod tend;
mod view;
mod vouch;

pub use config::{Config, Operator};
pub use ctx::{CallId, Effect, Input, Reply, Target, Token};
pub use node::Node;

/// Milliseconds of a steady clock.
pub type Ms = u64;

/// Seconds as milliseconds.
pub(crate) fn ms(seconds: f64) -> Ms {
    (seconds * 1000.0).max(0.0) as Ms
}
