//! Accounts of pools: the times for which a pool is charged for a machine, the requested
//! numbers of machines, cold starts and prices, as they are stored.
//!
//! A machine's membership holds its present state and the time since when it has been in
//! it. Whenever that changes, the time up to then becomes a [`UsageInterval`] that is never
//! changed again, and the membership goes on from the same moment. Both are written in one
//! compare-and-swap on the machine's record, so no second is charged twice or not at all,
//! whichever controller writes.

mod interval;
mod membership;
mod records;
mod row;

pub use interval::{BilledMachine, UsageInterval};
pub use membership::{EndReason, Membership, PoolState};
pub use records::{ColdStart, PoolRequest, Price};
pub use row::{
    current_request_key, AccountRow, ACCOUNT_PREFIX, CURRENT_REQUEST_PREFIX, PRICE_PREFIX,
};

#[cfg(test)]
mod tests;
