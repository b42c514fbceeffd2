//! Durations of the parts of a step.
//!
//! The core has no clock; it only marks its parts with `tracing` spans. With `--spans`, the
//! subscriber in this module measures the durations of the spans, and the log gets a summary
//! periodically.

use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Upper bound of the histograms, in microseconds (10 minutes). Longer durations are recorded
/// with this value.
const MAX_DURATION_US: u64 = 600_000_000;

/// A span that has been created and not closed yet.
#[derive(Clone, Copy)]
struct OpenSpan {
    name: &'static str,
    /// Time at which the span was last entered; none before that.
    entered_at: Option<Instant>,
}

/// Open spans, and the durations of exited spans.
#[derive(Default)]
struct SpanState {
    /// Open spans by their identifiers.
    open: HashMap<u64, OpenSpan>,
    /// Durations of exited spans in microseconds, by the names of the spans.
    durations_us: BTreeMap<&'static str, Histogram<u64>>,
}

/// A `tracing` subscriber that measures the durations of spans and aggregates them by the
/// names of the spans. Clones share the measurements.
#[derive(Clone, Default)]
pub(crate) struct SpanTimes {
    last_id: Arc<AtomicU64>,
    state: Arc<Mutex<SpanState>>,
}

impl SpanTimes {
    /// Starts to measure all spans of this process.
    pub(crate) fn install() -> Self {
        let times = Self::default();
        let subscriber = times.clone();
        if tracing::subscriber::set_global_default(subscriber).is_err() {
            log::error!("spans: not measured, another subscriber is installed already");
        }
        times
    }

    /// Returns one line with the count, sum, median and maximum of the durations of each
    /// span since the last call of this method, and resets the durations. Returns none if no
    /// span has been exited since.
    pub(crate) fn take_summary(&self) -> Option<String> {
        let durations_us = std::mem::take(&mut self.lock().durations_us);
        let mut line = String::new();
        for (name, histogram) in &durations_us {
            let sum_us: f64 = histogram.mean() * histogram.len() as f64;
            let (median, max) = (histogram.value_at_quantile(0.5), histogram.max());
            // Writing to a string never fails.
            let _ = write!(
                line,
                "{}{name} {} in {:.1} ms (median {median} us, most {max} us)",
                if line.is_empty() { "" } else { ", " },
                histogram.len(),
                sum_us / 1000.0,
            );
        }
        (!line.is_empty()).then_some(line)
    }

    fn lock(&self) -> MutexGuard<'_, SpanState> {
        // No operation on the state can panic halfway, so the state behind a poisoned mutex
        // is consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Subscriber for SpanTimes {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.is_span() && metadata.target().starts_with("forkshift")
    }

    fn new_span(&self, span: &Attributes<'_>) -> Id {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let span = OpenSpan {
            name: span.metadata().name(),
            entered_at: None,
        };
        self.lock().open.insert(id, span);
        Id::from_u64(id)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, _: &Event<'_>) {}

    fn enter(&self, id: &Id) {
        if let Some(span) = self.lock().open.get_mut(&id.into_u64()) {
            span.entered_at = Some(Instant::now());
        }
    }

    fn exit(&self, id: &Id) {
        let mut state = self.lock();
        let Some(span) = state.open.get(&id.into_u64()).copied() else {
            return;
        };
        let Some(entered_at) = span.entered_at else {
            return;
        };
        let duration_us = entered_at.elapsed().as_micros() as u64;
        let durations_us = state.durations_us.entry(span.name);
        let histogram = durations_us.or_insert_with(new_histogram);
        histogram.saturating_record(duration_us);
    }

    fn try_close(&self, id: Id) -> bool {
        self.lock().open.remove(&id.into_u64()).is_some()
    }
}

fn new_histogram() -> Histogram<u64> {
    // Both arguments are constants within the range of the library.
    Histogram::new_with_max(MAX_DURATION_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|e| panic!("histogram: {e}"))
}

#[cfg(test)]
mod tests;
