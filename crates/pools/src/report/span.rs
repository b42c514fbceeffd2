//! Time spans.

use serde::Serialize;

/// A time span, in milliseconds since 1970; its end is not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct TimeSpan {
    /// Beginning.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
}

impl TimeSpan {
    /// The part of an interval that is in this span; an empty span if there is none.
    pub(super) fn clip(&self, from_ms: u64, to_ms: u64) -> Self {
        let from_ms = from_ms.max(self.from_ms);
        Self {
            from_ms,
            to_ms: to_ms.min(self.to_ms).max(from_ms),
        }
    }

    /// Whether some of an interval is in this span.
    pub(super) fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.clip(from_ms, to_ms).length_ms() > 0
    }

    /// Whether a time is in this span.
    pub(super) fn contains(&self, at_ms: u64) -> bool {
        (self.from_ms..self.to_ms).contains(&at_ms)
    }

    /// Length in milliseconds.
    pub(super) fn length_ms(&self) -> u64 {
        self.to_ms - self.from_ms
    }

    /// Length in seconds.
    pub(super) fn length_s(&self) -> f64 {
        seconds(self.length_ms())
    }
}

/// Milliseconds in a second.
pub(super) const MS_PER_SECOND: f64 = 1_000.0;

/// Milliseconds as seconds.
pub(super) fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_SECOND
}
