//! Declarations of pools, as operators write them ([`PoolSpec`]) and after they were parsed
//! and validated ([`Pools`]).

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
