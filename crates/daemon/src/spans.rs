//! Durations of the parts of a step, measured by their spans.
//!
//! The core marks its parts with spans of `tracing` and has no clock. With `--spans` they are
//! timed here, and summarised in the log periodically.

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
/// Upper bound of the histograms, in microseconds; longer durations count as this.
const MAX_DURATION_US: u64 = 600_000_000;

/// A span that is open.
#[derive(Clone, Copy)]
struct OpenSpan {
    name: &'static str,
    entered_at: Option<Instant>,
}

/// Spans that are open, by their ids, and durations of those that were exited, by name.
#[derive(Default)]
struct State {
    open: HashMap<u64, OpenSpan>,
    durations_us: BTreeMap<&'static str, Histogram<u64>>,
}

/// A subscriber that measures spans by their names. Clones share the measurements.
#[derive(Clone, Default)]
pub(crate) struct SpanTimes {
    last_id: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
}

impl SpanTimes {
    /// Measures all spans of this process from now on.
    pub(crate) fn install() -> Self {
        let times = Self::default();
        let subscriber = times.clone();
        if tracing::subscriber::set_global_default(subscriber).is_err() {
            log::error!("spans: another subscriber is installed already");
        }
        times
    }

    /// Returns one line with the count, sum, median and maximum of the durations of each
    /// span since this was last called; none if no span was exited.
    pub(crate) fn take_line(&self) -> Option<String> {
        let durations_us = std::mem::take(&mut self.lock().durations_us);
        let mut line = String::new();
        for (name, histogram) in &durations_us {
            let sum_us: f64 = histogram.mean() * histogram.len() as f64;
            let (median, max) = (histogram.value_at_quantile(0.5), histogram.max());
            // Writing to a string can't fail.
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

    fn lock(&self) -> MutexGuard<'_, State> {
        // No operation on the state can panic halfway, so a poisoned one is consistent.
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
