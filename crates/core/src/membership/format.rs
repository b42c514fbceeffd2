//! Versions of the formats that controllers of different releases shard.
//!
//! During an upgrade old and new releases serve side by side on each other's
//! records. Each controller's record names the newest format that it knows;
//! once every configured controller has registered with the new one, the
//! leader records that version as finalized, in one key and one way
//! (`leader::finalization`). Until a controller has read that key it writes
//! only what the first release understands.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of what is kept in the state service and told between controllers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatVersion(u32);

impl FormatVersion {
    /// The release that knew no versions.
    pub const FIRST: Self = Self(1);
    /// Adds dependencies between jobs, and a layout of jobs' blocks that is
    /// named in their heads.
    pub const DEPENDENCIES: Self = Self(2);
    /// Adds memberships in warm pools to the records of machines.
    pub const POOLS: Self = Self(3);
    /// The newest one that this release reads and writes.
    pub const CURRENT: Self = Self::POOLS;

    /// Whether it is the one that records leave out.
    pub(crate) fn is_first(&self) -> bool {
        *self == Self::FIRST
    }
}

impl Default for FormatVersion {
    fn default() -> Self {
        Self::FIRST
    }
}

impl fmt::Display for FormatVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
