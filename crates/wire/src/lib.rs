//! Wire formats of forkshift, for the controllers and for their clients.
//!
//! This crate has the message types of every interface that crosses a process boundary, one
//! module for each counterpart of a controller:
//!
//! | module | counterpart | encoding |
//! | --- | --- | --- |
//! | [`users`] | users who submit jobs | JSON over HTTP |
//! | [`workers`] | the agent on each machine | JSON over HTTP |
//! | [`cloud`] | the cloud from which machines are rented | JSON over HTTP |
//! | [`state`] | the consensus-backed key-value store | JSON over HTTP |
//! | [`peer`] | other controllers | borsh over TCP |
//! | [`settings`] | the platform's settings file | TOML |
//!
//! # Field names
//!
//! The protocol uses unusual field names (`berth` for a machine, `baton` for a fencing token,
//! ...). Only this crate uses them: the Rust name of a field is the usual term, and
//! `#[serde(rename = "...")]` gives the name on the wire. The doc comment of a field states
//! its meaning and unit, so that no other crate needs the vocabulary of the protocol.
//!
//! # Compatibility
//!
//! The files in `tests/golden` fix the encodings. Serde names, the order of fields and the
//! order of borsh variants must not change; Rust names may change. Unknown JSON and TOML
//! fields are ignored, and optional fields have defaults, so that either side of an interface
//! may be upgraded first.

pub mod cloud;
pub mod ids;
pub mod peer;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;

pub use ids::{JobId, MachineId, NodeName, TaskRef, TaskRefError};
