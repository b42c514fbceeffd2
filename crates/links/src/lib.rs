//! State of the links of a controller, and the decisions that they permit.
//!
//! A controller has links to the key-value store, to the cloud, to its peers and to each
//! worker. A link to a worker has two directions: heartbeats come in and calls go out. A
//! network partition may break any of them and leave the others up. This package keeps the
//! known state of each link ([`MachineLink`], [`CloudLink`]), defines which links a decision
//! requires ([`Decision`]), and lets controllers that still receive a worker's heartbeats
//! relay them to the holder that does not ([`RelayTable`]).
//!
//! It does no I/O and reads no clock: evidence and time are passed in.

mod cloud_link;
mod decision;
mod machine_link;
mod redirect;
mod relay;

pub use cloud_link::CloudLink;
pub use decision::{Decision, Link, LinkStates};
pub use machine_link::{HeartbeatRoute, LinkTiming, MachineLink};
pub use redirect::RedirectHistory;
pub use relay::RelayTable;

/// Milliseconds of a monotonic clock.
pub type Ms = u64;
