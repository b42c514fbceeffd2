//! The scheduling decisions of forkshift, without state or I/O.
//!
//! The ordinary path follows RouteBalance ("RouteBalance: Fused Model Routing
//! and Load Balancing for Heterogeneous LLM Serving"): waiting tasks are taken
//! longest first, each goes to the machine with the highest weighted sum of
//! fit minus cost minus latency, and every choice is booked locally before
//! the next one is made.

mod claim;
mod host_table;
pub mod provision;
pub mod quota;
pub mod resources;
pub mod round;
pub mod score;

pub use claim::{Reclaim, Reservation, Standing};
pub use host_table::Requirement;
pub use provision::{plan, Offer, Rental, Shape};
pub use quota::{Quota, Shortfall};
pub use resources::Resources;
pub use round::{run_round, Host, PendingTasks, Placement};
pub use score::{choose, Candidate, Weights};
