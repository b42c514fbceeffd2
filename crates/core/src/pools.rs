//! Warm pools of a shard's teams.
//!
//! The holder of a team's shard owns the team's pools. `forkshift-pools` decides how many
//! machines a pool has and which; here that is carried out:
//!
//! | module | concern |
//! | --- | --- |
//! | [`sizing`] | machines join and leave, and missing ones are asked for, after each round |
//! | [`membership`] | a machine's state in its pool is recorded, with the time it is charged for |
//! | [`placement`] | whose tasks may use a pool's machine |
//! | [`ledger`] | rows of the accounts that stand by themselves |
//!
//! A machine's membership is in its record, so it survives its holder, and is written in
//! one transaction with the row of the account that it ends. Nothing of it is written
//! before the format of pools is finalized.

mod ledger;
mod membership;
mod placement;
mod sizing;

pub(crate) use ledger::{add_row, ShardPools};
pub(crate) use membership::MachinePool;
pub(crate) use placement::open_reservations;
pub(crate) use sizing::ExpectedMachines;

#[cfg(test)]
mod tests;
