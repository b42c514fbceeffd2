//! Accounts of pools, as stored records: the intervals for which a pool is charged for a
//! machine, the requested numbers of machines, cold starts, and prices.
//!
//! The [`Membership`] of a machine holds the machine's present state and its beginning.
//! When the state changes, the past time becomes a [`UsageInterval`], which is immutable,
//! and the membership continues with the new state from the end of that interval. Both are
//! written by one compare-and-swap transaction on the machine's record. Therefore, no time
//! is charged twice and none is left out, whichever controller writes.

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
