//! State of the network links of a controller, and the decisions that they permit.
//!
//! A controller has links to the key-value store, to the cloud, to the other controllers and
//! to each worker. A link to a worker has two directions: the worker sends heartbeats, and
//! the controller makes calls. A network partition may break each link, and each direction,
//! independently of the others.
//!
//! The *holder* of a shard is the controller that manages the shard's machines. If a worker
//! does not reach the holder of its machine, another controller relays its heartbeats.
//!
//! - [`MachineLink`] and [`CloudLink`] derive the state of a link from heartbeats and calls.
//! - [`Decision`] defines which links must be up for a decision, and [`LinkStates`] holds
//!   which links are up.
//! - [`RelayTable`] records which workers' heartbeats a controller relays to which holder.
//! - [`RedirectHistory`] records which workers a controller has redirected to their holder.
//!
//! The package does no I/O and reads no clock: events and times are passed in.

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

/// A time or a duration in milliseconds, by the monotonic clock of the controller.
pub type Ms = u64;
