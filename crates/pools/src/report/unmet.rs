//! The unmet part of the requests for machines of a pool.

use super::span::{seconds, TimeSpan};
use crate::account::{PoolRequest, UsageInterval};
use std::collections::BTreeMap;

/// Numbers of requested and of ready machines, or changes of these numbers.
#[derive(Clone, Copy, Debug, Default)]
struct MachineCounts {
    requested: i64,
    ready: i64,
}

impl MachineCounts {
    fn add(&mut self, change: Self) {
        self.requested += change.requested;
        self.ready += change.ready;
    }

    fn subtract(&mut self, change: Self) {
        self.requested -= change.requested;
        self.ready -= change.ready;
    }

    fn unmet(&self) -> u64 {
        (self.requested - self.ready).max(0) as u64
    }
}

/// Changes of the numbers of machines, by time in milliseconds.
#[derive(Debug, Default)]
struct Timeline(BTreeMap<u64, MachineCounts>);

impl Timeline {
    /// Adds numbers of machines for the duration of a span.
    fn add(&mut self, span: TimeSpan, counts: MachineCounts) {
        self.0.entry(span.from_ms).or_default().add(counts);
        self.0.entry(span.to_ms).or_default().subtract(counts);
    }

    /// Machine-milliseconds that were requested and not ready.
    fn unmet_ms(&self) -> u64 {
        let mut unmet_ms = 0;
        let mut counts = MachineCounts::default();
        let mut since_ms = 0;
        for (at_ms, change) in &self.0 {
            unmet_ms += counts.unmet() * (at_ms - since_ms);
            counts.add(*change);
            since_ms = *at_ms;
        }
        unmet_ms
    }
}

/// Machine-seconds within a span that were requested and not ready. Ready machines beyond the
/// requested number do not compensate for missing machines at another time.
pub(super) fn unmet_s(
    requests: &[&PoolRequest],
    intervals: &[&UsageInterval],
    span: TimeSpan,
    now_ms: u64,
) -> f64 {
    let mut timeline = Timeline::default();
    for request in requests {
        let requested = MachineCounts {
            requested: i64::from(request.machines),
            ready: 0,
        };
        let until_ms = request.to_ms.unwrap_or(now_ms);
        timeline.add(span.clip(request.from_ms, until_ms), requested);
    }
    for interval in intervals.iter().filter(|i| i.state.is_ready()) {
        let ready = MachineCounts {
            requested: 0,
            ready: 1,
        };
        timeline.add(span.clip(interval.from_ms, interval.to_ms), ready);
    }
    seconds(timeline.unmet_ms())
}
