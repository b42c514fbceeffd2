//! Warm pools: machines that hold an image ahead of a burst.
//!
//! This package decides and does no I/O: which pools there are ([`Pools`]), how many
//! machines each keeps at any time ([`calendar`]), which machines join and leave
//! ([`scaling`]), for which times a pool is charged ([`account`], checked by [`audit`]), and
//! the usage and cost of a time span ([`report`]). The controller's core carries the
//! decisions out; `docs/design-warm-pools.md` gives the reasons for the design.

pub mod account;
pub mod audit;
pub mod calendar;
mod declaration;
pub mod report;
pub mod scaling;

pub use account::{EndReason, Membership, PoolState, UsageInterval};
pub use calendar::{PoolSize, Window};
pub use declaration::{FieldError, Pool, PoolError, PoolName, PoolSpec, Pools, WindowSpec};
