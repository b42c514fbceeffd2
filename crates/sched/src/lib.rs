//! The scheduling decisions of forkshift, without state or I/O.
//!
//! The ordinary path follows RouteBalance ("RouteBalance: Fused Model Routing
//! and Load Balancing for Heterogeneous LLM Serving"): waiting tasks are taken
//! longest first, each goes to the machine with the highest weighted sum of
//! fit minus cost minus latency, and every choice is booked locally before
//! the next one is made.
//!
//! - [`run_round`] places the waiting tasks of all jobs on machines, by a score with
//!   [`Weights`].
//! - [`Reservation`], [`Reclaim`] and [`CapacityClass`] say what capacity a waiting job may
//!   reserve or reclaim from others.
//! - [`Quota`] counts what a team uses against its guarantee and its limit.
//! - [`plan_scale_out`] chooses the machines to provision for tasks that fit on none.

mod entitlement;
mod machine;
mod machine_table;
mod pending;
mod provision;
mod quota;
mod requirement;
mod resources;
mod round;
mod score;

pub use entitlement::{AgedJobReservation, CapacityClass, Reclaim};
pub use machine::MachineSnapshot;
pub use pending::PendingTasks;
pub use provision::{plan_scale_out, MachineOffer, PlannedMachines, TaskShape};
pub use quota::{ExceededLimits, Quota};
pub use requirement::PlacementRequirement;
pub use resources::Resources;
pub use round::{run_round, Placement};
pub use score::Weights;
