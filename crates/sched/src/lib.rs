//! The scheduling decisions of forkshift as pure functions, without state or I/O.
//!
//! Placement is greedy and follows RouteBalance ("RouteBalance: Fused Model Routing
//! and Load Balancing for Heterogeneous LLM Serving"). Within a priority band, pending
//! tasks are placed in descending order of their estimated run time. Each task is placed
//! on the machine with the highest score: weighted fit, minus weighted cost, minus weighted
//! latency. The resources of a placed task are subtracted from the local copy of the
//! machine before the next task is placed.
//!
//! - [`run_round`] places the pending tasks of all jobs on machines, by a score with
//!   [`Weights`].
//! - [`AgedJobReservation`], [`Reclaim`] and [`CapacityClass`] define which capacity a
//!   pending job may reserve, reclaim from other work, or use.
//! - [`Quota`] compares the resources that a team uses with its guarantee and its limit.
//! - [`plan_scale_out`] chooses the machines to provision for tasks that fit on no existing
//!   machine.
//!
//! Machine types, zones, images and reservations are numbers that the caller assigns.

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
