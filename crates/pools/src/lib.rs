//! Warm pools: machines that hold an image ahead of a burst.
//!
//! This package decides and does no I/O: which pools there are ([`declaration`]), how
//! many machines each keeps at a time ([`calendar`]), which machines join and leave
//! ([`choice`]), for which times a pool is charged ([`account`], checked by [`audit`]), and
//! what a span of time has cost ([`report`]). The controller's core carries the decisions out;
//! `docs/design-warm-pools.md` says why they are as they are.

pub mod account;
pub mod audit;
pub mod calendar;
pub mod choice;
pub mod declaration;
pub mod report;

pub use account::{Ended, Interval, Membership, PoolState};
pub use calendar::{Size, Window};
pub use declaration::{BadPool, Pool, PoolName, PoolSpec, Pools, WindowSpec};
