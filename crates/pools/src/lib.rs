//! Warm pools: machines that have a model image in their cache before a burst of tasks needs
//! it.
//!
//! The package makes decisions and does no I/O:
//!
//! - [`Pools`] are the pools that operators have declared.
//! - [`calendar`] defines how many machines a pool keeps at any time.
//! - [`scaling`] chooses which machines join and leave a pool.
//! - [`account`] records the time for which a pool is charged for a machine, and [`audit`]
//!   checks these records.
//! - [`report`] sums up usage and cost of a time span.
//!
//! The controller's core carries out the decisions. `docs/design-warm-pools.md` gives the
//! reasons for the design.

pub mod account;
pub mod audit;
pub mod calendar;
mod declaration;
pub mod report;
pub mod scaling;

pub use account::{EndReason, Membership, PoolState, UsageInterval};
pub use calendar::{PoolSize, Window};
pub use declaration::{FieldError, Pool, PoolError, PoolName, PoolSpec, Pools, WindowSpec};
