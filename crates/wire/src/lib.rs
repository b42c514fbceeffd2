//! Wire formats of forkshift, for the service itself and for its clients.
//!
//! Every interface that crosses a process boundary has its message types here, one module
//! for each counterpart:
//!
//! | module | counterpart | encoding |
//! | --- | --- | --- |
//! | [`users`] | users who submit jobs | JSON over HTTP |
//! | [`workers`] | the agent on each machine | JSON over HTTP |
//! | [`cloud`] | the provider of machines | JSON over HTTP |
//! | [`state`] | the consensus-backed key-value store | JSON over HTTP |
//! | [`peer`] | other controllers | borsh over TCP |
//! | [`settings`] | the platform's settings file | TOML |
//!
//! # Field names
//!
//! The protocol has field names of its own (`berth`, `baton`, `watch`, ...). This crate
//! is the only place that knows them: each field has the standard term of the field as
//! its Rust name, and `#[serde(rename = "...")]` gives the name on the wire. The doc
//! comment of a field states its meaning and unit, so that no other crate needs the
//! protocol's vocabulary.
//!
//! # Compatibility
//!
//! The bytes are fixed by the files in `tests/golden`. Serde names, the order of fields and
//! the order of borsh variants must not change; Rust names may. Unknown JSON and TOML
//! fields are ignored, and optional fields have defaults, so that either side may be
//! upgraded first.

pub mod cloud;
pub mod ids;
pub mod peer;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;

pub use ids::{JobId, MachineId, NodeName, TaskRef, TaskRefError};
