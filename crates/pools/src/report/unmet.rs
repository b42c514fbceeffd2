//! The unmet part of requests for machines.

use super::span::{seconds, TimeSpan};
use crate::account::{PoolRequest, UsageInterval};
use std::collections::BTreeMap;

/// Numbers of machines, or changes of them.
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
    /// Adds machines for the duration of a span.
    fn add(&mut self, span: TimeSpan, counts: MachineCounts) {
        self.0.entry(span.from_ms).or_default().add(counts);
        self.0.entry(span.to_ms).or_default().subtract(counts);
    }

    /// Machine-milliseconds for which fewer machines were ready than requested.
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

/// Machine-seconds within a span for which fewer machines were ready than requested.
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
