//! Declarations of pools: what operators write ([`PoolSpec`]), and the pools that are
//! parsed and checked from it ([`Pools`]).

mod catalog;
mod error;
mod name;
mod parse;
mod parse_window;
mod pool;
mod spec;

pub use error::{FieldError, PoolError};
pub use name::PoolName;
pub use pool::{Pool, Pools};
pub use spec::{PoolSpec, WindowSpec};

#[cfg(test)]
mod tests;
