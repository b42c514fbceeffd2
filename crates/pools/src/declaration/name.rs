//! Names of pools.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest name of a pool, in bytes. The limit bounds the keys in the key-value store that
/// contain the name.
const MAX_NAME_BYTES: usize = 40;

/// Name of a pool: 1 to 40 lower-case letters, digits and hyphens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PoolName(String);

impl PoolName {
    /// Validates a name; `None` if it is invalid.
    pub fn parse(name: &str) -> Option<Self> {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed);
        is_valid.then(|| Self(name.to_owned()))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for PoolName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
