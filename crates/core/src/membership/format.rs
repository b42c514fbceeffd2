//! Version of the record and message formats that controllers of different releases share.
//!
//! During a rolling upgrade, controllers of the old and the new release work on the same
//! records. Each controller's record states the newest format that this controller
//! supports. Once every configured controller has registered with the new format, the
//! leader records that version as finalized (`leader::finalization`). A controller that has
//! not yet read the finalized version writes only records and messages that the first
//! release can read.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the records in the key-value store and of the messages between controllers.
/// A record without a version has the first one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatVersion(u32);

impl FormatVersion {
    /// The format of the first release, whose records carry no version field.
    pub const FIRST: Self = Self(1);
    /// Adds dependencies between jobs, and the number of tasks per block in job heads.
    pub const DEPENDENCIES: Self = Self(2);
    /// Adds warm pool membership to machine records.
    pub const POOLS: Self = Self(3);
    /// The newest format that this release reads and writes.
    pub const CURRENT: Self = Self::POOLS;

    /// Whether this is the version that records omit when they are serialized.
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
