//! How long the parts of a step take, counted by their spans.
//!
//! The core marks its parts with spans of `tracing` and knows no clock. Here they
//! are timed if the operator asks for it, and summed up in the log now and then.

use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Times are told apart to two digits.
const DIGITS: u8 = 2;
/// Longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Spans that are open, and times of those that were closed.
#[derive(Default)]
struct Times {
    open: HashMap<u64, (&'static str, Option<Instant>)>,
    closed: BTreeMap<&'static str, Histogram<u64>>,
}

/// Times spans by their names.
#[derive(Clone, Default)]
pub struct SpanTimes {
    next: Arc<AtomicU64>,
    times: Arc<Mutex<Times>>,
}

impl SpanTimes {
    /// Times all spans of this process from now on.
    pub fn install() -> Self {
        let times = Self::default();
        let subscriber = times.clone();
        if tracing::subscriber::set_global_default(subscriber).is_err() {
            log::error!("spans are timed by another part of this process already");
        }
        times
    }

    /// One line with the count, the sum, the median and the longest time of each
    /// span since this was last called; none if there was none.
    pub fn take_line(&self) -> Option<String> {
        let closed = std::mem::take(&mut self.lock().closed);
        let mut line = String::new();
        for (name, times) in &closed {
            let sum_us: f64 = times.mean() * times.len() as f64;
            let (median, most) = (times.value_at_quantile(0.5), times.max());
            // Writing to a string does not fail.
            let _ = write!(
                line,
                "{}{name} {} in {:.1} ms (median {median} us, most {most} us)",
                if line.is_empty() { "" } else { ", " },
                times.len(),
                sum_us / 1000.0,
            );
        }
        (!line.is_empty()).then_some(line)
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Subscriber for SpanTimes {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.is_span() && metadata.target().starts_with("forkshift")
    }

    fn new_span(&self, span: &Attributes<'_>) -> Id {
        let number = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let name = span.metadata().name();
        self.lock().open.insert(number, (name, None));
        Id::from_u64(number)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, _: &Event<'_>) {}

    fn enter(&self, id: &Id) {
        if let Some((_, entered)) = self.lock().open.get_mut(&id.into_u64()) {
            *entered = Some(Instant::now());
        }
    }

    fn exit(&self, id: &Id) {
        let mut times = self.lock();
        let Some((name, Some(entered))) = times.open.get(&id.into_u64()).copied() else {
            return;
        };
        let took = entered.elapsed().as_micros() as u64;
        let of_name = times.closed.entry(name).or_insert_with(histogram);
        of_name.saturating_record(took);
    }

    fn try_close(&self, id: Id) -> bool {
        self.lock().open.remove(&id.into_u64()).is_some()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, DIGITS).unwrap_or_else(|e| panic!("histogram: {e}"))
}

#[cfg(test)]
mod tests;
