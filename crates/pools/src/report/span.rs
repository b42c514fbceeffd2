//! Time spans of reports.

use serde::Serialize;

/// A half-open time span: the beginning is included, the end is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimeSpan {
    /// Beginning, in milliseconds since 1970.
    pub from_ms: u64,
    /// End, in milliseconds since 1970; not before the beginning.
    pub to_ms: u64,
}

impl TimeSpan {
    /// The part of an interval that is in this span; an empty span if they do not overlap.
    pub(super) fn clip(&self, from_ms: u64, to_ms: u64) -> Self {
        let from_ms = from_ms.max(self.from_ms);
        Self {
            from_ms,
            to_ms: to_ms.min(self.to_ms).max(from_ms),
        }
    }

    /// Whether a non-empty part of an interval is in this span.
    pub(super) fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.clip(from_ms, to_ms).length_ms() > 0
    }

    /// Whether a time is in this span.
    pub(super) fn contains(&self, at_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&at_ms)
    }

    pub(super) fn length_ms(&self) -> u64 {
        self.to_ms - self.from_ms
    }

    pub(super) fn length_s(&self) -> f64 {
        seconds(self.length_ms())
    }
}

pub(super) const MS_PER_SECOND: f64 = 1_000.0;

/// Converts milliseconds to seconds.
pub(super) fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_SECOND
}
