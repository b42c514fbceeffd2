//! Warm pools of a shard's teams.
//!
//! A warm pool keeps machines ready, with an image in their cache, for the jobs of one team
//! that use the image. The holder of a team's shard manages the team's pools.
//! `forkshift-pools` decides how many machines a pool should have and which machines to
//! choose; the modules here execute these decisions:
//!
//! | module | concern |
//! | --- | --- |
//! | [`sizing`] | after each round, machines join and leave pools, and missing ones are requested |
//! | [`membership`] | records a machine's state in its pool and the time charged to the pool |
//! | [`prefetch`] | commands members to fetch the image, decommissions those whose fetch stalls |
//! | [`placement`] | which tasks may use a pool's machines |
//! | [`requests`] | records the number of machines that each pool requests |
//! | [`ledger`] | account rows that are written on their own, such as cold starts |
//!
//! A machine's membership is part of the machine's record, so that it survives a failover.
//! The end of a charged interval is written in the same transaction as its account row.
//! Nothing is written before the record format of warm pools is finalized.

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
