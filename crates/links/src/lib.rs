//! What is known of a controller's links, and what may be decided on it.
//!
//! A controller has links to the state service, to the cloud, to its peers and to each
//! worker, and of the last one two: reports come in and calls go out. A cut may take
//! any of them and leave the others up. This package keeps what is known of each link
//! ([`MachineLink`], [`CloudLink`]), says in one table which links a decision needs
//! ([`Decision`]), and lets controllers that still hear a worker pass its reports on to the
//! one that does not ([`RelayTable`]).
//!
//! It does no I/O and reads no clock: evidence and time are passed in.

mod cloud_link;
mod decision;
mod machine_link;
mod redirect;
mod relay;

pub use cloud_link::CloudLink;
pub use decision::{Decision, Link, Links};
pub use machine_link::{MachineLink, Route, Timing};
pub use redirect::Redirects;
pub use relay::RelayTable;

/// Milliseconds of a steady clock.
pub type Ms = u64;
