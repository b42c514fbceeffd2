//! Counters and latency histograms of a run.

use crate::request_category::{ClassifiedRequest, RequestCategory};
use forkshift_net::Traffic;
use forkshift_testkit::FirstStart;
use forkshift_wire::users::Priority;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Largest value of the histograms, in milliseconds: the longest run that a site may have.
/// Larger values are recorded as this one.
const MAX_LATENCY_MS: u64 = 3_600_000;

const HTTP_OK: u16 = 200;
const HTTP_MISDIRECTED: u16 = 421;
const HTTP_TOO_MANY_REQUESTS: u16 = 429;
const HTTP_UNAVAILABLE: u16 = 503;

/// Requests to the key-value store and writes in it, of one category.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoreUsage {
    /// Completed requests, with any status.
    pub requests: u64,
    /// Puts and deletes in successful transactions.
    pub writes: u64,
}

/// Counters and histograms since the last [`Metrics::reset`]. Latencies are in milliseconds.
pub(crate) struct Metrics {
    /// From a user's first attempt to submit a job until each task's first start, by priority.
    pub start_latencies: BTreeMap<Priority, Histogram<u64>>,
    /// From a user's first attempt to submit a job until a controller accepted it.
    pub submission_latencies: Histogram<u64>,
    /// From sending a heartbeat until its response or its failure.
    pub heartbeat_latencies: Histogram<u64>,
    /// Heartbeats without a response, or with a status other than 200 and 421.
    pub heartbeats_failed: u64,
    /// Heartbeats that the controller redirected with 421, because another one holds the
    /// machine's shard.
    pub heartbeats_redirected: u64,
    /// Controllers' calls of the workers' `/commands` and `/status`.
    pub commands: u64,
    /// Bytes that workers sent and received: heartbeats with their HTTP heads, and the bodies
    /// of commands without heads.
    pub worker_traffic: Traffic,
    /// Requests to the key-value store, by category. A category without requests is absent.
    pub store: BTreeMap<RequestCategory, StoreUsage>,
    /// Requests that the key-value store refused with 429 or 503.
    pub store_requests_refused: u64,
    /// Largest lag of the simulated time behind the clock, in milliseconds.
    pub max_lag_ms: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MS, HISTOGRAM_DIGITS)
        .unwrap_or_else(|error| panic!("the constants are in range: {error}"))
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            start_latencies: BTreeMap::new(),
            submission_latencies: histogram(),
            heartbeat_latencies: histogram(),
            heartbeats_failed: 0,
            heartbeats_redirected: 0,
            commands: 0,
            worker_traffic: Traffic::default(),
            store: BTreeMap::new(),
            store_requests_refused: 0,
            max_lag_ms: 0,
        }
    }
}

impl Metrics {
    /// Clears all values. Called at the end of the warm-up.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records first starts of tasks, and latencies of accepted jobs in milliseconds.
    pub(crate) fn record_observations(&mut self, starts: &[FirstStart], acceptances_ms: &[u64]) {
        for start in starts {
            let latencies = self.start_latencies.entry(start.priority);
            latencies
                .or_insert_with(histogram)
                .saturating_record(start.after_ms);
        }
        for latency_ms in acceptances_ms {
            self.submission_latencies.saturating_record(*latency_ms);
        }
    }

    /// Records a completed heartbeat with the status of its response.
    pub(crate) fn record_heartbeat(&mut self, status: u16, latency_ms: u64) {
        self.heartbeat_latencies.saturating_record(latency_ms);
        match status {
            HTTP_OK => {}
            HTTP_MISDIRECTED => self.heartbeats_redirected += 1,
            _ => self.heartbeats_failed += 1,
        }
    }

    /// Adds bytes that a worker sent and received.
    pub(crate) fn record_worker_traffic(&mut self, traffic: Traffic) {
        self.worker_traffic.sent += traffic.sent;
        self.worker_traffic.received += traffic.received;
    }

    /// Records a completed request to the key-value store with the status of its response.
    pub(crate) fn record_store_request(&mut self, request: &ClassifiedRequest, status: u16) {
        self.store.entry(request.category).or_default().requests += 1;
        if matches!(status, HTTP_TOO_MANY_REQUESTS | HTTP_UNAVAILABLE) {
            self.store_requests_refused += 1;
        }
        if status == HTTP_OK {
            for category in &request.writes {
                self.store.entry(*category).or_default().writes += 1;
            }
        }
    }

    /// Records the present lag of the simulated time behind the clock.
    pub(crate) fn record_lag(&mut self, lag_ms: u64) {
        self.max_lag_ms = self.max_lag_ms.max(lag_ms);
    }

    /// Number of tasks that started for the first time.
    pub(crate) fn task_starts(&self) -> u64 {
        self.start_latencies.values().map(Histogram::len).sum()
    }
}
