//! Wire formats of forkshift, for the service itself and for its clients.
//!
//! Every JSON interface of the platform has its types here. Inside the
//! project the field's standard terms are used; the platform's own words
//! appear only as serde names in this crate.

pub mod cloud;
pub mod ids;
pub mod peer;
pub mod settings;
pub mod state;
pub mod users;
pub mod workers;

pub use ids::{JobId, MachineId, NodeName, TaskRef};
