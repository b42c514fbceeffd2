//! Versions of the record and message formats that controllers of different releases have
//! in common.
//!
//! During an upgrade, controllers of the old and the new release work on the same records.
//! Each controller's record names the newest format that it knows. Once every configured
//! controller has registered with the new one, the leader records that version as
//! finalized (`leader::finalization`). A controller that has not yet read the finalized
//! version writes only what the first release understands.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the records in the key-value store and of the messages between controllers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatVersion(u32);

impl FormatVersion {
    /// The format of the first release, which records no version.
    pub const FIRST: Self = Self(1);
    /// Adds dependencies between jobs, and job heads that name the layout of their blocks.
    pub const DEPENDENCIES: Self = Self(2);
    /// Adds memberships in warm pools to the records of machines.
    pub const POOLS: Self = Self(3);
    /// The newest format that this release reads and writes.
    pub const CURRENT: Self = Self::POOLS;

    /// Whether this is the version that records omit.
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
