//! Warm pools of a shard's teams.
//!
//! The holder of a team's shard manages the team's pools. `forkshift-pools` decides how
//! many machines a pool has and which; the modules here carry that out:
//!
//! | module | concern |
//! | --- | --- |
//! | [`sizing`] | after each round, machines join and leave, and missing ones are requested |
//! | [`membership`] | a machine's state in its pool is recorded, with the time charged for it |
//! | [`prefetch`] | a member is sent its pool's image, and decommissioned if that stalls |
//! | [`placement`] | whose tasks may use a pool's machine |
//! | [`requests`] | how many machines each pool requests is recorded in its account |
//! | [`ledger`] | rows of pools' accounts that are written on their own |
//!
//! A machine's membership is in its record, so it survives a failover, and is written in
//! one transaction with the account row that it ends. Nothing of it is written before the
//! format of pools is finalized.

mod ledger;
mod membership;
mod placement;
mod prefetch;
mod requests;
mod sizing;

pub(crate) use ledger::{add_account_row, ShardPools};
pub(crate) use membership::MachinePool;
pub(crate) use placement::open_reservations;

#[cfg(test)]
mod tests;
